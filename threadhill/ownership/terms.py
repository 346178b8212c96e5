"""The register of ownership: what all members agreed on, changed only by agreed commands, in the same order at each of
them.

One term at a time, each number greater than any before. Whoever claims a term names the last renewal that it has seen:
if there was another since, the owner lives and the claim is void. Whatever is written names its term, and what names
another than the current one is refused here, at every member alike, however late it comes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

MEMBERS = 9  # at most


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a command took effect, and why not."""

    ok: bool
    why: str = ""
    term: int = 0


@dataclass(slots=True)
class Register:
    """One installation's. `beat` counts renewals within a term; `heir`: who may take the next term without waiting."""

    term: int = 0
    owner: str = ""
    beat: int = 0
    heir: str = ""
    cause: str = ""  # of the last change of owner
    members: dict[str, dict[str, str]] = field(default_factory=dict)  # name -> its addresses: agree, api, feed
    written: int = 0  # changes of the state so far
    refused: int = 0  # commands of older terms

    # --- commands

    def claim(self, member: str, term: int, beat: int, cause: str) -> Verdict:
        """Take the next term, having last seen this renewal of this term."""
        if member not in self.members:
            return Verdict(False, f"{member} is no member", self.term)
        if (term, beat) != (self.term, self.beat):
            return Verdict(False, f"{self.owner or 'nobody'} holds term {self.term} since", self.term)
        self.term, self.owner, self.beat, self.heir, self.cause = self.term + 1, member, 0, "", cause
        return Verdict(True, term=self.term)

    def renew(self, member: str, term: int) -> Verdict:
        """The owner lives."""
        verdict = self.current(member, term)
        if verdict.ok:
            self.beat += 1
        return verdict

    def release(self, member: str, term: int, heir: str) -> Verdict:
        """The owner gives up its term, for a certain member to take the next one at once."""
        verdict = self.current(member, term)
        if not verdict.ok:
            return verdict
        if heir and heir not in self.members:
            return Verdict(False, f"{heir} is no member", self.term)
        self.beat, self.owner, self.heir = self.beat + 1, "", heir
        return verdict

    def write(self, member: str, term: int) -> Verdict:
        """Something is to be written in this term."""
        verdict = self.current(member, term)
        if verdict.ok:
            self.written += 1
        return verdict

    def current(self, member: str, term: int) -> Verdict:
        """Whether this member owns this term now."""
        if (member, term) == (self.owner, self.term) and term:
            return Verdict(True, term=term)
        self.refused += 1
        return Verdict(False, f"term {term} of {member} is over: {self.owner or 'nobody'} holds {self.term}", self.term)

    def join(self, member: str, places: dict[str, str]) -> Verdict:
        """A member, or one at another address."""
        if member not in self.members and len(self.members) >= MEMBERS:
            return Verdict(False, f"there are {MEMBERS} members", self.term)
        taken = [
            name
            for name, other in self.members.items()
            if name != member and set(other.values()) & set(places.values())
        ]
        if taken:
            return Verdict(False, f"an address of {member} is {taken[0]}'s", self.term)
        self.members[member] = places
        return Verdict(True, term=self.term)

    def leave(self, member: str) -> Verdict:
        """A member less. The owner hands over first."""
        if member not in self.members:
            return Verdict(False, f"{member} is no member", self.term)
        if member == self.owner:
            return Verdict(False, f"{member} owns term {self.term}: hand over first", self.term)
        if len(self.members) == 1:
            return Verdict(False, "the last member stays", self.term)
        del self.members[member]
        return Verdict(True, term=self.term)

    # --- for the log of agreed commands

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
    def of(cls, raw: dict[str, Any]) -> Register:
        return cls(**raw)
