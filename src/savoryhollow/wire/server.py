"""Accept other daemons and hand their requests to the gate.

The thread that reads a request passes the reading of the connection on to
another thread and serves the request itself, so the request is never handed
over. Each call is counted before the next message of its connection is read.
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

# Threads that read connections and serve requests.
MAX_THREADS = 512
# Connections waiting to be accepted.
BACKLOG = 256

ControlHandler = collections.abc.Callable[
    [messages.Message, typing.Any], messages.Message | None
]
ServeCall = collections.abc.Callable[[], messages.Message]


class CallService(typing.Protocol):
    """What serves the calls of other daemons."""

    def open_connection(
        self, session: str, number: int, close: collections.abc.Callable[[], None]
    ) -> typing.Any:
        """Return what stands for a new connection."""

    def close_connection(self, connection: typing.Any) -> None:
        """Note that a connection has ended."""

    def stop_accepting(self, connection: typing.Any) -> int | None:
        """Accept no further call; return the number of the last accepted.

        None is returned for a connection that carries no calls.
        """

    def begin(self, call: messages.CallMessage, connection: typing.Any) -> ServeCall:
        """Note a call; return what serves it, which may block."""


class InnerServer:
    """Listens for other daemons.

    :param host: the IP number to listen on.
    :param port: the port to listen on; 0 picks one.
    :param hello: the greeting of this process.
    :param service: knows the connections and serves the calls on them.
    :param on_aside: answers any other message at once.
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
        """The port that is listened on."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Begin to accept connections in the background."""
        threading.Thread(target=self._accept_all, name="accept", daemon=True).start()

    def announce_leaving(self) -> None:
        """Accept no further call on any open connection, and say so on each."""
        with self._lock:
            connections_by_channel = dict(self._connections_by_channel)
        for channel, connection in connections_by_channel.items():
            last_number = self._service.stop_accepting(connection)
            if last_number is None:
                continue
            try:
                channel.send(messages.GoAwayMessage(last_number))
            except errors.WireError:
                # Its reader finds the same and forgets the connection.
                continue

    def stop(self, deadline: float) -> bool:
        """Close the listener, let every answer be sent, and close the rest.

        :param deadline: the monotonic instant to stop waiting at.
        :returns: whether every call was answered.
        """
        with self._lock:
            self._stopping = True
        # A thread that waits in accept is woken by the shutdown alone.
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
            # The pool refuses work once the server stops.
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
            # A peer greeted after the last going away would send calls unheard.
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
                    # Counted before it begins, so that a stop can't miss it.
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
