"""Shared memory through which a test switches faults on and off in a running program, and counts their strikes.

A file of 64-bit integers, mapped by both sides. The first is the step of the wall clock, the second counts readings of
that clock. Behind them each name in `CALLS` has four: the errno to fail with, how many calls are still to fail (below
zero: all), how many have failed, and how many bytes a short read or write may have (0: no bound).
"""

from __future__ import annotations

import mmap
from pathlib import Path

CALLS = ("accept", "socket", "connect", "send", "recv", "read_file", "write_file", "sync_file")
WALL_STEP, WALL_READ, FIRST_CALL = 0, 1, 2  # places in the table
ERRNO, LEFT, STRUCK, SHORT = range(4)  # places in a call's row
ROW = 4
SIZE = 8 * (FIRST_CALL + ROW * len(CALLS))  # bytes
EVERY = -1  # for `LEFT`: until it is switched off


class Switches:
    """The table, opened by the program under test or made by the test."""

    def __init__(self, path: Path, create: bool = False) -> None:
        self.path = path
        if create:
            path.write_bytes(bytes(SIZE))
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), SIZE)
        self.table = memoryview(self._map).cast("q")

    # --- what tests call

    def step_wall(self, seconds: float) -> None:
        """Set the wall clock that many seconds ahead of the true one, or behind it."""
        self.table[WALL_STEP] = int(seconds * 1e9)

    @property
    def wall_readings(self) -> int:
        return self.table[WALL_READ]

    def fail(self, call: str, errno: int, times: int = EVERY) -> None:
        """Let the next `times` calls fail; 0 ends it."""
        row = self._row(call)
        self.table[row + ERRNO], self.table[row + LEFT] = errno, times

    def shorten(self, call: str, most: int) -> None:
        """Let each call move at most that many bytes; 0 ends it."""
        self.table[self._row(call) + SHORT] = most

    def strikes(self, call: str) -> int:
        """How many calls have failed or were cut short."""
        return self.table[self._row(call) + STRUCK]

    # --- what the program's side calls

    def strike(self, call: str) -> int:
        """The errno with which this call has to fail; 0: none."""
        row = self._row(call)
        if not self.table[row + LEFT]:
            return 0
        if self.table[row + LEFT] > 0:
            self.table[row + LEFT] -= 1
        self.table[row + STRUCK] += 1
        return self.table[row + ERRNO]

    def most(self, call: str, wanted: int) -> int:
        """How many bytes this call may move."""
        row = self._row(call)
        bound = self.table[row + SHORT]
        if not 0 < bound < wanted:
            return wanted
        self.table[row + STRUCK] += 1
        return bound

    @staticmethod
    def _row(call: str) -> int:
        return FIRST_CALL + ROW * CALLS.index(call)
