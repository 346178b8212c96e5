"""The cache servers' protocol: lines of words, a body behind the last; a pool of connections a server."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from threadhill import interface as api
from threadhill.core.engine import Engine
from threadhill.core.ports import Ended, Order
from threadhill.net.stream import Stream

HEAD = 1_024  # bytes of an answer's line at most
BODY = 256 << 10  # of its body; objects have up to 240,000
OUTBOUND = 256 << 10
IDLE_SHARE = 0.7  # part of the peer's idle time after which a connection is closed from this side
USED = 64  # ids given up on a connection after which it is closed
POOL = 4  # connections to one server at most: answers on a shared one were measured not to delay each other
MODES = ((api.FillMode.JOIN, "collapse"), (api.FillMode.HELD_ONLY, "only-if-cached"),
         (api.FillMode.PARENT_KEEPS_NOT, "no-store-up"), (api.FillMode.RENEW, "refresh"))
ENDS = {"ok": api.Outcome.SERVED, "current": api.Outcome.SERVED, "nothing": api.Outcome.MISS,
        "refused": api.Outcome.REFUSED, "error": api.Outcome.ERROR, "stale": api.Outcome.UNSENT}
REPORT = {"inflight": "inflight", "rif": "inflight", "util": "util", "busy": "util", "x1": "link", "x0": "hits"}


def read_report(text: str) -> dict[str, float]:
    """`inflight:7;util:0.61` in the module's names; what it does not know is skipped."""
    load = {}
    for item in text.split(";"):
        name, _, value = item.partition(":")
        try:
            load[REPORT[name]] = float(value)
        except (KeyError, ValueError):
            continue
    return load


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site and the machine allow; times in microseconds."""

    descriptors: int = 640
    streams: int = 32
    idle: int = 30_000_000
    connect_timeout: int = 400_000


@dataclass(slots=True)
class Server:
    """Where a server listens, and what goes there."""

    name: str
    host: str
    port: int
    pool: Pool


@dataclass(slots=True)
class Sending:
    """An attempt that waits for a connection or is out on one."""

    server: int
    order: Order
    wire: Wire | None = None
    at: int = 0


class Wire(Stream):
    """One connection to a cache server, parent or the origin."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(BODY + HEAD, OUTBOUND)
        self.pool = pool
        self.open: dict[str, int] = {}  # id -> attempt
        self.used: set[str] = set()  # ids given up here: their late answers must not pass for a new attempt's
        self.suspect = False  # an attempt ran out of time here and nothing has come since it was sent
        self.heard = self.idle_since = 0
        self._head: tuple[str, str, str] | None = None

    def opened(self) -> None:
        self.pool.opened(self)

    def ended(self) -> None:
        self.pool.lost(self)

    @property
    def usable(self) -> bool:
        return self.transport is not None and not self._closing and not self.suspect

    def parse(self) -> None:
        self.heard, self.suspect = self.pool.caches.engine.clock.now(), False
        while not self._closing:
            if self._head is None:
                line = self.inbound.peek(HEAD)
                end = line.find(b"\r\n")
                if end < 0:
                    if len(line) >= HEAD:
                        self._broken("a line is too long")
                    return
                words = line[:end].decode("utf-8", "replace").split(" ")
                if len(words) != 4 or not words[3].isdigit() or int(words[3]) > BODY - 2:
                    self._broken("not an answer")
                    return
                self.inbound.skip(end + 2)
                self._head, self.wanted = (words[0], words[1], words[2]), int(words[3]) + 2
            if len(self.inbound) < self.wanted:
                return
            body = self.inbound.take(self.wanted)
            if body[-2:] != b"\r\n":
                self._broken("a body does not end where it should")
                return
            (id, word, fields), self._head, self.wanted = self._head, None, 1
            self._answer(id, word, fields, body[:-2])

    def _broken(self, why: str) -> None:
        self.pool.caches.engine.stats.count("malformed", "server")
        self.pool.caches.log(f"{self.pool.name}: {why}")
        self.abort()

    def _answer(self, id: str, word: str, raw: str, body: bytes) -> None:
        attempt = self.open.pop(id, None)
        if attempt is None:
            return  # given up meanwhile
        fields = dict(item.partition("=")[::2] for item in raw.split(",")) if raw != "-" else {}
        ended = Ended(ENDS.get(word, api.Outcome.ERROR), body, fields.get("ver", ""), word == "current",
                      read_report(fields.get("report", "")))
        self.pool.done(self)
        self.pool.caches.ended(attempt, ended)


