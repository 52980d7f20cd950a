"""Records of what callers, backend servers and the operator did and observed."""

import asyncio
import collections
import dataclasses
import hashlib

__all__ = [
    "Arrival",
    "Configuration",
    "Drain",
    "Disturbance",
    "History",
    "Run",
    "Sent",
    "route_prefix",
    "sign",
]


@dataclasses.dataclass(slots=True)
class Sent:
    """A request of a caller and its result.

    :param request_id: the id of the request.
    :param place: the number of the instance whose daemon got the request.
    :param boot: the number of starts of that daemon; 0 for a nested call.
    :param path: the path of the request.
    :param method: the HTTP method.
    :param idempotent: whether the request may run more than once.
    :param sent_at: when it was sent.
    :param deadline: until when the caller expects a response. Before the request is
        sent, this is the time that the caller allows, in s.
    :param body: the body of the request.
    :param status: the status of the response; None without a response.
    :param sound: whether the response is complete and belongs to the request.
    :param signed: whether the response has the signature of a backend server.
    :param left_at: when the caller gave up; None if it didn't.
    :param ended_at: when the response arrived, the connection ended or the caller
        gave up.
    :param detail: how the request ended without a response.
    """

    request_id: str
    place: int
    boot: int
    path: str
    method: str
    idempotent: bool
    sent_at: float
    deadline: float
    body: bytes = dataclasses.field(default=b"", repr=False)
    status: int | None = None
    sound: bool = True
    signed: bool = False
    left_at: float | None = None
    ended_at: float = float("inf")
    detail: str = ""


@dataclasses.dataclass(slots=True)
class Run:
    """A run of a request at a backend server.

    :param request_id: the id of the request.
    :param endpoint_id: the endpoint id of the backend server.
    :param service: the service of the backend server.
    :param place: the number of its instance.
    :param path: the path that the backend server received.
    :param method: the HTTP method that it received.
    :param body: the body that it received.
    :param caller_service: the service of the caller, as stated by the request.
    :param started_at: when the run started.
    :param given_until: the deadline that the request stated.
    :param ended_at: when the run ended.
    :param status: the status of the response; None if the run was cancelled.
    """

    request_id: str
    endpoint_id: str
    service: str
    place: int
    path: str
    method: str
    body: bytes = dataclasses.field(repr=False)
    caller_service: str
    started_at: float
    given_until: float
    ended_at: float = float("inf")
    status: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """The arrival of a request at a backend server.

    :param request_id: the id of the request.
    :param endpoint_id: the endpoint id of the backend server.
    :param service: the service of the backend server.
    :param at: when the request arrived.
    :param ran: whether it was accepted; False if it was refused.
    """

    request_id: str
    endpoint_id: str
    service: str
    at: float
    ran: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A period in which a fault or a planned stop has effects.

    :param kind: the kind of step, or another cause.
    :param place: the number of the instance concerned; None if it concerns all.
    :param since: the start of the period.
    :param until: the end of the period.
    """

    kind: str
    place: int | None
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration that was published in the store.

    :param version: the version of the configuration.
    :param at: when it was published.
    :param services_by_prefix: the services that may run requests, by path prefix.
    """

    version: int
    at: float
    services_by_prefix: dict[str, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """An endpoint that was set to draining in the store.

    :param endpoint_id: the id of the endpoint.
    :param place: the number of its instance.
    :param at: when its state changed.
    """

    endpoint_id: str
    place: int
    at: float


class History:
    """All records of one run of the soak test."""

    def __init__(self) -> None:
        self.sent_by_id: dict[str, Sent] = {}
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.disturbances: list[Disturbance] = []
        self.planned_stops: list[Disturbance] = []
        self.configurations: list[Configuration] = []
        self.drains: list[Drain] = []
        self.logged_ids_by_place: dict[int, set[str]] = {}
        self.killed_at_by_place: dict[int, list[float]] = collections.defaultdict(list)
        self.stopped_at_by_endpoint: dict[str, float] = {}
        self.services_by_instance: dict[int, set[str]] = {}
        self.violations: list[str] = []

    @property
    def now(self) -> float:
        """The current time of the event loop, in s."""
        return asyncio.get_running_loop().time()

    def runs_by_id(self) -> dict[str, list[Run]]:
        """Return the runs of each request, by its id."""
        runs: dict[str, list[Run]] = collections.defaultdict(list)
        for run in self.runs:
            runs[run.request_id].append(run)
        return runs

    def record_disturbance(
        self, kind: str, place: int | None, duration_s: float
    ) -> None:
        """Record a disturbance that starts now.

        :param kind: the kind of step, or another cause.
        :param place: the number of the instance concerned; None if it concerns all.
        :param duration_s: how long the disturbance lasts, in s.
        """
        now = self.now
        self.disturbances.append(Disturbance(kind, place, now, now + duration_s))

    def is_undisturbed(
        self, since: float, until: float, place: int | None = None
    ) -> bool:
        """Return True if no disturbance overlaps with a period.

        :param since: the start of the period.
        :param until: the end of the period.
        :param place: if given, disturbances of other instances are ignored.
        """
        return not any(
            disturbance.since <= until and disturbance.until >= since
            for disturbance in self.disturbances
            if place is None or disturbance.place is None or disturbance.place == place
        )


def sign(request_id: str, status: int, body: bytes) -> str:
    """Return the signature that identifies a response of a backend server.

    :param request_id: the id of the request.
    :param status: the status of the response.
    :param body: the body of the response.
    """
    text = f"{request_id} {status} ".encode() + body
    return hashlib.sha256(text).hexdigest()[:24]


def route_prefix(path: str) -> str:
    """Return the path up to its last slash, which is the prefix that routes match."""
    return path[: path.rfind("/") + 1]
