"""Shared memory through which a test switches faults on and off in a running program, and counts them.

A file of 64-bit integers, mapped by both processes. The first is the step of the wall clock, the second counts its
readings. After them each name in `CALLS` has a row of four: the errno to fail with, how many calls are still to fail
(negative: all), how many were affected, and the limit of bytes of a short read or write (0: no limit).
"""

from __future__ import annotations

import mmap
from pathlib import Path

CALLS = ("accept", "socket", "connect", "send", "recv", "read_file", "write_file", "sync_file")
WALL_STEP, WALL_READ, FIRST_CALL = 0, 1, 2  # indexes into the table
ERRNO, REMAINING, AFFECTED, SHORT = range(4)  # indexes into a call's row
ROW = 4
SIZE = 8 * (FIRST_CALL + ROW * len(CALLS))  # bytes
EVERY = -1  # value of `REMAINING`: until it is switched off


class Switches:
    """The table, created by the test and opened by the program under test."""

    def __init__(self, path: Path, create: bool = False) -> None:
        self.path = path
        if create:
            path.write_bytes(bytes(SIZE))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), SIZE)
        self.table = memoryview(self._map).cast("q")

    # --- called by tests

    def step_wall(self, seconds: float) -> None:
        """Set the wall clock this many seconds ahead of the true time; negative: behind."""
        self.table[WALL_STEP] = int(seconds * 1e9)

    @property
    def wall_readings(self) -> int:
        return self.table[WALL_READ]

    def fail(self, call: str, errno: int, times: int = EVERY) -> None:
        """Make the next `times` calls fail; 0: none."""
        row = self._row(call)
        self.table[row + ERRNO], self.table[row + REMAINING] = errno, times

    def shorten(self, call: str, max_bytes: int) -> None:
        """Limit the bytes that each call transfers; 0: no limit."""
        self.table[self._row(call) + SHORT] = max_bytes

    def affected(self, call: str) -> int:
        """How many calls have failed or were shortened."""
        return self.table[self._row(call) + AFFECTED]

    # --- called by the program under test

    def next_error(self, call: str) -> int:
        """The errno with which this call is to fail; 0: it is not."""
        row = self._row(call)
        if not self.table[row + REMAINING]:
            return 0
        if self.table[row + REMAINING] > 0:
            self.table[row + REMAINING] -= 1
        self.table[row + AFFECTED] += 1
        return self.table[row + ERRNO]

    def max_bytes(self, call: str, requested: int) -> int:
        """How many bytes this call may transfer."""
        row = self._row(call)
        limit = self.table[row + SHORT]
        if not 0 < limit < requested:
            return requested
        self.table[row + AFFECTED] += 1
        return limit

    @staticmethod
    def _row(call: str) -> int:
        return FIRST_CALL + ROW * CALLS.index(call)
