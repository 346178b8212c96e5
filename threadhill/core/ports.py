"""The interfaces between the core and what is attached to it: fronts, cache connections, overload control, recovery.

Nothing here depends on a wire protocol.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from threadhill.decision import interface as api


class FinalStatus(Enum):
    """The status of the final answer to a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """A request as a front received it from a client."""

    request_id: str
    class_name: str
    object: str
    time_left: int  # microseconds until the client gives up
    part: int = 0
    group: int | None = None
    size: float = 0.0
    repeat: bool = False  # the client marked it as a repeat of an earlier request
    tenant: str | None = None
    idempotency_key: str | None = None
    client_tag: str | None = None  # tag of the copy that the client already has
    body: bytes = b""
    hand_over: bool = False  # answer with the address of a server, which the client then contacts itself
    weight: float = 1.0  # of a hand-over: how many requests the answer is expected to bring
    inflight_share: float = 1.0  # share of a server's capacity that this request may use; set by overload control
    client: str = ""  # the client as far as the front can identify it: a connection, a resolver


@dataclass(slots=True)
class Answer:
    """The answer that a front passes to the client. With `not_modified` the client's own copy is still valid."""

    status: FinalStatus
    body: bytes = b""
    tag: str = ""
    not_modified: bool = False
    retry_after: int = 0  # microseconds that a refused client should wait before a retry
    server: int = -1  # for a hand-over: the server to contact
    expected_time: int = 0  # for a hand-over: the decision module's estimate of a request's microseconds there


@dataclass(slots=True)
class AttemptSpec:
    """One attempt, to be sent to one server."""

    request: ClientRequest
    server: int
    source: int  # where the server fills its copy from; equal to `server`: it does not fill
    timeout: int  # microseconds; 0: until the client gives up
    max_age: int = 0  # microseconds; 0: as the class says
    mode: api.FillMode = api.FillMode.PLAIN
    keep_rank: int = 0
    at_most_once: bool = False  # it must never run twice, so it is not sent again once it may have run
    # Local time at which `timeout` ends: the time left is computed from it when the request is written.
    deadline: int = 0
    start_by: int = 0  # local time from which on the attempt must not be started any more; 0: no limit


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended."""

    outcome: api.Outcome
    body: bytes = b""
    tag: str = ""
    not_modified: bool = False
    load: dict[str, float] = field(default_factory=dict)
    cache_status: api.CacheStatus = api.CacheStatus.NONE  # report of the server's fill, on sites that have it
    source_wait: int = 0  # microseconds that the server waited for the source
    created_at: int = 0  # Unix microseconds at which the origin gave out the copy; 0: not reported


class OverloadControl(Protocol):
    """Sees every request and its end, and can refuse a request before it reaches the decision module."""

    def admit(self, handle: int, request: ClientRequest, front: str, now: int) -> int | None:
        """None if the request may go to the decision module; else it is refused and may return after the microseconds
        returned."""
        ...

    def request_refused(self, handle: int, retry_after: int, now: int) -> int:
        """The decision module refused the request with this retry time; returns the retry time to tell the client."""
        ...

    def request_finished(self, handle: int, status: FinalStatus, now: int) -> None: ...

    def client_gone(self, handle: int, now: int) -> None:
        """The client stopped waiting for the answer."""
        ...


class RecoveryGate(Protocol):
    """Decides whether anything may be sent to servers, while what is known about them may be out of date."""

    def retry_after(self, now: int) -> int | None:
        """None if requests may go to the decision module; else each is refused and may return after the microseconds
        returned."""
        ...

    def may_send(self, now: int) -> bool:
        """Whether an attempt may be sent now. If not, it is reported to the decision module as never sent."""
        ...


class Front(Protocol):
    """Receives exactly one final answer for each request it submitted under `ref`. `name` is its name in metrics."""

    name: str

    def answer(self, ref: int, answer: Answer) -> None: ...


class CacheTransport(Protocol):
    """Sends attempts to servers and reports the end of each to the core exactly once, unless it was cancelled."""

    def send(self, attempt: int, spec: AttemptSpec) -> None: ...

    def cancel(self, attempt: int) -> bool:
        """Give up an attempt. Returns whether any of it was written, in which case it may have run."""
        ...

    def list_changed(self, entries: list[api.Entry]) -> None:
        """The server list changed: attempts not yet written to servers that are no longer ready must not be sent."""
        ...

    def purge_received(self, object: str | None, group: int | None) -> None:
        """Copies were invalidated: attempts for them that are not yet written go back to be decided again."""
        ...
