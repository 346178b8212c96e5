"""The running control plane: store, feed, API and the proxies' configuration files, on one loop."""

from __future__ import annotations

import asyncio
import base64
import os
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson
import structlog

from threadhill.admin.http import HttpConnection
from threadhill.control.adoption import AdoptionHold
from threadhill.control.api import ControlApi
from threadhill.control.clock_file import continued_clock
from threadhill.control.feed import Feed
from threadhill.control.ledger import Ledger, Refused
from threadhill.control.sqlite import SqliteStore, open_or_recover, take_periodic_snapshot
from threadhill.control.store import Change, Store, StoreDamaged, WriteFailed
from threadhill.knowledge.merge import Merged
from threadhill.log import Log
from threadhill.net.door import Door, Guest
from threadhill.net.turns import Turns
from threadhill.ownership.works import SNAPSHOT_INTERVAL_MS, list_tasks, snapshot_member
from threadhill.plans.rules import Phase
from threadhill.recovery.phases import FleetPhases

if TYPE_CHECKING:  # imported where it is one of several: the engine loads much
    from threadhill.control.council import Cluster
    from threadhill.control.members_file import MembersFile

TICK = 100_000  # microseconds between looks at what time and reports have confirmed
WRITE = 100_000  # microseconds that changes are gathered for before configuration files are written
CALLERS = 32
FEEDS = 2_000  # connections of proxies at most
BODY = 32 << 20  # bytes of a call: the plan of a large installation


@dataclass(frozen=True, slots=True)
class Places:
    """Where a control plane listens and keeps what it has."""

    data: Path
    api: tuple[str, int]
    feed: tuple[str, int]
    token: str
    adopt: bool = False  # tell nothing until an operator has decided what is true
    member: str = ""  # which of the members of this file it is; none: it is alone
    members: tuple[MembersFile, str] | None = None  # with the secret


def logger(json: bool) -> Any:
    """The structured log on standard error: for people, or a JSON object a line."""
    renderer: Any = structlog.processors.JSONRenderer() if json else structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.add_log_level,
            renderer,
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger("control")


