"""Stand-ins for the cases 6 to 10: cache servers, the journal service, clients, the platform and its operators.

Only the standard library is used, every address is a loopback address, and every port is free when it is taken. What
the stand-ins do is what the operators' pages allow; where a page is silent they behave as sound parties would.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "127.0.0.1"
BROKEN, HELD, NOT_RUN = 1, 0, 2
KINDS = ["standard", "parent", "origin"]


def now_ms() -> float:
    """The system's Unix clock in milliseconds: all times of the pages are on it."""
    return time.time() * 1e3


def settings(**changes: dict[str, Any]) -> dict[str, Any]:
    """The settings of a small deployment, with the figures of the operators' example; `changes` go into its tables."""
    base: dict[str, Any] = {
        "n-instances": 1,
        "extra": {
            "bypass-allowed": True,
            "class-write": [False, False, True],
            "client-kb-per-s": 4000.0,
            "crew-by-zone": [0, 0, 1],
            "fresh-for": [0, 0, 0],
            "stale-for": [0, 0, 0],
            "hub-of": [0, 1, 0],
            "in-parts": [True, False, False],
            "master-kind": 2,
            "notes-given": "none",
            "parent-fall-multiple": 2.0,
            "parent-ramp": 20_000_000,
            "purge-slack": 500_000,
            "purge-takes": 6_000_000,
            "shares-fills": True,
            "sideways": "location",
            "upper-cold-from": 0.063,
            "upper-kind": 1,
            "zone-link-kb-per-s": [0.0, 0.0, 33_648.0],
        },
        "limits": {
            "cancel": True,
            "conn-idle": 30_000_000,
            "connect-timeout": 400_000,
            "max-attempts": 8,
            "max-retry-after": 500_000,
            "max-streams": 32,
            "open-cap": 23_857,
            "retry-after": True,
            "second-copies": True,
        },
        "machine-types": KINDS,
        "membership-mode": "pushed",
        "obligations": {
            "drain-grace": 250_000,
            "fall": 3_000_000,
            "fall-multiple": 2.5,
            "grace-to-answer": 8_000,
            "ramp-time": 16_000_000,
            "start-capacity": 0.16,
        },
        "profiles": [
            {
                "name": "clip-parts",
                "repeat": "read_like",
                "objective": 600_000,
                "aim-stretch": 1.6,
                "deadline": 5_000_000,
                "value": 2.0,
                "late-worth": 0.15,
            },
            {
                "name": "art-pages",
                "repeat": "read_like",
                "objective": 300_000,
                "aim-stretch": 2.0,
                "deadline": 3_000_000,
                "value": 1.0,
                "late-worth": 0.2,
            },
            {
                "name": "license-buy",
                "repeat": "idempotency_key",
                "dedup-scope": "all",
                "repeat-window": 2_000_000,
                "objective": 700_000,
                "deadline": 3_000_000,
                "value": 3.0,
            },
        ],
        "callers": {"marks-retry": True},
        "report": {"columns": ["rif", "busy", "x1", "x0"], "via": "answers"},
        "stages": ["preview-caches"],
        "tenants": [],
        "tick": 2_000,
        "zone": "edge-1",
        "zones": ["sierra", "costa", "edge-1"],
    }
    for table, values in changes.items():
        base[table] = {**base[table], **values} if isinstance(values, dict) else values
    return base


