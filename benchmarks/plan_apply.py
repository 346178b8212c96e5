"""Measures plan and apply on a complete installation on loopback, and prints one line of JSON.

    python benchmarks/plan_apply.py --json [--seed N] [--smoke]

| figure | meaning |
| --- | --- |
| forecast_error | largest difference, in percentage points, between a box's planned and measured share of requests, after four boxes were added to three under load |
| drain_late, drain_worst_ms | number of requests that reached a server, or named it as a source, later than 250 ms after its drain was published; and the latest delay of any |
| cold_worst | most work that a cold box was sent within an overload window, as a multiple of what it may be sent |
| kills, kills_untrue | SIGKILLs of the control plane during applies, and how often the state or the next plan was wrong afterwards |
| plan_s, plan_mb | time and memory from files with 10,000 boxes and 1,000 tenants, all new, to the saved plan |
| feed_p99_ms | from the call that begins a step until a client of the feed has its event, with 100 clients |
| restart_s | from the start of the control plane until its feed serves, with 100,000 events of history |

Scaled down to one machine: two proxies, seven boxes, windows of seconds. `--smoke` makes everything smaller still.
"""  # noqa: E501

from __future__ import annotations

import argparse
import asyncio
import random
import resource
import sqlite3
import subprocess
import sys
import tempfile
import time
from collections import Counter, defaultdict
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
if not __package__:  # run as a file: the packages are in the parent of its folder
    sys.path.insert(0, str(ROOT))

from benchmarks.rig import TOKEN, Load, Rig, Watcher, until  # noqa: E402
from threadhill.control import client  # noqa: E402
from threadhill.control.sqlite import STORE_FILE, SqliteStore  # noqa: E402
from threadhill.control.store import Change  # noqa: E402
from threadhill.plans import forecast  # noqa: E402
from threadhill.standin.servers import Server, body_of  # noqa: E402

MAX_DRAIN_DELAY_S = 0.250  # seconds after the publication of a drain in which requests may still arrive
OVERLOAD_WINDOW_S, OVERLOAD_MULTIPLE, COLD_CAPACITY = 3.0, 2.5, 0.16
INITIAL_LOAD = (
    0.8  # assumed load of the first three boxes, as a fraction of their capacity, from which the capacity is derived
)


def mix(rate: float) -> forecast.Mix:
    return forecast.Mix(rate, {"clip-parts": 0.55, "art-pages": 0.45}, objects=3_000, zipf=0.9)


# --- adding four boxes under load


async def measure_growth(folder: Path, seed: int, rate: float, window: float, cold: float) -> dict[str, Any]:
    """Add four boxes to three. Compares planned with measured shares, and measures the work sent to cold boxes."""
    async with Rig(folder, "127.0.21.1", cold_s=cold, load=0.5) as rig:
        old = {str(i): True for i in range(3)}
        await rig.apply(rig.make(old))
        await rig.live()
        load = Load()
        running = asyncio.ensure_future(load.run(rig.addresses, mix(rate), seed))
        await asyncio.sleep(2)
        plan = await rig.plan(rig.make(old | {str(i): False for i in range(3, 7)}), mix(rate))
        lease = await rig.begin(plan)
        done = await rig.carry_on(lease)
        await asyncio.sleep(2.0)
        begun = time.time()
        await asyncio.sleep(window)
        ended = time.time()
        load.stopped = True
        await running
        planned = planned_shares(plan, "node.costa", load.sent, begun, ended)
        boxes = [s for s in rig.installation.fleet.servers.values() if s.kind == "box"]
        counts = Counter({s.name: sum(begun <= a.at < ended and not a.fill for a in s.arrivals) for s in boxes})
        measured_total = sum(counts.values())
        errors = {name: abs(planned[f"box.{name}"] - counts[name] / measured_total) for name in counts}
        return {
            "forecast_error": round(100 * max(errors.values()), 2),
            "forecast_requests": measured_total,
            "cold_worst": round(cold_worst(rig, cold), 3),
            "rounds": max(s["wave"] for s in plan["steps"]) + 1,
            "served": round(load.answers["200"] / max(1, sum(load.answers.values())), 4),
            "wrong": load.wrong,
            "state": done["state"],
        }


