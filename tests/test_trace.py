"""The trace of a proxy: it shows the purge, the attempt and the copy behind an answer."""

from __future__ import annotations

import json
import signal
from pathlib import Path

from tests.faults.test_purges import purge
from tests.faults.world import PURGE_SLACK_MS, FaultWorld, hold, run_scenario, unix_ms
from tests.harness import OBJECT, until
from threadhill.core.trace import MAX_ENTRIES, MAX_REPORTED, Step, Trace


def entries(log: str) -> list[dict[str, object]]:
    lines = [line.partition("trace: ")[2] for line in log.splitlines() if "trace: " in line]
    return [entry for line in lines for entry in json.loads(line)]


def test_a_rejected_answer_is_logged_with_its_purge_attempt_and_copy(tmp_path: Path) -> None:
    async def scenario(w: FaultWorld) -> None:
        born = unix_ms() - 400
        hold(w.caches, born, obeys=False)
        stamp = await purge(w)
        await until(lambda: unix_ms() > stamp + PURGE_SLACK_MS, "the purge to take effect")
        client = await w.client()
        await client.get(rid="9b1f03aa5c7e2d41")
        await w.logged("it is not passed on")
        await w.logged("trace: [")
        steps = {entry["step"]: entry for entry in entries(w.log)}
        assert (steps["purge"]["key"], steps["purge"]["stamp_ms"], steps["purge"]["event"]) == (OBJECT, stamp, 2)
        assert steps["purge"]["from"] == "discovery" and steps["attempt"]["oldest_us"] > 0
        assert steps["ended"]["born_ms"] == born and steps["ended"]["request"] == "9b1f03aa5c7e2d41"

    run_scenario(tmp_path, scenario)


def test_sigusr1_logs_the_recent_entries(tmp_path: Path) -> None:
    async def scenario(w: FaultWorld) -> None:
        client = await w.client()
        await client.get(rid="9b1f03aa5c7e2d41")
        w.process.send_signal(signal.SIGUSR1)
        await w.logged('"answer":"served"')
        assert [entry["step"] for entry in entries(w.log)] == ["attempt", "ended", "answer"]

    run_scenario(tmp_path, scenario)


def test_the_trace_is_bounded() -> None:
    trace = Trace()
    for n in range(3 * MAX_ENTRIES):
        trace.add(n, Step.ANSWER, f"r{n}", "served")
    assert len(json.loads(trace.recent(3 * MAX_ENTRIES))) == MAX_REPORTED
    assert json.loads(trace.matching("r1")) == [] and len(json.loads(trace.matching(f"r{3 * MAX_ENTRIES - 1}"))) == 1
