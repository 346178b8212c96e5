"""Replicated state: one member's end of the Raft group, and the `Store` on top of it.

pysyncobj implements Raft: it delivers commands to all members in one order, keeps them in a log on each member's disk,
and elects the leader that orders them. ownership/register.py decides what a command does; the result is written to this
member's own SQLite file, which the ledger reads. Commands are JSON. pysyncobj pickles its own messages, so it encrypts
them with the installation's secret: nothing that arrives without it is unpickled (docs/ownership.md).

Pickled dumps and messages between members of different builds hold the names of this module, of `Replica`, `Image`,
`Replica.do` and `Replica.image`.
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

from threadhill.control.sqlite import STORE_FILE, SqliteStore
from threadhill.control.store import Apply, Change, StepState, Version, WriteFailed
from threadhill.ownership.register import CommandOutcome, Register
from threadhill.plans.rules import Phase, Record

COMMIT_TIMEOUT = (
    1.0  # seconds that a change may take to be committed: less than a lease, which is not renewed meanwhile
)
RETRY_INTERVAL = 0.05  # seconds until a command that found no leader, or lost it, is proposed again
MAX_REMEMBERED = 1_000  # commands remembered by id, so that one that is proposed twice takes effect once
LOG_COMPACTION_ENTRIES = 3_000  # the log is replaced by an image of the state after so many commands,
LOG_COMPACTION_S = 600  # or after so many seconds
IMAGE_FILE = "agreed.image"


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


class StateMachine:
    """Applies committed commands on this member: to the register, and to the SQLite file. Called from Raft's thread."""

    def __init__(self, folder: Path, log: Callable[..., None]) -> None:
        self.folder, self.log = folder, log
        self.lock = threading.RLock()
        self.sqlite = SqliteStore(folder, multithreaded=True)
        self.register = Register()
        self.applied = 0  # commands applied so far
        self.recent: OrderedDict[str, tuple[bool, str, int]] = OrderedDict()  # command id -> outcome
        self.broken = ""  # why this member cannot continue; "": it can
        self.on_command: Callable[[dict[str, Any], CommandOutcome, bool], None] = lambda command, outcome, new: None
        self.on_image_loaded: Callable[[], None] = lambda: None

    def apply(self, raw: bytes) -> tuple[bool, str, int]:
        """Apply one committed command. The outcome is the same at every member."""
        with self.lock:
            command = orjson.loads(raw)
            self.applied += 1
            if command["id"] in self.recent:
                return self.recent[command["id"]]
            new = self.applied > self.sqlite.meta().get("agreed", 0)  # else the log is replayed, and the file has it
            outcome = self._dispatch(command)
            result = self.recent[command["id"]] = outcome.ok, outcome.reason, outcome.term
            if len(self.recent) > MAX_REMEMBERED:
                self.recent.popitem(last=False)
            self.on_command(command, outcome, new)
            return result

    def _dispatch(self, command: dict[str, Any]) -> CommandOutcome:
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
            case "lead":  # changes only Raft's leader: the member that removes another must be the leader
                return CommandOutcome(True, term=register.term)
            case "seed":
                if register.written:
                    return CommandOutcome(False, "the members hold a state already", register.term)
                outcome = register.write(by, term)
                if outcome.ok:
                    self._write_once(lambda: self._replace_store(base64.b64decode(command["store"])), seed=True)
                return outcome
        outcome = register.write(by, term)
        if outcome.ok:
            change = decode(command["change"])
            change.meta = {**change.meta, "agreed": self.applied}
            self._write_once(lambda: self.sqlite.commit(change))
        return outcome

    def _write_once(self, write: Callable[[], None], seed: bool = False) -> None:
        """Write a committed command's effect unless the file has it. After a failed write this member stops; the others
        continue."""
        meta = self.sqlite.meta()
        if self.broken or self.applied <= meta.get("agreed", 0):
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
        except (WriteFailed, OSError) as error:
            self.broken = f"a committed change can't be written: {error}"
            self.log("member broken", why=self.broken)

    # --- images of the whole state, for members that are far behind and to replace a long log

    def dump_image(self) -> dict[str, Any]:
        with self.lock:
            path = self.folder / IMAGE_FILE
            self.sqlite.snapshot(path)
            raw = path.read_bytes()
            path.unlink()
            return {
                "register": self.register.document(),
                "count": self.applied,
                "store": raw,
                "recent": list(self.recent.items()),
            }

    def load_image(self, image: dict[str, Any]) -> None:
        """Take over an image; the file is replaced only if the image is ahead of it."""
        with self.lock:
            self.register, self.applied = Register.from_document(image["register"]), image["count"]
            self.recent = OrderedDict(image["recent"])
            if image["count"] > self.sqlite.meta().get("agreed", 0):
                self._replace_store(image["store"])
        self.on_image_loaded()

    def _replace_store(self, raw: bytes) -> None:
        part = self.folder / f"{STORE_FILE}.part"
        part.write_bytes(raw)
        self.sqlite.close()
        for name in (STORE_FILE + "-wal", STORE_FILE + "-shm"):
            (self.folder / name).unlink(missing_ok=True)
        os.replace(part, self.folder / STORE_FILE)
        self.sqlite = SqliteStore(self.folder, multithreaded=True)
        self.sqlite.commit(Change(meta={"agreed": self.applied}))


