"""The cost of a proxy as its list of cache servers grows: one line of JSON, under 100 s.

    python benchmarks/scale.py --json [--sizes 200,3200] [--seconds 10] [--rate 100] [--seed N]

The same traffic goes to one proxy with each number of servers listed, all in its own zone, behind eight real listeners.
The first size is the one that the others are compared with.

| figure | what it is, and what is allowed |
| --- | --- |
| cpu_ratio, cpu_allowed | CPU seconds over the first size's; 1.4 times, plus 0.02 s and 0.12 s a thousand servers |
| memory_over_mb | peak memory beyond 1.5 times, plus 8 MB and 4 MB a thousand servers; 0 or less |
| descriptors_over | most descriptors beyond twice, plus 40; 0 or less |
| dials_over | connections made to servers beyond 2.5 times, plus 40; 0 or less |
| list_bytes_over | bytes of lists beyond twice, plus 64 KB and 500 KB a thousand servers; 0 or less |
| served_ratio | share answered with 200 over that of the first size; 0.85 or more |
| start_cpu_ratio | CPU seconds until the proxy listens, over those of the first size |
| list_stall_ms | longest that a STATUS waited while a whole list was applied |
| sizes | the figures of each size as measured |
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import resource
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
if not __package__:  # started by its file's name: the packages stand beside its folder
    sys.path[0] = str(ROOT)

from threadhill.standin.ask import Answer, Client  # noqa: E402
from threadhill.standin.swarm import location_settings  # noqa: E402

LISTENERS = 8
OBJECTS = 400
ANSWER_S = 0.02  # seconds that a server takes
BODY = b"x" * 2_000
BEAT_S = 1.0
ZONE = "edge-1"
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass
class Measured:
    """One size."""

    servers: int
    cpu_s: float = 0.0
    start_cpu_s: float = 0.0
    peak_mb: float = 0.0
    descriptors: int = 0
    dials: int = 0
    list_bytes: int = 0
    served: float = 0.0
    list_stall_ms: float = 0.0


class Servers:
    """Listeners that answer every request alike, and count connections."""

    def __init__(self) -> None:
        self.dials = 0
        self.ports: list[int] = []

    async def start(self) -> None:
        for _ in range(LISTENERS):
            server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
            self.ports.append(server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.dials += 1
        loop = asyncio.get_running_loop()

        def answer(id: str) -> None:
            head = f"{id} ok ver=v1,born={time.time_ns() // 1_000_000} {len(BODY)}\r\n".encode()
            writer.write(head + BODY + b"\r\n")

        try:
            while words := (await reader.readline()).decode().split():
                if words[0] == "do":
                    await reader.readexactly(int(words[3]) + 2)
                    loop.call_later(ANSWER_S, answer, words[1])
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Journal:
    """Discovery: tells the last number, and whole lists when it is told to."""

    def __init__(self, members: list[dict[str, Any]]) -> None:
        self.members, self.pos, self.sent = members, 1, 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        self.writers.append(writer)
        with suppress(asyncio.CancelledError):  # the run is over
            while not writer.is_closing():
                writer.write(b"%d\n" % self.pos)
                await asyncio.sleep(BEAT_S)

    def event(self) -> dict[str, Any]:
        return {"pos": self.pos, "hosts": {"revision": self.pos, "complete": True, "members": self.members}}

    def tell_all(self) -> None:
        """Tell the whole list anew, with something of every member changed."""
        self.pos += 1
        for told in self.members:
            told["size"] += 1
        raw = json.dumps(self.event()).encode() + b"\n"
        self.sent += len(raw)
        for writer in self.writers:
            writer.write(raw)


def member(number: int, port: int, flavor: str = "standard", locality: str = ZONE) -> dict[str, Any]:
    return {
        "id": f"s-{number:08x}",
        "host_port": f"127.0.0.1:{port}",
        "locality": locality,
        "cell": number % 8,
        "flavor": flavor,
        "phase": "SERVING",
        "size": 1,
        "up_since_ms": 0,
    }


def cpu_of(pid: int) -> float:
    """CPU seconds of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def peak_of(pid: int) -> float:
    """Peak memory in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024


async def stall(client: Client, journal: Journal) -> float:
    """The longest that a STATUS waits while a whole list is told, in milliseconds."""
    longest = 0.0
    end = time.monotonic() + 0.8
    journal.tell_all()
    while time.monotonic() < end:
        began = time.monotonic()
        await client.send(b"STATUS")
        longest = max(longest, time.monotonic() - began)
        await asyncio.sleep(0.001)
    return longest * 1e3


async def measure(count: int, seconds: float, rate: float, seed: int, folder: Path) -> Measured:
    """One proxy with so many servers listed."""
    servers = Servers()
    await servers.start()
    members = [member(n + 1, servers.ports[n % LISTENERS]) for n in range(count)]
    members += [member(0xB1, servers.ports[0], "parent", "sierra"), member(0xC1, servers.ports[1], "origin", "sierra")]
    journal = Journal(members)
    port = await journal.start()
    settings = location_settings(1)
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "seed": f"{seed:x}",
        "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "journal": f"127.0.0.1:{port}",
        "known": {"pos": 1, "entries": [journal.event()]},
    }
    (folder / "config.json").write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "threadhill",
        "serve",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"LB_CONFIG": str(folder / "config.json"), "TMPDIR": str(folder)},
    )
    told = Measured(count)
    try:
        line = (await process.stderr.readline()).decode()
        told.start_cpu_s = cpu_of(process.pid)
        log = asyncio.ensure_future(process.stderr.read())
        client = await Client.connect("127.0.0.1", int(line.rpartition(":")[2]))
        before = cpu_of(process.pid)
        draw = random.Random(seed)
        answers: list[asyncio.Future[Answer]] = []
        began = time.monotonic()
        for i in range(int(seconds * rate)):
            await asyncio.sleep(max(0.0, began + i / rate - time.monotonic()))
            name = f"{min(int(draw.paretovariate(0.9)), OBJECTS):016x}"
            answers.append(client.ask("art-pages", name))
            if i % 50 == 0:
                told.descriptors = max(told.descriptors, len(os.listdir(f"/proc/{process.pid}/fd")))
        words = [word for word, _, _ in await asyncio.gather(*answers)]
        told.served = words.count("200") / len(words)
        told.cpu_s = cpu_of(process.pid) - before
        told.dials = servers.dials
        told.list_stall_ms = max([await stall(client, journal) for _ in range(3)])
        told.list_bytes = journal.sent // 3
        told.peak_mb = peak_of(process.pid)
        log.cancel()
    finally:
        process.kill()
        await process.wait()
    return told


def compare(first: Measured, last: Measured) -> dict[str, float]:
    """The figures of the larger size against the first, and what is allowed."""
    thousands = last.servers / 1_000
    more_cpu = 0.02 + 0.12 * thousands
    return {
        "cpu_ratio": round(last.cpu_s / first.cpu_s, 3),
        "cpu_allowed": round(1.4 + more_cpu / first.cpu_s, 3),
        "memory_over_mb": round(last.peak_mb - (1.5 * first.peak_mb + 8 + 4 * thousands), 1),
        "descriptors_over": last.descriptors - (2 * first.descriptors + 40),
        "dials_over": round(last.dials - (2.5 * first.dials + 40)),
        "list_bytes_over": round(last.list_bytes - (2 * first.list_bytes + 64_000 + 500_000 * thousands)),
        "served_ratio": round(last.served / first.served, 3),
        "start_cpu_ratio": round(last.start_cpu_s / first.start_cpu_s, 3),
        "list_stall_ms": round(last.list_stall_ms, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json", action="store_true", help="print one line of JSON (the only form there is)")
    parser.add_argument("--sizes", default="200,3200")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 4_096)), hard))
    measured = []
    for size in (int(word) for word in args.sizes.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            measured.append(asyncio.run(measure(size, args.seconds, args.rate, args.seed, Path(folder))))
    sizes = [{key: round(value, 3) for key, value in asdict(one).items()} for one in measured]
    print(json.dumps(compare(measured[0], measured[-1]) | {"sizes": sizes}))


if __name__ == "__main__":
    main()
