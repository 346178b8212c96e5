"""What goes into and comes out of the decision module: settings, events and actions.

All times are whole microseconds, all sizes KB. Nothing here decides anything; the defaults say only
what an absent value means.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntFlag


class State(Enum):
    """What the list says of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event brings: the changes, the whole list, an old whole list, or a failed call."""

    CHANGES = "changes"
    FULL = "full"
    STALE = "stale"
    FAILED = "failed"


class RetrySafety(Enum):
    """What a second run of a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """Which servers drop repeats of a keyed request."""

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
    SHORTAGE = "shortage"  # this machine could not open a connection: nothing was sent, and no server is to blame
    HANDED_OVER = "handed over"  # the client was told the server; how it went there is never known


NEVER_RAN = frozenset({Outcome.REFUSED, Outcome.UNREACHED, Outcome.UNSENT, Outcome.SHORTAGE, Outcome.MISS})
NOTHING_SENT = frozenset({Outcome.UNREACHED, Outcome.UNSENT, Outcome.SHORTAGE})
FAILED = frozenset({Outcome.REFUSED, Outcome.UNREACHED, Outcome.BROKEN, Outcome.ERROR})  # by server or source
# The server said nothing:
NO_RESPONSE = frozenset({Outcome.TIMED_OUT, Outcome.CANCELLED, Outcome.UNSENT, Outcome.SHORTAGE, Outcome.HANDED_OVER})
# Nothing reached the server, so it owes no sign of life:
NEVER_CONTACTED = frozenset({Outcome.UNSENT, Outcome.SHORTAGE})


class CacheStatus(Enum):
    """What an answer tells of the fill behind it, where the site tells."""

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


FILL_STATUSES = frozenset(
    {CacheStatus.FILLED, CacheStatus.FROM_ORIGIN, CacheStatus.JOINED}
)  # notes of answers whose source was asked


class CacheStatusDetail(Enum):
    """How much answers tell: every note, only hits and fills, or nothing."""

    ALL = "all"
    HIT = "hit"
    NONE = "none"


class Siblings(Enum):
    """Which other caches may be the source of a fill."""

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
    """One class of requests and what the location promises for it."""

    name: str
    retry_safety: RetrySafety = RetrySafety.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: int = 0
    latency_target: int = 0
    latency_target_stretch: float = 0.0
    deadline: int = 0
    value: float = 1.0
    late_value: float = 0.0
    streamed: bool = False
    write: bool = False
    freshness_lifetime: int = 0
    max_stale: int = 0
    stale_value: float = 1.0
    in_parts: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is told when it starts."""

    classes: dict[str, RequestClass]
    zone: str = ""
    zones: tuple[str, ...] = ()
    zone_hub: tuple[int, ...] = ()
    zone_link_kb_per_s: tuple[float, ...] = ()
    zone_routers: tuple[int, ...] = ()
    routers: int = 1
    rank: int = 0
    parent_kind: str | None = None
    origin_kind: str | None = None
    client_kb_per_s: float = 0.0
    tick: int = 0
    direct_to_origin: bool = False
    coalesces_fills: bool = False
    siblings: Siblings = Siblings.NONE
    cache_status_detail: CacheStatusDetail = CacheStatusDetail.NONE
    weights: Weights = Weights.NONE
    clients_mark_retries: bool = False
    list_on_request: bool = False
    ask_within: int = 0
    answer_slack: int = 0
    drain_grace: int = 0
    cold_capacity: float = 1.0
    warm_up_time: int = 0
    overload_multiple: float = 1.0
    overload_window: int = 0
    parent_cold_capacity: float = 1.0
    parent_warm_up_time: int = 0
    parent_overload_multiple: float = 1.0
    purge_grace: int = 0
    purge_drop_time: int = 0
    cancel: bool = False
    probes: bool = False
    retry_after_allowed: bool = False
    max_retry_after: int = 0
    max_attempts: int = 1
    second_copies: bool = False
    connect_timeout: int = 0

    def slow_start_rule(self, parent: bool) -> tuple[float, int, float]:
        """Of a cold cache or parent: the part it starts from, how long it warms, what multiple it bears."""
        if parent:
            return self.parent_cold_capacity, self.parent_warm_up_time, self.parent_overload_multiple
        return self.cold_capacity, self.warm_up_time, self.overload_multiple

    @property
    def location_routers(self) -> int:
        """How many routers serve this router's location, itself counted; 1 where that is not told."""
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
    reported_start: int = 0  # Unix microseconds of a late start, as told; tells one start from another
    local_start: int = 0  # the same in local time; 0: `reported_start` is in local time already

    @property
    def start_time(self) -> int:
        """When it started, in local time; 0: it was there at the beginning."""
        return self.local_start or self.reported_start


