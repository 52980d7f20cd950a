"""The known endpoints, which are kept while their source is unavailable.

The source is the platform's list of instances. The module does no I/O and reads
no clock: callers pass the current time.
"""

import dataclasses

from savoryhollow.membership import table

__all__ = ["Directory", "KnownEndpoint"]

# How long a missing entry is still used after the source is available again, in s.
# The backend server may have been unable to renew it during the outage.
RENEWAL_GRACE_S = 1.9
# An outage up to this long doesn't prevent the renewal of any entry, in s. It is known
# 1.5 s after the last word from the source, and 2.5 s after that word a backend server
# that left may get no more requests.
MIN_OUTAGE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownEndpoint(table.Endpoint):
    """An endpoint with the properties that its backend server announces.

    :param slots: the number of requests that it runs at a time; 0 if unknown.
    :param revision: the revision of the list at which the entry last changed.
    :param cold_until: the time until which it is slow after its start.
    """

    slots: int = 0
    revision: int = 0
    cold_until: float = float("-inf")


class Directory:
    """Endpoints by id and host, including those whose removal is delayed.

    The attribute ``endpoints_by_host`` holds the endpoints by the IP address of
    their host, and ``generation`` is a counter that each change increases.
    """

    def __init__(self) -> None:
        self.endpoints_by_id: dict[str, KnownEndpoint] = {}
        self.endpoints_by_host: dict[str, KnownEndpoint] = {}
        self.generation = 0
        self._removal_due_by_id: dict[str, float] = {}
        self._lost_at: float | None = None
        self._earliest_removal_at = float("-inf")

    # -----------------------------------------------------------------------
    #   Changes
    # -----------------------------------------------------------------------

    def put(self, endpoint: KnownEndpoint) -> bool:
        """Add or replace an entry.

        An instance has one backend server, so a newer entry replaces an older one
        of the same host.

        :param endpoint: the entry.
        :returns: whether it changed the directory.
        """
        current = self.endpoints_by_host.get(endpoint.host)
        if current is not None and current.endpoint_id != endpoint.endpoint_id:
            if current.revision > endpoint.revision:
                return False
            self._delete(current.endpoint_id)
        self._removal_due_by_id.pop(endpoint.endpoint_id, None)
        known = self.endpoints_by_id.get(endpoint.endpoint_id)
        if known == endpoint:
            return False
        if known is not None and known.host != endpoint.host:
            del self.endpoints_by_host[known.host]
        self.endpoints_by_id[endpoint.endpoint_id] = endpoint
        self.endpoints_by_host[endpoint.host] = endpoint
        self.generation += 1
        return True

    def remove(self, endpoint_id: str, now: float) -> None:
        """Remove an entry.

        The removal is delayed while the source is unavailable, and for
        ``RENEWAL_GRACE_S`` after an outage longer than ``MIN_OUTAGE_S``.

        :param endpoint_id: the id of the endpoint.
        :param now: the current time.
        """
        if endpoint_id not in self.endpoints_by_id:
            return
        if self._lost_at is not None:
            self._removal_due_by_id.setdefault(endpoint_id, float("inf"))
            return
        if now < self._earliest_removal_at:
            self._removal_due_by_id.setdefault(endpoint_id, self._earliest_removal_at)
            return
        self._delete(endpoint_id)

    def mark_source_lost(self, now: float) -> None:
        """Record that the source is unavailable; known endpoints are kept."""
        if self._lost_at is None:
            self._lost_at = now
            for endpoint_id in self._removal_due_by_id:
                self._removal_due_by_id[endpoint_id] = float("inf")

    def mark_source_restored(self, now: float) -> None:
        """Record that the source is available again."""
        if self._lost_at is None:
            return
        grace_s = RENEWAL_GRACE_S if now - self._lost_at > MIN_OUTAGE_S else 0.0
        self._lost_at = None
        self._earliest_removal_at = max(self._earliest_removal_at, now + grace_s)
        for endpoint_id in self._removal_due_by_id:
            self._removal_due_by_id[endpoint_id] = self._earliest_removal_at

    def remove_due(self, now: float) -> list[str]:
        """Remove the entries whose delayed removal is due.

        :param now: the current time.
        :returns: the ids of the removed endpoints.
        """
        due = [i for i, at in self._removal_due_by_id.items() if at <= now]
        for endpoint_id in due:
            self._delete(endpoint_id)
        return due

    def _delete(self, endpoint_id: str) -> None:
        self._removal_due_by_id.pop(endpoint_id, None)
        endpoint = self.endpoints_by_id.pop(endpoint_id, None)
        if endpoint is not None:
            del self.endpoints_by_host[endpoint.host]
        self.generation += 1

    # -----------------------------------------------------------------------
    #   Queries
    # -----------------------------------------------------------------------

    def find(self, host: str, service: str) -> KnownEndpoint | None:
        """Return the endpoint on a host, if it belongs to a service.

        :param host: the IP address of the instance.
        :param service: the name of the service.
        :returns: the endpoint, or None if the host has none of that service.
        """
        endpoint = self.endpoints_by_host.get(host)
        return (
            endpoint if endpoint is not None and endpoint.service == service else None
        )

    def live_endpoints(self, service: str) -> list[KnownEndpoint]:
        """Return the endpoints of a service that accept new requests."""
        return [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service
            and endpoint.state is table.EndpointState.LIVE
        ]
