"""Asks that ended unserved, counted in bounded memory, so that one that comes again is known for a retry even from a
client that marks nothing and asks from a new connection.

A counting sketch in two generations: an entry lives one to two spans. False positives are bounded by its load: a
generation that holds its fill takes no more, and is counted as full.
"""

from __future__ import annotations

import hashlib
import struct

SECOND = 1_000_000
WIDTH = 4_096  # counters a row
ROWS = 4
FILL = WIDTH // 2  # entries of one generation: at this fill a key that is not there passes for one in 40 times at most
SPAN = 2 * SECOND  # microseconds of one generation: players retry at once or after a short wait
PLACES = struct.Struct("<4H")


class Unserved:
    """`add` when an ask ended unserved, `take` when one comes: whether it is one of those, which is then used up."""

    def __init__(self, secret: bytes) -> None:
        self._secret = secret  # keeps clients from choosing asks that fall on others' counters
        self._new, self._old = self._empty(), self._empty()
        self.held, self._held_old = 0, 0
        self.full = 0  # entries that were not taken for want of room
        self._turn = 0

    @staticmethod
    def _empty() -> list[bytearray]:
        return [bytearray(WIDTH) for _ in range(ROWS)]

    def _places(self, key: str) -> tuple[int, ...]:
        raw = hashlib.blake2b(key.encode(), digest_size=PLACES.size, key=self._secret).digest()
        return tuple(place % WIDTH for place in PLACES.unpack(raw))

    def _roll(self, now: int) -> None:
        turn = now // SPAN
        if turn == self._turn:
            return
        fresh = turn == self._turn + 1
        self._old, self._held_old = (self._new, self.held) if fresh else (self._empty(), 0)
        self._new, self.held, self._turn = self._empty(), 0, turn

    def add(self, key: str, now: int) -> None:
        self._roll(now)
        if self.held >= FILL:
            self.full += 1
            return
        places = self._places(key)
        if max(row[place] for row, place in zip(self._new, places, strict=True)) >= 255:
            return
        for row, place in zip(self._new, places, strict=True):
            row[place] += 1
        self.held += 1

    def take(self, key: str, now: int) -> bool:
        self._roll(now)
        if not self.held and not self._held_old:  # the usual case: nothing was refused lately
            return False
        places = self._places(key)
        for rows, new in ((self._new, True), (self._old, False)):
            if all(row[place] for row, place in zip(rows, places, strict=True)):
                for row, place in zip(rows, places, strict=True):
                    row[place] -= 1
                if new:
                    self.held -= 1
                else:
                    self._held_old = max(0, self._held_old - 1)
                return True
        return False
