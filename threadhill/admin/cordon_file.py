"""Cordons kept in `$TMPDIR`, which the processes of one proxy share across an upgrade: a new process starts with
what the old one was told, and each takes up what the other was told while both run.

The file is written whole to a file beside it and renamed over it, so that a reader never sees half of one. A file
that cannot be read is set aside, not deleted, and the log says which and what to do.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from threadhill.files import FileVersion, file_version, replace_atomically

NAME = "threadhill-cordons.json"
MOST = 1 << 20  # bytes that the file may have: far more than any list of names


@dataclass(slots=True)
class SavedCordons:
    cordoned: set[str] = field(default_factory=set)
    # Recently uncordoned names, with the time of that in monotonic microseconds.
    uncordoned_at: dict[str, int] = field(default_factory=dict)


def _read(raw: bytes) -> SavedCordons:
    """The contents; ValueError with what is wrong."""
    told = orjson.loads(raw)
    if not isinstance(told, dict):
        raise ValueError("it is not a JSON object")
    out, back = told.get("out", []), told.get("back", {})
    if not isinstance(out, list) or not all(isinstance(name, str) and name for name in out):
        raise ValueError('"out" is not a list of names')
    if not isinstance(back, dict) or not all(isinstance(at, int) and at >= 0 for at in back.values()):
        raise ValueError('"back" is not an object of names and times')
    return SavedCordons(set(out), dict(back))


class CordonFile:
    """The one file, and what was last seen of it."""

    def __init__(self, folder: Path, log: Callable[[str], None]) -> None:
        self.path, self.log = folder / NAME, log
        self._seen: FileVersion | None = None  # of the version last read or written
        self._unwritten: bytes | None = None  # what the folder did not take yet
        self._told = False  # its failure was logged

    def changed(self) -> bool:
        """Whether another process wrote it since it was last read or written here."""
        return file_version(self.path) != self._seen

    def read(self) -> SavedCordons | None:
        """What it holds; None where there is none, or it cannot be read (then it is set aside and logged)."""
        self._seen = file_version(self.path)
        if self._seen is None:
            return None
        try:
            if self._seen[1] > MOST:
                raise ValueError(f"it has over {MOST} bytes")
            return _read(self.path.read_bytes())
        except (OSError, ValueError) as error:
            aside = self.path.with_suffix(".damaged")
            try:
                os.replace(self.path, aside)
            except OSError:
                aside = self.path
            self.log(
                f"cordons: {self.path}: cannot be read: {error}; it is kept as {aside}, and no server is out by "
                "hand: cordon again those that are to stay out"
            )
            self._seen = file_version(self.path)
            return None

    def write(self, saved: dict[str, Any], monotonic: Callable[[int], int]) -> None:
        """Replace it whole. Times are written as `monotonic` turns them: all processes of a machine share that clock,
        while the wall clock may be stepped between two of them. What cannot be written is kept and tried again by
        `retry`; the cordons hold in memory meanwhile."""
        back = {name: max(0, monotonic(at)) for name, at in saved["back"].items()}
        self._unwritten = orjson.dumps(saved | {"back": back})
        self.retry()

    @property
    def has_unwritten(self) -> bool:
        """Whether the file lacks what this process was told last: it must not be read over that."""
        return self._unwritten is not None

    def retry(self) -> None:
        """Write what could not be written yet, if anything."""
        if self._unwritten is None:
            return
        try:
            replace_atomically(self.path, self._unwritten)
        except OSError as error:
            if not self._told:
                self.log(
                    f"cordons: {self.path}: not written: {error}; they hold in this process, one that starts now "
                    "will not know them; it is tried again until it is written"
                )
            self._told = True
            return
        if self._told:
            self.log(f"cordons: {self.path}: written again")
        self._unwritten, self._told = None, False
        self._seen = file_version(self.path)
