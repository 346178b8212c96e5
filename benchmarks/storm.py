"""A retry storm, with overload control and without, side by side in one run; prints one line of JSON. Under 55 s.

    python benchmarks/storm.py --json [--html FILE] [--seed N]

One installation for each side: three boxes of bounded work, one proxy, players that try again at once, after a fixed
wait, as told, or silently on other connections, and listeners of whole tracks. One box stops for five seconds while
three times as much is asked; then the load stays at 85% of what the boxes can do: a storm that feeds itself would last.

| figure | what it is |
| --- | --- |
| recover_s, recover_s_before | seconds from the box's return until two seconds on end serve in time what they did before the fault, less 5%; with and without overload control |
| goodput_storm, goodput_storm_before | served in time a second during the fault, over what two boxes can do |
| gaps, gaps_before | share of the next parts that listeners did not get in time, from the fault on; none miss any without a storm |
| gap_ratio, gap_ratio_before | that share over the newcomers' |
| pushed_over | boxes that were sent over the rule's multiple for its window after they came back cold, with overload control |
| double_answers | answers to what was answered already, both sides |
| other_tenant_loss, other_tenant_loss_before | points that a calm tenant serves less in its worst two seconds beside another's storm |
| comeback_error, comeback_error_before | of players who came back when they were told, the share that was refused again |
| cpu_per_request_over_before | processor time of a request in calm, over the same without overload control |
| served, served_before | of all first tries from the fault on, those served in time by whichever try |
"""  # noqa: E501

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
if not __package__:  # started by its file's name: the packages stand beside its folder
    sys.path[0] = str(ROOT)

from benchmarks.rig import Rig  # noqa: E402
from threadhill.standin import faults  # noqa: E402
from threadhill.standin.players import ClientGroup  # noqa: E402

BOXES, WORKERS, BASE = 3, 3, 0.025  # each does 120 requests a second
ROOM = BOXES * WORKERS / BASE
CALM, AFTER = 0.4, 0.85  # parts of the room that are asked for before and after
BEFORE_S, FAULT_S, AFTER_S = 5.0, 5.0, 15.0
TIMES = 3.0  # as much is asked during the fault
COLD_S, FALL_S, MULTIPLE, COLD_FROM = 4.0, 3.0, 2.5, 0.16
LISTENERS = 12
ON = "[overload]\nhorizon_ms = 2000\n"
SIDES = ("on", "off", "tenants", "tenants-off", "cpu-on", "cpu-off")


def hcl(rig: Rig) -> str:
    """The installation; both sides may tell clients to stay away for two seconds."""
    text = rig.make({str(n): True for n in range(BOXES)})
    return text.replace("client_kb_per_s = 4000", "client_kb_per_s = 4000\n  back_off_ms = 2000", 1) + "".join(
        f'tenant "{name}" {{\n  zones = ["{name}.example"]\n}}\n' for name in ("calm", "wild")
    )


async def start(folder: Path, host: str, overload: bool) -> Rig:
    operator = folder / "operator.toml"
    folder.mkdir(parents=True, exist_ok=True)
    operator.write_text(ON if overload else "")
    rig = Rig(folder / "rig", host, proxies=1, operator=str(operator), cold_s=COLD_S)
    await rig.__aenter__()
    await rig.apply(hcl(rig))
    await rig.live()
    for server in rig.installation.fleet.servers.values():
        if server.kind == "box":
            server.workers, server.answer_time, server.queue_limit = WORKERS, BASE, 12
    return rig


