"""Parses names below a zone: part, object, class and tenant, from left to right."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from enum import Enum

from threadhill.core.tenants import Tenants
from threadhill.hostnames import SERVERS_LABEL, labels_of

HEX_DIGITS = set("0123456789abcdef")
MAX_PART_DIGITS = 10


class Kind(Enum):
    """What exists at a name of a zone."""

    APEX = "apex"
    EMPTY = "empty"  # an empty non-terminal: NODATA, not NXDOMAIN (RFC 8020)
    TARGET = "target"
    SERVICE = "service"  # _service._tcp before a target
    SERVER = "box"  # a server's own name
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ParsedName:
    """A name within a zone and what it stands for."""

    kind: Kind
    zone: str
    tenant: str = ""
    cls: str = ""
    object: str = ""
    part: int = 0
    server_name: str = ""


def zone_of(labels: tuple[str, ...], zones: Set[str]) -> str | None:
    """The longest of the zones that contain the name."""
    for i in range(len(labels)):
        zone = ".".join(labels[i:])
        if zone in zones:
            return zone
    return None


def parse_name(labels: tuple[str, ...], zone: str, tenants: Tenants, classes: frozenset[str]) -> ParsedName:
    """What exists at a name. A tenant's names exist only in its own zones."""
    relative = labels[: len(labels) - len(labels_of(zone))]
    if not relative:
        return ParsedName(Kind.APEX, zone)
    missing = ParsedName(Kind.NONE, zone)
    if relative[-1] == SERVERS_LABEL:
        if len(relative) > 2:
            return missing
        return (
            ParsedName(Kind.SERVER, zone, server_name=relative[0])
            if len(relative) == 2
            else ParsedName(Kind.EMPTY, zone)
        )
    tenant = tenants.by_name.get(relative[-1])
    # Checked label by label from the zone outwards, without a loop because every query takes this path.
    n = len(relative)
    if n > 6 or tenant is None or zone not in tenant.zones:
        return missing
    if (
        n > 1
        and relative[-2] not in classes
        or n > 2
        and (len(relative[-3]) != 16 or not HEX_DIGITS.issuperset(relative[-3]))
    ):
        return missing
    if n > 3 and not (relative[-4].isascii() and relative[-4].isdigit() and len(relative[-4]) <= MAX_PART_DIGITS):
        return missing
    if n > 4 and relative[-5] != "_tcp" or n > 5 and not (relative[-6].startswith("_") and len(relative[-6]) > 1):
        return missing
    if len(relative) in (1, 2, 3, 5):
        return ParsedName(Kind.EMPTY, zone)
    part, obj, cls, name = relative[-4:]
    return ParsedName(Kind.TARGET if len(relative) == 4 else Kind.SERVICE, zone, name, cls, obj, int(part))
