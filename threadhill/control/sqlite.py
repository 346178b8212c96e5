"""The embedded store: SQLite in WAL mode, in a folder of its own that one control plane holds at a time."""

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
from threadhill.recovery.ages import to_drop

SCHEMA = 2
NAME = "state.db"
MARK = "threadhill.store"  # says that there was a store: an empty file of the name above is no fresh one then
STARTED = {"pos": 0, "serial": 0, "version": 0, "apply": 0, "token": 0}
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
OPEN = "CREATE INDEX IF NOT EXISTS open_applies ON applies (number) WHERE state = 'open';"


def _to_2(db: sqlite3.Connection) -> None:
    """1 -> 2: the one open apply is looked up at each start and after each change of it."""
    db.execute(OPEN)


MIGRATIONS: dict[int, Callable[[sqlite3.Connection], None]] = {1: _to_2}


class Sqlite:
    """The `Store` on SQLite. Opening it checks the whole file; what is wrong is told, and nothing is written then."""

    def __init__(self, folder: Path, create: bool = True, threads: bool = False) -> None:
        self._threads = threads  # used from several, by who sees to it that they take turns
        self.folder, self.path = folder, folder / NAME
        self._lock = _lock(folder, create)
        try:
            self._open(create)
        except BaseException:
            os.close(self._lock)
            raise

    def _open(self, create: bool) -> None:
        mark = self.folder / MARK
        there = self.path.exists() and self.path.stat().st_size > 0
        if mark.exists() and not there:
            raise StoreDamaged(
                f"{self.path} is missing or empty, though there was a store: put a snapshot back with "
                f"`threadhill state restore`, or remove {mark} to begin with nothing"
            )
        if not there and not create:
            raise StoreDamaged(f"{self.folder} holds no store")
        try:
            self.db = sqlite3.connect(self.path, isolation_level=None, timeout=5, check_same_thread=not self._threads)
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = FULL")
            if there:
                check(self.db, self.path)
            else:
                self._create()
        except (sqlite3.DatabaseError, ValueError, TypeError) as error:
            raise StoreDamaged(f"{self.path}: {error}: put a snapshot back with `threadhill state restore`") from None
        mark.touch()
        self._migrate()

    def _create(self) -> None:
        self.db.executescript("BEGIN;" + TABLES + OPEN + "COMMIT;")
        with self._transaction():
            self.db.executemany("INSERT INTO meta VALUES (?, ?)", [*STARTED.items(), ("schema", SCHEMA), ("sum", 0)])
            _sign(self.db)

    def _migrate(self) -> None:
        """Bring an older store up to date, a schema at a time; the file as it was stays beside it."""
        was = self.meta()["schema"]
        if was < SCHEMA:
            self.snapshot(self.folder / f"state.schema-{was}.db")
        for schema in range(was, SCHEMA):
            with self._transaction():
                MIGRATIONS[schema](self.db)
                self.db.execute("UPDATE meta SET value = ? WHERE name = 'schema'", (schema + 1,))
                _sign(self.db)

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
        for pos, line, told in found:
            if _sum(pos, line) != told:
                raise StoreDamaged(
                    f"{self.path} is damaged (event {pos} was changed): put a snapshot back with "
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
            _sign(self.db)
            many("DELETE FROM records WHERE id = ?", [(id,) for id in change.dropped])
            many("INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", map(_row, change.records))
            many("INSERT INTO events VALUES (?, ?, ?)", [(pos, line, _sum(pos, line)) for pos, line in change.events])
            if change.forget_events:
                run("DELETE FROM events WHERE pos <= ?", (change.forget_events,))
            if change.version is not None:
                v = change.version
                run(
                    "INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)",
                    (
                        *(row := (v.number, v.at, v.who, v.why, v.base, orjson.dumps(v.wanted), v.plan, v.state)),
                        str(_sum(*row)),
                    ),
                )
            if change.apply is not None:
                a = change.apply
                # The plan is written once: it is large, and the lease is renewed often.
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


def _sum(*values: object) -> int:
    """CRC-32 of a row: the database finds a broken page by its form, but not a changed byte of what it holds."""
    return zlib.crc32(b"\0".join(v if isinstance(v, bytes) else str(v).encode() for v in values))


def _meta_sum(meta: dict[str, int]) -> int:
    return _sum(*(f"{name}={value}" for name, value in sorted(meta.items()) if name != "sum"))


def _sign(db: sqlite3.Connection) -> None:
    """Set the sum over the counters anew."""
    meta = dict(db.execute("SELECT name, value FROM meta"))
    db.execute("UPDATE meta SET value = ? WHERE name = 'sum'", (_meta_sum(meta),))


def _row(r: Record) -> tuple:
    row = (r.id, r.kind, r.name, orjson.dumps(r.attrs), r.phase.value, r.since, r.pos, r.at)
    return *row, _sum(*row)


def _lock(folder: Path, create: bool) -> int:
    """Hold the folder: two that write the same store would each publish numbers of its own."""
    try:
        if create:
            folder.mkdir(parents=True, exist_ok=True)
        handle = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as error:
        raise StoreDamaged(f"{folder}: {error.strerror}: name a folder that can be written") from None
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(handle)
        raise StoreDamaged(f"{folder} is in use: another control plane holds it; stop that one first") from None
    return handle


def check(db: sqlite3.Connection, path: Path) -> None:
    """Raises Damaged or sqlite3.DatabaseError where the file is not whole, or is of a newer program."""
    names = {row[0] for row in db.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
    wanted = {"meta", "records", "events", "versions", "applies", "steps"}
    advice = "put a snapshot back with `threadhill state restore`"
    if not names >= wanted:
        raise StoreDamaged(f"{path} lacks {', '.join(sorted(wanted - names))}: it was made only in part; {advice}")
    meta = dict(db.execute("SELECT name, value FROM meta"))
    if meta.get("schema", 0) > SCHEMA:
        raise StoreDamaged(
            f"{path} has schema {meta['schema']} and this program knows {SCHEMA}: start the program that "
            "wrote it, or a newer one"
        )
    if not set(STARTED) | {"schema", "sum"} <= set(meta):
        raise StoreDamaged(f"{path} was made only in part; {advice}")
    found = db.execute("PRAGMA quick_check(1)").fetchone()[0]
    if found != "ok":
        raise StoreDamaged(f"{path} is damaged ({found}); {advice}")
    newest = "SELECT * FROM events ORDER BY pos DESC LIMIT 2000"  # others are checked when they are read
    for *row, told in itertools.chain(db.execute("SELECT * FROM records"), db.execute(newest)):
        if _sum(*row) != told:
            raise StoreDamaged(f"{path} is damaged (the row of {row[0]} was changed); {advice}")
    last = db.execute("SELECT max(pos) FROM events").fetchone()[0] or 0
    row = db.execute("SELECT * FROM versions ORDER BY number DESC LIMIT 1").fetchone()
    if last > meta["pos"] or meta["sum"] != _meta_sum(meta) or row is not None and str(_sum(*row[:-1])) != row[-1]:
        raise StoreDamaged(f"{path} does not fit together; {advice}")


def snapshot(db: sqlite3.Connection, path: Path) -> None:
    """Copy the database, while it is written to or not; the copy is checked before it takes its name."""
    part = path.with_name(path.name + ".part")
    part.unlink(missing_ok=True)
    copy = None
    try:
        copy = sqlite3.connect(part)
        db.backup(copy)
        copy.execute("PRAGMA journal_mode = DELETE")
        check(copy, part)
        copy.close()
        os.replace(part, path)
    except (sqlite3.Error, OSError) as error:
        if copy is not None:
            copy.close()
        part.unlink(missing_ok=True)
        raise WriteFailed(f"{path}: {error}") from None


def open_or_set_aside(folder: Path, log: Callable[..., None]) -> Sqlite:
    """The store; where it can't be served from, the newest good snapshot in FOLDER/snapshots in its place, else an
    empty one. What was there is kept beside it. For a start in which nothing is told before an operator has decided."""
    try:
        return Sqlite(folder)
    except StoreDamaged as error:
        if f"{folder} is in use" in str(error):
            raise
        log("store lost", why=str(error))
    (folder / MARK).unlink(missing_ok=True)
    for path in sorted((folder / "snapshots").glob("state-*.db"), reverse=True):
        try:
            restore(folder, path)
            log("snapshot taken", file=str(path))
            return Sqlite(folder)
        except StoreDamaged as error:
            log("snapshot passed by", why=str(error))
    for name in (NAME, NAME + "-wal", NAME + "-shm"):
        if (folder / name).exists():
            os.replace(folder / name, folder / f"replaced.{name}")
    (folder / MARK).unlink(missing_ok=True)
    return Sqlite(folder)


def keep_snapshot(folder: Path, now: int) -> tuple[Path, list[Path]]:
    """Take a checked snapshot into FOLDER/snapshots, and let go of those that their age says; both are returned."""
    place = folder / "snapshots"
    place.mkdir(exist_ok=True)
    path = place / f"state-{now:012d}.db"
    take_snapshot(folder, path)
    times = {
        int(p.stem.removeprefix("state-")): p
        for p in place.glob("state-*.db")
        if p.stem.removeprefix("state-").isdigit()
    }
    gone = [times[time] for time in to_drop(times, now)]
    for old in gone:
        old.unlink()
    return path, gone


def take_snapshot(folder: Path, path: Path) -> None:
    """A snapshot of a store that a control plane may be serving from meanwhile."""
    source = folder / NAME
    if not source.exists():
        raise StoreDamaged(f"{folder} holds no store")
    try:
        db = sqlite3.connect(f"file:{source}?mode=ro", uri=True, timeout=5)
    except sqlite3.Error as error:
        raise StoreDamaged(f"{source}: {error}") from None
    try:
        check(db, source)
        snapshot(db, path)
    except (sqlite3.DatabaseError, ValueError, TypeError) as error:
        raise StoreDamaged(f"{source}: {error}") from None
    finally:
        db.close()


def restore(folder: Path, path: Path) -> dict[str, int]:
    """Put a snapshot in the place of the store, which nobody may be serving from; what was there is kept beside it.

    Event numbers go on behind those of the store that is replaced, where it can still be read: a number that was told
    once must never be told for something else. The counters of the new store are returned.
    """
    if not path.exists():
        raise StoreDamaged(f"{path}: there is no such file")
    handle = _lock(folder, create=True)
    try:
        copy = sqlite3.connect(path)
        try:
            check(copy, path)
        except (sqlite3.DatabaseError, ValueError, TypeError) as error:
            raise StoreDamaged(f"{path}: {error}") from None
        old, target = 0, folder / NAME
        if target.exists():
            with suppress(sqlite3.Error):
                was = sqlite3.connect(target)
                old = was.execute("SELECT value FROM meta WHERE name = 'pos'").fetchone()[0]
                was.close()
            for name in (NAME, NAME + "-wal", NAME + "-shm"):
                if (folder / name).exists():
                    os.replace(folder / name, folder / f"replaced.{name}")
        snapshot(copy, target)
        copy.close()
        db = sqlite3.connect(target)
        with db:
            # Proxies have events of numbers that the snapshot does not know: the next one stands clear of them.
            db.execute("UPDATE meta SET value = max(value, ?) + 1 WHERE name = 'pos'", (old,))
            _sign(db)
            meta = dict(db.execute("SELECT name, value FROM meta"))
        db.close()
        (folder / MARK).touch()
        return meta
    finally:
        os.close(handle)
