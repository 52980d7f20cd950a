"""Keep the configuration and the list of instances of one process up to date."""

import collections.abc
import time

from savoryhollow import errors
from savoryhollow.configuration import acceptance, models
from savoryhollow.membership import table
from savoryhollow.observe import events
from savoryhollow.store import (
    client,
    documents,
    publications,
    reader,
    relay,
    topology,
    trust,
)
from savoryhollow.wire import messages

__all__ = ["Follower"]


class Follower:
    """Receives the configuration and the list of instances.

    Both come from the platform's store and from neighbouring daemons.

    :param location: the endpoint id, region and zone of this process.
    :param store: the client of the platform's store.
    :param hello: the hello message of this process.
    :param members: the table of endpoints to update.
    :param apply: called with each accepted configuration.
    :param on_list: called after each change of the endpoints.
    """

    def __init__(
        self,
        location: topology.Location,
        store: client.StoreClient,
        hello: messages.HelloMessage,
        members: table.MemberTable,
        apply,
        on_list: collections.abc.Callable[[], None] = lambda: None,
    ):
        self._location = location
        self._members = members
        self._apply = apply
        self._on_list = on_list
        self._list_topic = publications.list_topic(location.region)
        self._is_reader = False
        self._neighbours: tuple[table.Endpoint, ...] = ()
        self._topology_revision = -1
        self.publications = publications.Publications(
            (
                documents.Replica(
                    publications.CONFIGURATION_TOPIC, self._accept_configuration
                ),
                documents.Replica(self._list_topic, self._accept_list),
            )
        )
        self.store = store
        self._trust = trust.StoreTrust(time.monotonic())
        self._reader = reader.StoreReader(
            self.store, self.publications, self._trust, self._list_topic
        )
        self.relay = relay.Relay(
            self.publications, self._trust, hello, self._update_neighbours
        )

    @property
    def revision(self) -> int:
        """The revision of the current configuration; -1 before the first."""
        topic = publications.CONFIGURATION_TOPIC
        return self.publications.version(topic).revision

    @property
    def is_reader(self) -> bool:
        """Whether this daemon is a reader of its availability zone."""
        return self._is_reader

    def start(self) -> None:
        """Start the background threads."""
        self._reader.start()
        self.relay.start()

    def stop(self) -> None:
        """Tell the background threads to stop."""
        self._reader.stop()
        self.relay.stop()

    # -----------------------------------------------------------------------
    #   Acceptance of documents
    # -----------------------------------------------------------------------

    def _accept_configuration(self, document: documents.Document) -> None:
        configuration: models.Configuration = acceptance.accept(document.texts_by_name)
        self._apply(configuration)

    def _accept_list(self, document: documents.Document) -> None:
        if not document.texts_by_name:
            problem = errors.Problem(
                "the list", "$", "{}", "list at least one instance"
            )
            raise errors.ConfigurationError([problem])
        self._members.replace(document.version.revision, document.texts_by_name)
        self._on_list()

    # -----------------------------------------------------------------------
    #   Topology
    # -----------------------------------------------------------------------

    def _update_neighbours(self) -> tuple[table.Endpoint, ...]:
        self._update_topology()
        schedule = reader.choose_schedule(
            self._members.revision >= 0,
            self._is_reader,
            self.relay.last_answer_at,
            time.monotonic(),
        )
        self._reader.set_schedule(schedule)
        return self._neighbours

    def _update_topology(self) -> None:
        if self._members.revision == self._topology_revision:
            return
        self._topology_revision = self._members.revision
        region = self._location.region
        endpoints = [e for e in self._members.all_endpoints() if e.region == region]
        is_reader = topology.is_reader(self._location, endpoints)
        if is_reader:
            # Only readers need the endpoints of other regions, to choose neighbours.
            endpoints = list(self._members.all_endpoints())
        self._neighbours = topology.neighbours(self._location, endpoints)
        if is_reader != self._is_reader:
            self._is_reader = is_reader
            events.emit(events.Event.READER_CHANGED, is_reader=is_reader)
