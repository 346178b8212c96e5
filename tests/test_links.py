"""Links that fail: relays by themselves, then 24 proxies whose links drop, stall, reset and refuse under load."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.world import ROOT, until
from threadhill.standin.links import PASS, Change, Relay, Way, play
from threadhill.standin.swarm import Crowd, JournalService, Swarm, settings_for

PROXIES, CACHES, RATE = 24, 8, 120.0


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1 << 16):
        writer.write(data)
    writer.close()


def through(scene: Callable[[Relay], Awaitable[None]]) -> None:
    """A relay before a server that sends back what it gets."""

    async def run() -> None:
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        relay = Relay(lambda: server.sockets[0].getsockname()[:2])
        await relay.start()
        try:
            async with asyncio.timeout(30):
                await scene(relay)
        finally:
            relay.close()
            server.close()

    asyncio.run(run())


async def says(reader: asyncio.StreamReader, within: float = 0.3) -> bytes:
    """What comes, or nothing for so long."""
    try:
        async with asyncio.timeout(within):
            return await reader.read(100)
    except TimeoutError:
        return b"(silence)"


def test_a_relay_passes_drops_stalls_delays_and_goes_on() -> None:
    async def scene(relay: Relay) -> None:
        reader, writer = await asyncio.open_connection(*relay.address)
        writer.write(b"one")
        assert await reader.read(100) == b"one"
        relay.set(down=Way(drop=True))  # one direction only
        writer.write(b"lost")
        assert await says(reader) == b"(silence)"
        relay.both(Way(stall=True))
        writer.write(b"two")
        assert await says(reader) == b"(silence)"
        relay.both(PASS)
        assert await reader.read(100) == b"two"
        relay.both(Way(delay=0.15))
        began = time.monotonic()
        writer.write(b"three")
        assert await reader.read(100) == b"three" and time.monotonic() - began >= 0.3
        relay.both(Way(rate=2_000))
        writer.write(b"x" * 1_000)
        began, got = time.monotonic(), 0
        while got < 1_000:
            got += len(await reader.read(2_000))
        assert time.monotonic() - began >= 0.45
        relay.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(100)

    through(scene)


def test_a_relay_refuses_and_stands_half_open() -> None:
    async def scene(relay: Relay) -> None:
        await play({"a": relay}, [Change(0.0, ("a",), "half")])
        reader, writer = await asyncio.open_connection(*relay.address)
        writer.write(b"anyone?")
        assert await says(reader) == b"(silence)"
        await play({"a": relay}, [Change(0.0, ("a",), "refuse")])
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*relay.address)
        await play({"a": relay}, [Change(0.0, ("a",), "accept")])
        reader, writer = await asyncio.open_connection(*relay.address)
        writer.write(b"back")
        assert await reader.read(100) == b"back"
        with pytest.raises(ValueError, match="no such change"):
            await play({"a": relay}, [Change(0.0, ("a",), "melt")])

    through(scene)


def swarm(folder: Path, scene: Callable[[Swarm, Crowd], Awaitable[None]], **more: Any) -> None:
    """24 proxies, caches behind links, and clients that ask all along."""

    async def run() -> None:
        one = Swarm(folder, "127.0.0.1", settings_for(PROXIES), ROOT)
        try:
            await one.serve(CACHES, linked=True, **more)
            await one.launch([one.configure(f"p{n}").name for n in range(PROXIES)])
            crowd = Crowd(one, RATE)
            async with asyncio.timeout(100):
                await scene(one, crowd)
            crowd.close()
            assert not crowd.wrong and not crowd.twice and not crowd.answers["lost"]
        finally:
            await one.close()

    asyncio.run(run())


async def asked_anew(one: Swarm, crowd: Crowd, names: list[str]) -> None:
    """Wait until each of these caches has work again, with clients going on."""
    since = time.time()
    going = asyncio.ensure_future(crowd.run(30))
    try:
        await until(
            lambda: all(any(a.at > since for a in one.fleet.servers[name].arrivals) for name in names),
            f"work at {names}",
        )
    finally:
        crowd.stopped = True
        await going
        crowd.stopped = False


def test_a_calm_fleet_of_processes_refuses_nothing_and_leaves_no_cache_idle(tmp_path: Path) -> None:
    async def scene(one: Swarm, crowd: Crowd) -> None:
        await crowd.run(4)
        assert crowd.answers["200"] >= 0.995 * crowd.answers.total()
        await asked_anew(one, crowd, [box.name for box in one.boxes])

    swarm(tmp_path, scene)


def test_caches_whose_links_drop_stall_or_reset_are_left_and_found_again(tmp_path: Path) -> None:
    """One cache is cut off in silence, one stalls, one resets connections: what clients lose is bounded, each request
    has one answer, and once the links are whole all three have work again."""

    async def scene(one: Swarm, crowd: Crowd) -> None:
        await crowd.run(2)
        names = [box.name for box in one.boxes]
        resets = [Change(0.25 * n, (names[2],), "reset") for n in range(24)]
        faults = [Change(0.0, (names[0],), "drop"), Change(0.0, (names[1],), "stall"), *resets]
        playing = asyncio.ensure_future(play(one.links, faults))
        await crowd.run(3)
        crowd.answers.clear()
        await crowd.run(3)
        await playing
        assert crowd.answers["200"] >= 0.85 * crowd.answers.total()  # two of eight caches are gone
        await play(one.links, [Change(0.0, tuple(names[:3]), "pass"), Change(0.0, tuple(names[:2]), "reset")])
        await asked_anew(one, crowd, names[:3])
        crowd.answers.clear()
        await crowd.run(2)
        assert crowd.answers["200"] >= 0.98 * crowd.answers.total()

    swarm(tmp_path, scene)


def test_a_cache_that_only_a_third_of_the_proxies_cannot_reach_is_not_starved_by_the_others(tmp_path: Path) -> None:
    """A third of the proxies are told an address behind a relay of its own, which refuses."""

    async def run() -> None:
        one = Swarm(tmp_path, "127.0.0.1", settings_for(PROXIES), ROOT)
        other = JournalService()
        try:
            await one.serve(CACHES, linked=True)
            ill = one.boxes[0]
            bad = one.links["bad"] = Relay(lambda: ill.address)
            await bad.start()
            await other.start("127.0.0.1")
            member = one.member(ill.name) | {"host_port": f"127.0.0.1:{bad.address[1]}"}
            await other.hosts(
                *(m for name, m in one.journal.members.items() if name != ill.name), member, complete=True
            )
            where = f"127.0.0.1:{other.address[1]}"
            for n in range(PROXIES):
                more = {"journal": where, "known": {"pos": 0, "entries": []}} if n % 3 == 0 else {}
                one.configure(f"p{n}", **more)
            await one.launch(list(one.proxies))
            crowd = Crowd(one, RATE)
            await crowd.run(2)
            await bad.refuse(True)
            bad.reset()
            await crowd.run(2)
            crowd.answers.clear()
            since = time.time()
            await crowd.run(4)
            crowd.close()
            got = [sum(a.at > since and not a.fill for a in box.arrivals) for box in one.boxes]
            assert crowd.answers["200"] >= 0.99 * crowd.answers.total()
            assert got[0] > 0.2 * sum(got) / len(got)  # of two thirds of the requests that are its
        finally:
            await one.close()
            other.close()

    asyncio.run(run())


def test_reports_that_come_late_during_a_burst_move_no_herd_to_one_cache(tmp_path: Path) -> None:
    async def scene(one: Swarm, crowd: Crowd) -> None:
        for box in one.boxes:
            box.late = 4.0
        await crowd.run(3)
        crowd.rate, since = 4 * RATE, time.time()
        crowd.answers.clear()
        await crowd.run(3)
        got = [sum(a.at > since and not a.fill for a in box.arrivals) for box in one.boxes]
        assert max(got) <= 2.5 * sum(got) / len(got) and min(got) > 0
        assert crowd.answers["200"] >= 0.99 * crowd.answers.total()

    swarm(tmp_path, scene)


def test_half_of_the_caches_replaced_within_seconds_is_no_stampede_on_the_new_ones(tmp_path: Path) -> None:
    """The new ones start cold: no second brings one more than the rule's multiple of what it can do."""

    async def scene(one: Swarm, crowd: Crowd) -> None:
        await crowd.run(3)
        old = [box.name for box in one.boxes[: CACHES // 2]]
        going = asyncio.ensure_future(crowd.run(8))
        fresh = []
        for n, name in enumerate(old):
            born = await one.fleet.add(f"s-0000aa{n:02x}", "box", (one.host, 0), cold=16.0, upstream="s-00000200")
            born.base = 0.025
            fresh.append(born)
            await one.link(born.name, born)
            await one.journal.hosts(one.member(born.name), one.member(name, "DRAINING"))
            await asyncio.sleep(1.0)
        drained = time.time()
        await going
        assert crowd.answers["200"] >= 0.97 * crowd.answers.total()
        for name in old:
            late = [a for a in one.fleet.servers[name].arrivals if a.at > drained + 0.5]
            assert not late, f"{name} got {len(late)} after it drained"
        # What one can do warm is what its peers do at most; cold it starts at 0.16 of that, and falls at 2.5 times it.
        most = max(box.most_open[s] for box in one.boxes for s in box.most_open)
        assert all(max(born.most_open.values(), default=0) <= max(6, most) for born in fresh)
        assert sum(len(born.arrivals) for born in fresh) > 0

    swarm(tmp_path, scene)


def test_proxies_that_were_stopped_and_continued_answer_once_and_go_on(tmp_path: Path) -> None:
    """A third of them stand still for two seconds with requests in hand."""

    async def scene(one: Swarm, crowd: Crowd) -> None:
        await crowd.run(2)
        some = list(one.proxies.values())[::3]
        going = asyncio.ensure_future(crowd.run(4))
        for proxy in some:
            proxy.signal(signal.SIGSTOP)
        await asyncio.sleep(2)
        for proxy in some:
            proxy.signal(signal.SIGCONT)
        await going
        crowd.answers.clear()
        await crowd.run(2)
        assert crowd.answers["200"] >= 0.98 * crowd.answers.total()
        assert all(proxy.process.returncode is None for proxy in some)

    swarm(tmp_path, scene)
