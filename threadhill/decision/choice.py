"""The decisions of one router instance: which cache, which source, how old a copy, when to give up.

After Xia et al.: an object whose rate per copy passes a threshold gets one more copy. Guards: docs/design.md.
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
from threadhill.decision.order import KEPT_PLACES, SMALL
from threadhill.decision.running import RotatingSum
from threadhill.decision.state import Job, Mean, Rate, Server, Tally, faded, remember, take_hints

SECOND = INTERVAL = 1_000_000  # microseconds; a request rate is counted over as many, as the design page sets it
RATE_WEIGHT = 0.3  # weight of the newest interval in a rate: a few seconds of memory
RATE_FLOOR = 0.5  # requests a second per copy: what comes less than every other second keeps one copy
SHARE_OF_CACHE = 0.1  # T as a part of the router's rate per ready cache: ten such objects fill a cache evenly
PARTS_SHARE = 0.2  # T for objects in parts against others: their copies split the parts and double nothing
HOT_SHARE = 0.5  # rate of an object in parts, in rates per ready cache, that gives each part one more copy
TABLE_SIZE = 20_000  # objects remembered, the least recently asked goes first: a few MB
LINK_FULL = 1.0  # x1 at which the link's transfers fill it (by its definition): no copies are added
LINK_MEMORY = 1_500_000  # microseconds over which reports of the link are smoothed: single fills are bursts
LINK_JAM, LINK_RAMP = 1.5, 3.0  # x1 from which fills are left out now and then, and past that always: news is late
MEMORY, SLOW_MEMORY = 0.2, 0.02  # weight of the newest in averages: of a server, over all of them
FASTER = 0.25  # part of the aim that the second parent must spare: where both fill an object, the origin is asked twice
LATENCY = 50_000  # microseconds added to a sending time so that small answers compare by latency
ILL, USUAL_LEAST = 0.5, 0.03  # parts of what it is asked that an ill server fails; that any may now and then
DOUBT, DOUBT_MOST = 5.0, 7.0  # odds, as a logarithm, that eject a server (one clear failure if hardly any); the most
SILENT, SILENT_TIMES = 600_000, 4.0  # microseconds, and usual answer times, without any answer that are a silence
SILENT_SENDS = 3  # attempts that a silent server has open at the least: one may be just large
EJECT_FIRST, EJECT_MOST = SECOND, 8 * SECOND  # microseconds of an ejection: the first, doubled for each failed trial
COLD_SAFETY = 0.65  # part of a cold server's budget that is used: chance, late news, unequal routers
ROOM_FIRST, ROOM_LEAST = 24.0, 6.0  # attempts that a server may hold of all: before anything is known, and always
LOOKS = 3.0  # rooms that looks for what is held may fill
FILLS_FIRST, FILLS_LEAST = 72.0, 36.0  # fills that all may ask a source for at once: before one came late, and always
SERVED = 3  # locations that such a source is sized for; one that stands for more sources has room for more
ORIGIN_WELL, ORIGIN_FILLS = 1.5, 16.0  # the same of the origin, for what parents have no room for, up to this pace
FILLS_SHRINK, FILLS_GROW = 0.05, 0.01  # parts of that room: off for a late one, on for one in time, so 1 in 6 may be
ROOM_SHRINKS = 0.1  # part of the room taken off for a refusal or an answer after the aim
BUSY, EASY = 0.5, 0.7  # how busy a server says it is where late answers speak of crowding; where rooms hold as is
PATIENCE = 4.0  # an attempt's time-out in aims, while another may follow and the link is not jammed
RETRY_SHARE, RETRY_BURST = 0.05, 20.0  # further attempts that a first try pays for, and the most saved up
FIRST_SEND, SETTLED = 50_000, 10  # microseconds that a sending is taken for, until so many answers settle its mean
UNSIZED, LARGE = 0.05, 3.0  # an answer of unknown size in a source's speed: its weight, its most in sending times
FADES, PACE_MOST = 8 * SECOND, 0.5  # microseconds in which a pace or speed is forgotten; one answer's most weight
SUSPECT = 0.25  # how slow a server is taken for that nothing is known of, where it is asked who was
PACE_SAFETY = 0.6  # part of the aim that an answer should take, a fill too: times are means, and half are longer
ANSWER_EARLY = 2_000  # microseconds before its deadline at which an open request is failed
LOOKED_AT = 64  # servers of an object's order that one request looks at, where there are more than can be sorted
COME_BACK, ASK_AGAIN, SPREAD = SECOND // 2, 2 * SECOND, 0.5  # wait after a refusal, a failed list call; part by chance


@dataclass(slots=True)
class Candidates:
    """What a request found of its object's order of caches."""

    fit: bool = False  # whether any may be chosen at all
    quick: list[Server] = field(default_factory=list)  # those that are likely to answer in time
    usable: list[Server] = field(default_factory=list)  # those of them that have room


