"""The rules that every step must keep, as guards on the state at that moment.

A step's guard is evaluated again just before the step is carried out, so the rules hold in whatever order steps end.
Nothing here does I/O or knows the time: the caller decides when a cold server is warm and a draining one is drained.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from threadhill.plans.resource import SERVER_KINDS

MAX_COLD_SHARE = (
    1 / 3
)  # of a place's servers that are cold or warm: the most that may be cold, whatever the link could carry


class Phase(Enum):
    """The phase of a recorded resource."""

    SET = "set"  # in effect as recorded; resources other than servers and changing proxies
    CONFIGURING = "telling"  # a proxy whose configuration is written and not yet reported as running
    COLD = "cold"  # listed, not yet warm
    WARM = "warm"
    DRAINING = "draining"  # gets no new requests; open ones may still run
    DRAINED = "drained"  # has no open requests


@dataclass(frozen=True, slots=True)
class Record:
    """The recorded state of a resource, which may differ from the wanted one."""

    kind: str
    name: str
    attrs: dict[str, Any]
    phase: Phase = Phase.SET
    since: int = 0  # Unix ms of its start as published; 0: it ran already when it was listed
    pos: int = 0  # number of the event that published its phase
    at: int = 0  # Unix ms of that event

    @property
    def id(self) -> str:
        return f"{self.kind}.{self.name}"

    def with_phase(self, phase: Phase, since: int, pos: int, at: int) -> Record:
        """A copy in another phase. Calls the constructor: `dataclasses.replace` took most of a large plan's time."""
        return Record(self.kind, self.name, self.attrs, phase, since, pos, at)

    @property
    def place(self) -> str:
        """The node of a box, else the kind: upper caches form one place, as the proxies of every node use them all."""
        return self.attrs["node"] if self.kind == "box" else self.kind

    @property
    def ready(self) -> bool:
        return self.phase in (Phase.COLD, Phase.WARM)


@dataclass(frozen=True, slots=True)
class Place:
    """The parameters of the rules for the boxes of a node, for the upper caches, or for the library."""

    wanted: int = 0  # number of servers in the wanted state
    load: float = 0.6
    hits: float = 0.65
    link_room: float = 1.3
    cold_at_once: int | None = None
    allow_empty: bool = False

    @property
    def min_warm(self) -> int:
        """The number of warm servers needed at all times: enough for the load, at least one."""
        if not self.wanted:
            return 0 if self.allow_empty else 1
        return max(1, math.ceil(self.load * self.wanted - 1e-9))

    def cold_limit(self, warm: int) -> int:
        """How many servers may be cold at once with this many warm ones.

        A cold box fetches all that it is sent, so with c cold and n warm boxes, the node's link carries
        load x (misses + hits x c / (n + c)) of its full traffic. The link has room for link_room x misses.
        """
        if self.cold_at_once is not None:
            return self.cold_at_once
        misses = 1 - self.hits
        share = MAX_COLD_SHARE
        if self.load > 0 and self.hits > 0:
            share = min(share, (self.link_room * misses / self.load - misses) / self.hits)
        return max(1, int(warm * share / (1 - share) + 1e-9)) if share > 0 else 1


PARENT_PLACE = Place(load=0.5, cold_at_once=None)


def places(wanted: Iterable[Any]) -> dict[str, Place]:
    """All places, from the wanted resources (objects with `kind`, `name`, `attrs`). The library's place may be empty
    only if neither boxes nor upper caches are wanted: the library is never drained while any are left."""
    wanted = list(wanted)
    counts = Counter(r.attrs["node"] if r.kind == "box" else r.kind for r in wanted if r.kind in SERVER_KINDS)
    result = {
        f"node.{r.name}": Place(
            counts[f"node.{r.name}"],
            r.attrs["load"],
            r.attrs["hits"],
            r.attrs["link_room"],
            r.attrs["cold_at_once"],
            r.attrs["allow_empty"],
        )
        for r in wanted
        if r.kind == "node"
    }
    boxes = sum(1 for r in wanted if r.kind == "box")
    result["parent"] = replace(PARENT_PLACE, wanted=counts["parent"], allow_empty=not boxes)
    result["library"] = Place(counts["library"], allow_empty=not boxes and not counts["parent"])
    return result


