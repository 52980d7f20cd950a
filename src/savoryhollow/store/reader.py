"""Follow the platform's configuration service in the background."""

import collections.abc
import threading

from savoryhollow import errors
from savoryhollow.configuration import acceptance, models
from savoryhollow.membership import table
from savoryhollow.observe import events
from savoryhollow.store import client

__all__ = ["ConfigurationHolder", "StoreReader"]

# Pause after a failed read, in s.
RETRY_S = 1.0
# Time between two reads of the list of instances, in s.
LIST_INTERVAL_S = 1.0


class ConfigurationHolder:
    """Holds the configuration in force; its revision only rises.

    :param apply: called with each configuration that is put in force.
    """

    def __init__(self, apply: collections.abc.Callable[[models.Configuration], None]):
        self._apply = apply
        self._lock = threading.Lock()
        self.revision = -1
        self.seen_revision = -1

    def offer(self, publication: client.Publication) -> bool:
        """Put a publication in force where it is newer and accepted.

        :param publication: the publication.
        :returns: whether it is in force now.
        """
        with self._lock:
            if publication.revision <= self.seen_revision:
                return False
            self.seen_revision = publication.revision
            try:
                configuration = acceptance.accept(publication.files)
            except errors.ConfigurationError as error:
                events.emit(
                    events.Event.CONFIGURATION_REJECTED,
                    revision=publication.revision,
                    problems=[str(problem) for problem in error.problems],
                )
                return False
            self._apply(configuration)
            self.revision = publication.revision
        events.emit(events.Event.CONFIGURATION_IN_FORCE, revision=self.revision)
        return True


class StoreReader:
    """Watches the publications and polls the list of instances.

    :param store: reads the service.
    :param holder: takes the publications in.
    :param members: takes the lists in.
    """

    def __init__(
        self,
        store: client.StoreClient,
        holder: ConfigurationHolder,
        members: table.MemberTable,
    ):
        self._store = store
        self._holder = holder
        self._members = members
        self._stop = threading.Event()

    def start(self) -> None:
        """Begin to follow the service in the background."""
        for step in (self._follow_publications, self._follow_instances):
            threading.Thread(target=step, name="store", daemon=True).start()

    def stop(self) -> None:
        """Stop to follow the service."""
        self._stop.set()

    def _follow_publications(self) -> None:
        while not self._stop.is_set():
            try:
                publication = self._store.watch(self._holder.seen_revision)
            except errors.StoreError as error:
                events.emit(events.Event.STORE_UNREACHABLE, detail=str(error))
                self._stop.wait(RETRY_S)
                continue
            self._holder.offer(publication)

    def _follow_instances(self) -> None:
        while not self._stop.is_set():
            try:
                listing = self._store.instances()
            except errors.StoreError:
                self._stop.wait(RETRY_S)
                continue
            if self._members.update(listing):
                events.emit(events.Event.MEMBERS_CHANGED, revision=listing.revision)
            self._stop.wait(LIST_INTERVAL_S)
