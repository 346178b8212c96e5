"""The embedded store: SQLite in WAL mode, in a folder of its own that one control plane locks at a time."""

from __future__ import annotations

import fcntl
import itertools
import os
import sqlite3
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import orjson

from threadhill.control.store import Apply, Change, StepState, StoreDamaged, Version, WriteFailed
from threadhill.plans.rules import Phase, Record
from threadhill.recovery.retention import expired_snapshots

SCHEMA = 2
STORE_FILE = "state.db"
MARKER_FILE = "threadhill.store"  # present once a store was created: a missing or empty database then counts as lost
INITIAL_COUNTERS = {"pos": 0, "serial": 0, "version": 0, "apply": 0, "token": 0}
TABLES = """
CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE records (id TEXT PRIMARY KEY, kind TEXT NOT NULL, name TEXT NOT NULL, attrs BLOB NOT NULL,
    phase TEXT NOT NULL, since INTEGER NOT NULL, pos INTEGER NOT NULL, at INTEGER NOT NULL,
    sum INTEGER NOT NULL) WITHOUT ROWID;
CREATE TABLE events (pos INTEGER PRIMARY KEY, line BLOB NOT NULL, sum INTEGER NOT NULL);
CREATE TABLE versions (number INTEGER PRIMARY KEY, at INTEGER NOT NULL, who TEXT NOT NULL, why TEXT NOT NULL,
    base INTEGER NOT NULL, wanted BLOB NOT NULL, plan TEXT NOT NULL, state TEXT NOT NULL, digest TEXT NOT NULL);
CREATE TABLE applies (number INTEGER PRIMARY KEY, version INTEGER NOT NULL, plan BLOB NOT NULL, state TEXT NOT NULL,
    holder TEXT NOT NULL, token INTEGER NOT NULL, expires INTEGER NOT NULL, at INTEGER NOT NULL);
CREATE TABLE steps (apply INTEGER NOT NULL, id TEXT NOT NULL, state TEXT NOT NULL, pos INTEGER NOT NULL,
    at INTEGER NOT NULL, note TEXT NOT NULL, PRIMARY KEY (apply, id)) WITHOUT ROWID;
"""
OPEN_APPLIES_INDEX = "CREATE INDEX IF NOT EXISTS open_applies ON applies (number) WHERE state = 'open';"


def _migrate_to_2(db: sqlite3.Connection) -> None:
    """1 -> 2: an index for the open apply, which is looked up at each start and after each change of it."""
    db.execute(OPEN_APPLIES_INDEX)


MIGRATIONS: dict[int, Callable[[sqlite3.Connection], None]] = {1: _migrate_to_2}


