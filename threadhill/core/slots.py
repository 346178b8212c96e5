"""A table of numbered slots: a number is used again, a generation tells its holders apart."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")

GENERATION = 1 << 20  # a handle is generation * GENERATION + slot: more slots than any limit lets exist


class Slots(Generic[T]):
    """Handles to live entries; one whose entry has been freed finds nothing, however often its slot is reused."""

    def __init__(self) -> None:
        self._entries: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._entries) - len(self._free)

    def add(self, entry: T) -> int:
        if self._free:
            slot = self._free.pop()
            self._entries[slot] = entry
        else:
            slot = len(self._entries)
            self._entries.append(entry)
            self._generations.append(0)
        return self._generations[slot] * GENERATION + slot

    def get(self, handle: int) -> T | None:
        generation, slot = divmod(handle, GENERATION)
        if slot >= len(self._entries) or self._generations[slot] != generation:
            return None
        return self._entries[slot]

    def free(self, handle: int) -> T | None:
        """Free the slot and give back what it held; None where the handle is no longer its holder's."""
        entry = self.get(handle)
        if entry is not None:
            slot = handle % GENERATION
            self._entries[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
        return entry

    def live(self) -> list[tuple[int, T]]:
        return [(self._generations[i] * GENERATION + i, e) for i, e in enumerate(self._entries) if e is not None]
