"""Recovery: phases under any order of events, saved state, contradicting proxies; and processes of the program that are
killed, stopped, cut off or served by a rolled-back journal."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.harness import ROOT, until
from tests.script import CACHES, MS, SECOND, Script, cache
from tests.test_links import PROXIES, RATE
from threadhill.control.catch_up import CatchUpLimiter
from threadhill.decision import interface as api
from threadhill.decision.interface import State
from threadhill.recovery import adopt, learned, saved
from threadhill.recovery.numbers import DepartedServers, NumberCheck, compare_numbers
from threadhill.recovery.phases import DELIVERY_TIME, MIN_ANSWERS, FleetPhaseSummary, Phase, PhasePolicy, PhaseTracker
from threadhill.recovery.retention import DAY, HOUR, expired_snapshots
from threadhill.recovery.statefile import StateFile
from threadhill.settings import Malformed
from threadhill.standin.links import LinkChange, Relay, run_changes
from threadhill.standin.servers import Server
from threadhill.standin.swarm import LoadGenerator, Swarm, location_settings

PHASE_ORDER = [Phase.BLANK, Phase.CATCHING_UP, Phase.WARMING, Phase.FULL]


# --- phases


def test_a_start_passes_through_all_phases_by_observations() -> None:
    phases = PhaseTracker(PhasePolicy(), 0, confirmed_at=0)
    assert not phases.permissions(0).send
    phases.list_changed(10, frozenset({1, 2, 3, 4}))
    assert phases.phase is Phase.CATCHING_UP and phases.permissions(10).send and not phases.permissions(10).max_copy_age
    assert (
        phases.permissions(SECOND) == phases.permissions(DELIVERY_TIME)
        and phases.permissions(SECOND).max_copy_age == 500 * MS
    )
    assert not phases.permissions(DELIVERY_TIME + 1).send  # refused: what drained meanwhile counts as delivered
    phases.number_received(8 * SECOND, 6, 6)
    assert phases.phase is Phase.CATCHING_UP  # the process stalled: the line may be old
    phases.connected(8 * SECOND)
    phases.number_received(8 * SECOND, 5, 6)
    assert phases.phase is Phase.CATCHING_UP
    phases.number_received(8 * SECOND, 6, 6)
    assert (
        phases.phase is Phase.WARMING
        and phases.permissions(8 * SECOND).send
        and not phases.permissions(8 * SECOND).max_copy_age
    )
    for _ in range(MIN_ANSWERS):
        phases.attempt_ended(8 * SECOND, 1, True)
    assert phases.phase is Phase.WARMING  # one of four caches is not enough
    phases.attempt_ended(8 * SECOND, 2, False)  # a failure counts as seen too
    assert phases.phase is Phase.FULL
    for n in range(81, 111):
        phases.tick(n * SECOND // 10)
    assert phases.phase is Phase.CATCHING_UP and phases.permissions(11 * SECOND).max_copy_age == 500 * MS
    phases.number_received(12 * SECOND, 6, 6)
    assert phases.phase is Phase.FULL and not phases.awaiting_reconnect  # it kept what it learned
    assert [change.new for change in phases.changes] == [*PHASE_ORDER[1:], Phase.CATCHING_UP, Phase.FULL]
    assert all(change.cause for change in phases.changes)


KINDS = ["list", "empty", "heard", "heard", "behind", "back", "answer", "fail", "time", "connected"]
EVENTS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 12 * SECOND)), max_size=40)


@settings(max_examples=300, deadline=None)
@given(EVENTS, st.booleans())
def test_no_order_of_events_blocks_a_phase_or_sends_what_it_forbids(events: list, known: bool) -> None:
    now, phases, news = 0, PhaseTracker(PhasePolicy(), 0, 0 if known else None), 0 if known else None
    for kind, wait in events:
        now += wait
        phases.tick(now)
        match kind:
            case "list" | "empty":
                phases.list_changed(now, frozenset({1, 2, 3} if kind == "list" else ()))
            case "heard":
                phases.number_received(now, 7, 7)
                news = news if phases.awaiting_reconnect else now
            case "connected":
                phases.connected(now)
            case "behind" | "back":
                phases.number_received(now, 7, 9 if kind == "behind" else 3)
            case "answer" | "fail":
                phases.attempt_ended(now, 1, kind == "answer")
        allows = phases.permissions(now)
        if allows.send:  # nothing is sent on a list that may miss delivered events, or on none
            assert phases.phase is not Phase.BLANK and news is not None and now - news <= DELIVERY_TIME
        if allows.send and now - news > 2 * SECOND:
            assert 0 < allows.max_copy_age <= 500 * MS  # and no copy older than a purge that may be missing
    phases.list_changed(now, frozenset({1, 2, 3}))  # it recovers after any events
    phases.connected(now)
    phases.number_received(now, 7, 7)
    for _ in range(10 * MIN_ANSWERS):
        phases.attempt_ended(now, 1, True)
    assert phases.phase is Phase.FULL and phases.permissions(now).send and not phases.permissions(now).max_copy_age


def test_a_fleet_is_back_at_95_percent_in_full_service_and_reports_it_once() -> None:
    fleet = FleetPhaseSummary()
    assert fleet.update(0, ["full"] * 20, 0) is None
    assert "not in full service" in fleet.update(1, ["full"] * 6 + ["warming"] * 2, 12)
    assert fleet.update(2, ["full"] * 18 + ["warming"] * 2, 0) is None
    assert "back" in fleet.update(3, ["full"] * 19 + ["catching up"], 0) and fleet.recovered_at == 3
    assert fleet.update(4, ["full"] * 20, 0) is None


# --- event numbers


def test_numbers_that_go_back_or_jump_are_detected() -> None:
    told = [compare_numbers(57, n) for n in (57, 58, 3, 57 + 20_000_000)] + [compare_numbers(0, 90_000_000)]
    assert told == [NumberCheck.SAME, NumberCheck.AHEAD, NumberCheck.BACK, NumberCheck.FAR, NumberCheck.AHEAD]


def test_a_rolled_back_service_restores_no_drained_server_until_its_numbers_catch_up() -> None:
    departed = DepartedServers()
    departed.record([cache(1), api.Entry(2, State.DRAINING, reported_start=5), api.Entry(3, State.GONE)])
    departed.begin_rollback(57)
    again, anew = cache(2, reported_start=5), cache(3, reported_start=9)
    states = [entry.state for entry in departed.screen((cache(1), again, anew))]
    assert states == [State.READY, State.DRAINING, State.READY]  # the third was restarted
    assert departed.reached(56) == () and departed.rolled_back
    assert departed.reached(57) == (again,) and departed.screen((again,)) == (again,)


# --- what was learned


def warmed_script() -> Script:
    script = Script()
    for n in range(200):
        script.end(script.ask(f"o{n % 20}")[0], duration=60 * MS)
        if n % 20 == 19:
            script.wait(SECOND)
    return script


def test_learned_state_primes_a_fresh_router_weighted_by_its_age() -> None:
    old = warmed_script()
    known = learned.check(orjson.loads(orjson.dumps(learned.gather(old.router, old.now))))
    assert known["servers"] and known["objects"] and known["work"] > 0
    for age, share in ((0, 1.0), (learned.ESTIMATE_LIFETIME // 2, 0.5), (learned.ESTIMATE_LIFETIME, 0.0)):
        fresh = Script()
        learned.prime(fresh.router, known, age, fresh.now)
        assert fresh.router.work.peak == pytest.approx(share * known["work"], rel=0.01)
        assert fresh.router.mean_latency.value == (known["took"] if share else 0)
        assert bool(fresh.router.rates) == (age == 0)
    again = Script()  # a restarted server is another one, and own observations stay
    again.list([cache(n, reported_start=again.now) for n in CACHES])
    again.serve("mine")
    seen = again.router.mean_latency.value
    assert learned.prime(again.router, known, 0, again.now) == sum(n not in CACHES for n, *_ in known["servers"])
    assert again.router.mean_latency.value == seen


def test_learned_state_overrides_no_drain_no_purge_and_no_slow_start() -> None:
    old = warmed_script()
    known = learned.gather(old.router, old.now)
    fresh = Script()
    home = old.serve("o1").server
    fresh.list([api.Entry(home, State.DRAINING, cache(home).zone, cache(home).kind)], kind=api.ListKind.CHANGES)
    fresh.handle(api.Purge("o1", 3, 0))
    learned.prime(fresh.router, known, 0, fresh.now)
    fresh.wait(SECOND)
    fetches = [fresh.serve("o1") for _ in range(20)]
    assert all(s.server != home and s.source != home and 0 < s.max_age <= SECOND for s in fetches)
    cold = Script()
    cold.list([cache(home, reported_start=cold.now)])
    learned.prime(cold.router, known, 0, cold.now)
    assert sum(cold.serve(f"o{n % 20}").server == home for n in range(60)) < 12


def test_merged_documents_are_medians_that_one_wrong_document_does_not_change() -> None:
    documents = [
        (orjson.loads(orjson.dumps(learned.gather(warmed_script().router, 2_000 * SECOND))), age) for age in (1, 2, 3)
    ]
    wrong = orjson.loads(orjson.dumps(documents[0][0]))
    wrong["took"], wrong["work"] = 5e8, 9e4
    for row in wrong["servers"]:
        row[2:6] = [900.0, 900.0, 90_000.0, 7.0]
    merged, age = learned.merge([*documents, (wrong, 0)])
    learned.check(merged)
    assert age == 2 and merged["took"] < 2 * documents[0][0]["took"] and merged["work"] < 2 * documents[0][0]["work"]
    assert all(a[2] < 2 * b[2] + 1 for a, b in zip(merged["servers"], sorted(documents[0][0]["servers"]), strict=True))
    assert learned.merge([])[0]["servers"] == []


@pytest.mark.parametrize(
    "wrong",
    [
        {"servers": [[1, 0, 1, 1, 1, 1, 1]]},
        {"servers": [[1, 0, 1, 1, -1, 1, 1, 1]]},
        {"objects": [["", 1, 1]]},
        {"classes": {"a": [float("nan"), 1]}},
        {"work": True},
        {"took": None},
        {"servers": "x"},
        {"objects": [["a", 1, 1]] * 900},
    ],
)
def test_an_invalid_document_is_rejected_as_a_whole(wrong: dict[str, Any]) -> None:
    good = learned.gather(warmed_script().router, 2_000 * SECOND)
    with pytest.raises(Malformed):
        learned.check(good | wrong)


# --- the state file


def state_document() -> dict[str, Any]:
    script, departed = warmed_script(), DepartedServers()
    departed.record([api.Entry(9, State.DRAINING, reported_start=4)])
    script.handle(api.Purge("o1", 3, 0))
    return saved.content(script.router, departed, 57, ["s-00000007"], script.now)


DAMAGE: dict[str, tuple[Callable[[bytes], bytes], str]] = {
    "cut off": (lambda raw: raw[:-200], "cut off"),
    "one byte": (lambda raw: raw[:-40] + bytes([raw[-40] ^ 1]) + raw[-39:], "checksum"),
    "empty": (lambda raw: b"", "first line"),
    "another version": (lambda raw: raw.replace(b'"threadhill_state":1', b'"threadhill_state":2'), "version 2"),
    "another installation": (lambda raw: raw.replace(b"abcd1234", b"abcd1235"), "another"),
    "of the future": (lambda raw: raw.replace(b'"at":1000000', b'"at":9000000'), "future"),
    "not JSON": (lambda raw: b"\x00" * 50 + raw, "first line"),
    "too long": (lambda raw: raw + b" " * saved.MAX_BYTES, "over"),
}


@pytest.mark.parametrize("how", DAMAGE)
def test_a_damaged_file_is_set_aside_with_one_log_line_and_not_used(how: str, tmp_path: Path) -> None:
    lines: list[str] = []
    file = StateFile(tmp_path, "p-1", "abcd1234", lines.append)
    assert file.read(1_000_000) is None and not lines  # no file yet
    raw = saved.pack(state_document(), "abcd1234", 1_000_000)
    assert file.write(raw) and file.read(1_000_000).pos == 57
    change, word = DAMAGE[how]
    file.path.write_bytes(change(raw))
    assert file.read(1_000_000) is None
    assert len(lines) == 1 and word in lines[0] and not file.path.exists()
    assert file.path.with_suffix(".damaged").exists()


def test_a_folder_that_cannot_be_written_is_logged_once_and_has_no_other_effect(tmp_path: Path) -> None:
    lines: list[str] = []
    file = StateFile(tmp_path / "gone", "p-1", "abcd1234", lines.append)
    assert not file.write(b"x") and not file.write(b"x") and len(lines) == 1
    (tmp_path / "gone").mkdir()
    assert file.write(b"x") and "again" in lines[1]
    file.path.unlink()
    file.path.mkdir()
    assert file.read(0) is None and not file.write(b"x") and len(lines) == 4
    assert not list((tmp_path / "gone").glob(".*"))  # no temporary file is left


def test_drains_and_purges_in_a_file_never_expire_while_learned_state_does() -> None:
    kept = saved.unpack(saved.pack(state_document(), "w", 1000 * SECOND), "w", 5000 * SECOND)
    fresh, departed = Script(), DepartedServers()
    taken, older = saved.restore(kept, fresh.router, departed, 50, kept.saved_at + saved.MAX_AGE + SECOND)
    assert (taken, older) == (0, True) and departed.rolled_back and departed.starts[9] == 4
    # The purge counts as old as when it was saved: only the wall clock, which may be stepped, tells the file's age.
    now, age = kept.saved_at + saved.MAX_AGE + SECOND, max(0, kept.saved_at - kept.purges[0][1])
    assert fresh.router.freshness.records["o1"].purged_at == now - age and not fresh.router.mean_latency.samples
    departed = DepartedServers()
    assert not saved.restore(kept, Script().router, departed, 57, kept.saved_at)[1] and not departed.rolled_back


# --- snapshots, returning clients


def test_snapshots_are_retained_by_age_and_none_is_deleted_after_the_clock_went_back() -> None:
    now = 100 * DAY
    times = [now - 60 * n for n in range(24 * 60)] + [now - DAY * n for n in range(60)] + [now + 900]
    gone = set(expired_snapshots(times, now))
    left = sorted(set(times) - gone, reverse=True)
    assert left[0] == now + 900 and left[1:10] == [now - 60 * n for n in range(9)]
    assert 24 + 28 <= len(left) <= 10 + 25 + 31 and all(now - t <= 30 * DAY for t in left)
    assert len({t // HOUR for t in left if now - t < DAY}) >= 23


def test_proxies_beyond_the_limit_are_told_different_times_to_return() -> None:
    limiter = CatchUpLimiter(max_waiting=5)
    assert limiter.retry_delay(4, 0) == 0
    told = [limiter.retry_delay(5, 0) for _ in range(500)]
    assert told == sorted(told) and told[0] >= 50 and 250 <= told[-1] <= 350
    assert max(limiter.retry_delay(5, 0) for _ in range(100_000)) == 3_000


# --- a control plane that lost its state


def member(name: str, phase: str = "SERVING", **more: Any) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": "127.0.0.1:9",
        "locality": "costa",
        "flavor": "box",
        "cell": 0,
        "size": 4,
        "phase": phase,
        "up_since_ms": 0,
        **more,
    }


def proxy_views(*worlds: tuple[str, int, list[dict[str, Any]]], zone: str = "costa") -> dict[str, adopt.ProxyView]:
    known: dict[str, adopt.ProxyView] = {}
    for proxy, pos, members in worlds:
        adopt.add_part(
            known,
            {
                "proxy": proxy,
                "holds": {
                    "pos": pos,
                    "zone": zone,
                    "part": 0,
                    "of": 1,
                    "members": members,
                    "tenants": [{"name": "t", "zones": ["t.example"], "quota": 5}],
                },
            },
        )
    return known


def findings_by_id(proposal: adopt.Proposal) -> dict[str, tuple[str, str | None]]:
    return {f.id: (f.state, f.record["phase"] if f.record else None) for f in proposal.findings}


def test_a_proposal_lists_what_is_certain_in_doubt_and_missing() -> None:
    attrs = {"node": "node.costa", "address": "127.0.0.1:9", "cell": 0, "size": 4, "warm": False, "fills_from": []}
    records = {
        f"box.{n}": {"kind": "box", "name": n, "attrs": attrs, "phase": "warm", "since": 0}
        for n in ("same", "drained", "old")
    }
    records["node.costa"] = {"kind": "node", "name": "costa", "attrs": {"hub": "hub.x"}, "phase": "set", "since": 0}
    here = proxy_views(
        ("p-1", 90, [member("same"), member("drained", "DRAINING"), member("new", up_since_ms=7), member("split")]),
        (
            "p-2",
            90,
            [
                member("same"),
                member("drained", "DRAINING"),
                member("new", up_since_ms=7),
                member("split", host_port="127.0.0.1:8"),
            ],
        ),
        ("p-3", 80, [member("same"), member("drained"), member("undrained", "DRAINING")]),
    )
    proposal = adopt.propose(here.values(), records, 60, 95)
    assert findings_by_id(proposal) == {
        "box.same": ("certain", "warm"),
        "box.drained": ("certain", "draining"),
        "box.new": ("certain", "cold"),
        "box.split": ("in doubt", "draining"),
        "box.old": ("missing", None),
        "node.costa": ("certain", "set"),
        "tenant.t": ("certain", "set"),
    }
    assert proposal.pos == 96  # higher than every number that a proxy named
    findings = {f.id: f for f in proposal.findings}
    assert findings["box.same"].record["attrs"]["warm"] is False  # as in the snapshot
    assert "127.0.0.1:8" in findings["box.split"].why and "1 are behind" in findings["box.drained"].why


def test_contradictions_between_proxies_are_shown_and_not_resolved() -> None:
    """A proxy that is behind holds a server as draining, while the others hold it as serving with the same start."""
    here = proxy_views(("p-1", 90, [member("a")]), ("p-2", 80, [member("a", "DRAINING")]))
    assert findings_by_id(adopt.propose(here.values(), {}, 0, 0))["box.a"] == ("in doubt", "draining")
    here = proxy_views(("p-1", 90, [member("a", up_since_ms=5)]), ("p-2", 80, [member("a", "DRAINING")]))
    assert findings_by_id(adopt.propose(here.values(), {}, 0, 0))["box.a"] == ("certain", "cold")  # it was restarted
    here = proxy_views(("p-1", 90, [member("a")]), ("p-2", 90, []))
    assert findings_by_id(adopt.propose(here.values(), {}, 0, 0))["box.a"] == ("in doubt", "draining")
    here |= proxy_views(("p-3", 90, []), zone="sierra")  # which need not know costa's servers
    here["p-2"].members = {"a": adopt._member(member("a"))}
    assert findings_by_id(adopt.propose(here.values(), {}, 0, 0))["box.a"] == ("certain", "warm")


@settings(max_examples=100, deadline=None)
@given(st.integers(0, 10_000))
def test_no_lost_state_is_adopted_wrongly(seed: int) -> None:
    """A random history, proxies that know different prefixes of it, and a snapshot of some moment: certain findings
    match the highest number that a proxy heard, and a draining server is never recorded as serving."""
    draw = random.Random(seed)
    world: dict[str, dict[str, Any]] = {}
    history = [dict(world)]
    for n in range(draw.randint(1, 30)):
        name = f"s{draw.randint(0, 6)}"
        now = world.get(name)
        if now is None:
            world[name] = member(name, up_since_ms=n + 1)
        elif now["phase"] == "SERVING":
            world[name] = now | {"phase": "DRAINING"}
        else:
            del world[name]
        history.append(dict(world))
    cut = draw.randint(0, len(history) - 1)
    heard = [draw.randint(cut, len(history) - 1) for _ in range(3)]
    records = {f"box.{n}": adopt._record(adopt._member(m), None) for n, m in history[cut].items()}
    here = proxy_views(*((f"p-{i}", pos, list(history[pos].values())) for i, pos in enumerate(heard)))
    proposal, true = adopt.propose(here.values(), records, cut, max(heard)), history[max(heard)]
    for finding in proposal.findings:
        if finding.record is None or not finding.id.startswith("box."):
            continue
        now = true.get(finding.record["name"])
        assert now is not None and finding.record["since"] == now["up_since_ms"]
        assert finding.record["phase"] == "draining" or now["phase"] == "SERVING"
        assert finding.state == "in doubt" or (finding.record["phase"] == "draining") == (now["phase"] == "DRAINING")
    assert {f"box.{n}" for n in true} <= {f.id for f in proposal.findings if f.record}
    assert proposal.pos > max(heard)


# --- processes of the program

SMALL_FLEET = 12  # proxies; tests that do not need all 24
RECOVERY = '[recovery]\ntrust_ms = 1500\nstate_folder = "state"\nevery_ms = 300\n'


def fleet(
    folder: Path,
    scene: Callable[[Swarm, LoadGenerator], Awaitable[None]],
    proxies: int = SMALL_FLEET,
    operator: str = RECOVERY,
) -> None:
    """Runs a scene with proxies that have recovery enabled, eight caches and the journal behind links, and clients."""

    async def run() -> None:
        (folder / "state").mkdir()
        swarm = Swarm(folder, "127.0.0.1", location_settings(proxies), ROOT, operator=operator)
        try:
            await swarm.start_servers(8, behind_relays=True)
            await swarm.launch([swarm.configure(f"p{n}").name for n in range(proxies)])
            crowd = LoadGenerator(swarm, RATE)
            async with asyncio.timeout(100):
                await scene(swarm, crowd)
            crowd.close()
            assert (
                not crowd.wrong_answers
                and not crowd.duplicate_answers
                and not sum(box.stale_answers for box in swarm.boxes)
            )
        finally:
            await swarm.close()

    asyncio.run(run())


def requests_to(swarm: Swarm, name: str, since: float) -> list[Any]:
    return [a for a in swarm.fleet.servers[name].arrivals if a.at > since and not a.fill]


def count_logs(swarm: Swarm, word: str, names: list[str] | None = None) -> int:
    """The number of these proxies whose logs contain the word."""
    return sum(word in swarm.proxies[name].log.read_text() for name in names or swarm.proxies)


async def wait_until_served(crowd: LoadGenerator, share: float, seconds: float = 20.0) -> None:
    """Runs clients until this share of a second's requests is served."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        crowd.answers.clear()
        crowd.seed += 1
        await crowd.run(1.0)
        if crowd.answers["200"] >= share * crowd.answers.total():
            return
    raise AssertionError(f"not served again: {crowd.answers}")


