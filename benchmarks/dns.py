"""Measures the DNS front of running proxies on loopback, and prints one line of JSON. Under 60 s as it is.

    python benchmarks/dns.py --json [--seconds S]

| figure | what it is |
| --- | --- |
| conformance_rows, conformance_kept | rows of the conformance table, each over each of its transports, and those kept; null without dnspython |
| qps, p99_ms | steered A queries over UDP answered a second, 16 at a time, by one proxy on one core; the 99th percentile |
| qps_signed | the same with the DO bit and a signed zone |
| qps_over_parent, qps_signed_over_parent | both over the same of the commit before this work (BEFORE), rounds in turn in one run; null without that commit |
| named_share, named_share_parent | share of those answers that named a server, here and in that commit: a refusal would cost less |
| idle_good_share | of 2,000 look-ups of one name, ten at a time, with two idle boxes, those answered with an address |
| amplification | the largest response over its query, of every kind asked, from an address that proved nothing |
| good_share_flood | share of a good resolver's queries answered in time while three senders without cookies flood made-up names at twenty times its rate |
| drain_late, drain_worst_ms | answers that named a box later than 250 ms after its drain was told; the latest one |
| drain_named_before | of 200 answers before, those that named the two boxes then drained: the count is of something |
| cold_worst | most work that a box which starts cold was sent within the fall window, over what it may be sent, while one resolver's answers bring 200 clients each and others one |
| cold_crowds, crowds | crowds of 200 that went to the cold box, and all that went somewhere |
| resp_alone, resp_beside_flood | share of RESP requests served, alone and beside a flood of made-up names |
| lookup_us_10k_zones_over_10 | time of finding a name's zone and place among 10,000 tenants' zones over that among 10 |
"""  # noqa: E501

from __future__ import annotations

import argparse
import asyncio
import os
import socket
import struct
import subprocess
import sys
import tarfile
import tempfile
import time
from contextlib import suppress
from io import BytesIO
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
if not __package__:  # started by its file's name: the packages stand beside its folder
    sys.path[0] = str(ROOT)  # in place of this folder, where this file would pass for dnspython

from benchmarks import plan_apply  # noqa: E402
from benchmarks.rig import Load, Rig, free_ports  # noqa: E402
from threadhill.core.tenants import Tenant, Tenants  # noqa: E402
from threadhill.dns import key_commands  # noqa: E402
from threadhill.dns.names import parse_name, zone_of  # noqa: E402
from threadhill.plans.forecast import Mix  # noqa: E402

ZONE = "route.example"
NAME = "0.{:016x}.art-pages.acme." + ZONE
BOXES = 4
DRAIN = 0.250
BEFORE = "4e6c728"  # the commit before the work on this front
ROUNDS = 8  # in turn, short ones: the machine's speed moves within seconds
WIDE = 24  # boxes while speed is measured: rooms for all that is asked, so that both programs name a server each time
CROWD = 200  # clients that one resolver stands for
DO = b"\0" + struct.pack("!HHBBHH", 41, 1_232, 0, 0, 0x8000, 0)


def name_of(text: str) -> bytes:
    return b"".join(bytes([len(label)]) + label.encode() for label in text.split(".")) + b"\0"


