"""What callers, backend servers and the operator have seen, for the checks."""

import asyncio
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
    """One request of a caller, and what came of it.

    :param place: the instance whose daemon took it.
    :param boot: counts the starts of that daemon.
    :param idempotent: whether it may run more than once.
    :param fresh: whether it was the first on its connection.
    :param sent_at: when its last byte was sent.
    :param deadline: until when the caller waits.
    :param status: the status of its answer; None where none came.
    :param sound: whether the answer is whole and its own.
    :param left_at: when the caller left, if it did.
    :param ended_at: when the answer, or the end of the connection, came.
    :param detail: how it ended where no answer came.
    """

    request_id: str
    place: int
    boot: int
    path: str
    method: str
    idempotent: bool
    fresh: bool
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
    """One run at a backend server.

    :param place: the instance on which it ran.
    :param caller_service: the service of the caller's instance, as it was told.
    :param given_until: the deadline that the backend server was given.
    :param status: the status that it answered; None where it was broken off.
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
    """One request that reached a backend server, also if it was turned away."""

    request_id: str
    endpoint_id: str
    service: str
    at: float
    ran: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which something was broken.

    :param place: an instance, or None where it concerns all.
    """

    kind: str
    place: int | None
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """A configuration that the store took.

    :param services_by_prefix: where the requests of each path may go.
    """

    version: int
    at: float
    services_by_prefix: dict[str, frozenset[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """An endpoint whose leaving the store took."""

    endpoint_id: str
    place: int
    at: float


class History:
    """Everything that was seen in one run."""

    def __init__(self) -> None:
        self.sent_by_id: dict[str, Sent] = {}
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.disturbances: list[Disturbance] = []
        self.planned_stops: list[Disturbance] = []
        self.configurations: list[Configuration] = []
        self.drains: list[Drain] = []
        self.stopped_at_by_endpoint: dict[str, float] = {}
        self.services_by_instance: dict[int, set[str]] = {}
        self.violations: list[str] = []

    @property
    def now(self) -> float:
        """The present instant."""
        return asyncio.get_running_loop().time()

    def record_disturbance(
        self, kind: str, place: int | None, duration_s: float
    ) -> None:
        """Note that something is broken from now on."""
        now = self.now
        self.disturbances.append(Disturbance(kind, place, now, now + duration_s))

    def is_undisturbed(
        self, since: float, until: float, place: int | None = None
    ) -> bool:
        """Say whether nothing was broken in a time.

        :param place: the instance that counts alone, beside what concerns all;
            None where every instance counts.
        """
        return not any(
            disturbance.since <= until and disturbance.until >= since
            for disturbance in self.disturbances
            if place is None or disturbance.place is None or disturbance.place == place
        )


def sign(request_id: str, status: int, body: bytes) -> str:
    """Return what proves that a backend server gave an answer."""
    text = f"{request_id} {status} ".encode() + body
    return hashlib.sha256(text).hexdigest()[:24]


def route_prefix(path: str) -> str:
    """Return the path up to its last slash, by which it is routed."""
    return path[: path.rfind("/") + 1]
