"""The planner: computes the steps from the recorded to the wanted state, in an order that keeps the rules.

Every step is one event or one written file, is carried out once, and has an id that says what it does. So a plan made
again after some of its steps consists of the remaining ones, with the same ids.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from threadhill.plans import rules
from threadhill.plans.resource import Resource
from threadhill.plans.rules import Fleet, Phase, Record

SETUP_ORDER = (
    "settings",
    "hub",
    "node",
    "library",
    "parent",
    "box",
    "proxy",
    "tenant",
)  # in the order in which they are set up
RELOCATING_KEYS = {"box": ("node", "address"), "parent": ("hub", "address"), "library": ("hub", "address")}
CONTROL_PLANE_SETTINGS = ("settle_s", "silent_s")  # settings that only the control plane uses
ACTIONS = ("set", "update", "add", "return", "drain", "remove", "unset")
PRECONDITIONS = {
    "add": "its name and address are free, its sources are ready and warm, and its place may have one more cold server",
    "return": "it is draining, and its sources are ready",
    "update": "its sources are ready",
    "drain": "enough servers of its place stay warm, and no ready server fills from it",
    "remove": "it is drained",
    "set": "its node or hub exists",
    "unset": "no resource is located there",
}
EFFECTS = {
    "add": "listed: it is sent requests within the limits of its slow start",
    "return": "listed again, unchanged",
    "update": "listed with changed attributes",
    "drain": "gets nothing new",
    "remove": "removed; its address is free",
    "set": "recorded",
    "unset": "forgotten",
}
CONFIRMATIONS = {
    "add": "every live proxy has applied it and its warm-up time has passed",
    "return": "every live proxy has applied it",
    "update": "every live proxy has applied it",
    "drain": "every live proxy has applied it and its open requests have had their time to end",
    "remove": "every live proxy has applied it",
    "set": "it is recorded",
    "unset": "it is recorded",
}


@dataclass(frozen=True, slots=True, eq=False)
class Step:
    """One step. `needs` are the ids of steps of the same plan that must be confirmed before it."""

    id: str
    action: str
    kind: str
    name: str
    before: dict[str, Any] | None = None
    after: dict[str, Any] | None = None
    needs: tuple[str, ...] = ()
    wave: int = 0

    @property
    def resource(self) -> str:
        return f"{self.kind}.{self.name}"

    @property
    def place(self) -> str | None:
        """The place whose ready servers the step changes, or None. Such steps of a place begin in their order: a server
        that one of them drains may be needed by another."""
        if self.kind not in rules.SERVER_KINDS or self.action not in ("add", "return", "drain"):
            return None
        return (self.after or self.before)["node"] if self.kind == "box" else self.kind

    @property
    def confirmed_by(self) -> str:
        if self.kind == "proxy" and self.action == "set":
            return "the proxy runs with its new configuration, or is not live"
        if self.kind == "tenant":
            return "every live proxy has applied it"
        return CONFIRMATIONS[self.action]

    @property
    def effect(self) -> str:
        if self.kind == "proxy":
            return "its configuration file is written" if self.action == "set" else "its configuration file is removed"
        if self.kind == "tenant":
            return "every proxy is sent the change"
        return EFFECTS[self.action]

    def document(self) -> dict[str, Any]:
        return {
            "id": self.id,
            "action": self.action,
            "kind": self.kind,
            "name": self.name,
            "before": self.before,
            "after": self.after,
            "needs": list(self.needs),
            "wave": self.wave,
            "precondition": PRECONDITIONS[self.action],
            "effect": self.effect,
            "confirmed_by": self.confirmed_by,
        }


@dataclass(frozen=True, slots=True)
class Drift:
    """A difference between the observed and the recorded state."""

    id: str
    recorded: str
    observed: str


@dataclass(frozen=True, slots=True)
class Observed:
    """What proxies report: servers that no live proxy reaches, and proxies that differ from their record."""

    gone: frozenset[str] = frozenset()  # ids of servers that no live proxy reaches
    proxies: Mapping[str, str] = field(default_factory=dict)  # id -> how it differs


NOTHING_OBSERVED = Observed()


@dataclass(slots=True)
class Plan:
    """Steps in their order. Steps that no order allows are `blocked`: id -> the rule that they would violate."""

    steps: list[Step]
    blocked: dict[str, str]
    drift: list[Drift]
    pending: list[str]  # ids of resources whose last step is carried out and not yet confirmed

    @property
    def waves(self) -> int:
        return max((step.wave for step in self.steps), default=-1) + 1


def record_of(resource: Resource, warm: bool = False) -> Record:
    """The record of this resource once its step is carried out."""
    if resource.kind in rules.SERVER_KINDS:
        # A library is never cold: no rule limits the requests to a new one.
        phase = Phase.WARM if resource.attrs["warm"] or warm or resource.kind == "library" else Phase.COLD
    else:
        phase = Phase.CONFIGURING if resource.kind == "proxy" else Phase.SET
    return Record(resource.kind, resource.name, resource.attrs, phase)


def with_config_digests(wanted: Mapping[str, Resource]) -> dict[str, Resource]:
    """Add to each proxy's attributes a digest of everything that its configuration depends on, so that a change of
    settings shows as a change of the proxies that must apply it."""
    settings = wanted.get("settings.settings")
    nodes = {id: r.attrs["hub"] for id, r in sorted(wanted.items()) if r.kind == "node"}
    links = {id: r.attrs["link_kb_per_s"] for id, r in sorted(wanted.items()) if r.kind == "node"}
    proxies = sorted((r.attrs["node"], r.name) for r in wanted.values() if r.kind == "proxy")
    hubs = sorted(id for id, r in wanted.items() if r.kind == "hub")
    published = {k: v for k, v in settings.attrs.items() if k not in CONTROL_PLANE_SETTINGS} if settings else None
    common = digest([published, nodes, links, proxies, hubs])
    result = dict(wanted)
    for id, resource in wanted.items():
        if resource.kind == "proxy":
            own = digest([common, {k: v for k, v in resource.attrs.items() if k != "config"}])
            result[id] = Resource("proxy", resource.name, {**resource.attrs, "config": own[:16]})
    return result


def digest(value: Any) -> str:
    """SHA-256 of the value as JSON with sorted keys."""
    return hashlib.sha256(orjson.dumps(value, option=orjson.OPT_SORT_KEYS)).hexdigest()


def plan(wanted: Mapping[str, Resource], recorded: Iterable[Record], observed: Observed = NOTHING_OBSERVED) -> Plan:
    """The steps from the recorded to the wanted state, ordered by simulating them against the rules."""
    wanted = with_config_digests(wanted)
    records = {record.id: record for record in recorded}
    steps = _differences(wanted, records)
    ordered, blocked = _order(steps, Fleet.from_records(records.values(), rules.places(wanted.values()), observed.gone))
    pending = [id for id, r in sorted(records.items()) if r.phase in (Phase.COLD, Phase.DRAINING, Phase.CONFIGURING)]
    return Plan(ordered, blocked, drift(records, observed), pending)


def drift(records: Mapping[str, Record], observed: Observed) -> list[Drift]:
    """The differences that proxies report. A plan doesn't undo them, since no configuration file asked for them."""
    found = [
        Drift(id, records[id].phase.value, "no live proxy reaches it")
        for id in sorted(observed.gone)
        if id in records and records[id].ready
    ]
    found += [Drift(id, "as configured", text) for id, text in sorted(observed.proxies.items()) if id in records]
    return found


