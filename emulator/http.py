"""Read and write complete HTTP/1.1 messages, without code of savoryhollow."""

import asyncio
import collections
import collections.abc
import dataclasses

import httptools

__all__ = ["Message", "MessageReader", "render"]

MAX_READ_BYTES = 1 << 16


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """An HTTP request or response.

    :param method: the request method; empty for a response.
    :param target: the request target; empty for a response.
    :param status: the status code; 0 for a request.
    :param headers: header values by lower-case name.
    """

    method: str
    target: str
    status: int
    headers: dict[str, str]
    body: bytes


class MessageReader:
    """Reads consecutive messages from a stream.

    :param stream: the stream to read from.
    :param make_parser: the class of the parser, for requests or for responses.
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
        """Return the next message, or None if the stream ends before it.

        :raises httptools.HttpParserError: if the bytes are not valid HTTP.
        """
        while not self._completed:
            data = await self._stream.read(MAX_READ_BYTES)
            if not data:
                return None
            self._parser.feed_data(data)
        return self._completed.popleft()

    # -----------------------------------------------------------------------
    #   Callbacks of the parser
    # -----------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a new message."""
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Add the complete message to the queue."""
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
    """Return the bytes of a message, with a Content-Length header added.

    :param first_line: the request line or the status line.
    :param headers: header values by name.
    """
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body
