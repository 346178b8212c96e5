"""The narrow ports between the core and what plugs into it. Nothing here knows a wire."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from threadhill.decision import interface as api


class FinalStatus(Enum):
    """The final answer of a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """What a front has taken from a client."""

    request_id: str
    class_name: str
    object: str
    time_left: int  # microseconds that the client still waits
    part: int = 0
    group: int | None = None
    size: float = 0.0
    repeat: bool = False
    tenant: str | None = None
    idempotency_key: str | None = None  # the idempotency key
    client_tag: str | None = None  # the tag of the client's own copy
    body: bytes = b""
    hand_over: bool = False  # the client is to be told a server, and goes there itself
    weight: float = 1.0  # of one handed over: how many requests the answer is likely to bring
    inflight_share: float = 1.0  # of a server's room that it may fill, as overload control says
    client: str = ""  # who asks, as far as the front can tell: a connection, a resolver


@dataclass(slots=True)
class Answer:
    """What a front is given for the client; `not_modified` says that the client's own copy is the one."""

    status: FinalStatus
    body: bytes = b""
    tag: str = ""
    not_modified: bool = False
    retry_after: int = 0  # microseconds that a refused client is to stay away
    server: int = -1  # of a request that is handed over: the server to go to
    expected_time: int = 0  # and the microseconds that a request takes there, as the module reckons


@dataclass(slots=True)
class AttemptSpec:
    """One attempt, as it is to be sent to one server."""

    request: ClientRequest
    server: int
    source: int  # the server itself: nothing is filled
    timeout: int  # microseconds; 0 until the client gives up
    max_age: int = 0  # microseconds; 0 as the class has it
    mode: api.FillMode = api.FillMode.PLAIN
    keep_rank: int = 0
    at_most_once: bool = False  # it must never run twice, so what may have run can't be sent again
    deadline: int = (
        0  # when `timeout` is over, in local time: how long the server is told it has is reckoned as it is written
    )
    start_by: int = 0  # the moment from which on it must not begin any more; 0: none


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended."""

    outcome: api.Outcome
    body: bytes = b""
    tag: str = ""
    not_modified: bool = False
    load: dict[str, float] = field(default_factory=dict)
    cache_status: api.CacheStatus = api.CacheStatus.NONE  # what it tells of the fill behind it, where the site tells
    source_wait: int = 0  # microseconds of it spent on the source
    created_at: int = 0  # Unix microseconds at which the origin gave out the copy; 0: not told


class OverloadControl(Protocol):
    """Overload control: hears of each request and its end, and may hold one off the module."""

    def admit(self, handle: int, request: ClientRequest, front: str, now: int) -> int | None:
        """None: to the module with it. Else it is refused at once, to come back after so many microseconds."""
        ...

    def request_refused(self, handle: int, retry_after: int, now: int) -> int:
        """The module refuses it, with this time to come back: the time that is told."""
        ...

    def request_finished(self, handle: int, status: FinalStatus, now: int) -> None: ...

    def client_gone(self, handle: int, now: int) -> None:
        """Its client stopped waiting."""
        ...


class RecoveryGate(Protocol):
    """Recovery: whether anything may be sent to servers at all, as what is known of them may be out of date."""

    def retry_after(self, now: int) -> int | None:
        """None: requests go on to the module. Else each is refused at once, to come back after so many microseconds."""
        ...

    def may_send(self, now: int) -> bool:
        """Whether an attempt that was decided on may go out now; else it comes back to the module as never sent."""
        ...


class Front(Protocol):
    """Takes the one final answer for what it asked under `ref`; `name` is what it is called in figures."""

    name: str

    def answer(self, ref: int, answer: Answer) -> None: ...


class CacheTransport(Protocol):
    """Carries attempts; tells the core of each one's end, once, unless it was dropped before."""

    def send(self, attempt: int, spec: AttemptSpec) -> None: ...

    def cancel(self, attempt: int) -> bool:
        """Give one up; tells whether any of it had been written, so that it may have run."""
        ...

    def list_changed(self, entries: list[api.Entry]) -> None:
        """The list changed: what waits to be sent to one that is not ready must not go any more."""
        ...

    def purge_received(self, object: str | None, group: int | None) -> None:
        """Copies of these became void: what waits to be sent for them must be decided anew."""
        ...
