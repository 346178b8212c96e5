"""The engine: turns the module's actions into calls on the ports, and what comes back into its events.

It decides nothing: which server, how long, whether again and what the client is told comes from the Router.
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
class Request:
    """A request that a front has taken and that has no final answer yet."""

    front: Front
    ref: int
    ask: ClientRequest
    sent: int = 0  # attempts so far
    out: list[int] = field(default_factory=list)  # handles of those under way
    timer: tuple[int, int] | None = None  # the module's, under the request's own id


@dataclass(slots=True)
class Attempt:
    """An attempt that is out; its request may be over."""

    request: int
    number: int
    server: int
    at: int
    timer: tuple[int, int] | None = None
    weight: float = 1.0  # requests that it stands for
    handed: bool = False  # a client was sent there: nothing of it is this proxy's own


class Engine:
    """One Router with its tables. Events are taken one by one, in the order in which they came."""

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
        self.requests: Slots[Request] = Slots()
        self.attempts: Slots[Attempt] = Slots()
        self.caches: CacheTransport | None = None
        self.overload_control: OverloadControl | None = None  # overload control, where the operator's file turns it on
        self.recovery_gate: RecoveryGate | None = None  # recovery, where the operator's file turns it on
        self.on_attempt_outcome: Callable[[int, bool], None] | None = (
            None  # told of each attempt's server, and whether it served
        )
        self._events: deque[api.Event] = deque()
        self._busy = False
        self.followers: list[Engine] = []  # engines of other nodes' views, told of the list and purges
        self.own_attempts: Counter[int] = Counter()  # attempts of this proxy's own out at each server
        # Told of each server's report of what it has in hand beyond this proxy's own attempts there.
        self.load_listeners: list[Callable[[int, float], None]] = []

    def start(self, caches: CacheTransport | None) -> None:
        """Begin; an engine without caches only hands clients over, as one of a DNS view does."""
        self.caches = caches
        self._act(self.router.start(self.clock.now()))

    def add_follower(self, other: Engine) -> None:
        """Let another engine, with a module of its own, hear of the list, purges and tenants as this one does from
        now on, and of the list as it stands."""
        other.tenants = self.tenants
        self.followers.append(other)
        other.list_changed(api.ListNews(api.ListKind.FULL, tuple(self.cordons.visible_entries())))

    # --- what fronts call

    def submit(self, front: Front, ref: int, ask: ClientRequest) -> int:
        """Take a request; its one answer goes to `front` under `ref`, maybe before this returns."""
        self.deadlines.run_due(self.clock.now())
        handle = self.requests.add(Request(front, ref, ask))
        self.stats.count("taken", ask.class_name)
        if not self.tenants.accepts(ask.tenant):
            self.stats.count("no_such_tenant")
            self._finish(handle, Answer(FinalStatus.FAILED))
            return handle
        wait = self.tenants.quota_wait(ask.tenant, self.clock.now())
        if wait:  # over its tenant's quota: nothing of it reaches the module, or what others are given
            self.stats.count("over_quota", ask.tenant or "")
            self._finish(handle, Answer(FinalStatus.REFUSED, retry_after=wait))
            return handle
        if self.recovery_gate is not None:
            held = self.recovery_gate.retry_after(self.clock.now())
            if held is not None:
                self._finish(handle, Answer(FinalStatus.REFUSED, retry_after=held))
                return handle
        if self.overload_control is not None:
            held = self.overload_control.admit(handle, ask, front.name, self.clock.now())
            if held is not None:
                self.stats.count("damped", ask.class_name)
                self._finish(handle, Answer(FinalStatus.REFUSED, retry_after=held))
                return handle
        self._take(
            api.Request(
                str(handle),
                ask.class_name,
                ask.object,
                ask.time_left,
                ask.size,
                ask.group,
                ask.part,
                ask.repeat,
                tenant=ask.tenant,
                hand_over=ask.hand_over,
                weight=ask.weight,
                inflight_share=ask.inflight_share,
            )
        )
        return handle

    def client_gone(self, handle: int) -> None:
        """The client of this request stopped waiting: nothing is owed, and nothing of it need go on."""
        request = self.requests.free(handle)
        if request is None:
            return
        self.deadlines.cancel(request.timer)
        self.stats.count("client_gone", request.ask.class_name)
        if self.overload_control is not None:
            self.overload_control.client_gone(handle, self.clock.now())
        self._events.append(api.ClientGone(str(handle)))
        self._undo_all(request)
        self._pump()

    def fail_all(self) -> None:
        """The program ends: who still waits hears so."""
        for handle, _ in self.requests.live():
            self._finish(handle, Answer(FinalStatus.FAILED))

    # --- what caches and the journal call

    def attempt_ended(self, handle: int, end: AttemptResult) -> None:
        """An attempt ended; 'served' answers its request if that still waits for one."""
        attempt = self.attempts.free(handle)
        if attempt is None:
            return
        self.deadlines.cancel(attempt.timer)
        request = self.requests.get(attempt.request)
        now = self.clock.now()
        closed = request is None
        if request is not None:
            request.out.remove(handle)
            self.trace.add(
                now,
                Step.ENDED,
                request.ask.request_id,
                f"{attempt.server:08x}",
                end.outcome.value,
                end.created_at // 1_000,
                now - attempt.at,
            )
            if end.outcome is api.Outcome.SERVED and self.router.turns_down(
                str(attempt.request), attempt.at, end.created_at, now
            ):
                end = self._turned_down(request, attempt, end)
            if end.outcome is api.Outcome.SERVED:
                closed = True
                self._finish(attempt.request, Answer(FinalStatus.SERVED, end.body, end.tag, end.not_modified))
        self.stats.count("attempt", end.outcome.value)
        if self.on_attempt_outcome is not None and not attempt.handed:
            self.on_attempt_outcome(attempt.server, end.outcome is api.Outcome.SERVED)
        if not attempt.handed:
            inflight = end.load.get("inflight")
            if inflight is not None:
                for watcher in self.load_listeners:
                    watcher(attempt.server, max(0.0, inflight - self.own_attempts[attempt.server]))
            self.own_attempts[attempt.server] -= 1
            if self.own_attempts[attempt.server] <= 0:
                del self.own_attempts[attempt.server]
        took = now - attempt.at
        self._take(
            api.AttemptEnded(
                str(attempt.request),
                attempt.number,
                attempt.server,
                end.outcome,
                took,
                closed,
                end.cache_status,
                min(end.source_wait, took),
                end.load,
                attempt.weight,
            )
        )

    def _turned_down(self, request: Request, attempt: Attempt, end: AttemptResult) -> AttemptResult:
        """An answer from a copy that was purged: as if the server had nothing, or had failed, where it has run."""
        self.stats.count("purged_copy", "turned down")
        self._log(
            f"request {request.ask.request_id}: server {attempt.server:08x} gave a copy of {request.ask.object} born "
            f"at {end.created_at // 1_000} ms, which was purged: it is not passed on"
        )
        self._log(f"trace: {self.trace.matching(request.ask.request_id, request.ask.object, request.ask.group)}")
        cls = self.router.set.classes.get(request.ask.class_name)
        harmless = cls is not None and cls.retry_safety is api.RetrySafety.SAFE
        return AttemptResult(
            api.Outcome.MISS if harmless else api.Outcome.ERROR, load=end.load, source_wait=end.source_wait
        )

    def list_changed(self, news: api.ListNews) -> None:
        """The list changed. The module knows before anything that waits is sent on, or given back to it."""
        self._listed(self.cordons.filter_news(news))

    # --- what operators call

    def cordon(self, number: int, name: str, allow_unlisted: bool = False) -> bool:
        """Take a cache server out by hand; False where nobody has it. One that another process was told of stays out
        whether or not it is listed here yet."""
        if not allow_unlisted and not self.cordons.known(number):
            return False
        news = self.cordons.cordon(number, name)
        if news is not None:
            self.stats.count("cordon", "out")
            self._listed(news)
        return True

    def uncordon(self, number: int, at: int | None = None) -> bool:
        """Put one back that was out by hand, as started `at` (now); False where nobody has it. One that was not out
        stays as it is."""
        if not self.cordons.known(number):
            return False
        news = self.cordons.uncordon(number, self.clock.now() if at is None else at)
        if news is not None:
            self.stats.count("cordon", "back")
            self._listed(news)
        return True

    def uncordoned_elsewhere(self, number: int, name: str, at: int) -> None:
        """Another process put this server back at that local time, after it had been out by hand."""
        news = self.cordons.uncordoned_elsewhere(number, name, at)
        if news is not None:
            self._listed(news)

    def _listed(self, news: api.ListNews) -> None:
        self._take(news)
        if self.caches is not None:
            self.caches.list_changed(list(news.entries))
        for follower in self.followers:  # as the module here sees it, cordons and all
            follower.list_changed(news)

    def rotation_counts(self) -> tuple[int, int]:
        """Cache servers in the list, and how many of them are avoided now: by hand, by the list, or by the module
        for what it learnt of them."""
        fleet, now = self.router.fleet, self.clock.now()
        above = (fleet.parent_kind, fleet.origin_kind)
        listed = [entry for entry in self.cordons.entries.values() if entry.kind not in above]
        out = 0
        for entry in listed:
            server = fleet.servers.get(entry.server)
            out += (
                entry.server in self.cordons.cordoned
                or entry.state is not api.State.READY
                or server is None
                or server.ejected_until > now
            )
        return len(listed), out

    def hints_received(self, hints: api.Hints) -> None:
        """What the proxies of the location report together."""
        self._take(hints)

    def purges_uncertain(self, age: int = 0, before: int = 0) -> None:
        """Purges told longer than `age` microseconds ago may be missing, at any moment from now on, and those told
        longer than `before` ago now; 0: none of that kind."""
        self._take(api.Unsure(age, before))
        for follower in self.followers:
            follower.purges_uncertain(age, before)

    def purge_received(self, purge: api.Purge, event: int = 0, told_by: str = "") -> None:
        """A purge was told, as the event of that number, by discovery or a configuration."""
        key = purge.object if purge.object is not None else purge.group
        self.trace.add(self.clock.now(), Step.PURGE, key, purge.timestamp // 1_000, purge.age, event, told_by)
        kind = "object" if purge.object is not None else "group" if purge.group is not None else "everything"
        self.stats.count("purge", kind)
        self._take(purge)
        if self.caches is not None:
            self.caches.purge_received(purge.object, purge.group)
        for follower in self.followers:
            follower.purge_received(purge)

    # --- the turn

    def _take(self, event: api.Event) -> None:
        self._events.append(event)
        self._pump()

    def _pump(self) -> None:
        """Hand events to the module one at a time: what a port calls back meanwhile waits its turn."""
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    self._act(self.router.handle(self.clock.now(), event))
                except Exception as error:
                    self._fault(event, error)
        finally:
            self._busy = False

    def _fault(self, event: api.Event, error: Exception) -> None:
        """A fault in the module, or in what its actions call, costs the one request that the event is about."""
        self.stats.count("fault", type(event).__name__)
        self._log(f"fault on {event}: {''.join(traceback.format_exception(error))}")
        id = getattr(event, "id", "")
        if id and not isinstance(event, api.ClientGone):
            self._finish(int(id), Answer(FinalStatus.FAILED))
            self._events.append(api.ClientGone(id))

    def _act(self, actions: list[api.Action]) -> None:
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
                    self._cancel(int(action.id), action.attempt)
                case api.SetTimer():
                    self._timer(action.delay, action.token)
                case api.Log():
                    self._log(action.text)
                case _:  # probes, peers and list calls do not exist where the list is pushed
                    self.stats.count("ignored", type(action).__name__)

    def _timer(self, delay: int, token: str) -> None:
        key = self.deadlines.add(self.clock.now() + delay, lambda: self._take(api.TimerDue(token)))
        request = self.requests.get(int(token)) if token.isdigit() else None
        if request is not None:  # it is taken back with the request: most end long before
            request.timer = key

    def _send(
        self, id: str, server: int, limit: int, source: int, age: int, mode: api.FillMode, keep: int, until: int = 0
    ) -> None:
        handle = int(id)
        request = self.requests.get(handle)
        if request is None or self.caches is None:
            # The answer went out between the module's decision and here: the attempt is not transmitted.
            self._events.append(api.AttemptEnded(id, 0, server, api.Outcome.UNSENT, request_closed=True))
            return
        now = self.clock.now()
        if self.recovery_gate is not None and not self.recovery_gate.may_send(now):
            self._events.append(api.AttemptEnded(id, request.sent, server, api.Outcome.UNSENT))
            request.sent += 1
            return
        attempt = self.attempts.add(Attempt(handle, request.sent, server, now))
        self.trace.add(
            now,
            Step.ATTEMPT,
            request.ask.request_id,
            request.ask.object,
            f"{server:08x}",
            f"{source:08x}",
            age,
            int(mode),
        )
        self.own_attempts[server] += 1
        request.sent += 1
        request.out.append(attempt)
        if limit:
            live = self.attempts.get(attempt)
            live.timer = self.deadlines.add(now + limit, lambda: self._overdue(attempt))
        self.stats.count("sent", request.ask.class_name)
        cls = self.router.set.classes.get(request.ask.class_name)
        once = cls is None or cls.retry_safety is api.RetrySafety.UNSAFE
        self.caches.send(
            attempt,
            AttemptSpec(request.ask, server, source, limit, age, mode, keep, once, now + limit if limit else 0, until),
        )

    def _hand_over(self, handle: int, server: int, hold: int) -> None:
        """Tell the front the server, and the module, once the client should be done there, that it was told."""
        now = self.clock.now()
        request = self.requests.get(handle)
        if request is None:
            return
        attempt = self.attempts.add(Attempt(handle, request.sent, server, now, weight=request.ask.weight, handed=True))
        due = now + max(1, hold)
        self.deadlines.add(due, lambda: self.attempt_ended(attempt, AttemptResult(api.Outcome.HANDED_OVER)))
        self._finish(handle, Answer(FinalStatus.SERVED, server=server, expected_time=hold))

    def _overdue(self, attempt: int) -> None:
        """Its time is over: given up at the server. Where nothing of it was written it cannot have run."""
        written = self.caches.cancel(attempt)
        self.attempt_ended(attempt, AttemptResult(api.Outcome.TIMED_OUT if written else api.Outcome.UNREACHED))

    def _cancel(self, handle: int, number: int) -> None:
        request = self.requests.get(handle)
        for attempt in list(request.out) if request is not None else []:
            if self.attempts.get(attempt).number == number:
                self._undo(attempt)

    def _undo(self, attempt: int) -> None:
        written = self.caches.cancel(attempt)
        self.attempt_ended(attempt, AttemptResult(api.Outcome.CANCELLED if written else api.Outcome.UNSENT))

    def _undo_all(self, request: Request) -> None:
        for attempt in list(request.out):
            self._undo(attempt)

    def _refuse(self, handle: int, come_back: int) -> None:
        if self.overload_control is not None and self.requests.get(handle) is not None:
            come_back = self.overload_control.request_refused(handle, come_back, self.clock.now())
        self._finish(handle, Answer(FinalStatus.REFUSED, retry_after=come_back))

    def _finish(self, handle: int, answer: Answer) -> None:
        """Give the final answer, once; attempts that still run can serve nobody and are given up."""
        request = self.requests.free(handle)
        if request is None:
            return
        self.deadlines.cancel(request.timer)
        self.trace.add(self.clock.now(), Step.ANSWER, request.ask.request_id, answer.status.value)
        self.stats.count(answer.status.value, request.ask.class_name)
        if self.overload_control is not None:
            self.overload_control.request_finished(handle, answer.status, self.clock.now())
        request.front.answer(request.ref, answer)
        self._undo_all(request)
