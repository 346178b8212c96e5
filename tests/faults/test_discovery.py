"""Discovery that is silent, lags behind, has gaps or sends invalid values, also while the clock is stepped."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import pytest

from tests.faults.world import FaultWorld, hold, run_scenario, unix_ms
from tests.harness import OBJECT, SETTINGS, until

DELIVERY_TIME_MS = 7_000  # after which the protocol counts any event of discovery as delivered


@pytest.mark.parametrize("stamp", [-1, 0, 2**63, 10**30, 1.5, "soon", None, True, 999])
def test_a_purge_with_an_invalid_stamp_counts_as_issued_now_and_nothing_else_is_lost(
    tmp_path: Path, stamp: Any
) -> None:
    async def scene(w: FaultWorld) -> None:
        hold(w.boxes, unix_ms() - 400)
        w.journal.add({"expire": {"name": OBJECT, "stamp": stamp}})
        w.journal.hosts(w.caches[0].member("DRAINING"))
        await w.wait_for_events()
        await w.logged("the stamp of the purge of")
        client = await w.client()
        answers = [await client.get(n=n) for n in range(4)]
        assert not any(body.startswith(b"old") for _, _, body in answers)
        assert not w.caches[0].asked and "200" in [word for word, _, _ in answers]
        assert len(w.journal.tails) == 1  # it did not reconnect

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("start", [-5, 2**63, "soon", 1.5, 3])
def test_a_server_with_an_invalid_start_time_counts_as_just_started(tmp_path: Path, start: Any) -> None:
    async def scene(w: FaultWorld) -> None:
        w.caches[1].up_since = start
        w.journal.hosts(w.caches[1].member())
        await w.wait_for_events()
        await w.logged("up_since_ms is not a valid time")
        client = await w.client()
        for n in range(40):
            await client.get(obj=f"{n:016x}")
        assert len(w.caches[1].asked) < len(w.caches[0].asked) / 2  # it is warmed up

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("step", [-3600.0, 3600.0])
def test_a_server_that_warms_up_counts_as_cold_with_the_clock_stepped(tmp_path: Path, step: float) -> None:
    """Guards against a wall clock that is ahead: the server would be treated as up for long."""

    async def scene(w: FaultWorld) -> None:
        w.switches.step_wall(step)
        w.caches[1].up_since = unix_ms()
        w.journal.hosts(w.caches[1].member())
        await w.wait_for_events()
        client = await w.client()
        for n in range(40):
            await client.get(obj=f"{n:016x}")
        assert w.switches.wall_readings and len(w.caches[1].asked) < len(w.caches[0].asked) / 2

    run_scenario(tmp_path, scene)


def test_purges_missed_while_discovery_is_down_take_effect_once_they_count_as_delivered(tmp_path: Path) -> None:
    """Even if servers keep old copies for longer. When discovery is back, copies of any age may be served."""

    async def scene(w: FaultWorld) -> None:
        born = unix_ms() - 400
        hold(w.boxes, born)
        client = await w.client()
        assert (await client.get())[2].startswith(b"old")
        w.journal.server.close()  # unreachable: sending a request to a service would count as delivery
        w.journal.reset()
        await w.logged("purges may be missing")
        assert unix_ms() - born >= DELIVERY_TIME_MS
        answers = [await client.get(n=n) for n in range(4)]
        assert not any(body.startswith(b"old") for _, _, body in answers)
        assert all(0 < int(ask["oldest"]) <= DELIVERY_TIME_MS for ask in w.asked()[-4:])
        await w.journal.start(w.journal.port)
        await w.logged("no purge is missing")
        assert (await client.get(n=9))[2].startswith(b"old")

    run_scenario(tmp_path, scene, settings={"extra": SETTINGS["extra"] | {"purge-takes": 60_000_000}})


def test_after_a_gap_in_the_numbers_no_older_copy_is_served(tmp_path: Path) -> None:
    """The service does not send the missing events when asked again: any object may have been purged."""

    async def scene(w: FaultWorld) -> None:
        hold(w.boxes, unix_ms() - 400)
        w.journal.events.append({"pos": 5, "expire": {"set": 99, "stamp": unix_ms()}})
        await w.logged("events 2 to 4 are not available")
        client = await w.client()
        answers = [await client.get(n=n) for n in range(4)]
        assert not any(body.startswith(b"old") for _, _, body in answers)
        assert "200" in [word for word, _, _ in answers]

    run_scenario(tmp_path, scene)


def test_the_events_of_a_configuration_are_applied_whatever_their_order(tmp_path: Path) -> None:
    async def scene(w: FaultWorld) -> None:
        hold(w.boxes, unix_ms() - 400)
        w.journal.add({"expire": {"name": OBJECT, "stamp": unix_ms()}})
        w.journal.add({"expire": {"set": 99, "stamp": unix_ms()}})
        w.configure(known={"pos": 3, "entries": w.journal.events[::-1]})
        await w.restart()
        client = await w.client()
        answers = [await client.get(n=n) for n in range(4)]
        assert not any(body.startswith(b"old") for _, _, body in answers)

    run_scenario(tmp_path, scene)


def test_a_step_of_the_wall_clock_is_logged_and_counted(tmp_path: Path) -> None:
    async def scene(w: FaultWorld) -> None:
        w.switches.step_wall(-7.0)
        await w.logged("the wall clock was stepped by -7.")
        await until(lambda: w.counter("clock", "stepped") == 1, "the step to be counted")

    run_scenario(tmp_path, scene)


def test_deadlines_do_not_depend_on_the_wall_clock(tmp_path: Path) -> None:
    async def scene(w: FaultWorld) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None
        client = await w.client()
        for step in (3600.0, -3600.0):
            began = time.monotonic()
            tag = client.ask(budget=600)
            w.switches.step_wall(step)
            assert (await client.answer(tag))[0] == "503"
            assert time.monotonic() - began > 0.3

    run_scenario(tmp_path, scene)
