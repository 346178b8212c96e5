"""Plays seeds of a soak on real processes and judges each: `python -m benchmarks.soak --seeds 10 --first 1 --jobs 3`.

Exit code 0: no rule was broken; 1: one was, or a seed could not be judged; 2: the call cannot be played.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import tempfile
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

from tests.faults.switches import Switches
from threadhill.standin.soak import report
from threadhill.standin.soak.deployment import SEED_MOST, draw
from threadhill.standin.soak.judge import judge
from threadhill.standin.soak.proxy import Program
from threadhill.standin.soak.world import SoakWorld

ROOT = Path(__file__).resolve().parent.parent
SEEDS_MOST, JOBS_MOST = 10_000, 8
SEED_TIMEOUT = 150  # seconds after which a seed is not judged


@dataclass
class SeedResult:
    """What one seed gave."""

    seed: int
    requests: int = 0
    served: int = 0
    breaches: list[dict[str, str]] = field(default_factory=list)
    timelines: list[str] = field(default_factory=list)
    problem: str = ""  # why it was not judged


def play(seed: int, root: Path) -> SeedResult:
    """Play one seed in this process."""
    deployment = draw(seed)
    program = Program((sys.executable, "-m", "tests.faults.program"), root)
    with tempfile.TemporaryDirectory() as folder:
        world = SoakWorld(deployment, Path(folder), program, lambda table: Switches(table, create=True))
        record = asyncio.run(world.play())
        logs = {path.stem: path.read_text(errors="replace") for path in Path(folder).glob("*.log")}
    breaches = judge(deployment, record)
    served = sum(any(answer.word == "200" for answer in one.answers) for one in record.requests.values())
    return SeedResult(
        seed,
        len(record.requests),
        served,
        [{"rule": b.rule.value, "process": b.process, "why": b.why} for b in breaches],
        [report.timeline(record, breach, logs) for breach in breaches[:5]],
    )


def play_apart(seed: int, root: Path) -> SeedResult:
    """Play one seed in a process of its own."""
    command = [sys.executable, "-m", "benchmarks.soak", "--play", str(seed), "--root", str(root)]
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=SEED_TIMEOUT, check=False)
        return SeedResult(**json.loads(done.stdout.splitlines()[-1]))
    except subprocess.TimeoutExpired:
        return SeedResult(seed, problem=f"it took over {SEED_TIMEOUT} s")
    except (IndexError, ValueError, TypeError):
        return SeedResult(seed, problem=done.stderr[-2_000:] or "it printed nothing")


def run(seeds: list[int], jobs: int, root: Path, quiet: bool) -> list[SeedResult]:
    """Play the seeds, some at once; a line for each as it is done."""
    lock = threading.Lock()

    def one(seed: int) -> SeedResult:
        result = play_apart(seed, root)
        with lock:
            if not quiet:
                print(report.line(asdict(result)), file=sys.stderr, flush=True)
        return result

    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(one, seeds))


def summary(results: list[SeedResult]) -> dict[str, object]:
    """The figures of a run."""
    rules = Counter(breach["rule"] for result in results for breach in result.breaches)
    return {
        "seeds": len(results),
        "requests": sum(r.requests for r in results),
        "served": sum(r.served for r in results),
        "breaches": dict(rules),
        "seeds_with_breaches": [r.seed for r in results if r.breaches],
        "not_judged": [r.seed for r in results if r.problem],
    }


def bounded(name: str, least: int, most: int) -> object:
    """A reader of a whole number of an option."""

    def read(text: str) -> int:
        if not text.lstrip("-").isdigit() or not least <= int(text) <= most:
            raise argparse.ArgumentTypeError(f"{name} takes a whole number from {least} to {most}, not {text!r}")
        return int(text)

    return read


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=bounded("--seeds", 1, SEEDS_MOST), default=10, help="how many seeds")
    parser.add_argument("--first", type=bounded("--first", 0, SEED_MOST), default=1, help="the first seed")
    parser.add_argument("--jobs", type=bounded("--jobs", 1, JOBS_MOST), default=2, help="seeds at once")
    parser.add_argument("--json", action="store_true", help="print the figures as one line of JSON")
    parser.add_argument("--html", type=Path, help="a page of the breaches by rule and seed")
    parser.add_argument("--root", type=Path, default=ROOT, help="the program to play, as a tree of its sources")
    parser.add_argument("--play", type=bounded("--play", 0, SEED_MOST), help="play this seed here, print its result")
    options = parser.parse_args()
    if options.play is not None:
        print(json.dumps(asdict(play(options.play, options.root))))
        return 0
    results = run([options.first + i for i in range(options.seeds)], options.jobs, options.root, options.json)
    figures = summary(results)
    if options.html is not None:
        options.html.write_text(report.page([asdict(result) for result in results]))
    if options.json:
        print(json.dumps(figures))
    else:
        for result in results:
            print("\n\n".join(result.timelines), end="\n" if result.timelines else "")
        print(json.dumps(figures, indent=1))
    return 1 if figures["breaches"] or figures["not_judged"] else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
