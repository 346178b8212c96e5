"""Connections to cache servers where the settings price them: the real program, against stand-ins."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.test_proxy import play
from tests.world import World, until


@pytest.mark.parametrize(("price", "most"), [(0.08, 1), (0.0, 9)])
def test_a_connection_is_shared_and_kept_as_far_as_its_price_says(tmp_path: Path, price: float, most: int) -> None:
    """Guards against a fleet that opens a connection for each attempt beside another and leaves all of a server's
    after one that ran out of time: from one proxy it is nothing, from 40 it was one in four requests."""

    async def scene(w: World) -> None:
        box = w.caches[0]
        box.behave = lambda ask: None
        client = await w.client()
        for n in range(2):  # each runs out of time unheard
            tags = [client.ask(n=n, obj=f"{i:016x}", budget=300) for i in range(4)]
            for tag in tags:
                await client.answer(tag)
        box.behave = box.serve_it
        assert (await client.get(n=9))[0] == "200"
        assert await until(lambda: len(box.asked) == 9)
        assert (box.accepted == 1) if most == 1 else (4 < box.accepted <= most)

    play(tmp_path, scene, caches=1, settings={"costs": {"handshake": price}})


def test_a_connection_that_stays_silent_is_left_in_the_end(tmp_path: Path) -> None:
    """Guards against a price that keeps a dead connection for good: a third attempt unheard ends its use."""

    async def scene(w: World) -> None:
        box = w.caches[0]
        box.behave = lambda ask: None
        client = await w.client()
        for n in range(3):
            assert (await client.get(n=n, budget=200))[0] == "503"
        box.behave = box.serve_it
        assert (await client.get(n=9))[0] == "200"
        assert box.accepted == 2

    play(tmp_path, scene, caches=1, settings={"costs": {"handshake": 0.08}})
