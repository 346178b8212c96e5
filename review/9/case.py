"""Two cache servers are taken out by hand during an upgrade, one call at each process. Does the rule on drains hold?"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from rig_2 import TROUBLE, Platform, Proxy, Record, load, main, now_ms

GRACE = 250 + 50  # ms: drain_grace of the settings, and what the protocol page adds on sockets
OUT = 6.0  # s for which the two stay out


async def case(record: Record) -> bool:
    platform = Platform(record, caches=4, inherit=True)
    try:
        await platform.start_servers()
        old = await Proxy(platform, "old").start()
        await old.healthy()
        stop = asyncio.Event()
        clients = asyncio.create_task(load(platform, stop, 50, seed=1))
        await asyncio.sleep(2)
        first, second = platform.caches[:2]
        other = old
        if TROUBLE:  # the process is replaced: `run` once more beside the old one, which then gets SIGTERM
            other = await Proxy(platform, "new").start()
            await other.healthy()
        told: dict[str, float] = {}
        for process, box in ((old, first), (other, second)):
            code, _ = await process.call("POST", "/admin/cordon", {"name": box.name})
            if code // 100 != 2:
                raise RuntimeError(f"the call for {box.name} was answered {code}")
            told[box.name] = now_ms()
        if TROUBLE:
            await asyncio.sleep(0.1)
            old.signal(signal.SIGTERM)
        await asyncio.sleep(OUT)
        stop.set()
        answers = await clients
        late = 0
        for name, yes in told.items():
            box = next(cache for cache in platform.caches if cache.name == name)
            asked = [a.at - yes for a in box.asked if a.at > yes + GRACE]
            named = [a.at for s in platform.servers for a in s.asked if a.fields.get("from") == name]
            sources = [at - yes for at in named if at > yes + GRACE]
            last = f", the last {max(asked):.0f} ms after it" if asked else ""
            record.say(f"{name}: {len(asked)} requests later than {GRACE} ms after the yes{last}")
            record.say(f"{name}: named as a source {len(sources)} times later than that")
            late += len(asked) + len(sources)
        served = sum(answer.word == "200" for answer in answers)
        record.say(f"{len(answers)} requests of clients, {served} served")
        if not served:
            raise RuntimeError("nothing was served")
        return late > 0
    finally:
        await platform.close()


main(Path(__file__).parent, case)
