"""Whether purges may have been told that were not heard here, and from before when.

Discovery counts an event as told once it has it, or soon after, whether or not this process was reached. So what is
not known to be current is suspect: a service that was not heard for long, one that was asked again and does not
answer, and one whose heartbeat names a number whose event does not come.
"""

from __future__ import annotations

from dataclasses import dataclass

TOLD_BY = 7_000_000  # microseconds after which whatever the service has to tell counts as told, as the protocol has it
PATIENCE = 250_000  # microseconds for which what must come at once may be late: less than a purge takes to bind
ASK_AGAIN = 400_000  # microseconds after which announced events that did not come are asked for again


@dataclass(frozen=True, slots=True)
class Missing:
    """Purges may be missing: those from longer ago than `age`, and those from before `before`. Microseconds, the second
    in local time; 0: none of that kind."""

    age: int = 0
    before: int = 0

    def __bool__(self) -> bool:
        return bool(self.age or self.before)


class NewsMonitor:
    """What is known of one service's news. All times are local microseconds."""

    def __init__(self, now: int) -> None:
        self.current_at = now  # when all that there was to tell was last known to be applied
        self._asked_at = 0  # when events were asked for on a connection that has told nothing yet; 0: on none
        self._announced = 0  # the greatest number of a heartbeat whose event has not come; 0: none
        self._announced_first = self._announced_last = 0  # since when there is one, and when the last was announced

    def asked(self, now: int) -> None:
        """Events were asked for on a new connection."""
        self._asked_at = now

    def heard(self) -> None:
        """The connection told something: what it had to tell comes behind it."""
        self._asked_at = 0

    def heartbeat(self, number: int, applied: int, now: int) -> None:
        """The service says that its last event has this number; the last one applied here has the other. A service
        that is behind tells a lower number: it may not know all yet. What another one announced is given up once that
        must have been told."""
        if number <= applied and now - self._announced_last > TOLD_BY:
            self._announced = self._announced_first = 0
        if number == applied:
            self.current_at = now
        elif number > max(applied, self._announced):
            self._announced_first = self._announced_first or now
            self._announced, self._announced_last = number, now

    def applied(self, number: int) -> None:
        """Events up to this number are applied."""
        if self._announced and number >= self._announced:
            self._announced = self._announced_first = 0

    def asks_again(self, now: int) -> bool:
        """Whether announced events have not come for so long that they are to be asked for on a new connection."""
        return self._announced > 0 and now - max(self._announced_first, self._asked_at) > ASK_AGAIN

    def missing(self, now: int) -> Missing:
        """What may be missing now."""
        late = [
            at
            for since, at in ((self._asked_at, self._asked_at), (self._announced_first, self._announced_last))
            if since and now - since > PATIENCE
        ]
        return Missing(TOLD_BY if now - self.current_at > TOLD_BY else 0, max(late, default=0))
