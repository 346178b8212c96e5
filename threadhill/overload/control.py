"""The core's `OverloadControl` port: observes each request and its end, holds off what exceeds the capacity under
overload, and schedules when clients that are refused, here or by the module, are to come back.

In normal times it only counts: every request reaches the module, and what the module refuses is told the module's own
come-back time. It does not change the module's decisions, only how much reaches the module, in which order, and when
refused clients return.
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
from threadhill.overload.detector import ALL, Change, Detector, Event, Monitor, State
from threadhill.overload.return_scheduler import Return, ReturnScheduler
from threadhill.overload.sketch import UnservedSketch

SECOND = 1_000_000
TICK_INTERVAL = 100_000  # microseconds between two calls of `tick`
MAX_REFUSALS = 2_048  # refusals whose reasons are kept
MAX_TOKENS = 4_096  # idempotency keys seen recently
TOKEN_LIFE = 10 * SECOND
DEFAULT_WORK = 50_000  # microseconds of work of a request whose size is unknown
MIN_RETURN_RATE = 2.0  # returns a second that are always scheduled for
GIVE_UP_MARGIN = 5_000  # microseconds that a come-back time lies before the client gives up, at least
SERVICE_TIME = 200_000  # microseconds left to a client with a promise in which it can still be served
LOW_PRIORITY_SHARE = 0.75  # share of a server's capacity that low-priority requests may fill under overload
RETURN_SHARE = 0.5  # share of the goodput that is reserved for clients that come back as told


@dataclass(frozen=True, slots=True)
class OverloadConfig:
    """The `overload` table of the operator's file."""

    retry_budgets: bool = True
    admission: bool = True
    comebacks: bool = True
    horizon: int = 0  # microseconds ahead for which returns are scheduled; 0: the longest come-back time of the site
    disconnect_spread: int = 0  # microseconds over which clients are disconnected at shutdown; 0: all at once