def query(name: str, kind: int = 1, id: int = 1, more: bytes = b"") -> bytes:
    return (
        struct.pack("!6H", id, 0x0100, 1, 0, 0, 1 if more else 0) + name_of(name) + struct.pack("!HH", kind, 1) + more
    )


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

    def __init__(self, folder: Path, operator: str, root: Path = ROOT, boxes: int = BOXES) -> None:
        self.folder, self.operator, self.root = folder, operator, root
        folder.mkdir(parents=True, exist_ok=True)
        self.members = [
            {
                "id": f"s-{n:08x}",
                "host_port": f"127.0.8.{n}:9",
                "locality": "edge-1",
                "flavor": "standard",
                "phase": "SERVING",
                "size": 1,
                "up_since_ms": 0,
            }
            for n in range(1, boxes + 1)
        ]
        self.journal = Journal(self.members)

    async def __aenter__(self) -> Proxy:
        port = await self.journal.start()
        settings = {
            "profiles": [{"name": "art-pages", "repeat": "read_like", "deadline": 3_000_000, "objective": 300_000}],
            "zone": "edge-1",
            "zones": ["edge-1"],
            "machine-types": ["standard"],
            "obligations": {"drain-grace": 250_000},
        }
        (self.folder / "config.json").write_bytes(
            orjson.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "1",
                    "settings": settings,
                    "journal": f"127.0.0.1:{port}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                }
            )
        )
        (self.folder / "operator.toml").write_text(self.operator)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "threadhill",
            "serve",
            "--operator",
            str(self.folder / "operator.toml"),
            cwd=self.root,
            stderr=asyncio.subprocess.PIPE,
            env=os.environ | {"LB_CONFIG": str(self.folder / "config.json")},
        )
        while True:
            line = (await self.process.stderr.readline()).decode()
            if not line:
                raise RuntimeError("the proxy ended before it served DNS")
            if line.startswith("dns: serving on"):
                self.port = int(line.rsplit(":", 1)[1])
                break
        self.reading = asyncio.ensure_future(self._drain_log())
        transport, self.udp = await asyncio.get_running_loop().create_datagram_endpoint(
            Udp, remote_addr=("127.0.0.1", self.port)
        )
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


async def rounds(proxy: Proxy, seconds: float, more: bytes = b"") -> tuple[list[float], int]:
    """Sixteen askers for so long: how long each answer took, and how many answers named a server."""
    took: list[float] = []
    named = 0
    stop = time.monotonic() + seconds

    async def one() -> None:
        nonlocal named
        n = 0
        while time.monotonic() < stop:
            n += 1
            began = time.perf_counter()
            raw = await proxy.ask(query(NAME.format(n * 7919 % 100_000), more=more))
            if raw is not None:
                took.append(time.perf_counter() - began)
                named += bool(addresses(raw))

    await asyncio.gather(*(one() for _ in range(16)))
    return took, named


def before(folder: Path) -> Path | None:
    """The program as it was before this work, from the repository's history; None where there is none."""
    made = subprocess.run(["git", "archive", BEFORE, "threadhill"], cwd=ROOT, capture_output=True)
    if made.returncode:
        return None
    with tarfile.open(fileobj=BytesIO(made.stdout)) as tar:
        tar.extractall(folder, filter="data")
    return folder


async def speed(folder: Path, seconds: float) -> dict[str, Any]:
    """This program, signed and not, and the one before, in turn: whatever the machine does meanwhile befalls all."""
    key_commands.generate(folder / "keys", ZONE)
    free = 'trusted = ["127.0.0.1/32"]\nresolver_qps = 0'
    signing = f'\n[dns.signing]\nkeys = "{folder / "keys"}"\n'
    old = before(folder / "before")
    async with Proxy(folder / "new", OPERATOR.format(more=free) + signing, boxes=WIDE) as new:
        ways: dict[str, tuple[Proxy, bytes]] = {"unsigned": (new, b""), "signed": (new, DO)}
        earlier = Proxy(folder / "old", OPERATOR.format(more=""), old, WIDE) if old is not None else None
        if earlier is not None:
            ways["parent"] = (await earlier.__aenter__(), b"")
        took: dict[str, list[float]] = {way: [] for way in ways}
        named = dict.fromkeys(ways, 0)
        for _ in range(ROUNDS):
            for way, (proxy, more) in ways.items():
                times, count = await rounds(proxy, 3 * seconds / 4 / ROUNDS, more)
                took[way] += times
                named[way] += count
        if earlier is not None:
            await earlier.__aexit__()
    span = 3 * seconds / 4
    qps = {way: len(times) / span for way, times in took.items()}
    over = {way: round(qps[way] / qps["parent"], 3) if "parent" in qps else None for way in ("unsigned", "signed")}
    share = {way: round(named[way] / max(1, len(took[way])), 3) for way in ways}
    sorted_times = sorted(took["unsigned"])
    return {
        "qps": round(qps["unsigned"]),
        "p99_ms": round(sorted_times[int(0.99 * len(sorted_times))] * 1e3, 2),
        "qps_signed": round(qps["signed"]),
        "qps_over_parent": over["unsigned"],
        "qps_signed_over_parent": over["signed"],
        "named_share": share["unsigned"],
        "named_share_parent": share.get("parent"),
    }


