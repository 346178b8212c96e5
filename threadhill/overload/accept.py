"""Limits the rate at which connections are accepted after a start and during a storm. After a start the tables are
empty and connections to servers are not open yet, while the clients of a lost proxy arrive all at once. Connections
that are not accepted yet wait in the kernel's queue."""

from __future__ import annotations

import math

from threadhill.overload.detector import State

SECOND = 1_000_000
RATE_PER_SERVER = 8.0  # connections a second per ready server, at the start
MIN_RATE = 20.0  # connections a second
DOUBLING_TIME = 1.0  # seconds in which the rate doubles after the start
RAMP_END = 8.0  # seconds after the start from which the rate is unlimited
STORM_FACTOR = 4.0  # multiple of the initial rate that is allowed during a storm


class AcceptPacer:
    """A token bucket for accepting connections."""

    def __init__(self, now: int) -> None:
        self.started_at = self._updated_at = now
        self._tokens = MIN_RATE

    def rate(self, now: int, state: State, servers: int) -> float:
        """Connections a second; infinite when there is no limit."""
        initial, age = max(MIN_RATE, RATE_PER_SERVER * servers), (now - self.started_at) / SECOND
        if age < RAMP_END:
            return initial * 2 ** (age / DOUBLING_TIME)
        return STORM_FACTOR * initial if state is State.STORM else math.inf

    def acquire(self, now: int, state: State, servers: int) -> int:
        """0 when a connection may be accepted now, else the microseconds until one may be."""
        rate = self.rate(now, state, servers)
        elapsed, self._updated_at = max(0, now - self._updated_at) / SECOND, now
        if rate == math.inf:
            self._tokens = MIN_RATE
            return 0
        self._tokens = min(max(MIN_RATE, rate / 4), self._tokens + rate * elapsed)
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return int((1 - self._tokens) / rate * SECOND) + 1
