"""How fast connections are taken after a start and in a storm: tables are empty, connections to servers are yet to be
opened, and whoever lost another proxy comes at once. Who is not taken yet waits in the kernel's queue."""

from __future__ import annotations

import math

from threadhill.overload.detector import State

SECOND = 1_000_000
EACH = 8.0  # connections a second that are taken for each ready server known, in the first second
LEAST = 20.0
DOUBLED = 1.0  # seconds in which the pace doubles
FREE = 8.0  # seconds after the start from which on there is no bound
STORM = 4.0  # times the first pace while there is a storm


class AcceptPacer:
    """Connections that may be taken now."""

    def __init__(self, now: int) -> None:
        self.began = self._at = now
        self._tokens = LEAST

    def rate(self, now: int, state: State, servers: int) -> float:
        """A second; infinite where nothing bounds it."""
        first, age = max(LEAST, EACH * servers), (now - self.began) / SECOND
        if age < FREE:
            return first * 2 ** (age / DOUBLED)
        return STORM * first if state is State.STORM else math.inf

    def acquire(self, now: int, state: State, servers: int) -> int:
        """0: one may be taken now. Else the microseconds until one may."""
        rate = self.rate(now, state, servers)
        gone, self._at = max(0, now - self._at) / SECOND, now
        if rate == math.inf:
            self._tokens = LEAST
            return 0
        self._tokens = min(max(LEAST, rate / 4), self._tokens + rate * gone)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return int((1 - self._tokens) / rate * SECOND) + 1
