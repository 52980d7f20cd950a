"""The current documents of this process, shared by the threads that update them."""

import collections.abc
import threading

from savoryhollow import errors
from savoryhollow.observe import events
from savoryhollow.store import documents
from savoryhollow.wire import messages

__all__ = ["CONFIGURATION_TOPIC", "Publications", "list_topic"]

# Topic of the configuration files; the same in all regions.
CONFIGURATION_TOPIC = "configuration"

_REJECTED_EVENTS_BY_KIND = {
    CONFIGURATION_TOPIC: events.Event.CONFIGURATION_REJECTED,
    "instances": events.Event.LIST_REJECTED,
}
_APPLIED_EVENTS_BY_KIND = {
    CONFIGURATION_TOPIC: events.Event.CONFIGURATION_IN_FORCE,
    "instances": events.Event.MEMBERS_CHANGED,
}


def list_topic(region: str) -> str:
    """Return the topic of the list of instances as seen from a region."""
    return f"instances/{region}"


class Publications:
    """The replicas of all topics, protected by one lock.

    :param replicas: one replica for each topic.
    """

    def __init__(self, replicas: collections.abc.Iterable[documents.Replica]):
        self._replicas_by_topic = {replica.topic: replica for replica in replicas}
        self._lock = threading.Lock()
        self._listeners: list[collections.abc.Callable[[], None]] = []

    def add_listener(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a function to call after each update of a document.

        :param listener: called without arguments; it must not block.
        """
        self._listeners.append(listener)

    def version(self, topic: str) -> documents.Version:
        """Return the current version of a topic."""
        return self._replicas_by_topic[topic].version

    def versions(self) -> tuple[messages.DocumentVersion, ...]:
        """Return the current versions of all topics, as sent to peers."""
        with self._lock:
            return self._versions()

    def offer(self, topic: str, document: documents.Document) -> bool:
        """Apply a document if it is newer and valid.

        :param topic: the topic of the document.
        :param document: the document.
        :returns: True if the document was applied.
        """
        with self._lock:
            applied = self._offer(self._replicas_by_topic[topic], document)
        self._notify_listeners(applied)
        return applied

    # -----------------------------------------------------------------------
    #   Peers
    # -----------------------------------------------------------------------

    def answer(self, message: messages.Message) -> messages.Message | None:
        """Process a comparison or an update sent by a peer.

        :param message: any message from a peer.
        :returns: the answer, or None if the message is of another kind.
        """
        if isinstance(message, messages.CompareMessage):
            return self.compare(message.versions)
        if isinstance(message, messages.RelayMessage):
            self.apply(message)
            return messages.CompareMessage(self.versions())
        return None

    def compare(
        self, versions: tuple[messages.DocumentVersion, ...]
    ) -> messages.RelayMessage:
        """Return the current versions and the deltas that a peer needs.

        :param versions: the versions that the peer sent.
        """
        with self._lock:
            replicas = self._replicas_by_topic
            deltas = [
                delta
                for peer_version in versions
                if peer_version.topic in replicas
                and (delta := replicas[peer_version.topic].delta_for(peer_version))
                is not None
            ]
            return messages.RelayMessage(self._versions(), tuple(deltas))

    def apply(self, message: messages.RelayMessage) -> bool:
        """Apply the deltas of a peer whose documents are newer and valid.

        :param message: the message from the peer.
        :returns: True if any document was applied.
        """
        applied = False
        with self._lock:
            for delta in message.deltas:
                replica = self._replicas_by_topic.get(delta.topic)
                if replica is None:
                    continue
                document = replica.document_from(delta)
                if document is not None:
                    applied = self._offer(replica, document) or applied
        self._notify_listeners(applied)
        return applied

    # -----------------------------------------------------------------------
    #   Called with the lock held, except _notify_listeners
    # -----------------------------------------------------------------------

    def _versions(self) -> tuple[messages.DocumentVersion, ...]:
        return tuple(r.advertised_version for r in self._replicas_by_topic.values())

    def _offer(self, replica: documents.Replica, document: documents.Document) -> bool:
        kind = replica.topic.partition("/")[0]
        revision = document.version.revision
        self._check_conflict(replica, document)
        try:
            applied = replica.offer(document)
        except errors.ConfigurationError as error:
            problems = [str(problem) for problem in error.problems]
            events.emit(
                _REJECTED_EVENTS_BY_KIND[kind], revision=revision, problems=problems
            )
            return False
        if applied:
            events.emit(_APPLIED_EVENTS_BY_KIND[kind], revision=revision)
        return applied

    def _check_conflict(
        self, replica: documents.Replica, document: documents.Document
    ) -> None:
        current, offered = replica.version, document.version
        if offered.revision == current.revision and offered.digest != current.digest:
            events.emit(
                events.Event.REVISION_CONFLICT,
                topic=replica.topic,
                revision=offered.revision,
                kept=max(current, offered).digest.hex(),
            )

    def _notify_listeners(self, applied: bool) -> None:
        if applied:
            for listener in self._listeners:
                listener()
