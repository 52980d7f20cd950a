"""Numbered events, one JSON line each.

The catalogue in docs/EVENTS.md is held against :class:`Event` by a test.
"""

import enum
import json
import typing

from absl import logging

__all__ = ["Event", "emit"]


class Event(enum.IntEnum):
    """Every event that a process may log. Numbers are never used again."""

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


_WARNINGS = frozenset(
    (
        Event.CONFIGURATION_REJECTED,
        Event.STORE_UNREACHABLE,
        Event.STORE_BEHIND,
        Event.STORE_TRUSTED_ALONE,
        Event.REVISION_CONFLICT,
        Event.LIST_REJECTED,
    )
)


def emit(event: Event, **fields: typing.Any) -> None:
    """Log an event.

    :param event: the event.
    :param fields: what is known about it; never a body or secret of a caller.
    """
    line = json.dumps({"event": int(event), "name": event.name.lower(), **fields})
    level = logging.WARNING if event in _WARNINGS else logging.INFO
    logging.log(level, "%s", line)
