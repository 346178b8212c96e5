"""Shared load figures: the proxies' reports, their merge in the control plane, hints, and their use in the decision
module."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path
from typing import Any

import pytest

from benchmarks.rig import Rig, until
from tests.harness import ROOT
from tests.script import MS, ORIGIN, SECOND, Script
from tests.test_spread import Many
from threadhill.decision import interface as api
from threadhill.decision.interface import Outcome
from threadhill.decision.state import MAX_REPORT_FACTOR
from threadhill.knowledge.hints import HintReader
from threadhill.knowledge.merge import MAX_CACHES, MAX_OBJECTS, MAX_REPORT_AGE, ReportAggregator
from threadhill.knowledge.report import ReportBuilder
from threadhill.settings import Malformed
from threadhill.standin.links import UNIMPAIRED, Impairment
from threadhill.standin.swarm import LoadGenerator, Swarm, location_settings


def report_of(number: int, rate: float = 2.0, **more: Any) -> dict[str, Any]:
    return {"n": number, "zone": "here", "objects": [["hot", rate]], "caches": [[11, 1.0, 0], [12, 0.0, 1]], **more}


def hint_of(number: int = 1, **more: Any) -> dict[str, Any]:
    return {"n": number, "at": 0, "age": 100, "objects": [["hot", 50.0]], "caches": [[11, 3.0, 0.0]], **more}


def test_each_report_is_counted_once_and_for_its_own_location() -> None:
    aggregator = ReportAggregator()
    for proxy in ("a", "b", "c"):
        assert aggregator.add_report(proxy, report_of(1), 1_000)
    assert aggregator.add_report("far", report_of(1, rate=9.0, zone="there"), 1_000)
    told = aggregator.hint("a", 1_200)
    assert told is not None and told["objects"] == [["hot", 6.0]] and told["proxies"] == 3
    assert told["caches"] == [[12, 0.0, 1.0], [11, 3.0, 0.0]]
    assert aggregator.hint("far", 1_200) is None and aggregator.hint("stranger", 1_200) is None


def test_duplicate_and_late_reports_count_once_and_silent_proxies_do_not_count() -> None:
    aggregator = ReportAggregator()
    for proxy in ("a", "b", "c"):
        aggregator.add_report(proxy, report_of(5), 1_000)
    assert not aggregator.add_report("a", report_of(5, rate=100.0), 1_100) and not aggregator.add_report(
        "a", report_of(4, rate=100.0), 1_100
    )
    assert aggregator.hint("b", 1_200)["objects"] == [["hot", 6.0]]
    aggregator.add_report("a", report_of(6), MAX_REPORT_AGE)
    aggregator.add_report("b", report_of(6), MAX_REPORT_AGE)
    assert aggregator.hint("a", 1_000 + MAX_REPORT_AGE + 100)["objects"] == [["hot", 4.0]]
    assert aggregator.add_report("a", report_of(1), 3 * MAX_REPORT_AGE)  # it restarted
    aggregator.expire(20 * MAX_REPORT_AGE)
    assert not aggregator.by_name


@pytest.mark.parametrize(
    "raw",
    [
        None,
        [],
        {"n": "1"},
        report_of(1, zone=3),
        report_of(1, objects=[["a"]]),
        report_of(1, objects=[["a", float("nan")]]),
        report_of(1, objects=[["", 1.0]]),
        report_of(1, objects=[["a", -1.0]]),
        report_of(1, caches=[["11", 1.0, 0]]),
        report_of(1, objects=[["a", 1.0]] * 1_000),
        report_of(1, caches=[[11, 1e9, 0]]),
    ],
)
def test_an_invalid_report_is_rejected_as_a_whole(raw: Any) -> None:
    aggregator = ReportAggregator()
    assert not aggregator.add_report("a", raw, 0) and aggregator.rejected == 1 and not aggregator.by_name


def test_a_hint_is_bounded_whatever_proxies_report() -> None:
    aggregator = ReportAggregator()
    for n in range(50):
        aggregator.add_report(
            f"p{n}",
            report_of(
                1,
                objects=[[f"{n:08x}{i:08x}", 1e5] for i in range(MAX_OBJECTS)],
                caches=[[4_000_000_000 + n * 50 + i, 9e4, 1] for i in range(MAX_CACHES)],
            ),
            0,
        )
    told = aggregator.hint("p0", 100)
    assert len(told["objects"]) == MAX_OBJECTS and len(told["caches"]) == MAX_CACHES


@pytest.mark.parametrize(
    "raw",
    [
        {},
        hint_of(objects=[["hot"]]),
        hint_of(objects=[["hot", "50"]]),
        hint_of(objects=[["hot", 1e9]]),
        hint_of(objects=[["hot", float("inf")]]),
        hint_of(caches=[[11, 3.0, 2.0]]),
        hint_of(age=-5),
        hint_of(n=None),
        hint_of(caches=[[True, 3.0, 1.0]]),
        hint_of(objects=[["hot", 1.0]] * 100),
    ],
)
def test_an_invalid_hint_is_rejected_as_a_whole(raw: dict[str, Any]) -> None:
    hints = HintReader()
    with pytest.raises(Malformed):
        hints.read(raw, 0)
    assert hints.read(hint_of(), 0) is not None


def test_duplicate_and_old_hints_are_ignored_and_a_new_connection_restarts_the_numbering() -> None:
    hints = HintReader()
    assert hints.read(hint_of(7), 0).age == 100_000
    assert hints.read(hint_of(7), 0) is None and hints.read(hint_of(6), 0) is None
    assert hints.read(hint_of(8), 9 * SECOND) is None  # it was delayed for nine seconds
    hints.reset()
    assert hints.read(hint_of(1), 0) is not None and hints.ignored == 3


def test_a_report_names_the_most_requested_objects_and_the_attempts_in_flight() -> None:
    script = Script()
    report = ReportBuilder(script.router)
    for _ in range(3):
        script.send_steadily("hot", 1, 20)
        script.serve("rare")
    script.ask("hot")
    told = report.build(script.now)
    assert told["objects"][0][0] == "hot" and told["n"] == 1 and told["zone"] == "here"
    assert sum(out for _, out, _ in told["caches"]) == 1
    assert len(ReportBuilder(Many(1).routers[0]).build(0)["objects"]) == 0


def test_a_hint_spreads_a_hot_object_before_this_router_saw_it() -> None:
    script = Script()
    script.send_steadily("other", 3, 20)
    script.handle(api.Hints({"hot": 80.0}, {}, {}, 100 * MS))
    script.wait(SECOND)
    script.serve("hot")
    assert len(script.servers_used("hot", 60)) == 4
    script = Script()
    script.send_steadily("other", 3, 20)
    script.handle(api.Hints({"hot": 80.0}, {}, {}, 9 * SECOND))  # too old to be used
    script.wait(SECOND)
    assert script.serve("hot") and script.router.rates["hot"].copies == 1


def test_no_hint_overrides_a_drain_a_purge_or_a_slow_start() -> None:
    script = Script()
    script.list([api.Entry(11, api.State.DRAINING, "here", "box", 1)])
    for _ in range(40):
        script.handle(api.Hints({"a": 1e5}, {11: 0.0}, {n: 1.0 for n in (12, 13, 14)}, 0))
        assert script.serve("a").server != 11
    script.handle(api.Purge("a", None, 0))
    script.handle(api.Hints({"a": 1e5}, {}, {}, 0))
    assert script.serve("a").max_age > 0
    cold, credit = Script(), []
    for told in (False, True):
        cold = Script(
            entries=[api.Entry(n, zone="here", kind="box", cell=1, reported_start=1_000 * SECOND) for n in (11, 12)]
            + [api.Entry(ORIGIN, zone="hub", kind="origin", cell=8)]
        )
        sent = 0
        for n in range(200):
            if told:
                cold.handle(api.Hints({}, {11: 0.0, 12: 0.0}, {11: 0.0, 12: 0.0}, 0))
            sent += sum(isinstance(a, api.Fetch) and a.server in (11, 12) for a in cold.ask(f"o{n}"))
            cold.wait(5 * MS)
        credit.append(sent)
    assert credit[0] == credit[1]


def test_ejection_of_a_cache_is_eased_if_it_works_for_others_and_not_if_it_fails_for_all() -> None:
    for share, out in ((0.0, False), (1.0, True)):
        script = Script()
        server = script.router.fleet.servers[11]
        script.router.eject(server)
        server.fault_log_odds = 7.0
        for _ in range(4):
            script.handle(api.Hints({}, {11: 2.0}, {11: share}, 0))
        server.ejected_until = script.now
        assert (server.fault_log_odds > 3) == out
        (sent,) = script.ask("o")
        while sent.server != 11:
            script.end(sent)
            script.asked += 1
            (sent,) = script.ask(f"o{script.asked}")
        script.end(sent, Outcome.ERROR, load={})
        assert (server.ejected_until > script.now + 100 * MS) or not out


def test_absurd_hints_cause_no_refusals_at_low_load() -> None:
    many = Many(200)
    many.report = False
    for second in range(6):
        lie = (0.0, 1e5, 50.0)[second % 3]
        for router in many.routers:
            router.handle(many.now, api.Hints({f"o{second}": lie}, {n: lie for n in range(1, 9)}, {}, 0))
        many.run(1, 300)
    assert many.refused <= 0.002 and MAX_REPORT_FACTOR > 1


def test_the_control_plane_sends_hints_only_to_proxies_that_report_loads(tmp_path: Path) -> None:
    """A proxy of an older version can't read hints and would drop its connection to the feed."""

    async def scene() -> None:
        async with Rig(tmp_path, "127.0.35.1", proxies=1) as rig:
            await rig.apply(rig.make(["0", "1"]))
            host, _, port = rig.feed.rpartition(":")
            links = []
            for name in ("new-1", "new-2", "old"):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"tail 0\n")
                links.append((name, reader, writer))
            got: dict[str, list[Any]] = {name: [] for name, _, _ in links}

            async def listen(name: str, reader: asyncio.StreamReader) -> None:
                while line := await reader.readline():
                    got[name].append(json.loads(line))

            tasks = [asyncio.ensure_future(listen(name, reader)) for name, reader, _ in links]
            for number in range(1, 40):
                for name, _, writer in links:
                    report = {"proxy": name, "config": "", "applied": 0, "up": [], "down": []}
                    report |= {"knows": report_of(number)} if name != "old" else {}
                    writer.write(json.dumps(report).encode() + b"\n")
                if [line for line in got["new-2"] if isinstance(line, dict) and "hint" in line]:
                    break
                await asyncio.sleep(0.2)
            hints = [line["hint"] for line in got["new-2"] if isinstance(line, dict) and "hint" in line]
            assert hints[0]["objects"] == [["hot", 4.0]] and hints[0]["proxies"] == 2
            assert HintReader().read(hints[0], 0) is not None
            await until(lambda: any(isinstance(line, int) for line in got["old"]), "the last number")
            assert not [line for line in got["old"] if isinstance(line, dict) and "hint" in line]
            for task in tasks:
                task.cancel()

    asyncio.run(scene())


