"""The ledger: the recorded state in memory as the store has it, and every way in which it changes.

Each change is one transaction: it is in the store before it is in memory, and before anybody hears of it. So what a
proxy was told is always recorded, and a step that was begun is never begun again.
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
from threadhill.control.membership import Members
from threadhill.control.store import Apply, Change, StepState, Store, Version
from threadhill.plans import options, planner, rules, saved
from threadhill.plans.planner import Observed, Step
from threadhill.plans.resource import Resource
from threadhill.plans.rules import SERVERS, Fleet, Phase, Record

LEASE = 5_000  # milliseconds that an applier keeps its lease without a word
RECENT = 10_000  # events kept in memory; older ones come from the store
MOST_EVENTS = 200_000  # kept in the store; past that the older half is let go
SERVING, DRAINING, DELETED = "SERVING", "DRAINING", "DELETED"


class Refused(Exception):
    """What was asked can't be done on this state; `code` names why for programs."""

    def __init__(self, code: str, text: str, **more: Any) -> None:
        super().__init__(text)
        self.code, self.more = code, more


class Ledger:
    """One installation's state. `published` is called after new events are in the store."""

    def __init__(
        self, store: Store, published: Callable[[], None] = lambda: None, members: Members | None = None
    ) -> None:
        self.store, self.published = store, published
        self.meta = store.meta()
        self.pos = self.meta["pos"]
        self.members = members or Members()
        self.recent: deque[tuple[int, bytes]] = deque(store.events(max(0, self.pos - RECENT), RECENT), RECENT)
        self.oldest = store.oldest_event()
        self.open = store.open_apply()
        self.steps: list[Step] = saved.steps_of(self.open.plan) if self.open else []
        self.states = store.steps(self.open.number) if self.open else {}
        self.fleet = Fleet.of(store.records(), {})
        self._whole: bytes | None = None  # all servers and tenants as one event, while nothing has changed
        self._refresh()
        # The newest event here. Where the last number is beyond it a snapshot was put back: what proxies were told in
        # between is not what this store knows, and one that comes with such a number makes it held (adoption.py).
        self.known_to = self.recent[-1][0] if self.recent else 0
        self.held = ""  # why nothing may be told or changed now

    def _refresh(self) -> None:
        """What follows from the records and the open apply: what holds where, and how long silence is waited for."""
        wanted = saved.resources_of(self.open.plan["wanted"]) if self.open else self.resources()
        self.fleet.places = rules.places(wanted.values())
        attrs = progress.settings(self.fleet)
        if attrs is not None:
            self.members.silent = int(attrs["silent_s"] * 1_000)

    def resources(self) -> dict[str, Resource]:
        """What is recorded, as resources."""
        return {id: Resource(r.kind, r.name, r.attrs) for id, r in self.fleet.records.items()}

    # --- writing down

    def _commit(self, change: Change, moves_on: bool = True) -> None:
        """Write the change, then take it up. Raises Unwritable, and then nothing has changed. What time alone
        brings does not move the state on: a plan made before it holds."""
        serial = self.meta["serial"] + (
            moves_on and bool(change.records or change.dropped or change.version or change.steps)
        )
        change.meta = {**change.meta, "serial": serial}
        if change.events:
            change.meta["pos"] = change.events[-1][0]
            if self.oldest and change.events[-1][0] - self.oldest > MOST_EVENTS:
                change.forget_events = change.events[-1][0] - MOST_EVENTS // 2
        self.store.commit(change)
        self._take_up(change)

    def foreign(self, change: Change) -> None:
        """Another member's change, as it is in this one's store now."""
        self._take_up(change)
        apply = change.apply
        if apply is not None and apply.state == "open":
            if self.open is None or self.open.number != apply.number:
                self.steps, self.states = saved.steps_of(apply.plan), {s.id: s for s in change.steps}
            self.open = apply
        elif apply is not None:
            self.open, self.steps, self.states = None, [], {}
        self._refresh()
        if change.events:
            self.published()

    def reload(self) -> None:
        """The whole store was replaced."""
        self.__init__(self.store, self.published, self.members)  # type: ignore[misc]

    def _take_up(self, change: Change) -> None:
        self.meta |= change.meta
        for record in change.records:
            self.fleet.put(record)
        for id in change.dropped:
            if id in self.fleet.records:
                self.fleet.drop(id)
        for state in change.steps:
            self.states[state.id] = state
        if change.events:
            self.pos = self.known_to = change.events[-1][0]
            self.recent.extend(change.events)
            self.oldest = change.forget_events + 1 if change.forget_events else self.oldest or change.events[0][0]
        if change.records or change.dropped:
            self._whole = None

    def _free(self) -> None:
        if self.held:
            raise Refused("held", f"nothing is changed or told: {self.held}; look at `threadhill recovery status`")

    def tick(self, now: int) -> list[tuple[Record, str]]:
        """Record the phases that time and reports have confirmed; what was moved, with notes."""
        if self.held:
            return []
        moved = progress.settle(self.fleet, self.members, now)
        if moved:
            self._commit(Change(records=[record for record, _ in moved]), moves_on=False)
        return moved

    # --- applying

    def begin(self, raw: dict[str, Any], holder: str, who: str, why: str, now: int) -> Apply:
        """Open an apply of this saved plan, as the next version. The plan must be what this state leads to."""
        try:
            plan = saved.check(raw)
        except saved.BadPlan as error:
            raise Refused("bad-plan", f"the plan {error}") from None
        self._free()
        if self.open is not None and (self.open.holder, self.open.plan["digest"]) == (holder, plan["digest"]):
            return self.open  # asked again, as the answer was lost
        if self.open is not None:
            raise Refused(
                "unfinished",
                f"apply {self.open.number} by {self.open.holder} is not finished: resume or " "abandon it first",
                apply=self.open.number,
            )
        if (plan["base"], plan["serial"]) != (self.meta["version"], self.meta["serial"]):
            raise Refused(
                "conflict",
                f"the plan was made on version {plan['base']} (change {plan['serial']}) and the "
                f"state is at version {self.meta['version']} (change {self.meta['serial']}): plan again",
                version=self.meta["version"],
            )
        wanted = saved.resources_of(plan["wanted"])
        observed = Observed(progress.gone_ids(self.fleet, self.members, now))
        again, steps = planner.plan(wanted, self.fleet.records.values(), observed), saved.steps_of(plan)
        if _effects(again.steps) != _effects(steps) or again.blocked:
            raise Refused(
                "bad-plan",
                "the plan's steps are not what its files lead to on this state, or some of them "
                "are blocked: plan again",
            )
        number, version = self.meta["apply"] + 1, self.meta["version"] + 1
        apply = Apply(number, version, plan, "open", holder, self.meta["token"] + 1, now + LEASE, now)
        self._commit(
            Change(
                meta={"apply": number, "version": version, "token": apply.token},
                version=Version(version, now, who, why, plan["base"], plan["wanted"], plan["digest"]),
                apply=apply,
            )
        )
        self.open, self.steps, self.states = apply, steps, {}
        self._refresh()
        return apply

    def resume(self, number: int, holder: str, now: int) -> Apply:
        """Take over an open apply whose lease has run out."""
        apply = self._opened(number)
        if now < apply.expires and holder != apply.holder:
            raise Refused(
                "leased",
                f"apply {number} is {apply.holder}'s for another {(apply.expires - now) / 1e3:.1f} " "s at least",
                wait_ms=apply.expires - now,
            )
        apply = replace(apply, holder=holder, token=self.meta["token"] + 1, expires=now + LEASE)
        self._commit(Change(meta={"token": apply.token}, apply=apply))
        self.open = apply
        return apply

    def _opened(self, number: int) -> Apply:
        if self.open is None or self.open.number != number:
            raise Refused("not-open", f"apply {number} is not open")
        return self.open

    def advance(self, number: int, token: int, now: int) -> dict[str, Any]:
        """Carry the apply on as far as it goes now. Only who has the newest lease may; each call renews it."""
        apply = self._opened(number)
        self._free()
        if token != apply.token:
            raise Refused("lease-lost", f"apply {number} was taken over by {apply.holder}: this one's lease ran out")
        self.tick(now)
        moves = progress.advance(self.steps, self.states, self.fleet, self.members, now)
        change = Change(steps=list(moves.done))
        if apply.expires - now < LEASE // 2:  # not with each call: each is a write to the disk
            change.apply = replace(apply, expires=now + LEASE)
        trial = Fleet.of(self.fleet.records.values(), self.fleet.places) if moves.begin else self.fleet
        records: dict[str, Record | None] = {}
        pos = self.pos
        for step in moves.begin:
            told = self._event(step, trial, now)
            if told is not None:
                pos += 1
                change.events.append((pos, orjson.dumps({"pos": pos, **told}) + b"\n"))
            here = pos if told is not None else 0
            records[step.resource] = planner.begin(trial, step, here, now)
            change.steps.append(StepState(number, step.id, "intended", here, now))
        change.records = [r for r in records.values() if r is not None]
        change.dropped = [id for id, r in records.items() if r is None]
        if change.steps or change.apply:
            self._commit(change)
            self.open = change.apply or apply
        if change.events:
            self.published()
        finished = all(s.id in self.states and self.states[s.id].state == "done" for s in self.steps)
        told = {"done": sum(s.state == "done" for s in self.states.values()), "steps": len(self.steps)}
        if finished:
            self._close("done", now)
        return {
            **told,
            "apply": number,
            "state": "done" if finished else "halted" if moves.halted else "open",
            "halted": moves.halted,
            "begun": [s.id for s in moves.begin],
            "confirmed": [[s.id, s.note] for s in moves.done],
            "waits": dict(list(moves.waits.items())[:20]),
        }

    def abandon(self, number: int, who: str, now: int) -> None:
        """End an open apply where it stands: what is done stays, what is under way comes to its end by itself."""
        apply = self._opened(number)
        if now < apply.expires and who != apply.holder:
            raise Refused(
                "leased",
                f"apply {number} is {apply.holder}'s for another {(apply.expires - now) / 1e3:.1f} " "s at least",
                wait_ms=apply.expires - now,
            )
        self._close("abandoned", now)

    def _close(self, state: str, now: int) -> None:
        apply = replace(self.open, state=state, expires=now, token=self.meta["token"] + 1)
        version = self.store.version(apply.version)
        self._commit(
            Change(
                meta={"token": apply.token},
                apply=apply,
                version=replace(version, state="applied" if state == "done" else state),
            )
        )
        self.open, self.steps, self.states = None, [], {}
        self._refresh()

    def _event(self, step: Step, fleet: Fleet, now: int) -> dict[str, Any] | None:
        """What the proxies are told of a step; None where it is nothing of theirs."""
        if step.kind == "tenant":
            if step.action == "unset":
                return {"tenants": {"set": [], "gone": [step.name]}}
            return {"tenants": {"set": [tenant(step.name, step.after)], "gone": []}}
        if step.kind not in SERVERS:
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

    # --- what proxies are told

    def whole(self, node: str = "", fleet: Fleet | None = None) -> dict[str, Any]:
        """All servers and tenants as one event with the last number: where a proxy begins. With a node, of the boxes
        only that node's: no proxy sends to others."""
        members, tenants = [], []
        for _, r in sorted((fleet or self.fleet).records.items()):
            if r.kind in SERVERS and (not node or r.kind != "box" or r.attrs["node"] == node):
                phase = SERVING if r.ready else DRAINING
                members.append(options.member(r.kind, r.name, r.attrs, phase, r.since))
            elif r.kind == "tenant":
                tenants.append(tenant(r.name, r.attrs))
        return {
            "pos": self.known_to,
            "hosts": {"revision": self.meta["version"], "complete": True, "members": members},
            "tenants": {"complete": True, "set": tenants, "gone": []},
        }

    def whole_line(self) -> bytes:
        if self._whole is None:
            self._whole = orjson.dumps(self.whole()) + b"\n"
        return self._whole

    def lines(self, after: int, limit: int = 500) -> list[tuple[int, bytes]]:
        """Events behind this number. Where they are not all kept any more, the whole list stands for them."""
        if self.held or after >= self.known_to:
            return []
        if not self.recent or self.oldest > after + 1:
            return [(self.known_to, self.whole_line())]
        if after + 1 < self.recent[0][0]:
            return self.store.events(after, limit)
        begin = bisect.bisect_right(self.recent, after, key=lambda event: event[0])  # numbers may have jumped
        return list(itertools.islice(self.recent, begin, begin + limit))

    def adopt(self, pos: int, change: Change) -> None:
        """An operator decided what is true: write that, and tell it whole under this number, which is behind all that
        any proxy has seen, so that nobody takes a new event for an old one. An apply that was open ends."""
        if self.open is not None:
            self._close("abandoned", 0)
        trial = Fleet.of((r for r in self.fleet.records.values()), self.fleet.places)
        for record in change.records:
            trial.put(record)
        for id in change.dropped:
            trial.drop(id)  # those that are recorded
        change.events = [(pos, orjson.dumps({**self.whole(fleet=trial), "pos": pos}) + b"\n")]
        self._commit(change)
        self._refresh()

    def configuration(self, name: str) -> dict[str, Any] | None:
        """What LB_CONFIG is to hold for this proxy, without where the journal service is."""
        record = self.fleet.records.get(f"proxy.{name}")
        if record is None or "settings.settings" not in self.fleet.records:
            return None
        resource = Resource("proxy", name, record.attrs)
        event = self.whole(record.attrs["node"])
        return {
            "name": name,
            "listen": record.attrs["listen"],
            "report": record.attrs["config"],
            "limits": {
                "cores": record.attrs["cores"],
                "memory_mb": record.attrs["memory_mb"],
                "sockets": record.attrs["sockets"],
            },
            "known": {"pos": self.known_to, "entries": [event] if self.known_to else []},
            "settings": options.options(self.resources(), resource),
        }

    # --- what operators ask

    def observed(self, now: int) -> dict[str, Any]:
        """What the proxies report, and what of it is not as recorded."""
        odd = {}
        shown = []
        for record in (record for _, record in sorted(self.fleet.proxies.items())):
            member = self.members.by_name.get(record.name)
            live = self.members.live(record.name, now)
            state = "live" if live else "silent" if member is not None else "never seen"
            if record.phase is Phase.SET and live and member.config != record.attrs["config"]:
                odd[record.id] = f"runs with configuration {member.config or 'none'}, not {record.attrs['config']}"
            if not live:
                odd[record.id] = state if member is None else f"silent for {(now - member.seen) / 1e3:.1f} s"
            shown.append(
                {
                    "name": record.name,
                    "state": state,
                    "node": record.attrs["node"],
                    "applied": member.applied if member else None,
                    "behind": self.known_to - member.applied if member else None,
                    "seen_ms": now - member.seen if member else None,
                    "phase": member.phase if member else None,
                    "phase_cause": member.cause if member else None,
                    "config": member.config if member else None,
                    "wanted_config": record.attrs["config"],
                }
            )
        return {
            "pos": self.pos,
            "proxies": shown,
            "odd": odd,
            "gone": sorted(progress.gone_ids(self.fleet, self.members, now)),
        }

    def state(self) -> dict[str, Any]:
        """The recorded state, with the open apply if there is one."""
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
        """The open apply: its steps as done, in doubt (carried out and not yet confirmed) or left."""
        if self.open is None:
            return None
        states = {s.id: self.states[s.id].state if s.id in self.states else "left" for s in self.steps}
        named = {"done": "done", "intended": "in doubt", "left": "left"}
        return {
            "apply": self.open.number,
            "version": self.open.version,
            "holder": self.open.holder,
            "expires": self.open.expires,
            "steps": {id: named[state] for id, state in states.items()},
        }


def _effects(steps: list[Step]) -> dict[str, dict[str, Any]]:
    """What steps do, whatever their order: time may have brought some forward since the plan was saved."""
    return {step.id: {**step.document(), "wave": 0} for step in steps}


def tenant(name: str, attrs: dict[str, Any]) -> dict[str, Any]:
    more = {"records": attrs["records"]} if attrs.get("records") else {}
    return {"name": name, "zones": attrs["zones"], "quota": attrs["quota"], **more}
