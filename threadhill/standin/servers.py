"""Stand-ins for cache servers, parent caches and the origin: bounded copies, fills and cold starts.

They answer `do`, `undo` and `ping` on real sockets and record the arrival of each request. The content of an object is
derived from its name, so that every answer can be checked. Times are Unix seconds.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from contextlib import nullcontext
from dataclasses import dataclass, field

from threadhill.decision.hashing import hash_name

ANSWER_TIME = 0.004  # seconds that an answer takes at full capacity
FILL_TIMEOUT = 2.0  # seconds until a fill times out
MAX_COPIES = 4_000  # copies that a server stores
PURGE_SLACK = 0.55  # seconds after a purge in which an answer from an older copy is not counted as stale
PURGE_DURATION = 6.0  # seconds after a purge until real caches have dropped all older copies; the stand-ins keep theirs
MAX_ARRIVALS = 200_000  # arrivals that a server records; older ones are dropped
MIN_PART_BYTES, MAX_PART_BYTES = 1_000, 24_000  # least and greatest size of a part in bytes


def body_of(obj: str, part: str) -> bytes:
    """Return the content of one part of an object: its name repeated, with a size derived from a hash of the name."""
    size = MIN_PART_BYTES + hash_name(f"{obj}/{part}") % (MAX_PART_BYTES - MIN_PART_BYTES)
    pattern = f"{obj}/{part};".encode()
    return (pattern * (size // len(pattern) + 1))[:size]


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that was received whole; `source` is the server that it names for the fill of a miss."""

    at: float
    cls: str
    obj: str
    part: str
    source: str
    fill: bool = False  # sent by another server, to fill a copy


@dataclass(slots=True)
class CopyStore:
    """Bounded store of copies: evicts the least recently used copy of the lowest rank, and no copy for one of a lower
    rank."""

    max_copies: int = MAX_COPIES
    by_rank: list[OrderedDict[tuple[str, str], float]] = field(
        default_factory=lambda: [OrderedDict() for _ in range(4)]
    )

    def __len__(self) -> int:
        return sum(len(kept) for kept in self.by_rank)

    def get(self, key: tuple[str, str], rank: int) -> float | None:
        """Return when the origin issued this copy, or None if it is absent; a rank other than 0 replaces its rank."""
        for held, kept in enumerate(self.by_rank):
            if key in kept:
                born = kept.pop(key)
                self.by_rank[rank or held][key] = born
                return born
        return None

    def put(self, key: tuple[str, str], born: float, rank: int) -> None:
        if not rank:
            return
        while len(self) >= self.max_copies:
            lowest = next(i for i, kept in enumerate(self.by_rank) if kept)
            if lowest > rank:
                return
            self.by_rank[lowest].popitem(last=False)
        self.by_rank[rank][key] = born


