"""What a seed draws: settings, sizes, traffic and the faults that are played. Nothing that the page on the protocol
excludes."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

LENGTH = 22.0  # seconds of a run, before its last answers
SEED_MOST = 2**53
SLOW_FILLS = 0.15  # part of the fills that take long at any time: a purge may come while one is under way


class Effect(StrEnum):
    """What may be done with a request of a class again, in the settings' words."""

    SAFE = "read_like"
    KEYED = "idempotency_key"
    ONCE = "non_idempotent"


class Act(StrEnum):
    """Kinds of faults, each played at drawn moments."""

    PURGE = "purge of an object"
    PURGES_IN_A_ROW = "purges of one object in a row"
    FLUSH = "purge of most groups"
    DRAIN = "drain"
    REPLACE = "replacement at the same address"
    COLD = "cold start"
    TERMINATE = "SIGTERM and a new start"
    KILL = "SIGKILL and a new start"
    RELOAD = "SIGHUP, discovery moved"
    RELOADS = "SIGHUP in series"
    STAND_STILL = "SIGSTOP, SIGCONT"
    SILENT_WATCH = "open watches fall silent"
    DISCOVERY_DOWN = "discovery down"
    WATCH_BREAKS = "watches break off in a line"
    RESET = "connections of a server are reset"
    HANG = "a server hangs"
    ERRORS = "a server fails what it is asked"
    SPOIL = "a server's answers are spoilt"
    SLOW_FILLS = "fills take long"
    CLOCK = "wall clock stepped"
    SHORT_CALLS = "short reads and writes"
    FAILED_CALLS = "system calls fail"


