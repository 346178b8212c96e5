"""How connections to servers and the attempts on them end, with the crossing forced.

`docs/endings.md` has a row for each way in which something ends, and names the test that forces it.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from pathlib import Path

import pytest

from tests.by_hand import PendingListener, RawClient, build_request, changed_profiles
from tests.test_proxy import run_scenario
from tests.upstream_stub import Below, Transport
from tests.world import OBJECT, SETTINGS, Box, ProxyHarness, until
from threadhill.core.ports import AttemptResult
from threadhill.decision import interface as api
from threadhill.net.upstream import UpstreamConnection


def test_a_repeat_that_waits_for_its_connection_past_the_window_is_not_sent(tmp_path: Path) -> None:
    """Guards against an order that runs twice: the module decided on the repeat within the window, the dial took
    longer than that, and it was written all the same."""

    async def scene(w: ProxyHarness) -> None:
        places: list[PendingListener] = []

        def die(ask: dict[str, str]) -> None:
            w.origin.server.close()
            places.append(PendingListener(w.origin.host, w.origin.port))
            w.origin.reset()  # it may have run

        w.origin.behave = die
        client = await w.client()
        word, fields, _ = await client.get("license-buy", b"x", token="a", budget=30_000)
        assert word == "503" and "backoff" in fields  # while the dial is still out
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
    """The turn has both, and the loop may come to the connection first: forced at the pool, as no socket shows it."""
    below = Below()
    below.send(1, start_by=below.now + 100)
    below.send(2, start_by=below.now + 900)
    below.now += 100
    _, there = below.up()
    assert b"%016x" % 2 in there.taken and b"%016x" % 1 not in there.taken
    assert below.outcomes == [(1, "unsent")]
    below.deadlines.run_due(below.now + 1_000)  # nothing is ended twice, and nothing that was written is
    assert len(below.ends) == 1


def give(wire: UpstreamConnection, raw: bytes) -> None:
    """What the server sends, in one piece."""
    while raw:
        room = wire.get_buffer(-1)
        count = min(len(room), len(raw))
        room[:count] = raw[:count]
        wire.buffer_updated(count)
        raw = raw[count:]


def test_under_a_reset_each_attempt_ends_by_what_the_server_can_have_of_it() -> None:
    """Not yet written: it goes on a new connection. Partly written: it cannot have run. Written whole, or answered in
    part: it may have. Forced at the protocol, since the kernel's buffers take any request whole."""
    below = Below()
    below.send(1)
    wire, there = below.up()
    below.send(2)
    give(wire, b"%016x ok ver=a,born=1 10\r\nhalf" % 1)  # attempt 1 is partly answered
    assert below.pool.dialling == 1
    other, over = below.up()
    assert below.outcomes == [] and b"%016x" % 2 in over.taken
    below.send(3, body=b"x" * 40_000)
    last, full = below.up()
    full.held = 17  # bytes of attempt 3 that the kernel did not take
    last.pause_writing()
    below.send(4)
    for one in (wire, other, last):
        one.connection_lost(ConnectionResetError())
    assert sorted(below.outcomes) == [(1, "broken"), (2, "broken"), (3, "unreached")]
    assert b"%016x" % 4 in below.up()[1].taken
    for one in (wire, other, last):
        one.connection_lost(None)  # a second time changes nothing
    assert len(below.ends) == 3 and len(below.caches.attempts) == 1


def test_one_that_is_given_up_before_it_was_written_whole_cannot_have_run() -> None:
    below = Below()
    below.send(1, body=b"x" * 40_000)
    wire, there = below.up()
    there.held = 17
    wire.pause_writing()
    assert below.caches.cancel(1) is False
    there.held = 0
    wire.resume_writing()
    below.send(2)
    assert below.caches.cancel(2) is True


def test_a_request_that_meets_a_reset_connection_goes_on_the_next_one() -> None:
    """The kernel refuses the write whole: nothing of it can have run, whatever the class allows."""
    below = Below()
    below.send(1)
    wire, there = below.up()
    give(wire, b"%016x ok ver=a,born=1 0\r\n\r\n" % 1)
    there.reset = True
    below.send(2, at_most_once=True)
    assert below.outcomes == [(1, "served")] and below.pool.dialling == 1
    wire.connection_lost(ConnectionResetError())
    assert b"%016x" % 2 in below.up()[1].taken and len(below.ends) == 1