class Server:
    """One stand-in server; `kind` is box, parent or library. `address_of` gives the address of a source by its name."""

    def __init__(
        self,
        name: str,
        kind: str,
        address: tuple[str, int],
        address_of: Callable[[str], tuple[str, int] | None],
        cold: float = 0.0,
        cold_from: float = 0.16,
        upstream: str = "",
    ) -> None:
        self.name, self.kind, self.address, self.address_of = name, kind, address, address_of
        self.started, self.cold, self.cold_from, self.upstream = time.time(), cold, cold_from, upstream
        self.copies = CopyStore()
        self.arrivals: deque[Arrival] = deque(maxlen=MAX_ARRIVALS)
        self.open = 0
        self.accepted_connections = 0
        self.peak_open: dict[int, int] = {}  # Unix second -> most requests open at once in it
        self.hits = self.misses = 0
        self.slowdown = 1.0
        self.workers = 0  # requests processed at once; 0: unlimited
        self.queue_limit = 8  # requests that may wait beyond `workers`; further ones are refused
        self.answer_time = ANSWER_TIME
        self.failure_share = 0.0  # share of the requests that fail at once
        self.report_delay = 0.0  # age of the load reports in seconds
        self.refusals = 0
        self.purged: dict[str, float] = {}  # object -> when it was purged; older copies must not be served any more
        self.stale_answers = (
            0  # answers from copies older than a purge, to requests that came over PURGE_SLACK after it
        )
        self._worker_slots: asyncio.Semaphore | None = None
        self._reports: deque[tuple[float, str]] = deque(maxlen=4_096)
        self._random = random.Random(name)
        self.sources: dict[str, SourceConnection] = {}
        self.running_fills: dict[tuple[str, str], asyncio.Future[float | None]] = {}
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: ServerConnection(self), *self.address)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop as a killed process does: connections are reset and the listener is closed."""
        if self._server is not None:
            self._server.close()
        for link in list(self.connections):
            link.transport.abort()
        for source in self.sources.values():
            source.close()

    def capacity(self, now: float) -> float:
        """Return the share of its full capacity that the server has reached; it rises linearly after a cold start."""
        if not self.cold:
            return 1.0
        return min(1.0, self.cold_from + (1 - self.cold_from) * (now - self.started) / self.cold)

    async def restart(self, cold: float = 0.0) -> None:
        """Start again after `stop`, at the same address, without any copies."""
        self.started, self.cold, self.copies, self.open = time.time(), cold, CopyStore(), 0
        await self.start()

    def worker_slot(self) -> asyncio.Semaphore | nullcontext[None]:
        """Return a context manager that holds one of the worker slots."""
        if not self.workers:
            return nullcontext()
        if self._worker_slots is None:
            self._worker_slots = asyncio.Semaphore(self.workers)
        return self._worker_slots

    def report(self) -> str:
        """Return the load report, delayed by `report_delay` seconds."""
        now = time.time()
        self._reports.append((now, self._report()))
        while len(self._reports) > 1 and self._reports[1][0] <= now - self.report_delay:
            self._reports.popleft()
        return self._reports[0][1] if self.report_delay else self._reports[-1][1]

    def _report(self) -> str:
        share = self.hits / (self.hits + self.misses) if self.hits + self.misses else 0.0
        return f"report=inflight:{self.open};util:{min(1.0, self.open / 32):.2f};x1:0.10;x0:{share:.2f}"

    async def answer(self, fields: dict[str, str], fill: bool) -> tuple[str, float]:
        """Return the status word, and when the origin issued the copy."""
        came, purged = time.time(), self.purged.get(fields.get("thing", ""))
        status, born = await self._answer(fields)
        due = purged is not None and PURGE_SLACK < came - purged < PURGE_DURATION
        if due and status == "ok" and born < purged and not fill:
            self.stale_answers += 1
        return status, born

    async def _answer(self, fields: dict[str, str]) -> tuple[str, float]:
        key = fields.get("thing", ""), fields.get("nth", "0")
        now, rank = time.time(), int(fields.get("rank", "0"))
        source = fields.get("from", self.upstream if self.kind == "parent" else "")
        if self.kind == "library":
            return "ok", now
        born = self.copies.get(key, rank)
        oldest = float(fields.get("oldest", "0")) / 1e3
        if born is not None and (not oldest or now - born <= oldest):
            self.hits += 1
            return "ok", born
        self.misses += 1
        if not source or source == self.name or "only-if-cached" in fields.get("mode", "") and self.kind == "parent":
            return "nothing", 0.0
        running = self.running_fills.get(key)
        if running is None:
            running = self.running_fills[key] = asyncio.ensure_future(self._fill(source, fields))
            running.add_done_callback(lambda done: self.running_fills.pop(key, None))
        born = await asyncio.shield(running)
        if born is None:
            return "refused", 0.0
        self.copies.put(key, born, rank if self.kind == "box" else 1)
        return "ok", born

    async def _fill(self, source: str, fields: dict[str, str]) -> float | None:
        """Fetch from the source; return when the origin issued its copy, or None if the fill failed."""
        link = self.sources.get(source)
        if link is None or link.lost:
            address = self.address_of(source)
            if address is None:
                return None
            try:
                link = await SourceConnection.connect(address)
            except OSError:
                return None
            self.sources[source] = link
        asked = {name: fields[name] for name in ("profile", "thing", "nth", "oldest") if name in fields}
        if "only-if-cached" in fields.get("mode", ""):
            asked["mode"] = "only-if-cached"
        try:
            async with asyncio.timeout(FILL_TIMEOUT):
                return await link.ask(asked)
        except TimeoutError:
            return None


class LineProtocol(asyncio.Protocol):
    """Parser of the line protocol: a line of four words ends with the length of the body that follows it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n")) >= 0:
            words = self.buffer[:end].decode("latin-1").split(" ")
            size = int(words[-1]) + 2 if len(words) == 4 else 0
            if len(self.buffer) < end + 2 + size:
                return
            body = self.buffer[end + 2 : end + 2 + max(0, size - 2)]
            self.buffer = self.buffer[end + 2 + size :]
            self.line_received(words, body)

    def line_received(self, words: list[str], body: bytes) -> None:
        raise NotImplementedError


