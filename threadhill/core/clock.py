"""Time. This is the only module of a running program that reads the wall clock.

Deadlines, windows and waits are spans of real time: they are reckoned in local microseconds, which run forward evenly
whatever happens to the wall clock. Unix times that come from elsewhere are turned into ages by `core.stamps`.
"""

from __future__ import annotations

import time

MIN_STEP = 100_000  # microseconds between two looks by which the wall clock is off its course, to count as stepped


def unix_now() -> int:
    """The wall clock, in microseconds. It may be stepped at any moment: only for what others must read as Unix time
    (signatures, audit stamps, files that another process reads), and to find such steps."""
    return time.time_ns() // 1_000


def unix_seconds() -> int:
    """The wall clock in whole seconds, under the same terms."""
    return unix_now() // 1_000_000


class Clock:
    """Local microseconds: the Unix time of the start, and monotonic from there on."""

    def __init__(self, anchor: int | None = None) -> None:
        """`anchor`: microseconds that local time is ahead of the machine's monotonic clock; absent: as the wall clock
        is now."""
        self._wall_offset = unix_now() - time.monotonic_ns() // 1_000
        self._anchor = self._wall_offset if anchor is None else anchor

    @property
    def anchor(self) -> int:
        """Microseconds that local time is ahead of the machine's monotonic clock."""
        return self._anchor

    def now(self) -> int:
        """Local microseconds."""
        return time.monotonic_ns() // 1_000 + self._anchor

    @staticmethod
    def unix_now() -> int:
        """The wall clock; see the function of this name."""
        return unix_now()

    def to_monotonic(self, local: int) -> int:
        """A local time as the machine's monotonic clock has it, which all processes of one machine share."""
        return local - self._anchor

    def from_monotonic(self, monotonic: int) -> int:
        """A time of the machine's monotonic clock as a local one; what would be in the future is now."""
        return min(monotonic + self._anchor, self.now())

    def wall_clock_age(self, unix: int) -> int:
        """How long ago that Unix microsecond was by the wall clock, for what binds nothing; never below 0."""
        return max(0, unix_now() - unix)

    def wall_clock_step(self) -> int:
        """Microseconds by which the wall clock was stepped since the last call; 0: it was not."""
        offset = unix_now() - time.monotonic_ns() // 1_000
        stepped = offset - self._wall_offset
        self._wall_offset = offset
        return stepped if abs(stepped) >= MIN_STEP else 0
