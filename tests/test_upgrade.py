"""Upgrades under load: the old and the new process accept from the same inherited socket until the old one exits."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import sys
import time
from pathlib import Path

from tests.harness import ROOT, Client, ProxyHarness, until
from tests.test_proxy import run_scenario


async def health_status(port: int) -> int:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    writer.write(b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n")
    raw = await reader.read()
    writer.close()
    return int(raw.split(b" ")[1]) if raw else 0


async def steady_client(w: ProxyHarness, count: int, answers: list[str]) -> None:
    """A client that sends one request after another. When its connection is closed it reconnects and repeats a request
    that crossed the close, as the platform's clients do."""
    client: Client | None = None
    for i in range(count):
        for _ in range(2):
            if client is None or client.task.done():
                client = await w.client()
            tag = client.ask(obj=f"{i:016x}")
            await until(lambda c=client, t=tag: t in c.answers or c.task.done(), "an answer or a close")
            if tag in client.answers:
                answers.append(client.answers[tag][0])
                break
        else:
            answers.append("lost")
        await asyncio.sleep(0.01)


class SecondProcess:
    """The new process of an upgrade: the same socket and folder, but its own management address."""

    async def start(self, w: ProxyHarness) -> SecondProcess:
        self.process = await w.start(LB_MANAGEMENT="127.0.0.1:0", LB_NAME="n0")
        self.log = b""
        self.reading = asyncio.ensure_future(self._read())
        found = await until(lambda: re.search(rb"management: serving on .*:(\d+)", self.log), "the second's address")
        self.port = int(found[1])
        while await health_status(self.port) != 200:
            await asyncio.sleep(0.02)
        return self

    async def _read(self) -> None:
        while line := await self.process.stderr.readline():
            self.log += line

    async def stop(self) -> None:
        assert self.process.returncode is None  # only the old process may exit
        self.process.kill()
        await self.process.wait()
        self.reading.cancel()


async def post(port: int, path: str, body: bytes) -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"POST {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    raw = await reader.read()
    writer.close()
    return int(raw.split(b" ")[1])


def test_second_process_takes_over_without_a_failed_request(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        answers: list[str] = []
        load = asyncio.ensure_future(steady_client(w, 150, answers))
        await until(lambda: len(answers) >= 20, "some answers from the first process")
        second = await SecondProcess().start(w)
        w.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(w.process.wait(), 10) == 0
        await load
        assert answers.count("200") == 150, answers
        await second.stop()

    run_scenario(tmp_path, scenario, inherit=True, management=True)


def test_cordon_survives_the_upgrade_and_can_be_undone(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        out = w.caches[0]
        body = json.dumps({"name": out.name}).encode()
        assert (await w.call("POST", "/admin/cordon", body))[0] == 200
        second = await SecondProcess().start(w)
        w.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(w.process.wait(), 10) == 0
        answers: list[str] = []
        await steady_client(w, 40, answers)
        assert answers.count("200") == 40 and not out.asked
        assert await post(second.port, "/admin/uncordon", body) == 200
        await steady_client(w, 80, answers)
        assert out.asked
        await second.stop()

    run_scenario(tmp_path, scenario, inherit=True, management=True)


def test_damaged_cordon_file_is_set_aside_and_logged(tmp_path: Path) -> None:
    (tmp_path / "threadhill-cordons.json").write_bytes(b'{"out": ["s-00000001"')

    async def scenario(w: ProxyHarness) -> None:
        await w.logged("cannot be read")
        assert (tmp_path / "threadhill-cordons.damaged").exists()
        client = await w.client()
        assert (await client.get())[0] == "200"

    run_scenario(tmp_path, scenario, management=True)


def test_invalid_listen_descriptor_is_a_clear_error(tmp_path: Path) -> None:
    async def scenario() -> None:
        config = tmp_path / "config.json"
        config.write_text('{"name":"n0","listen":"127.0.0.1:0","settings":{}}')
        for value, expected in (
            ("seven", b"LB_LISTEN_FD is not a descriptor number"),
            ("2", b"of 3 or more"),
            ("7", b"descriptor 7 is not a socket"),
        ):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "threadhill",
                "serve",
                cwd=ROOT,
                stderr=asyncio.subprocess.PIPE,
                env=os.environ | {"LB_CONFIG": str(config), "LB_LISTEN_FD": value},
            )
            _, error = await process.communicate()
            assert process.returncode == 2 and expected in error, error

    asyncio.run(scenario())


def test_old_process_answers_all_requests_before_sigkill(tmp_path: Path) -> None:
    """The platform sends SIGKILL 0.7 s after the longest deadline, counted as 3 s at most (clip-parts has 5 s here). A
    request that comes later than 0.7 s after SIGTERM must be answered by then, or it would be lost."""

    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None  # nothing is ever answered by the servers
        client = await w.client()
        first = client.ask("clip-parts", budget=5000)  # holds the connection open
        await asyncio.sleep(0.2)
        w.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        await asyncio.sleep(1.0)
        tag = client.ask("clip-parts", budget=5000)
        for one in (first, tag):
            word, _, _ = await client.answer(one)
            assert word in ("500", "503") and time.monotonic() - began < 3.7
        assert await asyncio.wait_for(w.process.wait(), 10) == 0 and time.monotonic() - began < 3.7

    run_scenario(tmp_path, scenario, inherit=True)