def planned_shares(
    plan: dict[str, Any], node: str, sent: list[tuple[float, str]], begun: float, ended: float
) -> dict[str, float]:
    """Each box's planned share of all requests: its shares by class, weighted by the requests sent of each class."""
    asked = Counter(cls for at, cls in sent if begun <= at < ended)
    shares: dict[str, float] = defaultdict(float)
    for cls, by in plan["forecast"][node].items():
        for box, cell in by.items():
            shares[box] += cell["after"] * asked[cls] / max(1, sum(asked.values()))
    return shares


def cold_worst(rig: Rig, cold: float) -> float:
    """The most work that a cold box was sent in a window, over multiple x present capacity x window.

    A box's capacity is derived from the total work: three boxes carried it at a load of INITIAL_LOAD. Work is counted
    as the rule counts it, by each class's mean sending time; requests to a cold box count whether or not they are
    served.
    """
    fleet = rig.installation.fleet.servers.values()
    sizes: dict[str, list[int]] = defaultdict(list)
    arrivals: dict[str, list[Any]] = {}
    for s in fleet:
        if s.kind == "box":
            arrivals[s.name] = [a for a in s.arrivals if not a.fill]
            for a in arrivals[s.name][::7]:
                sizes[a.cls].append(len(body_of(a.obj, a.part)))
    work = {cls: sum(by) / len(by) / 4e6 for cls, by in sizes.items()}
    all_arrivals = [a for by in arrivals.values() for a in by]
    span = max(a.at for a in all_arrivals) - min(a.at for a in all_arrivals)
    capacity = sum(work[a.cls] for a in all_arrivals) / span / 3 / INITIAL_LOAD
    worst = 0.0
    for s in fleet:
        if s.kind != "box" or not s.cold:
            continue
        first_arrival = next((a.at for a in arrivals[s.name]), None)
        if first_arrival is None:
            continue
        for i in range(int(cold / 0.1) + 1):
            begin = first_arrival + i * 0.1
            end = begin + min(OVERLOAD_WINDOW_S, cold)
            sent = sum(work[a.cls] for a in arrivals[s.name] if begin <= a.at < end)
            middle = COLD_CAPACITY + (1 - COLD_CAPACITY) * min(1.0, ((begin + end) / 2 - first_arrival) / cold)
            worst = max(worst, sent / (OVERLOAD_MULTIPLE * middle * capacity * (end - begin)))
    return worst


# --- drains


async def measure_drains(folder: Path, seed: int, rate: float, times: int) -> dict[str, Any]:
    """Drain boxes and upper caches repeatedly under load, and count the requests that reached them too late."""
    async with Rig(folder, "127.0.22.1", cold_s=0.2, settle_s=0.3, load=0.4) as rig:
        names = [str(i) for i in range(8)]
        await rig.apply(rig.make(names, parents=3))
        await rig.live()
        load = Load()
        running = asyncio.ensure_future(load.run(rig.addresses, mix(rate), seed))
        await asyncio.sleep(1)
        rng = random.Random(seed)
        ended: list[Server] = []
        drained = 0
        while drained < times:
            out = rng.sample(names, 3)
            before = dict(rig.installation.fleet.servers)
            await rig.apply(rig.make([n for n in names if n not in out], parents=2))
            drained += 4
            ended += [before[n] for n in (*(f"b-{key}" for key in out), "upper-2")]
            await rig.apply(rig.make(names, parents=3))
        load.stopped = True
        await running
        late, worst, deliveries = drain_lateness(folder, rig, ended)
        return {
            "drains": drained,
            "drain_late": late,
            "drain_worst_ms": round(worst * 1e3, 1),
            "drain_sends": deliveries,
            "drain_served": round(load.answers["200"] / max(1, sum(load.answers.values())), 4),
        }


