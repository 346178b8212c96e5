"""What one proxy adds to its report: the objects that it is asked for most, and how its caches look from here.

No sketch is needed at a proxy: the module counts objects already, in a bounded table whose newest entries come last.
A library's frequent-items sketch (datasketches) was weighed: it brings numpy, 24 MB, to a process that has 32 to 192.
"""

from __future__ import annotations

import heapq
from itertools import islice
from typing import Any

from threadhill.decision.choice import RATE_INTERVAL, Router

OBJECTS = 32  # of one report: 900 bytes
SERVERS = 48
LOOKED = 2_000  # newest entries of the table that one report looks at: under a millisecond
RECENT = 8  # intervals since an object was asked for, after which it is not told of
LEAST = 0.05  # own requests a second: once in twenty seconds is no news to others


class ReportBuilder:
    """Made once a second; each has a number, so that one that comes twice or late is known for it."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.number = 0

    def build(self, now: int) -> dict[str, Any]:
        """The part of the report that is about this, as plain JSON."""
        self.number += 1
        interval, found = now // RATE_INTERVAL, []
        for looked, (name, rate) in enumerate(reversed(self.router.rates.items())):
            if looked >= LOOKED or interval - rate.interval > RECENT:
                break
            own = rate.rate if not rate.first_interval else rate.count
            if own >= LEAST:
                found.append((round(own, 3), name))
        caches = list(islice(self.router.fleet.caches, SERVERS))
        return {
            "n": self.number,
            "zone": self.router.settings.zone,
            "objects": [[name, rate] for rate, name in heapq.nlargest(OBJECTS, found)],
            "caches": [
                [s.entry.server, round(s.inflight, 1), int(now < s.ejected_until or s.ejections > 0)] for s in caches
            ],
        }
