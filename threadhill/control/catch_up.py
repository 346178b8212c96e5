"""Limits how many returning proxies are sent the events that they missed at once. Free of I/O; times in milliseconds.

A list of a thousand servers is some 200 KB. For a proxy that reads it at once this costs nothing, but for a slow one it
stays buffered in memory. So the number of slow readers is bounded; further proxies are told when to come back, each at
a later moment than the one before.
"""

from __future__ import annotations

MAX_WAITING = 200  # connections with buffered bytes at once: 40 MB with a list of a thousand servers
RETRIES_PER_MS = 2.0  # proxies that are told to come back in the same millisecond: 500 within a quarter of a second
MAX_DELAY = 3_000  # the longest delay that a proxy is given


class CatchUpLimiter:
    """Spreads the return of the proxies that are sent away."""

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self.max_waiting = max_waiting
        self.next_slot = 0.0  # when the last proxy that was sent away may come back

    def retry_delay(self, waiting: int, now: int) -> int:
        """Milliseconds until a proxy may come back, 0: it is admitted now. Each gets a slot of its own."""
        if waiting < self.max_waiting:
            return 0
        self.next_slot = min(max(self.next_slot + 1 / RETRIES_PER_MS, now + 50), now + MAX_DELAY)
        return max(1, int(self.next_slot - now))
