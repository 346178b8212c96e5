"""A `World` whose proxy runs with injected faults, and cache servers that hold copies of a known age."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

from tests import test_proxy
from tests.faults.switches import Switches
from tests.harness import Box, ProxyHarness, body_of

PURGE_SLACK_MS = 550  # from a purge until it must be in effect: the settings' slack, plus socket latency


class FaultWorld(ProxyHarness):
    """As `ProxyHarness`; `switches` controls the faults of the proxy process, also after restarts."""

    def __init__(self, folder: Path, step: float = 0.0, **more: Any) -> None:
        """`step`: seconds by which the wall clock of the first process is off from its start."""
        super().__init__(folder, **more)
        self.switches = Switches(folder / "switches", create=True)
        self.switches.step_wall(step)

    def program(self) -> list[str]:
        return [sys.executable, "-m", "tests.faults.program", str(self.switches.path), "serve"]

    async def restart(self) -> None:
        """SIGKILL the proxy and start a new process with the same configuration, without its state."""
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self.reading
        self.log = ""
        self.process = await self.start()
        self.reading = asyncio.ensure_future(self._read_log())
        self.port = await self.listening_port("n0")


run_scenario = partial(test_proxy.run_scenario, make=FaultWorld)  # runs a scene in a `FaultWorld`


def unix_ms() -> int:
    """The true Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Holding:
    """The behaviour of a cache server that holds one copy of everything, and serves it unless it is too old."""

    def __init__(self, born_ms: int, obeys: bool = True) -> None:
        self.born_ms, self.obeys = born_ms, obeys  # False: it ignores the request's limit on age

    def __call__(self, ask: dict[str, str]) -> tuple[str, str, bytes]:
        oldest, now = int(ask.get("oldest", "0")), unix_ms()
        good = not oldest or now - self.born_ms <= oldest
        born = self.born_ms if good or not self.obeys else now
        version = "old" if born == self.born_ms else "new"
        return "ok", f"ver={version},born={born}", version.encode() + body_of(ask)


def hold(boxes: list[Box], born_ms: int, obeys: bool = True) -> None:
    """Make these servers hold copies that the origin served at this time."""
    for box in boxes:
        box.behave = Holding(born_ms, obeys)