async def idle(folder: Path) -> dict[str, Any]:
    """2,000 look-ups of one name, ten at a time, two idle boxes."""
    async with Proxy(folder, OPERATOR.format(more='trusted = ["127.0.0.1/32"]\nresolver_qps = 0'), boxes=2) as proxy:
        good = 0

        async def one() -> None:
            nonlocal good
            for _ in range(200):
                raw = await proxy.ask(query(NAME.format(7)))
                good += raw is not None and bool(addresses(raw))

        await asyncio.gather(*(one() for _ in range(10)))
        return {"idle_good_share": round(good / 2_000, 4)}


async def conformance(folder: Path) -> dict[str, Any]:
    try:
        from tests.conformance.table import table
    except ModuleNotFoundError:  # dnspython and trustme come with requirements-dev.txt
        return {"conformance_rows": None, "conformance_kept": None}
    rows = await table(folder)
    return {"conformance_rows": len(rows), "conformance_kept": sum(row.fault is None for row in rows)}


def subnet(network: int) -> bytes:
    """An OPT that tells the client's network, 198.51.N.0/24."""
    data = struct.pack("!HBB", 1, 24, 0) + bytes([198, 51, network])
    return edns(struct.pack("!HH", 8, len(data)) + data)


class Clients:
    """Whoever a resolver's answers send to a box: they speak to it themselves, and the proxy sees nothing of them."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.wires, self.sent = rig, {}, 0
        self.reading: list[asyncio.Task[bytes]] = []

    async def go(self, port: int, count: int, obj: str) -> None:
        if port not in self.wires:
            reader, writer = await asyncio.open_connection(self.rig.host, port)
            self.wires[port] = writer
            self.reading.append(asyncio.ensure_future(self._drain(reader)))
        for _ in range(count):
            self.sent += 1
            self.wires[port].write(f"do c{self.sent} profile=art-pages,thing={obj},nth=0 0\r\n\r\n".encode())

    @staticmethod
    async def _drain(reader: asyncio.StreamReader) -> bytes:
        with suppress(OSError):
            while await reader.read(1 << 16):
                pass
        return b""

    def close(self) -> None:
        for writer in self.wires.values():
            writer.transport.abort()
        for task in self.reading:
            task.cancel()


async def crowds(folder: Path, seconds: float) -> dict[str, Any]:
    """One resolver whose every answer brings 200 clients, five that bring one, and RESP clients; a box starts cold.
    Then a flood of made-up names beside the RESP clients alone."""
    host, cold_s = "127.0.41.1", seconds
    (port,) = free_ports(host, 1)
    operator = folder / "operator.toml"
    operator.write_text(f'[dns]\nlisten = "{host}:{port}"\ntrusted = ["{host}/32"]\nresponses_per_s = 200\n')
    async with Rig(folder / "rig", host, proxies=1, operator=str(operator), cold_s=cold_s, settle_s=0.3) as rig:
        # By SRV, since stand-in boxes share one address: the target says which it is.
        more = f'tenant "acme" {{\n  zones = ["{ZONE}"]\n}}\n'
        boxes = {name: True for name in "012"}
        await rig.apply(rig.make(boxes) + more)
        await rig.live()
        transport, udp = await asyncio.get_running_loop().create_datagram_endpoint(
            Udp, local_addr=(host, 0), remote_addr=(host, port)
        )
        people, load = Clients(rig), Load()
        loading = asyncio.ensure_future(load.run(rig.addresses, Mix(80, {"clip-parts": 0.5, "art-pages": 0.5}), 5))
        went = {"crowd": [], "single": []}
        stopped = False

        async def resolver(kind: str, network: int, pause: float) -> None:
            n = network << 20
            while not stopped:
                n += 1
                obj = f"{n:016x}"
                raw = query("_http._tcp." + NAME.format(n), 33, id=n & 0xFFFF, more=subnet(network))
                future = udp.waiting[n & 0xFFFF] = asyncio.get_running_loop().create_future()
                transport.sendto(raw)
                with suppress(TimeoutError):
                    answer = await asyncio.wait_for(future, 1)
                    where = srv_port(answer)
                    if where:
                        went[kind].append(where)
                        await people.go(where, CROWD if kind == "crowd" else 1, obj)
                await asyncio.sleep(pause)

        asking = [
            asyncio.ensure_future(resolver("crowd", 1, 0.5)),
            *(asyncio.ensure_future(resolver("single", 2 + n, 0.1)) for n in range(5)),
        ]
        await asyncio.sleep(seconds)
        warm = len(went["crowd"])
        await rig.apply(rig.make(boxes | {"3": False}) + more)
        await asyncio.sleep(0.6 * seconds)
        stopped = True
        await asyncio.gather(*asking)
        cold_port = rig.ports[3]
        worst = plan_apply.cold_worst(rig, cold_s)
        after = went["crowd"][warm:]
        figures = {
            "cold_worst": round(worst, 3),
            "cold_crowds": after.count(cold_port),
            "crowds": len(went["crowd"]),
            "cold_singles": went["single"].count(cold_port),
        }
        people.close()
        await asyncio.sleep(0.5)
        figures["resp_alone"] = await served(load, seconds)
        flooders = [
            (
                await asyncio.get_running_loop().create_datagram_endpoint(
                    asyncio.DatagramProtocol, local_addr=(f"127.0.{n}.1", 0), remote_addr=(host, port)
                )
            )[0]
            for n in range(50, 54)
        ]

        async def flood() -> None:
            while True:
                for one in flooders:
                    one.sendto(query(NAME.format(int.from_bytes(os.urandom(6), "big"))))
                await asyncio.sleep(0.0025)

        flooding = asyncio.ensure_future(flood())
        figures["resp_beside_flood"] = await served(load, seconds)
        flooding.cancel()
        load.stopped = True
        await loading
        for one in (*flooders, transport):
            one.close()
        return figures


async def served(load: Load, seconds: float) -> float:
    """Share of what was answered in so long that was served."""
    before = dict(load.answers)
    await asyncio.sleep(seconds)
    new = {word: count - before.get(word, 0) for word, count in load.answers.items()}
    return round(new.get("200", 0) / max(1, sum(new.values())), 4)


def srv_port(raw: bytes) -> int:
    """The port of the first SRV record; 0 where there is none."""
    if not struct.unpack_from("!H", raw, 6)[0]:
        return 0
    at = raw.index(b"\0", 12) + 5
    at += 2 if raw[at] >= 0xC0 else raw.index(b"\0", at) - at + 1
    kind, _, _, _ = struct.unpack_from("!HHIH", raw, at)
    return struct.unpack_from("!H", raw, at + 14)[0] if kind == 33 else 0


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
        flooders = [
            (
                await loop.create_datagram_endpoint(
                    asyncio.DatagramProtocol, local_addr=(f"127.0.0.{n}", 0), remote_addr=("127.0.0.1", proxy.port)
                )
            )[0]
            for n in (2, 3, 4)
        ]
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
            parse_name(labels, zone, tenants, classes)
        return (time.perf_counter() - began) / rounds

    small = min(per_lookup(10) for _ in range(3))
    large = min(per_lookup(10_000) for _ in range(3))
    return {"lookup_us_10k_zones_over_10": round(large / small, 3)}


async def main(seconds: float) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as folder:
        for part in (conformance, speed, idle, amplification, flood, drain, crowds):
            arguments = (seconds,) if part in (speed, flood, crowds) else ()
            sub = Path(folder) / part.__name__
            sub.mkdir()
            figures |= await part(sub, *arguments)
    return figures | lookups()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="one line of JSON (the default)")
    parser.add_argument("--seconds", type=float, default=4.0, help="of load, for the parts that need it")
    figures = asyncio.run(main(parser.parse_args().seconds))
    print(orjson.dumps(figures).decode())
