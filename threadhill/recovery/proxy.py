"""Where the phases of one proxy plug in: as a gate between core and servers, at the journal client, on the disk."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from threadhill.core.engine import Engine
from threadhill.decision import interface as api
from threadhill.ownership.feeds import Fence
from threadhill.recovery import learned, saved
from threadhill.recovery.numbers import DepartedServers, NumberCheck, compare_numbers
from threadhill.recovery.phases import Permissions, Phase, PhasePolicy, PhaseTracker, StaleListPolicy
from threadhill.recovery.statefile import StateFile
from threadhill.settings import Malformed, mapping, required_integer

TURN = 100_000  # microseconds between looks at the phases
COME_BACK = 250_000  # microseconds for which a refused client is sent away while this proxy catches up, by chance half
PER_DIAL = 5_000  # microseconds of spread of first dials to the journal a proxy: 20 a tenth of a second
LEARNED_EVERY = 10  # reports from one that tells what was learned to the next
LEARNED_TOLD = 100, 64  # servers and objects that one tells
DIALS_MOST = 2_000_000  # and at most, however many there are


class Service(Protocol):
    """The journal client, as this sees it."""

    pos: int  # the last number applied

    def reconnect(self) -> None:
        """Leave the connection for a new one."""
        ...

    def number(self, name: str) -> int:
        """A server's id as the module's number."""
        ...


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """What the operator's file says. Times in microseconds."""

    trust: int = 7_000_000
    blind: StaleListPolicy = StaleListPolicy.REFUSE
    state: Path | None = None  # the folder of the state file; None: nothing is kept
    every: int = 5_000_000
    learn: bool = True


