"""Compress the encoded fields of a message, for links that are billed by volume.

Messages are short and repeat the same few words, so they are compressed with a preset
dictionary that both ends know. A body follows uncompressed: most bodies are compressed
already, or too short to gain from it.
"""

import collections.abc
import zlib

import cbor2

from savoryhollow import errors

__all__ = ["is_packed", "make_dictionary", "pack", "unpack"]

# First byte of packed data. No encoded message begins with it, as all are arrays.
MARK = b"\0"
# Size of the compression window as a power of two; the dictionary has to fit into it.
WINDOW_BITS = 11
# Parameters of the compression: low, as it runs for each message.
LEVEL = 1
MEMORY_LEVEL = 2
# Limit of the decompressed fields, in bytes.
MAX_FIELDS_BYTES = 1 << 20
# Words that are common in the headers of HTTP requests and responses.
COMMON_WORDS = (
    "Cache-Control",
    "no-cache",
    "Date",
    "Server",
    "Content-Length",
    "text/plain; charset=utf-8",
    "gzip, deflate",
    "application/json",
    "application/octet-stream",
    "Content-Type",
    "DELETE",
    "PUT",
    "POST",
    "GET",
    "Host",
    "User-Agent",
    "Accept",
    "*/*",
    "Accept-Encoding",
    "identity",
)


def make_dictionary(words: collections.abc.Iterable[str] = ()) -> bytes:
    """Return a dictionary of common words and the given ones.

    :param words: words that are frequent in messages, the most frequent ones last.
    """
    return b"".join(cbor2.dumps(word) for word in (*COMMON_WORDS, *words))


def pack(fields: bytes, body: bytes, dictionary: bytes) -> bytes:
    """Return packed data.

    :param fields: the encoded message without its body.
    :param body: the body.
    :param dictionary: the dictionary that the other end has too.
    """
    compressor = zlib.compressobj(
        LEVEL, zlib.DEFLATED, -WINDOW_BITS, MEMORY_LEVEL, zdict=dictionary
    )
    return MARK + compressor.compress(fields) + compressor.flush() + body


def is_packed(data: bytes) -> bool:
    """Return True if data was packed by :func:`pack`."""
    return data[:1] == MARK


def unpack(data: bytes, dictionary: bytes) -> tuple[bytes, bytes]:
    """Return the fields and the body of packed data.

    :param data: the packed data.
    :param dictionary: the dictionary with which it was packed.
    :raises errors.MalformedMessageError: if the data is damaged.
    """
    decompressor = zlib.decompressobj(-WINDOW_BITS, zdict=dictionary)
    try:
        fields = decompressor.decompress(data[1:], MAX_FIELDS_BYTES)
    except zlib.error as error:
        text = f"{len(data)} bytes can't be unpacked: {error}; run matching versions"
        raise errors.MalformedMessageError(text) from error
    if not decompressor.eof:
        text = f"{len(data)} packed bytes are incomplete or too large; check the peer"
        raise errors.MalformedMessageError(text)
    return fields, decompressor.unused_data
