"""System calls of the proxy that fail with the errors that Linux documents: every request still gets an answer."""

from __future__ import annotations

import asyncio
import errno
import signal
import time
from pathlib import Path

import pytest

from tests.faults.world import FaultWorld, run_scenario
from tests.harness import OBJECT, SETTINGS, Box, Journal, until
from tests.raw_client import PendingListener

OWN_SHORTAGE = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
ACCEPT_ERRORS = [
    *OWN_SHORTAGE,
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.EPERM,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.EOPNOTSUPP,
    errno.ETIMEDOUT,
    errno.EINTR,
]
LONG_CONNECT_TIMEOUT = {"limits": SETTINGS["limits"] | {"connect-timeout": 20_000_000}}


def names(errors: list[int]) -> list[str]:
    return [errno.errorcode[error] for error in errors]


@pytest.mark.parametrize("error", ACCEPT_ERRORS, ids=names(ACCEPT_ERRORS))
def test_a_client_whose_accept_failed_is_served(tmp_path: Path, error: int) -> None:
    async def scene(w: FaultWorld) -> None:
        w.switches.fail("accept", error, 3)
        client = await w.client()
        assert (await client.get())[0] == "200"
        assert w.switches.affected("accept") == 3 and w.counter("fault", "loop") == 0

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize(
    "error", [errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.EPROTO], ids=lambda error: errno.errorcode[error]
)
def test_queued_connections_are_answered_though_accept_fails_as_the_listener_closes(tmp_path: Path, error: int) -> None:
    """The kernel has completed their handshakes, so their requests count as taken. The calls fail until the listener is
    being closed."""

    async def scene(w: FaultWorld) -> None:
        w.process.send_signal(signal.SIGTERM)
        w.switches.fail("accept", error)
        client = await w.client()
        tag = client.ask()
        await until(lambda: w.switches.affected("accept"), "accept to fail")
        await asyncio.sleep(0.9)  # past the time for accepting: the listener is being closed
        w.switches.fail("accept", 0, 0)
        assert (await client.answer(tag))[0] in ("200", "503")
        assert await asyncio.wait_for(w.process.wait(), 40) == 0

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("call", ["socket", "connect"])
@pytest.mark.parametrize(
    "error",
    [*OWN_SHORTAGE, errno.EADDRNOTAVAIL, errno.EAGAIN],
    ids=names([*OWN_SHORTAGE, errno.EADDRNOTAVAIL, errno.EAGAIN]),
)
def test_a_shortage_of_this_machine_is_not_held_against_servers(tmp_path: Path, call: str, error: int) -> None:
    """While no connection can be opened, requests are refused at once. Right after that all servers are used again."""

    async def scene(w: FaultWorld) -> None:
        client = await w.client()
        assert (await client.get())[0] == "200"  # the fronts and discovery are up
        w.switches.fail(call, error)
        answers = [await client.get(obj=f"{n:016x}") for n in range(60)]
        assert {word for word, _, _ in answers} <= {"200", "503"}
        assert w.switches.affected(call)
        w.switches.fail(call, 0, 0)
        answers = [await client.get(obj=f"{n:016x}") for n in range(100, 120)]
        assert [word for word, _, _ in answers] == ["200"] * 20
        assert all(box.asked for box in w.caches)
        assert (await w.metrics())["out_of_rotation"] == 0

    run_scenario(tmp_path, scene, management=True)


@pytest.mark.parametrize(
    "error", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET], ids=lambda error: errno.errorcode[error]
)
def test_a_connection_to_a_server_that_breaks_costs_a_read_nothing(tmp_path: Path, error: int) -> None:
    async def scene(w: FaultWorld) -> None:
        def late(ask: dict[str, str]) -> None:
            for box in w.boxes:
                box.behave = Box.default_answer
            w.switches.fail("recv", error, 1)
            for box in w.caches:
                for writer in box.writers:
                    writer.write(b"x")  # any data: the proxy reads, and its read fails

        for box in w.boxes:
            box.behave = late
        client = await w.client()
        assert (await client.get())[0] == "200"
        assert w.switches.affected("recv") == 1

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("call", ["recv", "send"])
def test_reads_and_writes_of_one_byte_change_no_message(tmp_path: Path, call: str) -> None:
    async def scene(w: FaultWorld) -> None:
        w.switches.shorten(call, 1)
        client = await w.client()
        answers = [await client.get(n=n) for n in range(5)]
        assert answers == [("200", {}, f"{OBJECT}/{n}".encode()) for n in range(5)]
        assert (await client.get("license-buy", b"x" * 3_000, token="5c0f6e1a"))[0] == "200"
        assert w.switches.affected(call) > 1_000

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("call", ["socket", "connect"])
def test_a_start_waits_for_a_shortage_of_resources_to_pass(tmp_path: Path, call: str) -> None:
    async def scene(w: FaultWorld) -> None:
        w.switches.fail(call, errno.ENFILE, 6)
        await w.restart()
        client = await w.client()
        assert (await client.get())[0] == "200"
        assert w.switches.affected(call) == 6

    run_scenario(tmp_path, scene)


