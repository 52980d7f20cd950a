"""A websocket connection that carries messages, without a thread of its own.

The thread that waits for a message reads the socket itself. This uses the sans-I/O
protocol objects of the websockets library and avoids a switch between threads for
each message.
"""

import collections
import collections.abc
import socket
import threading
import time

import websockets.client
import websockets.exceptions
import websockets.frames
import websockets.protocol
import websockets.server
import websockets.uri

from savoryhollow import errors
from savoryhollow.wire import codec, messages

__all__ = ["Channel", "accept", "connect"]

# Maximum number of bytes per read from a socket.
MAX_READ_BYTES = 1 << 16
# Maximum size of a message in bytes: a body of the maximum size and its headers.
MAX_MESSAGE_BYTES = (16 << 20) + (1 << 18)
# Time without received data after which a peer is pinged while a thread waits for
# a message, in s.
PING_AFTER_SILENCE_S = 0.1
# Time to wait for the answer to a ping before the peer counts as silent, in s.
PONG_TIMEOUT_S = 0.25
# Timeout of one blocking send, in s; the connection to a slower peer is closed.
SEND_TIMEOUT_S = 2.0
# Maximum time of one read from an idle connection, in s.
MAX_IDLE_WAIT_S = 3600.0
# Minimum timeout of one read from a socket, in s.
MIN_WAIT_S = 1e-4
# The socket's timeout is left unchanged if it exceeds the wanted one by at most this
# factor.
TIMEOUT_TOLERANCE = 1.2
# Timeout of each step of opening a connection, in s.
HANDSHAKE_TIMEOUT_S = 1.0


