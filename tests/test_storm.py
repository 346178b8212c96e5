"""Overload control in the running program: detection, status and explanation of a storm; and the stand-ins that cause
one."""

from __future__ import annotations

import asyncio
import json
import re
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import pytest

from benchmarks import storm, storm_ways
from benchmarks.report import page
from tests.harness import ROOT, SETTINGS, ProxyHarness, until
from tests.test_dns import Resolver, query, run_scenario
from tests.test_views import subnet
from threadhill.operators import read_operator
from threadhill.settings import Malformed
from threadhill.standin import faults
from threadhill.standin.players import ClientGroup
from threadhill.standin.servers import CopyStore, Fleet

OPERATOR = """
[overload]
leave_ms = 1000

[admin]
listen = "127.0.0.1:0"
token_env = "TOKEN"

[dns]
listen = "127.0.0.1:0"
"""


def command(port: int, *words: str) -> str:
    return subprocess.run(
        [sys.executable, "-m", "threadhill", "overload", *words, "--admin", f"127.0.0.1:{port}", "--token", "t" * 20],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout


def test_a_storm_is_detected_reported_and_explained_and_each_request_has_one_answer(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness, _: object) -> None:
        for box in w.boxes:
            box.behave = lambda ask: ("refused", "report=inflight:60;util:1.0", b"")
        admin = await w.listening_port("admin")
        clients = [await w.client() for _ in range(4)]
        tags, end = [], time.monotonic() + 20
        while "normal -> strained" not in w.log and time.monotonic() < end:
            for client in clients:
                for n in range(4):
                    tags.append((client, client.ask(obj=f"{n:016x}", again=n % 2)))
            await asyncio.sleep(0.05)
        await w.logged("overload: all: normal -> strained")
        rid = "ab" * 8
        last: tuple = ("200", {}, b"")
        while last[0] == "200" or "why" not in last[1]:
            tag = clients[0].ask(obj=f"{5:016x}", again=1, rid=rid)
            tags.append((clients[0], tag))
            last = await clients[0].answer(tag)
            if last[0] == "503" and 0 < int(last[1].get("backoff", 0)) <= 500:
                break
        answers = [await client.answer(tag) for client, tag in tags]
        assert {word for word, _, _ in answers} <= {"200", "503"} and not any(
            client.answered_twice for client in clients
        )
        run = asyncio.get_running_loop().run_in_executor
        told = await run(None, command, admin, "why", rid)
        assert '"come_back_ms"' in told and '"state"' in told
        status = await run(None, command, admin, "status")
        assert re.search(r"state +(strained|storm)", status) and "retries a second" in status
        reader, writer = await asyncio.open_connection("127.0.0.1", admin)
        writer.write(f"GET /metrics HTTP/1.1\r\nAuthorization: Bearer {'t' * 20}\r\nConnection: close\r\n\r\n".encode())
        metrics = (await reader.read()).decode()
        writer.close()
        assert re.search(r'threadhill_refused_total{class="art-pages"} [1-9]', metrics)
        assert "threadhill_overload_state" in metrics
        with pytest.raises(subprocess.CalledProcessError):
            await run(None, command, admin, "why", "0" * 16)

    run_scenario(tmp_path, scene, OPERATOR)


def test_each_node_of_a_dns_view_has_its_own_overload_control(tmp_path: Path) -> None:
    """A storm of look-ups for one node changes that node's state only, not that of the RESP front or the proxy."""
    view = """
trusted = ["127.0.0.1/32"]
resolver_qps = 0

[[dns.views]]
node = "sierra"
networks = ["203.0.113.0/24"]

[[tenants]]
name = "acme"
zones = ["route.example"]
"""

    async def run() -> None:
        w = ProxyHarness(
            tmp_path,
            caches=3,
            operator=OPERATOR + view,
            settings={"extra": SETTINGS["extra"] | {"bypass-allowed": False}},
        )
        w.caches[2].locality = "sierra"
        w.caches[2].up_since = int(time.time() * 1_000) - 1  # cold: it accepts almost no requests
        async with w:
            r = await Resolver(await w.listening_port("dns")).start()
            admin = await w.listening_port("admin")
            client = await w.client()
            end = time.monotonic() + 30
            while "node sierra: overload: all: normal ->" not in w.log and time.monotonic() < end:
                for n in range(30):
                    name = f"0.{n % 7:016x}.art-pages.acme.route.example"
                    r.transport.sendto(query(name, more=subnet("203.0.113.0", 24), extra=1))
                assert (await client.get(obj=f"{4:016x}"))[0] == "200"
                await asyncio.sleep(0.05)
            run = asyncio.get_running_loop().run_in_executor
            told = json.loads(await run(None, command, admin, "status", "--json"))
            assert told["nodes"]["sierra"]["state"] != "normal" and told["state"] == "normal"

    asyncio.run(run())


def test_at_shutdown_clients_are_disconnected_one_after_another(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness, _: object) -> None:
        clients = [await w.client() for _ in range(40)]
        for client in clients:
            assert (await client.get(obj=f"{3:016x}"))[0] == "200"
        began, ends = time.monotonic(), []
        w.process.terminate()

        async def end(client) -> None:  # noqa: ANN001
            await client.task
            ends.append(time.monotonic() - began)

        await asyncio.gather(*(end(client) for client in clients))
        assert max(ends) - min(ends) > 0.5  # not all at once
        assert await w.process.wait() == 0

    run_scenario(tmp_path, scene, OPERATOR)


@pytest.mark.parametrize("bad", [{"horizon_ms": 70_000}, {"leave_ms": -1}, {"admission": 1}, {"retries": True}])
def test_invalid_overload_settings_are_rejected(bad: dict, tmp_path: Path) -> None:
    with pytest.raises(Malformed, match="overload"):
        read_operator({"overload": bad}, {}, tmp_path)


def test_scripted_faults_have_their_effect() -> None:
    async def scene() -> None:
        fleet = Fleet()
        box = await fleet.add("b", "library", ("127.0.0.1", 0))
        box.workers, box.queue_limit = 1, 1

        async def ask(count: int) -> list[str]:
            reader, writer = await asyncio.open_connection(*box.address)
            writer.write(b"".join(b"do r%d profile=c,thing=x,nth=0 0\r\n\r\n" % n for n in range(count)))
            words = []
            for _ in range(count):
                _, word, _, size = (await reader.readline()).split()
                await reader.readexactly(int(size) + 2)
                words.append(word.decode())
            writer.close()
            return words

        assert sorted(set(await ask(6))) == ["ok", "refused"]  # one is processed, one waits
        failing = asyncio.ensure_future(faults.inject(box, faults.Fault("fail", 0, 0.2, 1.0)))
        await until(lambda: box.failure_share)
        assert await ask(1) == ["error"]
        await failing
        late = asyncio.ensure_future(faults.inject(box, faults.Fault("late", 0, 0.2, 60)))
        await until(lambda: box.report_delay)
        assert box.report() == box.report()
        await late
        stopped = asyncio.ensure_future(faults.inject(box, faults.Fault("stop", 0, 0.2, 9.0)))
        await asyncio.sleep(0.05)
        with pytest.raises(OSError):
            await asyncio.open_connection(*box.address)
        await stopped
        assert await ask(1) == ["ok"] and box.cold == 9.0
        reader, _ = await asyncio.open_connection(*box.address)
        await until(lambda: box.connections)
        reset = asyncio.ensure_future(faults.inject(box, faults.Fault("reset", 0, 0.1)))
        with suppress(ConnectionError):
            assert await asyncio.wait_for(reader.read(), 30) == b""  # the connection was closed
        await reset
        with pytest.raises(ValueError, match="unknown fault"):
            await faults.inject(box, faults.Fault("melt", 0, 0))
        fleet.close()

    asyncio.run(scene())


def test_the_methods_differ_with_deep_queues_and_hardly_with_bounded_ones() -> None:
    deep = {way: storm_ways.play(way, 11, "deep") for way in ("none", "gradient", "served rate and ranks")}
    assert deep["none"]["served_after"] < 0.1 < 0.9 < deep["served rate and ranks"]["served_after"]
    assert deep["gradient"]["recover_s"] == 0
    bounded = [storm_ways.play(way, 11, "bounded")["served_after"] for way in storm_ways.WAYS]
    assert min(bounded) > 0.98


def test_the_page_shows_both_runs() -> None:
    side = {"share": [1.0, 0.4, 1.0], "tries": [1.0, 2.0, 1.0]}
    made = page({"recover_s": 3.0, "<b>": 1}, {"on": side, "off": side})
    assert made.count("<polyline") == 4 and "recover_s" in made and "<b>" not in made and storm.BOXES == 3


def test_a_refill_from_a_slow_library_while_an_upper_cache_stops_loses_no_answer_and_ends(tmp_path: Path) -> None:
    """In the same second all copies are dropped, the library becomes five times slower and an upper cache stops."""

    async def scene() -> tuple[ClientGroup, list, float]:
        rig = await storm.start(tmp_path, "127.0.71.1", True)
        players = ClientGroup("127.0.71.1", rig.listen[0], 60, ("told", "at once"), seed=3)
        try:
            servers = rig.installation.fleet.servers
            library = next(server for server in servers.values() if server.kind == "library")
            parents = [server for server in servers.values() if server.kind == "parent"]
            await players.run(2)
            players.outcomes.clear()
            begun = time.time()
            for server in servers.values():
                server.copies = CopyStore()
            await asyncio.gather(
                players.run(9),
                faults.inject(library, faults.Fault("slow", 0, 3, 5.0)),
                faults.inject(parents[0], faults.Fault("stop", 0, 3, 2.0)),
            )
            return players, list(library.arrivals), begun
        finally:
            players.close()
            await rig.__aexit__()

    players, asked, begun = asyncio.run(scene())
    assert players.duplicate_answers == 0 and players.statuses_after_backoff["silence"] == 0
    late = [outcome.served for outcome in players.outcomes if outcome.began > begun + 6]
    assert len(late) > 50 and sum(late) / len(late) > 0.9  # recovered three seconds after the end of the fault
    worst = max(sum(second <= a.at - begun < second + 1 for a in asked) for second in range(9))
    assert worst < 60  # never more than clients request: fills are joined and limited despite retries
