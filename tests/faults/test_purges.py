"""No copy older than a received purge is served, whatever the wall clock of the proxy says."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.faults.world import PURGE_SLACK_MS, FaultWorld, hold, run_scenario, unix_ms
from tests.harness import OBJECT, until
from tests.raw_client import paused

STEPS = [-3600.0, -5.0, -0.6, 0.0, 0.6, 5.0, 3600.0]  # seconds by which the wall clock is off


async def purge(w: FaultWorld, age_ms: int = 0, **what: object) -> int:
    """Purge the object; returns the stamp once the proxy has applied it."""
    stamp = unix_ms() - age_ms
    w.journal.add({"expire": (what or {"name": OBJECT}) | {"stamp": stamp}})
    await w.wait_for_events()
    return stamp


async def nothing_old_is_served(w: FaultWorld, stamp: int) -> None:
    """Once the purge must be in effect, no copy from before it is served, and the object is still served."""
    await until(lambda: unix_ms() > stamp + PURGE_SLACK_MS, "the purge to bind")
    client = await w.client()
    answers = [await client.get(n=n) for n in range(6)]
    assert [body for word, _, body in answers if body.startswith(b"old")] == []
    assert "200" in [word for word, _, _ in answers]


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("moment", ["before the start", "between kill and restart", "while it runs"])
def test_no_copy_older_than_a_purge_is_served_with_the_clock_stepped(tmp_path: Path, moment: str, step: float) -> None:
    """Guards against computing a purge's age from a wall clock that is ahead: `oldest` would admit copies from before
    it, or not be sent at all."""

    async def scene(w: FaultWorld) -> None:
        hold(w.boxes, unix_ms() - 400)
        if moment == "while it runs":
            w.switches.step_wall(step)
        elif moment == "between kill and restart":
            w.switches.step_wall(step)
            await w.restart()
        stamp = await purge(w)
        assert w.switches.wall_readings
        await nothing_old_is_served(w, stamp)

    run_scenario(tmp_path, scene, step=step if moment == "before the start" else 0.0)


@pytest.mark.parametrize("step", STEPS)
def test_purges_in_the_configuration_of_a_restart_hold_with_the_clock_stepped(tmp_path: Path, step: float) -> None:
    """The configuration has the purges of the last seconds, each with its own age, the newest last."""

    async def scene(w: FaultWorld) -> None:
        hold(w.boxes, unix_ms() - 400)
        stamp = await purge(w)
        await purge(w, set=99)
        w.configure(known={"pos": len(w.journal.events), "entries": w.journal.events})
        w.switches.step_wall(step)
        await w.restart()
        await nothing_old_is_served(w, stamp)

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("step", [-5.0, 5.0])
def test_a_clock_that_steps_between_purge_and_request_changes_nothing(tmp_path: Path, step: float) -> None:
    async def scene(w: FaultWorld) -> None:
        hold(w.boxes, unix_ms() - 400)
        stamp = await purge(w)
        w.switches.step_wall(step)
        await nothing_old_is_served(w, stamp)

    run_scenario(tmp_path, scene)


def test_a_purged_copy_that_a_server_still_sends_is_not_forwarded(tmp_path: Path) -> None:
    """The second check: each answer tells when its copy was made, and copies older than a purge known when they were
    requested are rejected."""

    async def scene(w: FaultWorld) -> None:
        hold(w.caches, unix_ms() - 400, obeys=False)
        stamp = await purge(w)
        await until(lambda: unix_ms() > stamp + PURGE_SLACK_MS, "the purge to bind")
        client = await w.client()
        word, _, body = await client.get()
        assert not body.startswith(b"old") and word in ("200", "503")
        await until(lambda: w.counter("purged_copy", "turned down"), "it to be counted")

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("what", ["purge", "drain"])
def test_events_received_while_the_process_was_stopped_are_applied_before_requests(tmp_path: Path, what: str) -> None:
    """After a CPU shortage or a pause, requests and journal events arrive all at once. Whichever socket is reported
    first, requests must be decided with the events applied; and the time they waited is not granted to the server."""

    async def scene(w: FaultWorld) -> None:
        hold(w.boxes, unix_ms() - 400)
        client = await w.client()
        assert (await client.get(obj="00000000000000ff"))[0] == "200"
        for box in w.boxes:
            box.asked.clear()
        w.journal.silent = True  # so that the requests arrive first
        await asyncio.sleep(0.6)
        with paused(w):
            tags = [client.ask(n=n) for n in range(8)] + [client.ask("license-buy", token="5c0f6e1a")]
            await client.writer.drain()
            await asyncio.sleep(0.1)  # they are in the socket before the events
            told = unix_ms()
            if what == "purge":
                w.journal.add({"expire": {"name": OBJECT, "stamp": told}})
            else:
                w.journal.hosts(w.caches[0].member("DRAINING"))
            w.journal.silent = False
            await until(lambda: unix_ms() > told + PURGE_SLACK_MS + 200, "it to bind")
        answers = [await client.answer(tag) for tag in tags]
        assert "200" in [word for word, _, _ in answers]
        if what == "purge":
            assert not any(body.startswith(b"old") for _, _, body in answers)
        else:
            assert not w.caches[0].asked
        assert all(int(ask["max"]) <= 3_000 - PURGE_SLACK_MS for ask in w.asked())

    run_scenario(tmp_path, scene)
