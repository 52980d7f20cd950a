"""Published documents, their versions, and the deltas between them.

A document is a set of named texts, such as the files of the configuration or
the entries of the list of instances. The document with the higher revision is
newer. If two documents have the same revision, the digests of their contents
are compared, so that all processes choose the same one.
"""

import collections
import collections.abc
import dataclasses

import xxhash

from savoryhollow import errors
from savoryhollow.wire import messages

__all__ = ["NO_VERSION", "Document", "Replica", "Version", "make_document"]

# Number of recent changes kept, to send deltas to peers that are slightly behind.
MAX_RECENT_CHANGES = 64


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Version:
    """The version of a document; versions of one topic are ordered."""

    revision: int
    digest: bytes


# The version before the first document.
NO_VERSION = Version(-1, b"")


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One published version of a document."""

    version: Version
    texts_by_name: dict[str, str]


def make_document(revision: int, texts_by_name: dict[str, str]) -> Document:
    """Return a document, with a digest computed from its content.

    :param revision: the revision of the document.
    :param texts_by_name: the content of the document.
    """
    digest = xxhash.xxh3_128()
    for name in sorted(texts_by_name):
        for part in (name, texts_by_name[name]):
            data = part.encode(errors="surrogatepass")
            digest.update(len(data).to_bytes(4, "big"))
            digest.update(data)
    return Document(Version(revision, digest.digest()), texts_by_name)


# ---------------------------------------------------------------------------
#   Replica of one document
# ---------------------------------------------------------------------------


Accept = collections.abc.Callable[[Document], None]


class Replica:
    """The current document of one topic in this process.

    A document is only replaced by a newer one.

    :param topic: the topic of the document.
    :param accept: applies a document or raises
        :class:`errors.ConfigurationError`. The result must depend on the content
        only, so that all processes accept the same documents.
    """

    def __init__(self, topic: str, accept: Accept):
        self.topic = topic
        self.document = Document(NO_VERSION, {})
        self.rejected = NO_VERSION
        self._accept = accept
        self._recent_changes: collections.deque[tuple[Version, frozenset[str]]] = (
            collections.deque(maxlen=MAX_RECENT_CHANGES)
        )

    @property
    def version(self) -> Version:
        """The current version."""
        return self.document.version

    @property
    def advertised_version(self) -> messages.DocumentVersion:
        """The current version and the newest rejected one, as sent to peers."""
        return messages.DocumentVersion(
            self.topic,
            self.version.revision,
            self.version.digest,
            self.rejected.digest,
        )

    def offer(self, document: Document) -> bool:
        """Apply a document if it is newer and valid.

        The newest rejected document is ignored if it is offered again.

        :param document: the document, from the store or from a peer.
        :returns: True if the document was applied.
        :raises errors.ConfigurationError: if the document is newer but invalid.
        """
        if document.version <= self.version or document.version == self.rejected:
            return False
        try:
            self._accept(document)
        except errors.ConfigurationError:
            self.rejected = max(self.rejected, document.version)
            raise
        changed = _changed_names(self.document, document)
        self._recent_changes.append((self.version, changed))
        self.document = document
        return True

    # -----------------------------------------------------------------------
    #   Deltas
    # -----------------------------------------------------------------------

    def delta_for(
        self, peer: messages.DocumentVersion
    ) -> messages.RevisionDelta | None:
        """Return the delta that updates a peer to the current document.

        The delta contains the whole document if the peer's version is not among
        the recent ones.

        :param peer: the version that the peer sent.
        :returns: the delta, or None if the peer is up to date or has rejected the
            current document.
        """
        base = Version(peer.revision, peer.digest)
        if base >= self.version or peer.rejected_digest == self.version.digest:
            return None
        names = self._changed_since(base)
        if names is None:
            base, names = NO_VERSION, frozenset(self.document.texts_by_name)
        texts = self.document.texts_by_name
        changed = [
            messages.DocumentText(name, texts[name])
            for name in sorted(names)
            if name in texts
        ]
        return messages.RevisionDelta(
            self.topic,
            base.revision,
            base.digest,
            self.version.revision,
            self.version.digest,
            tuple(changed),
            tuple(sorted(names - texts.keys())),
        )

    def document_from(self, delta: messages.RevisionDelta) -> Document | None:
        """Return the document that results from a peer's delta.

        :param delta: the delta.
        :returns: the document, or None if the delta is neither complete nor based on
            the current version, or if the content doesn't match the digest.
        """
        base = Version(delta.base_revision, delta.base_digest)
        if base not in (NO_VERSION, self.version):
            return None
        texts = {} if base == NO_VERSION else dict(self.document.texts_by_name)
        for name in delta.removed:
            texts.pop(name, None)
        texts.update((part.name, part.text) for part in delta.changed)
        document = make_document(delta.revision, texts)
        return document if document.version.digest == delta.digest else None

    def _changed_since(self, base: Version) -> frozenset[str] | None:
        names: frozenset[str] = frozenset()
        for before, changed in reversed(self._recent_changes):
            names |= changed
            if before == base:
                return names
        return None


def _changed_names(old: Document, new: Document) -> frozenset[str]:
    before, after = old.texts_by_name, new.texts_by_name
    names = before.keys() | after.keys()
    return frozenset(name for name in names if before.get(name) != after.get(name))
