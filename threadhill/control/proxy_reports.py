"""The proxies' reports, and how long a silent proxy is waited for. Free of I/O; all times in milliseconds.

A proxy reports over its feed the number of the last event that it has applied, its configuration, and which servers it
reaches. One that reported within LIVE_MS is live, and is waited for. A silent one can't be told from one that died: it
is waited for until the silence limit, after which PROTOCOL counts all events as delivered, and the step's note names
it. A proxy that was recorded and never reported is treated the same.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from threadhill.recovery.learned import check, merge
from threadhill.recovery.phases import Phase
from threadhill.settings import Malformed

LIVE_MS = 3_000  # how long a report makes a proxy live; reports come every second
UNREACHABLE_AFTER_MS = 1_000  # how long a server must be out of every live proxy's reach to count as unreachable
MAX_PROXIES = 10_000  # proxies that are remembered
PHASES = frozenset(phase.value for phase in Phase)
MAX_MERGED = 25  # proxies whose documents are merged: a median needs no more, and each is some 20 KB
MERGE_INTERVAL_MS = 1_000  # for how long one merged document is sent to all proxies that ask
MAX_LEARNED_AGE_MS = 60_000  # a proxy's document that is older is no longer passed on


@dataclass(slots=True)
class ProxyStatus:
    """One proxy's last report."""

    name: str
    last_report_at: int = 0
    applied: int = 0
    config: str = ""
    up: frozenset[str] = frozenset()
    down: dict[str, int] = field(default_factory=dict)  # server name -> since when it was not reached
    phase: str | None = None  # its recovery phase, if it reports one
    cause: str = ""  # of that phase
    learned: tuple[int, dict[str, Any]] | None = None  # when it last sent what it has learned, and that document


@dataclass(frozen=True, slots=True)
class Delivery:
    """Whether an event has reached all proxies that are waited for."""

    done: bool
    waiting: tuple[str, ...] = ()  # proxies that are still waited for
    skipped: tuple[str, ...] = ()  # silent proxies that are no longer waited for


class ProxyReports:
    """The last report of each proxy, by name."""

    def __init__(self, silence_limit: int = 7_000) -> None:
        self.silence_limit = silence_limit
        self._merged: tuple[int, tuple[dict[str, Any], int] | None] = (-MERGE_INTERVAL_MS, None)
        self.by_name: dict[str, ProxyStatus] = {}

    def take(self, raw: Mapping[str, Any], now: int) -> ProxyStatus | None:
        """Take in a report; None if it is unusable."""
        name, applied, config = raw.get("proxy"), raw.get("applied"), raw.get("config")
        if not isinstance(name, str) or not name or type(applied) is not int or not isinstance(config, str):
            return None
        if name not in self.by_name and len(self.by_name) >= MAX_PROXIES:
            return None
        status = self.by_name.setdefault(name, ProxyStatus(name))
        status.last_report_at, status.applied, status.config = now, applied, config
        status.up = frozenset(item for item in raw.get("up") or () if isinstance(item, str))
        recovery = raw.get("recovery")
        recovery = recovery if isinstance(recovery, Mapping) else {}
        phase, cause = recovery.get("phase"), recovery.get("cause")
        status.phase = phase if phase in PHASES else None
        status.cause = cause[:200] if isinstance(cause, str) else ""
        if "learned" in recovery:
            with suppress(Malformed):  # an unreadable document is ignored, and the older one stays
                status.learned = now, check(recovery["learned"])
        down = [item for item in raw.get("down") or () if isinstance(item, str)]
        status.down = {item: status.down.get(item, now) for item in down}
        return status

    def merged_knowledge(self, now: int) -> tuple[dict[str, Any], int] | None:
        """What the proxies in full service have learned, merged into one document, and its age in milliseconds; None if
        there is nothing to merge. Cached for MERGE_INTERVAL_MS."""
        when, merged = self._merged
        if now - when >= MERGE_INTERVAL_MS:
            known = [
                (m.learned[1], now - m.learned[0])
                for m in self.by_name.values()
                if m.learned is not None and now - m.learned[0] <= MAX_LEARNED_AGE_MS
            ]
            known.sort(key=lambda item: item[1])
            merged = merge(known[:MAX_MERGED]) if known else None
            self._merged = now, merged
        return merged

    def is_live(self, name: str, now: int) -> bool:
        status = self.by_name.get(name)
        return status is not None and now - status.last_report_at <= LIVE_MS

    def delivery(self, names: Iterable[str], pos: int, at: int, now: int) -> Delivery:
        """Whether the event `pos`, published at `at`, has reached the proxies of these names."""
        waiting, skipped = [], []
        for name in names:
            status = self.by_name.get(name)
            if status is not None and status.applied >= pos:
                continue
            if self.is_live(name, now) or now - at < self.silence_limit:
                waiting.append(name)
            else:
                skipped.append(name)
        return Delivery(not waiting, tuple(waiting), tuple(skipped))

    def unreachable(self, now: int) -> frozenset[str]:
        """Names of servers that no live proxy reaches and at least one has failed to reach for UNREACHABLE_AFTER_MS."""
        live = [status for status in self.by_name.values() if now - status.last_report_at <= LIVE_MS]
        up = {name for status in live for name in status.up}
        return frozenset(
            name
            for status in live
            for name, since in status.down.items()
            if name not in up and now - since >= UNREACHABLE_AFTER_MS
        )

    def forget(self, names: set[str], now: int) -> None:
        """Drop proxies that are no longer recorded and have been silent for long."""
        for name in [n for n, m in self.by_name.items() if n not in names and now - m.last_report_at > 100 * LIVE_MS]:
            del self.by_name[name]
