"""What the proxies say of themselves, and what their silence means. Free of I/O; all times in milliseconds.

A proxy reports over its feed: the number of the last event that it has applied, its configuration, and which servers it
reaches. One that reported within its lease is live, and is waited for. One that is silent can't be told from one that
died; it is waited for until the time has passed after which PROTOCOL counts all news as told, and the step says so.
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

LEASE = 3_000  # milliseconds that one report makes a proxy live for; reports come every second
GONE_AFTER = 1_000  # milliseconds that a server must be out of every proxy's reach to count as gone
MOST = 10_000  # proxies that are remembered
PHASES = frozenset(phase.value for phase in Phase)
TEACHERS = 25  # proxies whose documents are summed: a median needs no more, and each is some 20 KB
TAUGHT_AGAIN = 1_000  # milliseconds for which a sum is told to all that come
LEARNED_FOR = 60_000  # milliseconds after which what a proxy learned is not told any more


@dataclass(slots=True)
class Member:
    """One proxy as it last reported."""

    name: str
    seen: int = 0
    applied: int = 0
    config: str = ""
    up: frozenset[str] = frozenset()
    down: dict[str, int] = field(default_factory=dict)  # server name -> since when it was not reached
    phase: str | None = None  # of its recovery, where it says that, and what brought it there
    cause: str = ""
    learned: tuple[int, dict[str, Any]] | None = None  # when it told what it has learned, and what


@dataclass(frozen=True, slots=True)
class Told:
    """Whether an event has reached everyone who counts; `waits` are those that are still waited for."""

    done: bool
    waits: tuple[str, ...] = ()
    passed: tuple[str, ...] = ()  # silent ones that were not waited for any longer


class Members:
    """All proxies that ever reported, by name."""

    def __init__(self, silent: int = 7_000) -> None:
        self.silent = silent
        self._sum: tuple[int, tuple[dict[str, Any], int] | None] = (-TAUGHT_AGAIN, None)
        self.by_name: dict[str, Member] = {}

    def report(self, raw: Mapping[str, Any], now: int) -> Member | None:
        """Take a report; None where it cannot be used."""
        name, applied, config = raw.get("proxy"), raw.get("applied"), raw.get("config")
        if not isinstance(name, str) or not name or type(applied) is not int or not isinstance(config, str):
            return None
        if name not in self.by_name and len(self.by_name) >= MOST:
            return None
        member = self.by_name.setdefault(name, Member(name))
        member.seen, member.applied, member.config = now, applied, config
        member.up = frozenset(item for item in raw.get("up") or () if isinstance(item, str))
        told = raw.get("recovery")
        told = told if isinstance(told, Mapping) else {}
        phase, cause = told.get("phase"), told.get("cause")
        member.phase = phase if phase in PHASES else None
        member.cause = cause[:200] if isinstance(cause, str) else ""
        if "learned" in told:
            with suppress(Malformed):  # what can't be read is left, and the older one stays
                member.learned = now, check(told["learned"])
        down = [item for item in raw.get("down") or () if isinstance(item, str)]
        member.down = {item: member.down.get(item, now) for item in down}
        return member

    def taught(self, now: int) -> tuple[dict[str, Any], int] | None:
        """What the proxies in full service have learned, as one document, and its age in milliseconds; None where
        nobody is warm. Made once for all that come within a second."""
        when, made = self._sum
        if now - when >= TAUGHT_AGAIN:
            known = [
                (m.learned[1], now - m.learned[0])
                for m in self.by_name.values()
                if m.learned is not None and now - m.learned[0] <= LEARNED_FOR
            ]
            known.sort(key=lambda item: item[1])
            made = merge(known[:TEACHERS]) if known else None
            self._sum = now, made
        return made

    def live(self, name: str, now: int) -> bool:
        member = self.by_name.get(name)
        return member is not None and now - member.seen <= LEASE

    def told(self, names: Iterable[str], pos: int, at: int, now: int) -> Told:
        """Whether the event `pos`, published at `at`, has reached the proxies of these names."""
        waits, passed = [], []
        for name in names:
            member = self.by_name.get(name)
            if member is not None and member.applied >= pos:
                continue
            if self.live(name, now) or now - at < self.silent:
                waits.append(name)
            else:
                passed.append(name)
        return Told(not waits, tuple(waits), tuple(passed))

    def gone(self, now: int) -> frozenset[str]:
        """Names of servers that no live proxy reaches, and one at least has tried to for a while."""
        live = [member for member in self.by_name.values() if now - member.seen <= LEASE]
        up = {name for member in live for name in member.up}
        return frozenset(
            name
            for member in live
            for name, since in member.down.items()
            if name not in up and now - since >= GONE_AFTER
        )

    def forget(self, names: set[str], now: int) -> None:
        """Let go of those that are not recorded any more and say nothing."""
        for name in [n for n, m in self.by_name.items() if n not in names and now - m.seen > 100 * LEASE]:
            del self.by_name[name]
