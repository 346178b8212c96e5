"""Caches, parents and the origin of a soak: copies with a birth, fills that take time and may be joined, and faults."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

from threadhill.standin.soak.deployment import SLOW_FILLS, Deployment
from threadhill.standin.soak.record import Purge, Record, ServerAttempt

Key = tuple[str, int]  # object and part
LINE = 2_048  # bytes of a command's line at most


class Kind(StrEnum):
    """Kinds of servers, as the list names them."""

    CACHE = "standard"
    PARENT = "parent"
    ORIGIN = "origin"


class Mood(StrEnum):
    """What a server does at the moment."""

    WELL = "well"
    HANGS = "hangs"
    FAILS = "fails"
    SPOILS = "spoils"


@dataclass(frozen=True, slots=True)
class Copy:
    """A copy of one part: the Unix millisecond at which the origin gave it out."""

    born: int

    @property
    def tag(self) -> str:
        """Its tag: another birth is another version."""
        return f"{self.born:x}"

    def body(self, key: Key) -> bytes:
        """Its bytes, from which its birth can be read."""
        return f"{key[0]}/{key[1]}@{self.born};".encode() * 8


@dataclass(frozen=True, slots=True)
class Command:
    """A request as it stands on the wire."""

    rid: str
    fields: dict[str, str]
    arrived: float

    @property
    def key(self) -> Key:
        return self.fields["thing"], int(self.fields["nth"])

    @property
    def oldest(self) -> int:
        return int(self.fields.get("oldest", "0"))

    def admits(self, copy: Copy) -> bool:
        """Whether a copy is young enough for it."""
        return not self.oldest or unix_ms() - copy.born <= self.oldest


def unix_ms() -> int:
    """The true Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class StandInServer:
    """One server. `name` stays over a restart, `port` does not always."""

    def __init__(
        self,
        name: str,
        kind: Kind,
        zone: str,
        deployment: Deployment,
        record: Record,
        rng: random.Random,
        find: Callable[[str], StandInServer | None],
    ) -> None:
        self.name, self.kind, self.zone = name, kind, zone
        self.deployment, self.record, self.rng, self.find = deployment, record, rng, find
        self.mood = Mood.WELL
        self.slow_fills = False
        self.up_since_ms = 0
        self.copies: dict[Key, Copy] = {}
        self.fills: dict[Key, asyncio.Task[Copy | None]] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.open = 0
        self.host, self.port = "127.0.0.1", 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        """Listen; at a port that another server had, where one is given."""
        self._server = await asyncio.start_server(self._serve, self.host, port, limit=LINE)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """End as a process that dies does."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in [*self._tasks, *self.fills.values()]:
            task.cancel()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def member(self, phase: str = "SERVING") -> dict[str, object]:
        """Its entry in the list."""
        return {
            "id": self.name,
            "host_port": f"{self.host}:{self.port}",
            "locality": self.zone,
            "cell": 1,
            "flavor": self.kind.value,
            "phase": phase,
            "size": 1,
            "up_since_ms": self.up_since_ms,
        }

    def drop_later(self, purge: Purge) -> None:
        """Drop the older copies at a moment of its own, within the time that servers have."""
        after = self.rng.uniform(0.1, 0.9) * self.deployment.purge_takes
        asyncio.get_running_loop().call_later(after, self._drop, purge)

    def _drop(self, purge: Purge) -> None:
        for key in [key for key in self.copies if purge.covers(key[0], self.deployment.group_of(key[0]))]:
            if self.copies[key].born <= purge.stamp:
                del self.copies[key]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        open_here: dict[str, tuple[ServerAttempt, asyncio.Task[None]]] = {}
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "undo":
                    self._give_up(open_here.pop(words[1], None))
                    continue
                attempt, command = self._read(words)
                await reader.readexactly(int(words[3]) + 2)
                task = asyncio.ensure_future(self._answer(attempt, command, writer))
                open_here[command.rid] = attempt, task
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        for entry in open_here.values():
            self._give_up(entry)
        self.writers.discard(writer)
        writer.close()

    def _give_up(self, entry: tuple[ServerAttempt, asyncio.Task[None]] | None) -> None:
        if entry is not None and not entry[1].done():
            entry[0].given_up_at = time.monotonic()
            entry[1].cancel()

    def _read(self, words: list[str]) -> tuple[ServerAttempt, Command]:
        now = time.monotonic()
        fields = dict(item.split("=", 1) for item in words[2].split(","))
        command = Command(words[1], fields, now)
        attempt = ServerAttempt(
            command.rid,
            self.name,
            self.port,
            fields["profile"],
            now,
            *command.key,
            fields.get("from", ""),
            int(fields.get("max", "0")) / 1e3,
            command.oldest,
            fields.get("mode", ""),
        )
        self.record.attempts.append(attempt)
        return attempt, command

    async def _answer(self, attempt: ServerAttempt, command: Command, writer: asyncio.StreamWriter) -> None:
        if self.mood is Mood.HANGS:
            return
        self.open += 1
        try:
            await asyncio.sleep(self.rng.uniform(0.001, 0.02))
            copy, word = await self._outcome(attempt, command)
        finally:
            self.open -= 1
        seen = command.fields.get("seen")
        if word == "ok" and copy is not None and seen == copy.tag:
            word = "current"
        attempt.word, attempt.born = word, copy.born if copy is not None else 0
        body = copy.body(command.key) if copy is not None and word == "ok" else b""
        told = f"ver={copy.tag},born={copy.born}," if copy is not None else ""
        report = f"report=inflight:{self.open};util:0.20;x1:0.10;x0:0.60"
        if self.mood is Mood.SPOILS and self.rng.random() < 0.5:
            writer.write(b"\xff spoilt " + self.rng.randbytes(20) + b"\r\n")
            return
        writer.write(f"{command.rid} {word} {told}{report} {len(body)}\r\n".encode() + body + b"\r\n")

    async def _outcome(self, attempt: ServerAttempt, command: Command) -> tuple[Copy | None, str]:
        if self.mood is Mood.FAILS and self.rng.random() < 0.8:
            attempt.ran = self.rng.random() < 0.5
            return None, "error"
        write = next(cls.write for cls in self.deployment.classes if cls.name == command.fields["profile"])
        if write:
            return await self._run_write(attempt, command)
        held = self.copies.get(command.key)
        if self.kind is Kind.ORIGIN:
            held = Copy(unix_ms())
            await asyncio.sleep(self.rng.uniform(0.005, 0.03))
        if held is not None and command.admits(held):
            attempt.ran = True
            return held, "ok"
        source = self.find(command.fields.get("from", ""))
        if source is None or source is self:
            return None, "nothing"
        copy = await self._filled(command, source)
        attempt.ran = copy is not None
        return copy, "ok" if copy is not None else "nothing"

    async def _run_write(self, attempt: ServerAttempt, command: Command) -> tuple[Copy | None, str]:
        origin = self if self.kind is Kind.ORIGIN else self.find(command.fields.get("from", ""))
        if origin is None or origin.kind is not Kind.ORIGIN:
            return None, "nothing"
        attempt.ran = True
        await asyncio.sleep(self.rng.uniform(0.01, 0.05))
        return Copy(unix_ms()), "ok"

    async def _filled(self, command: Command, source: StandInServer) -> Copy | None:
        """A copy from the source. A fill that is under way may be joined, whatever it is of, where that is so here."""
        running = self.fills.get(command.key)
        joins = "collapse" in command.fields.get("mode", "")
        if running is not None and joins:
            copy = await asyncio.shield(running)
            if copy is not None and (self.deployment.joins_old_fills or command.admits(copy)):
                return copy
        fill = asyncio.ensure_future(self._fill(command, source))
        self.fills[command.key] = fill
        fill.add_done_callback(lambda done: self.fills.get(command.key) is done and self.fills.pop(command.key))
        return await asyncio.shield(fill)

    async def _fill(self, command: Command, source: StandInServer) -> Copy | None:
        if source.mood is Mood.HANGS:
            await asyncio.sleep(1.5)
            return None
        copy = source.copies.get(command.key) if source.kind is not Kind.ORIGIN else None
        if copy is None or not command.admits(copy):
            if source.kind is not Kind.ORIGIN and "only-if-cached" in command.fields.get("mode", ""):
                return None
            copy = Copy(unix_ms())
            source.copies[command.key] = copy
        slow = self.rng.random() < (0.5 if self.slow_fills else SLOW_FILLS)
        await asyncio.sleep(self.rng.uniform(0.5, 2.5) if slow else self.rng.uniform(0.01, 0.06))
        kept = self.copies.get(command.key)
        if (kept is None or kept.born < copy.born) and not self._purged_since(command.key[0], copy):
            self.copies[command.key] = copy
        return copy

    def _purged_since(self, thing: str, copy: Copy) -> bool:
        """Whether a purge came while it was on its way: it would outlive the time in which such copies are dropped."""
        group = self.deployment.group_of(thing)
        return any(copy.born <= purge.stamp and purge.covers(thing, group) for purge in self.record.purges)
