"""The running proxy: what is plugged into the core, the loop's one timer, and the way out."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
import zlib
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from threadhill.cli_codes import CHANGES, DONE
from threadhill.config import BadConfig, Config, UnreadableConfig, load
from threadhill.core.engine import Engine
from threadhill.log import Log
from threadhill.net.door import Door
from threadhill.net.journal import Journal
from threadhill.net.journal_events import server_number
from threadhill.net.lag import LoopLag
from threadhill.net.resp import Platform
from threadhill.net.shortage import READ_AGAIN, START_PATIENCE
from threadhill.net.turns import Turns
from threadhill.net.upstream import CacheServers, Limits
from threadhill.settings import Malformed

if TYPE_CHECKING:  # each is imported where the operator's file turns it on: the platform's memory is small
    from threadhill.admin.access import Access
    from threadhill.admin.explain import Explain
    from threadhill.dns.front import DnsConfig, DnsFront
    from threadhill.dns.signing import Signer
    from threadhill.operators import AdminConfig, OperatorConfig
    from threadhill.overload.control import Control, OverloadConfig
    from threadhill.recovery.proxy import Recovery, RecoveryConfig

SERVE_ON = 700_000  # microseconds after SIGTERM in which requests still come and are taken
GARBAGE = 10_000  # objects made, net of those freed, after which the collector looks for cycles
ADMINS = 16  # connections to the administration API at once
CALLERS = 32  # connections to the operators' address at once
CORDONS_LOOK = 200_000  # microseconds between looks whether another process of this proxy was told of cordons
CORDONS_KEEP = 60_000_000  # microseconds for which one put back is told as cold to a process that starts later
KEYS_LOOK = 500_000  # microseconds between looks whether a zone's keys changed
START_AGAIN = 0.05  # seconds between tries of a start to read its configuration
RELOAD_AGAIN = 200_000  # microseconds between tries to read a new configuration
CLOCK_LOOK = 1_000_000  # microseconds between looks whether the wall clock was stepped
LOOK_AGAIN = 10_000  # microseconds between looks whether all is answered
KILL_LONGEST = 3_000_000  # microseconds of the longest deadline as SIGKILL counts it where the classes' are longer
BEFORE_KILL = 100_000  # microseconds before SIGKILL may come at which what is open is failed, to be read in time

log = Log(time.monotonic)


class Proxy:
    """One steering proxy on the running loop."""

    def __init__(self, config: Config, operator: OperatorConfig | None) -> None:
        self.config, self.operator = config, operator
        turns = Turns(log)
        self.loop, self.clock, self.stats, self.deadlines = turns.loop, turns.clock, turns.stats, turns.deadlines
        self.engine = Engine(config.settings, config.seed, self.clock, self.deadlines, self.stats, log)
        self.caches = CacheServers(self.engine, self._limits(config), log)
        self.journal = Journal(self.engine, self.caches, log, config.name, config.report, config.max_event_bytes)
        self.front = Platform(
            self.engine,
            config.settings.classes,
            config.max_clients,
            config.max_outbound_bytes,
            self.loop.call_soon,
            log,
        )
        self.caches.held_up = self.front.held_up = LoopLag(self.loop, self.clock).held_up
        self.front.news_waits = self.journal.news_waits
        self.done = asyncio.Event()
        self.dns: DnsFront | None = None
        self.overload: Control | None = None
        self.node_guards: dict[str, Control] = {}  # of DNS views' nodes
        self.recovery: Recovery | None = None
        self._leaving = 0  # when SIGTERM came
        self._reload_again: tuple[int, int] | None = None  # when a file that could not be read is tried again
        self._watch_clock()
        self._given_up = False  # what was still open was failed, as SIGKILL is near

    def _watch_clock(self) -> None:
        """Log each step of the wall clock. Nothing here goes by it, but what others tell in Unix time must be read
        with that in mind."""
        step = self.clock.wall_clock_step()
        if step:
            self.stats.count("clock", "stepped")
            log(f"clock: the wall clock was stepped by {step / 1e6:+.3f} s")
        self.deadlines.add(self.clock.now() + CLOCK_LOOK, self._watch_clock)

    def _limits(self, config: Config) -> Limits:
        """What the caches' side may use: the operator's fronts take their descriptors from it."""
        dns, admin = (self.operator.dns, self.operator.admin) if self.operator is not None else (None, None)
        taken = dns.connections * (2 if dns.tls is not None else 1) if dns is not None else 0
        taken += ADMINS if admin is not None else 0
        taken += CALLERS if config.management is not None else 0
        return replace(config.limits, descriptors=max(16, config.limits.descriptors - taken))

    async def run(self) -> None:
        """Serve until told to stop and all that was taken is answered."""
        # First of all: a signal that nobody handles ends the process.
        for signum, handle in (
            (signal.SIGTERM, self.leave),
            (signal.SIGINT, self.leave),
            (signal.SIGUSR1, self.report),
            (signal.SIGHUP, self.reload),
        ):
            self.loop.add_signal_handler(signum, handle)
        self.engine.start(self.caches)
        if self.operator is not None:  # before what the journal tells, which may name others
            self.engine.tenants.replace(list(self.operator.tenants))
            if self.operator.overload is not None:
                self._guard(self.operator.overload)
            if self.operator.knowledge:
                from threadhill.knowledge.proxy import Knowledge

                self.journal.knowledge = Knowledge(self.engine, log)
            if self.operator.recovery is not None and self.config.journal is not None:
                self._recover(self.operator.recovery)
        self.journal.catch_up(*self.config.known_events)
        if self.recovery is not None:
            self.recovery.restore(self.journal.pos)
        self.journal.follow(self.config.journal, self.config.journals)
        if self.config.management is not None:  # first: what is out by hand must be known before any request
            await self._serve_management(self.config.management)
        host, port = self.config.listen
        if self.config.listen_fd is not None:  # an upgrade: the platform holds the socket, both processes take from it
            port = self.front.door.adopt(self.config.listen_fd)
        else:
            port = await self.front.door.listen(host, port)
        if self.operator is not None:
            if self.operator.dns is not None:
                await self._serve_dns(self.operator.dns)
            if self.operator.admin is not None:
                await self._serve_admin(self.operator.admin)
        self.front.ready = not self._leaving
        log.write(f"{self.config.name}: serving on {host}:{port}")
        await self.done.wait()
        self.front.door.shut()
        if self.recovery is not None:
            self.recovery.keep()
        self.report()

    def _recover(self, config: RecoveryConfig) -> None:
        """Turn recovery on: what the configuration knows is as old as its file, until the journal is heard."""
        from threadhill.recovery.proxy import Recovery

        written = int(os.stat(os.environ["LB_CONFIG"]).st_mtime_ns // 1_000)
        known_at = self.clock.now() - self.clock.wall_clock_age(written) if self.config.known_events[1] else None
        self.recovery = self.journal.recovery = Recovery(
            self.engine, config, self.config.name, self.config.seed, known_at, log, self.journal
        )

    def _guard(self, config: OverloadConfig) -> None:
        """Turn overload control on: for every front, since all requests come through the core."""
        from threadhill.overload.accept import Pace

        control = self.overload = self._control(config, self.engine, lambda: self.stats.counts["client", "opened"])
        pace, fleet = Pace(self.clock.now()), self.engine.router.fleet
        self.front.door.pace = lambda: pace.take(self.clock.now(), control.detector.all.state, len(fleet.caches))
        self.front.spread = config.leave

    def _control(
        self, config: OverloadConfig, engine: Engine, links: Callable[[], int] = lambda: 0, node: str = ""
    ) -> Control:
        """One engine's guard: each node has servers, rooms and storms of its own."""
        from threadhill.overload.capacity import Signs
        from threadhill.overload.control import TURN, Control

        settings, router = self.config.settings, engine.router

        def signs() -> Signs:
            origin = router.fleet.origin
            return Signs(origin.pace[0] if origin is not None else 1.0, router.link)

        control = Control(
            settings.classes,
            settings.client_kb_per_s,
            settings.max_retry_after,
            config,
            self.config.seed,
            lambda text: log(f"node {node}: {text}" if node else text),
            signs,
            links,
        )
        engine.overload_control = control

        def turn() -> None:
            control.turn(self.clock.now())
            self.deadlines.add(self.clock.now() + TURN, turn)

        turn()
        return control

    async def _serve_dns(self, config: DnsConfig) -> None:
        from threadhill.dns.front import DnsFront
        from threadhill.dns.transport import DnsServer

        nodes = {}
        home = self.config.settings.zone
        for node in sorted(({v.node for v in config.views} | {n for v in config.views for n in v.then}) - {home}):
            # Each node's clients are answered by a module of that node's own, told of the list as this one is.
            settings = replace(self.config.settings, zone=node)
            nodes[node] = Engine(
                settings, self.config.seed ^ zlib.crc32(node.encode()), self.clock, self.deadlines, self.stats, log
            )
            nodes[node].start(None)
            if self.operator.overload is not None:
                self.node_guards[node] = self._control(self.operator.overload, nodes[node], node=node)
            self.engine.add_follower(nodes[node])
        signer = self._signer(config) if config.keys is not None else None
        front = DnsFront(
            self.engine,
            config,
            frozenset(self.config.settings.classes),
            self.caches.where,
            self.caches.families,
            nodes,
            signer,
        )
        self.dns = front
        try:
            server = DnsServer(front, log)
        except Malformed as error:
            raise BadConfig(f"dns.tls: {error}") from None
        log.write(f"dns: serving on {await server.listen()}")
        if config.tls is not None:
            log.write(f"dns tls: serving on {await server.listen_tls()}")

    def _signer(self, config: DnsConfig) -> Signer:
        """Signs for the zones whose keys are in the operator's folder, and takes new keys as they are put there."""
        from threadhill.dns.keys import KeyFolder
        from threadhill.dns.signing import Signer

        try:
            folder = KeyFolder(config.keys, log)
        except Malformed as error:
            raise BadConfig(f"dns.signing: {error}") from None
        signer = Signer(folder.zones, config.signature_life)

        def look() -> None:
            if folder.look():
                signer.take(folder.zones)
                self.stats.count("dns", "keys taken")
            self.deadlines.add(self.clock.now() + KEYS_LOOK, look)

        look()
        return signer

    async def _serve_admin(self, config: AdminConfig) -> None:
        from threadhill.admin.api import Api
        from threadhill.admin.http import HttpConnection

        token, note = self._access(config)
        dns = self.dns
        resolvers = (lambda: dns.charging.resolvers(self.clock.now())) if dns is not None else None
        api = Api(
            self.engine.tenants,
            self.stats,
            lambda: log(f"tenants: version {self.engine.tenants.version}"),
            resolvers,
            self._explain() if self.overload is not None else None,
            note,
        )
        door = Door(self.engine, "admin client", ADMINS, lambda door: HttpConnection(token, api, door), log)
        host = config.listen[0]
        log.write(f"admin: serving on {host}:{await door.listen(*config.listen)}")

    def _access(self, config: AdminConfig) -> tuple[str | Access, Callable[[str, str, Any, int], None] | None]:
        """How callers are known, and where what they change is noted."""
        if config.keys_file is None and config.audit_file is None:
            return config.token, None
        from threadhill.admin.access import Access
        from threadhill.tenancy.audit import Broken
        from threadhill.tenancy.audit import Log as AuditLog
        from threadhill.tenancy.keyfile import KeyFile
        from threadhill.tenancy.keys import Gate

        try:
            audit = AuditLog(config.audit_file, log.write) if config.audit_file is not None else None
            file = KeyFile(config.keys_file, log.write) if config.keys_file is not None else None
        except Broken as error:
            raise BadConfig(
                f"admin.audit_file: {config.audit_file}: {error}; keep it aside and begin a new one"
            ) from None
        except (Malformed, OSError) as error:
            raise BadConfig(f"admin: {error}") from None
        # Unix time: what the audit log says is read by people, and keys expire at a date.
        access = Access(Gate(file.keys if file is not None else {}), audit, lambda: self.clock.unix_now() / 1e6)

        def look() -> None:
            if file is not None and file.look():
                access.gate.take(file.keys)
                self.stats.count("admin", "keys taken")
            self.deadlines.add(self.clock.now() + KEYS_LOOK, look)

        look()
        return access if file is not None else config.token, access.note if audit is not None else None

    def _explain(self) -> Explain:
        from threadhill.admin.explain import Explain
        from threadhill.overload.metrics import page

        control = self.overload

        def status() -> dict[str, object]:
            now = self.clock.now()
            return control.status(now) | {"nodes": {node: one.status(now) for node, one in self.node_guards.items()}}

        def why(rid: str) -> dict[str, object] | None:
            return next((told for one in (control, *self.node_guards.values()) if (told := one.why(rid))), None)

        return Explain(status, why, page(self.stats, control.status, self.clock.now))

    async def _serve_management(self, where: tuple[str, int]) -> None:
        import tempfile  # it loads much, for little

        from threadhill.admin.cordon_file import CordonFile
        from threadhill.admin.management import management_door

        self.cordon_file = CordonFile(Path(tempfile.gettempdir()), log)
        self._take_cordons()
        door = management_door(self.engine, self, log, CALLERS)
        log.write(f"management: serving on {where[0]}:{await door.listen(*where)}")

    def _take_cordons(self) -> None:
        """What another process of this proxy was told: those out by hand, and those put back lately."""
        self.cordon_file.retry()
        if not self.cordon_file.behind and self.cordon_file.changed():
            saved = self.cordon_file.read()
            if saved is not None:
                cordons = self.engine.cordons
                for number, name in list(cordons.cordoned.items()):
                    if name not in saved.out:
                        at = saved.back.get(name)
                        self.engine.uncordon(number, None if at is None else self.clock.from_monotonic(at))
                for name in saved.out:
                    self.engine.cordon(server_number(name), name, allow_unlisted=True)
                for name, at in saved.back.items():
                    self.engine.uncordoned_elsewhere(server_number(name), name, self.clock.from_monotonic(at))
        self.deadlines.add(self.clock.now() + CORDONS_LOOK, self._take_cordons)

    def _keep_cordons(self) -> None:
        self.cordon_file.write(self.engine.cordons.saved_state(self.clock.now(), CORDONS_KEEP), self.clock.to_monotonic)

    # --- what the operators' address asks

    def healthy(self) -> bool:
        blind = self.recovery is not None and not self.recovery.may_send(self.clock.now())
        return self.front.door.listening and not self._leaving and not blind

    def figures(self) -> dict[str, int]:
        from threadhill.core.figures import operator_metrics

        return operator_metrics(
            self.stats, self.config.settings.classes, len(self.engine.requests), *self.engine.rotation_counts()
        )

    def cordon(self, name: str) -> bool:
        done = self.engine.cordon(server_number(name), name)
        if done:
            self._keep_cordons()
        return done

    def uncordon(self, name: str) -> bool:
        done = self.engine.uncordon(server_number(name))
        if done:
            self._keep_cordons()
        return done

    def quiesce(self) -> None:
        log.event("quiesce: clients are sent away")
        self.front.quiesce()

    def resume(self) -> None:
        if not self._leaving:
            log.event("resume: clients are taken again")
            self.front.resume()

    def reload(self, environ: Mapping[str, str] = os.environ) -> None:
        """SIGHUP: the file is read and checked whole before anything changes; a bad one changes nothing. Journal
        and limits move at once; what stands for the process itself, or shapes the module, takes a restart."""
        self.deadlines.cancel(self._reload_again)
        try:
            new = load(environ)
        except UnreadableConfig as error:  # a full table of descriptors, a disk that errs: it may pass
            self.stats.count("reload", "put off")
            if self._reload_again is None:
                log.event(f"reload: {error}; everything stays as it is, it is tried again until it can be read")
            self._reload_again = self.deadlines.add(self.clock.now() + RELOAD_AGAIN, lambda: self.reload(environ))
            return
        except BadConfig as error:
            self.stats.count("reload", "refused")
            log.event(f"reload: {error}; everything stays as it is")
            return
        self._reload_again = None
        old, self.config = self.config, new
        later = [key for key in ("name", "listen", "settings") if getattr(old, key) != getattr(new, key)]
        self.caches.limit(self._limits(new))
        self.front.door.most, self.front.all_outbound = new.max_clients, new.max_outbound_bytes
        self.journal.catch_up(*new.known_events)
        self.journal.follow(new.journal, new.journals)
        self.stats.count("reload", "done")
        log.event("reload: done" + (f"; {', '.join(later)} take a restart" if later else ""))

    def leave(self) -> None:
        """SIGTERM: clients still come for a while, and all that is taken is answered before the end."""
        if not self._leaving:
            self._leaving = self.clock.now()
            self.front.ready = False
            if self.config.listen_fd is not None:
                # Another process takes from the same socket: nobody new comes here, who is here is let go of.
                self.front.door.shut()
                self.front.quiesce()
            elif self.front.spread:  # who is let go of comes to another proxy: not all in the same instant
                self.front.quiesce()
            self._look()

    def _look(self) -> None:
        """Whether all is answered, and every client has read it. Nothing new is taken after a while: a flood must not
        hold up the end. Then each connection on which nothing is owed is closed in order: the process must not end
        over requests that were not read, as that resets what was answered too. What is still open shortly before
        SIGKILL may come is failed; a client that reads nothing is left at that."""
        now = self.clock.now()
        since, door = now - self._leaving, self.front.door
        longest = max((cls.deadline for cls in self.config.settings.classes.values()), default=KILL_LONGEST)
        # An upgrade shut the door and drains already; else whoever comes is taken at first, and let go of slowly.
        serve_on = 0 if self.config.listen_fd is not None else max(SERVE_ON, self.front.spread)
        kill = SERVE_ON + min(longest, KILL_LONGEST)
        after = f"{since / 1e6:.2f} s after SIGTERM"
        if since >= kill - BEFORE_KILL and not self._given_up:
            self._given_up = True
            log.event(
                f"leaving: {len(self.engine.requests)} requests still open are failed, "
                f"{len(door.guests)} client connections still open, {after}"
            )
            self.engine.fail_all()
            self.front.let_go(now, all_of_them=True)
        elif since >= serve_on:
            if not self.front.refusing and self.config.listen_fd is None:
                self.front.refusing = True
                door.shut()
            self.front.let_go(now)
        if since >= kill - BEFORE_KILL // 2 or since >= serve_on and door.empty:
            log.event(f"leaving: {'given up' if self._given_up else 'all answered'} {after}")
            self.done.set()
        else:
            self.deadlines.add(now + LOOK_AGAIN, self._look)

    def report(self) -> None:
        """The counters, one line of JSON, behind what was done lately."""
        log.write(f"trace: {self.engine.trace.recent(self.clock.now())}")
        log.write(orjson.dumps(self.stats.table()).decode())