def _differences(wanted: Mapping[str, Resource], records: Mapping[str, Record]) -> list[Step]:
    steps: list[Step] = []

    def step(action: str, kind: str, name: str, before: Any, after: Any) -> None:
        steps.append(Step(f"{action} {kind}.{name}", action, kind, name, before, after))

    for id in {**records, **wanted}:
        old, new = records.get(id), wanted.get(id)
        kind, name = id.split(".", 1)
        before, after = old.attrs if old else None, new.attrs if new else None
        if kind not in rules.SERVER_KINDS:
            if after is None:
                step("unset", kind, name, before, None)
            elif before != after:
                step("set", kind, name, before, after)
            continue
        moved = before is not None and after is not None and any(before[w] != after[w] for w in RELOCATING_KEYS[kind])
        if old is None:
            step("add", kind, name, None, after)
        elif after is None or moved:
            if old.ready:
                step("drain", kind, name, before, None)
            step("remove", kind, name, before, None)
            if moved:
                step("add", kind, name, None, after)
        elif old.phase is Phase.DRAINING:
            step("return", kind, name, before, after)
        elif old.phase is Phase.DRAINED:  # it may have been stopped: it is listed again, as a new start
            step("remove", kind, name, before, None)
            step("add", kind, name, None, after)
        elif _listed_attrs(before) != _listed_attrs(after):
            step("update", kind, name, before, after)
    return _with_needs(steps)