class Image:
    """Stands for the state in pysyncobj's dumps."""

    def __init__(self, machine: StateMachine) -> None:
        self.machine: StateMachine | None = machine
        self.state: dict[str, Any] = {}

    def __getstate__(self) -> dict[str, Any]:
        return self.machine.dump_image()

    def __setstate__(self, state: dict[str, Any]) -> None:
        self.machine, self.state = None, state


class Replica(SyncObj):
    """The Raft node, with one replicated method."""

    def __init__(self, own_address: str, others: list[str], conf: SyncObjConf, machine: StateMachine) -> None:
        self.machine = machine
        self.own_image: Image | None = None  # set before SyncObj.__init__, so that dumps leave it out
        super().__init__(own_address, others, conf)
        self.image = self.own_image = Image(machine)
        self.addOnTickCallback(self._load_received_image)

    def _load_received_image(self) -> None:
        """Load the image that replaced the log, if one came: from the disk at the start, or from another member."""
        if self.image is not self.own_image and self.image.machine is None:
            state, self.image = self.image.state, self.own_image
            self.machine.load_image(state)

    @replicated
    def do(self, raw: bytes) -> tuple[bool, str, int]:
        self._load_received_image()
        return self.machine.apply(raw)


class Consensus:
    """One member's access to the Raft group: proposes commands, and is told of all that were committed."""

    def __init__(
        self, folder: Path, name: str, address: str, others: list[str], secret: str, log: Callable[..., None]
    ) -> None:
        self.name = name
        folder.mkdir(parents=True, exist_ok=True)
        self.machine = StateMachine(folder, log)
        self._pending: dict[str, bool] = {}  # own commands whose answer is awaited -> whether they were committed
        self.machine.on_command = self._command_applied
        self._on_command: Callable[[dict[str, Any], CommandOutcome, bool], None] = lambda command, outcome, new: None
        self._address, self._others = address, others
        self._conf = SyncObjConf(
            password=secret,
            journalFile=str(folder / "agreed.journal"),
            fullDumpFile=str(folder / "agreed.dump"),
            logCompactionMinEntries=LOG_COMPACTION_ENTRIES,
            logCompactionMinTime=LOG_COMPACTION_S,
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
            bindAddress=address,
        )
        self.replica: Replica | None = None

    @property
    def register(self) -> Register:
        return self.machine.register

    def start(
        self, on_command: Callable[[dict[str, Any], CommandOutcome, bool], None], on_image_loaded: Callable[[], None]
    ) -> None:
        """Join the group. `on_command` gets each committed command and whether its change is new to this member's file,
        except changes that `propose` waits for; `on_image_loaded` is called when the whole state was replaced. Both are
        called from Raft's thread."""
        self._on_command, self.machine.on_image_loaded = on_command, on_image_loaded
        self.replica = Replica(self._address, self._others, self._conf, self.machine)

    def _command_applied(self, command: dict[str, Any], outcome: CommandOutcome, new: bool) -> None:
        if command["id"] in self._pending:
            self._pending[command["id"]] = True
            if command["kind"] == "change":
                return  # the caller of `propose` takes it up itself
        self._on_command(command, outcome, new)

    def _command(self, kind: str, **more: Any) -> dict[str, Any]:
        return {"id": uuid.uuid4().hex, "by": self.name, "kind": kind, **more}

    def send(self, kind: str, **more: Any) -> str:
        """Propose without waiting. Returns the command's id, which `on_command` gets once it is committed, if ever."""
        command = self._command(kind, **more)
        with suppress(SyncObjException):
            self.replica.do(orjson.dumps(command), callback=lambda result, error: None)
        return command["id"]

    def propose(self, kind: str, **more: Any) -> CommandOutcome:
        """Propose and wait. Raises WriteFailed if no majority agreed in time, or if the command was refused."""
        command = self._command(kind, **more)
        id = command["id"]
        self._pending[id] = False
        raw, end, result = orjson.dumps(command), time.monotonic() + COMMIT_TIMEOUT, None
        while result is None:
            left = end - time.monotonic()
            try:
                result = self.replica.do(raw, sync=True, timeout=max(0.05, left))
            except SyncObjException as error:
                if left > 2 * RETRY_INTERVAL:  # an election: retry; a repeated command takes effect once
                    time.sleep(RETRY_INTERVAL)
                    continue
                with self.machine.lock:
                    committed = self._pending.pop(id)
                    result = self.machine.recent.get(id) if committed else None
                if result is not None:  # it was committed just as the time ran out
                    break
                raise WriteFailed(
                    f"no majority agreed in {COMMIT_TIMEOUT:g} s ({error.errorCode}): the change may still take "
                    "effect; check the state before trying again"
                ) from None
        self._pending.pop(id, None)
        outcome = CommandOutcome(*result)
        if not outcome.ok:
            raise WriteFailed(outcome.reason)
        if self.machine.broken:
            raise WriteFailed(self.machine.broken)
        return outcome

    def change_membership(self, address: str, add: bool) -> None:
        """Add a node to the Raft group, or remove one. Only the leader does this; elsewhere the call does nothing. If
        the change is lost in an election, repeating it does no harm."""
        if self.is_leader():
            (self.replica.addNodeToCluster if add else self.replica.removeNodeFromCluster)(address)

    def is_leader(self) -> bool:
        """Whether this member is Raft's leader now."""
        return self.replica._isLeader()

    def transfer_leadership(self, address: str) -> None:
        """If this member is the leader, let the one at this address become it."""
        if self.is_leader() and self.has_peer(address):
            self.replica.transferLeadership(address)

    def has_peer(self, address: str) -> bool:
        """Whether the member at this address belongs to the Raft group."""
        return address in {node.address for node in self.replica.otherNodes}

    def is_ready(self) -> bool:
        """Whether this member has caught up with the commands committed when it joined."""
        return self.replica is not None and self.replica.isReady()

    def close(self) -> None:
        if self.replica is not None:
            self.replica.destroy()
        end = time.monotonic() + 1
        while self.replica is not None and self.replica.tick_thread_alive and time.monotonic() < end:
            time.sleep(0.01)
        with suppress(Exception):
            self.machine.sqlite.close()


class ReplicatedStore:
    """The `Store` of a member: written through Raft in the owner's term, read from this member's file."""

    def __init__(self, consensus: Consensus, term: Callable[[], int]) -> None:
        self.consensus, self._term = consensus, term

    def _read(self, query: Callable[[SqliteStore], Any]) -> Any:
        machine = self.consensus.machine
        with machine.lock:
            return query(machine.sqlite)

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
            raise WriteFailed("this member is not the owner now: nothing was changed")
        self.consensus.propose("change", term=term, change=encode(change))

    def snapshot(self, path: Path) -> None:
        self._read(lambda db: db.snapshot(path))

    def close(self) -> None:
        self.consensus.close()
