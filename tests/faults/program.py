"""`python -m tests.faults.program TABLE serve ...`: the real program, with faults injected from a table of switches.

The wall clock, and the socket and file functions that the program calls, are replaced before any of the program is
imported.
"""

from __future__ import annotations

import os
import runpy
import socket
import sys
import time
from pathlib import Path
from typing import Any

from tests.faults.switches import WALL_READ, WALL_STEP, Switches


def step_clock(switches: Switches) -> None:
    """Add the current step to every reading of the wall clock."""
    table, real = switches.table, time.time_ns

    def time_ns() -> int:
        table[WALL_READ] += 1
        return real() + table[WALL_STEP]

    time.time_ns = time_ns
    time.time = lambda: time_ns() / 1e9


def fail_sockets(switches: Switches) -> None:
    """Make socket calls fail, or transfer fewer bytes than requested."""

    def check(call: str) -> None:
        error = switches.next_error(call)
        if error:
            raise OSError(error, os.strerror(error))

    class FaultySocket(socket.socket):
        def __init__(self, *args: Any, **named: Any) -> None:
            if named.get("fileno") is None and len(args) < 4:
                check("socket")
            super().__init__(*args, **named)

        def accept(self) -> Any:
            check("accept")
            return super().accept()

        def connect(self, address: Any) -> None:
            check("connect")
            super().connect(address)

        def send(self, data: Any, *flags: int) -> int:
            check("send")
            return super().send(memoryview(data)[: switches.max_bytes("send", len(data))], *flags)

        def recv_into(self, buffer: Any, *more: int) -> int:
            check("recv")
            return super().recv_into(memoryview(buffer)[: switches.max_bytes("recv", len(buffer))], *more)

    socket.socket = FaultySocket


def fail_files(switches: Switches) -> None:
    """Make file reads, writes and syncs fail, and leave partial writes."""
    real_write, real_sync = os.write, os.fsync
    real_bytes, real_read = Path.write_bytes, Path.read_bytes

    def read_bytes(path: Path) -> bytes:
        error = switches.next_error("read_file")
        if error:
            raise OSError(error, os.strerror(error))
        return real_read(path)

    def write(descriptor: int, data: Any) -> int:
        error = switches.next_error("write_file")
        if error:
            raise OSError(error, os.strerror(error))
        return real_write(descriptor, memoryview(data)[: switches.max_bytes("write_file", len(data))])

    def write_bytes(path: Path, data: Any) -> int:
        error = switches.next_error("write_file")
        if error:
            real_bytes(path, memoryview(data)[: len(data) // 2])  # a partial write, as on a full disk
            raise OSError(error, os.strerror(error))
        return real_bytes(path, data)

    def sync(descriptor: int) -> None:
        error = switches.next_error("sync_file")
        if error:
            raise OSError(error, os.strerror(error))
        real_sync(descriptor)

    os.write, os.fsync = write, sync
    Path.write_bytes, Path.read_bytes = write_bytes, read_bytes


if __name__ == "__main__":
    table = Switches(Path(sys.argv[1]))
    step_clock(table)
    fail_sockets(table)
    fail_files(table)
    sys.argv = ["threadhill", *sys.argv[2:]]
    runpy.run_module("threadhill", run_name="__main__")
