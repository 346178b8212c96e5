"""Prometheus metrics of the core and of overload control, collected on request."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from threadhill.overload.detector import State
from threadhill.stats import Stats

COUNTED = {
    "taken": "Requests taken",
    "served": "Requests served",
    "refused": "Requests refused",
    "failed": "Requests failed",
    "damped": "Requests refused before the decision module",
    "relayed": "Attempts written to cache servers",
}


class Collector:
    """Reads the current counters and the status document."""

    def __init__(self, stats: Stats, status: Callable[[int], dict[str, Any]], clock: Callable[[], int]) -> None:
        self.stats, self.status, self.clock = stats, status, clock

    def collect(self) -> Iterator[Metric]:
        counts = self.stats.counts
        for name, text in COUNTED.items():
            family = CounterMetricFamily(f"threadhill_{name}", text, labels=["class"])
            for (counter, label), value in sorted(counts.items()):
                if counter == name:
                    family.add_metric([label], value)
            yield family
        now = self.status(self.clock())
        state = GaugeMetricFamily("threadhill_overload_state", "1 for the state that it is in", labels=["state"])
        for member in State:
            state.add_metric([member.value], float(now["state"] == member.value))
        yield state
        for name, value in now["figures"].items():
            yield GaugeMetricFamily(f"threadhill_overload_{name}", f"{name} of all requests, lately", value=value)
        held = CounterMetricFamily("threadhill_overload_held_off", "Requests held off, by reason", labels=["why"])
        for why, value in sorted(now["held_off"].items()):
            held.add_metric([why], value)
        yield held
        room = now["room"]
        yield GaugeMetricFamily(
            "threadhill_overload_room",
            "Work a second let through to the module; -1: no bound",
            value=-1.0 if room is None else room,
        )
        back = now["come_back"]
        returns = CounterMetricFamily(
            "threadhill_overload_returns", "Clients that came back, as told or not", labels=["how"]
        )
        for how, value in sorted(back["returns"].items()):
            returns.add_metric([how], value)
        yield returns
        yield GaugeMetricFamily(
            "threadhill_overload_waiting", "Clients told to come back later than now", value=back["waiting"]
        )


def page_renderer(
    stats: Stats, status: Callable[[int], dict[str, Any]], clock: Callable[[], int]
) -> Callable[[], bytes]:
    """Returns a function that renders the metrics page."""
    registry = CollectorRegistry()
    registry.register(Collector(stats, status, clock))  # type: ignore[arg-type]
    return lambda: generate_latest(registry)
