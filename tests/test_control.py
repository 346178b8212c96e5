"""The control plane: the ledger and the store under faults with a simulated clock, and real processes on loopback."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import sqlite3
import sys
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from benchmarks import plan_apply
from benchmarks.rig import Load, Rig, Watcher, free_ports, until
from tests.test_dns import SRV, Reply, query
from tests.test_plans import BASE, OTHER, read
from threadhill.control import client, sqlite
from threadhill.control.adoption import AdoptionHold
from threadhill.control.ledger import LEASE_MS, Ledger, Refused
from threadhill.control.sqlite import SqliteStore
from threadhill.control.store import Change, StoreDamaged, WriteFailed
from threadhill.plans import planner, saved
from threadhill.plans.planner import Observed

GROWN = {"boxes": 5}
SECOND = 1_000


class Killed(Exception):
    """The simulated process was killed."""


class CrashingStore(SqliteStore):
    """A store whose process is killed at the n-th commit, just before or just after it."""

    crash_at: tuple[int, bool] | None = None
    commits = 0

    def commit(self, change: Change) -> None:
        self.commits += 1
        if self.crash_at == (self.commits, False):
            raise Killed
        super().commit(change)
        if self.crash_at == (self.commits, True):
            raise Killed


class Plane:
    """A ledger with a clock that the test moves, and proxies that apply each event at once unless disconnected."""

    def __init__(
        self, folder: Path, names: tuple[str, ...] = ("p-1", "p-2"), store_class: type[SqliteStore] = SqliteStore
    ) -> None:
        self.folder, self.names, self.store_class, self.now = folder, names, store_class, 1_000_000
        self.disconnected: set[str] = set()
        self.unreachable: dict[str, list[str]] = {}
        self.events: dict[int, bytes] = {}
        self.applied: dict[str, int] = {}
        self.open()

    def open(self) -> None:
        self.store = self.store_class(self.folder)
        self.ledger = Ledger(self.store)

    def restart(self) -> None:
        """Replace the process: a new one opens the same folder."""
        self.store.close()
        self.open()

    def report(self) -> None:
        """Let each connected proxy read the feed from its last number and report."""
        for name in self.names:
            if name in self.disconnected:
                continue
            record = self.ledger.fleet.records.get(f"proxy.{name}")
            for pos, line in self.ledger.events_after(self.applied.get(name, 0)):
                assert self.events.setdefault(pos, line) == line, f"event {pos} was told as two things"
                self.applied[name] = pos
            config = record.attrs["config"] if record else "none"
            self.ledger.proxy_reports.take(
                {
                    "proxy": name,
                    "applied": self.applied.get(name, 0),
                    "config": config,
                    "up": [],
                    "down": self.unreachable.get(name, []),
                },
                self.now,
            )

    def plan(self, text: str = BASE, **given: object) -> dict:
        wanted = read(text, **given)
        plan = planner.plan(wanted, self.ledger.fleet.records.values(), Observed())
        return saved.document(plan, wanted, self.ledger.meta["version"], self.ledger.meta["serial"])

    def begin(self, plan: dict, holder: str = "one"):  # noqa: ANN201
        return self.ledger.begin(plan, holder, "tests", "", self.now)

    def advance(self, apply, step: int = 200) -> dict:  # noqa: ANN001
        self.report()
        told = self.ledger.advance(apply.number, apply.token, self.now)
        self.now += step
        return told

    def finish(self, apply) -> dict:  # noqa: ANN001
        for _ in range(500):
            told = self.advance(apply)
            if told["state"] != "open":
                return told
        raise AssertionError(f"does not end: {told}")

    def apply(self, text: str = BASE, **given: object) -> dict:
        return self.finish(self.begin(self.plan(text, **given)))


def effects(plane: Plane, after: int = 0) -> Counter:
    return Counter(plan_apply.effect_of(line) for pos, line in plane.events.items() if pos > after)


# --- kills


def test_kill_at_any_commit_leaves_a_true_state_and_repeats_no_step(tmp_path: Path) -> None:
    changed = BASE.replace('tenant "agencies"', 'tenant "brokers"').replace("size    = 8", "size    = 9")
    reference = Plane(tmp_path / "reference", store_class=CrashingStore)
    reference.apply()
    first = reference.store.commits
    reference.apply(changed, boxes=5)
    total = reference.store.commits - first
    assert total > 8
    for n in range(1, total + 1):
        for after in (False, True):
            plane = Plane(tmp_path / f"{n}-{after}", store_class=CrashingStore)
            plane.apply()
            start = plane.ledger.pos
            plan = plane.plan(changed, boxes=5)
            plane.store.crash_at = plane.store.commits + n, after
            apply = None
            try:
                apply = plane.begin(plan)
                plane.finish(apply)
                raise AssertionError("was not killed")
            except Killed:
                plane.restart()
            plane.report()
            told = plane.ledger.unfinished()
            seen = effects(plane, start)
            if told is not None:  # each step's reported state is what happened
                by_id = {s["id"]: plan_apply.step_effect(s) for s in plan["steps"]}
                for id, state in told["steps"].items():
                    if by_id[id] is not None:
                        assert (state != "left") == bool(seen[by_id[id]]), (n, after, id, state)
                left = {s.id for s in planner.plan(read(changed, boxes=5), plane.ledger.fleet.records.values()).steps}
                assert left == {id for id, state in told["steps"].items() if state == "left"}
                plane.now += LEASE_MS + 1
                assert plane.finish(plane.ledger.resume(told["apply"], "two", plane.now))["state"] == "done"
            elif plane.ledger.meta["version"] == 1:  # killed before it began
                plane.apply(changed, boxes=5)
            assert not plane.plan(changed, boxes=5)["steps"] and plane.ledger.open_apply is None
            assert effects(plane, start) == effects(reference, start), (n, after)
            plane.store.close()


def test_kills_of_the_control_plane_and_the_command(tmp_path: Path) -> None:
    found = asyncio.run(plan_apply.measure_kills(tmp_path, 7, 3))
    assert found["kills"] >= 3 and not found["kills_untrue"] and not found["events_twice"]


def test_killed_command_is_resumed_by_another(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, "127.0.31.1", proxies=1, cold_s=0.6) as rig:
            await rig.apply(rig.make(["0", "1"]))
            await rig.live()
            file = tmp_path / "new.hcl"
            file.write_text(rig.make({"0": True, "1": True, "2": False, "3": False}))
            killed = await rig.command("apply", str(file))
            await killed.stdout.readuntil(b"begun")
            killed.kill()
            await killed.wait()
            plan = await rig.command("plan", str(file), "--no-forecast")
            out, _ = await plan.communicate()
            assert b"is not finished: 0 done, 1 in doubt, 1 left" in out and b"? add box.b-2" in out
            other = await rig.command("apply", str(file))
            _, err = await other.communicate()
            assert other.returncode == 4 and b"unfinished" in err
            resumed = await rig.command("apply", "--resume")
            out, err = await resumed.communicate()
            assert resumed.returncode == 0 and b"is done: state version 2" in out, err
            plan = await rig.command("plan", str(file), "--no-forecast")
            assert await plan.wait() == 0

    asyncio.run(scenario())


# --- leases, conflicts, saved plans


def assert_refused(code: str, call: Callable[..., object], *words: object) -> None:
    with pytest.raises(Refused) as caught:
        call(*words)
    assert caught.value.code == code


def test_only_the_holder_of_the_newest_lease_advances_an_apply(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    plan, other = plane.plan(boxes=5), plane.plan(boxes=6)
    one = plane.begin(plan)
    assert_refused("unfinished", plane.begin, other, "two")
    plane.advance(one)
    assert_refused("leased", plane.ledger.resume, one.number, "two", plane.now)
    assert_refused("leased", plane.ledger.abandon, one.number, "two", plane.now)
    plane.now += LEASE_MS + 1
    two = plane.ledger.resume(one.number, "two", plane.now)
    before = plane.ledger.pos, dict(plane.ledger.step_states)
    for _ in range(30):
        plane.now += 1_000  # long enough for the next step to be due
        assert_refused("lease-lost", plane.ledger.advance, one.number, one.token, plane.now)
    assert before == (plane.ledger.pos, plane.ledger.step_states)
    assert plane.finish(two)["state"] == "done"
    assert_refused("not-open", plane.ledger.advance, two.number, two.token, plane.now)
    assert_refused("conflict", plane.begin, other)


def test_plan_is_carried_out_as_saved_or_refused(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    plan = plane.plan(boxes=5)
    plane.report()
    plane.ledger.tick(plane.now + 60 * SECOND)  # phases that time alone confirms must not invalidate the plan
    raw = json.dumps(plan)
    altered = raw.replace("127.0.0.1:19013", "127.0.0.1:19014", 1)
    assert_refused("bad-plan", plane.begin, json.loads(altered))
    forged = {k: v for k, v in json.loads(raw).items() if k != "digest"}
    forged["steps"] = forged["steps"][1:]  # well formed, with a valid digest, but not what its configuration needs
    assert_refused("bad-plan", plane.begin, forged | {"digest": planner.digest(forged)})
    assert plane.ledger.open_apply is None and plane.ledger.meta["version"] == 1
    plane.apply(boxes=4)
    assert_refused("conflict", plane.begin, plan)
    plane.finish(plane.begin(plane.plan(boxes=5)))
    back = saved.resources_of(plane.store.version(2).wanted)
    assert {s.id for s in planner.plan(back, plane.ledger.fleet.records.values()).steps} == {
        "drain box.costa-4",
        "remove box.costa-4",
    }


def test_plan_after_an_abandoned_apply_has_the_remaining_steps(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    apply = plane.begin(plane.plan(boxes=5))
    plane.advance(apply)
    plane.ledger.abandon(apply.number, "one", plane.now)
    assert [s["id"] for s in plane.plan(boxes=5)["steps"]] == ["add box.costa-4"]
    assert [s["id"] for s in plane.plan()["steps"]] == ["drain box.costa-3", "remove box.costa-3"]
    assert [v.state for v in plane.store.versions(99, 9)] == ["abandoned", "applied"]
    assert plane.apply()["state"] == "done"


# --- proxies that are silent, restarted, disconnected or ahead; servers that become unreachable


def test_step_waits_for_live_proxies_and_notes_the_silent_ones(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply(boxes=4)
    apply = plane.begin(plane.plan(boxes=3))
    plane.report()
    plane.disconnected = {"p-2"}
    plane.advance(apply)
    drained = plane.now
    waits = {}
    while "box.costa-3" in plane.ledger.fleet.records:
        told = plane.advance(apply)
        waits |= told["waits"]
        assert plane.now < drained + 60 * SECOND
    assert "proxies p-2 to apply" in " ".join([*waits.values()]) or plane.now - drained >= 7 * SECOND
    assert plane.now - drained >= 7 * SECOND  # by then PROTOCOL counts the event as delivered to a silent proxy
    end = plane.finish(apply)
    notes = [s.note for s in plane.store.steps(apply.number).values()]
    assert end["state"] == "done" and any("silent, not waited for: p-2" in note for note in notes)
    odd = plane.ledger.observed(plane.now)["odd"]
    assert set(odd) == {"proxy.p-2"} and "silent for" in odd["proxy.p-2"]
    plane.disconnected = set()  # it reconnects with its old number and misses no event
    plane.report()
    assert plane.applied["p-2"] == plane.ledger.pos and not plane.ledger.observed(plane.now)["odd"]


def test_step_waits_for_a_lagging_live_proxy_without_limit(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply(boxes=4)
    apply = plane.begin(plane.plan(boxes=3))
    stuck = dict(plane.applied)
    for _ in range(200):
        plane.ledger.advance(apply.number, apply.token, plane.now)
        for name in plane.names:
            config = plane.ledger.fleet.records[f"proxy.{name}"].attrs["config"]
            plane.ledger.proxy_reports.take({"proxy": name, "applied": stuck[name], "config": config}, plane.now)
        plane.now += 200
    assert plane.ledger.fleet.records["box.costa-3"].phase.value == "draining"
    assert plane.finish(apply)["state"] == "done"


def test_unreachable_box_halts_the_apply_and_shows_as_drift(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    apply = plane.begin(plane.plan(boxes=5))
    plane.advance(apply)
    plane.unreachable = {"p-1": ["costa-3"], "p-2": ["costa-3"]}
    told = plane.finish(apply)
    assert told["state"] == "halted" and "no live proxy reaches it" in told["halted"]
    assert plane.ledger.observed(plane.now)["gone"] == ["box.costa-3"]
    plane.ledger.abandon(apply.number, "one", plane.now)
    plane.unreachable = {}
    plane.apply()  # back to three boxes: the unreachable one is drained and removed
    assert "box.costa-3" not in plane.ledger.fleet.records


def test_unreachable_box_does_not_count_when_others_are_drained(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply(boxes=4)
    plane.report()
    plane.unreachable = {"p-1": ["costa-0"], "p-2": ["costa-0"]}
    plane.report()
    plane.now += 2 * SECOND
    plane.report()
    gone = Observed(frozenset(plane.ledger.observed(plane.now)["gone"]))
    assert gone.gone == {"box.costa-0"}
    one, records = read(BASE, boxes=1), list(plane.ledger.fleet.records.values())  # that box is unreachable
    assert not planner.plan(one, records).blocked
    assert "drain box.costa-3" in planner.plan(one, records, gone).blocked


def test_installation_with_three_hubs_is_applied_and_grows(tmp_path: Path) -> None:
    plane = Plane(tmp_path, names=("east", "central", "west-1", "west-2"))
    assert plane.apply(OTHER)["state"] == "done"
    assert plane.apply(OTHER, busiest=True)["state"] == "done"
    boxes = [r for r in plane.ledger.fleet.records.values() if r.kind == "box"]
    assert len(boxes) == 15 and not plane.plan(OTHER, busiest=True)["steps"]


def test_steps_of_one_place_keep_their_order_at_run_time(tmp_path: Path) -> None:
    """Guards against a drain that overtakes an earlier one, which waits for a step elsewhere, and uses up the servers
    that may be drained."""
    plane = Plane(tmp_path)
    plane.apply(BASE.replace("fills_from = values(parent.upper)", 'fills_from = [parent.upper["a"]]'), boxes=1)
    start, end = BASE.index('parent "upper"'), BASE.index('proxy "p"')
    after = (
        BASE[:start]
        + """
