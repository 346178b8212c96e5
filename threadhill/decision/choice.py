"""The decisions of one router instance: which cache, which source, the maximum age of a copy, when to give up.

Replication follows Xia et al.: an object whose rate per copy exceeds a threshold gets one more copy. The numbered
guards are described in docs/design.md.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice

from threadhill.decision import interface as api
from threadhill.decision.fleet import Fleet
from threadhill.decision.freshness import EVERYTHING, Freshness, PurgeRecord
from threadhill.decision.interface import CacheStatus, FillMode, Outcome
from threadhill.decision.order import CACHED_PLACES, MAX_SORTED
from threadhill.decision.running import RotatingSum
from threadhill.decision.state import Mean, PendingRequest, Rate, Server, Tally, apply_hints, decayed, put_bounded

# Copies per object. Rates are requests per second, counted over one interval and averaged.
SECOND = RATE_INTERVAL = 1_000_000  # microseconds
RATE_WEIGHT = 0.3  # weight of the newest interval in an average rate, which so covers a few seconds
MIN_RATE_PER_COPY = 0.5  # requests/s; an object requested less often than every other second keeps one copy
# Rate per copy above which an object gets another copy, as a share of the location's rate per ready cache: ten objects
# at this rate make up the load of one cache.
COPY_THRESHOLD_SHARE = 0.1
# Factor on that threshold for objects in parts. It is lower because their copies hold different parts, so that another
# copy duplicates nothing.
PARTS_THRESHOLD_FACTOR = 0.2
# Each part of an object in parts gets one more copy for each time that the object's rate contains this share of the
# rate per ready cache.
HOT_PARTS_SHARE = 0.5
MAX_OBJECT_RATES = 20_000  # objects whose rates are kept, a few MB; the least recently requested is dropped first

# The location's incoming link. Caches report its load as a ratio: 1 means that the transfers fill it.
LINK_FULL = 1.0  # load ratio from which only objects in parts get more copies, as a copy is filled over the link
LINK_AVERAGING_TIME = 1_500_000  # microseconds over which load reports are averaged, as a single fill is a burst
# Load ratio from which some fills are skipped, and how far above it all fills of an object of mean size are. The first
# is over 1 because reports arrive late.
LINK_CONGESTED, LINK_SHED_RANGE = 1.5, 3.0

# Averages, latency and choice of source.
SERVER_SAMPLE_WEIGHT, OVERALL_SAMPLE_WEIGHT = 0.2, 0.02  # weight of a new sample: for one server, for all together
# Share of the latency target that an object's second parent must save to be preferred to the first: when both fill the
# same object, the origin is asked twice.
MIN_SOURCE_SAVING = 0.25
BASE_LATENCY = 50_000  # microseconds added to transfer times, so that small answers are compared by latency

# Health (guard 3): outlier ejection by failures and by silence.
# Share of requests that fail at an unhealthy server, and the lowest share that is assumed for a healthy one.
UNHEALTHY_FAILURE_RATE, MIN_FAILURE_RATE = 0.5, 0.03
# Logarithm of the odds that a server is unhealthy: it is ejected above the first value, and the second is the highest
# that is kept. Where hardly anything fails, two clear failures are enough for an ejection.
EJECTION_LOG_ODDS, MAX_FAULT_LOG_ODDS = 5.0, 7.0
# A server with unanswered attempts is silent if it has sent no answer for this many microseconds, and for this many
# mean latencies.
MIN_SILENCE, SILENCE_LATENCIES = 600_000, 4.0
MIN_UNANSWERED = 3  # unanswered attempts before a server can count as silent: a single answer may just be large
# Microseconds that an ejection lasts: the first, and the longest. The time doubles with each failed trial.
FIRST_EJECTION, MAX_EJECTION = SECOND, 8 * SECOND

# Limits on what servers are sent (guards 2, 8 and 11).
# Share of a cold server's budget that is used: the rest is a margin for chance, late lists and unequal routers.
COLD_BUDGET_SHARE = 0.65
# Attempts in flight at one server from all routers of the location: the initial limit, and the lowest.
INITIAL_INFLIGHT_LIMIT, MIN_INFLIGHT_LIMIT = 24.0, 6.0
CACHED_ONLY_FACTOR = 3.0  # factor on the in-flight and fill limits for attempts that are answered from copies only
# Fills in flight at one source from all routers: the initial limit, and the lowest.
INITIAL_FILL_LIMIT, MIN_FILL_LIMIT = 72.0, 36.0
LOCATIONS_PER_SOURCE = 3  # up to this many locations per source, these fill limits apply; with more, they grow in step
# Fills that exceed a parent's limit go to the origin while the origin's latency ratio is below the first value. The
# second is the limit on fills in flight there from all routers.
MAX_ORIGIN_LATENCY_RATIO, ORIGIN_FILL_LIMIT = 1.5, 16.0
# Share of a source's fill limit that is taken off for a late fill, and added for one in time. The limit does not shrink
# while at most one fill in six is late.
FILL_LIMIT_DECREASE, FILL_LIMIT_INCREASE = 0.05, 0.01
INFLIGHT_LIMIT_DECREASE = 0.1  # share of the in-flight limit that is taken off for a refusal or a late answer
# Reported utilization of a server's cores: from the first value on, late answers are put down to load and lower the
# in-flight limit; below the second, more attempts than this limit are allowed.
HIGH_UTILIZATION, FULL_LIMIT_UTILIZATION = 0.5, 0.7

# Retries (guard 4).
TIMEOUT_TARGETS = 4.0  # attempt timeout in latency targets, while a retry is possible and the link is not congested
RETRY_CREDIT_PER_REQUEST, MAX_RETRY_CREDIT = 0.05, 20.0  # retries earned per request, and the most saved up

# Latency estimates.
# Microseconds assumed for a transfer before any is measured, and the number of samples above which a class's mean is
# used to rate the fill times of sources.
INITIAL_TRANSFER_TIME, MIN_SAMPLES = 50_000, 10
# For an answer of unknown size: its weight in a source's fill latency ratio, and the highest ratio that it counts for.
UNKNOWN_SIZE_WEIGHT, UNKNOWN_SIZE_MAX_RATIO = 0.05, 3.0
# Microseconds until a latency ratio is forgotten, and the highest weight of one sample of it.
DECAY_TIME, MAX_SAMPLE_WEIGHT = 8 * SECOND, 0.5
# Excess latency ratio added to the measured one of a server (twice to that of a source) when a delay is split between
# the two, so that one of which nothing is known gets a share as well.
PRIOR_EXCESS_RATIO = 0.25
# Share of the latency target that an answer or a fill should take: estimates are means, and half of all take longer.
LATENCY_SAFETY = 0.6
DEADLINE_MARGIN = 2_000  # microseconds before its deadline at which an open request is answered as failed
MAX_INSPECTED = 64  # servers that one request tries where there are too many to sort an object's whole order
# Microseconds a client waits after a refusal, and a router after a failed list call; the share of such a wait of which
# a random part is taken off.
RETRY_AFTER, LIST_RETRY_DELAY, JITTER = SECOND // 2, 2 * SECOND, 0.5


@dataclass(slots=True)
class Candidates:
    """The caches that a request may use, from its object's order."""

    any_eligible: bool = False  # whether any cache may be chosen
    in_time: list[Server] = field(default_factory=list)  # those likely to answer in time
    usable: list[Server] = field(default_factory=list)  # those of them with spare capacity


