"""Schedules the returns of refused clients: each is booked into a future time slot that has room for it, so that the
returning clients fit, and a client that returns on time is admitted for it."""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

SLOT = 20_000  # microseconds
MAX_PROMISES = 8_192  # the oldest is evicted first
EARLY_TOLERANCE = (
    15_000  # microseconds before its time that a client still counts as on time: clocks and networks jitter
)
GRACE = 1_000_000  # microseconds after its time for which a promise is kept
PENALTY = 0.5  # share of the horizon by which a client that returned early is put back


class Return(Enum):
    """How a request arrives in relation to the time its client was told."""

    NONE = "none"  # the client was told nothing
    KEPT = "kept"  # on time: it gets what was promised
    EARLY = "early"  # before its time
    LATE = "late"  # so long after its time that the promise has expired


@dataclass(slots=True)
class Promise:
    due: int
    slot: int  # -1: no slot had room, the client was only told to stay away


class ReturnScheduler:
    """Slots up to `horizon` ahead; each takes its share of `rate`."""

    def __init__(self, horizon: int, seed: int) -> None:
        self.horizon = max(SLOT, horizon)
        self.random = random.Random(seed)
        self.rate = 0.0  # returns a second that there is capacity for
        self._rest = 0.0  # fraction of a return carried over from slot to slot, at low rates
        self.booked: dict[int, int] = {}  # slot -> promises
        self.promises: OrderedDict[str, Promise] = OrderedDict()
        self.unplaced = 0  # clients that no slot had room for

    def slot_capacity(self, slot: int) -> int:
        """Promises that this slot takes; at rates below one per slot, only some slots take one."""
        each = self.rate * SLOT / 1e6
        return math.floor((slot + 1) * each) - math.floor(slot * each)

    def _discard_past(self, now: int) -> None:
        first = now // SLOT
        if len(self.booked) > 2 * self.horizon // SLOT + 64:
            self.booked = {slot: count for slot, count in self.booked.items() if slot >= first}

    def book(self, key: str, now: int, max_delay: int, min_delay: int = 0, fallback_delay: int = 0) -> int:
        """The microseconds after which this client is to return: the earliest slot with room between `min_delay` and
        `max_delay`. If none has room the client is told to stay away for `fallback_delay`, and nothing is promised."""
        self._discard_past(now)
        max_delay = min(max_delay, self.horizon)
        fallback_delay = min(max(fallback_delay, max_delay), self.horizon)
        first, last = (now + max(SLOT, min_delay)) // SLOT, (now + max_delay) // SLOT
        slot = next((s for s in range(first, last + 1) if self.booked.get(s, 0) < self.slot_capacity(s)), -1)
        if slot >= 0:
            self.booked[slot] = self.booked.get(slot, 0) + 1
            due = slot * SLOT + self.random.randrange(SLOT)
        else:
            self.unplaced += 1
            due = now + fallback_delay
        due = max(now + 1_000, min(due, now + max(1_000, fallback_delay)))
        self.promises.pop(key, None)
        self.promises[key] = Promise(due, slot)
        while len(self.promises) > MAX_PROMISES:
            _, old = self.promises.popitem(last=False)
            self._release(old)
        return due - now

    def _release(self, promise: Promise) -> None:
        count = self.booked.get(promise.slot, 0)
        if count > 1:
            self.booked[promise.slot] = count - 1
        elif count:
            del self.booked[promise.slot]

    def returned(self, key: str, now: int) -> Return:
        """Classifies an arriving request; its promise, if any, is used up."""
        promise = self.promises.pop(key, None)
        if promise is None:
            return Return.NONE
        if now < promise.due - EARLY_TOLERANCE:
            self._release(promise)
            return Return.EARLY
        if now > promise.due + GRACE:
            return Return.LATE
        return Return.KEPT if promise.slot >= 0 else Return.NONE

    def early_penalty(self, max_delay: int) -> int:
        """Microseconds that a client that returned early is booked behind others: its place goes to those who
        waited."""
        return int(PENALTY * min(max_delay, self.horizon))

    def waiting(self, now: int) -> int:
        """Promises whose time is still to come."""
        first = now // SLOT
        return sum(count for slot, count in self.booked.items() if slot >= first)