class SqliteStore:
    """The `Store` on SQLite. Opening checks the whole file; if it is damaged, StoreDamaged is raised and nothing is
    written."""

    def __init__(self, folder: Path, create: bool = True, multithreaded: bool = False) -> None:
        self._multithreaded = multithreaded  # used from several threads; the caller serializes the calls
        self.folder, self.path = folder, folder / STORE_FILE
        self._lock = _lock(folder, create)
        try:
            self._open(create)
        except BaseException:
            os.close(self._lock)
            raise

    def _open(self, create: bool) -> None:
        marker = self.folder / MARKER_FILE
        exists = self.path.exists() and self.path.stat().st_size > 0
        if marker.exists() and not exists:
            raise StoreDamaged(
                f"{self.path} is missing or empty, though there was a store: restore a snapshot with "
                f"`threadhill state restore`, or remove {marker} to start with an empty store"
            )
        if not exists and not create:
            raise StoreDamaged(f"{self.folder} holds no store")
        try:
            self.db = sqlite3.connect(
                self.path, isolation_level=None, timeout=5, check_same_thread=not self._multithreaded
            )
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")
            if exists:
                check_integrity(self.db, self.path)
            else:
                self._create()
        except (sqlite3.DatabaseError, ValueError, TypeError) as error:
            raise StoreDamaged(f"{self.path}: {error}: restore a snapshot with `threadhill state restore`") from None
        marker.touch()
        self._migrate()

    def _create(self) -> None:
        self.db.executescript("BEGIN;" + TABLES + OPEN_APPLIES_INDEX + "COMMIT;")
        with self._transaction():
            self.db.executemany(
                "INSERT INTO meta VALUES (?, ?)", [*INITIAL_COUNTERS.items(), ("schema", SCHEMA), ("sum", 0)]
            )
            _update_meta_checksum(self.db)

    def _migrate(self) -> None:
        """Migrate an older store, one schema at a time. A copy of the old file is kept beside it."""
        found = self.meta()["schema"]
        if found < SCHEMA:
            self.snapshot(self.folder / f"state.schema-{found}.db")
        for schema in range(found, SCHEMA):
            with self._transaction():
                MIGRATIONS[schema](self.db)
                self.db.execute("UPDATE meta SET value = ? WHERE name = 'schema'", (schema + 1,))
                _update_meta_checksum(self.db)

    @contextmanager
    def _transaction(self) -> Iterator[None]:
        try:
            self.db.execute("BEGIN IMMEDIATE")
            yield
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            with suppress(sqlite3.Error):
                self.db.execute("ROLLBACK")
            raise WriteFailed(f"{self.path}: {error}; nothing was changed") from None
        except BaseException:
            self.db.execute("ROLLBACK")
            raise

    def meta(self) -> dict[str, int]:
        return dict(self.db.execute("SELECT name, value FROM meta"))

    def records(self) -> Iterator[Record]:
        for kind, name, attrs, phase, since, pos, at in self.db.execute(
            "SELECT kind, name, attrs, phase, since, pos, at FROM records"
        ):
            yield Record(kind, name, orjson.loads(attrs), Phase(phase), since, pos, at)

    def events(self, after: int, limit: int) -> list[tuple[int, bytes]]:
        found = list(
            self.db.execute("SELECT pos, line, sum FROM events WHERE pos > ? ORDER BY pos LIMIT ?", (after, limit))
        )
        for pos, line, stored in found:
            if _checksum(pos, line) != stored:
                raise StoreDamaged(
                    f"{self.path} is damaged (event {pos} was changed): restore a snapshot with "
                    "`threadhill state restore`"
                )
        return [(pos, line) for pos, line, _ in found]

    def oldest_event(self) -> int:
        return self.db.execute("SELECT min(pos) FROM events").fetchone()[0] or 0

    def version(self, number: int) -> Version | None:
        row = self.db.execute(
            "SELECT number, at, who, why, base, wanted, plan, state FROM versions WHERE number = ?", (number,)
        ).fetchone()
        return None if row is None else Version(*row[:5], orjson.loads(row[5]), *row[6:])

    def versions(self, before: int, limit: int) -> list[Version]:
        return [
            Version(*row[:5], {}, *row[5:])
            for row in self.db.execute(
                "SELECT number, at, who, why, base, plan, state FROM versions WHERE number < ? ORDER BY number DESC "
                "LIMIT ?",
                (before, limit),
            )
        ]

    def apply(self, number: int) -> Apply | None:
        return self._apply("number = ?", number)

    def open_apply(self) -> Apply | None:
        return self._apply("state = 'open'")

    def _apply(self, where: str, *values: int) -> Apply | None:
        row = self.db.execute(
            "SELECT number, version, plan, state, holder, token, expires, at FROM applies WHERE " + where, values
        ).fetchone()
        return None if row is None else Apply(*row[:2], orjson.loads(row[2]), *row[3:])

    def steps(self, apply: int) -> dict[str, StepState]:
        return {
            row[1]: StepState(*row)
            for row in self.db.execute("SELECT apply, id, state, pos, at, note FROM steps WHERE apply = ?", (apply,))
        }

    def commit(self, change: Change) -> None:
        with self._transaction():
            run, many = self.db.execute, self.db.executemany
            many(
                "INSERT INTO meta VALUES (?, ?) ON CONFLICT (name) DO UPDATE SET value = excluded.value",
                list(change.meta.items()),
            )
            _update_meta_checksum(self.db)
            many("DELETE FROM records WHERE id = ?", [(id,) for id in change.dropped])
            many("INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", map(_record_row, change.records))
            many(
                "INSERT INTO events VALUES (?, ?, ?)",
                [(pos, line, _checksum(pos, line)) for pos, line in change.events],
            )
            if change.forget_events:
                run("DELETE FROM events WHERE pos <= ?", (change.forget_events,))
            if change.version is not None:
                v = change.version
                run(
                    "INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)",
                    (
                        *(row := (v.number, v.at, v.who, v.why, v.base, orjson.dumps(v.wanted), v.plan, v.state)),
                        str(_checksum(*row)),
                    ),
                )
            if change.apply is not None:
                a = change.apply
                # An update leaves the plan out: it is large, and the lease is renewed often.
                run(
                    "INSERT INTO applies VALUES (?, ?, ?, ?, ?, ?, ?, ?) ON CONFLICT (number) DO UPDATE SET "
                    "state = excluded.state, holder = excluded.holder, token = excluded.token, "
                    "expires = excluded.expires",
                    (a.number, a.version, orjson.dumps(a.plan), a.state, a.holder, a.token, a.expires, a.at),
                )
            many(
                "INSERT OR REPLACE INTO steps VALUES (?, ?, ?, ?, ?, ?)",
                [(s.apply, s.id, s.state, s.pos, s.at, s.note) for s in change.steps],
            )

    def snapshot(self, path: Path) -> None:
        snapshot(self.db, path)

    def close(self) -> None:
        self.db.close()
        os.close(self._lock)