class Router:
    """Decides for one instance: call `start` once, then `handle` for each event; both return actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.location_routers = settings.location_routers
        # This router's share of the limits, which are meant for all routers together.
        self.initial_inflight_limit, self.min_inflight_limit = (
            INITIAL_INFLIGHT_LIMIT / self.location_routers,
            MIN_INFLIGHT_LIMIT / self.location_routers,
        )
        self.min_fill_limit, self.origin_fill_limit = (
            MIN_FILL_LIMIT / settings.routers,
            ORIGIN_FILL_LIMIT / settings.routers,
        )
        self.rate_weight = RATE_WEIGHT / self.location_routers**0.25
        self.now, self.actions = 0, []
        self.freshness = Freshness(settings.purge_drop_time)
        self.fleet = Fleet(settings.zone, settings.parent_kind, settings.origin_kind)
        self.pending_requests: dict[str, PendingRequest] = {}
        self.rates: dict[str, Rate] = {}
        # Requests; seconds of transfer time served, and the part of them that was filled.
        self.total_rate, self.work, self.fill_work = Rate(), Tally(), Tally()
        self.transfer_times = {name: Mean(INITIAL_TRANSFER_TIME, 1) for name in settings.classes}
        self.mean_latency, self.mean_transfer_time, self.mean_failure_rate = Mean(), Mean(), Mean(MIN_FAILURE_RATE, 50)
        self.mean_fill_ratio: dict[bool, Mean] = {}
        self.fill_sources: dict[tuple[str, int], int] = {}  # (request, attempt) -> source of its fill
        self.latency_deadlines: list[tuple[int, str, int]] = []  # heap: when each attempt misses its latency target
        self.retry_credit = self.max_retry_credit = max(1.0, MAX_RETRY_CREDIT / self.location_routers)
        self.location_fills = RotatingSum()  # fills in flight for the location's caches
        self.router_locations = sum(map(bool, settings.zone_routers))  # locations that have routers
        self.link_load, self.link_reported_at = 0.0, 0  # load ratio of the location's incoming link, and its time
        self.handlers = {
            api.Request: self.on_request,
            api.AttemptEnded: self.on_attempt_ended,
            api.ListNews: self.on_list,
            api.Purge: self.on_purge,
            api.TimerDue: self.on_timer,
            api.ClientGone: self.on_request_closed,
            api.AnswerStarted: self.on_request_closed,
            api.Hints: self.on_hints,
            api.Unsure: self.on_unsure,
        }

    def start(self, now: int) -> list[api.Action]:
        """Start the instance; subscribe to the server list where it is not pushed."""
        return [api.FollowList(True)] if self.settings.list_on_request else []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle one event; kinds that are not used here (probes, peers) are ignored."""
        self.now, self.actions = now, []
        while self.latency_deadlines and self.latency_deadlines[0][0] <= now:
            self.on_target_missed(*heapq.heappop(self.latency_deadlines)[1:])
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return self.actions

    def on_request_closed(self, event: api.ClientGone | api.AnswerStarted) -> None:
        self.pending_requests.pop(event.id, None)

    def on_hints(self, hints: api.Hints) -> None:
        """Merge what other routers report, where a control plane provides it, into the local estimates."""
        apply_hints(hints, self.now - hints.age, self.rates, self.fleet.caches, MAX_OBJECT_RATES, EJECTION_LOG_ODDS)

    def on_unsure(self, event: api.Unsure) -> None:
        self.freshness.missed_age = event.max_age
        self.freshness.missed_at = self.now - event.cutoff_age if event.cutoff_age else 0

    def on_list(self, news: api.ListNews) -> None:
        if news.kind is not api.ListKind.FAILED:
            self.fleet.update(news, self.initial_inflight_limit)
            locations = self.router_locations / max(1, len(self.fleet.parents))  # locations per parent
            scale = max(1.0, locations / LOCATIONS_PER_SOURCE) / self.settings.routers
            self.min_fill_limit = MIN_FILL_LIMIT * scale
            for entry in news.entries:
                source = self.fleet.servers.get(entry.server)
                if source is not None and source.fill_limit == math.inf:
                    source.fill_limit = INITIAL_FILL_LIMIT * scale
        elif self.settings.list_on_request:
            self.actions.append(api.SetTimer(self.jitter(LIST_RETRY_DELAY), "list"))

    def on_purge(self, purge: api.Purge) -> None:
        key: str | int = EVERYTHING
        if purge.object is not None:
            key = purge.object
        elif purge.group is not None:
            key = purge.group
        self.freshness.add_purge(key, PurgeRecord(self.now - purge.age, self.now - purge.queue_delay, purge.timestamp))

    def on_timer(self, timer: api.TimerDue) -> None:
        pending = self.pending_requests.get(timer.token)
        if pending is not None and self.now >= pending.deadline - DEADLINE_MARGIN:
            self.finish(pending)
        elif timer.token == "list":
            self.actions.append(api.FollowList(True))

    def has_cold_credit(self, server: Server, work: float, weight: float = 1.0) -> bool:
        """Guard 2: whether a cold server's credit covers this work. Credit accrues at less than this router's fair
        share of the load that would overload the server, taken from the peak that its peers served (or filled). It
        starts at a random value, as a single request may exceed a router's share. All clients that a request stands
        for (`weight`) must fit."""
        is_parent = server.entry.kind == self.settings.parent_kind
        cold_capacity, warm_up_time, multiple = self.settings.slow_start_rule(is_parent)
        age = self.now - server.entry.start_time
        if not server.entry.start_time or age >= warm_up_time:
            return True
        budget = COLD_BUDGET_SHARE * multiple * (cold_capacity + (1 - cold_capacity) * max(0, age) / warm_up_time)
        budget *= (
            self.fill_work.peak / self.fleet.peak_parents if is_parent else self.work.peak / self.fleet.peak_caches
        )
        max_credit = max(work / weight, budget * self.settings.overload_window / SECOND / 2)
        return server.accrue_credit(self.now, budget / SECOND, max_credit, self.random.random() * work) >= work

    def eject_silent(self) -> None:
        """Guard 3: eject servers that are hung, cut off or stalled, among those with unanswered attempts."""
        max_silence = max(MIN_SILENCE, SILENCE_LATENCIES * self.mean_latency.value)
        for number, server in list(self.fleet.maybe_silent.items()):
            if server.unanswered < MIN_UNANSWERED:
                del self.fleet.maybe_silent[number]
            elif self.now - server.unanswered_since > max_silence and server in self.fleet.peers(server):
                server.silent = self.settings.direct_to_origin  # only then can requests bypass it
                self.eject(server, silent=True)

    def eligible(self, order: Iterable[Server], work: float, weight: float = 1.0) -> Iterator[Server]:
        """Guards 1 to 3: the servers of an order that may be chosen, one at a time. If all that are inspected are
        ejected, the fault lies elsewhere, so those that are not silent are used after all."""
        ejected: list[Server] = []
        any_healthy = False
        for server in islice(order, MAX_SORTED if self.fleet.caches.fully_sorted else MAX_INSPECTED):
            if self.now < server.ejected_until:
                ejected.append(server)
                continue
            any_healthy = True
            if self.has_cold_credit(server, work * weight, weight):
                yield server
        for server in ejected if not any_healthy else ():
            if not server.silent and self.has_cold_credit(server, work * weight, weight):
                yield server

    def others_inflight(self, cache: Server) -> float:
        """Attempts that other routers of the location have in flight there: reported, or estimated from own traffic."""
        # During the first interval there is no average yet: use the count so far.
        rate = self.total_rate.count if self.total_rate.first_interval else self.total_rate.rate
        own_inflight = rate * self.mean_latency.value / SECOND / max(1, len(self.fleet.caches))
        return cache.others_inflight(self.now, (self.location_routers - 1) * own_inflight, INITIAL_INFLIGHT_LIMIT)

    def has_capacity(self, server: Server, limit_factor: float, fraction: float) -> bool:
        """Guard 8: whether one more attempt fits the server's in-flight limit, scaled by `limit_factor`. Where this
        router's share of the limit is under one attempt, `fraction` (a random number) decides; the answer is always
        yes while the other routers are far below the limit."""
        limit = server.inflight_limit * limit_factor / min(1.0, max(0.25, server.utilization / FULL_LIMIT_UTILIZATION))
        if limit >= 1 or server.inflight >= 1:
            return server.inflight + fraction < limit
        return fraction < limit or (0.5 + fraction) * self.others_inflight(server) < limit * self.location_routers

    def may_fill(self, source: Server, limit: float, fraction: float) -> bool:
        """Guard 11: whether one more fill fits the source's limit. Other locations are assumed to fill as much."""
        if limit >= 1 or source.inflight_fills >= 1:
            return source.inflight_fills + fraction < limit
        location_fills = (
            self.location_fills.total(
                self.fleet.caches, lambda s: (s.inflight + self.others_inflight(s)) * (1 - s.hit_ratio)
            )
            / self.location_routers
        )
        is_parent = not self.fleet.parents or source in self.fleet.parents
        own = location_fills / max(1, len(self.fleet.parents)) if is_parent else source.recent_fills(self.now)
        return fraction < limit or (0.5 + fraction) * self.settings.routers * own < limit * self.settings.routers

    def in_time_probability(self, pending: PendingRequest, server: Server) -> float:
        """The probability with which a server as slow as this one may be chosen. A request makes one draw for all
        servers, so that part of the load is refused where all of them are slow."""
        return (
            LATENCY_SAFETY
            * (pending.latency_target or pending.request.time_left)
            / (decayed(server.latency_ratio, self.now, DECAY_TIME) * pending.transfer_time + 1)
        ) ** 2

    def fill_in_time_probability(self, pending: PendingRequest, source: Server) -> float:
        """The same for a fill: a source that was too slow for the latency target lately is asked for few."""
        expected = decayed(source.fill_latency_ratio.get(pending.large, (1.0, 0)), self.now, DECAY_TIME) * (
            pending.transfer_time + BASE_LATENCY
        )
        return (LATENCY_SAFETY * pending.latency_target / expected) ** 2

    def count_request(self, request: api.Request, in_parts: bool, caches: int) -> None:
        """Count the request and adapt the object's number of copies. The location's rate is extrapolated from this
        router's own requests."""
        interval = self.now // RATE_INTERVAL
        self.total_rate.advance(interval, self.rate_weight, 1.0)
        rate = self.rates.get(request.object)
        intervals = (
            rate.advance(interval, self.rate_weight, 1 / self.location_routers)
            if rate
            else 1 - 1 / self.location_routers
        )
        steps, rate = round(self.location_routers * intervals), rate or Rate(interval=interval)
        # Counts this request too: where many routers share the load, a second request for an object within seconds at
        # one of them already indicates a hot object.
        increase = min(self.rate_weight * (rate.count + 1 - rate.rate), 1 / max(1, intervals))
        location_rate = (
            self.location_routers * (rate.rate + increase)
            if not rate.first_interval or rate.count
            else float(self.location_routers > 1)
        )
        location_rate = max(location_rate, rate.hinted_rate(self.now))
        put_bounded(self.rates, request.object, rate, MAX_OBJECT_RATES)
        share = COPY_THRESHOLD_SHARE * self.location_routers * self.total_rate.rate / max(1, caches)
        limit = max(MIN_RATE_PER_COPY, share) * (PARTS_THRESHOLD_FACTOR if in_parts else 1.0)
        for _ in range(min(steps, caches)):
            # A new copy is filled over the link.
            if location_rate / rate.copies > limit and (in_parts or self.link_load < LINK_FULL):
                rate.copies += 1
            elif rate.copies > 1 and location_rate / (rate.copies - 1) < limit:
                rate.copies -= 1
        rate.copies = max(1, min(rate.copies, caches))
        rate.count += not request.repeat
        self.total_rate.count += not request.repeat

    def choose_source(self, pending: PendingRequest) -> Server | None:
        """The faster of the object's first two parents for its size, or the origin where no parent may be used."""
        # The parts of a hot object are spread over the parents.
        name = f"{pending.request.object}/{pending.request.part}" if pending.cls.in_parts else pending.request.object
        eligible = self.eligible(self.fleet.parents.ordered_for(name), pending.work)
        parents = list(islice((p for p in eligible if p.entry.server not in pending.avoid), 2))
        if len(parents) < 2 or self.settings.cache_status_detail is api.CacheStatusDetail.NONE:
            return parents[0] if parents else self.fleet.origin
        mean_ratio = self.mean_fill_ratio.get(pending.large, Mean(1.0)).value
        ratios = [p.fill_latency_ratio.get(pending.large, (mean_ratio, self.now)) for p in parents]
        first, second = (ratio if self.now - when < DECAY_TIME else mean_ratio for ratio, when in ratios)
        return (
            parents[1]
            if first - second > MIN_SOURCE_SAVING * pending.latency_target / (pending.transfer_time + BASE_LATENCY)
            else parents[0]
        )

    def route_read(self, pending: PendingRequest) -> tuple[Server, Server] | None:
        """A server and a source: one of the first k eligible caches with spare capacity, k being the object's number
        of copies. None if there is none."""
        pending.cached_only = False
        self.eject_silent()
        draw, fraction = self.random.random(), self.random.random()
        rate, source = self.rates.get(pending.request.object, Rate()), self.choose_source(pending)
        if pending.request.hand_over and source is not None and source.ejections:
            source = None  # no result is reported, so it cannot be a trial of an ejected server
        found = self.find_candidates(pending, rate.copies, draw, fraction)
        if (
            not found.any_eligible
            and self.settings.direct_to_origin
            and source is not None
            and source.inflight + fraction < source.inflight_limit
        ):
            may_use = self.in_dedup_scope(pending, source) and draw < self.in_time_probability(pending, source)
            # A parent fills from the origin; without an origin it is its own source and answers from its copies only.
            return (source, self.fleet.origin or source) if may_use else None
        usable = found.usable
        if not usable and not pending.request.hand_over:
            # Caches may be at their limit because of fills from a slow origin. Copies that they hold need no fill, so
            # ask for those only.
            usable, source = [s for s in found.in_time if self.has_capacity(s, CACHED_ONLY_FACTOR, fraction)], None
        usable = [s for s in usable if s.entry.server not in pending.avoid] or usable
        pool = usable[: rate.copies]
        if not pool:
            return None
        if pending.cls.in_parts:
            # Each part has its own order, as caches keep parts one by one. Clients of a live object may all ask for the
            # same part at once, so hot parts get more copies.
            rate_per_copy = HOT_PARTS_SHARE * self.total_rate.rate / max(1, len(self.fleet.caches))
            copies = 1 + int(rate.rate / rate_per_copy) if rate_per_copy else 1
            pool = self.fleet.caches.sort_for(f"{pending.request.object}/{pending.request.part}", pool)[:copies]
        cache = pool[self.random.randrange(len(pool))]
        origin = self.fleet.origin
        if source is not None and not self.may_fill(source, source.fill_limit, fraction):  # guard 11
            pending.cached_only = source is not origin  # the origin holds everything
            if (
                origin is not None
                and self.may_fill(origin, self.origin_fill_limit, fraction)
                and draw < self.fill_in_time_probability(pending, origin)
                and decayed(origin.latency_ratio, self.now, DECAY_TIME) < MAX_ORIGIN_LATENCY_RATIO
            ):
                source, pending.cached_only = origin, False
            elif not pending.cached_only or not self.may_fill(source, CACHED_ONLY_FACTOR * source.fill_limit, fraction):
                return cache, cache
        # Guard 9: a congested link delivers nothing in time, so fills are skipped and the cache answers from its copies
        # only. Small objects are skipped less often, as more of them fit.
        excess = (
            (self.link_load - LINK_CONGESTED)
            / LINK_SHED_RANGE
            * pending.transfer_time
            / (self.mean_transfer_time.value or 1)
        )
        fill = (
            source is not None
            and self.random.random() >= excess
            and draw < self.fill_in_time_probability(pending, source)
        )
        return cache, source if fill else cache

    def find_candidates(self, pending: PendingRequest, copies: int, draw: float, fraction: float) -> Candidates:
        """Guards 1 to 3, 6 and 8: go through the object's order of caches until as many usable ones are found as it has
        copies. Full caches count as unusable: using others instead would only move the load to the link and the
        origin."""
        # A hand-over is not refused by an in-flight limit that is still the initial guess.
        limit_share, initial_limit = (
            pending.request.inflight_share,
            self.initial_inflight_limit if pending.request.hand_over else -1,
        )
        order, wanted = self.caches_for(pending, copies)
        found = Candidates()
        not_avoided = 0
        in_scope = (s for s in order if self.in_dedup_scope(pending, s))
        for server in self.eligible(in_scope, pending.work, pending.request.weight):
            if pending.request.hand_over and server.ejections:
                continue
            found.any_eligible = True
            if draw >= self.in_time_probability(pending, server):
                continue
            found.in_time.append(server)
            if (
                self.has_capacity(server, limit_share, fraction * pending.request.weight)
                or not server.last_answer_at
                and server.inflight_limit == initial_limit
            ):
                found.usable.append(server)
                not_avoided += server.entry.server not in pending.avoid
                if not_avoided == wanted:
                    break
        return found

    def caches_for(self, pending: PendingRequest, copies: int) -> tuple[Iterable[Server], int]:
        """The object's order of caches, and how many usable ones are wanted of it. Where there are too many caches to
        sort, an object with more copies than cached places has several orders of that many places, and each request
        uses one place of one of them. Parts have an order each."""
        name, caches = pending.request.object, self.fleet.caches
        if caches.fully_sorted or copies <= CACHED_PLACES:
            return caches.ordered_for(name), copies
        if pending.cls.in_parts:
            return caches.ordered_for(f"{name}/{pending.request.part}"), 1
        order_number = self.random.randrange(-(-copies // CACHED_PLACES))
        order = caches.ordered_for(f"{name}#{order_number}" if order_number else name)
        return islice(order, self.random.randrange(CACHED_PLACES), None), 1

    def route_write(self, pending: PendingRequest) -> tuple[Server, Server] | None:
        """Requests that cannot be cached go directly to the origin, or through a cache where that is not allowed."""
        origin = self.fleet.origin
        if origin is None:
            return None
        name = pending.request.object or pending.request.id
        self.eject_silent()
        servers: Iterable[Server] = (
            [origin]
            if self.settings.direct_to_origin
            else self.eligible(self.fleet.caches.ordered_for(name), pending.work)
        )
        avoided = None
        for server in servers:
            if not self.in_dedup_scope(pending, server):
                continue
            if server.entry.server not in pending.avoid:
                return server, origin
            avoided = avoided or server
        return (avoided, origin) if avoided is not None else None

    def on_request(self, request: api.Request) -> None:
        cls = self.settings.classes.get(request.cls) or api.RequestClass(
            request.cls, retry_safety=api.RetrySafety.UNSAFE
        )
        pending = PendingRequest(request, cls, self.now + request.time_left, cls.write or request.write)
        self.pending_requests[request.id] = pending
        mean = self.transfer_times.setdefault(cls.name, Mean(INITIAL_TRANSFER_TIME, 1))
        pending.size_known = bool(request.size and self.settings.client_kb_per_s)
        if pending.size_known:
            mean.add(request.size / self.settings.client_kb_per_s * SECOND, OVERALL_SAMPLE_WEIGHT)
        pending.transfer_time = (
            request.size / self.settings.client_kb_per_s * SECOND if pending.size_known else mean.value
        )
        pending.large, pending.work = pending.transfer_time > mean.value, mean.value / SECOND
        pending.latency_target = cls.latency_target + cls.latency_target_stretch * pending.transfer_time
        if not pending.write:
            self.mean_transfer_time.add(pending.transfer_time, OVERALL_SAMPLE_WEIGHT)
            self.count_request(request, cls.in_parts, len(self.fleet.caches))
        if request.hand_over:
            self.hand_over(pending)
            return
        self.retry_credit = min(self.max_retry_credit, self.retry_credit + RETRY_CREDIT_PER_REQUEST)
        self.actions.append(api.SetTimer(max(0, request.time_left - DEADLINE_MARGIN), request.id))
        self.start_attempt(pending)

    def hand_over(self, pending: PendingRequest) -> None:
        """Guard 10: name a server to a client that connects to it itself. It counts against credit and in-flight limit
        like an attempt, but its result is not reported, so it does not affect the server's health. The client cannot be
        given a maximum age, so after a purge only the origin is certain to have a new copy."""
        origin = self.fleet.origin
        direct = (origin, origin) if self.settings.direct_to_origin and origin is not None else None
        route = direct if pending.write or self.max_copy_age(pending) else self.route_read(pending)
        if route is None:
            self.finish(pending)
            return
        self.charge(pending, *route)
        del self.pending_requests[pending.request.id]
        self.actions.append(api.HandOver(pending.request.id, route[0].entry.server, int(pending.transfer_time)))

    @staticmethod
    def charge(pending: PendingRequest, server: Server, source: Server) -> list[Server]:
        """Account for an attempt in credit and in-flight count; returns the servers that do work for it."""
        servers = [server] if source is server else [server, source]
        for each in servers:
            each.credit -= pending.work * pending.request.weight
        server.inflight += pending.request.weight
        return servers

    def start_attempt(self, pending: PendingRequest) -> None:
        """Send the request to a server, or finish it where none may be used."""
        route = self.route_write(pending) if pending.write else self.route_read(pending)
        if route is None:
            self.finish(pending)
            return
        server, source = route
        for ejected in [s for s in self.charge(pending, server, source) if s.ejections]:
            self.start_ejection(ejected)  # a trial: ejected again for longer, unless it succeeds
        if source is not server:
            source.add_fills(self.now, 1)
            self.fill_sources[pending.request.id, len(pending.attempts)] = source.entry.server
        server.unanswered_since = server.unanswered_since if server.unanswered else self.now
        server.unanswered += 1
        if server.unanswered >= MIN_UNANSWERED:
            self.fleet.maybe_silent[server.entry.server] = server
        mode = FillMode.JOIN * (self.settings.coalesces_fills and pending.may_join) | FillMode.REFRESH * bool(
            pending.cls.freshness_lifetime
        )
        mode |= FillMode.CACHED_ONLY * (pending.cached_only and source is not server)
        # The attempt ends before the request's timer, so that its result still counts.
        timeout = max(1, pending.deadline - self.now - 2 * DEADLINE_MARGIN)
        may_retry = (
            len(pending.attempts) + 1 < self.settings.max_attempts
            and self.retry_credit >= 1
            and self.link_load < LINK_CONGESTED
        )
        if may_retry and pending.cls.retry_safety is api.RetrySafety.SAFE:
            timeout = min(timeout, int(TIMEOUT_TARGETS * pending.latency_target))
        pending.timeout = timeout
        pending.attempts.append((server.entry.server, source.entry.server))
        pending.attempt_open, pending.late, pending.sent_at = True, False, self.now
        heapq.heappush(
            self.latency_deadlines,
            (
                self.now + int(pending.latency_target or pending.request.time_left) + 1,
                pending.request.id,
                len(pending.attempts) - 1,
            ),
        )
        self.actions.append(
            api.Fetch(
                pending.request.id,
                server.entry.server,
                timeout,
                self.max_copy_age(pending),
                source.entry.server,
                FillMode(mode),
                0 if pending.write else 1,
                self.latest_start(pending),
            )
        )

    def max_copy_age(self, pending: PendingRequest) -> int:
        """Guard 5: the maximum age of a copy. After a purge it excludes older copies until all servers have dropped
        theirs; else it is the class's own limit."""
        oldest = self.freshness.max_copy_age(pending.request.object, pending.request.group, self.now)
        return min(oldest, pending.cls.freshness_lifetime or self.settings.purge_drop_time)

    def rejects_answer(self, id: str, sent_at: int, created_at: int, now: int) -> bool:
        """Guard 5, for an answer: whether its copy (created at this Unix microsecond; 0: unknown) may be older than a
        purge that was known when the attempt was sent. A server that obeys the maximum age sends no such copy, but it
        may let the request join a fill that began earlier, so later attempts of the request join none."""
        pending = self.pending_requests.get(id)
        if pending is None or pending.write:
            return False
        purged = self.freshness.is_purged(pending.request.object, pending.request.group, sent_at, created_at, now)
        pending.may_join = pending.may_join and not purged
        return purged

    def in_dedup_scope(self, pending: PendingRequest, server: Server) -> bool:
        """Guard 6: once the request may have run, only servers that would drop the repeat may get it."""
        if pending.cls.retry_safety is not api.RetrySafety.KEYED or pending.cls.dedup_scope is api.DedupScope.ALL:
            return True
        known = [self.fleet.servers.get(number) for number, _ in pending.may_have_run]
        return all(
            s is not None
            and s.entry.zone == server.entry.zone
            and (pending.cls.dedup_scope is api.DedupScope.ZONE or s.entry.cell == server.entry.cell)
            for s in known
        )

    def on_target_missed(self, id: str, attempt: int) -> None:
        """Guards 8 and 11: count an attempt as slow when it misses its latency target, not only when it times out
        seconds later."""
        pending = self.pending_requests.get(id)
        if pending is None or not pending.attempt_open or attempt != len(pending.attempts) - 1:
            return
        pending.late, (server, source) = True, map(self.fleet.servers.get, pending.attempts[-1])
        if server is not None and source is not None:
            if pending.size_known:  # with an unknown size, a large answer looks like a slow one
                late = api.AttemptEnded(id, attempt, server.entry.server, Outcome.TIMED_OUT, self.now - pending.sent_at)
                self.update_latency(pending, late, server, source)
            if source is not server:
                source.fill_limit = max(self.min_fill_limit, source.fill_limit * (1 - FILL_LIMIT_DECREASE))

    def finish_fill(self, end: api.AttemptEnded, pending: PendingRequest | None) -> None:
        """Guard 11: count a fill as ended, and raise its source's limit if it came in time and half of the limit was in
        use. There is a limit because an overloaded origin would stop answering."""
        source = self.fleet.servers.get(self.fill_sources.pop((end.id, end.attempt), -1))
        if source is None:
            return
        in_time = end.outcome is Outcome.SERVED and not (pending is not None and pending.late)
        source.fill_limit += (
            FILL_LIMIT_INCREASE * source.fill_limit
            if in_time and source.inflight_fills >= source.fill_limit / 2
            else 0.0
        )
        source.add_fills(self.now, -1)

    def on_attempt_ended(self, end: api.AttemptEnded) -> None:
        server, pending = self.fleet.servers.get(end.server), self.pending_requests.get(end.id)
        self.finish_fill(end, pending)
        if server is not None:
            if "link" in end.load and server in self.fleet.caches:
                # All caches of the location report on the same link.
                weight = min(1.0, (self.now - self.link_reported_at) / LINK_AVERAGING_TIME)
                self.link_load, self.link_reported_at = (
                    self.link_load + weight * (end.load["link"] - self.link_load),
                    self.now,
                )
            server.record_report(self.now, end.load.get("inflight"))
            server.inflight = max(0, server.inflight - end.weight)
            server.hit_ratio, server.utilization = (
                end.load.get("hits", server.hit_ratio),
                end.load.get("util", server.utilization),
            )
            if end.outcome in api.NEVER_CONTACTED or self.had_too_little_time(end, pending):
                server.unanswered = max(0, server.unanswered - 1)
            elif end.outcome not in api.NO_RESPONSE:
                server.unanswered, server.silent = 0, False
        if pending is None or not pending.attempts:
            return
        pending.attempt_open = False
        if end.outcome is Outcome.SHORTAGE:  # another server may have an open connection
            pending.avoid.add(end.server)
        source = self.fleet.servers.get(pending.attempts[-1][1])
        if server is not None:
            self.update_latency(pending, end, server, source)
            self.update_health(pending, end, server, source)
        if end.request_closed:
            del self.pending_requests[end.id]
            return
        if end.outcome not in api.NEVER_RAN:
            pending.may_have_run.append((end.server, pending.sent_at))
        if not (end.outcome is Outcome.MISS and (source is server or pending.cached_only)) and self.may_retry(pending):
            self.retry_credit -= end.outcome not in api.NOTHING_SENT  # an unsent attempt put no load on a server
            self.start_attempt(pending)
        else:
            self.finish(pending)

    def had_too_little_time(self, end: api.AttemptEnded, pending: PendingRequest | None) -> bool:
        """Whether an attempt ended before a healthy server would have answered, so that the missing answer means
        nothing: it had less than twice the mean time, or less than half of its class's deadline if that is shorter.
        At most its timeout counts, as a busy machine notices timeouts late."""
        if end.outcome not in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            return False
        sufficient = 2 * (self.mean_latency.value + BASE_LATENCY)
        if pending is None:
            return end.duration < sufficient
        if pending.cls.deadline:
            sufficient = min(sufficient, pending.cls.deadline / 2)
        return min(end.duration, pending.timeout) < sufficient

    def update_latency(
        self, pending: PendingRequest, end: api.AttemptEnded, server: Server, source: Server | None
    ) -> None:
        """Guard 8: update a server's latency ratio from an answer, or from a missing one."""
        old_ratio, updated_at = server.latency_ratio
        server_only = (
            end.cache_status is CacheStatus.HIT
            or source is server
            or end.cache_status not in api.FILL_STATUSES
            and self.link_load < LINK_FULL
        )
        ratio = server_only * (end.duration - end.source_wait) / (pending.transfer_time + BASE_LATENCY)
        if ratio and source not in (None, server) and self.settings.cache_status_detail is api.CacheStatusDetail.NONE:
            ratio -= self.source_delay(pending, end, ratio, server, source)
        if end.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            ratio *= ratio > old_ratio and server.last_answer_at < pending.sent_at
        elif end.outcome is not Outcome.SERVED or not pending.size_known:
            ratio = 0.0  # with an unknown size, a large answer looks like a slow one
        if ratio:
            weight = min(MAX_SAMPLE_WEIGHT, max(SERVER_SAMPLE_WEIGHT, (self.now - updated_at) / DECAY_TIME))
            server.latency_ratio = (old_ratio + weight * (ratio - old_ratio), self.now)
        if end.outcome is Outcome.SERVED and end.duration <= pending.latency_target:
            server.last_answer_at = self.now

    def source_delay(
        self, pending: PendingRequest, end: api.AttemptEnded, ratio: float, server: Server, source: Server
    ) -> float:
        """The source's part of a delay, where answers do not say whether the source was asked. The time beyond the
        transfer is split between server and source in proportion to how slow each has been with others lately."""
        # One figure for all sizes here, as a single router sees few of each.
        excess, source_ratio = max(0.0, ratio - 1), source.fill_latency_ratio.get(False, (1.0, 0))
        old_source, old_server = (
            decayed(source_ratio, self.now, DECAY_TIME),
            decayed(server.latency_ratio, self.now, DECAY_TIME),
        )
        source_weight, server_weight = (
            max(0.0, old_source - 1) + 2 * PRIOR_EXCESS_RATIO,
            max(0.0, old_server - 1) + PRIOR_EXCESS_RATIO,
        )
        source_excess = excess * source_weight / (source_weight + server_weight)
        late = end.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED) and 1 + source_excess > old_source
        if pending.size_known and (end.outcome is Outcome.SERVED or late):
            fill_probability = min(1.0, max(excess, 1 - server.hit_ratio))  # a fast answer may have been a hit
            weight = fill_probability * min(
                MAX_SAMPLE_WEIGHT, max(SERVER_SAMPLE_WEIGHT, (self.now - source_ratio[1]) / DECAY_TIME)
            )
            source.fill_latency_ratio = dict.fromkeys(
                (False, True), (old_source + weight * (min(ratio, 1.0) + source_excess - old_source), self.now)
            )
        return source_excess

    def update_health(
        self, pending: PendingRequest, end: api.AttemptEnded, server: Server, source: Server | None
    ) -> None:
        """Guards 3 and 8: update the fault odds and the in-flight limit of a server, and the fault odds of its source
        as far as the outcome is attributed to that."""
        # A cache is not blamed for its source's time.
        in_time = end.duration - end.source_wait <= pending.latency_target
        refused, timed_out = end.outcome is Outcome.REFUSED, end.outcome is Outcome.TIMED_OUT and not in_time
        served, failed = end.outcome is Outcome.SERVED, end.outcome in api.FAILED
        if not (served or failed or timed_out):
            return
        fill_source = source if source is not server else None
        # The source's share of the blame.
        source_blame = self.source_blame(pending, end, server, fill_source) if fill_source else 0.0
        if served:
            self.record_served(pending, end, source)
        # This router's share of the attempts that all routers of the location have in flight there.
        fair_share = (
            server.inflight + self.others_inflight(server) * (self.location_routers > 1)
        ) / self.location_routers
        if source_blame < 1 and (refused or not in_time and server.utilization >= HIGH_UTILIZATION):
            server.inflight_limit = min(server.inflight_limit, fair_share if refused else server.inflight_limit) * (
                1 - INFLIGHT_LIMIT_DECREASE
            )
        elif in_time and fair_share >= server.inflight_limit / 2:
            server.inflight_limit += 1 / (self.location_routers * server.inflight_limit)
        server.inflight_limit = max(self.min_inflight_limit, server.inflight_limit)
        if timed_out and self.link_load >= LINK_CONGESTED:
            return
        self.mean_failure_rate.add(1.0 - served, OVERALL_SAMPLE_WEIGHT)
        if source_blame < 1:
            self.update_fault_odds(pending, server, 0.0 if served else 1 - source_blame)
        # A hit says nothing of the source, which was not asked. Without a cache status, the hit ratio is used.
        fill_probability = (
            float(end.cache_status in api.FILL_STATUSES)
            if self.settings.cache_status_detail is not api.CacheStatusDetail.NONE
            else 1 - server.hit_ratio
        )
        if fill_source is not None and (source_blame if not served else fill_probability):
            self.update_fault_odds(pending, fill_source, 0.0 if served else source_blame, fill_probability)

    def source_blame(self, pending: PendingRequest, end: api.AttemptEnded, server: Server, source: Server) -> float:
        """The probability that a failure is the source's and not the server's: from the cache status where it says so,
        else from how often each has failed with others."""
        late = end.outcome is Outcome.TIMED_OUT  # a cache that answered others meanwhile is healthy
        if (
            end.cache_status in (CacheStatus.SOURCE_REFUSED, CacheStatus.SOURCE_FAILED)
            or late
            and server.last_answer_at > pending.sent_at
        ):
            return 1.0
        if (
            end.outcome in (Outcome.UNREACHED, Outcome.BROKEN)
            or self.settings.cache_status_detail is api.CacheStatusDetail.ALL
            and not late
        ):
            return 0.0
        return 1 / (1 + math.exp(server.fault_log_odds - source.fault_log_odds))

    def record_served(self, pending: PendingRequest, end: api.AttemptEnded, source: Server | None) -> None:
        """Update work, latency and fill times from a served answer."""
        fill = (
            end.cache_status in (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN)
            if self.settings.cache_status_detail is not api.CacheStatusDetail.NONE
            else 1 - end.load.get("hits", 0.0)
        )
        # Where one router sees less, the mean is longer, and the peak counts only after more samples.
        scale = math.sqrt(self.location_routers)
        self.work.add(self.now // RATE_INTERVAL, pending.work, RATE_WEIGHT / scale, scale)
        self.fill_work.add(self.now // RATE_INTERVAL, fill * pending.work, RATE_WEIGHT / scale, scale)
        self.mean_latency.add(end.duration, OVERALL_SAMPLE_WEIGHT)
        if not pending.size_known:
            self.transfer_times[pending.cls.name].add(end.duration, OVERALL_SAMPLE_WEIGHT)
        estimate_usable = pending.size_known or self.transfer_times[pending.cls.name].samples > MIN_SAMPLES
        if source is None or end.cache_status not in api.FILL_STATUSES or not estimate_usable:
            return
        ratio = min(
            end.duration / (pending.transfer_time + BASE_LATENCY),
            math.inf if pending.size_known else UNKNOWN_SIZE_MAX_RATIO,
        )
        mean = self.mean_fill_ratio.setdefault(pending.large, Mean())
        mean.add(ratio, OVERALL_SAMPLE_WEIGHT)
        old_ratio, updated_at = source.fill_latency_ratio.get(pending.large, (mean.value, 0))
        weight = (
            min(MAX_SAMPLE_WEIGHT, max(SERVER_SAMPLE_WEIGHT, (self.now - updated_at) / DECAY_TIME))
            if pending.size_known
            else UNKNOWN_SIZE_WEIGHT
        )
        source.fill_latency_ratio[pending.large] = (old_ratio + weight * (ratio - old_ratio), self.now)

    def update_fault_odds(self, pending: PendingRequest, server: Server, blame: float, weight: float = 1.0) -> None:
        """Guard 3: update the log odds that this server fails half of its requests, rather than as many as all servers
        fail lately. Where hardly anything fails, one failure weighs much; where all fail, it weighs nothing."""
        failure_rate = min(UNHEALTHY_FAILURE_RATE, max(MIN_FAILURE_RATE, self.mean_failure_rate.value))
        if blame:
            server.fault_log_odds = min(
                MAX_FAULT_LOG_ODDS, server.fault_log_odds + blame * math.log(UNHEALTHY_FAILURE_RATE / failure_rate)
            )
            pending.avoid.add(server.entry.server)
            if server.fault_log_odds > EJECTION_LOG_ODDS and self.now >= server.ejected_until:
                self.eject(server)
            return
        server.fault_log_odds = max(
            0.0, server.fault_log_odds + weight * math.log(UNHEALTHY_FAILURE_RATE / (1 - failure_rate))
        )
        if server.ejections:  # it succeeded: back in use, or another trial at once
            server.ejections, server.ejected_until = (
                (server.ejections - 1) * (server.fault_log_odds > EJECTION_LOG_ODDS),
                self.now,
            )

    def start_ejection(self, server: Server) -> None:
        server.ejected_until = self.now + self.jitter(min(MAX_EJECTION, FIRST_EJECTION << min(server.ejections, 10)))
        server.ejections += 1
        self.fleet.ejected[server.entry.server] = server

    def eject(self, server: Server, silent: bool = False) -> None:
        """Guard 3: eject a server for a while, but never more than half of its peers. Attempts in flight at a silent
        one are cancelled and tried elsewhere."""
        peers = self.fleet.peers(server)
        ejected = [p for p in self.fleet.ejected_among(peers, self.now) if p is not server]
        # If all peers are silent, the location is lost, and all of them may be ejected.
        if 2 * (len(ejected) + 1) > len(peers) and not all(p.silent for p in peers):
            healthier = min(ejected, key=lambda p: p.fault_log_odds, default=server)
            if healthier.fault_log_odds >= server.fault_log_odds:
                return
            # It may have been blamed for delays that the worse peer caused: use it again and eject the worse one.
            healthier.ejected_until = 0
        self.start_ejection(server)
        server.unanswered = 0
        for pending in self.pending_requests.values() if silent and self.settings.cancel else ():
            if (
                pending.cls.retry_safety is api.RetrySafety.SAFE
                and pending.attempt_open
                and pending.attempts[-1][0] == server.entry.server
            ):
                self.actions.append(api.CancelAttempt(pending.request.id, len(pending.attempts) - 1))

    def may_retry(self, pending: PendingRequest) -> bool:
        """Guard 4: whether a retry is within the allowed attempts and the router's retry credit, which failures do not
        raise."""
        exhausted = len(pending.attempts) >= self.settings.max_attempts or self.retry_credit < 1
        return not exhausted and self.now < self.latest_start(pending)

    def latest_start(self, pending: PendingRequest) -> int:
        """Guard 6: the latest time for an attempt to start. Once the request may have run, this is as long as servers
        still drop the repeat."""
        # After `latest`, an attempt is not worth sending.
        latest, retry_safety = pending.deadline - 2 * DEADLINE_MARGIN, pending.cls.retry_safety
        if not pending.may_have_run or retry_safety is api.RetrySafety.SAFE:
            return latest
        return (
            min(latest, pending.may_have_run[0][1] + pending.cls.dedup_window - self.settings.tick)
            if retry_safety is api.RetrySafety.KEYED
            else 0
        )

    def jitter(self, delay: int) -> int:
        """A delay with random jitter, so that routers that see the same event do not all react at the same time."""
        return int(delay * (1 - JITTER * self.random.random()))

    def finish(self, pending: PendingRequest) -> None:
        """Give the final answer: a refusal with a retry-after time where a repeat does no harm, else a failure."""
        del self.pending_requests[pending.request.id]
        dropped_by_all = (
            pending.cls.retry_safety is api.RetrySafety.KEYED and pending.cls.dedup_scope is api.DedupScope.ALL
        )
        safe_to_repeat = (
            pending.cls.retry_safety is api.RetrySafety.SAFE
            or dropped_by_all
            or not (pending.may_have_run or pending.attempt_open)
        )
        self.actions.append(
            api.Refuse(
                pending.request.id,
                self.settings.retry_after_allowed * self.jitter(min(RETRY_AFTER, self.settings.max_retry_after)),
            )
            if safe_to_repeat
            else api.Fail(pending.request.id)
        )