def _listed_attrs(attrs: dict[str, Any]) -> dict[str, Any]:
    """The attributes that matter after a server is listed: all but `warm`, which only says how it started."""
    return {key: value for key, value in attrs.items() if key != "warm"}


def _with_needs(steps: list[Step]) -> list[Step]:
    """Add the dependencies: what a step refers to is made before it; a node or hub goes after what is located there."""
    by_id = {step.id: step for step in steps}
    freed_addresses = {
        s.before["address"]: s.id for s in steps if s.action == "remove" and s.kind in rules.SERVER_KINDS
    }
    freed_addresses |= {s.before["listen"]: s.id for s in steps if s.kind == "proxy" and s.action == "unset"}
    removals_at: dict[str, list[str]] = {}  # id of a node or hub -> ids of the steps that remove what is located there
    for s in steps:
        if s.action in ("remove", "unset") and s.before:
            for key in ("node", "hub"):
                if key in s.before:
                    removals_at.setdefault(s.before[key], []).append(s.id)
    result = []
    for s in steps:
        needs: set[str] = set()
        if s.after is not None:
            needs |= {f"set {s.after[key]}" for key in ("node", "hub") if key in s.after}
            needs |= {f"add {source}" for source in s.after.get("fills_from", ())}
            if s.kind in ("proxy", *rules.SERVER_KINDS):
                needs.add("set settings.settings")
            if s.action in ("add", "set"):
                address = s.after.get("address") or s.after.get("listen")
                if address in freed_addresses:
                    needs.add(freed_addresses[address])
        if s.action == "add":
            needs.add(f"remove {s.resource}")
        if s.action == "remove":
            needs.add(f"drain {s.resource}")
        if s.action == "unset":
            needs |= set(removals_at.get(s.resource, ()))
        existing = tuple(sorted(n for n in needs if n in by_id and n != s.id))
        result.append(Step(s.id, s.action, s.kind, s.name, s.before, s.after, existing))
    return result