class Pool:
    """The connections to one server, and the attempts that wait for one."""

    def __init__(self, caches: CacheServers, number: int, name: str) -> None:
        self.caches, self.number, self.name = caches, number, name
        self.wires: list[Wire] = []
        self.waiting: deque[int] = deque()
        self.dialling = 0
        self.ready = True

    def send(self, attempt: int) -> None:
        self.waiting.append(attempt)
        self._drain()

    def _drain(self) -> None:
        """Write what waits, in its order, as far as there are connections; dial for the rest."""
        while self.waiting:
            sending = self.caches.sendings.get(self.waiting[0])
            wire = self._pick(sending.order.ask.rid) if sending is not None else None
            if sending is not None and wire is None:
                break
            attempt = self.waiting.popleft()
            if wire is not None:
                self._write(wire, attempt)
        good = sum(wire.usable for wire in self.wires)
        while self.dialling < len(self.waiting) and good + self.dialling < self.caches.pool_most and self.ready:
            self.caches.dial(self)

    def _pick(self, id: str) -> Wire | None:
        """An idle connection, the last used first; where no more may be dialled, the one with the fewest out."""
        fit = [w for w in self.wires if w.usable and not w.slow and id not in w.open and id not in w.used]
        idle = [w for w in fit if not w.open]
        if idle:
            return max(idle, key=lambda w: w.idle_since)
        if sum(wire.usable for wire in self.wires) + self.dialling < self.caches.pool_most:
            return None
        return min((w for w in fit if len(w.open) < self.caches.streams), key=lambda w: len(w.open), default=None)

    def _write(self, wire: Wire, attempt: int) -> None:
        sending = self.caches.sendings[attempt]
        body = sending.order.ask.body
        if not wire.write(self.caches.head(sending.order), body, b"\r\n"):
            self.caches.ended(attempt, Ended(api.Outcome.UNSENT))
            return
        sending.wire, sending.at = wire, self.caches.engine.clock.now()
        wire.open[sending.order.ask.rid] = attempt
        self.caches.engine.stats.count("bytes_out", "servers", len(body))

    def opened(self, wire: Wire) -> None:
        self.wires.append(wire)
        self.caches.engine.stats.count("connection", "opened")
        wire.idle_since = self.caches.engine.clock.now()

    def done(self, wire: Wire) -> None:
        """A connection has room again: what waits longest takes it."""
        wire.idle_since = self.caches.engine.clock.now()
        self._drain()
        if not wire.open and (not self.ready or len(wire.used) > USED):
            wire.close()

    def lost(self, wire: Wire) -> None:
        if wire in self.wires:
            self.wires.remove(wire)
        self.caches.engine.stats.count("connection", "closed")
        attempts, wire.open = list(wire.open.values()), {}
        for attempt in attempts:
            self.caches.ended(attempt, Ended(api.Outcome.BROKEN))
        self._drain()

    def dialled(self, up: bool) -> None:
        """A dial ended. Where it failed, what waits beyond the dials still out has no way to the server."""
        self.dialling -= 1
        while not up and len(self.waiting) > self.dialling and not any(wire.usable for wire in self.wires):
            self.caches.ended(self.waiting.popleft(), Ended(api.Outcome.UNREACHED))
        self._drain()

    def retire(self) -> None:
        """The server drains or is gone: what waits must not be written to it any more."""
        self.ready = False
        while self.waiting:
            self.caches.ended(self.waiting.popleft(), Ended(api.Outcome.UNSENT))
        self.close_idle(self.caches.engine.clock.now() + 1)

    def close_idle(self, before: int) -> None:
        for wire in [w for w in self.wires if not w.open and w.idle_since < before]:
            wire.close()


