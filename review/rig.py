"""Stand-ins and helpers shared by the cases: the proxy as the platform starts it, clients, servers and the journal.

Standard library only. Every address is a loopback address. `Case.run` plays a scenario, writes `record.txt` and ends
every process that it started. Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
"""

from __future__ import annotations

import asyncio
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
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
US = 1_000_000
ETHERNET = 1_460  # largest segment of a peer on another machine; loopback's 64 KB lets the kernel hold 3.9 MB


class CannotRun(Exception):
    """The case could not be played, so nothing is said about the rule."""


def unix_ms() -> int:
    return time.time_ns() // 1_000_000  # noqa: TID251  stands in for other machines


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def until(condition: Callable[[], Any], seconds: float, what: str) -> Any:
    """Wait until the condition holds; CannotRun if it does not in time."""
    end = time.monotonic() + seconds
    while not (value := condition()):
        if time.monotonic() > end:
            raise CannotRun(f"waited {seconds} s in vain for {what}")
        await asyncio.sleep(0.01)
    return value


class Case:
    """One play: what happened in order, the broken rules, and the processes to end."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.breaches: list[str] = []
        self.proxies: list[Proxy] = []
        self.clients: list[Client] = []
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))

    def note(self, text: str) -> None:
        self.lines.append(f"{time.monotonic() - self.began:9.4f} {text}")

    def broken(self, text: str) -> None:
        self.breaches.append(text)
        self.note(f"BROKEN {text}")

    def run(self, scenario: Callable[[Case], Awaitable[None]], seconds: float = 110.0) -> int:
        code = 2
        signal.signal(signal.SIGTERM, self._ended_from_outside)
        try:
            asyncio.run(self._play(scenario, seconds))
            code = 1 if self.breaches else 0
        except (CannotRun, TimeoutError, OSError) as error:
            self.note(f"COULD NOT RUN {error!r}")
        except Exception:
            self.note("COULD NOT RUN\n" + traceback.format_exc())
        finally:
            for proxy in self.proxies:
                proxy.kill()
            self.note({0: "HELD", 1: "THE RULE WAS BROKEN", 2: "NOT PLAYED"}[code])
            (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")
            shutil.rmtree(self.temporary, ignore_errors=True)
        print(f"{self.folder.name}: TROUBLE={int(TROUBLE)}: {self.lines[-1].split(maxsplit=1)[1]}")
        for breach in self.breaches[:5]:
            print("  " + breach)
        return code

    def _ended_from_outside(self, *_: object) -> None:
        """SIGTERM: leave no process behind."""
        for proxy in self.proxies:
            proxy.kill()
        shutil.rmtree(self.temporary, ignore_errors=True)
        os._exit(2)

    async def _play(self, scenario: Callable[[Case], Awaitable[None]], seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await scenario(self)
        finally:
            for client in self.clients:
                client.close()
            for proxy in self.proxies:
                proxy.kill()
                if proxy.process is not None:
                    await proxy.process.wait()


# --- the proxy

# Moves the platform's listening socket to descriptor 7 and executes the command after it.
INHERIT = "import os, sys; os.dup2(int(sys.argv[1]), 7); os.execv(sys.argv[2], sys.argv[2:])"


class Proxy:
    """One process, started by the `run` line of the deploy file."""

    def __init__(
        self, case: Case, name: str, config: dict[str, Any], folder: Path, listener: socket.socket | None = None
    ):
        self.case, self.name, self.config, self.folder, self.listener = case, name, config, folder, listener
        self.process: asyncio.subprocess.Process | None = None
        self.descriptors = 0  # the platform's limit, if it is to be set for the process
        self.management = ""
        case.proxies.append(self)

    async def start(self) -> None:
        line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        private = self.folder / "tmp"
        private.mkdir(exist_ok=True)
        self.log = open(self.folder / f"{self.name}.log", "ab")  # noqa: SIM115  the process writes to it
        environment = os.environ | {
            "LB_NAME": self.config["name"],
            "LB_LISTEN": self.config["listen"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(private),
        }
        if "management" in self.config:
            self.management = environment["LB_MANAGEMENT"] = self.config["management"]
        if self.listener is not None:
            environment["LB_LISTEN_FD"] = "7"
        if self.descriptors:
            line = f"ulimit -n {self.descriptors} && {line}"
        command, given = ["/bin/sh", "-c", line], ()
        if self.listener is not None:
            given = (self.listener.fileno(),)
            command = [sys.executable, "-c", INHERIT, str(given[0]), *command]
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log, pass_fds=given
        )
        self.case.note(f"proxy {self.name} started, process {self.process.pid}")

    def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            try:
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass

    def logged(self) -> str:
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    def memory_mb(self) -> float:
        """The memory that the process alone holds now: its anonymous pages, without libraries and files."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def ready(self, seconds: float = 30.0) -> None:
        """Wait until it answers `STATUS` with `serving`."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and self.alive():
            try:
                client = await Client.connect(self.case, self.config["listen"], "front")
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                word = await asyncio.wait_for(client.status(), 1.0)
            except (TimeoutError, ConnectionError):
                word = ""
            client.close()
            if word == "serving":
                self.case.note(f"proxy {self.name} serves")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"proxy {self.name} does not serve: {self.logged()[-600:]}")

    async def call(self, method: str, path: str, body: dict[str, Any] | None = None) -> int:
        """Call the operators' address; returns the status."""
        host, port = self.management.rsplit(":", 1)
        raw = json.dumps(body).encode() if body is not None else b""
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(raw)}\r\n\r\n".encode() + raw)
        answer = await reader.read()
        writer.close()
        status = int(answer.split(b" ")[1]) if answer else 0
        self.case.note(f"operator at {self.name}: {method} {path} {raw.decode()} -> {status}")
        return status


