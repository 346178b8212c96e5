"""Zone transfers (RFC 5936): who may have one, and the messages of it.

Only a zone's static records have a list. The steered names are made for each query, so a copy of a zone is for audits
and backups and cannot stand in for this server. Incremental transfers (RFC 1995) are answered whole, or with the SOA
alone where the copy is at the present version. Decisions only: no I/O.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator
from dataclasses import dataclass, field

from threadhill.dns import message as dns
from threadhill.dns.message import Labels, Query, Record, Response
from threadhill.hostnames import labels_of

MESSAGE_SIZE = 16 << 10  # bytes of one message, about: several small ones let others in between
Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class TransferConfig:
    """Who may copy zones, and the keys (name to secret) that they are known by."""

    networks: tuple[Network, ...] = ()
    keys: dict[Labels, bytes] = field(default_factory=dict)


def refusal_reason(
    query: Query, zone: str, peer: str, stream: bool, signed: bool, networks: tuple[Network, ...]
) -> str:
    """Why this transfer is not given; "" where it is."""
    if not stream:
        return "zone transfers are given over TCP only"
    try:
        allowed = any(ipaddress.ip_address(peer) in network for network in networks)
    except ValueError:
        allowed = False
    if not allowed:
        return "zone transfers are not served to this address"
    if not signed:
        return "zone transfers are given to who signs the query with a shared key (TSIG) only"
    if query.name != labels_of(zone):
        return f"transfers are of whole zones; this name is in {zone}"
    return ""


def messages(query: Query, soa: Record, zone_records: list[Record] | None) -> Iterator[bytes]:
    """The messages: the SOA first and last, what is in the zone between. None: the asker's copy is as new as ours."""
    remaining = [soa] if zone_records is None else [soa, *zone_records, soa]
    while remaining:
        batch: list[Record] = []
        size = 0
        while remaining and size < MESSAGE_SIZE:
            size += 300 + sum(
                len(piece) if isinstance(piece, bytes) else 255
                for piece in ((remaining[0].data,) if isinstance(remaining[0].data, bytes) else remaining[0].data)
            )
            batch.append(remaining.pop(0))
        yield dns.pack(query, Response(answers=batch), 65_000)
