"""Ownership as a model: the decisions of threadhill/ownership under stops, losses, reorderings and clocks that run
unlike.

Three members, one register behind a log in one order (which is what the engine gives), and an owner that writes. Every
state within the bounds is visited once; in each, no two members may think that they own, and no write may take effect
in a term that is over. `without` takes one guard out; then the explorer has to find the fault."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from threadhill.ownership.lease import LeaseState, NextCommand, Timing
from threadhill.ownership.register import Register

NAMES = ("a", "b", "c")
RATES = (1.0, 1.02, 0.98)  # how fast each one's clock runs
TIMING = Timing(lease=3.0, drift=0.05, margin=0.1, renew_fraction=0.3, claim_stagger=0.0)
GUARDS = (
    "claims name what was seen",
    "others wait for the lease",
    "the lease counts from before it was sent",
    "writes name their term",
)


@dataclass(frozen=True, slots=True)
class Sent:
    """A command under way; `at`: when it was sent, by its sender's clock."""

    kind: str
    by: int
    term: int
    beat: int


@dataclass(frozen=True, slots=True)
class State:
    """One state: global time, the register, what each member knows, which runs, and what is under way."""

    time: int
    register: tuple[int, str, int]  # term, owner, beat
    members: tuple[tuple[int, float, tuple[int, int], float, float | None], ...]  # fields of a LeaseState
    running: tuple[bool, ...]
    inbox: tuple[tuple[tuple[int, str, int], ...], ...]  # registers agreed and not yet heard, by member
    answers: tuple[tuple[int, bool, int], ...]  # member, took effect, term
    sent: tuple[Sent, ...]
    stops: int
    effect: int = 0  # the term of the last write that took effect


@dataclass(slots=True)
class Found:
    states: int = 0
    faults: list[str] = field(default_factory=list)


