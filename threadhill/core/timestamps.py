"""Ages of Unix timestamps from other processes, such as the time of a purge or the start of a server.

A timestamp and this process's wall clock come from two different clocks, and either may be stepped, the wall clock also
between two starts of the process. So the wall clock minus the timestamp is not a safe age. Instead, every timestamp
received proves that the true time is at least that late, and the monotonic clock measures the time since then. This
lower bound of the true time gives a lower bound of each age: a purge is never taken for older than it is, nor a warming
server for warmer. The wall clock can only reduce an age further, which limits the effect of a timestamp from the far
future. An age that is too small by the delay of the message costs some copies, or some of a server's capacity, for that
long. An age that is too large would violate the rules on purges and cold servers.
"""

from __future__ import annotations

from collections.abc import Callable

MIN_TIMESTAMP = 946_684_800_000_000  # Unix microseconds of 2000-01-01; earlier values are not valid times
MAX_TIMESTAMP = 4_102_444_800_000_000  # of 2100-01-01
MAX_AHEAD = 86_400_000_000  # microseconds; a timestamp further ahead of the latest known time is ignored


class TimestampAges:
    """The lower bound of the true time that one source of timestamps has proved."""

    def __init__(self, now: Callable[[], int], unix_now: Callable[[], int]) -> None:
        """`now` returns local (monotonic) microseconds, `unix_now` those of the wall clock."""
        self._now, self._unix_now = now, unix_now
        self._min_unix_offset: int | None = None  # lower bound; None until a timestamp is received

    def observe(self, timestamp: int) -> None:
        """Raise the lower bound of the true time to this timestamp, unless it is implausible."""
        if self.is_plausible(timestamp):
            offset = timestamp - self._now()
            self._min_unix_offset = offset if self._min_unix_offset is None else max(self._min_unix_offset, offset)

    def is_plausible(self, timestamp: int) -> bool:
        """Whether this can be a time in the past."""
        if not MIN_TIMESTAMP <= timestamp <= MAX_TIMESTAMP:
            return False
        latest = self._unix_now()
        if self._min_unix_offset is not None:
            latest = max(latest, self._now() + self._min_unix_offset)
        return timestamp <= latest + MAX_AHEAD

    def age(self, timestamp: int) -> int:
        """Lower bound of the microseconds since the timestamp; 0 if it is implausible."""
        if self._min_unix_offset is None or not self.is_plausible(timestamp):
            return 0
        min_now = min(self._now() + self._min_unix_offset, self._unix_now())
        return max(0, min_now - timestamp)

    def age_by_wall_clock(self, timestamp: int) -> int:
        """The age by the wall clock alone; for logs, to show a clock that is wrong."""
        return self._unix_now() - timestamp
