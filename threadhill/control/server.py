"""The running control plane: store, feed, API and the proxies' configuration files, on one event loop."""

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
from threadhill.knowledge.merge import ReportAggregator
from threadhill.log import Log
from threadhill.net.listener import AcceptedConnection, Listener
from threadhill.net.runtime import LoopRuntime
from threadhill.ownership.tasks import SNAPSHOT_INTERVAL_MS, list_tasks, snapshot_member
from threadhill.plans.rules import Phase
from threadhill.recovery.phases import FleetPhaseSummary

if TYPE_CHECKING:  # imported only by a control plane with members, since pysyncobj is slow to load
    from threadhill.control.cluster import Cluster
    from threadhill.control.members_file import MembersFile

TICK_INTERVAL = 100_000  # microseconds between checks of what time and reports have confirmed
WRITE_DELAY = 100_000  # microseconds for which changes are collected before configuration files are written
MAX_CALLERS = 32  # connections to the API
MAX_FEEDS = 2_000  # connections of proxies
MAX_BODY = 32 << 20  # bytes of a call's body: the plan of a large installation fits


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """A control plane's folder, addresses and mode."""

    data: Path
    api: tuple[str, int]
    feed: tuple[str, int]
    token: str
    adopt: bool = False  # publish nothing until an operator has decided which state is right
    member: str = ""  # this member's name in the members' file; "": there is no other control plane
    members: tuple[MembersFile, str] | None = None  # the members' file and the secret


def make_logger(json: bool) -> Any:
    """The structured log on standard error, as text or as one JSON object a line."""
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


