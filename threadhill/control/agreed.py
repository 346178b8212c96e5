"""The state kept by a majority: one member's end of the agreement, and the `Store` on top of it.

The engine is pysyncobj (Raft): it carries commands in one order to all members, keeps them in a log on each one's disk,
and elects who orders them. What a command does is decided in ownership/terms.py and written to this member's own SQLite
file, which is what the ledger reads. Commands are JSON; the engine's own messages are pickled, so it speaks only under
the installation's secret: without it nothing that comes is unpickled (docs/ownership.md).
"""

from __future__ import annotations

import base64
import os
import threading
import time
import uuid
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
from pysyncobj import SyncObj, SyncObjConf, replicated
from pysyncobj.syncobj import SyncObjException

from threadhill.control.sqlite import NAME, Sqlite
from threadhill.control.store import Apply, Change, StepState, Unwritable, Version
from threadhill.ownership.terms import CommandOutcome, Register
from threadhill.plans.rules import Phase, Record

ANSWER = 1.0  # seconds that a change may take to be agreed: less than a lease, which is not renewed meanwhile
AGAIN = 0.05  # seconds until a command that found no leader, or lost it, is proposed again
RECENT = 1_000  # commands remembered by their ids: one that is proposed twice has effect once
LOG = 3_000  # commands in the log, or
LOG_S = 600  # seconds, after which it is replaced by an image of the state
IMAGE = "agreed.image"


def encode(change: Change) -> dict[str, Any]:
    """A change as JSON."""
    raw: dict[str, Any] = {
        "meta": change.meta,
        "dropped": change.dropped,
        "forget": change.forget_events,
        "records": [[r.kind, r.name, r.attrs, r.phase.value, r.since, r.pos, r.at] for r in change.records],
        "events": [[pos, line.decode()] for pos, line in change.events],
        "steps": [[s.apply, s.id, s.state, s.pos, s.at, s.note] for s in change.steps],
    }
    if change.version is not None:
        v = change.version
        raw["version"] = [v.number, v.at, v.who, v.why, v.base, v.wanted, v.plan, v.state]
    if change.apply is not None:
        a = change.apply
        raw["apply"] = [a.number, a.version, a.plan, a.state, a.holder, a.token, a.expires, a.at]
    return raw


def decode(raw: dict[str, Any]) -> Change:
    return Change(
        meta=raw["meta"],
        dropped=raw["dropped"],
        forget_events=raw["forget"],
        records=[Record(*row[:3], Phase(row[3]), *row[4:]) for row in raw["records"]],
        events=[(pos, line.encode()) for pos, line in raw["events"]],
        steps=[StepState(*row) for row in raw["steps"]],
        version=Version(*raw["version"]) if "version" in raw else None,
        apply=Apply(*raw["apply"]) if "apply" in raw else None,
    )


class Machine:
    """What agreed commands do, on this member: the register, and the file. Called from the engine's thread."""

    def __init__(self, folder: Path, log: Callable[..., None]) -> None:
        self.folder, self.log = folder, log
        self.lock = threading.RLock()
        self.sqlite = Sqlite(folder, threads=True)
        self.register = Register()
        self.count = 0  # commands so far
        self.recent: OrderedDict[str, tuple[bool, str, int]] = OrderedDict()  # id -> verdict
        self.broken = ""  # why this member can't go on
        self.heard: Callable[[dict[str, Any], CommandOutcome, bool], None] = lambda command, outcome, new: None
        self.loaded: Callable[[], None] = lambda: None

    def do(self, raw: bytes) -> tuple[bool, str, int]:
        """One agreed command; the verdict is the same at every member."""
        with self.lock:
            command = orjson.loads(raw)
            self.count += 1
            if command["id"] in self.recent:
                return self.recent[command["id"]]
            new = self.count > self.sqlite.meta().get("agreed", 0)  # else it is in the file: the log is read again
            outcome = self._do(command)
            told = self.recent[command["id"]] = outcome.ok, outcome.reason, outcome.term
            if len(self.recent) > RECENT:
                self.recent.popitem(last=False)
            self.heard(command, outcome, new)
            return told

    def _do(self, command: dict[str, Any]) -> CommandOutcome:
        register, by, term = self.register, command["by"], command.get("term", 0)
        match command["kind"]:
            case "claim":
                return register.claim(by, term, command["beat"], command["cause"])
            case "renew":
                return register.renew(by, term)
            case "release":
                return register.release(by, term, command["heir"])
            case "join":
                return register.join(command["name"], command["places"])
            case "leave":
                return register.leave(command["name"])
            case "lead":  # the engine's matter alone: who removes a member must order commands
                return CommandOutcome(True, term=register.term)
            case "seed":
                if register.written:
                    return CommandOutcome(False, "there is a state already", register.term)
                outcome = register.write(by, term)
                if outcome.ok:
                    self._write(lambda: self._replace(base64.b64decode(command["store"])), seed=True)
                return outcome
        outcome = register.write(by, term)
        if outcome.ok:
            change = decode(command["change"])
            change.meta = {**change.meta, "agreed": self.count}
            self._write(lambda: self.sqlite.commit(change))
        return outcome

    def _write(self, write: Callable[[], None], seed: bool = False) -> None:
        """Write what was agreed, unless this file has it. A member that can't can't go on: the others do."""
        meta = self.sqlite.meta()
        if self.broken or self.count <= meta.get("agreed", 0):
            return
        if not seed and meta["pos"] and "agreed" not in meta:
            self.broken = (
                f"{self.folder} holds a state that the other members do not know: start this member alone "
                "first, then add the others, or begin with an empty folder"
            )
            self.log("member broken", why=self.broken)
            return
        try:
            write()
        except (Unwritable, OSError) as error:
            self.broken = f"what was agreed can't be written: {error}"
            self.log("member broken", why=self.broken)

    # --- images of the whole state, for members that are far behind and in place of a long log

    def image(self) -> dict[str, Any]:
        with self.lock:
            path = self.folder / IMAGE
            self.sqlite.snapshot(path)
            raw = path.read_bytes()
            path.unlink()
            return {
                "register": self.register.document(),
                "count": self.count,
                "store": raw,
                "recent": list(self.recent.items()),
            }

    def load(self, image: dict[str, Any]) -> None:
        """Take an image over; the file only where the image knows more than it."""
        with self.lock:
            self.register, self.count = Register.from_document(image["register"]), image["count"]
            self.recent = OrderedDict(image["recent"])
            if image["count"] > self.sqlite.meta().get("agreed", 0):
                self._replace(image["store"])
        self.loaded()

    def _replace(self, raw: bytes) -> None:
        part = self.folder / f"{NAME}.part"
        part.write_bytes(raw)
        self.sqlite.close()
        for name in (NAME + "-wal", NAME + "-shm"):
            (self.folder / name).unlink(missing_ok=True)
        os.replace(part, self.folder / NAME)
        self.sqlite = Sqlite(self.folder, threads=True)
        self.sqlite.commit(Change(meta={"agreed": self.count}))