def drain_lateness(folder: Path, rig: Rig, ended: list[Server]) -> tuple[int, float, int]:
    """The requests that reached a drained server, or named it as a source, between its drain and its return: the late
    ones, the latest delay, and all. The store has the times at which drains and returns were published."""
    db = sqlite3.connect(folder / STORE_FILE)
    published = list(db.execute("SELECT id, at FROM steps WHERE pos > 0 ORDER BY at, pos"))
    db.close()
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for step, at in published:
        action, _, about = step.partition(" ")
        name = about.partition(".")[2]
        if action == "drain":
            spans[name].append((at / 1e3, float("inf")))
        elif action == "add" and spans[name]:
            spans[name][-1] = (spans[name][-1][0], at / 1e3)
    late, worst, deliveries = 0, 0.0, 0
    servers = {id(s): s for s in [*rig.installation.fleet.servers.values(), *ended]}.values()
    for s in servers:
        for a in s.arrivals:
            for name in {s.name, a.source}:
                if a.fill and name == s.name and s.kind == "parent":
                    continue  # the box that asked for this fill named it as the source, which is counted there
                for begin, end in spans.get(name, ()):
                    if begin < a.at < end:
                        deliveries += 1
                        worst = max(worst, a.at - begin)
                        late += a.at - begin > MAX_DRAIN_DELAY_S
    return late, worst, deliveries


# --- kills


async def measure_kills(folder: Path, seed: int, times: int) -> dict[str, Any]:
    """Kill the control plane and abandon the command, at step boundaries and during calls. Checks each time that the
    state agrees with the published events, and in the end that each step took effect once and nothing is left."""
    rng = random.Random(seed)
    killed = untrue = 0
    async with Rig(folder, "127.0.23.1", proxies=1, cold_s=0.15, settle_s=0.1, silent_s=1) as rig:
        watcher = Watcher(rig.feed)
        names = [str(i) for i in range(3)]
        await rig.apply(rig.make(names))
        await rig.live()
        turn = 0
        while killed < times:
            turn += 1
            wanted = rig.make(
                names + [str(i) for i in range(3, 6) if turn % 2], tenants={f"t{i}": turn for i in range(4)}
            )
            plan = await rig.plan(wanted)
            lease = await rig.begin(plan, "killed")
            first = max(watcher.events, default=0)
            while True:
                # The command stops using its lease; the control plane is killed, at a step boundary or during a call.
                api = client.ApiClient(rig.api, TOKEN)
                at = rng.randrange(4)
                calls = [
                    asyncio.ensure_future(
                        asyncio.to_thread(
                            api, "POST", f"/v1/applies/{lease['apply']}/advance", {"token": lease["token"]}
                        )
                    )
                ]
                if at:
                    await asyncio.sleep(rng.random() * 0.006)
                else:
                    await calls[0]
                await rig.kill_control()
                killed += 1
                with suppress(client.ApiError):
                    await calls[0]
                await rig.start_control()
                untrue += await count_wrong_states(rig, watcher, plan, lease["apply"], first)
                state = await rig.get("/v1/state")
                if state["open"] is None:
                    break
                # A command with another holder name has to wait until the lease expires.
                holder = f"command-{killed}" if not killed % 4 else state["open"]["holder"]
                lease = await asyncio.to_thread(client.resume_apply, rig.ask, lease["apply"], holder, 10.0)
                if killed >= times or all(s != "left" for s in state["open"]["steps"].values()):
                    await rig.carry_on(lease)
                    break
            again = await rig.plan(wanted)
            untrue += bool(again["steps"]) + count_not_once(watcher, first, plan)
        watcher.task.cancel()
        return {
            "kills": killed,
            "kills_untrue": untrue,
            "kill_events": len(watcher.events),
            "events_twice": len(watcher.twice),
        }


async def count_wrong_states(rig: Rig, watcher: Watcher, plan: dict[str, Any], apply: int, first: int) -> int:
    """The number of steps whose state in the API disagrees with the events that were published."""
    state = await rig.get("/v1/state")
    await until(lambda: max(watcher.events, default=0) >= state["pos"], "the watcher")
    published = {effect_of(watcher.events[pos]) for pos in watcher.events if pos > first}
    found = state["open"]
    if found is None:
        return 0
    if found["apply"] != apply:
        return 1
    by_id = {step["id"]: step for step in plan["steps"]}
    return sum(
        (step_state != "left") != (step_effect(by_id[id]) in published)
        for id, step_state in found["steps"].items()
        if step_effect(by_id[id]) is not None
    )


def effect_of(line: bytes) -> tuple[str, str] | None:
    """What an event changes: a phase and a server, or `set` or `gone` and a tenant. None: other events."""
    event = orjson.loads(line)
    if event.get("hosts") and not event["hosts"]["complete"]:
        member = event["hosts"]["members"][0]
        return member["phase"], member["id"]
    if event.get("tenants") and not event.get("hosts"):
        tenants = event["tenants"]
        return ("set", tenants["set"][0]["name"]) if tenants["set"] else ("gone", tenants["gone"][0])
    return None