parent "fresh" {
  hub     = hub.sierra
  address = "127.0.0.1:19001"
}
box "nova" {
  node    = node.costa-1
  address = "127.0.0.1:19020"
}
"""
        + BASE[end:]
    )
    assert plane.apply(after)["state"] == "done"
    assert {r.id for r in plane.ledger.fleet.records.values() if r.kind in ("box", "parent")} == {
        "box.nova",
        "parent.fresh",
    }


def test_new_box_takes_the_address_of_a_removed_one(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply(boxes=4)
    start = plane.ledger.pos
    plane.apply(BASE + 'box "late" {\n  node    = node.costa-1\n  address = "127.0.0.1:19013"\n}\n', boxes=3)
    told = [plan_apply.effect_of(plane.events[pos]) for pos in sorted(plane.events) if pos > start]
    assert told == [("DRAINING", "costa-3"), ("DELETED", "costa-3"), ("SERVING", "late")]


def test_event_numbers_continue_after_a_restore_and_after_the_highest_seen(tmp_path: Path) -> None:
    plane = Plane(tmp_path / "a")
    plane.apply()
    sqlite.write_snapshot(tmp_path / "a", tmp_path / "snapshot")
    plane.apply(boxes=4)
    seen = plane.ledger.pos
    plane.store.close()
    meta = sqlite.restore(tmp_path / "a", tmp_path / "snapshot")
    assert meta["pos"] > seen  # the old store published numbers that the snapshot lacks
    plane.open()
    plane.report()
    plane.apply(boxes=4)
    assert plane.ledger.pos > seen and "box.costa-3" in plane.ledger.fleet.records
    # The old store is lost completely, and a proxy has numbers from it.
    plane.store.close()
    sqlite.restore(tmp_path / "b", tmp_path / "snapshot")
    other = Plane(tmp_path / "b")
    adoption = AdoptionHold(other.ledger, lambda event, **more: None)
    assert adoption.check_number(other.ledger.newest_event, other.now) and not adoption.check_number(
        seen + 50, other.now
    )
    assert other.ledger.events_after(0) == other.ledger.events_after(seen + 50) == []  # on hold
    assert_refused("held", other.begin, other.plan(boxes=5))
    assert_refused("conflict", adoption.keep_recorded, "00000000", other.now)
    adoption.keep_recorded(adoption.proposal().digest(), other.now)
    ((pos, line),) = other.ledger.events_after(seen + 50)
    assert pos == seen + 51 and json.loads(line)["hosts"]["complete"]
    assert len(json.loads(line)["hosts"]["members"]) == 6


def test_proxy_whose_events_were_deleted_gets_the_full_state(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    plane.store.commit(Change(forget_events=4))
    plane.ledger = Ledger(plane.store)
    ((pos, line),) = plane.ledger.events_after(2)
    assert pos == plane.ledger.pos and json.loads(line)["hosts"]["complete"]
    assert [p for p, _ in plane.ledger.events_after(4)] == list(range(5, plane.ledger.pos + 1))


# --- stores that are full, damaged or newer


def test_full_disk_is_reported_and_nothing_is_lost(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    pages = plane.store.db.execute("PRAGMA page_count").fetchone()[0]
    plane.store.db.execute(f"PRAGMA max_page_count = {pages}")
    before = plane.ledger.state()
    many = BASE + 'tenant "many" {\n  for_each = range(300)\n  zones = ["z${each.key}.example"]\n}\n'
    with pytest.raises(WriteFailed, match="full; nothing was changed"):
        plane.apply(many)
    plane.store.db.execute("PRAGMA max_page_count = 1000000")
    assert plane.ledger.state() == before or plane.ledger.open_apply is not None
    plane.restart()
    if plane.ledger.open_apply is not None:
        plane.finish(plane.ledger.resume(plane.ledger.open_apply.number, "one", plane.now))
    else:
        assert plane.ledger.state() == before
        plane.apply(many)
    assert not plane.plan(many)["steps"]


def test_damaged_store_is_never_used(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    plane.store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    good = (
        {r.id: r for r in plane.store.records()},
        plane.store.events(0, 999),
        plane.store.meta(),
        plane.store.version(1),
    )
    plane.store.close()
    path, whole = tmp_path / sqlite.STORE_FILE, (tmp_path / sqlite.STORE_FILE).read_bytes()
    sqlite.write_snapshot(tmp_path, tmp_path / "good")
    for broken in (
        whole[: len(whole) // 2],
        whole[:100],
        b"",
        b"not a database" * 500,
        whole[:8_192] + os.urandom(8_192) + whole[16_384:],
    ):
        path.write_bytes(broken)
        with pytest.raises(StoreDamaged, match="state restore"):
            SqliteStore(tmp_path)
        assert path.read_bytes() == broken  # it was not overwritten
    told = harmless = 0
    for at in range(70, len(whole), 239):  # one changed byte is detected, or it held no data
        path.write_bytes(whole[:at] + bytes([whole[at] ^ 0x55]) + whole[at + 1 :])
        for extra in ("-wal", "-shm"):
            path.with_name(path.name + extra).unlink(missing_ok=True)
        try:
            store = SqliteStore(tmp_path)
        except StoreDamaged:
            told += 1
            continue
        found = {r.id: r for r in store.records()}, store.events(0, 999), store.meta(), store.version(1)
        store.close()
        assert found == good
        harmless += 1
    assert told > 20 and harmless
    path.unlink()
    with pytest.raises(StoreDamaged, match="missing"):
        SqliteStore(tmp_path)
    with pytest.raises(StoreDamaged):
        sqlite.restore(tmp_path, tmp_path / "no such file")
    (tmp_path / "bad").write_bytes(whole[:5_000])
    with pytest.raises(StoreDamaged):
        sqlite.restore(tmp_path, tmp_path / "bad")
    sqlite.restore(tmp_path, tmp_path / "good")
    plane.open()
    assert not plane.plan()["steps"]
    with pytest.raises(StoreDamaged, match="in use"):
        SqliteStore(tmp_path)
    plane.store.close()


def test_older_schemas_are_migrated_and_newer_ones_refused(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    plane.store.close()
    db = sqlite3.connect(tmp_path / sqlite.STORE_FILE)
    db.execute("DROP INDEX open_applies")
    db.execute("UPDATE meta SET value = 1 WHERE name = 'schema'")
    sqlite._update_meta_checksum(db)
    db.commit()
    plane.open()
    assert plane.store.meta()["schema"] == sqlite.SCHEMA and not plane.plan()["steps"]
    assert (tmp_path / "state.schema-1.db").exists()
    plane.store.close()
    db.execute("UPDATE meta SET value = 99 WHERE name = 'schema'")
    db.commit()
    db.close()
    with pytest.raises(StoreDamaged, match="schema 99 and this program knows"):
        SqliteStore(tmp_path)


# --- real processes on loopback


def test_drained_boxes_get_no_requests_after_a_quarter_of_a_second(tmp_path: Path) -> None:
    found = asyncio.run(plan_apply.measure_drains(tmp_path / "rig", 3, 60, 30))
    assert found["drains"] >= 30 and found["drain_late"] == 0 and found["drain_served"] > 0.9


def test_dns_answers_name_no_drained_box_after_a_quarter_of_a_second(tmp_path: Path) -> None:
    async def scenario() -> None:
        host = "127.0.37.1"
        (port,) = free_ports(host, 1)
        operator = tmp_path / "operator.toml"
        operator.write_text(f'[dns]\nlisten = "{host}:{port}"\ntrusted = ["127.0.0.0/8"]\n')
        more = 'tenant "acme" {\n  zones = ["route.example"]\n}\n'
        async with Rig(tmp_path / "rig", host, proxies=1, operator=str(operator), settle_s=0.5) as rig:
            names = [str(i) for i in range(5)]
            await rig.apply(rig.make(names) + more)
            await rig.live()
            answers: list[tuple[float, int]] = []

            class Resolver(asyncio.DatagramProtocol):
                def datagram_received(self, data: bytes, peer: object) -> None:
                    found = [d for section in Reply(data).sections[:1] for kind, _, d in section if kind == SRV]
                    answers.extend((time.time(), int.from_bytes(d[4:6], "big")) for d in found)

            transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(Resolver, remote_addr=(host, port))

            async def ask() -> None:
                for i in itertools.count():
                    transport.sendto(query(f"_http._tcp.0.{i:016x}.art-pages.acme.route.example", SRV))
                    await asyncio.sleep(0.02)

            asking = asyncio.ensure_future(ask())
            await until(lambda: len({p for _, p in answers}) >= 4, "answers that name the boxes")
            for out in ("0", "1", "2"):
                await rig.apply(rig.make([n for n in names if n != out]) + more)
                seen = len(answers)
                await until(lambda seen=seen: len(answers) > seen + 10, "more answers")
                await rig.apply(rig.make(names) + more)
            asking.cancel()
            transport.close()
            db = sqlite3.connect(tmp_path / "rig" / sqlite.STORE_FILE)
            begun = dict(db.execute("SELECT apply || ' ' || id, at FROM steps WHERE pos > 0"))
            db.close()
            drained = [key for key in begun if " drain " in key]
            assert len(drained) == 3
            for key in drained:
                apply, _, name = key.split(" ")
                back = begun[f"{int(apply) + 1} add {name}"] / 1e3
                place = rig.ports[int(name[-1])]
                late = [at for at, p in answers if p == place and begun[key] / 1e3 + 0.25 < at < back]
                assert not late and any(p == place for _, p in answers)

    asyncio.run(scenario())


def test_feed_survives_slow_readers_bad_lines_and_a_restart(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, "127.0.33.1", proxies=1, silent_s=1) as rig:
            watcher = Watcher(rig.feed)
            host, _, port = rig.feed.rpartition(":")
            await rig.apply(rig.make(["0", "1"]))
            for junk in (b"tail x\n", b"tail 99999999999999999\n", b"hello\n", b"{\n", b"x" * 70_000, b"\xff\n"):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(junk)
                with suppress(ConnectionError):
                    assert await asyncio.wait_for(reader.read(), 20) == b""
                writer.close()
            deaf_reader, deaf = await asyncio.open_connection(host, int(port), limit=1_024)
            deaf.write(b"tail 0\n")  # and never reads
            await rig.kill_control()
            await rig.start_control()
            await rig.apply(rig.make(["0", "1"], tenants={f"t{i}": 1 for i in range(400)}))
            last = (await rig.get("/v1/state"))["pos"]
            await until(lambda: max(watcher.events, default=0) >= last, "all events")
            assert sorted(watcher.events) == list(range(1, last + 1)) and not watcher.twice
            await until(lambda: watcher.numbers, "the last number by itself")
            deaf.close()
            watcher.task.cancel()

    asyncio.run(scenario())


def test_apply_survives_the_restart_of_a_proxy(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, "127.0.34.1", proxies=2, cold_s=1.0, silent_s=2) as rig:
            await rig.apply(rig.make(["0", "1", "2"]))
            await rig.live()
            load = Load()
            running = asyncio.ensure_future(load.run(rig.addresses, plan_apply.mix(40), 5))
            plan = await rig.plan(rig.make({"0": True, "1": True, "2": True, "3": False, "4": False}))
            applying = asyncio.ensure_future(rig.carry_on(await rig.begin(plan)))
            process, _ = rig.installation.proxies["p-0"]
            process.kill()  # the installation restarts it from its configuration file
            assert (await applying)["state"] == "done"
            await rig.live()
            load.stopped = True
            await running
            seen = {p["name"]: p for p in (await rig.get("/v1/observed"))["proxies"]}
            assert all(p["state"] == "live" and p["behind"] == 0 for p in seen.values())
            assert load.answers["200"] > 40 and not load.wrong

    asyncio.run(scenario())


def test_command_line_reports_faults_with_exit_codes(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with Rig(tmp_path, "127.0.35.1", proxies=0, silent_s=1) as rig:

            async def run(*words: str) -> tuple[int, str, str]:
                process = await rig.command(*words)
                out, err = await process.communicate()
                assert b"Traceback" not in err
                return process.returncode, out.decode(), err.decode()

            async def alone(*words: str) -> tuple[int, str]:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "threadhill",
                    *words,
                    stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.STDOUT,
                )
                return (await process.wait()), (await process.stdout.read()).decode()

            file, out = tmp_path / "a.hcl", tmp_path / "saved.plan"
            file.write_text(rig.make(["0"]) + 'box "x" {\n  colour = 1\n}\n')
            code, _, err = await run("plan", str(file))
            assert code == 1 and f"{file}:" in err
            assert "box.x: colour: no such key" in err and "address: is missing" in err
            file.write_text(rig.make(["0"]))
            assert (await alone("validate", str(file)))[0] == 0
            assert (await alone("fmt", "--check", str(file)))[0] == 2 and (await alone("fmt", str(file)))[0] == 0
            assert (await alone("fmt", "--check", str(file)))[0] == 0
            code, told, _ = await run("plan", str(file), "--out", str(out), "--json", "--no-forecast")
            assert code == 2 and json.loads(told)["digest"] == json.loads(out.read_text())["digest"]
            mix = tmp_path / "mix"
            mix.write_text("rate = 20\nclasses = { nobody = 1 }\n")
            code, _, err = await run("plan", str(file), "--mix", str(mix))
            assert code == 1 and "classes: must be a map from some of clip-parts, art-pages" in err
            mix.write_text("rate = 20\nclasses = { clip-parts = 1 }\n")
            code, told, _ = await run("plan", str(file), "--mix", str(mix))
            assert code == 2 and "clip-parts" in told and "art-pages" not in told and "0.0 -> 100.0" in told
            assert (await run("apply", str(out), "--why", "first"))[0] == 0
            assert (await run("plan", str(file)))[0] == 0
            code, _, err = await run("apply", str(out))
            assert code == 4 and "plan again" in err
            out.write_text(out.read_text().replace("b-0", "b-1"))
            code, _, err = await run("apply", str(out))
            assert code == 4 and "digest" in err or code == 1 and "digest" in err
            code, told, _ = await run("history")
            assert code == 0 and "applied" in told and "first" in told
            assert "warm      box.b-0" in (await run("show"))[1] and "box.b-0" in (await run("show", "1"))[1]
            assert (await run("plan", "--to", "1"))[0] == 0 and (await run("show", "9"))[0] == 1
            code, told = await alone("plan", str(file), "--control", rig.api, "--token", "wrong" * 8)
            assert code == 1 and "unauthorized" in told
            for words in (
                ("control", "--data", str(tmp_path), "--token", "t" * 20),
                ("control", "--data", str(tmp_path / "new"), "--token", "short"),
                ("control", "--data", str(tmp_path / "new"), "--token", "t" * 20, "--api", "10.0.0.1:1"),
            ):
                code, told = await alone(*words)
                assert code == 1 and "Traceback" not in told and told.startswith("threadhill: ")

    asyncio.run(scenario())


def test_benchmark_smoke(tmp_path: Path) -> None:
    found = plan_apply.plan_size(tmp_path, 100, 10)
    assert found["plan_blocked"] == 0 and found["plan_steps"] > 110
    (tmp_path / "growth").mkdir()
    grown = asyncio.run(plan_apply.measure_growth(tmp_path / "growth", 2, 60, 2, 0.5))
    assert grown["state"] == "done" and grown["cold_worst"] < 2.5 and not grown["wrong"]


def test_tenants_reach_the_proxies_and_survive_their_restart(tmp_path: Path) -> None:
    async def scenario() -> None:
        from threadhill.standin.ask import Client

        async with Rig(tmp_path, "127.0.36.1", proxies=1) as rig:
            await rig.apply(rig.make(["0", "1"], tenants={"a": 0.01}))
            await rig.live()

            async def words(name: str) -> list[str]:
                one = await Client.connect(*rig.addresses[0])
                found = [(await one.ask("art-pages", "7f3a9c21e0b4d655", acct=name))[0] for _ in range(2)]
                one.close()
                return found

            async def words_once_up() -> list[list[str]]:
                """Of an unknown tenant, and of one with a quota. A proxy reports before it listens."""
                end, found = time.monotonic() + 40, []
                while not found:
                    assert time.monotonic() < end
                    with suppress(OSError):
                        found = [await words("nobody"), await words("t-a")]
                    await asyncio.sleep(0.1)
                return found

            assert await words_once_up() == [["500", "500"], ["200", "503"]]
            process, _ = rig.installation.proxies["p-0"]
            process.kill()
            await process.wait()
            await until(lambda: rig.installation.proxies["p-0"][0] is not process, "a new process")
            assert await words_once_up() == [["500", "500"], ["200", "503"]]

    asyncio.run(scenario())


def test_unreachable_control_plane_raises_unreachable() -> None:
    with pytest.raises(client.Unreachable):
        client.ApiClient("127.0.0.1:9", "t")("GET", "/v1/state")


# --- a control plane that lost its state


@pytest.mark.parametrize("loss", ["older", "empty", "damaged"])
def test_control_plane_with_lost_state_publishes_nothing_until_it_adopts_what_proxies_hold(
    tmp_path: Path, loss: str
) -> None:
    """Since the snapshot one box was drained and one added. The store is then replaced by the snapshot, emptied or
    damaged. The proxies keep their state until an operator adopts the proposal; event numbers then continue after
    theirs."""

    async def scenario() -> None:
        operator = tmp_path / "operator.toml"
        operator.write_text("[recovery]\ntrust_ms = 3000\n")
        data = tmp_path / "rig"
        async with Rig(data, "127.0.34.1", proxies=3, operator=str(operator), settle_s=0.2) as rig:
            await rig.apply(rig.make(["0", "1", "2"]))
            await rig.live()
            await asyncio.to_thread(sqlite.take_periodic_snapshot, data, 1_000)
            await rig.apply(rig.make(["0", "1", "3"]))
            await rig.live()
            rig.alone()
            seen = (await rig.get("/v1/state"))["pos"]
            records = (await rig.get("/v1/state"))["records"]
            await rig.kill_control()
            for name in (sqlite.STORE_FILE, sqlite.STORE_FILE + "-wal", sqlite.STORE_FILE + "-shm"):
                (data / name).unlink(missing_ok=True)
            if loss == "older":
                (data / sqlite.STORE_FILE).write_bytes((data / "snapshots" / "state-000000001000.db").read_bytes())
            elif loss == "empty":
                (data / sqlite.MARKER_FILE).unlink()
            else:
                (data / sqlite.STORE_FILE).write_bytes(b"SQLite format 3" + b"\x00" * 5_000)
            files = {p.name: p.read_bytes() for p in (data / "proxies").iterdir()}
            fleet = rig.installation.fleet  # start the drained box again: it would answer
            gone = fleet.servers.get("b-2") or await fleet.add("b-2", "box", (rig.host, rig.ports[2]))
            load, since = Load(), time.time()
            going = asyncio.ensure_future(load.run(rig.addresses, plan_apply.mix(60), 5))
            await rig.start_control(*(["--adopt"] if loss == "damaged" else []))

            async def told() -> dict:
                status = await rig.get("/v1/recovery")
                return status if status["held"] and len(status["proposal"]["proxies"]) == 3 else {}

            end = time.monotonic() + 20
            while not (status := await told()):
                assert time.monotonic() < end, await rig.get("/v1/recovery")
                await asyncio.sleep(0.1)
            await asyncio.sleep(2)
            assert {p.name: p.read_bytes() for p in (data / "proxies").iterdir()} == files
            findings = {f["id"]: f for f in status["proposal"]["findings"]}
            assert {n for n, f in findings.items() if f["state"] == "certain" and n.startswith("box.")} == {
                "box.b-0",
                "box.b-1",
                "box.b-3",
            }
            assert findings.get("box.b-2", {}).get("state") == (None if loss == "empty" else "missing")
            assert status["proposal"]["pos"] == seen + 1
            shown = await rig.command("recovery", "adopt")
            out, _ = await shown.communicate()
            assert shown.returncode == 2 and (b"6 certain" in out or loss != "empty"), out
            taken = await rig.command("recovery", "adopt", "--digest", status["proposal"]["digest"])
            assert await taken.wait() == 0
            state = await rig.get("/v1/state")
            assert state["pos"] == seen + 1
            boxes = {r["name"]: r["attrs"] for r in records if r["kind"] == "box"}
            assert {r["name"]: r["attrs"] for r in state["records"] if r["kind"] == "box"} == boxes or loss == "empty"
            await asyncio.sleep(1)
            load.stopped = True
            await going
            assert not [a for a in gone.arrivals if a.at > since]
            # While no control plane runs, after two seconds only new copies are served, and some fills are refused.
            assert load.answers["200"] >= 0.85 * load.answers.total() and not load.wrong, load.answers

    asyncio.run(scenario())


def test_snapshots_are_rotated_by_age_and_used_for_recovery(tmp_path: Path) -> None:
    plane = Plane(tmp_path)
    plane.apply()
    for now in range(10_000, 10_015):
        path, _ = sqlite.take_periodic_snapshot(tmp_path, now)
    assert len(list((tmp_path / "snapshots").iterdir())) == 10 and path.name == "state-000000010014.db"
    plane.store.close()
    (tmp_path / sqlite.STORE_FILE).write_bytes(b"")
    path.write_bytes(path.read_bytes()[:-4_096])
    said: list[str] = []
    store = sqlite.open_or_recover(tmp_path, lambda event, **more: said.append(event))
    assert said == ["store lost", "snapshot skipped", "snapshot restored"]
    assert len(list(store.records())) == len(plane.ledger.fleet.records)
