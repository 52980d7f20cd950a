"""What the kernel tells about a TCP connection."""

import fcntl
import socket
import struct
import termios

__all__ = ["confirmed_bytes", "unconfirmed_bytes", "unread_data_age_s"]

# Size of the information that is asked for, and the offsets in it of the time since
# data was last received and of the confirmed length of the sent data, in bytes.
TCP_INFO_BYTES = 128
LAST_DATA_OFFSET = 52
CONFIRMED_OFFSET = 120


def unread_data_age_s(connection: socket.socket) -> float | None:
    """Return the time since the last of a connection's unread data arrived, in s.

    :returns: the time; None if all data was read, or the kernel tells no time.
    """
    if _read_int(connection, termios.FIONREAD) == 0:
        return None
    age_ms = _read_info(connection, "=I", LAST_DATA_OFFSET)
    return None if age_ms is None else age_ms / 1000


def unconfirmed_bytes(connection: socket.socket | None) -> int:
    """Return how much of the data sent on a connection the peer hasn't confirmed.

    :returns: the number of bytes; 0 if the kernel doesn't tell.
    """
    if connection is None:
        return 0
    return max(0, _read_int(connection, termios.TIOCOUTQ) or 0)


def confirmed_bytes(connection: socket.socket | None) -> int | None:
    """Return how much of all data sent on a connection the peer has confirmed.

    That is known also once the connection was reset, until its socket is closed.

    :returns: the number of bytes; None if the kernel doesn't tell.
    """
    if connection is None:
        return None
    return _read_info(connection, "=Q", CONFIRMED_OFFSET)


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


def _read_info(connection: socket.socket, layout: str, offset: int) -> int | None:
    """Return an integer of the kernel's information on a TCP connection.

    :param layout: the integer's format, as defined by :mod:`struct`.
    :param offset: its offset in the information, in bytes.
    :returns: the integer; None if the connection is closed or the kernel doesn't tell.
    """
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (value,) = struct.unpack_from(layout, info, offset)
    except (OSError, struct.error):
        return None
    return value