async def wait_for_full_service(swarm: Swarm, crowd: LoadGenerator, names: list[str]) -> None:
    """Runs clients until all of these proxies are in full service."""
    going = asyncio.ensure_future(crowd.run(30))
    await until(lambda: count_logs(swarm, "warming -> full", names) == len(names), "all in full service")
    crowd.stopped = True
    await going
    crowd.stopped = False


def test_most_proxies_killed_beside_cold_caches_and_a_stalled_journal_recover_within_the_rules(tmp_path: Path) -> None:
    async def scene(swarm: Swarm, crowd: LoadGenerator) -> None:
        await wait_until_served(crowd, 0.99)
        await wait_for_full_service(swarm, crowd, list(swarm.proxies))
        killed = list(swarm.proxies)[: int(0.7 * PROXIES)]
        drained, purged = swarm.boxes[0].name, "0000000000000001"
        going = asyncio.ensure_future(crowd.run(8))
        for name in killed:
            swarm.proxies[name].signal(signal.SIGKILL)
        for name in killed:
            await swarm.proxies[name].process.wait()
        for box in swarm.boxes[1:3]:
            box.stop()
            await box.restart(cold=8.0)
        await swarm.journal.add_members(
            swarm.member(drained, "DRAINING"), *(swarm.member(box.name) for box in swarm.boxes[1:3])
        )
        for box in swarm.boxes:
            box.purged[purged] = time.time()
        await swarm.journal.add({"expire": {"name": purged, "stamp": int(time.time() * 1e3)}})
        await asyncio.sleep(0.4)  # the surviving proxies receive all this
        await run_changes(swarm.links, [LinkChange(0.0, ("journal",), "stall")])
        since = time.time()  # the new processes have an older configuration and a silent journal
        await swarm.launch(killed)
        await asyncio.sleep(2.5)
        await run_changes(swarm.links, [LinkChange(0.0, ("journal",), "pass")])
        await going
        assert not requests_to(swarm, drained, since + 7.05)
        assert count_logs(swarm, "state: ", killed) == len(killed)  # their saved state was read
        await wait_until_served(crowd, 0.97)
        late = requests_to(swarm, drained, time.time() - 1)
        assert not late, f"{drained} got {len(late)} after all had heard that it drains"
        await wait_for_full_service(swarm, crowd, killed)

    fleet(tmp_path, scene, PROXIES)


