"""Routes: which service a request of a host and path belongs to.

Pure computation. A table is replaced as a whole by each newer version.
"""

import dataclasses
import functools

__all__ = ["CallerLimits", "Route", "RouteTable", "ServiceShare"]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How the requests of one host and path prefix are handled.

    :param idempotent: whether a request may run more than once.
    :param order: the place of its rank, 0 the most urgent.
    :param objective_s: time within which an answer is of full use.
    :param timeout_s: the longest time that a request is kept waiting.
    :param max_attempts: endpoints that one request may be sent to.
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
    """What callers may send, and how long they may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True)
class RouteTable:
    """All routes of one version of the configuration.

    :param version: rises with each change.
    :param health_paths_by_service: where backend servers answer health checks.
    """

    version: int
    limits: CallerLimits
    routes: tuple[Route, ...]
    health_paths_by_service: dict[str, str] = dataclasses.field(default_factory=dict)

    @functools.cached_property
    def routes_by_host(self) -> dict[str, dict[str, Route]]:
        """The routes by host and prefix."""
        found: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            found.setdefault(route.host, {})[route.prefix] = route
        return found

    @functools.cached_property
    def services(self) -> tuple[str, ...]:
        """The services that requests go to."""
        found = {share.service for route in self.routes for share in route.shares}
        return tuple(sorted(found))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path.

        :param host: the host that the caller named, with or without a port.
        :param path: the path without its query.
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
    """Deals a route's requests to its services by their weights.

    Each service comes up as evenly as its weight allows, so that any run of
    requests keeps close to the shares.
    """

    def __init__(self) -> None:
        self._credits_by_route: dict[Route, dict[str, float]] = {}

    def next_service(self, route: Route) -> str:
        """Return the service of the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credits = self._credits_by_route.setdefault(
            route, {share.service: 0.0 for share in route.shares}
        )
        for share in route.shares:
            credits[share.service] += share.weight
        service = max(credits, key=credits.__getitem__)
        credits[service] -= sum(share.weight for share in route.shares)
        return service

    def keep_only(self, table: RouteTable) -> None:
        """Forget the routes that a table doesn't have."""
        kept = set(table.routes)
        for route in self._credits_by_route.keys() - kept:
            del self._credits_by_route[route]