class CacheServers:
    """The core's `Caches` port on sockets."""

    def __init__(self, engine: Engine, limits: Limits, log: Callable[[str], None]) -> None:
        self.engine, self.log = engine, log
        self.limit(limits)
        self.servers: dict[int, Server] = {}
        self.sendings: dict[int, Sending] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._tidy()

    def limit(self, limits: Limits) -> None:
        """What the site and the machine allow from now on."""
        self.limits, self.streams = limits, limits.streams
        self.idle_time = int(limits.idle * IDLE_SHARE)

    def _tidy(self) -> None:
        """Close what has been idle for long before the peer does: a request that crosses its close is lost."""
        now = self.engine.clock.now()
        for server in self.servers.values():
            server.pool.close_idle(now - self.idle_time)
        self.engine.deadlines.add(now + 1_000_000, self._tidy)

    @property
    def pool_most(self) -> int:
        """Connections to one server at most: the descriptors that clients leave, shared out evenly."""
        return max(2, min(POOL, self.limits.descriptors // (len(self.servers) + 2)))

    # --- the port

    def send(self, attempt: int, order: Order) -> None:
        server = self.servers.get(order.server)
        source = self.servers.get(order.source)
        if server is None or source is None or not server.pool.ready:
            self.engine.ended(attempt, Ended(api.Outcome.UNSENT))
            return
        self.sendings[attempt] = Sending(order.server, order)
        server.pool.send(attempt)

    def drop(self, attempt: int) -> bool:
        sending = self.sendings.pop(attempt, None)
        if sending is None or sending.wire is None:
            return False
        wire, id = sending.wire, sending.order.ask.rid
        if wire.open.pop(id, None) is not None and wire.transport is not None:
            # Nothing came since this was sent: the machine may have vanished, which no reset will tell. What
            # else is out here may wait; anything new goes to a new connection, which will not come up then.
            wire.suspect = wire.heard < sending.at
            if wire.suspect:  # an idle connection knows no better
                wire.pool.close_idle(self.engine.clock.now() + 1)
            if wire.suspect and not wire.open:
                wire.abort()
            else:
                wire.used.add(id)
                wire.write(b"undo %s\r\n" % id.encode())
                wire.pool.done(wire)
        return True

    def listed(self, entries: list[api.Entry]) -> None:
        for entry in entries:
            server = self.servers.get(entry.server)
            if server is not None and entry.state is not api.State.READY:
                server.pool.retire()
                for attempt, sending in list(self.sendings.items()):
                    if sending.wire is None and sending.order.source == entry.server:
                        self.ended(attempt, Ended(api.Outcome.UNSENT))

    # --- what the list tells of addresses

    def known(self, number: int, name: str, host: str, port: int) -> None:
        """A server that is ready, at this address; a new address or a return from draining means a new pool."""
        old = self.servers.get(number)
        if old is not None and (old.host, old.port) == (host, port) and old.pool.ready:
            return
        if old is not None:
            old.pool.retire()
        self.servers[number] = Server(name, host, port, Pool(self, number, name))

    def where(self, number: int) -> tuple[str, str, int] | None:
        """The name and address of a server that is ready now."""
        server = self.servers.get(number)
        return (server.name, server.host, server.port) if server is not None and server.pool.ready else None

    def families(self) -> set[int]:
        """The IP versions that ready servers' addresses have."""
        return {6 if ":" in server.host else 4 for server in self.servers.values() if server.pool.ready}

    # --- what the pools call

    def ended(self, attempt: int, end: Ended) -> None:
        if self.sendings.pop(attempt, None) is not None:
            self.engine.ended(attempt, end)

    def head(self, order: Order) -> bytes:
        ask = order.ask
        fields = [f"profile={ask.cls}", f"thing={ask.object}", f"nth={ask.part}"]
        if order.limit:
            fields.append(f"max={-(-order.limit // 1_000)}")
        if ask.token is not None:
            fields.append(f"replay={ask.token}")
        if order.source != order.server:
            fields.append(f"from={self.servers[order.source].name}")
        if order.keep:
            fields.append(f"rank={order.keep}")
        if order.age:
            fields.append(f"oldest={max(1, order.age // 1_000)}")
        words = [word for bit, word in MODES if bit & order.mode]
        if words:
            fields.append("mode=" + "+".join(words))
        if ask.seen:
            fields.append(f"seen={ask.seen}")
        return f"do {ask.rid} {','.join(fields)} {len(ask.body)}\r\n".encode()

    def dial(self, pool: Pool) -> None:
        pool.dialling += 1
        task = asyncio.get_running_loop().create_task(self._dial(pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, pool: Pool) -> None:
        server = self.servers[pool.number]
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self.limits.connect_timeout / 1e6):
                await loop.create_connection(lambda: Wire(pool), server.host, server.port)
        except OSError as error:  # a time-out is one too
            self.engine.stats.count("connection", "failed")
            self.log(f"{pool.name}: no connection: {error!r}")
            pool.dialled(up=False)
        else:
            pool.dialled(up=True)
