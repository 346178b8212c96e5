"""Recovery in one proxy: connects the phases to the engine, the journal client and the state file."""

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

CHECK_INTERVAL = 100_000  # microseconds between two checks of the phase
MAX_RETRY_DELAY = 250_000  # microseconds that a client refused while catching up is told to wait: half to all of it
DIAL_SPREAD = 5_000  # microseconds per proxy over which first dials to the journal spread: 20 in 0.1 s
LEARNED_EVERY = 10  # what was learned is part of one report in so many
LEARNED_LIMITS = 100, 64  # servers and objects in such a report
MAX_DIAL_DELAY = 2_000_000  # microseconds, however many proxies there are


class JournalClient(Protocol):
    """What recovery needs of the journal client."""

    pos: int  # the last number applied

    def reconnect(self) -> None:
        """Drops the connection and opens a new one."""
        ...

    def number(self, name: str) -> int:
        """The decision module's number of a server id."""
        ...


@dataclass(frozen=True, slots=True)
class RecoveryConfig:
    """The `recovery` table of the operator's file. Times in microseconds."""

    trust_time: int = 7_000_000
    when_stale: StaleListPolicy = StaleListPolicy.REFUSE
    state_folder: Path | None = None  # None: no state file
    save_interval: int = 5_000_000
    learn: bool = True


