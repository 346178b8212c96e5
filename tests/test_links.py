"""Link failures: the relay itself, then 24 proxies under load whose links drop, stall, reset and refuse."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from tests.harness import ROOT, until
from threadhill.standin.links import UNIMPAIRED, Impairment, LinkChange, Relay, run_changes
from threadhill.standin.swarm import JournalService, LoadGenerator, Swarm, location_settings

PROXIES, CACHES, RATE = 24, 8, 120.0


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(1 << 16):
        writer.write(data)
    writer.close()


def with_relay(scene: Callable[[Relay], Awaitable[None]]) -> None:
    """Run the scene with a relay in front of an echo server."""

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


async def read_or_silence(reader: asyncio.StreamReader, within: float = 0.3) -> bytes:
    """The next data, or `(silence)` if none arrives in time."""
    try:
        async with asyncio.timeout(within):
            return await reader.read(100)
    except TimeoutError:
        return b"(silence)"


def test_a_relay_passes_drops_stalls_delays_and_recovers() -> None:
    async def scene(relay: Relay) -> None:
        reader, writer = await asyncio.open_connection(*relay.address)
        writer.write(b"one")
        assert await reader.read(100) == b"one"
        relay.impair(down=Impairment(drop=True))  # one direction only
        writer.write(b"lost")
        assert await read_or_silence(reader) == b"(silence)"
        relay.impair_both(Impairment(stall=True))
        writer.write(b"two")
        assert await read_or_silence(reader) == b"(silence)"
        relay.impair_both(UNIMPAIRED)
        assert await reader.read(100) == b"two"
        relay.impair_both(Impairment(delay=0.15))
        began = time.monotonic()
        writer.write(b"three")
        assert await reader.read(100) == b"three" and time.monotonic() - began >= 0.3
        relay.impair_both(Impairment(rate=2_000))
        writer.write(b"x" * 1_000)
        began, received = time.monotonic(), 0
        while received < 1_000:
            received += len(await reader.read(2_000))
        assert time.monotonic() - began >= 0.45
        relay.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read(100)

    with_relay(scene)


def test_a_relay_refuses_connections_or_leaves_them_half_open() -> None:
    async def scene(relay: Relay) -> None:
        await run_changes({"a": relay}, [LinkChange(0.0, ("a",), "half")])
        reader, writer = await asyncio.open_connection(*relay.address)
        writer.write(b"anyone?")
        assert await read_or_silence(reader) == b"(silence)"
        await run_changes({"a": relay}, [LinkChange(0.0, ("a",), "refuse")])
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*relay.address)
        await run_changes({"a": relay}, [LinkChange(0.0, ("a",), "accept")])
        reader, writer = await asyncio.open_connection(*relay.address)
        writer.write(b"back")
        assert await reader.read(100) == b"back"
        with pytest.raises(ValueError, match="unknown change"):
            await run_changes({"a": relay}, [LinkChange(0.0, ("a",), "melt")])

    with_relay(scene)


def with_swarm(folder: Path, scene: Callable[[Swarm, LoadGenerator], Awaitable[None]], **more: Any) -> None:
    """Run the scene with 24 proxies, caches behind links, and clients that send requests throughout."""

    async def run() -> None:
        one = Swarm(folder, "127.0.0.1", location_settings(PROXIES), ROOT)
        try:
            await one.start_servers(CACHES, behind_relays=True, **more)
            await one.launch([one.configure(f"p{n}").name for n in range(PROXIES)])
            crowd = LoadGenerator(one, RATE)
            async with asyncio.timeout(100):
                await scene(one, crowd)
            crowd.close()
            assert not crowd.wrong_answers and not crowd.duplicate_answers and not crowd.answers["lost"]
        finally:
            await one.close()

    asyncio.run(run())


async def served_again(one: Swarm, crowd: LoadGenerator, names: list[str]) -> None:
    """Wait until each of these caches receives requests again, while clients continue."""
    since = time.time()
    load = asyncio.ensure_future(crowd.run(30))
    try:
        await until(
            lambda: all(any(a.at > since for a in one.fleet.servers[name].arrivals) for name in names),
            f"work at {names}",
        )
    finally:
        crowd.stopped = True
        await load
        crowd.stopped = False


def test_a_fleet_without_failures_refuses_nothing_and_leaves_no_cache_idle(tmp_path: Path) -> None:
    async def scene(one: Swarm, crowd: LoadGenerator) -> None:
        await crowd.run(4)
        assert crowd.answers["200"] >= 0.995 * crowd.answers.total()
        await served_again(one, crowd, [box.name for box in one.boxes])

    with_swarm(tmp_path, scene)


def test_caches_whose_links_drop_stall_or_reset_are_left_and_found_again(tmp_path: Path) -> None:
    """One cache is cut off silently, one stalls, one resets connections: lost requests are bounded, each request gets
    one answer, and once the links are restored all three caches receive requests again."""

    async def scene(one: Swarm, crowd: LoadGenerator) -> None:
        await crowd.run(2)
        names = [box.name for box in one.boxes]
        resets = [LinkChange(0.25 * n, (names[2],), "reset") for n in range(24)]
        faults = [LinkChange(0.0, (names[0],), "drop"), LinkChange(0.0, (names[1],), "stall"), *resets]
        playing = asyncio.ensure_future(run_changes(one.links, faults))
        await crowd.run(3)
        crowd.answers.clear()
        await crowd.run(3)
        await playing
        assert crowd.answers["200"] >= 0.85 * crowd.answers.total()  # two of eight caches are gone
        await run_changes(
            one.links, [LinkChange(0.0, tuple(names[:3]), "pass"), LinkChange(0.0, tuple(names[:2]), "reset")]
        )
        await served_again(one, crowd, names[:3])
        crowd.answers.clear()
        await crowd.run(2)
        assert crowd.answers["200"] >= 0.98 * crowd.answers.total()

    with_swarm(tmp_path, scene)


def test_a_cache_that_only_a_third_of_the_proxies_cannot_reach_is_not_starved_by_the_others(tmp_path: Path) -> None:
    """A third of the proxies have an address for one cache behind a separate relay, which refuses connections."""

    async def run() -> None:
        one = Swarm(tmp_path, "127.0.0.1", location_settings(PROXIES), ROOT)
        other = JournalService()
        try:
            await one.start_servers(CACHES, behind_relays=True)
            unreachable = one.boxes[0]
            refusing_link = one.links["bad"] = Relay(lambda: unreachable.address)
            await refusing_link.start()
            await other.start("127.0.0.1")
            member = one.member(unreachable.name) | {"host_port": f"127.0.0.1:{refusing_link.address[1]}"}
            await other.add_members(
                *(m for name, m in one.journal.members.items() if name != unreachable.name), member, complete=True
            )
            where = f"127.0.0.1:{other.address[1]}"
            for n in range(PROXIES):
                more = {"journal": where, "known": {"pos": 0, "entries": []}} if n % 3 == 0 else {}
                one.configure(f"p{n}", **more)
            await one.launch(list(one.proxies))
            crowd = LoadGenerator(one, RATE)
            await crowd.run(2)
            await refusing_link.refuse(True)
            refusing_link.reset()
            await crowd.run(2)
            crowd.answers.clear()
            since = time.time()
            await crowd.run(4)
            crowd.close()
            counts = [sum(a.at > since and not a.fill for a in box.arrivals) for box in one.boxes]
            assert crowd.answers["200"] >= 0.99 * crowd.answers.total()
            assert counts[0] > 0.2 * sum(counts) / len(
                counts
            )  # it is reachable for two thirds of its share of requests
        finally:
            await one.close()
            other.close()

    asyncio.run(run())


def test_delayed_load_reports_during_a_burst_cause_no_herding_to_one_cache(tmp_path: Path) -> None:
    async def scene(one: Swarm, crowd: LoadGenerator) -> None:
        for box in one.boxes:
            box.report_delay = 4.0
        await crowd.run(3)
        crowd.rate, since = 4 * RATE, time.time()
        crowd.answers.clear()
        await crowd.run(3)
        counts = [sum(a.at > since and not a.fill for a in box.arrivals) for box in one.boxes]
        assert max(counts) <= 2.5 * sum(counts) / len(counts) and min(counts) > 0
        assert crowd.answers["200"] >= 0.99 * crowd.answers.total()

    with_swarm(tmp_path, scene)


def test_replacing_half_of_the_caches_within_seconds_does_not_overload_the_new_ones(tmp_path: Path) -> None:
    """The new ones start cold: in no second does one get more than the allowed multiple of its capacity."""

    async def scene(one: Swarm, crowd: LoadGenerator) -> None:
        await crowd.run(3)
        old = [box.name for box in one.boxes[: CACHES // 2]]
        load = asyncio.ensure_future(crowd.run(8))
        replacements = []
        for n, name in enumerate(old):
            replacement = await one.fleet.add(
                f"s-0000aa{n:02x}", "box", (one.host, 0), cold=16.0, upstream="s-00000200"
            )
            replacement.answer_time = 0.025
            replacements.append(replacement)
            await one.add_relay(replacement.name, replacement)
            await one.journal.add_members(one.member(replacement.name), one.member(name, "DRAINING"))
            await asyncio.sleep(1.0)
        drained = time.time()
        await load
        assert crowd.answers["200"] >= 0.97 * crowd.answers.total()
        for name in old:
            late = [a for a in one.fleet.servers[name].arrivals if a.at > drained + 0.5]
            assert not late, f"{name} got {len(late)} after it drained"
        # The peers' peak shows the capacity when warm; a cold one starts at 0.16 of it, and collapses at 2.5 times it.
        peak = max(box.peak_open[s] for box in one.boxes for s in box.peak_open)
        assert all(max(replacement.peak_open.values(), default=0) <= max(6, peak) for replacement in replacements)
        assert sum(len(replacement.arrivals) for replacement in replacements) > 0

    with_swarm(tmp_path, scene)


def test_proxies_that_were_stopped_and_continued_answer_each_request_once(tmp_path: Path) -> None:
    """A third of them are stopped for two seconds with requests in progress."""

    async def scene(one: Swarm, crowd: LoadGenerator) -> None:
        await crowd.run(2)
        stopped_proxies = list(one.proxies.values())[::3]
        load = asyncio.ensure_future(crowd.run(4))
        for proxy in stopped_proxies:
            proxy.signal(signal.SIGSTOP)
        await asyncio.sleep(2)
        for proxy in stopped_proxies:
            proxy.signal(signal.SIGCONT)
        await load
        crowd.answers.clear()
        await crowd.run(2)
        assert crowd.answers["200"] >= 0.98 * crowd.answers.total()
        assert all(proxy.process.returncode is None for proxy in stopped_proxies)

    with_swarm(tmp_path, scene)
