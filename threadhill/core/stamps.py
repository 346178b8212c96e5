"""Ages of Unix stamps that others tell, such as a purge's time or a server's start.

A stamp and this process's wall clock are of two different clocks, and either may be stepped: the wall clock at any
moment, also between two starts of a process. So an age is never simply the wall clock less the stamp. Every stamp that
was heard proves that the true time is at least so late, and the monotonic clock tells how much later it is by now.
This lower bound of the true time gives a lower bound of each age: a purge is never taken for older than it is, nor a
server that warms up for warmer. The wall clock may only make an age smaller still, which bounds what a stamp from the
far future can do. An age that is too small by the delay of the news costs some copies or some of a server's capacity
for as long; one that is too great would break the rules.
"""

from __future__ import annotations

from collections.abc import Callable

EARLIEST = 946_684_800_000_000  # Unix microseconds of 2000-01-01: what is before it was never a time
LATEST = 4_102_444_800_000_000  # of 2100-01-01
MAX_AHEAD = 86_400_000_000  # microseconds ahead of all that is known at which a stamp is not believed


class StampAges:
    """The lower bound of the true time, as one source of stamps has proved it."""

    def __init__(self, now: Callable[[], int], unix_now: Callable[[], int]) -> None:
        """`now` tells local microseconds, which run forward evenly; `unix_now` the wall clock's."""
        self._now, self._unix_now = now, unix_now
        self._unix_less_local: int | None = None  # at least; None: no stamp was heard yet

    def observe(self, stamp: int) -> None:
        """Take a stamp for proof that it is at least so late; one that cannot be believed proves nothing."""
        if self.is_plausible(stamp):
            ahead = stamp - self._now()
            self._unix_less_local = ahead if self._unix_less_local is None else max(self._unix_less_local, ahead)

    def is_plausible(self, stamp: int) -> bool:
        """Whether this can be a time that has been."""
        if not EARLIEST <= stamp <= LATEST:
            return False
        latest = self._unix_now()
        if self._unix_less_local is not None:
            latest = max(latest, self._now() + self._unix_less_local)
        return stamp <= latest + MAX_AHEAD

    def age(self, stamp: int) -> int:
        """Microseconds that have passed since the stamp, at least; 0 for one that cannot be believed."""
        if self._unix_less_local is None or not self.is_plausible(stamp):
            return 0
        least = min(self._now() + self._unix_less_local, self._unix_now())
        return max(0, least - stamp)

    def age_by_wall_clock(self, stamp: int) -> int:
        """What the wall clock alone would say: for logs, to show a clock that is off."""
        return self._unix_now() - stamp
