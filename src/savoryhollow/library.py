"""The public interface for Python programs: route without an HTTP hop.

A caller embeds an :class:`EmbeddedRouter`. A backend server written in Python
embeds an :class:`EmbeddedDaemon`, whose gate then calls a function instead of a
port, and which also routes the calls that the backend server makes itself.

What a call comes to is one of the outcomes in :mod:`savoryhollow.calls`; the
errors are in :mod:`savoryhollow.errors`.
"""

import collections.abc
import dataclasses
import random
import time
from typing import Annotated

import msgspec

from savoryhollow import calls, errors, webserver
from savoryhollow.backend import client as backend_client
from savoryhollow.configuration import models
from savoryhollow.daemon import assembly
from savoryhollow.front import parsing
from savoryhollow.membership import table
from savoryhollow.observe import placements, requests
from savoryhollow.recovery import register
from savoryhollow.routing import peers, placement, router
from savoryhollow.settings import models as settings_models
from savoryhollow.store import client as store_client
from savoryhollow.store import following, topology
from savoryhollow.wire import messages

__all__ = ["EmbeddedDaemon", "EmbeddedRouter", "Request", "RouterSettings", "Run"]

# Pause between two looks at whether a router is ready, in s.
READY_POLL_INTERVAL_S = 0.02
# When a caller whose deadline has passed may come again, in ms.
EXPIRED_RETRY_AFTER_MS = 0

#: Runs a call that the gate admitted, by a monotonic instant.
Run = collections.abc.Callable[
    [messages.CallMessage, float], backend_client.BackendAnswer
]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request to a service.

    :param service: the named service.
    :param rank: the rank of work within the service.
    :param deadline: the instant of ``time.monotonic()``, in s, after which an
        answer is of no use.
    :param method: the HTTP method.
    :param path: the path with its query, percent-encoded.
    :param headers: headers for the backend server.
    :param body: the whole body.
    :param caller: names the caller, for fairness within a rank.
    :param idempotent: whether it may run more than once; None takes what the
        configuration says of the rank.
    :param depth: how many calls stand above this one.
    :param attempts_left: attempts that may be made for the whole tree of calls.
    """

    service: str
    rank: str
    deadline: float
    method: str = "GET"
    path: str = "/"
    headers: tuple[calls.Header, ...] = ()
    body: bytes = b""
    caller: str = "anonymous"
    idempotent: bool | None = None
    depth: int = 0
    attempts_left: int = parsing.DEFAULT_ATTEMPTS


class RouterSettings(msgspec.Struct, frozen=True):
    """What an embedded router is told.

    :param name: names this process to daemons; no endpoint id.
    """

    name: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    region: str
    zone: str
    store: settings_models.Target
    placement: str = "evidence"
    placement_records: int = 1024


# ---------------------------------------------------------------------------
#   Router
# ---------------------------------------------------------------------------


class EmbeddedRouter:
    """Places the calls of this process, which has no gate of its own.

    It follows the platform in background threads between :meth:`start` and
    :meth:`stop`, and is a context manager that calls both.

    :param settings: where this process stands, and where the platform is.
    """

    def __init__(self, settings: RouterSettings):
        incarnation = calls.new_request_id()
        hello = messages.HelloMessage(
            messages.PROTOCOL_VERSION, settings.name, incarnation
        )
        location = placement.Location(settings.name, settings.region, settings.zone)
        self.placements = placements.PlacementLog(settings.placement_records)
        self._members = table.MemberTable()
        self._connections = peers.PeerConnections(hello)
        self._router = router.Router(
            location,
            incarnation,
            self._members,
            self._connections,
            _NoGate(),
            placement.make_policy(settings.placement, location, random.Random()),
            self.placements.add,
        )
        store = settings.store
        self._follower = following.Follower(
            topology.Location(settings.name, settings.region, settings.zone),
            store_client.StoreClient(store.host, store.port, settings.region),
            hello,
            self._members,
            self._router.configure,
        )

    def __enter__(self) -> "EmbeddedRouter":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Begin to follow the platform."""
        self._router.pauses.start()
        self._follower.start()

    def stop(self) -> None:
        """Close every connection; calls in progress end as unknown."""
        self._follower.stop()
        self._router.pauses.stop()
        self._connections.close()

    def await_ready(self, deadline: float) -> bool:
        """Wait until a configuration and a list of instances are in force.

        :param deadline: the monotonic instant to stop waiting at, in s.
        :returns: whether both are.
        """
        while not self._is_ready:
            if time.monotonic() >= deadline:
                return False
            time.sleep(READY_POLL_INTERVAL_S)
        return True

    def call(self, request: Request) -> calls.Outcome:
        """Take a request to an endpoint, and wait for what becomes of it.

        :param request: the request.
        :returns: ``Served`` with the whole answer; ``NotRun`` where no backend
            server saw it; ``TimedOut`` or ``Unknown`` where it may have run.
        :raises errors.BadRequestError: naming what to send instead.
        """
        return _call(self._router.route, self._router.configuration, request)

    def redeem(self, request: Request, ticket: calls.Ticket) -> calls.Outcome:
        """Ask what became of a request whose outcome was unknown.

        :param request: the request, with a deadline for this question.
        :param ticket: the ticket of the unknown outcome.
        :returns: its answer, ``NotRun`` where it never ran and never will, or
            ``Unknown`` again.
        :raises errors.BadRequestError: naming what to send instead.
        """
        call = _make_call(request, self._router.configuration)
        return self._router.redeem(call, ticket)

    @property
    def _is_ready(self) -> bool:
        services = self._router.configuration.services
        return bool(services) and self._members.revision >= 0


