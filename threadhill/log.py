"""The program's log: lines on standard error, bounded by rate so that no peer can fill it."""

from __future__ import annotations

import sys
from collections.abc import Callable

RATE = 10.0  # lines a second, over time
BURST = 50.0  # lines at once
MAX_LINE = 4_000  # characters of a line at most


class Log:
    """Called with a line. What is over the rate is left out, and how many lines were is told with the next."""

    def __init__(self, now: Callable[[], float]) -> None:
        """`now` tells seconds of a clock that runs forward evenly."""
        self._now = now
        self._began = now()
        self._tokens, self._at = BURST, now()
        self._left_out = 0

    def __call__(self, text: str) -> None:
        now = self._now()
        self._tokens, self._at = min(BURST, self._tokens + RATE * (now - self._at)), now
        if self._tokens < 1:
            self._left_out += 1
            return
        self._tokens -= 1
        if self._left_out:
            self.event(f"{self._left_out} lines left out")
            self._left_out = 0
        self.event(text[:MAX_LINE])

    def event(self, text: str) -> None:
        """A line that is always written, behind the seconds since the start: few enough, and a timeline needs them."""
        self.write(f"{self._now() - self._began:+.3f} {text}")

    @staticmethod
    def write(text: str) -> None:
        """A line that is always written as it is, for whoever reads it by its form."""
        print(text, file=sys.stderr, flush=True)
