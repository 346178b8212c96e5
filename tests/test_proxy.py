"""The platform's front, the cache server protocol and the journal, tested through the running program."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.harness import OBJECT, Box, Journal, ProxyHarness, body_of, open_silent_connections, read_to_end, until


def run_scenario(
    folder: Path,
    scenario: Callable[[ProxyHarness], Awaitable[None]],
    make: type[ProxyHarness] = ProxyHarness,
    **more: object,
) -> None:
    """Run a scenario against a proxy of its own."""

    async def run() -> None:
        async with make(folder, **more) as harness:
            await scenario(harness)

    asyncio.run(run())


def test_a_read_is_forwarded_unchanged_and_answered_completely(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        client = await w.client()
        assert await client.status() == "serving"
        word, fields, body = await client.get("clip-parts", rid="9b1f03aa5c7e2d41", n=3, mem=412.5, mine="4be0")
        assert (word, fields, body) == ("200", {}, f"{OBJECT}/3".encode())
        (ask,) = w.asked()
        assert {k: ask[k] for k in ("id", "profile", "thing", "nth", "rank", "from", "mode", "seen")} == {
            "id": "9b1f03aa5c7e2d41",
            "profile": "clip-parts",
            "thing": OBJECT,
            "nth": "3",
            "rank": "1",
            "from": w.parent.name,
            "mode": "collapse",
            "seen": "4be0",
        }
        assert 0 < int(ask["max"]) <= 3000 and "oldest" not in ask and "replay" not in ask

    run_scenario(tmp_path, scenario)


def test_a_write_goes_to_the_origin_with_its_body_and_idempotency_key(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        client = await w.client()
        assert (await client.get("license-buy", b"x" * 48_000, token="5c0f6e1a"))[0] == "200"
        assert (await client.get("license-buy", b"x"))[
            0
        ] == "500"  # rejected: without its key it could not be retried safely
        (ask,) = w.origin.asked
        assert (ask["replay"], len(ask["body"]), "rank" in ask, "from" in ask) == ("5c0f6e1a", 48_000, False, False)

    run_scenario(tmp_path, scenario)


def test_a_large_answer_and_many_tags_on_one_connection(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: ("ok", "ver=a,born=1", body_of(ask) * 9_000)  # about 170 KB
        client = await w.client()
        tags = {client.ask(n=n): n for n in range(32)}
        for tag, n in tags.items():
            word, _, body = await client.answer(tag)
            assert word == "503" or body == f"{OBJECT}/{n}".encode() * 9_000
        assert sum(client.answers[tag][0] == "200" for tag in tags) >= 8 and not client.answered_twice

    run_scenario(tmp_path, scenario)


def test_a_clients_own_copy_is_confirmed_without_a_body(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: ("current", "ver=4be0,born=1", b"")
        client = await w.client()
        assert await client.get(mine="4be0") == ("200", {"still": "1"}, b"")

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("word", ["nothing", "refused", "error", "stale", "novel"])
def test_a_read_that_fails_everywhere_is_refused_at_once_with_a_retry_time(tmp_path: Path, word: str) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: (word, "-", b"")
        client = await w.client()
        answer, fields, body = await client.get()
        assert (answer, fields.keys(), body) == ("503", {"backoff"}, b"") and 250 <= int(fields["backoff"]) <= 500
        assert len(w.asked()) <= 8

    run_scenario(tmp_path, scenario)


def test_a_connection_reset_is_followed_by_another_attempt(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        def reset_always(box: Box) -> None:
            box.behave = lambda ask: box.reset()

        reset_always(w.caches[0])
        client = await w.client()
        words = [(await client.get(obj=f"{i:016x}"))[0] for i in range(6)]
        assert words == ["200"] * 6 and w.caches[0].asked  # some requests went to the failing server first

    run_scenario(tmp_path, scenario)


def test_a_refused_connection_proves_that_nothing_ran(tmp_path: Path) -> None:
    """Guards against failing a keyed request whose server could not be reached: it did not run and may be retried."""

    async def scenario(w: ProxyHarness) -> None:
        w.origin.server.close()
        client = await w.client()
        word, fields, _ = await client.get("license-buy", b"x", token="aa")
        assert (word, fields.keys()) == ("503", {"backoff"}) and 250 <= int(fields["backoff"]) <= 500

    run_scenario(tmp_path, scenario)


def test_a_server_that_does_not_answer_is_abandoned_within_the_clients_budget(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None
        client = await w.client()
        began = time.monotonic()
        assert (await client.get(budget=300))[0] == "503"
        assert time.monotonic() - began >= 0.25  # not too early; an upper bound would depend on the machine's load
        assert not client.answered_twice

    run_scenario(tmp_path, scenario)


def test_more_requests_than_connections_are_written_without_waiting(tmp_path: Path) -> None:
    """Guards against requests that wait for the answers to others when every connection has an open request."""

    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None
        client = await w.client()
        for n in range(10):
            client.ask("clip-parts", n=n, budget=60_000)
        await until(lambda: len(w.asked()) == 10, "all ten to be written while none is answered")
        assert all(len(box.writers) <= 4 for box in w.boxes)
        assert not client.answers

    run_scenario(tmp_path, scenario, caches=1)


def test_nevermind_cancels_the_attempt_and_gets_no_answer(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None
        client = await w.client()
        tag = client.ask(rid="00000000000000aa", budget=60_000)
        await until(w.asked)
        client.send("NEVERMIND", tag)
        await until(lambda: any(box.undone for box in w.boxes) or not any(box.writers for box in w.boxes))
        assert await client.status() == "serving" and tag not in client.answers

    run_scenario(tmp_path, scenario)


def test_a_drained_server_gets_nothing_new_and_its_open_request_is_finished(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        client = await w.client()
        for i in range(20):
            await client.get(obj=f"{i:016x}")
        assert all(box.asked for box in w.caches)
        w.journal.hosts(w.caches[0].member("DRAINING"))
        w.journal.hosts(w.parent.member("DELETED"))
        await w.wait_for_events()
        before = len(w.caches[0].asked)
        for i in range(20):
            assert (await client.get(obj=f"{i:016x}"))[0] == "200"
        assert len(w.caches[0].asked) == before
        assert {ask["from"] for ask in w.caches[1].asked[-20:]} == {w.origin.name}

    run_scenario(tmp_path, scenario)


def test_an_address_can_be_reused_by_a_new_server(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        removed = w.caches[0].member("DELETED")
        w.journal.hosts(removed)
        w.journal.hosts(removed | {"id": "s-0000000a", "phase": "SERVING"})
        await w.wait_for_events()
        client = await w.client()
        for i in range(20):
            assert (await client.get(obj=f"{i:016x}"))[0] == "200"
        assert w.caches[0].asked

    run_scenario(tmp_path, scenario)


def test_a_purge_limits_the_age_of_acceptable_copies(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        client = await w.client()
        stamp = int(time.time() * 1_000) - 1_000
        # The newest timestamp bounds the ages of the others: the wall clock alone is not trusted.
        w.journal.add({"expire": {"set": 41, "stamp": stamp + 1_000}})
        w.journal.add({"expire": {"name": OBJECT, "stamp": stamp}})
        w.journal.add({"expire": {"set": 40, "stamp": stamp}})
        await w.wait_for_events()
        await client.get()
        await client.get(obj="00000000000000ff", shard=40)
        await client.get(obj="00000000000000ff", shard=42)
        *purged, other = sorted(w.asked(), key=lambda ask: float(ask["at"]))
        for ask in purged:  # relative to the sending: no copy from before the purge is acceptable
            assert 1_000 <= int(ask["oldest"]) <= float(ask["at"]) * 1_000 - stamp + 1
        assert "oldest" not in other

    run_scenario(tmp_path, scenario)


def test_the_journal_resumes_after_a_break_and_applies_each_event_once(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        w.journal.hosts(w.caches[0].member("DRAINING"))
        await w.wait_for_events()
        w.journal.reset()
        w.journal.hosts(w.caches[0].member())
        await until(lambda: len(w.journal.tails) > 1)
        await w.wait_for_events()
        assert w.journal.tails[:2] == [1, 2] and w.counter("journal", "events") == 3
        client = await w.client()
        for i in range(20):
            await client.get(obj=f"{i:016x}")
        assert w.caches[0].asked

    run_scenario(tmp_path, scenario)


def test_a_silent_journal_connection_is_replaced_and_no_event_is_lost(tmp_path: Path) -> None:
    """Guards against missing a drain when the journal's machine vanishes without a connection reset."""

    async def scenario(w: ProxyHarness) -> None:
        w.journal.silent = True
        w.journal.hosts(w.caches[0].member("DRAINING"))
        await until(lambda: len(w.journal.tails) > 1, "another connection to the journal")
        w.journal.silent = False
        await w.wait_for_events()
        client = await w.client()
        for i in range(20):
            await client.get(obj=f"{i:016x}")
        assert not w.caches[0].asked and w.caches[1].asked

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("up", [True, False])
def test_a_reload_moves_to_another_journal_and_continues_after_the_last_event(tmp_path: Path, up: bool) -> None:
    """Guards against exiting on SIGHUP, and against leaving the old journal late or reading the new one from the start.
    If the old journal is down, the proxy is waiting to reconnect."""

    async def scenario(w: ProxyHarness) -> None:
        w.journal.hosts(w.caches[0].member("DRAINING"))
        await w.wait_for_events()
        old, w.journal = w.journal, Journal()
        w.journal.events = list(old.events)
        await w.journal.start()
        if not up:
            old.server.close()
            old.reset()
            await w.logged("journal: no connection")
        w.configure()
        w.process.send_signal(signal.SIGHUP)
        await until(lambda: w.journal.tails and not old.writers, "the journal's move")
        w.journal.hosts(w.caches[0].member())
        w.journal.hosts(w.caches[1].member("DRAINING"))
        old.add({"hosts": {"members": [box.member("DELETED") for box in w.boxes]}})
        await w.wait_for_events()
        assert w.journal.tails == [2] and old.tails == [1]
        client = await w.client()
        assert [(await client.get(obj=f"{i:016x}"))[0] for i in range(10)] == ["200"] * 10
        assert len(w.caches[0].asked) == 10

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("bad", [b"{", b"[]", b'{"journal": "nowhere"}', b"\xff"])
def test_a_reload_of_a_bad_file_changes_nothing_and_is_logged(tmp_path: Path, bad: bytes) -> None:
    async def scenario(w: ProxyHarness) -> None:
        good = (tmp_path / "config.json").read_bytes()
        (tmp_path / "config.json").write_bytes(bad)
        w.process.send_signal(signal.SIGHUP)
        await w.logged("everything stays as it is")
        # Valid except for one event: the proxy must not move to another journal.
        (tmp_path / "config.json").write_bytes(good.replace(b'"phase"', b'"phrase"').replace(b"journal", b"j", 1))
        w.process.send_signal(signal.SIGHUP)
        await until(lambda: w.log.count("everything stays as it is") == 2)
        assert (await (await w.client()).get())[0] == "200"
        w.journal.hosts(w.caches[0].member("DRAINING"))
        await w.wait_for_events()
        assert w.journal.tails == [1]

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("cut", ["half a line", "a gap", "noise"])
def test_a_broken_journal_stream_is_resumed_after_the_last_complete_event(tmp_path: Path, cut: str) -> None:
    """Guards against applying half an event or skipping one: after a gap, the events are requested again."""

    async def scenario(w: ProxyHarness) -> None:
        drain = {"hosts": {"members": [w.caches[0].member("DRAINING")]}}
        raw = json.dumps({"pos": 2} | drain).encode()
        gap = json.dumps({"pos": 3, "expire": {"set": 1, "stamp": 1}}).encode()
        w.journal.silent = True
        (writer,) = w.journal.writers
        writer.write({"half a line": raw[:-9], "a gap": gap + b"\n", "noise": b"\xff\x00[{\n"}[cut])
        await writer.drain()
        if cut == "half a line":
            w.journal.reset()
        await until(lambda: len(w.journal.tails) > 1, "another connection")
        assert w.journal.tails[1] == 1
        w.journal.add(drain)
        w.journal.events *= 2  # each event is sent twice
        w.journal.silent = False
        await until(lambda: w.counter("journal", "events") == 2, "the event")
        client = await w.client()
        for i in range(10):
            await client.get(obj=f"{i:016x}")
        assert len(w.caches[1].asked) == 10

    run_scenario(tmp_path, scenario)


