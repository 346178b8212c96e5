"""The management address of the running program: calls, metrics, cordons and quiescing a proxy."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

from tests.harness import ProxyHarness, until
from tests.test_proxy import run_scenario


def test_invalid_calls_are_refused_with_a_reason_and_change_nothing(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        assert (await w.call("GET", "/admin/health"))[0] == 200
        assert (await w.call("GET", "/admin/nothing"))[0] == 404
        status, body = await w.call("GET", "/admin/cordon")
        assert status == 405 and b"POST" in body
        for invalid in (b"{", b"[]", b'{"name":7}', b'{"other":"x"}'):
            status, body = await w.call("POST", "/admin/cordon", invalid)
            assert status == 400 and json.loads(body)["error"]["message"], invalid
        assert (await w.call("POST", "/admin/cordon", b'{"name":"s-0000ffff"}'))[0] == 404
        assert (await w.call("POST", "/admin/cordon", b"x" * 5_000))[0] == 413
        assert (await w.metrics())["out_of_rotation"] == 0

    run_scenario(tmp_path, scenario, management=True)


def test_incomplete_calls_do_not_delay_other_callers(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        idle = [await asyncio.open_connection("127.0.0.1", w.manage_port) for _ in range(40)]
        for _, writer in idle:
            writer.write(b"GET /admin/he")
        began = time.monotonic()
        assert (await w.call("GET", "/admin/health"))[0] == 200
        assert time.monotonic() - began < 1.0
        for _, writer in idle:
            writer.close()

    run_scenario(tmp_path, scenario, management=True)


def test_metrics_count_each_outcome_once_by_class(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        client = await w.client()
        for i in range(5):
            assert (await client.get("art-pages", obj=f"{i:016x}"))[0] == "200"
        w.caches[0].behave = w.caches[1].behave = lambda ask: ("refused", "-", b"")
        assert (await client.get("art-pages", obj="00000000000000ff"))[0] == "503"
        assert (await client.get("no-such-class"))[0] == "500"
        metrics = await w.metrics()
        assert metrics["operations.art-pages.fulfilled"] == 5
        assert metrics["operations.art-pages.throttled"] == 1
        assert metrics["operations.art-pages.faulted"] == 0
        assert metrics["operations.art-pages.relayed"] == len([a for a in w.asked() if a["profile"] == "art-pages"])
        assert metrics["open_requests"] == 0 and metrics["registry_entries"] == 2

    run_scenario(tmp_path, scenario, management=True)


def test_cordoned_server_gets_no_requests_until_uncordoned(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        cordoned = w.caches[0]
        body = json.dumps({"name": cordoned.name}).encode()
        assert (await w.call("POST", "/admin/cordon", body))[0] == 200
        assert (await w.call("POST", "/admin/cordon", body))[0] == 200  # a repeated cordon is ended by one uncordon
        assert (await w.metrics())["out_of_rotation"] == 1
        client = await w.client()
        asked = len(cordoned.asked)
        for i in range(20):
            assert (await client.get(obj=f"{i:016x}"))[0] == "200"
        assert len(cordoned.asked) == asked
        w.journal.hosts(cordoned.member())  # a host event of the journal does not end the cordon
        await w.wait_for_events()
        for i in range(20, 30):
            assert (await client.get(obj=f"{i:016x}"))[0] == "200"
        assert len(cordoned.asked) == asked
        assert (await w.call("POST", "/admin/uncordon", body))[0] == 200
        assert (await w.metrics())["out_of_rotation"] == 0
        for i in range(30, 3_000):  # it returns as a cold server, so its first request may take a while
            assert (await client.get(obj=f"{i:016x}"))[0] == "200"
            if len(cordoned.asked) > asked:
                break
        assert len(cordoned.asked) > asked

    run_scenario(tmp_path, scenario, management=True)


def test_quiesced_proxy_reports_not_serving_and_disconnects_clients(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        idle, busy = await w.client(), await w.client()
        assert await idle.status() == "serving"
        assert (await w.call("POST", "/admin/quiesce"))[0] == 200
        assert await busy.status() == "not_serving"
        assert (await busy.get())[0] == "200"  # requests on open connections are still served
        await until(lambda: idle.task.done() and busy.task.done(), "both connections closed")
        assert (await w.call("POST", "/admin/resume"))[0] == 200
        reconnected = await w.client()
        assert await reconnected.status() == "serving" and (await reconnected.get())[0] == "200"

    run_scenario(tmp_path, scenario, management=True)
