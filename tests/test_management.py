"""The operators' address, through the running program: calls, figures, cordons and the drain of a proxy."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

from tests.harness import ProxyHarness, until
from tests.test_proxy import run_scenario


def test_calls_that_cannot_be_used_are_refused_with_a_reason_and_change_nothing(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness) -> None:
        assert (await w.call("GET", "/admin/health"))[0] == 200
        assert (await w.call("GET", "/admin/nothing"))[0] == 404
        status, body = await w.call("GET", "/admin/cordon")
        assert status == 405 and b"POST" in body
        for bad in (b"{", b"[]", b'{"name":7}', b'{"other":"x"}'):
            status, body = await w.call("POST", "/admin/cordon", bad)
            assert status == 400 and json.loads(body)["error"]["message"], bad
        assert (await w.call("POST", "/admin/cordon", b'{"name":"s-0000ffff"}'))[0] == 404
        assert (await w.call("POST", "/admin/cordon", b"x" * 5_000))[0] == 413
        assert (await w.metrics())["out_of_rotation"] == 0

    run_scenario(tmp_path, scene, management=True)


def test_a_caller_that_never_ends_its_call_holds_up_no_other(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness) -> None:
        idle = [await asyncio.open_connection("127.0.0.1", w.manage_port) for _ in range(40)]
        for _, writer in idle:
            writer.write(b"GET /admin/he")
        began = time.monotonic()
        assert (await w.call("GET", "/admin/health"))[0] == 200
        assert time.monotonic() - began < 1.0
        for _, writer in idle:
            writer.close()

    run_scenario(tmp_path, scene, management=True)


def test_the_figures_count_each_end_once_by_class(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness) -> None:
        client = await w.client()
        for i in range(5):
            assert (await client.get("art-pages", obj=f"{i:016x}"))[0] == "200"
        w.caches[0].behave = w.caches[1].behave = lambda ask: ("refused", "-", b"")
        assert (await client.get("art-pages", obj="00000000000000ff"))[0] == "503"
        assert (await client.get("no-such-class"))[0] == "500"
        figures = await w.metrics()
        assert figures["operations.art-pages.fulfilled"] == 5
        assert figures["operations.art-pages.throttled"] == 1
        assert figures["operations.art-pages.faulted"] == 0
        assert figures["operations.art-pages.relayed"] == len([a for a in w.asked() if a["profile"] == "art-pages"])
        assert figures["open_requests"] == 0 and figures["registry_entries"] == 2

    run_scenario(tmp_path, scene, management=True)


def test_a_cordoned_server_gets_nothing_until_it_is_put_back(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness) -> None:
        out = w.caches[0]
        body = json.dumps({"name": out.name}).encode()
        assert (await w.call("POST", "/admin/cordon", body))[0] == 200
        assert (await w.call("POST", "/admin/cordon", body))[0] == 200  # twice out, once back
        assert (await w.metrics())["out_of_rotation"] == 1
        client = await w.client()
        asked = len(out.asked)
        for i in range(20):
            assert (await client.get(obj=f"{i:016x}"))[0] == "200"
        assert len(out.asked) == asked
        w.journal.hosts(out.member())  # the journal's word does not put it back
        await w.wait_for_events()
        for i in range(20, 30):
            assert (await client.get(obj=f"{i:016x}"))[0] == "200"
        assert len(out.asked) == asked
        assert (await w.call("POST", "/admin/uncordon", body))[0] == 200
        assert (await w.metrics())["out_of_rotation"] == 0
        for i in range(30, 3_000):  # it is back as a cold one, so it earns its first request with time
            assert (await client.get(obj=f"{i:016x}"))[0] == "200"
            if len(out.asked) > asked:
                break
        assert len(out.asked) > asked

    run_scenario(tmp_path, scene, management=True)


def test_a_quiesced_proxy_says_so_and_lets_go_of_its_clients(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness) -> None:
        idle, busy = await w.client(), await w.client()
        assert await idle.status() == "serving"
        assert (await w.call("POST", "/admin/quiesce"))[0] == 200
        assert await busy.status() == "not_serving"
        assert (await busy.get())[0] == "200"  # what still comes is served
        await until(lambda: idle.task.done() and busy.task.done(), "both connections closed")
        assert (await w.call("POST", "/admin/resume"))[0] == 200
        again = await w.client()
        assert await again.status() == "serving" and (await again.get())[0] == "200"

    run_scenario(tmp_path, scene, management=True)
