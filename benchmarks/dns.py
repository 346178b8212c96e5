"""Measures the DNS front of a running proxy on loopback, and prints one line of JSON.

    python benchmarks/dns.py --json [--seconds S]

| figure | what it is |
| --- | --- |
| qps, p99_ms | steered A queries over UDP answered a second, 16 at a time, by one proxy on one core; the 99th percentile |
| amplification | the largest response over its query, of every kind asked, from an address that proved nothing |
| good_share_flood | share of a good resolver's queries answered in time while three senders without cookies flood made-up names at twenty times its rate |
| drain_late, drain_worst_ms | answers that named a box later than 250 ms after its drain was told; the latest one |
| drain_named_before | of 200 answers before, those that named the two boxes then drained: the count is of something |
| lookup_us_10k_zones_over_10 | time of finding a name's zone and place among 10,000 tenants' zones over that among 10 |

Left out, with the reasons in docs/dns.md: the conformance table's counts (its rows are the tests' own),
qps against the commit before, signing, TLS.
"""  # noqa: E501

from __future__ import annotations

import argparse
import asyncio
import os
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
if not __package__:  # started by its file's name: the packages stand beside its folder
    sys.path.insert(0, str(ROOT))

from threadhill.core.tenants import Tenant, Tenants  # noqa: E402
from threadhill.dns.names import place, zone_of  # noqa: E402

ZONE = "route.example"
NAME = "0.{:016x}.art-pages.acme." + ZONE
BOXES = 4
DRAIN = 0.250


def name_of(text: str) -> bytes:
    return b"".join(bytes([len(label)]) + label.encode() for label in text.split(".")) + b"\0"


def query(name: str, kind: int = 1, id: int = 1, more: bytes = b"") -> bytes:
    return struct.pack("!6H", id, 0x0100, 1, 0, 0, 1 if more else 0) + name_of(name) + struct.pack("!HH", kind, 1) \
        + more


def edns(option: bytes = b"") -> bytes:
    return b"\0" + struct.pack("!HHBBHH", 41, 1_232, 0, 0, 0, len(option)) + option


def addresses(raw: bytes) -> list[str]:
    """The A records of the answer section."""
    count, at = struct.unpack_from("!H", raw, 6)[0], 12
    at = raw.index(b"\0", at) + 5
    found = []
    for _ in range(count):
        at += 2 if raw[at] >= 0xC0 else raw.index(b"\0", at) - at + 1
        kind, _, _, size = struct.unpack_from("!HHIH", raw, at)
        if kind == 1:
            found.append(socket.inet_ntoa(raw[at + 10 : at + 14]))
        at += 10 + size
    return found