class Control:
    """One control plane on the running loop."""

    def __init__(self, places: Places, log: Any) -> None:
        self.places, self.log = places, log
        self.turns = Turns(Log(time.monotonic), continued_clock(places.data, log.warning))
        self.cluster: Cluster | None = None
        if places.members is not None:
            from threadhill.control.agreed import ReplicatedStore
            from threadhill.control.council import Cluster

            self.cluster = Cluster(places.data, *places.members, places.member, places.token, log.warning)
            self.store: Store = ReplicatedStore(self.cluster.consensus, self.cluster.owned_term)
        else:
            self.store = open_or_recover(places.data, log.warning) if places.adopt else SqliteStore(places.data)
        self.ledger = Ledger(self.store, self._published)
        self.knowledge = Merged()
        self.adoption = AdoptionHold(self.ledger, log.warning)
        if places.adopt:
            self.adoption.hold("started with --adopt", self.now())
        self.phases = FleetPhases()
        self.feed = Feed(
            self.ledger,
            self._door("proxy", FEEDS),
            self._report,
            lambda proxy: self.knowledge.hint(proxy, self.now()),
            self.adoption,
            self.now,
            self.cluster,
        )
        self.api = ControlApi(
            self.ledger,
            self.turns.stats,
            self.now,
            log.info,
            self.adoption,
            self.recovery,
            self.cluster,
            self.works,
            self._report,
        )
        self._moved = self._snapshot_at = 0  # when a step was last done, and a snapshot taken, in Unix milliseconds
        self._snapping: asyncio.Task[None] | None = None
        self.door = self._door("caller", CALLERS)(lambda door: HttpConnection(places.token, self.api, door, BODY))
        self.done = asyncio.Event()
        self._written: dict[str, tuple[int, int]] = {}
        self._dirty = False
        self._live: set[str] = set()

    def now(self) -> int:
        return self.turns.clock.now() // 1_000

    def _door(self, name: str, most: int) -> Callable[[Callable[[Door], Guest]], Door]:
        return lambda make: Door(self.turns, name, most, make, self.turns.log)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.turns.loop.add_signal_handler(signum, self.done.set)
        feed = await self.feed.door.listen(*self.places.feed)
        api = await self.door.listen(*self.places.api)
        self.feed_address = f"{self.places.feed[0]}:{feed}"
        if self.cluster is not None:
            self.cluster.on_change, self.cluster.on_reload = self._foreign, self._reloaded
            self.cluster.start()
        else:
            self.adoption.check_number(self._filed(), self.now())
        self._write()
        self._tick()
        self.log.info(
            "serving",
            api=f"{self.places.api[0]}:{api}",
            feed=self.feed_address,
            version=self.ledger.meta["version"],
            pos=self.ledger.pos,
            unfinished=self.ledger.open_apply.number if self.ledger.open_apply else None,
        )
        await self.done.wait()
        self.log.info("stopping", pos=self.ledger.pos)
        if self.cluster is not None:
            await self.cluster.close()
        self.store.close()

    def _published(self) -> None:
        self.feed.publish()
        self._soon()

    # --- one member among others

    @property
    def owns(self) -> bool:
        """Whether what is done for the fleet is this control plane's to do."""
        return self.cluster is None or bool(self.cluster.owned_term())

    def _foreign(self, change: Change) -> None:
        """Another member's change was agreed."""
        self.ledger.apply_committed(change)
        if change.steps:
            self._moved = self.now()
        self._soon()

    def _reloaded(self) -> None:
        self.ledger.reload()
        self._published()

    def _work(self) -> None:
        """What this control plane does for the fleet by itself, where it is one of several."""
        ledger = self.ledger
        if self.owns:
            apply = ledger.open_apply
            if apply is not None:
                told = ledger.advance(apply.number, apply.token, self.now())
                if told["begun"] or told["confirmed"] or told["state"] != "open":
                    self._moved = self.now()
                    self.log.info(
                        "apply",
                        apply=apply.number,
                        state=told["state"],
                        done=told["done"],
                        steps=told["steps"],
                        halted=told["halted"] or None,
                    )
            if not self.cluster.consensus.register.written and self.ledger.pos:
                self._seed()
        due = self.now() - self._snapshot_at >= SNAPSHOT_INTERVAL_MS
        mine = snapshot_member(self.cluster.register.owner, self._fresh()) == self.cluster.name
        if due and mine and self._snapping is None:
            self._snapping = asyncio.create_task(self._snap())

    def _fresh(self) -> list[str]:
        """Members that are up to date, as far as this one knows: itself, and the owner."""
        cluster = self.cluster
        if cluster is None:
            return [""]
        return sorted({cluster.register.owner, *([cluster.name] if cluster.up_to_date() else [])} - {""})

    def _seed(self) -> None:
        """The state that this member had when it was alone becomes everybody's."""
        path = self.places.data / "seed.db"
        self.store.snapshot(path)
        raw = base64.b64encode(path.read_bytes()).decode()
        path.unlink()
        self.cluster.consensus.propose("seed", term=self.cluster.owned_term(), store=raw)
        self.log.warning("state seeded", pos=self.ledger.pos, version=self.ledger.meta["version"])

    async def _snap(self) -> None:
        self._snapshot_at = self.now()
        try:
            path = await asyncio.to_thread(take_periodic_snapshot, self.places.data, self._snapshot_at // 1_000)
            self.log.info("snapshot", file=str(path[0]))
        except (StoreDamaged, WriteFailed, OSError) as error:
            self.log.error("snapshot not taken", error=str(error))
        finally:
            self._snapping = None

    def works(self) -> list[dict[str, Any]]:
        """The works, by whom they are done and how far they are."""
        ledger, apply = self.ledger, self.ledger.open_apply
        states = [state.state for state in ledger.step_states.values()]
        told = (
            {
                "number": apply.number,
                "done": states.count("done"),
                "steps": len(ledger.steps),
                "moved": max(self._moved, apply.at),
            }
            if apply is not None
            else None
        )
        waits = sum(record.phase in (Phase.DRAINING, Phase.COLD) for record in ledger.fleet.records.values())
        owner = self.cluster.register.owner if self.cluster is not None else "this one"
        found = list_tasks(
            owner,
            self._fresh(),
            told,
            waits,
            max(0, ledger.newest_event - ledger.oldest_event + 1),
            ledger.oldest_event,
            self._snapshot_at,
            len(ledger.proxy_reports.by_name),
        )
        return [task.document(self.now()) for task in found]

    def _report(self, raw: dict[str, Any]) -> bool:
        """Take a proxy's report; whether it says what it knows of the fleet."""
        if not self.owns:
            self.cluster.queue_report(raw)
        name = raw.get("proxy")
        live = self.ledger.proxy_reports.is_live(name, self.now()) if isinstance(name, str) else True
        if self.ledger.proxy_reports.take(raw, self.now()) is not None and not live:
            self.log.info("proxy reports", proxy=name, applied=raw["applied"], config=raw["config"])
        if "knows" not in raw or not isinstance(name, str):
            return False
        self.knowledge.report(name, raw["knows"], self.now())
        return True

    def _tick(self) -> None:
        try:
            for record, note in self.ledger.tick(self.now()) if self.owns else ():
                self.log.info("confirmed", resource=record.id, phase=record.phase.value, note=note)
            if self.cluster is not None:
                self._work()
        except (WriteFailed, Refused) as error:
            self.log.error("not written", error=str(error))
        if self.cluster is not None and self.cluster.consensus.machine.broken:
            self.done.set()
        proxies = self.ledger.fleet.proxies
        if self.owns:
            self._phases(list(proxies))
        self.ledger.proxy_reports.forget(set(proxies), self.now())
        self.knowledge.forget(self.now())
        live = {
            name for name in self.ledger.proxy_reports.by_name if self.ledger.proxy_reports.is_live(name, self.now())
        }
        for name in sorted(self._live - live):
            self.log.warning("proxy silent", proxy=name, waited_for_ms=self.ledger.proxy_reports.silence_limit)
        self._live = live
        if {n: r.pos for n, r in proxies.items()} != {n: at for n, (at, _) in self._written.items()}:
            self._soon()
        self.turns.deadlines.add(self.turns.clock.now() + TICK, self._tick)

    def _phases(self, names: list[str]) -> None:
        """Whether the fleet is in full service; said once when it is no more, and once when it is again."""
        reports, now = self.ledger.proxy_reports, self.now()
        live = [name for name in names if reports.is_live(name, now)]
        line = self.phases.look(now, [reports.by_name[name].phase for name in live], len(names) - len(live))
        if line is not None:
            self.log.warning(line, **self.phases.by_phase)

    def recovery(self) -> dict[str, Any]:
        """What operators are told of a fleet that comes back."""
        phases, now = self.phases, self.now()
        return {
            **self.adoption.status(),
            "phases": phases.by_phase,
            "down_for_ms": now - phases.down_since if phases.down_since is not None else None,
            "back_for_ms": now - phases.back_at if phases.back_at is not None else None,
        }

    # --- configuration files

    def _soon(self) -> None:
        """Files follow the state a little later, many changes at once: a proxy that starts on an older one hears of the
        rest over its feed."""
        if not self._dirty:
            self._dirty = True
            self.turns.deadlines.add(self.turns.clock.now() + WRITE, self._write)

    def _filed(self) -> int:
        """The greatest number in the configuration files that stand there: a store that does not know it is older."""
        numbers = [0]
        for path in (self.places.data / "proxies").glob("*.json"):
            try:
                numbers.append(int(orjson.loads(path.read_bytes())["known"]["pos"]))
            except (OSError, ValueError, KeyError, TypeError) as error:
                self.log.warning("configuration passed by", file=str(path), why=repr(error))
        return max(numbers)

    def _write(self) -> None:
        """Write each proxy's configuration, whole or not at all, and take those away that are not recorded."""
        self._dirty = False
        if self.adoption.active:
            return  # an older world is no file for a proxy to start with
        folder = self.places.data / "proxies"
        folder.mkdir(exist_ok=True)
        here = self.ledger.fleet.proxies
        try:
            for name, record in here.items():
                wanted = (record.pos, self.ledger.pos)
                if self._written.get(name) == wanted:
                    continue
                config = self.ledger.proxy_configuration(name)
                if config is None:
                    continue
                config |= {"journal": self.feed_address, "seed": os.urandom(8).hex()}
                if self.cluster is not None:
                    config["journals"] = sorted(m["feed"] for m in self.cluster.register.members.values())
                part = folder / f".{name}.json.part"
                part.write_bytes(orjson.dumps(config))
                os.replace(part, folder / f"{name}.json")
                self._written[name] = wanted
            for name in set(self._written) - set(here):
                (folder / f"{name}.json").unlink(missing_ok=True)
                del self._written[name]
        except OSError as error:
            self.log.error("configuration not written", error=str(error))
            self._soon()


def serve(places: Places, json: bool = False) -> None:
    """Run a control plane until it is told to stop. Raises Damaged, or OSError where it can't listen."""

    async def main() -> None:
        await Control(places, logger(json)).run()

    asyncio.run(main())