WEIGHTS = {
    Act.PURGE: 6,
    Act.PURGES_IN_A_ROW: 10,
    Act.RELOAD: 2,
    Act.KILL: 2,
    Act.WATCH_BREAKS: 2,
    Act.SILENT_WATCH: 2,
    Act.DRAIN: 2,
}  # how often each kind is drawn; others: 1


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests."""

    name: str
    effect: Effect
    deadline: float
    window: float
    write: bool
    share: float


@dataclass(frozen=True, slots=True)
class Deployment:
    """One installation and what happens to it. Times in seconds."""

    seed: int
    classes: tuple[RequestClass, ...]
    processes: int
    caches: int
    parents: int
    rate: float  # requests a second to all
    objects: int
    groups: int
    purge_slack: float
    purge_takes: float
    drain_grace: float
    start_share: float
    ramp: float
    fall_multiple: float
    fall_window: float
    news_delay: float  # of an event, at most
    heartbeat_object: bool
    heartbeat_first: bool
    joins_old_fills: bool
    crowd: int  # idle clients of each process
    descriptors: int
    acts: tuple[tuple[float, Act], ...]

    def group_of(self, thing: str) -> int:
        """The group of an object."""
        return int(thing[:4], 16) % self.groups

    @property
    def kill_after(self) -> float:
        """Seconds after SIGTERM at which SIGKILL comes at the earliest."""
        return min(3.0, max(cls.deadline for cls in self.classes)) + 0.7

    def settings(self) -> dict[str, Any]:
        """The settings as the platform tells them."""
        us = 1_000_000
        profiles = [
            {
                "aim-stretch": 1.0,
                "deadline": round(cls.deadline * us),
                "name": cls.name,
                "dedup-scope": "all",
                "objective": round(cls.deadline * us / 4),
                "repeat": cls.effect.value,
                "repeat-window": round(cls.window * us),
            }
            for cls in self.classes
        ]
        count = len(self.classes)
        return {
            "extra": {
                "bypass-allowed": True,
                "class-write": [cls.write for cls in self.classes],
                "client-kb-per-s": 4000.0,
                "crew-by-zone": [0, self.processes],
                "fresh-for": [0] * count,
                "in-parts": [False] * count,
                "master-kind": 2,
                "notes-given": "none",
                "shares-fills": True,
                "parent-fall-multiple": 2.0,
                "parent-ramp": 20 * us,
                "sideways": "location",
                "purge-slack": round(self.purge_slack * us),
                "purge-takes": round(self.purge_takes * us),
                "upper-cold-from": 0.063,
                "upper-kind": 1,
            },
            "limits": {
                "cancel": True,
                "conn-idle": 30 * us,
                "connect-timeout": 400_000,
                "max-attempts": 8,
                "max-retry-after": 500_000,
                "max-streams": 32,
                "retry-after": True,
                "second-copies": True,
            },
            "machine-types": ["standard", "parent", "origin"],
            "membership-mode": "pushed",
            "n-instances": self.processes,
            "obligations": {
                "drain-grace": round(self.drain_grace * us),
                "fall": round(self.fall_window * us),
                "fall-multiple": self.fall_multiple,
                "grace-to-answer": 8_000,
                "ramp-time": round(self.ramp * us),
                "start-capacity": self.start_share,
            },
            "profiles": profiles,
            "report": {"columns": ["rif", "busy", "x1", "x0"], "via": "answers"},
            "tick": 2_000,
            "zone": "edge-1",
            "zones": ["sierra", "edge-1"],
        }


def draw(seed: int) -> Deployment:
    """The deployment of a seed."""
    rng = random.Random(seed)
    short = rng.random() < 0.3
    reads = (rng.uniform(0.3, 0.6), rng.uniform(0.4, 0.8)) if short else (rng.uniform(2, 5), rng.uniform(1, 3))
    order = rng.choice([Effect.KEYED, Effect.ONCE])
    classes = (
        RequestClass("segments", Effect.SAFE, reads[0], 5.0, False, 0.5),
        RequestClass("pages", rng.choice([Effect.SAFE, Effect.SAFE, Effect.KEYED]), reads[1], 2.0, False, 0.42),
        RequestClass("orders", order, max(reads), rng.choice([0.15, 2.0]), True, 0.08),
    )
    processes = rng.choice([1, 2, 4, 6, 6, 8, 12])
    acts = [
        (rng.uniform(2, LENGTH - 2), act)
        for act in rng.choices(list(Act), weights=[WEIGHTS.get(act, 1) for act in Act], k=rng.choice([8, 20, 30, 40]))
    ]
    scene = rng.random()
    calm = [
        (rng.uniform(2, LENGTH - 2), rng.choice([Act.PURGE, Act.PURGES_IN_A_ROW, Act.SLOW_FILLS, Act.RESET]))
        for _ in range(8)
    ]
    if scene < 0.2:  # quiet but for watches that fall silent, and drains that nobody hears of then
        acts = calm + [(rng.uniform(2, 4), Act.SILENT_WATCH)] + [(rng.uniform(4, 7), Act.DRAIN) for _ in range(3)]
    elif scene < 0.4:  # cold servers under load, told to all
        acts = calm + [(rng.uniform(2, 5), Act.COLD) for _ in range(2)]
    elif scene < 0.85:  # a purge of most groups, and then what a release is likely to bring with it
        at = rng.uniform(4, LENGTH - 9)
        acts += [
            (at, Act.FLUSH),
            (at + rng.uniform(0.05, 0.7), Act.KILL),
            (at + rng.uniform(4, 6), Act.SILENT_WATCH),
            (at + rng.uniform(6, 8), Act.RELOAD),
        ]
    cold = 0.2 <= scene < 0.4
    return Deployment(
        seed,
        classes,
        processes,
        caches=3 if cold else rng.randint(3, 9),
        parents=rng.randint(1, 3),
        rate=min(240.0, processes * rng.uniform(15, 30)),
        objects=rng.choice([40, 200]),
        groups=32,
        purge_slack=rng.choice([0.3, 0.5]),
        purge_takes=rng.choice([2.0, 6.0, 6.0, 15.0]),
        drain_grace=rng.choice([0.25, 0.5]),
        start_share=rng.uniform(0.06, 0.12 if cold else 0.3),
        ramp=rng.uniform(16 if cold else 8, 20),
        fall_multiple=1.5 if cold else rng.choice([1.5, 2.0, 2.5]),
        fall_window=3.0,
        news_delay=rng.uniform(0.03, 0.36),
        heartbeat_object=rng.random() < 0.5,
        heartbeat_first=rng.random() < 0.5,
        joins_old_fills=rng.random() < 0.7,
        crowd=rng.choice([0, 0, 0, 60]),
        descriptors=rng.choice([256, 640, 1024]),
        acts=tuple(sorted(acts)),
    )
