"""The rules that each step of a change keeps, as guards on the state at that moment.

A step's guard is asked again just before the step is carried out, so the rules hold in whatever order steps end.
Nothing here does I/O or knows the time: who watches the fleet tells when a cold server is warm and a drained one empty.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

from threadhill.plans.resource import SERVER_KINDS

COLD_SHARE = 1 / 3  # part of a node's boxes that may be cold at once, whatever its link could carry


class Phase(Enum):
    """Where a recorded resource stands."""

    SET = "set"  # what has no life of its own: it is as recorded
    CONFIGURING = "telling"  # a proxy whose configuration is written and not yet seen to run
    COLD = "cold"  # listed, and not yet warm
    WARM = "warm"
    DRAINING = "draining"  # gets nothing new; what it had taken may still run
    DRAINED = "drained"  # has nothing left


@dataclass(frozen=True, slots=True)
class Record:
    """A resource as it was last made: what is recorded, not what is wanted."""

    kind: str
    name: str
    attrs: dict[str, Any]
    phase: Phase = Phase.SET
    since: int = 0  # Unix milliseconds of its start as told; 0: it was running
    pos: int = 0  # the event that told its phase
    at: int = 0  # Unix milliseconds of that

    @property
    def id(self) -> str:
        return f"{self.kind}.{self.name}"

    def moved(self, phase: Phase, since: int, pos: int, at: int) -> Record:
        """The same in another phase. Written out: `dataclasses.replace` takes most of a large plan's time."""
        return Record(self.kind, self.name, self.attrs, phase, since, pos, at)

    @property
    def place(self) -> str:
        """The node of a box; all upper caches stand in one place, since every node's proxies choose among them."""
        return self.attrs["node"] if self.kind == "box" else self.kind

    @property
    def ready(self) -> bool:
        return self.phase in (Phase.COLD, Phase.WARM)


@dataclass(frozen=True, slots=True)
class Place:
    """What holds for the servers of one node, or for the upper caches or the library."""

    wanted: int = 0  # servers that there are to be
    load: float = 0.6
    hits: float = 0.65
    link_room: float = 1.3
    cold_at_once: int | None = None
    allow_empty: bool = False

    @property
    def min_warm(self) -> int:
        """Warm servers that there must always be: those that carry the load; at least one."""
        if not self.wanted:
            return 0 if self.allow_empty else 1
        return max(1, math.ceil(self.load * self.wanted - 1e-9))

    def cold_limit(self, warm: int) -> int:
        """How many may be cold at once beside so many warm ones.

        A cold box asks for copies of all it is sent, so with c cold of n + c the node draws load x (misses + hits x
        c / (n + c)) of its full traffic through its link, which carries link_room x misses.
        """
        if self.cold_at_once is not None:
            return self.cold_at_once
        misses = 1 - self.hits
        share = COLD_SHARE
        if self.load > 0 and self.hits > 0:
            share = min(share, (self.link_room * misses / self.load - misses) / self.hits)
        return max(1, int(warm * share / (1 - share) + 1e-9)) if share > 0 else 1


PARENTS = Place(load=0.5, cold_at_once=None)


