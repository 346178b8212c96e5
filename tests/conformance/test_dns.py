"""Runs every row of the conformance table over its transports, and tests the message parser with malformed input."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import dns.flags
import dns.message
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conformance.rows import NOT_IMPLEMENTED, ROWS, TARGET, ask, wire_message
from tests.conformance.table import format_table, table
from threadhill.dns import message, options
from threadhill.dns.message import BadQuery, IgnoredMessage, Record, Response


def test_every_row_of_the_table_passes(tmp_path: Path) -> None:
    rows = asyncio.run(table(tmp_path))
    assert [row for row in rows if row.fault] == []
    assert len(rows) >= 120 and {row.transport for row in rows} == {"udp", "tcp", "tls"}
    assert format_table(rows).splitlines()[-1] == f"{len(rows)} of {len(rows)} kept, {len(NOT_IMPLEMENTED)} left out"


QUERIES = [row.query if isinstance(row.query, bytes) else row.query.to_wire() for row in ROWS]


def read(raw: bytes) -> None:
    try:
        query = message.read_query(raw)
    except (BadQuery, IgnoredMessage):
        return
    packed = message.pack(query, Response(answers=[Record(message.Type.A, b"\x7f\0\0\1")]), 1_232)
    again = dns.message.from_wire(packed)
    assert again.id == query.id and len(packed) <= 1_232


def test_every_truncated_query_is_parsed_or_rejected() -> None:
    for raw in QUERIES:
        for end in range(len(raw)):
            read(raw[:end])


@settings(max_examples=400, deadline=None, derandomize=True)
@given(
    st.sampled_from(QUERIES),
    st.lists(st.tuples(st.integers(0, 300), st.integers(0, 255)), max_size=4),
    st.binary(max_size=40),
)
def test_random_bytes_cause_no_unexpected_exception(raw: bytes, changes: list[tuple[int, int]], more: bytes) -> None:
    data = bytearray(raw + more)
    for at, value in changes:
        if at < len(data):
            data[at] = value
    read(bytes(data))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.lists(st.sampled_from(["a", "b", "route", "example", "x" * 60]), min_size=1, max_size=4),
        min_size=1,
        max_size=8,
    )
)
def test_compressed_names_are_read_back_unchanged(names: list[list[str]]) -> None:
    query = message.read_query(ask().to_wire())
    records = [Record(message.Type.NS, (tuple(name),), tuple(name)) for name in names]
    packed = message.pack(query, Response(answers=records), 65_535)
    found = dns.message.from_wire(packed, one_rr_per_rrset=True)
    assert [rrset.name.to_text() for rrset in found.answer] == [".".join(name) + "." for name in names]
    assert [rrset[0].target.to_text() for rrset in found.answer] == [".".join(name) + "." for name in names]
    assert len(packed) <= sum(len(message.pack_name(tuple(n))) * 2 + 10 for n in names) + len(ask().to_wire())


def test_the_cost_of_parsing_a_64_kb_message_is_bounded() -> None:
    """Guards against queries that are cheap to send and expensive to parse: many records, and chains of compression
    pointers. They must be rejected before they are parsed in full."""
    question = QUERIES[0][12:]
    many = wire_message((1, 0, 0, 300), question + b"\0\xff\xf0\0\1\0\0\0\0\0\0" * 300)
    chain = b"\x01a\0" + b"".join((0xC000 | at).to_bytes(2, "big") for at in (12, *range(15, 8_000, 2)))
    deep = wire_message((1, 0, 0, 1), chain[:4_000])
    began = time.perf_counter()
    for _ in range(200):
        for data in (many, wire_message((1, 0, 0, 0), b"\0" * 65_000), deep):
            with pytest.raises(BadQuery):
                message.read_query(data)
    assert (time.perf_counter() - began) / 600 < 0.02  # 5 us on average here; the bound leaves room for a busy machine


def test_a_response_that_does_not_fit_loses_whole_sections() -> None:
    query = message.read_query(ask().to_wire())
    answer, more = Record(message.Type.A, b"\x7f\0\0\1"), Record(message.Type.A, b"\x7f\0\0\2", ("other", "example"))
    whole = message.pack(query, Response(answers=[answer], additional=[more]), 512)
    less = message.pack(query, Response(answers=[answer], additional=[more]), len(whole) - 1)
    none = message.pack(query, Response(answers=[answer], additional=[more]), len(less) - 1)
    assert [len(dns.message.from_wire(raw).answer) for raw in (whole, less)] == [1, 1]
    assert not dns.message.from_wire(less).additional and not dns.message.from_wire(less).flags & dns.flags.TC
    assert dns.message.from_wire(none).flags & dns.flags.TC and not dns.message.from_wire(none).answer


def test_a_client_subnet_is_accepted_in_its_shortest_form_only() -> None:
    assert options.read_subnet(b"\0\1\x14\0\xc6\x33\x60").source_prefix == 20
    assert TARGET.endswith("route.example.")
