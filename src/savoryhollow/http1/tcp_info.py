"""What the kernel tells about a TCP connection."""

import socket
import struct

__all__ = ["last_data_age_s"]

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
