"""Log numbered events as JSON lines.

A test compares the catalogue in docs/EVENTS.md with :class:`Event`.
"""

import collections
import enum
import io
import json
import logging
import threading
import time
import typing

import absl.flags
import absl.logging
import absl.logging.converter

__all__ = ["Event", "configure", "emit", "is_logged", "suppressed_by_event"]


class Event(enum.IntEnum):
    """The events that a process can log. Numbers are never reused."""

    DAEMON_STARTED = 1001
    DAEMON_STOPPING = 1002
    DAEMON_STOPPED = 1003
    CONFIGURATION_IN_FORCE = 2001
    CONFIGURATION_REJECTED = 2002
    STORE_UNREACHABLE = 2003
    STORE_BEHIND = 2004
    STORE_TRUSTED_ALONE = 2005
    READER_CHANGED = 2006
    REVISION_CONFLICT = 2007
    MEMBERS_CHANGED = 3001
    LIST_REJECTED = 3002
    PEER_LOST = 3003
    PEER_REGAINED = 3004
    ENDPOINT_CHANGED = 3005
    ENDPOINT_REMOVED = 3006
    ENDPOINT_UNREADABLE = 3007
    STORE_REGAINED = 2008
    READER_OUTDATED = 2009
    READER_CURRENT = 2010
    SETTINGS_RELOADED = 1004
    SETTINGS_REJECTED = 1005
    REQUEST_PLACED = 4001
    REQUEST_ENDED = 4002
    REQUEST_REFUSED = 4003
    REQUEST_ABANDONED = 4004
    ATTEMPT_ENDED = 4005
    RUN_REFUSED = 4006
    RUN_UNKNOWN = 4007
    ENDPOINT_DISTRUSTED = 4008
    RUN_ENDED = 4009
    ENDPOINT_TRUSTED = 4010
    REQUEST_GIVEN_UP = 4011
    REQUEST_REJECTED = 4012
    REQUEST_DROPPED = 4013
    RESPONSE_CUT = 4014
    RUN_CANCELLED = 4015
    ANSWER_UNSENT = 4016
    PROBE_FAILED = 3008
    BACKEND_LOST = 3009
    BACKEND_REGAINED = 3010
    LIBRARY_MESSAGE = 9001
    THREAD_FAILED = 9002
    LINES_LEFT_OUT = 9003


_WARNINGS = frozenset(
    (
        Event.CONFIGURATION_REJECTED,
        Event.STORE_UNREACHABLE,
        Event.STORE_BEHIND,
        Event.STORE_TRUSTED_ALONE,
        Event.REVISION_CONFLICT,
        Event.READER_OUTDATED,
        Event.LIST_REJECTED,
        Event.PEER_LOST,
        Event.SETTINGS_REJECTED,
        Event.ENDPOINT_UNREADABLE,
        Event.RUN_UNKNOWN,
        Event.ENDPOINT_DISTRUSTED,
        Event.PROBE_FAILED,
        Event.BACKEND_LOST,
        Event.LINES_LEFT_OUT,
    )
)
_ERRORS = frozenset((Event.THREAD_FAILED,))
LEVELS_BY_NAME = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
# Length of the window in which the lines of an event are limited, in s.
WINDOW_S = 10.0
# Maximum number of lines of one event in a window; the others are only counted.
LINES_PER_WINDOW = 20
# Events that every request can cause. They have the limit REQUEST_LINES_PER_WINDOW.
_REQUEST_EVENTS = frozenset(
    (
        Event.REQUEST_PLACED,
        Event.REQUEST_ENDED,
        Event.REQUEST_REFUSED,
        Event.REQUEST_ABANDONED,
        Event.ATTEMPT_ENDED,
        Event.RUN_REFUSED,
        Event.RUN_UNKNOWN,
        Event.RUN_ENDED,
        Event.REQUEST_GIVEN_UP,
        Event.REQUEST_REJECTED,
        Event.REQUEST_DROPPED,
        Event.RESPONSE_CUT,
        Event.RUN_CANCELLED,
        Event.ANSWER_UNSENT,
    )
)
REQUEST_LINES_PER_WINDOW = 2000
# Maximum length of the logged text of a library's message, in characters.
MAX_MESSAGE_CHARACTERS = 400


def event_level(event: Event) -> int:
    """Return the level of an event, as defined by :mod:`logging`."""
    if event in _ERRORS:
        return logging.ERROR
    if event is Event.REQUEST_PLACED:
        return _context.placement_level
    return logging.WARNING if event in _WARNINGS else logging.INFO


# ---------------------------------------------------------------------------
#   Rate limiting
# ---------------------------------------------------------------------------


class EventLimiter:
    """Limits the lines of each event in a time window and counts the others.

    It reads no clock: the caller passes the current time.
    """

    def __init__(self) -> None:
        self._lines_by_event: collections.Counter[Event] = collections.Counter()
        self._window_ends_by_event: dict[Event, float] = {}
        self._unreported_by_event: collections.Counter[Event] = collections.Counter()
        self.suppressed_by_event: collections.Counter[Event] = collections.Counter()

    def admit(self, event: Event, now: float) -> int | None:
        """Apply the rate limit to an event.

        :param event: the event.
        :param now: the current time, in s.
        :returns: the number of lines of the event that were suppressed since its
            last line, or None if this event must be suppressed too.
        """
        if now >= self._window_ends_by_event.get(event, float("-inf")):
            self._window_ends_by_event[event] = now + WINDOW_S
            self._lines_by_event[event] = 0
        if self._lines_by_event[event] >= _lines_per_window(event):
            self._unreported_by_event[event] += 1
            self.suppressed_by_event[event] += 1
            return None
        self._lines_by_event[event] += 1
        return self._unreported_by_event.pop(event, 0)

    def take_unreported(self) -> dict[Event, int]:
        """Return the suppressed lines that no later line counts, by event, once."""
        unreported = dict(self._unreported_by_event)
        self._unreported_by_event.clear()
        return unreported


