"""The program's log: lines on standard error, rate-limited so that no peer can flood it."""

from __future__ import annotations

import sys
from collections.abc import Callable

RATE = 10.0  # lines per second on average
BURST = 50.0  # lines at once; the bucket size of the rate limit
MAX_LINE = 4_000  # characters; longer lines are cut


class Log:
    """Call it with a line. Lines over the rate are dropped, and their number is logged before the next line."""

    def __init__(self, now: Callable[[], float]) -> None:
        """`now` returns seconds of a monotonic clock."""
        self._now = now
        self._started_at = now()
        self._tokens, self._refilled_at = BURST, now()
        self._dropped = 0

    def __call__(self, text: str) -> None:
        now = self._now()
        self._tokens, self._refilled_at = min(BURST, self._tokens + RATE * (now - self._refilled_at)), now
        if self._tokens < 1:
            self._dropped += 1
            return
        self._tokens -= 1
        if self._dropped:
            self.event(f"{self._dropped} lines left out")
            self._dropped = 0
        self.event(text[:MAX_LINE])

    def event(self, text: str) -> None:
        """Write a line with the seconds since the start, without the rate limit; for rare events of a timeline."""
        self.write(f"{self._now() - self._started_at:+.3f} {text}")

    @staticmethod
    def write(text: str) -> None:
        """Write a line unchanged and without the rate limit: for lines that programs parse."""
        print(text, file=sys.stderr, flush=True)
