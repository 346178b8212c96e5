"""What the proxies say of themselves, and what their silence means. Free of I/O; all times in milliseconds.

A proxy reports over its feed: the number of the last event that it has applied, its configuration, and which servers it
reaches. One that reported within its lease is live, and is waited for. One that is silent can't be told from one that
died; it is waited for until the time has skipped after which PROTOCOL counts all news as told, and the step says so.
A proxy that was recorded and never reported is treated the same.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from threadhill.recovery.learned import check, merge
from threadhill.recovery.phases import Phase
from threadhill.settings import Malformed

LIVE_MS = 3_000  # milliseconds that one report makes a proxy live for; reports come every second
UNREACHABLE_AFTER_MS = 1_000  # milliseconds that a server must be out of every proxy's reach to count as gone
MAX_PROXIES = 10_000  # proxies that are remembered
PHASES = frozenset(phase.value for phase in Phase)
MAX_MERGED = 25  # proxies whose documents are summed: a median needs no more, and each is some 20 KB
MERGE_INTERVAL_MS = 1_000  # milliseconds for which a sum is told to all that come
MAX_LEARNED_AGE_MS = 60_000  # milliseconds after which what a proxy learned is not told any more


@dataclass(slots=True)
class ProxyStatus:
    """One proxy as it last reported."""

    name: str
    last_report_at: int = 0
    applied: int = 0
    config: str = ""
    up: frozenset[str] = frozenset()
    down: dict[str, int] = field(default_factory=dict)  # server name -> since when it was not reached
    phase: str | None = None  # of its recovery, where it says that, and what brought it there
    cause: str = ""
    learned: tuple[int, dict[str, Any]] | None = None  # when it told what it has learned, and what


@dataclass(frozen=True, slots=True)
class Delivery:
    """Whether an event has reached everyone who counts; `waiting` are those that are still waited for."""

    done: bool
    waiting: tuple[str, ...] = ()
    skipped: tuple[str, ...] = ()  # silent ones that were not waited for any longer


class ProxyReports:
    """All proxies that ever reported, by name."""

    def __init__(self, silence_limit: int = 7_000) -> None:
        self.silence_limit = silence_limit
        self._merged: tuple[int, tuple[dict[str, Any], int] | None] = (-MERGE_INTERVAL_MS, None)
        self.by_name: dict[str, ProxyStatus] = {}

    def take(self, raw: Mapping[str, Any], now: int) -> ProxyStatus | None:
        """Take a report; None where it cannot be used."""
        name, applied, config = raw.get("proxy"), raw.get("applied"), raw.get("config")
        if not isinstance(name, str) or not name or type(applied) is not int or not isinstance(config, str):
            return None
        if name not in self.by_name and len(self.by_name) >= MAX_PROXIES:
            return None
        status = self.by_name.setdefault(name, ProxyStatus(name))
        status.last_report_at, status.applied, status.config = now, applied, config
        status.up = frozenset(item for item in raw.get("up") or () if isinstance(item, str))
        told = raw.get("recovery")
        told = told if isinstance(told, Mapping) else {}
        phase, cause = told.get("phase"), told.get("cause")
        status.phase = phase if phase in PHASES else None
        status.cause = cause[:200] if isinstance(cause, str) else ""
        if "learned" in told:
            with suppress(Malformed):  # what can't be read is left, and the older one stays
                status.learned = now, check(told["learned"])
        down = [item for item in raw.get("down") or () if isinstance(item, str)]
        status.down = {item: status.down.get(item, now) for item in down}
        return status

    def merged_knowledge(self, now: int) -> tuple[dict[str, Any], int] | None:
        """What the proxies in full service have learned, as one document, and its age in milliseconds; None where
        nobody is warm. Made once for all that come within a second."""
        when, made = self._merged
        if now - when >= MERGE_INTERVAL_MS:
            known = [
                (m.learned[1], now - m.learned[0])
                for m in self.by_name.values()
                if m.learned is not None and now - m.learned[0] <= MAX_LEARNED_AGE_MS
            ]
            known.sort(key=lambda item: item[1])
            made = merge(known[:MAX_MERGED]) if known else None
            self._merged = now, made
        return made

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
        """Names of servers that no live proxy reaches, and one at least has tried to for a while."""
        live = [status for status in self.by_name.values() if now - status.last_report_at <= LIVE_MS]
        up = {name for status in live for name in status.up}
        return frozenset(
            name
            for status in live
            for name, since in status.down.items()
            if name not in up and now - since >= UNREACHABLE_AFTER_MS
        )

    def forget(self, names: set[str], now: int) -> None:
        """Let go of those that are not recorded any more and say nothing."""
        for name in [n for n, m in self.by_name.items() if n not in names and now - m.last_report_at > 100 * LIVE_MS]:
            del self.by_name[name]
