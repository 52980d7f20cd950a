"""Write lines to a descriptor without ever waiting for its reader."""

import io
import os

__all__ = ["LossyStream"]

# Text that may wait for a reader that lags, in bytes.
MAX_PENDING_BYTES = 1 << 18


class LossyStream(io.TextIOBase):
    """A text stream that drops whole lines while its reader lags.

    :param descriptor: an open descriptor; it is set not to block.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self._pending = bytearray()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def writable(self) -> bool:
        """Return True."""
        return True

    def write(self, text: str) -> int:
        """Take in a line, or drop it where too much waits already."""
        data = text.encode()
        if len(self._pending) + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
        else:
            self._pending += data
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much as the reader takes now."""
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; serving callers goes before logs.
                self._pending.clear()
                return
            del self._pending[:written]
