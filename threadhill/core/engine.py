"""The engine: carries out the decision module's actions through the ports and reports the results to it as events.

It makes no decisions itself: the Router chooses servers, timeouts, retries and what the client is told.
"""

from __future__ import annotations

import traceback
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from threadhill.core.clock import Clock
from threadhill.core.cordons import Cordons
from threadhill.core.deadlines import Deadlines
from threadhill.core.ports import (
    Answer,
    AttemptResult,
    AttemptSpec,
    CacheTransport,
    ClientRequest,
    FinalStatus,
    Front,
    OverloadControl,
    RecoveryGate,
)
from threadhill.core.slots import Slots
from threadhill.core.tenants import Tenants
from threadhill.core.trace import Step, Trace
from threadhill.decision import interface as api
from threadhill.decision.choice import Router
from threadhill.stats import Stats


@dataclass(slots=True)
class PendingRequest:
    """A request from a front that has no final answer yet."""

    front: Front
    ref: int
    request: ClientRequest
    attempts_sent: int = 0
    in_flight: list[int] = field(default_factory=list)  # handles of its open attempts
    timer: tuple[int, int] | None = None  # deadline that the decision module set for this request


@dataclass(slots=True)
class Attempt:
    """An attempt that has been sent and has not ended. Its request may already be finished."""

    request_handle: int
    number: int
    server: int
    sent_at: int
    timer: tuple[int, int] | None = None
    weight: float = 1.0  # number of requests that it represents
    handed_over: bool = False  # the client contacts the server itself: not sent by this proxy


