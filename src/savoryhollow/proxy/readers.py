"""Which daemons read the platform, and how the others follow them."""

import asyncio
import collections.abc

from savoryhollow.membership import directory
from savoryhollow.observe import events
from savoryhollow.proxy import inner, links, options, replication
from savoryhollow.proxy import router as router_module

__all__ = ["Readers"]

# How often a reader says that it is well, in s.
UPDATE_INTERVAL_S = 0.5
# Time after the start in which the own endpoint should come to be listed, in s.
LISTING_WAIT_S = 5.0


class Readers:
    """The daemons of a region that read the platform, as this one sees them.

    :param settings: the settings of the process; replaced when they change.
    :param members: the endpoints known.
    :param replica: what is known of the platform.
    :param router: has the links to other daemons.
    :param inner_port: tells the daemons that follow this one.
    :param clock: returns the present instant.
    """

    def __init__(
        self,
        settings: options.AgentSettings,
        members: directory.Directory,
        replica: replication.Replica,
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

    @property
    def reads_platform(self) -> bool:
        """Whether this daemon is one of those that read for their region."""
        return self.settings.backend.host in self._reader_hosts()

    @property
    def are_known(self) -> bool:
        """Whether the list of endpoints can tell who reads for this region."""
        settings = self.settings
        listed = self._members.find(settings.backend.host, settings.service)
        return listed is not None or self._clock() >= self._listing_due_at

    def update_followers(self) -> None:
        """Tell the daemons that follow this one what is new here, and that it lives."""
        self._inner.broadcast_items(self.replica.next_update())

    def follow_seeds(self) -> None:
        """Learn from other daemons what the platform doesn't tell this one."""
        followed_hosts = {self.settings.backend.host, *self._seed_links_by_host}
        for seed in self.settings.seeds:
            if seed.host in followed_hosts:
                continue
            link = self._router.open_link("", seed.host, seed.port)
            link.subscribe()
            self._seed_links_by_host[seed.host] = link

    async def run(self) -> None:
        """Follow the daemons that read, or tell those that don't, for ever."""
        was_reader = False
        while True:
            is_reader = self.reads_platform
            if is_reader is not was_reader:
                events.emit(events.Event.READER_CHANGED, is_reader=is_reader)
                was_reader = is_reader
            if is_reader:
                self.update_followers()
            self._subscribe_to_readers()
            if self.replica.as_of >= 0:
                while self._seed_links_by_host:
                    self._seed_links_by_host.popitem()[1].close()
            await asyncio.sleep(UPDATE_INTERVAL_S)

    def _reader_hosts(self) -> list[str]:
        hosts = {self.settings.backend.host}
        for endpoint in self._members.endpoints_by_id.values():
            link = self._router.links_by_host.get(endpoint.host)
            reachable = link is None or not link.failing
            if endpoint.region == self.settings.region and reachable:
                hosts.add(endpoint.host)
        return replication.rank_readers(hosts)[: replication.READERS_PER_REGION]

    def _subscribe_to_readers(self) -> None:
        for host in self._reader_hosts():
            endpoint = self._members.endpoints_by_host.get(host)
            link = None if endpoint is None else self._router.link(endpoint)
            if link is not None:
                link.subscribe()
