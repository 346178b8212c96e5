"""The core's `OverloadController` port: hears of each request and how it ends, holds off under strain what there is no room
for, and plans when those who are refused, here or by the module, are to come back.

In normal times it only counts: every request reaches the module, and what the module refuses is told the module's own
time. What the module decides stays its own; this decides how much reaches it, whose goes first, and when to return.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from threadhill.core.ports import ClientRequest, FinalStatus
from threadhill.decision import interface as api
from threadhill.overload.admission import AdmissionController, Priority
from threadhill.overload.budgets import RetryBudgets
from threadhill.overload.capacity import OVERCOMMIT, CapacityEstimator, UpstreamLoad
from threadhill.overload.comeback import Planner, Return
from threadhill.overload.detector import ALL, Change, Detector, Event, State, Watch
from threadhill.overload.sketch import Unserved

SECOND = 1_000_000
TICK_INTERVAL = 100_000  # microseconds between two turns
TOLD = 2_048  # refusals of which is kept why
TOKENS = 4_096  # keys of purchases seen lately
TOKEN_LIFE = 10 * SECOND
USUAL = 50_000  # microseconds of work of an ask whose size is not told
LEAST_ROOM = 2.0  # returns a second that are planned for at the least
LEAVE = 5_000  # microseconds before its client gives up by which a come-back time lies at the latest
SERVICE = 200_000  # microseconds that are left to one that is promised room, to be served in
SHARE = 0.75  # of a server's room that others than those that go first may fill, under strain
RETURNS = 0.5  # part of what can be served that is kept for those who come back as told


@dataclass(frozen=True, slots=True)
class OverloadConfig:
    """What the operator's file says."""

    retry_budgets: bool = True
    admission: bool = True
    comebacks: bool = True
    horizon: int = 0  # microseconds ahead that returns are planned; 0: as far as the site lets clients be told
    leave: int = 0  # microseconds over which clients are let go of at the end; 0: all at once


@dataclass(slots=True)
class Open:
    """A request that went to the module."""

    at: int
    ask: ClientRequest
    front: str
    work: float
    aim: int
    watches: list[Watch]


@dataclass(frozen=True, slots=True)
class Told:
    """Why one request was refused, for who asks."""

    at: int
    cls: str
    tenant: str
    front: str
    why: str
    state: str
    come_back: int
    retry: bool

    def document(self) -> dict[str, object]:
        return {
            "at_us": self.at,
            "class": self.cls,
            "tenant": self.tenant,
            "front": self.front,
            "why": self.why,
            "state": self.state,
            "come_back_ms": self.come_back // 1_000,
            "retry": self.retry,
        }


@dataclass(slots=True)
class Counts:
    """What was held off, by the reason; and how those came back who were told when."""

    held: dict[str, int] = field(default_factory=dict)
    returns: dict[str, int] = field(default_factory=dict)
    refused_again: int = 0  # of those who came as told
    planned: int = 0