async def storm(folder: Path, host: str, overload: bool, seed: int) -> dict[str, Any]:
    """One side's run."""
    rig = await start(folder, host, overload)
    try:
        port = rig.listen[0]
        players = ClientGroup(host, port, CALM * ROOM, ("at once", "fixed", "told", "silent"), seed=seed)
        people = ClientGroup(host, port, 1, seed=seed + 1)
        box = rig.installation.fleet.servers["b-0"]
        warm = asyncio.ensure_future(players.run(2.0))  # copies are made, rates are learnt
        await warm
        players.outcomes.clear()
        whole = BEFORE_S + FAULT_S + AFTER_S
        began = time.time()
        playing = asyncio.gather(
            players.run(whole),
            *(people.play(n, whole) for n in range(LISTENERS)),
            faults.inject(box, faults.Fault("stop", BEFORE_S, FAULT_S, COLD_S)),
        )
        await asyncio.sleep(BEFORE_S)
        players.rate = TIMES * CALM * ROOM
        await asyncio.sleep(FAULT_S)
        players.rate = AFTER * ROOM
        await playing
        return account(players, people, box, began) | {"double": players.duplicate_answers + people.duplicate_answers}
    finally:
        for one in (players, people):
            one.close()
        await rig.__aexit__()


def account(players: ClientGroup, people: ClientGroup, box: Any, began: float) -> dict[str, Any]:
    """A side's figures."""
    seconds = int(BEFORE_S + FAULT_S + AFTER_S)
    offered, good, tries = ([0] * seconds for _ in range(3))
    for one in players.outcomes:
        second = int(one.began - began)
        if 0 <= second < seconds:
            offered[second] += 1
            good[second] += one.served
            tries[second] += one.attempts
    share = [g / max(1, o) for g, o in zip(good, offered, strict=True)]
    first, back = int(BEFORE_S), int(BEFORE_S + FAULT_S)
    usual = sum(good[1:first]) / max(1, sum(offered[1:first]))
    well = [s for s in range(back, seconds - 1) if min(share[s], share[s + 1]) >= usual - 0.05]
    missed = [o for o in people.outcomes if o.next_part and o.began - began >= BEFORE_S]
    lost = [o for o in players.outcomes if o.began - began >= BEFORE_S]
    gaps = sum(not o.served for o in missed) / max(1, len(missed))
    newcomers = sum(not o.served for o in lost) / max(1, len(lost))
    returned = sum(players.statuses_after_backoff.values())
    two = (BOXES - 1) / BOXES * ROOM
    goodput = sum(good[first + 1 : back]) / (back - first - 1) / two
    return {
        "recover_s": float(well[0] - back) if well else AFTER_S,
        "goodput": goodput,
        "gaps": gaps,
        "newcomers": newcomers,
        "pushed": pushed(box),
        "returned": returned,
        "told": dict(players.statuses_after_backoff),
        "comeback": 1 - players.statuses_after_backoff["200"] / returned if returned else 0.0,
        "served": sum(good[first:]) / max(1, sum(offered[first:])),
        "usual": usual,
        "share": [round(s, 3) for s in share],
        "tries": [round(t / max(1, o), 2) for t, o in zip(tries, offered, strict=True)],
    }


def pushed(box: Any) -> float:
    """The most that the box was sent in the window after it came back cold, over what the rule allows."""
    each = WORKERS / BASE  # requests a second at full capacity
    times = [a.at for a in box.arrivals if a.at >= box.started and not a.fill]
    worst = 0.0
    for step in range(int(10 * COLD_S)):
        begin = box.started + step / 10
        sent = sum(begin <= at < begin + FALL_S for at in times)
        middle = COLD_FROM + (1 - COLD_FROM) * min(1.0, (step / 10 + FALL_S / 2) / COLD_S)
        worst = max(worst, sent / (MULTIPLE * middle * each * FALL_S))
    return worst


async def tenants(folder: Path, host: str, overload: bool, seed: int) -> dict[str, Any]:
    """A calm tenant alone, then beside one that asks for twice the room and tries again at once."""
    rig = await start(folder, host, overload)
    try:
        calm = ClientGroup(host, rig.listen[0], 0.2 * ROOM, ("told",), tenant="calm", seed=seed)
        wild = ClientGroup(host, rig.listen[0], 2.0 * ROOM, ("at once", "silent"), tenant="wild", seed=seed + 1)
        await calm.run(7.0)
        alone = worst(calm)
        calm.outcomes.clear()
        await asyncio.gather(calm.run(10.0), wild.run(10.0))
        return {"alone": alone, "beside": worst(calm), "wild": worst(wild)}
    finally:
        await rig.__aexit__()