def test_proxies_with_an_old_list_and_no_journal_send_nothing_until_caught_up(tmp_path: Path) -> None:
    async def scene(swarm: Swarm, crowd: LoadGenerator) -> None:
        await wait_until_served(crowd, 0.99)
        await asyncio.sleep(0.5)  # the state is written
        names = list(swarm.proxies)
        for name in names:
            swarm.proxies[name].signal(signal.SIGKILL)
            await swarm.proxies[name].process.wait()
        drained = swarm.boxes[0].name
        await swarm.journal.add_members(swarm.member(drained, "DRAINING"))
        for name in names:  # their configuration is an hour old
            os.utime(swarm.proxies[name].config, (time.time() - 3_600,) * 2)
        await swarm.links["journal"].refuse(True)
        swarm.links["journal"].reset()
        since = time.time()
        await swarm.launch(names)
        crowd.answers.clear()
        await crowd.run(2)
        assert set(crowd.answers) == {"503"} and not any(requests_to(swarm, box.name, since) for box in swarm.boxes)
        await swarm.links["journal"].refuse(False)
        await wait_until_served(crowd, 0.99)
        assert not requests_to(swarm, drained, since)
        assert all(requests_to(swarm, box.name, since) for box in swarm.boxes[1:])

    fleet(tmp_path, scene)


