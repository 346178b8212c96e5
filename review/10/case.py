"""A proxy is killed and started again, and its clients come back at once. Does each request get its answer in time?"""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from rig_2 import TROUBLE, Client, Platform, Proxy, Record, main

CLIENTS = 200  # the limit is a third of 1,024 descriptors
BUDGET = 1_500  # ms: half of the class's give-up time
LATE = 500 + 50  # ms after its time from which on a request counts as lost, and what the protocol page adds on sockets


async def case(record: Record) -> bool:
    platform = Platform(record, caches=3)
    draw = random.Random(7)
    try:
        await platform.start_servers()
        operator = platform.folder / "operator.toml"
        operator.write_text("[overload]\n")
        environment = {"THREADHILL_OPERATOR": str(operator)}
        proxy = await Proxy(platform, "first").start(**environment)
        await proxy.healthy()
        await asyncio.sleep(9)
        if TROUBLE:
            proxy.signal(signal.SIGKILL)
            await proxy.process.wait()
            platform.configure()
            proxy = await Proxy(platform, "second").start(**environment)
            await proxy.healthy()
        front = await platform.client("front")
        if await front.status() != "serving":
            raise RuntimeError("the proxy does not serve")
        clients = [Client(record, f"client-{i}", platform.port) for i in range(CLIENTS)]
        await asyncio.gather(*(client.connect() for client in clients))
        asked = [client.ask("art-pages", f"{draw.getrandbits(64):016x}", BUDGET) for client in clients]
        await asyncio.sleep(BUDGET / 1e3 + 4)
        lost = [a for a in asked if not a.word or a.at > a.sent + a.budget + LATE]
        never = sum(not a.word for a in asked)
        slowest = max((a.at - a.sent for a in asked if a.word), default=0.0)
        words = {word: sum(a.word == word for a in asked) for word in sorted({a.word for a in asked})}
        record.say(f"{len(asked)} requests of {BUDGET} ms, answers {words}, the slowest after {slowest:.0f} ms")
        record.say(f"{len(lost)} without an answer {LATE} ms after their time, {never} of them never answered")
        return bool(lost)
    finally:
        await platform.close()


main(Path(__file__).parent, case)
