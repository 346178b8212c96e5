"""Tests of views: the longest prefix match on the client's network chooses the node and the scope of the answer."""

from __future__ import annotations

import asyncio
import socket
import struct
from pathlib import Path

import pytest

from tests.harness import ProxyHarness
from tests.test_dns import NOERROR, OPERATOR, SERVFAIL, Reply, Resolver, query
from threadhill.dns.views import View, Views

TABLE = [
    View("sierra", ("198.51.100.0/24", "2001:db8::/32"), ("edge-1",)),
    View("costa", ("198.51.100.128/25",)),
    View("edge-1", ("10.0.0.0/8",)),
]


def test_the_longest_prefix_chooses_and_sets_the_scope() -> None:
    views = Views(TABLE, "edge-1")
    assert views.choose("198.51.100.7").nodes == ("sierra", "edge-1") and views.choose("198.51.100.7").scope == 24
    assert views.choose("198.51.100.200").nodes == ("costa",) and views.choose("198.51.100.200").scope == 25
    assert views.choose("2001:db8:5::1").nodes == ("sierra", "edge-1")
    assert views.choose("192.0.2.1").nodes == ("edge-1",) and views.choose("192.0.2.1").scope == 0
    # A /24 client subnet: the view of the /25 inside it differs for some clients, so the scope is 25.
    assert views.choose("198.51.100.0", 24) == views.choose("198.51.100.0", 24)
    assert views.choose("198.51.100.0", 24).nodes[0] == "sierra" and views.choose("198.51.100.0", 24).scope == 25
    assert views.choose("198.51.0.0", 16).nodes == ("edge-1",) and views.choose("198.51.0.0", 16).scope == 25
    assert Views([], "edge-1").choose("198.51.100.7", 24).scope == 0  # no views: the same for all


def test_a_network_in_two_views_is_refused() -> None:
    with pytest.raises(ValueError, match="two views"):
        Views([View("a", ("10.0.0.0/8",)), View("b", ("10.0.0.0/8",))], "a")


def subnet(address: str, bits: int) -> bytes:
    """An OPT with a client subnet."""
    raw = socket.inet_aton(address)[: (bits + 7) // 8]
    data = struct.pack("!HBB", 1, bits, 0) + raw
    return (
        b"\0" + struct.pack("!HHBBHH", 41, 1_232, 0, 0, 0x8000, 4 + len(data)) + struct.pack("!HH", 8, len(data)) + data
    )


def scope_of(reply: Reply) -> int:
    at = reply.raw.index(b"\x00\x08\x00", len(reply.raw) - 40)
    return reply.raw[at + 7]


def test_clients_get_servers_of_their_node_and_of_the_next_one_when_those_drain(tmp_path: Path) -> None:
    operator = OPERATOR.replace(
        'trusted = ["127.0.0.1/32"]',
        """trusted = ["127.0.0.1/32"]

[[dns.views]]
node = "sierra"
networks = ["203.0.113.0/24"]
then = ["edge-1"]""",
    )

    async def run() -> None:
        w = ProxyHarness(tmp_path, caches=3, operator=operator)
        w.caches[2].locality = "sierra"
        async with w:
            r = await Resolver(await w.listening_port("dns")).start()
            name = "0.{:016x}.art-pages.acme.route.example"
            far = [await r.send(query(name.format(i), more=subnet("203.0.113.0", 24), extra=1)) for i in range(12)]
            assert {reply.addresses[0] for reply in far} == {w.caches[2].host}
            assert {scope_of(reply) for reply in far} == {24}
            near = [await r.send(query(name.format(i), more=subnet("192.0.2.0", 24), extra=1)) for i in range(12)]
            assert {reply.addresses[0] for reply in near} <= {w.caches[0].host, w.caches[1].host}
            w.journal.hosts(w.caches[2].member("DRAINING"))
            await w.wait_for_events()
            await asyncio.sleep(0.3)
            fallen = [await r.send(query(name.format(i), more=subnet("203.0.113.0", 24), extra=1)) for i in range(12)]
            assert {reply.addresses[0] for reply in fallen} <= {w.caches[0].host, w.caches[1].host}
            w.journal.hosts(w.caches[0].member("DRAINING"), w.caches[1].member("DRAINING"))
            await w.wait_for_events()
            none = await r.send(query(name.format(1), more=subnet("203.0.113.0", 24), extra=1))
            assert none.code == SERVFAIL and b"nor of those it may fall to" in none.raw
            assert all(reply.code == NOERROR for reply in far + near + fallen)

    asyncio.run(run())
