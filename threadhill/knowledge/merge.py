"""What all reports say together, for each location: the control plane's part. Times in milliseconds.

Each proxy counts once, with its newest report while that is new; nothing is summed up over time, so a report that is
lost, late or doubled is no fault that lasts.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

FRESH = 4_000  # milliseconds that a report counts for
PROXIES = 10_000  # that are remembered
OBJECTS, CACHES = 32, 40  # of one hint: with them it stays under 2,000 bytes
MOST_RATE, MOST_OPEN = 1e5, 1e5  # what one proxy may say: more is a fault of its own
NAME = 64  # characters of an object


@dataclass(frozen=True, slots=True)
class Said:
    """One proxy's newest report."""

    number: int
    at: int
    zone: str
    objects: tuple[tuple[str, float], ...]
    caches: tuple[tuple[int, float, bool], ...]


def read(raw: Any, at: int) -> Said | None:
    """A report's part; None where it can't be used, all of it."""
    if not isinstance(raw, Mapping):
        return None
    number, zone, objects, caches = raw.get("n"), raw.get("zone"), raw.get("objects"), raw.get("caches")
    if (
        type(number) is not int
        or not isinstance(zone, str)
        or not isinstance(objects, list)
        or not isinstance(caches, list)
        or len(objects) > 2 * OBJECTS
        or len(caches) > 2 * CACHES
    ):
        return None
    try:
        told = tuple((name, float(rate)) for name, rate in objects)
        held = tuple((server, float(out), bool(ill)) for server, out, ill in caches)
    except (TypeError, ValueError):
        return None
    good = all(isinstance(name, str) and 0 < len(name) <= NAME and 0 <= rate <= MOST_RATE for name, rate in told)
    good = good and all(type(server) is int and 0 <= out <= MOST_OPEN for server, out, _ in held)
    return Said(number, at, zone, told, held) if good else None


class ReportAggregator:
    """All proxies' newest reports."""

    def __init__(self) -> None:
        self.by_name: dict[str, Said] = {}
        self.number = 0
        self.refused = 0  # reports that could not be used, were old or came twice
        self._made: dict[str, tuple[int, dict[str, Any]]] = {}  # zone -> when, and what was told

    def add_report(self, proxy: str, raw: Any, now: int) -> bool:
        """Take one; whether it counts."""
        said, known = read(raw, now), self.by_name.get(proxy)
        # A number that went back is a proxy that started anew, once its older report counts no more.
        old = known is not None and said is not None and said.number <= known.number and now - known.at < FRESH
        if said is None or old or known is None and len(self.by_name) >= PROXIES:
            self.refused += 1
            return False
        self.by_name[proxy] = said
        return True

    def expire(self, now: int) -> None:
        """Let go of those that said nothing for long."""
        for proxy in [name for name, said in self.by_name.items() if now - said.at > 10 * FRESH]:
            del self.by_name[proxy]

    def hint(self, proxy: str, now: int) -> dict[str, Any] | None:
        """What the others of this proxy's location say, one text for all of them; None where there are no others."""
        known = self.by_name.get(proxy)
        if known is None:
            return None
        when, made = self._made.get(known.zone, (-FRESH, {}))
        if now - when >= FRESH // 8:
            made = self._make(known.zone, now)
            self._made[known.zone] = now, made
        return made or None

    def _make(self, zone: str, now: int) -> dict[str, Any]:
        fresh = [said for said in self.by_name.values() if said.zone == zone and now - said.at < FRESH]
        if len(fresh) < 2:
            return {}
        rates, out, ill = defaultdict[str, float](float), defaultdict[int, float](float), defaultdict[int, int](int)
        for said in fresh:
            for name, rate in said.objects:
                rates[name] += rate
            for server, open_there, is_ill in said.caches:
                out[server] += open_there
                ill[server] += is_ill
        self.number += 1
        hottest = sorted(rates.items(), key=lambda item: (-item[1], item[0]))[:OBJECTS]
        busiest = sorted(out, key=lambda server: (-ill[server], -out[server], server))[:CACHES]
        return {
            "n": self.number,
            "proxies": len(fresh),
            "at": now,
            "age": sum(now - s.at for s in fresh) // len(fresh),
            "objects": [[name, round(rate, 2)] for name, rate in hottest],
            "caches": [[s, round(out[s], 1), round(ill[s] / len(fresh), 2)] for s in busiest],
        }
