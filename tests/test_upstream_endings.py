"""Races at the end of connections to servers and of the attempts on them, with the order of events forced.

`docs/endings.md` has a row for each way in which something ends, and names the test that forces it.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from pathlib import Path

import pytest

from tests.harness import OBJECT, SETTINGS, Box, ProxyHarness, until
from tests.raw_client import PendingListener, RawClient, build_request, changed_profiles
from tests.test_proxy import run_scenario
from tests.upstream_stub import PoolHarness, Transport, receive
from threadhill.core.ports import AttemptResult
from threadhill.decision import interface as api


def test_a_repeat_that_waits_for_its_connection_past_the_window_is_not_sent(tmp_path: Path) -> None:
    """Guards against an order that runs twice: the module decided to retry within the repeat window, the dial took
    longer than that, and the retry was sent all the same."""

    async def scene(w: ProxyHarness) -> None:
        places: list[PendingListener] = []

        def die(ask: dict[str, str]) -> None:
            w.origin.server.close()
            places.append(PendingListener(w.origin.host, w.origin.port))
            w.origin.reset()  # the first attempt may have run

        w.origin.behave = die
        client = await w.client()
        word, fields, _ = await client.get("license-buy", b"x", token="a", budget=30_000)
        assert word == "503" and "backoff" in fields  # while the dial is pending
        (place,) = places
        assert place.accepted == 0
        await place.accept()
        await until(lambda: place.accepted, "the dial to come up late")
        again = client.ask("license-buy", b"y", token="b", budget=30_000)
        await until(lambda: b"replay=b" in place.read)
        assert b"replay=a" not in place.read and len(w.origin.asked) == 1
        client.send("NEVERMIND", again)
        place.close()

    limits = SETTINGS["limits"] | {"connect-timeout": 20_000_000}
    window = {"repeat-window": 150_000}
    run_scenario(tmp_path, scene, settings={"limits": limits, "profiles": changed_profiles("license-buy", **window)})


def test_a_repeat_whose_window_ends_in_the_turn_in_which_its_dial_comes_up_is_not_written() -> None:
    """Both fall into one loop iteration, which may handle the connection first: forced at the pool, without sockets."""
    harness = PoolHarness()
    harness.send(1, start_by=harness.now + 100)
    harness.send(2, start_by=harness.now + 900)
    harness.now += 100
    _, transport = harness.connect()
    assert b"%016x" % 2 in transport.sent and b"%016x" % 1 not in transport.sent
    assert harness.outcomes == [(1, "unsent")]
    harness.deadlines.run_due(harness.now + 1_000)  # no attempt ends twice, and the one that was sent does not end
    assert len(harness.results) == 1


def test_under_a_reset_each_attempt_ends_by_what_the_server_can_have_of_it() -> None:
    """Not yet sent: it goes on a new connection. Partly sent: it cannot have run. Completely sent, or partly answered:
    it may have run. Forced at the protocol object, as the kernel's buffers accept any request whole."""
    harness = PoolHarness()
    harness.send(1)
    connection, transport = harness.connect()
    harness.send(2)
    receive(connection, b"%016x ok ver=a,born=1 10\r\nhalf" % 1)  # attempt 1 is partly answered
    assert harness.pool.dialling == 1
    other, other_transport = harness.connect()
    assert harness.outcomes == [] and b"%016x" % 2 in other_transport.sent
    harness.send(3, body=b"x" * 40_000)
    third, full_transport = harness.connect()
    full_transport.buffered = 17  # bytes of attempt 3 that the kernel did not accept
    third.pause_writing()
    harness.send(4)
    for one in (connection, other, third):
        one.connection_lost(ConnectionResetError())
    assert sorted(harness.outcomes) == [(1, "broken"), (2, "broken"), (3, "unreached")]
    assert b"%016x" % 4 in harness.connect()[1].sent
    for one in (connection, other, third):
        one.connection_lost(None)  # a second call changes nothing
    assert len(harness.results) == 3 and len(harness.caches.attempts) == 1


def test_one_that_is_given_up_before_it_was_written_whole_cannot_have_run() -> None:
    harness = PoolHarness()
    harness.send(1, body=b"x" * 40_000)
    connection, transport = harness.connect()
    transport.buffered = 17
    connection.pause_writing()
    assert harness.caches.cancel(1) is False
    transport.buffered = 0
    connection.resume_writing()
    harness.send(2)
    assert harness.caches.cancel(2) is True


def test_a_request_that_meets_a_reset_connection_goes_on_the_next_one() -> None:
    """The kernel refuses the whole write: it cannot have run, so it is retried whatever the class allows."""
    harness = PoolHarness()
    harness.send(1)
    connection, transport = harness.connect()
    receive(connection, b"%016x ok ver=a,born=1 0\r\n\r\n" % 1)
    transport.reset = True
    harness.send(2, at_most_once=True)
    assert harness.outcomes == [(1, "served")] and harness.pool.dialling == 1
    connection.connection_lost(ConnectionResetError())
    assert b"%016x" % 2 in harness.connect()[1].sent and len(harness.results) == 1


class FullTransport(Transport):
    """A transport whose socket buffer is full, as its peer reads nothing."""

    def __init__(self) -> None:
        super().__init__()
        self.local, self.remote = socket.socketpair()
        self.local.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                self.local.send(b"x" * 65_536)

    def get_extra_info(self, name: str) -> socket.socket | None:
        return self.local if name == "socket" else None


