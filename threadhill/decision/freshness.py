"""Which copies are too old to be served: purges that were told, and purges that may have been missed.

After a purge no copy from before it may be served. Two rules hold that. Until every server has had the time to drop
its older copies, attempts name the oldest copy that will do. And an answer whose copy is older than a purge that was
known when it was asked for is turned down, however long ago that purge was: a fill that began before the purge may
last longer than copies are kept, and a request may have been let join it.

All times are local microseconds, which run forward evenly, except `stamp` and `born`: both are Unix microseconds of
the origin's side, and are compared with each other only, so that no clock of this process takes part.
"""

from __future__ import annotations

from dataclasses import dataclass, field

EVERYTHING = "*"  # key of a purge of all objects; no object has this name
MAX_KEYS = 16_384  # purged objects and groups that are remembered, some MB; the one purged longest ago makes room
MAX_ATTEMPT_TIME = 60_000_000  # microseconds for which an attempt may be out: more than any deadline
MAX_PURGES_PER_KEY = 32  # purges of one key that attempts under way are told apart by
TIMESTAMP_ERROR = 1_000  # microseconds: stamps and births are whole milliseconds, rounded by different machines


@dataclass(frozen=True, slots=True)
class PurgeRecord:
    """One purge: when it happened, when it became known here, and its timestamp (0: none that can be believed)."""

    purged_at: int
    known_at: int
    timestamp: int = 0


@dataclass(slots=True)
class PurgedKey:
    """The purges of one object, of one group or of everything."""

    purged_at: int  # when the latest of them happened
    known: list[tuple[int, int]] = field(default_factory=list)  # (known since, newest stamp then), both rising

    def add(self, record: PurgeRecord) -> None:
        """Note one more purge. One that is told again changes nothing, and an older one is covered by the newer."""
        self.purged_at = max(self.purged_at, record.purged_at)
        if record.timestamp <= self.newest_timestamp(record.known_at):
            return
        # One that waited unread is known since before others that were noted meanwhile.
        while self.known and self.known[-1][1] <= record.timestamp and self.known[-1][0] >= record.known_at:
            self.known.pop()
        self.known.append((record.known_at, record.timestamp))
        self.known.sort()
        self._prune(record.known_at - MAX_ATTEMPT_TIME)

    def _prune(self, before: int) -> None:
        """Keep what attempts under way may need. Too many to be told apart count as known since the earliest."""
        while len(self.known) > 1 and self.known[1][0] <= before:
            del self.known[0]
        while len(self.known) > MAX_PURGES_PER_KEY:
            self.known[1] = self.known[0][0], self.known[1][1]
            del self.known[0]

    def newest_timestamp(self, sent_at: int) -> int:
        """The newest stamp of the purges that were known then; 0: none was."""
        return max((stamp for since, stamp in self.known if since <= sent_at), default=0)

    def any_known_at(self, sent_at: int) -> bool:
        """Whether any purge with a stamp was known then."""
        return any(since <= sent_at for since, _ in self.known)


class Freshness:
    """The purges of one instance that copies may still be older than."""

    def __init__(self, drop_time: int) -> None:
        """`drop_time`: microseconds after a purge in which servers drop older copies by themselves."""
        self.drop_time = drop_time
        self.records: dict[str | int, PurgedKey] = {}
        self.missed_age = 0  # purges from longer ago than this may have been missed; 0: none may
        self.missed_at = 0  # purges from before this local time may have been missed; 0: none may

    def add_purge(self, key: str | int, record: PurgeRecord) -> None:
        """Note a purge of an object (its name), a group (its number) or `EVERYTHING`."""
        purged = self.records.pop(key, None) or PurgedKey(record.purged_at)
        purged.add(record)
        self.records[key] = purged
        if len(self.records) > MAX_KEYS:
            self._evict_oldest(record)

    def _evict_oldest(self, newest: PurgeRecord) -> None:
        """Forget the key purged longest ago. Where its purge may still bind, everything counts as purged instead."""
        oldest = next(key for key in self.records if key != EVERYTHING)
        purged = self.records.pop(oldest)
        if newest.known_at - purged.purged_at <= self.drop_time:
            since, stamp = purged.known[-1] if purged.known else (newest.known_at, 0)
            self.add_purge(EVERYTHING, PurgeRecord(purged.purged_at, since, stamp))

    def active_purges(self, now: int) -> dict[str | int, PurgedKey]:
        """The purges that copies may still be older than, as long as servers keep to the time they have."""
        return {key: purged for key, purged in self.records.items() if now - purged.purged_at <= self.drop_time}

    def _records_for(self, name: str, group: int | None) -> list[PurgedKey]:
        """The purges that an object of this name and group falls under."""
        keys = (name, group, EVERYTHING)
        return [self.records[key] for key in keys if key in self.records]

    def max_copy_age(self, name: str, group: int | None, now: int) -> int:
        """The age from which on a copy of this object may be from before a purge; 0: every copy will do."""
        latest = max((purged.purged_at for purged in self._records_for(name, group)), default=0)
        latest = max(latest, self.missed_at)
        if self.missed_age:
            latest = max(latest, now - self.missed_age)
        if not latest or now - latest > self.drop_time:
            return 0
        return max(1, now - latest)

    def is_purged(self, name: str, group: int | None, sent_at: int, born: int, now: int) -> bool:
        """Whether a copy born then (Unix microseconds; 0: not told) may be older than a purge that was known when it
        was asked for. Of one whose birth is not told this holds while servers may keep copies from before."""
        for purged in self._records_for(name, group):
            if not born:
                if now - purged.purged_at <= self.drop_time and purged.any_known_at(sent_at):
                    return True
            elif (stamp := purged.newest_timestamp(sent_at)) and born <= stamp + TIMESTAMP_ERROR:
                return True
        return False
