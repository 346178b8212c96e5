"""Half of the groups are purged at once and a cache server drains, while the journal service is slow to tell it."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import TROUBLE, Case, Client, Journal, Proxy, Server, configuration, free_port, main, new_id, settings, unix_ms

TOLD = 7.0  # seconds after which what the journal service has counts as told
GRACE = 0.25 + 0.05  # `drain-grace` of the settings, and what the protocol page adds to every limit
GROUPS = 130  # of 256 that are purged at once: 51%
PACE = 25.0  # events a second that the slow service writes to a connection: all are out after 5.3 s
WAIT = 0.2  # seconds that the slow service takes until it serves a new connection
LOAD = 60  # requests a second
WATCHED = 14.0  # seconds for which the drained server is watched after the drain


async def load(case: Case, address: str, stop: asyncio.Event) -> None:
    client, count = None, 0
    things = [f"{random.getrandbits(64):016x}" for _ in range(300)]
    while not stop.is_set():
        if client is None or client.ended or count % 50 == 0:
            client = await Client.connect(case, address, f"c{count}")
        count += 1
        client.ask("art-pages", new_id(), 3000, random.choice(things), n=0, shard=random.randrange(256), mem=60)
        await asyncio.sleep(1 / LOAD)


async def scenario(case: Case) -> None:
    caches = [Server(case, f"s-0000000{i}", "standard", "edge-1") for i in range(1, 6)]
    parent, origin = Server(case, "s-000000b1", "parent", "sierra"), Server(case, "s-000000c1", "origin", "sierra")
    servers = [*caches, parent, origin]
    for server in servers:
        await server.start()
    journal = Journal(case)
    await journal.start()
    journal.hosts(*(server.member() for server in servers), complete=True)
    config = configuration(journal, settings(), free_port())
    proxy = Proxy(case, "n1", config, case.temporary)
    await proxy.start()
    await proxy.ready()
    stop = asyncio.Event()
    traffic = asyncio.ensure_future(load(case, config["listen"], stop))
    await asyncio.sleep(3)
    if TROUBLE:
        journal.pace, journal.wait = PACE, WAIT
    stamp = unix_ms()
    for group in random.sample(range(256), GROUPS):
        journal.add({"expire": {"set": group, "stamp": stamp}})
    drained = caches[0]
    number = journal.hosts(drained.member("DRAINING"))
    at = time.monotonic()
    case.note(f"{GROUPS} groups are purged, and {drained.name} drains: event {number} is in the journal")
    await asyncio.sleep(WATCHED)
    stop.set()
    await asyncio.gather(traffic, return_exceptions=True)
    bound = at + TOLD + GRACE
    for server in servers:
        for when, rid, fields in server.arrivals:
            if when > bound and (server is drained or fields.get("from") == drained.name):
                case.broken(
                    f"request {rid} sent to {server.name} from={fields.get('from', '')} {when - at:.2f} s after the "
                    f"drain of {drained.name} was in the journal service"
                )
    sent = journal.sent.get(number)
    case.note(f"event {number} was written {f'{sent - at:.2f} s after it was there' if sent else 'on no connection'}")
    case.note(f"connections since: {sum(when > at for when, _ in journal.tails)}; breaches: {len(case.breaches)}")
    case.note("log of the proxy:\n" + proxy.logged()[-3000:])


main(os.path.dirname(__file__), scenario)
