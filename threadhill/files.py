"""Helpers for files that a running program reads again: detect changes, replace atomically, check permissions."""

from __future__ import annotations

import os
import stat
from contextlib import suppress
from pathlib import Path

from threadhill.settings import Malformed

FileVersion = tuple[int, int, int]
MAX_SECRET_BYTES = 1 << 20  # size limit of a file that holds a secret


def file_version(path: Path) -> FileVersion | None:
    """The version of a file: inode, size and modification time. None if the file cannot be read."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_ino, found.st_size, found.st_mtime_ns


def replace_atomically(path: Path, raw: bytes) -> None:
    """Write a temporary file next to this one and rename it over it, so that a reader never sees a partial file. On
    OSError the old file is unchanged and the temporary file is removed."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_bytes(raw)
        os.replace(temporary, path)
    except OSError:
        with suppress(OSError):
            temporary.unlink()
        raise


def check_private(path: Path, max_size: int = MAX_SECRET_BYTES) -> None:
    """Raise Malformed if others than the owner can access the file, or if it is too large."""
    found = os.stat(path)
    if found.st_mode & (stat.S_IRWXG | stat.S_IRWXO):
        raise Malformed(
            f"{path}: others than its owner may read or write it (mode {stat.S_IMODE(found.st_mode):04o}); "
            f"chmod 600 {path}"
        )
    if found.st_size > max_size:
        raise Malformed(f"{path}: is too large: over {max_size} bytes")
