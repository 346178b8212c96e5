"""The time in whole microseconds, counted as the system's Unix clock does."""

from __future__ import annotations

import time


class Clock:
    """Unix microseconds that never run backwards: the module's ages and ramps rest on that."""

    def __init__(self) -> None:
        self._last = 0

    def now(self) -> int:
        self._last = max(self._last, time.time_ns() // 1_000)
        return self._last