@dataclass(slots=True)
class OpenRequest:
    """A request that the module has not answered yet."""

    arrived_at: int
    request: ClientRequest
    front: str
    work: float
    latency_target: int
    monitors: list[Monitor]


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why one request was refused, for the operator."""

    at: int
    cls: str
    tenant: str
    front: str
    why: str
    state: str
    retry_after: int
    retry: bool

    def document(self) -> dict[str, object]:
        return {
            "at_us": self.at,
            "class": self.cls,
            "tenant": self.tenant,
            "front": self.front,
            "why": self.why,
            "state": self.state,
            "come_back_ms": self.retry_after // 1_000,
            "retry": self.retry,
        }


@dataclass(slots=True)
class Counts:
    """Requests held off, by reason, and how clients came back that had been told a time."""

    held: dict[str, int] = field(default_factory=dict)
    returns: dict[str, int] = field(default_factory=dict)
    refused_again: int = 0  # of those that came back on time
    planned: int = 0


class OverloadController:
    """Implements `Engine.overload_control`."""

    def __init__(
        self,
        classes: Mapping[str, api.RequestClass],
        client_kb_per_s: float,
        horizon: int,
        config: OverloadConfig,
        seed: int,
        log: Callable[[str], None],
        upstream_load: Callable[[], UpstreamLoad] = UpstreamLoad,
        connections_opened: Callable[[], int] = lambda: 0,
    ) -> None:
        self.classes, self.client_kb_per_s, self.config, self.log = classes, client_kb_per_s, config, log
        self.upstream_load, self.connections_opened = upstream_load, connections_opened
        self.detector, self.budgets, self.admission, self.capacity = (
            Detector(),
            RetryBudgets(),
            AdmissionController(),
            CapacityEstimator(),
        )
        self.scheduler = ReturnScheduler(config.horizon or horizon or SECOND // 2, seed)
        self.unserved = UnservedSketch(seed.to_bytes(16, "little", signed=False)[:16])
        self.tokens: OrderedDict[str, int] = OrderedDict()
        self.open_requests: dict[int, OpenRequest] = {}
        self.refusals: OrderedDict[str, Refusal] = OrderedDict()
        self.counts = Counts()
        self.changes: list[Change] = []  # the last 64
        self._last_opened = connections_opened()
        self._asks = 0.0
        self._all = self.detector.all

    # --- the OverloadControl port

    def admit(self, handle: int, request: ClientRequest, front: str, now: int) -> int | None:
        """None: the request goes to the module. Otherwise it is refused, to come back after so many microseconds."""
        cls = self.classes.get(request.class_name)
        key = self._retry_key(request)
        retry = self._classify_retry(request, key, now)
        promise_key = self._promise_key(request, key)
        back = self.scheduler.returned(promise_key, now) if self.scheduler.promises else Return.NONE
        event = Event.FIRST if retry is None else retry
        monitors = self._monitors(request, front)
        for monitor in monitors:
            monitor.counts[event] += 1
            if back is Return.EARLY:
                monitor.counts[Event.EARLY] += 1
        if back is not Return.NONE:
            self.counts.returns[back.value] = self.counts.returns.get(back.value, 0) + 1
        tenant, client = request.tenant or "", request.client or front
        work = self._work(request)
        why = ""
        if self._all.state is not State.NORMAL or self.admission.limit != math.inf:
            if retry is None:  # normally nothing is credited or charged: a storm starts with half-full buckets
                self.budgets.deposit(client, tenant, now)
            why = self._reason_to_hold(request, cls, retry is not None, back, client, tenant, work, now)
        if not why:
            latency_target = (
                int(cls.latency_target + cls.latency_target_stretch * work * SECOND)
                if cls is not None and cls.latency_target
                else request.time_left
            )
            self.open_requests[handle] = OpenRequest(now, request, front, work, latency_target, monitors)
            self.capacity.record_admitted(work)
            return None
        for monitor in monitors:
            monitor.counts[Event.SHED] += 1
        self.capacity.record_shed(work)
        self.counts.held[why] = self.counts.held.get(why, 0) + 1
        if back is Return.KEPT:
            self.counts.refused_again += 1
        return self._schedule_return(request, promise_key, front, why, back is Return.EARLY, retry is not None, now)

    def request_refused(self, handle: int, retry_after: int, now: int) -> int:
        """The module refuses this request, and tells the client to come back after `retry_after`; returns the
        time that the client is told instead."""
        open_request = self.open_requests.get(handle)
        if open_request is None or not retry_after or not self.config.comebacks or self._all.state is State.NORMAL:
            return retry_after
        promise_key = self._promise_key(open_request.request, self._retry_key(open_request.request))
        return self._schedule_return(
            open_request.request, promise_key, open_request.front, "the module had no room", False, False, now
        )

    def request_finished(self, handle: int, status: FinalStatus, now: int) -> None:
        """The request got its final answer from the module."""
        open_request = self.open_requests.pop(handle, None)
        if open_request is None:
            return
        request = open_request.request
        late = status is FinalStatus.SERVED and now - open_request.arrived_at > open_request.latency_target
        event = {
            FinalStatus.SERVED: Event.SERVED,
            FinalStatus.REFUSED: Event.REFUSED,
            FinalStatus.FAILED: Event.FAILED,
        }[status]
        for monitor in open_request.monitors:
            monitor.counts[event] += 1
            if late:
                monitor.counts[Event.LATE] += 1
        self.capacity.record_finished(open_request.work, status is FinalStatus.SERVED and not late)
        if status is FinalStatus.SERVED:
            if request.part or self._in_parts(request.class_name):
                self.admission.claims.record(request.client or open_request.front, request.object, request.part, now)
        elif request.idempotency_key is None:
            self.unserved.add(self._retry_key(request), now)

    def client_gone(self, handle: int, now: int) -> None:
        """The client stopped waiting; it may retry."""
        open_request = self.open_requests.pop(handle, None)
        if open_request is not None:
            self.unserved.add(self._retry_key(open_request.request), now)

    def tick(self, now: int) -> None:
        """Called ten times a second: updates the states and recomputes the limits."""
        opened = self.connections_opened()
        self._all.counts[Event.NEW_CONNECTION] += opened - self._last_opened
        self._last_opened = opened
        for change in self.detector.update(now):
            if change.key == ALL and change.new is State.NORMAL:
                self.budgets = RetryBudgets()
            self.changes = [*self.changes[-63:], change]
            if change.key == ALL or change.key[0] == "tenant":
                self.log(change.describe())
        strained = self._all.state is not State.NORMAL
        self.capacity.update(now, strained, self.upstream_load())
        self.admission.limit = self.capacity.limit if self.config.admission else math.inf
        self.admission.update(now)
        self.scheduler.rate = self._return_rate()

    # --- decisions

    def _retry_key(self, request: ClientRequest) -> str:
        """Identifies a retry with its first try, across connections."""
        return request.idempotency_key or f"{request.class_name} {request.object} {request.part} {request.tenant or ''}"

    @staticmethod
    def _promise_key(request: ClientRequest, key: str) -> str:
        """Includes the client: otherwise anyone requesting a popular object would use up the promise."""
        return request.idempotency_key or f"{request.client} {key}"

    def _in_parts(self, cls: str) -> bool:
        found = self.classes.get(cls)
        return found is not None and found.in_parts

    def _work(self, request: ClientRequest) -> float:
        """Seconds that sending the answer takes."""
        return (
            request.size / self.client_kb_per_s if request.size and self.client_kb_per_s else DEFAULT_WORK / SECOND
        ) * request.weight

    def _monitors(self, request: ClientRequest, front: str) -> list[Monitor]:
        monitor = self.detector.monitor
        monitors = [self._all, monitor("class", request.class_name), monitor("front", front)]
        if request.tenant:
            monitors.append(monitor("tenant", request.tenant))
        return monitors

    def _classify_retry(self, request: ClientRequest, key: str, now: int) -> Event | None:
        """The kind of retry that this is; None for a first try."""
        inferred = request.idempotency_key is None and self.unserved.take(key, now)
        if request.idempotency_key is not None:
            last = self.tokens.pop(request.idempotency_key, None)
            self.tokens[request.idempotency_key] = now
            if len(self.tokens) > MAX_TOKENS:
                self.tokens.popitem(last=False)
            if last is not None and now - last <= TOKEN_LIFE:
                return Event.TOKEN
        if request.repeat:
            return Event.MARKED
        return Event.INFERRED if inferred else None

    def _reason_to_hold(
        self,
        request: ClientRequest,
        cls: api.RequestClass | None,
        retry: bool,
        back: Return,
        client: str,
        tenant: str,
        work: float,
        now: int,
    ) -> str:
        """Why this request must wait; "" if it is admitted."""
        keyed = request.idempotency_key is not None or cls is not None and cls.retry_safety is not api.RetrySafety.SAFE
        promised = back is Return.KEPT
        if retry and not keyed and not promised and self.config.retry_budgets:
            empty = self.budgets.withdraw(client, tenant, now)
            if empty is not None:
                return f"retry budget of the {empty.value}"
        if keyed:
            priority = Priority.KEYED
        elif promised:
            priority = Priority.PROMISED
        elif back is Return.EARLY:
            priority = Priority.EARLY
        elif self.admission.claims.holds(client, request.object, request.part, now):
            priority = Priority.LISTENER
        else:
            priority = Priority.AGAIN if retry else Priority.FIRST
        worth = cls.value if cls is not None else 1.0
        level = self.admission.level(priority, worth, work, client, now)
        if self.admission.admit(tenant, level, work):
            # The module applies this per server: the rest of each server's capacity is for high priorities, and for
            # tenants that stay within their share.
            request.inflight_share = (
                1.0 if priority <= Priority.LISTENER or self.admission.within_share(tenant) else LOW_PRIORITY_SHARE
            )
            return ""
        return f"no room for {priority.name.lower().replace('_', ' ')} asks"

    def _return_rate(self) -> float:
        """Returns a second to schedule for: a share of the admitted work, reserved for them ahead of new requests."""
        if self.capacity.limit == math.inf:
            return max(MIN_RETURN_RATE, self._all.figures.first)
        return max(
            MIN_RETURN_RATE, RETURN_SHARE * self.capacity.limit / OVERCOMMIT / max(self.capacity.mean_work, 1e-4)
        )

    def _schedule_return(
        self, request: ClientRequest, key: str, front: str, why: str, early: bool, retry: bool, now: int
    ) -> int:
        """Records the refusal; returns when the client is to come back, before it would give up."""
        max_delay = min(self.scheduler.horizon, max(20_000, request.time_left - GIVE_UP_MARGIN))
        if self.config.comebacks:
            useful_delay = min(
                max_delay, request.time_left - min(request.time_left // 2, SERVICE_TIME)
            )  # a later return could not be served in time
            retry_after = self.scheduler.book(
                key, now, useful_delay, self.scheduler.early_penalty(useful_delay) if early else 0, max_delay
            )
            self.counts.planned += 1
        else:
            retry_after = max_delay
        self.refusals[request.request_id or f"dns-{len(self.refusals)}"] = Refusal(
            now, request.class_name, request.tenant or "", front, why, self._all.state.value, retry_after, retry
        )
        while len(self.refusals) > MAX_REFUSALS:
            self.refusals.popitem(last=False)
        return retry_after

    # --- status

    def status(self, now: int) -> dict[str, object]:
        """The current states and limits."""
        limit = self.capacity.limit
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
                    "state": monitor.state.value,
                    "factor": round(monitor.figures.factor, 2),
                    "bad": round(monitor.figures.bad, 3),
                }
                for (kind, name), monitor in self.detector.monitors.items()
                if (kind, name) != ALL
            ],
            "room": None if limit == math.inf else round(limit, 3),
            "let_through": round(self.capacity.admitted_rate, 3),
            "served_in_time": round(self.capacity.goodput, 3),
            "held_off": dict(self.counts.held),
            "budgets": self.budgets.remaining(),
            "come_back": {
                "waiting": self.scheduler.waiting(now),
                "room_per_s": round(self.scheduler.rate, 1),
                "planned": self.counts.planned,
                "unplaced": self.scheduler.unplaced,
                "returns": dict(self.counts.returns),
                "refused_again": self.counts.refused_again,
            },
            "changes": [change.describe() for change in self.changes[-8:]],
        }

    def explain(self, rid: str) -> dict[str, object] | None:
        refusal = self.refusals.get(rid)
        return refusal.document() if refusal is not None else None
