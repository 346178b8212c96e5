"""What one router instance remembers: data, look-ups and running means, decided on in threadhill.decision.choice."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from threadhill.decision import interface as api

MAX_EMPTY_INTERVALS = 60  # empty intervals counted one by one; more change nothing
AVERAGING_TIME = 4_000_000  # microseconds over which counts of what is out are averaged
MIN_REPORT_WEIGHT = 0.3  # least weight of the newest report: several answers bring the same one
REPORT_LIFETIME = 8_000_000  # microseconds after which a report of load says nothing any more
MAX_REPORT_FACTOR = (
    4.0  # times that a report may be off what own traffic says: more than a crew that is told wrong, or a hot object
)


@dataclass(slots=True, eq=False)  # looked up in lists: comparing every field of each is slow
class Server:
    """A server of the list, as this router saw it."""

    entry: api.Entry
    inflight_limit: float  # attempts that it may hold at once
    fault_log_odds: float = 0.0  # logarithm of the odds that it is ill
    ejected_until: int = 0
    ejections: int = 0
    inflight: float = 0  # attempts out; a hand-over counts as many as it stands for
    inflight_fills: int = 0  # attempts out at others that may ask this one for a fill
    fill_limit: float = math.inf  # how many of them there may be
    average_fills: tuple[float, int] = (0.0, 0)  # of them over the last seconds, and when that was reckoned
    reported_others: tuple[float, int] = (
        0.0,
        0,
    )  # attempts of other routers there by its reports, and when that was heard
    hit_ratio: float = 0.7  # its share of hits by its last report; most requests are hits where it tells nothing
    utilization: float = 1.0  # how busy its cores are by its last report; all of them where it tells nothing
    last_answer_at: int = 0  # when it last answered anything
    unanswered: int = 0  # attempts since it was last heard of, and when the first of them went out
    unanswered_since: int = 0
    silent: bool = False  # it was found silent, and nothing was heard of it since
    latency_ratio: tuple[float, int] = (1.0, 0)  # answer times in sending times lately, and when last seen
    fill_latency_ratio: dict[bool, tuple[float, int]] = field(default_factory=dict)  # large? -> (fill time, when)
    credit: float = 0.0  # seconds of sending that it may be sent while it is cold
    credit_updated_at: int = 0  # when that was last reckoned

    def add_fills(self, now: int, more: int) -> None:
        """So many more attempts are out that may ask this one for a fill."""
        self.average_fills = self.recent_fills(now), now
        self.inflight_fills = max(0, self.inflight_fills + more)

    def recent_fills(self, now: int) -> float:
        """How many were out in the mean of the last seconds."""
        mean, when = self.average_fills
        return self.inflight_fills + (mean - self.inflight_fills) * math.exp((when - now) / AVERAGING_TIME)

    def record_report(self, now: int, inflight: float | None) -> None:
        """Its report tells all attempts that it holds; this router's own are no news."""
        if inflight is not None:
            was, when = self.reported_others
            weight = min(1.0, max(MIN_REPORT_WEIGHT, (now - when) / AVERAGING_TIME))
            self.reported_others = (was + weight * (max(0.0, inflight - self.inflight) - was), now)

    def others_inflight(self, now: int, guess: float, least: float) -> float:
        """Attempts that other routers have out there: as its reports say, as long as they are new, else as is guessed
        from this router's own traffic. One that is far off that guess is not taken at its word."""
        told, when = self.reported_others
        told = min(max(told, guess / MAX_REPORT_FACTOR), guess * MAX_REPORT_FACTOR + least)
        return guess + max(0.0, 1 - (now - when) / REPORT_LIFETIME) * (told - guess) if when else guess

    def accrue_credit(self, now: int, rate: float, most: float, first: float) -> float:
        """The credit now: it starts at `first`, then grows at this rate up to `most`."""
        grown = self.credit + rate * (now - self.credit_updated_at) if self.credit_updated_at else first
        self.credit, self.credit_updated_at = min(most, grown), now
        return self.credit


