"""The narrow ports between the core and what plugs into it. Nothing here knows a wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from threadhill.decision import interface as api


class Final(Enum):
    """The final answer of a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Ask:
    """What a front has taken from a client."""

    rid: str
    cls: str
    object: str
    left: int  # microseconds that the client still waits
    part: int = 0
    group: int | None = None
    size: float = 0.0
    repeat: bool = False
    tenant: str | None = None
    token: str | None = None  # the idempotency key
    seen: str | None = None  # the tag of the client's own copy
    body: bytes = b""
    hand_over: bool = False  # the client is to be told a server, and goes there itself
    weight: float = 1.0  # of one handed over: how many requests the answer is likely to bring
    share: float = 1.0  # of a server's room that it may fill, as overload control says
    client: str = ""  # who asks, as far as the front can tell: a connection, a resolver


@dataclass(slots=True)
class Answer:
    """What a front is given for the client; `same` says that the client's own copy is the one."""

    final: Final
    body: bytes = b""
    tag: str = ""
    same: bool = False
    come_back: int = 0  # microseconds that a refused client is to stay away
    server: int = -1  # of a request that is handed over: the server to go to
    hold: int = 0  # and the microseconds that a request takes there, as the module reckons


@dataclass(slots=True)
class Order:
    """One attempt, as it is to be sent to one server."""

    ask: Ask
    server: int
    source: int  # the server itself: nothing is filled
    limit: int  # microseconds; 0 until the client gives up
    age: int = 0  # microseconds; 0 as the class has it
    mode: api.FillMode = api.FillMode.PLAIN
    keep: int = 0
    once: bool = False  # it must never run twice, so what may have run can't be sent again
    due: int = 0  # when `limit` is over, in local time: how long the server is told it has is reckoned as it is written
    until: int = 0  # the moment from which on it must not begin any more; 0: none


@dataclass(slots=True)
class Ended:
    """How an attempt ended."""

    outcome: api.Outcome
    body: bytes = b""
    tag: str = ""
    same: bool = False
    load: dict[str, float] = field(default_factory=dict)
    note: api.CacheStatus = api.CacheStatus.NONE  # what it tells of the fill behind it, where the site tells
    waited: int = 0  # microseconds of it spent on the source
    born: int = 0  # Unix microseconds at which the origin gave out the copy; 0: not told


class Guard(Protocol):
    """Overload control: hears of each request and its end, and may hold one off the module."""

    def arrives(self, handle: int, ask: Ask, front: str, now: int) -> int | None:
        """None: to the module with it. Else it is refused at once, to come back after so many microseconds."""
        ...

    def refused(self, handle: int, come_back: int, now: int) -> int:
        """The module refuses it, with this time to come back: the time that is told."""
        ...

    def ended(self, handle: int, final: Final, now: int) -> None: ...

    def left(self, handle: int, now: int) -> None:
        """Its client stopped waiting."""
        ...


class Gate(Protocol):
    """Recovery: whether anything may be sent to servers at all, as what is known of them may be out of date."""

    def holds(self, now: int) -> int | None:
        """None: requests go on to the module. Else each is refused at once, to come back after so many microseconds."""
        ...

    def sends(self, now: int) -> bool:
        """Whether an attempt that was decided on may go out now; else it comes back to the module as never sent."""
        ...


class Front(Protocol):
    """Takes the one final answer for what it asked under `ref`; `name` is what it is called in figures."""

    name: str

    def answer(self, ref: int, answer: Answer) -> None: ...


class Caches(Protocol):
    """Carries attempts; tells the core of each one's end, once, unless it was dropped before."""

    def send(self, attempt: int, order: Order) -> None: ...

    def drop(self, attempt: int) -> bool:
        """Give one up; tells whether any of it had been written, so that it may have run."""
        ...

    def listed(self, entries: list[api.Entry]) -> None:
        """The list changed: what waits to be sent to one that is not ready must not go any more."""
        ...

    def purged(self, object: str | None, group: int | None) -> None:
        """Copies of these became void: what waits to be sent for them must be decided anew."""
        ...
