"""Even spread: 200 proxies that each see little, this version and the one before in one run; one line of JSON. Under 90 s.

    python benchmarks/spread.py --json [--before REVISION] [--html FILE] [--seed N]

24 stand-in caches at 20 to 30 ms an answer, 400 requests a second in all, so that each has under one attempt in hand.

| figure | what it is |
| --- | --- |
| refused_calm, refused_calm_before | part of the requests refused in ten calm seconds, 200 proxies |
| refused_by_crew | the same with 3, 40 and 200 proxies, this version |
| busiest_over_mean, busiest_over_mean_before | requests at the busiest cache over the mean, in these seconds |
| worst_second_over_chance, ..._before | most requests of one cache in a second, over what random arrivals at equal caches give |
| idle_over_2s, idle_over_2s_before | caches without a request for over 2 s |
| release_peak_over_mean, ..._before | the same as busiest, from the third second on of one object that is 30% of all traffic |
| pushed_over | seconds in which a cache was asked for more than the rooms of all proxies allow |
| dials_per_request, ..._before | connections opened to caches, parents and origin a request, after the calm seconds' start |
| cpu_per_request_over_before | processor time of a request over the version before, 3 proxies: both serve all there |
| evenness_with_hints, release_with_hints | busiest and release over mean where the proxies tell what they know |
| hint_bytes_per_s | bytes of hints a second that each proxy gets |
| start_s, start_s_before | seconds until the last of 200 processes listens |
"""  # noqa: E501

from __future__ import annotations

import argparse
import asyncio
import io
import math
import random
import subprocess
import sys
import tarfile
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
if not __package__:  # started by its file's name: the packages stand beside its folder
    sys.path[0] = str(ROOT)

from threadhill.decision.choice import INITIAL_INFLIGHT_LIMIT  # noqa: E402
from threadhill.standin.swarm import LoadGenerator, Swarm, location_settings  # noqa: E402

BEFORE = "0480b4e"  # the last version whose bounds were by chance under one
CACHES, RATE, CALM_S, RELEASE_S, SETTLE_S = 24, 400.0, 10.0, 6.0, 2.0
PROXIES = 200


def unpack(revision: str, folder: Path) -> Path:
    """The program as it was then."""
    raw = subprocess.run(["git", "archive", revision, "threadhill"], cwd=ROOT, check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(raw)) as archive:
        archive.extractall(folder, filter="data")
    return folder


def chance(rate: float, seconds: int, seed: int) -> float:
    """The most of one cache in one second where arrivals choose among equal caches at random."""
    draw, tops = random.Random(seed), []
    for _ in range(5):
        seen = Counter((draw.randrange(CACHES), int(draw.random() * seconds)) for _ in range(int(rate * seconds)))
        tops.append(max(seen.values()))
    return sum(tops) / len(tops)


def arrivals(swarm: Swarm, since: float, until: float) -> dict[str, list[float]]:
    """When clients' requests came at each cache."""
    return {
        box.name: [a.at - since for a in box.arrivals if since <= a.at < until and not a.fill] for box in swarm.boxes
    }


def spread(times: dict[str, list[float]], seconds: float) -> dict[str, float]:
    counts = {name: len(at) for name, at in times.items()}
    mean = sum(counts.values()) / len(counts)
    by_second = Counter((name, int(t)) for name, at in times.items() for t in at)
    idle = 0
    for at in times.values():
        edges = [0.0, *sorted(at), seconds]
        idle += max(b - a for a, b in zip(edges, edges[1:], strict=False)) > 2
    return {
        "busiest": max(counts.values()) / mean,
        "worst_second": max(by_second.values()),
        "idle": idle,
        "mean": mean / seconds,
    }