class Record:
    """What was sent, answered and run: lines of `record.txt` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.lines: list[str] = []
        self.path = folder / "record.txt"
        self.began = now_ms()

    def add(self, who: str, what: str) -> None:
        self.lines.append(f"{now_ms() - self.began:10.1f} ms  {who:<12} {what}")

    def say(self, text: str) -> None:
        self.add("case", text)
        print(text, flush=True)

    def write(self) -> None:
        self.path.write_text("\n".join(self.lines) + "\n")


class Server:
    """A TCP server on a free loopback port."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port or self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.talk(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop_listening(self) -> None:
        """New connections are refused; those that are open stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def reset(self) -> None:
        """Reset all connections, as the end of a process does."""
        for writer in list(self.writers):
            writer.transport.abort()


class Asked:
    """A request that came whole to a server."""

    def __init__(self, at: float, id: str, fields: dict[str, str], body: bytes) -> None:
        self.at, self.id, self.fields, self.body = at, id, fields, body
        self.given_up_at = 0.0
        self.answered_at = 0.0


class CacheServer(Server):
    """A cache server, a parent or the origin.

    A sound one answers `ok` after `delay` seconds with a copy that is younger than `oldest` asks for. A case replaces
    `behave` for what the pages say of peers in trouble.
    """

    def __init__(self, record: Record, name: str, kind: str, zone: str, size: int = 2_000, delay: float = 0.02) -> None:
        super().__init__()
        self.record, self.name, self.kind, self.zone, self.size, self.delay = record, name, kind, zone, size, delay
        self.up_since = 0
        self.asked: list[Asked] = []
        self.running = 0
        self.born: dict[tuple[str, str], float] = {}
        self.origin: CacheServer | None = None
        self.behave: Callable[[Asked, asyncio.StreamWriter], Awaitable[bool]] | None = None

    def member(self, phase: str = "SERVING") -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": 1,
            "phase": phase,
            "size": 1,
            "up_since_ms": self.up_since,
        }

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_here: dict[str, asyncio.Task[None]] = {}
        entries: dict[str, Asked] = {}
        try:
            while line := await reader.readline():
                came = now_ms()
                words = line.decode().split()
                if words[0] == "undo":
                    if words[1] in entries:
                        entries[words[1]].given_up_at = came
                        self.record.add(self.name, f"undo {words[1]}")
                    task = open_here.pop(words[1], None)
                    if task is not None:
                        task.cancel()
                    continue
                if words[0] == "ping":
                    writer.write(f"{words[1]} yes - 0\r\n\r\n".encode())
                    continue
                body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                fields = dict(item.split("=", 1) for item in words[2].split(",")) if words[2] != "-" else {}
                asked = Asked(came, words[1], fields, body)
                entries[words[1]] = asked
                self.asked.append(asked)
                self.record.add(self.name, f"do {words[1]} {words[2]}")
                open_here[words[1]] = asyncio.create_task(self._run(asked, writer))
        finally:
            for task in open_here.values():
                task.cancel()

    async def _run(self, asked: Asked, writer: asyncio.StreamWriter) -> None:
        self.running += 1
        try:
            if self.behave is not None and await self.behave(asked, writer):
                return
            await asyncio.sleep(self.delay)
            self.answer(asked, writer)
        except ConnectionError:
            pass
        finally:
            self.running -= 1

    def copy_born(self, asked: Asked) -> int:
        """The Unix millisecond of the copy that is served: a kept one if it is young enough, else a new one."""
        key = asked.fields.get("thing", ""), asked.fields.get("nth", "0")
        oldest = float(asked.fields.get("oldest", "0"))
        born = self.born.get(key)
        if born is None or oldest and now_ms() - born > oldest:
            born = self.born[key] = now_ms()
        return int(born)

    def body_of(self, asked: Asked) -> bytes:
        text = f"{asked.fields.get('thing')}/{asked.fields.get('nth')}/".encode()
        return (text * (self.size // len(text) + 1))[: self.size]

    def report(self) -> str:
        return f"report=inflight:{self.running};util:0.2;x1:0.2;x0:0.7"

    def answer(self, asked: Asked, writer: asyncio.StreamWriter, word: str = "ok") -> None:
        asked.answered_at = now_ms()
        self.record.add(self.name, f"{asked.id} {word}")
        if word != "ok":
            writer.write(f"{asked.id} {word} {self.report()} 0\r\n\r\n".encode())
            return
        body = self.body_of(asked)
        fields = f"ver=v1,born={self.copy_born(asked)},{self.report()}"
        writer.write(f"{asked.id} ok {fields} {len(body)}\r\n".encode() + body + b"\r\n")


class JournalService(Server):
    """The journal service: numbered events, and every second a line that holds only the last number."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.times: dict[int, float] = {}
        self.silent = False  # connections stay open and nothing more is told on them

    def add(self, event: dict[str, Any]) -> dict[str, Any]:
        self.events.append({"pos": len(self.events) + 1, **event})
        self.times[len(self.events)] = now_ms()
        self.record.add("journal", json.dumps(self.events[-1])[:300])
        return self.events[-1]

    def hosts(self, *members: dict[str, Any], complete: bool = False) -> dict[str, Any]:
        return self.add({"hosts": {"revision": len(self.events) + 1, "complete": complete, "members": list(members)}})

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = await reader.readline()
        if not line:
            return
        last = int(line.split()[1])
        self.record.add("journal", f"tail {last}")
        gone = asyncio.create_task(self._until_gone(reader))
        beat = 0.0
        while not gone.done():
            if not self.silent:
                for event in self.events[last:]:
                    writer.write(json.dumps(event).encode() + b"\n")
                last = len(self.events)
                if time.monotonic() >= beat:
                    beat = time.monotonic() + 1
                    writer.write(b'{"pos":%d}\n' % last)
                await writer.drain()
            await asyncio.sleep(0.005)

    @staticmethod
    async def _until_gone(reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            await reader.read()


class Answered:
    """One request of a client."""

    def __init__(self, rid: str, cls: str, sent: float, budget: int, fields: str) -> None:
        self.rid, self.cls, self.sent, self.budget, self.fields = rid, cls, sent, budget, fields
        self.word = ""
        self.at = 0.0
        self.info: dict[str, str] = {}
        self.body = b""
        self.ended = ""  # how the connection ended, if that came before the whole answer
        self.second = False  # a second answer came
        self.done = asyncio.Event()


class Client:
    """A client's connection. `pace`: bytes a second that it reads at most; 0: as fast as they come."""

    def __init__(self, record: Record, name: str, port: int, pace: int = 0) -> None:
        self.record, self.name, self.port, self.pace = record, name, port, pace
        self.tags = itertools.count(1)
        self.open: dict[int, Answered] = {}
        self.all: list[Answered] = []
        self.closed_by = ""
        self.closed_at = 0.0
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, local: socket.socket | None = None) -> Client:
        limit = 1 << 16 if self.pace else 1 << 20
        self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=limit)
        if self.pace:
            self.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        self.task = asyncio.create_task(self._read())
        return self

    def _send(self, *words: bytes) -> None:
        raw = b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)
        self.writer.write(raw)

    def ask(self, cls: str, obj: str, budget: int = 3_000, part: int = 0, body: bytes = b"", **more: Any) -> Answered:
        rid = os.urandom(8).hex()
        fields = {"rid": rid, "budget": budget, "obj": obj, "n": part, "shard": int(obj[:2], 16), **more}
        text = ",".join(f"{name}={value}" for name, value in fields.items())
        tag = next(self.tags)
        asked = Answered(rid, cls, now_ms(), budget, text)
        self.all.append(asked)
        self.open[tag] = asked
        self.record.add(self.name, f"ASK {tag} {cls} {text}")
        self._send(b"ASK", b"%d" % tag, cls.encode(), text.encode(), body)
        return asked

    async def get(self, cls: str, obj: str, budget: int = 3_000, **more: Any) -> Answered:
        """Ask, and wait a little longer than the answer may take."""
        asked = self.ask(cls, obj, budget, **more)
        try:
            async with asyncio.timeout(budget / 1e3 + 1):
                await asked.done.wait()
        except TimeoutError:
            self.record.add(self.name, f"{asked.rid} has no answer")
        return asked

    async def status(self) -> str:
        tag = next(self.tags)
        asked = Answered("", "STATUS", now_ms(), 1_000, "")
        self.open[tag] = asked
        self._send(b"STATUS", b"%d" % tag, b"")
        async with asyncio.timeout(2):
            await asked.done.wait()
        return asked.word

    async def _read(self) -> None:
        try:
            while (line := await self.reader.readuntil(b"\n")).startswith(b"*"):
                words = []
                for _ in range(int(line[1:])):
                    size = int((await self.reader.readuntil(b"\n"))[1:])
                    words.append((await self._take(size + 2))[:-2])
                tag = int(words[0])
                asked = self.open.get(tag)
                word = words[1].decode()
                self.record.add(self.name, f"answer {tag} {word} {words[2].decode() if len(words) > 2 else ''}")
                if asked is None:
                    continue
                if asked.word:
                    asked.second = True
                    continue
                asked.at, asked.word = now_ms(), word
                asked.info = dict(p.split("=", 1) for p in words[2].decode().split(",") if p) if len(words) > 2 else {}
                asked.body = words[3] if len(words) > 3 else b""
                asked.done.set()
            self.closed_by = f"unreadable {line[:80]!r}"
        except asyncio.IncompleteReadError:
            self.closed_by = "end of stream"
        except (ConnectionError, OSError) as error:
            self.closed_by = type(error).__name__
        self.closed_at = now_ms()
        for asked in self.open.values():
            if not asked.word:
                asked.ended = self.closed_by
                asked.done.set()
        self.record.add(self.name, f"connection ended by the proxy: {self.closed_by}")

    async def _take(self, size: int) -> bytes:
        if not self.pace:
            return await self.reader.readexactly(size)
        raw = b""
        while len(raw) < size:
            some = await self.reader.read(min(size - len(raw), 16 << 10))
            if not some:
                raise asyncio.IncompleteReadError(raw, size)
            raw += some
            await asyncio.sleep(len(some) / self.pace)
        return raw

    async def close(self) -> None:
        self.task.cancel()
        if self.writer is not None:
            self.writer.close()


