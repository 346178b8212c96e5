"""The simulator adapter, tested with recorded messages of this project and with malformed ones."""

from __future__ import annotations

import io
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from threadhill import simhost
from threadhill.decision import interface as api

ROOT = Path(__file__).resolve().parent.parent
LINES = (Path(__file__).parent / "recorded.jsonl").read_text(encoding="utf-8").splitlines()


def run(lines: list[str]) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "threadhill.simhost"],
        input="\n".join(lines) + "\n",
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )


def run_in_process(lines: list[str]) -> list[list[Any]]:
    out = io.StringIO()
    host = simhost.Host(out)
    for line in lines:
        host.read_line(line)
    return [json.loads(line) for line in out.getvalue().splitlines()]


def test_recorded_lines_are_answered_batch_by_batch() -> None:
    done = run(LINES)
    assert (done.returncode, done.stderr) == (0, "")
    replies = [json.loads(line) for line in done.stdout.splitlines()]
    assert [r[1] for r in replies if r[0] == "done"] == [1, 2, 3, 4, 5]
    by_name: dict[str, list[list[Any]]] = {}
    for reply in replies:
        by_name.setdefault(reply[0], []).append(reply)
    assert {r[2] for r in by_name["get"]} == {"t/a1", "t/a2", "t/b1"}
    assert [r[2] for r in by_name["give-up"]] == ["t/a2"]
    assert "crash" not in by_name


def test_a_get_message_has_its_values_in_protocol_order() -> None:
    get = next(r for r in run_in_process(LINES) if r[0] == "get" and r[2] == "t/a1")
    name, router, request, limit, age, source, opts, admit, server = get
    assert (name, router, request) == ("get", 3, "t/a1")
    assert 0 < limit <= 240000 and age == 0 and source in (200, 201)
    assert opts & 1 == 1 and admit in (1, 2, 3) and server in (100, 101)


def test_instances_do_not_affect_each_other() -> None:
    def only(router: int) -> list[str]:
        framing = ("begin-batch", "go")
        return [x for x in LINES if json.loads(x)[0] in framing or json.loads(x)[1] == router]

    together = run_in_process(LINES)
    for router in (3, 5):
        alone = [r for r in run_in_process(only(router)) if r[0] != "done"]
        assert alone == [r for r in together if r[0] != "done" and r[1] == router]
        assert alone


def test_equal_lines_give_equal_replies_under_any_hash_seed() -> None:
    assert run(LINES).stdout == run(LINES).stdout


def test_settings_are_read_and_unknown_keys_skipped() -> None:
    options = json.loads(LINES[1])[3]
    read = simhost.read_settings(options)
    assert read.parent_kind == "parent" and read.origin_kind == "origin"
    assert read.cache_status_detail is api.CacheStatusDetail.ALL and read.siblings is api.Siblings.LOCATION
    assert read.classes["orders"].retry_safety is api.RetrySafety.UNSAFE and read.classes["orders"].write
    assert read.classes["tiles"].latency_target_stretch == 2.0 and read.classes["tiles"].freshness_lifetime == 0
    assert simhost.read_settings({**options, "new-key": {"deep": 1}}) == read


def test_nearly_empty_settings_are_enough() -> None:
    read = simhost.read_settings({"profiles": [{"name": "x", "repeat": "read_like"}]})
    assert read.parent_kind is None and not read.direct_to_origin and read.max_attempts == 1


def test_unknown_report_fields_and_cache_statuses_are_skipped() -> None:
    load = simhost.read_load({"rif": 3, "x1": 0.5, "novel": 9, "busy": "?"})
    assert load == {"inflight": 3.0, "link": 0.5}
    end = simhost.read_ended(["t/1", 0, 7, "delivered", 10, True, 99, None, None])
    assert end.cache_status is api.CacheStatus.NONE


