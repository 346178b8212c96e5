"""The ledger: the recorded state in memory, as the store has it, and every way in which it changes.

Each change is one transaction, written to the store before memory changes and before it is published. So everything
that proxies were told is recorded, and a step that has begun never begins again.
"""

from __future__ import annotations

import bisect
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import orjson

from threadhill.control import progress
from threadhill.control.proxy_reports import ProxyReports
from threadhill.control.store import Apply, Change, StepState, Store, Version
from threadhill.plans import options, planner, rules, saved
from threadhill.plans.planner import Observed, Step
from threadhill.plans.resource import Resource
from threadhill.plans.rules import SERVER_KINDS, Fleet, Phase, Record

LEASE_MS = 5_000  # how long an applier keeps its lease without renewing it
MAX_RECENT_EVENTS = 10_000  # events kept in memory; older ones come from the store
MAX_STORED_EVENTS = 200_000  # events kept in the store; beyond that the older half is deleted
SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"


class Refused(Exception):
    """The request can't be carried out on this state; `code` gives the reason for programs."""

    def __init__(self, code: str, text: str, **details: Any) -> None:
        super().__init__(text)
        self.code, self.details = code, details


class Ledger:
    """One installation's state. `on_publish` is called after new events are in the store."""

    def __init__(
        self, store: Store, on_publish: Callable[[], None] = lambda: None, proxy_reports: ProxyReports | None = None
    ) -> None:
        self.store, self.on_publish = store, on_publish
        self.meta = store.meta()
        self.pos = self.meta["pos"]
        self.proxy_reports = proxy_reports or ProxyReports()
        self.recent_events: deque[tuple[int, bytes]] = deque(
            store.events(max(0, self.pos - MAX_RECENT_EVENTS), MAX_RECENT_EVENTS), MAX_RECENT_EVENTS
        )
        self.oldest_event = store.oldest_event()
        self.open_apply = store.open_apply()
        self.steps: list[Step] = saved.steps_of(self.open_apply.plan) if self.open_apply else []
        self.step_states = store.steps(self.open_apply.number) if self.open_apply else {}
        self.fleet = Fleet.from_records(store.records(), {})
        self._full_state_line: bytes | None = None  # cached event of all servers and tenants, until a record changes
        self._refresh_derived()
        # The number of the newest event here. `pos` is beyond it after a snapshot was restored: this store lacks what
        # proxies were told in between, and a proxy that comes with such a number puts the ledger on hold (adoption.py).
        self.newest_event = self.recent_events[-1][0] if self.recent_events else 0
        self.hold_reason = ""  # why nothing may be published or changed now; "": not on hold

    def _refresh_derived(self) -> None:
        """Recompute what follows from the records and the open apply: each place's rules, and the silence limit."""
        wanted = saved.resources_of(self.open_apply.plan["wanted"]) if self.open_apply else self.resources()
        self.fleet.places = rules.places(wanted.values())
        attrs = progress.fleet_settings(self.fleet)
        if attrs is not None:
            self.proxy_reports.silence_limit = int(attrs["silent_s"] * 1_000)

    def resources(self) -> dict[str, Resource]:
        """The recorded state as resources."""
        return {id: Resource(r.kind, r.name, r.attrs) for id, r in self.fleet.records.items()}

    # --- recording changes

    def _commit(self, change: Change, bump_serial: bool = True) -> None:
        """Write the change, then update memory. If WriteFailed is raised, nothing has changed. Changes that time alone
        brings leave the serial as it is, so that plans made before them stay valid."""
        serial = self.meta["serial"] + (
            bump_serial and bool(change.records or change.dropped or change.version or change.steps)
        )
        change.meta = {**change.meta, "serial": serial}
        if change.events:
            change.meta["pos"] = change.events[-1][0]
            if self.oldest_event and change.events[-1][0] - self.oldest_event > MAX_STORED_EVENTS:
                change.forget_events = change.events[-1][0] - MAX_STORED_EVENTS // 2
        self.store.commit(change)
        self._update_state(change)

    def apply_committed(self, change: Change) -> None:
        """Take up another member's change, which is in this member's store already."""
        self._update_state(change)
        apply = change.apply
        if apply is not None and apply.state == "open":
            if self.open_apply is None or self.open_apply.number != apply.number:
                self.steps, self.step_states = saved.steps_of(apply.plan), {s.id: s for s in change.steps}
            self.open_apply = apply
        elif apply is not None:
            self.open_apply, self.steps, self.step_states = None, [], {}
        self._refresh_derived()
        if change.events:
            self.on_publish()

    def reload(self) -> None:
        """Read everything again after the whole store was replaced."""
        self.__init__(self.store, self.on_publish, self.proxy_reports)  # type: ignore[misc]

    def _update_state(self, change: Change) -> None:
        self.meta |= change.meta
        for record in change.records:
            self.fleet.put(record)
        for id in change.dropped:
            if id in self.fleet.records:
                self.fleet.remove(id)
        for state in change.steps:
            self.step_states[state.id] = state
        if change.events:
            self.pos = self.newest_event = change.events[-1][0]
            self.recent_events.extend(change.events)
            self.oldest_event = (
                change.forget_events + 1 if change.forget_events else self.oldest_event or change.events[0][0]
            )
        if change.records or change.dropped:
            self._full_state_line = None

    def _require_not_held(self) -> None:
        if self.hold_reason:
            raise Refused(
                "held", f"nothing is changed or published: {self.hold_reason}; see `threadhill recovery status`"
            )

    def tick(self, now: int) -> list[tuple[Record, str]]:
        """Record the phases that time and reports have confirmed. Returns the changed records, with notes."""
        if self.hold_reason:
            return []
        confirmed = progress.confirm_phases(self.fleet, self.proxy_reports, now)
        if confirmed:
            self._commit(Change(records=[record for record, _ in confirmed]), bump_serial=False)
        return confirmed

    # --- applying

    def begin(self, raw: dict[str, Any], holder: str, who: str, why: str, now: int) -> Apply:
        """Open an apply of this saved plan, as the next version. The plan must be what this state leads to."""
        try:
            plan = saved.check(raw)
        except saved.BadPlan as error:
            raise Refused("bad-plan", f"the plan {error}") from None
        self._require_not_held()
        if self.open_apply is not None and (self.open_apply.holder, self.open_apply.plan["digest"]) == (
            holder,
            plan["digest"],
        ):
            return self.open_apply  # the same request again: its answer was lost
        if self.open_apply is not None:
            raise Refused(
                "unfinished",
                f"apply {self.open_apply.number} by {self.open_apply.holder} is not finished: resume or "
                "abandon it first",
                apply=self.open_apply.number,
            )
        if (plan["base"], plan["serial"]) != (self.meta["version"], self.meta["serial"]):
            raise Refused(
                "conflict",
                f"the plan was made on version {plan['base']} (change {plan['serial']}) and the "
                f"state is at version {self.meta['version']} (change {self.meta['serial']}): plan again",
                version=self.meta["version"],
            )
        wanted = saved.resources_of(plan["wanted"])
        observed = Observed(progress.unreachable_ids(self.fleet, self.proxy_reports, now))
        replanned, steps = planner.plan(wanted, self.fleet.records.values(), observed), saved.steps_of(plan)
        if _effects(replanned.steps) != _effects(steps) or replanned.blocked:
            raise Refused(
                "bad-plan",
                "the plan's steps are not those that its configuration needs on this state, or some of them "
                "are blocked: plan again",
            )
        number, version = self.meta["apply"] + 1, self.meta["version"] + 1
        apply = Apply(number, version, plan, "open", holder, self.meta["token"] + 1, now + LEASE_MS, now)
        self._commit(
            Change(
                meta={"apply": number, "version": version, "token": apply.token},
                version=Version(version, now, who, why, plan["base"], plan["wanted"], plan["digest"]),
                apply=apply,
            )
        )
        self.open_apply, self.steps, self.step_states = apply, steps, {}
        self._refresh_derived()
        return apply

    def resume(self, number: int, holder: str, now: int) -> Apply:
        """Take over an open apply whose lease has expired."""
        apply = self._require_open(number)
        if now < apply.expires and holder != apply.holder:
            raise Refused(
                "leased",
                f"apply {number} is {apply.holder}'s for another {(apply.expires - now) / 1e3:.1f} s at least",
                wait_ms=apply.expires - now,
            )
        apply = replace(apply, holder=holder, token=self.meta["token"] + 1, expires=now + LEASE_MS)
        self._commit(Change(meta={"token": apply.token}, apply=apply))
        self.open_apply = apply
        return apply

    def _require_open(self, number: int) -> Apply:
        if self.open_apply is None or self.open_apply.number != number:
            raise Refused("not-open", f"apply {number} is not open")
        return self.open_apply

    def advance(self, number: int, token: int, now: int) -> dict[str, Any]:
        """Carry the apply on as far as it goes now. `token` must be the newest lease's; each call keeps that alive."""
        apply = self._require_open(number)
        self._require_not_held()
        if token != apply.token:
            raise Refused("lease-lost", f"apply {number} was taken over by {apply.holder}: your lease expired")
        self.tick(now)
        transitions = progress.advance(self.steps, self.step_states, self.fleet, self.proxy_reports, now)
        change = Change(steps=list(transitions.done))
        if apply.expires - now < LEASE_MS // 2:  # not at every call, since each renewal is a write to the disk
            change.apply = replace(apply, expires=now + LEASE_MS)
        trial = Fleet.from_records(self.fleet.records.values(), self.fleet.places) if transitions.begin else self.fleet
        records: dict[str, Record | None] = {}
        pos = self.pos
        for step in transitions.begin:
            event = self._step_event(step, trial, now)
            if event is not None:
                pos += 1
                change.events.append((pos, orjson.dumps({"pos": pos, **event}) + b"\n"))
            event_pos = pos if event is not None else 0
            records[step.resource] = planner.begin(trial, step, event_pos, now)
            change.steps.append(StepState(number, step.id, "intended", event_pos, now))
        change.records = [r for r in records.values() if r is not None]
        change.dropped = [id for id, r in records.items() if r is None]
        if change.steps or change.apply:
            self._commit(change)
            self.open_apply = change.apply or apply
        if change.events:
            self.on_publish()
        finished = all(s.id in self.step_states and self.step_states[s.id].state == "done" for s in self.steps)
        counts = {"done": sum(s.state == "done" for s in self.step_states.values()), "steps": len(self.steps)}
        if finished:
            self._close_apply("done", now)
        return {
            **counts,
            "apply": number,
            "state": "done" if finished else "halted" if transitions.halted else "open",
            "halted": transitions.halted,
            "begun": [s.id for s in transitions.begin],
            "confirmed": [[s.id, s.note] for s in transitions.done],
            "waits": dict(list(transitions.waits.items())[:20]),
        }

    def abandon(self, number: int, who: str, now: int) -> None:
        """End an open apply where it stands: steps that are done stay, and those under way end by themselves."""
        apply = self._require_open(number)
        if now < apply.expires and who != apply.holder:
            raise Refused(
                "leased",
                f"apply {number} is {apply.holder}'s for another {(apply.expires - now) / 1e3:.1f} s at least",
                wait_ms=apply.expires - now,
            )
        self._close_apply("abandoned", now)

    def _close_apply(self, state: str, now: int) -> None:
        apply = replace(self.open_apply, state=state, expires=now, token=self.meta["token"] + 1)
        version = self.store.version(apply.version)
        self._commit(
            Change(
                meta={"token": apply.token},
                apply=apply,
                version=replace(version, state="applied" if state == "done" else state),
            )
        )
        self.open_apply, self.steps, self.step_states = None, [], {}
        self._refresh_derived()

    def _step_event(self, step: Step, fleet: Fleet, now: int) -> dict[str, Any] | None:
        """The event that tells proxies of a step; None if it does not concern them."""
        if step.kind == "tenant":
            if step.action == "unset":
                return {"tenants": {"set": [], "gone": [step.name]}}
            return {"tenants": {"set": [tenant(step.name, step.after)], "gone": []}}
        if step.kind not in SERVER_KINDS:
            return None
        old = fleet.records.get(step.resource)
        phase = {"drain": DRAINING, "remove": DELETED}.get(step.action, SERVING)
        since = old.since if old is not None else 0
        if step.action == "add":
            since = 0 if step.after["warm"] else now
        attrs = step.after if step.after is not None else old.attrs
        return {
            "hosts": {
                "revision": self.meta["version"],
                "complete": False,
                "members": [options.member(step.kind, step.name, attrs, phase, since)],
            }
        }

    # --- for proxies

    def full_state(self, node: str = "", fleet: Fleet | None = None) -> dict[str, Any]:
        """All servers and tenants as one event with the last number, which a proxy starts from. If a node is given,
        only that node's boxes are included, since its proxies send to no others."""
        members, tenants = [], []
        for _, r in sorted((fleet or self.fleet).records.items()):
            if r.kind in SERVER_KINDS and (not node or r.kind != "box" or r.attrs["node"] == node):
                phase = SERVING if r.ready else DRAINING
                members.append(options.member(r.kind, r.name, r.attrs, phase, r.since))
            elif r.kind == "tenant":
                tenants.append(tenant(r.name, r.attrs))
        return {
            "pos": self.newest_event,
            "hosts": {"revision": self.meta["version"], "complete": True, "members": members},
            "tenants": {"complete": True, "set": tenants, "gone": []},
        }

    def full_state_line(self) -> bytes:
        if self._full_state_line is None:
            self._full_state_line = orjson.dumps(self.full_state()) + b"\n"
        return self._full_state_line

    def events_after(self, after: int, limit: int = 500) -> list[tuple[int, bytes]]:
        """Events after this number. If some of them are no longer stored, the full state takes their place."""
        if self.hold_reason or after >= self.newest_event:
            return []
        if not self.recent_events or self.oldest_event > after + 1:
            return [(self.newest_event, self.full_state_line())]
        if after + 1 < self.recent_events[0][0]:
            return self.store.events(after, limit)
        begin = bisect.bisect_right(self.recent_events, after, key=lambda event: event[0])  # numbers may have gaps
        return list(itertools.islice(self.recent_events, begin, begin + limit))

    def adopt(self, pos: int, change: Change) -> None:
        """Record the state that an operator decided on and publish it in full under `pos`, which is higher than any
        number that a proxy has seen, so that no proxy takes a new event for an old one. An open apply is abandoned."""
        if self.open_apply is not None:
            self._close_apply("abandoned", 0)
        trial = Fleet.from_records((r for r in self.fleet.records.values()), self.fleet.places)
        for record in change.records:
            trial.put(record)
        for id in change.dropped:
            trial.remove(id)
        change.events = [(pos, orjson.dumps({**self.full_state(fleet=trial), "pos": pos}) + b"\n")]
        self._commit(change)
        self._refresh_derived()

    def proxy_configuration(self, name: str) -> dict[str, Any] | None:
        """The contents of this proxy's LB_CONFIG, without the address of the journal service."""
        record = self.fleet.records.get(f"proxy.{name}")
        if record is None or "settings.settings" not in self.fleet.records:
            return None
        resource = Resource("proxy", name, record.attrs)
        event = self.full_state(record.attrs["node"])
        return {
            "name": name,
            "listen": record.attrs["listen"],
            "report": record.attrs["config"],
            "limits": {
                "cores": record.attrs["cores"],
                "memory_mb": record.attrs["memory_mb"],
                "sockets": record.attrs["sockets"],
            },
            "known": {"pos": self.newest_event, "entries": [event] if self.newest_event else []},
            "settings": options.options(self.resources(), resource),
        }

    # --- for operators

    def observed(self, now: int) -> dict[str, Any]:
        """What the proxies report, and where it differs from the recorded state."""
        odd = {}
        rows = []
        for record in (record for _, record in sorted(self.fleet.proxies.items())):
            status = self.proxy_reports.by_name.get(record.name)
            live = self.proxy_reports.is_live(record.name, now)
            state = "live" if live else "silent" if status is not None else "never seen"
            if record.phase is Phase.SET and live and status.config != record.attrs["config"]:
                odd[record.id] = f"runs with configuration {status.config or 'none'}, not {record.attrs['config']}"
            if not live:
                odd[record.id] = state if status is None else f"silent for {(now - status.last_report_at) / 1e3:.1f} s"
            rows.append(
                {
                    "name": record.name,
                    "state": state,
                    "node": record.attrs["node"],
                    "applied": status.applied if status else None,
                    "behind": self.newest_event - status.applied if status else None,
                    "seen_ms": now - status.last_report_at if status else None,
                    "phase": status.phase if status else None,
                    "phase_cause": status.cause if status else None,
                    "config": status.config if status else None,
                    "wanted_config": record.attrs["config"],
                }
            )
        return {
            "pos": self.pos,
            "proxies": rows,
            "odd": odd,
            "gone": sorted(progress.unreachable_ids(self.fleet, self.proxy_reports, now)),
        }

    def state(self) -> dict[str, Any]:
        """The recorded state, with the open apply, if any."""
        return {
            "version": self.meta["version"],
            "serial": self.meta["serial"],
            "pos": self.pos,
            "records": [
                {
                    "kind": r.kind,
                    "name": r.name,
                    "attrs": r.attrs,
                    "phase": r.phase.value,
                    "since": r.since,
                    "pos": r.pos,
                    "at": r.at,
                }
                for _, r in sorted(self.fleet.records.items())
            ],
            "open": self.unfinished(),
        }

    def unfinished(self) -> dict[str, Any] | None:
        """The open apply, with each step as done, in doubt (carried out but not yet confirmed) or left."""
        if self.open_apply is None:
            return None
        states = {s.id: self.step_states[s.id].state if s.id in self.step_states else "left" for s in self.steps}
        named = {"done": "done", "intended": "in doubt", "left": "left"}
        return {
            "apply": self.open_apply.number,
            "version": self.open_apply.version,
            "holder": self.open_apply.holder,
            "expires": self.open_apply.expires,
            "steps": {id: named[state] for id, state in states.items()},
        }


def _effects(steps: list[Step]) -> dict[str, dict[str, Any]]:
    """The steps by id, without their order: time may have brought some forward since the plan was saved."""
    return {step.id: {**step.document(), "wave": 0} for step in steps}


def tenant(name: str, attrs: dict[str, Any]) -> dict[str, Any]:
    records = {"records": attrs["records"]} if attrs.get("records") else {}
    return {"name": name, "zones": attrs["zones"], "quota": attrs["quota"], **records}