class Channel:
    """A websocket connection that carries messages.

    Only one thread may read at a time; any thread may send.

    :param sock: the connected socket.
    :param protocol: the websocket protocol of this end of the connection.
    """

    def __init__(self, sock: socket.socket, protocol: websockets.protocol.Protocol):
        self._sock = sock
        # Sending needs a timeout of its own, and a timeout applies to the whole
        # socket object, so the socket is duplicated.
        self._send_sock = sock.dup()
        self._send_sock.settimeout(SEND_TIMEOUT_S)
        self._protocol = protocol
        self._send_lock = threading.Lock()
        self._inbox: collections.deque[messages.Message] = collections.deque()
        self._last_received_at = time.monotonic()
        self._waiting_since = self._last_received_at
        self._waited_until = self._last_received_at
        self._receive_timeout_s = 0.0
        self._pinged_at: float | None = None
        self._closed = False
        self.bytes_sent = 0
        self.bytes_received = 0

    def __del__(self) -> None:
        self._sock.close()
        self._send_sock.close()

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._closed

    def send(self, message: messages.Message) -> None:
        """Send one message.

        :param message: the message to send.
        :raises errors.ChannelClosedError: if the connection is closed.
        """
        data = codec.encode(message)
        with self._send_lock:
            self._run_protocol_step(lambda: self._protocol.send_binary(data))

    def receive(self, deadline: float | None) -> messages.Message | None:
        """Return the next message, and ping the peer while it is silent.

        :param deadline: the monotonic time at which to stop waiting, or None to
            wait as long as the peer answers pings.
        :returns: the message, or None if the deadline has passed.
        :raises errors.ChannelSilentError: if the peer stops answering pings.
        :raises errors.ChannelClosedError: if the connection is closed.
        :raises errors.MalformedMessageError: if the message is invalid.
        """
        self._update_waiting_since(time.monotonic())
        while not self._inbox:
            wake_at = self._next_ping_check()
            if deadline is not None:
                wake_at = min(wake_at, deadline)
            if not self._read_until(wake_at):
                now = time.monotonic()
                self._waited_until = now
                if deadline is not None and now >= deadline:
                    return None
                self._check_silence(now)
        return self._inbox.popleft()

    def receive_idle(self) -> messages.Message:
        """Return the next message, and wait for it without pings.

        :returns: the message.
        :raises errors.ChannelClosedError: if the connection is closed.
        :raises errors.MalformedMessageError: if the message is invalid.
        """
        while not self._inbox:
            self._read_until(time.monotonic() + MAX_IDLE_WAIT_S)
        return self._inbox.popleft()

    def close(self) -> None:
        """Shut the connection down and wake a thread that reads from it.

        The file descriptor is released only when the channel is deleted. Otherwise
        it could be reused for a new connection, and a thread that is still reading
        would read from that one.
        """
        self._closed = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    # -----------------------------------------------------------------------
    #   Pings
    # -----------------------------------------------------------------------

    def _update_waiting_since(self, now: float) -> None:
        # Waits of different threads that follow closely on one another count as one
        # wait; a longer pause starts a new one.
        if now > self._waited_until + PING_AFTER_SILENCE_S:
            self._waiting_since = now
        self._waited_until = now

    def _next_ping_check(self) -> float:
        if self._pinged_at is not None:
            return self._pinged_at + PONG_TIMEOUT_S
        return max(self._last_received_at, self._waiting_since) + PING_AFTER_SILENCE_S

    def _check_silence(self, now: float) -> None:
        if self._pinged_at is None:
            self._pinged_at = now
            with self._send_lock:
                self._run_protocol_step(lambda: self._protocol.send_ping(b""))
        elif now >= self._pinged_at + PONG_TIMEOUT_S:
            self.close()
            text = "the peer answered no ping; resolve the requests open on it"
            raise errors.ChannelSilentError(text)

    # -----------------------------------------------------------------------
    #   Reading and writing
    # -----------------------------------------------------------------------

    def _read_until(self, wake_at: float) -> bool:
        try:
            self._set_receive_timeout(wake_at - time.monotonic())
            data = self._sock.recv(MAX_READ_BYTES)
        except TimeoutError:
            return False
        except OSError as error:
            raise self._close_with_error(error) from error
        if not data:
            raise self._close_with_error(None)
        self._last_received_at = time.monotonic()
        self._pinged_at = None
        self.bytes_received += len(data)
        self._handle_data(data)
        return True

    def _set_receive_timeout(self, wait_s: float) -> None:
        # Setting a socket's timeout releases the interpreter lock, so a timeout that
        # would change only a little is kept.
        current_s = self._receive_timeout_s
        if not wait_s <= current_s <= wait_s * TIMEOUT_TOLERANCE:
            self._receive_timeout_s = max(MIN_WAIT_S, wait_s)
            self._sock.settimeout(self._receive_timeout_s)

    def _handle_data(self, data: bytes) -> None:
        with self._send_lock:
            self._run_protocol_step(lambda: self._protocol.receive_data(data))
        for event in self._protocol.events_received():
            if not isinstance(event, websockets.frames.Frame):
                continue
            if event.opcode is websockets.frames.Opcode.BINARY:
                self._inbox.append(codec.decode(bytes(event.data)))
            elif event.opcode is websockets.frames.Opcode.CLOSE:
                raise self._close_with_error(None)

    def _run_protocol_step(self, step: collections.abc.Callable[[], None]) -> None:
        try:
            step()
            for data in self._protocol.data_to_send():
                if data:
                    self._send_all(data)
        except (OSError, websockets.exceptions.WebSocketException) as error:
            raise self._close_with_error(error) from error

    def _send_all(self, data: bytes) -> None:
        unsent = memoryview(data)
        while unsent:
            sent = self._send_sock.send(unsent)
            self.bytes_sent += sent
            unsent = unsent[sent:]

    def _close_with_error(self, error: Exception | None) -> errors.ChannelClosedError:
        self.close()
        reason = error or "the peer closed it"
        text = f"connection closed: {reason}; resolve the requests open on it"
        return errors.ChannelClosedError(text)


# ---------------------------------------------------------------------------
#   Opening
# ---------------------------------------------------------------------------