class Explorer:
    """Visits states up to a time, each once, until a fault or the bound: half of the time the newest, else any that
    waits, since faults lie deep and breadth alone does not reach them."""

    def __init__(self, without: str = "", until: int = 14, most: int = 40_000, seed: int = 1) -> None:
        self.without, self.until, self.most, self.random = without, until, most, random.Random(seed)

    def local(self, member: int, time: int) -> float:
        return time * RATES[member]

    def lease(self, state: State, member: int) -> LeaseState:
        one = LeaseState(NAMES[member], TIMING, 0.0)
        one.term, one.expires_at, one.last_seen, one.last_seen_at, one.sent_at = state.members[member]
        return one

    @staticmethod
    def packed(one: LeaseState) -> tuple[int, float, tuple[int, int], float, float | None]:
        return one.term, one.expires_at, one.last_seen, one.last_seen_at, one.sent_at

    @staticmethod
    def register(told: tuple[int, str, int]) -> Register:
        return Register(told[0], told[1], told[2], members={name: {} for name in NAMES})

    def run(self) -> Found:
        found = Found()
        first = State(4, (0, "", 0), ((0, 0.0, (0, 0), 0.0, None),) * 3, (True,) * 3, ((),) * 3, (), (), 0)
        seen, todo = {first}, [first]
        while todo and found.states < self.most and not found.faults:
            if self.random.random() < 0.5:
                n = self.random.randrange(len(todo))
                todo[n], todo[-1] = todo[-1], todo[n]
            state = todo.pop()
            found.states += 1
            owners = [NAMES[m] for m in range(3) if self.lease(state, m).is_held(self.local(m, state.time))]
            if len(owners) > 1:
                found.faults.append(f"at {state.time}: {' and '.join(owners)} own")
            fresh = [after for after in self.steps(state, found) if after not in seen]
            self.random.shuffle(fresh)
            seen.update(fresh)
            todo += fresh
        return found

    def steps(self, state: State, found: Found) -> Iterator[State]:
        """Every state that may come next."""
        if state.time < self.until:
            yield self.with_(state, time=state.time + 1)
        for m in range(3):
            if state.running[m]:
                yield from self.acts(state, m)
                if state.stops < 1 and self.lease(state, m).term:
                    yield self.with_(state, running=self.put(state.running, m, False), stops=state.stops + 1)
            else:
                yield self.with_(state, running=self.put(state.running, m, True))
        for n, sent in enumerate(state.sent):
            rest = state.sent[:n] + state.sent[n + 1 :]
            yield self.agreed(self.with_(state, sent=rest), sent, found)
            if sent.kind == "renew":  # lost on its way: its sender hears nothing
                one = self.lease(state, sent.by)
                one.command_lost()
                yield self.with_(state, sent=rest, members=self.put(state.members, sent.by, self.packed(one)))
        for n, (m, ok, term) in enumerate(state.answers):
            if state.running[m] and not state.inbox[m]:
                one = self.lease(state, m)
                if ok:
                    if self.without == GUARDS[2]:
                        one.sent_at = self.local(m, state.time)
                    one.command_granted(term)
                else:
                    one.command_refused()
                yield self.with_(
                    state,
                    answers=state.answers[:n] + state.answers[n + 1 :],
                    members=self.put(state.members, m, self.packed(one)),
                )

    def acts(self, state: State, m: int) -> Iterator[State]:
        """What a running member may do: hear what was agreed, send the next command of its lease, or write."""
        now, one = self.local(m, state.time), self.lease(state, m)
        if state.inbox[m]:
            told, *rest = state.inbox[m]
            one.observe(self.register(told), now)
            yield self.with_(
                state, inbox=self.put(state.inbox, m, tuple(rest)), members=self.put(state.members, m, self.packed(one))
            )
            return
        known = Register(one.last_seen[0], "", one.last_seen[1], members={name: {} for name in NAMES})
        command = one.next_command(known, now)
        if command is NextCommand.NOTHING and self.without == GUARDS[1] and not one.term and one.sent_at is None:
            command = NextCommand.CLAIM
        if command is not NextCommand.NOTHING and len(state.sent) < 2:
            term, beat = one.last_seen if command is NextCommand.CLAIM else (one.term, 0)
            one.command_sent(now)
            yield self.with_(
                state,
                sent=(*state.sent, Sent(command.value, m, term, beat)),
                members=self.put(state.members, m, self.packed(one)),
            )
        if one.is_held(now) and len(state.sent) < 2 and not any(s.kind == "write" for s in state.sent):
            yield self.with_(state, sent=(*state.sent, Sent("write", m, one.term, 0)))

    def agreed(self, state: State, sent: Sent, found: Found) -> State:
        """A command comes into the one order; all hear of it, when they do."""
        register, name = self.register(state.register), NAMES[sent.by]
        if sent.kind == "write":
            ok = register.write(name, sent.term).ok or self.without == GUARDS[3]
            if ok and sent.term < state.register[0]:
                found.faults.append(f"at {state.time}: {name} wrote in term {sent.term}, {state.register[0]} is now")
            return self.with_(state, effect=sent.term if ok else state.effect)
        if sent.kind == "claim":
            beat = register.beat if self.without == GUARDS[0] else sent.beat
            term = register.term if self.without == GUARDS[0] else sent.term
            outcome = register.claim(name, term, beat, "model")
        else:
            outcome = register.renew(name, sent.term)
        told = (register.term, register.owner, register.beat)
        inbox = tuple(box + ((told,) if told != state.register else ()) for box in state.inbox)
        return self.with_(
            state, register=told, inbox=inbox, answers=(*state.answers, (sent.by, outcome.ok, outcome.term))
        )

    @staticmethod
    def put(values: tuple, at: int, value: object) -> tuple:
        return values[:at] + (value,) + values[at + 1 :]

    @staticmethod
    def with_(state: State, **more: object) -> State:
        fields = {name: getattr(state, name) for name in State.__slots__}
        return State(**{**fields, **more})
