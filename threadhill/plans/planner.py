"""The planner: from what is wanted, recorded and observed to steps, in an order that keeps the rules.

Every step stands for one event or one written file, is carried out once, and has an id that says what it does. So a
plan made again after some of its steps has just the others, with the same ids.
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

KINDS = ("settings", "hub", "node", "library", "parent", "box", "proxy", "tenant")  # in which they build up
MOVES = {"box": ("node", "address"), "parent": ("hub", "address"), "library": ("hub", "address")}
OWN = ("settle_s", "silent_s")  # settings that concern the control plane alone
ACTIONS = ("set", "update", "add", "return", "drain", "remove", "unset")
PRECONDITIONS = {
    "add": "its name and address are free, its sources are ready and warm, and its place may have one more cold",
    "return": "it drains, and its sources are ready",
    "update": "its sources are ready",
    "drain": "enough of its place stay warm, and nobody ready fills from it",
    "remove": "it is drained",
    "set": "what it stands on is there",
    "unset": "nothing stands on it",
}
EFFECTS = {
    "add": "listed: it is sent requests within its cold start's limits",
    "return": "listed again, as it was",
    "update": "listed with other figures",
    "drain": "gets nothing new",
    "remove": "forgotten; its address is free",
    "set": "recorded",
    "unset": "forgotten",
}
CONFIRMED = {
    "add": "every live proxy has applied it and its warming time has passed",
    "return": "every live proxy has applied it",
    "update": "every live proxy has applied it",
    "drain": "every live proxy has applied it and what it had taken has had its time",
    "remove": "every live proxy has applied it",
    "set": "it is recorded",
    "unset": "it is recorded",
}


@dataclass(frozen=True, slots=True, eq=False)
class Step:
    """One step. `needs` are ids of steps of the same plan that must be confirmed before it."""

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
        """Where it changes what is ready, or None. Such steps of one place never overtake each other: what one of them
        drains, another may need."""
        if self.kind not in rules.SERVER_KINDS or self.action not in ("add", "return", "drain"):
            return None
        return (self.after or self.before)["node"] if self.kind == "box" else self.kind

    @property
    def confirmed_by(self) -> str:
        if self.kind == "proxy" and self.action == "set":
            return "the proxy runs with its new configuration, or is not live"
        if self.kind == "tenant":
            return "every live proxy has applied it"
        return CONFIRMED[self.action]

    @property
    def effect(self) -> str:
        if self.kind == "proxy":
            return "its configuration file is written" if self.action == "set" else "its configuration file goes"
        if self.kind == "tenant":
            return "every proxy is told"
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
    """What is observed and differs from what is recorded."""

    id: str
    recorded: str
    observed: str


@dataclass(frozen=True, slots=True)
class Observed:
    """What proxies report: servers that none of them reaches, and proxies that are not as recorded."""

    gone: frozenset[str] = frozenset()  # ids of servers
    proxies: Mapping[str, str] = field(default_factory=dict)  # id -> what is odd about it


NOTHING = Observed()


@dataclass(slots=True)
class Plan:
    """Steps in their order; steps that cannot be carried out without breaking a rule are `blocked`, with the rule."""

    steps: list[Step]
    blocked: dict[str, str]
    drift: list[Drift]
    pending: list[str]  # resources whose last step is carried out and not yet confirmed

    @property
    def waves(self) -> int:
        return max((step.wave for step in self.steps), default=-1) + 1


def record_of(resource: Resource, warm: bool = False) -> Record:
    """The record that making this resource leads to."""
    if resource.kind in rules.SERVER_KINDS:
        # No rule limits what a library is sent when it is new.
        phase = Phase.WARM if resource.attrs["warm"] or warm or resource.kind == "library" else Phase.COLD
    else:
        phase = Phase.CONFIGURING if resource.kind == "proxy" else Phase.SET
    return Record(resource.kind, resource.name, resource.attrs, phase)


def with_config_digests(wanted: Mapping[str, Resource]) -> dict[str, Resource]:
    """The same, where each proxy's attributes hold a digest of all that its configuration is made from, so that a
    change of settings shows as a change of the proxies that must take it up."""
    settings = wanted.get("settings.settings")
    nodes = {id: r.attrs["hub"] for id, r in sorted(wanted.items()) if r.kind == "node"}
    links = {id: r.attrs["link_kb_per_s"] for id, r in sorted(wanted.items()) if r.kind == "node"}
    crews = sorted((r.attrs["node"], r.name) for r in wanted.values() if r.kind == "proxy")
    hubs = sorted(id for id, r in wanted.items() if r.kind == "hub")
    told = {k: v for k, v in settings.attrs.items() if k not in OWN} if settings else None
    common = digest([told, nodes, links, crews, hubs])
    made = dict(wanted)
    for id, resource in wanted.items():
        if resource.kind == "proxy":
            own = digest([common, {k: v for k, v in resource.attrs.items() if k != "config"}])
            made[id] = Resource("proxy", resource.name, {**resource.attrs, "config": own[:16]})
    return made


def digest(value: Any) -> str:
    """SHA-256 of the value as JSON in one form."""
    return hashlib.sha256(orjson.dumps(value, option=orjson.OPT_SORT_KEYS)).hexdigest()


def plan(wanted: Mapping[str, Resource], recorded: Iterable[Record], observed: Observed = NOTHING) -> Plan:
    """The steps from what is recorded to what is wanted, ordered by going through them against the rules."""
    wanted = with_config_digests(wanted)
    records = {record.id: record for record in recorded}
    steps = _differences(wanted, records)
    ordered, blocked = _order(steps, Fleet.from_records(records.values(), rules.places(wanted.values()), observed.gone))
    pending = [id for id, r in sorted(records.items()) if r.phase in (Phase.COLD, Phase.DRAINING, Phase.CONFIGURING)]
    return Plan(ordered, blocked, drift(records, observed), pending)


def drift(records: Mapping[str, Record], observed: Observed) -> list[Drift]:
    """What proxies see that is not as recorded; a plan does not undo it, since nobody asked for it by file."""
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
        moved = before is not None and after is not None and any(before[w] != after[w] for w in MOVES[kind])
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
        elif old.phase is Phase.DRAINED:  # it may have been stopped: it is listed anew, as a new start
            step("remove", kind, name, before, None)
            step("add", kind, name, None, after)
        elif _told(before) != _told(after):
            step("update", kind, name, before, after)
    return _with_needs(steps)


def _told(attrs: dict[str, Any]) -> dict[str, Any]:
    """What of a server is anybody's concern once it is listed: that it was listed warm is not."""
    return {word: value for word, value in attrs.items() if word != "warm"}


