"""Players: clients that ask as people listen, and try again in one of the ways that real ones do."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from threadhill.standin.ask import Client

WAYS = ("at once", "fixed", "told", "silent")  # silent: at once, on another connection, and without marking it
FIXED = 0.2  # seconds that those wait who wait a fixed time
TRIES = 3
LINKS = 12  # connections that the players of one group share, as those behind one address do


@dataclass(frozen=True, slots=True)
class Outcome:
    """One first try and all that became of it."""

    began: float
    cls: str
    served: bool  # in time, by whichever try
    tries: int
    took: float
    next_part: bool = False  # of what its player was listening to


@dataclass(slots=True)
class Players:
    """A group at one proxy: `rate` first tries a second, in the given ways of trying again."""

    host: str
    port: int
    rate: float
    ways: tuple[str, ...] = ("at once", "fixed", "told")
    tenant: str = ""
    seed: int = 1
    objects: int = 400
    wanted: float = 0.6
    budget: float = 1.5
    listeners: int = 0
    outcomes: list[Outcome] = field(default_factory=list)
    told: Counter[str] = field(default_factory=Counter)  # what became of those who came back as they were told
    asked: int = 0
    stopped: bool = False
    _links: list[Client | None] = field(default_factory=lambda: [None] * LINKS)

    @property
    def twice(self) -> int:
        return sum(one.twice for one in self._links if one is not None)

    async def _link(self, place: int) -> Client | None:
        one = self._links[place % LINKS]
        if one is None or one.lost:
            with suppress(OSError):
                one = self._links[place % LINKS] = await Client.connect(self.host, self.port)
        return one if one is not None and not one.lost and len(one.waiting) < 31 else None

    async def _try(self, place: int, obj: str, part: int, again: bool, left: float) -> tuple[str, float]:
        """The word of the answer, and the seconds to stay away that came with it."""
        one = await self._link(place)
        if one is None:
            await asyncio.sleep(0.01)
            return "no connection", 0.0
        self.asked += 1
        more: dict[str, object] = {"mem": 80}
        if again:
            more["again"] = 1
        if self.tenant:
            more["acct"] = self.tenant
        try:
            word, fields, _ = await asyncio.wait_for(
                one.ask("clip-parts", obj, part, max(1, int(left * 1e3)), **more), left + 0.05
            )
        except (OSError, TimeoutError):
            return "silence", 0.0
        return word, int(fields.get("backoff", 0)) / 1e3

    async def ask(self, way: str, place: int, obj: str, part: int, next_part: bool = False) -> bool:
        """One request with its tries; whether it was served in time."""
        began, tries, word = time.time(), 0, ""
        told = False
        while tries < TRIES:
            left = self.budget - (time.time() - began)
            if left <= 0.02:
                break
            tries += 1
            mark = tries > 1 and way != "silent"
            word, away = await self._try(place + (tries if way == "silent" else 0), obj, part, mark, left)
            if told:
                self.told[word] += 1
            if word == "200":
                break
            told = way == "told" and away > 0
            if way == "fixed":
                await asyncio.sleep(FIXED)
            elif told:
                await asyncio.sleep(away)
        took = time.time() - began
        served = word == "200" and took <= self.budget
        self.outcomes.append(Outcome(began, "clip-parts", served, tries, took, next_part))
        return served

    async def run(self, seconds: float) -> None:
        """Newcomers at the rate; it may be changed meanwhile."""
        draw, waiting = random.Random(self.seed), set()
        weights = [1 / (i + 1) for i in range(self.objects)]
        end, due = time.monotonic() + seconds, time.monotonic()
        while time.monotonic() < end and not self.stopped:
            due += 1 / self.rate
            obj = draw.choices(range(self.objects), weights)[0]
            way = self.ways[draw.randrange(len(self.ways))]
            task = asyncio.ensure_future(self.ask(way, draw.randrange(LINKS), f"{obj:016x}", draw.randrange(6)))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        if waiting:
            await asyncio.wait(waiting, timeout=self.budget + 1)

    async def listen(self, number: int, seconds: float, pause: float = 0.4) -> None:
        """One listener: the parts of an object one after another, each wanted before the last one has ended."""
        end, part, obj = time.monotonic() + seconds, 0, f"{0xABC000 + number:016x}"
        while time.monotonic() < end and not self.stopped:
            began = time.monotonic()
            await self.ask("told", number, obj, part % 64, next_part=part > 0)
            part += 1
            await asyncio.sleep(max(0.0, pause - (time.monotonic() - began)))

    def close(self) -> None:
        for one in self._links:
            if one is not None:
                one.close()