def test_an_exception_in_the_decision_code_is_reported_as_a_crash_message(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def broken(self: object, now: int, event: object) -> list[api.Action]:
        raise IndexError("out of range")

    monkeypatch.setattr(simhost.Router, "handle", broken)
    assert ["crash", 3, "IndexError: out of range"] in run_in_process(LINES)
    capsys.readouterr()


@pytest.mark.parametrize(
    ("line", "message_part"),
    [
        ("{", "not JSON"),
        ("{}", "not an array"),
        ("[]", "not an array"),
        ('["begin-batch",1,2]', "inside a batch"),
        ('["what-is-this",3]', "no such event"),
        ('["ask"]', "router is missing"),
        ('["ask",3,"t/z"]', "grade must be text"),
        ('["ask",9,"t/z","tiles",null,"aa",1,0,0,0,0]', "instance 9 is not open"),
        ('["ask",3,"t/z","tiles",null,"aa","soon",0,0,0,0]', "remaining must be a whole number"),
        ('["verdict",3,"t/a1",0,100,"exploded",1,true]', "status is unknown"),
        ('["verdict",3,"t/a1",0,null,"delivered",1,true]', "server is missing"),
        ('["sync",3,"Partial",2,[[null,1]]]', "2 values, not 7"),
        ('["sync",3,"Sometimes",2,[]]', "how is unknown"),
        ('["from-peer",3,1,"*"]', "not base64"),
        ('["open-instance",4,1,{"profiles":[{"name":"x","repeat":"maybe"}]}]', "repeat is unknown"),
    ],
)
def test_a_malformed_line_ends_the_process_with_one_error_that_names_it(line: str, message_part: str) -> None:
    done = run([*LINES[:4], line])
    assert done.returncode == 2
    (message,) = done.stderr.splitlines()
    assert "line 5" in message and message_part in message


def test_input_that_ends_inside_a_batch_is_an_error() -> None:
    done = run(LINES[:3])
    assert done.returncode == 2 and "inside a batch" in done.stderr


def test_a_killed_instance_is_removed_and_may_start_again() -> None:
    opened = LINES[1]
    ask = '["ask",3,"t/z","tiles",null,"aa",900000,0,0,0,0]'
    replies = run_in_process([*LINES[:7], '["killed",3]', opened, ask, '["go"]'])
    (refused,) = [reply for reply in replies if reply[:3] == ["push-back", 3, "t/z"]]
    assert 250_000 <= refused[3] <= 500_000


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"n-instances": -3}, "n-instances is -3"),
        ({"n-instances": 2, "zones": ["a", "b"], "extra": {"crew-by-zone": [1, 3]}}, "3 instances in b, more than"),
        ({"zones": ["a"], "extra": {"crew-by-zone": [1, 2]}}, "names 2 zones"),
        ({"zones": ["a"], "extra": {"crew-by-zone": ["x"]}}, "crew-by-zone of a must be a number"),
        ({"obligations": {"ramp-time": -1}}, "ramp-time is -1"),
        ({"limits": {"max-attempts": "3"}}, "max-attempts must be a whole number"),
        ({"profiles": [{"name": "x", "repeat": "read_like", "deadline": -5}]}, "deadline of class x is -5"),
    ],
)
def test_inconsistent_settings_are_rejected_with_the_name_of_the_fault(change: dict[str, object], message: str) -> None:
    with pytest.raises(simhost.Malformed, match=message):
        simhost.read_settings({"profiles": [{"name": "x", "repeat": "read_like"}]} | change)


def test_no_number_of_instances_divides_by_zero() -> None:
    for routers in (0, 1, 40):
        options = {
            "profiles": [{"name": "x", "repeat": "read_like"}],
            "n-instances": routers,
            "zones": ["a"],
            "zone": "a",
            "extra": {"crew-by-zone": [routers]},
        }
        router = simhost.Router(simhost.read_settings(options), 1)
        assert router.location_routers == max(1, routers) and 0 < router.initial_inflight_limit < float("inf")
