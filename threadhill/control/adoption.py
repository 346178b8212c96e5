"""A control plane that finds that proxies know newer news than its store: it tells nothing, until an operator decides.

Where the store was put back from an older snapshot, was lost or came up empty, its world is an older one: told to
proxies it would put back what was drained, and remove what was added. So it is held: nothing is published, nothing
applied, no file written. Meanwhile each proxy is asked what it holds, and what follows from that is shown
(recovery/adopt.py).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from threadhill.control.ledger import Ledger, Refused
from threadhill.control.store import Change
from threadhill.plans.rules import Phase, Record
from threadhill.recovery import adopt
from threadhill.recovery.adopt import Held, Proposal
from threadhill.settings import Malformed

MOST = 10_000  # proxies whose worlds are remembered


class Adoption:
    """Whether the ledger is held, and what its proxies say that they hold."""

    def __init__(self, ledger: Ledger, log: Callable[..., None]) -> None:
        self.ledger, self.log = ledger, log
        self.held: dict[str, Held] = {}
        self.seen = 0  # the greatest number that any proxy named
        self.why = ""
        self.since = 0

    @property
    def on(self) -> bool:
        return bool(self.why)

    def hold(self, why: str, now: int) -> None:
        """Tell nothing from now on."""
        if not self.why:
            self.why, self.since = why, now
            self.ledger.hold_reason = why
            self.log(
                "held",
                why=why,
                pos=self.ledger.pos,
                advice="see `threadhill recovery status`, then `threadhill recovery adopt`",
            )

    def named(self, number: int, now: int) -> bool:
        """A proxy named the last number that it applied; whether this store knows that number."""
        self.seen = max(self.seen, number)
        if number > self.ledger.newest_event:
            self.hold(f"a proxy applied number {number}, and the newest event here is {self.ledger.newest_event}", now)
        return not self.on

    def said(self, raw: Any) -> None:
        """A part of what a proxy holds. Raises Malformed where it is none."""
        if len(self.held) >= MOST and raw.get("proxy") not in self.held:
            raise Malformed("too many proxies say what they hold")
        self.seen = max(self.seen, adopt.take(self.held, raw).pos)

    def proposal(self) -> Proposal:
        records = {
            id: {"kind": r.kind, "name": r.name, "attrs": r.attrs, "phase": r.phase.value, "since": r.since}
            for id, r in self.ledger.fleet.records.items()
        }
        return adopt.propose(
            self.held.values(),
            records,
            self.ledger.pos,
            self.seen,
            f"version {self.ledger.meta['version']}, number {self.ledger.newest_event}",
        )

    def status(self) -> dict[str, Any]:
        told: dict[str, Any] = {"held": self.why, "since": self.since, "seen": self.seen}
        if self.on:
            told["proposal"] = self.proposal().document()
        return told

    def settle(self, digest: str, now: int) -> Proposal:
        """Take the proposal that was shown, no other; numbers go on behind all that any proxy has seen."""
        proposal = self._decided(digest)
        records, found = [], set()
        for finding in proposal.findings:
            if finding.record is not None:
                r = finding.record
                pos = 0 if r["phase"] not in (Phase.DRAINING.value, Phase.TELLING.value) else proposal.pos
                records.append(Record(r["kind"], r["name"], r["attrs"], Phase(r["phase"]), r["since"], pos, now))
                found.add(finding.id)
        dropped = [id for id in self.ledger.fleet.records if id not in found]
        self._go_on(proposal.pos, Change(records=records, dropped=dropped))
        return proposal

    def as_recorded(self, digest: str, now: int) -> Proposal:
        """Take what the store holds as it is: the operator says that it is the truth, and what proxies hold is not."""
        proposal = self._decided(digest)
        records = self.ledger.fleet.records.values()  # who drains is waited for anew
        self._go_on(
            proposal.pos,
            Change(records=[replace(r, pos=proposal.pos, at=now) for r in records if r.phase is Phase.DRAINING]),
        )
        return proposal

    def _decided(self, digest: str) -> Proposal:
        if not self.on:
            raise Refused("not-held", "nothing is held: there is nothing to decide")
        proposal = self.proposal()
        if digest != proposal.digest():
            raise Refused(
                "conflict",
                "more has become known since that proposal was shown: look at it again",
                digest=proposal.digest(),
            )
        return proposal

    def _go_on(self, pos: int, change: Change) -> None:
        self.ledger.adopt(pos, change)
        self.held.clear()
        self.log("held no more", was=self.why, pos=pos)
        self.why, self.ledger.hold_reason = "", ""
        self.ledger.on_publish()
