"""Slow start with many proxies: the load that a whole fleet that knows of a server's start puts on the cold server.

The rule allows a server in slow start N + 2 * sqrt(N) + 2 requests of mean work in the window of the settings
(N + 3 * sqrt(N) + 3 if N is under 30), where N is its capacity at that time, times the multiple of the settings.
Several router instances share the traffic, evenly or with a third of it at one of them. Each learns of the start at a
different time, and requests from instances that have not yet learned of it do not count against the rule.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from dataclasses import replace

import pytest

from tests.script import MS, SECOND, SETTINGS, cache, fleet
from threadhill.decision import interface as api
from threadhill.decision.choice import Router

CACHES = (11, 12, 13, 14, 15)
COLD = 11
LOAD = 0.6  # share of its capacity that a warm cache uses
WARM_S, COLD_S = 6.0, 6.0  # simulated seconds before and after the start
RATES = {1: 60.0, 4: 60.0, 30: 60.0, 200: 240.0}  # instances -> total requests/s; with 200, about one per second each
MAX_NOTICE_DELAY = 3.0  # seconds after the start by which the last instance learns of it
ANSWER = 50 * MS
SEEDS = 25  # for each of the eight cases: 200 in all


def allowed(age: float, rate: float) -> float:
    """The maximum of requests in the window that ends at this age in seconds, for a server whose peers share `rate`
    requests per second."""
    cold_capacity, warm_up_time = SETTINGS.cold_capacity, SETTINGS.warm_up_time / SECOND
    share = min(1.0, cold_capacity + (1 - cold_capacity) * age / warm_up_time)
    count = rate / len(CACHES) / LOAD * share * SETTINGS.overload_multiple * SETTINGS.overload_window / SECOND
    root = math.sqrt(count)
    return count + 2 * root + 2 if count >= 30 else count + 3 * root + 3


class FleetOfRouters:
    """Router instances with a common clock; their attempts are answered after a delay."""

    def __init__(self, router_count: int, uneven: bool, seed: int) -> None:
        self.draw, self.rate = random.Random(seed), RATES[router_count]
        settings = replace(SETTINGS, zone_routers=(0, router_count, router_count), routers=2 * router_count)
        self.now = 1000 * SECOND
        self.routers = [Router(settings, seed * 1_000 + n) for n in range(router_count)]
        for router in self.routers:
            router.start(self.now)
            router.handle(self.now, api.ListNews(api.ListKind.FULL, tuple(fleet(CACHES))))
        rest = [1.0] * router_count if not uneven or router_count == 1 else [2 / 3 / (router_count - 1)] * router_count
        self.weights = [1 / 3, *rest[1:]] if uneven and router_count > 1 else rest
        self.ends: list[tuple[int, int, int, api.AttemptEnded]] = []
        self.asked = 0
        self.notified = [False] * router_count
        # At the cold server: time, and whether the sender knew of the start.
        self.arrivals: deque[tuple[int, bool]] = deque()

    def request(self) -> None:
        """Send the next request, at a random time to a random instance."""
        self.now += max(1, int(self.draw.expovariate(self.rate) * SECOND))
        while self.ends and self.ends[0][0] <= self.now:
            _, _, n, end = heapq.heappop(self.ends)
            self.run_actions(n, self.routers[n].handle(self.now, end))
        (n,) = self.draw.choices(range(len(self.routers)), self.weights)
        self.asked += 1
        name = f"o{int(self.draw.paretovariate(0.8)) % 300}"
        self.run_actions(n, self.routers[n].handle(self.now, api.Request(f"q{self.asked}", "reads", name, 6 * SECOND)))

    def run_actions(self, n: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Fetch):
                if action.server == COLD:
                    self.arrivals.append((self.now, self.notified[n]))
                end = api.AttemptEnded(action.id, 0, action.server, api.Outcome.SERVED, ANSWER, True)
                heapq.heappush(self.ends, (self.now + ANSWER, self.asked, n, end))

    def notify(self, n: int, since: int) -> None:
        self.notified[n] = True
        self.run_actions(
            n,
            self.routers[n].handle(self.now, api.ListNews(api.ListKind.CHANGES, (cache(COLD, reported_start=since),))),
        )


def simulate(router_count: int, uneven: bool, seed: int) -> tuple[float, int]:
    """The highest load of a window from instances that know of the start, relative to the allowed load, and their
    total of requests."""
    world = FleetOfRouters(router_count, uneven, seed)
    while world.now < (1000 + WARM_S) * SECOND:
        world.request()
    since = world.now
    world.arrivals.clear()
    times = sorted((since + int(world.draw.random() * MAX_NOTICE_DELAY * SECOND), n) for n in range(router_count))
    highest, sent = 0.0, 0
    while world.now < since + COLD_S * SECOND:
        while times and times[0][0] <= world.now:
            world.notify(times.pop(0)[1], since)
        before = len(world.arrivals)
        world.request()
        sent += sum(told for _, told in list(world.arrivals)[before:])
        while world.arrivals and world.arrivals[0][0] <= world.now - SETTINGS.overload_window:
            world.arrivals.popleft()
        told = sum(told for _, told in world.arrivals)
        if told > 2 / 3 * len(world.arrivals):  # else the overload is not caused by those
            highest = max(highest, told / allowed((world.now - since) / SECOND, world.rate))
    return highest, sent


@pytest.mark.parametrize("uneven", [False, True], ids=["even", "a third at one"])
@pytest.mark.parametrize("router_count", [1, 4, 30, 200])
def test_a_cold_server_gets_no_more_requests_from_all_routers_than_allowed(router_count: int, uneven: bool) -> None:
    """It must also get some requests, or it would never warm up."""
    results = [simulate(router_count, uneven, seed) for seed in range(SEEDS)]
    highest = [part for part, _ in results]
    near = sum(part > 0.8 for part in highest) / SEEDS
    mean = sum(sent for _, sent in results) / SEEDS
    print(
        f"{router_count} routers, {'a third at one' if uneven else 'even'}: fullest window {max(highest):.2f} of the "
        f"allowed load, over 0.8 in {near:.1%} of {SEEDS} seeds, {mean:.1f} requests in {COLD_S:g} s"
    )
    assert max(highest) <= 1.0
    assert mean > 3
