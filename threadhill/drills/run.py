"""Plays a scenario on processes of this program, with stand-ins and links in this one."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from threadhill.drills.scenario import Fault, Installation, Scenario
from threadhill.drills.verdict import Shown, show
from threadhill.standin.links import LinkChange, apply_change
from threadhill.standin.swarm import LoadGenerator, Swarm, location_settings

ROOT = Path(__file__).resolve().parent.parent.parent
GRACE = 0.25  # seconds after the journal told of a drain in which sends still count as before it
COLD_S = 16.0  # seconds that a cache that came back takes to be warm, unless the scenario says how many


def operator_text(fleet: Installation) -> str:
    """The proxies' operator file; empty: none."""
    hints = "[knowledge]\nshare = true\n" if fleet.hints else ""
    return hints + ('[recovery]\ntrust_ms = 2000\nstate_folder = "."\nevery_ms = 500\n' if fleet.recovery else "")


class Drill:
    """One scenario on one installation."""

    def __init__(self, scenario: Scenario, folder: Path, host: str = "127.0.0.1") -> None:
        self.scenario = scenario
        self.swarm = Swarm(
            folder,
            host,
            location_settings(scenario.fleet.proxies),
            ROOT,
            scenario.fleet.hints,
            operator=operator_text(scenario.fleet),
        )
        self.drained: dict[str, float] = {}  # cache -> when the journal told of its drain
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, progress: Callable[[float], None]) -> Shown:
        """Start everything, play the faults while clients ask, and tell what it showed; all has ended then."""
        fleet = self.scenario.fleet
        try:
            await self.swarm.start_servers(fleet.caches, fleet.parents, behind_relays=True)
            await self.swarm.launch([self.swarm.configure(f"p{n}").name for n in range(fleet.proxies)])
            crowd = LoadGenerator(self.swarm, fleet.rate, fleet.objects, seed=self.scenario.seed)
            await crowd.run(1.5)  # the first requests of all open connections
            crowd.log.clear()
            crowd.duplicate_answers = 0
            began = time.monotonic()
            faults = [
                asyncio.ensure_future(self._at(began + when, fault))
                for fault in self.scenario.faults
                for when in fault.times
            ]
            bar = asyncio.ensure_future(self._show(began, progress))
            await crowd.run(fleet.seconds)
            for task in [bar, *faults]:
                task.cancel()
            broken = [task.exception() for task in faults if task.done() and not task.cancelled() and task.exception()]
            if broken:
                raise broken[0]
            crowd.close()
            answers = [(at - began, word) for at, word, _, _ in crowd.log]
            return show(answers, self.scenario, crowd.duplicate_answers, self._drained_sends())
        finally:
            for task in self._tasks:
                task.cancel()
            await self.swarm.close()

    async def _show(self, began: float, progress: Callable[[float], None]) -> None:
        while True:
            progress(time.monotonic() - began)
            await asyncio.sleep(0.2)

    async def _at(self, when: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, when - time.monotonic()))
        for name in self.scenario.chosen(fault):
            await self._bring(name, fault)

    async def _bring(self, name: str, fault: Fault) -> None:
        if fault.target == "link":
            await apply_change(
                self.swarm.links[name], LinkChange(0.0, (name,), fault.do, fault.amount, fault.direction)
            )
        elif fault.target == "proxy":
            await self._proxy(name, fault.do)
        elif fault.do == "die":
            self.swarm.fleet.servers[name].stop()
        elif fault.do == "back":
            server = self.swarm.fleet.servers[name]
            await server.restart(cold=fault.amount or COLD_S)
            await self.swarm.journal.add_members(self.swarm.member(name))
        elif fault.do == "drain":
            await self.swarm.journal.add_members(self.swarm.member(name, "DRAINING"))
            self.drained[name] = time.time()
        else:
            await self.swarm.journal.add({"expire": {"set": int(name), "stamp": int(time.time() * 1e3)}})

    async def _proxy(self, name: str, do: str) -> None:
        proxy = self.swarm.proxies[name]
        signum = {"stop": signal.SIGSTOP, "continue": signal.SIGCONT}.get(do)
        if signum is not None:
            proxy.signal(signum)
            return
        proxy.signal(signal.SIGKILL)
        with suppress(ProcessLookupError):
            await proxy.process.wait()
        if do == "restart":
            task = asyncio.ensure_future(self.swarm.launch([name]))
            self._tasks.add(task)

    def _drained_sends(self) -> int:
        """Requests that came at a cache after all proxies had been told that it drains."""
        return sum(
            a.at > told + GRACE and not a.fill
            for name, told in self.drained.items()
            for a in self.swarm.fleet.servers[name].arrivals
        )


async def run(scenario: Scenario, progress: Callable[[float], None]) -> Shown:
    with tempfile.TemporaryDirectory(prefix="threadhill-drill-") as folder:
        return await Drill(scenario, Path(folder)).play(progress)
