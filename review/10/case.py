"""Some clients read slowly while many of their answers are due. Does each request get its answer whole?"""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

from rig_2 import TROUBLE, Platform, Proxy, Record, main

CLIENTS = 8
OPEN = 32  # requests on a connection at once: as many as the protocol page allows
SIZE = 240_000  # bytes of an object: the most that the protocol page allows
PACE = 1_000_000  # bytes a second that a slow client reads
MEMORY = 96  # MB: half of the scored days' limit
PATIENCE = 40  # s; reading takes under 10 s


async def case(record: Record) -> bool:
    platform = Platform(record, caches=4, limits={"memory_mb": MEMORY})
    draw = random.Random(9)
    try:
        for server in platform.servers:
            server.size = SIZE
        await platform.start_servers()
        proxy = await Proxy(platform, "proxy").start()
        await proxy.healthy()
        clients = [await platform.client(f"client-{i}", PACE if TROUBLE else 0) for i in range(CLIENTS)]
        for client in clients:
            for _ in range(OPEN):
                client.ask("clip-parts", f"{draw.getrandbits(64):016x}", 5_000)
        asked = [one for client in clients for one in client.all]
        end, memory = time.monotonic() + PATIENCE, 0.0
        while time.monotonic() < end and not all(one.done.is_set() for one in asked):
            memory = max(memory, proxy.rss_mb())
            await asyncio.sleep(0.1)
        words = {word: sum(one.word == word for one in asked) for word in sorted({one.word for one in asked})}
        lost = [one for one in asked if not one.word]
        for client in clients:
            missing = [one for one in client.all if not one.word]
            if missing:
                record.say(f"{client.name}: {client.closed_by}, {len(missing)} of {OPEN} requests without an answer")
        record.say(f"answers {words}; the proxy's memory was {memory:.0f} MB at most, of {MEMORY}")
        # One answer on each connection had been begun when it ended: that one has failed and is not lost.
        begun = sum(any(not one.word for one in client.all) for client in clients)
        record.say(f"{len(lost) - begun} requests lost")
        return len(lost) > begun
    finally:
        await platform.close()


main(Path(__file__).parent, case)
