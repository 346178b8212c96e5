"""Runs the table against the program: `threadhill dns conformance` prints it, the tests demand all of it."""

from __future__ import annotations

import asyncio
import ssl
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import dns.message
import trustme

from tests.conformance.rows import LEFT_OUT, ROWS, ZONE, Row, ask
from tests.harness import ProxyHarness, until
from tests.test_dns import OPERATOR
from tests.test_dns_tls import TLS, certify

RECORDS = f"""records = ['note.{ZONE} 60 TXT one', 'note.{ZONE} 60 TXT two', 'alias.{ZONE} CNAME note.{ZONE}',
    '{ZONE} CAA 0 issue ca.example', 'x.deep.{ZONE} A 192.0.2.1']"""


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


async def ways(world: ProxyHarness, authority: trustme.CA) -> Ways:
    """How a query goes by each transport."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    authority.configure_trust(context)
    plain, secure = await world.listening_port("dns"), await world.listening_port("dns tls")
    return {
        "udp": lambda raw, wanted: over_udp(plain, raw, wanted),
        "tcp": lambda raw, wanted: over_tcp(plain, raw, wanted),
        "tls": lambda raw, wanted: over_tcp(secure, raw, wanted, context),
    }


def read_reply(raw: bytes) -> dns.message.Message:
    """The response; one that only tells why a signature does not hold has none itself."""
    try:
        return dns.message.from_wire(raw, ignore_trailing=False)
    except dns.message.UnknownTSIGKey:
        return dns.message.from_wire(raw, keyring=False, ignore_trailing=False)


async def judge(ways: Ways, row: Row, transport: str) -> str | None:
    """What is wrong; None where the row is kept. A refusal for want of room is no answer to a row, and asked again."""
    query = row.query if isinstance(row.query, bytes) else row.query.to_wire()
    for _ in range(40):
        raw = await ways[transport](query, row.check is not None)
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
class Judged:
    """One row over one transport; no fault: it is kept."""

    row: Row
    transport: str
    fault: str | None


async def table(folder: Path) -> list[Judged]:
    """Every row over each transport that it concerns, against a proxy of its own."""
    authority = trustme.CA()
    operator = OPERATOR.replace("deadline_ms = 400", 'deadline_ms = 400\nnsid = "n0.example"') + TLS
    operator = operator.replace('zones = ["route.example"]', 'zones = ["route.example"]\n' + RECORDS, 1)
    certify(folder, authority)
    async with ProxyHarness(folder, caches=4, operator=operator) as world:
        by = await ways(world, authority)
        return [Judged(row, transport, await judge(by, row, transport)) for row in ROWS for transport in row.over]


def format_table(judged: list[Judged]) -> str:
    """The table for people, what is left out with the reasons, and the counts on the last line."""
    lines = []
    for one in judged:
        mark = "kept" if one.fault is None else "NOT KEPT"
        lines.append(f"{mark:<9} {one.transport:<4} {one.row.section:<19} {one.row.text}")
        if one.fault is not None:
            lines.append("          " + one.fault.replace("\n", "\n          "))
    lines += [f"left out       {section:<19} {text}: {why}" for section, text, why in LEFT_OUT]
    kept = sum(one.fault is None for one in judged)
    return "\n".join([*lines, f"{kept} of {len(judged)} kept, {len(LEFT_OUT)} left out"])
