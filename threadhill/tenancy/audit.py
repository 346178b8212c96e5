"""The audit log: a line of JSON for each change and each refused call, its hash made over the one before as well, so
that a line that was altered, left out or put in shows. What hashes can't show is a tail cut off: `verify` tells the
last number and hash, to be held against what was noted elsewhere."""

from __future__ import annotations

import hashlib
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

FIRST = "0" * 64
MOST_LINE = 64 << 10
MOST_TEXT = 4_096  # characters of what was done
TAIL = 1 << 20


def digest(before: str, body: str) -> str:
    return hashlib.sha256(f"{before}\n{body}".encode()).hexdigest()


def line(number: int, at: int, who: str, did: str, what: Any, outcome: int, before: str) -> tuple[str, str]:
    """One line and its hash."""
    body = json.dumps(
        {
            "n": number,
            "at": at,
            "who": who[:200],
            "did": did[:300],
            "outcome": outcome,
            "what": what if len(json.dumps(what)) <= MOST_TEXT else "too long to be kept",
        },
        sort_keys=True,
        separators=(",", ":"),
    )
    found = digest(before, body)
    return json.dumps({"body": body, "hash": found}, separators=(",", ":")) + "\n", found


class Broken(Exception):
    """The log does not hold together; the text says where and how."""


def read_line(raw: str, number: int, before: str) -> tuple[dict[str, Any], str]:
    """A line's body and hash, checked against what comes before it."""
    try:
        outer = json.loads(raw)
        body, found = outer["body"], outer["hash"]
        inner = json.loads(body)
        count = inner["n"]
    except (ValueError, KeyError, TypeError):
        raise Broken(f"line {number}: is no line of an audit log") from None
    if found != digest(before, body):
        raise Broken(f"line {number}: its hash does not fit: it, or the line before it, was altered or left out")
    if count != number:
        raise Broken(f"line {number}: says that it is line {count}")
    return inner, found


def verify(path: Path) -> tuple[int, str]:
    """How many lines, and the last one's hash; Broken where one does not hold."""
    number, before = 0, FIRST
    with path.open(encoding="utf-8", errors="replace") as file:
        for raw in file:
            if len(raw) > MOST_LINE or not raw.endswith("\n"):
                raise Broken(f"line {number + 1}: is cut off or too long")
            number += 1
            _, before = read_line(raw, number, before)
    return number, before


class Log:
    """Appends; goes on from what is there. A line that was cut off by a crash is taken off and told."""

    def __init__(self, path: Path, told: Callable[[str], None]) -> None:
        self.path, self.told = path, told
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        self.file = os.fdopen(descriptor, "r+b")
        self._mend()
        self.number, self.before = verify(path)
        self.file.seek(0, os.SEEK_END)

    def _mend(self) -> None:
        size = os.fstat(self.file.fileno()).st_size
        self.file.seek(max(0, size - TAIL))
        tail = self.file.read()
        if tail and not tail.endswith(b"\n"):
            whole = size - len(tail) + tail.rfind(b"\n") + 1
            self.told(f"audit: {self.path}: {size - whole} bytes of a line that was cut off are taken off its end")
            self.file.truncate(whole)

    def add(self, at: int, who: str, did: str, what: Any, outcome: int) -> None:
        text, found = line(self.number + 1, at, who, did, what, outcome, self.before)
        self.file.write(text.encode())
        self.file.flush()
        os.fsync(self.file.fileno())
        self.number, self.before = self.number + 1, found

    def close(self) -> None:
        self.file.close()
