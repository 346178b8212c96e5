"""What a name under a zone asks for: part, object, class and tenant, read from left to right."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass
from enum import Enum

from threadhill.core.tenants import Tenants
from threadhill.hostnames import SERVERS_LABEL, labels_of

HEX = set("0123456789abcdef")
MOST_PART = 10  # digits


class Kind(Enum):
    """What stands at a name of a zone."""

    APEX = "apex"
    EMPTY = "empty"  # nothing, but names below it exist: NODATA and not NXDOMAIN (RFC 8020)
    TARGET = "target"
    SERVICE = "service"  # a target behind _service._tcp
    BOX = "box"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ParsedName:
    """A name within a zone."""

    kind: Kind
    zone: str
    tenant: str = ""
    cls: str = ""
    object: str = ""
    part: int = 0
    box: str = ""


def zone_of(labels: tuple[str, ...], zones: Set[str]) -> str | None:
    """The longest of the zones that the name is in."""
    for i in range(len(labels)):
        zone = ".".join(labels[i:])
        if zone in zones:
            return zone
    return None


def parse_name(labels: tuple[str, ...], zone: str, tenants: Tenants, classes: frozenset[str]) -> ParsedName:
    """What stands there. A tenant's names exist only in its own zones: others see nothing of it."""
    left = labels[: len(labels) - len(labels_of(zone))]
    if not left:
        return ParsedName(Kind.APEX, zone)
    none = ParsedName(Kind.NONE, zone)
    if left[-1] == SERVERS_LABEL:
        if len(left) > 2:
            return none
        return ParsedName(Kind.BOX, zone, box=left[0]) if len(left) == 2 else ParsedName(Kind.EMPTY, zone)
    tenant = tenants.by_name.get(left[-1])
    # From the zone outwards; spelled out, since every query comes through here.
    n = len(left)
    if n > 6 or tenant is None or zone not in tenant.zones:
        return none
    if n > 1 and left[-2] not in classes or n > 2 and (len(left[-3]) != 16 or not HEX.issuperset(left[-3])):
        return none
    if n > 3 and not (left[-4].isascii() and left[-4].isdigit() and len(left[-4]) <= MOST_PART):
        return none
    if n > 4 and left[-5] != "_tcp" or n > 5 and not (left[-6].startswith("_") and len(left[-6]) > 1):
        return none
    if len(left) in (1, 2, 3, 5):
        return ParsedName(Kind.EMPTY, zone)
    part, obj, cls, name = left[-4:]
    return ParsedName(Kind.TARGET if len(left) == 4 else Kind.SERVICE, zone, name, cls, obj, int(part))
