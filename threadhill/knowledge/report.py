"""One proxy's part of the shared load figures: its most requested objects, and the state of its caches.

A proxy needs no sketch: the module already counts objects in a bounded table, with the newest entries last. The
frequent-items sketch of the datasketches library was rejected because it loads numpy, 24 MB, into a process that has
32 to 192 MB.
"""

from __future__ import annotations

import heapq
from itertools import islice
from typing import Any

from threadhill.decision.choice import RATE_INTERVAL, Router

MAX_OBJECTS = 32  # in one report: 900 bytes
MAX_SERVERS = 48
MAX_SCANNED = 2_000  # newest table entries that are examined for one report: under a millisecond
MAX_INTERVALS = 8  # since the last request for an object, after which it is not reported
MIN_RATE = 0.05  # requests a second: less than one in twenty seconds is of no use to others


class ReportBuilder:
    """Builds a report once a second. Reports are numbered, so that duplicate and late ones are recognized."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.number = 0

    def build(self, now: int) -> dict[str, Any]:
        """The report as plain JSON."""
        self.number += 1
        interval, found = now // RATE_INTERVAL, []
        for scanned, (name, rate) in enumerate(reversed(self.router.rates.items())):
            if scanned >= MAX_SCANNED or interval - rate.interval > MAX_INTERVALS:
                break
            own_rate = rate.rate if not rate.first_interval else rate.count
            if own_rate >= MIN_RATE:
                found.append((round(own_rate, 3), name))
        caches = list(islice(self.router.fleet.caches, MAX_SERVERS))
        return {
            "n": self.number,
            "zone": self.router.settings.zone,
            "objects": [[name, rate] for rate, name in heapq.nlargest(MAX_OBJECTS, found)],
            "caches": [
                [s.entry.server, round(s.inflight, 1), int(now < s.ejected_until or s.ejections > 0)] for s in caches
            ],
        }
