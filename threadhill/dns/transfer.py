"""Zone transfers (RFC 5936): access control and messages.

Only a zone's static records are transferred. Steered names are made for each query, so a copy of a zone serves audits
and backups and cannot replace this server. Incremental transfers (RFC 1995) are answered with the full zone, or with
the SOA alone if the copy is current. No I/O.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Iterator
from dataclasses import dataclass, field

from threadhill.dns import message as dns
from threadhill.dns.message import Labels, Query, Record, Response
from threadhill.hostnames import labels_of

MESSAGE_SIZE = 16 << 10  # approximate bytes per message: between small messages other work can run
Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, slots=True)
class TransferConfig:
    """The networks that may transfer zones, and the TSIG keys (name to secret)."""

    networks: tuple[Network, ...] = ()
    keys: dict[Labels, bytes] = field(default_factory=dict)


def refusal_reason(
    query: Query, zone: str, peer: str, stream: bool, signed: bool, networks: tuple[Network, ...]
) -> str:
    """Why this transfer is refused; "" if it is allowed."""
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
    """The messages of a transfer: the SOA, the zone's records, and the SOA again. With None for the records, as the
    requester's copy is current, the SOA alone."""
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
