"""The bound on connections to all servers together, with the order of events forced at the pools, without sockets."""

from __future__ import annotations

import asyncio
import errno
from dataclasses import replace

import pytest

from tests.upstream_stub import PoolHarness, Transport
from threadhill.net.upstream import Limits, Pool, UpstreamConnection

LIMIT = 2  # connections that the harness may have


def connected(servers: int, limit: int = LIMIT, handshake: float = 0.0) -> tuple[PoolHarness, list[UpstreamConnection]]:
    """Pools of `servers` servers, and an idle connection to each of the first `limit`, in order of last use."""
    harness = PoolHarness(servers, Limits(descriptors=limit, handshake=handshake))
    connections = []
    for server in range(1, limit + 1):
        harness.now += 1
        harness.send(100 + server, server=server, source=server)
        connection, _ = harness.connect(server=server)
        harness.answer(connection, 100 + server)
        connections.append(connection)
    harness.results.clear()
    return harness, connections


async def _dial_with_error(harness: PoolHarness, pool: Pool, error: OSError) -> None:
    """Run the real dial of a pool with a connect call that fails."""
    loop = asyncio.get_running_loop()

    async def fail(*args: object) -> None:
        raise error

    loop.create_connection = fail
    await type(harness.caches)._dial(harness.caches, pool)


def test_the_connection_used_least_recently_is_closed_for_a_server_without_one() -> None:
    """Guards against a connection to every server: idle ones took the descriptors that clients need."""
    harness, (first, second) = connected(3)
    harness.send(1, server=1, source=1)
    harness.answer(first, 1)  # used after the second one
    harness.send(3, server=3, source=3)
    assert second.closing_since and not first.closing_since
    assert harness.caches.servers[3].dialling == 1
    second.connection_lost(None)
    assert harness.caches.budget.count == LIMIT


def test_a_busy_connection_is_not_closed_and_a_pool_waits_until_one_is_idle() -> None:
    """Guards against both: an attempt that is aborted for another, and one that waits though there is a place."""
    harness, connections = connected(4)
    harness.send(1, server=1, source=1)
    harness.send(2, server=2, source=2)
    harness.send(3, server=3, source=3)
    harness.send(4, server=4, source=4)
    pools = harness.caches.servers
    assert not any(connection.closing_since for connection in connections)
    assert pools[3].dialling == pools[4].dialling == 0 and harness.results == []
    harness.answer(connections[1], 2)
    assert connections[1].closing_since and not connections[0].closing_since
    assert (pools[3].dialling, pools[4].dialling) == (1, 0)  # in order of arrival
    harness.answer(connections[0], 1)
    assert pools[4].dialling == 1
    for connection in connections:
        connection.connection_lost(None)
    for server in (3, 4):
        connection, transport = harness.connect(server=server)
        assert b"do %016x" % server in transport.sent
        harness.answer(connection, server)
    assert harness.outcomes == [(2, "served"), (1, "served"), (3, "served"), (4, "served")]
    assert harness.caches.budget.count == LIMIT


def test_a_place_that_is_freed_by_a_lost_connection_goes_to_the_pool_that_waits() -> None:
    harness, connections = connected(3)
    harness.send(1, server=1, source=1)
    harness.send(2, server=2, source=2)
    harness.send(3, server=3, source=3)
    connections[0].connection_lost(None)
    assert harness.caches.servers[3].dialling == 1
    assert harness.outcomes == [(1, "broken")]


def test_a_new_connection_is_not_closed_for_another_before_its_attempt_is_written() -> None:
    """Guards against pools that take each other's place in turn, so that none ever sends."""
    harness = PoolHarness(2, Limits(descriptors=1))
    harness.send(1, server=1, source=1)
    harness.send(2, server=2, source=2)
    connection, transport = UpstreamConnection(harness.pool), Transport()
    connection.connection_made(transport)  # established; its pool learns of it in a later loop iteration
    harness.caches.servers[2].flush()
    assert not connection.closing_since and harness.caches.servers[2].dialling == 0
    harness.pool.dialled(up=True)
    assert b"do %016x" % 1 in transport.sent


