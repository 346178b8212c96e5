"""A journal service that is slow or crowded: the proxy must not ask it again while it is telling its events."""

from __future__ import annotations

import time
from enum import Enum
from pathlib import Path
from types import SimpleNamespace

import pytest

from tests.harness import ProxyHarness, until
from tests.test_proxy import run_scenario
from threadhill.core.clock import Clock
from threadhill.core.deadlines import Deadlines
from threadhill.net.journal import Journal
from threadhill.net.journal_monitor import LINE_TIMEOUT, REREQUEST_DELAY, SILENCE_TIMEOUT
from threadhill.net.watch_connection import WatchConnection
from threadhill.stats import Stats

GROUPS = 12  # purged groups in the journal before the drain
TOLD = 7.0  # seconds after which an event counts as told


async def drain_behind_purges(w: ProxyHarness) -> None:
    """Purge some groups, and drain the first server right after, while the service tells its events slowly. Wait until
    the proxy knows all of it, and check that the server is not used any more."""
    for group in range(GROUPS):
        w.journal.add({"expire": {"set": group, "stamp": int(time.time() * 1e3)}})
    w.journal.hosts(w.caches[0].member("DRAINING"))
    added = time.monotonic()
    await w.wait_for_events()
    sent, client = len(w.caches[0].asked), await w.client()
    for n in range(20):
        assert (await client.get(obj=f"{n:016x}"))[0] == "200"
    assert len(w.caches[0].asked) == sent
    needed = w.journal.start_delay + len(w.journal.events) * w.journal.event_interval
    assert time.monotonic() - added < max(TOLD, 4 * needed)


def test_a_slow_service_is_not_asked_again_while_its_events_arrive(tmp_path: Path) -> None:
    """Guards against a drain that is never heard: each connection was ended 0.4 s after a heartbeat had announced more
    than was there, though events were arriving on it."""

    async def scene(w: ProxyHarness) -> None:
        w.journal.event_interval = 0.15
        await drain_behind_purges(w)
        assert w.journal.tails == [1]

    run_scenario(tmp_path, scene)


@pytest.mark.parametrize(("interval", "delay"), [(0.5, 0.0), (0.05, 0.6), (0.3, 0.3)])
def test_a_service_that_is_slower_than_the_proxy_waits_is_given_more_time(
    tmp_path: Path, interval: float, delay: float
) -> None:
    """Guards against a wait that never fits: the slower the service, the more often it was asked, and the fewer events
    each connection brought."""

    async def scene(w: ProxyHarness) -> None:
        w.journal.event_interval, w.journal.start_delay, w.journal.heartbeat_first = interval, delay, True
        w.journal.reset()  # it is crowded from the start of the connection on
        await until(lambda: len(w.journal.tails) == 2, "the new connection")
        await drain_behind_purges(w)
        assert len(w.journal.tails) <= 4

    run_scenario(tmp_path, scene)


def test_an_event_that_arrives_in_pieces_is_waited_for(tmp_path: Path) -> None:
    """Guards against ending a connection in the middle of a long list, which no connection would then bring."""

    async def scene(w: ProxyHarness) -> None:
        w.journal.pieces, w.journal.piece_interval, w.journal.heartbeat_first = 10, 0.12, True
        w.journal.hosts(w.caches[0].member("DRAINING"))
        w.journal.reset()  # the new connection announces the event before it begins
        await w.wait_for_events()
        assert w.journal.tails == [1, 1]

    run_scenario(tmp_path, scene)


def test_a_list_that_takes_longer_than_the_longest_silence_arrives(tmp_path: Path) -> None:
    """Guards against judging silence by whole lines: a long list over a slow connection was ended in the middle, and
    begun anew on the next one, for ever."""

    async def scene(w: ProxyHarness) -> None:
        w.journal.pieces, w.journal.piece_interval = 20, 0.15
        w.journal.hosts(w.caches[0].member("DRAINING"))
        await w.wait_for_events()
        assert w.journal.tails == [1]

    run_scenario(tmp_path, scene)


def test_a_service_that_serves_a_new_connection_late_is_given_more_time(tmp_path: Path) -> None:
    """Guards against ending each connection after the same silence, while the service takes longer to begin."""

    async def scene(w: ProxyHarness) -> None:
        w.journal.start_delay = 2.5
        w.journal.reset()
        w.journal.hosts(w.caches[0].member("DRAINING"))
        await w.wait_for_events()
        assert len(w.journal.tails) <= 3

    run_scenario(tmp_path, scene)


def test_a_line_that_never_ends_is_given_up(tmp_path: Path) -> None:
    """Guards against a connection that sends a byte now and then, and no event any more."""

    async def scene(w: ProxyHarness) -> None:
        w.journal.pieces, w.journal.piece_interval = 10_000, 0.2
        w.journal.hosts(w.caches[0].member("DRAINING"))
        await w.logged("a line is not whole after")
        w.journal.pieces = 1
        await w.wait_for_events()

    run_scenario(tmp_path, scene)


def watched(journal_engine: SimpleNamespace) -> tuple[Journal, WatchConnection, list[bool]]:
    """A journal client with a connection, and a list that gets an entry when the connection is given up."""
    ended: list[bool] = []
    journal = Journal(journal_engine, SimpleNamespace(), lambda text: None)
    connection = journal.connection = WatchConnection(journal)
    connection.connected_at = connection.last_received_at = journal_engine.clock.now()
    connection.has_unread_input = lambda: False
    connection.abort = lambda: ended.append(True)
    return journal, connection, ended


def engine() -> SimpleNamespace:
    """What a journal client needs of an engine."""
    return SimpleNamespace(clock=Clock(), deadlines=Deadlines(lambda when: None, lambda error: None), stats=Stats())


class Overdue(Enum):
    """A reason to give up a connection."""

    SILENT = "silent"
    EVENTS = "events"
    LINE = "line"


@pytest.mark.parametrize("reason", list(Overdue))
@pytest.mark.parametrize(("busy", "unread"), [(False, False), (True, False), (False, True)])
def test_input_that_was_not_processed_yet_is_not_overdue(reason: Overdue, busy: bool, unread: bool) -> None:
    """Guards against ending a connection for a delay of this process: what it wants was received, and not yet read or
    applied."""
    journal, connection, ended = watched(engine())
    now = journal.engine.clock.now()
    if reason is Overdue.SILENT:
        connection.last_received_at = now - SILENCE_TIMEOUT - 1
    elif reason is Overdue.LINE:
        connection.line_began_at = now - LINE_TIMEOUT - 1
    else:
        journal.monitor.heartbeat(2, 1, now - REREQUEST_DELAY - 1)
        journal.monitor.applied_at = 0
    if busy:
        connection._lines.append(b"1")
    connection.has_unread_input = lambda: unread
    journal._check()
    assert bool(ended) is not (busy or unread)