def _lines_per_window(event: Event) -> int:
    if event in _REQUEST_EVENTS:
        return REQUEST_LINES_PER_WINDOW
    return LINES_PER_WINDOW


# ---------------------------------------------------------------------------
#   Logging
# ---------------------------------------------------------------------------


class _LogContext:
    """The fields that all lines of this process share, and the rate limiter."""

    def __init__(self) -> None:
        self.instance = ""
        self.placement_level = logging.DEBUG
        self.limiter = EventLimiter()
        self.lock = threading.Lock()
        self.stream: typing.TextIO | io.TextIOBase | None = None


_context = _LogContext()


class LibraryFilter(logging.Filter):
    """Applies the rate limit of events to messages logged by libraries."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Return True if the record may be logged."""
        if hasattr(record, "event_fields"):
            return True
        with _context.lock:
            suppressed = _context.limiter.admit(Event.LIBRARY_MESSAGE, time.monotonic())
        if suppressed is None:
            return False
        fields = _library_message_fields(record)
        if suppressed:
            fields["suppressed"] = suppressed
        record.__dict__["event_fields"] = fields
        return True


class JsonFormatter(logging.Formatter):
    """Formats every record, event or not, as one line of JSON."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a line of JSON."""
        fields = dict(
            getattr(record, "event_fields", None) or _library_message_fields(record)
        )
        line = {
            "event": fields.pop("event"),
            "name": fields.pop("name"),
            "level": record.levelname.lower(),
            "time": round(record.created, 3),
            "instance": _context.instance,
        }
        return json.dumps(line | fields, default=str)


def configure(
    instance: str,
    level: str = "info",
    placement_level: str = "debug",
    stream: typing.TextIO | io.TextIOBase | None = None,
) -> None:
    """Configure the logging of this process.

    :param instance: the endpoint id to include in every line.
    :param level: the name of the lowest level that is logged.
    :param placement_level: the name of the level of the event REQUEST_PLACED.
    :param stream: the stream to write lines to; standard error if None.
    """
    _context.instance = instance
    _context.stream = stream
    _context.placement_level = LEVELS_BY_NAME[placement_level]
    # Without this, absl writes a line that is not JSON before the first event.
    absl.flags.FLAGS.mark_as_parsed()
    absl.flags.FLAGS["logtostderr"].value = True
    absl.logging.use_absl_handler()
    handler = absl.logging.get_absl_handler()
    handler.setFormatter(JsonFormatter())
    if stream is not None:
        handler.python_handler.stream = stream
    for old_filter in handler.filters[:]:
        handler.removeFilter(old_filter)
    handler.addFilter(LibraryFilter())
    absl.logging.set_verbosity(
        absl.logging.converter.standard_to_absl(LEVELS_BY_NAME[level])
    )
    # websockets logs each opened and closed connection; events cover the relevant ones.
    logging.getLogger("websockets").setLevel(logging.WARNING)
    threading.excepthook = _log_thread_failure


def is_logged(event: Event) -> bool:
    """Return True if events of this level are logged.

    Use it to avoid building the fields of an event that is not logged.
    """
    return absl.logging.get_absl_logger().isEnabledFor(event_level(event))


def emit(event: Event, **fields: typing.Any) -> None:
    """Log an event unless its level or its rate limit suppresses it.

    :param event: the event.
    :param fields: the fields of the line; never a body or a secret of a caller.
    """
    if not is_logged(event):
        return
    with _context.lock:
        suppressed = _context.limiter.admit(event, time.monotonic())
    if suppressed is None:
        return
    line: dict[str, typing.Any] = {"event": int(event), "name": event.name.lower()}
    if suppressed:
        line["suppressed"] = suppressed
    logger = absl.logging.get_absl_logger()
    extra = {"event_fields": line | fields}
    logger.log(event_level(event), event.name.lower(), extra=extra)


def dropped_count() -> int:
    """Return how many lines the reader of the log was too slow for."""
    return getattr(_context.stream, "dropped", 0)


def report_left_out() -> None:
    """Log which lines were left out and are counted by no other line.

    To be called before the process ends.
    """
    with _context.lock:
        unreported = _context.limiter.take_unreported()
    dropped = dropped_count()
    if unreported or dropped:
        emit(
            Event.LINES_LEFT_OUT,
            suppressed_by_event={
                event.name.lower(): count for event, count in unreported.items()
            },
            dropped=dropped,
        )


def suppressed_by_event() -> dict[str, int]:
    """Return how many lines the rate limit suppressed, by name of the event."""
    with _context.lock:
        counts = dict(_context.limiter.suppressed_by_event)
    return {event.name.lower(): count for event, count in counts.items()}


def _library_message_fields(record: logging.LogRecord) -> dict[str, typing.Any]:
    return {
        "event": int(Event.LIBRARY_MESSAGE),
        "name": Event.LIBRARY_MESSAGE.name.lower(),
        "logger": record.name,
        "text": record.getMessage()[:MAX_MESSAGE_CHARACTERS],
    }


def _log_thread_failure(failure: threading.ExceptHookArgs) -> None:
    # The exception's text is not logged because it may contain data of a caller.
    traceback = failure.exc_traceback
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    emit(
        Event.THREAD_FAILED,
        thread=getattr(failure.thread, "name", ""),
        error=failure.exc_type.__name__,
        function=traceback.tb_frame.f_code.co_name if traceback else "",
        line=traceback.tb_lineno if traceback else 0,
    )
