"""Plays a scenario on real proxy processes; stand-in servers and links run in this process."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from threadhill.drills.scenario import Fault, Installation, Scenario
from threadhill.drills.verdict import DrillResult, evaluate
from threadhill.standin.links import LinkChange, apply_change
from threadhill.standin.swarm import LoadGenerator, Swarm, location_settings

ROOT = Path(__file__).resolve().parent.parent.parent
DRAIN_GRACE = 0.25  # seconds after a drain was published in which sends to the server are still allowed
WARM_UP = 16.0  # seconds that a restarted cache takes to be warm, unless the scenario gives another time


def operator_text(fleet: Installation) -> str:
    """The contents of the proxies' operator file; empty: there is none."""
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
        self.drained: dict[str, float] = {}  # cache -> when its drain was published, in Unix seconds
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self, progress: Callable[[float], None]) -> DrillResult:
        """Start all processes, inject the faults under load, evaluate the result, and end all processes."""
        fleet = self.scenario.fleet
        try:
            await self.swarm.start_servers(fleet.caches, fleet.parents, behind_relays=True)
            await self.swarm.launch([self.swarm.configure(f"p{n}").name for n in range(fleet.proxies)])
            load = LoadGenerator(self.swarm, fleet.rate, fleet.objects, seed=self.scenario.seed)
            await load.run(1.5)  # connections are opened, and not counted
            load.log.clear()
            load.duplicate_answers = 0
            began = time.monotonic()
            faults = [
                asyncio.ensure_future(self._inject_at(began + when, fault))
                for fault in self.scenario.faults
                for when in fault.times
            ]
            progress_task = asyncio.ensure_future(self._report_progress(began, progress))
            await load.run(fleet.seconds)
            for task in [progress_task, *faults]:
                task.cancel()
            errors = [task.exception() for task in faults if task.done() and not task.cancelled() and task.exception()]
            if errors:
                raise errors[0]
            load.close()
            answers = [(at - began, word) for at, word, _, _ in load.log]
            return evaluate(answers, self.scenario, load.duplicate_answers, self._drained_sends())
        finally:
            for task in self._tasks:
                task.cancel()
            await self.swarm.close()

    async def _report_progress(self, began: float, progress: Callable[[float], None]) -> None:
        while True:
            progress(time.monotonic() - began)
            await asyncio.sleep(0.2)

    async def _inject_at(self, when: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, when - time.monotonic()))
        for name in self.scenario.targets(fault):
            await self._inject(name, fault)

    async def _inject(self, name: str, fault: Fault) -> None:
        if fault.target == "link":
            await apply_change(
                self.swarm.links[name], LinkChange(0.0, (name,), fault.do, fault.amount, fault.direction)
            )
        elif fault.target == "proxy":
            await self._signal_proxy(name, fault.do)
        elif fault.do == "die":
            self.swarm.fleet.servers[name].stop()
        elif fault.do == "back":
            server = self.swarm.fleet.servers[name]
            await server.restart(cold=fault.amount or WARM_UP)
            await self.swarm.journal.add_members(self.swarm.member(name))
        elif fault.do == "drain":
            await self.swarm.journal.add_members(self.swarm.member(name, "DRAINING"))
            self.drained[name] = time.time()
        else:
            await self.swarm.journal.add({"expire": {"set": int(name), "stamp": int(time.time() * 1e3)}})

    async def _signal_proxy(self, name: str, do: str) -> None:
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
        """The number of requests that reached a cache after its drain was published to all proxies."""
        return sum(
            arrival.at > published_at + DRAIN_GRACE and not arrival.fill
            for name, published_at in self.drained.items()
            for arrival in self.swarm.fleet.servers[name].arrivals
        )


async def run(scenario: Scenario, progress: Callable[[float], None]) -> DrillResult:
    """Play a scenario in a temporary folder. `progress` is called with the seconds since the start of the drill."""
    with tempfile.TemporaryDirectory(prefix="threadhill-drill-") as folder:
        return await Drill(scenario, Path(folder)).play(progress)
