"""What of a change comes next: which steps are confirmed, which may begin, and what is waited for. Free of I/O.

Called again and again with the state, the proxies' reports and the time; what it returns is written down by the ledger
before anything of it takes effect.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from threadhill.control.membership import Members
from threadhill.control.store import StepState
from threadhill.plans import options, planner
from threadhill.plans.planner import Step
from threadhill.plans.rules import SERVERS, Fleet, Phase, Record

AT_ONCE = 500  # steps that begin in one call: a transaction stays short


@dataclass(slots=True)
class Moves:
    """What to write down."""

    records: list[Record] = field(default_factory=list)  # whose phase is confirmed
    done: list[StepState] = field(default_factory=list)
    begin: list[Step] = field(default_factory=list)
    waits: dict[str, str] = field(default_factory=dict)  # step -> what it waits for
    halted: str = ""  # why nothing more will come of this without an operator


def settings(fleet: Fleet) -> dict[str, Any] | None:
    record = fleet.records.get("settings.settings")
    return record.attrs if record is not None else None


def gone_ids(fleet: Fleet, members: Members, now: int) -> frozenset[str]:
    """Ids of recorded servers that the proxies report out of reach."""
    names = members.gone(now)
    found = (f"{kind}.{name}" for name in names for kind in SERVERS)
    return frozenset(id for id in found if id in fleet.records)


def confirmed(fleet: Fleet, record: Record, members: Members, now: int) -> tuple[Phase | None, str]:
    """The phase that this record's time and the proxies' reports confirm, or None and what is waited for; with a phase
    the text says who was not waited for."""
    attrs = settings(fleet) or {}
    if record.kind == "proxy":
        member = members.by_name.get(record.name)
        if member is not None and member.config == record.attrs["config"]:
            return Phase.SET, ""
        if not members.live(record.name, now):
            return Phase.SET, "not live: it will start with it"
        return None, f"{record.name} to be restarted: it runs with an older configuration"
    told = members.told(fleet.proxies, record.pos, record.at, now)
    if not told.done:
        return None, f"proxies {', '.join(told.waits[:5])} to apply event {record.pos}"
    note = f"silent, not waited for: {', '.join(told.passed[:5])}" if told.passed else ""
    if record.phase is Phase.COLD:
        ramp = attrs.get("upper_cold_s" if record.kind == "parent" else "cold_s", 0) * 1_000
        if now < record.since + ramp:
            return None, f"it to be warm in {(record.since + ramp - now) / 1e3:.1f} s"
        return Phase.WARM, note
    due = record.at + attrs.get("drain_ms", 0) + options.settle_ms(attrs) if attrs else record.at
    if now < due:
        return None, f"what it had taken, {(due - now) / 1e3:.1f} s at most"
    return Phase.DRAINED, note


def settle(fleet: Fleet, members: Members, now: int) -> list[tuple[Record, str]]:
    """Records whose phase has come to be, as they are now; also while nothing is applied."""
    moved = []
    for record in fleet.records.values():
        if record.phase in (Phase.COLD, Phase.DRAINING, Phase.TELLING):
            phase, note = confirmed(fleet, record, members, now)
            if phase is not None:
                moved.append((replace(record, phase=phase), note))
    return moved


def step_done(fleet: Fleet, step: Step, state: StepState, members: Members, now: int) -> tuple[bool, str]:
    """Whether a step that was begun is confirmed; what it waits for, or who was passed over."""
    record = fleet.records.get(step.resource)
    if step.action in ("add", "drain") or step.kind == "proxy" and step.action == "set":
        wanted = {"add": Phase.WARM, "drain": Phase.DRAINED}.get(step.action, Phase.SET)
        if record is None or record.phase is wanted:
            return True, ""
        return False, confirmed(fleet, record, members, now)[1]
    if not state.pos:
        return True, ""
    told = members.told(fleet.proxies, state.pos, state.at, now)
    if not told.done:
        return False, f"proxies {', '.join(told.waits[:5])} to apply event {state.pos}"
    return True, f"silent, not waited for: {', '.join(told.passed[:5])}" if told.passed else ""


def advance(steps: Sequence[Step], states: Mapping[str, StepState], fleet: Fleet, members: Members, now: int) -> Moves:
    """What may be written down now. Steps begin in their order, each as soon as what it needs is confirmed and its
    guard holds on the state as it then is."""
    moves = Moves()
    done = {id for id, state in states.items() if state.state == "done"}
    gone = gone_ids(fleet, members, now)
    trial: Fleet | None = None
    held: dict[str, str] = {}  # place -> a step that has not begun, which no later one of it may overtake
    for step in steps:
        state = states.get(step.id)
        if state is not None and state.state == "done":
            continue
        if state is not None:
            confirmed_now, text = step_done(fleet, step, state, members, now)
            if confirmed_now:
                done.add(step.id)
                moves.done.append(replace(state, state="done", note=text))
            else:
                moves.waits[step.id] = text
                if step.action == "add" and step.resource in gone:
                    moves.halted = f"{step.resource} was listed and no live proxy reaches it"
            continue
        missing = next((need for need in step.needs if need not in done), None)
        if missing is None and step.place in held:
            missing = held[step.place]
        if missing is not None:
            moves.waits[step.id] = f"{missing} to be confirmed"
            _hold(held, step)
            continue
        if trial is None:
            trial = Fleet.of(fleet.records.values(), fleet.places, gone)
        reason = planner.guard(trial, step)
        if reason is not None:
            moves.waits[step.id] = reason
            _hold(held, step)
        elif len(moves.begin) < AT_ONCE:
            planner.begin(trial, step, 0, now)
            moves.begin.append(step)
    if not moves.halted and not moves.begin and not moves.done and moves.waits:
        moves.halted = _stuck(steps, states, fleet, moves.waits)
    return moves


def _hold(held: dict[str, str], step: Step) -> None:
    if step.place is not None:
        held.setdefault(step.place, step.id)


def _stuck(steps: Sequence[Step], states: Mapping[str, StepState], fleet: Fleet, waits: Mapping[str, str]) -> str:
    """Where nothing is under way and nothing may begin, only an operator can help."""
    under_way = any(state.state == "intended" for state in states.values()) or any(
        record.phase in (Phase.COLD, Phase.DRAINING, Phase.TELLING)
        for record in fleet.records.values()
        if record.kind in SERVERS or record.kind == "proxy"
    )
    if under_way:
        return ""
    step = next(s for s in steps if s.id in waits)
    return f"{step.id} can't begin: {waits[step.id]}"
