"""The time in whole microseconds, counted as the system's Unix clock did at the start."""

from __future__ import annotations

import time


class Clock:
    """Unix microseconds at the start, monotonic from there on: a clock set back must not hold up deadlines, nor
    one set forward end them all. Stamps of others are aged by the Unix clock of the moment."""

    def __init__(self) -> None:
        self._anchor = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (time.monotonic_ns() + self._anchor) // 1_000

    def age(self, unix: int) -> int:
        """How long ago that Unix microsecond was; nothing is in the future."""
        return max(0, time.time_ns() // 1_000 - unix)
