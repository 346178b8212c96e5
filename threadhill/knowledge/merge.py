"""Merges the proxies' reports into one hint per location, in the control plane. Times in milliseconds.

Each proxy counts once, with its newest report while that is recent. Nothing is accumulated over time, so a report that
is lost, late or duplicated has no lasting effect.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

MAX_REPORT_AGE = 4_000  # milliseconds for which a report counts
MAX_PROXIES = 10_000  # that are remembered
MAX_OBJECTS, MAX_CACHES = 32, 40  # in one hint, which keeps it under 2,000 bytes
MAX_RATE, MAX_INFLIGHT = 1e5, 1e5  # in the report of one proxy: more is invalid
MAX_NAME = 64  # characters of an object name


@dataclass(frozen=True, slots=True)
class ProxyReport:
    """The newest report of one proxy."""

    number: int
    received_at: int
    zone: str
    objects: tuple[tuple[str, float], ...]
    caches: tuple[tuple[int, float, bool], ...]


def parse_report(raw: Any, at: int) -> ProxyReport | None:
    """Parses a report; None if any of it is invalid."""
    if not isinstance(raw, Mapping):
        return None
    number, zone, objects, caches = raw.get("n"), raw.get("zone"), raw.get("objects"), raw.get("caches")
    if (
        type(number) is not int
        or not isinstance(zone, str)
        or not isinstance(objects, list)
        or not isinstance(caches, list)
        or len(objects) > 2 * MAX_OBJECTS
        or len(caches) > 2 * MAX_CACHES
    ):
        return None
    try:
        object_rates = tuple((name, float(rate)) for name, rate in objects)
        cache_loads = tuple((server, float(inflight), bool(ejected)) for server, inflight, ejected in caches)
    except (TypeError, ValueError):
        return None
    valid = all(
        isinstance(name, str) and 0 < len(name) <= MAX_NAME and 0 <= rate <= MAX_RATE for name, rate in object_rates
    )
    valid = valid and all(type(server) is int and 0 <= inflight <= MAX_INFLIGHT for server, inflight, _ in cache_loads)
    return ProxyReport(number, at, zone, object_rates, cache_loads) if valid else None


class ReportAggregator:
    """The newest reports of all proxies."""

    def __init__(self) -> None:
        self.by_name: dict[str, ProxyReport] = {}
        self.number = 0
        self.rejected = 0  # reports that were invalid, old or duplicate
        self._hints: dict[str, tuple[int, dict[str, Any]]] = {}  # zone -> creation time and hint

    def add_report(self, proxy: str, raw: Any, now: int) -> bool:
        """Adds a report; returns whether it was accepted."""
        report, known = parse_report(raw, now), self.by_name.get(proxy)
        # A lower number is that of a restarted proxy, if its earlier report has expired.
        old = (
            known is not None
            and report is not None
            and report.number <= known.number
            and now - known.received_at < MAX_REPORT_AGE
        )
        if report is None or old or known is None and len(self.by_name) >= MAX_PROXIES:
            self.rejected += 1
            return False
        self.by_name[proxy] = report
        return True

    def expire(self, now: int) -> None:
        """Forgets proxies that have not reported for long."""
        for proxy in [name for name, report in self.by_name.items() if now - report.received_at > 10 * MAX_REPORT_AGE]:
            del self.by_name[proxy]

    def hint(self, proxy: str, now: int) -> dict[str, Any] | None:
        """The hint for this proxy, the same for all proxies of its location; None if there are no others."""
        known = self.by_name.get(proxy)
        if known is None:
            return None
        when, hint = self._hints.get(known.zone, (-MAX_REPORT_AGE, {}))
        if now - when >= MAX_REPORT_AGE // 8:
            hint = self._create_hint(known.zone, now)
            self._hints[known.zone] = now, hint
        return hint or None

    def _create_hint(self, zone: str, now: int) -> dict[str, Any]:
        fresh = [
            report
            for report in self.by_name.values()
            if report.zone == zone and now - report.received_at < MAX_REPORT_AGE
        ]
        if len(fresh) < 2:
            return {}
        rates, inflight, ejections = (
            defaultdict[str, float](float),
            defaultdict[int, float](float),
            defaultdict[int, int](int),
        )
        for report in fresh:
            for name, rate in report.objects:
                rates[name] += rate
            for server, inflight_there, ejected in report.caches:
                inflight[server] += inflight_there
                ejections[server] += ejected
        self.number += 1
        hottest = sorted(rates.items(), key=lambda item: (-item[1], item[0]))[:MAX_OBJECTS]
        busiest = sorted(inflight, key=lambda server: (-ejections[server], -inflight[server], server))[:MAX_CACHES]
        return {
            "n": self.number,
            "proxies": len(fresh),
            "at": now,
            "age": sum(now - report.received_at for report in fresh) // len(fresh),
            "objects": [[name, round(rate, 2)] for name, rate in hottest],
            "caches": [[s, round(inflight[s], 1), round(ejections[s] / len(fresh), 2)] for s in busiest],
        }