def test_max_is_the_time_left_to_the_client_when_the_request_is_written(tmp_path: Path) -> None:
    """Time that the request has waited is deducted: here for a slow dial."""

    async def scene(w: FaultWorld) -> None:
        (box,) = w.caches
        box.server.close()
        slow_server = PendingListener(box.host, box.port)
        client = await w.client()
        began = time.monotonic()
        client.ask("license-buy", token="5c0f6e1a", budget=3_000)  # its attempt may use the whole budget
        await until(lambda: w.counter("sent", "license-buy") == 1)
        await asyncio.sleep(1.0)  # the wait to be deducted from `max`
        await slow_server.accept()
        await until(lambda: b"\r\n" in slow_server.read, "the request")
        waited = time.monotonic() - began
        fields = dict(item.split("=", 1) for item in slow_server.read.split()[2].decode().split(","))
        assert waited >= 1.0 and 0 < int(fields["max"]) <= 3_000 - 1_000
        slow_server.close()

    run_scenario(
        tmp_path,
        scene,
        caches=1,
        settings=LONG_CONNECT_TIMEOUT | {"extra": SETTINGS["extra"] | {"bypass-allowed": False}},
    )


@pytest.mark.parametrize("error", [errno.EMFILE, errno.EIO, errno.ENFILE], ids=lambda error: errno.errorcode[error])
def test_a_new_configuration_is_loaded_though_its_file_cannot_be_read_at_first(tmp_path: Path, error: int) -> None:
    """Guards against a proxy that keeps following a discovery service which sends no more events."""

    async def scene(w: FaultWorld) -> None:
        other = Journal()
        await other.start()
        other.events = list(w.journal.events)
        w.configure(journal=f"127.0.0.1:{other.port}")
        w.switches.fail("read_file", error, 3)
        w.process.send_signal(signal.SIGHUP)
        await until(lambda: other.tails, "the new service to be asked")
        assert w.switches.affected("read_file") == 3
        other.server.close()
        other.reset()

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE], ids=lambda error: errno.errorcode[error])
def test_a_start_waits_for_a_configuration_that_cannot_be_opened_yet(tmp_path: Path, error: int) -> None:
    async def scene(w: FaultWorld) -> None:
        w.switches.fail("read_file", error, 3)
        await w.restart()
        client = await w.client()
        assert (await client.get())[0] == "200" and w.switches.affected("read_file") == 3

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize("error", [errno.ENFILE, errno.EMFILE], ids=lambda error: errno.errorcode[error])
def test_time_in_the_accept_queue_is_deducted_from_max(tmp_path: Path, error: int) -> None:
    """Guards against sending a server the client's whole budget after the request waited while accept failed."""

    async def scene(w: FaultWorld) -> None:
        w.switches.fail("accept", error)
        client = await w.client()
        tag = client.ask("clip-parts", budget=2000)
        began = time.monotonic()
        await until(lambda: time.monotonic() > began + 0.5 and w.switches.affected("accept"), "it to have waited")
        w.switches.fail("accept", 0, 0)
        assert (await client.answer(tag))[0] == "200"
        assert all(int(ask["max"]) <= 2000 - 500 + 150 for ask in w.asked())
        await asyncio.sleep(0.1)  # later connections, and later requests on this one, have not waited
        assert (await client.get("clip-parts", n=1, budget=2000))[0] == "200"
        other = await w.client()
        assert (await other.get("clip-parts", n=2, budget=2000))[0] == "200"
        assert all(int(ask["max"]) >= 1900 for ask in w.asked()[-2:])

    run_scenario(tmp_path, scene)
