"""Drills: scenario files with faults in them, the verdict, and drills on real processes, also ended by SIGINT."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path

import pytest

from tests.harness import ROOT, until
from threadhill.drills.page import render_page
from threadhill.drills.scenario import InvalidScenario, Scenario, read
from threadhill.drills.verdict import evaluate, failures, recovery_time, served_by_second

FILES = sorted((ROOT / "deploy" / "drills").glob("*.toml"))
HEAD = 'name = "x"\n\n[fleet]\nproxies = 3\ncaches = 4\nseconds = 10.0\n'


def test_the_scenarios_of_the_repository_are_whole() -> None:
    assert len(FILES) >= 3
    for file in FILES:
        scenario = read(file.read_text(), file.name)
        assert scenario.faults and scenario.last_fault < scenario.fleet.seconds


@pytest.mark.parametrize(
    ("text", "line", "said"),
    [
        ('name = "x"\nspeed = 3\n', 2, "speed"),
        ('name = ""\n', 1, "name"),
        (HEAD + '[[faults]]\nat = 1.0\ndo = "melt"\nto = ["p0"]\n', 9, "faults.0.do"),
        (
            HEAD + '[[faults]]\nat = 1.0\ndo = "kill"\nto = ["p0"]\n[[faults]]\nat = 2.0\ndo = "slow"\nto = 0.5\n',
            11,
            "takes an amount",
        ),
        (HEAD + '[[faults]]\nat = 1.0\ndo = "kill"\nto = ["p7"]\n', 7, "names 'p7'"),
        (HEAD + '[[faults]]\nat = 12.0\ndo = "kill"\nto = ["p0"]\n', 7, "ends after 10"),
        (HEAD + '[[faults]]\nat = 1.0\ndo = "reset"\nto = 0.5\nevery = 0.5\n', 7, "go together"),
        (HEAD + '[[faults]]\nat = 1.0\ndo = "kill"\nto = 1.5\n', 10, "less than or equal to 1"),
        (HEAD + '[expect]\nback_s = "soon"\n', 8, "back_s"),
        ('name = "x"\n[fleet]\nproxies = 0\n', 3, "fleet.proxies"),
        ('name = "x\n', 1, "line 1"),
    ],
)
def test_a_fault_in_a_scenario_is_told_with_its_line(text: str, line: int, said: str) -> None:
    with pytest.raises(InvalidScenario) as told:
        read(text, "drill.toml")
    assert said in str(told.value), told.value
    assert f"drill.toml:{line}:" in str(told.value) or "line 1" in said, told.value


def scenario(**more: object) -> Scenario:
    raw = {
        "name": "x",
        "fleet": {"seconds": 8.0, "proxies": 4},
        "faults": [{"at": 2.0, "do": "kill", "to": ["p0"]}],
        **more,
    }
    return Scenario.model_validate(raw)


def test_a_part_chooses_the_first_of_their_kind_and_repeats_have_their_times() -> None:
    one = scenario(
        faults=[
            {"at": 1.0, "do": "reset", "to": 0.25, "every": 0.5, "until": 2.0},
            {"at": 1.0, "do": "stop", "to": 0.5},
        ]
    )
    assert one.targets(one.faults[0]) == ["s-00000001", "s-00000002"] and one.targets(one.faults[1]) == ["p0", "p1"]
    assert one.faults[0].times == [1.0, 1.5, 2.0] and one.last_fault == 2.0


@pytest.mark.parametrize(
    ("by_second", "last", "expected"),
    [
        ([1.0, 1.0, 0.2, 0.5, 0.96, 1.0], 2.0, 2.0),
        ([1.0, 1.0, 1.0, 1.0], 2.0, 0.0),
        ([1.0, 1.0, 0.2, 1.0, 0.5, 1.0, 1.0], 2.5, 2.5),  # back is for good
        ([1.0, 1.0, 0.2, 0.2], 2.0, None),
        ([1.0, 1.0, 0.2, 1.0], 2.0, None),  # one second is not steady
        ([0.5, 0.5, 0.1, 0.48, 0.5], 2.0, 1.0),
    ],
)  # by what was served before
def test_full_service_is_back_when_it_stays(by_second: list[float], last: float, expected: float | None) -> None:
    assert recovery_time(by_second, 2.0, last) == expected


def test_the_verdict_names_what_was_expected_and_is_not_so() -> None:
    answers = [(n / 10, "200" if n < 20 or n >= 40 else "lost") for n in range(80)]
    assert served_by_second(answers, 8) == (1.0, 1.0, 0.0, 0.0, 1.0, 1.0, 1.0, 1.0)
    one = scenario(expect={"served": 0.9, "worst_second": 0.5, "back_s": 1.0, "lost": 5})
    result = evaluate(answers, one, double=1, drained_sends=2)
    assert result.back_s == 2.0 and result.lost == 20
    assert [line.split()[0] for line in failures(result, one)] == [
        "served",
        "worst_second",
        "lost",
        "double",
        "drained_sends",
        "full",
    ]
    assert not failures(evaluate([(n / 10, "200") for n in range(80)], one, 0, 0), one)
    assert "failed" in render_page(result, one) and "served is 0.750" in render_page(result, one)


async def command(*words: str) -> asyncio.subprocess.Process:
    """Start a drill in a session of its own. A shell that runs the tests in the background has them ignore SIGINT,
    which the drill would inherit."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "threadhill",
        "drill",
        *words,
        cwd=ROOT,
        start_new_session=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.default_int_handler),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env=dict(os.environ),
    )


