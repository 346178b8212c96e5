"""Slow start under the sum of all proxies: what a cold server gets from a whole fleet that knows of its start.

The rule allows a server in slow start N + 2 * sqrt(N) + 2 requests of mean work in the window that the settings name
(N + 3 * sqrt(N) + 3 where N is under 30), N being its capacity then, times the settings' multiple. Instances of the
module share the traffic here, evenly or with a third of it at one of them; each hears of the start at a time of its
own, and what comes from those that have not heard yet is not theirs to answer for.
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
LOAD = 0.6  # part of its capacity that a warm cache serves
WARM_S, COLD_S = 6.0, 6.0  # seconds before the start, and after it, that are played
RATES = {1: 60.0, 4: 60.0, 30: 60.0, 200: 240.0}  # instances -> requests a second of all; at 200, one a second each
TOLD_LATEST = 3.0  # seconds after the start at which the last instance hears of it
ANSWER = 50 * MS
SEEDS = 25  # for each of the eight cases: 200 in all


def allowed(age: float, rate: float) -> float:
    """Most requests in the window that ends at this age in seconds, of a server whose peers serve their part of so many
    requests a second."""
    low, ramp = SETTINGS.cold_capacity, SETTINGS.warm_up_time / SECOND
    share = min(1.0, low + (1 - low) * age / ramp)
    count = rate / len(CACHES) / LOAD * share * SETTINGS.overload_multiple * SETTINGS.overload_window / SECOND
    root = math.sqrt(count)
    return count + 2 * root + 2 if count >= 30 else count + 3 * root + 3


class FleetOfRouters:
    """Instances of the module under one clock; what they send is answered after a while."""

    def __init__(self, crew: int, uneven: bool, seed: int) -> None:
        self.draw, self.rate = random.Random(seed), RATES[crew]
        settings = replace(SETTINGS, zone_routers=(0, crew, crew), routers=2 * crew)
        self.now = 1000 * SECOND
        self.routers = [Router(settings, seed * 1_000 + n) for n in range(crew)]
        for router in self.routers:
            router.start(self.now)
            router.handle(self.now, api.ListNews(api.ListKind.FULL, tuple(fleet(CACHES))))
        rest = [1.0] * crew if not uneven or crew == 1 else [2 / 3 / (crew - 1)] * crew
        self.weights = [1 / 3, *rest[1:]] if uneven and crew > 1 else rest
        self.ends: list[tuple[int, int, int, api.AttemptEnded]] = []
        self.asked = 0
        self.told = [False] * crew
        self.arrivals: deque[tuple[int, bool]] = deque()  # at the cold server: when, from one that was told

    def request(self) -> None:
        """The next request, at a time and an instance by chance."""
        self.now += max(1, int(self.draw.expovariate(self.rate) * SECOND))
        while self.ends and self.ends[0][0] <= self.now:
            _, _, n, end = heapq.heappop(self.ends)
            self.act(n, self.routers[n].handle(self.now, end))
        (n,) = self.draw.choices(range(len(self.routers)), self.weights)
        self.asked += 1
        name = f"o{int(self.draw.paretovariate(0.8)) % 300}"
        self.act(n, self.routers[n].handle(self.now, api.Request(f"q{self.asked}", "reads", name, 6 * SECOND)))

    def act(self, n: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Fetch):
                if action.server == COLD:
                    self.arrivals.append((self.now, self.told[n]))
                end = api.AttemptEnded(action.id, 0, action.server, api.Outcome.SERVED, ANSWER, True)
                heapq.heappush(self.ends, (self.now + ANSWER, self.asked, n, end))

    def tell(self, n: int, since: int) -> None:
        self.told[n] = True
        self.act(
            n,
            self.routers[n].handle(self.now, api.ListNews(api.ListKind.CHANGES, (cache(COLD, reported_start=since),))),
        )


def play(crew: int, uneven: bool, seed: int) -> tuple[float, int]:
    """The fullest window of told instances, as a part of what is allowed, and what they sent in all."""
    world = FleetOfRouters(crew, uneven, seed)
    while world.now < (1000 + WARM_S) * SECOND:
        world.request()
    since = world.now
    world.arrivals.clear()
    times = sorted((since + int(world.draw.random() * TOLD_LATEST * SECOND), n) for n in range(crew))
    fullest, sent = 0.0, 0
    while world.now < since + COLD_S * SECOND:
        while times and times[0][0] <= world.now:
            world.tell(times.pop(0)[1], since)
        before = len(world.arrivals)
        world.request()
        sent += sum(told for _, told in list(world.arrivals)[before:])
        while world.arrivals and world.arrivals[0][0] <= world.now - SETTINGS.overload_window:
            world.arrivals.popleft()
        told = sum(told for _, told in world.arrivals)
        if told > 2 / 3 * len(world.arrivals):  # else the fall is not theirs to answer for
            fullest = max(fullest, told / allowed((world.now - since) / SECOND, world.rate))
    return fullest, sent


@pytest.mark.parametrize("uneven", [False, True], ids=["even", "a third at one"])
@pytest.mark.parametrize("crew", [1, 4, 30, 200])
def test_a_cold_server_gets_no_more_of_the_whole_fleet_than_it_can_take(crew: int, uneven: bool) -> None:
    """And it does get warm: a ramp in which nothing is sent is no ramp."""
    played = [play(crew, uneven, seed) for seed in range(SEEDS)]
    fullest = [part for part, _ in played]
    near = sum(part > 0.8 for part in fullest) / SEEDS
    mean = sum(sent for _, sent in played) / SEEDS
    print(
        f"crew {crew}, {'a third at one' if uneven else 'even'}: fullest window {max(fullest):.2f} of what is "
        f"allowed, over 0.8 in {near:.1%} of {SEEDS} seeds, {mean:.1f} requests in {COLD_S:g} s"
    )
    assert max(fullest) <= 1.0
    assert mean > 3
