"""Tracks whether purges may be missing here, and which, and when the events have to be requested again.

Discovery counts an event as delivered once it has it, or soon after, whether or not it has reached this process. So
purges may be missing if the service has been silent for long, if it does not answer a request for events, or if the
event of a number in its heartbeat does not arrive.

A connection is given up, and events are requested on a new one, if announced events do not arrive for a while, if it
is silent, or if a line takes too long. A service that is slow or crowded must not be asked more often for that:
whatever arrives begins the waits anew, and they double with each connection given up until all is up to date.
"""

from __future__ import annotations

from dataclasses import dataclass

DELIVERY_TIME = 7_000_000  # microseconds after which the protocol counts any event as delivered
REPLY_GRACE = 250_000  # microseconds allowed for an immediate answer: less than the time until a purge takes effect
REREQUEST_DELAY = 400_000  # microseconds without an announced event after which events are requested again, at first
SILENCE_TIMEOUT = 1_700_000  # microseconds without input, at first; the service sends a line every second
MAX_WAIT = DELIVERY_TIME  # microseconds; limit of these two waits
LINE_TIMEOUT = DELIVERY_TIME  # microseconds in which a line must be complete, at first
MAX_LINE_TIMEOUT = 8 * LINE_TIMEOUT
MAX_DOUBLINGS = 5  # of a wait; all have reached their limits by then


@dataclass(frozen=True, slots=True)
class MissingPurges:
    """Which purges may be missing: those older than `age` (microseconds), and those from before `before` (local
    microseconds); 0: none of that kind."""

    age: int = 0
    before: int = 0

    def __bool__(self) -> bool:
        return bool(self.age or self.before)


class JournalMonitor:
    """Tracks how current the events of one journal service are. All times are local microseconds."""

    def __init__(self, now: int) -> None:
        self.current_at = now  # when all existing events were last known to be applied
        self._requested_at = 0  # when events were last requested
        self._answered = True  # something has been received since
        self._announced = 0  # the greatest number in a heartbeat whose event has not arrived; 0: none
        # When the first and the last pending event were announced.
        self._first_announced_at = self._last_announced_at = 0
        self._applied = 0  # the number of the last event applied
        self.applied_at = now  # when that was
        self._given_up = 0  # connections given up since everything was up to date

    @property
    def announced(self) -> int:
        """The greatest number that was announced and has not arrived; 0: none."""
        return self._announced

    def events_requested(self, now: int) -> None:
        """Events were requested on a new connection."""
        self._requested_at, self._answered = now, False

    def line_received(self) -> None:
        """The connection sent a line, so it is answering the request."""
        self._answered = True

    def heartbeat(self, number: int, applied: int, now: int) -> None:
        """The service's last event has this number, the last one applied here is `applied`. A lower number comes from a
        service that lags behind and may not have all events. Events announced by another service are no longer
        expected once they count as delivered."""
        if number <= applied and now - self._last_announced_at > DELIVERY_TIME:
            self._nothing_pending()
        if number == applied:
            self.current_at = now
            if not self._announced:
                self._nothing_pending()
        elif number > max(applied, self._announced):
            self._first_announced_at = self._first_announced_at or now
            self._announced, self._last_announced_at = number, now

    def applied(self, number: int, now: int) -> None:
        """Events up to this number are applied."""
        if number != self._applied:
            self._applied, self.applied_at = number, now
        if self._announced and number >= self._announced:
            self._nothing_pending()

    def _nothing_pending(self) -> None:
        self._announced = self._first_announced_at = self._given_up = 0

    def should_rerequest(self, now: int, line_progress_at: int = 0) -> bool:
        """Whether announced events are overdue, so that they are to be requested on a new connection.
        `line_progress_at` is when a part of a line arrived that is not complete yet; 0: there is none."""
        waiting_since = max(self._first_announced_at, self._requested_at, self.applied_at, line_progress_at)
        return self._announced > 0 and now - waiting_since > self._wait(REREQUEST_DELAY, MAX_WAIT)

    def is_silent(self, now: int, received_at: int) -> bool:
        """Whether a connection is silent, on which something arrived last at this time: it may be dead."""
        return now - received_at > self._wait(SILENCE_TIMEOUT, MAX_WAIT)

    def line_overdue(self, now: int, began_at: int) -> bool:
        """Whether a line that began to arrive at this time (0: none) takes too long."""
        return began_at > 0 and now - began_at > self._wait(LINE_TIMEOUT, MAX_LINE_TIMEOUT)

    def connection_given_up(self) -> None:
        """A connection is given up for one of these reasons."""
        self._given_up = min(MAX_DOUBLINGS, self._given_up + 1)

    def _wait(self, first: int, limit: int) -> int:
        return min(limit, first << self._given_up)

    def missing(self, now: int) -> MissingPurges:
        """Which purges may be missing now."""
        unanswered_since = 0 if self._answered else self._requested_at
        overdue = [
            missing_before
            for waiting_since, missing_before in (
                (unanswered_since, unanswered_since),
                (self._first_announced_at, self._last_announced_at),
            )
            if waiting_since and now - waiting_since > REPLY_GRACE
        ]
        return MissingPurges(DELIVERY_TIME if now - self.current_at > DELIVERY_TIME else 0, max(overdue, default=0))
