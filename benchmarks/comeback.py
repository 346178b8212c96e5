"""Coming back: seven in ten of 100 proxies killed at once and started anew, this version and the one before in one run.

    python benchmarks/comeback.py --json [--before REVISION] [--seed N]

One line of JSON, under 100 s. 24 warm stand-in caches, 300 requests a second in all, a third of them at proxies that stay; what
is asked of one that is gone is lost. While they are gone a cache drains, an object is purged, another cache comes back cold, and
one had been cordoned before. Both versions run on the same machine, one after the other; this one with `[recovery]` on.

| figure | what it is |
| --- | --- |
| full_service_s, full_service_before_s | seconds from the kill until 95% of what was served in time before is, for good |
| listening_s, listening_before_s | seconds from the kill until the last process listens again |
| start_cpu_over_before | processor time of a process from its start until it listens, over the version before |
| start_cpu_ms | the same, in milliseconds, median of the processes that were started anew |
| dials_peak_over_calm | most dials to caches, parents and origin in a second after the kill, over the mean before it |
| journal_dials_per_100ms | most dials to the journal in a tenth of a second |
| pushed_over | seconds in which the cold cache was sent over 2.5 times what it could do |
| stale_answers | answers from copies older than the purge, later than the rules leave for it |
| cordons_forgotten | requests at the cordoned cache after the kill |
| adopt_wrong | of 20 losses of a control plane's state: resources adopted as certain and not so, or put back |
| feed_back_s | seconds until 500 feed clients that come at once have a list of 1,000 servers |
| cpu_per_request_over_before | processor time of a request over the version before, 3 proxies |
| first10_share_of_warm | share served in the first ten seconds by proxies started anew, over that of those that stayed |
| drained_sends | requests at a cache that drained while the proxies were down, after they were back |
| double_answers | answers to what was answered already |
"""  # noqa: E501

from __future__ import annotations

import argparse
import asyncio
import random
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from statistics import median
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
if not __package__:  # started by its file's name: the packages stand beside its folder
    sys.path[0] = str(ROOT)

from benchmarks.rig import free_ports  # noqa: E402
from benchmarks.spread import BEFORE, unpack  # noqa: E402
from threadhill.control.ledger import Ledger  # noqa: E402
from threadhill.control.sqlite import SqliteStore  # noqa: E402
from threadhill.control.store import Change  # noqa: E402
from threadhill.drills.verdict import recovery_time, served_by_second  # noqa: E402
from threadhill.plans.rules import Phase, Record  # noqa: E402
from threadhill.recovery import adopt  # noqa: E402
from threadhill.standin.dev import start_control  # noqa: E402
from threadhill.standin.servers import Server  # noqa: E402
from threadhill.standin.swarm import LoadGenerator, Swarm, location_settings  # noqa: E402

PROXIES, KILLED, CACHES, RATE = 100, 0.7, 24, 300.0
CALM_S, AFTER_S = 4.0, 12.0
RECOVERY = '[recovery]\nstate_folder = "state"\nevery_ms = 1000\n'
WORKERS, BASE_S, COLD_S = 8, 0.025, 12.0  # of a cache: what it can do a second follows
PURGED = "0000000000000001"
LOSSES, FEEDS, LISTED = 20, 500, 1_000


async def watch_dials(swarm: Swarm, into: list[tuple[float, int]]) -> None:
    """Connections taken by all servers so far, ten times a second."""
    while True:
        into.append((time.monotonic(), sum(server.accepted_connections for server in swarm.fleet.servers.values())))
        await asyncio.sleep(0.1)


def most_in(dials: list[tuple[float, int]], since: float, until: float, window: float) -> float:
    """The most dials within so many seconds, a second."""
    seen = [(at, count) for at, count in dials if since <= at < until]
    best = 0.0
    for n, (at, count) in enumerate(seen):
        later = [c for t, c in seen[n:] if t - at <= window]
        best = max(best, (later[-1] - count) / window)
    return best


def pushed(box: Server, since: float, until: float) -> int:
    """Seconds in which a cold cache was sent more than the rule's multiple of what it could do then."""
    by_second = Counter(int(a.at - since) for a in box.arrivals if since <= a.at < until)
    return sum(count > 2.5 * WORKERS / BASE_S * box.capacity(since + second) for second, count in by_second.items())