def step_effect(step: dict[str, Any]) -> tuple[str, str] | None:
    """What the event of a step changes, in the form of `effect_of`. None: the step publishes no event."""
    if step["kind"] == "tenant":
        return "set" if step["after"] else "gone", step["name"]
    if step["kind"] in ("box", "parent", "library"):
        return {"drain": "DRAINING", "remove": "DELETED"}.get(step["action"], "SERVING"), step["name"]
    return None


def count_not_once(watcher: Watcher, first: int, plan: dict[str, Any]) -> int:
    """The number of steps whose effect was not published exactly once after the event `first`."""
    effects = Counter(effect_of(line) for pos, line in watcher.events.items() if pos > first)
    return sum(effects[step_effect(step)] != 1 for step in plan["steps"] if step_effect(step) is not None)


# --- sizes


async def measure_feed(folder: Path, clients: int, events: int) -> dict[str, Any]:
    """Publish one event at a time to many clients of the feed, and measure how long it takes to reach them."""
    async with Rig(folder, "127.0.24.1", proxies=1, silent_s=1) as rig:
        await rig.apply(rig.make(["1"], proxies=0))
        watchers = [Watcher(rig.feed) for _ in range(clients)]
        base = (await rig.get("/v1/state"))["pos"]
        await until(lambda: all(max(w.events, default=0) >= base for w in watchers), "all watchers")
        took: list[float] = []
        for i in range(events):
            plan = await rig.plan(rig.make(["1"], proxies=0, tenants={"one": i + 1}))
            lease = await rig.begin(plan)
            asked = time.time()
            await rig.carry_on(lease)
            pos = base + i + 1
            await until(lambda pos=pos: all(pos in w.heard for w in watchers), "the event")
            took += [w.heard[pos] - asked for w in watchers]
        for w in watchers:
            w.task.cancel()
        took.sort()
        return {
            "feed_p99_ms": round(1e3 * took[int(0.99 * len(took))], 2),
            "feed_clients": clients,
            "feed_missed": sum(pos not in w.events for w in watchers for pos in range(base + 1, base + events + 1)),
        }


async def measure_restart(folder: Path, events: int) -> dict[str, Any]:
    """Measure the start of a control plane with a long history, until its feed serves."""
    store = SqliteStore(folder)
    line = b'{"pos":%d,"tenants":{"set":[],"gone":["nobody-%d"]}}\n'
    for begin in range(1, events + 1, 5_000):
        store.commit(
            Change(meta={"pos": begin + 4_999}, events=[(p, line % (p, p)) for p in range(begin, begin + 5_000)])
        )
    store.close()
    rig = Rig(folder, "127.0.25.1", proxies=1)
    started = time.monotonic()
    rig.control = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "threadhill",
        "control",
        "--data",
        str(folder),
        "--api",
        rig.api,
        "--feed",
        rig.feed,
        "--token",
        TOKEN,
        stderr=asyncio.subprocess.DEVNULL,
    )
    host, _, port = rig.feed.rpartition(":")
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"tail %d\n" % (events - 1))
            if await reader.readline():
                break
        await asyncio.sleep(0.005)
    took = time.monotonic() - started
    count, last = 0, 0
    reader2, writer2 = await asyncio.open_connection(host, int(port), limit=1 << 20)
    writer2.write(b"tail 0\n")
    while last < events:
        line_read = await reader2.readline()
        if not line_read.strip().isdigit():
            pos = orjson.loads(line_read)["pos"]
            count += pos == last + 1
            last = pos
    writer.close()
    writer2.close()
    await rig.kill_control()
    return {"restart_s": round(took, 3), "restart_events": events, "restart_events_read": count}


LARGE_CONFIGURATION = """
settings {
  class "c" {
    repeat      = "safe"
    wanted_ms   = 300
    given_up_ms = 3000
  }
}
hub "h" {}
library "l" {
  hub     = hub.h
  address = "127.0.0.1:9"
}
node "n" {
  for_each = range(%(nodes)d)
  hub      = hub.h
}
parent "u" {
  for_each   = range(20)
  hub        = hub.h
  address    = "10.255.0.${each.key}:80"
  fills_from = [library.l]
}
box "b" {
  for_each   = range(%(boxes)d)
  node       = node.n[each.value %% %(nodes)d]
  address    = format("10.%%d.%%d.%%d:80", floor(each.value / 65536), floor(each.value / 256) %% 256, each.value %% 256)
  fills_from = [parent.u[each.value %% 20]]
}
tenant "t" {
  for_each = range(%(tenants)d)
  zones    = ["t${each.key}.example"]
  quota    = 10
}
"""


