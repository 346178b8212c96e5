"""The ownership register: replicated state that only committed commands change, in the same order at each member.

There is one term at a time, and term numbers only grow. A claim names the last renewal that its sender has seen: if
there was another since, the owner is alive and the claim is refused. Each write names its term; a write of any term but
the current one is refused here, at every member alike, however late it arrives.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MAX_MEMBERS = 9


@dataclass(frozen=True, slots=True)
class CommandOutcome:
    """Whether a command took effect; if not, why."""

    ok: bool
    reason: str = ""
    term: int = 0


@dataclass(slots=True)
class Register:
    """One installation's register. `beat` counts renewals within a term; `heir` may claim the next term at once."""

    term: int = 0
    owner: str = ""
    beat: int = 0
    heir: str = ""
    cause: str = ""  # of the last change of owner
    members: dict[str, dict[str, str]] = field(default_factory=dict)  # name -> its addresses: agree, api, feed
    written: int = 0  # committed changes of the state
    refused: int = 0  # commands refused because their term is over

    # --- commands

    def claim(self, member: str, term: int, beat: int, cause: str) -> CommandOutcome:
        """Take the next term. `term` and `beat` are the last renewal that the claimant has seen."""
        if member not in self.members:
            return CommandOutcome(False, f"{member} is no member", self.term)
        if (term, beat) != (self.term, self.beat):
            return CommandOutcome(
                False, f"the claim is out of date: {self.owner or 'nobody'} holds term {self.term}", self.term
            )
        self.term, self.owner, self.beat, self.heir, self.cause = self.term + 1, member, 0, "", cause
        return CommandOutcome(True, term=self.term)

    def renew(self, member: str, term: int) -> CommandOutcome:
        """Extend the owner's lease."""
        outcome = self.check_owner(member, term)
        if outcome.ok:
            self.beat += 1
        return outcome

    def release(self, member: str, term: int, heir: str) -> CommandOutcome:
        """Give up the owner's term; `heir`, if any, may claim the next one at once."""
        outcome = self.check_owner(member, term)
        if not outcome.ok:
            return outcome
        if heir and heir not in self.members:
            return CommandOutcome(False, f"{heir} is no member", self.term)
        self.beat, self.owner, self.heir = self.beat + 1, "", heir
        return outcome

    def write(self, member: str, term: int) -> CommandOutcome:
        """Admit and count a change of the state in this term."""
        outcome = self.check_owner(member, term)
        if outcome.ok:
            self.written += 1
        return outcome

    def check_owner(self, member: str, term: int) -> CommandOutcome:
        """Whether this member owns this term now; counts a refusal."""
        if (member, term) == (self.owner, self.term) and term:
            return CommandOutcome(True, term=term)
        self.refused += 1
        return CommandOutcome(
            False, f"term {term} of {member} is over: {self.owner or 'nobody'} holds term {self.term}", self.term
        )

    def join(self, member: str, addresses: dict[str, str]) -> CommandOutcome:
        """Add a member, or change the addresses of one."""
        if member not in self.members and len(self.members) >= MAX_MEMBERS:
            return CommandOutcome(False, f"there are {MAX_MEMBERS} members, which is the most", self.term)
        taken = [
            name
            for name, other in self.members.items()
            if name != member and set(other.values()) & set(addresses.values())
        ]
        if taken:
            return CommandOutcome(False, f"an address of {member} is {taken[0]}'s", self.term)
        self.members[member] = addresses
        return CommandOutcome(True, term=self.term)

    def leave(self, member: str) -> CommandOutcome:
        """Remove a member. An owner must release its term first."""
        if member not in self.members:
            return CommandOutcome(False, f"{member} is no member", self.term)
        if member == self.owner:
            return CommandOutcome(False, f"{member} owns term {self.term}: hand over first", self.term)
        if len(self.members) == 1:
            return CommandOutcome(False, "the last member cannot be removed", self.term)
        del self.members[member]
        return CommandOutcome(True, term=self.term)

    # --- serialization, for images of the replicated state

    def document(self) -> dict[str, Any]:
        return {
            "term": self.term,
            "owner": self.owner,
            "beat": self.beat,
            "heir": self.heir,
            "cause": self.cause,
            "members": self.members,
            "written": self.written,
            "refused": self.refused,
        }

    @classmethod
    def from_document(cls, raw: dict[str, Any]) -> Register:
        return cls(**raw)