def test_a_journal_restored_from_an_older_state_restores_no_drained_server(tmp_path: Path) -> None:
    async def scene(swarm: Swarm, crowd: LoadGenerator) -> None:
        await wait_until_served(crowd, 0.99)
        older, drained = list(swarm.journal.events), swarm.boxes[0].name
        await swarm.journal.add_members(swarm.member(drained, "DRAINING"))
        await asyncio.sleep(0.6)
        since = time.time()
        await swarm.journal.restart(older)
        await wait_until_served(crowd, 0.99)
        await until(lambda: count_logs(swarm, "an older or another service") == SMALL_FLEET, "all have noticed")
        await wait_until_served(crowd, 0.99)
        assert not requests_to(swarm, drained, since)
        born = swarm.fleet.servers[drained]
        born.stop()
        await born.restart(cold=1.0)
        await swarm.journal.add_members(swarm.member(drained))  # restarted: it counts as another server now
        await wait_until_served(crowd, 0.99)
        await wait_until_served(crowd, 0.99)
        assert requests_to(swarm, drained, since)

    fleet(tmp_path, scene)


def test_events_that_half_of_the_proxies_miss_bind_them_once_they_count_as_delivered(tmp_path: Path) -> None:
    """The journal of the others is silent: they serve while their list is trusted, then refuse, and resume once the
    journal is back."""

    async def scene(swarm: Swarm, crowd: LoadGenerator) -> None:
        second = swarm.links["second"] = Relay(lambda: swarm.journal.address, swarm.host)
        await second.start()
        cut_off = list(swarm.proxies)[::2]
        for name in cut_off:
            swarm.proxies[name].signal(signal.SIGKILL)
            await swarm.proxies[name].process.wait()
            swarm.configure(name, journal=f"{swarm.host}:{second.address[1]}")
        await swarm.launch(cut_off)
        await wait_until_served(crowd, 0.99)
        await run_changes(swarm.links, [LinkChange(0.0, ("second",), "drop")])
        drained, purged, told = swarm.boxes[0].name, "0000000000000002", time.time()
        await swarm.journal.add_members(swarm.member(drained, "DRAINING"))
        await swarm.journal.add({"expire": {"name": purged, "stamp": int(told * 1e3)}})
        crowd.answers.clear()
        await crowd.run(1.7)
        for box in swarm.boxes:  # from here on their lists are no longer trusted
            box.purged[purged] = told
        await crowd.run(3)
        assert not requests_to(swarm, drained, told + 1.5 + 0.55)  # trust_ms, and the time that the rules allow
        assert crowd.answers["503"] > 0.1 * crowd.answers.total()
        await run_changes(swarm.links, [LinkChange(0.0, ("second",), "pass"), LinkChange(0.0, ("second",), "reset")])
        await wait_until_served(crowd, 0.99)
        assert not requests_to(swarm, drained, told + 2.05)

    fleet(tmp_path, scene)


