"""Two servers are taken out by hand while the process is replaced: one call reaches the old process, one the new."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from rig import TROUBLE, Case, Client, Journal, Proxy, Server, configuration, free_port, main, new_id, settings

GRACE = 0.25 + 0.05  # `drain-grace` of the settings, and what the protocol page adds to every limit
LOAD = 60  # requests a second
WATCHED = 6.0  # seconds for which the servers that are out are watched


async def load(case: Case, address: str, stop: asyncio.Event) -> None:
    """Usual clients: a new connection every 20 requests, and again where the proxy has closed one."""
    client, count = None, 0
    things = [f"{random.getrandbits(64):016x}" for _ in range(300)]
    while not stop.is_set():
        if client is None or client.ended or count % 20 == 0:
            client = await Client.connect(case, address, f"c{count}")
        count += 1
        client.ask("art-pages", new_id(), 3000, random.choice(things), n=0, shard=17, mem=60)
        await asyncio.sleep(1 / LOAD)


async def scenario(case: Case) -> None:
    caches = [Server(case, f"s-0000000{i}", "standard", "edge-1") for i in range(1, 6)]
    parent, origin = Server(case, "s-000000b1", "parent", "sierra"), Server(case, "s-000000c1", "origin", "sierra")
    servers = [*caches, parent, origin]
    for server in servers:
        await server.start()
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    port = listener.getsockname()[1]

    async def process(name: str) -> Proxy:
        journal = Journal(case, f"journal of {name}")
        await journal.start()
        journal.hosts(*(server.member() for server in servers), complete=True)
        config = configuration(journal, settings(), port) | {"management": f"127.0.0.1:{free_port()}"}
        proxy = Proxy(case, name, config, case.temporary, listener)
        await proxy.start()
        return proxy

    old = await process("old")
    await old.ready()
    stop = asyncio.Event()
    traffic = [asyncio.ensure_future(load(case, f"127.0.0.1:{port}", stop)) for _ in range(2)]
    await asyncio.sleep(3)
    first, second = caches[0], caches[1]
    later = old
    if TROUBLE:
        later = await process("new")
        while True:
            try:
                if await later.call("GET", "/admin/health") == 200:
                    break
            except OSError:
                pass
            await asyncio.sleep(0.05)
    out: dict[str, float] = {}
    for server, proxy in ((first, old), (second, later)):
        if await proxy.call("POST", "/admin/cordon", {"name": server.name}) == 200:
            out[server.name] = time.monotonic()
    case.note(f"out by hand: {out}")
    if TROUBLE:
        os.kill(old.process.pid, signal.SIGTERM)
        case.note("SIGTERM to the old process")
    await asyncio.sleep(WATCHED)
    stop.set()
    await asyncio.gather(*traffic, return_exceptions=True)
    for server in servers:
        for at, rid, fields in server.arrivals:
            for name, yes in out.items():
                if at > yes + GRACE and (server.name == name or fields.get("from") == name):
                    case.broken(
                        f"request {rid} sent to {server.name} from={fields.get('from', '')} "
                        f"{at - yes:.2f} s after the proxy's yes that {name} is out"
                    )
    case.note(
        f"requests at each server: {({s.name: len(s.arrivals) for s in servers})}; breaches: {len(case.breaches)}"
    )


main(os.path.dirname(__file__), scenario)
