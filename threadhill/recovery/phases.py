"""The phases of one instance: what it may serve, ask for and trust after a start, a stop or a cut. Free of I/O.

    blank ----------> catching up ----------> warming ----------> full
    nothing known     news may be missing     all news is here    enough was seen of the caches
                          ^------------------------+-----------------+     the journal went silent, or it was stopped

Times are the router's microseconds. A phase ends by what was seen: a list, the journal's last number, answers. Time
alone ends one thing only, the trust in news that nobody confirms.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

TOLD = 7_000_000  # microseconds after which all that the journal service has counts as told (PROTOCOL)
SILENT = 2_000_000  # without a line, which come every second, before news counts as missing
STOPPED = 1_500_000  # without a look, which come ten times a second: what this process holds may be old
SEEN_SHARE = 0.5  # part of the ready caches that must have been seen, answering or failing, to be warm
SEEN_ANSWERS = 30  # answers, too: a first estimate of each class
ANSWERS_ENOUGH = 300  # answers that are enough by themselves: some caches may never be asked


class Phase(Enum):
    BLANK = "blank"
    CATCHING_UP = "catching up"
    WARMING = "warming"
    FULL = "full"


class UntrustedNewsPolicy(Enum):
    """What is done once news has been unconfirmed for longer than it is trusted."""

    REFUSE = "refuse"  # the rules win: nothing is sent to what may have drained
    SERVE = "serve"  # service wins: from what is known, with the bound on age


@dataclass(frozen=True, slots=True)
class PhasePolicy:
    """How long unconfirmed news is trusted, and what stands in for purges that may be missing."""

    trust: int = TOLD
    slack: int = 500_000  # microseconds that the rules leave a purge: what is told later than that is not owed yet
    blind: UntrustedNewsPolicy = UntrustedNewsPolicy.REFUSE


@dataclass(frozen=True, slots=True)
class Permissions:
    """What a phase allows at one moment."""

    send: bool  # requests, retries and fills to servers of the list
    oldest: int = 0  # microseconds: no older copy will do; 0: as the classes have it
    learn: bool = True  # what others say they learned is news here


@dataclass(frozen=True, slots=True)
class Change:
    """One step from phase to phase, for the log."""

    was: Phase
    now: Phase
    cause: str
    lasted: int  # microseconds in the phase before


class PhaseTracker:
    """One instance's. `news_at`: when what it starts with was true, None where that is not known."""

    def __init__(self, policy: PhasePolicy, now: int, news_at: int | None = None) -> None:
        self.policy = policy
        self.phase, self.since, self.cause = Phase.BLANK, now, "start"
        self.news_at = news_at  # until then all news is here
        self.ready: frozenset[int] = frozenset()  # caches that the list names ready
        self.seen: set[int] = set()
        self.answers = 0
        self.silent = min(SILENT, policy.trust)
        self.deaf = False  # it was stopped, and what it hears is from before that
        self.warm = False  # it was full once, and what it learned is kept
        self.changes: list[Change] = []  # not yet taken by whoever logs them
        self._now = now

    def _go(self, phase: Phase, cause: str) -> None:
        if phase is not self.phase:
            self.changes.append(Change(self.phase, phase, cause, self._now - self.since))
            self.phase, self.since, self.cause = phase, self._now, cause

    def _time(self, now: int) -> None:
        """Whatever is seen is seen now. Where nobody looked for long this process was stopped: what it hears on the
        connections that it has is as old as that, so it counts only once there is a new one."""
        slept, self._now = now - self._now, max(self._now, now)
        if slept > STOPPED:
            self.deaf = True
            if self.phase is not Phase.BLANK:
                self._go(Phase.CATCHING_UP, f"this process was stopped for {slept / 1e6:.1f} s")

    # --- what is seen

    def connected(self, now: int) -> None:
        """A new connection to the journal is up."""
        self._time(now)
        self.deaf = False

    def listed(self, now: int, ready: frozenset[int]) -> None:
        """The list changed. One that is empty is a list too, once the journal has confirmed it."""
        self._time(now)
        self.ready = ready
        self.seen &= ready
        if self.phase is Phase.BLANK and ready:
            self._go(Phase.CATCHING_UP, f"a list of {len(ready)} caches")
        self._settle()

    def heard(self, now: int, applied: int, last: int) -> None:
        """The journal told its last number, and `applied` is the last one here: all news until now, or not."""
        self._time(now)
        if self.deaf:
            return
        if last > applied:
            self.behind(now, f"number {last} is told, {applied} applied")
            return
        if last < applied:
            self.behind(now, f"numbers went back from {applied} to {last}")
            return
        self.news_at = self._now
        if self.phase in (Phase.BLANK, Phase.CATCHING_UP):
            self._go(Phase.FULL if self.warm else Phase.WARMING, f"caught up with number {last}")
            self._settle()

    def behind(self, now: int, cause: str) -> None:
        """News is known to be missing."""
        self._time(now)
        if self.phase is not Phase.BLANK:
            self._go(Phase.CATCHING_UP, cause)

    def answered(self, now: int, server: int, served: bool) -> None:
        """An attempt there ended, one way or the other: something is known of it."""
        self._time(now)
        self.answers += served
        if server in self.ready:
            self.seen.add(server)
        self._settle()

    def turn(self, now: int) -> None:
        """Time passes. Silence of the journal makes news doubtful."""
        self._time(now)
        if self.phase in (Phase.WARMING, Phase.FULL) and self._now - (self.news_at or 0) > self.silent:
            self._go(Phase.CATCHING_UP, f"no news for {(self._now - (self.news_at or 0)) / 1e6:.1f} s")

    def _settle(self) -> None:
        if self.phase is not Phase.WARMING:
            return
        enough = self.answers >= SEEN_ANSWERS and len(self.seen) >= SEEN_SHARE * len(self.ready)
        if enough or self.answers >= ANSWERS_ENOUGH:
            self.warm = True
            self._go(Phase.FULL, f"{self.answers} answers, {len(self.seen)} of {len(self.ready)} caches seen")

    # --- what is allowed

    def trusted(self, now: int) -> bool:
        """Whether what is known can't miss anything that counts as told."""
        return self.news_at is not None and now - self.news_at <= self.policy.trust

    def allows(self, now: int) -> Permissions:
        if self.phase is Phase.BLANK:
            return Permissions(False)
        missing = now - self.news_at if self.news_at is not None else self.policy.trust + 1
        if missing <= min(self.silent, self.policy.slack) or (
            missing <= self.silent and self.phase is not Phase.CATCHING_UP
        ):
            return Permissions(True, learn=self.phase is not Phase.FULL)
        send = self.trusted(now) or self.policy.blind is UntrustedNewsPolicy.SERVE
        return Permissions(send, max(1, self.policy.slack))


@dataclass(slots=True)
class FleetPhaseSummary:
    """What all instances report of themselves, summed: when the fleet is down, and when it is back."""

    back_share: float = 0.95
    down_since: int | None = None
    back_at: int | None = None
    by_phase: dict[str, int] = field(default_factory=dict)

    def update(self, now: int, phases: list[str | None], silent: int) -> str | None:
        """Phases of the live ones (None: it doesn't say, and counts as full) and how many are silent; a line where the
        fleet went down or came back. Times in any one unit."""
        known = [phase or Phase.FULL.value for phase in phases]
        self.by_phase = {phase.value: known.count(phase.value) for phase in Phase}
        of = len(known) + silent
        share = self.by_phase[Phase.FULL.value] / of if of else 1.0
        if share < self.back_share and self.down_since is None:
            self.down_since, self.back_at = now, None
            return f"the fleet is not in full service: {self.by_phase[Phase.FULL.value]} of {of} proxies are"
        if share >= self.back_share and self.down_since is not None and of:
            took, self.down_since, self.back_at = now - self.down_since, None, now
            return f"the fleet is back: {self.by_phase[Phase.FULL.value]} of {of} proxies in full service after {took}"
        return None