def test_proxies_whose_feed_is_cut_off_go_on_and_receive_hints_again(tmp_path: Path) -> None:
    """24 processes; for ten seconds the link to the service that sends hints silently drops everything."""

    async def scene() -> None:
        swarm = Swarm(tmp_path, "127.0.0.1", location_settings(24), ROOT, hints=True)
        try:
            await swarm.start_servers(8, behind_relays=True)
            await swarm.launch([swarm.configure(f"p{n}").name for n in range(24)])
            crowd = LoadGenerator(swarm, 150.0)

            async def taken() -> list[int]:
                for proxy in swarm.proxies.values():
                    proxy.signal(signal.SIGUSR1)
                await asyncio.sleep(0.5)
                counts = []
                for proxy in swarm.proxies.values():
                    lines = [line for line in proxy.log.read_text().splitlines() if line.startswith("{")]
                    whole = [line for line in lines if line.endswith("}}")]
                    told = json.loads(whole[-1]) if whole else {}
                    counts.append(told.get("hint", {}).get("taken", 0))
                return counts

            async def all_hear(beyond: list[int]) -> None:
                going = asyncio.ensure_future(crowd.run(60))
                async with asyncio.timeout(60):
                    while not all(a > b for a, b in zip(await taken(), beyond, strict=True)):
                        pass
                crowd.stopped = True
                await going
                crowd.stopped = False

            await all_hear([0] * 24)
            swarm.links["journal"].impair_both(Impairment(drop=True))
            crowd.answers.clear()
            await crowd.run(10)
            assert crowd.answers["200"] >= 0.99 * crowd.answers.total()
            before = await taken()
            swarm.links["journal"].impair_both(UNIMPAIRED)
            swarm.links["journal"].reset()
            await all_hear([max(before)] * 24)
            crowd.close()
            assert not crowd.wrong_answers and not crowd.duplicate_answers
        finally:
            await swarm.close()

    asyncio.run(scene())