def _checksum(*values: object) -> int:
    """CRC-32 of a row. SQLite detects a malformed page, but not a changed byte within a value."""
    return zlib.crc32(b"\0".join(v if isinstance(v, bytes) else str(v).encode() for v in values))


def _meta_checksum(meta: dict[str, int]) -> int:
    return _checksum(*(f"{name}={value}" for name, value in sorted(meta.items()) if name != "sum"))


def _update_meta_checksum(db: sqlite3.Connection) -> None:
    """Recompute the checksum of the counters."""
    meta = dict(db.execute("SELECT name, value FROM meta"))
    db.execute("UPDATE meta SET value = ? WHERE name = 'sum'", (_meta_checksum(meta),))


def _record_row(r: Record) -> tuple:
    row = (r.id, r.kind, r.name, orjson.dumps(r.attrs), r.phase.value, r.since, r.pos, r.at)
    return *row, _checksum(*row)


def _lock(folder: Path, create: bool) -> int:
    """Lock the folder: two control planes that wrote the same store would publish conflicting event numbers."""
    try:
        if create:
            folder.mkdir(parents=True, exist_ok=True)
        handle = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise StoreDamaged(f"{folder}: {error.strerror}: name a writable folder") from None
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(handle)
        raise StoreDamaged(f"{folder} is in use by another control plane: stop that one first") from None
    return handle


