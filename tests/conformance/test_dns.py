"""Every row of the table against the running program, over each transport that it concerns."""

from __future__ import annotations

import asyncio
import ssl
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path

import dns.message
import trustme
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conformance.rows import ROWS, TARGET, Row, ask
from tests.test_dns import OPERATOR
from tests.test_dns_tls import TLS, certify
from tests.world import World, until
from threadhill.dns import message, options
from threadhill.dns.message import Bad, Ignored, Record, Response


class Udp(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, peer: object) -> None:
        self.received.append(data)


async def over_udp(port: int, raw: bytes, wanted: bool) -> bytes | None:
    transport, udp = await asyncio.get_running_loop().create_datagram_endpoint(Udp, remote_addr=("127.0.0.1", port))
    try:
        transport.sendto(raw)
        if wanted:
            return (await until(lambda: udp.received, "a response"))[0]
        # A query behind it is answered; what comes before that would have been the response that must not come.
        transport.sendto(ask().to_wire())
        await until(lambda: udp.received, "the next response")
        return None if len(udp.received) == 1 else udp.received[0]
    finally:
        transport.close()


async def over_tcp(port: int, raw: bytes, wanted: bool, context: ssl.SSLContext | None = None) -> bytes | None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    writer.write(struct.pack("!H", len(raw)) + raw)
    found = await reader.readexactly(struct.unpack("!H", await reader.readexactly(2))[0])
    writer.close()
    return found


Ways = dict[str, Callable[[bytes, bool], Awaitable[bytes | None]]]


async def ways(world: World, authority: trustme.CA) -> Ways:
    """How a query goes by each transport."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    authority.configure_trust(context)
    plain, secure = await world.listens("dns"), await world.listens("dns tls")
    return {"udp": lambda raw, wanted: over_udp(plain, raw, wanted),
            "tcp": lambda raw, wanted: over_tcp(plain, raw, wanted),
            "tls": lambda raw, wanted: over_tcp(secure, raw, wanted, context)}


async def judge(ways: Ways, row: Row, transport: str) -> str | None:
    """What is wrong; None where the row is kept. A refusal for want of room is no answer to a row, and asked again."""
    query = row.query if isinstance(row.query, bytes) else row.query.to_wire()
    for _ in range(40):
        raw = await ways[transport](query, row.check is not None)
        if row.check is None:
            return None if raw is None else "was answered"
        found = dns.message.from_wire(raw, ignore_trailing=False)
        if found.rcode() != dns.rcode.SERVFAIL:
            break
        await asyncio.sleep(0.1)
    asked = row.query if not isinstance(row.query, bytes) else found
    try:
        return None if row.check(asked, found) else f"is not kept: {found}"
    except (IndexError, KeyError, AttributeError) as error:
        return f"is not kept ({error!r}): {found}"


def test_every_row_of_the_table_is_kept(tmp_path: Path) -> None:
    async def scene() -> list[str]:
        authority = trustme.CA()
        operator = OPERATOR.replace("deadline_ms = 400", 'deadline_ms = 400\nnsid = "n0.example"') + TLS
        certify(tmp_path, authority)
        async with World(tmp_path, caches=4, operator=operator) as world:
            by, wrong = await ways(world, authority), []
            for row in ROWS:
                for transport in row.over:
                    told = await judge(by, row, transport)
                    if told is not None:
                        wrong.append(f"{row.section}, {row.text} ({transport}) {told}")
            return wrong

    assert asyncio.run(scene()) == []
    assert sum(len(row.over) for row in ROWS) >= 120


QUERIES = [row.query if isinstance(row.query, bytes) else row.query.to_wire() for row in ROWS]


def read(raw: bytes) -> None:
    try:
        query = message.read_query(raw)
    except (Bad, Ignored):
        return
    packed = message.pack(query, Response(answers=[Record(message.Type.A, b"\x7f\0\0\1")]), 1_232)
    again = dns.message.from_wire(packed)
    assert again.id == query.id and len(packed) <= 1_232


def test_every_truncation_of_every_query_is_read_or_told() -> None:
    for raw in QUERIES:
        for end in range(len(raw)):
            read(raw[:end])


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.sampled_from(QUERIES), st.lists(st.tuples(st.integers(0, 300), st.integers(0, 255)), max_size=4),
       st.binary(max_size=40))
def test_no_bytes_are_more_than_an_error(raw: bytes, changes: list[tuple[int, int]], more: bytes) -> None:
    data = bytearray(raw + more)
    for at, value in changes:
        if at < len(data):
            data[at] = value
    read(bytes(data))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.lists(st.sampled_from(["a", "b", "route", "example", "x" * 60]), min_size=1, max_size=4),
                min_size=1, max_size=8))
def test_compressed_names_come_back_whole(names: list[list[str]]) -> None:
    query = message.read_query(ask().to_wire())
    records = [Record(message.Type.NS, (tuple(name),), tuple(name)) for name in names]
    packed = message.pack(query, Response(answers=records), 65_535)
    found = dns.message.from_wire(packed, one_rr_per_rrset=True)
    assert [rrset.name.to_text() for rrset in found.answer] == [".".join(name) + "." for name in names]
    assert [rrset[0].target.to_text() for rrset in found.answer] == [".".join(name) + "." for name in names]
    assert len(packed) <= sum(len(message.pack_name(tuple(n))) * 2 + 10 for n in names) + len(ask().to_wire())


def test_an_answer_that_does_not_fit_goes_by_whole_sets() -> None:
    query = message.read_query(ask().to_wire())
    answer, more = Record(message.Type.A, b"\x7f\0\0\1"), Record(message.Type.A, b"\x7f\0\0\2", ("other", "example"))
    whole = message.pack(query, Response(answers=[answer], additional=[more]), 512)
    less = message.pack(query, Response(answers=[answer], additional=[more]), len(whole) - 1)
    none = message.pack(query, Response(answers=[answer], additional=[more]), len(less) - 1)
    assert [len(dns.message.from_wire(raw).answer) for raw in (whole, less)] == [1, 1]
    assert not dns.message.from_wire(less).additional and not dns.message.from_wire(less).flags & dns.flags.TC
    assert dns.message.from_wire(none).flags & dns.flags.TC and not dns.message.from_wire(none).answer


def test_a_subnet_is_read_in_its_shortest_form_only() -> None:
    assert options.read_subnet(b"\0\1\x14\0\xc6\x33\x60").source == 20
    assert TARGET.endswith("route.example.")
