"""What goes into and comes out of the decision module: settings, events and actions.

All times are whole microseconds, all sizes KB. This module decides nothing; the defaults only define what an absent
value means.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntFlag


class State(Enum):
    """The state of a server according to the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event contains: changes, the whole list, an outdated whole list, or a failed call."""

    CHANGES = "changes"
    FULL = "full"
    STALE = "stale"
    FAILED = "failed"


class RetrySafety(Enum):
    """Whether a request may be run a second time: always, with an idempotency key, or never."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which servers drop repeats of a request with an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt or a probe ended."""

    SERVED = "served"
    ERROR = "error"
    REFUSED = "refused"
    TIMED_OUT = "timed out"
    UNREACHED = "unreached"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    UNSENT = "unsent"
    MISS = "miss"
    SHORTAGE = "shortage"  # this machine could not open a connection: nothing was sent, and it is no server's fault
    HANDED_OVER = "handed over"  # the client was given the server; the result is never known


NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.UNREACHED, Outcome.UNSENT, Outcome.SHORTAGE, Outcome.MISS})
NOTHING_SENT = frozenset({Outcome.UNREACHED, Outcome.UNSENT, Outcome.SHORTAGE})
FAILED = frozenset(
    {Outcome.REFUSED, Outcome.UNREACHED, Outcome.BROKEN, Outcome.ERROR}
)  # caused by the server or its source
# The server sent no response:
NO_RESPONSE = frozenset({Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.UNSENT, Outcome.SHORTAGE, Outcome.HANDED_OVER})
# Nothing was sent to the server, so no response is due:
NEVER_CONTACTED = frozenset({Outcome.UNSENT, Outcome.SHORTAGE})


class CacheStatus(Enum):
    """What an answer says about its fill, where the site reports it."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FROM_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_FAILED = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


# Statuses of answers for which the source was asked:
FILL_STATUSES = frozenset({CacheStatus.FILLED, CacheStatus.FROM_ORIGIN, CacheStatus.JOINED})


class CacheStatusDetail(Enum):
    """Which cache statuses answers report: all, only hits and fills, or none."""

    ALL = "all"
    HIT = "hit"
    NONE = "none"


class Siblings(Enum):
    """Which other caches may be the source of a cache's fill."""

    NONE = "none"
    LOCATION = "location"
    ANY = "any"


class Weights(Enum):
    """What the weight of a list entry means."""

    NONE = "none"
    NOMINAL = "nominal"
    ROUGH = "rough"
    LIVE = "live"


class FillMode(IntFlag):
    """How a fetch treats fills."""

    PLAIN = 0
    JOIN = 1
    CACHED_ONLY = 2
    PARENT_NO_STORE = 4
    REFRESH = 8


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests and its service level at the location. Times are microseconds, values are relative."""

    name: str
    retry_safety: RetrySafety = RetrySafety.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: int = 0  # time in which servers drop repeats of a keyed request
    latency_target: int = 0
    latency_target_stretch: float = 0.0  # this many transfer times of the answer are added to the target
    deadline: int = 0
    value: float = 1.0  # of an answer in time, relative to other classes
    late_value: float = 0.0  # share of it that a late answer has
    streamed: bool = False
    write: bool = False
    freshness_lifetime: int = 0  # how long a copy counts as fresh; 0: no such limit
    max_stale: int = 0  # how long after that a copy may still be served
    stale_value: float = 1.0  # share of it that an answer from a stale copy has
    in_parts: bool = False  # objects are requested and kept part by part


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings that an instance is started with. Times are microseconds."""

    classes: dict[str, RequestClass]
    zone: str = ""  # location of this router
    zones: tuple[str, ...] = ()  # all locations; the next three have one value for each
    zone_hub: tuple[int, ...] = ()  # index of the location's hub in `zones`
    zone_link_kb_per_s: tuple[float, ...] = ()  # capacity of the location's incoming link
    zone_routers: tuple[int, ...] = ()  # routers at the location
    routers: int = 1  # in all
    router_index: int = 0  # of this router among all
    parent_kind: str | None = None  # kind of the list entries that are parents; None: there are none
    origin_kind: str | None = None  # the same for the origin
    client_kb_per_s: float = 0.0  # speed at which clients receive answers; 0: unknown
    tick: int = 0
    direct_to_origin: bool = False  # requests may bypass the caches
    coalesces_fills: bool = False  # caches let a request join a fill in progress
    siblings: Siblings = Siblings.NONE
    cache_status_detail: CacheStatusDetail = CacheStatusDetail.NONE
    weights: Weights = Weights.NONE
    clients_mark_retries: bool = False
    list_on_request: bool = False  # the list must be subscribed to; else it is pushed
    ask_within: int = 0
    answer_slack: int = 0
    drain_grace: int = 0  # time in which requests to a draining server must stop
    cold_capacity: float = 1.0  # share of its capacity that a cold cache starts with
    warm_up_time: int = 0  # until a cold cache has its full capacity
    overload_multiple: float = 1.0  # multiple of its capacity that overloads a cold cache
    overload_window: int = 0  # time over which that load is counted
    parent_cold_capacity: float = 1.0
    parent_warm_up_time: int = 0
    parent_overload_multiple: float = 1.0
    purge_grace: int = 0  # time that a purge may take to be obeyed
    purge_drop_time: int = 0  # time in which servers drop older copies after a purge
    cancel: bool = False  # attempts can be cancelled
    probes: bool = False
    retry_after_allowed: bool = False  # refusals may carry a retry-after time
    max_retry_after: int = 0
    max_attempts: int = 1
    second_copies: bool = False
    connect_timeout: int = 0

    def slow_start_rule(self, parent: bool) -> tuple[float, int, float]:
        """Of a cold cache or parent: initial share of capacity, warm-up time, and the multiple that overloads it."""
        if parent:
            return self.parent_cold_capacity, self.parent_warm_up_time, self.parent_overload_multiple
        return self.cold_capacity, self.warm_up_time, self.overload_multiple

    @property
    def location_routers(self) -> int:
        """How many routers serve this router's location, including itself; 1 if unknown."""
        by_zone = dict(zip(self.zones, self.zone_routers, strict=False))
        return max(1, by_zone.get(self.zone, 1))