class Image:
    """Stands for the state in the engine's dumps."""

    def __init__(self, machine: Machine) -> None:
        self.machine: Machine | None = machine
        self.state: dict[str, Any] = {}

    def __getstate__(self) -> dict[str, Any]:
        return self.machine.image()

    def __setstate__(self, state: dict[str, Any]) -> None:
        self.machine, self.state = None, state


class Replica(SyncObj):
    """The engine, with one command."""

    def __init__(self, me: str, others: list[str], conf: SyncObjConf, machine: Machine) -> None:
        self.machine = machine
        self.own: Image | None = None  # set before the engine's own: not part of its dumps
        super().__init__(me, others, conf)
        self.image = self.own = Image(machine)
        self.addOnTickCallback(self._look)

    def _look(self) -> None:
        """Whether an image came in place of the log, at the start or from another member."""
        if self.image is not self.own and self.image.machine is None:
            state, self.image = self.image.state, self.own
            self.machine.load(state)

    @replicated
    def do(self, raw: bytes) -> tuple[bool, str, int]:
        self._look()
        return self.machine.do(raw)


class Agreement:
    """One member: proposes commands, and hears of all that were agreed."""

    def __init__(
        self, folder: Path, name: str, agree: str, others: list[str], secret: str, log: Callable[..., None]
    ) -> None:
        self.name = name
        folder.mkdir(parents=True, exist_ok=True)
        self.machine = Machine(folder, log)
        self._waiting: dict[str, bool] = {}  # own commands whose answer is awaited -> whether they were agreed
        self.machine.heard = self._heard
        self._told: Callable[[dict[str, Any], CommandOutcome, bool], None] = lambda command, outcome, new: None
        self._agree, self._others = agree, others
        self._conf = SyncObjConf(
            password=secret,
            journalFile=str(folder / "agreed.journal"),
            fullDumpFile=str(folder / "agreed.dump"),
            logCompactionMinEntries=LOG,
            logCompactionMinTime=LOG_S,
            useFork=False,
            autoTickPeriod=0.02,
            appendEntriesPeriod=0.05,
            raftMinTimeout=0.3,
            raftMaxTimeout=0.6,
            connectionRetryTime=0.2,
            connectionTimeout=0.8,
            commandsWaitLeader=False,
            dynamicMembershipChange=True,
            leaderFallbackTimeout=1.5,
            bindAddress=agree,
        )
        self.replica: Replica | None = None

    @property
    def register(self) -> Register:
        return self.machine.register

    def start(self, told: Callable[[dict[str, Any], CommandOutcome, bool], None], loaded: Callable[[], None]) -> None:
        """Begin. `told` hears of each command and whether its change is new to this member's file, but for changes that
        `propose` waits for; `loaded`, that the whole state was replaced. Both from the engine's thread."""
        self._told, self.machine.loaded = told, loaded
        self.replica = Replica(self._agree, self._others, self._conf, self.machine)

    def _heard(self, command: dict[str, Any], outcome: CommandOutcome, new: bool) -> None:
        if command["id"] in self._waiting:
            self._waiting[command["id"]] = True
            if command["kind"] == "change":
                return  # who waits for it takes it up itself
        self._told(command, outcome, new)

    def _command(self, kind: str, **more: Any) -> dict[str, Any]:
        return {"id": uuid.uuid4().hex, "by": self.name, "kind": kind, **more}

    def send(self, kind: str, **more: Any) -> str:
        """Propose without waiting; the command's id, under which it is told once it was agreed. It may never be."""
        command = self._command(kind, **more)
        with suppress(SyncObjException):
            self.replica.do(orjson.dumps(command), callback=lambda result, error: None)
        return command["id"]

    def propose(self, kind: str, **more: Any) -> CommandOutcome:
        """Propose and wait. Unwritable where no majority agreed in time, or where it had no effect."""
        command = self._command(kind, **more)
        id = command["id"]
        self._waiting[id] = False
        raw, end, result = orjson.dumps(command), time.monotonic() + ANSWER, None
        while result is None:
            left = end - time.monotonic()
            try:
                result = self.replica.do(raw, sync=True, timeout=max(0.05, left))
            except SyncObjException as error:
                if left > 2 * AGAIN:  # an election: the same command once more, which has effect once
                    time.sleep(AGAIN)
                    continue
                with self.machine.lock:
                    agreed = self._waiting.pop(id)
                    result = self.machine.recent.get(id) if agreed else None
                if result is not None:  # it was agreed as the time ran out
                    break
                raise Unwritable(
                    f"no majority agreed in {ANSWER:g} s ({error.errorCode}): whether it will is not "
                    "known; look again"
                ) from None
        self._waiting.pop(id, None)
        outcome = CommandOutcome(*result)
        if not outcome.ok:
            raise Unwritable(outcome.reason)
        if self.machine.broken:
            raise Unwritable(self.machine.broken)
        return outcome

    def count(self, agree: str, more: bool) -> None:
        """Let the engine count one member more, or one less. Only who orders commands now can; the others leave it to
        that one. Where it is lost in an election, saying it again does no harm."""
        if self.orders():
            (self.replica.addNodeToCluster if more else self.replica.removeNodeFromCluster)(agree)

    def orders(self) -> bool:
        """Whether this member orders commands now."""
        return self.replica._isLeader()

    def give_order(self, agree: str) -> None:
        """Let the member at this address order commands, where this one does."""
        if self.orders() and self.counted(agree):
            self.replica.transferLeadership(agree)

    def counted(self, agree: str) -> bool:
        """Whether the engine counts the member at this address."""
        return agree in {node.address for node in self.replica.otherNodes}

    def ready(self) -> bool:
        """Whether this member has caught up with what was agreed when it came."""
        return self.replica is not None and self.replica.isReady()

    def close(self) -> None:
        if self.replica is not None:
            self.replica.destroy()
        end = time.monotonic() + 1
        while self.replica is not None and self.replica.tick_thread_alive and time.monotonic() < end:
            time.sleep(0.01)
        with suppress(Exception):
            self.machine.sqlite.close()


