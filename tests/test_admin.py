"""The administration API, tenants, plan and apply, through the running program and its command line."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from tests.harness import ROOT, ProxyHarness, open_silent_connections, read_to_end, until

TOKEN = "t" * 20
OPERATOR = """
[admin]
listen = "127.0.0.1:0"
token_env = "TOKEN"

[[tenants]]
name = "acme"
zones = ["route.example"]
quota = 5
"""
ACME = {"name": "acme", "zones": ["route.example"], "quota": 5.0}


class AdminClient:
    """Calls the API over plain sockets, and runs the command line against it."""

    def __init__(self, harness: ProxyHarness, port: int) -> None:
        self.harness, self.port = harness, port

    async def raw(self, data: bytes) -> bytes:
        """Send `data` and return all that the API answers until it closes the connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    async def __call__(
        self, method: str, path: str, body: Any = None, token: str = TOKEN, **headers: str
    ) -> tuple[int, Any]:
        raw = b"" if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: x",
            f"Content-Length: {len(raw)}",
            "Connection: close",
            f"Authorization: Bearer {token}",
            *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items()),
        ]
        head, _, answer = (await self.raw("\r\n".join(lines).encode() + b"\r\n\r\n" + raw)).partition(b"\r\n\r\n")
        assert b"application/json" in head
        return int(head.split()[1]), json.loads(answer)

    async def run(self, *words: str) -> tuple[int, str, str]:
        """Run the command line against this API; returns its exit code, output and error output."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "threadhill",
            *words,
            "--admin",
            f"127.0.0.1:{self.port}",
            "--token",
            TOKEN,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode, out.decode(), err.decode()


def run_scenario(folder: Path, scenario: Callable[[ProxyHarness, AdminClient], Awaitable[None]]) -> None:
    async def run() -> None:
        async with ProxyHarness(folder, operator=OPERATOR) as harness:
            await scenario(harness, AdminClient(harness, await harness.listening_port("admin")))

    asyncio.run(run())


def test_each_change_of_tenants_makes_a_new_version(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, api: AdminClient) -> None:
        assert await api("GET", "/v1/state") == (200, {"version": 1, "tenants": [ACME]})
        beta = {"name": "beta", "zones": ["b.example"], "quota": 0.0}
        created = await api("PUT", "/v1/tenants/beta", {"zones": ["B.example."]})
        assert created == (201, {"version": 2, "tenant": beta})
        assert (await api("PUT", "/v1/tenants/beta", beta))[1]["version"] == 2  # an identical PUT changes nothing
        assert await api("GET", "/v1/tenants/beta") == (200, beta)
        assert (await api("PUT", "/v1/tenants/beta", beta | {"quota": 3}, If_Match="1"))[0] == 409
        assert (await api("PUT", "/v1/tenants/beta", beta | {"quota": 3}, If_Match="2"))[0] == 200
        assert await api("DELETE", "/v1/tenants/acme") == (200, {"version": 4})
        assert (await api("GET", "/v1/tenants"))[1]["tenants"] == [beta | {"quota": 3.0}]
        assert (await api("GET", "/v1/tenants/acme"))[0] == 404

    run_scenario(tmp_path, scenario)


def test_errors_are_reported_as_json_and_change_nothing(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, api: AdminClient) -> None:
        invalid = [
            {"name": "ok"},
            {"name": "Bad!"},
            {"name": "q", "quota": -1},
            {"name": "z", "zones": ["a..b"]},
            {"name": "box"},
            {"name": "ok"},
            7,
            {"name": "k", "colour": 1},
        ]
        status, answer = await api("POST", "/v1/apply", {"version": 1, "tenants": invalid})
        assert (status, answer["error"]["code"]) == (422, "invalid")
        assert [fault["at"] for fault in answer["error"]["faults"]] == [
            "tenants[1].name",
            "tenants[2].quota",
            "tenants[3].zones[0]",
            "tenants[4].name",
            "tenants[5].name",
            "tenants[6]",
            "tenants[7].colour",
        ]
        for call, code in (
            (("GET", "/v2/state"), 404),
            (("GET", "/v1/nothing"), 404),
            (("POST", "/v1/state"), 405),
            (("POST", "/v1/apply", b"{"), 400),
            (("POST", "/v1/apply", []), 422),
            (("PUT", "/v1/tenants/a", {"name": "b"}), 422),
            (("DELETE", "/v1/tenants/a"), 404),
        ):
            assert (await api(*call))[0] == code, call
        for token in ("", "wrong", TOKEN + "x"):
            assert (await api("GET", "/v1/state", token=token))[0] == 401
        assert (await api("GET", "/v1/state"))[1] == {"version": 1, "tenants": [ACME]}
        for raw, code in (
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET / HTTP/3\r\n\r\n", b"505"),
            (b"x" * 9_000, b"431"),
            (b"PUT / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", b"413"),
            (b"PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", b"501"),
            (b"PUT / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", b"400"),
        ):
            assert (await api.raw(raw)).split()[1] == code, raw

    run_scenario(tmp_path, scenario)


def test_plan_is_applied_once_and_only_to_its_state_version(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, api: AdminClient) -> None:
        file = tmp_path / "tenants.toml"
        file.write_text(
            '[[tenants]]\nname = "acme"\nzones = ["route.example"]\nquota = 9\n'
            '[[tenants]]\nname = "beta"\nzones = ["b.example"]\n'
        )
        code, out, _ = await api.run("plan", str(file))
        assert code == 0 and "~ tenant acme\n    quota: 5.0 -> 9.0\n+ tenant beta" in out
        assert "1 to add, 0 to remove, 1 to change; state version 1" in out
        assert (await api("GET", "/v1/state"))[1]["version"] == 1  # a plan changes nothing
        await api("PUT", "/v1/tenants/other", {})
        code, _, err = await api.run("apply", str(file), "--on", "1")
        assert code == 2 and "conflict" in err
        code, out, _ = await api.run("apply", str(file), "--on", "2", "--json")
        assert code == 0 and [(s["step"], s["name"]) for s in json.loads(out)["steps"]] == [
            ("change", "acme"),
            ("add", "beta"),
            ("remove", "other"),
        ]
        for options in ((), ("--on", "2")):  # repeated, also with the version of an apply whose answer was lost
            code, out, _ = await api.run("apply", str(file), *options)
            assert code == 0 and "0 to add, 0 to remove, 0 to change; state version 3" in out
        file.write_text('[[tenants]]\nname = "acme"\n[[tenants]]\nname = "acme"\n')
        code, _, err = await api.run("apply", str(file))
        assert code == 2 and "appears twice" in err
        assert (await api("GET", "/v1/state"))[1]["version"] == 3
        code, out, _ = await api.run("stats")
        assert code == 0 and json.loads(out)["admin"]["PUT"] == 1

    run_scenario(tmp_path, scenario)


def test_quota_limits_its_tenant_on_the_platform_front(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, api: AdminClient) -> None:
        client = await w.client()
        await api("PUT", "/v1/tenants/acme", {"quota": 0.01})
        first, *rest = [await client.get(acct="acme") for _ in range(4)]
        assert first[0] == "200" and all(word == "503" and int(fields["backoff"]) > 0 for word, fields, _ in rest)
        assert (await client.get())[0] == "200"
        assert len(w.asked()) == 2  # refused requests reached no server
        assert (await client.get(acct="nobody"))[0] == "500" and len(w.asked()) == 2
        await api("PUT", "/v1/tenants/acme", {"quota": 0})
        assert [(await client.get(acct="acme"))[0] for _ in range(12)] == ["200"] * 12

    run_scenario(tmp_path, scenario)


def test_split_and_pipelined_requests_are_answered(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, api: AdminClient) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", api.port)
        one = f"GET /v1/state HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n\r\n".encode()
        for segment in (one[:10], one[10:] + one):
            writer.write(segment)
            await writer.drain()
        for _ in range(2):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK")
            size = int(head.split(b"Content-Length: ")[1].split()[0])
            assert json.loads(await reader.readexactly(size))["version"] == 1
        writer.close()

    run_scenario(tmp_path, scenario)


def test_without_operators_file_no_dns_or_admin_front_runs(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with ProxyHarness(tmp_path) as w:
            assert "dns:" not in w.log and "admin:" not in w.log
            client = await w.client()
            assert (await client.get(acct="acme"))[0] == "200"

    asyncio.run(scenario())


def test_invalid_operators_file_stops_the_start_with_a_message(tmp_path: Path) -> None:
    async def scenario() -> None:
        for text, expected in (
            ("[dsn]\n", "dsn: no such key"),
            ('[admin]\nlisten = "10.0.0.1:1"\ntoken_env = "TOKEN"\n', "loopback"),
            ('[admin]\nlisten = "127.0.0.1:0"\ntoken_env = "NONE"\n', "token"),
            ('[[tenants]]\nname = "X"\n', "tenants[0].name"),
        ):
            harness = ProxyHarness(tmp_path, operator=text)
            starting = asyncio.ensure_future(harness.__aenter__())
            await until(lambda harness=harness: getattr(harness, "process", None), "the process")
            assert await harness.process.wait() == 2
            await until(lambda harness=harness, expected=expected: expected in harness.log, expected)
            starting.cancel()
            await harness.__aexit__()

    asyncio.run(scenario())


def test_silent_connections_do_not_block_the_api(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, api: AdminClient) -> None:
        silent = await open_silent_connections(api.port, 40)
        assert (await api("GET", "/v1/state"))[0] == 200
        for reader, writer in silent:
            await read_to_end(reader)
            writer.close()

    run_scenario(tmp_path, scenario)
