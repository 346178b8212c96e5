"""Defects that are put into a copy of the program, to see whether the soak's judge finds each of them.

`python -m benchmarks.mutants`: for each defect, the seeds that it took until a seed broke the rule that it breaks.
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.soak import ROOT, SeedResult, play_apart
from threadhill.standin.soak.judge import Rule

SEEDS_MOST = 10
PURGES = (Rule.PURGED, Rule.ADMITS_PURGED)
COPIED = ("threadhill", "tests/faults", "tests/__init__.py")


@dataclass(frozen=True)
class Mutant:
    """One defect: in which file, which text is put in the place of which, and the rules of which one must be broken.
    Where a second guard would hide it, `also` takes that out."""

    name: str
    file: str
    old: str
    new: str
    rules: tuple[Rule, ...]
    also: tuple[tuple[str, str, str], ...] = ()

    @property
    def edits(self) -> tuple[tuple[str, str, str], ...]:
        """File, old text and new text of each edit."""
        return (self.file, self.old, self.new), *self.also


# A purge that comes under a number that was applied binds all the same: this takes that guard out.
TOLD_AGAIN = ("net/event_applier.py", "            self._apply_repeated(event)\n", "")

MUTANTS = (
    Mutant("no oldest is sent", "net/upstream_codec.py", "    if spec.max_age:\n", "    if False:\n", PURGES),
    Mutant(
        "purges of a start are forgotten",
        "net/event_applier.py",
        "        for event in in_order:\n            self.apply(event)\n",
        "        for event in in_order:\n            if event.stamp is None:\n                self.apply(event)\n            self.pos = event.pos\n",
        PURGES,
    ),
    Mutant(
        "the check at the answer is left out",
        "core/engine.py",
        "if result.outcome is api.Outcome.SERVED and self.router.rejects_answer(",
        "if False and self.router.rejects_answer(",
        PURGES,
    ),
    Mutant(
        "purges of one key are merged",
        "decision/freshness.py",
        "        return max((timestamp for since, timestamp in self.known if since <= sent_at), default=0)",
        "        return self.known[-1][1] if self.known and self.known[-1][0] <= sent_at else 0",
        PURGES,
    ),
    Mutant(
        "a heartbeat counts as its event",
        "net/journal.py",
        "        heartbeat = read_heartbeat(value)\n",
        "        heartbeat = value if isinstance(value, int) else None\n",
        (*PURGES, Rule.DRAINED),
        (TOLD_AGAIN,),
    ),
    Mutant(
        "a reload's numbers are believed",
        "net/event_applier.py",
        "            self._reload_configuration(in_order)\n            return\n",
        "            for event in in_order:\n                if event.pos == self.pos + 1:\n                    self.apply(event)\n            return\n",
        (*PURGES, Rule.DRAINED),
        (TOLD_AGAIN,),
    ),
    Mutant(
        "a silent watch is not noticed",
        "net/journal_monitor.py",
        "now - received_at > self._wait(SILENCE_TIMEOUT, MAX_WAIT)",
        "now - received_at > 10**12",
        (*PURGES, Rule.DRAINED),
    ),
    Mutant(
        "a drained source is named",
        "decision/fleet.py",
        "        if server in self.parents:\n            self.parents.remove(number)\n",
        "",
        (Rule.DRAINED,),
    ),
    Mutant(
        "drains are not heard",
        "net/journal_events.py",
        '"DRAINING": api.State.DRAINING',
        '"DRAINING": api.State.READY',
        (Rule.DRAINED,),
    ),
    Mutant(
        "a cold start is forgotten",
        "decision/choice.py",
        "        if not server.entry.start_time or age >= warm_up_time:\n",
        "        if True:\n",
        (Rule.COLD,),
    ),
    Mutant(
        "what may have run once is asked again",
        "decision/choice.py",
        "        return (\n"
        "            min(latest, pending.may_have_run[0][1] + pending.cls.dedup_window - self.settings.tick)\n"
        "            if retry_safety is api.RetrySafety.KEYED\n"
        "            else 0\n"
        "        )",
        "        return latest",
        (Rule.TWICE,),
    ),
    Mutant(
        "what may have run is refused",
        "decision/choice.py",
        "or not (pending.may_have_run or pending.attempt_open)",
        "or True",
        (Rule.FALSE_REFUSAL,),
    ),
    Mutant(
        "an answer is given twice",
        "net/resp.py",
        "        self._send_answer(ref, answer)\n        self._throttle()\n        now",
        "        self._send_answer(ref, answer)\n        self._send_answer(ref, answer)\n        self._throttle()\n        now",
        (Rule.SECOND_ANSWER,),
    ),
    Mutant(
        "attempts go on for who has left",
        "core/engine.py",
        "        self._events.append(api.ClientGone(str(handle)))\n        self._abort_attempts(pending)\n        self._process_events()\n",
        "",
        (Rule.LEFT,),
        (
            (
                "core/engine.py",
                '        pending = self.requests.free(handle)\n        if pending is None:\n            return\n        self.deadlines.cancel(pending.timer)\n        self.stats.count("client_gone"',
                '        pending = self.requests.get(handle)\n        if pending is None:\n            return\n        self.stats.count("client_gone"',
            ),
        ),
    ),
    Mutant(
        "a wait is not taken off max",
        "net/upstream_codec.py",
        "left = min(spec.timeout, spec.deadline - now) if spec.deadline else spec.timeout",
        "left = spec.timeout + 400_000",
        (Rule.MAX,),
    ),
    Mutant(
        "SIGTERM closes over what was not read",
        "serve.py",
        "        elif elapsed >= grace:\n",
        "        elif elapsed >= 0:\n            for guest in list(listener.connections):\n                guest.abort()\n",
        (Rule.LOST,),
    ),
    Mutant(
        "the accept queue is dropped at the end",
        "net/listener.py",
        "        for _ in range(BACKLOG):\n            if not self._accept_one():\n                break\n",
        "        pass\n",
        (Rule.LOST,),
    ),
    Mutant(
        "a wrong part is asked for",
        "net/upstream_codec.py",
        'f"nth={request.part}"',
        'f"nth={request.part ^ 1}"',
        (Rule.SPOILT,),
    ),
    Mutant(
        "the client's copy is always called current",
        "net/upstream.py",
        '            word == "current",\n            read_report(',
        '            word == "current" or bool(self.pool.caches.attempts[attempt].spec.request.client_tag),\n            read_report(',
        (Rule.FALSE_CURRENT, Rule.SPOILT),
    ),
    Mutant(
        "timers of requests never fire",
        "decision/choice.py",
        "        if pending is not None and self.now >= pending.deadline - DEADLINE_MARGIN:\n",
        "        if False:\n",
        (Rule.LOST,),
        (
            (
                "decision/choice.py",
                "        pending.timeout = timeout\n",
                "        timeout = 0\n        pending.timeout = timeout\n",
            ),
        ),
    ),
)


def plant(mutant: Mutant, folder: Path) -> None:
    """A copy of the program with the defect; ValueError where its text is not there once."""
    for name in COPIED:
        source, target = ROOT / name, folder / name
        if source.is_dir():
            shutil.copytree(source, target, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(source, target)
    for name, old, new in mutant.edits:
        file = folder / "threadhill" / name
        text = file.read_text()
        if text.count(old) != 1:
            raise ValueError(f"{mutant.name}: its text stands {text.count(old)} times in {name}")
        file.write_text(text.replace(old, new))


def caught(mutant: Mutant, result: SeedResult) -> bool:
    """Whether a seed broke a rule that this defect breaks."""
    return any(breach["rule"] in mutant.rules for breach in result.breaches)


def hunt(mutant: Mutant, first: int) -> int:
    """How many seeds it took to catch it; 0: it was not caught."""
    with tempfile.TemporaryDirectory() as folder:
        plant(mutant, Path(folder))
        for count in range(1, SEEDS_MOST + 1):
            if caught(mutant, play_apart(first + count - 1, Path(folder))):
                return count
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.mutants", description=__doc__.splitlines()[0])
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--jobs", type=int, default=4, help="defects at once")
    parser.add_argument("--only", help="part of a mutant's name")
    options = parser.parse_args()
    chosen = [mutant for mutant in MUTANTS if not options.only or options.only in mutant.name]

    def one(mutant: Mutant) -> int:
        seeds = hunt(mutant, options.first)
        print(f"{mutant.name}: {seeds or 'not caught'}", file=sys.stderr, flush=True)
        return seeds

    with ThreadPoolExecutor(options.jobs) as pool:
        found = dict(zip([mutant.name for mutant in chosen], pool.map(one, chosen), strict=True))
    print(json.dumps({"mutants": len(chosen), "caught": sum(map(bool, found.values())), "seeds": found}))
    return 0 if all(found.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