def check_integrity(db: sqlite3.Connection, path: Path) -> None:
    """Raise StoreDamaged or sqlite3.DatabaseError if the file is incomplete, damaged, or of a newer program."""
    tables = {row[0] for row in db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
    required = {"meta", "records", "events", "versions", "applies", "steps"}
    advice = "restore a snapshot with `threadhill state restore`"
    if not tables >= required:
        raise StoreDamaged(f"{path} has no table {', '.join(sorted(required - tables))}: it is incomplete; {advice}")
    meta = dict(db.execute("SELECT name, value FROM meta"))
    if meta.get("schema", 0) > SCHEMA:
        raise StoreDamaged(
            f"{path} has schema {meta['schema']} and this program knows {SCHEMA} at most: use the release that "
            "wrote it, or a newer one"
        )
    if not set(INITIAL_COUNTERS) | {"schema", "sum"} <= set(meta):
        raise StoreDamaged(f"{path} is incomplete: counters are missing; {advice}")
    found = db.execute("PRAGMA quick_check(1)").fetchone()[0]
    if found != "ok":
        raise StoreDamaged(f"{path} is damaged ({found}); {advice}")
    newest = "SELECT * FROM events ORDER BY pos DESC LIMIT 2000"  # older ones are checked when they are read
    for *row, stored in itertools.chain(db.execute("SELECT * FROM records"), db.execute(newest)):
        if _checksum(*row) != stored:
            raise StoreDamaged(f"{path} is damaged (the row of {row[0]} was changed); {advice}")
    last = db.execute("SELECT max(pos) FROM events").fetchone()[0] or 0
    row = db.execute("SELECT * FROM versions ORDER BY number DESC LIMIT 1").fetchone()
    if (
        last > meta["pos"]
        or meta["sum"] != _meta_checksum(meta)
        or row is not None
        and str(_checksum(*row[:-1])) != row[-1]
    ):
        raise StoreDamaged(f"{path} is inconsistent: its counters, events and versions do not match; {advice}")


def snapshot(db: sqlite3.Connection, path: Path) -> None:
    """Copy the database, which may be in use. The copy is checked before it is renamed to `path`."""
    part = path.with_name(path.name + ".part")
    part.unlink(missing_ok=True)
    copy = None
    try:
        copy = sqlite3.connect(part)
        db.backup(copy)
        copy.execute("PRAGMA journal_mode = DELETE")
        check_integrity(copy, part)
        copy.close()
        os.replace(part, path)
    except (sqlite3.Error, OSError) as error:
        if copy is not None:
            copy.close()
        part.unlink(missing_ok=True)
        raise WriteFailed(f"{path}: {error}") from None


def open_or_recover(folder: Path, log: Callable[..., None]) -> SqliteStore:
    """Open the store. If it is damaged, replace it by the newest good snapshot in FOLDER/snapshots, else by an empty
    store; the old files are kept beside it. For --adopt, with which nothing is published until an operator decides."""
    try:
        return SqliteStore(folder)
    except StoreDamaged as error:
        if f"{folder} is in use" in str(error):
            raise
        log("store lost", why=str(error))
    (folder / MARKER_FILE).unlink(missing_ok=True)
    for path in sorted((folder / "snapshots").glob("state-*.db"), reverse=True):
        try:
            restore(folder, path)
            log("snapshot restored", file=str(path))
            return SqliteStore(folder)
        except StoreDamaged as error:
            log("snapshot skipped", why=str(error))
    for name in (STORE_FILE, STORE_FILE + "-wal", STORE_FILE + "-shm"):
        if (folder / name).exists():
            os.replace(folder / name, folder / f"replaced.{name}")
    (folder / MARKER_FILE).unlink(missing_ok=True)
    return SqliteStore(folder)


def take_periodic_snapshot(folder: Path, now: int) -> tuple[Path, list[Path]]:
    """Write a checked snapshot to FOLDER/snapshots and delete old ones by age; returns its path and the deleted."""
    snapshots = folder / "snapshots"
    snapshots.mkdir(exist_ok=True)
    path = snapshots / f"state-{now:012d}.db"
    write_snapshot(folder, path)
    times = {
        int(p.stem.removeprefix("state-")): p
        for p in snapshots.glob("state-*.db")
        if p.stem.removeprefix("state-").isdigit()
    }
    deleted = [times[time] for time in expired_snapshots(times, now)]
    for old in deleted:
        old.unlink()
    return path, deleted


def write_snapshot(folder: Path, path: Path) -> None:
    """Write a checked snapshot of a store, which a running control plane may be using."""
    source = folder / STORE_FILE
    if not source.exists():
        raise StoreDamaged(f"{folder} holds no store")
    try:
        db = sqlite3.connect(f"file:{source}?mode=ro", uri=True, timeout=5)
    except sqlite3.Error as error:
        raise StoreDamaged(f"{source}: {error}") from None
    try:
        check_integrity(db, source)
        snapshot(db, path)
    except (sqlite3.DatabaseError, ValueError, TypeError) as error:
        raise StoreDamaged(f"{source}: {error}") from None
    finally:
        db.close()


def restore(folder: Path, path: Path) -> dict[str, int]:
    """Replace the store, which must not be in use, by a snapshot; the old files are kept beside it.

    Event numbers continue after those of the replaced store, if it can still be read: a published number must never be
    published again for another event. Returns the counters of the new store.
    """
    if not path.exists():
        raise StoreDamaged(f"{path}: no such file")
    handle = _lock(folder, create=True)
    try:
        copy = sqlite3.connect(path)
        try:
            check_integrity(copy, path)
        except (sqlite3.DatabaseError, ValueError, TypeError) as error:
            raise StoreDamaged(f"{path}: {error}") from None
        old, target = 0, folder / STORE_FILE
        if target.exists():
            with suppress(sqlite3.Error):
                replaced = sqlite3.connect(target)
                old = replaced.execute("SELECT value FROM meta WHERE name = 'pos'").fetchone()[0]
                replaced.close()
            for name in (STORE_FILE, STORE_FILE + "-wal", STORE_FILE + "-shm"):
                if (folder / name).exists():
                    os.replace(folder / name, folder / f"replaced.{name}")
        snapshot(copy, target)
        copy.close()
        db = sqlite3.connect(target)
        with db:
            # Proxies may have events whose numbers the snapshot lacks: the next number must be higher than those.
            db.execute("UPDATE meta SET value = max(value, ?) + 1 WHERE name = 'pos'", (old,))
            _update_meta_checksum(db)
            meta = dict(db.execute("SELECT name, value FROM meta"))
        db.close()
        (folder / MARKER_FILE).touch()
        return meta
    finally:
        os.close(handle)
