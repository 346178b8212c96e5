"""Copies from before a purge that still reach the proxy, as from servers that let a request join a running fill.

Each answer tells when its copy was made, and is checked against the purges known when it was requested. Purges of one
key were merged into one record, so that a second one, received while an answer was pending, hid the first; and a record
was dropped once servers had had the time to drop their copies, though a fill that began earlier may last longer. The
logs from pre-production have no line `gave a copy of ... which was purged: it is not passed on`: any old copy served
there had passed this check, or its purge was not known (`test_purge_numbers`).
"""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.faults.test_purges import purge
from tests.faults.world import PURGE_SLACK_MS, FaultWorld, Holding, hold, run_scenario, unix_ms
from tests.harness import OBJECT, SETTINGS, Box, body_of, until
from threadhill.decision.freshness import Freshness, PurgeRecord

GROUP, OTHER = 17, "00000000000000ff"
SHORT_PURGE_TIME = {"extra": SETTINGS["extra"] | {"purge-takes": 1_000_000}}
SECOND = 1_000_000


class RunningFill:
    """Server behaviour: the first request for `OBJECT` joins a fill that began long ago, and is answered when the test
    calls `answer`. All other requests get a new copy."""

    def __init__(self, w: FaultWorld) -> None:
        self.world = w
        self.joined_request: tuple[Box, dict[str, str]] | None = None
        for box in w.boxes:
            box.behave = lambda ask, box=box: self._asked(box, ask)

    def _asked(self, box: Box, ask: dict[str, str]) -> tuple[str, str, bytes] | None:
        if self.joined_request is None and ask["thing"] == OBJECT:
            self.joined_request = box, ask
            return None
        return Box.default_answer(ask)

    async def answer(self, born_ms: int) -> None:
        """Finish the fill with a copy that was made at this time."""
        box, ask = self.joined_request
        body = b"old" + body_of(ask)
        for writer in box.writers:
            writer.write(f"{ask['id']} ok ver=old,born={born_ms} {len(body)}\r\n".encode() + body + b"\r\n")
            await writer.drain()


async def wait_until_purged(stamp: int) -> None:
    await until(lambda: unix_ms() > stamp + PURGE_SLACK_MS, "the purge to bind")


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize(
    "first, second",
    [({"name": OBJECT}, {"name": OBJECT}), ({"set": GROUP}, {"set": GROUP}), ({"name": OBJECT}, {"set": GROUP})],
)
def test_a_second_purge_while_an_answer_is_pending_does_not_hide_the_first(
    tmp_path: Path, first: dict[str, object], second: dict[str, object], restarted: bool
) -> None:
    async def scene(w: FaultWorld) -> None:
        fill = RunningFill(w)
        born = unix_ms() - 400
        stamp = await purge(w, **first)
        if restarted:
            w.configure(known={"pos": len(w.journal.events), "entries": w.journal.events})
            await w.restart()
        await wait_until_purged(stamp)
        client = await w.client()
        tag = client.ask(shard=GROUP)
        await until(lambda: fill.joined_request, "the request at a server")
        w.journal.add({"expire": second | {"stamp": unix_ms()}})
        await until(lambda: w.counter("purge", "object") + w.counter("purge", "group") == 2, "the second purge")
        await fill.answer(born)
        word, _, body = await client.answer(tag)
        assert word == "200" and not body.startswith(b"old")

    run_scenario(tmp_path, scene)


def test_an_answer_requested_before_a_purge_is_still_forwarded(tmp_path: Path) -> None:
    async def scene(w: FaultWorld) -> None:
        fill = RunningFill(w)
        client = await w.client()
        tag = client.ask()
        await until(lambda: fill.joined_request, "the request at a server")
        await purge(w)
        await fill.answer(unix_ms() - 4_000)
        assert (await client.answer(tag))[2].startswith(b"old")

    run_scenario(tmp_path, scene)


