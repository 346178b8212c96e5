"""What benchmarks and tests share: a control plane, stand-ins and proxies on free loopback ports, and their clients."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from threadhill.control import client
from threadhill.plans import configuration, forecast, syntax
from threadhill.plans.faults import InvalidConfiguration
from threadhill.plans.resource import Resource
from threadhill.standin.ask import Client
from threadhill.standin.dev import Installation, start_control
from threadhill.standin.servers import body_of

TOKEN = "r" * 32
PATIENCE = 40.0  # seconds that a condition is waited for
CONFIGURATION = """
settings {{
  cold_s          = {cold_s}
  upper_cold_s    = {cold_s}
  settle_s        = {settle_s}
  silent_s        = {silent_s}
  client_kb_per_s = 4000
  class "clip-parts" {{
    repeat         = "safe"
    wanted_ms      = 600
    wanted_stretch = 1.6
    given_up_ms    = 5000
    worth          = 2
    parts          = true
  }}
  class "art-pages" {{
    repeat         = "safe"
    wanted_ms      = 300
    wanted_stretch = 2
    given_up_ms    = 3000
  }}
}}
hub "sierra" {{}}
node "costa" {{
  hub  = hub.sierra
  load = {load}
}}
library "master" {{
  hub     = hub.sierra
  address = "{host}:{library}"
  warm    = true
}}
parent "upper" {{
  for_each = {parents}
  hub      = hub.sierra
  address  = each.value
  warm     = true
}}
box "b" {{
  for_each = {boxes}
  node     = node.costa
  address  = each.value.address
  warm     = each.value.warm
}}
proxy "p" {{
  for_each = {proxies}
  node     = node.costa
  listen   = each.value
}}
tenant "t" {{
  for_each = {tenants}
  quota    = each.value
}}
"""


def free_ports(host: str, count: int) -> list[int]:
    """Ports that nobody listens on at this loopback address, all different."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((host, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()


async def until(condition: Callable[[], Any], what: str) -> Any:
    """Wait for a condition; what it gives."""
    end = time.monotonic() + PATIENCE
    while not (value := condition()):
        if time.monotonic() > end:
            raise TimeoutError(f"waited in vain for {what}")
        await asyncio.sleep(0.01)
    return value


class Watcher:
    """A client of the feed that keeps every event, across restarts of the control plane."""

    def __init__(self, address: str) -> None:
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.events: dict[int, bytes] = {}
        self.heard: dict[int, float] = {}
        self.twice: list[int] = []
        self.numbers = 0
        self.task = asyncio.ensure_future(self._follow())

    async def _follow(self) -> None:
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.port, limit=64 << 20)
                writer.write(b"tail %d\n" % max(self.events, default=0))
                while line := await reader.readline():
                    self._line(line)
                writer.close()
            await asyncio.sleep(0.02)

    def _line(self, line: bytes) -> None:
        if line.strip().isdigit():
            self.numbers += 1
            return
        pos = orjson.loads(line)["pos"]
        if pos in self.events:
            self.twice.append(pos)
        self.events[pos] = line
        self.heard[pos] = time.time()


@dataclass(slots=True)
class Load:
    """Clients that ask a mix of objects at a steady rate, and what came of it."""

    answers: Counter[str] = field(default_factory=Counter)
    wrong: int = 0
    sent: list[tuple[float, str]] = field(default_factory=list)  # when, and which class
    stopped: bool = False

    async def run(self, addresses: list[tuple[str, int]], mix: forecast.Mix, seed: int) -> None:
        asks = mix.requests(seed, {"clip-parts": True, "art-pages": False})
        chance = random.Random(seed)
        clients: list[Client | None] = [None] * len(addresses)
        began, number = time.monotonic(), 0
        waiting: set[asyncio.Task[None]] = set()
        while not self.stopped:
            cls, obj, part = next(asks)
            place = chance.randrange(len(addresses))
            one = clients[place]
            if one is None or one.lost or len(one.waiting) >= 30:
                with suppress(OSError):
                    one = clients[place] = await Client.connect(*addresses[place])
            if one is not None and not one.lost:
                task = asyncio.ensure_future(self._one(one, cls, obj, part))
                waiting.add(task)
                task.add_done_callback(waiting.discard)
                self.sent.append((time.time(), cls))
            number += 1
            await asyncio.sleep(max(0.0, began + number / mix.rate - time.monotonic()))
        if waiting:
            await asyncio.wait(waiting, timeout=6)
        for one in clients:
            if one is not None:
                one.close()

    async def _one(self, one: Client, cls: str, obj: str, part: int) -> None:
        body = body_of(obj, str(part))
        try:
            word, _, got = await one.ask(cls, obj, part, 3_000, mem=len(body) / 1e3)
        except OSError:
            self.answers["lost"] += 1
            return
        self.answers[word] += 1
        self.wrong += word == "200" and got != body