async def cordon(host: str, port: int, name: str) -> None:
    """What an operator's call does."""
    reader, writer = await asyncio.open_connection(host, port)
    body = orjson.dumps({"name": name})
    writer.write(b"POST /admin/cordon HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
    answer = await reader.read()
    writer.close()
    if b" 200 " not in answer.splitlines()[0]:
        raise RuntimeError(f"not cordoned: {answer[:200]!r}")


async def cost(root: Path, folder: Path, host: str, seed: int, operator: str) -> float:
    """Processor seconds of a request with three proxies."""
    folder.mkdir(parents=True)
    (folder / "state").mkdir()
    swarm = Swarm(folder, host, location_settings(3), root, operator=operator)
    try:
        await swarm.start_servers(CACHES)
        await swarm.launch([swarm.configure(f"p{n}").name for n in range(3)])
        crowd = LoadGenerator(swarm, RATE, seed=seed)
        await crowd.run(1.0)
        crowd.answers.clear()
        before = sum(p.resources()[0] for p in swarm.proxies.values())
        await crowd.run(4.0)
        crowd.close()
        return (sum(p.resources()[0] for p in swarm.proxies.values()) - before) / crowd.answers.total()
    finally:
        await swarm.close()


def adopted_wrong(seed: int) -> int:
    """A history of servers; a snapshot of one moment, three proxies that heard it up to later ones, and the state is
    lost: how many resources the proposal calls certain and has wrong, or puts back."""
    draw, world = random.Random(seed), dict[str, dict[str, Any]]()
    history = [dict(world)]
    for n in range(draw.randint(5, 60)):
        name = f"s{draw.randrange(12)}"
        has = world.get(name)
        if has is None:
            world[name] = {
                "id": name,
                "host_port": "127.0.0.1:9",
                "locality": "costa",
                "flavor": "box",
                "cell": 0,
                "size": 4,
                "phase": "SERVING",
                "up_since_ms": n + 1,
            }
        elif has["phase"] == "SERVING":
            world[name] = has | {"phase": "DRAINING"}
        else:
            del world[name]
        history.append(dict(world))
    cut = draw.randrange(len(history))
    heard = [draw.randint(cut, len(history) - 1) for _ in range(3)]
    held: dict[str, adopt.ProxyView] = {}
    for n, pos in enumerate(heard):
        adopt.add_part(
            held,
            {
                "proxy": f"p{n}",
                "holds": {
                    "pos": pos,
                    "zone": "costa",
                    "part": 0,
                    "of": 1,
                    "members": list(history[pos].values()),
                    "tenants": [],
                },
            },
        )
    records = {
        f"box.{n}": {"kind": "box", "name": n, "attrs": {}, "phase": "warm", "since": m["up_since_ms"]}
        for n, m in history[cut].items()
    }
    proposal, true, wrong = adopt.propose(held.values(), records, cut, max(heard)), history[max(heard)], 0
    for finding in proposal.findings:
        record, now = finding.record, true.get(finding.id.split(".", 1)[1])
        if record is not None:
            serves = record["phase"] != "draining"
            wrong += now is None or serves and now["phase"] != "SERVING" or record["since"] != now["up_since_ms"]
    return wrong + (proposal.pos <= max(heard))


async def feed_back(folder: Path, host: str) -> float:
    """Seconds until all of so many clients that come at once to a control plane's feed have the whole list."""
    folder.mkdir(parents=True)
    store = SqliteStore(folder)
    attrs = {"address": f"{host}:1", "node": "node.costa", "cell": 0, "size": 4, "warm": True, "fills_from": []}
    records = [Record("box", f"b-{n}", attrs, Phase.WARM) for n in range(LISTED)]
    ledger = Ledger(store)
    ledger.adopt(10, Change(records=records))
    store.close()
    api, feed = free_ports(host, 2)
    process = await start_control(folder, f"{host}:{api}", f"{host}:{feed}", "b" * 32, True)

    async def one() -> None:
        while True:
            reader, writer = await asyncio.open_connection(host, feed, limit=8 << 20)
            writer.write(b"tail 0\n")
            told = orjson.loads(await reader.readline())
            writer.close()
            if "later" not in told:
                if len(told["hosts"]["members"]) != LISTED:
                    raise RuntimeError("not the whole list")
                return
            await asyncio.sleep(told["later"] / 1e3)

    try:
        began = time.monotonic()
        async with asyncio.timeout(30):
            await asyncio.gather(*(one() for _ in range(FEEDS)))
        return time.monotonic() - began
    finally:
        process.kill()
        await process.wait()


async def side(root: Path, folder: Path, host: str, seed: int, operator: str) -> dict[str, Any]:
    folder.mkdir(parents=True)
    (folder / "state").mkdir()
    swarm = Swarm(folder, host, location_settings(PROXIES), root, operator=operator)
    dials: list[tuple[float, int]] = []
    try:
        await swarm.start_servers(CACHES)
        for box in swarm.boxes:
            box.workers, box.answer_time, box.queue_limit = WORKERS, BASE_S, 64
        (operators,) = free_ports(host, 1)
        names = [
            swarm.configure(f"p{n}", management=f"{host}:{operators if n == PROXIES - 1 else 0}").name
            for n in range(PROXIES)
        ]
        await swarm.launch(names)
        crowd = LoadGenerator(swarm, RATE, seed=seed)
        await crowd.run(3.0)
        watching = asyncio.ensure_future(watch_dials(swarm, dials))
        crowd.log.clear()
        drained, cold, out = (box.name for box in swarm.boxes[:3])
        await cordon(host, operators, out)
        began = time.monotonic()
        going = asyncio.ensure_future(crowd.run(CALM_S + AFTER_S))
        await asyncio.sleep(CALM_S)
        killed = names[: int(KILLED * PROXIES)]
        kill_at = time.monotonic()
        for name in killed:
            swarm.proxies[name].signal(signal.SIGKILL)
        for name in killed:
            await swarm.proxies[name].process.wait()
        swarm.fleet.servers[cold].stop()
        await swarm.fleet.servers[cold].restart(cold=COLD_S)
        await swarm.journal.add_members(swarm.member(drained, "DRAINING"), swarm.member(cold))
        for box in swarm.boxes:
            box.purged[PURGED] = time.time()
        await swarm.journal.add({"expire": {"name": PURGED, "stamp": int(time.time() * 1e3)}})
        await swarm.launch(killed)
        listening = time.monotonic()
        back_at = time.time()
        cpu = median(swarm.proxies[name].startup_cpu for name in killed)
        await going
        watching.cancel()
        crowd.close()
        served = [(at - began, word) for at, word, took, _ in crowd.log if took <= 0.5 or word != "200"]
        full = recovery_time(served_by_second(served, int(CALM_S + AFTER_S)), CALM_S, kill_at - began)
        fresh = Counter(word for at, word, _, name in crowd.log if name in killed and at >= listening)
        warm = Counter(word for at, word, _, name in crowd.log if name not in killed and at >= listening)
        calm = most_in(dials, began, kill_at, CALM_S - 0.2)
        return {
            "full": full,
            "listening": listening - kill_at,
            "cpu": cpu,
            "dials": most_in(dials, kill_at, kill_at + AFTER_S, 1.0) / max(1.0, calm),
            "journal": max(
                (
                    sum(at <= other < at + 0.1 for other in swarm.journal.connect_times)
                    for at in swarm.journal.connect_times
                    if at >= kill_at
                ),
                default=0,
            ),
            "pushed": pushed(swarm.fleet.servers[cold], back_at, time.time()),
            "stale": sum(box.stale_answers for box in swarm.boxes),
            "cordoned": sum(a.at > back_at and not a.fill for a in swarm.fleet.servers[out].arrivals),
            "first": (fresh["200"] / max(1, fresh.total())) / max(0.01, warm["200"] / max(1, warm.total())),
            "drained": sum(a.at > back_at + 0.5 and not a.fill for a in swarm.fleet.servers[drained].arrivals),
            "twice": crowd.duplicate_answers,
            "answers": dict(crowd.answers),
        }
    finally:
        await swarm.close()


async def run(before: str, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="threadhill-comeback-") as temporary:
        folder = Path(temporary)
        old = unpack(before, folder / "before")
        then = await side(old, folder / "then", "127.0.51.1", seed, "")
        now = await side(ROOT, folder / "now", "127.0.52.1", seed, RECOVERY)
        dear = await cost(old, folder / "cost-then", "127.0.53.1", seed, "")
        cheap = await cost(ROOT, folder / "cost-now", "127.0.54.1", seed, RECOVERY)
        return {
            "full_service_s": now["full"],
            "full_service_before_s": then["full"],
            "listening_s": now["listening"],
            "listening_before_s": then["listening"],
            "start_cpu_over_before": now["cpu"] / then["cpu"],
            "start_cpu_ms": now["cpu"] * 1e3,
            "dials_peak_over_calm": now["dials"],
            "dials_peak_over_calm_before": then["dials"],
            "journal_dials_per_100ms": now["journal"],
            "journal_dials_per_100ms_before": then["journal"],
            "first10_share_of_warm": now["first"],
            "drained_sends": now["drained"],
            "double_answers": now["twice"],
            "pushed_over": now["pushed"],
            "stale_answers": now["stale"],
            "stale_answers_before": then["stale"],
            "cordons_forgotten": now["cordoned"],
            "cordons_forgotten_before": then["cordoned"],
            "adopt_wrong": sum(adopted_wrong(seed * 1_000 + n) for n in range(LOSSES)),
            "losses": LOSSES,
            "feed_back_s": await feed_back(folder / "feed", "127.0.55.1"),
            "cpu_per_request_over_before": cheap / dear,
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="one line of JSON; the only form there is")
    parser.add_argument("--before", default=BEFORE, help="the revision to compare with")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    told = asyncio.run(run(options.before, options.seed))
    print(orjson.dumps({k: round(v, 4) if isinstance(v, float) else v for k, v in told.items()}).decode())


if __name__ == "__main__":
    main()