def test_a_vanished_machine_is_detected_by_the_next_connection_attempt(tmp_path: Path) -> None:
    """Guards against new requests on connections that stay open but silent: after an attempt timed out on one without
    any response it is not used again, and the next connection attempt is refused."""

    async def scenario(w: ProxyHarness) -> None:
        lost = w.origin
        lost.behave = lambda ask: None
        client = await w.client()
        keys = [client.ask("license-buy", b"x", token="a", budget=400) for _ in range(4)]
        await until(lambda: len(lost.asked) == 4)
        lost.server.close()  # it accepts no new connections; the existing ones stay open
        for tag in keys:
            assert (await client.answer(tag))[0] in ("503", "500")
        assert (await client.get("license-buy", b"x", token="b", budget=30_000))[0] == "503"
        assert len(lost.asked) == 4

    run_scenario(tmp_path, scenario)


def test_after_sigterm_all_requests_are_answered_and_the_exit_code_is_0(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None if ask["nth"] == "1" else Box.default_answer(ask)
        client = await w.client()
        late = client.ask(n=1, budget=1_500)
        await until(w.asked)
        w.process.send_signal(signal.SIGTERM)
        assert (await (await w.client()).get())[0] == "200"  # a new connection, after the signal
        assert (await client.answer(late))[0] in ("503", "200")
        assert await asyncio.wait_for(w.process.wait(), 20) == 0
        await w.reading
        assert '"taken"' in w.log  # the counters, at exit

    run_scenario(tmp_path, scenario)


BAD_MESSAGES = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"*9\r\n",
    b"*2\r\n$99999\r\n",
    b"*1\r\n$3\r\nASKxx",
    b"*2\r\n$3\r\nASK\r\n$1\r\n0\r\n",
    b"*2\r\n$4\r\nEVAL\r\n$1\r\n1\r\n",
    b"*-1\r\n",
    b"$5\r\nhello\r\n",
    b"\x00" * 100,
]