def places(wanted: Iterable[Any]) -> dict[str, Place]:
    """What holds where, by the wanted resources (objects with `kind`, `name`, `attrs`). The library is never drained
    while anything is left, so its place allows nothing."""
    wanted = list(wanted)
    counts = Counter(r.attrs["node"] if r.kind == "box" else r.kind for r in wanted if r.kind in SERVER_KINDS)
    made = {
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
    made["parent"] = replace(PARENTS, wanted=counts["parent"], allow_empty=not boxes)
    made["library"] = Place(counts["library"], allow_empty=not boxes and not counts["parent"])
    return made


@dataclass(slots=True)
class Fleet:
    """The recorded state with the counts that the guards ask for, kept as it changes."""

    records: dict[str, Record] = field(default_factory=dict)
    places: dict[str, Place] = field(default_factory=dict)
    counts: Counter[tuple[str, Phase]] = field(default_factory=Counter)
    holders: dict[str, str] = field(default_factory=dict)  # address -> id
    named: Counter[str] = field(default_factory=Counter)  # id -> ready servers whose source it is
    belongs: Counter[str] = field(default_factory=Counter)  # node or hub -> what stands there
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
        for word in ("node", "hub"):
            if word in record.attrs:
                self.belongs[record.attrs[word]] += by
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
            self.drop(old.id)
        self.records[record.id] = record
        if record.kind == "proxy":
            self.proxies[record.name] = record
        for word in ("address", "listen"):
            if word in record.attrs:
                self.holders[record.attrs[word]] = record.id
        self._count(record, 1)

    def move(self, old: Record, new: Record) -> None:
        """The same thing in its next phase, which neither makes nor ends anything that others can see as ready."""
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

    def drop(self, id: str) -> None:
        record = self.records.pop(id)
        self.proxies.pop(record.name if record.kind == "proxy" else "", None)
        for word in ("address", "listen"):
            if word in record.attrs and self.holders.get(record.attrs[word]) == id:
                del self.holders[record.attrs[word]]
        self._count(record, -1)

    def place(self, name: str) -> Place:
        return self.places.get(name, Place(allow_empty=True))

    def cold(self, place: str) -> int:
        return self.counts[place, Phase.COLD]

    def warm(self, place: str) -> int:
        return self.counts[place, Phase.WARM]


# --- guards: why a step may not be carried out now; None where it may


def may_list(fleet: Fleet, record: Record) -> str | None:
    """Whether this server may be listed now."""
    holder = fleet.holders.get(record.attrs["address"])
    if holder is not None and holder != record.id:
        return f"{record.attrs['address']} is still {holder}'s"
    if record.id in fleet.records and fleet.records[record.id].phase is not Phase.DRAINING:
        return f"{record.id} is still there"
    for source in record.attrs.get("fills_from", ()):
        known = fleet.records.get(source)
        if known is None or not known.ready:
            return f"{source}, its source, is not ready"
        if source in fleet.gone:
            return f"{source}, its source, is out of every proxy's reach"
        if known.phase is Phase.COLD and fleet.warm(known.place):
            return f"{source}, its source, is cold"
    if record.phase is Phase.COLD and fleet.warm(record.place) + fleet.counts[record.place, Phase.DRAINING]:
        limit = fleet.place(record.place).cold_limit(fleet.warm(record.place))
        if fleet.cold(record.place) >= limit:
            return f"{record.place} has {fleet.cold(record.place)} cold, {limit} at most"
    return None


def may_drain(fleet: Fleet, record: Record) -> str | None:
    """Whether this server may get nothing new from now on."""
    place, name = fleet.place(record.place), record.place
    if fleet.named[record.id]:
        return f"{fleet.named[record.id]} others still fill from it"
    if record.kind != "box" and place.allow_empty and any(fleet.counts[p] for p in fleet.counts if p[0] != name):
        return "boxes are still there"
    counted = record.id not in fleet.gone
    warm = fleet.warm(name) - (counted and record.phase is Phase.WARM)
    if counted and warm < place.min_warm:  # one that is out of reach carries nothing already
        return f"{name} must keep {place.min_warm} warm"
    cold = fleet.cold(name) - (counted and record.phase is Phase.COLD)
    if place.wanted and cold > place.cold_limit(warm):
        return f"{name} has {cold} cold, too many for {warm} warm ones"
    return None


def may_remove(fleet: Fleet, record: Record) -> str | None:
    """Whether this one may be forgotten, and its name and address used again."""
    if record.kind in SERVER_KINDS and fleet.records[record.id].phase is not Phase.DRAINED:
        return f"{record.id} is not drained yet"
    if record.kind in ("node", "hub") and fleet.belongs[record.id]:
        return f"{fleet.belongs[record.id]} others still stand there"
    return None


def may_set(fleet: Fleet, record: Record) -> str | None:
    """Whether this may be made so: what it names must be there, and of a node's proxies one moves at a time."""
    for word in ("node", "hub"):
        if word in record.attrs and record.attrs[word] not in fleet.records:
            return f"{record.attrs[word]} is not there"
    if record.kind == "proxy":
        holder = fleet.holders.get(record.attrs["listen"])
        if holder is not None and holder != record.id:
            return f"{record.attrs['listen']} is still {holder}'s"
        if record.id in fleet.records:
            own = fleet.records[record.id].phase is Phase.CONFIGURING
            if fleet.counts[record.attrs["node"], Phase.CONFIGURING] > own:
                return f"another proxy of {record.attrs['node']} has not come back yet"
    return None


def violations(fleet: Fleet) -> list[str]:
    """The rules that this state breaks; what the tests hold every prefix of a plan against."""
    found = []
    for name, place in fleet.places.items():
        warm, cold = fleet.warm(name), fleet.cold(name)
        if warm and cold > place.cold_limit(warm):
            found.append(f"{name}: {cold} cold beside {warm} warm")
    for record in fleet.records.values():
        if record.ready:
            for source in record.attrs.get("fills_from", ()):
                if source not in fleet.records or not fleet.records[source].ready:
                    found.append(f"{record.id}: its source {source} is not ready")
        for word in ("node", "hub"):
            if word in record.attrs and record.attrs[word] not in fleet.records:
                found.append(f"{record.id}: {record.attrs[word]} is not there")
    return found