async def side(
    root: Path, folder: Path, host: str, crew: int, release: bool, seed: int, calm: float = CALM_S, hints: bool = False
) -> dict[str, Any]:
    """One version with so many proxies."""
    folder.mkdir(parents=True)
    swarm = Swarm(folder, host, location_settings(crew), root, hints)
    try:
        await swarm.start_servers(CACHES)
        names = [swarm.configure(f"p{n}").name for n in range(crew)]
        began = time.monotonic()
        await swarm.launch(names)
        start = time.monotonic() - began
        crowd = LoadGenerator(swarm, RATE, seed=seed)
        await crowd.run(SETTLE_S)
        crowd.answers.clear()
        cpu = sum(p.resources()[0] for p in swarm.proxies.values())
        dials = sum(box.accepted_connections for box in swarm.fleet.servers.values())
        since = time.time()
        crowd.seed += 1
        await crowd.run(calm)
        told = {
            "start_s": start,
            "refused": 1 - crowd.answers["200"] / crowd.answers.total(),
            "cpu": (sum(p.resources()[0] for p in swarm.proxies.values()) - cpu) / crowd.answers.total(),
            "dials": (sum(b.accepted_connections for b in swarm.fleet.servers.values()) - dials)
            / crowd.answers.total(),
            "memory_mb": max(p.resources()[1] for p in swarm.proxies.values()),
            "wrong": crowd.wrong_answers,
            "times": arrivals(swarm, since, since + calm),
        }
        told |= spread(told["times"], calm)
        if release:
            crowd.hot_share, since = 0.3, time.time()
            crowd.seed += 1
            await crowd.run(RELEASE_S)
            told["release"] = spread(arrivals(swarm, since + 2, since + RELEASE_S), RELEASE_S - 2)["busiest"]
            told["release_times"] = arrivals(swarm, since, since + RELEASE_S)
        told["hint_bytes"] = swarm.journal.hint_bytes / crew / (time.monotonic() - began - start)
        told["pushed_over"] = sum(
            most > 2 * INITIAL_INFLIGHT_LIMIT for box in swarm.boxes for most in box.peak_open.values()
        )
        crowd.close()
        told["twice"] = crowd.duplicate_answers
        return told
    finally:
        await swarm.close()


async def run(before: str, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="threadhill-spread-") as temporary:
        folder = Path(temporary)
        old = unpack(before, folder / "before")
        by_crew = {
            crew: await side(ROOT, folder / f"now-{n}", f"127.0.{40 + n}.1", crew, crew == PROXIES, seed, long)
            for n, (crew, long) in enumerate(((3, 3.0), (40, 3.0), (PROXIES, CALM_S)))
        }
        few = await side(old, folder / "few", "127.0.44.1", 3, False, seed, 3.0)
        then = await side(old, folder / "then", "127.0.45.1", PROXIES, True, seed, 4.0)
        hinted = await side(ROOT, folder / "hinted", "127.0.46.1", PROXIES, True, seed, 6.0, True)
        now = by_crew[PROXIES]
        usual = chance(RATE, math.ceil(CALM_S), seed)
        return {
            "refused_calm": now["refused"],
            "refused_calm_before": then["refused"],
            "refused_by_crew": {str(crew): told["refused"] for crew, told in by_crew.items()},
            "busiest_over_mean": now["busiest"],
            "busiest_over_mean_before": then["busiest"],
            "worst_second_over_chance": now["worst_second"] / usual,
            "worst_second_over_chance_before": then["worst_second"] / usual,
            "idle_over_2s": now["idle"],
            "idle_over_2s_before": then["idle"],
            "release_peak_over_mean": now["release"],
            "release_peak_over_mean_before": then["release"],
            "pushed_over": now["pushed_over"],
            "dials_per_request": now["dials"],
            "dials_per_request_before": then["dials"],
            "cpu_per_request_over_before": by_crew[3]["cpu"] / few["cpu"],
            "evenness_with_hints": hinted["busiest"],
            "release_with_hints": hinted["release"],
            "hint_bytes_per_s": hinted["hint_bytes"],
            "refused_with_hints": hinted["refused"],
            "start_s": now["start_s"],
            "start_s_before": then["start_s"],
            "memory_mb": now["memory_mb"],
            "double_answers": now["twice"] + then["twice"],
            "_times": {"before": then["release_times"], "now": now["release_times"]},
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="one line of JSON; the only form there is")
    parser.add_argument("--before", default=BEFORE, help="the revision to compare with")
    parser.add_argument("--html", type=Path, help="write a page with the load by server over time")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    told = asyncio.run(run(options.before, options.seed))
    times = told.pop("_times")
    if options.html:
        from benchmarks.report import load_page

        load_page(options.html, {k: v for k, v in told.items() if not isinstance(v, dict)}, times, RELEASE_S)
    print(orjson.dumps({k: round(v, 4) if isinstance(v, float) else v for k, v in told.items()}).decode())


if __name__ == "__main__":
    main()
