"""Read the platform's configuration service if this daemon is a reader."""

import collections.abc
import random
import threading
import time

import msgspec

from savoryhollow import errors
from savoryhollow.membership import table
from savoryhollow.observe import events
from savoryhollow.store import client, documents, trust
from savoryhollow.store import publications as publications_module

__all__ = ["ReadSchedule", "StoreReader", "choose_schedule"]

# Delay after a failed read, or one whose document was not applied, in s.
RETRY_DELAY_S = 1.0
# Interval between reads of the list of instances, in s.
LIST_READ_INTERVAL_S = 1.0
# Time without an answer of any neighbour after which a daemon that isn't a reader
# reads the store itself, in s.
ISOLATED_AFTER_S = 5.0
# Additional pause between reads by a daemon that isn't a reader, in s.
ISOLATED_PAUSE_S = 10.0
# Interval of checks whether the store may be trusted, in s.
TRUST_CHECK_INTERVAL_S = 0.05


class ReadSchedule(msgspec.Struct, frozen=True):
    """Whether and how often a daemon reads the store.

    :param reads: whether the daemon reads the store.
    :param pause_s: additional pause between two reads, in s.
    """

    reads: bool
    pause_s: float


def choose_schedule(
    has_list: bool, is_reader: bool, last_answer_at: float, now: float
) -> ReadSchedule:
    """Return whether and how often a daemon reads the store.

    :param has_list: whether the daemon has a list of instances.
    :param is_reader: whether the daemon is a reader of its availability zone.
    :param last_answer_at: the time of the last answer from a neighbour.
    :param now: the current time.
    """
    if is_reader or not has_list:
        return ReadSchedule(True, 0.0)
    return ReadSchedule(now > last_answer_at + ISOLATED_AFTER_S, ISOLATED_PAUSE_S)


class StoreReader:
    """Watches the configuration and polls the list of instances in two threads.

    :param store: the client of the configuration service.
    :param publications: the current documents, to which new ones are offered.
    :param store_trust: decides when documents from the store may be applied.
    :param list_topic: the topic of the list of instances.
    """

    def __init__(
        self,
        store: client.StoreClient,
        publications: publications_module.Publications,
        store_trust: trust.StoreTrust,
        list_topic: str,
    ):
        self._store = store
        self._publications = publications
        self._trust = store_trust
        self._list_topic = list_topic
        self._active = threading.Event()
        self._active.set()
        self._pause_s = 0.0
        self._stop = threading.Event()
        self._rng = random.Random()

    def start(self) -> None:
        """Start the background threads."""
        for read in (self._read_publication, self._read_list):
            threading.Thread(
                target=self._run, args=(read,), name="store", daemon=True
            ).start()

    def stop(self) -> None:
        """Tell the background threads to stop."""
        self._stop.set()
        self._active.set()

    def set_schedule(self, schedule: ReadSchedule) -> None:
        """Change whether and how often the service is read.

        :param schedule: the new schedule.
        """
        self._pause_s = schedule.pause_s
        if schedule.reads:
            self._active.set()
        else:
            self._active.clear()

    # -----------------------------------------------------------------------
    #   Threads
    # -----------------------------------------------------------------------

    def _run(self, read: collections.abc.Callable[[int], tuple[int, float]]) -> None:
        known_revision = -1
        failing = False
        while not self._stop.is_set():
            self._active.wait()
            try:
                known_revision, pause_s = read(known_revision)
                failing = False
            except errors.StoreError as error:
                if not failing:
                    events.emit(events.Event.STORE_UNREACHABLE, detail=str(error))
                failing, pause_s = True, RETRY_DELAY_S
            if pause_s + self._pause_s:
                pause_s *= self._rng.uniform(0.75, 1.25)
                self._stop.wait(pause_s + self._pause_s)

    def _read_publication(self, known_revision: int) -> tuple[int, float]:
        publication = self._store.watch(known_revision)
        if publication is None:
            return known_revision, 0.0
        document = documents.make_document(publication.revision, publication.files)
        topic = publications_module.CONFIGURATION_TOPIC
        applied = self._offer(topic, document)
        return publication.revision, 0.0 if applied else RETRY_DELAY_S

    def _read_list(self, known_revision: int) -> tuple[int, float]:
        instance_list = self._store.read_instances(known_revision)
        if instance_list is None:
            return known_revision, LIST_READ_INTERVAL_S
        texts_by_name = table.encode_entries(instance_list)
        document = documents.make_document(instance_list.revision, texts_by_name)
        if self._publications.version(self._list_topic) == documents.NO_VERSION:
            # Without a list no peer is known, so there is nothing to compare with.
            self._publications.offer(self._list_topic, document)
        else:
            self._offer(self._list_topic, document)
        return instance_list.revision, LIST_READ_INTERVAL_S

    def _offer(self, topic: str, document: documents.Document) -> bool:
        while not self._trust.is_trusted(time.monotonic()):
            if self._stop.wait(TRUST_CHECK_INTERVAL_S):
                return False
        if not self._trust.has_compared:
            events.emit(events.Event.STORE_TRUSTED_ALONE, topic=topic)
        in_force = self._publications.version(topic).revision
        if document.version.revision < in_force:
            events.emit(
                events.Event.STORE_BEHIND,
                topic=topic,
                revision=document.version.revision,
                in_force=in_force,
            )
        return self._publications.offer(topic, document)
