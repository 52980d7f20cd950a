"""Write lines to a file descriptor without blocking on its reader."""

import io
import os
import select
import time

__all__ = ["LossyStream"]

# Maximum size of the buffer for a slow reader, in bytes.
MAX_BUFFER_BYTES = 1 << 18


class LossyStream(io.TextIOBase):
    """A text stream that drops whole lines when its reader is too slow.

    The attribute ``dropped`` is the number of dropped lines.

    :param descriptor: an open file descriptor; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._buffer = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def writable(self) -> bool:
        """Return True, because the stream supports writing."""
        return True

    def write(self, text: str) -> int:
        """Write a line, or drop it if the buffer is full."""
        data = text.encode()
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self.dropped += 1
        else:
            self._buffer += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        while self._buffer:
            try:
                written = os.write(self._descriptor, self._buffer)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone. Serving callers is more important than logs.
                self._buffer.clear()
                return
            del self._buffer[:written]

    def finish(self, timeout_s: float) -> None:
        """Write the rest of the buffer before the process ends.

        :param timeout_s: how long to wait for a slow reader, in s.
        """
        deadline = time.monotonic() + timeout_s
        self.flush()
        while self._buffer and (remaining_s := deadline - time.monotonic()) > 0:
            select.select((), (self._descriptor,), (), remaining_s)
            self.flush()
