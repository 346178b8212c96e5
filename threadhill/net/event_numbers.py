"""Which events were applied under which number, and whether a configuration numbers them as discovery does.

Discovery counts its events anew for each start of a proxy. A configuration that is read again may have been written
with the numbers of another start: then a number in it says nothing of the event that discovery tells under it.
"""

from __future__ import annotations

from collections.abc import Iterable

from threadhill.decision.state import remember
from threadhill.net.journal_events import Event

REMEMBERED = 2_048  # numbers

PurgeIdentity = tuple[str | None, int | None, int]


def purge_identity(event: Event) -> PurgeIdentity | None:
    """What tells one purge from another, whatever their numbers; None for an event that is no purge."""
    return None if event.stamp is None else (event.object, event.group, event.stamp)


def last_without_gap(events: list[Event]) -> int:
    """The last number of those, in their order, that follow the first without a gap; 0 where there are none."""
    last = events[0].pos if events else 0
    for event in events[1:]:
        if event.pos != last + 1:
            break
        last = event.pos
    return last


class EventNumbers:
    """The numbers of the events that were applied lately."""

    def __init__(self) -> None:
        self._purges: dict[int, PurgeIdentity | None] = {}

    def note(self, event: Event) -> None:
        """An event was applied under its number."""
        remember(self._purges, event.pos, purge_identity(event), REMEMBERED)

    def agree(self, events: Iterable[Event]) -> bool:
        """Whether these events have no number under which another one was applied here."""
        return all(self._purges.get(event.pos, purge_identity(event)) == purge_identity(event) for event in events)