class Recovery:
    """The recovery of one proxy: the engine asks it what may be sent, the journal client reports what it receives."""

    def __init__(
        self,
        engine: Engine,
        config: RecoveryConfig,
        name: str,
        seed: int,
        confirmed_at: int | None,
        log: Callable[[str], None],
        journal: JournalClient,
    ) -> None:
        self.engine, self.config, self.log, self.journal = engine, config, log, journal
        settings = engine.router.settings
        self.random = random.Random(seed ^ 0x5EED)
        self.phases = PhaseTracker(
            PhasePolicy(config.trust_time, settings.purge_grace or 500_000, config.when_stale),
            engine.clock.now(),
            confirmed_at,
        )
        self.departed, self.fence = DepartedServers(), Fence()
        self.file = (
            StateFile(config.state_folder, name, saved.installation_of(settings, name), log)
            if config.state_folder
            else None
        )
        self._max_copy_age = 0
        self._unrestricted_until = 0  # no checks are needed until then: each request would make three
        self._has_learned = self._reconnecting = False  # learned state was imported; a new connection was asked for
        self._report_count = self.random.randrange(LEARNED_EVERY)
        engine.recovery_gate = self
        engine.on_attempt_outcome = self.attempt_ended
        engine.deadlines.add(engine.clock.now() + CHECK_INTERVAL, self._tick)
        if self.file is not None:
            engine.deadlines.add(engine.clock.now() + config.save_interval, self._periodic_save)

    # --- the RecoveryGate port

    def retry_after(self, now: int) -> int | None:
        """None: requests go on. Otherwise all are refused, to come back after so many microseconds."""
        if now < self._unrestricted_until:
            return None
        permissions = self._check(now)
        if permissions.send:
            return None
        self.engine.stats.count("recovery", f"refused while {self.phases.phase.value}")
        return int(MAX_RETRY_DELAY * (1 - self.random.random() / 2)) * self.engine.router.settings.retry_after_allowed

    def may_send(self, now: int) -> bool:
        """Whether an attempt that the module has just decided on may be written now."""
        if now < self._unrestricted_until:
            return True
        before = self._max_copy_age
        return self._check(now).send and (
            not self._max_copy_age or self._max_copy_age == before
        )  # otherwise the module decides again

    def _check(self, now: int) -> Permissions:
        self._detect_stall(now)
        permissions = self.phases.permissions(now)
        if permissions.max_copy_age != self._max_copy_age:
            self._max_copy_age = permissions.max_copy_age
            self.engine.purges_uncertain(permissions.max_copy_age)
        free = permissions.send and not permissions.max_copy_age and self.phases.phase is not Phase.CATCHING_UP
        self._unrestricted_until = now + 2 * CHECK_INTERVAL if free else 0
        return permissions

    def attempt_ended(self, server: int, served: bool) -> None:
        if self.phases.phase is Phase.WARMING:
            self.phases.attempt_ended(self.engine.clock.now(), server, served)

    # --- time

    def _detect_stall(self, now: int) -> None:
        self.phases.tick(now)
        if self.phases.awaiting_reconnect and not self._reconnecting:
            self._reconnecting = True
            self.engine.stats.count("recovery", "was stopped")
            self.journal.reconnect()  # what waits on the old connection may be as old as the stall

    def _tick(self) -> None:
        now = self.engine.clock.now()
        self._check(now)
        self._log_changes()
        self.engine.deadlines.add(now + CHECK_INTERVAL, self._tick)

    def _log_changes(self) -> None:
        for change in self.phases.changes:
            self.engine.stats.count("phase", change.new.value)
            self.log(
                f"phase: {change.old.value} -> {change.new.value} after {change.duration / 1e6:.2f} s: "
                f"{change.cause}"
            )
        self.phases.changes.clear()

    # --- the journal client

    def first_dial_delay(self, instances: int) -> int:
        """Microseconds before the first dial, from the seed: proxies that restart together must not dial together."""
        return int(self.random.random() * min(MAX_DIAL_DELAY, instances * DIAL_SPREAD))

    def screen(self, entries: tuple[api.Entry, ...]) -> tuple[api.Entry, ...]:
        """The list entries as they are to be applied; servers that drain are remembered."""
        screened = self.departed.screen(entries)
        self.departed.record(screened)
        return screened

    def connected(self) -> None:
        """A new connection to the journal is established."""
        self._reconnecting = False
        self.phases.connected(self.engine.clock.now())

    def list_applied(self) -> None:
        """A list was applied."""
        fleet = self.engine.router.fleet
        self.phases.list_changed(self.engine.clock.now(), frozenset(s.entry.server for s in fleet.caches))

    def is_rollback(self, applied: int, last: int) -> bool:
        """The service sent its last number; whether it was rolled back or is another one, so that all of its events
        must be requested."""
        return self.number_received(applied, last) in (NumberCheck.BACK, NumberCheck.FAR)

    def number_received(self, applied: int, last: int) -> NumberCheck:
        """The service sent its last number."""
        check = compare_numbers(applied, last)
        if check in (NumberCheck.BACK, NumberCheck.FAR):
            self.departed.begin_rollback(applied)
            self.engine.stats.count("journal", "numbers " + ("went back" if check is NumberCheck.BACK else "jumped"))
            self.log(
                f"journal: its last number is {last} and {applied} was applied here: an older or another service; "
                f"all events are requested again, and {len(self.departed.starts)} servers that drained or were removed "
                "stay out until they are reported with a newer start"
            )
            self.phases.fell_behind(self.engine.clock.now(), f"numbers from {applied} to {last}")
            self._unrestricted_until = 0
            return check
        if check is NumberCheck.SAME:
            restored = self.departed.reached(applied)
            if restored:
                self.engine.list_changed(api.ListNews(api.ListKind.CHANGES, restored))
                self.list_applied()
            if self.departed.withheld and self.phases.phase is Phase.CATCHING_UP:
                self.log(
                    f"journal: {len(self.departed.withheld)} servers in this older list are kept out: "
                    f"{', '.join(f's-{n:08x}' for n in sorted(self.departed.withheld)[:8])}"
                )
        self.phases.number_received(self.engine.clock.now(), applied, last)
        if self.phases.phase is Phase.CATCHING_UP:
            self._unrestricted_until = 0
        return check

    def event_applied(self, purge_age: int | None) -> None:
        """An event was applied; `purge_age`: the age of a purge. A recent one shows that all waiting events are here:
        while events come all the time, the service sends no number."""
        live = purge_age is not None and purge_age < self.phases.policy.purge_slack
        if live or self.phases.phase in (Phase.WARMING, Phase.FULL):
            self.number_received(self.journal.pos, self.journal.pos)

    def report(self) -> dict[str, Any]:
        """The part of the report to the control plane on the phase, and on what was learned."""
        report: dict[str, Any] = {
            "phase": self.phases.phase.value,
            "cause": self.phases.cause,
            "for_ms": (self.engine.clock.now() - self.phases.since) // 1_000,
        }
        self._report_count += 1
        if self.config.learn and self.phases.phase is Phase.FULL and self._report_count % LEARNED_EVERY == 0:
            report["learned"] = learned.gather(self.engine.router, self.engine.clock.now(), *LEARNED_LIMITS)
        return report

    def import_learned(self, raw: Any) -> None:
        """Imports what running proxies learned. Only done once, and only before full service."""
        try:
            raw = mapping(raw, "what was learned")
            known, age = learned.check(raw.get("known")), required_integer(raw.get("age"), "its age") * 1_000
        except Malformed as error:
            self.engine.stats.count("malformed", "learned")
            self.log(f"journal: {error}")
            return
        if self.config.learn and not self._has_learned and self.phases.phase is not Phase.FULL:
            self._has_learned = True
            imported = learned.prime(self.engine.router, known, age, self.engine.clock.now())
            self.engine.stats.count("recovery", "learned from others")
            self.log(
                f"learned: {imported} servers and {len(known['objects'])} objects from others, {age / 1e6:.1f} s old"
            )

    # --- the state file

    def restore_state(self, pos: int) -> None:
        """Called after the first list: restores what an earlier process of this proxy knew."""
        state = self.file.read(self.engine.clock.unix_now()) if self.file is not None else None
        if state is None:
            return
        now, unix_now = self.engine.clock.now(), self.engine.clock.unix_now()
        cordons = [
            name for name in state.cordons if self.engine.cordon(self.journal.number(name), name, allow_unlisted=True)
        ]
        restored, newer = saved.restore(state, self.engine.router, self.departed, pos, now)
        self._has_learned = restored > 0
        self.fence.admits(state.term)
        if newer:  # the configuration is older than what this proxy knew already
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
        note = f"; it knows number {state.pos}, the configuration {pos}: nothing is sent before the journal is heard"
        self.log(
            f"state: {self.file.path}: {(unix_now - state.saved_at) / 1e6:.1f} s old: {restored} servers, "
            f"{len(state.purges)} purges, {len(state.departed)} that drained, {len(cordons)} cordons"
            f"{note if newer else ''}"
        )

    def _periodic_save(self) -> None:
        self.save_state()
        self.engine.deadlines.add(self.engine.clock.now() + self.config.save_interval, self._periodic_save)

    def save_state(self) -> None:
        """Writes the state file, unless less is known than what it holds."""
        if self.file is None or self.phases.phase in (Phase.BLANK, Phase.CATCHING_UP):
            return
        cordons = sorted(self.engine.cordons.cordoned.values())
        unix_now = self.engine.clock.unix_now()
        body = saved.content(
            self.engine.router,
            self.departed,
            self.journal.pos,
            cordons,
            self.engine.clock.now(),
            self.fence.term,
            unix_now,
        )
        try:
            written = self.file.write(saved.pack(body, self.file.installation, unix_now))
        except ValueError as error:
            self.log(f"state: {self.file.path}: not written: {error}")
            written = False
        self.engine.stats.count("state", "written" if written else "not written")