class FullTransport(Transport):
    """A transport whose socket's buffer is full, as its peer has read nothing for long."""

    def __init__(self) -> None:
        super().__init__()
        self.here, self.there = socket.socketpair()
        self.here.setblocking(False)
        with suppress(BlockingIOError):
            while True:
                self.here.send(b"x" * 65_536)

    def get_extra_info(self, name: str) -> socket.socket | None:
        return self.here if name == "socket" else None


def test_a_connection_whose_peer_reads_nothing_takes_no_further_attempt() -> None:
    """What is written there would begin when the peer reads on, after its time or after its client has left."""
    below = Below()
    below.send(1)
    full = FullTransport()
    connection, _ = below.up(full)
    assert full.taken == b"" and connection.suspect and below.pool.dialling == 1 and below.outcomes == []
    assert b"%016x" % 1 in below.up()[1].taken
    full.here.close()
    full.there.close()


def test_a_dial_that_comes_up_after_its_server_drained_carries_nothing(tmp_path: Path) -> None:
    """What waited for it is decided on anew, and the connection is closed."""

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
    below = Below()
    below.caches.server_ready(2, "s-2", "127.0.0.1", 2)
    below.send(1, source=2)
    below.send(2)
    state = api.State.DRAINING if phase == "DRAINING" else api.State.GONE
    below.caches.list_changed([api.Entry(2, state)])
    assert below.outcomes == [(1, "unsent")]
    assert b"%016x" % 1 not in (taken := below.up()[1].taken) and b"%016x" % 2 in taken


def test_what_waited_when_a_server_came_back_at_another_address_may_go_there() -> None:
    """Guards against attempts spent on a server that was replaced: it was given back before the new one stood."""
    below = Below()
    below.send(1)

    def ended(attempt: int, end: AttemptResult) -> None:
        below.ends.append((attempt, end))
        if attempt == 1:
            below.send(2)  # the module decides on the same server again

    below.caches.engine.attempt_ended = ended
    below.caches.server_ready(1, "s-1", "127.0.0.1", 7)
    assert below.outcomes == [(1, "unsent")]
    assert below.caches.servers[1].port == 7 and list(below.caches.servers[1].waiting) == [2]


@pytest.mark.parametrize(("mine", "ver"), [(None, "4be0"), ("4be0", "4be1"), ("4be0", None)])
def test_a_copy_is_called_current_only_if_the_server_named_it(
    tmp_path: Path, mine: str | None, ver: str | None
) -> None:
    """Guards against a spoilt answer that lets a client take its copy, or none, for good."""

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


async def trickle(writer: asyncio.StreamWriter, data: bytes) -> None:
    """The data again and again, a little at a time, until the proxy has had enough."""
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
    """Guards against a connection that is never silent, never done, and takes what is sent on it along: the rest of an
    answer that was given up, a line that does not end, answers that nobody asked for."""

    async def scene(w: ProxyHarness) -> None:
        (box,) = w.caches
        tasks: list[asyncio.Task[None]] = []

        def behave(ask: dict[str, str]) -> None:
            box.behave = Box.default_answer
            (writer,) = box.writers
            writer.write(head.replace(b"%s", ask["id"].encode()))
            tasks.append(asyncio.ensure_future(trickle(writer, more)))

        box.behave = behave
        client = await w.client()
        assert (await client.get(budget=700))[0] in ("200", "503")  # as soon as it is ended another is asked on
        await until(lambda: tasks[0].done(), "its connection to be ended")
        assert (await client.get(budget=30_000))[0] == "200" and w.counter("fault", "server") == 0

    limits = SETTINGS["limits"] | {"conn-idle": 3_600_000_000}  # it is not ended as one that is idle
    run_scenario(
        tmp_path, scene, caches=1, settings={"limits": limits, "extra": SETTINGS["extra"] | {"bypass-allowed": False}}
    )
