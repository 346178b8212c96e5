"""The parts of overload control: retry detection, admission, retry budgets, return scheduling; and all of them in the
engine."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from threadhill.core.clock import Clock
from threadhill.core.deadlines import Deadlines
from threadhill.core.engine import Engine
from threadhill.core.ports import Answer, AttemptResult, AttemptSpec, ClientRequest, FinalStatus
from threadhill.decision import interface as api
from threadhill.overload import budgets, return_scheduler, sketch
from threadhill.overload.accept import AcceptPacer
from threadhill.overload.admission import CLIENT_LEVELS, VALUE_LEVELS, AdmissionController, Claims, Priority, max_min
from threadhill.overload.budgets import POLICIES, RetryBudgets, Scope
from threadhill.overload.capacity import CapacityEstimator, UpstreamLoad
from threadhill.overload.control import OverloadConfig, OverloadController
from threadhill.overload.detector import Detector, Event, State
from threadhill.overload.return_scheduler import SLOT, Return, ReturnScheduler
from threadhill.overload.sketch import UnservedSketch
from threadhill.stats import Stats

MS, SECOND = 1_000, 1_000_000


# --- detection


def test_a_retry_is_recognized_and_false_positives_are_rare() -> None:
    seen, now = UnservedSketch(b"secret"), 10 * SECOND
    for n in range(sketch.MAX_ENTRIES):  # as full as it gets
        seen.add(f"lost {n}", now)
    wrong = sum(seen.take(f"other {n}", now) for n in range(20_000))
    assert wrong / 20_000 < 0.05
    seen = UnservedSketch(b"secret")
    for n in range(500):
        seen.add(f"lost {n}", now)
    assert sum(seen.take(f"other {n}", now) for n in range(20_000)) / 20_000 < 0.001
    assert sum(seen.take(f"lost {n}", now + SECOND) for n in range(500)) >= 480  # false positives use up a few
    assert sum(seen.take(f"lost {n}", now + SECOND) for n in range(500)) <= 10  # each entry is used once
    seen.add("old", now)
    assert not seen.take("old", now + 3 * sketch.GENERATION)
    for n in range(3 * sketch.MAX_ENTRIES):
        seen.add(f"x{n}", now + 9 * sketch.GENERATION)
    assert seen.entries <= sketch.MAX_ENTRIES and seen.rejected >= 2 * sketch.MAX_ENTRIES


def feed_detector(detector: Detector, seconds: float, first: int, again: int, bad: float, now: int) -> tuple[int, list]:
    """Feeds a steady mix for some seconds, with an update every 100 ms."""
    changes = []
    for _ in range(int(10 * seconds)):
        counts = detector.all.counts
        counts[Event.FIRST] += first // 10
        counts[Event.MARKED] += again // 10
        ends = (first + again) // 10
        counts[Event.REFUSED] += round(ends * bad)
        counts[Event.SERVED] += ends - round(ends * bad)
        now += 100 * MS
        changes += detector.update(now)
    return now, changes


def test_states_follow_a_storm_with_hysteresis_and_each_change_describes_its_figures() -> None:
    detector = Detector()
    now, changes = feed_detector(detector, 10, 100, 0, 0.0, SECOND)
    assert not changes
    now, changes = feed_detector(detector, 1.5, 100, 10, 0.2, now)
    assert [c.new for c in changes] == [State.STRAINED]
    now, more = feed_detector(detector, 4, 100, 150, 0.6, now)
    assert [c.new for c in more] == [State.STORM]
    assert "factor" in more[0].describe() and "strained -> storm" in more[0].describe()
    now, more = feed_detector(detector, 3, 100, 150, 0.2, now)  # better, but not good enough to leave the state
    assert not more
    now, more = feed_detector(detector, 4, 100, 30, 0.03, now)
    assert [c.new for c in more] == [State.RECOVERING]
    now, more = feed_detector(detector, 6, 100, 0, 0.0, now)
    assert [c.new for c in more] == [State.NORMAL]
    _, more = feed_detector(Detector(), 20, 2, 4, 0.9, now)  # a handful of requests is no storm
    assert not more


# --- admission


@given(st.dictionaries(st.text(max_size=3), st.floats(0, 100), max_size=8), st.floats(0, 200))
def test_shares_are_max_min(demands: dict[str, float], room: float) -> None:
    shares = max_min(demands, room)
    assert sum(shares.values()) <= room + 1e-6 and all(shares[name] <= want + 1e-9 for name, want in demands.items())
    # Nothing is left over, and nobody gets more than those whose demand is not met.
    if sum(demands.values()) >= room and demands:
        assert sum(shares.values()) == pytest.approx(room, abs=1e-6)
        poor = [shares[name] for name, want in demands.items() if shares[name] < want - 1e-6]
        assert all(share >= max(shares.values()) - 1e-6 for share in poor)


def admitted_shares(
    controller: AdmissionController, asks: list[tuple[str, Priority, str]], seconds: int, work: float = 0.05
) -> dict[tuple, float]:
    """The share admitted by tenant and priority, at the end of a steady mix of requests sent ten times a second."""
    now, let, came = SECOND, {}, {}
    for step in range(10 * seconds):
        for tenant, priority, client in asks:
            goes = controller.admit(tenant, controller.level(priority, 1.0, work, client, now), work)
            if step >= 10 * (seconds - 2):
                came[tenant, priority] = came.get((tenant, priority), 0) + 1
                let[tenant, priority] = let.get((tenant, priority), 0) + goes
        now += 100 * MS
        controller.update(now)
    return {key: let[key] / count for key, count in came.items()}


def test_promised_and_listening_clients_are_admitted_before_new_ones_and_purchases_always() -> None:
    controller = AdmissionController()
    controller.limit = 6.0  # of a demand of 20
    asks = [
        ("t", priority, f"c{priority}-{n}")
        for priority in (Priority.KEYED, Priority.PROMISED, Priority.LISTENER, Priority.FIRST, Priority.AGAIN)
        for n in range(8)
    ]
    part = admitted_shares(controller, asks, 6)
    assert part["t", Priority.KEYED] == 1 and part["t", Priority.PROMISED] >= 0.4
    assert (
        part["t", Priority.PROMISED]
        >= part["t", Priority.LISTENER]
        >= part["t", Priority.FIRST]
        >= part["t", Priority.AGAIN]
    )
    assert part["t", Priority.AGAIN] == 0
    controller.limit = math.inf
    assert set(admitted_shares(controller, asks, 4).values()) == {1.0}


def test_a_tenants_storm_leaves_others_their_share_and_a_heavy_client_is_ranked_last() -> None:
    controller = AdmissionController()
    controller.limit = 10.0
    asks = [("flood", Priority.FIRST, f"f{n}") for n in range(100)] + [
        ("calm", Priority.FIRST, f"c{n}") for n in range(6)
    ]
    part = admitted_shares(controller, asks, 6)
    assert part["calm", Priority.FIRST] > 0.98 and 0.08 < part["flood", Priority.FIRST] < 0.2
    controller = AdmissionController()
    now = SECOND
    for _ in range(30):
        for client in ("a", "b", "c", "d", *["hog"] * 60):
            controller.level(Priority.FIRST, 1.0, 0.05, client, now)
        now += 100 * MS
        controller.update(now)
    heavy, usual = (
        controller.level(Priority.FIRST, 1.0, 0.05, client, now) // CLIENT_LEVELS % VALUE_LEVELS
        for client in ("hog", "a")
    )
    assert heavy == VALUE_LEVELS - 1 > usual


def test_a_listener_has_a_claim_on_the_next_part_for_a_while() -> None:
    claims = Claims()
    claims.record("c", "o", 3, 0)
    assert claims.holds("c", "o", 4, SECOND) and not claims.holds("c", "o", 3, SECOND)
    assert not claims.holds("d", "o", 4, SECOND) and not claims.holds("c", "o", 4, 6 * SECOND)
    for n in range(20_000):
        claims.record("c", f"o{n}", 0, 0)
    assert len(claims.served) <= 8_192


def test_the_limit_holds_at_the_goodput_and_grows_more_slowly_while_the_origin_is_slow() -> None:
    def after(upstream: UpstreamLoad, seconds: int) -> float:
        capacity, now = CapacityEstimator(), SECOND
        for _ in range(30):  # before the fault everything is served
            capacity.record_admitted(0.6)
            capacity.record_finished(0.6, True)
            now += 100 * MS
            capacity.update(now, False, upstream)
        for step in range(10 * (6 + seconds)):
            fault = step < 60
            sent = min(3.0, capacity.limit / 10)
            capacity.record_admitted(sent)
            capacity.record_shed(max(0.0, 3.0 - sent))
            capacity.record_finished(min(sent, 0.6) if fault else sent, True)
            now += 100 * MS
            capacity.update(now, True, upstream)
            if step == 59:
                assert 5.2 <= capacity.limit <= 9  # of a demand of 30, 6 are served
        return capacity.limit

    assert after(UpstreamLoad(), 1) < 15 and after(UpstreamLoad(), 6) > 25
    assert after(UpstreamLoad(origin_slowdown=3.0), 6) < after(UpstreamLoad(), 6) / 2
    capacity = CapacityEstimator()
    for n in range(100):
        capacity.record_admitted(1.0)
        capacity.record_finished(0.2, True)
        capacity.update(n * 100 * MS, False, UpstreamLoad())
    assert capacity.limit == math.inf  # no limit while the detector's state is normal


# --- retry budgets


@settings(max_examples=150, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.booleans(), st.sampled_from("abc"), st.sampled_from("xy"), st.integers(0, 2 * SECOND)),
        max_size=120,
    )
)
def test_buckets_are_never_negative_and_no_token_is_lost_or_created(steps: list[tuple[bool, str, str, int]]) -> None:
    retry_budgets, now, paid, spent = RetryBudgets(), 0, 0.0, 0
    for first, client, tenant, gone in steps:
        now += gone
        if first:
            retry_budgets.deposit(client, tenant, now)
            paid += POLICIES[Scope.FLEET].per_first_try
        else:
            before = {
                scope: {k: p.tokens for k, p in buckets.items()} for scope, buckets in retry_budgets.buckets.items()
            }
            empty = retry_budgets.withdraw(client, tenant, now)
            spent += empty is None
            if empty is not None:  # none of the three was charged
                assert all(
                    p.tokens >= before[scope].get(k, 0) - 1e-9
                    for scope, buckets in retry_budgets.buckets.items()
                    for k, p in buckets.items()
                )
        for scope, buckets in retry_budgets.buckets.items():
            assert all(-1e-9 <= bucket.tokens <= POLICIES[scope].capacity + 1e-9 for bucket in buckets.values())
    fleet = POLICIES[Scope.FLEET]
    assert spent <= fleet.capacity / 2 + paid + fleet.refill_rate * now / SECOND + 1e-6


def test_retries_are_limited_by_the_first_tries_in_every_scope() -> None:
    retry_budgets = RetryBudgets()
    for n in range(200):
        retry_budgets.deposit(f"c{n % 50}", "t", n * 10 * MS)
    now = 2 * SECOND
    assert [retry_budgets.withdraw("c1", "t", now) for _ in range(6)][-1] is Scope.CLIENT
    results = [retry_budgets.withdraw(f"c{n}", "t", now) for n in range(2, 50) for _ in range(2)]
    assert Scope.TENANT in results and sum(one is None for one in results) <= POLICIES[Scope.TENANT].capacity
    assert retry_budgets.withdraw("other", "quiet", now) is None  # each tenant has its own bucket
    for n in range(3 * budgets.MAX_BUCKETS[Scope.CLIENT]):
        retry_budgets.deposit(f"x{n}", "t", now)
    assert len(retry_budgets.buckets[Scope.CLIENT]) == budgets.MAX_BUCKETS[Scope.CLIENT]


# --- return scheduling


@settings(max_examples=100, derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 60 * MS), st.integers(0, 3_000 * MS), st.booleans()), max_size=200),
    st.floats(0, 400),
)
def test_slots_are_never_overbooked(steps: list[tuple[int, int, bool]], room: float) -> None:
    scheduler, now = ReturnScheduler(2 * SECOND, 7), SECOND
    scheduler.rate = room
    for n, (gone, most, returns) in enumerate(steps):
        now += gone
        wait = scheduler.book(f"k{n}", now, most)
        assert 0 < wait <= max(1_000, min(most, scheduler.horizon))
        if returns:
            scheduler.returned(f"k{n // 2}", now)
        assert all(count <= scheduler.slot_capacity(slot) for slot, count in scheduler.booked.items())
    assert len(scheduler.promises) <= return_scheduler.MAX_PROMISES


def test_refused_clients_return_at_the_scheduled_rate() -> None:
    scheduler = ReturnScheduler(5 * SECOND, 3)
    scheduler.rate = 100.0
    waits = sorted(scheduler.book(f"k{n}", SECOND, 5 * SECOND) for n in range(300))
    assert 2.8 * SECOND < waits[-1] < 3.3 * SECOND
    for begin in range(3):  # a hundred a second, evenly spread
        assert 85 <= sum(begin * SECOND <= wait < (begin + 1) * SECOND for wait in waits) <= 115
    assert scheduler.unplaced == 0
    assert [scheduler.book(f"m{n}", SECOND, 500 * MS) <= 500 * MS for n in range(9)] == [True] * 9  # within its limit
    due = SECOND + scheduler.book("kept", SECOND, 5 * SECOND)
    assert scheduler.returned("kept", due) is Return.KEPT and scheduler.returned("kept", due) is Return.NONE
    scheduler.book("hasty", SECOND, 5 * SECOND)
    held = sum(scheduler.booked.values())
    assert scheduler.returned("hasty", SECOND + SLOT) is Return.EARLY and sum(scheduler.booked.values()) == held - 1
    scheduler.book("tardy", SECOND, 5 * SECOND)
    assert scheduler.returned("tardy", 60 * SECOND) is Return.LATE


def test_the_accept_rate_ramps_up_after_a_start_and_is_limited_in_a_storm() -> None:
    pace, now, taken = AcceptPacer(0), 0, [0] * 12
    while now < 12 * SECOND:
        wait = pace.acquire(now, State.NORMAL, 10)
        taken[now // SECOND] += not wait
        now += wait or 200
    assert taken[0] < 200 < taken[2] < taken[4] and taken[10] >= 4_000  # no limit any more
    assert pace.rate(20 * SECOND, State.STORM, 10) == 320


# --- in the engine


class SilentCaches:
    """A transport to servers that never answer."""

    def send(self, attempt: int, order: AttemptSpec) -> None: ...

    def cancel(self, attempt: int) -> bool:
        return True

    def list_changed(self, entries: list[api.Entry]) -> None: ...

    def purge_received(self, object: str | None, group: int | None) -> None: ...


class RecordingFront:
    name = "resp"

    def __init__(self) -> None:
        self.answers: dict[int, list[Answer]] = {}

    def answer(self, ref: int, answer: Answer) -> None:
        self.answers.setdefault(ref, []).append(answer)


class ManualClock(Clock):
    def __init__(self) -> None:
        self.at = 1_000 * SECOND

    def now(self) -> int:
        return self.at


CLASSES = {
    "clip": api.RequestClass("clip", latency_target=600 * MS, deadline=5 * SECOND, value=2.0, in_parts=True),
    "buy": api.RequestClass(
        "buy",
        retry_safety=api.RetrySafety.KEYED,
        dedup_window=2 * SECOND,
        latency_target=700 * MS,
        deadline=3 * SECOND,
        value=3.0,
        write=True,
    ),
}


def controlled_engine(
    config: OverloadConfig | None = None,
) -> tuple[Engine, OverloadController, RecordingFront, ManualClock]:
    clock, stats = ManualClock(), Stats()
    known = api.Settings(
        CLASSES,
        zone="z",
        client_kb_per_s=4_000.0,
        retry_after_allowed=True,
        max_retry_after=500 * MS,
        cancel=True,
        max_attempts=3,
        origin_kind="origin",
        direct_to_origin=True,
    )
    engine = Engine(known, 1, clock, Deadlines(lambda when: None, lambda error: None), stats, lambda text: None)
    engine.start(SilentCaches())
    engine.list_changed(
        api.ListNews(
            api.ListKind.FULL,
            tuple(api.Entry(n, api.State.READY, "z", kind) for n, kind in ((1, "std"), (2, "std"), (3, "origin"))),
        )
    )
    control = OverloadController(CLASSES, 4_000.0, 500 * MS, config or OverloadConfig(), 5, lambda text: None)
    engine.overload_control = control
    return engine, control, RecordingFront(), clock


def storm(control: OverloadController) -> None:
    control.detector.all.state = State.STORM
    control.admission.limit = control.capacity.limit = 0.05


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(
        st.sampled_from(["ask", "again", "buy", "serve", "miss", "leave", "turn", "storm", "calm", "late"]), max_size=80
    ),
    st.randoms(use_true_random=False),
)
def test_each_request_gets_exactly_one_answer_and_leaves_nothing_behind(steps: list[str], draw: random.Random) -> None:
    engine, control, front, clock = controlled_engine()
    open_handles: dict[int, int] = {}
    left: set[int] = set()
    ref = 0
    for step in steps:
        clock.at += draw.randrange(40 * MS)
        if step in ("ask", "again", "buy"):
            ref += 1
            ask = ClientRequest(
                f"{ref:016x}",
                "buy" if step == "buy" else "clip",
                f"o{draw.randrange(4)}",
                2 * SECOND,
                part=draw.randrange(3),
                repeat=step == "again",
                client=f"c{draw.randrange(3)}",
                idempotency_key=f"k{draw.randrange(3)}" if step == "buy" else None,
            )
            handle = engine.submit(front, ref, ask)
            if ref not in front.answers:
                open_handles[ref] = handle
        elif step in ("serve", "miss", "late") and engine.attempts.live():
            if step == "late":  # past the latency target, or past the deadline
                clock.at += draw.choice([SECOND, 4 * SECOND])
                engine.deadlines.run_due(clock.at)
            live = list(engine.attempts.live())
            if live:
                end = api.Outcome.MISS if step == "miss" else api.Outcome.SERVED
                engine.attempt_ended(draw.choice(live)[0], AttemptResult(end))
        elif step == "leave" and open_handles:
            gone = draw.choice(sorted(open_handles))
            if gone not in front.answers:
                left.add(gone)
            engine.client_gone(open_handles.pop(gone))
        elif step == "turn":
            control.tick(clock.at)
        elif step == "storm":
            storm(control)
        elif step == "calm":
            control.detector.all.state = State.NORMAL
    engine.fail_all()
    assert set(front.answers) | left == set(range(1, ref + 1))
    assert all(len(answers) == 1 for answers in front.answers.values()) and not control.open_requests
    assert not set(front.answers) & left


def test_in_a_storm_new_clients_are_told_when_to_return_while_purchases_and_listeners_go_on() -> None:
    engine, control, front, clock = controlled_engine()

    def ask(n: int, cls: str = "clip", **more: object) -> Answer | None:
        engine.submit(
            front,
            n,
            ClientRequest(
                f"{n:016x}",
                cls,
                more.pop("object", f"o{n}"),
                3 * SECOND,
                client=more.pop("client", f"c{n % 10}"),
                **more,
            ),
        )
        return front.answers.get(n, [None])[0]

    assert ask(1, object="song", part=4, client="listener") is None
    engine.attempt_ended(list(engine.attempts.live())[0][0], AttemptResult(api.Outcome.SERVED))
    storm(control)
    for n in range(100, 140):  # demand that the controller counts
        ask(n)
        clock.at += 20 * MS
    control.admission.limit = 2.0
    control.admission.update(clock.at)
    results = [ask(n) for n in range(200, 215)]
    refused = [answer for answer in results if answer is not None]
    assert refused and all(a.status is FinalStatus.REFUSED and 0 < a.retry_after <= 500 * MS for a in refused)
    assert ask(300, "buy", idempotency_key="k1") is None and ask(301, "buy", idempotency_key="k1", repeat=True) is None
    assert ask(302, object="song", part=5, client="listener") is None  # the next part of the object that it plays
    rid = f"{next(n for n, a in zip(range(200, 215), results, strict=True) if a is not None):016x}"
    why = control.explain(rid)
    assert why["state"] == "storm" and "no room for first" in why["why"] and why["come_back_ms"] > 0
    assert control.status(clock.at)["held_off"] and control.explain("ffff") is None
    control.capacity.limit = control.admission.limit = math.inf
    control.detector.all.state = State.NORMAL
    for handle, _ in list(engine.attempts.live()):  # the caches are up: they answer in the end
        engine.attempt_ended(handle, AttemptResult(api.Outcome.SERVED))
    assert all(ask(n) is None for n in range(400, 420))  # in the normal state nothing is held off


def test_in_a_storm_retries_beyond_the_budget_are_held_off_marked_or_not() -> None:
    for mark in (True, False):
        engine, control, front, clock = controlled_engine(OverloadConfig(admission=False))
        storm(control)
        control.admission.limit = math.inf
        refs = iter(range(1, 10_000))
        for n in range(8):
            engine.submit(front, next(refs), ClientRequest(f"{n:016x}", "clip", f"o{n}", 60 * MS, client="c"))
        clock.at += 100 * MS
        engine.deadlines.run_due(clock.at)  # none was served
        before = dict(control.counts.held)
        for n in range(8):
            engine.submit(
                front, next(refs), ClientRequest(f"{n:016x}", "clip", f"o{n}", 3 * SECOND, client="c", repeat=mark)
            )
        held = sum(control.counts.held.values()) - sum(before.values())
        assert held >= 2 and list(control.counts.held) == ["retry budget of the client"]
