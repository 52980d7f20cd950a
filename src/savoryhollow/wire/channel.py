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
READ_BYTES = 1 << 16
# Limit of one message, in bytes: a body at its limit, with its headers.
MAX_MESSAGE_BYTES = (16 << 20) + (1 << 18)
# A connection on which something is awaited is pinged after this silence, in s.
PING_AFTER_S = 0.1
# A ping unanswered for this time declares the connection silent, in s.
PONG_LIMIT_S = 0.25
# Limit of one blocking send, in s; a slower peer is cut off.
SEND_LIMIT_S = 2.0
# Longest single wait for bytes on an idle connection, in s.
IDLE_WAIT_S = 3600.0
# Shortest single wait for bytes, in s.
SHORTEST_WAIT_S = 1e-4
# How far a wait may overrun before its limit is set anew, as a factor.
WAIT_SLACK = 1.2
# Limit of the opening handshake, in s.
HANDSHAKE_LIMIT_S = 1.0


class Channel:
    """A websocket connection that carries messages.

    One thread reads at a time; any thread may send.
    """

    def __init__(self, sock: socket.socket, protocol: websockets.protocol.Protocol):
        self._sock = sock
        # A twin of the socket, as a time limit holds for a whole socket object.
        self._send_sock = sock.dup()
        self._send_sock.settimeout(SEND_LIMIT_S)
        self._protocol = protocol
        self._send_lock = threading.Lock()
        self._inbox: collections.deque[messages.Message] = collections.deque()
        self._heard_at = time.monotonic()
        self._waiting_since = self._heard_at
        self._waited_until = self._heard_at
        self._wait_limit_s = 0.0
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
            self._protocol_step(lambda: self._protocol.send_binary(data))

    def receive(self, deadline: float | None) -> messages.Message | None:
        """Return the next message.

        While the caller waits, a silent peer is pinged and found out.

        :param deadline: the monotonic instant to give up at, or None to wait
            for as long as the peer answers pings.
        :returns: the message, or None once the deadline has passed.
        :raises errors.ChannelClosedError: where the connection has ended.
        :raises errors.MalformedMessageError: on an invalid message.
        """
        self._note_waiting(time.monotonic())
        while not self._inbox:
            wake_at = self._next_wake()
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
            self._read_until(time.monotonic() + IDLE_WAIT_S)
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

    def _note_waiting(self, now: float) -> None:
        # Threads that take turns count as one wait; a pause begins a new one.
        if now > self._waited_until + PING_AFTER_S:
            self._waiting_since = now
        self._waited_until = now

    def _next_wake(self) -> float:
        if self._pinged_at is not None:
            return self._pinged_at + PONG_LIMIT_S
        return max(self._heard_at, self._waiting_since) + PING_AFTER_S

    def _check_silence(self, now: float) -> None:
        if self._pinged_at is None:
            self._pinged_at = now
            with self._send_lock:
                self._protocol_step(lambda: self._protocol.send_ping(b""))
        elif now >= self._pinged_at + PONG_LIMIT_S:
            self.close()
            text = "the peer answers no ping; resolve what was open on it"
            raise errors.ChannelSilentError(text)

    # -----------------------------------------------------------------------
    #   Bytes
    # -----------------------------------------------------------------------

    def _read_until(self, wake_at: float) -> bool:
        try:
            self._limit_wait(wake_at - time.monotonic())
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            return False
        except OSError as error:
            raise self._ended(error) from error
        if not data:
            raise self._ended(None)
        self._heard_at = time.monotonic()
        self._pinged_at = None
        self.bytes_received += len(data)
        self._take(data)
        return True

    def _limit_wait(self, wait_s: float) -> None:
        # A socket's limit is left as it is where it would change little: setting
        # it gives up the interpreter's lock for nothing.
        known_s = self._wait_limit_s
        if not wait_s <= known_s <= wait_s * WAIT_SLACK:
            self._wait_limit_s = max(SHORTEST_WAIT_S, wait_s)
            self._sock.settimeout(self._wait_limit_s)

    def _take(self, data: bytes) -> None:
        with self._send_lock:
            self._protocol_step(lambda: self._protocol.receive_data(data))
        for event in self._protocol.events_received():
            if not isinstance(event, websockets.frames.Frame):
                continue
            if event.opcode is websockets.frames.Opcode.BINARY:
                self._inbox.append(codec.decode(bytes(event.data)))
            elif event.opcode is websockets.frames.Opcode.CLOSE:
                raise self._ended(None)

    def _protocol_step(self, step: collections.abc.Callable[[], None]) -> None:
        try:
            step()
            for data in self._protocol.data_to_send():
                if data:
                    self._transmit(data)
        except (OSError, websockets.exceptions.WebSocketException) as error:
            raise self._ended(error) from error

    def _transmit(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            sent = self._send_sock.send(view)
            self.bytes_sent += sent
            view = view[sent:]

    def _ended(self, error: Exception | None) -> errors.ChannelClosedError:
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
        sock = socket.create_connection((host, port), timeout=HANDSHAKE_LIMIT_S)
    except OSError as error:
        text = f"no connection to {host}:{port}: {error}; try another endpoint"
        raise errors.ChannelClosedError(text) from error
    _prepare(sock)
    uri = websockets.uri.parse_uri(f"ws://{host}:{port}/")
    protocol = websockets.client.ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
    channel = Channel(sock, protocol)
    request = protocol.connect()
    with channel._send_lock:
        channel._protocol_step(lambda: protocol.send_request(request))
    _await_response(protocol, channel)
    return channel, _greet(channel, hello)


def accept(sock: socket.socket) -> tuple[Channel, messages.HelloMessage]:
    """Answer the handshake of a peer and take its greeting.

    :param sock: an accepted socket.
    :returns: the channel, on which the peer waits for a greeting, and the
        greeting of the peer.
    :raises errors.WireError: where the handshake fails.
    """
    _prepare(sock)
    protocol = websockets.server.ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    channel = Channel(sock, protocol)
    request = _await_request(sock, protocol, channel)
    response = protocol.accept(request)
    with channel._send_lock:
        channel._protocol_step(lambda: protocol.send_response(response))
    if protocol.handshake_exc is not None:
        channel.close()
        text = f"handshake refused: {protocol.handshake_exc}; connect with websockets"
        raise errors.MalformedMessageError(text)
    # The peer sends calls only once it is greeted, so it is known before that.
    greeting = _await_greeting(channel)
    return channel, greeting


def _prepare(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(HANDSHAKE_LIMIT_S)


def _await_request(sock, protocol, channel):
    deadline = time.monotonic() + HANDSHAKE_LIMIT_S
    while time.monotonic() < deadline:
        try:
            data = sock.recv(READ_BYTES)
        except OSError as error:
            raise channel._ended(error) from error
        if not data:
            raise channel._ended(None)
        protocol.receive_data(data)
        for event in protocol.events_received():
            return event
        if protocol.handshake_exc is not None:
            raise channel._ended(protocol.handshake_exc)
    raise channel._ended(TimeoutError("no handshake in time"))


def _await_response(protocol, channel):
    deadline = time.monotonic() + HANDSHAKE_LIMIT_S
    while protocol.state is websockets.protocol.State.CONNECTING:
        if protocol.handshake_exc is not None:
            raise channel._ended(protocol.handshake_exc)
        if not channel._read_until(deadline) and time.monotonic() >= deadline:
            raise channel._ended(TimeoutError("no handshake in time"))


def _greet(channel: Channel, hello: messages.HelloMessage) -> messages.HelloMessage:
    channel.send(hello)
    return _await_greeting(channel)


def _await_greeting(channel: Channel) -> messages.HelloMessage:
    greeting = channel.receive(time.monotonic() + HANDSHAKE_LIMIT_S)
    if not isinstance(greeting, messages.HelloMessage):
        channel.close()
        raise errors.MalformedMessageError("no greeting came; connect to a daemon")
    if greeting.version != messages.PROTOCOL_VERSION:
        channel.close()
        text = f"peer speaks version {greeting.version}; upgrade the older daemon"
        raise errors.VersionMismatchError(text)
    return greeting