def test_a_connection_whose_peer_reads_nothing_takes_no_further_attempt() -> None:
    """An attempt sent there would begin only when the peer reads again, after its deadline or its client has gone."""
    harness = PoolHarness()
    harness.send(1)
    full_transport = FullTransport()
    connection, _ = harness.connect(full_transport)
    assert full_transport.sent == b"" and connection.suspect and harness.pool.dialling == 1 and harness.outcomes == []
    assert b"%016x" % 1 in harness.connect()[1].sent
    full_transport.local.close()
    full_transport.remote.close()


def test_a_dial_that_comes_up_after_its_server_drained_carries_nothing(tmp_path: Path) -> None:
    """The attempts waiting for it are decided again, and the connection is closed."""

    async def scene(w: ProxyHarness) -> None:
        (box,) = w.caches
        box.server.close()
        place = PendingListener(box.host, box.port)
        client = await RawClient.connect(w)
        await client.send(build_request(1))
        await until(lambda: w.counter("sent", "art-pages") == 1)
        w.journal.hosts(box.member("DRAINING"))
        await client.read_until(b"\r\n503\r\n")  # at once: there is no other cache
        await place.accept()
        await until(lambda: place.closed, "the late connection to be closed")
        assert place.accepted == 1 and place.read == b""
        place.close()

    limits = SETTINGS["limits"] | {"connect-timeout": 20_000_000}
    extra = SETTINGS["extra"] | {"bypass-allowed": False}
    run_scenario(tmp_path, scene, caches=1, settings={"limits": limits, "extra": extra})


@pytest.mark.parametrize("phase", ["DRAINING", "DELETED"])
def test_what_waits_for_a_dial_goes_back_when_its_source_drains(phase: str) -> None:
    harness = PoolHarness()
    harness.caches.server_ready(2, "s-2", "127.0.0.1", 2)
    harness.send(1, source=2)
    harness.send(2)
    state = api.State.DRAINING if phase == "DRAINING" else api.State.GONE
    harness.caches.list_changed([api.Entry(2, state)])
    assert harness.outcomes == [(1, "unsent")]
    assert b"%016x" % 1 not in (sent := harness.connect()[1].sent) and b"%016x" % 2 in sent


def test_what_waited_when_a_server_came_back_at_another_address_may_go_there() -> None:
    """Guards against wasted attempts when a server is replaced: they were returned before the new pool was in place."""
    harness = PoolHarness()
    harness.send(1)

    def ended(attempt: int, end: AttemptResult) -> None:
        harness.results.append((attempt, end))
        if attempt == 1:
            harness.send(2)  # the module chooses the same server again

    harness.caches.engine.attempt_ended = ended
    harness.caches.server_ready(1, "s-1", "127.0.0.1", 7)
    assert harness.outcomes == [(1, "unsent")]
    assert harness.caches.servers[1].port == 7 and list(harness.caches.servers[1].waiting) == [2]


@pytest.mark.parametrize(("mine", "ver"), [(None, "4be0"), ("4be0", "4be1"), ("4be0", None)])
def test_a_copy_is_called_current_only_if_the_server_named_it(
    tmp_path: Path, mine: str | None, ver: str | None
) -> None:
    """Guards against a corrupt answer that makes a client trust its own copy, or none at all."""

    async def scene(w: ProxyHarness) -> None:
        def behave(ask: dict[str, str]) -> tuple[str, str, bytes]:
            for box in w.boxes:
                box.behave = Box.default_answer
            return "current", f"ver={ver},born=1" if ver else "born=1", b""

        for box in w.boxes:
            box.behave = behave
        client = await w.client()
        word, fields, body = await client.get(**({"mine": mine} if mine else {}))
        assert (word, fields, body) == ("200", {}, f"{OBJECT}/0".encode()) and len(w.asked()) == 2
        await w.logged("confirmed as current a version that the request did not name")

    run_scenario(tmp_path, scene)


async def send_slowly(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Send the data repeatedly, in small pieces, until the proxy closes the connection."""
    while not writer.is_closing():
        writer.write(data)
        await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    ("head", "more"),
    [(b"%s ok ver=a,born=1 200000\r\n", b"x"), (b"", b"x"), (b"", b"00000000000000cc ok - 0\r\n\r\n" * 20)],
    ids=["body", "line", "unasked"],
)
def test_an_answer_that_trickles_without_end_takes_one_connection_and_is_ended(
    tmp_path: Path, head: bytes, more: bytes
) -> None:
    """Guards against a connection that is never silent and never finishes, and blocks what is sent on it: the rest of a
    cancelled answer, a line that does not end, answers that were not requested."""

    async def scene(w: ProxyHarness) -> None:
        (box,) = w.caches
        tasks: list[asyncio.Task[None]] = []

        def behave(ask: dict[str, str]) -> None:
            box.behave = Box.default_answer
            (writer,) = box.writers
            writer.write(head.replace(b"%s", ask["id"].encode()))
            tasks.append(asyncio.ensure_future(send_slowly(writer, more)))

        box.behave = behave
        client = await w.client()
        assert (await client.get(budget=700))[0] in ("200", "503")  # once it is closed, another connection is used
        await until(lambda: tasks[0].done(), "its connection to be ended")
        assert (await client.get(budget=30_000))[0] == "200" and w.counter("fault", "server") == 0

    limits = SETTINGS["limits"] | {"conn-idle": 3_600_000_000}  # it is not closed as idle
    run_scenario(
        tmp_path, scene, caches=1, settings={"limits": limits, "extra": SETTINGS["extra"] | {"bypass-allowed": False}}
    )