class ControlPlane:
    """One control plane on the running loop."""

    def __init__(self, config: ServerConfig, log: Any) -> None:
        self.config, self.log = config, log
        self.runtime = LoopRuntime(Log(time.monotonic), continued_clock(config.data, log.warning))
        self.cluster: Cluster | None = None
        if config.members is not None:
            from threadhill.control.agreed import ReplicatedStore
            from threadhill.control.cluster import Cluster

            self.cluster = Cluster(config.data, *config.members, config.member, config.token, log.warning)
            self.store: Store = ReplicatedStore(self.cluster.consensus, self.cluster.owned_term)
        else:
            self.store = open_or_recover(config.data, log.warning) if config.adopt else SqliteStore(config.data)
        self.ledger = Ledger(self.store, self._on_publish)
        self.knowledge = ReportAggregator()
        self.adoption = AdoptionHold(self.ledger, log.warning)
        if config.adopt:
            self.adoption.hold("started with --adopt", self.now())
        self.phases = FleetPhaseSummary()
        self.feed = Feed(
            self.ledger,
            self._listener_factory("proxy", MAX_FEEDS),
            self._take_report,
            lambda proxy: self.knowledge.hint(proxy, self.now()),
            self.adoption,
            self.now,
            self.cluster,
        )
        self.api = ControlApi(
            self.ledger,
            self.runtime.stats,
            self.now,
            log.info,
            self.adoption,
            self.recovery,
            self.cluster,
            self.tasks,
            self._take_report,
        )
        self._last_step_at = self._snapshot_at = 0  # Unix milliseconds
        self._snapshot_task: asyncio.Task[None] | None = None
        self.api_listener = self._listener_factory("caller", MAX_CALLERS)(
            lambda listener: HttpConnection(config.token, self.api, listener, MAX_BODY)
        )
        self.done = asyncio.Event()
        self._written: dict[str, tuple[int, int]] = {}
        self._write_scheduled = False
        self._live_proxies: set[str] = set()

    def now(self) -> int:
        return self.runtime.clock.now() // 1_000

    def _listener_factory(
        self, name: str, max_connections: int
    ) -> Callable[[Callable[[Listener], AcceptedConnection]], Listener]:
        return lambda make: Listener(self.runtime, name, max_connections, make, self.runtime.log)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        for signum in (signal.SIGTERM, signal.SIGINT):
            self.runtime.loop.add_signal_handler(signum, self.done.set)
        feed = await self.feed.listener.listen(*self.config.feed)
        api = await self.api_listener.listen(*self.config.api)
        self.feed_address = f"{self.config.feed[0]}:{feed}"
        if self.cluster is not None:
            self.cluster.on_change, self.cluster.on_reload = self._change_committed, self._state_reloaded
            self.cluster.start()
        else:
            self.adoption.check_number(self._newest_filed_number(), self.now())
        self._write_configurations()
        self._tick()
        self.log.info(
            "serving",
            api=f"{self.config.api[0]}:{api}",
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

    def _on_publish(self) -> None:
        self.feed.publish()
        self._schedule_write()

    # --- as a member of a replicated control plane

    @property
    def owns(self) -> bool:
        """Whether this control plane runs the fleet's background tasks: it is the owner, or alone."""
        return self.cluster is None or bool(self.cluster.owned_term())

    def _change_committed(self, change: Change) -> None:
        """Take up another member's committed change."""
        self.ledger.apply_committed(change)
        if change.steps:
            self._last_step_at = self.now()
        self._schedule_write()

    def _state_reloaded(self) -> None:
        self.ledger.reload()
        self._on_publish()

    def _run_tasks(self) -> None:
        """Run the background tasks that are this member's."""
        ledger = self.ledger
        if self.owns:
            apply = ledger.open_apply
            if apply is not None:
                result = ledger.advance(apply.number, apply.token, self.now())
                if result["begun"] or result["confirmed"] or result["state"] != "open":
                    self._last_step_at = self.now()
                    self.log.info(
                        "apply",
                        apply=apply.number,
                        state=result["state"],
                        done=result["done"],
                        steps=result["steps"],
                        halted=result["halted"] or None,
                    )
            if not self.cluster.consensus.register.written and self.ledger.pos:
                self._seed_state()
        due = self.now() - self._snapshot_at >= SNAPSHOT_INTERVAL_MS
        mine = snapshot_member(self.cluster.register.owner, self._up_to_date_members()) == self.cluster.name
        if due and mine and self._snapshot_task is None:
            self._snapshot_task = asyncio.create_task(self._take_snapshot())

    def _up_to_date_members(self) -> list[str]:
        """The members that this one knows to be up to date: itself, if it is, and the owner."""
        cluster = self.cluster
        if cluster is None:
            return [""]
        return sorted({cluster.register.owner, *([cluster.name] if cluster.up_to_date() else [])} - {""})

    def _seed_state(self) -> None:
        """Give the state that this member had when it was alone to all members."""
        path = self.config.data / "seed.db"
        self.store.snapshot(path)
        raw = base64.b64encode(path.read_bytes()).decode()
        path.unlink()
        self.cluster.consensus.propose("seed", term=self.cluster.owned_term(), store=raw)
        self.log.warning("state seeded", pos=self.ledger.pos, version=self.ledger.meta["version"])

    async def _take_snapshot(self) -> None:
        self._snapshot_at = self.now()
        try:
            path = await asyncio.to_thread(take_periodic_snapshot, self.config.data, self._snapshot_at // 1_000)
            self.log.info("snapshot", file=str(path[0]))
        except (StoreDamaged, WriteFailed, OSError) as error:
            self.log.error("snapshot not taken", error=str(error))
        finally:
            self._snapshot_task = None

    def tasks(self) -> list[dict[str, Any]]:
        """The background tasks, which member runs each, and their progress."""
        ledger, apply = self.ledger, self.ledger.open_apply
        states = [state.state for state in ledger.step_states.values()]
        progress = (
            {
                "number": apply.number,
                "done": states.count("done"),
                "steps": len(ledger.steps),
                "moved": max(self._last_step_at, apply.at),
            }
            if apply is not None
            else None
        )
        unconfirmed = sum(record.phase in (Phase.DRAINING, Phase.COLD) for record in ledger.fleet.records.values())
        owner = self.cluster.register.owner if self.cluster is not None else "this one"
        tasks = list_tasks(
            owner,
            self._up_to_date_members(),
            progress,
            unconfirmed,
            max(0, ledger.newest_event - ledger.oldest_event + 1),
            ledger.oldest_event,
            self._snapshot_at,
            len(ledger.proxy_reports.by_name),
        )
        return [task.document(self.now()) for task in tasks]

    def _take_report(self, raw: dict[str, Any]) -> bool:
        """Take in a proxy's report. Returns whether it shares what the proxy knows of the fleet."""
        if not self.owns:
            self.cluster.queue_report(raw)
        name = raw.get("proxy")
        live = self.ledger.proxy_reports.is_live(name, self.now()) if isinstance(name, str) else True
        if self.ledger.proxy_reports.take(raw, self.now()) is not None and not live:
            self.log.info("proxy reports", proxy=name, applied=raw["applied"], config=raw["config"])
        if "knows" not in raw or not isinstance(name, str):
            return False
        self.knowledge.add_report(name, raw["knows"], self.now())
        return True

    def _tick(self) -> None:
        try:
            for record, note in self.ledger.tick(self.now()) if self.owns else ():
                self.log.info("confirmed", resource=record.id, phase=record.phase.value, note=note)
            if self.cluster is not None:
                self._run_tasks()
        except (WriteFailed, Refused) as error:
            self.log.error("not written", error=str(error))
        if self.cluster is not None and self.cluster.consensus.machine.broken:
            self.done.set()
        proxies = self.ledger.fleet.proxies
        if self.owns:
            self._check_phases(list(proxies))
        self.ledger.proxy_reports.forget(set(proxies), self.now())
        self.knowledge.expire(self.now())
        live = {
            name for name in self.ledger.proxy_reports.by_name if self.ledger.proxy_reports.is_live(name, self.now())
        }
        for name in sorted(self._live_proxies - live):
            self.log.warning("proxy silent", proxy=name, waited_for_ms=self.ledger.proxy_reports.silence_limit)
        self._live_proxies = live
        if {n: r.pos for n, r in proxies.items()} != {n: at for n, (at, _) in self._written.items()}:
            self._schedule_write()
        self.runtime.deadlines.add(self.runtime.clock.now() + TICK_INTERVAL, self._tick)

    def _check_phases(self, names: list[str]) -> None:
        """Log once when the fleet is no longer in full service, and once when it is again."""
        reports, now = self.ledger.proxy_reports, self.now()
        live = [name for name in names if reports.is_live(name, now)]
        line = self.phases.update(now, [reports.by_name[name].phase for name in live], len(names) - len(live))
        if line is not None:
            self.log.warning(line, **self.phases.by_phase)

    def recovery(self) -> dict[str, Any]:
        """The state of the fleet's recovery, for operators."""
        phases, now = self.phases, self.now()
        return {
            **self.adoption.status(),
            "phases": phases.by_phase,
            "down_for_ms": now - phases.down_since if phases.down_since is not None else None,
            "back_for_ms": now - phases.recovered_at if phases.recovered_at is not None else None,
        }

    # --- configuration files

    def _schedule_write(self) -> None:
        """Write the files after a delay, for many changes at once: a proxy that starts with an older file gets the rest
        over its feed."""
        if not self._write_scheduled:
            self._write_scheduled = True
            self.runtime.deadlines.add(self.runtime.clock.now() + WRITE_DELAY, self._write_configurations)

    def _newest_filed_number(self) -> int:
        """The highest event number in the existing configuration files. A store that lacks it is out of date."""
        numbers = [0]
        for path in (self.config.data / "proxies").glob("*.json"):
            try:
                numbers.append(int(orjson.loads(path.read_bytes())["known"]["pos"]))
            except (OSError, ValueError, KeyError, TypeError) as error:
                self.log.warning("configuration skipped", file=str(path), why=repr(error))
        return max(numbers)

    def _write_configurations(self) -> None:
        """Write each proxy's configuration, each file atomically, and delete those of proxies that are not recorded."""
        self._write_scheduled = False
        if self.adoption.active:
            return  # no proxy should start from an outdated state
        folder = self.config.data / "proxies"
        folder.mkdir(exist_ok=True)
        proxies = self.ledger.fleet.proxies
        try:
            for name, record in proxies.items():
                current = (record.pos, self.ledger.pos)
                if self._written.get(name) == current:
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
                self._written[name] = current
            for name in set(self._written) - set(proxies):
                (folder / f"{name}.json").unlink(missing_ok=True)
                del self._written[name]
        except OSError as error:
            self.log.error("configuration not written", error=str(error))
            self._schedule_write()


def serve(config: ServerConfig, json: bool = False) -> None:
    """Run a control plane until SIGTERM or SIGINT. Raises StoreDamaged, or OSError if it can't listen."""

    async def main() -> None:
        await ControlPlane(config, make_logger(json)).run()

    asyncio.run(main())
