"""Makes records: addresses, SRV (RFC 2782), SVCB and HTTPS (RFC 9460), and SOA."""

from __future__ import annotations

import ipaddress
import struct
from functools import lru_cache

from threadhill.dns.message import Labels, Record, Type, pack_name

PORT_PARAM, IPV4HINT_PARAM, IPV6HINT_PARAM = 3, 4, 6  # SvcParamKeys (RFC 9460, section 14.3.2)


@lru_cache(4_096)
def address(host: str, owner: Labels | None = None) -> Record | None:
    """The A or AAAA record of a literal address; None if the host is a name, for which there is no address record."""
    try:
        found = ipaddress.ip_address(host)
    except ValueError:
        return None
    return Record(Type.A if found.version == 4 else Type.AAAA, found.packed, owner)


def srv(port: int, target: Labels) -> Record:
    """An SRV record for the only target, so priority and weight are 0. RFC 2782 forbids compression of the target."""
    return Record(Type.SRV, struct.pack("!3H", 0, 0, port) + pack_name(target))


def svcb(kind: int, port: int, target: Labels, hint: Record | None) -> Record:
    """An SVCB or HTTPS record in ServiceMode (RFC 9460, section 2.4.3), with parameters in ascending key order."""
    data = struct.pack("!H", 1) + pack_name(target) + struct.pack("!3H", PORT_PARAM, 2, port)
    if hint is not None:
        key = IPV4HINT_PARAM if hint.type == Type.A else IPV6HINT_PARAM
        data += struct.pack("!2H", key, len(hint.data)) + hint.data
    return Record(kind, data)


def soa(zone: Labels, primary: Labels, serial: int, times: tuple[int, int, int, int], owner: Labels | None) -> Record:
    """An SOA record (RFC 1035, section 3.3.13). `times` are refresh, retry, expire and minimum, in seconds."""
    return Record(Type.SOA, (primary, ("hostmaster", *zone), struct.pack("!5I", serial & 0xFFFFFFFF, *times)), owner)