class _NoGate:
    """Stands where a daemon has its gate; no endpoint is local here."""

    def serve(self, call: messages.CallMessage) -> messages.NotRunMessage:
        """Refuse a call."""
        reason = calls.NotRunReason.UNREACHABLE
        return messages.NotRunMessage(call.request_id, reason, 0, self.report())

    def resolve(
        self, message: messages.ResolveMessage, connection: register.Connection | None
    ) -> messages.ResolutionMessage:
        """Know nothing of a request."""
        state = messages.ResolutionState.FORGOTTEN
        return messages.ResolutionMessage(message.request_id, state)

    def report(self) -> messages.LoadReport:
        """Report that no call is taken here."""
        return messages.LoadReport(0, 0, 1, 0, True)


# ---------------------------------------------------------------------------
#   Daemon
# ---------------------------------------------------------------------------


class EmbeddedDaemon:
    """A daemon inside its own backend server.

    Its gate calls a function in place of a port, so ``settings.backend`` is
    not used. Logging is left to the program: events go to absl's logger.

    :param settings: the settings of the daemon.
    :param run: runs a call that holds a slot, on a thread of the daemon; it
        raises :class:`savoryhollow.errors.BackendError` where it gives no
        whole answer.
    """

    def __init__(self, settings: settings_models.DaemonSettings, run: Run):
        self._daemon = assembly.Daemon(settings, run)

    def __enter__(self) -> "EmbeddedDaemon":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Open every port and begin to follow the platform."""
        self._daemon.start()

    def stop(self) -> bool:
        """Finish every request in progress and close.

        :returns: whether all had ended before ``settings.drain_limit_ms``.
        """
        return self._daemon.stop()

    def call(self, request: Request) -> calls.Outcome:
        """Take a request of this process to an endpoint.

        :param request: the request.
        :returns: what became of it, see :meth:`EmbeddedRouter.call`.
        :raises errors.BadRequestError: naming what to send instead.
        """
        configuration = self._daemon.router.configuration
        return _call(self._daemon.route, configuration, request)


# ---------------------------------------------------------------------------
#   Calls
# ---------------------------------------------------------------------------


def _call(
    route: requests.Route, configuration: models.Configuration, request: Request
) -> calls.Outcome:
    call = _make_call(request, configuration)
    if time.monotonic() >= request.deadline:
        reason = calls.NotRunReason.DEADLINE
        return calls.NotRun(call.request_id, reason, EXPIRED_RETRY_AFTER_MS)
    return route(call)


def _make_call(request: Request, configuration: models.Configuration) -> calls.Call:
    """Return the call of a request, by the rules for requests over HTTP."""
    for header in request.headers:
        if not (header.name + header.value).isprintable():
            message = (
                f"header {header.name!r} has unprintable characters; leave them out"
            )
            raise errors.BadRequestError(message)
    values_by_header = {
        parsing.SERVICE: request.service,
        parsing.RANK: request.rank,
        parsing.CALLER: request.caller,
        parsing.DEPTH: str(request.depth),
        parsing.ATTEMPTS_LEFT: str(request.attempts_left),
    }
    if request.idempotent is not None:
        values_by_header[parsing.IDEMPOTENT] = str(request.idempotent).lower()
    call_headers = tuple(
        calls.Header(name, value) for name, value in values_by_header.items()
    )
    http_request = webserver.HttpRequest(
        request.method, request.path, request.headers + call_headers, request.body
    )
    parsed = parsing.parse(http_request, configuration, time.monotonic())
    return dataclasses.replace(parsed.call, deadline=request.deadline)