@dataclass(frozen=True, slots=True)
class Entry:
    """One server of a list."""

    server: int
    state: State = State.READY
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    # When it started, as listed, in Unix microseconds: differs after a restart. 0: it was present from the beginning.
    reported_start: int = 0
    local_start: int = 0  # the same in local time; 0: `reported_start` is in local time

    @property
    def start_time(self) -> int:
        """When it started, in local time; 0: it was present from the beginning."""
        return self.local_start or self.reported_start


@dataclass(frozen=True, slots=True)
class ListNews:
    """A change of the server list from discovery."""

    kind: ListKind
    entries: tuple[Entry, ...] = ()
    version: int = 0


@dataclass(slots=True)
class Request:
    """A client's request; it must get exactly one final answer."""

    id: str
    cls: str
    object: str
    time_left: int
    size: float = 0.0
    group: int | None = None
    part: int = 0
    repeat: bool = False
    write: bool = False
    tenant: str | None = None
    hand_over: bool = False  # the client connects to the server itself: it is given one at once, or refused
    weight: float = 1.0  # requests that it stands for: a resolver's answer may serve many clients
    inflight_share: float = 1.0  # of a server's in-flight limit that it may use; the rest is for priority requests


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """A streamed answer began: from here on the attempt belongs to the client."""

    id: str
    attempt: int
    server: int
    duration: int = 0


@dataclass(slots=True)
class AttemptEnded:
    """The outcome of an attempt; each attempt has exactly one."""

    id: str
    attempt: int
    server: int
    outcome: Outcome
    duration: int = 0
    request_closed: bool = False
    cache_status: CacheStatus = CacheStatus.NONE
    source_wait: int = 0
    load: dict[str, float] = field(default_factory=dict)
    weight: float = 1.0  # as of its request


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client disconnected; no answer is needed any more."""

    id: str


@dataclass(slots=True)
class TimerDue:
    """A timer has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of one probe."""

    server: int
    outcome: Outcome
    duration: int = 0
    load: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PeerSays:
    """A message from another instance."""

    sender: int
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Purge:
    """Copies older than `age` are invalid: those of one object, else of a group, else (neither given) of everything."""

    object: str | None
    group: int | None
    age: int = 0
    timestamp: int = 0  # Unix microseconds, where creation times of copies are known too
    queue_delay: int = 0  # microseconds that it may have waited unread in this process


@dataclass(frozen=True, slots=True)
class Hints:
    """Recent reports of this location's routers, merged by a control plane; `age` microseconds old."""

    rates: dict[str, float]  # object -> requests a second
    inflight: dict[int, float]  # cache -> attempts that they have in flight there
    avoid_share: dict[int, float]  # cache -> share of the routers that avoid it
    age: int = 0


@dataclass(frozen=True, slots=True)
class Unsure:
    """Purges may be missing: at any later time, those received more than `max_age` microseconds before that time; and
    those received more than `cutoff_age` microseconds before now. Copies from before must not be used. 0: none of
    that kind."""

    max_age: int = 0
    cutoff_age: int = 0


Event = (
    ListNews
    | Request
    | AnswerStarted
    | AttemptEnded
    | ClientGone
    | TimerDue
    | ProbeEnded
    | PeerSays
    | Purge
    | Hints
    | Unsure
)


@dataclass(frozen=True, slots=True)
class Look:
    """An attempt that is answered from the server's copies only."""

    id: str
    server: int
    timeout: int = 0


@dataclass(slots=True)
class Fetch:
    """An attempt that may fill: from which source, at which rank to keep the copy, and its maximum age."""

    id: str
    server: int
    timeout: int
    max_age: int
    source: int
    mode: FillMode
    keep_rank: int
    start_by: int = 0  # the time after which it must not start any more; 0: none


@dataclass(frozen=True, slots=True)
class HandOver:
    """Final answer: the client connects to this server, for about `expected_time`."""

    id: str
    server: int
    expected_time: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; a retry does no harm."""

    id: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Abandon one attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a TimerDue event after `delay`."""

    delay: int
    token: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Check a server."""

    server: int


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close idle connections to a server."""

    server: int


@dataclass(frozen=True, slots=True)
class TellPeer:
    """A message to one peer, or to all (None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A log line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class FollowList:
    """Subscribe to list changes, or unsubscribe."""

    subscribe: bool


@dataclass(frozen=True, slots=True)
class AskList:
    """Request the whole list once."""


Action = (
    Look
    | Fetch
    | HandOver
    | Refuse
    | Fail
    | CancelAttempt
    | SetTimer
    | Probe
    | CloseIdle
    | TellPeer
    | Log
    | FollowList
    | AskList
)