def test_a_drill_plays_on_real_processes_and_tells_one_line_and_a_page(tmp_path: Path) -> None:
    file = tmp_path / "short.toml"
    file.write_text(
        'name = "short"\n[fleet]\nproxies = 6\ncaches = 4\nrate = 60.0\nseconds = 7.0\n'
        '[[faults]]\nat = 2.0\ndo = "stall"\nto = ["s-00000001"]\n'
        '[[faults]]\nat = 2.5\ndo = "drain"\nto = ["s-00000002"]\n'
        '[[faults]]\nat = 3.0\ndo = "pass"\nto = ["s-00000001"]\n[expect]\nserved = 0.8\nback_s = 4.0\n'
    )

    async def scene() -> None:
        process = await command(str(file), "--html", str(tmp_path / "page.html"), "--quiet")
        out, err = await asyncio.wait_for(process.communicate(), 90)
        told = json.loads(out)
        assert process.returncode == 0 and told["passed"] and told["drained_sends"] == 0, (out, err)
        assert told["lost"] == 0 and told["double"] == 0
        assert "<polyline" in (tmp_path / "page.html").read_text()

    asyncio.run(scene())


def test_sigint_ends_a_drill_and_all_that_it_started() -> None:
    """Guards against proxies that are left behind, stopped ones too."""

    def children(pid: int) -> set[int]:
        found = set()
        for stat in Path("/proc").glob("[0-9]*/stat"):
            try:
                fields = stat.read_text().rpartition(")")[2].split()
            except OSError:
                continue
            if int(fields[1]) == pid:
                found.add(int(stat.parent.name))
        return found

    def programs(pid: int) -> set[int]:
        """Its children that run a proxy."""
        found = set()
        for child in children(pid):
            with suppress(OSError):
                if b"\0serve\0" in Path(f"/proc/{child}/cmdline").read_bytes():
                    found.add(child)
        return found

    async def scene() -> None:
        process = await command(str(FILES[-1]), "--quiet")
        # Each of them has become the program: to stop a child between vfork and exec would stop its parent with it,
        # which then can take no signal (it is in state D until the child goes on).
        await until(lambda: len(programs(process.pid)) >= 12, "its proxies")
        started = programs(process.pid)
        os.kill(next(iter(started)), signal.SIGSTOP)
        process.send_signal(signal.SIGINT)
        await asyncio.wait_for(process.communicate(), 60)
        assert process.returncode == 130
        left = [
            pid
            for pid in started
            if Path(f"/proc/{pid}/cmdline").exists() and b"threadhill" in Path(f"/proc/{pid}/cmdline").read_bytes()
        ]
        assert not left

    asyncio.run(scene())


def test_a_file_that_cannot_be_used_starts_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        (tmp_path / "bad.toml").write_text('name = "x"\n[fleet]\nproxies = 1000\n')
        process = await command(str(tmp_path / "bad.toml"))
        out, err = await asyncio.wait_for(process.communicate(), 60)
        assert (process.returncode, out) == (2, b"") and b"bad.toml:3: fleet.proxies" in err

    asyncio.run(scene())