class Journal:
    """The journal service: the whole list first, then what is added."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.events = [{"pos": 1, "hosts": {"revision": 1, "complete": True, "members": members}}]
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        server = await asyncio.start_server(self._talk, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last = int((await reader.readline()).split()[1])
        for event in self.events[last:]:
            writer.write(orjson.dumps(event) + b"\n")
        self.writers.append(writer)

    def add(self, hosts: dict[str, Any]) -> None:
        self.events.append({"pos": len(self.events) + 1, "hosts": hosts})
        for writer in self.writers:
            writer.write(orjson.dumps(self.events[-1]) + b"\n")


class Udp(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.waiting: dict[int, asyncio.Future[bytes]] = {}

    def datagram_received(self, data: bytes, peer: object) -> None:
        future = self.waiting.pop(struct.unpack_from("!H", data)[0], None)
        if future is not None and not future.done():
            future.set_result(data)


class Proxy:
    """One proxy process with its DNS front, its servers listed and never asked: clients go to them themselves."""

    def __init__(self, folder: Path, operator: str) -> None:
        self.folder, self.operator = folder, operator
        self.members = [{"id": f"s-{n:08x}", "host_port": f"127.0.8.{n}:9", "locality": "edge-1", "flavor": "standard",
                         "phase": "SERVING", "size": 1, "up_since_ms": 0} for n in range(1, BOXES + 1)]
        self.journal = Journal(self.members)

    async def __aenter__(self) -> Proxy:
        port = await self.journal.start()
        settings = {"profiles": [{"name": "art-pages", "repeat": "read_like", "deadline": 3_000_000,
                                  "objective": 300_000}], "zone": "edge-1", "zones": ["edge-1"],
                    "machine-types": ["standard"], "obligations": {"drain-grace": 250_000}}
        (self.folder / "config.json").write_bytes(orjson.dumps({
            "name": "n0", "listen": "127.0.0.1:0", "seed": "1", "settings": settings, "journal": f"127.0.0.1:{port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}}))
        (self.folder / "operator.toml").write_text(self.operator)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "threadhill", "serve", "--operator", str(self.folder / "operator.toml"), cwd=ROOT,
            stderr=asyncio.subprocess.PIPE, env=os.environ | {"LB_CONFIG": str(self.folder / "config.json")})
        while True:
            line = (await self.process.stderr.readline()).decode()
            if not line:
                raise RuntimeError("the proxy ended before it served DNS")
            if line.startswith("dns: serving on"):
                self.port = int(line.rsplit(":", 1)[1])
                break
        self.reading = asyncio.ensure_future(self._drain_log())
        transport, self.udp = await asyncio.get_running_loop().create_datagram_endpoint(
            Udp, remote_addr=("127.0.0.1", self.port))
        self.transport = transport
        self.ids = 0
        return self

    async def _drain_log(self) -> None:
        while await self.process.stderr.readline():
            pass

    async def __aexit__(self, *error: object) -> None:
        self.transport.close()
        self.process.kill()
        await self.process.wait()
        self.reading.cancel()

    async def ask(self, raw: bytes, timeout: float = 1.0) -> bytes | None:
        self.ids = self.ids % 65_535 + 1
        raw = struct.pack("!H", self.ids) + raw[2:]
        future = asyncio.get_running_loop().create_future()
        self.udp.waiting[self.ids] = future
        self.transport.sendto(raw)
        try:
            return await asyncio.wait_for(future, timeout)
        except TimeoutError:
            self.udp.waiting.pop(self.ids, None)
            return None


OPERATOR = f"""
[dns]
listen = "127.0.0.1:0"
deadline_ms = 400
{{more}}

