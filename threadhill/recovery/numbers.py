"""Checks the journal's event numbers as seen by one proxy: whether they go back, jump ahead, or belong to another
service. Free of I/O.

A service that was restored from an older state may list a server as serving that has been drained since. So after the
numbers went back, servers that drained or were removed here stay out until they are reported with a newer start, or
until the numbers pass what was applied here: leaving one server unused is better than sending a request to one that is
gone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from enum import Enum

from threadhill.decision import interface as api
from threadhill.decision.state import put_bounded

MAX_AHEAD = 10_000_000  # numbers ahead at once beyond which it is another service
MAX_DEPARTED = 10_000  # servers remembered as drained or removed


class NumberCheck(Enum):
    SAME = "same"
    AHEAD = "ahead"  # events are missing here
    BACK = "back"  # an older or another store
    FAR = "far"  # another service


def compare_numbers(applied: int, last: int) -> NumberCheck:
    """Compares the service's last number with the last one applied here."""
    if last < applied:
        return NumberCheck.BACK
    if last - applied > MAX_AHEAD and applied:
        return NumberCheck.FAR
    return NumberCheck.SAME if last == applied else NumberCheck.AHEAD


class DepartedServers:
    """Servers that drained or were removed here, in a bounded table, and whether the journal service was rolled
    back."""

    def __init__(self) -> None:
        self.starts: dict[int, int] = {}  # server -> its start time, as reported when it drained or was removed
        self.rolled_back = False
        self.resume_at = 0  # the number at which the rollback ends
        self.withheld: dict[
            int, api.Entry
        ] = {}  # entries of servers that only the rolled-back service lists as serving

    def record(self, entries: Iterable[api.Entry]) -> None:
        """Records entries that are about to be applied, after `screen`."""
        for entry in entries:
            if entry.state is not api.State.READY:
                put_bounded(
                    self.starts, entry.server, max(entry.reported_start, self.starts.get(entry.server, 0)), MAX_DEPARTED
                )
            elif not self.rolled_back:
                self.starts.pop(entry.server, None)

    def begin_rollback(self, applied: int) -> None:
        """The service's state is older, or may be, than number `applied`, which was applied here before."""
        self.rolled_back, self.resume_at = True, max(self.resume_at, applied)

    def reached(self, applied: int) -> tuple[api.Entry, ...]:
        """All events up to this number are applied. If it passes what was applied before the rollback, the rollback
        ends; returns the withheld entries, which now hold."""
        if not self.rolled_back or applied < self.resume_at:
            return ()
        restored, self.withheld = tuple(self.withheld.values()), {}
        self.rolled_back, self.resume_at = False, 0
        self.record(restored)
        return restored

    def screen(self, entries: tuple[api.Entry, ...]) -> tuple[api.Entry, ...]:
        """During a rollback, servers that drained here are kept draining unless they have a newer start."""
        if not self.rolled_back:
            return entries
        screened = []
        for entry in entries:
            if (
                entry.state is api.State.READY
                and entry.server in self.starts
                and entry.reported_start <= self.starts[entry.server]
            ):
                self.withheld[entry.server] = entry
                entry = replace(entry, state=api.State.DRAINING)
            else:
                self.withheld.pop(entry.server, None)
            screened.append(entry)
        return tuple(screened)
