"""Counts requests that ended unserved, in bounded memory, so that a retry is recognized even if its client does not
mark it and uses a new connection.

A counting sketch in two generations: an entry lives for one to two of them. Its load bounds the false positives: a
generation that is full takes no more entries, and counts what it did not take.
"""

from __future__ import annotations

import hashlib
import struct

SECOND = 1_000_000
WIDTH = 4_096  # counters per row
ROWS = 4
MAX_ENTRIES = WIDTH // 2  # of one generation; when full, an absent key is found in one of 40 cases at most
GENERATION = 2 * SECOND  # microseconds: players retry at once or after a short wait
POSITIONS = struct.Struct("<4H")


class UnservedSketch:
    """`add` records a request that ended unserved; `take` tells whether a new one was recorded, and removes it."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret  # keeps clients from choosing requests that collide with those of others
        self._new, self._old = self._empty(), self._empty()
        self.entries, self._old_entries = 0, 0
        self.rejected = 0  # entries not taken because the generation was full
        self._generation = 0

    @staticmethod
    def _empty() -> list[bytearray]:
        return [bytearray(WIDTH) for _ in range(ROWS)]

    def _positions(self, key: str) -> tuple[int, ...]:
        raw = hashlib.blake2b(key.encode(), digest_size=POSITIONS.size, key=self._secret).digest()
        return tuple(position % WIDTH for position in POSITIONS.unpack(raw))

    def _rotate(self, now: int) -> None:
        generation = now // GENERATION
        if generation == self._generation:
            return
        consecutive = generation == self._generation + 1
        self._old, self._old_entries = (self._new, self.entries) if consecutive else (self._empty(), 0)
        self._new, self.entries, self._generation = self._empty(), 0, generation

    def add(self, key: str, now: int) -> None:
        self._rotate(now)
        if self.entries >= MAX_ENTRIES:
            self.rejected += 1
            return
        positions = self._positions(key)
        if max(row[position] for row, position in zip(self._new, positions, strict=True)) >= 255:
            return
        for row, position in zip(self._new, positions, strict=True):
            row[position] += 1
        self.entries += 1

    def take(self, key: str, now: int) -> bool:
        self._rotate(now)
        if not self.entries and not self._old_entries:  # the usual case: nothing was refused recently
            return False
        positions = self._positions(key)
        for rows, new in ((self._new, True), (self._old, False)):
            if all(row[position] for row, position in zip(rows, positions, strict=True)):
                for row, position in zip(rows, positions, strict=True):
                    row[position] -= 1
                if new:
                    self.entries -= 1
                else:
                    self._old_entries = max(0, self._old_entries - 1)
                return True
        return False
