"""One websocket connection, driven by the thread that needs it.

The websockets library's I/O-free protocol objects are used, so that a message
reaches the thread that waits for it without a hand-over between threads.
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

# Bytes read from a socket at one time.
MAX_READ_BYTES = 1 << 16
# Limit of one message, in bytes: a body at its limit, with its headers.
MAX_MESSAGE_BYTES = (16 << 20) + (1 << 18)
# A connection on which something is awaited is pinged after this silence, in s.
PING_AFTER_SILENCE_S = 0.1
# A ping unanswered for this time declares the connection silent, in s.
PONG_TIMEOUT_S = 0.25
# Limit of one blocking send, in s; a slower peer is cut off.
SEND_TIMEOUT_S = 2.0
# Longest single wait for bytes on an idle connection, in s.
MAX_IDLE_WAIT_S = 3600.0
# Shortest single wait for bytes, in s.
MIN_WAIT_S = 1e-4
# How far a wait may overrun before its limit is set anew, as a factor.
TIMEOUT_TOLERANCE = 1.2
# Limit of the opening handshake, in s.
HANDSHAKE_TIMEOUT_S = 1.0


class Channel:
    """A websocket connection that carries messages.

    One thread reads at a time; any thread may send.
    """

    def __init__(self, sock: socket.socket, protocol: websockets.protocol.Protocol):
        self._sock = sock
        # A twin of the socket, as a time limit holds for a whole socket object.
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
        """Whether the connection has ended."""
        return self._closed

    def send(self, message: messages.Message) -> None:
        """Send one message.

        :param message: the message to send.
        :raises errors.ChannelClosedError: where the connection has ended.
        """
        data = codec.encode(message)
        with self._send_lock:
            self._run_protocol_step(lambda: self._protocol.send_binary(data))

    def receive(self, deadline: float | None) -> messages.Message | None:
        """Return the next message.

        While the caller waits, a silent peer is pinged and found out.

        :param deadline: the monotonic instant to give up at, or None to wait
            for as long as the peer answers pings.
        :returns: the message, or None once the deadline has passed.
        :raises errors.ChannelClosedError: where the connection has ended.
        :raises errors.MalformedMessageError: on an invalid message.
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
        """Return the next message, waiting without pings.

        :returns: the message.
        :raises errors.ChannelClosedError: where the connection has ended.
        """
        while not self._inbox:
            self._read_until(time.monotonic() + MAX_IDLE_WAIT_S)
        return self._inbox.popleft()

    def close(self) -> None:
        """Close the connection at once; a thread that reads it is woken.

        The socket's number is given back only with the channel itself, so that
        a thread still in a read can't meet a newer connection under it.
        """
        self._closed = True
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    # -----------------------------------------------------------------------
    #   Silence
    # -----------------------------------------------------------------------

    def _update_waiting_since(self, now: float) -> None:
        # Threads that take turns count as one wait; a pause begins a new one.
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
            text = "the peer answers no ping; resolve what was open on it"
            raise errors.ChannelSilentError(text)

    # -----------------------------------------------------------------------
    #   Bytes
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
        # A socket's limit is left as it is where it would change little: setting
        # it gives up the interpreter's lock for nothing.
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
        text = f"connection ended: {reason}; resolve what was open on it"
        return errors.ChannelClosedError(text)


# ---------------------------------------------------------------------------
#   Opening
# ---------------------------------------------------------------------------


def connect(
    host: str, port: int, hello: messages.HelloMessage
) -> tuple[Channel, messages.HelloMessage]:
    """Open a connection to a peer and exchange greetings.

    :param host: the IP number of the peer.
    :param port: its inner port.
    :param hello: the greeting of this process.
    :returns: the channel and the greeting of the peer.
    :raises errors.ChannelClosedError: where no connection came about.
    :raises errors.VersionMismatchError: where the peer speaks another version.
    """
    try:
        sock = socket.create_connection((host, port), timeout=HANDSHAKE_TIMEOUT_S)
    except OSError as error:
        text = f"no connection to {host}:{port}: {error}; try another endpoint"
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
    """Answer the handshake of a peer and take its greeting.

    :param sock: an accepted socket.
    :returns: the channel, on which the peer waits for a greeting, and the
        greeting of the peer.
    :raises errors.WireError: where the handshake fails.
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
        text = f"handshake refused: {protocol.handshake_exc}; connect with websockets"
        raise errors.MalformedMessageError(text)
    # The peer sends calls only once it is greeted, so it is known before that.
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
    raise channel._close_with_error(TimeoutError("no handshake in time"))


def _await_response(protocol, channel):
    deadline = time.monotonic() + HANDSHAKE_TIMEOUT_S
    while protocol.state is websockets.protocol.State.CONNECTING:
        if protocol.handshake_exc is not None:
            raise channel._close_with_error(protocol.handshake_exc)
        if not channel._read_until(deadline) and time.monotonic() >= deadline:
            raise channel._close_with_error(TimeoutError("no handshake in time"))


def _exchange_hellos(
    channel: Channel, hello: messages.HelloMessage
) -> messages.HelloMessage:
    channel.send(hello)
    return _receive_hello(channel)


def _receive_hello(channel: Channel) -> messages.HelloMessage:
    hello_message = channel.receive(time.monotonic() + HANDSHAKE_TIMEOUT_S)
    if not isinstance(hello_message, messages.HelloMessage):
        channel.close()
        raise errors.MalformedMessageError("no greeting came; connect to a daemon")
    if hello_message.version != messages.PROTOCOL_VERSION:
        channel.close()
        text = f"peer speaks version {hello_message.version}; upgrade the older daemon"
        raise errors.VersionMismatchError(text)
    return hello_message
