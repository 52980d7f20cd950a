"""Routes, which map the host and path of a request to services.

A route table is immutable; each newer version replaces it as a whole.
"""

import collections.abc
import dataclasses
import functools
import math
import random

__all__ = ["CallerLimits", "Route", "RouteTable", "ServiceShare", "WeightedRoundRobin"]

# Number of requests at the head of a cycle among which its start is chosen.
MAX_START = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight among the services of a route."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are handled.

    :param host: the host name, in lower case and without a port.
    :param idempotent: whether a request may run more than once.
    :param order: the priority of its requests; 0 is the most urgent.
    :param objective_s: the time within which an answer has its full value.
    :param timeout_s: the longest time that a caller waits for an answer.
    :param max_attempts: the number of endpoints that one request may be sent to.
    :param shares: the services that the requests are distributed over.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    order: int
    objective_s: float
    timeout_s: float
    max_attempts: int
    shares: tuple[ServiceShare, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of requests and on the time that callers may take.

    :param header_bytes: the size limit of a request's target and headers, in bytes.
    :param body_bytes: the size limit of a body, in bytes.
    :param header_timeout_s: the time within which a started request must make
        progress, in s.
    :param idle_timeout_s: the time after which an idle connection is closed, in s.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """All routes of one version of the configuration.

    :param version: increases with each change.
    :param health_paths_by_service: the paths of the backend servers' health checks.
    """

    version: int
    limits: CallerLimits
    routes: tuple[Route, ...]
    health_paths_by_service: dict[str, str] = dataclasses.field(default_factory=dict)

    @functools.cached_property
    def routes_by_host(self) -> dict[str, dict[str, Route]]:
        """The routes by host and prefix."""
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, {})[route.prefix] = route
        return by_host

    @functools.cached_property
    def services(self) -> tuple[str, ...]:
        """The names of all services that routes lead to."""
        services = {share.service for route in self.routes for share in route.shares}
        return tuple(sorted(services))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match for a path.

        :param host: the value of the Host header, with or without a port.
        :param path: the path without its query.
        :returns: the route, or None if none matches.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        routes = self.routes_by_host.get(name.lower())
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Distributes the requests of a route over its services by weight.

    This is smooth weighted round robin: the requests of each service are spread
    evenly, so that any sequence of requests stays close to the weights. Each process
    starts at another point of the cycle, so that the first requests of many processes
    stay close to the weights as well.

    :param choose_start: returns a start below the given length of a cycle.
    """

    def __init__(
        self, choose_start: collections.abc.Callable[[int], int] = random.randrange
    ):
        self._choose_start = choose_start
        self._current_weights_by_route: dict[Route, dict[str, float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service of the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        current_weights = self._current_weights_by_route.get(route)
        if current_weights is None:
            current_weights = self._start(route)
            self._current_weights_by_route[route] = current_weights
        return self._advance(route, current_weights)

    def _start(self, route: Route) -> dict[str, float]:
        current_weights = {share.service: 0.0 for share in route.shares}
        weights = [share.weight for share in route.shares]
        cycle = sum(weights) // math.gcd(*weights)
        for _ in range(self._choose_start(min(cycle, MAX_START))):
            self._advance(route, current_weights)
        return current_weights

    @staticmethod
    def _advance(route: Route, current_weights: dict[str, float]) -> str:
        for share in route.shares:
            current_weights[share.service] += share.weight
        service = max(current_weights, key=current_weights.__getitem__)
        current_weights[service] -= sum(share.weight for share in route.shares)
        return service

    def keep_only(self, table: RouteTable) -> None:
        """Remove the state of all routes that are not in a table."""
        kept = set(table.routes)
        for route in self._current_weights_by_route.keys() - kept:
            del self._current_weights_by_route[route]