def serve(config: Config, operator: OperatorConfig | None) -> None:
    async def main() -> None:
        await Proxy(config, operator).run()

    # What is there now stays, and requests leave next to no cycles: the collector need not look often.
    gc.freeze()
    gc.set_threshold(GARBAGE, 20, 20)

    try:
        asyncio.run(main())
    except OSError as error:  # an address that is in use, or is not this machine's
        raise BadConfig(str(error)) from None


def load_at_start(environ: Mapping[str, str]) -> Config:
    """The configuration. One that cannot be read for a shortage of this machine is waited for; one that is not there,
    or is not to be read by this user, is not."""
    end = time.monotonic() + START_PATIENCE
    while True:
        try:
            return load(environ)
        except UnreadableConfig as error:
            passing = isinstance(error.__cause__, OSError) and error.__cause__.errno in READ_AGAIN
            if not passing or time.monotonic() > end:
                raise
            log(f"threadhill: {error}; it is tried again")
        time.sleep(START_AGAIN)


def start(operator: Path | None = None) -> int:
    """What `threadhill serve` does, from the environment to the exit code; `operator` is the operator's file."""
    try:
        loaded = load_at_start(os.environ)
        if operator is None:
            serve(loaded, None)
        else:
            from threadhill.operators import load_operator

            serve(loaded, load_operator(operator))
    except BadConfig as error:
        log.write(f"threadhill: {error}")
        return CHANGES
    return DONE
