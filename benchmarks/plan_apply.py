"""Measures plan and apply on a whole installation on loopback, and prints one line of JSON.

    python benchmarks/plan_apply.py --json [--seed N] [--smoke]

| figure | what it is |
| --- | --- |
| forecast_error | largest difference, in points of a hundred, between a box's planned and measured share of requests, after four boxes were added to three under load |
| drain_late, drain_worst_ms | requests that a box got, or was named in as a source, later than 250 ms after its drain was published; and the latest of all |
| cold_worst | most that a cold box was sent within the fall window, over what it may be sent |
| kills, kills_untrue | SIGKILLs of control plane and command during applies, and how often the next plan was not true |
| plan_s, plan_mb | files of 10,000 boxes and 1,000 tenants, all of them new, to the saved plan |
| feed_p99_ms | from the call that begins a step until each of 100 clients of the feed has its event |
| restart_s | from the start of the process until the feed serves, with 100,000 events of history |

Scaled down to one machine: two proxies, seven boxes, windows of seconds. `--smoke` makes all of it smaller still.
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
if not __package__:  # started by its file's name: the packages stand beside its folder
    sys.path.insert(0, str(ROOT))

from benchmarks.rig import TOKEN, Load, Rig, Watcher, until  # noqa: E402
from threadhill.control import client  # noqa: E402
from threadhill.control.sqlite import STORE_FILE, SqliteStore  # noqa: E402
from threadhill.control.store import Change  # noqa: E402
from threadhill.plans import forecast  # noqa: E402
from threadhill.standin.servers import Server, body_of  # noqa: E402

DRAIN = 0.250  # seconds, the rule on drains
FALL, MULTIPLE, COLD_FROM = 3.0, 2.5, 0.16
CARRIED = 0.8  # part of what boxes can do that is asked of them: what a cold box may be sent follows from it


def mix(rate: float) -> forecast.Mix:
    return forecast.Mix(rate, {"clip-parts": 0.55, "art-pages": 0.45}, objects=3_000, zipf=0.9)


# --- four boxes more, under load


async def growth(folder: Path, seed: int, rate: float, window: float, cold: float) -> dict[str, Any]:
    """Add four boxes to three; the planned shares against the measured ones, and how much cold boxes were sent."""
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
        whole = sum(counts.values())
        errors = {name: abs(planned[f"box.{name}"] - counts[name] / whole) for name in counts}
        return {
            "forecast_error": round(100 * max(errors.values()), 2),
            "forecast_requests": whole,
            "cold_worst": round(cold_worst(rig, cold), 3),
            "rounds": max(s["wave"] for s in plan["steps"]) + 1,
            "served": round(load.answers["200"] / max(1, sum(load.answers.values())), 4),
            "wrong": load.wrong,
            "state": done["state"],
        }


def planned_shares(
    plan: dict[str, Any], node: str, sent: list[tuple[float, str]], begun: float, ended: float
) -> dict[str, float]:
    """Each box's planned share of all requests: its classes' shares, each by its part of what was asked."""
    asked = Counter(cls for at, cls in sent if begun <= at < ended)
    shares: dict[str, float] = defaultdict(float)
    for cls, by in plan["forecast"][node].items():
        for box, cell in by.items():
            shares[box] += cell["after"] * asked[cls] / max(1, sum(asked.values()))
    return shares


def cold_worst(rig: Rig, cold: float) -> float:
    """The most work that a box was sent in a window of the fall time, over multiple x present capacity x window.

    Capacity is set by what was asked: three boxes carried it at CARRIED of theirs before. Work is what the rule counts,
    each class's mean sending time; what is sent to a cold box counts whether it is served or not.
    """
    fleet = rig.installation.fleet.servers.values()
    sizes: dict[str, list[int]] = defaultdict(list)
    arrivals: dict[str, list[Any]] = {}
    for s in fleet:
        if s.kind == "box":
            arrivals[s.name] = [a for a in s.arrivals if not a.fill]
            for a in arrivals[s.name][::7]:
                sizes[a.cls].append(len(body_of(a.thing, a.nth)))
    work = {cls: sum(by) / len(by) / 4e6 for cls, by in sizes.items()}
    whole = [a for by in arrivals.values() for a in by]
    span = max(a.at for a in whole) - min(a.at for a in whole)
    capacity = sum(work[a.cls] for a in whole) / span / 3 / CARRIED
    worst = 0.0
    for s in fleet:
        if s.kind != "box" or not s.cold:
            continue
        told = next((a.at for a in arrivals[s.name]), None)
        if told is None:
            continue
        for i in range(int(cold / 0.1) + 1):
            begin = told + i * 0.1
            end = begin + min(FALL, cold)
            sent = sum(work[a.cls] for a in arrivals[s.name] if begin <= a.at < end)
            middle = COLD_FROM + (1 - COLD_FROM) * min(1.0, ((begin + end) / 2 - told) / cold)
            worst = max(worst, sent / (MULTIPLE * middle * capacity * (end - begin)))
    return worst


# --- drains


async def drains(folder: Path, seed: int, rate: float, times: int) -> dict[str, Any]:
    """Drain boxes and upper caches again and again under load; what reached them too late."""
    async with Rig(folder, "127.0.22.1", cold_s=0.2, settle_s=0.3, load=0.4) as rig:
        names = [str(i) for i in range(8)]
        await rig.apply(rig.make(names, parents=3))
        await rig.live()
        load = Load()
        running = asyncio.ensure_future(load.run(rig.addresses, mix(rate), seed))
        await asyncio.sleep(1)
        chance = random.Random(seed)
        ended: list[Server] = []
        drained = 0
        while drained < times:
            out = chance.sample(names, 3)
            before = dict(rig.installation.fleet.servers)
            await rig.apply(rig.make([n for n in names if n not in out], parents=2))
            drained += 4
            ended += [before[n] for n in (*(f"b-{key}" for key in out), "upper-2")]
            await rig.apply(rig.make(names, parents=3))
        load.stopped = True
        await running
        late, worst, seen = drain_lateness(folder, rig, ended)
        return {
            "drains": drained,
            "drain_late": late,
            "drain_worst_ms": round(worst * 1e3, 1),
            "drain_sends": seen,
            "drain_served": round(load.answers["200"] / max(1, sum(load.answers.values())), 4),
        }


def drain_lateness(folder: Path, rig: Rig, ended: list[Server]) -> tuple[int, float, int]:
    """Of all that was drained: what reached it, or named it as a source, between its drain and its return. The store
    has when each drain and each return was published."""
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
    late, worst, seen = 0, 0.0, 0
    servers = {id(s): s for s in [*rig.installation.fleet.servers.values(), *ended]}.values()
    for s in servers:
        for a in s.arrivals:
            for name in {s.name, a.source}:
                if a.fill and name == s.name and s.kind == "parent":
                    continue  # named by the box that asked for the fill, which counted there
                for begin, end in spans.get(name, ()):
                    if begin < a.at < end:
                        seen += 1
                        worst = max(worst, a.at - begin)
                        late += a.at - begin > DRAIN
    return late, worst, seen


# --- kills


async def kills(folder: Path, seed: int, times: int) -> dict[str, Any]:
    """Kill control plane and command at step boundaries and in between; whether the next plan is true each time, and
    whether each step took effect once and the end is what was wanted."""
    chance = random.Random(seed)
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
                # The command is lost by leaving its lease; the control plane by SIGKILL, at a boundary or amid a call.
                alone = client.ApiClient(rig.api, TOKEN)
                at = chance.randrange(4)
                calls = [
                    asyncio.ensure_future(
                        asyncio.to_thread(
                            alone, "POST", f"/v1/applies/{lease['apply']}/advance", {"token": lease["token"]}
                        )
                    )
                ]
                if at:
                    await asyncio.sleep(chance.random() * 0.006)
                else:
                    await calls[0]
                await rig.kill_control()
                killed += 1
                with suppress(client.ApiError):
                    await calls[0]
                await rig.start_control()
                untrue += await told_untrue(rig, watcher, plan, lease["apply"], first)
                state = await rig.get("/v1/state")
                if state["open"] is None:
                    break
                # Another command has to wait for the lease.
                holder = f"command-{killed}" if not killed % 4 else state["open"]["holder"]
                lease = await asyncio.to_thread(client.resume_apply, rig.ask, lease["apply"], holder, 10.0)
                if killed >= times or all(s != "left" for s in state["open"]["steps"].values()):
                    await rig.carry_on(lease)
                    break
            again = await rig.plan(wanted)
            untrue += bool(again["steps"]) + effects_twice(watcher, first, plan)
        watcher.task.cancel()
        return {
            "kills": killed,
            "kills_untrue": untrue,
            "kill_events": len(watcher.events),
            "events_twice": len(watcher.twice),
        }


async def told_untrue(rig: Rig, watcher: Watcher, plan: dict[str, Any], apply: int, first: int) -> int:
    """Whether what is told of the apply differs from the events that were really published."""
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
        (told != "left") != (step_effect(by_id[id]) in published)
        for id, told in found["steps"].items()
        if step_effect(by_id[id]) is not None
    )


def effect_of(line: bytes) -> tuple[str, str] | None:
    event = orjson.loads(line)
    if event.get("hosts") and not event["hosts"]["complete"]:
        member = event["hosts"]["members"][0]
        return member["phase"], member["id"]
    if event.get("tenants") and not event.get("hosts"):
        told = event["tenants"]
        return ("set", told["set"][0]["name"]) if told["set"] else ("gone", told["gone"][0])
    return None


def step_effect(step: dict[str, Any]) -> tuple[str, str] | None:
    if step["kind"] == "tenant":
        return "set" if step["after"] else "gone", step["name"]
    if step["kind"] in ("box", "parent", "library"):
        return {"drain": "DRAINING", "remove": "DELETED"}.get(step["action"], "SERVING"), step["name"]
    return None


def effects_twice(watcher: Watcher, first: int, plan: dict[str, Any]) -> int:
    seen = Counter(effect_of(line) for pos, line in watcher.events.items() if pos > first)
    return sum(seen[step_effect(step)] != 1 for step in plan["steps"] if step_effect(step) is not None)


# --- sizes


async def feed(folder: Path, clients: int, events: int) -> dict[str, Any]:
    """One event at a time to many clients of the feed."""
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


async def restart(folder: Path, events: int) -> dict[str, Any]:
    """Start a control plane on a long history, until its feed serves."""
    store = SqliteStore(folder)
    line = b'{"pos":%d,"tenants":{"set":[],"gone":["nobody-%d"]}}\n'
    for begin in range(1, events + 1, 5_000):
        store.commit(
            Change(meta={"pos": begin + 4_999}, events=[(p, line % (p, p)) for p in range(begin, begin + 5_000)])
        )
    store.close()
    rig = Rig(folder, "127.0.25.1", proxies=1)
    began = time.monotonic()
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
    took = time.monotonic() - began
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


PLAN = """
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
    """In a process of its own: files to the saved plan; prints the seconds and the most memory."""
    from threadhill.plans import planner, saved

    began = time.monotonic()
    wanted = client.read_configuration(file, {})
    plan = planner.plan(wanted, [])
    document = saved.document(plan, wanted, 0, 0)
    file.with_suffix(".plan").write_bytes(orjson.dumps(document))
    took = time.monotonic() - began
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
    file.write_text(PLAN % {"boxes": boxes, "nodes": max(1, boxes // 10), "tenants": tenants})
    out = subprocess.run(
        [sys.executable, "-m", "benchmarks.plan_apply", "--one-plan", str(file)],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    return {**orjson.loads(out.stdout), "plan_boxes": boxes, "plan_tenants": tenants}


async def measure(folder: Path, seed: int, smoke: bool) -> dict[str, Any]:
    """All figures; what needs the cores to itself runs alone."""
    for name in ("growth", "drains", "kills", "feed", "restart"):
        (folder / name).mkdir()
    found: dict[str, Any] = {"seed": seed, "smoke": smoke}
    if smoke:
        found |= await growth(folder / "growth", seed, 60, 2, 1.0)
        found |= await drains(folder / "drains", seed, 60, 4)
        found |= await kills(folder / "kills", seed, 2)
        found |= await feed(folder / "feed", 10, 3)
        found |= await restart(folder / "restart", 5_000)
        return found | plan_size(folder, 200, 20)
    found |= plan_size(folder, 10_000, 1_000)
    found |= await restart(folder / "restart", 100_000)
    found |= await feed(folder / "feed", 100, 15)
    # Each in a process of its own: a thread that plans would hold up the stand-ins of another part.
    for told in await asyncio.gather(*(asyncio.to_thread(part, name, seed) for name in PARTS)):
        found |= told
    return found


PARTS = {
    "growth": lambda folder, seed: growth(folder, seed, 320, 11, 2.5),
    "drains": lambda folder, seed: drains(folder, seed, 100, 32),
    "kills": lambda folder, seed: kills(folder, seed, 12),
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
    parser.add_argument("--smoke", action="store_true", help="everything small: whether it works, no figures")
    parser.add_argument("--one-plan", type=Path, help=argparse.SUPPRESS)
    parser.add_argument("--part", choices=sorted(PARTS), help="only this part, alone")
    words = parser.parse_args()
    if words.part is not None:
        with tempfile.TemporaryDirectory() as folder:
            print(orjson.dumps(asyncio.run(PARTS[words.part](Path(folder), words.seed))).decode())
        return
    if words.one_plan is not None:
        one_plan(words.one_plan)
        return
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        found = asyncio.run(measure(Path(folder), words.seed, words.smoke))
    print(orjson.dumps(found | {"took_s": round(time.monotonic() - began, 1)}).decode())


if __name__ == "__main__":
    main()
