"""Close connections without losing data that the peer has yet to receive.

A connection that is closed while received data is unread, or aborted while written data
is on its way, is reset, and the peer loses the end of its last response. So the sending
side is closed first, and the connection is kept until the peer has received everything.
"""

import asyncio

from savoryhollow.http1 import tcp_info

__all__ = ["GracefulClose", "unsent_bytes"]

# Time without progress after which a slow peer counts as gone, in s.
STALL_TIMEOUT_S = 5.0
# Time for a peer that has received everything to close its side, in s.
PEER_CLOSE_TIMEOUT_S = 1.0
# Interval between checks of the progress, in s.
CHECK_INTERVAL_S = 0.25


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return how much of the written data the peer's host hasn't confirmed yet."""
    connection = transport.get_extra_info("socket")
    return transport.get_write_buffer_size() + tcp_info.unconfirmed_bytes(connection)


class GracefulClose:
    """Closes a connection once its peer has received all written data.

    What the peer still sends is to be discarded by the protocol of the connection.

    :param transport: the transport of the connection.

    ``gave_up`` tells whether the connection was aborted with data on its way.
    """

    def __init__(self, transport: asyncio.Transport):
        self.gave_up = False
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._unsent_bytes = unsent_bytes(transport)
        self._deadline = self._loop.time() + STALL_TIMEOUT_S
        self._is_shut = False
        transport.resume_reading()
        # The protocol is told when everything is written.
        transport.set_write_buffer_limits(0)
        self._shut_down_if_written()
        self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)

    def cancel(self) -> None:
        """Stop to watch the connection, as it is closed."""
        self._timer.cancel()

    def handle_written(self) -> None:
        """Close the sending side, once the transport has written everything."""
        self._loop.call_soon(self._shut_down_if_written)

    def _shut_down_if_written(self) -> None:
        """Close the sending side, unless the peer has reset the connection."""
        if self._is_shut or self._transport.get_write_buffer_size():
            return
        self._is_shut = True
        try:
            self._transport.write_eof()
        except OSError:
            self._transport.abort()

    def _check(self) -> None:
        self._shut_down_if_written()
        now = self._loop.time()
        unsent = unsent_bytes(self._transport)
        if unsent < self._unsent_bytes:
            timeout_s = STALL_TIMEOUT_S if unsent else PEER_CLOSE_TIMEOUT_S
            self._deadline = now + timeout_s
        elif not unsent:
            self._deadline = min(self._deadline, now + PEER_CLOSE_TIMEOUT_S)
        self._unsent_bytes = unsent
        if now >= self._deadline:
            self.gave_up = unsent > 0
            self._transport.abort()
        else:
            self._timer = self._loop.call_later(CHECK_INTERVAL_S, self._check)