def _with_needs(steps: list[Step]) -> list[Step]:
    """The graph: what a step names must be made before it, and what goes last is what others stand on."""
    by_id = {step.id: step for step in steps}
    leaving = {s.before["address"]: s.id for s in steps if s.action == "remove" and s.kind in rules.SERVER_KINDS}
    leaving |= {s.before["listen"]: s.id for s in steps if s.kind == "proxy" and s.action == "unset"}
    on: dict[str, list[str]] = {}  # node or hub -> steps that take what stands there away
    for s in steps:
        if s.action in ("remove", "unset") and s.before:
            for word in ("node", "hub"):
                if word in s.before:
                    on.setdefault(s.before[word], []).append(s.id)
    made = []
    for s in steps:
        needs: set[str] = set()
        if s.after is not None:
            needs |= {f"set {s.after[word]}" for word in ("node", "hub") if word in s.after}
            needs |= {f"add {source}" for source in s.after.get("fills_from", ())}
            if s.kind in ("proxy", *rules.SERVER_KINDS):
                needs.add("set settings.settings")
            if s.action in ("add", "set"):
                address = s.after.get("address") or s.after.get("listen")
                if address in leaving:
                    needs.add(leaving[address])
        if s.action == "add":
            needs.add(f"remove {s.resource}")
        if s.action == "remove":
            needs.add(f"drain {s.resource}")
        if s.action == "unset":
            needs |= set(on.get(s.resource, ()))
        known = tuple(sorted(n for n in needs if n in by_id and n != s.id))
        made.append(Step(s.id, s.action, s.kind, s.name, s.before, s.after, known))
    return made