def test_a_purge_is_not_forgotten_while_an_answer_is_pending(tmp_path: Path) -> None:
    async def scene(w: FaultWorld) -> None:
        fill = RunningFill(w)
        born = unix_ms() - 400
        stamp = await purge(w)
        await wait_until_purged(stamp)
        client = await w.client()
        tag = client.ask("clip-parts", budget=5000)
        await until(lambda: fill.joined_request, "the request at a server")
        await until(lambda: unix_ms() > stamp + 1_200, "the time in which servers drop copies to be over")
        await purge(w, name=OTHER)
        await fill.answer(born)
        word, _, body = await client.answer(tag)
        assert word == "200" and not body.startswith(b"old")

    run_scenario(tmp_path, scene, settings=SHORT_PURGE_TIME)


def test_a_copy_kept_longer_than_servers_should_after_a_purge_is_not_forwarded(tmp_path: Path) -> None:
    async def scene(w: FaultWorld) -> None:
        hold(w.caches, unix_ms() - 400, obeys=False)
        stamp = await purge(w)
        await until(lambda: unix_ms() > stamp + 1_200, "the time in which servers drop copies to be over")
        await purge(w, name=OTHER)
        client = await w.client()
        answers = [await client.get(n=n) for n in range(4)]
        assert not any(body.startswith(b"old") for _, _, body in answers)

    run_scenario(tmp_path, scene, settings=SHORT_PURGE_TIME)


@pytest.mark.parametrize("born", ["", ",born=", ",born=-5", ",born=1e12", ",born=soon", ",born=3", f",born={10**14}"])
def test_a_copy_without_a_valid_creation_time_is_not_served_after_a_purge(tmp_path: Path, born: str) -> None:
    async def scene(w: FaultWorld) -> None:
        for box in w.caches:
            box.behave = lambda ask: ("ok", f"ver=old{born}", b"old" + body_of(ask))
        stamp = await purge(w)
        await wait_until_purged(stamp)
        client = await w.client()
        word, _, body = await client.get()
        assert not body.startswith(b"old")
        assert (await client.get(obj=OTHER, shard=3))[2].startswith(b"old")  # this object was not purged

    run_scenario(tmp_path, scene)


def test_a_copy_made_in_the_millisecond_of_the_purge_may_be_from_before_it(tmp_path: Path) -> None:
    async def scene(w: FaultWorld) -> None:
        stamp = await purge(w)
        hold(w.caches, stamp, obeys=False)
        await wait_until_purged(stamp)
        client = await w.client()
        assert not (await client.get())[2].startswith(b"old")

    run_scenario(tmp_path, scene)


def test_a_request_whose_answer_was_rejected_joins_no_further_fill(tmp_path: Path) -> None:
    """Otherwise it would get the same copy again, until its attempts are used up."""

    async def scene(w: FaultWorld) -> None:
        old = Holding(unix_ms() - 400, obeys=False)
        for box in w.boxes:
            box.behave = lambda ask: old(ask) if "collapse" in ask.get("mode", "") else Box.default_answer(ask)
        stamp = await purge(w)
        await wait_until_purged(stamp)
        client = await w.client()
        word, _, body = await client.get()
        assert word == "200" and not body.startswith(b"old")
        assert "collapse" in w.asked()[0]["mode"] and "collapse" not in w.asked()[-1].get("mode", "")

    run_scenario(tmp_path, scene)


def test_a_purge_that_waited_while_the_process_was_stopped_counts_from_before(tmp_path: Path) -> None:
    """An attempt decided before a delay of the process and sent after it may have left after the purge had to be in
    effect: the purge counts as known for as long as it may have waited unread."""
    freshness = Freshness(6 * SECOND)
    now = 100 * SECOND
    freshness.add_purge(OBJECT, PurgeRecord(now, now - SECOND, 50 * SECOND))
    assert freshness.is_purged(OBJECT, GROUP, now - SECOND // 2, 49 * SECOND, now)
    assert not freshness.is_purged(OBJECT, GROUP, now - 2 * SECOND, 49 * SECOND, now)
