"""The running proxy: assembles the parts around the core, reloads the configuration and shuts down."""

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
from threadhill.net.journal import Journal
from threadhill.net.journal_events import server_number
from threadhill.net.listener import Listener
from threadhill.net.loop_lag import LoopLag
from threadhill.net.resp import RespFront
from threadhill.net.runtime import LoopRuntime
from threadhill.net.seen_ids import SeenIds
from threadhill.net.shortage import READ_AGAIN, START_PATIENCE
from threadhill.net.upstream import MIN_SERVER_CONNECTIONS, CacheServers, Limits
from threadhill.settings import Malformed

if TYPE_CHECKING:  # imported only where the operator's file enables them, to save memory
    from threadhill.admin.access import Access
    from threadhill.admin.cordon_file import Changes
    from threadhill.admin.explain import OverloadQueries
    from threadhill.dns.front import DnsConfig, DnsFront
    from threadhill.dns.signing import Signer
    from threadhill.operators import AdminConfig, OperatorConfig
    from threadhill.overload.control import OverloadConfig, OverloadController
    from threadhill.recovery.proxy import Recovery, RecoveryConfig

SHUTDOWN_GRACE = 700_000  # microseconds after SIGTERM in which new requests are still accepted
GC_THRESHOLD = 10_000  # container objects created, less those freed, from which the garbage collector runs
MAX_ADMIN_CONNECTIONS = 16  # simultaneous connections to the administration API
MAX_MANAGEMENT_CONNECTIONS = 32  # simultaneous connections to the operators' address
CORDON_POLL_INTERVAL = 200_000  # microseconds between checks whether another process of this proxy changed cordons
CORDON_RETENTION = 60_000_000  # microseconds for which an uncordoned server is reported, as cold, to a new process
KEY_POLL_INTERVAL = 500_000  # microseconds between checks whether key files changed
START_RETRY_SECONDS = 0.05  # between attempts to read the configuration at the start
RELOAD_RETRY_INTERVAL = 200_000  # microseconds between attempts to read a new configuration
CLOCK_CHECK_INTERVAL = 1_000_000  # microseconds between checks whether the wall clock was stepped
DRAIN_CHECK_INTERVAL = 10_000  # microseconds between checks whether everything is answered
MAX_KILL_DEADLINE = 3_000_000  # microseconds: SIGKILL comes after the longest class deadline, but counts at most this
KILL_MARGIN = 100_000  # microseconds before the earliest SIGKILL at which open requests are failed, to be read in time

log = Log(time.monotonic)