@dataclass(frozen=True, slots=True)
class ListNews:
    """Discovery tells of servers."""

    kind: ListKind
    entries: tuple[Entry, ...] = ()
    version: int = 0


@dataclass(slots=True)
class Request:
    """A client asks; exactly one final answer is owed."""

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
    hand_over: bool = False  # the client goes to the server itself: it is told one, at once, or refused
    weight: float = 1.0  # requests that it stands for: an answer to a resolver may bring many clients
    inflight_share: float = 1.0  # of a server's room that it may fill: the rest is for those that go first


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """A streamed answer began: the attempt is the client's from here on."""

    id: str
    attempt: int
    server: int
    duration: int = 0


@dataclass(slots=True)
class AttemptEnded:
    """The one outcome of one attempt."""

    id: str
    attempt: int
    server: int
    outcome: Outcome
    duration: int = 0
    request_closed: bool = False
    cache_status: CacheStatus = CacheStatus.NONE
    source_wait: int = 0
    load: dict[str, float] = field(default_factory=dict)
    weight: float = 1.0  # as its request's


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client left; nothing is owed any more."""

    id: str


@dataclass(slots=True)
class TimerDue:
    """A timer that was set has come due."""

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
    """Bytes from another instance."""

    sender: int
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Purge:
    """Copies older than `age` ago are out of date, of one object, or (no object) of a group, or (neither) of all."""

    object: str | None
    group: int | None
    age: int = 0
    timestamp: int = 0  # Unix microseconds of the purge, where copies' births are told too
    queue_delay: int = 0  # microseconds for which it may have waited unread in this process


@dataclass(frozen=True, slots=True)
class Hints:
    """What this location's routers together reported lately, where a control plane tells it: `age` microseconds old."""

    rates: dict[str, float]  # object -> requests a second
    inflight: dict[int, float]  # cache -> attempts that they have out there
    avoid_share: dict[int, float]  # cache -> part of the routers that keep off it
    age: int = 0


@dataclass(frozen=True, slots=True)
class Unsure:
    """Purges may be missing here: those told longer than `age` microseconds ago, at any moment from now on, and those
    told longer than `cutoff_age` microseconds ago now. No copy from before that will do. 0: none of that kind."""

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
    """An attempt that takes only what the server holds."""

    id: str
    server: int
    timeout: int = 0


@dataclass(slots=True)
class Fetch:
    """An attempt that may fill: from where, kept at what rank, and how old a copy will do."""

    id: str
    server: int
    timeout: int
    max_age: int
    source: int
    mode: FillMode
    keep_rank: int
    start_by: int = 0  # the moment from which on it must not begin any more, if it has not by then; 0: none


@dataclass(frozen=True, slots=True)
class HandOver:
    """Final answer: this server; what the client does there holds it for about so long."""

    id: str
    server: int
    expected_time: int


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, a retry does no harm."""

    id: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    id: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a TimerDue."""

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
    """Bytes for one peer, or for all (None)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class FollowList:
    """Subscribe to list changes, or stop."""

    subscribe: bool


@dataclass(frozen=True, slots=True)
class AskList:
    """Ask for the whole list once."""


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