class Engine:
    """One Router with its tables of requests and attempts. Events are processed one at a time, in order of arrival."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        clock: Clock,
        deadlines: Deadlines,
        stats: Stats,
        log: Callable[[str], None],
    ) -> None:
        self.router = Router(settings, seed)
        self.clock, self.deadlines, self.stats, self._log = clock, deadlines, stats, log
        self.trace = Trace()
        self.tenants = Tenants()
        self.cordons = Cordons()
        self.requests: Slots[PendingRequest] = Slots()
        self.attempts: Slots[Attempt] = Slots()
        self.caches: CacheTransport | None = None
        self.overload_control: OverloadControl | None = None  # set if the operator's file enables it
        self.recovery_gate: RecoveryGate | None = None  # set if the operator's file enables recovery
        # Called with each attempt's server and whether it served.
        self.on_attempt_outcome: Callable[[int, bool], None] | None = None
        self._events: deque[api.Event] = deque()
        self._processing = False
        self.followers: list[Engine] = []  # engines of other nodes' views, which get the list
        self.own_attempts: Counter[int] = Counter()  # open attempts at each server, without hand-overs
        # Called with a server and the load that it reported beyond this proxy's own attempts there.
        self.load_listeners: list[Callable[[int, float], None]] = []

    def start(self, caches: CacheTransport | None) -> None:
        """Start. An engine without caches only hands clients over to servers, as the engine of a DNS view does."""
        self.caches = caches
        self._execute(self.router.start(self.clock.now()))

    def add_follower(self, other: Engine) -> None:
        """Pass the current list, and from now on all list changes, to another engine, which also shares the tenants,
        the purges (those known already, and those still to come), and what recovery permits."""
        other.tenants, other.recovery_gate = self.tenants, self.recovery_gate
        other.router.freshness = self.router.freshness
        self.followers.append(other)
        other.list_changed(api.ListNews(api.ListKind.FULL, tuple(self.cordons.visible_entries())))

    # --- called by fronts

    def submit(self, front: Front, ref: int, request: ClientRequest) -> int:
        """Accept a request. `front` gets its only answer under `ref`, possibly before this returns."""
        self.deadlines.run_due(self.clock.now())
        handle = self.requests.add(PendingRequest(front, ref, request))
        self.stats.count("taken", request.class_name)
        if not self.tenants.accepts(request.tenant):
            self.stats.count("no_such_tenant")
            self._finish(handle, Answer(FinalStatus.FAILED))
            return handle
        wait = self.tenants.quota_wait(request.tenant, self.clock.now())
        if wait:  # over the quota: it neither reaches the decision module nor costs other tenants anything
            self.stats.count("over_quota", request.tenant or "")
            self._finish(handle, Answer(FinalStatus.REFUSED, retry_after=wait))
            return handle
        if self.recovery_gate is not None:
            retry_after = self.recovery_gate.retry_after(self.clock.now())
            if retry_after is not None:
                self._finish(handle, Answer(FinalStatus.REFUSED, retry_after=retry_after))
                return handle
        if self.overload_control is not None:
            retry_after = self.overload_control.admit(handle, request, front.name, self.clock.now())
            if retry_after is not None:
                self.stats.count("damped", request.class_name)
                self._finish(handle, Answer(FinalStatus.REFUSED, retry_after=retry_after))
                return handle
        self._handle_event(
            api.Request(
                str(handle),
                request.class_name,
                request.object,
                request.time_left,
                request.size,
                request.group,
                request.part,
                request.repeat,
                tenant=request.tenant,
                hand_over=request.hand_over,
                weight=request.weight,
                inflight_share=request.inflight_share,
            )
        )
        return handle

    def client_gone(self, handle: int) -> None:
        """The client stopped waiting: no answer is due, and open attempts are aborted."""
        pending = self.requests.free(handle)
        if pending is None:
            return
        self.deadlines.cancel(pending.timer)
        self.stats.count("client_gone", pending.request.class_name)
        if self.overload_control is not None:
            self.overload_control.client_gone(handle, self.clock.now())
        self._events.append(api.ClientGone(str(handle)))
        self._abort_attempts(pending)
        self._process_events()

    def fail_all(self) -> None:
        """Fail all open requests before the program exits."""
        for handle, _ in self.requests.live():
            self._finish(handle, Answer(FinalStatus.FAILED))

    # --- called by the cache transport and the journal

    def attempt_ended(self, handle: int, result: AttemptResult) -> None:
        """Handle the end of an attempt. The outcome SERVED answers the request if it is still open."""
        attempt = self.attempts.free(handle)
        if attempt is None:
            return
        self.deadlines.cancel(attempt.timer)
        pending = self.requests.get(attempt.request_handle)
        now = self.clock.now()
        request_closed = pending is None
        if pending is not None:
            pending.in_flight.remove(handle)
            self.trace.add(
                now,
                Step.ENDED,
                pending.request.request_id,
                f"{attempt.server:08x}",
                result.outcome.value,
                result.created_at // 1_000,
                now - attempt.sent_at,
            )
            if result.outcome is api.Outcome.SERVED and self.router.rejects_answer(
                str(attempt.request_handle), attempt.sent_at, result.created_at, now
            ):
                result = self._reject_purged_copy(pending, attempt, result)
            if result.outcome is api.Outcome.SERVED:
                request_closed = True
                self._finish(
                    attempt.request_handle, Answer(FinalStatus.SERVED, result.body, result.tag, result.not_modified)
                )
        self.stats.count("attempt", result.outcome.value)
        if self.on_attempt_outcome is not None and not attempt.handed_over:
            self.on_attempt_outcome(attempt.server, result.outcome is api.Outcome.SERVED)
        if not attempt.handed_over:
            inflight = result.load.get("inflight")
            if inflight is not None:
                for listener in self.load_listeners:
                    listener(attempt.server, max(0.0, inflight - self.own_attempts[attempt.server]))
            self.own_attempts[attempt.server] -= 1
            if self.own_attempts[attempt.server] <= 0:
                del self.own_attempts[attempt.server]
        duration = now - attempt.sent_at
        self._handle_event(
            api.AttemptEnded(
                str(attempt.request_handle),
                attempt.number,
                attempt.server,
                result.outcome,
                duration,
                request_closed,
                result.cache_status,
                min(result.source_wait, duration),
                result.load,
                attempt.weight,
            )
        )

    def _reject_purged_copy(self, pending: PendingRequest, attempt: Attempt, result: AttemptResult) -> AttemptResult:
        """Turn the answer from a purged copy into a miss, or into an error if the request may have had an effect."""
        self.stats.count("purged_copy", "turned down")
        self._log(
            f"request {pending.request.request_id}: server {attempt.server:08x} gave a copy of "
            f"{pending.request.object} born at {result.created_at // 1_000} ms, which was purged: it is not passed on"
        )
        self._log(
            f"trace: {self.trace.matching(pending.request.request_id, pending.request.object, pending.request.group)}"
        )
        cls = self.router.settings.classes.get(pending.request.class_name)
        safe = cls is not None and cls.retry_safety is api.RetrySafety.SAFE
        return AttemptResult(
            api.Outcome.MISS if safe else api.Outcome.ERROR, load=result.load, source_wait=result.source_wait
        )

    def list_changed(self, news: api.ListNews) -> None:
        """The server list changed. The decision module learns of it before waiting attempts are sent or given back."""
        self._apply_list(self.cordons.filter_news(news))

    # --- called by operators

    def cordon(self, number: int, name: str, allow_unlisted: bool = False) -> bool:
        """Take a cache server out of rotation by hand. False if it is unknown; `allow_unlisted` accepts one that
        another process was told of and that is not listed here yet."""
        if not allow_unlisted and not self.cordons.known(number):
            return False
        news = self.cordons.cordon(number, name)
        if news is not None:
            self.stats.count("cordon", "out")
            self._apply_list(news)
        return True

    def uncordon(self, number: int, at: int | None = None) -> bool:
        """Put a cordoned server back as if it had started at `at` (default: now). False if it is unknown. A server that
        is not cordoned stays as it is."""
        if not self.cordons.known(number):
            return False
        news = self.cordons.uncordon(number, self.clock.now() if at is None else at)
        if news is not None:
            self.stats.count("cordon", "back")
            self._apply_list(news)
        return True

    def uncordoned_elsewhere(self, number: int, at: int) -> None:
        """Another process uncordoned this server at that local time."""
        news = self.cordons.uncordoned_elsewhere(number, at)
        if news is not None:
            self._apply_list(news)

    def _apply_list(self, news: api.ListNews) -> None:
        self._handle_event(news)
        if self.caches is not None:
            self.caches.list_changed(list(news.entries))
        for follower in self.followers:  # with cordons applied, as this decision module sees it
            follower.list_changed(news)

    def rotation_counts(self) -> tuple[int, int]:
        """The number of cache servers listed, and how many of them are out of rotation: cordoned, not ready in the
        list, or ejected by the decision module."""
        fleet, now = self.router.fleet, self.clock.now()
        upstream_kinds = (fleet.parent_kind, fleet.origin_kind)
        listed = [entry for entry in self.cordons.entries.values() if entry.kind not in upstream_kinds]
        out_of_rotation = 0
        for entry in listed:
            server = fleet.servers.get(entry.server)
            out_of_rotation += (
                entry.server in self.cordons.cordoned
                or entry.state is not api.State.READY
                or server is None
                or server.ejected_until > now
            )
        return len(listed), out_of_rotation

    def hints_received(self, hints: api.Hints) -> None:
        """Hints merged from the reports of all proxies of the location."""
        self._handle_event(hints)

    def purges_uncertain(self, age: int = 0, before: int = 0) -> None:
        """Purges may be missing: at any moment from now on those announced more than `age` microseconds before it, and
        those announced more than `before` microseconds before now. 0: none of that kind."""
        self._handle_event(api.Unsure(age, before))

    def purge_received(self, purge: api.Purge, event: int = 0, sender: str = "") -> None:
        """Apply a purge, which came as event number `event` from discovery or a configuration."""
        key = purge.object if purge.object is not None else purge.group
        self.trace.add(self.clock.now(), Step.PURGE, key, purge.timestamp // 1_000, purge.age, event, sender)
        kind = "object" if purge.object is not None else "group" if purge.group is not None else "everything"
        self.stats.count("purge", kind)
        self._handle_event(purge)
        if self.caches is not None:
            self.caches.purge_received(purge.object, purge.group)

    # --- event processing

    def _handle_event(self, event: api.Event) -> None:
        self._events.append(event)
        self._process_events()

    def _process_events(self) -> None:
        """Pass queued events to the decision module one at a time. Events that ports raise meanwhile are queued."""
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    self._execute(self.router.handle(self.clock.now(), event))
                except Exception as error:
                    self._handle_fault(event, error)
        finally:
            self._processing = False

    def _handle_fault(self, event: api.Event, error: Exception) -> None:
        """An exception in the decision module or in one of its actions fails only the request of the event."""
        self.stats.count("fault", type(event).__name__)
        self._log(f"fault on {event}: {''.join(traceback.format_exception(error))}")
        id = getattr(event, "id", "")
        if id and not isinstance(event, api.ClientGone):
            self._finish(int(id), Answer(FinalStatus.FAILED))
            self._events.append(api.ClientGone(id))

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Fetch():
                    self._send(
                        action.id,
                        action.server,
                        action.timeout,
                        action.source,
                        action.max_age,
                        action.mode,
                        action.keep_rank,
                        action.start_by,
                    )
                case api.Look():
                    self._send(action.id, action.server, action.timeout, action.server, 0, api.FillMode.PLAIN, 0)
                case api.HandOver():
                    self._hand_over(int(action.id), action.server, action.expected_time)
                case api.Refuse():
                    self._refuse(int(action.id), action.retry_after)
                case api.Fail():
                    self._finish(int(action.id), Answer(FinalStatus.FAILED))
                case api.CancelAttempt():
                    self._cancel_attempt(int(action.id), action.attempt)
                case api.SetTimer():
                    self._set_timer(action.delay, action.token)
                case api.Log():
                    self._log(action.text)
                case _:  # probes, peer messages and list requests do not exist where the list is pushed
                    self.stats.count("ignored", type(action).__name__)

    def _set_timer(self, delay: int, token: str) -> None:
        key = self.deadlines.add(self.clock.now() + delay, lambda: self._handle_event(api.TimerDue(token)))
        pending = self.requests.get(int(token)) if token.isdigit() else None
        if pending is not None:  # cancelled with the request: most requests end long before it
            pending.timer = key

    def _send(
        self,
        id: str,
        server: int,
        timeout: int,
        source: int,
        max_age: int,
        mode: api.FillMode,
        keep_rank: int,
        start_by: int = 0,
    ) -> None:
        handle = int(id)
        pending = self.requests.get(handle)
        if pending is None or self.caches is None:
            # The request was answered between the decision and here: the attempt is not sent.
            self._events.append(api.AttemptEnded(id, 0, server, api.Outcome.UNSENT, request_closed=True))
            return
        now = self.clock.now()
        if self.recovery_gate is not None and not self.recovery_gate.may_send(now):
            self._events.append(api.AttemptEnded(id, pending.attempts_sent, server, api.Outcome.UNSENT))
            pending.attempts_sent += 1
            return
        attempt = self.attempts.add(Attempt(handle, pending.attempts_sent, server, now))
        self.trace.add(
            now,
            Step.ATTEMPT,
            pending.request.request_id,
            pending.request.object,
            f"{server:08x}",
            f"{source:08x}",
            max_age,
            int(mode),
        )
        self.own_attempts[server] += 1
        pending.attempts_sent += 1
        pending.in_flight.append(attempt)
        if timeout:
            live = self.attempts.get(attempt)
            live.timer = self.deadlines.add(now + timeout, lambda: self._attempt_timed_out(attempt))
        self.stats.count("sent", pending.request.class_name)
        cls = self.router.settings.classes.get(pending.request.class_name)
        at_most_once = cls is None or cls.retry_safety is api.RetrySafety.UNSAFE
        self.caches.send(
            attempt,
            AttemptSpec(
                pending.request,
                server,
                source,
                timeout,
                max_age,
                mode,
                keep_rank,
                at_most_once,
                now + timeout if timeout else 0,
                start_by,
            ),
        )

    def _hand_over(self, handle: int, server: int, expected_time: int) -> None:
        """Answer with the server to contact. Report the end to the decision module when the client should be done."""
        now = self.clock.now()
        pending = self.requests.get(handle)
        if pending is None:
            return
        attempt = self.attempts.add(
            Attempt(handle, pending.attempts_sent, server, now, weight=pending.request.weight, handed_over=True)
        )
        done_at = now + max(1, expected_time)
        self.deadlines.add(done_at, lambda: self.attempt_ended(attempt, AttemptResult(api.Outcome.HANDED_OVER)))
        self._finish(handle, Answer(FinalStatus.SERVED, server=server, expected_time=expected_time))

    def _attempt_timed_out(self, attempt: int) -> None:
        """Give up an attempt whose timeout has passed. If nothing of it was written, it cannot have run."""
        written = self.caches.cancel(attempt)
        self.attempt_ended(attempt, AttemptResult(api.Outcome.TIMED_OUT if written else api.Outcome.UNREACHED))

    def _cancel_attempt(self, handle: int, number: int) -> None:
        pending = self.requests.get(handle)
        for attempt in list(pending.in_flight) if pending is not None else []:
            if self.attempts.get(attempt).number == number:
                self._abort_attempt(attempt)

    def _abort_attempt(self, attempt: int) -> None:
        written = self.caches.cancel(attempt)
        self.attempt_ended(attempt, AttemptResult(api.Outcome.CANCELLED if written else api.Outcome.UNSENT))

    def _abort_attempts(self, pending: PendingRequest) -> None:
        for attempt in list(pending.in_flight):
            self._abort_attempt(attempt)

    def _refuse(self, handle: int, retry_after: int) -> None:
        if self.overload_control is not None and self.requests.get(handle) is not None:
            retry_after = self.overload_control.request_refused(handle, retry_after, self.clock.now())
        self._finish(handle, Answer(FinalStatus.REFUSED, retry_after=retry_after))

    def _finish(self, handle: int, answer: Answer) -> None:
        """Give the final answer, exactly once, and abort the attempts that are still open."""
        pending = self.requests.free(handle)
        if pending is None:
            return
        self.deadlines.cancel(pending.timer)
        self.trace.add(self.clock.now(), Step.ANSWER, pending.request.request_id, answer.status.value)
        self.stats.count(answer.status.value, pending.request.class_name)
        if self.overload_control is not None:
            self.overload_control.request_finished(handle, answer.status, self.clock.now())
        pending.front.answer(pending.ref, answer)
        self._abort_attempts(pending)