def test_a_stopped_proxy_sends_nothing_to_an_address_that_was_reassigned_meanwhile(tmp_path: Path) -> None:
    """It resumes with open requests, pending dials, and events in its socket that are older than the stop."""

    async def scene(swarm: Swarm, crowd: LoadGenerator) -> None:
        await wait_until_served(crowd, 0.99)
        name, stopped = swarm.boxes[0].name, list(swarm.proxies)[::3]
        old = swarm.fleet.servers[name]
        going = asyncio.ensure_future(crowd.run(6))
        await asyncio.sleep(0.3)
        for proxy in stopped:
            swarm.proxies[proxy].signal(signal.SIGSTOP)
        await swarm.journal.add_members(swarm.member(name, "DRAINING"))
        await asyncio.sleep(0.6)
        old.stop()
        stranger = Server("s-0000bbbb", "parent", old.address, lambda source: None)  # it belongs to someone else now
        await stranger.start()
        swarm.fleet.servers["s-0000bbbb"] = stranger
        await swarm.journal.add_members({"id": name, "phase": "DELETED"})
        await asyncio.sleep(3)
        since = time.time()
        for proxy in stopped:
            swarm.proxies[proxy].signal(signal.SIGCONT)
        await going
        await wait_until_served(crowd, 0.97)
        assert count_logs(swarm, "this process was stopped", stopped) == len(stopped)
        assert not [a for a in stranger.arrivals if a.at > since]

    fleet(tmp_path, scene)


