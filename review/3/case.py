"""Some clients read 1 MB a second, with 32 requests open on a connection. Does each request get its answer?"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import TROUBLE, Case, Client, Journal, Proxy, Server, configuration, free_port, main, new_id, settings

SLOW_CLIENTS = 16  # of those that the proxy has; each sends its requests at once
OPEN = 32  # requests open on a connection: the most that the protocol page allows
BYTES = 150_000  # of an object; the protocol page allows 240,000. 32 of them take 4.8 s to read: less than the budget
PACE = 1_000_000  # bytes a second that a slow client reads: the figure of the operators' page
BUDGET = 5_000  # milliseconds: the class's give-up time
RATE = 170  # requests a second to one proxy: the figure of the page on the days in service
USUAL_RATE = 20  # requests a second of clients that read at full speed
MEMORY_MB, SOCKETS = 96, 512  # the limits of scored days, 192 MB and 1,024 descriptors, cut by half


async def usual(
    case: Case, address: str, things: list[str], asked: list[tuple[Client, str]], stop: asyncio.Event
) -> None:
    """Clients that read at full speed."""
    clients = [await Client.connect(case, address, f"usual{i}") for i in range(4)]
    while not stop.is_set():
        client, rid = random.choice(clients), new_id()
        asked.append((client, rid))
        client.ask("clip-parts", rid, BUDGET, random.choice(things), n=random.randrange(12), shard=17, mem=375)
        await asyncio.sleep(1 / USUAL_RATE)


async def scenario(case: Case) -> None:
    caches = [Server(case, f"s-0000000{i}", "standard", "edge-1", BYTES, 0.05) for i in range(1, 7)]
    parent = Server(case, "s-000000b1", "parent", "sierra", BYTES, 0.05)
    origin = Server(case, "s-000000c1", "origin", "sierra", BYTES, 0.05)
    servers = [*caches, parent, origin]
    for server in servers:
        await server.start()
    journal = Journal(case)
    await journal.start()
    journal.hosts(*(server.member() for server in servers), complete=True)
    config = configuration(journal, settings(), free_port(), MEMORY_MB, SOCKETS)
    proxy = Proxy(case, "n1", config, case.temporary)
    await proxy.start()
    await proxy.ready()
    things = [f"{random.getrandbits(64):016x}" for _ in range(100)]
    asked: list[tuple[Client, str]] = []
    stop = asyncio.Event()
    others = asyncio.ensure_future(usual(case, config["listen"], things, asked, stop))
    await asyncio.sleep(2.0)
    pace = PACE if TROUBLE else 0
    for i in range(SLOW_CLIENTS):
        client = await Client.connect(case, config["listen"], f"slow{i}", pace, 65_536)
        for n in range(OPEN):
            rid = new_id()
            asked.append((client, rid))
            client.ask("clip-parts", rid, BUDGET, random.choice(things), n=n % 12, shard=17, mem=375)
        await asyncio.sleep(OPEN / RATE)
    await asyncio.sleep(2.0)
    stop.set()
    await others
    # The time that reading takes is not counted: a missing answer counts only once its connection has ended, or when
    # nothing more can be under way.
    end = time.monotonic() + 2 * BUDGET / 1e3 + 2 * OPEN * BYTES / PACE
    while time.monotonic() < end and any(rid not in client.answers and not client.ended for client, rid in asked):
        await asyncio.sleep(0.1)
    words: dict[str, int] = {}
    for client, rid in asked:
        word = client.answers[rid][0] if rid in client.answers else "none"
        if word == "none" and rid == client.begun:
            word = "begun, not whole"  # failed, but not lost: the client can tell
        words[word] = words.get(word, 0) + 1
        if word == "none":
            case.broken(f"request {rid} of {client.name} got no answer: {client.ended or 'its connection is open'}")
    case.note(f"answers: {words}; the proxy is alive: {proxy.alive()}")
    case.note("log of the proxy:\n" + proxy.logged()[-1500:])


main(os.path.dirname(__file__), scenario)