@dataclass(slots=True)
class Fleet:
    """The recorded state, with the counts that the guards need, updated on every change."""

    records: dict[str, Record] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)
    counts: Counter[tuple[str, Phase]] = field(default_factory=Counter)
    holders: dict[str, str] = field(default_factory=dict)  # address -> id of the resource that uses it
    named: Counter[str] = field(default_factory=Counter)  # id -> number of ready servers that fill from it
    belongs: Counter[str] = field(default_factory=Counter)  # id of a node or hub -> number of resources there
    proxies: dict[str, Record] = field(default_factory=dict)  # by name
    gone: frozenset[str] = frozenset()  # ids of servers that no proxy reaches: not counted while ready

    @classmethod
    def from_records(
        cls, records: Iterable[Record], places: dict[str, Place], gone: frozenset[str] = frozenset()
    ) -> Fleet:
        fleet = cls(places=places, gone=gone)
        for record in records:
            fleet.put(record)
        return fleet

    def _count(self, record: Record, by: int) -> None:
        for key in ("node", "hub"):
            if key in record.attrs:
                self.belongs[record.attrs[key]] += by
        if record.kind == "proxy":
            self.counts[record.attrs["node"], record.phase] += by
        if record.kind in SERVER_KINDS:
            if record.id not in self.gone or not record.ready:
                self.counts[record.place, record.phase] += by
            if record.ready:
                for source in record.attrs.get("fills_from", ()):
                    self.named[source] += by

    def put(self, record: Record) -> None:
        old = self.records.get(record.id)
        if old is not None:
            self.remove(old.id)
        self.records[record.id] = record
        if record.kind == "proxy":
            self.proxies[record.name] = record
        for key in ("address", "listen"):
            if key in record.attrs:
                self.holders[record.attrs[key]] = record.id
        self._count(record, 1)

    def change_phase(self, old: Record, new: Record) -> None:
        """Replace a record by the same in another phase. Updates only the counts by phase if `ready` stays the same."""
        if old.ready != new.ready:
            self.put(new)
            return
        self.records[new.id] = new
        if new.kind == "proxy":
            self.proxies[new.name] = new
        place = old.attrs["node"] if old.kind == "proxy" else old.place
        if old.id not in self.gone or not old.ready:
            self.counts[place, old.phase] -= 1
            self.counts[place, new.phase] += 1

    def remove(self, id: str) -> None:
        record = self.records.pop(id)
        self.proxies.pop(record.name if record.kind == "proxy" else "", None)
        for key in ("address", "listen"):
            if key in record.attrs and self.holders.get(record.attrs[key]) == id:
                del self.holders[record.attrs[key]]
        self._count(record, -1)

    def place(self, name: str) -> Place:
        return self.places.get(name, Place(allow_empty=True))

    def cold(self, place: str) -> int:
        return self.counts[place, Phase.COLD]

    def warm(self, place: str) -> int:
        return self.counts[place, Phase.WARM]


# --- guards: why a step may not be carried out now; None if it may


def may_list(fleet: Fleet, record: Record) -> str | None:
    """Guard of listing this server."""
    holder = fleet.holders.get(record.attrs["address"])
    if holder is not None and holder != record.id:
        return f"{record.attrs['address']} is still used by {holder}"
    if record.id in fleet.records and fleet.records[record.id].phase is not Phase.DRAINING:
        return f"{record.id} still exists"
    for source in record.attrs.get("fills_from", ()):
        known = fleet.records.get(source)
        if known is None or not known.ready:
            return f"{source}, its source, is not ready"
        if source in fleet.gone:
            return f"{source}, its source, is reached by no live proxy"
        if known.phase is Phase.COLD and fleet.warm(known.place):
            return f"{source}, its source, is cold"
    if record.phase is Phase.COLD and fleet.warm(record.place) + fleet.counts[record.place, Phase.DRAINING]:
        limit = fleet.place(record.place).cold_limit(fleet.warm(record.place))
        if fleet.cold(record.place) >= limit:
            return f"{record.place} has {fleet.cold(record.place)} cold servers, the limit is {limit}"
    return None


def may_drain(fleet: Fleet, record: Record) -> str | None:
    """Guard of draining this server."""
    place, name = fleet.place(record.place), record.place
    if fleet.named[record.id]:
        return f"{fleet.named[record.id]} other servers still fill from it"
    if record.kind != "box" and place.allow_empty and any(fleet.counts[p] for p in fleet.counts if p[0] != name):
        return "servers or proxies of other places are still there"
    counted = record.id not in fleet.gone
    warm = fleet.warm(name) - (counted and record.phase is Phase.WARM)
    if counted and warm < place.min_warm:  # an unreachable server carries no load anyway
        return f"{name} must keep {place.min_warm} warm servers"
    cold = fleet.cold(name) - (counted and record.phase is Phase.COLD)
    if place.wanted and cold > place.cold_limit(warm):
        return f"{name} has {cold} cold servers, too many for {warm} warm ones"
    return None


def may_remove(fleet: Fleet, record: Record) -> str | None:
    """Guard of removing this resource, after which its name and address may be used again."""
    if record.kind in SERVER_KINDS and fleet.records[record.id].phase is not Phase.DRAINED:
        return f"{record.id} is not drained yet"
    if record.kind in ("node", "hub") and fleet.belongs[record.id]:
        return f"{fleet.belongs[record.id]} resources are still located there"
    return None


def may_set(fleet: Fleet, record: Record) -> str | None:
    """Guard of setting this resource: its node or hub must exist; a node's proxies are reconfigured one at a time."""
    for key in ("node", "hub"):
        if key in record.attrs and record.attrs[key] not in fleet.records:
            return f"{record.attrs[key]} does not exist"
    if record.kind == "proxy":
        holder = fleet.holders.get(record.attrs["listen"])
        if holder is not None and holder != record.id:
            return f"{record.attrs['listen']} is still used by {holder}"
        if record.id in fleet.records:
            in_progress = fleet.records[record.id].phase is Phase.CONFIGURING
            if fleet.counts[record.attrs["node"], Phase.CONFIGURING] > in_progress:
                return f"another proxy of {record.attrs['node']} does not yet run with its new configuration"
    return None


def violations(fleet: Fleet) -> list[str]:
    """The rules that this state violates; the tests check every prefix of a plan with it."""
    found = []
    for name, place in fleet.places.items():
        warm, cold = fleet.warm(name), fleet.cold(name)
        if warm and cold > place.cold_limit(warm):
            found.append(f"{name}: {cold} cold servers with {warm} warm ones")
    for record in fleet.records.values():
        if record.ready:
            for source in record.attrs.get("fills_from", ()):
                if source not in fleet.records or not fleet.records[source].ready:
                    found.append(f"{record.id}: its source {source} is not ready")
        for key in ("node", "hub"):
            if key in record.attrs and record.attrs[key] not in fleet.records:
                found.append(f"{record.id}: {record.attrs[key]} does not exist")
    return found