@dataclass(slots=True)
class Job:
    """A request that this router owes an answer."""

    request: api.Request
    cls: api.RequestClass
    deadline: int
    write: bool
    attempts: list[tuple[int, int]] = field(default_factory=list)  # (server, source) of each attempt
    avoid: set[int] = field(default_factory=set)  # servers blamed for its failed attempts
    may_have_run: list[tuple[int, int]] = field(default_factory=list)  # (server, when sent)
    attempt_open: bool = False
    cached_only: bool = False  # its source is asked only for what it holds
    may_join: bool = True  # whether it may join a fill that is under way
    late: bool = False  # its attempt is, and that was told
    sent_at: int = 0
    timeout: int = 0  # microseconds that its attempt may take
    size_known: bool = False  # its size is told
    large: bool = False  # against the mean of its class
    transfer_time: float = 0.0  # microseconds of sending, from its size or its class's mean
    latency_target: float = 0.0
    work: float = 0.0  # seconds of sending by the rule's count: its class's mean


@dataclass(slots=True)
class Rate:
    """An average rate over intervals, and for an object its number of copies."""

    interval: int = -1  # the one being counted; -1 before the first
    first_interval: bool = True
    count: float = 0.0
    rate: float = 0.0
    copies: int = 1
    hint: tuple[float, int] = (0.0, 0)  # of all routers, as a hint told it, and when that was so

    def hinted_rate(self, now: int) -> float:
        """What hints tell, less and less as they age."""
        return self.hint[0] * max(0.0, 1 - (now - self.hint[1]) / REPORT_LIFETIME)

    def advance(self, interval: int, weight: float, first_weight: float) -> int:
        """Close the intervals that have passed; tell how many."""
        gap = interval - self.interval if self.interval >= 0 else 0
        if gap > 0:
            self.rate += (first_weight if self.first_interval else weight) * (self.count - self.rate)
            self.rate *= (1 - weight) ** (gap - 1)
            self.first_interval, self.count = False, 0.0
        self.interval = interval
        return gap


@dataclass(slots=True)
class Mean:
    """A running mean: of all samples while they are few, of the newest later on."""

    value: float = 0.0
    samples: int = 0

    def add(self, sample: float, least_weight: float) -> None:
        self.samples += 1
        self.value += max(least_weight, 1 / self.samples) * (sample - self.value)


@dataclass(slots=True)
class Tally:
    """A count within an interval, the mean over intervals, and the most that this mean has been."""

    interval: int = -1  # the one being counted; -1 before the first
    count: float = 0.0
    mean: Mean = field(default_factory=Mean)
    peak: float = 0.0

    def add(self, interval: int, amount: float, least_weight: float, settled: float) -> None:
        """Close the intervals that have passed and count on; the most counts from so many samples on."""
        for _ in range(min(interval - self.interval, MAX_EMPTY_INTERVALS) if self.interval >= 0 else 0):
            self.mean.add(self.count, least_weight)
            self.count = 0.0
        self.interval = interval
        self.count += amount
        self.peak = max(self.peak, self.mean.value) if self.mean.samples >= settled else self.mean.value


def decayed(heard: tuple[float, int], now: int, fades: int) -> float:
    """What was seen then, forgotten evenly: the usual, 1, in the end."""
    value, when = heard
    return 1 + (value - 1) * max(0.0, 1 - (now - when) / fades)


def put_bounded(table: dict, key: object, value: object, size: int) -> None:
    """Put an entry last in a table of bounded size; the one put longest ago makes room."""
    table.pop(key, None)
    table[key] = value
    if len(table) > size:
        del table[next(iter(table))]


def apply_hints(
    hints: api.Hints, when: int, rates: dict[str, Rate], caches: Iterable[Server], size: int, ill: float
) -> None:
    """Note what others report, as it was then. What is held against a cache moves half of the way to what the others
    hold, `ill` for one that all keep off: one that only this router met with bad luck comes back, and none is forgiven
    that is ill for all."""
    for name, rate in hints.rates.items():
        known = rates.get(name) or Rate(interval=when // 1_000_000 - 1)
        known.hint = (rate, when)
        put_bounded(rates, name, known, size)
    for cache in caches:
        number = cache.entry.server
        if number in hints.inflight:
            cache.record_report(when, hints.inflight[number])
        if number in hints.avoid_share:
            cache.fault_log_odds += (ill * hints.avoid_share[number] - cache.fault_log_odds) / 2
