"""Holds back the state of a control plane whose proxies know newer events than its store, until an operator decides.

If the store was restored from an older snapshot, was lost or came up empty, its state is out of date: published to
proxies, it would bring back servers that were drained and remove servers that were added. So the ledger is on hold:
nothing is published or applied, and no file is written. Meanwhile each proxy is asked what it holds, and the state
proposed from the answers is shown to the operator (recovery/adopt.py).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from threadhill.control.ledger import Ledger, Refused
from threadhill.control.store import Change
from threadhill.plans.rules import Phase, Record
from threadhill.recovery import adopt
from threadhill.recovery.adopt import Proposal, ProxyView
from threadhill.settings import Malformed

MAX_PROXIES = 10_000  # proxies whose reported states are kept


class AdoptionHold:
    """Whether the ledger is on hold, and what its proxies report that they hold."""

    def __init__(self, ledger: Ledger, log: Callable[..., None]) -> None:
        self.ledger, self.log = ledger, log
        self.holdings: dict[str, ProxyView] = {}
        self.highest_seen = 0  # the highest event number that any proxy named
        self.reason = ""
        self.since = 0

    @property
    def active(self) -> bool:
        return bool(self.reason)

    def hold(self, why: str, now: int) -> None:
        """Put the ledger on hold."""
        if not self.reason:
            self.reason, self.since = why, now
            self.ledger.hold_reason = why
            self.log(
                "held",
                why=why,
                pos=self.ledger.pos,
                advice="see `threadhill recovery status`, then `threadhill recovery adopt`",
            )

    def check_number(self, number: int, now: int) -> bool:
        """Check the last number that a proxy applied: one beyond this store's puts the ledger on hold. Returns whether
        the ledger is not on hold."""
        self.highest_seen = max(self.highest_seen, number)
        if number > self.ledger.newest_event:
            self.hold(f"a proxy applied number {number}, and the newest event here is {self.ledger.newest_event}", now)
        return not self.active

    def take_holding(self, raw: Any) -> None:
        """Take in a part of what a proxy holds. Raises Malformed."""
        if len(self.holdings) >= MAX_PROXIES and raw.get("proxy") not in self.holdings:
            raise Malformed(f"over {MAX_PROXIES} proxies report what they hold")
        self.highest_seen = max(self.highest_seen, adopt.add_part(self.holdings, raw).pos)

    def proposal(self) -> Proposal:
        records = {
            id: {"kind": r.kind, "name": r.name, "attrs": r.attrs, "phase": r.phase.value, "since": r.since}
            for id, r in self.ledger.fleet.records.items()
        }
        return adopt.propose(
            self.holdings.values(),
            records,
            self.ledger.pos,
            self.highest_seen,
            f"version {self.ledger.meta['version']}, number {self.ledger.newest_event}",
        )

    def status(self) -> dict[str, Any]:
        status: dict[str, Any] = {"held": self.reason, "since": self.since, "seen": self.highest_seen}
        if self.active:
            status["proposal"] = self.proposal().document()
        return status

    def adopt_proposal(self, digest: str, now: int) -> Proposal:
        """Record the proposal, which must be the one that was shown. Event numbers continue after the highest seen."""
        proposal = self._check_digest(digest)
        records, found = [], set()
        for finding in proposal.findings:
            if finding.record is not None:
                r = finding.record
                pos = 0 if r["phase"] not in (Phase.DRAINING.value, Phase.CONFIGURING.value) else proposal.pos
                records.append(Record(r["kind"], r["name"], r["attrs"], Phase(r["phase"]), r["since"], pos, now))
                found.add(finding.id)
        dropped = [id for id in self.ledger.fleet.records if id not in found]
        self._release(proposal.pos, Change(records=records, dropped=dropped))
        return proposal

    def keep_recorded(self, digest: str, now: int) -> Proposal:
        """Keep the store's state as it is: the operator decided that it is right, and what the proxies hold is not."""
        proposal = self._check_digest(digest)
        records = self.ledger.fleet.records.values()  # drains are confirmed anew
        self._release(
            proposal.pos,
            Change(records=[replace(r, pos=proposal.pos, at=now) for r in records if r.phase is Phase.DRAINING]),
        )
        return proposal

    def _check_digest(self, digest: str) -> Proposal:
        if not self.active:
            raise Refused("not-held", "the state is not held back: there is nothing to decide")
        proposal = self.proposal()
        if digest != proposal.digest():
            raise Refused(
                "conflict",
                "the proposal has changed since it was shown: look at it again",
                digest=proposal.digest(),
            )
        return proposal

    def _release(self, pos: int, change: Change) -> None:
        self.ledger.adopt(pos, change)
        self.holdings.clear()
        self.log("no longer held", was=self.reason, pos=pos)
        self.reason, self.ledger.hold_reason = "", ""
        self.ledger.on_publish()
