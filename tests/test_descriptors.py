"""Descriptors of the real program: more servers than it may hold connections, under the limit of the process."""

from __future__ import annotations

import asyncio
import os
import resource
from pathlib import Path

from tests.harness import Client, ProxyHarness, until
from tests.test_proxy import run_scenario

SERVERS = 120
BUDGET_MS = 3_000  # the class's time: a request without an answer after it is lost


def limit_descriptors(harness: ProxyHarness, count: int) -> None:
    """Let the process hold no more than this many descriptors, as the platform does."""
    resource.prlimit(harness.process.pid, resource.RLIMIT_NOFILE, (count, count))


def server_connections(harness: ProxyHarness) -> int:
    return sum(len(box.writers) for box in harness.boxes)


async def ask_for_objects(client: Client, count: int) -> list[str]:
    """Ask for that many objects, a few at a time; returns the words of the answers."""
    words = []
    for first in range(0, count, 8):
        tags = [client.ask(obj=f"{i:016x}", budget=BUDGET_MS) for i in range(first, first + 8)]
        words += [(await client.answer(tag))[0] for tag in tags]
    return words


async def come_and_ask(harness: ProxyHarness, clients: int) -> list[str]:
    """New clients ask for one object each; returns the words of the answers, which must come in time."""

    async def ask(i: int) -> str:
        client = await harness.client()
        tag = client.ask(obj=f"{i:016x}", budget=BUDGET_MS)
        async with asyncio.timeout(BUDGET_MS / 1e3 + 0.55):  # the protocol's slack for late answers, and of the sockets
            return (await client.answer(tag))[0]

    return list(await asyncio.gather(*(ask(i) for i in range(clients))))


def test_more_servers_than_descriptors_leave_room_for_clients(tmp_path: Path) -> None:
    """Guards against a connection to every server: with 304 of them idle connections held all of 256 descriptors, and
    no client was accepted until some had been idle for half a minute."""
    sockets = 160

    async def scene(w: ProxyHarness) -> None:
        limit_descriptors(w, sockets)
        client = await w.client()
        assert set(await ask_for_objects(client, 400)) == {"200"}
        assert sum(box.accepted > 0 for box in w.caches) > sockets // 2  # more servers were used than there is room for
        assert set(await come_and_ask(w, sockets // 3)) == {"200"}
        assert server_connections(w) <= sockets // 2
        assert len(os.listdir(f"/proc/{w.process.pid}/fd")) <= sockets
        assert "nobody taken for a while" not in w.log

    run_scenario(tmp_path, scene, caches=SERVERS, sockets=sockets)


def test_a_process_that_may_hold_less_than_it_was_told_closes_idle_connections(tmp_path: Path) -> None:
    """Guards against waiting until idle connections time out: each accept that fails makes room for the next one."""

    async def scene(w: ProxyHarness) -> None:
        client = await w.client()
        assert set(await ask_for_objects(client, 400)) == {"200"}
        held = len(os.listdir(f"/proc/{w.process.pid}/fd"))
        limit_descriptors(w, held)  # the configuration names 1,024
        assert set(await come_and_ask(w, 30)) == {"200"}
        await until(lambda: "idle connections to servers" in w.log, "the log of what is held")

    run_scenario(tmp_path, scene, caches=SERVERS)
