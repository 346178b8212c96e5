"""When the last data arrived on a connection according to the kernel: maybe before it was read, or even accepted."""

from __future__ import annotations

import socket
import struct

LAST_DATA_RECEIVED = 52  # offset of tcpi_last_data_recv, milliseconds, in Linux's struct tcp_info
MAX_UNKNOWN_WAIT = 500_000  # microseconds; the longest wait assumed where the kernel does not report it


def time_since_input(connection: socket.socket, longest: int) -> int:
    """Microseconds since the last data arrived on a connection, at most `longest`. Once all input is read, that is how
    long the last of it has waited."""
    try:
        raw = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED + 4)
        (milliseconds,) = struct.unpack_from("I", raw, LAST_DATA_RECEIVED)
    except (OSError, struct.error):
        return min(longest, MAX_UNKNOWN_WAIT)
    return min(longest, milliseconds * 1_000)
