"""How long the loop was held up: by a machine short of processors, a process that was stopped, or work of its own."""

from __future__ import annotations

import asyncio

from threadhill.core.clock import Clock

PERIOD = 100_000  # microseconds between looks
LATE = 150_000  # microseconds since the last look from which on the loop counts as held up


class LoopLag:
    """Looks at the clock regularly. What comes during a hold-up is read in the turn that follows it, before the next
    look, or, where the wait for input ended with the hold-up and brought nothing, in the turn after the late look."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._loop, self._clock = loop, clock
        self._looked = clock.now()
        self._behind = 0  # microseconds that a late look found, until what came meanwhile was read
        self._look()

    def _look(self) -> None:
        waited = self._clock.now() - self._looked
        if waited >= LATE:
            self._behind = waited
            self._loop.call_soon(self._read_next)
        self._looked = self._clock.now()
        self._loop.call_later(PERIOD / 1e6, self._look)

    def _read_next(self) -> None:
        """This turn's input is read behind this call; what comes in later turns has not waited."""
        self._loop.call_soon(self._caught_up)

    def _caught_up(self) -> None:
        self._behind = 0

    def current_lag(self) -> int:
        """Microseconds for which what is read now may have waited; 0 where the loop was not held up."""
        waited = self._clock.now() - self._looked
        return max(self._behind, waited if waited >= LATE else 0)