def one_plan(file: Path) -> None:
    """Make a plan from files, in a process of its own; prints the time and the peak memory."""
    from threadhill.plans import planner, saved

    started = time.monotonic()
    wanted = client.read_configuration(file, {})
    plan = planner.plan(wanted, [])
    document = saved.document(plan, wanted, 0, 0)
    file.with_suffix(".plan").write_bytes(orjson.dumps(document))
    took = time.monotonic() - started
    print(
        orjson.dumps(
            {
                "plan_s": round(took, 3),
                "plan_steps": len(plan.steps),
                "plan_blocked": len(plan.blocked),
                "plan_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
            }
        ).decode()
    )


def plan_size(folder: Path, boxes: int, tenants: int) -> dict[str, Any]:
    file = folder / "large.hcl"
    file.write_text(LARGE_CONFIGURATION % {"boxes": boxes, "nodes": max(1, boxes // 10), "tenants": tenants})
    out = subprocess.run(
        [sys.executable, "-m", "benchmarks.plan_apply", "--one-plan", str(file)],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    return {**orjson.loads(out.stdout), "plan_boxes": boxes, "plan_tenants": tenants}


async def measure_all(folder: Path, seed: int, smoke: bool) -> dict[str, Any]:
    """All figures. Measurements of latency and size run alone, as they need the cores for themselves."""
    for name in ("growth", "drains", "kills", "feed", "restart"):
        (folder / name).mkdir()
    found: dict[str, Any] = {"seed": seed, "smoke": smoke}
    if smoke:
        found |= await measure_growth(folder / "growth", seed, 60, 2, 1.0)
        found |= await measure_drains(folder / "drains", seed, 60, 4)
        found |= await measure_kills(folder / "kills", seed, 2)
        found |= await measure_feed(folder / "feed", 10, 3)
        found |= await measure_restart(folder / "restart", 5_000)
        return found | plan_size(folder, 200, 20)
    found |= plan_size(folder, 10_000, 1_000)
    found |= await measure_restart(folder / "restart", 100_000)
    found |= await measure_feed(folder / "feed", 100, 15)
    # Each part in a process of its own: a thread that makes a plan would delay the stand-ins of another part.
    for figures in await asyncio.gather(*(asyncio.to_thread(part, name, seed) for name in PARTS)):
        found |= figures
    return found


PARTS = {
    "growth": lambda folder, seed: measure_growth(folder, seed, 320, 11, 2.5),
    "drains": lambda folder, seed: measure_drains(folder, seed, 100, 32),
    "kills": lambda folder, seed: measure_kills(folder, seed, 12),
}


def part(name: str, seed: int) -> dict[str, Any]:
    out = subprocess.run(
        [sys.executable, "-m", "benchmarks.plan_apply", "--part", name, "--seed", str(seed)],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    return orjson.loads(out.stdout)


def main() -> None:
    parser = argparse.ArgumentParser(description="Measure plan and apply; one line of JSON.")
    parser.add_argument("--json", action="store_true", help="print JSON (there is no other form)")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--smoke", action="store_true", help="small sizes: checks that everything works; the figures mean nothing"
    )
    parser.add_argument("--one-plan", type=Path, help=argparse.SUPPRESS)
    parser.add_argument("--part", choices=sorted(PARTS), help="run only this part")
    arguments = parser.parse_args()
    if arguments.part is not None:
        with tempfile.TemporaryDirectory() as folder:
            print(orjson.dumps(asyncio.run(PARTS[arguments.part](Path(folder), arguments.seed))).decode())
        return
    if arguments.one_plan is not None:
        one_plan(arguments.one_plan)
        return
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(measure_all(Path(folder), arguments.seed, arguments.smoke))
    print(orjson.dumps(found | {"took_s": round(time.monotonic() - started, 1)}).decode())


if __name__ == "__main__":
    main()