# --- clients


def words_of(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Client:
    """One connection of a client. It reads at most `pace` bytes a second, if that is given."""

    def __init__(self, case: Case, name: str, pace: int = 0) -> None:
        self.case, self.name, self.pace = case, name, pace
        self.tags = itertools.count(1)
        self.open: dict[int, str] = {}  # tag -> request id
        self.answers: dict[str, tuple[str, dict[str, str], bytes]] = {}  # request id -> answer
        self.twice: list[str] = []
        self.ended = ""
        self.begun = ""  # request id of the answer that has begun to come and is not whole
        self.statuses: dict[int, asyncio.Future[str]] = {}
        self.changed = asyncio.Event()

    @classmethod
    async def connect(cls, case: Case, address: str, name: str, pace: int = 0, buffer: int = 0) -> Client:
        client = cls(case, name, pace)
        host, port = address.rsplit(":", 1)
        plain = socket.socket()
        plain.setblocking(False)
        if buffer:
            plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
            plain.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, ETHERNET)
        try:
            await asyncio.get_running_loop().sock_connect(plain, (host, int(port)))
        except OSError:
            plain.close()
            raise
        client.reader, client.writer = await asyncio.open_connection(sock=plain, limit=1 << 16)
        client.task = asyncio.ensure_future(client._read())
        case.clients.append(client)
        return client

    def ask(self, cls: str, rid: str, budget: int, obj: str, body: bytes = b"", **fields: Any) -> None:
        tag = next(self.tags)
        self.open[tag] = rid
        words = {"rid": rid, "budget": budget, "obj": obj} | fields
        text = ",".join(f"{name}={value}" for name, value in words.items())
        self.case.note(f"client {self.name} sends ASK {tag} {cls} {text} body={len(body)}")
        self.writer.write(words_of(b"ASK", b"%d" % tag, cls.encode(), text.encode(), body))

    async def status(self) -> str:
        tag = next(self.tags)
        future = self.statuses[tag] = asyncio.get_running_loop().create_future()
        self.writer.write(words_of(b"STATUS", b"%d" % tag, b""))
        return await future

    async def answer(self, rid: str, seconds: float) -> tuple[str, dict[str, str], bytes] | None:
        """The answer; None if the connection ended without one, or none came in time."""
        end = time.monotonic() + seconds
        while rid not in self.answers and not self.ended and time.monotonic() < end:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except TimeoutError:
                break
        return self.answers.get(rid)

    async def _exactly(self, count: int) -> bytes:
        """Read so many bytes, at the client's pace."""
        if not self.pace:
            return await self.reader.readexactly(count)
        parts = []
        while count:
            part = await self.reader.read(min(count, 16 << 10))
            if not part:
                raise asyncio.IncompleteReadError(b"", count)
            parts.append(part)
            count -= len(part)
            self.read_at = max(getattr(self, "read_at", 0.0), time.monotonic()) + len(part) / self.pace
            await asyncio.sleep(max(0.0, self.read_at - time.monotonic()))
        return b"".join(parts)

    async def _read(self) -> None:
        try:
            while line := await self.reader.readline():
                if not line.startswith(b"*"):
                    self.ended = f"the proxy wrote {line!r}"
                    break
                words = []
                for _ in range(int(line[1:])):
                    size = int((await self.reader.readline())[1:])
                    words.append((await self._exactly(size + 2))[:-2])
                    self.begun = self.open.get(int(words[0]), "")
                self.begun = ""
                self._take(words)
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            self.ended = repr(error)
        except asyncio.CancelledError:
            self.ended = "closed by the client"
        self.ended = self.ended or "closed by the proxy"
        for future in self.statuses.values():
            if not future.done():
                future.set_exception(ConnectionError(self.ended))
                future.exception()
        if self.ended != "closed by the client":
            self.case.note(f"client {self.name}: connection ended: {self.ended}; open: {len(self.open)}")
        self.changed.set()

    def _take(self, words: list[bytes]) -> None:
        tag, word = int(words[0]), words[1].decode()
        if tag in self.statuses:
            if not self.statuses[tag].done():
                self.statuses[tag].set_result(word)
            return
        rid = self.open.pop(tag, "")
        if not rid:
            self.twice.append(str(tag))
            return
        fields = dict(item.split("=", 1) for item in words[2].decode().split(",") if item)
        body = words[3] if len(words) > 3 else b""
        self.answers[rid] = word, fields, body
        self.case.note(f"client {self.name} gets {tag} {word} {words[2].decode()} body={len(body)} rid={rid}")
        self.changed.set()

    def close(self) -> None:
        self.task.cancel()
        self.writer.close()


