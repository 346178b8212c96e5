"""Stores cordons in a file in `$TMPDIR`, shared by the processes of one proxy across an upgrade: a new process starts
with the cordons of the old one, and while both run each applies the changes made through the other.

The file is replaced atomically (written beside it, then renamed), so that a reader never sees a partial one. A file
that cannot be read is renamed, not deleted, and the log names it and says what to do.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from threadhill.files import FileVersion, file_version, replace_atomically

FILE_NAME = "threadhill-cordons.json"
MAX_FILE_BYTES = 1 << 20  # far more than any list of names needs


@dataclass(slots=True)
class SavedCordons:
    """The contents of the cordon file."""

    cordoned: set[str] = field(default_factory=set)
    # Recently uncordoned names, with the time of that in monotonic microseconds.
    uncordoned_at: dict[str, int] = field(default_factory=dict)


def _read(raw: bytes) -> SavedCordons:
    """Parse the file's contents; raises ValueError if they are not valid."""
    document = orjson.loads(raw)
    if not isinstance(document, dict):
        raise ValueError("it is not a JSON object")
    out, back = document.get("out", []), document.get("back", {})
    if not isinstance(out, list) or not all(isinstance(name, str) and name for name in out):
        raise ValueError('"out" is not a list of names')
    if not isinstance(back, dict) or not all(isinstance(at, int) and at >= 0 for at in back.values()):
        raise ValueError('"back" is not an object of names and times')
    return SavedCordons(set(out), dict(back))


class CordonFile:
    """Reads and writes the file, and detects changes by other processes."""

    def __init__(self, folder: Path, log: Callable[[str], None]) -> None:
        self.path, self.log = folder / FILE_NAME, log
        self._version: FileVersion | None = None  # as last read or written
        self._unwritten: bytes | None = None  # contents of a write that failed and is to be retried
        self._failure_logged = False

    def changed(self) -> bool:
        """Whether another process wrote the file since this one last read or wrote it."""
        return file_version(self.path) != self._version

    def read(self) -> SavedCordons | None:
        """Return the contents; None if there is no file or it cannot be read (then it is renamed and logged)."""
        self._version = file_version(self.path)
        if self._version is None:
            return None
        try:
            if self._version[1] > MAX_FILE_BYTES:
                raise ValueError(f"it is larger than {MAX_FILE_BYTES} bytes")
            return _read(self.path.read_bytes())
        except (OSError, ValueError) as error:
            aside = self.path.with_suffix(".damaged")
            try:
                os.replace(self.path, aside)
            except OSError:
                aside = self.path
            self.log(
                f"cordons: {self.path}: cannot be read: {error}; it is kept as {aside}, and its cordons are not "
                "loaded: cordon again the servers that are to stay out of rotation"
            )
            self._version = file_version(self.path)
            return None

    def write(self, saved: dict[str, Any], monotonic: Callable[[int], int]) -> None:
        """Replace the contents. `monotonic` converts times to the machine's monotonic clock, which all its processes
        share, while the wall clock may be stepped between two of them. If the write fails, `retry` repeats it; the
        cordons stay in force in memory meanwhile."""
        back = {name: max(0, monotonic(at)) for name, at in saved["back"].items()}
        self._unwritten = orjson.dumps(saved | {"back": back})
        self.retry()

    @property
    def has_unwritten(self) -> bool:
        """Whether a change of this process is not written yet; reading the file now would undo that change."""
        return self._unwritten is not None

    def retry(self) -> None:
        """Repeat a write that failed, if there is one."""
        if self._unwritten is None:
            return
        try:
            replace_atomically(self.path, self._unwritten)
        except OSError as error:
            if not self._failure_logged:
                self.log(
                    f"cordons: {self.path}: not written: {error}; the cordons are in force in this process, but "
                    "one that starts now will not load them; it is tried again until it succeeds"
                )
            self._failure_logged = True
            return
        if self._failure_logged:
            self.log(f"cordons: {self.path}: written again")
        self._unwritten, self._failure_logged = None, False
        self._version = file_version(self.path)
