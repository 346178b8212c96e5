"""A journal service that is slow or crowded: the proxy must not ask it again while it is telling its events."""

from __future__ import annotations

import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from tests.harness import ProxyHarness, until
from tests.test_proxy import run_scenario
from threadhill.core.clock import Clock
from threadhill.core.deadlines import Deadlines
from threadhill.net.journal import Journal
from threadhill.net.journal_monitor import REREQUEST_DELAY
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


@pytest.mark.parametrize(("busy", "unread", "given_up"), [(False, False, 1), (True, False, 0), (False, True, 0)])
def test_input_that_was_not_processed_yet_is_not_overdue(busy: bool, unread: bool, given_up: int) -> None:
    """Guards against ending a connection for a delay of this process: its events were received, and not yet applied."""
    engine = SimpleNamespace(
        clock=Clock(), deadlines=Deadlines(lambda when: None, lambda error: None), stats=Stats(), recovery=None
    )
    ended: list[bool] = []
    journal = Journal(engine, SimpleNamespace(), lambda text: None)
    now = journal.last_line_at = engine.clock.now()
    journal.monitor.heartbeat(2, 1, now - REREQUEST_DELAY)
    journal.monitor.applied_at = now - REREQUEST_DELAY - 1
    journal.connection = SimpleNamespace(
        busy=busy,
        has_unread_input=lambda: unread,
        line_progress_at=lambda: 0,
        abort=lambda: ended.append(True),
        connected_at=now,
        events=0,
    )
    journal._check()
    assert len(ended) == given_up
