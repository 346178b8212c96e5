"""Remembers which events were applied under which numbers, and checks whether a configuration uses the same numbers.

Discovery numbers its events anew for each start of a proxy. A reloaded configuration may have been written with the
numbers of another start: then its numbers do not identify the events that discovery sends.
"""

from __future__ import annotations

from collections.abc import Iterable

from threadhill.decision.state import put_bounded
from threadhill.net.journal_events import Event

MAX_REMEMBERED = 2_048  # numbers

PurgeIdentity = tuple[str | None, int | None, int]


def purge_identity(event: Event) -> PurgeIdentity | None:
    """Identifies a purge independently of its number; None for an event that is no purge."""
    return None if event.stamp is None else (event.object, event.group, event.stamp)


def last_without_gap(events: list[Event]) -> int:
    """The last number of the initial run of consecutive numbers; 0 if there are no events."""
    last = events[0].pos if events else 0
    for event in events[1:]:
        if event.pos != last + 1:
            break
        last = event.pos
    return last


class EventNumbers:
    """The numbers of recently applied events."""

    def __init__(self) -> None:
        self._applied: dict[int, PurgeIdentity | None] = {}

    def record(self, event: Event) -> None:
        """Record an applied event."""
        put_bounded(self._applied, event.pos, purge_identity(event), MAX_REMEMBERED)

    def consistent(self, events: Iterable[Event]) -> bool:
        """Whether none of these events has a number under which a different event was applied."""
        return all(self._applied.get(event.pos, purge_identity(event)) == purge_identity(event) for event in events)
