"""Plays a seed: starts all, sends traffic, does what the deployment says, and gives the record."""

from __future__ import annotations

import asyncio
import errno
import os
import random
import signal
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from threadhill.standin.soak.clients import SoakClient
from threadhill.standin.soak.deployment import LENGTH, Act, Deployment, Effect, RequestClass
from threadhill.standin.soak.discovery import Watcher
from threadhill.standin.soak.proxy import Program, Proxy, Shims, StandInFailed
from threadhill.standin.soak.record import ClientRequest, ColdStart, ProcessLife, Purge, Record, Removal
from threadhill.standin.soak.servers import Kind, Mood, StandInServer, unix_ms

HOLD_UP = 0.06  # seconds of a late look from which on the stand-ins count as held up
LOOK = 0.01  # seconds between those looks
RESOURCES = 0.5  # seconds between looks at what processes hold
WAITING = 0.05  # seconds between looks at how long processes waited for a processor
CONNECTIONS = 4  # resting connections of clients to one process
LAST_ANSWERS = 1.0  # seconds behind the longest deadline in which the last answers are waited for


class SoakWorld:
    """One seed's world."""

    def __init__(
        self, deployment: Deployment, folder: Path, program: Program, make_shims: Callable[[Path], Shims]
    ) -> None:
        self.deployment, self.folder, self.program, self.make_shims = deployment, folder, program, make_shims
        self.rng = random.Random(deployment.seed ^ 0x50A4)
        self.record = Record(deployment.seed)
        self.servers: dict[str, StandInServer] = {}
        self.draining: dict[str, Removal] = {}
        self.proxies: list[Proxy] = []
        self.things = [f"{self.rng.getrandbits(64):016x}" for _ in range(deployment.objects)]
        self._background: set[asyncio.Task[Any]] = set()
        self._next_server = 1

    async def play(self) -> Record:
        """Play the seed to its end; StandInFailed where it cannot be judged."""
        try:
            await self._begin()
            await self._run()
        finally:
            await self._end()
        return self.record

    # --- the beginning and the end

    async def _begin(self) -> None:
        counts = (
            (Kind.CACHE, self.deployment.caches, "edge-1"),
            (Kind.PARENT, self.deployment.parents, "sierra"),
            (Kind.ORIGIN, 1, "sierra"),
        )
        for kind, count, zone in counts:
            for _ in range(count):
                await self._new_server(kind, zone)
        for i in range(self.deployment.processes):
            await self._new_proxy(f"n{i}")
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))

    async def _new_server(self, kind: Kind, zone: str, port: int = 0) -> StandInServer:
        name = f"s-{self._next_server:08x}"
        self._next_server += 1
        server = StandInServer(name, kind, zone, self.deployment, self.record, random.Random(name), self.servers.get)
        await server.start(port)
        self.servers[name] = server
        return server

    async def _new_proxy(self, name: str) -> None:
        table = self.folder / f"{name}.table"
        proxy = Proxy(
            name,
            self.folder,
            self.deployment,
            self.record,
            self.program,
            self.make_shims(table),
            self._watcher(),
            ProcessLife(name, 0.0),
        )
        self.proxies.append(proxy)
        await self._prepare(proxy)

    def _watcher(self) -> Watcher:
        return Watcher(self.deployment.heartbeat_object, self.deployment.heartbeat_first)

    async def _prepare(self, proxy: Proxy) -> None:
        """Number the events of its next start, and write its configuration."""
        proxy.watcher = self._watcher()
        await proxy.watcher.start()
        process, now = f"{proxy.name}#{proxy.starts + 1}", time.monotonic()
        for content in self._events_of_a_start():
            proxy.watcher.add(content, 0.0, lambda at: None)
        proxy.history = proxy.history or [event.content for event in proxy.watcher.events]
        for told in (
            *(purge.told for purge in self.record.purges),
            *(one.told for one in self.draining.values()),
            *(cold.told for cold in self.record.cold_starts),
        ):
            told[process] = now
        proxy.configure(proxy.watcher.known())

    def _events_of_a_start(self) -> list[dict[str, Any]]:
        members = [
            server.member("DRAINING" if server.name in self.draining else "SERVING") for server in self.servers.values()
        ]
        since = unix_ms() - round(self.deployment.purge_takes * 1e3)
        return [
            {"hosts": {"revision": 1, "complete": True, "members": members}},
            *(self._content(purge) for purge in self.record.purges if purge.stamp >= since),
        ]

    @staticmethod
    def _content(purge: Purge) -> dict[str, Any]:
        what = {"name": purge.name} if purge.name is not None else {"set": purge.group}
        return {"expire": what | {"stamp": purge.stamp}}

    async def _run(self) -> None:
        began = time.monotonic()
        for task in (self._watch_hold_ups(), self._watch_resources(), self._watch_waiting(), self._idle_crowd()):
            self._spawn(task)
        traffic = asyncio.ensure_future(self._traffic(began + LENGTH))
        for after, act in self.deployment.acts:
            await asyncio.sleep(max(0.0, began + after - time.monotonic()))
            await self._do(act)
        await traffic
        await asyncio.sleep(max(cls.deadline for cls in self.deployment.classes) + LAST_ANSWERS)
        self.record.ended = time.monotonic()
        for task in self._background:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise StandInFailed(repr(task.exception()))

    def _spawn(self, what: Any) -> None:
        self._background.add(asyncio.ensure_future(what))

    async def _end(self) -> None:
        for task in self._background:
            task.cancel()
        for proxy in self.proxies:
            proxy.send(signal.SIGCONT)
            proxy.send(signal.SIGKILL)
        for proxy in self.proxies:
            if proxy.process is not None:
                await proxy.process.wait()
            proxy.watcher.close()
        for server in self.servers.values():
            server.stop()
        await asyncio.sleep(0)

    # --- what is watched

    async def _watch_hold_ups(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(LOOK)
            now = time.monotonic()
            if now - last > HOLD_UP:
                self.record.hold_ups.append((last, now))
            last = now

    async def _watch_resources(self) -> None:
        while True:
            await asyncio.sleep(RESOURCES)
            for proxy in self.proxies:
                proxy.look()

    async def _watch_waiting(self) -> None:
        while True:
            await asyncio.sleep(WAITING)
            for proxy in self.proxies:
                proxy.look_at_waiting()

    async def _idle_crowd(self) -> None:
        """Clients that connect and say nothing."""
        for proxy in self.proxies if self.deployment.crowd else ():
            for _ in range(self.deployment.crowd):
                with suppress(OSError):
                    await proxy.connect()

    # --- traffic

    async def _traffic(self, end: float) -> None:
        due = time.monotonic()
        while due < end:
            due += self.rng.expovariate(self.deployment.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            proxy = self.rng.choice(self.proxies)
            with suppress(OSError):
                await self._send(proxy)

    async def _send(self, proxy: Proxy) -> None:
        resting = [c for c in proxy.clients if c.process == proxy.life.name and not c.ended and not c.gone]
        proxy.clients = resting
        fresh = proxy.takes_connections and (len(resting) < CONNECTIONS or self.rng.random() < 0.1)
        if not resting and not fresh:
            return
        if fresh:
            client = await proxy.connect()
            proxy.clients.append(client)
        else:
            client = self.rng.choice(resting)
        if len(client.open) >= 30:
            return
        cls = self.rng.choices(self.deployment.classes, weights=[c.share for c in self.deployment.classes])[0]
        request = self._request(proxy, client, cls)
        token = os.urandom(16).hex() if cls.effect is Effect.KEYED else ""
        client.ask(request, token)
        self._maybe_leave(client, request)

    def _request(self, proxy: Proxy, client: SoakClient, cls: RequestClass) -> ClientRequest:
        thing = self.things[int(len(self.things) * self.rng.random() ** 2)]
        part = self.rng.randrange(3) if not cls.write else 0
        budget = cls.deadline * self.rng.choice([1.0, 0.7, 0.5])
        if self.rng.random() < 0.02:
            budget = self.rng.uniform(0.005, 0.05)
        seen = client.copies.get((thing, part), "") if not cls.write and self.rng.random() < 0.3 else ""
        request = ClientRequest(
            os.urandom(8).hex(),
            proxy.life.name,
            cls.name,
            thing,
            part,
            self.deployment.group_of(thing),
            budget,
            time.monotonic(),
            seen,
        )
        self.record.requests[request.rid] = request
        return request

    def _maybe_leave(self, client: SoakClient, request: ClientRequest) -> None:
        draw = self.rng.random()
        loop = asyncio.get_running_loop()
        if draw < 0.02:
            loop.call_later(self.rng.uniform(0, 0.2), client.leave, self.rng.random() < 0.5)
        elif draw < 0.05:
            loop.call_later(self.rng.uniform(0, 0.2), client.withdraw, request)

    # --- what is told

    def _tell(self, content: dict[str, Any], told: dict[str, float] | None) -> None:
        for proxy in self.proxies:
            delay = self.rng.uniform(0.03, self.deployment.news_delay + 0.03)
            process = proxy.life.name
            proxy.history.append(content)
            proxy.watcher.add(
                content, delay, (lambda at: None) if told is None else lambda at, p=process: told.setdefault(p, at)
            )

    def _purge(self, name: str | None, group: int | None) -> None:
        purge = Purge(name, group, unix_ms())
        self.record.purges.append(purge)
        for server in self.servers.values():
            server.drop_later(purge)
        self._tell(self._content(purge), purge.told)

    def _tell_hosts(self, told: dict[str, float] | None, *members: dict[str, Any]) -> None:
        self._tell({"hosts": {"revision": 1, "complete": False, "members": list(members)}}, told)

    # --- what is done

    async def _do(self, act: Act) -> None:
        self.record.note(act.value)
        rng = self.rng
        match act:
            case Act.PURGE:
                self._purge(rng.choice(self.things[:20]), None)
            case Act.PURGES_IN_A_ROW:
                self._spawn(self._purges_in_a_row(rng.choice(self.things[:8])))
            case Act.FLUSH:
                for group in range(self.deployment.groups):
                    if rng.random() < 0.75:
                        self._purge(None, group)
            case Act.DRAIN:
                self._spawn(self._drain(back_after=rng.uniform(2, 14)))
            case Act.REPLACE:
                await self._replace()
            case Act.COLD:
                await self._cold_start()
            case Act.TERMINATE:
                self._spawn(self._terminate(rng.choice(self.proxies)))
            case Act.KILL:
                for proxy in rng.sample(self.proxies, rng.randint(1, len(self.proxies))):
                    self._spawn(self._kill(proxy))
            case Act.RELOAD:
                for proxy in self.proxies:
                    self._spawn(self._reload(proxy))
            case Act.RELOADS:
                self._spawn(self._reloads(rng.choice(self.proxies)))
            case Act.STAND_STILL:
                self._spawn(self._stand_still(rng.choice(self.proxies), rng.uniform(0.1, 1.2)))
            case Act.SILENT_WATCH:
                for proxy in self.proxies:
                    proxy.watcher.fall_silent()
            case Act.DISCOVERY_DOWN:
                self._spawn(self._discovery_down(rng.uniform(1, 6)))
            case Act.WATCH_BREAKS:
                for proxy in self.proxies:
                    proxy.watcher.break_off()
            case Act.RESET:
                servers = list(self.servers.values())
                for server in servers if rng.random() < 0.4 else [rng.choice(servers)]:
                    server.reset()
            case Act.HANG | Act.ERRORS | Act.SPOIL:
                mood = {Act.HANG: Mood.HANGS, Act.ERRORS: Mood.FAILS, Act.SPOIL: Mood.SPOILS}[act]
                self._spawn(self._moody(mood, rng.uniform(1, 4)))
            case Act.SLOW_FILLS:
                self._spawn(self._slow_fills(rng.uniform(2, 5)))
            case Act.CLOCK:
                rng.choice(self.proxies).shims.step_wall(rng.choice([-3600.0, -2.0, -0.4, 0.0, 0.4, 2.0, 3600.0]))
            case Act.SHORT_CALLS:
                self._spawn(self._short_calls(rng.choice(self.proxies)))
            case Act.FAILED_CALLS:
                self._spawn(self._failed_calls(rng.choice(self.proxies)))

    async def _purges_in_a_row(self, name: str) -> None:
        for _ in range(self.rng.randint(2, 5)):
            self._purge(name, None)
            if self.rng.random() < 0.3:
                self._purge(None, self.deployment.group_of(name))
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))

    def _some_cache(self) -> StandInServer | None:
        """A cache that serves, of more than two that do."""
        able = [
            server for server in self.servers.values() if server.kind is Kind.CACHE and server.name not in self.draining
        ]
        return self.rng.choice(able) if len(able) > 2 else None

    def _some_parent(self) -> StandInServer | None:
        """A parent that serves, of more than one that do."""
        able = [
            server
            for server in self.servers.values()
            if server.kind is Kind.PARENT and server.name not in self.draining
        ]
        return self.rng.choice(able) if len(able) > 1 else None

    async def _drain(self, back_after: float) -> None:
        server = self._some_parent() if self.rng.random() < 0.4 else self._some_cache()
        if server is None:
            return
        removal = self.draining[server.name] = Removal(server.name, time.monotonic())
        self.record.removals.append(removal)
        self._tell_hosts(removal.told, server.member("DRAINING"))
        await asyncio.sleep(back_after)
        removal.until = time.monotonic()
        self.draining.pop(server.name, None)
        self._tell_hosts(None, server.member())

    async def _replace(self) -> None:
        old = self._some_cache()
        if old is None:
            return
        removal = Removal(old.name, time.monotonic())
        self.record.removals.append(removal)
        del self.servers[old.name]
        port = old.port
        old.stop()
        self._tell_hosts(removal.told, old.member("DELETED"))
        await asyncio.sleep(0.05)
        with suppress(OSError):
            new = await self._new_server(Kind.CACHE, old.zone, port)
            self._announce_cold(new)

    async def _cold_start(self) -> None:
        self._announce_cold(await self._new_server(Kind.CACHE, "edge-1"))

    def _announce_cold(self, server: StandInServer) -> None:
        server.up_since_ms = unix_ms()
        cold = ColdStart(server.name, time.monotonic())
        self.record.cold_starts.append(cold)
        self._tell_hosts(cold.told, server.member())

    async def _terminate(self, proxy: Proxy) -> None:
        life = proxy.life
        if not life.serving_at or life.asked_to_end_at or life.ended_at:
            return
        series = self.rng.random() < 0.4
        if series:
            proxy.send(signal.SIGHUP)
        life.asked_to_end_at = time.monotonic()
        proxy.send(signal.SIGTERM)
        if series:
            self._spawn(self._signals_meanwhile(proxy, life))
        kill_at = life.asked_to_end_at + self.deployment.kill_after
        while not life.ended_at and time.monotonic() < kill_at:
            await asyncio.sleep(0.01)
        if not life.ended_at:
            life.killed_at = time.monotonic()
            proxy.send(signal.SIGKILL)
        await self._start_again(proxy, life)

    async def _signals_meanwhile(self, proxy: Proxy, life: ProcessLife) -> None:
        """Further signals to a process that is ending: another end, a new configuration, a look."""
        for signum in self.rng.sample([signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1], 3):
            await asyncio.sleep(self.rng.uniform(0.01, 0.5))
            if life.ended_at or proxy.life is not life:
                return
            proxy.send(signum)

    async def _kill(self, proxy: Proxy) -> None:
        life = proxy.life
        if not life.serving_at or life.asked_to_end_at or life.killed_at or life.ended_at:
            return
        life.killed_at = time.monotonic()
        proxy.send(signal.SIGKILL)
        await self._start_again(proxy, life)

    async def _start_again(self, proxy: Proxy, life: ProcessLife) -> None:
        while not life.ended_at:
            await asyncio.sleep(0.005)
        proxy.watcher.close()
        await self._prepare(proxy)
        await proxy.start()

    async def _reload(self, proxy: Proxy) -> None:
        """A new configuration with discovery moved. Its numbers are those of this start, of one that would begin now,
        or of the first one."""
        life = proxy.life
        if not life.serving_at or life.ended_at or time.monotonic() < life.serving_at + 1.0:
            return
        await proxy.watcher.move()
        known = proxy.watcher.known()
        draw = self.rng.random()
        if draw < 0.2:
            known = self._numbered(self._events_of_a_start())
        elif draw < 0.7 and proxy.starts > 1:
            known = self._numbered(proxy.history)
        proxy.configure(known)
        proxy.send(signal.SIGHUP)

    @staticmethod
    def _numbered(contents: list[dict[str, Any]]) -> dict[str, Any]:
        return {"pos": len(contents), "entries": [{"pos": i} | content for i, content in enumerate(contents, 1)]}

    async def _reloads(self, proxy: Proxy) -> None:
        for _ in range(3):
            await self._reload(proxy)
            await asyncio.sleep(self.rng.uniform(0.01, 0.4))

    async def _stand_still(self, proxy: Proxy, seconds: float) -> None:
        life = proxy.life
        if life.asked_to_end_at or life.ended_at or not life.serving_at:
            return
        since = time.monotonic()
        proxy.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        proxy.send(signal.SIGCONT)
        life.stopped.append((since, time.monotonic()))

    async def _discovery_down(self, seconds: float) -> None:
        watchers = [proxy.watcher for proxy in self.proxies]
        for watcher in watchers:
            watcher.down()
        await asyncio.sleep(seconds)
        for watcher in watchers:
            with suppress(OSError):
                await watcher.up()

    async def _moody(self, mood: Mood, seconds: float) -> None:
        servers = list(self.servers.values())
        origins = [server for server in servers if server.kind is Kind.ORIGIN]
        server = self.rng.choice(origins if self.rng.random() < 0.35 else servers)
        server.mood = mood
        await asyncio.sleep(seconds)
        server.mood = Mood.WELL

    async def _slow_fills(self, seconds: float) -> None:
        servers = [server for server in self.servers.values() if server.kind is Kind.CACHE]
        for server in servers:
            server.slow_fills = True
        await asyncio.sleep(seconds)
        for server in servers:
            server.slow_fills = False

    async def _short_calls(self, proxy: Proxy) -> None:
        for call in ("send", "recv"):
            proxy.shims.shorten(call, self.rng.choice([7, 100, 1000]))
        await asyncio.sleep(self.rng.uniform(0.5, 2))
        for call in ("send", "recv"):
            proxy.shims.shorten(call, 0)

    async def _failed_calls(self, proxy: Proxy) -> None:
        call, error = self.rng.choice(
            [
                ("accept", errno.ECONNABORTED),
                ("accept", errno.ENFILE),
                ("connect", errno.ENOBUFS),
                ("connect", errno.EADDRNOTAVAIL),
                ("connect", errno.ENETUNREACH),
                ("socket", errno.EMFILE),
            ]
        )
        proxy.shims.fail(call, error)
        await asyncio.sleep(self.rng.uniform(0.1, 0.4))
        proxy.shims.fail(call, 0, 0)
