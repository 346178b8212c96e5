"""Which copies are too old to be served: purges that were told, and purges that may have been missed.

After a purge no copy from before it may be served, until every server has dropped its older copies by itself. All
times are local microseconds, which run forward evenly, except `stamp` and `born`: both are Unix microseconds of the
origin's side, and are compared with each other only, so that no clock of this process takes part.
"""

from __future__ import annotations

from dataclasses import dataclass

EVERYTHING = "*"  # key of a purge of all objects; no object has this name


@dataclass(frozen=True, slots=True)
class PurgeRecord:
    """One purge: when it happened, when it was heard here, and its stamp (0: none that can be believed)."""

    at: int
    heard_at: int
    stamp: int = 0


class Freshness:
    """The purges of one instance that copies may still be older than."""

    def __init__(self, drop_time: int) -> None:
        """`drop_time`: microseconds after a purge in which servers drop older copies by themselves."""
        self.drop_time = drop_time
        self.records: dict[str | int, PurgeRecord] = {}
        self.missed_age = 0  # purges from longer ago than this may have been missed; 0: none may

    def purge(self, key: str | int, record: PurgeRecord) -> None:
        """Note a purge of an object (its name), a group (its number) or `EVERYTHING`, and forget those that are over.
        Of several of one key the latest counts."""
        known = self.records.get(key)
        if known is not None:
            record = PurgeRecord(max(record.at, known.at), record.heard_at, max(record.stamp, known.stamp))
        self.records[key] = record
        self.records = self.current(record.heard_at)

    def current(self, now: int) -> dict[str | int, PurgeRecord]:
        """The purges that copies may still be older than."""
        return {key: record for key, record in self.records.items() if now - record.at <= self.drop_time}

    def _of(self, name: str, group: int | None) -> list[PurgeRecord]:
        """The purges that an object of this name and group falls under."""
        keys = (name, group, EVERYTHING)
        return [self.records[key] for key in keys if key in self.records]

    def oldest(self, name: str, group: int | None, now: int) -> int:
        """The age from which on a copy of this object may be from before a purge; 0: every copy will do."""
        latest = max((record.at for record in self._of(name, group)), default=0)
        if self.missed_age:
            latest = max(latest, now - self.missed_age)
        if not latest or now - latest > self.drop_time:
            return 0
        return max(1, now - latest)

    def is_purged(self, name: str, group: int | None, sent_at: int, born: int) -> bool:
        """Whether a copy born then (Unix microseconds; 0: not told) is older than a purge that was known when it was
        asked for."""
        if not born:
            return False
        return any(record.heard_at <= sent_at and born < record.stamp for record in self._of(name, group))
