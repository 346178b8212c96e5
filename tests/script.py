"""A router under a fake clock, driven by scripted events: shared by the tests of the decision module and simhost."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from threadhill.decision import interface as api
from threadhill.decision.choice import Router

MS = 1_000
SECOND = 1_000_000
READS = api.RequestClass("reads", latency_target=400 * MS, latency_target_stretch=2.0, deadline=6 * SECOND)
PARTS = replace(READS, name="parts", in_parts=True)
PAGES = replace(READS, name="pages", freshness_lifetime=12 * SECOND, max_stale=10 * SECOND)
UNSAFE = api.RequestClass(
    "orders", retry_safety=api.RetrySafety.UNSAFE, latency_target=700 * MS, deadline=3 * SECOND, write=True
)
KEYED = replace(UNSAFE, name="reports", retry_safety=api.RetrySafety.KEYED, dedup_window=3 * SECOND)
CLASSES = {cls.name: cls for cls in (READS, PARTS, PAGES, UNSAFE, KEYED)}
SETTINGS = api.Settings(
    classes=CLASSES,
    zone="here",
    zones=("hub", "here", "there"),
    zone_routers=(0, 1, 1),
    routers=2,
    parent_kind="parent",
    origin_kind="origin",
    client_kb_per_s=8000.0,
    tick=2 * MS,
    direct_to_origin=True,
    coalesces_fills=True,
    cache_status_detail=api.CacheStatusDetail.ALL,
    answer_slack=8 * MS,
    drain_grace=SECOND,
    cold_capacity=0.25,
    warm_up_time=16 * SECOND,
    overload_multiple=2.0,
    overload_window=2 * SECOND,
    parent_cold_capacity=0.07,
    parent_warm_up_time=20 * SECOND,
    parent_overload_multiple=2.0,
    purge_grace=500 * MS,
    purge_drop_time=6 * SECOND,
    cancel=True,
    retry_after_allowed=True,
    max_retry_after=SECOND,
    max_attempts=8,
)
CACHES = (11, 12, 13, 14)
PARENTS = (21, 22)
ORIGIN = 31


def cache(number: int, **changes: object) -> api.Entry:
    return replace(api.Entry(number, zone="here", kind="box", cell=1), **changes)


def parent(number: int, **changes: object) -> api.Entry:
    return replace(api.Entry(number, zone="hub", kind="parent", cell=9), **changes)


def origin() -> api.Entry:
    return api.Entry(ORIGIN, zone="hub", kind="origin", cell=8)


def fleet(caches: Iterable[int] = CACHES, parents: Iterable[int] = PARENTS) -> list[api.Entry]:
    return [*map(cache, caches), *map(parent, parents), origin()]


class Script:
    """One router with a clock that only the script advances."""

    def __init__(
        self,
        settings: api.Settings = SETTINGS,
        entries: list[api.Entry] | None = None,
        seed: int = 7,
        now: int = 1000 * SECOND,
    ) -> None:
        self.now = now
        self.router = Router(settings, seed)
        self.started = self.router.start(now)
        self.asked = 0
        self.list(fleet() if entries is None else entries, api.ListKind.STALE)

    def wait(self, time: int) -> None:
        self.now += time

    def handle(self, event: api.Event) -> list[api.Action]:
        return self.router.handle(self.now, event)

    def list(self, entries: list[api.Entry], kind: api.ListKind = api.ListKind.CHANGES) -> list[api.Action]:
        return self.handle(api.ListNews(kind, tuple(entries)))

    def ask(self, name: str = "a", cls: str = "reads", **more: object) -> list[api.Action]:
        """Send a new request; returns its actions except the deadline timer."""
        self.asked += 1
        left = more.pop("time_left", CLASSES[cls].deadline)
        event = api.Request(f"q{self.asked}", cls, name, left, **more)
        return [a for a in self.handle(event) if not isinstance(a, api.SetTimer)]

    def end(
        self, sent: api.Fetch, outcome: api.Outcome = api.Outcome.SERVED, attempt: int = 0, **more: object
    ) -> list[api.Action]:
        more.setdefault("request_closed", outcome is api.Outcome.SERVED)
        more.setdefault("duration", 50 * MS)
        return self.handle(api.AttemptEnded(sent.id, attempt, sent.server, outcome, **more))

    def serve(self, name: str = "a", cls: str = "reads", **more: object) -> api.Fetch:
        """Send a request and let its attempt succeed at once."""
        (sent,) = self.ask(name, cls, **more)
        assert isinstance(sent, api.Fetch)
        self.end(sent)
        return sent

    def servers_used(self, name: str, requests: int) -> set[int]:
        """The servers that get this many simultaneous requests for an object."""
        return {self.serve(name).server for _ in range(requests)}

    def send_steadily(self, name: str, seconds: int, rate: int) -> None:
        """Send requests for one object for some seconds, at `rate` requests per second."""
        for _ in range(seconds * rate):
            self.serve(name)
            self.wait(SECOND // rate)