class Router:
    """Decides for one instance: `start` once, then `handle` for each event; both return actions."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.set, self.random = settings, random.Random(seed)
        self.location_routers = settings.location_routers  # routers of this location
        self.room_first, self.room_least = (
            ROOM_FIRST / self.location_routers,
            ROOM_LEAST / self.location_routers,
        )  # a part of what binds all
        self.fills_least, self.origin_fills = FILLS_LEAST / settings.routers, ORIGIN_FILLS / settings.routers
        self.weight = RATE_WEIGHT / self.location_routers**0.25
        self.now, self.actions = 0, []
        self.freshness = Freshness(settings.purge_drop_time)
        self.fleet = Fleet(settings.zone, settings.parent_kind, settings.origin_kind)
        self.jobs: dict[str, Job] = {}
        self.rates: dict[str, Rate] = {}
        self.total, self.work, self.fills = Rate(), Tally(), Tally()  # requests; seconds of sending served, and filled
        self.sends = {name: Mean(FIRST_SEND, 1) for name in settings.classes}
        self.usual_took, self.usual_send, self.usual_bad = Mean(), Mean(), Mean(USUAL_LEAST, 50)
        self.fill_time: dict[bool, Mean] = {}
        self.filling: dict[tuple[str, int], int] = {}  # (request, attempt) -> source of its fill
        self.due: list[tuple[int, str, int]] = []  # when each attempt that is out should be over: a heap
        self.retries = self.burst = max(1.0, RETRY_BURST / self.location_routers)
        self.fills_here = RotatingSum()  # fills that the location's caches have asked for
        self.locations = sum(map(bool, settings.zone_routers))  # those with routers
        self.link, self.link_heard = 0.0, 0  # how full the location's link in is, and when that was told
        self.handlers = {
            api.Request: self.on_request,
            api.AttemptEnded: self.on_ended,
            api.ListNews: self.on_list,
            api.Purge: self.on_purge,
            api.TimerDue: self.on_timer,
            api.ClientGone: self.on_left,
            api.AnswerStarted: self.on_left,
            api.Hints: self.on_hints,
            api.Unsure: self.on_unsure,
        }

    def start(self, now: int) -> list[api.Action]:
        """The instance starts; where the list must be asked for, subscribe."""
        return [api.FollowList(True)] if self.set.list_on_request else []

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Decide on one event; kinds that decide nothing here (probes, peers) are ignored."""
        self.now, self.actions = now, []
        while self.due and self.due[0][0] <= now:
            self.on_late(*heapq.heappop(self.due)[1:])
        if type(event) in self.handlers:
            self.handlers[type(event)](event)
        return self.actions

    def on_left(self, event: api.ClientGone | api.AnswerStarted) -> None:
        self.jobs.pop(event.id, None)

    def on_hints(self, hints: api.Hints) -> None:
        """What others report, where a control plane tells it, adds to what is counted here, and binds nothing."""
        take_hints(hints, self.now - hints.age, self.rates, self.fleet.caches, TABLE_SIZE, DOUBT)

    def on_unsure(self, event: api.Unsure) -> None:
        self.freshness.missed_age = event.max_age
        self.freshness.missed_at = self.now - event.cutoff_age if event.cutoff_age else 0

    def on_list(self, news: api.ListNews) -> None:
        if news.kind is not api.ListKind.FAILED:
            self.fleet.update(news, self.room_first)
            serves = self.locations / max(1, len(self.fleet.parents))  # locations each
            fills = max(1.0, serves / SERVED) / self.set.routers
            self.fills_least = FILLS_LEAST * fills
            for entry in news.entries:
                source = self.fleet.servers.get(entry.server)
                if source is not None and source.fill_room == math.inf:
                    source.fill_room = FILLS_FIRST * fills
        elif self.set.list_on_request:
            self.actions.append(api.SetTimer(self.spread(ASK_AGAIN), "list"))

    def on_purge(self, purge: api.Purge) -> None:
        key: str | int = EVERYTHING
        if purge.object is not None:
            key = purge.object
        elif purge.group is not None:
            key = purge.group
        self.freshness.purge(key, PurgeRecord(self.now - purge.age, self.now - purge.queue_delay, purge.timestamp))

    def on_timer(self, timer: api.TimerDue) -> None:
        job = self.jobs.get(timer.token)
        if job is not None and self.now >= job.deadline - ANSWER_EARLY:
            self.finish(job)
        elif timer.token == "list":
            self.actions.append(api.FollowList(True))

    def in_budget(self, server: Server, work: float, weight: float = 1.0) -> bool:
        """Guard 2: a cold server gets less than a fair share of what pushes it over, by the most that its peers served
        (or filled), as credit from a random start: one may outweigh a share. Many clients (weight) must fit."""
        parent = server.entry.kind == self.set.parent_kind
        low, ramp, multiple = self.set.slow_start_rule(parent)
        age = self.now - server.entry.start_time
        if not server.entry.start_time or age >= ramp:
            return True
        share = COLD_SAFETY * multiple * (low + (1 - low) * max(0, age) / ramp)
        share *= self.fills.most / self.fleet.most_parents if parent else self.work.most / self.fleet.most_caches
        most = max(work / weight, share * self.set.overload_window / SECOND / 2)
        return server.earn(self.now, share / SECOND, most, self.random.random() * work) >= work

    def eject_silent(self) -> None:
        """Guard 3: servers that are hung, cut off or stalled, found among those that owe a sign of life."""
        silence = max(SILENT, SILENT_TIMES * self.usual_took.value)
        for number, server in list(self.fleet.awaited.items()):
            if server.unheard < SILENT_SENDS:
                del self.fleet.awaited[number]
            elif self.now - server.unheard_since > silence and server in self.fleet.peers(server):
                server.lost = self.set.direct_to_origin  # then there is a way past it
                self.eject(server, silent=True)

    def fit(self, order: Iterable[Server], work: float, weight: float = 1.0) -> Iterator[Server]:
        """Guards 1 to 3: those of an order that may be chosen, found as they are asked for. If all that are looked at
        look ill the fault lies elsewhere, unless they are silent."""
        ejected: list[Server] = []
        some_well = False
        for server in islice(order, SMALL if self.fleet.caches.small else LOOKED_AT):
            if self.now < server.ejected_until:
                ejected.append(server)
                continue
            some_well = True
            if self.in_budget(server, work * weight, weight):
                yield server
        for server in ejected if not some_well else ():
            if not server.lost and self.in_budget(server, work * weight, weight):
                yield server

    def others(self, cache: Server) -> float:
        """Attempts of the location's other routers there: as reported lately, else by own traffic."""
        rate = self.total.count if self.total.first else self.total.rate  # what came in the first second, so far
        own = rate * self.usual_took.value / SECOND / max(1, len(self.fleet.caches))
        return cache.others(self.now, (self.location_routers - 1) * own, ROOM_FIRST)

    def has_room(self, server: Server, times: float, part: float) -> bool:
        """Guard 8: whether one more fits a share of a room; under one, odds: 1 while others are far under the room."""
        share = server.room * times / min(1.0, max(0.25, server.busy / EASY))
        if share >= 1 or server.open >= 1:
            return server.open + part < share
        return part < share or (0.5 + part) * self.others(server) < share * self.location_routers

    def may_fill(self, source: Server, share: float, part: float) -> bool:
        """Guard 11: the same for a fill. All locations are taken to ask as this one does."""
        if share >= 1 or source.fills >= 1:
            return source.fills + part < share
        here = (
            self.fills_here.of(self.fleet.caches, lambda s: (s.open + self.others(s)) * (1 - s.hits))
            / self.location_routers
        )
        is_parent = not self.fleet.parents or source in self.fleet.parents
        own = here / max(1, len(self.fleet.parents)) if is_parent else source.fills_lately(self.now)
        return part < share or (0.5 + part) * self.set.routers * own < share * self.set.routers

    def in_time_chance(self, job: Job, server: Server) -> float:
        """How likely one as slow as lately may be chosen, by one draw for all: where all are slow, some is refused."""
        return (
            PACE_SAFETY * (job.aim or job.ask.time_left) / (faded(server.pace, self.now, FADES) * job.send + 1)
        ) ** 2

    def fill_chance(self, job: Job, source: Server) -> float:
        """The same for a fill: from a source that lately filled too slowly for the aim few are asked for."""
        took = faded(source.speed.get(job.large, (1.0, 0)), self.now, FADES) * (job.send + LATENCY)
        return (PACE_SAFETY * job.aim / took) ** 2

    def count(self, ask: api.Request, parts: bool, caches: int) -> None:
        """Count the request, own for all of the location's, and adapt the object's copies."""
        interval = self.now // INTERVAL
        self.total.roll(interval, self.weight, 1.0)
        rate = self.rates.get(ask.object)
        gap = rate.roll(interval, self.weight, 1 / self.location_routers) if rate else 1 - 1 / self.location_routers
        steps, rate = round(self.location_routers * gap), rate or Rate(interval=interval)
        # With this request counted: at one of many routers the second one in a few seconds is news of a hot object.
        news = min(self.weight * (rate.count + 1 - rate.rate), 1 / max(1, gap))
        asked = (
            self.location_routers * (rate.rate + news)
            if not rate.first or rate.count
            else float(self.location_routers > 1)
        )
        asked = max(asked, rate.hinted(self.now))
        remember(self.rates, ask.object, rate, TABLE_SIZE)
        share = SHARE_OF_CACHE * self.location_routers * self.total.rate / max(1, caches)
        limit = max(RATE_FLOOR, share) * (PARTS_SHARE if parts else 1.0)
        for _ in range(min(steps, caches)):
            if asked / rate.copies > limit and (parts or self.link < LINK_FULL):  # further copies need fills
                rate.copies += 1
            elif rate.copies > 1 and asked / (rate.copies - 1) < limit:
                rate.copies -= 1
        rate.copies = max(1, min(rate.copies, caches))
        rate.count += not ask.repeat
        self.total.count += not ask.repeat

    def source(self, job: Job) -> Server | None:
        """The faster for the size of the object's first two parents; the origin where none may be asked."""
        name = f"{job.ask.object}/{job.ask.part}" if job.cls.in_parts else job.ask.object  # a hot object's parts spread
        fit = self.fit(self.fleet.parents.of(name), job.work)
        parents = list(islice((p for p in fit if p.entry.server not in job.avoid), 2))
        if len(parents) < 2 or self.set.cache_status_detail is api.CacheStatusDetail.NONE:
            return parents[0] if parents else self.fleet.origin
        usual = self.fill_time.get(job.large, Mean(1.0)).value
        heard = [p.speed.get(job.large, (usual, self.now)) for p in parents]
        first, second = (time if self.now - when < FADES else usual for time, when in heard)
        return parents[1] if first - second > FASTER * job.aim / (job.send + LATENCY) else parents[0]

    def route_read(self, job: Job) -> tuple[Server, Server] | None:
        """One of the first k of the object's order that are fit and have room; None if none may be asked."""
        job.held_only = False
        self.eject_silent()
        draw, part = self.random.random(), self.random.random()
        rate, source = self.rates.get(job.ask.object, Rate()), self.source(job)
        if job.ask.hand_over and source is not None and source.ejections:
            source = None  # nothing comes back of it, so it is no trial of one that was ejected
        found = self.look(job, rate.copies, draw, part)
        if not found.fit and self.set.direct_to_origin and source is not None and source.open + part < source.room:
            may = self.in_scope(job, source) and draw < self.in_time_chance(job, source)
            return (source, self.fleet.origin or source) if may else None  # its own source: only what it holds
        usable = found.usable
        if not usable and not job.ask.hand_over:
            # What fills the rooms may be waiting for a slow origin. What is held needs none of that: only a look.
            usable, source = [s for s in found.quick if self.has_room(s, LOOKS, part)], None
        usable = [s for s in usable if s.entry.server not in job.avoid] or usable
        pool = usable[: rate.copies]
        if not pool:
            return None
        if job.cls.in_parts:
            # Parts are kept one by one: one draw for each. All may ask for one part of a live object at once.
            share = HOT_SHARE * self.total.rate / max(1, len(self.fleet.caches))
            copies = 1 + int(rate.rate / share) if share else 1
            pool = self.fleet.caches.rank(f"{job.ask.object}/{job.ask.part}", pool)[:copies]
        cache = pool[self.random.randrange(len(pool))]
        origin = self.fleet.origin
        if source is not None and not self.may_fill(source, source.fill_room, part):  # Guard 11
            job.held_only = source is not origin  # which holds everything
            if (
                origin is not None
                and self.may_fill(origin, self.origin_fills, part)
                and draw < self.fill_chance(job, origin)
                and faded(origin.pace, self.now, FADES) < ORIGIN_WELL
            ):
                source, job.held_only = origin, False
            elif not job.held_only or not self.may_fill(source, LOOKS * source.fill_room, part):
                return cache, cache
        # Guard 9: a jammed link serves nobody in time, so the cache is asked only for what it holds. What is
        # small for its link time is still filled, as more answers fit.
        excess = (self.link - LINK_JAM) / LINK_RAMP * job.send / (self.usual_send.value or 1)
        filled = source is not None and self.random.random() >= excess and draw < self.fill_chance(job, source)
        return cache, source if filled else cache

    def look(self, job: Job, copies: int, draw: float, part: float) -> Candidates:
        """Guards 1 to 3, 6 and 8: look through the object's order of caches until as many usable ones are found as it
        has copies. Full caches refuse: sending past them would only move the crowd to link and origin."""
        own, blind = (
            job.ask.inflight_share,
            self.room_first if job.ask.hand_over else -1,
        )  # a guessed room refuses no such one
        order, wanted = self.order_for(job, copies)
        found = Candidates()
        not_avoided = 0
        in_scope = (s for s in order if self.in_scope(job, s))
        for server in self.fit(in_scope, job.work, job.ask.weight):
            if job.ask.hand_over and server.ejections:
                continue
            found.fit = True
            if draw >= self.in_time_chance(job, server):
                continue
            found.quick.append(server)
            if self.has_room(server, own, part * job.ask.weight) or not server.heard and server.room == blind:
                found.usable.append(server)
                not_avoided += server.entry.server not in job.avoid
                if not_avoided == wanted:
                    break
        return found

    def order_for(self, job: Job, copies: int) -> tuple[Iterable[Server], int]:
        """The object's order of caches, and how many usable ones are wanted of it. Where there are many caches, an
        object with more copies than places are kept has several orders, each with as many places: each request looks
        at one place of one of them only, and parts have an order each."""
        name, caches = job.ask.object, self.fleet.caches
        if caches.small or copies <= KEPT_PLACES:
            return caches.of(name), copies
        if job.cls.in_parts:
            return caches.of(f"{name}/{job.ask.part}"), 1
        which = self.random.randrange(-(-copies // KEPT_PLACES))
        order = caches.of(f"{name}#{which}" if which else name)
        return islice(order, self.random.randrange(KEPT_PLACES), None), 1

    def route_write(self, job: Job) -> tuple[Server, Server] | None:
        """Uncacheable classes take the shortest way that can run them: the origin, or through a cache."""
        origin = self.fleet.origin
        if origin is None:
            return None
        name = job.ask.object or job.ask.id
        self.eject_silent()
        fit: Iterable[Server] = (
            [origin] if self.set.direct_to_origin else self.fit(self.fleet.caches.of(name), job.work)
        )
        avoided = None
        for server in fit:
            if not self.in_scope(job, server):
                continue
            if server.entry.server not in job.avoid:
                return server, origin
            avoided = avoided or server
        return (avoided, origin) if avoided is not None else None

    def on_request(self, ask: api.Request) -> None:
        cls = self.set.classes.get(ask.cls) or api.RequestClass(ask.cls, retry_safety=api.RetrySafety.UNSAFE)
        job = Job(ask, cls, self.now + ask.time_left, cls.write or ask.write)
        self.jobs[ask.id] = job
        mean = self.sends.setdefault(cls.name, Mean(FIRST_SEND, 1))
        job.sized = bool(ask.size and self.set.client_kb_per_s)
        if job.sized:
            mean.add(ask.size / self.set.client_kb_per_s * SECOND, SLOW_MEMORY)
        job.send = ask.size / self.set.client_kb_per_s * SECOND if job.sized else mean.value
        job.large, job.work = job.send > mean.value, mean.value / SECOND
        job.aim = cls.latency_target + cls.latency_target_stretch * job.send
        if not job.write:
            self.usual_send.add(job.send, SLOW_MEMORY)
            self.count(ask, cls.in_parts, len(self.fleet.caches))
        if ask.hand_over:
            self.hand_over(job)
            return
        self.retries = min(self.burst, self.retries + RETRY_SHARE)
        self.actions.append(api.SetTimer(max(0, ask.time_left - ANSWER_EARLY), ask.id))
        self.attempt(job)

    def hand_over(self, job: Job) -> None:
        """Guard 10: a client that goes there itself spends credit and room like an attempt, but is no sign of
        health either way. It can't be told an age: after a purge only the origin is sure to give a new copy."""
        origin = self.fleet.origin
        fresh = (origin, origin) if self.set.direct_to_origin and origin is not None else None
        way = fresh if job.write or self.age(job) else self.route_read(job)
        if way is None:
            self.finish(job)
            return
        self.charge(job, *way)
        del self.jobs[job.ask.id]
        self.actions.append(api.HandOver(job.ask.id, way[0].entry.server, int(job.send)))

    @staticmethod
    def charge(job: Job, server: Server, source: Server) -> list[Server]:
        """Take credit and room for what is sent there; the servers that it is work for."""
        asked = [server] if source is server else [server, source]
        for one in asked:
            one.credit -= job.work * job.ask.weight
        server.open += job.ask.weight
        return asked

    def attempt(self, job: Job) -> None:
        """Send the request on, or end it where nothing may be asked."""
        way = self.route_write(job) if job.write else self.route_read(job)
        if way is None:
            self.finish(job)
            return
        server, source = way
        for one in [s for s in self.charge(job, server, source) if s.ejections]:
            self.put_out(one)  # a trial: out again, for longer, unless it goes well
        if source is not server:
            source.fill(self.now, 1)
            self.filling[job.ask.id, len(job.tried)] = source.entry.server
        server.unheard_since = server.unheard_since if server.unheard else self.now
        server.unheard += 1
        if server.unheard >= SILENT_SENDS:
            self.fleet.awaited[server.entry.server] = server
        mode = FillMode.JOIN * (self.set.coalesces_fills and job.joins) | FillMode.REFRESH * bool(
            job.cls.freshness_lifetime
        )
        mode |= FillMode.CACHED_ONLY * (job.held_only and source is not server)
        limit = max(1, job.deadline - self.now - 2 * ANSWER_EARLY)  # before the timer, to be learnt from
        spare = len(job.tried) + 1 < self.set.max_attempts and self.retries >= 1 and self.link < LINK_JAM
        if spare and job.cls.retry_safety is api.RetrySafety.SAFE:
            limit = min(limit, int(PATIENCE * job.aim))
        job.timeout = limit
        job.tried.append((server.entry.server, source.entry.server))
        job.out, job.late, job.sent_at = True, False, self.now
        heapq.heappush(self.due, (self.now + int(job.aim or job.ask.time_left) + 1, job.ask.id, len(job.tried) - 1))
        self.actions.append(
            api.Fetch(
                job.ask.id,
                server.entry.server,
                limit,
                self.age(job),
                source.entry.server,
                FillMode(mode),
                0 if job.write else 1,
                self.repeat_until(job),
            )
        )

    def age(self, job: Job) -> int:
        """Guard 5: after a purge no older copy, until all have dropped theirs; else the class's limit."""
        oldest = self.freshness.oldest(job.ask.object, job.ask.group, self.now)
        return min(oldest, job.cls.freshness_lifetime or self.set.purge_drop_time)

    def turns_down(self, id: str, sent_at: int, born: int, now: int) -> bool:
        """Guard 5, at the answer: whether it is from a copy (born that Unix microsecond; 0: not told) that may be older
        than a purge which was known when it was asked for. A server that obeys the age it is told gives none, but one
        may let the request join a fill that began before: what is asked again joins none."""
        job = self.jobs.get(id)
        if job is None or job.write:
            return False
        purged = self.freshness.is_purged(job.ask.object, job.ask.group, sent_at, born, now)
        job.joins = job.joins and not purged
        return purged

    def in_scope(self, job: Job, server: Server) -> bool:
        """Guard 6: once it may have run, only servers that would drop the repeat."""
        if job.cls.retry_safety is not api.RetrySafety.KEYED or job.cls.dedup_scope is api.DedupScope.ALL:
            return True
        known = [self.fleet.servers.get(number) for number, _ in job.may_have_run]
        return all(
            s is not None
            and s.entry.zone == server.entry.zone
            and (job.cls.dedup_scope is api.DedupScope.ZONE or s.entry.cell == server.entry.cell)
            for s in known
        )

    def on_late(self, id: str, attempt: int) -> None:
        """Guards 8 and 11: what is not there by its aim tells so then, and not when it is given up seconds later."""
        job = self.jobs.get(id)
        if job is None or not job.out or attempt != len(job.tried) - 1:
            return
        job.late, (server, source) = True, map(self.fleet.servers.get, job.tried[-1])
        if server is not None and source is not None:
            if job.sized:  # else a large answer looks like a slow one
                late = api.AttemptEnded(id, attempt, server.entry.server, Outcome.TIMED_OUT, self.now - job.sent_at)
                self.clock(job, late, server, source)
            if source is not server:
                source.fill_room = max(self.fills_least, source.fill_room * (1 - FILLS_SHRINK))

    def settle_fill(self, end: api.AttemptEnded, job: Job | None) -> None:
        """Guard 11: a source has room for as many fills as come in time; an origin that is pushed further stops."""
        source = self.fleet.servers.get(self.filling.pop((end.id, end.attempt), -1))
        if source is None:
            return
        in_time = end.outcome is Outcome.SERVED and not (job is not None and job.late)
        source.fill_room += FILLS_GROW * source.fill_room if in_time and source.fills >= source.fill_room / 2 else 0.0
        source.fill(self.now, -1)

    def on_ended(self, end: api.AttemptEnded) -> None:
        server, job = self.fleet.servers.get(end.server), self.jobs.get(end.id)
        self.settle_fill(end, job)
        if server is not None:
            if "link" in end.load and server in self.fleet.caches:
                weight = min(1.0, (self.now - self.link_heard) / LINK_MEMORY)  # any of them tells of the link
                self.link, self.link_heard = self.link + weight * (end.load["link"] - self.link), self.now
            server.hear(self.now, end.load.get("inflight"))
            server.open = max(0, server.open - end.weight)
            server.hits, server.busy = end.load.get("hits", server.hits), end.load.get("util", server.busy)
            if end.outcome in api.NEVER_CONTACTED or self.had_no_time(end, job):
                server.unheard = max(0, server.unheard - 1)
            elif end.outcome not in api.NO_RESPONSE:
                server.unheard, server.lost = 0, False
        if job is None or not job.tried:
            return
        job.out = False
        if end.outcome is Outcome.SHORTAGE:  # another server may have a connection already
            job.avoid.add(end.server)
        source = self.fleet.servers.get(job.tried[-1][1])
        if server is not None:
            self.clock(job, end, server, source)
            self.judge(job, end, server, source)
        if end.request_closed:
            del self.jobs[end.id]
            return
        if end.outcome not in api.NEVER_RAN:
            job.may_have_run.append((end.server, job.sent_at))
        if not (end.outcome is Outcome.MISS and (source is server or job.held_only)) and self.may_retry(job):
            self.retries -= end.outcome not in api.NOTHING_SENT  # which cost no server anything
            self.attempt(job)
        else:
            self.finish(job)

    def had_no_time(self, end: api.AttemptEnded, job: Job | None) -> bool:
        """Whether an attempt was given up before a well server would have answered, so that its silence says nothing:
        it had less than twice the usual time, or than half of its class's deadline where all have less than that. What
        it had is what it was allowed, as a busy machine gives up late."""
        if end.outcome not in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            return False
        enough = 2 * (self.usual_took.value + LATENCY)
        if job is None:
            return end.duration < enough
        if job.cls.deadline:
            enough = min(enough, job.cls.deadline / 2)
        return min(end.duration, job.timeout) < enough

    def clock(self, job: Job, end: api.AttemptEnded, server: Server, source: Server | None) -> None:
        """Guard 8: what an answer, or its absence, tells of the pace of an ageing or crowded server."""
        pace, when = server.pace
        own = (
            end.cache_status is CacheStatus.HIT
            or source is server
            or end.cache_status not in api.FILL_STATUSES
            and self.link < LINK_FULL
        )
        seen = own * (end.duration - end.source_wait) / (job.send + LATENCY)
        if seen and source not in (None, server) and self.set.cache_status_detail is api.CacheStatusDetail.NONE:
            seen -= self.put_down(job, end, seen, server, source)
        if end.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED):
            seen *= seen > pace and server.heard < job.sent_at
        elif end.outcome is not Outcome.SERVED or not job.sized:
            seen = 0.0  # without its size a large answer looks like a slow one
        if seen:
            weight = min(PACE_MOST, max(MEMORY, (self.now - when) / FADES))
            server.pace = (pace + weight * (seen - pace), self.now)
        if end.outcome is Outcome.SERVED and end.duration <= job.aim:
            server.heard = self.now

    def put_down(self, job: Job, end: api.AttemptEnded, seen: float, server: Server, source: Server) -> float:
        """Where answers don't tell whether the source was asked: what one took beyond its sending is put down to
        server and source as each has been slow with others lately. The source's part is returned."""
        over, heard = max(0.0, seen - 1), source.speed.get(False, (1.0, 0))  # sizes together: one router sees few
        old, own = faded(heard, self.now, FADES), faded(server.pace, self.now, FADES)
        behind, here = max(0.0, old - 1) + 2 * SUSPECT, max(0.0, own - 1) + SUSPECT
        its = over * behind / (behind + here)
        late = end.outcome in (Outcome.TIMED_OUT, Outcome.CANCELLED) and 1 + its > old
        if job.sized and (end.outcome is Outcome.SERVED or late):
            asked = min(1.0, max(over, 1 - server.hits))  # a quick answer may have been a hit
            weight = asked * min(PACE_MOST, max(MEMORY, (self.now - heard[1]) / FADES))
            source.speed = dict.fromkeys((False, True), (old + weight * (min(seen, 1.0) + its - old), self.now))
        return its

    def judge(self, job: Job, end: api.AttemptEnded, server: Server, source: Server | None) -> None:
        """Guards 3 and 8: one health score and one room a server, whatever ails it."""
        in_time = end.duration - end.source_wait <= job.aim  # a cache is not judged by its source's wait
        refused, overdue = end.outcome is Outcome.REFUSED, end.outcome is Outcome.TIMED_OUT and not in_time
        served, failed = end.outcome is Outcome.SERVED, end.outcome in api.FAILED
        if not (served or failed or overdue):
            return
        behind = source if source is not server else None
        part = self.source_part(job, end, server, behind) if behind else 0.0  # of the blame
        if served:
            self.learn(job, end, source)
        held = (
            server.open + self.others(server) * (self.location_routers > 1)
        ) / self.location_routers  # its share of what all have there
        if part < 1 and (refused or not in_time and server.busy >= BUSY):
            server.room = min(server.room, held if refused else server.room) * (1 - ROOM_SHRINKS)
        elif in_time and held >= server.room / 2:
            server.room += 1 / (self.location_routers * server.room)
        server.room = max(self.room_least, server.room)
        if overdue and self.link >= LINK_JAM:
            return
        self.usual_bad.add(1.0 - served, SLOW_MEMORY)
        if part < 1:
            self.score(job, server, 0.0 if served else 1 - part)
        # A hit does not speak for its source, which was not asked; where nothing is told it speaks as most are.
        asked = (
            float(end.cache_status in api.FILL_STATUSES)
            if self.set.cache_status_detail is not api.CacheStatusDetail.NONE
            else 1 - server.hits
        )
        if behind is not None and (part if not served else asked):
            self.score(job, behind, 0.0 if served else part, asked)

    def source_part(self, job: Job, end: api.AttemptEnded, server: Server, source: Server) -> float:
        """How likely a failure is the source's and not the server's: what is told, else who failed more with others."""
        late = end.outcome is Outcome.TIMED_OUT  # a cache that answered others meanwhile is well
        if (
            end.cache_status in (CacheStatus.SOURCE_REFUSED, CacheStatus.SOURCE_FAILED)
            or late
            and server.heard > job.sent_at
        ):
            return 1.0
        if (
            end.outcome in (Outcome.UNREACHED, Outcome.BROKEN)
            or self.set.cache_status_detail is api.CacheStatusDetail.ALL
            and not late
        ):
            return 0.0
        return 1 / (1 + math.exp(server.doubt - source.doubt))

    def learn(self, job: Job, end: api.AttemptEnded, source: Server | None) -> None:
        """Take what a served answer tells of work and times."""
        fill = (
            end.cache_status in (CacheStatus.FILLED, CacheStatus.FROM_ORIGIN)
            if self.set.cache_status_detail is not api.CacheStatusDetail.NONE
            else 1 - end.load.get("hits", 0.0)
        )
        few = math.sqrt(self.location_routers)  # a longer mean where one router sees less; its most once it has settled
        self.work.add(self.now // INTERVAL, job.work, RATE_WEIGHT / few, few)
        self.fills.add(self.now // INTERVAL, fill * job.work, RATE_WEIGHT / few, few)
        self.usual_took.add(end.duration, SLOW_MEMORY)
        if not job.sized:
            self.sends[job.cls.name].add(end.duration, SLOW_MEMORY)
        settled = job.sized or self.sends[job.cls.name].samples > SETTLED
        if source is None or end.cache_status not in api.FILL_STATUSES or not settled:
            return
        time = min(end.duration / (job.send + LATENCY), math.inf if job.sized else LARGE)
        usual = self.fill_time.setdefault(job.large, Mean())
        usual.add(time, SLOW_MEMORY)
        old, when = source.speed.get(job.large, (usual.value, 0))
        weight = min(PACE_MOST, max(MEMORY, (self.now - when) / FADES)) if job.sized else UNSIZED
        source.speed[job.large] = (old + weight * (time - old), self.now)

    def score(self, job: Job, server: Server, blame: float, weight: float = 1.0) -> None:
        """Guard 3: the odds, as a logarithm, that this server fails half of what it is asked, against failing as often
        as all do lately. Where hardly anything fails one failure says much; where all fail it says nothing."""
        usual = min(ILL, max(USUAL_LEAST, self.usual_bad.value))
        if blame:
            server.doubt = min(DOUBT_MOST, server.doubt + blame * math.log(ILL / usual))
            job.avoid.add(server.entry.server)
            if server.doubt > DOUBT and self.now >= server.ejected_until:
                self.eject(server)
            return
        server.doubt = max(0.0, server.doubt + weight * math.log(ILL / (1 - usual)))
        if server.ejections:  # it did well: it is back, or has another trial at once
            server.ejections, server.ejected_until = (server.ejections - 1) * (server.doubt > DOUBT), self.now

    def put_out(self, server: Server) -> None:
        server.ejected_until = self.now + self.spread(min(EJECT_MOST, EJECT_FIRST << min(server.ejections, 10)))
        server.ejections += 1
        self.fleet.ejected[server.entry.server] = server

    def eject(self, server: Server, silent: bool = False) -> None:
        """Guard 3: out for a while, never over half of its peers; what a silent one has in hand is asked elsewhere."""
        peers = self.fleet.peers(server)
        out = [p for p in self.fleet.out(peers, self.now) if p is not server]
        if 2 * (len(out) + 1) > len(peers) and not all(p.lost for p in peers):  # a lost location is no fault elsewhere
            better = min(out, key=lambda p: p.doubt, default=server)
            if better.doubt >= server.doubt:
                return
            better.ejected_until = 0  # blamed before the ill peer that held it up: they change places
        self.put_out(server)
        server.unheard = 0
        for job in self.jobs.values() if silent and self.set.cancel else ():
            if job.cls.retry_safety is api.RetrySafety.SAFE and job.out and job.tried[-1][0] == server.entry.server:
                self.actions.append(api.CancelAttempt(job.ask.id, len(job.tried) - 1))

    def may_retry(self, job: Job) -> bool:
        """Guard 4: within the attempts allowed and the router's budget, which a failing fleet can't raise."""
        spent = len(job.tried) >= self.set.max_attempts or self.retries < 1
        return not spent and self.now < self.repeat_until(job)

    def repeat_until(self, job: Job) -> int:
        """Guard 6: until when an attempt may begin, or wait to: once it may have run, only as long as it is dropped."""
        late, effect = job.deadline - 2 * ANSWER_EARLY, job.cls.retry_safety  # too late to be worth sending
        if not job.may_have_run or effect is api.RetrySafety.SAFE:
            return late
        return (
            min(late, job.may_have_run[0][1] + job.cls.dedup_window - self.set.tick)
            if effect is api.RetrySafety.KEYED
            else 0
        )

    def spread(self, time: int) -> int:
        """About so long, by the seed: what all routers see at once must not bring all of them back at once."""
        return int(time * (1 - SPREAD * self.random.random()))

    def finish(self, job: Job) -> None:
        """The final answer, at once: a refusal, with advice, where a repeat does no harm; else a failure."""
        del self.jobs[job.ask.id]
        keyed_by_all = job.cls.retry_safety is api.RetrySafety.KEYED and job.cls.dedup_scope is api.DedupScope.ALL
        harmless = job.cls.retry_safety is api.RetrySafety.SAFE or keyed_by_all or not (job.may_have_run or job.out)
        self.actions.append(
            api.Refuse(job.ask.id, self.set.retry_after_allowed * self.spread(min(COME_BACK, self.set.max_retry_after)))
            if harmless
            else api.Fail(job.ask.id)
        )
