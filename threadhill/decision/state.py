"""The state of one router instance: servers, requests and running means. threadhill.decision.choice decides on it."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from threadhill.decision import interface as api

MAX_EMPTY_INTERVALS = 60  # empty intervals added one by one to a mean; more would change nothing
AVERAGING_TIME = 4_000_000  # microseconds over which in-flight counts are averaged
MIN_REPORT_WEIGHT = 0.3  # least weight of a new load report, as several answers may bring the same report
REPORT_LIFETIME = 8_000_000  # microseconds until a load report or a hint is disregarded
# Factor by which a report may differ from what own traffic suggests. Real differences are smaller, be it from a wrong
# count of routers or from a hot object.
MAX_REPORT_FACTOR = 4.0


@dataclass(slots=True, eq=False)  # compared by identity: comparing all fields is slow
class Server:
    """A server of the list, as this router sees it."""

    entry: api.Entry
    inflight_limit: float  # attempts that this router may have in flight there
    fault_log_odds: float = 0.0  # logarithm of the odds that it is unhealthy
    ejected_until: int = 0
    ejections: int = 0
    inflight: float = 0  # attempts in flight; a hand-over counts for all requests that it stands for
    inflight_fills: int = 0  # attempts in flight at other servers that may fill from this one
    fill_limit: float = math.inf  # limit on those
    average_fills: tuple[float, int] = (0.0, 0)  # their average over the last seconds, and its time
    reported_others: tuple[float, int] = (0.0, 0)  # in-flight attempts of other routers, as reported, and the time
    hit_ratio: float = 0.7  # last reported; the default stands for servers that report none, as most requests are hits
    utilization: float = 1.0  # of its cores, last reported; the default stands for servers that report none
    last_answer_at: int = 0  # time of its last answer within the latency target
    unanswered: int = 0  # attempts since the last sign of life, and the time when the first of them was sent
    unanswered_since: int = 0
    silent: bool = False  # found silent, with no sign of life since
    latency_ratio: tuple[float, int] = (1.0, 0)  # recent answer time in transfer times, and when it was measured
    fill_latency_ratio: dict[bool, tuple[float, int]] = field(default_factory=dict)  # large? -> (fill time, when)
    credit: float = 0.0  # seconds of transfer time that may still be sent to it while it is cold
    credit_updated_at: int = 0

    def add_fills(self, now: int, more: int) -> None:
        """Count `more` attempts in flight that may fill from this server."""
        self.average_fills = self.recent_fills(now), now
        self.inflight_fills = max(0, self.inflight_fills + more)

    def recent_fills(self, now: int) -> float:
        """The average of fills in flight over the last seconds."""
        mean, when = self.average_fills
        return self.inflight_fills + (mean - self.inflight_fills) * math.exp((when - now) / AVERAGING_TIME)

    def record_report(self, now: int, inflight: float | None) -> None:
        """Record a reported in-flight count, less the attempts of this router."""
        if inflight is not None:
            average, updated_at = self.reported_others
            weight = min(1.0, max(MIN_REPORT_WEIGHT, (now - updated_at) / AVERAGING_TIME))
            self.reported_others = (average + weight * (max(0.0, inflight - self.inflight) - average), now)

    def others_inflight(self, now: int, estimate: float, allowance: float) -> float:
        """Attempts that other routers have in flight there: from recent reports, else estimated from this router's own
        traffic. A report is limited to a factor of the estimate, plus `allowance`."""
        reported, when = self.reported_others
        reported = min(max(reported, estimate / MAX_REPORT_FACTOR), estimate * MAX_REPORT_FACTOR + allowance)
        return estimate + max(0.0, 1 - (now - when) / REPORT_LIFETIME) * (reported - estimate) if when else estimate

    def accrue_credit(self, now: int, rate: float, maximum: float, initial: float) -> float:
        """The credit now: it starts at `initial`, then grows at this rate up to `maximum`."""
        accrued = self.credit + rate * (now - self.credit_updated_at) if self.credit_updated_at else initial
        self.credit, self.credit_updated_at = min(maximum, accrued), now
        return self.credit


@dataclass(slots=True)
class PendingRequest:
    """What the decision module keeps of a request that has no final answer yet."""

    request: api.Request
    cls: api.RequestClass
    deadline: int
    write: bool
    attempts: list[tuple[int, int]] = field(default_factory=list)  # (server, source) of each attempt
    avoid: set[int] = field(default_factory=set)  # servers to which its failed attempts are attributed
    may_have_run: list[tuple[int, int]] = field(default_factory=list)  # (server, when sent)
    attempt_open: bool = False
    cached_only: bool = False  # the source may answer from its copies only
    may_join: bool = True  # whether it may join a fill in progress
    late: bool = False  # its attempt missed the latency target, which was counted
    sent_at: int = 0
    timeout: int = 0  # microseconds, of the current attempt
    size_known: bool = False
    large: bool = False  # larger than the mean of its class
    transfer_time: float = 0.0  # microseconds, from its size or its class's mean
    latency_target: float = 0.0
    work: float = 0.0  # seconds of transfer time charged for it: its class's mean


@dataclass(slots=True)
class Rate:
    """An average rate over intervals; for an object also its number of copies."""

    interval: int = -1  # the current one; -1 before the first
    first_interval: bool = True
    count: float = 0.0
    rate: float = 0.0
    copies: int = 1
    hint: tuple[float, int] = (0.0, 0)  # rate over all routers, as hinted, and its time

    def hinted_rate(self, now: int) -> float:
        """The hinted rate, weighted down with its age."""
        return self.hint[0] * max(0.0, 1 - (now - self.hint[1]) / REPORT_LIFETIME)

    def advance(self, interval: int, weight: float, first_weight: float) -> int:
        """Close the intervals that have passed; returns how many."""
        gap = interval - self.interval if self.interval >= 0 else 0
        if gap > 0:
            self.rate += (first_weight if self.first_interval else weight) * (self.count - self.rate)
            self.rate *= (1 - weight) ** (gap - 1)
            self.first_interval, self.count = False, 0.0
        self.interval = interval
        return gap


@dataclass(slots=True)
class Mean:
    """A running mean: of all samples while they are few, exponentially weighted later."""

    value: float = 0.0
    samples: int = 0

    def add(self, sample: float, least_weight: float) -> None:
        self.samples += 1
        self.value += max(least_weight, 1 / self.samples) * (sample - self.value)


@dataclass(slots=True)
class Tally:
    """A count within an interval, the mean over intervals, and the peak of that mean."""

    interval: int = -1  # the current one; -1 before the first
    count: float = 0.0
    mean: Mean = field(default_factory=Mean)
    peak: float = 0.0

    def add(self, interval: int, amount: float, least_weight: float, min_samples: float) -> None:
        """Close the intervals that have passed and add to the count; the peak is kept after `min_samples` samples."""
        for _ in range(min(interval - self.interval, MAX_EMPTY_INTERVALS) if self.interval >= 0 else 0):
            self.mean.add(self.count, least_weight)
            self.count = 0.0
        self.interval = interval
        self.count += amount
        self.peak = max(self.peak, self.mean.value) if self.mean.samples >= min_samples else self.mean.value


def decayed(observed: tuple[float, int], now: int, decay_time: int) -> float:
    """An observed ratio that decays linearly to 1, the normal value."""
    value, when = observed
    return 1 + (value - 1) * max(0.0, 1 - (now - when) / decay_time)


def put_bounded(table: dict, key: object, value: object, size: int) -> None:
    """Put an entry last in a table of bounded size; the oldest entry is evicted."""
    table.pop(key, None)
    table[key] = value
    if len(table) > size:
        del table[next(iter(table))]


def apply_hints(
    hints: api.Hints, when: int, rates: dict[str, Rate], caches: Iterable[Server], size: int, max_log_odds: float
) -> None:
    """Apply what other routers report, as of the time `when`. The fault log odds of a cache move half of the way to
    those of the others, which are `max_log_odds` for a cache that all of them avoid. A cache that only this router had
    bad luck with recovers, and one that is unhealthy for all is not forgiven."""
    for name, rate in hints.rates.items():
        known = rates.get(name) or Rate(interval=when // 1_000_000 - 1)
        known.hint = (rate, when)
        put_bounded(rates, name, known, size)
    for cache in caches:
        number = cache.entry.server
        if number in hints.inflight:
            cache.record_report(when, hints.inflight[number])
        if number in hints.avoid_share:
            cache.fault_log_odds += (max_log_odds * hints.avoid_share[number] - cache.fault_log_odds) / 2
