"""Ways of overload control on one fault, in a model: a queue that wastes what it serves too late, and clients that try
again. Prints a line of JSON for each way, within seconds. The model shows what the ways do, not how much a box does.

    python benchmarks/storm_ways.py [--seed N]

A third of the servers stop for five seconds while three times as much is asked; then 85% of the room is asked for. Each
request waits in turn, is served in time within 0.6 s of its coming, and is tried again up to twice, at once or after
0.2 s, by clients that give up on a try after 0.6 s and leave its work behind in the queue.
"""

from __future__ import annotations

import argparse
import math
import random
import sys
from collections import deque
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
if not __package__:
    sys.path[0] = str(ROOT)

from threadhill.overload.admission import AdmissionController, Priority  # noqa: E402
from threadhill.overload.budgets import RetryBudgets  # noqa: E402
from threadhill.overload.capacity import CapacityEstimator, UpstreamLoad  # noqa: E402

STEP, ROOM, WANTED = 0.01, 300.0, 0.6
QUEUES = {"deep": 600, "bounded": 60}  # asks that wait at most: without a bound to speak of, and as the module bounds
BEFORE, FAULT, AFTER = 5.0, 5.0, 15.0
WAYS = ("none", "retry budget", "gradient", "codel", "client throttle", "served rate and ranks")


class Way:
    """Whether an ask comes in; and what it learns of ends. The base lets all in."""

    def admits(self, now: float, again: bool, waiting: int) -> bool:
        return True

    def drops(self, now: float, waited: float) -> bool:
        """Whether the one at the queue's head is dropped."""
        return False

    def ended(self, now: float, took: float, good: bool) -> None: ...

    def turn(self, now: float) -> None: ...


class RetryBudget(Way):
    def __init__(self) -> None:
        self.book = RetryBudgets()

    def admits(self, now: float, again: bool, waiting: int) -> bool:
        at = int(now * 1e6)
        if not again:
            self.book.deposit("c", "t", at)
            return True
        return self.book.withdraw("c", "t", at) is None


class Gradient(Way):
    """Concurrency by the gradient of latency: the least seen lately over that of now, and a root for the queue."""

    def __init__(self) -> None:
        self.limit, self.least, self.short = 50.0, 0.05, 0.05

    def admits(self, now: float, again: bool, waiting: int) -> bool:
        return waiting < self.limit

    def ended(self, now: float, took: float, good: bool) -> None:
        self.short += 0.02 * (took - self.short)
        self.least = min(took, self.least * 1.0005)
        gradient = max(0.5, min(1.0, 2 * self.least / max(self.short, 1e-3)))
        self.limit = max(4.0, self.limit + 0.02 * (self.limit * gradient + math.sqrt(self.limit) - self.limit))


class CoDel(Way):
    """Sojourn time: over the target for an interval, one is dropped after ever shorter waits."""

    def __init__(self) -> None:
        self.above = self.next = 0.0
        self.count = 0

    def drops(self, now: float, waited: float) -> bool:
        if waited < 0.05:
            self.above, self.count = 0.0, 0
            return False
        if not self.above:
            self.above, self.next = now, now + 0.1
        if now < self.next:
            return False
        self.count += 1
        self.next = now + 0.1 / math.sqrt(self.count)
        return True


class ClientThrottle(Way):
    """Each client refuses itself by what was accepted of what it asked: (asks - K accepts) / (asks + 1)."""

    def __init__(self, seed: int) -> None:
        self.asks = self.accepts = 0.0
        self.random = random.Random(seed)

    def admits(self, now: float, again: bool, waiting: int) -> bool:
        self.asks += 1
        return self.random.random() >= max(0.0, (self.asks - 2 * self.accepts) / (self.asks + 1))

    def ended(self, now: float, took: float, good: bool) -> None:
        self.accepts += good

    def turn(self, now: float) -> None:
        self.asks, self.accepts = self.asks * 0.95, self.accepts * 0.95


