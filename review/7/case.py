"""Idle clients fill the descriptors, and usual clients that have rested ask all at once. Is each request answered?"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
from pathlib import Path

from rig_2 import TROUBLE, Answered, Client, Platform, Proxy, Record, main

USUAL = 300  # connections of usual clients; the limit is a third of 1,024 descriptors
ASKS = 3  # requests that each of them sends at once, after a rest of under 4 s
IDLE = 190  # clients that ask once and then rest on their connection
NEW = 30  # connections that come with the burst
CROSSING = 50 + 50  # ms: what crosses the end of a resting connection is sent again; and the slack on sockets
CORES = 0.4  # of a core, as the site's cpu_ms_per_s; the platform gives it in periods of 0.1 s
PERIOD = 0.1
ROUNDS = 3


async def share_core(proxy: Proxy) -> None:
    """The process gets its part of a core: it runs for so much of each period, and stands for the rest."""
    while proxy.process.returncode is None:
        proxy.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(PERIOD * (1 - CORES))
        proxy.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(PERIOD * CORES)


async def ask_all(clients: list[Client], draw: random.Random) -> None:
    """Each of these asks once and is answered, in groups, so that nothing waits."""
    for first in range(0, len(clients), 20):
        group = clients[first : first + 20]
        await asyncio.gather(
            *(one.get("art-pages", f"{draw.getrandbits(64):016x}") for one in group if not one.closed_by)
        )


async def case(record: Record) -> bool:
    platform = Platform(record, caches=4, limits={"cores": CORES})
    draw = random.Random(10)
    core: asyncio.Task[None] | None = None
    lost: list[tuple[Client, Answered]] = []
    asked: list[tuple[Client, Answered]] = []
    try:
        await platform.start_servers()
        proxy = await Proxy(platform, "proxy").start()
        await proxy.healthy()
        for number in range(ROUNDS):
            clients = [await platform.client(f"usual-{number}-{i}") for i in range(USUAL)]
            await ask_all(clients, draw)
            rested = time.monotonic()
            idle = [await platform.client(f"idle-{number}-{i}") for i in range(IDLE if TROUBLE else 0)]
            await ask_all(idle, draw)
            await asyncio.sleep(max(0.0, 2.5 - (time.monotonic() - rested)))
            core = asyncio.create_task(share_core(proxy))
            burst = [
                (client, client.ask("art-pages", f"{draw.getrandbits(64):016x}", 3_000))
                for client in clients
                if not client.closed_by
                for _ in range(ASKS)
            ]
            await asyncio.sleep(0.005)
            new = await asyncio.gather(*(platform.client(f"new-{number}-{i}") for i in range(NEW)))
            burst += [(client, client.ask("art-pages", f"{draw.getrandbits(64):016x}", 3_000)) for client in new]
            await asyncio.sleep(4)
            core.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await core
            proxy.process.send_signal(signal.SIGCONT)
            gone = [(client, one) for client, one in burst if not one.word and client.closed_by]
            waited = [client.closed_at - one.sent for client, one in gone]
            crossed = [ms for ms in waited if ms <= CROSSING]
            lost += [pair for pair in gone if pair[0].closed_at - pair[1].sent > CROSSING]
            asked += burst
            words = {word: sum(one.word == word for _, one in burst) for word in sorted({one.word for _, one in burst})}
            record.say(
                f"round {number + 1}: {len(burst)} requests at once on {USUAL + NEW} connections, answers {words}"
            )
            if waited:
                record.say(
                    f"round {number + 1}: {len(gone)} on connections that the proxy ended {min(waited):.0f} to "
                    f"{max(waited):.0f} ms after they were sent; {len(crossed)} of them may have crossed the end"
                )
            for client in [*clients, *idle, *new]:
                await client.close()
            await asyncio.sleep(0.5)
        forwarded = {one.id for server in platform.servers for one in server.asked}
        sent_on = sum(one.rid in forwarded for _, one in lost)
        never = sum(not one.word and not client.closed_by for client, one in asked)
        record.say(f"{len(lost)} requests lost, {sent_on} of them forwarded; {never} more without an answer")
        return bool(lost)
    finally:
        if core is not None:
            core.cancel()
        await platform.close()


main(Path(__file__).parent, case)