def parse_fields(text: str) -> dict[str, str]:
    return dict(item.split("=", 1) for item in text.split(",")) if text != "-" else {}


class ServerConnection(LineProtocol):
    """A connection that a proxy or another server opened to this server."""

    def __init__(self, server: Server) -> None:
        super().__init__()
        self.server = server
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.server.connections.add(self)
        self.server.accepted_connections += 1

    def connection_lost(self, error: Exception | None) -> None:
        self.server.connections.discard(self)
        for task in self.tasks.values():
            task.cancel()

    def line_received(self, words: list[str], body: bytes) -> None:
        if words[0] == "ping":
            self.transport.write(f"{words[1]} yes - 0\r\n\r\n".encode())
        elif words[0] == "undo":
            task = self.tasks.pop(words[1], None)
            if task is not None:
                task.cancel()
        elif words[0] == "do" and len(words) == 4:
            fields = parse_fields(words[2])
            self.server.arrivals.append(
                Arrival(
                    time.time(),
                    fields.get("profile", ""),
                    fields.get("thing", ""),
                    fields.get("nth", "0"),
                    fields.get("from", ""),
                    "fill" in fields,
                )
            )
            self.tasks[words[1]] = asyncio.ensure_future(self._serve(words[1], fields))
        else:
            self.transport.abort()

    async def _serve(self, id: str, fields: dict[str, str]) -> None:
        server = self.server
        if server.workers and server.open >= server.workers + server.queue_limit:
            server.refusals += 1
            self.transport.write(f"{id} refused {server.report()} 0\r\n\r\n".encode())
            self.tasks.pop(id, None)
            return
        server.open += 1
        second = int(time.time())
        server.peak_open[second] = max(server.peak_open.get(second, 0), server.open)
        try:
            if server.failure_share and server._random.random() < server.failure_share:
                status, born = "error", 0.0
            else:
                status, born = await server.answer(fields, "fill" in fields)
                if status == "ok":  # sending occupies a worker; a lookup that misses takes next to no time
                    async with server.worker_slot():
                        await asyncio.sleep(server.answer_time * server.slowdown / server.capacity(time.time()))
            body = body_of(fields.get("thing", ""), fields.get("nth", "0")) if status == "ok" else b""
            about = f"ver=v{int(born)},born={int(born * 1e3)}," if status == "ok" else ""
            self.transport.write(f"{id} {status} {about}{server.report()} {len(body)}\r\n".encode() + body + b"\r\n")
        finally:
            server.open -= 1
            self.tasks.pop(id, None)


class SourceConnection(LineProtocol):
    """A connection to a source of fills."""

    def __init__(self) -> None:
        super().__init__()
        self.lost = False
        self.waiting: dict[str, asyncio.Future[float | None]] = {}
        self.number = 0

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> SourceConnection:
        _, link = await asyncio.get_running_loop().create_connection(cls, *address)
        return link

    async def ask(self, fields: dict[str, str]) -> float | None:
        self.number += 1
        id = f"f{self.number}"
        future = self.waiting[id] = asyncio.get_running_loop().create_future()
        words = ",".join(f"{name}={value}" for name, value in {**fields, "fill": "1"}.items())
        self.transport.write(f"do {id} {words} 0\r\n\r\n".encode())
        try:
            return await future
        finally:
            self.waiting.pop(id, None)

    def line_received(self, words: list[str], body: bytes) -> None:
        future = self.waiting.get(words[0])
        if future is not None and not future.done():
            fields = parse_fields(words[2])
            future.set_result(int(fields["born"]) / 1e3 if words[1] == "ok" else None)

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)

    def close(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Fleet:
    """All stand-in servers of an installation, by name."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}

    def address_of(self, name: str) -> tuple[str, int] | None:
        server = self.servers.get(name)
        return server.address if server is not None else None

    async def add(
        self,
        name: str,
        kind: str,
        address: tuple[str, int],
        cold: float = 0.0,
        cold_from: float = 0.16,
        upstream: str = "",
    ) -> Server:
        server = Server(name, kind, address, self.address_of, cold, cold_from, upstream)
        await server.start()
        self.servers[name] = server
        return server

    def remove(self, name: str) -> None:
        self.servers.pop(name).stop()

    def close(self) -> None:
        for name in list(self.servers):
            self.remove(name)
