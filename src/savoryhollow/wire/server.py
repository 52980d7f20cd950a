"""Accept other daemons and hand their requests to the gate.

The thread that reads a request passes the reading of the connection on to
another thread and serves the request itself, so the request is never handed
over.
"""

import collections.abc
import concurrent.futures
import socket
import threading

from savoryhollow import errors
from savoryhollow.wire import channel as channel_module
from savoryhollow.wire import messages

__all__ = ["InnerServer"]

# Threads that read connections and serve requests.
MAX_THREADS = 512
# Connections waiting to be accepted.
BACKLOG = 256

CallHandler = collections.abc.Callable[[messages.CallMessage], messages.Message]
AsideHandler = collections.abc.Callable[[messages.Message], messages.Message | None]


class InnerServer:
    """Listens for other daemons.

    :param host: the IP number to listen on.
    :param port: the port to listen on; 0 picks one.
    :param hello: the greeting of this process.
    :param on_call: serves a call; it may block, and returns the answer.
    :param on_aside: answers any other message at once.
    """

    def __init__(
        self,
        host: str,
        port: int,
        hello: messages.HelloMessage,
        on_call: CallHandler,
        on_aside: AsideHandler,
    ):
        self._hello = hello
        self._on_call = on_call
        self._on_aside = on_aside
        self._listener = socket.create_server((host, port), backlog=BACKLOG)
        self._threads = concurrent.futures.ThreadPoolExecutor(MAX_THREADS, "inner")
        self._channels: set[channel_module.Channel] = set()
        self._lock = threading.Lock()
        self._stopping = False

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._listener.getsockname()[1]

    def start(self) -> None:
        """Begin to accept connections in the background."""
        threading.Thread(target=self._accept_all, name="accept", daemon=True).start()

    def stop(self) -> None:
        """Close the listener and every connection."""
        self._stopping = True
        self._listener.close()
        with self._lock:
            channels = list(self._channels)
        for channel in channels:
            channel.close()
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _accept_all(self) -> None:
        while not self._stopping:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._submit(self._open, sock)

    def _submit(self, step, *arguments) -> None:
        try:
            self._threads.submit(step, *arguments)
        except RuntimeError:
            # The pool refuses work once the server stops.
            self._stopping = True

    def _open(self, sock: socket.socket) -> None:
        try:
            channel, _ = channel_module.accept(sock, self._hello)
        except errors.WireError:
            sock.close()
            return
        with self._lock:
            self._channels.add(channel)
        self._read(channel)

    def _read(self, channel: channel_module.Channel) -> None:
        try:
            while True:
                message = channel.receive_idle()
                if isinstance(message, messages.CallMessage):
                    self._submit(self._read, channel)
                    channel.send(self._on_call(message))
                    return
                answer = self._on_aside(message)
                if answer is not None:
                    channel.send(answer)
        except errors.WireError:
            self._forget(channel)

    def _forget(self, channel: channel_module.Channel) -> None:
        channel.close()
        with self._lock:
            self._channels.discard(channel)