def _order(steps: list[Step], fleet: Fleet) -> tuple[list[Step], dict[str, str]]:
    """Order the steps in waves: each may begin once all before it are confirmed. Also returns the blocked steps."""
    setup_index = {kind: i for i, kind in enumerate(SETUP_ORDER)}
    ranks = _drain_ranks(steps)
    remaining = sorted(
        steps,
        key=lambda s: (
            ACTIONS.index(s.action),
            setup_index[s.kind] if s.after is not None else -setup_index[s.kind],
            ranks.get(s.id, 0),
            s.name,
        ),
    )
    drains = Counter((s.place, ranks[s.id]) for s in steps if s.id in ranks)
    done: set[str] = set()
    ordered: list[Step] = []
    reasons: dict[str, str] = {}
    wave = 0
    while remaining:
        begun, waiting = [], []
        for step in remaining:
            reason = next((f"{n} comes first" for n in step.needs if n not in done), None) or guard(fleet, step)
            if reason is None and any(drains[step.place, rank] for rank in range(ranks.get(step.id, 0))):
                reason = f"{step.place} first drains servers whose name or address others wait for"
            if reason is None:
                begin(fleet, step)
                if step.id in ranks:
                    drains[step.place, ranks[step.id]] -= 1
                begun.append(
                    Step(step.id, step.action, step.kind, step.name, step.before, step.after, step.needs, wave)
                )
            else:
                reasons[step.id] = reason
                waiting.append(step)
        done |= {step.id for step in begun}
        ordered += begun
        if not confirm_all(fleet) and not begun:
            return ordered, {step.id: reasons[step.id] for step in waiting}
        remaining, wave = waiting, wave + bool(begun)
    return ordered, {}


def _drain_ranks(steps: list[Step]) -> dict[str, int]:
    """The order of drains. 0: a new server of the same place, which replaces the drained one, waits for its name or
    address; 1: a new server of another place does; 2: all others, which would use up the drains that are allowed."""
    by_id = {step.id: step for step in steps}
    ranks = {step.id: 2 for step in steps if step.action == "drain"}
    for step in steps:
        for need in step.needs if step.action == "add" else ():
            drain = "drain " + need.removeprefix("remove ")
            if need.startswith("remove ") and drain in ranks:
                ranks[drain] = min(ranks[drain], 0 if by_id[drain].place == step.place else 1)
    return ranks


def guard(fleet: Fleet, step: Step) -> str | None:
    """Why this step may not be carried out in this state; None if it may."""
    old = fleet.records.get(step.resource)
    match step.action:
        case "add" | "return" | "update":
            record = record_of(Resource(step.kind, step.name, step.after), warm=step.action != "add")
            missing = rules.may_set(fleet, record)
            if missing is not None:
                return missing
            if step.action == "update":
                not_ready = [
                    s for s in step.after.get("fills_from", ()) if s not in fleet.records or not fleet.records[s].ready
                ]
                return f"{not_ready[0]}, its source, is not ready" if not_ready else None
            return rules.may_list(fleet, record)
        case "drain":
            return rules.may_drain(fleet, old) if old is not None else f"{step.resource} does not exist"
        case "set":
            return rules.may_set(fleet, record_of(Resource(step.kind, step.name, step.after)))
        case _:
            return rules.may_remove(fleet, old) if old is not None else f"{step.resource} does not exist"


def begin(fleet: Fleet, step: Step, pos: int = 0, now: int = 0) -> Record | None:
    """Change the state as the step does when it is carried out, not yet confirmed. Returns the new record, if any."""
    old = fleet.records.get(step.resource)
    if step.action in ("remove", "unset"):
        fleet.remove(step.resource)
        return None
    if step.action == "drain":
        record = old.with_phase(Phase.DRAINING, old.since, pos, now)
    else:
        record = record_of(Resource(step.kind, step.name, step.after))
        phase, since = record.phase, now if record.phase is Phase.COLD else 0
        if step.action in ("return", "update"):
            # It never stopped: its start time stays. If it has one and wasn't warm, it is cold until its warm-up ends.
            phase, since = Phase.COLD if old.since and old.phase is not Phase.WARM else Phase.WARM, old.since
        record = record.with_phase(phase, since, pos, now)
    fleet.put(record)
    return record


def confirm_all(fleet: Fleet) -> bool:
    """Change the state as if all steps begun were confirmed. Returns whether anything changed."""
    after = {Phase.COLD: Phase.WARM, Phase.DRAINING: Phase.DRAINED, Phase.CONFIGURING: Phase.SET}
    moved = [record for record in fleet.records.values() if record.phase in after]
    for record in moved:
        fleet.change_phase(record, record.with_phase(after[record.phase], record.since, record.pos, record.at))
    return bool(moved)