# --- cache servers, parents, the origin


class Server:
    """A server that answers every request from a copy that the origin gave out now. It knows `do`, `undo`, `ping`."""

    def __init__(self, case: Case, name: str, kind: str, zone: str, size: int = 2_000, seconds: float = 0.01) -> None:
        self.case, self.name, self.kind, self.zone, self.size, self.seconds = case, name, kind, zone, size, seconds
        self.arrivals: list[tuple[float, str, dict[str, str]]] = []  # time, request id, fields: came whole
        self.undone: list[str] = []
        self.links: set[ServerLink] = set()
        self.quiet = False  # no line in the record for each request
        self.port = 0

    async def start(self, plain: socket.socket | None = None) -> None:
        loop = asyncio.get_running_loop()
        if plain is None:
            self.server = await loop.create_server(lambda: ServerLink(self), "127.0.0.1", 0)
        else:
            self.server = await loop.create_server(lambda: ServerLink(self), sock=plain)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self, phase: str = "SERVING", up_since_ms: int = 0) -> dict[str, Any]:
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": 1,
            "phase": phase,
            "size": 4,
            "up_since_ms": up_since_ms,
        }

    def came(self, link: ServerLink, rid: str, fields: dict[str, str], body: bytes) -> None:
        """A request has come whole."""
        self.arrivals.append((time.monotonic(), rid, fields))
        if not self.quiet:
            self.case.note(
                f"server {self.name} gets do {rid} {fields.get('profile')} {fields.get('thing')} "
                f"from={fields.get('from', '')} body={len(body)}"
            )
        asyncio.get_running_loop().call_later(self.seconds, self.reply, link, rid, fields)

    def reply(self, link: ServerLink, rid: str, fields: dict[str, str]) -> None:
        if rid in link.given_up or link.transport.is_closing():
            return
        body = (f"{fields.get('thing')}/{fields.get('nth')};".encode() * (self.size // 20 + 1))[: self.size]
        about = f"ver=v1,born={unix_ms()},report={self.report()}"
        link.transport.write(f"{rid} ok {about} {len(body)}\r\n".encode() + body + b"\r\n")

    def report(self) -> str:
        return "inflight:1;util:0.20;x1:0.10;x0:0.80"


class ServerLink(asyncio.Protocol):
    """A connection to a server."""

    def __init__(self, server: Server) -> None:
        self.server, self.buffer = server, b""
        self.given_up: set[str] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.server.links.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.server.links.discard(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (end := self.buffer.find(b"\r\n")) >= 0:
            words = self.buffer[:end].decode("latin-1").split(" ")
            size = int(words[3]) if words[0] == "do" else -2
            if len(self.buffer) < end + 4 + size:
                return
            body = self.buffer[end + 2 : end + 2 + max(0, size)]
            self.buffer = self.buffer[end + 4 + size :]
            if words[0] == "do":
                self.server.came(self, words[1], dict(f.split("=", 1) for f in words[2].split(",") if "=" in f), body)
            elif words[0] == "undo":
                self.given_up.add(words[1])
                self.server.undone.append(words[1])
                if not self.server.quiet:
                    self.server.case.note(f"server {self.server.name} gets undo {words[1]}")
            elif words[0] == "ping":
                self.transport.write(f"{words[1]} yes - 0\r\n\r\n".encode())


# --- the journal service


class Journal:
    """The journal service of one proxy process. `pace`: events a second that a connection gets; `wait`: seconds until a
    new connection is served. Events are sent in order; a heartbeat with the last number goes out every second."""

    def __init__(self, case: Case, name: str = "journal") -> None:
        self.case, self.name = case, name
        self.events: list[dict[str, Any]] = []
        self.pace, self.wait = 0.0, 0.0
        self.sent: dict[int, float] = {}  # number -> when it was first written whole
        self.tails: list[tuple[float, int]] = []
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def add(self, content: dict[str, Any]) -> int:
        self.events.append({"pos": len(self.events) + 1} | content)
        return len(self.events)

    def hosts(self, *members: dict[str, Any], complete: bool = False) -> int:
        return self.add({"hosts": {"revision": len(self.events) + 1, "complete": complete, "members": list(members)}})

    def known(self) -> dict[str, Any]:
        return {"pos": len(self.events), "entries": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            last = int((await reader.readline()).split()[1])
            self.tails.append((time.monotonic(), last))
            self.case.note(f"{self.name}: a connection says tail {last}")
            gone = asyncio.ensure_future(reader.read())
            if self.wait:
                await asyncio.sleep(self.wait)
            beat = time.monotonic()
            while not gone.done():
                if last < len(self.events):
                    writer.write(json.dumps(self.events[last]).encode() + b"\n")
                    await writer.drain()
                    last += 1
                    self.sent.setdefault(last, time.monotonic())
                    if self.pace:
                        await asyncio.sleep(1 / self.pace)
                else:
                    await asyncio.sleep(0.01)
                if time.monotonic() >= beat + 1.0:
                    beat = time.monotonic()
                    writer.write(b"%d\n" % len(self.events))
                    await writer.drain()
            self.case.note(f"{self.name}: the proxy ended the connection, which had events up to {last}")
        except (ConnectionError, asyncio.CancelledError, IndexError, ValueError):
            pass
        finally:
            writer.close()


# --- settings


def settings(**more: Any) -> dict[str, Any]:
    """Settings of a small deployment: the figures of preview-edge on the wire page."""
    profiles = [
        {
            "name": "clip-parts", "repeat": "read_like", "dedup-scope": "all", "repeat-window": 5 * US,
            "objective": 600_000, "aim-stretch": 1.6, "deadline": 5 * US, "value": 2.0, "late-worth": 0.15,
            "streamed": False,
        },
        {
            "name": "art-pages", "repeat": "read_like", "dedup-scope": "all", "repeat-window": 5 * US,
            "objective": 300_000, "aim-stretch": 2.0, "deadline": 3 * US, "value": 1.0, "late-worth": 0.2,
            "streamed": False,
        },
        {
            "name": "license-buy", "repeat": "idempotency_key", "dedup-scope": "all", "repeat-window": 2 * US,
            "objective": 700_000, "deadline": 3 * US, "value": 3.0, "late-worth": 0.0, "streamed": False,
        },
    ]  # fmt: skip
    base = {
        "blend": {"whole": 0.7, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.1},
        "callers": {"marks-retry": True},
        "costs": {"cross-zone": 0.01, "handshake": 0.0, "late-fail": 0.05, "origin": 0.1, "waste": 0.08},
        "domain-type": "edge",
        "extra": {
            "bypass-allowed": True, "class-write": [False, False, True], "client-kb-per-s": 3800.0,
            "crew-by-zone": [0, 0, 1, 0], "fresh-for": [0, 0, 0], "hub-of": [0, 1, 1, 0],
            "in-parts": [True, False, False], "link-price": 0.04, "master-kind": 2, "notes-given": "none",
            "old-copy-worth": [0.7, 0.7, 0.7], "origin-stops-at": 2.5, "parent-fall-multiple": 2.0,
            "parent-ramp": 20 * US, "purge-slack": 500_000, "purge-takes": 6 * US, "root-fall": 3 * US,
            "shares-fills": True, "sideways": "location", "stale-for": [0, 0, 0], "upper-cold-from": 0.063,
            "upper-kind": 1, "zone-link-kb-per-s": [0.0, 0.0, 33_648.0, 36_454.0],
        },
        "limits": {
            "cancel": True, "conn-idle": 30 * US, "connect-timeout": 400_000, "max-attempts": 8,
            "max-retry-after": 500_000, "max-streams": 32, "open-cap": 23_857, "peer-messages": False,
            "probes": False, "retry-after": True, "second-copies": True,
        },
        "machine-types": ["standard", "parent", "origin"],
        "membership-mode": "pushed",
        "n-instances": 1,
        "obligations": {
            "ask-within": 10 * US, "drain-grace": 250_000, "fall": 3 * US, "fall-multiple": 2.5,
            "grace-to-answer": 8_000, "ramp-time": 16 * US, "start-capacity": 0.16,
        },
        "over-share-worth": 0.1,
        "profiles": profiles,
        "rank": 0,
        "report": {"columns": ["rif", "busy", "x1", "x0"], "via": "answers"},
        "stages": ["preview-caches"],
        "tenants": [],
        "tick": 2_000,
        "tier": 0,
        "weight-source": "none",
        "worth-by": "request",
        "zone": "edge-1",
        "zones": ["sierra", "costa", "edge-1", "edge-2"],
    }  # fmt: skip
    return base | more


def configuration(
    journal: Journal, options: dict[str, Any], port: int, memory_mb: int = 192, sockets: int = 1024
) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{port}",
        "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "journal": f"127.0.0.1:{journal.port}",
        "flow_bytes_per_s": 310_000,
        "link_bytes_per_s": 1_240_000,
        "known": journal.known(),
        "settings": options,
    }


def new_id() -> str:
    return os.urandom(8).hex()


def main(folder: str, scenario: Callable[[Case], Awaitable[None]], seconds: float = 110.0) -> None:
    sys.exit(Case(Path(folder).resolve()).run(scenario, seconds))
