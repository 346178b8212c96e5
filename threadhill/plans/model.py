"""The schema of a configuration: one pydantic model for each kind of block."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field

from threadhill import zonefile
from threadhill.documents import MAX_QUOTA, MAX_ZONES
from threadhill.hostnames import SERVERS_LABEL, labels_of
from threadhill.plans.expr import Ref
from threadhill.zonefile import MAX_RECORDS

NAME_PATTERN = re.compile(
    r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
)  # a DNS label, since it may become part of a domain name
KINDS = ("hub", "node", "library", "parent", "box", "proxy", "tenant", "settings")


def _address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if (
        not colon
        or not host
        or set(host) & set(" ,=/\r\n")
        or not (port.isascii() and port.isdigit())
        or not 0 < int(port) < 65_536
    ):
        raise ValueError("must be host:port, the port from 1 to 65535")
    return value


def _zone(value: str) -> str:
    try:
        return ".".join(labels_of(value))
    except ValueError as error:
        raise ValueError(f"must be a domain name: {error}") from None


def _record(value: str) -> str:
    return zonefile.parse_record(value).text


def _reference_to(*kinds: str) -> BeforeValidator:
    """Validates a reference to a resource of one of these kinds and converts it to `kind.name`."""

    def check(value: Any) -> Any:
        if not isinstance(value, Ref):
            raise ValueError(f"must name a {' or a '.join(kinds)}, as in {kinds[0]}.NAME")
        if value.kind not in kinds:
            raise ValueError(f"must name a {' or a '.join(kinds)}; {value} is a {value.kind}")
        return str(value)

    return BeforeValidator(check)


def _unique(value: list[Any]) -> list[Any]:
    if len(set(value)) < len(value):
        raise ValueError("has an item more than once")
    return value


Address = Annotated[str, AfterValidator(_address)]
Zone = Annotated[str, AfterValidator(_zone)]
Fraction = Annotated[float, Field(ge=0, le=1)]
HubRef, NodeRef = Annotated[str, _reference_to("hub")], Annotated[str, _reference_to("node")]
Sources = Annotated[list[Annotated[str, _reference_to("parent", "library")]], AfterValidator(_unique)]


class Model(BaseModel):
    """Base of all models. Strict: rejects unknown keys and converts no types."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Hub(Model):
    """A hub, where the links of nodes meet; upper caches and the library are located there."""


class Node(Model):
    """A node, where boxes and proxies are located."""

    hub: HubRef
    link_kb_per_s: float = Field(0, ge=0)  # capacity of its inbound link; 0: unknown
    load: Fraction = 0.6  # expected load, as a fraction of the total capacity of its boxes
    hits: Fraction = 0.65  # hit rate of its boxes together
    link_room: float = Field(
        1.3, ge=1, le=100
    )  # capacity of its link, as a multiple of its misses' traffic at full load
    cold_at_once: int | None = Field(None, ge=1)  # limit of boxes that are cold at once; None: the planner computes it
    allow_empty: bool = False  # whether its last box may be removed


class Server(Model):
    """Attributes that boxes, upper caches and the library have in common."""

    address: Address
    size: float = Field(4, gt=0, le=10_000)  # cores
    cell: int = Field(0, ge=0, lt=1 << 31)
    warm: bool = False  # whether it runs already when it is listed: then it is never treated as cold


class Box(Server):
    """A cache box of a node."""

    node: NodeRef
    fills_from: Sources = []  # the sources that it can reach; empty: all upper caches


class Parent(Server):
    """An upper cache."""

    hub: HubRef
    fills_from: Sources = []  # empty: the library


class Library(Server):
    """The library: the origin server of all objects."""

    hub: HubRef


class Proxy(Model):
    """A proxy that routes clients' requests to boxes."""

    node: NodeRef
    listen: Address
    cores: float = Field(1, gt=0, le=1_024)
    memory_mb: int = Field(192, ge=32, le=1 << 20)
    sockets: int = Field(1_024, ge=256, le=1 << 20)


class Tenant(Model):
    """A tenant: its DNS zones, its quota in requests per second (0: unlimited), and its static records."""

    zones: Annotated[list[Zone], AfterValidator(_unique), Field(max_length=MAX_ZONES)] = []
    quota: float = Field(0, ge=0, le=MAX_QUOTA)
    records: Annotated[list[Annotated[str, AfterValidator(_record)]], Field(max_length=MAX_RECORDS)] = []


class RequestClass(Model):
    """A class of requests: a block `class "NAME"` in `settings`."""

    repeat: Literal["safe", "keyed", "unsafe"]
    wanted_ms: int = Field(gt=0, le=3_600_000)
    wanted_stretch: float = Field(0, ge=0, le=100)
    given_up_ms: int = Field(gt=0, le=3_600_000)
    worth: float = Field(1, ge=0)
    late_worth: Fraction = 0
    window_ms: int = Field(2_000, ge=0, le=3_600_000)  # keyed: period in which the library drops a repeated request
    write: bool = False
    parts: bool = False
    fresh_ms: int = Field(0, ge=0)
    grace_ms: int = Field(0, ge=0)


REPORT_FIELDS = ("rif", "busy", "x1", "x0")  # load figures that a cache's answer may carry


class Settings(Model):
    """Settings of the whole installation; there is exactly one such block."""

    client_kb_per_s: float = Field(4_000, gt=0)
    drain_ms: int = Field(250, ge=0, le=60_000)
    cold_from: float = Field(0.16, gt=0, le=1)
    cold_s: float = Field(16, ge=0, le=3_600)
    fall_multiple: float = Field(2.5, ge=1)
    fall_s: float = Field(3, gt=0, le=600)
    upper_cold_from: float = Field(0.063, gt=0, le=1)
    upper_cold_s: float = Field(20, ge=0, le=3_600)
    upper_fall_multiple: float = Field(2, ge=1)
    purge_grace_ms: int = Field(500, ge=0, le=60_000)
    purge_done_s: float = Field(6, ge=0, le=600)
    notes: Literal["all", "hit", "none"] = "none"  # which caches' answers tell how a miss was filled
    reports: Annotated[list[Literal["rif", "busy", "x1", "x0"]], AfterValidator(_unique)] = list(REPORT_FIELDS)
    attempts: int = Field(8, ge=1, le=100)
    back_off_ms: int = Field(500, ge=0, le=60_000)
    settle_s: float | None = Field(
        None, ge=0, le=3_600
    )  # time that open requests have to end on a drained server; None: the longest given_up_ms
    silent_s: float = Field(7, ge=1, le=600)  # after which a proxy that sends no report is no longer waited for


MODELS: dict[str, type[Model]] = {
    "hub": Hub,
    "node": Node,
    "library": Library,
    "parent": Parent,
    "box": Box,
    "proxy": Proxy,
    "tenant": Tenant,
    "settings": Settings,
}
RESERVED = {"tenant": {SERVERS_LABEL}}
