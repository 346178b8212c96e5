"""The soak's judge on records made by hand, one for each rule, and what its command says of bad input."""

from __future__ import annotations

import dataclasses
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from benchmarks.mutants import MUTANTS, plant
from threadhill.standin.soak.deployment import Act, Deployment, Effect, RequestClass, draw
from threadhill.standin.soak.judge import Rule, body_of, judge
from threadhill.standin.soak.record import (
    ClientAnswer,
    ClientRequest,
    ColdStart,
    ProcessLife,
    Purge,
    Record,
    Removal,
    ServerAttempt,
)
from threadhill.standin.soak.report import timeline

ROOT = Path(__file__).resolve().parent.parent
THING, SERVER, PARENT, PROCESS = "7f3a9c21e0b4d655", "s-00000001", "s-00000002", "n0#1"
BORN = 1_700_000_000_000


def deployment() -> Deployment:
    classes = (
        RequestClass("pages", Effect.SAFE, 3.0, 2.0, False, 0.9),
        RequestClass("orders", Effect.ONCE, 3.0, 2.0, True, 0.1),
    )
    return dataclasses.replace(
        draw(1),
        classes=classes,
        purge_slack=0.5,
        purge_takes=6.0,
        drain_grace=0.25,
        start_share=0.2,
        ramp=10.0,
        fall_multiple=2.0,
        fall_window=3.0,
        descriptors=256,
    )


class Run:
    """A record with one request that was asked at 10 s, sent on at once and served."""

    def __init__(self) -> None:
        self.record = Record(1, began=0.0, ended=60.0, unix_at_zero=BORN / 1e3)
        self.life = ProcessLife(PROCESS, 0.0, serving_at=0.5, ended_at=60.0)
        self.record.processes[PROCESS] = self.life
        self.request = ClientRequest("9b1f03aa5c7e2d41", PROCESS, "pages", THING, 0, 17, 3.0, 10.0)
        self.record.requests[self.request.rid] = self.request
        self.attempt = ServerAttempt(
            self.request.rid, SERVER, 1, "pages", 10.0, THING, 0, PARENT, 2.9, 0, "", True, "ok", BORN
        )
        self.record.attempts.append(self.attempt)
        self.request.answers.append(ClientAnswer(10.1, "200", False, body_of(THING, 0, BORN)))

    def rules(self) -> set[Rule]:
        return {breach.rule for breach in judge(deployment(), self.record)}

    def again(self, at: float, **more: object) -> ServerAttempt:
        self.record.attempts.append(dataclasses.replace(self.attempt, at=at, allowed=0.0, **more))
        return self.record.attempts[-1]

    def purged(self, told: float) -> None:
        """Purged so long ago that all servers must have dropped their copies."""
        self.record.purges.append(Purge(THING, None, BORN + 1, {PROCESS: told}))


def lost(run: Run) -> None:
    run.request.answers.clear()


def late(run: Run) -> None:
    run.request.answers[0].at = 13.8


def closed(run: Run) -> None:
    run.request.answers.clear()
    run.request.closed_at = 10.1


def twice(run: Run) -> None:
    run.request.answers.append(run.request.answers[0])


def spoilt(run: Run) -> None:
    run.request.answers[0].body = body_of(THING, 1, BORN)


def unsafe(run: Run) -> None:
    run.request.cls = "orders"
    run.again(11.0)


def refused(run: Run) -> None:
    run.request.cls = "orders"
    run.request.answers[0].word = "503"


def purged(run: Run) -> None:
    run.purged(told=9.0)


def admits(run: Run) -> None:
    run.record.purges.append(Purge(THING, None, BORN + 8_000, {PROCESS: 9.0}))
    run.attempt.born, run.attempt.oldest = BORN + 9_000, 2_100
    run.request.answers[0].body = body_of(THING, 0, BORN + 9_000)


def drained(run: Run) -> None:
    run.record.removals.append(Removal(SERVER, 9.0, told={PROCESS: 9.0}))


def source_drained(run: Run) -> None:
    run.record.removals.append(Removal(PARENT, 9.0, told={PROCESS: 9.0}))


def left(run: Run) -> None:
    run.request.left_at = 9.7


def too_long(run: Run) -> None:
    run.attempt.allowed = 3.3


def false_current(run: Run) -> None:
    run.request.seen = "beef"
    run.request.answers[0].same, run.request.answers[0].body = True, b""


