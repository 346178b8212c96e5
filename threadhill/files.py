"""What all files that a running program looks at again have in common: whether they changed, and who may read them."""

from __future__ import annotations

import os
import stat
from contextlib import suppress
from pathlib import Path

from threadhill.settings import Malformed

FileVersion = tuple[int, int, int]
MAX_SECRET_BYTES = 1 << 20  # bytes of a file with a secret in it


def file_version(path: Path) -> FileVersion | None:
    """What tells one version of a file from the next: inode, size and time of its last change; None where it is not."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_ino, found.st_size, found.st_mtime_ns


def replace_atomically(path: Path, raw: bytes) -> None:
    """Write a file beside this one and rename it over it, so that a reader never sees half of one. OSError where the
    folder does not take it: then the old file stands, and nothing half written is left."""
    beside = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        beside.write_bytes(raw)
        os.replace(beside, path)
    except OSError:
        with suppress(OSError):
            beside.unlink()
        raise


def check_private(path: Path, most: int = MAX_SECRET_BYTES) -> None:
    """A secret that others may read is none: Malformed says what to do."""
    found = os.stat(path)
    if found.st_mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise Malformed(
            f"{path}: others than its owner may read or write it (mode {stat.S_IMODE(found.st_mode):04o}); "
            f"chmod 600 {path}"
        )
    if found.st_size > most:
        raise Malformed(f"{path}: has over {most} bytes, which is no such file")
