"""Sees a retry storm: first tries and retries apart, how requests end, and from these a state for each class, tenant,
front and all together. Events only add to counters; a turn ten times a second folds them into means and judges."""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, IntEnum

SECOND = 1_000_000
TURN = 100_000  # microseconds between two judgements
FAST, SLOW = 1.0, 5.0  # seconds of the two means: now, and against what it is compared
KEYS = 512  # tenants, classes and fronts watched; the one heard least lately goes first
FEWEST = 5.0  # asks a second under which nothing is said of a key: a few retries are no storm

# The states' bounds. Each state is left by other figures than it was entered by, and not before it has lasted.
STRAIN_FACTOR, STRAIN_BAD = 1.25, 0.08  # asks over first tries, and part that ends unserved or late
STORM_FACTOR, STORM_BAD = 1.6, 0.25
CALM_FACTOR, CALM_BAD = 1.12, 0.04
EASED_BAD = 0.10  # part that ends badly under which a storm is over: retries alone fade after that
HOLD = {"normal": 0.3, "strained": 1.0, "storm": 1.0, "recovering": 2.0}  # seconds that a state lasts at the least


class Event(IntEnum):
    """What is counted."""

    FIRST = 0
    MARKED = 1  # a retry, as its mark says
    TOKEN = 2  # as its key says, which came before
    GUESSED = 3  # as a like ask says that ended unserved lately
    EARLY = 4  # of these, those that came before they were told to
    SERVED = 5
    LATE = 6  # served, but after the wanted time
    REFUSED = 7  # by the module
    FAILED = 8
    DAMPED = 9  # refused here, before the module
    NEW_LINK = 10  # a connection was opened
    COUNT = 11


class State(Enum):
    NORMAL = "normal"
    STRAINED = "strained"
    STORM = "storm"
    RECOVERING = "recovering"


@dataclass(frozen=True, slots=True)
class Figures:
    """What a key's state is judged by."""

    first: float = 0.0  # a second
    again: float = 0.0
    ended: float = 0.0
    bad: float = 0.0  # part of what ended
    trend: float = 1.0  # asks now over asks lately
    early: float = 0.0
    links: float = 0.0

    @property
    def factor(self) -> float:
        """How many asks each first try has become."""
        return (self.first + self.again) / max(self.first, 0.2)

    def told(self) -> str:
        return (
            f"{self.first:.1f} first tries and {self.again:.1f} retries a second (factor {self.factor:.2f}), trend "
            f"{self.trend:.2f}, {100 * self.bad:.0f}% of {self.ended:.1f} ends bad, {self.early:.1f} early, "
            f"{self.links:.1f} connections"
        )


@dataclass(slots=True)
class Watch:
    """One key's counters, means and state."""

    counts: list[int] = field(default_factory=lambda: [0] * Event.COUNT)
    fast: list[float] = field(default_factory=lambda: [0.0] * Event.COUNT)  # a second
    slow: list[float] = field(default_factory=lambda: [0.0] * Event.COUNT)
    at: int = 0
    state: State = State.NORMAL
    since: int = 0
    figures: Figures = Figures()

    def fold(self, now: int) -> None:
        gone = max(1, now - self.at) / SECOND
        self.at = now
        fast, slow = -math.expm1(-gone / FAST), -math.expm1(-gone / SLOW)
        for i, count in enumerate(self.counts):
            rate = count / gone
            self.fast[i] += fast * (rate - self.fast[i])
            self.slow[i] += slow * (rate - self.slow[i])
            self.counts[i] = 0
        f = self.fast
        again = f[Event.MARKED] + f[Event.TOKEN] + f[Event.GUESSED]
        ended = sum(f[Event.SERVED : Event.DAMPED + 1])  # LATE is beside SERVED, not of it
        asks, before = sum(f[:4]), sum(self.slow[:4])
        self.figures = Figures(
            f[Event.FIRST],
            again,
            ended,
            (ended - f[Event.SERVED]) / ended if ended > 0.1 else 0.0,
            asks / before if before > 0.1 else 1.0,
            f[Event.EARLY],
            f[Event.NEW_LINK],
        )

    def judge(self, now: int) -> State | None:
        """The state that it is in from now on, where that is another."""
        if now - self.since < HOLD[self.state.value] * SECOND:
            return None
        new = self._next()
        if new is self.state:
            return None
        self.state, self.since = new, now
        return new

    def _next(self) -> State:
        f, now = self.figures, self.state
        few = f.first + f.again < FEWEST
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
    """A key came into another state, and the figures that it was for."""

    key: tuple[str, str]
    old: State
    new: State
    figures: Figures

    def told(self) -> str:
        name = " ".join(part for part in self.key if part)
        return f"overload: {name}: {self.old.value} -> {self.new.value}: {self.figures.told()}"


ALL = ("all", "")


class Detector:
    """The watches by key: ("all", ""), ("class", name), ("tenant", name), ("front", name)."""

    def __init__(self) -> None:
        self.watches: OrderedDict[tuple[str, str], Watch] = OrderedDict({ALL: Watch()})
        self.all = self.watches[ALL]

    def watch(self, kind: str, name: str) -> Watch:
        """The watch of a key, made where there is none."""
        key = kind, name
        watch = self.watches.get(key)
        if watch is None:
            watch = self.watches[key] = Watch(at=self.all.at)
            if len(self.watches) > KEYS:
                oldest = next(k for k in self.watches if k != ALL)
                del self.watches[oldest]
        return watch

    def update(self, now: int) -> list[Change]:
        """Fold what was counted since the last turn, and judge."""
        changes = []
        for key, watch in list(self.watches.items()):
            old = watch.state
            watch.fold(now)
            new = watch.judge(now)
            if new is not None:
                changes.append(Change(key, old, new, watch.figures))
            if key != ALL and old is State.NORMAL and watch.figures.first + watch.figures.again < 0.01:
                del self.watches[key]  # nothing of it for a while
        return changes

    def state(self, kind: str, name: str) -> State:
        watch = self.watches.get((kind, name))
        return watch.state if watch is not None else State.NORMAL
