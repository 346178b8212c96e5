"""How long ago the last bytes came on a connection, as the kernel knows it: longer than this process may have known."""

from __future__ import annotations

import socket
import struct

LAST_DATA_RECEIVED = 52  # offset of tcpi_last_data_recv, milliseconds, in Linux's struct tcp_info
UNKNOWN_MOST = 500_000  # microseconds that a wait is taken for at most where the kernel does not tell


def waited_in_queue(connection: socket.socket, most: int) -> int:
    """Microseconds since the last bytes came on a connection that was taken just now, `most` at most: the time for
    which somebody has waited in the listener's queue."""
    try:
        raw = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
        (milliseconds,) = struct.unpack_from("I", raw, LAST_DATA_RECEIVED)
    except (OSError, struct.error):
        return min(most, UNKNOWN_MOST)
    return min(most, milliseconds * 1_000)