class OverloadController:
    """Plugs into `Engine.guard`."""

    def __init__(
        self,
        classes: Mapping[str, api.RequestClass],
        flow: float,
        horizon: int,
        config: OverloadConfig,
        seed: int,
        log: Callable[[str], None],
        upstream_load: Callable[[], UpstreamLoad] = UpstreamLoad,
        links: Callable[[], int] = lambda: 0,
    ) -> None:
        self.classes, self.flow, self.config, self.log = classes, flow, config, log
        self.upstream_load, self.links = upstream_load, links
        self.detector, self.budgets, self.admission, self.capacity = (
            Detector(),
            RetryBudgets(),
            AdmissionController(),
            CapacityEstimator(),
        )
        self.planner = Planner(config.horizon or horizon or SECOND // 2, seed)
        self.unserved = Unserved(seed.to_bytes(16, "little", signed=False)[:16])
        self.tokens: OrderedDict[str, int] = OrderedDict()
        self.open: dict[int, Open] = {}
        self.told: OrderedDict[str, Told] = OrderedDict()
        self.counts = Counts()
        self.changes: list[Change] = []  # the last of them
        self._links = links()
        self._asks = 0.0
        self._all = self.detector.all

    # --- what the core calls

    def admit(self, handle: int, ask: ClientRequest, front: str, now: int) -> int | None:
        """None: to the module with it. Else it is refused at once, to come back after so many microseconds."""
        cls = self.classes.get(ask.class_name)
        key = self._key(ask)
        retry = self._retry(ask, key, now)
        own = self._own(ask, key)
        back = self.planner.returned(own, now) if self.planner.promises else Return.NONE
        event = Event.FIRST if retry is None else retry
        watches = self._watches(ask, front)
        for watch in watches:
            watch.counts[event] += 1
            if back is Return.EARLY:
                watch.counts[Event.EARLY] += 1
        if back is not Return.NONE:
            self.counts.returns[back.value] = self.counts.returns.get(back.value, 0) + 1
        tenant, client = ask.tenant or "", ask.client or front
        work = self._work(ask)
        why = ""
        if self._all.state is not State.NORMAL or self.admission.limit != math.inf:
            if retry is None:  # in normal times nobody pays and nobody is charged: a storm begins with half-full purses
                self.budgets.deposit(client, tenant, now)
            why = self._held_off(ask, cls, retry is not None, back, client, tenant, work, now)
        if not why:
            aim = (
                int(cls.latency_target + cls.latency_target_stretch * work * SECOND)
                if cls is not None and cls.latency_target
                else ask.time_left
            )
            self.open[handle] = Open(now, ask, front, work, aim, watches)
            self.capacity.record_admitted(work)
            return None
        for watch in watches:
            watch.counts[Event.DAMPED] += 1
        self.capacity.record_shed(work)
        self.counts.held[why] = self.counts.held.get(why, 0) + 1
        if back is Return.KEPT:
            self.counts.refused_again += 1
        return self._refuse(ask, own, front, why, back is Return.EARLY, retry is not None, now)

    def request_refused(self, handle: int, come_back: int, now: int) -> int:
        """The module refuses this request, with its own time to return: the time that is told."""
        one = self.open.get(handle)
        if one is None or not come_back or not self.config.comebacks or self._all.state is State.NORMAL:
            return come_back
        own = self._own(one.ask, self._key(one.ask))
        return self._refuse(one.ask, own, one.front, "the module had no room", False, False, now)

    def request_finished(self, handle: int, final: FinalStatus, now: int) -> None:
        """The one final answer of a request that went to the module; `gone` where its client left before."""
        one = self.open.pop(handle, None)
        if one is None:
            return
        ask = one.ask
        late = final is FinalStatus.SERVED and now - one.at > one.aim
        event = {
            FinalStatus.SERVED: Event.SERVED,
            FinalStatus.REFUSED: Event.REFUSED,
            FinalStatus.FAILED: Event.FAILED,
        }[final]
        for watch in one.watches:
            watch.counts[event] += 1
            if late:
                watch.counts[Event.LATE] += 1
        self.capacity.record_finished(one.work, final is FinalStatus.SERVED and not late)
        if final is FinalStatus.SERVED:
            if ask.part or self._in_parts(ask.class_name):
                self.admission.claims.record(ask.client or one.front, ask.object, ask.part, now)
        elif ask.idempotency_key is None:
            self.unserved.add(self._key(ask), now)

    def client_gone(self, handle: int, now: int) -> None:
        """The client of a request stopped waiting: it will come again, or not."""
        one = self.open.pop(handle, None)
        if one is not None:
            self.unserved.add(self._key(one.ask), now)

    def tick(self, now: int) -> None:
        """Ten times a second: fold, judge, and find the room anew."""
        links = self.links()
        self._all.counts[Event.NEW_LINK] += links - self._links
        self._links = links
        for change in self.detector.update(now):
            if change.key == ALL and change.new is State.NORMAL:
                self.budgets = RetryBudgets()
            self.changes = [*self.changes[-63:], change]
            if change.key == ALL or change.key[0] == "tenant":
                self.log(change.told())
        strained = self._all.state is not State.NORMAL
        self.capacity.update(now, strained, self.upstream_load())
        self.admission.limit = self.capacity.limit if self.config.admission else math.inf
        self.admission.update(now)
        self.planner.room = self._return_room()

    # --- how it comes to that

    def _key(self, ask: ClientRequest) -> str:
        """What a request that comes again has in common with the first one, from whatever connection."""
        return ask.idempotency_key or f"{ask.class_name} {ask.object} {ask.part} {ask.tenant or ''}"

    @staticmethod
    def _own(ask: ClientRequest, key: str) -> str:
        """A promise is one client's: by the object alone anybody who asks for a popular one would use it up."""
        return ask.idempotency_key or f"{ask.client} {key}"

    def _in_parts(self, cls: str) -> bool:
        found = self.classes.get(cls)
        return found is not None and found.in_parts

    def _work(self, ask: ClientRequest) -> float:
        """Seconds of sending."""
        return (ask.size / self.flow if ask.size and self.flow else USUAL / SECOND) * ask.weight

    def _watches(self, ask: ClientRequest, front: str) -> list[Watch]:
        watch = self.detector.watch
        watches = [self._all, watch("class", ask.class_name), watch("front", front)]
        if ask.tenant:
            watches.append(watch("tenant", ask.tenant))
        return watches

    def _retry(self, ask: ClientRequest, key: str, now: int) -> Event | None:
        """Whether this is a retry, and what says so."""
        guessed = ask.idempotency_key is None and self.unserved.take(key, now)
        if ask.idempotency_key is not None:
            last = self.tokens.pop(ask.idempotency_key, None)
            self.tokens[ask.idempotency_key] = now
            if len(self.tokens) > TOKENS:
                self.tokens.popitem(last=False)
            if last is not None and now - last <= TOKEN_LIFE:
                return Event.TOKEN
        if ask.repeat:
            return Event.MARKED
        return Event.GUESSED if guessed else None

    def _held_off(
        self,
        ask: ClientRequest,
        cls: api.RequestClass | None,
        retry: bool,
        back: Return,
        client: str,
        tenant: str,
        work: float,
        now: int,
    ) -> str:
        """Why this one must wait; "" where it need not."""
        keyed = ask.idempotency_key is not None or cls is not None and cls.retry_safety is not api.RetrySafety.SAFE
        promised = back is Return.KEPT
        if retry and not keyed and not promised and self.config.retry_budgets:
            empty = self.budgets.withdraw(client, tenant, now)
            if empty is not None:
                return f"retry budget of the {empty.value}"
        if keyed:
            rank = Priority.KEYED
        elif promised:
            rank = Priority.PROMISED
        elif back is Return.EARLY:
            rank = Priority.EARLY
        elif self.admission.claims.holds(client, ask.object, ask.part, now):
            rank = Priority.LISTENER
        else:
            rank = Priority.AGAIN if retry else Priority.FIRST
        worth = cls.value if cls is not None else 1.0
        level = self.admission.level(rank, worth, work, client, now)
        if self.admission.admit(tenant, level, work):
            # The module is told too: the last part of each server's room is for those that go first, and for tenants
            # that ask for no more than their share.
            ask.inflight_share = 1.0 if rank <= Priority.LISTENER or self.admission.within_share(tenant) else SHARE
            return ""
        return f"no room for {rank.name.lower().replace('_', ' ')} asks"

    def _return_room(self) -> float:
        """Returns a second that there will be room for: a part of what is let through, which they are given before
        newcomers are."""
        if self.capacity.limit == math.inf:
            return max(LEAST_ROOM, self._all.figures.first)
        return max(LEAST_ROOM, RETURNS * self.capacity.limit / OVERCOMMIT / max(self.capacity.mean_work, 1e-4))

    def _refuse(self, ask: ClientRequest, key: str, front: str, why: str, early: bool, retry: bool, now: int) -> int:
        """When it is to come back: planned, and none later than the client waits at all."""
        most = min(self.planner.horizon, max(20_000, ask.time_left - LEAVE))
        if self.config.comebacks:
            useful = min(most, ask.time_left - min(ask.time_left // 2, SERVICE))  # later it could not be served in time
            wait = self.planner.book(key, now, useful, self.planner.put_back(useful) if early else 0, most)
            self.counts.planned += 1
        else:
            wait = most
        self.told[ask.request_id or f"dns-{len(self.told)}"] = Told(
            now, ask.class_name, ask.tenant or "", front, why, self._all.state.value, wait, retry
        )
        while len(self.told) > TOLD:
            self.told.popitem(last=False)
        return wait

    # --- for who asks

    def status(self, now: int) -> dict[str, object]:
        """The states and the limits that bind now."""
        room = self.capacity.limit
        return {
            "state": self._all.state.value,
            "since_ms": (now - self._all.since) // 1_000 if self._all.since else None,
            "figures": {
                name: round(float(getattr(self._all.figures, name)), 3)
                for name in ("first", "again", "factor", "trend", "bad", "early", "links")
            },
            "keys": [
                {
                    "kind": kind,
                    "name": name,
                    "state": watch.state.value,
                    "factor": round(watch.figures.factor, 2),
                    "bad": round(watch.figures.bad, 3),
                }
                for (kind, name), watch in self.detector.watches.items()
                if (kind, name) != ALL
            ],
            "room": None if room == math.inf else round(room, 3),
            "let_through": round(self.capacity.admitted_rate, 3),
            "served_in_time": round(self.capacity.goodput, 3),
            "held_off": dict(self.counts.held),
            "budgets": self.budgets.remaining(),
            "come_back": {
                "waiting": self.planner.waiting(now),
                "room_per_s": round(self.planner.room, 1),
                "planned": self.counts.planned,
                "unplaced": self.planner.unplaced,
                "returns": dict(self.counts.returns),
                "refused_again": self.counts.refused_again,
            },
            "changes": [change.told() for change in self.changes[-8:]],
        }

    def explain(self, rid: str) -> dict[str, object] | None:
        told = self.told.get(rid)
        return told.document() if told is not None else None
