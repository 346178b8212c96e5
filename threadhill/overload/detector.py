"""Detects retry storms: counts first tries, retries and outcomes, and derives a state for each class, tenant and front,
and for all requests together. Events only increment counters; an update ten times a second folds them into means and
decides the states."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, IntEnum

SECOND = 1_000_000
UPDATE_INTERVAL = 100_000  # microseconds between two updates
FAST, SLOW = 1.0, 5.0  # seconds, time constants of the two means: the current rate, and what it is compared with
MAX_KEYS = 512  # tenants, classes and fronts monitored; the oldest is evicted first
MIN_RATE = 5.0  # requests a second below which a key is not judged: a few retries are no storm

# Thresholds of the states. Each state is left at other values than it is entered at, and only after its minimum time.
STRAIN_FACTOR, STRAIN_BAD = 1.25, 0.08  # requests per first try, and share that ends unserved or late
STORM_FACTOR, STORM_BAD = 1.6, 0.25
CALM_FACTOR, CALM_BAD = 1.12, 0.04
EASED_BAD = 0.10  # share of bad ends below which a storm is over: the remaining retries fade by themselves
MIN_DURATION = {"normal": 0.3, "strained": 1.0, "storm": 1.0, "recovering": 2.0}  # seconds that a state lasts at least


class Event(IntEnum):
    """What is counted."""

    FIRST = 0
    MARKED = 1  # a retry that the client marked as one
    TOKEN = 2  # a retry: its idempotency key was seen before
    INFERRED = 3  # a retry: a similar request ended unserved recently
    EARLY = 4  # of all these, those that came before the time they were told
    SERVED = 5
    LATE = 6  # served, but after the latency target
    REFUSED = 7  # by the module
    FAILED = 8
    SHED = 9  # refused by overload control, before the module
    NEW_CONNECTION = 10
    COUNT = 11


class State(Enum):
    NORMAL = "normal"
    STRAINED = "strained"
    STORM = "storm"
    RECOVERING = "recovering"


@dataclass(frozen=True, slots=True)
class Figures:
    """What a key's state is decided by. The names are keys of the status document."""

    first: float = 0.0  # first tries a second
    again: float = 0.0  # retries a second
    ended: float = 0.0  # requests a second
    bad: float = 0.0  # share of the ended ones
    trend: float = 1.0  # current request rate over the recent one
    early: float = 0.0
    links: float = 0.0

    @property
    def factor(self) -> float:
        """Requests per first try."""
        return (self.first + self.again) / max(self.first, 0.2)

    def describe(self) -> str:
        return (
            f"{self.first:.1f} first tries and {self.again:.1f} retries a second (factor {self.factor:.2f}), trend "
            f"{self.trend:.2f}, {100 * self.bad:.0f}% of {self.ended:.1f} ends bad, {self.early:.1f} early, "
            f"{self.links:.1f} connections"
        )


@dataclass(slots=True)
class Monitor:
    """Counters, means and state of one key."""

    counts: list[int] = field(default_factory=lambda: [0] * Event.COUNT)
    fast: list[float] = field(default_factory=lambda: [0.0] * Event.COUNT)  # events a second
    slow: list[float] = field(default_factory=lambda: [0.0] * Event.COUNT)
    updated_at: int = 0
    state: State = State.NORMAL
    since: int = 0
    figures: Figures = Figures()

    def update(self, now: int) -> None:
        """Folds the counters into the means."""
        elapsed = max(1, now - self.updated_at) / SECOND
        self.updated_at = now
        fast, slow = -math.expm1(-elapsed / FAST), -math.expm1(-elapsed / SLOW)
        for i, count in enumerate(self.counts):
            rate = count / elapsed
            self.fast[i] += fast * (rate - self.fast[i])
            self.slow[i] += slow * (rate - self.slow[i])
            self.counts[i] = 0
        f = self.fast
        again = f[Event.MARKED] + f[Event.TOKEN] + f[Event.INFERRED]
        ended = sum(f[Event.SERVED : Event.SHED + 1])  # a late request counts as SERVED and as LATE
        requests, before = sum(f[:4]), sum(self.slow[:4])
        self.figures = Figures(
            f[Event.FIRST],
            again,
            ended,
            (ended - f[Event.SERVED]) / ended if ended > 0.1 else 0.0,
            requests / before if before > 0.1 else 1.0,
            f[Event.EARLY],
            f[Event.NEW_CONNECTION],
        )

    def change_state(self, now: int) -> State | None:
        """Decides the state; returns the new one if it changed."""
        if now - self.since < MIN_DURATION[self.state.value] * SECOND:
            return None
        new = self._next()
        if new is self.state:
            return None
        self.state, self.since = new, now
        return new

    def _next(self) -> State:
        f, now = self.figures, self.state
        few = f.first + f.again < MIN_RATE
        if now is State.NORMAL:
            strained = not few and (f.factor >= STRAIN_FACTOR and f.bad >= CALM_BAD or f.bad >= STRAIN_BAD)
            return State.STRAINED if strained else now
        if now in (State.STRAINED, State.RECOVERING) and not few and f.factor >= STORM_FACTOR and f.bad >= STORM_BAD:
            return State.STORM
        calm = f.bad < CALM_BAD and (few or f.factor < CALM_FACTOR)
        if now is State.STORM:
            return State.RECOVERING if f.bad < EASED_BAD or few else now
        return State.NORMAL if calm else now


@dataclass(frozen=True, slots=True)
class Change:
    """A key's change of state, and the figures that caused it."""

    key: tuple[str, str]
    old: State
    new: State
    figures: Figures

    def describe(self) -> str:
        name = " ".join(part for part in self.key if part)
        return f"overload: {name}: {self.old.value} -> {self.new.value}: {self.figures.describe()}"


ALL = ("all", "")


class Detector:
    """The monitors by key: ("all", ""), ("class", name), ("tenant", name), ("front", name)."""

    def __init__(self) -> None:
        self.monitors: OrderedDict[tuple[str, str], Monitor] = OrderedDict({ALL: Monitor()})
        self.all = self.monitors[ALL]

    def monitor(self, kind: str, name: str) -> Monitor:
        """The monitor of a key, created if there is none."""
        key = kind, name
        monitor = self.monitors.get(key)
        if monitor is None:
            monitor = self.monitors[key] = Monitor(updated_at=self.all.updated_at)
            if len(self.monitors) > MAX_KEYS:
                oldest = next(k for k in self.monitors if k != ALL)
                del self.monitors[oldest]
        return monitor

    def update(self, now: int) -> list[Change]:
        """Folds what was counted since the last update, and decides the states."""
        changes = []
        for key, monitor in list(self.monitors.items()):
            old = monitor.state
            monitor.update(now)
            new = monitor.change_state(now)
            if new is not None:
                changes.append(Change(key, old, new, monitor.figures))
            if key != ALL and old is State.NORMAL and monitor.figures.first + monitor.figures.again < 0.01:
                del self.monitors[key]  # no requests for a while
        return changes

    def state(self, kind: str, name: str) -> State:
        monitor = self.monitors.get((kind, name))
        return monitor.state if monitor is not None else State.NORMAL
