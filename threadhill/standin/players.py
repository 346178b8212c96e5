"""Clients that request parts as media players do, and retry by one of the policies of real clients."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from threadhill.standin.ask import Client

# told: after the back-off that the answer asks for; silent: at once, on another connection, without the retry mark
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
        return sum(client.duplicate_answers for client in self._connections if client is not None)

    async def _connection(self, index: int) -> Client | None:
        client = self._connections[index % CONNECTIONS]
        if client is None or client.lost:
            with suppress(OSError):
                client = self._connections[index % CONNECTIONS] = await Client.connect(self.host, self.port)
        return client if client is not None and not client.lost and len(client.waiting) < 31 else None

    async def _attempt(self, index: int, obj: str, part: int, retry: bool, remaining: float) -> tuple[str, float]:
        """Send one attempt; return the status of the answer and the back-off that it asks for in seconds."""
        client = await self._connection(index)
        if client is None:
            await asyncio.sleep(0.01)
            return "no connection", 0.0
        self.attempts_sent += 1
        fields: dict[str, object] = {"mem": 80}
        if retry:
            fields["again"] = 1
        if self.tenant:
            fields["acct"] = self.tenant
        try:
            status, answer_fields, _ = await asyncio.wait_for(
                client.ask("clip-parts", obj, part, max(1, int(remaining * 1e3)), **fields), remaining + 0.05
            )
        except (OSError, TimeoutError):
            return "silence", 0.0
        return status, int(answer_fields.get("backoff", 0)) / 1e3

    async def ask(self, policy: str, index: int, obj: str, part: int, next_part: bool = False) -> bool:
        """Send one request with its retries; return whether it was served in time."""
        began, attempts, status = time.time(), 0, ""
        after_backoff = False
        while attempts < MAX_ATTEMPTS:
            remaining = self.budget - (time.time() - began)
            if remaining <= 0.02:
                break
            attempts += 1
            marked = attempts > 1 and policy != "silent"
            status, backoff_delay = await self._attempt(
                index + (attempts if policy == "silent" else 0), obj, part, marked, remaining
            )
            if after_backoff:
                self.statuses_after_backoff[status] += 1
            if status == "200":
                break
            after_backoff = policy == "told" and backoff_delay > 0
            if policy == "fixed":
                await asyncio.sleep(FIXED_DELAY)
            elif after_backoff:
                await asyncio.sleep(backoff_delay)
        seconds = time.time() - began
        served = status == "200" and seconds <= self.budget
        self.outcomes.append(Outcome(began, "clip-parts", served, attempts, seconds, next_part))
        return served

    async def run(self, seconds: float) -> None:
        """Send new requests at `rate`, which may be changed meanwhile."""
        rng, waiting = random.Random(self.seed), set()
        weights = [1 / (i + 1) for i in range(self.objects)]
        end, due = time.monotonic() + seconds, time.monotonic()
        while time.monotonic() < end and not self.stopped:
            due += 1 / self.rate
            obj = rng.choices(range(self.objects), weights)[0]
            policy = self.policies[rng.randrange(len(self.policies))]
            task = asyncio.ensure_future(self.ask(policy, rng.randrange(CONNECTIONS), f"{obj:016x}", rng.randrange(6)))
            waiting.add(task)
            task.add_done_callback(waiting.discard)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        if waiting:
            await asyncio.wait(waiting, timeout=self.budget + 1)

    async def play(self, number: int, seconds: float, pause: float = 0.4) -> None:
        """Play one object: request its parts one after another, one every `pause` seconds."""
        end, part, obj = time.monotonic() + seconds, 0, f"{0xABC000 + number:016x}"
        while time.monotonic() < end and not self.stopped:
            began = time.monotonic()
            await self.ask("told", number, obj, part % 64, next_part=part > 0)
            part += 1
            await asyncio.sleep(max(0.0, pause - (time.monotonic() - began)))

    def close(self) -> None:
        for client in self._connections:
            if client is not None:
                client.close()
