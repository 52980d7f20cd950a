"""Select the daemons of a region that read the platform on behalf of the others.

Readers are the first daemons in an order that is the same for all. One that can't be
reached, or whose updates show that it no longer hears from the platform, is replaced by
the next in order until it is current again.

This module does no I/O; the caller passes the current time.
"""

import collections.abc
import itertools

import xxhash

from savoryhollow.proxy import relay

__all__ = ["READERS_PER_REGION", "ReaderSelection", "rank_hosts"]

# Number of daemons in a region that read the platform.
READERS_PER_REGION = 2


def rank_hosts(hosts: collections.abc.Iterable[str]) -> list[str]:
    """Return hosts in the order in which they are chosen as readers."""
    return sorted(hosts, key=lambda host: xxhash.xxh64_intdigest(host.encode()))


class ReaderSelection:
    """The readers of a region as one daemon selects them.

    The attribute ``outdated_hosts`` holds the hosts that were readers and sent no
    recent confirmation by the platform.

    :param own_host: the host of this daemon, which never counts as outdated here.
    """

    def __init__(self, own_host: str):
        self.own_host = own_host
        self.outdated_hosts: set[str] = set()
        self._selected_at_by_host: dict[str, float] = {}

    def select(
        self,
        ranked_hosts: collections.abc.Iterable[str],
        is_reachable: collections.abc.Callable[[str], bool],
        confirmed_at_by_host: collections.abc.Mapping[str, float],
        now: float,
    ) -> list[str]:
        """Return the hosts of the readers, at least the own one if no other is usable.

        :param ranked_hosts: all hosts of the region, in order.
        :param is_reachable: tells whether a host can be reached.
        :param confirmed_at_by_host: the time up to which the platform confirmed the
            items of a host, as told by its own updates.
        :param now: the current time.
        """
        usable_hosts = (
            host
            for host in ranked_hosts
            if host == self.own_host
            or (
                is_reachable(host) and self._is_current(host, confirmed_at_by_host, now)
            )
        )
        selected = list(itertools.islice(usable_hosts, READERS_PER_REGION))
        self._selected_at_by_host = {
            host: self._selected_at_by_host.get(host, now) for host in selected
        }
        return selected

    def keep_only(self, hosts: collections.abc.Iterable[str]) -> None:
        """Forget hosts that are no longer in the region."""
        self.outdated_hosts.intersection_update(hosts)

    def _is_current(
        self,
        host: str,
        confirmed_at_by_host: collections.abc.Mapping[str, float],
        now: float,
    ) -> bool:
        confirmed_at = confirmed_at_by_host.get(host, float("-inf"))
        if now - confirmed_at <= relay.FRESH_LIMIT_S:
            self.outdated_hosts.discard(host)
            return True
        # A host that was selected only now needs time for its first update.
        selected_at = self._selected_at_by_host.get(host, now)
        if now - selected_at > relay.FRESH_LIMIT_S:
            self.outdated_hosts.add(host)
        return host not in self.outdated_hosts