class Proxy:
    """One process started by the `run` line of the deploy file."""

    def __init__(self, platform: Platform, label: str) -> None:
        self.platform, self.label = platform, label
        self.process: asyncio.subprocess.Process | None = None
        self.log: list[str] = []
        self.management = 0

    async def start(self, **environment: str) -> Proxy:
        platform = self.platform
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self.management = free_port()
        env = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "THREADHILL_"))}
        env |= {
            "LB_NAME": platform.name,
            "LB_LISTEN": f"{HOST}:{platform.port}",
            "LB_CONFIG": str(platform.config_path),
            "LB_MANAGEMENT": f"{HOST}:{self.management}",
            "TMPDIR": str(platform.tmp),
            **environment,
        }
        words: list[str] = ["/bin/sh", "-c", run]
        given: tuple[int, ...] = ()
        if platform.listener is not None:  # the platform holds the clients' socket: descriptor 7
            given = (platform.listener.fileno(),)
            env["LB_LISTEN_FD"] = "7"
            move = "import os, sys; os.dup2(int(sys.argv[1]), 7); os.execv(sys.argv[2], sys.argv[2:])"
            words = [sys.executable, "-c", move, str(given[0]), *words]
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, pass_fds=given, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
        )
        platform.processes.append(self)
        self.reading = asyncio.create_task(self._read_log())
        platform.record.add("platform", f"{self.label}: process started")
        return self

    async def _read_log(self) -> None:
        while line := await self.process.stdout.readline():
            self.log.append(line.decode(errors="replace").rstrip())
            self.platform.record.add(self.label, self.log[-1][:400])

    def signal(self, number: signal.Signals) -> None:
        self.platform.record.add("platform", f"{self.label}: {number.name}")
        self.process.send_signal(number)

    async def call(self, method: str, path: str, body: dict[str, Any] | None = None) -> tuple[int, str]:
        """An operator's call: HTTP/1.1, one call a connection."""
        raw = json.dumps(body).encode() if body is not None else b""
        async with asyncio.timeout(5):
            reader, writer = await asyncio.open_connection(HOST, self.management)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(raw)}\r\n\r\n".encode() + raw)
            answer = await reader.read()
            writer.close()
        head, _, rest = answer.partition(b"\r\n\r\n")
        code = int(head.split(b" ")[1])
        self.platform.record.add("operator", f"{self.label}: {method} {path} {raw.decode()} -> {code}")
        return code, rest.decode()

    async def healthy(self, seconds: float = 20) -> None:
        """Wait for the yes of this process."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise RuntimeError(f"{self.label} ended with {self.process.returncode}: {self.log[-5:]}")
            try:
                if (await self.call("GET", "/admin/health"))[0] // 100 == 2:
                    return
            except (OSError, TimeoutError, IndexError, ValueError):
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.label} is not healthy: {self.log[-5:]}")

    async def stats(self) -> dict[str, int]:
        _, text = await self.call("GET", "/admin/stats")
        return {name: int(value) for name, _, value in (line.partition("=") for line in text.split())}

    def rss_mb(self) -> float:
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Platform:
    """A small deployment: one steering proxy's name, its servers and its journal service."""

    def __init__(self, record: Record, caches: int = 3, parents: int = 2, inherit: bool = False, **parts: Any) -> None:
        self.record, self.name = record, "n1"
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.tmp = self.folder / "tmp"
        self.tmp.mkdir()
        self.config_path = self.folder / "config.json"
        self.settings = settings(**parts.pop("changes", {}))
        self.limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1_024} | parts.pop("limits", {})
        self.caches = [CacheServer(record, f"s-{i:08x}", "standard", "edge-1") for i in range(0xA1, 0xA1 + caches)]
        self.parents = [
            CacheServer(record, f"s-{i:08x}", "parent", ("sierra", "costa")[n % 2])
            for n, i in enumerate(range(0xB1, 0xB1 + parents))
        ]
        self.origin = CacheServer(record, "s-000000c1", "origin", "sierra")
        self.journal = JournalService(record)
        self.processes: list[Proxy] = []
        self.listener: socket.socket | None = None
        if inherit:
            self.listener = socket.create_server((HOST, 0), backlog=512)
            self.port = self.listener.getsockname()[1]
        else:
            self.port = free_port()

    @property
    def servers(self) -> list[CacheServer]:
        return [*self.caches, *self.parents, self.origin]

    async def start_servers(self) -> None:
        for server in [*self.servers, self.journal]:
            await server.start()
        self.journal.hosts(*(server.member() for server in self.servers), complete=True)
        self.configure()

    def configure(self, **more: Any) -> None:
        config = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": os.urandom(8).hex(),
            "limits": self.limits,
            "journal": f"{HOST}:{self.journal.port}",
            "flow_bytes_per_s": 310_000,
            "link_bytes_per_s": 1_240_000,
            "known": {"pos": len(self.journal.events), "entries": self.journal.events},
            "settings": self.settings,
        } | more
        beside = self.config_path.with_suffix(".new")
        beside.write_text(json.dumps(config))
        os.replace(beside, self.config_path)

    async def client(self, name: str, pace: int = 0) -> Client:
        return await Client(self.record, name, self.port, pace).connect()

    async def close(self) -> None:
        for proxy in self.processes:
            if proxy.process is not None and proxy.process.returncode is None:
                proxy.process.kill()
        for proxy in self.processes:
            if proxy.process is not None:
                await proxy.process.wait()
        for server in [*self.servers, self.journal]:
            server.stop_listening()
            server.reset()
        if self.listener is not None:
            self.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def load(
    platform: Platform, stop: asyncio.Event, per_s: float, seed: int, connections: int = 4, objects: int = 40
) -> list[Answered]:
    """Usual clients: art pages at this rate until `stop`, on a few connections that are opened anew when they end."""
    draw = random.Random(seed)
    names = [f"{draw.getrandbits(64):016x}" for _ in range(objects)]
    clients: list[Client] = []
    answers: list[Answered] = []
    tasks: set[asyncio.Task[Any]] = set()
    while not stop.is_set():
        clients = [client for client in clients if not client.closed_by]
        while len(clients) < connections:
            clients.append(await platform.client(f"client-{len(answers)}"))
        client = draw.choice(clients)

        async def one(client: Client = client) -> None:
            answers.append(await client.get("art-pages", draw.choice(names)))

        task = asyncio.create_task(one())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(draw.expovariate(per_s))
    await asyncio.gather(*tasks)
    for client in clients:
        await client.close()
    return answers


def main(folder: Path, case: Callable[[Record], Awaitable[bool]], seconds: float = 110) -> None:
    """Run a case, write its record, and exit: 1 where the rule was broken, 0 where it held, 2 where it couldn't run."""
    record = Record(folder)
    code = NOT_RUN
    try:

        async def bounded() -> bool:
            async with asyncio.timeout(seconds):
                return await case(record)

        broken = asyncio.run(bounded())
        code = BROKEN if broken else HELD
    except Exception as error:
        record.say(f"the case could not run: {error!r}")
    record.say({BROKEN: "the rule was broken", HELD: "the rule held", NOT_RUN: "not run"}[code])
    record.write()
    sys.exit(code)