BAD_FIELDS = [
    {"rid": "x"},
    {"obj": "zz"},
    {"budget": "soon"},
    {"budget": "\u0662"},
    {"budget": "1_0"},
    {"n": -1},
    {"n": "\u00b2"},
    {"mem": "nan"},
    {"mem": "inf"},
    {"mem": -1},
    {"mem": "1e400"},
    {"shard": 256},
    {"shard": "9" * 30},
    {"again": "yes"},
    {"token": "a b"},
    {"token": "a=b"},
    {"mine": "a\r\ndo"},
    {"mine": "a,rid=9b1f03aa5c7e2d41"},
    {"acct": "a b"},
]


def test_bad_bytes_get_an_error_and_a_closed_connection(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for raw in BAD_MESSAGES:
            reader, writer = await asyncio.open_connection("127.0.0.1", w.port)
            writer.write(raw)
            assert (await reader.read()).startswith(b"-ERR "), raw
            writer.close()
        client = await w.client()
        for bad in BAD_FIELDS:
            assert (await client.get(**bad))[0] == "500", bad
        assert (await client.get("no-such-class"))[0] == "500"
        assert (await client.get("art-pages", b"a body"))[0] == "500"
        assert (await client.get())[0] == "200" and len(w.asked()) == 1

    run_scenario(tmp_path, scenario)


def test_a_malformed_answer_costs_only_its_connection(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        w.caches[0].behave = lambda ask: ("ok", "two words", b"")
        client = await w.client()
        assert [(await client.get(obj=f"{i:016x}"))[0] for i in range(6)] == ["200"] * 6
        assert w.caches[0].asked

    run_scenario(tmp_path, scenario)


def test_a_client_that_does_not_read_delays_no_other(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: ("ok", "ver=a,born=1", b"x" * 200_000)
        slow = await w.client()
        slow.task.cancel()
        slow.writer.transport.pause_reading()
        for _ in range(10):
            for n in range(32):
                slow.ask(n=n)
            await asyncio.sleep(0)
        other = await w.client()
        while (await other.get(obj="00000000000000aa"))[2] != b"x" * 200_000:
            await asyncio.sleep(0.05)  # refused while the slow client's requests use up the caches' capacity
        pages = int(Path(f"/proc/{w.process.pid}/statm").read_text().split()[1])
        assert pages * 4096 < 100 << 20

    run_scenario(tmp_path, scenario)


def test_silent_connections_do_not_shut_out_clients(tmp_path: Path) -> None:
    """Guards against hundreds of connections that send nothing, or half a message: they are closed after a timeout, or
    at once if room is needed. A client that has sent a request keeps its connection while there is room."""

    async def scenario(w: ProxyHarness) -> None:
        known = await w.client()
        assert (await known.get())[0] == "200"
        silent = await open_silent_connections(w.port, 200)
        half = await w.client()
        half.writer.write(b"*5\r\n$3\r\nASK\r\n$1\r\n1\r\n")
        usual = [await w.client() for _ in range(20)]
        assert [(await client.get())[0] for client in usual] == ["200"] * 20
        for reader, writer in silent:
            await read_to_end(reader)
            writer.close()
        await asyncio.wait_for(half.task, 30)
        assert (await known.get())[0] == "200" and (await usual[0].get())[0] == "200"

    run_scenario(tmp_path, scenario, sockets=96)


def test_idle_connections_are_closed_when_room_is_needed(tmp_path: Path) -> None:
    """Guards against a table full of idle connections, in which a new client's connection is reset."""

    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None if ask["nth"] == "1" else Box.default_answer(ask)
        asking = await w.client()
        open = asking.ask(n=1, budget=60_000)
        await until(w.asked)
        for _ in range(100):
            assert (await (await w.client()).get())[0] == "200"
        # A client with an open request is not disconnected.
        assert open not in asking.answers and not asking.task.done()
        await until(lambda: w.counter("client", "turned out"))
        assert not w.counter("client", "full")  # no client had to wait for a place

    run_scenario(tmp_path, scenario, sockets=96)


def test_connections_waiting_to_be_accepted_are_answered_at_shutdown(tmp_path: Path) -> None:
    """Guards against resetting connections that the machine has accepted and the program has not yet."""

    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None if ask["nth"] == "1" else Box.default_answer(ask)
        busy = [await w.client() for _ in range(48)]
        for client in busy:
            client.ask("license-buy", n=1, token="t", budget=2_500)
        await until(lambda: w.counter("taken", "license-buy") == 48, "all connections to have an open request")
        late = [await w.client() for _ in range(10)]
        tags = [client.ask(n=0) for client in late]
        await until(lambda: w.counter("client", "full"), "the listener to be full")
        w.process.send_signal(signal.SIGTERM)
        words = [(await client.answer(tag))[0] for client, tag in zip(late, tags, strict=True)]
        assert set(words) <= {"200", "503"}
        assert await asyncio.wait_for(w.process.wait(), 20) == 0

    run_scenario(tmp_path, scenario, sockets=96)


def test_more_requests_than_a_connection_may_have_open_are_refused_at_once(tmp_path: Path) -> None:
    """Guards against a flood of requests that wait unread until others are answered."""

    async def scenario(w: ProxyHarness) -> None:
        w.origin.behave = lambda ask: None
        client = await w.client()
        tags = [client.ask("license-buy", b"x", token=f"t{n}", budget=60_000) for n in range(300)]
        await until(lambda: len(client.answers) == 268, "the refusals")
        assert {client.answers[tag][:2][0] for tag in client.answers} == {"503"}
        assert all(int(fields["backoff"]) > 0 for _, fields, _ in client.answers.values())
        for tag in tags:
            client.send("NEVERMIND", tag)
        await until(lambda: w.counter("client_gone", "license-buy") == 32, "the requests to be cancelled")
        assert (await (await w.client()).get())[0] == "200"

    run_scenario(tmp_path, scenario)


def test_the_id_of_an_open_request_cannot_be_reused(tmp_path: Path) -> None:
    """Guards against two open requests that are indistinguishable on a cache server's connection."""

    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: None
        one, other = await w.client(), await w.client()
        one.ask(rid="00000000000000aa", budget=60_000)
        await until(w.asked)
        assert (await other.get(rid="00000000000000aa", obj="00000000000000ff"))[0] == "500"
        one.ask(rid="00000000000000aa", obj="00000000000000ff")
        await asyncio.wait_for(one.task, 30)  # its connection is ended
        assert len(w.asked()) == 1

    run_scenario(tmp_path, scenario)


MALFORMED_ANSWERS = [
    b"\x80\xff\x00noise\r\n",
    b"%s ok ver=a,born=1 3000000000\r\n" + b"x" * 5_000,
    b"%s ok - \xc2\xb2\r\n",
    b"%s ok ver=a,born=1 3\r\nlonger\r\n",
    b"%s ok ver=a,born=1 -5\r\n",
    b"x" * 9_000,
    b"%s ok\r\n",
    b"%s ok ver 3\r\nabc\r\n",
    b"%s fine ver=a 3\r\nabc\r\n",
]


@pytest.mark.parametrize("raw", MALFORMED_ANSWERS)
def test_a_malformed_answer_closes_its_connection_and_is_not_forwarded(tmp_path: Path, raw: bytes) -> None:
    """Guards against a parser that raises, waits forever or forwards what it could not parse."""

    async def scenario(w: ProxyHarness) -> None:
        def send_malformed(ask: dict[str, str]) -> None:
            w.origin.behave = Box.default_answer
            for writer in w.origin.writers:
                writer.write(raw.replace(b"%s", ask["id"].encode()))

        w.origin.behave = send_malformed
        client = await w.client()
        word, _, body = await client.get("license-buy", b"x", token="a", budget=30_000)
        assert (word, body) == ("200", f"{OBJECT}/0".encode()) and len(w.origin.asked) == 2
        assert w.counter("fault", "server") == 0 and "Traceback" not in w.log

    run_scenario(tmp_path, scenario)


def test_a_truncated_answer_does_not_swallow_the_next_one(tmp_path: Path) -> None:
    """Guards against a connection with an unfinished answer: the next answer on it would be read as the rest."""

    async def scenario(w: ProxyHarness) -> None:
        def send_part(ask: dict[str, str]) -> None:
            w.origin.behave = Box.default_answer
            for writer in w.origin.writers:
                writer.write(f"{ask['id']} ok ver=a,born=1 5000\r\nnot all of it".encode())

        w.origin.behave = send_part
        client = await w.client()
        assert (await client.get("license-buy", b"x", token="a", budget=1_500))[0] in ("500", "503")
        assert (await client.get("license-buy", b"x", token="b", budget=30_000))[0] == "200"

    run_scenario(tmp_path, scenario)


def test_a_duplicate_answer_does_not_end_a_later_attempt(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        def twice(ask: dict[str, str]) -> None:
            w.origin.behave = Box.default_answer
            for writer in w.origin.writers:
                writer.write(f"00000000000000bb ok - 0\r\n\r\n{ask['id']} refused - 0\r\n\r\n".encode() * 2)

        w.origin.behave = twice
        client = await w.client()
        assert (await client.get("license-buy", b"x", token="a"))[0] == "200"
        assert len(w.origin.asked) == 2 and w.counter("malformed", "server") == 0

    run_scenario(tmp_path, scenario)


def test_removed_servers_take_no_share_of_the_connections(tmp_path: Path) -> None:
    """Guards against a table that keeps removed servers, which would reduce the connections of the others."""

    async def scenario(w: ProxyHarness) -> None:
        for i in range(60):
            member = w.caches[0].member() | {"id": f"s-00001{i:03x}"}
            w.journal.hosts(member)
            w.journal.hosts(member | {"phase": "DELETED"})
        await w.wait_for_events()
        w.origin.behave = lambda ask: None
        client = await w.client()
        for i in range(10):
            client.ask("license-buy", b"x", token=f"t{i}", budget=60_000)
        await until(lambda: len(w.origin.asked) == 10)
        assert len(w.origin.writers) == 4

    run_scenario(tmp_path, scenario, sockets=256)


def test_shutdown_is_not_delayed_by_a_client_that_does_not_read_or_by_a_flood(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness) -> None:
        for box in w.boxes:
            box.behave = lambda ask: ("ok", "ver=a,born=1", b"x" * 200_000)
        stuck = await w.client()
        stuck.task.cancel()
        stuck.writer.transport.pause_reading()
        for n in range(32):
            stuck.ask(n=n)
        await until(lambda: w.counter("sent", "art-pages") >= 8)
        flood = await w.client()
        w.process.send_signal(signal.SIGTERM)
        began = time.monotonic()
        while w.process.returncode is None and time.monotonic() < began + 30:
            flood.ask(obj="00000000000000aa")
            await asyncio.sleep(0.01)
        assert w.process.returncode == 0

    run_scenario(tmp_path, scenario)
