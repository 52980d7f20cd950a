"""Whole messages of HTTP/1.1 from a stream, parsed apart from the product."""

import asyncio
import collections
import collections.abc
import dataclasses

import httptools

__all__ = ["Message", "MessageReader", "render"]

MAX_READ_BYTES = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer.

    :param status: 0 for a request.
    :param headers: values by name in lower case.
    """

    method: str
    target: str
    status: int
    headers: dict[str, str]
    body: bytes


class MessageReader:
    """Reads messages one after the other.

    :param stream: where bytes come from.
    :param make_parser: a parser of requests or of answers.
    """

    def __init__(
        self,
        stream: asyncio.StreamReader,
        make_parser: collections.abc.Callable[
            [object], httptools.HttpRequestParser | httptools.HttpResponseParser
        ],
    ):
        self._stream = stream
        self._parser = make_parser(self)
        self._completed: collections.deque[Message] = collections.deque()
        self.on_message_begin()

    async def read(self) -> Message | None:
        """Return the next message, or None where the stream ends before it.

        :raises httptools.HttpParserError: where the bytes are no message.
        """
        while not self._completed:
            data = await self._stream.read(MAX_READ_BYTES)
            if not data:
                return None
            self._parser.feed_data(data)
        return self._completed.popleft()

    # -----------------------------------------------------------------------
    #   The parser
    # -----------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a message."""
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Keep the message, which is now whole."""
        status, method = 0, ""
        if isinstance(self._parser, httptools.HttpResponseParser):
            status = self._parser.get_status_code()
        else:
            method = self._parser.get_method().decode("latin-1")
        target = self._target.decode("latin-1")
        self._completed.append(
            Message(method, target, status, self._headers, self._body)
        )


def render(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message; its length is added."""
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
