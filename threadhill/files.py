"""Helpers for files that a running program reads again: detect changes, lock, replace atomically, check permissions."""

from __future__ import annotations

import errno
import fcntl
import os
import stat
import time
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager, suppress
from pathlib import Path

from threadhill.settings import Malformed

FileVersion = tuple[int, int, int]
MAX_SECRET_BYTES = 1 << 20  # size limit of a file that holds a secret
LOCK_RETRY_SECONDS = 0.001  # between attempts to lock a file
COMMAND_LOCK_SECONDS = 10.0  # for which a command waits for another run that changes the same file


def file_version(path: Path) -> FileVersion | None:
    """The version of a file: inode, size and modification time. None if the file cannot be read."""
    try:
        found = os.stat(path)
    except OSError:
        return None
    return found.st_ino, found.st_size, found.st_mtime_ns


@contextmanager
def exclusive_lock(path: Path, wait_seconds: float) -> Iterator[None]:
    """Hold the lock of this file, which is created if there is none, against other processes while the block runs. The
    lock ends with the process that holds it. Raises OSError (EAGAIN) if another process holds it for `wait_seconds`."""
    end = time.monotonic() + wait_seconds
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
    try:
        while True:
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if time.monotonic() >= end:
                    raise OSError(errno.EAGAIN, "another process holds its lock", str(path)) from None
            time.sleep(LOCK_RETRY_SECONDS)
        yield
    finally:
        os.close(descriptor)


def replace_atomically(path: Path, raw: bytes, sync: bool = False) -> None:
    """Write a temporary file next to this one and rename it over it, so that a reader never sees a partial file. On
    OSError the old file is unchanged and the temporary file is removed. `sync`: it is on disk before the call returns,
    so that a crash of the machine leaves the old or the new contents."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    try:
        temporary.write_bytes(raw)
        if sync:
            _sync(temporary)
        os.replace(temporary, path)
        if sync:
            _sync(path.parent)
    except OSError:
        with suppress(OSError):
            temporary.unlink()
        raise


def replace_private(path: Path, text: str) -> None:
    """Replace a file that holds a secret: readable by its owner only from the start, never partial, and on disk before
    the call returns."""
    temporary = path.with_name(f".{path.name}.{os.getpid()}")
    temporary.unlink(missing_ok=True)
    try:
        with os.fdopen(os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError:
        with suppress(OSError):
            temporary.unlink()
        raise


def command_lock(path: Path) -> AbstractContextManager[None]:
    """Lock a file against other runs of a command that read, change and replace it. Raises OSError if another run takes
    too long."""
    return exclusive_lock(path.with_name(f".{path.name}.lock"), COMMAND_LOCK_SECONDS)


def _sync(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


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