[[tenants]]
name = "acme"
zones = ["{ZONE}"]
"""


async def speed(folder: Path, seconds: float) -> dict[str, Any]:
    async with Proxy(folder, OPERATOR.format(more='trusted = ["127.0.0.1/32"]\nresolver_qps = 0')) as proxy:
        took: list[float] = []
        stop = time.monotonic() + seconds

        async def one() -> None:
            n = 0
            while time.monotonic() < stop:
                n += 1
                began = time.perf_counter()
                raw = await proxy.ask(query(NAME.format(n * 7919 % 100_000)))
                if raw is not None:
                    took.append(time.perf_counter() - began)

        await asyncio.gather(*(one() for _ in range(16)))
        took.sort()
        return {"qps": round(len(took) / seconds), "p99_ms": round(took[int(0.99 * len(took))] * 1e3, 2)}


async def amplification(folder: Path) -> dict[str, Any]:
    async with Proxy(folder, OPERATOR.format(more='nameservers = ["ns1.route.example"]\nnsid = "n0.example"')) as p:
        worst = 0.0
        names = [NAME.format(1), "_http._tcp." + NAME.format(1), ZONE, "nobody." + ZONE, f"s-00000001.box.{ZONE}"]
        for name in names:
            for kind in (1, 28, 33, 64, 65, 6, 2, 255, 16):
                for more in (b"", edns(), edns(struct.pack("!HH", 3, 0))):  # plain, EDNS, and asking for the NSID
                    raw = query(name, kind, more=more)
                    answer = await p.ask(raw)
                    if answer is not None:
                        worst = max(worst, len(answer) / len(raw))
        return {"amplification": round(worst, 3)}


async def flood(folder: Path, seconds: float) -> dict[str, Any]:
    more = "responses_per_s = 50\nresolver_qps = 100"
    async with Proxy(folder, OPERATOR.format(more=more)) as proxy:
        cookie = struct.pack("!HH", 10, 8) + b"\x07" * 8
        first = await proxy.ask(query(NAME.format(0), more=edns(cookie)))
        at = first.index(b"\x00\x0a\x00\x18") + 4
        proof = struct.pack("!HH", 10, 24) + first[at : at + 24]
        loop = asyncio.get_running_loop()
        flooders = [(await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=(f"127.0.0.{n}", 0),
                                                         remote_addr=("127.0.0.1", proxy.port)))[0] for n in (2, 3, 4)]
        stop = time.monotonic() + seconds

        async def made_up() -> None:
            while time.monotonic() < stop:
                for transport in flooders:
                    transport.sendto(query(NAME.format(int.from_bytes(os.urandom(6), "big"))))
                await asyncio.sleep(0.005)

        flooding = asyncio.ensure_future(made_up())
        asked = answered = 0
        while time.monotonic() < stop:
            asked += 1
            began = time.monotonic()
            raw = await proxy.ask(query(NAME.format(asked), more=edns(proof)), timeout=0.4)
            answered += raw is not None and bool(addresses(raw)) and time.monotonic() - began < 0.4
            await asyncio.sleep(0.05)
        await flooding
        for transport in flooders:
            transport.close()
        return {"good_share_flood": round(answered / asked, 4)}


async def drain(folder: Path) -> dict[str, Any]:
    async with Proxy(folder, OPERATOR.format(more='trusted = ["127.0.0.1/32"]\nresolver_qps = 0')) as proxy:
        hosts = [box["host_port"].split(":")[0] for box in proxy.members[:2]]
        before = 0
        for n in range(200):  # before the drain, they are named as the others are
            raw = await proxy.ask(query(NAME.format(n)))
            before += raw is not None and any(host in addresses(raw) for host in hosts)
        late, worst = 0, 0.0
        for box in proxy.members[:2]:
            host = box["host_port"].split(":")[0]
            told = time.monotonic()
            proxy.journal.add({"revision": 2, "complete": False, "members": [box | {"phase": "DRAINING"}]})
            for n in range(300):
                raw = await proxy.ask(query(NAME.format(10_000 + n)))
                after = time.monotonic() - told
                if raw is not None and host in addresses(raw) and after > DRAIN:
                    late += 1
                    worst = max(worst, after)
        return {"drain_late": late, "drain_worst_ms": round(worst * 1e3, 1), "drain_named_before": before}


def lookups() -> dict[str, Any]:
    def per_lookup(count: int) -> float:
        tenants = Tenants()
        tenants.replace([Tenant(f"t{n}", (f"z{n}.example",)) for n in range(count - 1)] + [Tenant("acme", (ZONE,))])
        labels = tuple(NAME.format(5).split("."))
        classes = frozenset({"art-pages"})
        began, rounds = time.perf_counter(), 20_000
        for _ in range(rounds):
            zone = zone_of(labels, tenants.zones())
            place(labels, zone, tenants, classes)
        return (time.perf_counter() - began) / rounds

    small = min(per_lookup(10) for _ in range(3))
    large = min(per_lookup(10_000) for _ in range(3))
    return {"lookup_us_10k_zones_over_10": round(large / small, 3)}


async def main(seconds: float) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        for part in (speed, amplification, flood, drain):
            arguments = (seconds,) if part in (speed, flood) else ()
            sub = Path(folder) / part.__name__
            sub.mkdir()
            figures |= await part(sub, *arguments)
    return figures | lookups()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="one line of JSON (the default)")
    parser.add_argument("--seconds", type=float, default=5.0, help="of load, for the speed and the flood")
    figures = asyncio.run(main(parser.parse_args().seconds))
    print(orjson.dumps(figures).decode())