class Proxy:
    """One proxy on the running event loop."""

    def __init__(self, config: Config, operator: OperatorConfig | None) -> None:
        self.config, self.operator = config, operator
        runtime = LoopRuntime(log)
        self.loop, self.clock, self.stats, self.deadlines = (
            runtime.loop,
            runtime.clock,
            runtime.stats,
            runtime.deadlines,
        )
        self.engine = Engine(config.settings, config.seed, self.clock, self.deadlines, self.stats, log)
        self.caches = CacheServers(self.engine, self._limits(config), log)
        self.journal = Journal(self.engine, self.caches, log, config.name, config.report, config.max_event_bytes)
        self.front = RespFront(
            self.engine,
            config.settings.classes,
            config.max_clients,
            config.max_outbound_bytes,
            config.max_body_bytes,
            self.loop.call_soon,
            log,
        )
        self.caches.loop_lag = self.front.loop_lag = LoopLag(self.loop, self.clock).current_lag
        self.front.updates_pending = self.journal.lines_pending
        self.front.listener.relieve_shortage = self._relieve_shortage
        self.finished = asyncio.Event()
        self.dns: DnsFront | None = None
        self.overload_control: OverloadController | None = None
        self.node_overload_controls: dict[str, OverloadController] = {}  # by node of the DNS views
        self.recovery: Recovery | None = None
        self._stopping_since = 0  # local time of SIGTERM; 0: none yet
        self._reload_retry: tuple[int, int] | None = None  # deadline of the next attempt to read the configuration
        self._watch_clock()
        self._open_failed = False  # open requests were answered as failed, because SIGKILL is near

    def _watch_clock(self) -> None:
        """Log each step of the wall clock. The proxy does not depend on it, but Unix times from other processes must be
        read with the step in mind."""
        step = self.clock.wall_clock_step()
        if step:
            self.stats.count("clock", "stepped")
            log(f"clock: the wall clock was stepped by {step / 1e6:+.3f} s")
        self.deadlines.add(self.clock.now() + CLOCK_CHECK_INTERVAL, self._watch_clock)

    def _limits(self, config: Config) -> Limits:
        """Limits of the cache connections: the operator's fronts reduce the descriptors available to them."""
        dns, admin = (self.operator.dns, self.operator.admin) if self.operator is not None else (None, None)
        reserved = dns.connections * (2 if dns.tls is not None else 1) if dns is not None else 0
        reserved += MAX_ADMIN_CONNECTIONS if admin is not None else 0
        reserved += MAX_MANAGEMENT_CONNECTIONS if config.management is not None else 0
        return replace(config.limits, descriptors=max(MIN_SERVER_CONNECTIONS, config.limits.descriptors - reserved))

    async def run(self) -> None:
        """Serve until told to stop and all accepted requests are answered."""
        # Before anything else: a signal without a handler would end the process.
        for signum, handler in (
            (signal.SIGTERM, self.shut_down),
            (signal.SIGINT, self.shut_down),
            (signal.SIGUSR1, self.log_report),
            (signal.SIGHUP, self.reload),
        ):
            self.loop.add_signal_handler(signum, handler)
        self.engine.start(self.caches)
        if self.operator is not None:  # before the journal's events, which may name other tenants
            self.engine.tenants.replace(list(self.operator.tenants))
            if self.operator.overload is not None:
                self._enable_overload_control(self.operator.overload)
            if self.operator.knowledge:
                from threadhill.knowledge.proxy import Knowledge

                self.journal.knowledge = Knowledge(self.engine, log)
            if self.operator.recovery is not None and self.config.journal is not None:
                self._enable_recovery(self.operator.recovery)
        self.journal.catch_up(*self.config.known_events)
        if self.recovery is not None:
            self.recovery.restore_state(self.journal.pos)
        self.journal.follow(self.config.journal, self.config.journals)
        if self.config.management is not None:  # first: cordons must be known before any request
            await self._serve_management(self.config.management)
        host, port = self.config.listen
        if self.config.listen_fd is not None:  # an upgrade: the platform holds the socket, both processes accept
            self._share_ids()
            port = self.front.listener.listen_inherited(self.config.listen_fd)
        else:
            port = await self.front.listener.listen(host, port)
        if self.operator is not None:
            if self.operator.dns is not None:
                await self._serve_dns(self.operator.dns)
            if self.operator.admin is not None:
                await self._serve_admin(self.operator.admin)
        self.front.ready = not self._stopping_since
        log.write(f"{self.config.name}: serving on {host}:{port}")
        await self.finished.wait()
        self.front.listener.stop_accepting()
        if self.recovery is not None:
            self.recovery.save_state()
        self.log_report()

    def _enable_recovery(self, config: RecoveryConfig) -> None:
        """Enable recovery. Until the journal is heard, the configuration's events are as old as its file."""
        from threadhill.recovery.proxy import Recovery

        written = int(os.stat(os.environ["LB_CONFIG"]).st_mtime_ns // 1_000)
        known_at = self.clock.now() - self.clock.wall_clock_age(written) if self.config.known_events[1] else None
        self.recovery = self.journal.recovery = Recovery(
            self.engine, config, self.config.name, self.config.seed, known_at, log, self.journal
        )

    def _enable_overload_control(self, config: OverloadConfig) -> None:
        """Enable overload control for every front, as all requests go through the core."""
        from threadhill.overload.accept import AcceptPacer

        control = self.overload_control = self._create_overload_control(
            config, self.engine, lambda: self.stats.counts["client", "opened"]
        )
        pace, fleet = AcceptPacer(self.clock.now()), self.engine.router.fleet
        self.front.listener.accept_delay = lambda: pace.acquire(
            self.clock.now(), control.detector.all.state, len(fleet.caches)
        )
        self.front.drain_spread = config.disconnect_spread

    def _create_overload_control(
        self, config: OverloadConfig, engine: Engine, links: Callable[[], int] = lambda: 0, node: str = ""
    ) -> OverloadController:
        """Overload control of one engine: each node has its own servers, capacity and overload state."""
        from threadhill.overload.capacity import UpstreamLoad
        from threadhill.overload.control import TICK_INTERVAL, OverloadController

        settings, router = self.config.settings, engine.router

        def current_upstream_load() -> UpstreamLoad:
            origin = router.fleet.origin
            return UpstreamLoad(origin.latency_ratio[0] if origin is not None else 1.0, router.link_load)

        control = OverloadController(
            settings.classes,
            settings.client_kb_per_s,
            settings.max_retry_after,
            config,
            self.config.seed,
            lambda text: log(f"node {node}: {text}" if node else text),
            current_upstream_load,
            links,
        )
        engine.overload_control = control

        def tick() -> None:
            control.tick(self.clock.now())
            self.deadlines.add(self.clock.now() + TICK_INTERVAL, tick)

        tick()
        return control

    async def _serve_dns(self, config: DnsConfig) -> None:
        from threadhill.dns.front import DnsFront
        from threadhill.dns.transport import DnsServer

        nodes = {}
        home = self.config.settings.zone
        for node in sorted(({v.node for v in config.views} | {n for v in config.views for n in v.fallbacks}) - {home}):
            # Each node's clients are answered by a decision module of its own, which gets the same list.
            settings = replace(self.config.settings, zone=node)
            nodes[node] = Engine(
                settings, self.config.seed ^ zlib.crc32(node.encode()), self.clock, self.deadlines, self.stats, log
            )
            nodes[node].start(None)
            if self.operator.overload is not None:
                self.node_overload_controls[node] = self._create_overload_control(
                    self.operator.overload, nodes[node], node=node
                )
            self.engine.add_follower(nodes[node])
        signer = self._signer(config) if config.keys is not None else None
        front = DnsFront(
            self.engine,
            config,
            frozenset(self.config.settings.classes),
            self.caches.address_of,
            self.caches.ip_versions,
            nodes,
            signer,
        )
        self.dns = front
        try:
            server = DnsServer(front, log)
        except Malformed as error:
            raise BadConfig(f"dns.tls: {error}") from None
        for listener in server.listeners:
            listener.relieve_shortage = self._relieve_shortage
        log.write(f"dns: serving on {await server.listen()}")
        if config.tls is not None:
            log.write(f"dns tls: serving on {await server.listen_tls()}")

    def _signer(self, config: DnsConfig) -> Signer:
        """The signer for the zones whose keys are in the operator's folder. It polls the folder for new keys."""
        from threadhill.dns.keys import KeyFolder
        from threadhill.dns.signing import Signer

        try:
            folder = KeyFolder(config.keys, log)
        except Malformed as error:
            raise BadConfig(f"dns.signing: {error}") from None
        signer = Signer(folder.zones, config.signature_life)

        def poll() -> None:
            if folder.reload_if_changed():
                signer.set_keys(folder.zones)
                self.stats.count("dns", "keys taken")
            self.deadlines.add(self.clock.now() + KEY_POLL_INTERVAL, poll)

        poll()
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
            self._explain() if self.overload_control is not None else None,
            note,
        )
        listener = Listener(
            self.engine,
            "admin client",
            MAX_ADMIN_CONNECTIONS,
            lambda listener: HttpConnection(token, api, listener),
            log,
        )
        listener.relieve_shortage = self._relieve_shortage
        host = config.listen[0]
        log.write(f"admin: serving on {host}:{await listener.listen(*config.listen)}")

    def _access(self, config: AdminConfig) -> tuple[str | Access, Callable[[str, str, Any, int], None] | None]:
        """How callers are authenticated, and the function that records their changes in the audit log."""
        if config.keys_file is None and config.audit_file is None:
            return config.token, None
        from threadhill.admin.access import Access
        from threadhill.tenancy.audit import AuditLog, CorruptLog, LogInUse
        from threadhill.tenancy.keyfile import KeyFile
        from threadhill.tenancy.keys import KeyChecker

        try:
            audit = AuditLog(config.audit_file, log.write) if config.audit_file is not None else None
            file = KeyFile(config.keys_file, log.write) if config.keys_file is not None else None
        except CorruptLog as error:
            raise BadConfig(
                f"admin.audit_file: {config.audit_file}: {error}; keep it aside and begin a new one"
            ) from None
        except LogInUse as error:
            raise BadConfig(f"admin.audit_file: {config.audit_file}: {error}") from None
        except (Malformed, OSError) as error:
            raise BadConfig(f"admin: {error}") from None
        # Unix time, as people read the audit log and keys expire at a date.
        access = Access(KeyChecker(file.keys if file is not None else {}), audit, lambda: self.clock.unix_now() / 1e6)

        def poll() -> None:
            if file is not None and file.reload_if_changed():
                access.key_checker.replace_keys(file.keys)
                self.stats.count("admin", "keys taken")
            self.deadlines.add(self.clock.now() + KEY_POLL_INTERVAL, poll)

        poll()
        return access if file is not None else config.token, access.record if audit is not None else None

    def _explain(self) -> OverloadQueries:
        from threadhill.admin.explain import OverloadQueries
        from threadhill.overload.metrics import page_renderer

        control = self.overload_control

        def status() -> dict[str, object]:
            now = self.clock.now()
            return control.status(now) | {
                "nodes": {node: one.status(now) for node, one in self.node_overload_controls.items()}
            }

        def why(rid: str) -> dict[str, object] | None:
            return next(
                (reason for one in (control, *self.node_overload_controls.values()) if (reason := one.explain(rid))),
                None,
            )

        return OverloadQueries(status, why, page_renderer(self.stats, control.status, self.clock.now))

    async def _serve_management(self, where: tuple[str, int]) -> None:
        import tempfile  # loads many modules, so it is imported only when needed

        from threadhill.admin.cordon_file import CordonFile
        from threadhill.admin.management import management_listener

        self.cordon_file = CordonFile(
            Path(tempfile.gettempdir()), log, lambda: self.clock.to_monotonic(self.clock.now())
        )
        for name in self.engine.cordons.cordoned.values():  # from the state that recovery saved
            self.cordon_file.assume_cordoned(name)
        self._poll_cordons()
        listener = management_listener(self.engine, self, log, MAX_MANAGEMENT_CONNECTIONS)
        listener.relieve_shortage = self._relieve_shortage
        log.write(f"management: serving on {where[0]}:{await listener.listen(*where)}")

    def _share_ids(self) -> None:
        """Share with the other process of an upgrade the ids of requests that must not run twice."""
        import tempfile

        try:
            self.front.once_only = SeenIds(
                lambda: self.clock.to_monotonic(self.clock.now()), Path(tempfile.gettempdir())
            )
        except OSError as error:
            log(f"ids: not shared with another process: {error}; each process knows its own")

    def _poll_cordons(self) -> None:
        """Apply cordons changed through another process of this proxy."""
        self._apply_cordons(self.cordon_file.refresh())
        self.deadlines.add(self.clock.now() + CORDON_POLL_INTERVAL, self._poll_cordons)

    def _apply_cordons(self, changes: Changes) -> None:
        """Apply changes that other processes made. A server put back is cold, unless that is long past."""
        now = self.clock.now()
        for name, change in changes.items():
            number, at = server_number(name), self.clock.from_monotonic(change.at)
            if change.cordoned:
                self.engine.cordon(number, name, allow_unlisted=True)
            elif number in self.engine.cordons.cordoned:
                self.engine.uncordon(number, at)
            elif now - at < CORDON_RETENTION:
                self.engine.uncordoned_elsewhere(number, at)

    # --- called by the operators' address (management)

    def healthy(self) -> bool:
        may_not_send = self.recovery is not None and not self.recovery.may_send(self.clock.now())
        return self.front.listener.listening and not self._stopping_since and not may_not_send

    def figures(self) -> dict[str, int]:
        from threadhill.core.metrics import operator_metrics

        return operator_metrics(
            self.stats, self.config.settings.classes, len(self.engine.requests), *self.engine.rotation_counts()
        )

    def cordon(self, name: str) -> bool:
        return self._change_cordon(name, True)

    def uncordon(self, name: str) -> bool:
        return self._change_cordon(name, False)

    def _change_cordon(self, name: str, cordoned: bool) -> bool:
        """Change one server, on top of what other processes of this proxy changed; False if it is unknown."""
        self._apply_cordons(self.cordon_file.refresh())
        number = server_number(name)
        if not (self.engine.cordon(number, name) if cordoned else self.engine.uncordon(number)):
            return False
        self._apply_cordons(self.cordon_file.record(name, cordoned))
        return True

    def quiesce(self) -> None:
        log.event("quiesce: clients are sent away")
        self.front.quiesce()

    def resume(self) -> None:
        if not self._stopping_since:
            log.event("resume: clients are taken again")
            self.front.resume()

    def reload(self, environ: Mapping[str, str] = os.environ) -> None:
        """SIGHUP: the file is read and checked completely before anything changes; a bad file changes nothing. Journal
        and limits apply at once. Name, address and the decision module's settings need a restart."""
        self.deadlines.cancel(self._reload_retry)
        try:
            new = load(environ)
        except UnreadableConfig as error:  # possibly temporary: no free descriptors, a disk error
            self.stats.count("reload", "put off")
            if isinstance(error.__cause__, OSError):
                self.caches.relieve_shortage(error.__cause__)
            if self._reload_retry is None:
                log.event(f"reload: {error}; everything stays as it is, it is tried again until it can be read")
            self._reload_retry = self.deadlines.add(
                self.clock.now() + RELOAD_RETRY_INTERVAL, lambda: self.reload(environ)
            )
            return
        except BadConfig as error:
            self.stats.count("reload", "refused")
            log.event(f"reload: {error}; everything stays as it is")
            return
        self._reload_retry = None
        old, self.config = self.config, new
        restart_needed = [key for key in ("name", "listen", "settings") if getattr(old, key) != getattr(new, key)]
        self.caches.set_limits(self._limits(new))
        self.front.listener.max_connections, self.front.max_total_outbound = new.max_clients, new.max_outbound_bytes
        self.front.bodies.limit = new.max_body_bytes
        self.journal.catch_up(*new.known_events)
        self.journal.follow(new.journal, new.journals)
        self.stats.count("reload", "done")
        log.event("reload: done" + (f"; {', '.join(restart_needed)} take a restart" if restart_needed else ""))

    def shut_down(self) -> None:
        """SIGTERM: clients are still accepted for a while, and every accepted request is answered before the end."""
        if not self._stopping_since:
            self._stopping_since = self.clock.now()
            self.front.ready = False
            if self.config.listen_fd is not None:
                # Another process accepts from the same socket: take no new clients here and release those connected.
                self.front.listener.stop_accepting()
                self.front.quiesce()
            elif self.front.drain_spread:  # released clients go to other proxies, and must not all do so at once
                self.front.quiesce()
            self._check_drained()

    def _check_drained(self) -> None:
        """Whether everything is answered and every client has read it. After a grace period nothing new is accepted, so
        that a flood cannot delay the end. Then connections without open requests are closed in order: exiting with
        unread requests would reset connections and lose answers already written. What is still open shortly before
        SIGKILL may come is failed; clients that do not read are not waited for."""
        now = self.clock.now()
        elapsed, listener = now - self._stopping_since, self.front.listener
        longest = max((cls.deadline for cls in self.config.settings.classes.values()), default=MAX_KILL_DEADLINE)
        # An upgrade has already closed the listener and drains; else new clients are accepted at first, and released
        # gradually.
        grace = 0 if self.config.listen_fd is not None else max(SHUTDOWN_GRACE, self.front.drain_spread)
        kill_after = SHUTDOWN_GRACE + min(longest, MAX_KILL_DEADLINE)
        when = f"{elapsed / 1e6:.2f} s after SIGTERM"
        if elapsed >= kill_after - KILL_MARGIN and not self._open_failed:
            self._open_failed = True
            log.event(
                f"shutdown: {len(self.engine.requests)} requests still open are failed, "
                f"{len(listener.connections)} client connections still open, {when}"
            )
            self.engine.fail_all()
            self.front.close_connections(now, including_busy=True)
        elif elapsed >= grace:
            if not self.front.refusing and self.config.listen_fd is None:
                self.front.refusing = True
                listener.stop_accepting()
            self.front.close_connections(now)
        if elapsed >= kill_after - KILL_MARGIN // 2 or elapsed >= grace and listener.empty:
            log.event(
                f"shutdown: {'open requests were failed' if self._open_failed else 'all requests answered'}, {when}"
            )
            self.finished.set()
        else:
            self.deadlines.add(now + DRAIN_CHECK_INTERVAL, self._check_drained)

    def _relieve_shortage(self, error: OSError) -> str:
        """Accepting failed for lack of resources: free descriptors if that helps. Returns what is held, for the log."""
        held = self._describe_descriptors()
        self.caches.relieve_shortage(error)
        return held

    def _describe_descriptors(self) -> str:
        """What descriptors are used for, as far as clients and cache servers are concerned."""
        return (
            f"descriptors: {len(self.front.listener.connections)} clients, {self.caches.budget.use()}; "
            f"the process may hold {self.config.max_descriptors}"
        )

    def log_report(self) -> None:
        """Log the use of descriptors, the recent trace entries and then the counters, the latter two as one line of
        JSON each."""
        log.event(self._describe_descriptors())
        log.write(f"trace: {self.engine.trace.recent(self.clock.now())}")
        log.write(orjson.dumps(self.stats.table()).decode())


def serve(config: Config, operator: OperatorConfig | None) -> None:
    """Run a proxy until it is told to stop."""

    async def main() -> None:
        await Proxy(config, operator).run()

    # Objects from the start live on, and requests create hardly any cycles: the collector can run rarely.
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)

    try:
        asyncio.run(main())
    except OSError as error:  # address in use or not on this machine
        raise BadConfig(str(error)) from None


def load_at_start(environ: Mapping[str, str]) -> Config:
    """Load the configuration. A read error caused by a shortage of resources is retried; a missing file or missing
    permission is not."""
    end = time.monotonic() + START_PATIENCE
    while True:
        try:
            return load(environ)
        except UnreadableConfig as error:
            temporary = isinstance(error.__cause__, OSError) and error.__cause__.errno in READ_AGAIN
            if not temporary or time.monotonic() > end:
                raise
            log(f"threadhill: {error}; it is tried again")
        time.sleep(START_RETRY_SECONDS)


def start(operator: Path | None = None) -> int:
    """Run `threadhill serve` and return the exit code. `operator` is the path of the operator's file."""
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
