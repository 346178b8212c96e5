"""A fleet of sixteen times the cache servers, and clients that move to this proxy: does each request get its answer?"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import TROUBLE, Case, Client, Journal, Proxy, Server, configuration, free_port, main, new_id, settings

CACHES = 304 if TROUBLE else 19  # cache servers of the proxy's zone: sixteen times as many, or the usual number
SOCKETS = 256  # descriptors that the process may hold: the least that the pages name
STEADY = 10  # clients that are there all the time
RATE = 40  # requests a second of those clients together
MOVED = 70  # clients that come later, so that 80 are there: under a third of the descriptor limit
WITHIN = 2.0  # seconds in which they come
QUIET = 26.0  # seconds before they come
BUDGET = 3_000  # milliseconds: the class's give-up time
LATE = 0.5 + 0.05  # seconds after its time from which on a request without an answer is lost, and the sockets' slack


class Ask:
    """One request and when it was written."""

    def __init__(self, client: Client, rid: str) -> None:
        self.client, self.rid, self.at = client, rid, time.monotonic()
        self.answered = 0.0


async def ask(case: Case, client: Client, asks: list[Ask]) -> bool:
    """Send one request and wait for its answer, as long as it can still be owed."""
    one = Ask(client, new_id())
    asks.append(one)
    client.ask("art-pages", one.rid, BUDGET, f"{random.getrandbits(64):016x}", n=0, shard=random.randrange(256), mem=60)
    if await client.answer(one.rid, BUDGET / 1e3 + LATE) is None:
        return False
    one.answered = time.monotonic()
    return True


async def stays(case: Case, address: str, name: str, asks: list[Ask], stop: asyncio.Event) -> None:
    """A client that asks again and again, on a new connection after some requests."""
    while not stop.is_set():
        client = await Client.connect(case, address, name)
        for _ in range(20):
            if stop.is_set() or not await ask(case, client, asks):
                break
            await asyncio.sleep(STEADY / RATE)
        client.close()


async def comes(case: Case, address: str, name: str, asks: list[Ask], after: float) -> None:
    """A client that comes from elsewhere, asks some times and goes."""
    await asyncio.sleep(after)
    client = await Client.connect(case, address, name)
    for _ in range(3):
        if not await ask(case, client, asks):
            break
        await asyncio.sleep(random.uniform(0.3, 0.9))
    client.close()


async def scenario(case: Case) -> None:
    caches = [Server(case, f"s-{i:08x}", "standard", "edge-1") for i in range(1, CACHES + 1)]
    parent, origin = Server(case, "s-0000f0b1", "parent", "sierra"), Server(case, "s-0000f0c1", "origin", "sierra")
    servers = [*caches, parent, origin]
    for server in servers:
        server.quiet = True
        await server.start()
    journal = Journal(case)
    await journal.start()
    journal.hosts(*(server.member() for server in servers), complete=True)
    config = configuration(journal, settings(), free_port(), sockets=SOCKETS)
    proxy = Proxy(case, "n1", config, case.temporary)
    proxy.descriptors = SOCKETS
    await proxy.start()
    await proxy.ready()
    case.note(f"{CACHES} cache servers; the process may hold {SOCKETS} descriptors")
    asks: list[Ask] = []
    stop = asyncio.Event()

    async def watch() -> None:
        while True:
            held = len(os.listdir(f"/proc/{proxy.process.pid}/fd"))
            to_servers = sum(len(server.links) for server in servers)
            case.note(f"the process holds {held} descriptors; {to_servers} connections to cache servers")
            await asyncio.sleep(1.0)

    watching = asyncio.ensure_future(watch())
    steady = [asyncio.ensure_future(stays(case, config["listen"], f"stays{i}", asks, stop)) for i in range(STEADY)]
    await asyncio.sleep(QUIET)
    case.note(f"{MOVED} clients come within {WITHIN} s")
    coming = [comes(case, config["listen"], f"comes{i}", asks, i * WITHIN / MOVED) for i in range(MOVED)]
    await asyncio.gather(*coming)
    stop.set()
    await asyncio.gather(*steady)
    watching.cancel()
    words: dict[str, int] = {}
    for one in asks:
        word = one.client.answers[one.rid][0] if one.answered else "none"
        words[word] = words.get(word, 0) + 1
        if not one.answered:
            case.broken(f"request {one.rid} of {one.client.name} got no answer in {BUDGET / 1e3 + LATE:.2f} s")
    case.note(f"answers: {words}; the proxy is alive: {proxy.alive()}")
    case.note("log of the proxy:\n" + proxy.logged()[-1500:])


main(os.path.dirname(__file__), scenario)
