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


class Admin:
    """Calls the API as any HTTP client would."""

    def __init__(self, world: ProxyHarness, port: int) -> None:
        self.world, self.port = world, port

    async def raw(self, data: bytes) -> bytes:
        """What the API says until it closes the connection."""
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
        """The command line, against this API."""
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


def play(folder: Path, scene: Callable[[ProxyHarness, Admin], Awaitable[None]]) -> None:
    async def run() -> None:
        async with ProxyHarness(folder, operator=OPERATOR) as world:
            await scene(world, Admin(world, await world.listening_port("admin")))

    asyncio.run(run())


def test_tenants_are_made_changed_and_removed_each_as_a_new_version(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness, api: Admin) -> None:
        assert await api("GET", "/v1/state") == (200, {"version": 1, "tenants": [ACME]})
        beta = {"name": "beta", "zones": ["b.example"], "quota": 0.0}
        made = await api("PUT", "/v1/tenants/beta", {"zones": ["B.example."]})
        assert made == (201, {"version": 2, "tenant": beta})
        assert (await api("PUT", "/v1/tenants/beta", beta))[1]["version"] == 2  # the same again changes nothing
        assert await api("GET", "/v1/tenants/beta") == (200, beta)
        assert (await api("PUT", "/v1/tenants/beta", beta | {"quota": 3}, If_Match="1"))[0] == 409
        assert (await api("PUT", "/v1/tenants/beta", beta | {"quota": 3}, If_Match="2"))[0] == 200
        assert await api("DELETE", "/v1/tenants/acme") == (200, {"version": 4})
        assert (await api("GET", "/v1/tenants"))[1]["tenants"] == [beta | {"quota": 3.0}]
        assert (await api("GET", "/v1/tenants/acme"))[0] == 404

    play(tmp_path, scene)


def test_every_fault_is_told_as_json_and_nothing_is_changed(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness, api: Admin) -> None:
        bad = [
            {"name": "ok"},
            {"name": "Bad!"},
            {"name": "q", "quota": -1},
            {"name": "z", "zones": ["a..b"]},
            {"name": "box"},
            {"name": "ok"},
            7,
            {"name": "k", "colour": 1},
        ]
        status, answer = await api("POST", "/v1/apply", {"version": 1, "tenants": bad})
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

    play(tmp_path, scene)


def test_a_plan_is_applied_once_and_only_to_the_state_it_was_made_for(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness, api: Admin) -> None:
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
        for more in ((), ("--on", "2")):  # again, also with the version of an answer that was lost
            code, out, _ = await api.run("apply", str(file), *more)
            assert code == 0 and "0 to add, 0 to remove, 0 to change; state version 3" in out
        file.write_text('[[tenants]]\nname = "acme"\n[[tenants]]\nname = "acme"\n')
        code, _, err = await api.run("apply", str(file))
        assert code == 2 and "appears twice" in err
        assert (await api("GET", "/v1/state"))[1]["version"] == 3
        code, out, _ = await api.run("stats")
        assert code == 0 and json.loads(out)["admin"]["PUT"] == 1

    play(tmp_path, scene)


def test_a_quota_binds_its_tenant_on_the_platforms_front_too(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness, api: Admin) -> None:
        client = await w.client()
        await api("PUT", "/v1/tenants/acme", {"quota": 0.01})
        first, *rest = [await client.get(acct="acme") for _ in range(4)]
        assert first[0] == "200" and all(word == "503" and int(fields["backoff"]) > 0 for word, fields, _ in rest)
        assert (await client.get())[0] == "200"
        assert len(w.asked()) == 2  # what was refused reached nobody
        assert (await client.get(acct="nobody"))[0] == "500" and len(w.asked()) == 2
        await api("PUT", "/v1/tenants/acme", {"quota": 0})
        assert [(await client.get(acct="acme"))[0] for _ in range(12)] == ["200"] * 12

    play(tmp_path, scene)


def test_a_request_in_pieces_and_two_on_one_connection(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness, api: Admin) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", api.port)
        one = f"GET /v1/state HTTP/1.1\r\nAuthorization: Bearer {TOKEN}\r\n\r\n".encode()
        for piece in (one[:10], one[10:] + one):
            writer.write(piece)
            await writer.drain()
        for _ in range(2):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK")
            size = int(head.split(b"Content-Length: ")[1].split()[0])
            assert json.loads(await reader.readexactly(size))["version"] == 1
        writer.close()

    play(tmp_path, scene)


def test_without_an_operators_file_nothing_else_is_on(tmp_path: Path) -> None:
    async def scene() -> None:
        async with ProxyHarness(tmp_path) as w:
            assert "dns:" not in w.log and "admin:" not in w.log
            client = await w.client()
            assert (await client.get(acct="acme"))[0] == "200"

    asyncio.run(scene())


def test_a_bad_operators_file_ends_the_start_with_a_message(tmp_path: Path) -> None:
    async def scene() -> None:
        for text, said in (
            ("[dsn]\n", "dsn: no such key"),
            ('[admin]\nlisten = "10.0.0.1:1"\ntoken_env = "TOKEN"\n', "loopback"),
            ('[admin]\nlisten = "127.0.0.1:0"\ntoken_env = "NONE"\n', "token"),
            ('[[tenants]]\nname = "X"\n', "tenants[0].name"),
        ):
            world = ProxyHarness(tmp_path, operator=text)
            starting = asyncio.ensure_future(world.__aenter__())
            await until(lambda world=world: getattr(world, "process", None), "the process")
            assert await world.process.wait() == 2
            await until(lambda world=world, said=said: said in world.log, said)
            starting.cancel()
            await world.__aexit__()

    asyncio.run(scene())


def test_silent_connections_shut_nobody_out_of_the_api(tmp_path: Path) -> None:
    async def scene(w: ProxyHarness, api: Admin) -> None:
        silent = await open_silent_connections(api.port, 40)
        assert (await api("GET", "/v1/state"))[0] == 200
        for reader, writer in silent:
            await read_to_end(reader)
            writer.close()

    play(tmp_path, scene)
