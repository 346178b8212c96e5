"""Come-back times, planned: each refused client is booked into a slot of the time ahead in which there will be room,
so that those who return fit, and who returns as told is let in for it."""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

SLOT = 20_000  # microseconds
KEYS = 8_192  # promises kept; the oldest goes first
EARLY = 15_000  # microseconds before its time that a client counts as punctual: clocks and networks jitter
GRACE = 1_000_000  # microseconds after its time for which a promise is kept
PENALTY = 0.5  # part of the horizon by which who came before its time is put back


class Return(Enum):
    """How somebody comes that may have been told when."""

    NONE = "none"  # was told nothing
    KEPT = "kept"  # at its time: it gets what was promised
    EARLY = "early"  # before its time
    LATE = "late"  # so long after it that the promise has run out


@dataclass(slots=True)
class Promise:
    due: int
    slot: int  # -1: there was no room to promise, it was only told to stay away


class Planner:
    """Slots up to `horizon` ahead, each with room for what `room` says a second."""

    def __init__(self, horizon: int, seed: int) -> None:
        self.horizon = max(SLOT, horizon)
        self.random = random.Random(seed)
        self.room = 0.0  # returns a second that there is room for
        self._rest = 0.0  # part of a place left over from slot to slot, at low rates
        self.booked: dict[int, int] = {}  # slot -> promises
        self.promises: OrderedDict[str, Promise] = OrderedDict()
        self.unplaced = 0  # clients that no slot had room for

    def places(self, slot: int) -> int:
        """Promises that this slot takes: of rates under one a slot, every so many slots one."""
        each = self.room * SLOT / 1e6
        return math.floor((slot + 1) * each) - math.floor(slot * each)

    def _tidy(self, now: int) -> None:
        first = now // SLOT
        if len(self.booked) > 2 * self.horizon // SLOT + 64:
            self.booked = {slot: count for slot, count in self.booked.items() if slot >= first}

    def book(self, key: str, now: int, most: int, least: int = 0, away: int = 0) -> int:
        """When this client is to return: microseconds from now, `most` at the latest. The earliest slot with room from
        `least` on; where none has any it is told to stay away, for `away`, and nothing promised."""
        self._tidy(now)
        most = min(most, self.horizon)
        away = min(max(away, most), self.horizon)
        first, last = (now + max(SLOT, least)) // SLOT, (now + most) // SLOT
        slot = next((s for s in range(first, last + 1) if self.booked.get(s, 0) < self.places(s)), -1)
        if slot >= 0:
            self.booked[slot] = self.booked.get(slot, 0) + 1
            due = slot * SLOT + self.random.randrange(SLOT)
        else:
            self.unplaced += 1
            due = now + away
        due = max(now + 1_000, min(due, now + max(1_000, away)))
        self.promises.pop(key, None)
        self.promises[key] = Promise(due, slot)
        while len(self.promises) > KEYS:
            _, old = self.promises.popitem(last=False)
            self._free(old)
        return due - now

    def _free(self, promise: Promise) -> None:
        count = self.booked.get(promise.slot, 0)
        if count > 1:
            self.booked[promise.slot] = count - 1
        elif count:
            del self.booked[promise.slot]

    def returned(self, key: str, now: int) -> Return:
        """Somebody comes: as told, or not. Its promise is used up either way."""
        promise = self.promises.pop(key, None)
        if promise is None:
            return Return.NONE
        if now < promise.due - EARLY:
            self._free(promise)
            return Return.EARLY
        if now > promise.due + GRACE:
            return Return.LATE
        return Return.KEPT if promise.slot >= 0 else Return.NONE

    def put_back(self, most: int) -> int:
        """How much later than others who came before its time is booked: its place goes to who waits."""
        return int(PENALTY * min(most, self.horizon))

    def waiting(self, now: int) -> int:
        """Promises whose time is still to come."""
        first = now // SLOT
        return sum(count for slot, count in self.booked.items() if slot >= first)
