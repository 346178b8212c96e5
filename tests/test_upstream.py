"""Connections to cache servers where the settings price them: the real program, against stand-ins."""

from __future__ import annotations

import asyncio
from pathlib import Path
from types import SimpleNamespace

import pytest

from tests.test_deployments import OTHER
from tests.test_proxy import run_scenario
from tests.world import SETTINGS, ProxyHarness, until
from threadhill.core.clock import Clock
from threadhill.core.deadlines import Deadlines
from threadhill.core.ports import AttemptResult, AttemptSpec, ClientRequest
from threadhill.decision import interface as api
from threadhill.net.upstream import CacheServers, Limits
from threadhill.stats import Stats

# A proxy with one cache and no way past it: it keeps asking that, however silent it is.
ONE = {"extra": SETTINGS["extra"] | {"bypass-allowed": False}}


@pytest.mark.parametrize(("price", "most"), [(0.08, 1), (0.0, 9)])
def test_a_connection_is_shared_and_kept_as_far_as_its_price_says(tmp_path: Path, price: float, most: int) -> None:
    """Guards against a fleet that opens a connection for each attempt beside another and leaves all of a server's
    after one that ran out of time: from one proxy it is nothing, from 40 it was one in four requests."""

    async def scene(w: ProxyHarness) -> None:
        box = w.caches[0]
        box.behave = lambda ask: None
        client = await w.client()
        for n in range(2):  # each runs out of time unheard
            tags = [client.ask(n=n, obj=f"{i:016x}", budget=300) for i in range(4)]
            for tag in tags:
                await client.answer(tag)
        box.behave = box.default_answer
        assert (await client.get(n=9))[0] == "200"
        assert await until(lambda: len(box.asked) == 9)
        assert (box.accepted == 1) if most == 1 else (4 < box.accepted <= most)

    run_scenario(tmp_path, scene, caches=1, settings=ONE | {"costs": {"handshake": price}})


def test_a_connection_that_stays_silent_is_left_in_the_end(tmp_path: Path) -> None:
    """Guards against a price that keeps a dead connection for good: a third attempt unheard ends its use."""

    async def scene(w: ProxyHarness) -> None:
        box = w.caches[0]
        box.behave = lambda ask: None
        client = await w.client()
        for n in range(3):
            assert (await client.get(n=n, budget=200))[0] == "503"
        box.behave = box.default_answer
        assert (await client.get(n=9))[0] == "200"
        assert box.accepted == 2

    run_scenario(tmp_path, scene, caches=1, settings=ONE | {"costs": {"handshake": 0.08}})


def test_a_second_attempt_at_the_same_server_waits_for_nobody(tmp_path: Path) -> None:
    """Guards against a queue that stands still: an id goes on a connection once, and where that is the only one, the
    next attempt under it, with all that came after, waited until all else there was over."""

    async def scene(w: ProxyHarness) -> None:
        box, refused = w.caches[0], []

        def behave(ask: dict[str, str]) -> tuple[str, str, bytes] | None:
            if ask["nth"] == "1":
                return None
            if not refused:
                refused.append(ask["id"])
                return "refused", "-", b""
            return box.default_answer(ask)

        box.behave = behave
        client = await w.client()
        slow = client.ask(n=1)
        await until(lambda: len(box.asked) == 1)
        assert (await client.get(n=0))[0] == "200"
        assert slow not in client.answers

    run_scenario(tmp_path, scene, caches=1, settings=ONE | {"costs": {"handshake": 0.08}})


def test_a_purge_gives_back_what_waits_for_a_connection() -> None:
    """Guards against an attempt that was decided on before the purge and is written long after it: it names no age."""
    ends: list[tuple[int, AttemptResult]] = []
    clock = Clock()
    engine = SimpleNamespace(
        recovery_gate=None,
        clock=clock,
        stats=Stats(),
        deadlines=Deadlines(lambda when: None, lambda error: None),
        attempt_ended=lambda attempt, end: ends.append((attempt, end)),
    )
    caches = CacheServers(engine, Limits(), lambda text: None)
    caches.dial = lambda pool: setattr(pool, "dialling", pool.dialling + 1)  # it never comes up
    caches.server_ready(1, "s-1", "127.0.0.1", 1)
    for attempt, (object, group) in enumerate([("aa", 1), ("bb", 1), ("cc", 2), ("dd", 3)]):
        ask = ClientRequest(
            class_name="art-pages", request_id=f"{attempt:016x}", object=object, group=group, time_left=1_000_000
        )
        caches.send(attempt, AttemptSpec(ask, 1, 1, 1_000_000, 0, api.FillMode.PLAIN, 1))
    caches.purge_received("aa", None)
    caches.purge_received(None, 2)
    assert ends == [(0, AttemptResult(api.Outcome.UNSENT)), (2, AttemptResult(api.Outcome.UNSENT))]


def test_what_must_not_run_twice_keeps_off_connections_that_are_cut_when_idle(tmp_path: Path) -> None:
    """Seen with peers that cut a connection as the next request came after a tenth of a second: one order in six was
    lost so, as an order goes to the origin alone, whose connections are idle in between."""

    async def scene(w: ProxyHarness) -> None:
        seen: list[int] = []

        def behave(ask: dict[str, str]) -> tuple[str, str, bytes] | None:
            seen.append(w.origin.accepted)
            if seen[:-1].count(w.origin.accepted):  # a connection that has carried one before
                w.origin.reset()
                return None
            return w.origin.default_answer(ask)

        w.origin.behave = behave
        client = await w.client()
        words = []
        for _ in range(6):
            words.append((await client.get("record-request", budget=3000))[0])
            await asyncio.sleep(0.1)  # its connection is idle
        assert words == ["200", "500", *["200"] * 4]
        assert w.origin.accepted == 5 and len(seen) == 6  # none of them was asked twice

    run_scenario(tmp_path, scene, settings=OTHER)


@pytest.mark.parametrize(("peer", "kept"), [(30_000_000, 27_500_000), (4_000_000, 2_800_000), (1_000_000, 700_000)])
def test_an_idle_connection_is_kept_until_shortly_before_its_peer_closes_it(peer: int, kept: int) -> None:
    """Each one that is closed early is dialled anew: with 200 proxies 0.17 connections a request in place of 0.10."""
    caches = CacheServers.__new__(CacheServers)
    caches.set_limits(Limits(idle=peer))
    assert caches.idle_time == kept
