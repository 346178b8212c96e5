"""The journal's numbers as one proxy sees them: those that go back, jump, or belong to another service. Free of I/O.

A list that is told by an older world may name a server as serving that drained since. So what drained or went here
stays out when the numbers went back, until that server is told as started anew, or the numbers pass what was applied
here: rather one server too few than one request to a server that has gone.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from enum import Enum

from threadhill.decision import interface as api
from threadhill.decision.state import put_bounded

FAR = 10_000_000  # numbers ahead at once beyond which it is another service
KEPT = 10_000  # servers remembered as drained or gone


class NumberCheck(Enum):
    SAME = "same"
    AHEAD = "ahead"  # events are missing here
    BACK = "back"  # an older or another store
    FAR = "far"  # another service's


def compare_numbers(applied: int, last: int) -> NumberCheck:
    """What the service's last number says beside the last one applied here."""
    if last < applied:
        return NumberCheck.BACK
    if last - applied > FAR and applied:
        return NumberCheck.FAR
    return NumberCheck.SAME if last == applied else NumberCheck.AHEAD


class DepartedServers:
    """What drained or went here, in the bound of a table; and whether an older world is being told."""

    def __init__(self) -> None:
        self.out: dict[int, int] = {}  # server -> its start, as told when it drained or went
        self.older = False
        self.resume_at = 0  # the number that must be passed for it to be the world that goes on
        self.kept_out: dict[int, api.Entry] = {}  # servers that the older world names as serving, as it does

    def note(self, entries: Iterable[api.Entry]) -> None:
        """Entries as they are about to be applied, screened."""
        for entry in entries:
            if entry.state is not api.State.READY:
                put_bounded(self.out, entry.server, max(entry.reported_start, self.out.get(entry.server, 0)), KEPT)
            elif not self.older:
                self.out.pop(entry.server, None)

    def went_back(self, before: int) -> None:
        """An older world is told, or one that is not known to be newer; this number was applied here before."""
        self.older, self.resume_at = True, max(self.resume_at, before)

    def reached(self, applied: int) -> tuple[api.Entry, ...]:
        """All is applied up to this number. Where that passes what was applied before, it is the world that goes on:
        the servers that were kept out come back, as it tells them."""
        if not self.older or applied < self.resume_at:
            return ()
        back, self.kept_out = tuple(self.kept_out.values()), {}
        self.older, self.resume_at = False, 0
        self.note(back)
        return back

    def screen(self, entries: tuple[api.Entry, ...]) -> tuple[api.Entry, ...]:
        """Of an older world, those that drained here still drain, unless they were started anew."""
        if not self.older:
            return entries
        told = []
        for entry in entries:
            if (
                entry.state is api.State.READY
                and entry.server in self.out
                and entry.reported_start <= self.out[entry.server]
            ):
                self.kept_out[entry.server] = entry
                entry = replace(entry, state=api.State.DRAINING)
            else:
                self.kept_out.pop(entry.server, None)
            told.append(entry)
        return tuple(told)
