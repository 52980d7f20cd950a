"""What the kernel tells about a TCP connection."""

import fcntl
import socket
import struct
import termios

__all__ = ["last_data_age_s", "unconfirmed_bytes"]

# Size of the information that is asked for, and the offset of the time since data was
# last received in it, in bytes.
TCP_INFO_BYTES = 104
LAST_DATA_OFFSET = 52


def last_data_age_s(connection: socket.socket) -> float:
    """Return the time since a connection last received data, read or not, in s.

    :returns: the time; 0 if the kernel doesn't tell.
    """
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (age_ms,) = struct.unpack_from("=I", info, LAST_DATA_OFFSET)
    except (OSError, struct.error):
        # The age only shortens deadlines, so an unknown one is no failure.
        return 0.0
    return age_ms / 1000


def unconfirmed_bytes(connection: socket.socket | None) -> int:
    """Return how much of the data sent on a connection the peer hasn't confirmed.

    :returns: the number of bytes; 0 if the kernel doesn't tell.
    """
    try:
        if connection is None:
            return 0
        data = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, struct.pack("=i", 0))
        (size,) = struct.unpack("=i", data)
    except (OSError, ValueError, struct.error):
        # The connection is closed, or the kernel keeps no such count.
        return 0
    return max(0, size)