def _order(steps: list[Step], fleet: Fleet) -> tuple[list[Step], dict[str, str]]:
    """Waves: what may begin together, each time all before it is confirmed. What never may is blocked."""
    height = {kind: i for i, kind in enumerate(KINDS)}
    ranks = _ranks(steps)
    left = sorted(
        steps,
        key=lambda s: (
            ACTIONS.index(s.action),
            height[s.kind] if s.after is not None else -height[s.kind],
            ranks.get(s.id, 0),
            s.name,
        ),
    )
    drains = Counter((s.place, ranks[s.id]) for s in steps if s.id in ranks)
    done: set[str] = set()
    ordered: list[Step] = []
    why: dict[str, str] = {}
    wave = 0
    while left:
        begun, waiting = [], []
        for step in left:
            reason = next((f"{n} comes first" for n in step.needs if n not in done), None) or guard(fleet, step)
            if reason is None and any(drains[step.place, rank] for rank in range(ranks.get(step.id, 0))):
                reason = f"{step.place} drains first what makes room for others"
            if reason is None:
                begin(fleet, step)
                if step.id in ranks:
                    drains[step.place, ranks[step.id]] -= 1
                begun.append(
                    Step(step.id, step.action, step.kind, step.name, step.before, step.after, step.needs, wave)
                )
            else:
                why[step.id] = reason
                waiting.append(step)
        done |= {step.id for step in begun}
        ordered += begun
        if not confirm_all(fleet) and not begun:
            return ordered, {step.id: why[step.id] for step in waiting}
        left, wave = waiting, wave + bool(begun)
    return ordered, {}


def _ranks(steps: list[Step]) -> dict[str, int]:
    """Which drains go first: 0, those whose name or address a new server of the same place waits for, as it makes up
    for them; 1, those that one elsewhere waits for; 2, the others, which would use up what may be drained for good."""
    by_id = {step.id: step for step in steps}
    ranks = {step.id: 2 for step in steps if step.action == "drain"}
    for step in steps:
        for need in step.needs if step.action == "add" else ():
            drain = "drain " + need.removeprefix("remove ")
            if need.startswith("remove ") and drain in ranks:
                ranks[drain] = min(ranks[drain], 0 if by_id[drain].place == step.place else 1)
    return ranks


def guard(fleet: Fleet, step: Step) -> str | None:
    """Why this step may not be carried out on this state; None where it may."""
    old = fleet.records.get(step.resource)
    match step.action:
        case "add" | "return" | "update":
            record = record_of(Resource(step.kind, step.name, step.after), warm=step.action != "add")
            missing = rules.may_set(fleet, record)
            if missing is not None:
                return missing
            if step.action == "update":
                lost = [
                    s for s in step.after.get("fills_from", ()) if s not in fleet.records or not fleet.records[s].ready
                ]
                return f"{lost[0]}, its source, is not ready" if lost else None
            return rules.may_list(fleet, record)
        case "drain":
            return rules.may_drain(fleet, old) if old is not None else f"{step.resource} is not there"
        case "set":
            return rules.may_set(fleet, record_of(Resource(step.kind, step.name, step.after)))
        case _:
            return rules.may_remove(fleet, old) if old is not None else f"{step.resource} is not there"


def begin(fleet: Fleet, step: Step, pos: int = 0, now: int = 0) -> Record | None:
    """The state once the step is carried out (and not yet confirmed); the record that it leaves, if any."""
    old = fleet.records.get(step.resource)
    if step.action in ("remove", "unset"):
        fleet.drop(step.resource)
        return None
    if step.action == "drain":
        record = old.moved(Phase.DRAINING, old.since, pos, now)
    else:
        record = record_of(Resource(step.kind, step.name, step.after))
        phase, since = record.phase, now if record.phase is Phase.COLD else 0
        if step.action in ("return", "update"):
            # It never stopped: what it was when it was first listed goes on. Whether it is warm, time tells.
            phase, since = Phase.COLD if old.since and old.phase is not Phase.WARM else Phase.WARM, old.since
        record = record.moved(phase, since, pos, now)
    fleet.put(record)
    return record


def confirm_all(fleet: Fleet) -> bool:
    """The state once all that was begun is confirmed; whether that changed anything."""
    after = {Phase.COLD: Phase.WARM, Phase.DRAINING: Phase.DRAINED, Phase.CONFIGURING: Phase.SET}
    moved = [record for record in fleet.records.values() if record.phase in after]
    for record in moved:
        fleet.move(record, record.moved(after[record.phase], record.since, record.pos, record.at))
    return bool(moved)