class AgreedStore:
    """The `Store` of a member: written by agreement in the owner's term, read from this member's file."""

    def __init__(self, agreement: Agreement, term: Callable[[], int]) -> None:
        self.agreement, self._term = agreement, term

    def _read(self, call: Callable[[Sqlite], Any]) -> Any:
        machine = self.agreement.machine
        with machine.lock:
            return call(machine.sqlite)

    def meta(self) -> dict[str, int]:
        return self._read(lambda db: db.meta())

    def records(self) -> Iterator[Record]:
        return iter(self._read(lambda db: list(db.records())))

    def events(self, after: int, limit: int) -> list[tuple[int, bytes]]:
        return self._read(lambda db: db.events(after, limit))

    def oldest_event(self) -> int:
        return self._read(lambda db: db.oldest_event())

    def version(self, number: int) -> Version | None:
        return self._read(lambda db: db.version(number))

    def versions(self, before: int, limit: int) -> list[Version]:
        return self._read(lambda db: db.versions(before, limit))

    def apply(self, number: int) -> Apply | None:
        return self._read(lambda db: db.apply(number))

    def open_apply(self) -> Apply | None:
        return self._read(lambda db: db.open_apply())

    def steps(self, apply: int) -> dict[str, StepState]:
        return self._read(lambda db: db.steps(apply))

    def commit(self, change: Change) -> None:
        term = self._term()
        if not term:
            raise Unwritable("this member owns nothing now: nothing was changed")
        self.agreement.propose("change", term=term, change=encode(change))

    def snapshot(self, path: Path) -> None:
        self._read(lambda db: db.snapshot(path))

    def close(self) -> None:
        self.agreement.close()
