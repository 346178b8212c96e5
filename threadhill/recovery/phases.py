"""The phases of one proxy: what it may send and trust after a start, a stall or a loss of connection. Free of I/O.

    blank ----------> catching up ----------> warming -------------> full
    nothing known     events may be missing   events are complete    enough is known of the caches
                          ^------------------------+-----------------+     the journal is silent, or the process stalled

Times are the router's microseconds. A phase ends on an observation: a list, the journal's last number, answers. Time
alone ends only one thing, the trust in a list that the journal does not confirm.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

DELIVERY_TIME = 7_000_000  # microseconds after which every event of the journal counts as delivered (PROTOCOL)
SILENCE_LIMIT = 2_000_000  # microseconds without a line from the journal, which sends one a second
STALL_LIMIT = 1_500_000  # microseconds between two checks, made ten a second: the process stalled
MIN_SEEN_SHARE = 0.5  # share of the ready caches that must have been seen before the phase is full
MIN_ANSWERS = 30  # answers that are needed as well: a first estimate of each class
SUFFICIENT_ANSWERS = 300  # answers that suffice by themselves: some caches may never be asked


class Phase(Enum):
    BLANK = "blank"
    CATCHING_UP = "catching up"
    WARMING = "warming"
    FULL = "full"


class StaleListPolicy(Enum):
    """What happens once the list has been unconfirmed for longer than it is trusted."""

    REFUSE = "refuse"  # safety first: nothing is sent to servers that may have drained
    SERVE = "serve"  # availability first: the last known list is used, with a bound on the age of copies


@dataclass(frozen=True, slots=True)
class PhasePolicy:
    """How long an unconfirmed list is trusted, and the bound on copy age that replaces purges that may be missing."""

    trust_time: int = DELIVERY_TIME
    purge_slack: int = 500_000  # microseconds that the rules allow a purge to take; a younger one need not be applied
    when_stale: StaleListPolicy = StaleListPolicy.REFUSE


@dataclass(frozen=True, slots=True)
class Permissions:
    """What is allowed at one moment."""

    send: bool  # requests, retries and fills to servers of the list
    max_copy_age: int = 0  # microseconds; 0: as the request class says
    learn: bool = True  # whether what other proxies learned is useful


@dataclass(frozen=True, slots=True)
class Change:
    """A change of phase, for the log."""

    old: Phase
    new: Phase
    cause: str
    duration: int  # microseconds in the old phase


class PhaseTracker:
    """The phase of one proxy. `confirmed_at`: when the list it starts with was current; None if unknown."""

    def __init__(self, policy: PhasePolicy, now: int, confirmed_at: int | None = None) -> None:
        self.policy = policy
        self.phase, self.since, self.cause = Phase.BLANK, now, "start"
        self.confirmed_at = confirmed_at  # all events up to this time are applied
        self.ready: frozenset[int] = frozenset()  # caches that the list names ready
        self.seen: set[int] = set()
        self.answers = 0
        self.silence_limit = min(SILENCE_LIMIT, policy.trust_time)
        self.awaiting_reconnect = False  # the process stalled: what its open connections deliver may be outdated
        self.warmed_up = False  # the phase was full before, and what was learned is kept
        self.changes: list[Change] = []  # not logged yet
        self._now = now

    def _enter(self, phase: Phase, cause: str) -> None:
        if phase is not self.phase:
            self.changes.append(Change(self.phase, phase, cause, self._now - self.since))
            self.phase, self.since, self.cause = phase, self._now, cause

    def _advance_clock(self, now: int) -> None:
        """Takes the time of an observation. A long gap means that the process stalled: what its open connections
        deliver may be that old, so it counts only after a reconnect."""
        stalled_for, self._now = now - self._now, max(self._now, now)
        if stalled_for > STALL_LIMIT:
            self.awaiting_reconnect = True
            if self.phase is not Phase.BLANK:
                self._enter(Phase.CATCHING_UP, f"this process was stopped for {stalled_for / 1e6:.1f} s")

    # --- observations

    def connected(self, now: int) -> None:
        """A new connection to the journal is established."""
        self._advance_clock(now)
        self.awaiting_reconnect = False

    def list_changed(self, now: int, ready: frozenset[int]) -> None:
        """The list changed. An empty list counts too, once the journal has confirmed it."""
        self._advance_clock(now)
        self.ready = ready
        self.seen &= ready
        if self.phase is Phase.BLANK and ready:
            self._enter(Phase.CATCHING_UP, f"a list of {len(ready)} caches")
        self._check_warm()

    def number_received(self, now: int, applied: int, last: int) -> None:
        """The journal sent its last number; `applied` is the last one applied here."""
        self._advance_clock(now)
        if self.awaiting_reconnect:
            return
        if last > applied:
            self.fell_behind(now, f"the last number is {last}, {applied} is applied")
            return
        if last < applied:
            self.fell_behind(now, f"numbers went back from {applied} to {last}")
            return
        self.confirmed_at = self._now
        if self.phase in (Phase.BLANK, Phase.CATCHING_UP):
            self._enter(Phase.FULL if self.warmed_up else Phase.WARMING, f"caught up with number {last}")
            self._check_warm()

    def fell_behind(self, now: int, cause: str) -> None:
        """Events are known to be missing."""
        self._advance_clock(now)
        if self.phase is not Phase.BLANK:
            self._enter(Phase.CATCHING_UP, cause)

    def attempt_ended(self, now: int, server: int, served: bool) -> None:
        """An attempt at this server ended, served or not: the server counts as seen."""
        self._advance_clock(now)
        self.answers += served
        if server in self.ready:
            self.seen.add(server)
        self._check_warm()

    def tick(self, now: int) -> None:
        """Time passes. If the journal is silent, events may be missing."""
        self._advance_clock(now)
        if self.phase in (Phase.WARMING, Phase.FULL) and self._now - (self.confirmed_at or 0) > self.silence_limit:
            self._enter(
                Phase.CATCHING_UP,
                f"the journal has been silent for {(self._now - (self.confirmed_at or 0)) / 1e6:.1f} s",
            )

    def _check_warm(self) -> None:
        if self.phase is not Phase.WARMING:
            return
        enough = self.answers >= MIN_ANSWERS and len(self.seen) >= MIN_SEEN_SHARE * len(self.ready)
        if enough or self.answers >= SUFFICIENT_ANSWERS:
            self.warmed_up = True
            self._enter(Phase.FULL, f"{self.answers} answers, {len(self.seen)} of {len(self.ready)} caches seen")

    # --- permissions

    def is_trusted(self, now: int) -> bool:
        """Whether the list is recent enough to include every event that counts as delivered."""
        return self.confirmed_at is not None and now - self.confirmed_at <= self.policy.trust_time

    def permissions(self, now: int) -> Permissions:
        if self.phase is Phase.BLANK:
            return Permissions(False)
        missing = now - self.confirmed_at if self.confirmed_at is not None else self.policy.trust_time + 1
        if missing <= min(self.silence_limit, self.policy.purge_slack) or (
            missing <= self.silence_limit and self.phase is not Phase.CATCHING_UP
        ):
            return Permissions(True, learn=self.phase is not Phase.FULL)
        send = self.is_trusted(now) or self.policy.when_stale is StaleListPolicy.SERVE
        return Permissions(send, max(1, self.policy.purge_slack))


@dataclass(slots=True)
class FleetPhaseSummary:
    """The reported phases of all proxies: whether the fleet is in full service, and since when."""

    recovered_share: float = 0.95
    down_since: int | None = None
    recovered_at: int | None = None
    by_phase: dict[str, int] = field(default_factory=dict)

    def update(self, now: int, phases: list[str | None], silent: int) -> str | None:
        """`phases` of the live proxies (None: not reported, counts as full) and the number of silent ones. Returns a
        line for the log if the fleet went down or came back. Times may be in any unit."""
        known = [phase or Phase.FULL.value for phase in phases]
        self.by_phase = {phase.value: known.count(phase.value) for phase in Phase}
        count = len(known) + silent
        share = self.by_phase[Phase.FULL.value] / count if count else 1.0
        if share < self.recovered_share and self.down_since is None:
            self.down_since, self.recovered_at = now, None
            return f"the fleet is not in full service: {self.by_phase[Phase.FULL.value]} of {count} proxies are"
        if share >= self.recovered_share and self.down_since is not None and count:
            took, self.down_since, self.recovered_at = now - self.down_since, None, now
            return (
                f"the fleet is back: {self.by_phase[Phase.FULL.value]} of {count} proxies in full service after {took}"
            )
        return None
