"""Runs the conformance table against a proxy. `threadhill dns conformance` prints the results; the tests require that
all rows pass."""

from __future__ import annotations

import asyncio
import ssl
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import dns.message
import trustme

from tests.conformance.rows import NOT_IMPLEMENTED, ROWS, ZONE, Row, ask
from tests.harness import ProxyHarness, until
from tests.test_dns import OPERATOR
from tests.test_dns_tls import TLS, issue_certificate

RECORDS = f"""records = ['note.{ZONE} 60 TXT one', 'note.{ZONE} 60 TXT two', 'alias.{ZONE} CNAME note.{ZONE}',
    '{ZONE} CAA 0 issue ca.example', 'x.deep.{ZONE} A 192.0.2.1']"""


class Udp(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.received: list[bytes] = []

    def datagram_received(self, data: bytes, peer: object) -> None:
        self.received.append(data)


async def over_udp(port: int, raw: bytes, response_expected: bool) -> bytes | None:
    transport, udp = await asyncio.get_running_loop().create_datagram_endpoint(Udp, remote_addr=("127.0.0.1", port))
    try:
        transport.sendto(raw)
        if response_expected:
            return (await until(lambda: udp.received, "a response"))[0]
        # A second query is answered. Any response before that one answers the first query, which must get none.
        transport.sendto(ask().to_wire())
        await until(lambda: udp.received, "the next response")
        return None if len(udp.received) == 1 else udp.received[0]
    finally:
        transport.close()


async def over_tcp(
    port: int, raw: bytes, response_expected: bool, context: ssl.SSLContext | None = None
) -> bytes | None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    writer.write(struct.pack("!H", len(raw)) + raw)
    found = await reader.readexactly(struct.unpack("!H", await reader.readexactly(2))[0])
    writer.close()
    return found


Transports = dict[str, Callable[[bytes, bool], Awaitable[bytes | None]]]


async def connect_transports(world: ProxyHarness, authority: trustme.CA) -> Transports:
    """A function for each transport that sends a query and returns the response."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    authority.configure_trust(context)
    plain, secure = await world.listening_port("dns"), await world.listening_port("dns tls")
    return {
        "udp": lambda raw, response_expected: over_udp(plain, raw, response_expected),
        "tcp": lambda raw, response_expected: over_tcp(plain, raw, response_expected),
        "tls": lambda raw, response_expected: over_tcp(secure, raw, response_expected, context),
    }


def read_reply(raw: bytes) -> dns.message.Message:
    """Parse the response. A response with a TSIG error has no MAC, so it is parsed without verification."""
    try:
        return dns.message.from_wire(raw, ignore_trailing=False)
    except dns.message.UnknownTSIGKey:
        return dns.message.from_wire(raw, keyring=False, ignore_trailing=False)


async def check_row(transports: Transports, row: Row, transport: str) -> str | None:
    """The fault; None if the row passes. SERVFAIL for lack of capacity is not a result, so the query is repeated."""
    query = row.query if isinstance(row.query, bytes) else row.query.to_wire()
    for _ in range(40):
        raw = await transports[transport](query, row.check is not None)
        if row.check is None:
            return None if raw is None else "was answered"
        found = read_reply(raw)
        if found.rcode() != dns.rcode.SERVFAIL:
            break
        await asyncio.sleep(0.1)
    asked = row.query if not isinstance(row.query, bytes) else found
    try:
        return None if row.check(asked, found) else f"is not kept: {found}"
    except (IndexError, KeyError, AttributeError) as error:
        return f"is not kept ({error!r}): {found}"


@dataclass(frozen=True)
class RowResult:
    """The result of one row over one transport. Without a fault the row passed."""

    row: Row
    transport: str
    fault: str | None


async def table(folder: Path) -> list[RowResult]:
    """Run every row over each of its transports against a new proxy."""
    authority = trustme.CA()
    operator = OPERATOR.replace("deadline_ms = 400", 'deadline_ms = 400\nnsid = "n0.example"') + TLS
    operator = operator.replace('zones = ["route.example"]', 'zones = ["route.example"]\n' + RECORDS, 1)
    issue_certificate(folder, authority)
    async with ProxyHarness(folder, caches=4, operator=operator) as world:
        transports = await connect_transports(world, authority)
        return [
            RowResult(row, transport, await check_row(transports, row, transport))
            for row in ROWS
            for transport in row.over
        ]


def format_table(results: list[RowResult]) -> str:
    """The results as text, then what is not implemented and why, then the counts in the last line."""
    lines = []
    for one in results:
        mark = "kept" if one.fault is None else "NOT KEPT"
        lines.append(f"{mark:<9} {one.transport:<4} {one.row.section:<19} {one.row.text}")
        if one.fault is not None:
            lines.append("          " + one.fault.replace("\n", "\n          "))
    lines += [f"left out       {section:<19} {text}: {why}" for section, text, why in NOT_IMPLEMENTED]
    kept = sum(one.fault is None for one in results)
    return "\n".join([*lines, f"{kept} of {len(results)} kept, {len(NOT_IMPLEMENTED)} left out"])
