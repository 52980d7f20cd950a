"""The public interface for Python programs, which route calls without an HTTP hop.

A caller embeds an :class:`EmbeddedRouter`. A backend server written in Python
embeds an :class:`EmbeddedDaemon`. Its gate calls a function instead of connecting
to a port, and it also routes the calls that the backend server makes.

The outcomes of calls are defined in :mod:`savoryhollow.calls`, the exceptions in
:mod:`savoryhollow.errors`.
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

# Interval of checks whether a router is ready, in s.
READY_POLL_INTERVAL_S = 0.02
# Time after which a call may be retried if its deadline had already passed, in ms.
EXPIRED_RETRY_AFTER_MS = 0

#: Runs a call admitted by the gate; the second argument is the deadline, as a time of
#: ``time.monotonic()`` in s.
Run = collections.abc.Callable[
    [messages.CallMessage, float], backend_client.BackendAnswer
]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request to a service.

    :param service: the name of the service.
    :param rank: the rank of the request within the service.
    :param deadline: the time of ``time.monotonic()``, in s, after which a response is
        useless.
    :param method: the HTTP method.
    :param path: the percent-encoded path and query.
    :param headers: headers for the backend server.
    :param body: the complete body.
    :param caller: the name of the caller, for fairness within a rank.
    :param idempotent: whether the request may run more than once; None for the
        rank's setting in the configuration.
    :param depth: the number of calls above this one in the call tree.
    :param attempts_left: the number of attempts allowed for this call and all calls
        nested in it.
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
    """Settings of an embedded router.

    :param name: the name that this process sends to daemons; not an endpoint id.
    :param region: the region of this process.
    :param zone: the availability zone of this process.
    :param store: the address of the platform's configuration service.
    :param placement: the policy that chooses an endpoint.
    :param placement_records: number of placements kept for traces.
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
    """Routes the calls of this process, which has no gate of its own.

    Background threads read the configuration and the list of instances between
    :meth:`start` and :meth:`stop`. The router is a context manager that calls both.

    :param settings: the settings of the router.
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
        """Start to read the configuration and the list of instances."""
        self._router.pauses.start()
        self._follower.start()

    def stop(self) -> None:
        """Close all connections; the outcome of calls in progress is unknown."""
        self._follower.stop()
        self._router.pauses.stop()
        self._connections.close()

    def await_ready(self, deadline: float) -> bool:
        """Wait until a configuration and a list of instances are available.

        :param deadline: the time of ``time.monotonic()`` at which to give up, in s.
        :returns: True if both are available.
        """
        while not self._is_ready:
            if time.monotonic() >= deadline:
                return False
            time.sleep(READY_POLL_INTERVAL_S)
        return True

    def call(self, request: Request) -> calls.Outcome:
        """Send a request to an endpoint and return its outcome.

        :param request: the request.
        :returns: ``Served`` with the complete response; ``NotRun`` if no backend
            server received the request; ``TimedOut`` or ``Unknown`` if it may have
            run.
        :raises errors.BadRequestError: if the request is malformed; the message says
            what to send instead.
        """
        return _call(self._router.route, self._router.configuration, request)

    def redeem(self, request: Request, ticket: calls.Ticket) -> calls.Outcome:
        """Determine the outcome of a request whose outcome was unknown.

        :param request: the request, with the deadline of this query.
        :param ticket: the ticket of the unknown outcome.
        :returns: ``Served`` with the response; ``NotRun`` if the request has not run
            and never will; otherwise ``Unknown`` again, or ``TimedOut`` for an
            idempotent request whose deadline has passed.
        :raises errors.BadRequestError: if the request is malformed; the message says
            what to send instead.
        """
        call = _make_call(request, self._router.configuration)
        return self._router.redeem(call, ticket)

    @property
    def _is_ready(self) -> bool:
        services = self._router.configuration.services
        return bool(services) and self._members.revision >= 0


class _NoGate:
    """Replaces the gate in a process without a local endpoint."""

    def serve(self, call: messages.CallMessage) -> messages.NotRunMessage:
        """Refuse the call as unreachable."""
        reason = calls.NotRunReason.UNREACHABLE
        return messages.NotRunMessage(call.request_id, reason, 0, self.report())

    def resolve(
        self, message: messages.ResolveMessage, connection: register.Connection | None
    ) -> messages.ResolutionMessage:
        """Return that the request is unknown."""
        state = messages.ResolutionState.FORGOTTEN
        return messages.ResolutionMessage(message.request_id, state)

    def report(self) -> messages.LoadReport:
        """Return a load report that refuses calls."""
        return messages.LoadReport(0, 0, 1, 0, True)


# ---------------------------------------------------------------------------
#   Daemon
# ---------------------------------------------------------------------------


class EmbeddedDaemon:
    """A daemon embedded in its backend server.

    The gate calls a function instead of connecting to a port, so
    ``settings.backend`` is not used. Events are sent to absl's logger, which the
    program has to configure.

    :param settings: the settings of the daemon.
    :param run: runs a call that holds a slot, on a thread of the daemon. It raises
        :class:`savoryhollow.errors.BackendError` if it can't return a complete
        response.
    """

    def __init__(self, settings: settings_models.DaemonSettings, run: Run):
        self._daemon = assembly.Daemon(settings, run)

    def __enter__(self) -> "EmbeddedDaemon":
        self.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Open all ports and start to read the configuration and the instances."""
        self._daemon.start()

    def stop(self) -> bool:
        """Finish the requests in progress and close all ports.

        :returns: True if all requests ended within ``settings.drain_limit_ms``.
        """
        return self._daemon.stop()

    def call(self, request: Request) -> calls.Outcome:
        """Send a request of this process to an endpoint and return its outcome.

        :param request: the request.
        :returns: the outcome; see :meth:`EmbeddedRouter.call`.
        :raises errors.BadRequestError: if the request is malformed; the message says
            what to send instead.
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
    """Convert a request to a call, with the same validation as for HTTP."""
    for header in request.headers:
        if not (header.name + header.value).isprintable():
            message = (
                f"header {header.name!r} contains unprintable characters; remove them"
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
