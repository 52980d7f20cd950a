"""Published documents: their versions, and the differences between them.

A document is a set of named texts, such as the files of the configuration or
the entries of the list of instances. Of two documents the one with the higher
revision is newer; the digest of the content decides where two share a
revision, so that every process settles on the same one.
"""

import collections
import collections.abc
import dataclasses

import xxhash

from savoryhollow import errors
from savoryhollow.wire import messages

__all__ = ["NO_VERSION", "Document", "Replica", "Version", "make_document"]

# Changes remembered, from which a peer that is a little behind is served.
MAX_RECENT_CHANGES = 64


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Version:
    """Orders the documents of one topic."""

    revision: int
    digest: bytes


# Older than any document.
NO_VERSION = Version(-1, b"")


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """One publication of a topic."""

    version: Version
    texts_by_name: dict[str, str]


def make_document(revision: int, texts_by_name: dict[str, str]) -> Document:
    """Return a document with the digest of its content.

    :param revision: its revision.
    :param texts_by_name: its texts.
    """
    digest = xxhash.xxh3_128()
    for name in sorted(texts_by_name):
        for part in (name, texts_by_name[name]):
            data = part.encode(errors="surrogatepass")
            digest.update(len(data).to_bytes(4, "big"))
            digest.update(data)
    return Document(Version(revision, digest.digest()), texts_by_name)


# ---------------------------------------------------------------------------
#   A replica of one document
# ---------------------------------------------------------------------------


Accept = collections.abc.Callable[[Document], None]


class Replica:
    """The document of one topic that is in force here; its version only rises.

    :param topic: names the document.
    :param accept: puts a document in force or raises
        :class:`errors.ConfigurationError`; it must decide by the content alone.
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
        """The version in force."""
        return self.document.version

    @property
    def advertised_version(self) -> messages.DocumentVersion:
        """The version in force as peers are told of it."""
        return messages.DocumentVersion(
            self.topic,
            self.version.revision,
            self.version.digest,
            self.rejected.digest,
        )

    def offer(self, document: Document) -> bool:
        """Put a document in force where it is newer and accepted.

        :param document: the document, from whatever source.
        :returns: whether it was put in force.
        :raises errors.ConfigurationError: where it is newer and rejected; a
            document that was rejected last is passed over.
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
    #   Differences
    # -----------------------------------------------------------------------

    def delta_for(
        self, peer: messages.DocumentVersion
    ) -> messages.RevisionDelta | None:
        """Return what brings a peer up to the document in force.

        :param peer: the version that the peer has told.
        :returns: the difference, the whole document where the peer's version is
            not remembered, or None where the peer is not behind.
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
        """Return the document that a peer's difference leads to.

        :param delta: the difference.
        :returns: the document, or None where its base is not in force here or
            the content doesn't match its digest.
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
