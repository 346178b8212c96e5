"""The ids of requests that must not run twice, kept after their client has left: one that comes again is not sent.

The table is a fixed block of memory. Where a second process of this proxy may run, in an upgrade, it is a file in
`$TMPDIR` that both map, so that an id that one of them took is known to the other.
"""

from __future__ import annotations

import mmap
import os
import struct
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, nullcontext
from pathlib import Path

from threadhill.files import exclusive_lock

FILE_NAME = "threadhill-ids.table"
LOCK_NAME = "threadhill-ids.lock"
LOCK_WAIT_SECONDS = 0.005  # for the other process, which holds the lock for microseconds
SLOT = struct.Struct("<QQ")  # the id, and when it was taken, in microseconds of the machine's monotonic clock; 0: free
SLOTS = 16_384
PROBES = 8  # slots that an id may be in; of those in use, the one taken longest ago gives way
MEMORY = 60_000_000  # microseconds for which an id is known: longer than any deadline and its retries


class SeenIds:
    """Ids of 16 hex digits that were taken lately."""

    def __init__(self, now: Callable[[], int], folder: Path | None = None) -> None:
        """`now`: the machine's monotonic clock in microseconds. `folder`: where processes share the table; None: it is
        private. Raises OSError if the file cannot be made."""
        self._now = now
        self._lock_path = folder / LOCK_NAME if folder is not None else None
        size = SLOTS * SLOT.size
        self._table = mmap.mmap(-1, size) if folder is None else _map_file(folder / FILE_NAME, size)

    def claim(self, id: str) -> bool:
        """Take an id; False if it was taken lately, here or by the other process."""
        with self._locked():
            key, now = int(id, 16), self._now()
            oldest: tuple[int, int] | None = None
            for at in _slots(key):
                known, taken_at = SLOT.unpack_from(self._table, at)
                if known == key and taken_at and 0 <= now - taken_at < MEMORY:
                    return False
                if oldest is None or taken_at < oldest[0]:
                    oldest = taken_at, at
            SLOT.pack_into(self._table, oldest[1], key, now)
            return True

    def release(self, id: str) -> None:
        """Forget an id whose request did not run."""
        with self._locked():
            key = int(id, 16)
            for at in _slots(key):
                if SLOT.unpack_from(self._table, at)[0] == key:
                    SLOT.pack_into(self._table, at, 0, 0)

    def _locked(self) -> AbstractContextManager[None]:
        if self._lock_path is None:
            return nullcontext()
        return exclusive_lock(self._lock_path, LOCK_WAIT_SECONDS)


def _slots(key: int) -> Iterator[int]:
    return ((key + probe) % SLOTS * SLOT.size for probe in range(PROBES))


def _map_file(path: Path, size: int) -> mmap.mmap:
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
    try:
        os.ftruncate(descriptor, size)
        os.posix_fallocate(descriptor, 0, size)  # a write to a page without space would end the process
        return mmap.mmap(descriptor, size)
    finally:
        os.close(descriptor)
