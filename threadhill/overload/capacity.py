"""How much is let through to the module, found from what came of it: held at what is served while much ends badly, and
let grow step by step once it goes well, no faster than cold copies, links and the library bear."""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 1_000_000
WINDOW = 0.5  # seconds of the means
# Part of what went to the module that ended badly, from which on it is too much, and under which it is not. The module
# turns some away of whatever comes near the room that there is, so a bound at less would chase its own tail down, and
# with OVER a part of 1 - 1/OVER ends badly in any case: under that nothing would ever grow.
BAD, WELL = 0.18, 0.12
OVER = 1.05  # what is let through over the best that was served lately
FORGET = 0.15  # part of that best that is forgotten each second: a box that stopped serves nothing any more
GROW = 0.6  # of itself that it grows by each second while all goes well: doubled in a second and a half
GROW_SLOW = 0.08  # the same while the library is slow: copies must come from there
SLOW = 1.5  # pace of the library against its usual one from which on it is slow
FREE = 2.0  # seconds in which nothing was held off before the bound goes
LEAST = 0.05  # work a second that is always let through


@dataclass(slots=True)
class UpstreamLoad:
    """What the module knows of the fleet: how slow its library is, how full the link in."""

    origin_slowdown: float = 1.0
    link_utilization: float = 0.0


class CapacityEstimator:
    """`reached` and `ended` add up; `turn` sets `room`."""

    def __init__(self) -> None:
        self.limit = math.inf
        self.sent = self.good = self.held = 0.0  # work of this turn
        self.admitted_rate = self.goodput = self.best = 0.0  # work a second
        self.asks = 0
        self.each = 0.0  # work of one ask, on the mean
        self._at = 0
        self._free = 0.0

    def record_admitted(self, work: float) -> None:
        self.sent += work
        self.asks += 1

    def record_finished(self, work: float, good: bool) -> None:
        if good:
            self.good += work

    def record_shed(self, work: float) -> None:
        self.held += work

    def update(self, now: int, strained: bool, upstream: UpstreamLoad) -> None:
        """Fold a turn. `strained`: the detector says that it is not a normal time."""
        gone = max(0.05, (now - self._at) / SECOND) if self._at else 0.1
        self._at = now
        weight = -math.expm1(-gone / WINDOW)
        self.admitted_rate += weight * (self.sent / gone - self.admitted_rate)
        self.goodput += weight * (self.good / gone - self.goodput)
        self.best = max(self.goodput, self.best * (1 - FORGET * gone))
        if self.asks:
            each, self.asks = self.sent / self.asks, 0
            self.each += weight * (each - self.each) if self.each else each
        held, self.sent, self.good, self.held = self.held, 0.0, 0.0, 0.0
        bad = 1 - self.goodput / self.admitted_rate if self.admitted_rate > 1e-6 else 0.0
        if self.limit == math.inf:
            if strained and bad > BAD:
                self.limit = max(LEAST, OVER * self.best)
                self._free = 0.0
            return
        if bad > BAD:
            # A little at a time: what ends now was let in a while ago.
            self.limit = max(LEAST, OVER * self.best, self.limit * (1 - 0.5 * gone))
        elif bad < WELL and held:
            slow = upstream.origin_slowdown > SLOW or upstream.link_utilization > 1
            self.limit *= 1 + (GROW_SLOW if slow else GROW) * gone
        self._free = 0.0 if held or bad > BAD else self._free + gone
        if self._free >= FREE and not strained:
            self.limit = math.inf
