"""A table of reusable slots. A handle holds a slot number and a generation, so that a stale handle finds nothing."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")

MAX_SLOTS = 1 << 20  # a handle is generation * MAX_SLOTS + slot; no limit allows that many slots


class Slots(Generic[T]):
    """Entries by handle. The handle of a freed entry finds nothing, however often its slot is reused."""

    def __init__(self) -> None:
        self._entries: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._entries) - len(self._free)

    def add(self, entry: T) -> int:
        """Store an entry and return its handle."""
        if self._free:
            slot = self._free.pop()
            self._entries[slot] = entry
        else:
            slot = len(self._entries)
            self._entries.append(entry)
            self._generations.append(0)
        return self._generations[slot] * MAX_SLOTS + slot

    def get(self, handle: int) -> T | None:
        """The entry of a handle; None if the handle is stale."""
        generation, slot = divmod(handle, MAX_SLOTS)
        if slot >= len(self._entries) or self._generations[slot] != generation:
            return None
        return self._entries[slot]

    def free(self, handle: int) -> T | None:
        """Free the slot and return its entry; None if the handle is stale."""
        entry = self.get(handle)
        if entry is not None:
            slot = handle % MAX_SLOTS
            self._entries[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
        return entry

    def live(self) -> list[tuple[int, T]]:
        """All entries with their handles."""
        return [(self._generations[i] * MAX_SLOTS + i, e) for i, e in enumerate(self._entries) if e is not None]
