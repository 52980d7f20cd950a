"""Accept connections from other daemons and pass their calls to the gate.

The thread that reads a call serves it, and another thread continues to read the
connection, so a call is not handed over between threads. Each call is registered
before the next message of its connection is read.
"""

import collections.abc
import concurrent.futures
import socket
import threading
import time
import typing

from savoryhollow import errors
from savoryhollow.wire import channel as channel_module
from savoryhollow.wire import messages

__all__ = ["CallService", "InnerServer"]

# Maximum number of threads that read connections and serve calls.
MAX_THREADS = 512
# Maximum number of connections waiting to be accepted.
BACKLOG = 256

ControlHandler = collections.abc.Callable[
    [messages.Message, typing.Any], messages.Message | None
]
ServeCall = collections.abc.Callable[[], messages.Message]


class CallService(typing.Protocol):
    """Serves the calls of other daemons."""

    def open_connection(
        self, session: str, number: int, close: collections.abc.Callable[[], None]
    ) -> typing.Any:
        """Register a new connection and return the object that represents it.

        :param session: the incarnation of the router at the other end.
        :param number: the connection's number within the session.
        :param close: closes the connection.
        """

    def close_connection(self, connection: typing.Any) -> None:
        """Record that a connection has ended."""

    def stop_accepting(self, connection: typing.Any) -> int | None:
        """Accept no more calls on a connection.

        :returns: the number of the last call accepted on it, or None if it carries
            no calls.
        """

    def begin(self, call: messages.CallMessage, connection: typing.Any) -> ServeCall:
        """Register a call and return a function that serves it and may block."""


class InnerServer:
    """Listens for connections from other daemons.

    :param host: the IP address to listen on.
    :param port: the port to listen on; 0 picks a free one.
    :param hello: the hello message of this process.
    :param service: registers the connections and serves the calls on them.
    :param on_control_message: answers any other message, without blocking; None if
        the message has no answer.
    """

    def __init__(
        self,
        host: str,
        port: int,
        hello: messages.HelloMessage,
        service: CallService,
        on_control_message: ControlHandler,
    ):
        self._hello = hello
        self._service = service
        self._on_control_message = on_control_message
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        self._threads = concurrent.futures.ThreadPoolExecutor(MAX_THREADS, "inner")
        self._connections_by_channel: dict[channel_module.Channel, typing.Any] = {}
        self._lock = threading.Lock()
        self._all_answered = threading.Condition(self._lock)
        self._unanswered_count = 0
        self._stopping = False

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Accept connections in a background thread."""
        threading.Thread(target=self._accept_all, name="accept", daemon=True).start()

    def announce_leaving(self) -> None:
        """Stop accepting calls on all open connections and notify their peers."""
        with self._lock:
            connections_by_channel = dict(self._connections_by_channel)
        for channel, connection in connections_by_channel.items():
            last_number = self._service.stop_accepting(connection)
            if last_number is None:
                continue
            try:
                channel.send(messages.GoAwayMessage(last_number))
            except errors.WireError:
                # The thread that reads the connection gets the same error and
                # removes the connection.
                continue

    def stop(self, deadline: float) -> bool:
        """Stop listening, wait for open calls to be answered, and close connections.

        :param deadline: the monotonic time at which to stop waiting.
        :returns: whether every call was answered.
        """
        with self._lock:
            self._stopping = True
        # Closing the socket doesn't wake a thread blocked in accept(); shutting it
        # down does.
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._listener.close()
        self.announce_leaving()
        with self._lock:
            answered = self._all_answered.wait_for(
                lambda: self._unanswered_count == 0, deadline - time.monotonic()
            )
            channels = list(self._connections_by_channel)
        for channel in channels:
            channel.close()
        self._threads.shutdown(wait=False, cancel_futures=True)
        return answered

    def _accept_all(self) -> None:
        while not self._stopping:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._submit(self._open, sock)

    def _submit(self, function, *arguments) -> None:
        try:
            self._threads.submit(function, *arguments)
        except RuntimeError:
            # The thread pool has been shut down because the server stops.
            self._stopping = True

    def _open(self, sock: socket.socket) -> None:
        try:
            channel, peer = channel_module.accept(sock)
        except errors.WireError:
            sock.close()
            return
        connection = self._service.open_connection(
            peer.incarnation, peer.connection, channel.close
        )
        with self._lock:
            # Once the server stops, no further go-away message is sent. A peer that
            # got a hello message after that would send calls that are never read.
            registered = not self._stopping
            if registered:
                self._connections_by_channel[channel] = connection
        if not registered:
            channel.close()
            self._service.close_connection(connection)
            return
        try:
            channel.send(self._hello)
        except errors.WireError:
            self._close_channel(channel)
            return
        self._read_messages(channel, connection)

    def _read_messages(
        self, channel: channel_module.Channel, connection: typing.Any
    ) -> None:
        try:
            while True:
                message = channel.receive_idle()
                if isinstance(message, messages.CallMessage):
                    # Count the call before it starts, so that stop() waits for it.
                    with self._lock:
                        self._unanswered_count += 1
                    serve_call = self._service.begin(message, connection)
                    self._submit(self._read_messages, channel, connection)
                    self._serve_and_answer(channel, serve_call)
                    return
                answer = self._on_control_message(message, connection)
                if answer is not None:
                    channel.send(answer)
        except errors.WireError:
            self._close_channel(channel)

    def _serve_and_answer(
        self, channel: channel_module.Channel, serve_call: ServeCall
    ) -> None:
        try:
            channel.send(serve_call())
        finally:
            with self._lock:
                self._unanswered_count -= 1
                self._all_answered.notify_all()

    def _close_channel(self, channel: channel_module.Channel) -> None:
        channel.close()
        with self._lock:
            connection = self._connections_by_channel.pop(channel, None)
        if connection is not None:
            self._service.close_connection(connection)