def connect(
    host: str, port: int, hello: messages.HelloMessage
) -> tuple[Channel, messages.HelloMessage]:
    """Open a connection to a peer and exchange hello messages.

    :param host: the IP address of the peer.
    :param port: its inner port.
    :param hello: the hello message of this process.
    :returns: the channel and the hello message of the peer.
    :raises errors.ChannelClosedError: if the connection can't be established.
    :raises errors.MalformedMessageError: if the peer sends no valid hello message.
    :raises errors.VersionMismatchError: if the peer uses another protocol version.
    """
    try:
        sock = socket.create_connection((host, port), timeout=HANDSHAKE_TIMEOUT_S)
    except OSError as error:
        text = f"can't connect to {host}:{port}: {error}; try another endpoint"
        raise errors.ChannelClosedError(text) from error
    _configure_socket(sock)
    uri = websockets.uri.parse_uri(f"ws://{host}:{port}/")
    protocol = websockets.client.ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
    channel = Channel(sock, protocol)
    request = protocol.connect()
    with channel._send_lock:
        channel._run_protocol_step(lambda: protocol.send_request(request))
    _await_response(protocol, channel)
    return channel, _exchange_hellos(channel, hello)


def accept(sock: socket.socket) -> tuple[Channel, messages.HelloMessage]:
    """Answer the handshake of a peer and receive its hello message.

    :param sock: an accepted socket.
    :returns: the channel and the hello message of the peer, which waits for one in
        return.
    :raises errors.WireError: if the handshake fails.
    """
    _configure_socket(sock)
    protocol = websockets.server.ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    channel = Channel(sock, protocol)
    request = _await_request(sock, protocol, channel)
    response = protocol.accept(request)
    with channel._send_lock:
        channel._run_protocol_step(lambda: protocol.send_response(response))
    if protocol.handshake_exc is not None:
        channel.close()
        text = f"handshake failed: {protocol.handshake_exc}; use a websocket client"
        raise errors.MalformedMessageError(text)
    # The peer sends calls only after it has received a hello message, so the caller
    # can register the connection before the first call.
    hello_message = _receive_hello(channel)
    return channel, hello_message


def _configure_socket(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(HANDSHAKE_TIMEOUT_S)


def _await_request(sock, protocol, channel):
    deadline = time.monotonic() + HANDSHAKE_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            data = sock.recv(MAX_READ_BYTES)
        except OSError as error:
            raise channel._close_with_error(error) from error
        if not data:
            raise channel._close_with_error(None)
        protocol.receive_data(data)
        for event in protocol.events_received():
            return event
        if protocol.handshake_exc is not None:
            raise channel._close_with_error(protocol.handshake_exc)
    raise channel._close_with_error(TimeoutError("handshake timed out"))


def _await_response(protocol, channel):
    deadline = time.monotonic() + HANDSHAKE_TIMEOUT_S
    while protocol.state is websockets.protocol.State.CONNECTING:
        if protocol.handshake_exc is not None:
            raise channel._close_with_error(protocol.handshake_exc)
        if not channel._read_until(deadline) and time.monotonic() >= deadline:
            raise channel._close_with_error(TimeoutError("handshake timed out"))


def _exchange_hellos(
    channel: Channel, hello: messages.HelloMessage
) -> messages.HelloMessage:
    channel.send(hello)
    return _receive_hello(channel)


def _receive_hello(channel: Channel) -> messages.HelloMessage:
    hello_message = channel.receive(time.monotonic() + HANDSHAKE_TIMEOUT_S)
    if not isinstance(hello_message, messages.HelloMessage):
        channel.close()
        raise errors.MalformedMessageError("no hello message; connect to a daemon")
    if hello_message.version != messages.PROTOCOL_VERSION:
        channel.close()
        text = (
            f"the peer uses protocol version {hello_message.version};"
            " upgrade the older daemon"
        )
        raise errors.VersionMismatchError(text)
    return hello_message