def worst(players: ClientGroup) -> float:
    """The worst share in two seconds, the first two left out."""
    by: dict[int, list[bool]] = {}
    first = min(o.began for o in players.outcomes)
    for one in players.outcomes:
        by.setdefault(int((one.began - first) / 2), []).append(one.served)
    return min(sum(served) / len(served) for place, served in by.items() if place and len(served) > 10)


async def calm_cpu(folder: Path, host: str, overload: bool, seed: int) -> dict[str, Any]:
    """Processor time of a request while nothing is wrong."""
    rig = await start(folder, host, overload)
    try:
        players = ClientGroup(host, rig.listen[0], CALM * ROOM, ("told",), seed=seed)
        pid = next(iter(rig.installation.proxies.values()))[0].pid
        await players.run(2.0)
        before, asked = cpu(pid), players.attempts_sent
        await players.run(14.0)
        return {"us": (cpu(pid) - before) / max(1, players.attempts_sent - asked) * 1e6}
    finally:
        await rig.__aexit__()


def cpu(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def side(name: str, seed: int) -> dict[str, Any]:
    host = f"127.0.{61 + SIDES.index(name)}.1"
    with tempfile.TemporaryDirectory() as folder:
        if name.startswith("tenants"):
            return await tenants(Path(folder), host, name == "tenants", seed)
        if name.startswith("cpu"):
            return await calm_cpu(Path(folder), host, name == "cpu-on", seed)
        return await storm(Path(folder), host, name == "on", seed)


async def main(seed: int) -> tuple[dict[str, Any], dict[str, Any]]:
    """All sides at once, each in a process of its own; the figures, and what is behind them."""

    async def run(name: str) -> dict[str, Any]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "--side", name, "--seed", str(seed), stdout=asyncio.subprocess.PIPE
        )
        out, _ = await process.communicate()
        if process.returncode:
            raise RuntimeError(f"the side {name} ended with {process.returncode}")
        return orjson.loads(out.splitlines()[-1])

    found = dict(zip(SIDES, await asyncio.gather(*(run(name) for name in SIDES)), strict=True))
    on, off = found["on"], found["off"]
    loss, loss_before = (
        100 * max(0.0, one["alone"] - one["beside"]) for one in (found["tenants"], found["tenants-off"])
    )
    ratio, ratio_before = (one["gaps"] / max(one["newcomers"], 1e-3) for one in (on, off))
    figures = {
        "recover_s": on["recover_s"],
        "recover_s_before": off["recover_s"],
        "goodput_storm": on["goodput"],
        "goodput_storm_before": off["goodput"],
        "gap_ratio": ratio,
        "gap_ratio_before": ratio_before,
        "gaps": on["gaps"],
        "gaps_before": off["gaps"],
        "pushed_over": int(on["pushed"] > 1),
        "cold_worst": on["pushed"],
        "double_answers": on["double"] + off["double"],
        "other_tenant_loss": loss,
        "other_tenant_loss_before": loss_before,
        "comeback_error": on["comeback"],
        "comeback_error_before": off["comeback"],
        "cpu_per_request_over_before": found["cpu-on"]["us"] / found["cpu-off"]["us"],
        "served": on["served"],
        "served_before": off["served"],
    }
    return {name: round(value, 3) for name, value in figures.items()}, found


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="one line of JSON (the default)")
    parser.add_argument("--html", type=Path, help="write a page that compares the runs")
    parser.add_argument("--side", choices=SIDES, help="one side alone, with all that is behind its figures")
    parser.add_argument("--seed", type=int, default=11)
    arguments = parser.parse_args()
    if arguments.side:
        print(orjson.dumps(asyncio.run(side(arguments.side, arguments.seed))).decode())
    else:
        figures, found = asyncio.run(main(arguments.seed))
        if arguments.html:
            from benchmarks.report import page

            arguments.html.write_text(page(figures, found))
        print(orjson.dumps(figures).decode())
