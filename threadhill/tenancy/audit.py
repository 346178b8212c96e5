"""The audit log: one line of JSON for each change and each refused call. The hash of each line covers the hash of the
line before, so that altered, missing or inserted lines are detected. The hash chain does not detect a truncated log:
`verify` returns the last number and hash, to be compared with a record kept elsewhere."""

from __future__ import annotations

import fcntl
import hashlib
import json
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

INITIAL_HASH = "0" * 64
MAX_LINE = 64 << 10  # characters
MAX_DETAIL = 4_096  # characters of a line's detail as JSON; a longer one is not kept
TAIL_BYTES = 1 << 20  # searched from the end of the file for a partial line


def chain_hash(previous_hash: str, body: str) -> str:
    return hashlib.sha256(f"{previous_hash}\n{body}".encode()).hexdigest()


def format_line(
    number: int, at: int, actor: str, action: str, detail: Any, outcome: int, previous_hash: str
) -> tuple[str, str]:
    """Return one line and its hash."""
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
    """The log fails verification; the text says at which line and why."""


class LogInUse(Exception):
    """Another process writes the log."""


def read_line(raw: str, number: int, previous_hash: str) -> tuple[dict[str, Any], str]:
    """Return a line's body and hash, verified against its number and the hash of the line before."""
    try:
        outer = json.loads(raw)
        body, line_hash = outer["body"], outer["hash"]
        inner = json.loads(body)
        count = inner["n"]
    except (ValueError, KeyError, TypeError):
        raise CorruptLog(f"line {number}: is not a line of an audit log") from None
    if line_hash != chain_hash(previous_hash, body):
        raise CorruptLog(
            f"line {number}: its hash does not match: this line or the one before it was altered or removed"
        )
    if count != number:
        raise CorruptLog(f"line {number}: is numbered {count}")
    return inner, line_hash


def verify(path: Path) -> tuple[int, str]:
    """Return the number of lines and the hash of the last one; raises CorruptLog at the first line that fails."""
    number, last_hash = 0, INITIAL_HASH
    with path.open(encoding="utf-8", errors="replace") as file:
        for raw in file:
            if len(raw) > MAX_LINE or not raw.endswith("\n"):
                raise CorruptLog(f"line {number + 1}: is cut off or too long")
            number += 1
            _, last_hash = read_line(raw, number, last_hash)
    return number, last_hash


class AuditLog:
    """Appends to a log file, after its existing lines. A partial last line, left by a crash, is removed and logged. The
    file is locked until it is closed, or the process ends: each line depends on the one before it."""

    def __init__(self, path: Path, log: Callable[[str], None]) -> None:
        self.path, self.log = path, log
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        self.file = os.fdopen(descriptor, "r+b")
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.file.close()
            raise LogInUse("it is in use by another process: stop that one first, or name another file") from None
        self._truncate_partial_line()
        self.last_number, self.last_hash = verify(path)
        self.file.seek(0, os.SEEK_END)

    def _truncate_partial_line(self) -> None:
        size = os.fstat(self.file.fileno()).st_size
        self.file.seek(max(0, size - TAIL_BYTES))
        tail = self.file.read()
        if tail and not tail.endswith(b"\n"):
            kept_size = size - len(tail) + tail.rfind(b"\n") + 1
            self.log(
                f"audit: {self.path}: {size - kept_size} bytes of a line that was cut off were removed from its end"
            )
            self.file.truncate(kept_size)

    def add(self, at: int, actor: str, action: str, detail: Any, outcome: int) -> None:
        """Append a line and sync it to disk."""
        text, line_hash = format_line(self.last_number + 1, at, actor, action, detail, outcome, self.last_hash)
        self.file.write(text.encode())
        self.file.flush()
        os.fsync(self.file.fileno())
        self.last_number, self.last_hash = self.last_number + 1, line_hash

    def close(self) -> None:
        self.file.close()