def test_an_attempt_that_waits_for_a_place_is_given_back_when_its_server_drains() -> None:
    harness, _ = connected(3)
    harness.send(1, server=1, source=1)
    harness.send(2, server=2, source=2)
    harness.send(3, server=3, source=3)
    harness.caches.servers[3].retire()
    assert harness.outcomes == [(3, "unsent")]
    assert not harness.caches.cancel(3)


def test_a_waiting_attempt_that_was_cancelled_takes_no_place() -> None:
    harness, connections = connected(4)
    harness.send(1, server=1, source=1)
    harness.send(2, server=2, source=2)
    harness.send(3, server=3, source=3)
    harness.send(4, server=4, source=4)
    assert not harness.caches.cancel(3)
    harness.answer(connections[0], 1)
    assert (harness.caches.servers[3].dialling, harness.caches.servers[4].dialling) == (0, 1)


def test_an_order_that_must_run_once_gets_a_fresh_connection_in_place_of_an_idle_one() -> None:
    """Guards against an order on a connection that may be cut, only since all places are taken."""
    harness, (first, second) = connected(2)
    harness.now += 1_000_000
    harness.caches._idle_cut = 1_000_000, harness.now  # an idle connection was cut after a second
    harness.send(1, at_most_once=True)
    assert first.closing_since and not second.closing_since and harness.pool.dialling == 1


@pytest.mark.parametrize("limit", [1, 3])
def test_a_new_limit_applies_to_the_idle_connections_that_are_there(limit: int) -> None:
    harness, connections = connected(4, 3)
    harness.send(1, server=1, source=1)
    harness.caches.set_limits(replace(harness.caches.limits, descriptors=limit))
    assert [bool(connection.closing_since) for connection in connections] == [False, limit == 1, limit == 1]


def test_a_dial_that_finds_no_descriptor_is_repeated_once_idle_connections_are_closed() -> None:
    """Guards against requests that are refused for a shortage while idle connections hold the descriptors."""
    harness, connections = connected(4, 3)
    harness.caches.set_limits(replace(harness.caches.limits, descriptors=9))  # more than the process may really hold
    harness.send(4, server=4, source=4)
    pool = harness.caches.servers[4]
    shortage = OSError(errno.EMFILE, "too many open files")
    asyncio.run(_dial_with_error(harness, pool, shortage))
    assert all(connection.closing_since for connection in connections)
    assert pool.dialling == 1 and harness.results == []
    asyncio.run(_dial_with_error(harness, pool, shortage))  # nothing is left to close
    assert harness.outcomes == [(4, "shortage")] and pool.dialling == 0


def test_other_shortages_close_no_idle_connection() -> None:
    """Guards against giving up good connections where that frees nothing: another process would take what they held."""
    harness, connections = connected(2)
    assert not harness.caches.relieve_shortage(OSError(errno.ENFILE, "file table overflow"))
    assert not any(connection.closing_since for connection in connections)


def test_idle_connections_are_closed_in_order_of_their_last_use() -> None:
    harness, connections = connected(3, 3)
    harness.caches.budget.close_idle_since(connections[2].idle_since)
    assert [bool(connection.closing_since) for connection in connections] == [True, True, False]


def test_a_failed_dial_frees_its_place() -> None:
    harness = PoolHarness(2, Limits(descriptors=1))
    harness.send(1)
    harness.send(2, server=2, source=2)
    assert harness.caches.servers[2].dialling == 0
    asyncio.run(_dial_with_error(harness, harness.pool, ConnectionRefusedError()))
    assert harness.outcomes == [(1, "unreached")]
    assert harness.caches.servers[2].dialling == 1 and harness.caches.budget.count == 1