class ServedRate(RetryBudget):
    """What threadhill/overload does: room by what is served in time, retries behind first tries and in a budget."""

    def __init__(self) -> None:
        super().__init__()
        self.capacity, self.admission = CapacityEstimator(), AdmissionController()
        self.number = 0

    def admits(self, now: float, again: bool, waiting: int) -> bool:
        if self.capacity.limit != math.inf and not super().admits(now, again, waiting):
            return False
        self.number += 1
        at = int(now * 1e6)
        rank = Priority.AGAIN if again else Priority.FIRST
        level = self.admission.level(rank, 1.0, 1 / ROOM, f"c{self.number % 200}", at)
        if not self.admission.admit("t", level, 1 / ROOM):
            self.capacity.record_shed(1 / ROOM)
            return False
        self.capacity.record_admitted(1 / ROOM)
        return True

    def ended(self, now: float, took: float, good: bool) -> None:
        self.capacity.record_finished(1 / ROOM, good)

    def turn(self, now: float) -> None:
        at = int(now * 1e6)
        strained = self.capacity.limit != math.inf or self.capacity.goodput < 0.85 * self.capacity.admitted_rate
        self.capacity.update(at, strained, UpstreamLoad())
        self.admission.limit = self.capacity.limit
        self.admission.update(at)


def way_of(name: str, seed: int) -> Way:
    made = {
        "none": Way,
        "retry budget": RetryBudget,
        "gradient": Gradient,
        "codel": CoDel,
        "client throttle": lambda: ClientThrottle(seed),
        "served rate and ranks": ServedRate,
    }
    return made[name]()


def play(name: str, seed: int, depth: str) -> dict[str, Any]:
    way, draw = way_of(name, seed), random.Random(seed)
    queue: deque[tuple[float, int, int]] = deque()  # when it came, which first try, which try
    coming: dict[int, list[tuple[int, int]]] = {}  # step -> tries that come then
    first_at: dict[int, float] = {}
    served: set[int] = set()
    waits: deque[tuple[float, int, int]] = deque()  # when a try is given up
    number, work = 0, 0.0
    steps = int((BEFORE + FAULT + AFTER) / STEP)

    def again(step: int, one: int, tries: int) -> None:
        if tries < 3 and one not in served:
            wait = 1 if one % 2 else int(0.2 / STEP)
            coming.setdefault(step + wait, []).append((one, tries + 1))

    for step in range(steps):
        now = step * STEP
        fault = BEFORE <= now < BEFORE + FAULT
        rate = 0.4 * ROOM if now < BEFORE else 3 * 0.4 * ROOM if fault else 0.85 * ROOM
        fresh = sum(draw.random() < rate * STEP / 8 for _ in range(8))
        arrivals = coming.pop(step, [])
        for _ in range(fresh):
            first_at[number] = now
            arrivals.append((number, 1))
            number += 1
        for one, tries in arrivals:
            if len(queue) < QUEUES[depth] and way.admits(now, tries > 1, len(queue)):
                queue.append((now, one, tries))
                waits.append((now + WANTED, one, tries))
            else:
                again(step, one, tries)
        work = min(work + (ROOM * (2 / 3 if fault else 1.0)) * STEP, 6.0)
        while queue and work >= 1:
            came, one, tries = queue.popleft()
            if way.drops(now, now - came):
                way.ended(now, now - came, False)
                continue
            work -= 1
            took = now - came + 0.02
            good = took <= WANTED and one not in served
            if good:
                served.add(one)
            way.ended(now, took, good)
        while waits and waits[0][0] <= now:
            _, one, tries = waits.popleft()
            again(step, one, tries)
        if step % 10 == 0:
            way.turn(now)
    by = [[0, 0] for _ in range(int(BEFORE + FAULT + AFTER))]
    for one, at in first_at.items():
        by[int(at)][0] += 1
        by[int(at)][1] += one in served
    share = [good / max(1, asked) for asked, good in by]
    back = int(BEFORE + FAULT)
    well = [s for s in range(back, len(share) - 1) if min(share[s : s + 2]) >= 0.9]
    return {
        "way": name,
        "queue": depth,
        "recover_s": well[0] - back if well else None,
        "goodput_fault": round(sum(good for _, good in by[int(BEFORE) : back]) / FAULT / (ROOM * 2 / 3), 3),
        "served_after": round(sum(g for _, g in by[back:]) / sum(a for a, _ in by[back:]), 3),
    }


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=11)
    seed = parser.parse_args().seed
    for depth in QUEUES:
        for way in WAYS:
            print(orjson.dumps(play(way, seed, depth)).decode())
