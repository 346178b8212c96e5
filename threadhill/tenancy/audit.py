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

INITIAL_HASH = "0" * 64
MAX_LINE = 64 << 10
MAX_DETAIL = 4_096  # characters of what was done
TAIL_BYTES = 1 << 20


def chain_hash(previous_hash: str, body: str) -> str:
    return hashlib.sha256(f"{previous_hash}\n{body}".encode()).hexdigest()


def format_line(
    number: int, at: int, actor: str, action: str, detail: Any, outcome: int, previous_hash: str
) -> tuple[str, str]:
    """One line and its hash."""
    body = json.dumps(
        {
            "n": number,
            "at": at,
            "who": actor[:200],
            "did": action[:300],
            "outcome": outcome,
            "what": detail if len(json.dumps(detail)) <= MAX_DETAIL else "too long to be kept",
        },
        sort_keys=True,
        separators=(",", ":"),
    )
    line_hash = chain_hash(previous_hash, body)
    return json.dumps({"body": body, "hash": line_hash}, separators=(",", ":")) + "\n", line_hash


class CorruptLog(Exception):
    """The log does not hold together; the text says where and how."""


def read_line(raw: str, number: int, previous_hash: str) -> tuple[dict[str, Any], str]:
    """A line's body and hash, checked against what comes before it."""
    try:
        outer = json.loads(raw)
        body, line_hash = outer["body"], outer["hash"]
        inner = json.loads(body)
        count = inner["n"]
    except (ValueError, KeyError, TypeError):
        raise CorruptLog(f"line {number}: is no line of an audit log") from None
    if line_hash != chain_hash(previous_hash, body):
        raise CorruptLog(f"line {number}: its hash does not fit: it, or the line before it, was altered or left out")
    if count != number:
        raise CorruptLog(f"line {number}: says that it is line {count}")
    return inner, line_hash


def verify(path: Path) -> tuple[int, str]:
    """How many lines, and the last one's hash; CorruptLog where one does not hold."""
    number, last_hash = 0, INITIAL_HASH
    with path.open(encoding="utf-8", errors="replace") as file:
        for raw in file:
            if len(raw) > MAX_LINE or not raw.endswith("\n"):
                raise CorruptLog(f"line {number + 1}: is cut off or too long")
            number += 1
            _, last_hash = read_line(raw, number, last_hash)
    return number, last_hash


class AuditLog:
    """Appends; goes on from what is there. A line that was cut off by a crash is taken off and told."""

    def __init__(self, path: Path, log: Callable[[str], None]) -> None:
        self.path, self.log = path, log
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        self.file = os.fdopen(descriptor, "r+b")
        self._truncate_partial_line()
        self.last_number, self.last_hash = verify(path)
        self.file.seek(0, os.SEEK_END)

    def _truncate_partial_line(self) -> None:
        size = os.fstat(self.file.fileno()).st_size
        self.file.seek(max(0, size - TAIL_BYTES))
        tail = self.file.read()
        if tail and not tail.endswith(b"\n"):
            kept_size = size - len(tail) + tail.rfind(b"\n") + 1
            self.log(f"audit: {self.path}: {size - kept_size} bytes of a line that was cut off are taken off its end")
            self.file.truncate(kept_size)

    def add(self, at: int, actor: str, action: str, detail: Any, outcome: int) -> None:
        text, line_hash = format_line(self.last_number + 1, at, actor, action, detail, outcome, self.last_hash)
        self.file.write(text.encode())
        self.file.flush()
        os.fsync(self.file.fileno())
        self.last_number, self.last_hash = self.last_number + 1, line_hash

    def close(self) -> None:
        self.file.close()