class Rig:
    """One installation. `make` gives a configuration of it; `plan` and `apply` are the command line's own code."""

    def __init__(
        self, data: Path, host: str, proxies: int = 2, boxes: int = 12, operator: str = "", **settings: float
    ) -> None:
        self.data, self.host = data, host
        ports = free_ports(host, boxes + proxies + 6)
        self.api, self.feed = f"{host}:{ports[0]}", f"{host}:{ports[1]}"
        self.library, self.parents = ports[2], ports[3:6]
        self.listen = ports[6 : 6 + proxies]
        self.ports = ports[6 + proxies :]
        self.settings = {"cold_s": 0.5, "settle_s": 0.2, "silent_s": 7, "load": 0.5} | settings
        self.installation = Installation(data, self.api, TOKEN, operator)
        self.ask = client.ApiClient(self.api, TOKEN)
        self.control: asyncio.subprocess.Process | None = None
        self._following: asyncio.Future[None] | None = None

    async def __aenter__(self) -> Rig:
        await self.start_control()
        self._following = asyncio.ensure_future(self.installation.follow())
        return self

    async def __aexit__(self, *error: object) -> None:
        self._following.cancel()
        await self.installation.close()
        await self.kill_control()

    async def start_control(self, *words: str) -> None:
        self.control = await start_control(self.data, self.api, self.feed, TOKEN, True, *words)

    def alone(self) -> None:
        """What runs goes on as it is, whatever the control plane says from now on."""
        self._following.cancel()

    async def kill_control(self) -> None:
        if self.control is not None and self.control.returncode is None:
            self.control.send_signal(signal.SIGKILL)
        await self.control.wait()

    def make(
        self,
        boxes: dict[str, bool] | list[str],
        parents: int = 2,
        proxies: int | None = None,
        tenants: dict[str, float] | None = None,
        at: dict[str, int] | None = None,
        **more: object,
    ) -> str:
        """HCL of an installation with these boxes, cold or warm, by key (the box's name is `b-KEY`). `at` gives a
        box's place among the ports, else the number in its key."""
        if not isinstance(boxes, dict):
            boxes = dict.fromkeys(boxes, True)

        def table(pairs: Iterator[tuple[str, str]] | Any) -> str:
            return "{" + ", ".join(f'"{key}" = {value}' for key, value in pairs) + "}"

        place = {name: (at or {}).get(name, int("".join(c for c in name if c.isdigit()) or 0)) for name in boxes}
        return CONFIGURATION.format(
            host=self.host,
            library=self.library,
            **{**self.settings, **more},
            parents=table((str(i), f'"{self.host}:{self.parents[i]}"') for i in range(parents)),
            boxes=table(
                (name, f'{{address = "{self.host}:{self.ports[place[name]]}", ' f"warm = {str(warm).lower()}}}")
                for name, warm in boxes.items()
            ),
            proxies=table(
                (str(i), f'"{self.host}:{port}"')
                for i, port in enumerate(self.listen[: len(self.listen) if proxies is None else proxies])
            ),
            tenants=table((tenants or {}).items()),
        )

    @staticmethod
    def read(text: str) -> dict[str, Resource]:
        faults: list[Any] = []
        blocks = syntax.parse(text, "rig.hcl", faults)
        if faults:
            raise InvalidConfiguration(faults)
        return configuration.evaluate(blocks)

    async def plan(self, text: str, mix: forecast.Mix | None = None) -> dict[str, Any]:
        return await asyncio.to_thread(client.make_plan, self.ask, self.read(text), "", mix is not None, mix)

    async def begin(self, plan: dict[str, Any], holder: str = "rig") -> dict[str, Any]:
        """Open the apply; what it is going to list runs when this returns."""
        lease = await asyncio.to_thread(client.begin_apply, self.ask, plan, holder, "rig", "")
        await self.installation.poll()
        return lease

    async def carry_on(
        self, lease: dict[str, Any], progress: client.ProgressCallback = lambda told: None
    ) -> dict[str, Any]:
        return await asyncio.to_thread(client.run_apply, client.ApiClient(self.api, TOKEN), lease, progress)

    async def apply(self, text: str, progress: client.ProgressCallback = lambda told: None) -> dict[str, Any]:
        """Plan and apply; the plan."""
        plan = await self.plan(text)
        if plan["steps"]:
            await self.carry_on(await self.begin(plan), progress)
        return plan

    async def get(self, path: str) -> Any:
        return await asyncio.to_thread(client.ApiClient(self.api, TOKEN), "GET", path)

    async def live(self, count: int | None = None) -> None:
        """Wait until the proxies report, up to date."""
        wanted = len(self.listen) if count is None else count
        end = time.monotonic() + PATIENCE
        while True:
            seen = await self.get("/v1/observed")
            good = [
                p
                for p in seen["proxies"]
                if p["state"] == "live" and not p["behind"] and p["config"] == p["wanted_config"]
            ]
            if len(good) >= wanted:
                return
            if time.monotonic() > end:
                raise TimeoutError(f"proxies are not live: {seen}")
            await asyncio.sleep(0.05)

    @property
    def addresses(self) -> list[tuple[str, int]]:
        return [(self.host, port) for port in self.listen]

    async def command(self, *words: str) -> asyncio.subprocess.Process:
        """The command line as a process of its own, against this control plane."""
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "threadhill",
            *words,
            "--control",
            self.api,
            "--token",
            TOKEN,
            cwd=Path(__file__).resolve().parent.parent,
            env=dict(os.environ),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