class Recovery:
    """One proxy's. As the engine's gate it says what may be sent; as the journal's, it hears of each line."""

    def __init__(
        self,
        engine: Engine,
        config: RecoveryConfig,
        name: str,
        seed: int,
        known_at: int | None,
        log: Callable[[str], None],
        journal: Service,
    ) -> None:
        self.engine, self.config, self.log, self.journal = engine, config, log, journal
        settings = engine.router.settings
        self.random = random.Random(seed ^ 0x5EED)
        self.phases = PhaseTracker(
            PhasePolicy(config.trust, settings.purge_grace or 500_000, config.blind), engine.clock.now(), known_at
        )
        self.departed, self.fence = DepartedServers(), Fence()
        self.file = StateFile(config.state, name, saved.installation(settings, name), log) if config.state else None
        self._oldest = 0
        self._until = 0  # until when all may be sent without another look: each request asks three times
        self._primed = self._left = False  # it took what others learned; it left the journal after it was stopped
        self._reports = self.random.randrange(LEARNED_EVERY)
        engine.recovery_gate = self
        engine.on_attempt_outcome = self.ended
        engine.deadlines.add(engine.clock.now() + TURN, self._turn)
        if self.file is not None:
            engine.deadlines.add(engine.clock.now() + config.every, self._periodic_save)

    # --- the engine's gate

    def retry_after(self, now: int) -> int | None:
        """None: requests go on. Else all are refused, to come back after so many microseconds."""
        if now < self._until:
            return None
        allows = self._allowed(now)
        if allows.send:
            return None
        self.engine.stats.count("recovery", f"refused while {self.phases.phase.value}")
        return int(COME_BACK * (1 - self.random.random() / 2)) * self.engine.router.settings.retry_after_allowed

    def may_send(self, now: int) -> bool:
        """Whether an attempt may be written now, as the module has just decided on it."""
        if now < self._until:
            return True
        before = self._oldest
        return self._allowed(now).send and (not self._oldest or self._oldest == before)  # else it decides anew

    def _allowed(self, now: int) -> Permissions:
        self._slept(now)
        allows = self.phases.permissions(now)
        if allows.max_copy_age != self._oldest:
            self._oldest = allows.max_copy_age
            self.engine.purges_uncertain(allows.max_copy_age)
        free = allows.send and not allows.max_copy_age and self.phases.phase is not Phase.CATCHING_UP
        self._until = now + 2 * TURN if free else 0
        return allows

    def ended(self, server: int, served: bool) -> None:
        if self.phases.phase is Phase.WARMING:
            self.phases.attempt_ended(self.engine.clock.now(), server, served)

    # --- time

    def _slept(self, now: int) -> None:
        self.phases.tick(now)
        if self.phases.awaiting_reconnect and not self._left:
            self._left = True
            self.engine.stats.count("recovery", "was stopped")
            # What waits on the old connection is as old as the sleep: only a new connection brings current events.
            self.journal.reconnect()

    def _turn(self) -> None:
        now = self.engine.clock.now()
        self._allowed(now)
        self._tell()
        self.engine.deadlines.add(now + TURN, self._turn)

    def _tell(self) -> None:
        for change in self.phases.changes:
            self.engine.stats.count("phase", change.new.value)
            self.log(
                f"phase: {change.old.value} -> {change.new.value} after {change.duration / 1e6:.2f} s: "
                f"{change.cause}"
            )
        self.phases.changes.clear()

    # --- the journal's side

    def first_dial_delay(self, instances: int) -> int:
        """How long to wait before the first dial, by the seed: what all restart at once must not dial at once."""
        return int(self.random.random() * min(DIALS_MOST, instances * PER_DIAL))

    def screen(self, entries: tuple[api.Entry, ...]) -> tuple[api.Entry, ...]:
        """List entries as they are to be applied; what drains is remembered."""
        told = self.departed.screen(entries)
        self.departed.record(told)
        return told

    def connected(self) -> None:
        """A new connection to the journal is up."""
        self._left = False
        self.phases.connected(self.engine.clock.now())

    def list_applied(self) -> None:
        """A list was applied."""
        fleet = self.engine.router.fleet
        self.phases.list_changed(self.engine.clock.now(), frozenset(s.entry.server for s in fleet.caches))

    def is_rollback(self, applied: int, last: int) -> bool:
        """The service told its last number; whether it is an older or another world's, to be asked for whole."""
        return self.heard(applied, last) in (NumberCheck.BACK, NumberCheck.FAR)

    def heard(self, applied: int, last: int) -> NumberCheck:
        """The service told its last number."""
        verdict = compare_numbers(applied, last)
        if verdict in (NumberCheck.BACK, NumberCheck.FAR):
            self.departed.begin_rollback(applied)
            self.engine.stats.count("journal", "numbers " + ("went back" if verdict is NumberCheck.BACK else "jumped"))
            self.log(
                f"journal: its last number is {last} and {applied} was applied here: an older or another service; "
                f"all of it is asked for, and {len(self.departed.starts)} servers that drained or went stay out until "
                "they are told as started anew"
            )
            self.phases.fell_behind(self.engine.clock.now(), f"numbers from {applied} to {last}")
            self._until = 0
            return verdict
        if verdict is NumberCheck.SAME:
            back = self.departed.reached(applied)
            if back:
                self.engine.list_changed(api.ListNews(api.ListKind.CHANGES, back))
                self.list_applied()
            if self.departed.withheld and self.phases.phase is Phase.CATCHING_UP:
                self.log(
                    f"journal: {len(self.departed.withheld)} servers stay out that this older list names: "
                    f"{', '.join(f's-{n:08x}' for n in sorted(self.departed.withheld)[:8])}"
                )
        self.phases.number_received(self.engine.clock.now(), applied, last)
        if self.phases.phase is Phase.CATCHING_UP:
            self._until = 0
        return verdict

    def event_applied(self, purge_age: int | None) -> None:
        """An event was applied; `purge_age`: of a purge, how long ago it was. One that is new shows that what waited is
        here: while events come all the time, the service tells no number."""
        live = purge_age is not None and purge_age < self.phases.policy.purge_slack
        if live or self.phases.phase in (Phase.WARMING, Phase.FULL):
            self.heard(self.journal.pos, self.journal.pos)

    def report(self) -> dict[str, Any]:
        """What the control plane is told of this proxy's phase, and of what it learned."""
        told: dict[str, Any] = {
            "phase": self.phases.phase.value,
            "cause": self.phases.cause,
            "for_ms": (self.engine.clock.now() - self.phases.since) // 1_000,
        }
        self._reports += 1
        if self.config.learn and self.phases.phase is Phase.FULL and self._reports % LEARNED_EVERY == 0:
            told["learned"] = learned.gather(self.engine.router, self.engine.clock.now(), *LEARNED_TOLD)
        return told

    def import_learned(self, raw: Any) -> None:
        """What running proxies learned, over the feed. Only one that is not warm takes it, and once."""
        try:
            raw = mapping(raw, "what was learned")
            known, age = learned.check(raw.get("known")), required_integer(raw.get("age"), "its age") * 1_000
        except Malformed as error:
            self.engine.stats.count("malformed", "learned")
            self.log(f"journal: {error}")
            return
        if self.config.learn and not self._primed and self.phases.phase is not Phase.FULL:
            self._primed = True
            taken = learned.prime(self.engine.router, known, age, self.engine.clock.now())
            self.engine.stats.count("recovery", "learned from others")
            self.log(f"learned: {taken} servers and {len(known['objects'])} objects from others, {age / 1e6:.1f} s old")

    # --- the disk's

    def restore_state(self, pos: int) -> None:
        """After the first list: what an earlier process of this proxy knew."""
        kept = self.file.read(self.engine.clock.unix_now()) if self.file is not None else None
        if kept is None:
            return
        now, unix = self.engine.clock.now(), self.engine.clock.unix_now()
        cordons = [
            name for name in kept.cordons if self.engine.cordon(self.journal.number(name), name, allow_unlisted=True)
        ]
        taken, older = saved.restore(kept, self.engine.router, self.departed, pos, now)
        self._primed = taken > 0
        self.fence.admits(kept.term)
        if older:  # the configuration is of before what this proxy was told already
            self.phases.confirmed_at = None
            stale = [
                e
                for e in self.engine.cordons.entries.values()
                if e.state is api.State.READY
                and e.server in self.departed.starts
                and e.reported_start <= self.departed.starts[e.server]
            ]
            if stale:
                self.engine.list_changed(api.ListNews(api.ListKind.CHANGES, self.departed.screen(tuple(stale))))
        late = f"; it knows number {kept.pos}, the configuration {pos}: nothing is sent before the journal is heard"
        self.log(
            f"state: {self.file.path}: {(unix - kept.at) / 1e6:.1f} s old: {taken} servers, {len(kept.purges)} "
            f"purges, {len(kept.out)} that drained, {len(cordons)} cordons{late if older else ''}"
        )

    def _periodic_save(self) -> None:
        self.save_state()
        self.engine.deadlines.add(self.engine.clock.now() + self.config.every, self._periodic_save)

    def save_state(self) -> None:
        """Write the state file now, unless what is known is less than what it holds."""
        if self.file is None or self.phases.phase in (Phase.BLANK, Phase.CATCHING_UP):
            return
        cordons = sorted(self.engine.cordons.cordoned.values())
        unix = self.engine.clock.unix_now()
        body = saved.content(
            self.engine.router, self.departed, self.journal.pos, cordons, self.engine.clock.now(), self.fence.term, unix
        )
        try:
            done = self.file.write(saved.pack(body, self.file.whose, unix))
        except ValueError as error:
            self.log(f"state: {self.file.path}: not written: {error}")
            done = False
        self.engine.stats.count("state", "written" if done else "not written")