def cold(run: Run) -> None:
    run.record.attempts += [dataclasses.replace(run.attempt, rid="", server=PARENT, at=i / 50) for i in range(500)]
    run.record.attempts += [
        dataclasses.replace(run.attempt, rid="", server="s-000000aa", at=20 + i / 100) for i in range(500)
    ]
    run.record.cold_starts.append(ColdStart("s-000000aa", 19.0, {PROCESS: 19.2}))


def never_ready(run: Run) -> None:
    run.life.serving_at = 0.0


def died(run: Run) -> None:
    run.life.ended_at = 30.0


def not_ended(run: Run) -> None:
    run.life.asked_to_end_at, run.life.killed_at = 20.0, 23.7


def over_limit(run: Run) -> None:
    run.life.most_descriptors = 257


CASES = [
    (lost, Rule.LOST),
    (late, Rule.LOST),
    (closed, Rule.LOST),
    (twice, Rule.SECOND_ANSWER),
    (spoilt, Rule.SPOILT),
    (unsafe, Rule.TWICE),
    (refused, Rule.FALSE_REFUSAL),
    (purged, Rule.PURGED),
    (admits, Rule.ADMITS_PURGED),
    (drained, Rule.DRAINED),
    (source_drained, Rule.DRAINED),
    (left, Rule.LEFT),
    (too_long, Rule.MAX),
    (false_current, Rule.FALSE_CURRENT),
    (cold, Rule.COLD),
    (never_ready, Rule.NOT_READY),
    (died, Rule.DIED),
    (not_ended, Rule.NOT_ENDED),
    (over_limit, Rule.LIMIT),
]


@pytest.mark.parametrize("spoil, rule", CASES, ids=lambda case: getattr(case, "__name__", ""))
def test_each_rule_is_broken_by_what_breaks_it_alone(spoil: Callable[[Run], None], rule: Rule) -> None:
    run = Run()
    assert run.rules() == set()
    spoil(run)
    assert run.rules() == {rule}


def test_the_slack_of_the_page_is_granted_and_no_more() -> None:
    run = Run()
    run.purged(told=9.45)  # it binds at 9.95 and what sockets add
    assert run.rules() == set()
    run.attempt.at = 10.05
    assert run.rules() == {Rule.PURGED}
    run.record.hold_ups.append((9.9, 10.0))  # the stand-ins stood still: what they read then had come before
    assert run.rules() == set()


def test_a_copy_that_another_attempt_within_the_rule_brought_is_no_breach() -> None:
    run = Run()
    run.purged(told=9.0)
    run.again(9.2)
    assert run.rules() == set()


def test_a_seed_draws_the_same_twice_and_all_kinds_of_faults_are_drawn() -> None:
    assert draw(7) == draw(7) != draw(8)
    assert {act for seed in range(60) for _, act in draw(seed).acts} == set(Act)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_each_defect_can_be_put_into_the_program(tmp_path: Path, mutant: object) -> None:
    plant(mutant, tmp_path)


@pytest.mark.parametrize("words", [["--seeds", "0"], ["--seeds", "many"], ["--first", "-1"], ["--jobs", "99"]])
def test_a_number_that_cannot_be_played_is_refused_in_a_line(words: list[str]) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.soak", *words],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and "takes a whole number from" in done.stderr and not done.stdout


def test_a_program_that_does_not_start_is_not_judged_and_not_held(tmp_path: Path) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.soak", "--seeds", "1", "--root", str(tmp_path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == 1 and '"held' not in done.stdout


def test_a_breach_is_told_with_the_whole_trace_of_its_request() -> None:
    """Guards against a report that cannot tell a request that was read and dropped from one that was never read."""
    run = Run()
    closed(run)
    (breach,) = judge(deployment(), run.record)
    long_before = '{"at_us":1,"step":"attempt","request":"00fa1b548057ea7c"},' * 20
    log = (
        f'trace: [{long_before}{{"at_us":2,"step":"answer","request":"{run.request.rid}","answer":"failed"}}]\n'
        f'trace: [{{"at_us":3,"step":"attempt","request":"{run.request.rid}"\n'  # cut short
        "trace: [1]\n"
    )
    told = timeline(run.record, breach, {"n0": log})
    assert f'{{"at_us":2,"step":"answer","request":"{run.request.rid}","answer":"failed"}}' in told
    assert "none: it was not read" in timeline(run.record, breach, {"n0": "trace: []\n"})
