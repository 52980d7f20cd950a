"""Selection of the daemons that read the platform, which the others follow."""

import asyncio
import collections.abc

from savoryhollow.membership import directory
from savoryhollow.observe import events
from savoryhollow.proxy import inner, links, options, reader_selection, relay
from savoryhollow.proxy import router as router_module

__all__ = ["Readers"]

# Interval of a reader's updates, which also serve as heartbeats, in s.
UPDATE_INTERVAL_S = 0.5
# Interval at which a daemon checks whom it follows, in s. It is a part of the time in
# which readers are replaced.
FOLLOW_INTERVAL_S = 0.1
# Time after the start within which the local endpoint should be listed, in s. Until
# then the platform's answers may be outdated. Four seconds after its start, a daemon is
# expected to know which endpoints have left.
LISTING_WAIT_S = 3.5


class Readers:
    """The readers of a region, as determined by this daemon.

    Readers are the daemons that read the platform on behalf of their region.

    :param settings: the settings of the process; replaced when they change.
    :param members: the known endpoints.
    :param replica: the items published by the platform.
    :param router: holds the links to other daemons.
    :param inner_port: sends updates to the followers of this daemon.
    :param clock: returns the current time.
    """

    def __init__(
        self,
        settings: options.AgentSettings,
        members: directory.Directory,
        replica: relay.Replica,
        router: router_module.Router,
        inner_port: inner.InnerPort,
        clock: collections.abc.Callable[[], float],
    ):
        self.settings = settings
        self.replica = replica
        self._members = members
        self._router = router
        self._inner = inner_port
        self._clock = clock
        self._listing_due_at = clock() + LISTING_WAIT_S
        self._seed_links_by_host: dict[str, links.Link] = {}
        self._selection = reader_selection.ReaderSelection(settings.backend.host)
        self._ranked_hosts: list[str] = []
        self._ranking_basis: tuple[int, str, str] | None = None
        self._reported_outdated: set[str] = set()

    @property
    def reads_platform(self) -> bool:
        """Whether this daemon is a reader of its region."""
        return self.settings.backend.host in self._reader_hosts()

    @property
    def are_known(self) -> bool:
        """Whether the list of endpoints tells which daemons are the readers.

        True once the local endpoint is listed, or after :data:`LISTING_WAIT_S`.
        """
        settings = self.settings
        listed = self._members.find(settings.backend.host, settings.service)
        return listed is not None or self._clock() >= self._listing_due_at

    def update_followers(self) -> None:
        """Send the followers of this daemon what is new, or just a heartbeat."""
        self._inner.broadcast_items(self.replica.next_update(self._clock()))

    def follow_seeds(self) -> None:
        """Subscribe to the seeds until the first items are known.

        Used if the platform can't be read after the start.
        """
        followed_hosts = {self.settings.backend.host, *self._seed_links_by_host}
        for seed in self.settings.seeds:
            if seed.host in followed_hosts:
                continue
            link = self._router.open_link("", seed.host, seed.port)
            link.subscribe()
            self._seed_links_by_host[seed.host] = link

    async def follow(self) -> None:
        """Follow the readers and, as a reader, update the followers; never return."""
        was_reader = False
        update_due_at = self._clock()
        while True:
            is_reader = self.reads_platform
            if is_reader is not was_reader:
                events.emit(events.Event.READER_CHANGED, is_reader=is_reader)
                was_reader = is_reader
            if is_reader and self._clock() >= update_due_at:
                update_due_at = self._clock() + UPDATE_INTERVAL_S
                self.update_followers()
            self._subscribe_to_readers()
            self._log_outdated()
            if self.replica.as_of >= 0:
                while self._seed_links_by_host:
                    self._seed_links_by_host.popitem()[1].close()
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    def _reader_hosts(self) -> list[str]:
        self._rank_hosts()
        return self._selection.select(
            self._ranked_hosts,
            self._is_reachable,
            self.replica.confirmed_at_by_source,
            self._clock(),
        )

    def _rank_hosts(self) -> None:
        own_host, region = self.settings.backend.host, self.settings.region
        basis = (self._members.generation, own_host, region)
        if basis == self._ranking_basis:
            return
        hosts = {own_host} | {
            endpoint.host
            for endpoint in self._members.endpoints_by_id.values()
            if endpoint.region == region
        }
        self._ranking_basis = basis
        self._ranked_hosts = reader_selection.rank_hosts(hosts)
        self._selection.own_host = own_host
        self._selection.keep_only(hosts)
        self.replica.keep_sources(hosts)

    def _is_reachable(self, host: str) -> bool:
        link = self._router.links_by_host.get(host)
        return link is None or not link.failing

    def _log_outdated(self) -> None:
        outdated_hosts = self._selection.outdated_hosts
        for host in outdated_hosts - self._reported_outdated:
            age_ms = self.replica.confirmed_age_ms(self._clock(), host)
            events.emit(
                events.Event.READER_OUTDATED, host=host, confirmed_age_ms=age_ms
            )
        for host in self._reported_outdated - outdated_hosts:
            events.emit(events.Event.READER_CURRENT, host=host)
        self._reported_outdated = set(outdated_hosts)

    def _subscribe_to_readers(self) -> None:
        for host in self._reader_hosts():
            endpoint = self._members.endpoints_by_host.get(host)
            link = None if endpoint is None else self._router.link(endpoint)
            if link is not None:
                link.subscribe()
