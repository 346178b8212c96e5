"""What may stand in a configuration: one model for each kind of block, checked by pydantic."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field

from threadhill import zonefile
from threadhill.documents import MAX_QUOTA, MAX_ZONES
from threadhill.hostnames import BOXES, labels_of
from threadhill.plans.expr import Ref
from threadhill.zonefile import MOST_RECORDS

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")  # a DNS label, since it may stand in names and in lines
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
    return zonefile.read(value).text


def _to(*kinds: str) -> BeforeValidator:
    """A reference to one of these kinds, kept as `kind.name`."""

    def check(value: Any) -> Any:
        if not isinstance(value, Ref):
            raise ValueError(f"must name a {' or a '.join(kinds)}, as in {kinds[0]}.NAME")
        if value.kind not in kinds:
            raise ValueError(f"must name a {' or a '.join(kinds)}; {value} is a {value.kind}")
        return str(value)

    return BeforeValidator(check)


def _unique(value: list[Any]) -> list[Any]:
    if len(set(value)) < len(value):
        raise ValueError("names something twice")
    return value


Address = Annotated[str, AfterValidator(_address)]
Zone = Annotated[str, AfterValidator(_zone)]
Part = Annotated[float, Field(ge=0, le=1)]
HubRef, NodeRef = Annotated[str, _to("hub")], Annotated[str, _to("node")]
Sources = Annotated[list[Annotated[str, _to("parent", "library")]], AfterValidator(_unique)]


class Model(BaseModel):
    """Strict: no unknown keys, and no value that only looks like another."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Hub(Model):
    """Where links meet; upper caches and the library stand there."""


class Node(Model):
    """Where boxes and proxies stand."""

    hub: HubRef
    link_kb_per_s: float = Field(0, ge=0)  # its link in; 0 where it is not known
    load: Part = 0.6  # part of what its boxes can do together that is asked of them
    hits: Part = 0.65  # part of its requests that pooled boxes serve from what they keep
    link_room: float = Field(1.3, ge=1, le=100)  # its link, over what pooled boxes draw at full load
    cold_at_once: int | None = Field(None, ge=1)  # cold boxes at once, in place of what the planner works out
    allow_empty: bool = False  # whether it may be left without a box


class Server(Model):
    """What boxes, upper caches and the library share."""

    address: Address
    size: float = Field(4, gt=0, le=10_000)  # cores
    cell: int = Field(0, ge=0, lt=1 << 31)
    warm: bool = False  # whether it runs already when it is listed: then it is never taken for cold


class Box(Server):
    """A cache box of a node."""

    node: NodeRef
    fills_from: Sources = []  # what it is set up to reach; empty: all upper caches


class Parent(Server):
    """An upper cache."""

    hub: HubRef
    fills_from: Sources = []  # empty: the library


class Library(Server):
    """The origin of everything."""

    hub: HubRef


class Proxy(Model):
    """A steering proxy."""

    node: NodeRef
    listen: Address
    cores: float = Field(1, gt=0, le=1_024)
    memory_mb: int = Field(192, ge=32, le=1 << 20)
    sockets: int = Field(1_024, ge=256, le=1 << 20)


class Tenant(Model):
    """A tenant: zones in which DNS serves it, a quota of requests a second (0: none), and static records."""

    zones: Annotated[list[Zone], AfterValidator(_unique), Field(max_length=MAX_ZONES)] = []
    quota: float = Field(0, ge=0, le=MAX_QUOTA)
    records: Annotated[list[Annotated[str, AfterValidator(_record)]], Field(max_length=MOST_RECORDS)] = []


class RequestClass(Model):
    """A class of requests, a block `class "NAME"` within `settings`."""

    repeat: Literal["safe", "keyed", "unsafe"]
    wanted_ms: int = Field(gt=0, le=3_600_000)
    wanted_stretch: float = Field(0, ge=0, le=100)
    given_up_ms: int = Field(gt=0, le=3_600_000)
    worth: float = Field(1, ge=0)
    late_worth: Part = 0
    window_ms: int = Field(2_000, ge=0, le=3_600_000)  # keyed: in which the library drops a repeat
    write: bool = False
    parts: bool = False
    fresh_ms: int = Field(0, ge=0)
    grace_ms: int = Field(0, ge=0)


REPORTS = ("rif", "busy", "x1", "x0")  # what a cache's answer may report of its load


class Settings(Model):
    """What holds for the whole installation; there is one block of it."""

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
    notes: Literal["all", "hit", "none"] = "none"  # what caches' answers tell of how a miss was filled
    reports: Annotated[list[Literal["rif", "busy", "x1", "x0"]], AfterValidator(_unique)] = list(REPORTS)
    attempts: int = Field(8, ge=1, le=100)
    back_off_ms: int = Field(500, ge=0, le=60_000)
    settle_s: float | None = Field(None, ge=0, le=3_600)  # from drained to removed; default: the longest give-up time
    silent_s: float = Field(7, ge=1, le=600)  # after which a proxy that says nothing is not waited for


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
RESERVED = {"tenant": {BOXES}}
