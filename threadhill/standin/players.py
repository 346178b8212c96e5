"""Clients that request parts as media players do, and retry by one of the policies of real clients."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from threadhill.standin.ask import Client

# told: after the back-off in the answer; silent: at once, on another connection, without the retry mark
RETRY_POLICIES = ("at once", "fixed", "told", "silent")
FIXED_DELAY = 0.2  # delay in seconds before a retry by the policy "fixed"
MAX_ATTEMPTS = 3
CONNECTIONS = 12  # connections that a group shares, as clients behind one address do


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one request, over all its attempts."""

    began: float
    cls: str
    served: bool  # within the budget, by any of the attempts
    attempts: int
    seconds: float
    next_part: bool = False  # it asked for a further part of an object that is being played


@dataclass(slots=True)
class ClientGroup:
    """A group of clients of one proxy that sends `rate` new requests a second and retries by the given policies."""

    host: str
    port: int
    rate: float
    policies: tuple[str, ...] = ("at once", "fixed", "told")
    tenant: str = ""
    seed: int = 1
    objects: int = 400
    wanted: float = 0.6
    budget: float = 1.5
    listeners: int = 0
    outcomes: list[Outcome] = field(default_factory=list)
    # Status of the answers to retries that waited for the back-off that the proxy asked for.
    statuses_after_backoff: Counter[str] = field(default_factory=Counter)
    attempts_sent: int = 0
    stopped: bool = False
    _connections: list[Client | None] = field(default_factory=lambda: [None] * CONNECTIONS)

    @property
    def duplicate_answers(self) -> int:
        return sum(one.duplicate_answers for one in self._connections if one is not None)

    async def _connection(self, place: int) -> Client | None:
        one = self._connections[place % CONNECTIONS]
        if one is None or one.lost:
            with suppress(OSError):
                one = self._connections[place % CONNECTIONS] = await Client.connect(self.host, self.port)
        return one if one is not None and not one.lost and len(one.waiting) < 31 else None

    async def _attempt(self, place: int, obj: str, part: int, again: bool, left: float) -> tuple[str, float]:
        """Send one attempt; return the status of the answer and the back-off that it asks for in seconds."""
        one = await self._connection(place)
        if one is None:
            await asyncio.sleep(0.01)
            return "no connection", 0.0
        self.attempts_sent += 1
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

    async def ask(self, policy: str, place: int, obj: str, part: int, next_part: bool = False) -> bool:
        """Send one request with its retries; return whether it was served in time."""
        began, tries, word = time.time(), 0, ""
        told = False
        while tries < MAX_ATTEMPTS:
            left = self.budget - (time.time() - began)
            if left <= 0.02:
                break
            tries += 1
            mark = tries > 1 and policy != "silent"
            word, away = await self._attempt(place + (tries if policy == "silent" else 0), obj, part, mark, left)
            if told:
                self.statuses_after_backoff[word] += 1
            if word == "200":
                break
            told = policy == "told" and away > 0
            if policy == "fixed":
                await asyncio.sleep(FIXED_DELAY)
            elif told:
                await asyncio.sleep(away)
        took = time.time() - began
        served = word == "200" and took <= self.budget
        self.outcomes.append(Outcome(began, "clip-parts", served, tries, took, next_part))
        return served

    async def run(self, seconds: float) -> None:
        """Send new requests at `rate`, which may be changed meanwhile."""
        draw, waiting = random.Random(self.seed), set()
        weights = [1 / (i + 1) for i in range(self.objects)]
        end, due = time.monotonic() + seconds, time.monotonic()
        while time.monotonic() < end and not self.stopped:
            due += 1 / self.rate
            obj = draw.choices(range(self.objects), weights)[0]
            policy = self.policies[draw.randrange(len(self.policies))]
            task = asyncio.ensure_future(
                self.ask(policy, draw.randrange(CONNECTIONS), f"{obj:016x}", draw.randrange(6))
            )
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        if waiting:
            await asyncio.wait(waiting, timeout=self.budget + 1)

    async def listen(self, number: int, seconds: float, pause: float = 0.4) -> None:
        """Play one object: request its parts one after another, one every `pause` seconds."""
        end, part, obj = time.monotonic() + seconds, 0, f"{0xABC000 + number:016x}"
        while time.monotonic() < end and not self.stopped:
            began = time.monotonic()
            await self.ask("told", number, obj, part % 64, next_part=part > 0)
            part += 1
            await asyncio.sleep(max(0.0, pause - (time.monotonic() - began)))

    def close(self) -> None:
        for one in self._connections:
            if one is not None:
                one.close()
