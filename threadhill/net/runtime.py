"""The services shared by all servers of a process: event loop, clock, deadlines under one timer, counters, log."""

from __future__ import annotations

import asyncio
import traceback
from typing import Any, Protocol

from threadhill.core.clock import Clock
from threadhill.core.deadlines import Deadlines
from threadhill.log import Log
from threadhill.stats import Stats


class Runtime(Protocol):
    """The services that a listener and its connections use."""

    clock: Clock
    deadlines: Deadlines
    stats: Stats


class LoopRuntime:
    """Runs all deadlines with a single timer, set for the earliest; exceptions are counted and logged."""

    def __init__(self, log: Log, clock: Clock | None = None) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock, self.stats, self.log = clock or Clock(), Stats(), log
        self._timer: asyncio.TimerHandle | None = None
        self.deadlines = Deadlines(self._set_timer, self._callback_failed)
        self.loop.set_exception_handler(self._unhandled)

    def _set_timer(self, when: int | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if when is not None:
            self._timer = self.loop.call_later(max(0, when - self.clock.now()) / 1e6, self._run_due)

    def _callback_failed(self, error: Exception) -> None:
        self.stats.count("fault", "deadline")
        self.log("".join(traceback.format_exception(error)))

    def _unhandled(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Replaces asyncio's handler, which logs without limit: peers could trigger it as often as they like."""
        self.stats.count("fault", "loop")
        self.log(f"{context.get('message')}: {context.get('exception')!r}")

    def _run_due(self) -> None:
        self._timer = None
        self.deadlines.timer_fired()
        self.deadlines.run_due(self.clock.now())
