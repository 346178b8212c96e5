"""Stores cordons in a file in `$TMPDIR`, shared by the processes of one proxy across an upgrade: a new process starts
with the cordons of the old one, and while both run each applies the changes made through the other.

The file holds the last change of each server with its time. A process that has a change to make locks the file, reads
it, merges its own changes into it and replaces it, so that no change of another process is overwritten. Of two changes
of one server the later one holds; a server that the file does not name is one of which the file knows nothing.

The file is replaced atomically, so that a reader never sees a partial one. A file whose contents are not valid is
renamed, not deleted, the log names it, and the process writes what it knows itself to a new one.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from threadhill.files import FileVersion, exclusive_lock, file_version, replace_atomically

FILE_NAME = "threadhill-cordons.json"
LOCK_NAME = "threadhill-cordons.lock"  # a file of its own, as the other one is replaced by each change
LOCK_WAIT_SECONDS = 0.05  # for another process that writes; the event loop stands still meanwhile
MAX_FILE_BYTES = 1 << 20  # far more than any list of names needs
MAX_UNCORDONED = 4_096  # servers put back that the file names; the latest ones are kept
UNTIMED_AGE = 1_000_000  # microseconds: age given to cordons written by versions that stored no time with them


@dataclass(frozen=True, slots=True)
class CordonChange:
    """The last change of one server."""

    cordoned: bool  # False: it was put back
    at: int  # microseconds of the machine's monotonic clock, which all its processes share


Changes = dict[str, CordonChange]  # by the server's name


def _parse(raw: bytes, now: int) -> Changes:
    """Parse the file's contents; raises ValueError if they are not valid."""
    document = orjson.loads(raw)
    if not isinstance(document, dict):
        raise ValueError("it is not a JSON object")
    out = document.get("out", [])
    if not isinstance(out, list) or not all(isinstance(name, str) and name for name in out):
        raise ValueError('"out" is not a list of names')
    out_at, back = _times(document, "out_at"), _times(document, "back")
    changes = {name: CordonChange(False, at) for name, at in back.items()}
    for name in out:
        at = out_at.get(name, max(0, now - UNTIMED_AGE))
        if name not in changes or changes[name].at < at:
            changes[name] = CordonChange(True, at)
    return changes


def _times(document: dict[str, Any], key: str) -> dict[str, int]:
    times = document.get(key, {})
    if not isinstance(times, dict) or not all(isinstance(at, int) and at >= 0 for at in times.values()):
        raise ValueError(f'"{key}" is not an object of names and times')
    return times


def _format(changes: Changes) -> bytes:
    """The file's contents. "out" alone, without the times, is what earlier versions read."""
    out = {name: change.at for name, change in sorted(changes.items()) if change.cordoned}
    back = {name: change.at for name, change in sorted(changes.items()) if not change.cordoned}
    return orjson.dumps({"out": list(out), "out_at": out, "back": back})


class CordonFile:
    """The changes that this process knows, kept in step with the file."""

    def __init__(self, folder: Path, log: Callable[[str], None], now: Callable[[], int]) -> None:
        """`now` returns the machine's monotonic clock in microseconds."""
        self.path, self.lock_path, self.log, self.now = folder / FILE_NAME, folder / LOCK_NAME, log, now
        self.changes: Changes = {}
        self._version: FileVersion | None = None  # as last read or written
        self._unwritten = False  # a change of this process is not in the file yet
        self._failure_logged = False

    def assume_cordoned(self, name: str) -> None:
        """A server that this process holds cordoned from another source, at an unknown time: any change that the file
        has of it is later."""
        self.changes.setdefault(name, CordonChange(True, 0))
        self._unwritten = True

    def record(self, name: str, cordoned: bool) -> Changes:
        """Record a change made through this process; returns the changes of others, as `refresh` does. If the file
        cannot be written, `refresh` tries again, and the change is in force in this process meanwhile."""
        known = self.changes.get(name)
        at = self.now()
        if known is not None:
            at = max(at, known.at + 1)  # times from before a reboot may lie ahead
        self.changes[name] = CordonChange(cordoned, at)
        self._unwritten = True
        return self._exchange(LOCK_WAIT_SECONDS)

    def refresh(self) -> Changes:
        """Take over what other processes changed since the last call, and write what is not written yet. Returns the
        changes of others, which the caller applies."""
        if not self._unwritten and file_version(self.path) == self._version:
            return {}
        return self._exchange(0.0)

    def _exchange(self, lock_wait: float) -> Changes:
        """Merge the file into what is known, and the other way round."""
        before = dict(self.changes)
        try:
            if self._unwritten or not self._take_over():
                self._write_merged(lock_wait)
        except OSError as error:
            self._unwritten = True
            if not self._failure_logged:
                self.log(
                    f"cordons: {self.path}: not written: {error}; the cordons are in force in this process, but "
                    "one that starts now will not load them; it is tried again until it succeeds"
                )
            self._failure_logged = True
        else:
            if self._failure_logged:
                self.log(f"cordons: {self.path}: written again")
            self._unwritten = self._failure_logged = False
        return {name: change for name, change in self.changes.items() if before.get(name) != change}

    def _take_over(self) -> bool:
        """Merge the file into what is known, without the lock; False if the file does not hold all that is known."""
        version = file_version(self.path)
        try:
            stored = self._read()
        except ValueError:
            return False
        self._merge(stored)
        self._version = version
        return self.changes == stored

    def _write_merged(self, lock_wait: float) -> None:
        """Merge both ways as one step: no other process writes between the reading and the writing."""
        with exclusive_lock(self.lock_path, lock_wait):
            try:
                stored = self._read()
            except ValueError as error:
                self._set_aside(error)
                stored = {}
            self._merge(stored)
            if self.changes != stored:
                replace_atomically(self.path, _format(self.changes), sync=True)
            self._version = file_version(self.path)

    def _read(self) -> Changes:
        """The changes in the file; none if there is no file. Raises ValueError if its contents are not valid."""
        try:
            raw = self.path.read_bytes()
        except FileNotFoundError:
            return {}
        if len(raw) > MAX_FILE_BYTES:
            raise ValueError(f"it is larger than {MAX_FILE_BYTES} bytes")
        return _parse(raw, self.now())

    def _set_aside(self, error: ValueError) -> None:
        aside = self.path.with_suffix(".damaged")
        os.replace(self.path, aside)
        self.log(
            f"cordons: {self.path}: cannot be read: {error}; it is kept as {aside}, and its cordons are not "
            f"loaded; {sum(change.cordoned for change in self.changes.values())} that this process knows stay in "
            "force: cordon again the other servers that are to stay out of rotation"
        )

    def _merge(self, stored: Changes) -> None:
        """Take over the later change of each server, and drop the earliest of too many that were put back."""
        for name, change in stored.items():
            known = self.changes.get(name)
            if known is None or known.at < change.at:
                self.changes[name] = change
        back = sorted((change.at, name) for name, change in self.changes.items() if not change.cordoned)
        for _, name in back[:-MAX_UNCORDONED]:
            del self.changes[name]
