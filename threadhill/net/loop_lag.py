"""Measures delays of the event loop, caused by CPU shortage, a stopped process, or long callbacks."""

from __future__ import annotations

import asyncio

from threadhill.core.clock import Clock

PERIOD = 100_000  # microseconds between checks of the clock
LAG_THRESHOLD = 150_000  # microseconds since the last check from which on the loop counts as delayed


class LoopLag:
    """Checks the clock periodically. Input that arrives during a delay is read in the loop iteration after it, before
    the next check; or, if select returned at the end of the delay without input, in the iteration after the late
    check."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._loop, self._clock = loop, clock
        self._checked_at = clock.now()
        self._late_by = 0  # delay in microseconds found by a late check, until the input that arrived meanwhile is read
        self._check()

    def _check(self) -> None:
        waited = self._clock.now() - self._checked_at
        if waited >= LAG_THRESHOLD:
            self._late_by = waited
            self._loop.call_soon(self._input_follows)
        self._checked_at = self._clock.now()
        self._loop.call_later(PERIOD / 1e6, self._check)

    def _input_follows(self) -> None:
        """This iteration's input is read after this callback; input of later iterations has not waited."""
        self._loop.call_soon(self._input_read)

    def _input_read(self) -> None:
        self._late_by = 0

    def current_lag(self) -> int:
        """Microseconds that input read now may have waited; 0 if the loop was not delayed."""
        waited = self._clock.now() - self._checked_at
        return max(self._late_by, waited if waited >= LAG_THRESHOLD else 0)
