"""Which copies are too old to be served: purges that are known, and purges that may have been missed.

After a purge, no copy from before it may be served. Two rules ensure that. Until every server has had the time to drop
its older copies, attempts carry a maximum age. And an answer is rejected if its copy is older than a purge that was
known when the attempt was sent, however long ago that purge was: a fill that began before the purge may last longer
than copies are kept, and a request may have joined it.

All times are local microseconds of a monotonic clock, except timestamps of purges and creation times of copies: both
are Unix microseconds of the origin's side and are compared only with each other, so that this process's wall clock
does not matter.
"""

from __future__ import annotations

from dataclasses import dataclass, field

EVERYTHING = "*"  # key of a purge of all objects; no object has this name
MAX_KEYS = 16_384  # purged objects and groups that are kept, some MB; the one purged longest ago is evicted
MAX_ATTEMPT_TIME = 60_000_000  # microseconds that an attempt may last: more than any deadline
MAX_PURGES_PER_KEY = 32  # purges of one key that are kept apart for attempts in flight
TIMESTAMP_ERROR = 1_000  # microseconds: timestamps are whole milliseconds, rounded by different machines


@dataclass(frozen=True, slots=True)
class PurgeRecord:
    """One purge: when it happened, when it became known here, and its timestamp (0: no plausible one)."""

    purged_at: int
    known_at: int
    timestamp: int = 0


@dataclass(slots=True)
class PurgedKey:
    """The purges of one object, of one group or of everything."""

    purged_at: int  # when the latest of them happened
    known: list[tuple[int, int]] = field(default_factory=list)  # (known since, newest timestamp then), both increasing

    def add(self, record: PurgeRecord) -> None:
        """Add one purge. A repeated one changes nothing, and an older one is covered by the newer."""
        self.purged_at = max(self.purged_at, record.purged_at)
        if record.timestamp <= self.newest_timestamp(record.known_at):
            return
        # A purge that waited unread counts as known before others that were added meanwhile.
        while self.known and self.known[-1][1] <= record.timestamp and self.known[-1][0] >= record.known_at:
            self.known.pop()
        self.known.append((record.known_at, record.timestamp))
        self.known.sort()
        self._prune(record.known_at - MAX_ATTEMPT_TIME)

    def _prune(self, before: int) -> None:
        """Keep what attempts in flight may need. If there are too many purges, the earliest are merged into one, known
        since the first of them."""
        while len(self.known) > 1 and self.known[1][0] <= before:
            del self.known[0]
        while len(self.known) > MAX_PURGES_PER_KEY:
            self.known[1] = self.known[0][0], self.known[1][1]
            del self.known[0]

    def newest_timestamp(self, sent_at: int) -> int:
        """The newest timestamp of the purges known at this time; 0: none."""
        return max((timestamp for since, timestamp in self.known if since <= sent_at), default=0)

    def any_known_at(self, sent_at: int) -> bool:
        """Whether any purge with a timestamp was known at this time."""
        return any(since <= sent_at for since, _ in self.known)


class Freshness:
    """The purges of one instance that copies may still predate; the modules of all its nodes share them."""

    def __init__(self, drop_time: int) -> None:
        """`drop_time`: microseconds that servers take after a purge to drop older copies by themselves."""
        self.drop_time = drop_time
        self.records: dict[str | int, PurgedKey] = {}
        self.missed_age = 0  # microseconds: older purges may have been missed; 0: none
        self.missed_at = 0  # local time: earlier purges may have been missed; 0: none

    def add_purge(self, key: str | int, record: PurgeRecord) -> None:
        """Add a purge of an object (its name), a group (its number) or `EVERYTHING`."""
        purged = self.records.pop(key, None) or PurgedKey(record.purged_at)
        purged.add(record)
        self.records[key] = purged
        if len(self.records) > MAX_KEYS:
            self._evict_oldest(record)

    def _evict_oldest(self, newest: PurgeRecord) -> None:
        """Drop the key purged longest ago. While copies may still predate its purge, everything counts as purged."""
        oldest = next(key for key in self.records if key != EVERYTHING)
        purged = self.records.pop(oldest)
        if newest.known_at - purged.purged_at <= self.drop_time:
            since, timestamp = purged.known[-1] if purged.known else (newest.known_at, 0)
            self.add_purge(EVERYTHING, PurgeRecord(purged.purged_at, since, timestamp))

    def active_purges(self, now: int) -> dict[str | int, PurgedKey]:
        """The purges that copies may still predate, as long as servers drop older copies in time."""
        return {key: purged for key, purged in self.records.items() if now - purged.purged_at <= self.drop_time}

    def _records_for(self, name: str, group: int | None) -> list[PurgedKey]:
        """The purges that apply to an object of this name and group."""
        keys = (name, group, EVERYTHING)
        return [self.records[key] for key in keys if key in self.records]

    def max_copy_age(self, name: str, group: int | None, now: int) -> int:
        """The age from which a copy of this object may predate a purge; 0: any copy may be used."""
        latest = max((purged.purged_at for purged in self._records_for(name, group)), default=0)
        latest = max(latest, self.missed_at)
        if self.missed_age:
            latest = max(latest, now - self.missed_age)
        if not latest or now - latest > self.drop_time:
            return 0
        return max(1, now - latest)

    def is_purged(self, name: str, group: int | None, sent_at: int, created_at: int, now: int) -> bool:
        """Whether a copy created then (Unix microseconds; 0: unknown) may be older than a purge that was known when the
        attempt was sent. If its creation time is unknown, it may be as long as servers may keep older copies."""
        for purged in self._records_for(name, group):
            if not created_at:
                if now - purged.purged_at <= self.drop_time and purged.any_known_at(sent_at):
                    return True
            elif (timestamp := purged.newest_timestamp(sent_at)) and created_at <= timestamp + TIMESTAMP_ERROR:
                return True
        return False
