"""The endpoints that are known, by id, kept through outages of their source.

Pure computation: the caller passes the instant.
"""

import dataclasses

from savoryhollow.membership import table

__all__ = ["Directory", "KnownEndpoint"]

# Time after the source is back for which an entry that is missing is still used,
# in s: the backend server may only have had no way to renew it.
RENEWAL_GRACE_S = 1.9
# Outages shorter than this leave no entry unrenewed, in s.
MIN_OUTAGE_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class KnownEndpoint(table.Endpoint):
    """An endpoint with what its backend server says of itself.

    :param slots: requests that it runs at one time; 0 if unknown.
    :param cold_until: the instant until which it is slow after its start.
    :param revision: rises with each change of the list.
    """

    slots: int = 0
    revision: int = 0
    cold_until: float = float("-inf")


class Directory:
    """Endpoints by id and host, with those whose removal isn't settled yet."""

    def __init__(self) -> None:
        self.endpoints_by_id: dict[str, KnownEndpoint] = {}
        self.endpoints_by_host: dict[str, KnownEndpoint] = {}
        self.generation = 0
        self._removal_due_by_id: dict[str, float] = {}
        self._lost_at: float | None = None
        self._removals_due_at = float("-inf")

    # -----------------------------------------------------------------------
    #   Changes
    # -----------------------------------------------------------------------

    def put(self, endpoint: KnownEndpoint) -> bool:
        """Take in an entry; return whether it says anything new.

        An instance has one backend server, so a newer entry of the same host
        takes the place of those before it.
        """
        other = self.endpoints_by_host.get(endpoint.host)
        if other is not None and other.endpoint_id != endpoint.endpoint_id:
            if other.revision > endpoint.revision:
                return False
            self._drop(other.endpoint_id)
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
        """Take an entry out, at once or when renewals have had their time."""
        if endpoint_id not in self.endpoints_by_id:
            return
        if self._lost_at is not None:
            self._removal_due_by_id.setdefault(endpoint_id, float("inf"))
            return
        if now < self._removals_due_at:
            self._removal_due_by_id.setdefault(endpoint_id, self._removals_due_at)
            return
        self._drop(endpoint_id)

    def mark_source_lost(self, now: float) -> None:
        """Note that the source can't be read: what is known stays."""
        if self._lost_at is None:
            self._lost_at = now

    def mark_source_restored(self, now: float) -> None:
        """Note that the source can be read again."""
        if self._lost_at is None:
            return
        long = now - self._lost_at > MIN_OUTAGE_S
        self._lost_at = None
        self._removals_due_at = now + RENEWAL_GRACE_S if long else now
        for endpoint_id in self._removal_due_by_id:
            self._removal_due_by_id[endpoint_id] = self._removals_due_at

    def remove_due(self, now: float) -> list[str]:
        """Drop the entries whose time for a renewal is over; return their ids."""
        due = [i for i, at in self._removal_due_by_id.items() if at <= now]
        for endpoint_id in due:
            self._drop(endpoint_id)
        return due

    def _drop(self, endpoint_id: str) -> None:
        self._removal_due_by_id.pop(endpoint_id, None)
        endpoint = self.endpoints_by_id.pop(endpoint_id, None)
        if endpoint is not None:
            del self.endpoints_by_host[endpoint.host]
        self.generation += 1

    # -----------------------------------------------------------------------
    #   Questions
    # -----------------------------------------------------------------------

    def find(self, host: str, service: str) -> KnownEndpoint | None:
        """Return the endpoint of an instance, if it is one of a service.

        :param host: the IP number of the instance.
        """
        listed = self.endpoints_by_host.get(host)
        return listed if listed is not None and listed.service == service else None

    def live_endpoints(self, service: str) -> list[KnownEndpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service
            and endpoint.state is table.EndpointState.LIVE
        ]
