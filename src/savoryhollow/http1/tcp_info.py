"""What the kernel tells about a TCP connection."""

import fcntl
import socket
import struct
import termios

__all__ = ["unconfirmed_bytes", "unread_data_age_s"]

# Size of the information that is asked for, and the offset of the time since data was
# last received in it, in bytes.
TCP_INFO_BYTES = 104
LAST_DATA_OFFSET = 52


def unread_data_age_s(connection: socket.socket) -> float | None:
    """Return the time since the last of a connection's unread data arrived, in s.

    :returns: the time; None if all data was read, or the kernel tells no time.
    """
    if _read_int(connection, termios.FIONREAD) == 0:
        return None
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (age_ms,) = struct.unpack_from("=I", info, LAST_DATA_OFFSET)
    except (OSError, struct.error):
        # The age only shortens deadlines, so an unknown one is no failure.
        return None
    return age_ms / 1000


def unconfirmed_bytes(connection: socket.socket | None) -> int:
    """Return how much of the data sent on a connection the peer hasn't confirmed.

    :returns: the number of bytes; 0 if the kernel doesn't tell.
    """
    if connection is None:
        return 0
    return max(0, _read_int(connection, termios.TIOCOUTQ) or 0)


def _read_int(connection: socket.socket, operation: int) -> int | None:
    """Return the integer that the kernel reports of a connection.

    :returns: the integer; None if the connection is closed or the kernel doesn't tell.
    """
    try:
        data = fcntl.ioctl(connection.fileno(), operation, struct.pack("=i", 0))
        (value,) = struct.unpack("=i", data)
    except (OSError, ValueError, struct.error):
        return None
    return value
