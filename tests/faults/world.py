"""A world whose proxy runs under switched faults, and cache servers that hold copies of a known age."""

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
from tests.world import Box, ProxyHarness, body_of

PURGE_SLACK_MS = 550  # after a purge was told, until it binds: the settings' slack and what sockets add


class FaultWorld(ProxyHarness):
    """As `ProxyHarness`; `switches` has the faults of the proxy's process, which all its restarts meet too."""

    def __init__(self, folder: Path, step: float = 0.0, **more: Any) -> None:
        """`step`: seconds by which the wall clock of the first process is off already."""
        super().__init__(folder, **more)
        self.switches = Switches(folder / "switches", create=True)
        self.switches.step_wall(step)

    def program(self) -> list[str]:
        return [sys.executable, "-m", "tests.faults.program", str(self.switches.path), "serve"]

    async def restart(self) -> None:
        """SIGKILL, and a new process at the same address of which nothing is known."""
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        await self.reading
        self.log = ""
        self.process = await self.start()
        self.reading = asyncio.ensure_future(self._read_log())
        self.port = await self.listening_port("n0")


play = partial(test_proxy.run_scenario, make=FaultWorld)  # a scene in such a world of its own


def unix_ms() -> int:
    """The true Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Holding:
    """What a cache server does that holds one copy of everything: it gives it to whom it is not too old for."""

    def __init__(self, born_ms: int, obeys: bool = True) -> None:
        self.born_ms, self.obeys = born_ms, obeys  # one that does not obey gives its copy whatever is asked

    def __call__(self, ask: dict[str, str]) -> tuple[str, str, bytes]:
        oldest, now = int(ask.get("oldest", "0")), unix_ms()
        good = not oldest or now - self.born_ms <= oldest
        born = self.born_ms if good or not self.obeys else now
        version = "old" if born == self.born_ms else "new"
        return "ok", f"ver={version},born={born}", version.encode() + body_of(ask)


def hold(boxes: list[Box], born_ms: int, obeys: bool = True) -> None:
    """Let these servers hold copies that the origin gave out then."""
    for box in boxes:
        box.behave = Holding(born_ms, obeys)
