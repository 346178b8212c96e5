"""Retention of snapshots: the newest ones, then one an hour, then one a day. Free of I/O; times in seconds."""

from __future__ import annotations

from collections.abc import Iterable

HOUR, DAY = 3_600, 86_400


def expired_snapshots(times: Iterable[int], now: int, newest: int = 10, hours: int = 24, days: int = 30) -> list[int]:
    """Of snapshots taken at these times, those to delete. Times in the future are kept: a clock that was set back must
    not delete anything."""
    ordered = sorted(set(times), reverse=True)
    keep = set(ordered[:newest])
    for span, count in ((HOUR, hours), (DAY, days)):
        seen: set[int] = set()
        for time in ordered:
            slot = time // span
            if now - time <= span * count and slot not in seen:
                seen.add(slot)
                keep.add(time)
    return [time for time in ordered if time not in keep and time <= now]
