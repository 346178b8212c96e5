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

import orjson

from threadhill.files import Stamp, stamp

NAME = "threadhill-cordons.json"
MOST = 1 << 20  # bytes that the file may have: far more than any list of names


@dataclass(slots=True)
class Saved:
    out: set[str] = field(default_factory=set)  # names out by hand
    back: dict[str, int] = field(default_factory=dict)  # names put back lately, and when, in Unix microseconds


def _read(raw: bytes) -> Saved:
    """The contents; ValueError with what is wrong."""
    told = orjson.loads(raw)
    if not isinstance(told, dict):
        raise ValueError("it is not a JSON object")
    out, back = told.get("out", []), told.get("back", {})
    if not isinstance(out, list) or not all(isinstance(name, str) and name for name in out):
        raise ValueError('"out" is not a list of names')
    if not isinstance(back, dict) or not all(isinstance(at, int) and at >= 0 for at in back.values()):
        raise ValueError('"back" is not an object of names and times')
    return Saved(set(out), dict(back))


class CordonFile:
    """The one file, and what was last seen of it."""

    def __init__(self, folder: Path, log: Callable[[str], None]) -> None:
        self.path, self.log = folder / NAME, log
        self._seen: Stamp | None = None  # of the version last read or written

    def changed(self) -> bool:
        """Whether another process wrote it since it was last read or written here."""
        return stamp(self.path) != self._seen

    def read(self) -> Saved | None:
        """What it holds; None where there is none, or it cannot be read (then it is set aside and logged)."""
        self._seen = stamp(self.path)
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
            self.log(f"cordons: {self.path}: cannot be read: {error}; it is kept as {aside}, and no server is out by "
                     "hand: cordon again those that are to stay out")
            self._seen = stamp(self.path)
            return None

    def write(self, saved: dict[str, object]) -> None:
        """Replace it whole; a failure is logged and leaves the old one, since the cordons hold in memory anyway."""
        beside = self.path.with_name(f".{NAME}.{os.getpid()}")
        try:
            beside.write_bytes(orjson.dumps(saved))
            os.replace(beside, self.path)
        except OSError as error:
            self.log(f"cordons: {self.path}: not written: {error}; a process that starts now will not know them")
            return
        self._seen = stamp(self.path)
