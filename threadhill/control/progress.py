"""The progress of an apply: which steps are confirmed, which may begin, and what the others wait for. Free of I/O.

The ledger calls `advance` repeatedly with the state, the proxies' reports and the time, and records what it returns
before any of it takes effect.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from threadhill.control.proxy_reports import ProxyReports
from threadhill.control.store import StepState
from threadhill.plans import options, planner
from threadhill.plans.planner import Step
from threadhill.plans.rules import SERVER_KINDS, Fleet, Phase, Record

MAX_STEPS_PER_CALL = 500  # steps that begin in one call, to keep the transaction short


@dataclass(slots=True)
class Transitions:
    """What to record now."""

    records: list[Record] = field(default_factory=list)  # records whose phase is confirmed
    done: list[StepState] = field(default_factory=list)
    begin: list[Step] = field(default_factory=list)
    waits: dict[str, str] = field(default_factory=dict)  # step id -> what it waits for
    halted: str = ""  # why the apply can't go on without an operator


def fleet_settings(fleet: Fleet) -> dict[str, Any] | None:
    record = fleet.records.get("settings.settings")
    return record.attrs if record is not None else None


def unreachable_ids(fleet: Fleet, reports: ProxyReports, now: int) -> frozenset[str]:
    """Ids of the recorded servers that no live proxy reaches."""
    names = reports.unreachable(now)
    found = (f"{kind}.{name}" for name in names for kind in SERVER_KINDS)
    return frozenset(id for id in found if id in fleet.records)


def confirmed_phase(fleet: Fleet, record: Record, reports: ProxyReports, now: int) -> tuple[Phase | None, str]:
    """The phase that the time and the proxies' reports confirm, with a note on proxies that were not waited for; or
    None, with what the record waits for."""
    attrs = fleet_settings(fleet) or {}
    if record.kind == "proxy":
        status = reports.by_name.get(record.name)
        if status is not None and status.config == record.attrs["config"]:
            return Phase.SET, ""
        if not reports.is_live(record.name, now):
            return Phase.SET, "not live: it will start with this configuration"
        return None, f"{record.name} to be restarted: it runs with an older configuration"
    delivery = reports.delivery(fleet.proxies, record.pos, record.at, now)
    if not delivery.done:
        return None, f"proxies {', '.join(delivery.waiting[:5])} to apply event {record.pos}"
    note = f"silent, not waited for: {', '.join(delivery.skipped[:5])}" if delivery.skipped else ""
    if record.phase is Phase.COLD:
        ramp = attrs.get("upper_cold_s" if record.kind == "parent" else "cold_s", 0) * 1_000
        if now < record.since + ramp:
            return None, f"it to be warm in {(record.since + ramp - now) / 1e3:.1f} s"
        return Phase.WARM, note
    due = record.at + attrs.get("drain_ms", 0) + options.settle_ms(attrs) if attrs else record.at
    if now < due:
        return None, f"open requests to end, {(due - now) / 1e3:.1f} s at most"
    return Phase.DRAINED, note


def confirm_phases(fleet: Fleet, reports: ProxyReports, now: int) -> list[tuple[Record, str]]:
    """Records whose next phase is confirmed, in that phase, with notes. Also called while no apply is open."""
    confirmed = []
    for record in fleet.records.values():
        if record.phase in (Phase.COLD, Phase.DRAINING, Phase.CONFIGURING):
            phase, note = confirmed_phase(fleet, record, reports, now)
            if phase is not None:
                confirmed.append((replace(record, phase=phase), note))
    return confirmed


def step_confirmed(fleet: Fleet, step: Step, state: StepState, reports: ProxyReports, now: int) -> tuple[bool, str]:
    """Whether a step that has begun is confirmed; and a note on skipped proxies, or what the step waits for."""
    record = fleet.records.get(step.resource)
    if step.action in ("add", "drain") or step.kind == "proxy" and step.action == "set":
        wanted = {"add": Phase.WARM, "drain": Phase.DRAINED}.get(step.action, Phase.SET)
        if record is None or record.phase is wanted:
            return True, ""
        return False, confirmed_phase(fleet, record, reports, now)[1]
    if not state.pos:
        return True, ""
    delivery = reports.delivery(fleet.proxies, state.pos, state.at, now)
    if not delivery.done:
        return False, f"proxies {', '.join(delivery.waiting[:5])} to apply event {state.pos}"
    return True, f"silent, not waited for: {', '.join(delivery.skipped[:5])}" if delivery.skipped else ""


def advance(
    steps: Sequence[Step], states: Mapping[str, StepState], fleet: Fleet, reports: ProxyReports, now: int
) -> Transitions:
    """What may be recorded now. Steps begin in their order, each as soon as the steps that it needs are confirmed and
    its guard holds on the state at that moment."""
    transitions = Transitions()
    done = {id for id, state in states.items() if state.state == "done"}
    gone = unreachable_ids(fleet, reports, now)
    trial: Fleet | None = None
    blocked_places: dict[str, str] = {}  # place -> a step there that has not begun; later steps there wait for it
    for step in steps:
        state = states.get(step.id)
        if state is not None and state.state == "done":
            continue
        if state is not None:
            confirmed_now, text = step_confirmed(fleet, step, state, reports, now)
            if confirmed_now:
                done.add(step.id)
                transitions.done.append(replace(state, state="done", note=text))
            else:
                transitions.waits[step.id] = text
                if step.action == "add" and step.resource in gone:
                    transitions.halted = f"{step.resource} was listed and no live proxy reaches it"
            continue
        missing = next((need for need in step.needs if need not in done), None)
        if missing is None and step.place in blocked_places:
            missing = blocked_places[step.place]
        if missing is not None:
            transitions.waits[step.id] = f"{missing} to be confirmed"
            _block_place(blocked_places, step)
            continue
        if trial is None:
            trial = Fleet.from_records(fleet.records.values(), fleet.places, gone)
        reason = planner.guard(trial, step)
        if reason is not None:
            transitions.waits[step.id] = reason
            _block_place(blocked_places, step)
        elif len(transitions.begin) < MAX_STEPS_PER_CALL:
            planner.begin(trial, step, 0, now)
            transitions.begin.append(step)
    if not transitions.halted and not transitions.begin and not transitions.done and transitions.waits:
        transitions.halted = _stuck_reason(steps, states, fleet, transitions.waits)
    return transitions


def _block_place(blocked_places: dict[str, str], step: Step) -> None:
    if step.place is not None:
        blocked_places.setdefault(step.place, step.id)


def _stuck_reason(
    steps: Sequence[Step], states: Mapping[str, StepState], fleet: Fleet, waits: Mapping[str, str]
) -> str:
    """Why the apply is stuck: no step is under way and none may begin, so only an operator can help. "": it is not."""
    under_way = any(state.state == "intended" for state in states.values()) or any(
        record.phase in (Phase.COLD, Phase.DRAINING, Phase.CONFIGURING)
        for record in fleet.records.values()
        if record.kind in SERVER_KINDS or record.kind == "proxy"
    )
    if under_way:
        return ""
    step = next(s for s in steps if s.id in waits)
    return f"{step.id} can't begin: {waits[step.id]}"
