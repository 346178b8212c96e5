"""Clocks. This is the only module of a running program that reads the wall clock.

Deadlines, windows and waits are measured in local microseconds, which are monotonic and independent of changes to the
wall clock. `core.timestamps` converts Unix times from other processes into ages.
"""

from __future__ import annotations

import time

MIN_STEP = 100_000  # microseconds by which the wall clock must depart from the monotonic one to count as stepped


def unix_now() -> int:
    """The wall clock in microseconds. It may be stepped at any moment, so it is used only for values that others read
    as Unix time (signatures, audit timestamps, files that another process reads) and to detect such steps."""
    return time.time_ns() // 1_000


def unix_seconds() -> int:
    """The wall clock in whole seconds, with the same restrictions."""
    return unix_now() // 1_000_000


class Clock:
    """Local time in microseconds: it starts at the Unix time of the process start and is monotonic from then on."""

    def __init__(self, anchor: int | None = None) -> None:
        """`anchor`: microseconds by which local time is ahead of the machine's monotonic clock. Default: local time
        starts at the wall clock's current time."""
        self._wall_offset = unix_now() - time.monotonic_ns() // 1_000
        self._anchor = self._wall_offset if anchor is None else anchor

    @property
    def anchor(self) -> int:
        """Microseconds by which local time is ahead of the machine's monotonic clock."""
        return self._anchor

    def now(self) -> int:
        """The local time in microseconds."""
        return time.monotonic_ns() // 1_000 + self._anchor

    @staticmethod
    def unix_now() -> int:
        """The wall clock; see the module function of the same name."""
        return unix_now()

    def to_monotonic(self, local: int) -> int:
        """Convert a local time to the machine's monotonic clock, which all processes of the machine share."""
        return local - self._anchor

    def from_monotonic(self, monotonic: int) -> int:
        """Convert a time of the machine's monotonic clock to local time. A time in the future becomes now."""
        return min(monotonic + self._anchor, self.now())

    def wall_clock_age(self, unix: int) -> int:
        """The age of a Unix time by the wall clock, at least 0. Only for values that no rule depends on."""
        return max(0, unix_now() - unix)

    def wall_clock_step(self) -> int:
        """Microseconds by which the wall clock was stepped since the last call; 0 if it was not."""
        offset = unix_now() - time.monotonic_ns() // 1_000
        stepped = offset - self._wall_offset
        self._wall_offset = offset
        return stepped if abs(stepped) >= MIN_STEP else 0
