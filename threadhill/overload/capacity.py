"""Estimates how much work the decision module can take, from the outcomes of what was admitted. While too much of it
fails, the limit is held at the recent goodput; once requests succeed, it grows step by step, no faster than cold
caches, links and the origin can bear."""

from __future__ import annotations

import math
from dataclasses import dataclass

SECOND = 1_000_000
WINDOW = 0.5  # seconds, time constant of the means
# Share of the admitted work that fails: above BAD the limit is too high, below WELL it may grow. The module refuses
# some requests whenever the load is near capacity, so with a lower BAD the limit would sink ever further. OVERCOMMIT
# alone makes a share of 1 - 1/OVERCOMMIT fail, so with a WELL below that the limit would never grow.
BAD, WELL = 0.18, 0.12
OVERCOMMIT = 1.05  # the limit as a multiple of the peak goodput
PEAK_DECAY = 0.15  # share of the peak that is forgotten each second: a server that stopped serves nothing any more
GROWTH = 0.6  # share by which the limit grows each second while requests succeed: it doubles in 1.5 seconds
GROWTH_SLOW = 0.08  # the same while the origin is slow, since copies must be filled from there
SLOW = 1.5  # latency of the origin, relative to its usual one, from which it counts as slow
IDLE_TIME = 2.0  # seconds without anything shed after which the limit is lifted
MIN_LIMIT = 0.05  # work a second that is always admitted


@dataclass(slots=True)
class UpstreamLoad:
    """The origin's latency relative to its usual one, and the utilization of the link to this location."""

    origin_slowdown: float = 1.0
    link_utilization: float = 0.0


class CapacityEstimator:
    """Accumulates outcomes; `update` sets `limit` from them."""

    def __init__(self) -> None:
        self.limit = math.inf
        self.admitted = self.succeeded = self.shed = 0.0  # work since the last update
        self.admitted_rate = self.goodput = self.peak_goodput = 0.0  # work a second
        self.requests = 0
        self.mean_work = 0.0  # of one request
        self._updated_at = 0
        self._idle = 0.0  # seconds without anything shed

    def record_admitted(self, work: float) -> None:
        self.admitted += work
        self.requests += 1

    def record_finished(self, work: float, good: bool) -> None:
        if good:
            self.succeeded += work

    def record_shed(self, work: float) -> None:
        self.shed += work

    def update(self, now: int, strained: bool, upstream: UpstreamLoad) -> None:
        """Recomputes the limit. `strained`: the detector's state is not normal."""
        elapsed = max(0.05, (now - self._updated_at) / SECOND) if self._updated_at else 0.1
        self._updated_at = now
        weight = -math.expm1(-elapsed / WINDOW)
        self.admitted_rate += weight * (self.admitted / elapsed - self.admitted_rate)
        self.goodput += weight * (self.succeeded / elapsed - self.goodput)
        self.peak_goodput = max(self.goodput, self.peak_goodput * (1 - PEAK_DECAY * elapsed))
        if self.requests:
            mean_work, self.requests = self.admitted / self.requests, 0
            self.mean_work += weight * (mean_work - self.mean_work) if self.mean_work else mean_work
        shed, self.admitted, self.succeeded, self.shed = self.shed, 0.0, 0.0, 0.0
        bad = 1 - self.goodput / self.admitted_rate if self.admitted_rate > 1e-6 else 0.0
        if self.limit == math.inf:
            if strained and bad > BAD:
                self.limit = max(MIN_LIMIT, OVERCOMMIT * self.peak_goodput)
                self._idle = 0.0
            return
        if bad > BAD:
            # Reduced in small steps, since the requests that end now were admitted some time ago.
            self.limit = max(MIN_LIMIT, OVERCOMMIT * self.peak_goodput, self.limit * (1 - 0.5 * elapsed))
        elif bad < WELL and shed:
            slow = upstream.origin_slowdown > SLOW or upstream.link_utilization > 1
            self.limit *= 1 + (GROWTH_SLOW if slow else GROWTH) * elapsed
        self._idle = 0.0 if shed or bad > BAD else self._idle + elapsed
        if self._idle >= IDLE_TIME and not strained:
            self.limit = math.inf
