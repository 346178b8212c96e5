"""What the stand-ins write down of a soak. All times are seconds of one monotonic clock, those of copies and purges
Unix milliseconds of the same machine."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from enum import StrEnum


class Word(StrEnum):
    """Answers of a proxy to a client, by what they mean."""

    SERVED = "200"
    REFUSED = "503"


@dataclass(slots=True)
class ClientAnswer:
    """One answer that a client read."""

    at: float
    word: str
    same: bool  # that the client's own copy is the one
    body: bytes


@dataclass(slots=True)
class ClientRequest:
    """A request as its client saw it."""

    rid: str
    process: str
    cls: str
    thing: str
    part: int
    group: int
    budget: float  # seconds for which the client waits
    sent_at: float
    seen: str = ""  # tag of a copy that the client holds
    left_at: float = 0.0  # when the client gave it up, by a close or a message; 0: it waited
    closed_at: float = 0.0  # when the proxy ended the connection under it; 0: it did not
    crossed: bool = False  # sent on a resting connection within the time in which a close may cross it
    answers: list[ClientAnswer] = field(default_factory=list)


@dataclass(slots=True)
class ServerAttempt:
    """A request as a server read it, and what became of it."""

    rid: str
    server: str
    address: int  # port, by which the server's start is told from another of its name
    cls: str
    at: float
    thing: str
    part: int
    source: str
    allowed: float  # seconds that the proxy says it will wait; 0: not told
    oldest: int  # milliseconds; 0: not told
    mode: str
    ran: bool = False
    word: str = ""
    born: int = 0
    given_up_at: float = 0.0


@dataclass(slots=True)
class Purge:
    """A purge of an object (name) or a group."""

    name: str | None
    group: int | None
    stamp: int
    told: dict[str, float] = field(default_factory=dict)  # process -> when it counts as told there

    def covers(self, thing: str, group: int) -> bool:
        """Whether copies of this object are older versions after it."""
        return thing == self.name if self.name is not None else group == self.group


@dataclass(slots=True)
class Removal:
    """A server that drains or is gone, until it is listed again (0: it is not)."""

    server: str
    at: float
    until: float = 0.0
    told: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ColdStart:
    """A server that started late and is cold."""

    server: str
    at: float
    told: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ProcessLife:
    """One process of a proxy, by a name of its own for each start."""

    name: str
    started_at: float
    serving_at: float = 0.0
    ended_at: float = 0.0
    code: int | None = None
    asked_to_end_at: float = 0.0
    killed_at: float = 0.0
    stopped: list[tuple[float, float]] = field(default_factory=list)  # spans in which it stood still
    # Spans, and the seconds of each in which it was ready to run and the machine let others run.
    starved: list[tuple[float, float, float]] = field(default_factory=list)
    most_descriptors: int = 0
    most_memory_mb: float = 0.0


@dataclass(slots=True)
class Fault:
    """Something that was done, for the timelines."""

    at: float
    what: str


@dataclass(slots=True)
class Record:
    """All of one run."""

    seed: int
    began: float = field(default_factory=time.monotonic)
    unix_at_zero: float = field(default_factory=lambda: time.time() - time.monotonic())  # Unix seconds at its time 0
    ended: float = 0.0
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    attempts: list[ServerAttempt] = field(default_factory=list)
    purges: list[Purge] = field(default_factory=list)
    removals: list[Removal] = field(default_factory=list)
    cold_starts: list[ColdStart] = field(default_factory=list)
    processes: dict[str, ProcessLife] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    hold_ups: list[tuple[float, float]] = field(default_factory=list)  # spans in which the stand-ins stood still

    def note(self, what: str) -> None:
        """Write a fault down."""
        self.faults.append(Fault(time.monotonic(), what))

    def held_up(self, start: float, end: float) -> float:
        """Seconds of that span, and of what overlaps it, in which the stand-ins stood still."""
        return sum(to - since for since, to in self.hold_ups if since <= end and to >= start)