def test_cordons_purges_and_drains_hold_after_a_restart(tmp_path: Path) -> None:
    """One process receives and saves them; the next one starts from an older configuration."""

    async def scene(swarm: Swarm, crowd: LoadGenerator) -> None:
        await wait_until_served(crowd, 0.99)
        name, box = "p0", swarm.boxes[1].name
        raw = orjson.loads(swarm.proxies[name].config.read_bytes())
        drained, purged = swarm.boxes[0].name, "0000000000000003"
        await swarm.journal.add_members(swarm.member(drained, "DRAINING"))
        told = time.time()
        await swarm.journal.add({"expire": {"name": purged, "stamp": int(told * 1e3)}})
        state = tmp_path / "state" / f"{name}.state"

        def kept() -> bool:
            content = orjson.loads(state.read_bytes().partition(b"\n")[2])
            return content["pos"] == len(swarm.journal.events) and any(key == purged for key, _ in content["purges"])

        await until(kept, "the news in the file")
        swarm.proxies[name].signal(signal.SIGKILL)
        await swarm.proxies[name].process.wait()
        head, _, text = state.read_bytes().partition(b"\n")
        installation = orjson.loads(head)["installation"]
        content = orjson.loads(text) | {"cordons": [box]}  # as a cordon through the management address would
        state.write_bytes(saved.pack(content, installation, orjson.loads(head)["at"]))
        for server in swarm.boxes:
            server.purged[purged] = told
        await run_changes(swarm.links, [LinkChange(0.0, ("journal",), "stall")])
        swarm.proxies[name].config.write_bytes(orjson.dumps(raw))  # a new file with the old content
        await swarm.launch([name])
        await crowd.run(1, [name])
        assert "nothing is sent before" in swarm.proxies[name].log.read_text()
        await run_changes(swarm.links, [LinkChange(0.0, ("journal",), "pass")])
        crowd.answers.clear()
        end = time.monotonic() + 20
        while crowd.answers["200"] < 50 and time.monotonic() < end:
            await crowd.run(1, [name])
        assert crowd.answers["200"] >= 50
        await asyncio.gather(*(crowd._request(name, purged) for _ in range(5)))
        for other in swarm.proxies.values():  # so that all requests are from this one
            if other.name != name:
                other.signal(signal.SIGSTOP)
        since = time.time()
        await crowd.run(2, [name])
        assert not requests_to(swarm, drained, since) and not requests_to(swarm, box, since)
        for other in swarm.proxies.values():
            other.signal(signal.SIGCONT)

    fleet(tmp_path, scene, 3)


def test_flapping_links_to_half_of_the_caches_cost_little_and_recover(tmp_path: Path) -> None:
    async def scene(swarm: Swarm, crowd: LoadGenerator) -> None:
        await wait_until_served(crowd, 0.99)
        names = tuple(box.name for box in swarm.boxes[::2])
        flaps = [LinkChange(0.25 * n, names, ("drop", "pass")[n % 2]) for n in range(24)]
        playing = asyncio.ensure_future(run_changes(swarm.links, flaps))
        crowd.answers.clear()
        await crowd.run(6)
        await playing
        assert crowd.answers["200"] >= 0.6 * crowd.answers.total()  # more than the other half alone would serve
        await run_changes(swarm.links, [LinkChange(0.0, names, "pass")])
        await wait_until_served(crowd, 0.99)

    fleet(tmp_path, scene, PROXIES)
