"""A proxy with a DNS view of another node is started again after a purge. Do its answers lead to a copy from before?"""

from __future__ import annotations

import asyncio
import signal
import struct
from pathlib import Path

from rig_2 import HOST, TROUBLE, CacheServer, Platform, Proxy, Record, free_port, main, now_ms

OBJECT = "7f3a9c21e0b4d655"
NAME = f"_http._tcp.0.{OBJECT}.art-pages.agencies.route.example"
SLACK = 500 + 50  # ms: purge-slack of the settings, and what the protocol page adds on sockets
DROPPED = 5_500  # ms after a purge at which a cache server has dropped its older copies; the limit is 6 s
SRV = 33
OPERATOR = """
[dns]
listen = "127.0.0.1:{port}"
nameservers = ["ns1.route.example"]

[[dns.views]]
node = "edge-2"
networks = ["127.0.0.0/8"]

[[tenants]]
name = "agencies"
zones = ["route.example"]
"""


class Cache(CacheServer):
    """A cache server that drops copies from before a purge in its own time, `DROPPED` after it."""

    purged_at = 0.0

    def copy_born(self, asked: object) -> int:
        if self.purged_at and now_ms() > self.purged_at + DROPPED:
            self.born = {key: born for key, born in self.born.items() if born > self.purged_at}
        return super().copy_born(asked)


async def look_up(port: int) -> int:
    """The port that the answer to a query for SRV names, over TCP; 0 where it names none."""
    labels = b"".join(bytes([len(label)]) + label.encode() for label in NAME.split(".")) + b"\0"
    query = struct.pack("!6H", 0x1234, 0x0100, 1, 0, 0, 0) + labels + struct.pack("!2H", SRV, 1)
    async with asyncio.timeout(3):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(struct.pack("!H", len(query)) + query)
        raw = await reader.readexactly(struct.unpack("!H", await reader.readexactly(2))[0])
        writer.close()
    if raw[3] & 15 or not struct.unpack("!H", raw[6:8])[0]:
        return 0
    at = len(query)
    while raw[at] and raw[at] < 0xC0:
        at += raw[at] + 1
    at += 2 if raw[at] else 1
    return struct.unpack("!3H", raw[at + 10 : at + 16])[2]


async def fetch(port: int) -> float:
    """What an agency's client does: it asks the server that it was named. Returns when its copy was born."""
    async with asyncio.timeout(3):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(f"do {'a' * 16} profile=art-pages,thing={OBJECT},nth=0,max=3000,rank=1 0\r\n\r\n".encode())
        words = (await reader.readline()).decode().split()
        writer.close()
    return float(dict(pair.split("=", 1) for pair in words[2].split(","))["born"])


async def case(record: Record) -> bool:
    extra = {"crew-by-zone": [0, 0, 1, 1], "hub-of": [0, 1, 0, 1], "zone-link-kb-per-s": [0.0, 0.0, 33_648.0, 33_648.0]}
    zones = ["sierra", "costa", "edge-1", "edge-2"]
    platform = Platform(record, caches=2, changes={"zones": zones, "n-instances": 2, "extra": extra})
    there = [Cache(record, f"s-000000d{i}", "standard", "edge-2") for i in (1, 2)]
    platform.caches += there
    try:
        await platform.start_servers()
        names = {server.port: server for server in platform.servers}
        port = free_port()
        operator = platform.folder / "operator.toml"
        operator.write_text(OPERATOR.format(port=port))
        environment = {"THREADHILL_OPERATOR": str(operator)}
        proxy = await Proxy(platform, "first").start(**environment)
        await proxy.healthy()
        await asyncio.sleep(0.5)
        for cache in there:  # both have been asked for the object lately
            await fetch(cache.port)
        if names.get(await look_up(port)) not in there:
            raise RuntimeError("before the purge no cache server of the node was named")
        await asyncio.sleep(0.3)
        stamp = int(now_ms())
        for cache in there:
            cache.purged_at = stamp
        platform.journal.add({"expire": {"name": OBJECT, "stamp": stamp}})
        told = now_ms()
        await asyncio.sleep(0.6)
        if TROUBLE:
            proxy.signal(signal.SIGKILL)
            await proxy.process.wait()
            platform.configure()  # `known` holds the events up to now, with the purge
            told = now_ms()
            proxy = await Proxy(platform, "second").start(**environment)
            await proxy.healthy()
        answers, old = 0, 0
        while now_ms() < stamp + 5_000:
            asked_at = now_ms()
            if asked_at < told + SLACK:
                await asyncio.sleep(0.02)
                continue
            server = names.get(await look_up(port))
            if server is not None:
                answers += 1
                born = await fetch(server.port)
                when = f"{asked_at - told:.0f} ms after the proxy was told"
                record.add("agency", f"{when}: {server.name}, its copy was born {born - stamp:.0f} ms after the purge")
                old += born <= stamp - 2
            await asyncio.sleep(0.1)
        record.say(f"{answers} answers named a server, {old} of them led to a copy from before the purge")
        if not answers:
            raise RuntimeError("no answer named a server")
        return old > 0
    finally:
        await platform.close()


main(Path(__file__).parent, case)
