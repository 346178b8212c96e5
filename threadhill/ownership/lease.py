"""One member's view of the owner's lease, by its own monotonic clock: until when it may act, and when it may claim.

An owner counts its lease from before it sent the renewal, and the others count from when they saw it committed. So the
owner's lease ends first, as long as clock rates differ by no more than `drift`. Leases are not the only protection:
each write is checked again when it is committed (register.py). Times are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from threadhill.ownership.register import Register


@dataclass(frozen=True, slots=True)
class Timing:
    """`lease` is how long an owner may act without a committed renewal."""

    lease: float = 1.5
    drift: float = 0.02  # largest relative difference of two clocks' rates; real ones differ by under 0.001
    margin: float = 0.1  # covers the time between the check of the lease and the write
    renew_fraction: float = 0.3  # part of the lease after which it is renewed
    claim_stagger: float = (
        0.15  # delay between members that claim an expired term, by their position in the sorted list
    )


class NextCommand(Enum):
    """What a member should send now."""

    NOTHING = "nothing"
    RENEW = "renew"
    CLAIM = "claim"


class LeaseState:
    """What one member knows about the owner's lease, by its own clock."""

    def __init__(self, member: str, timing: Timing, now: float) -> None:
        self.member, self.timing = member, timing
        self.term = 0  # the term that this member owns; 0: none
        self.expires_at = 0.0  # when this member's lease ends
        self.last_seen = (-1, -1)  # the newest (term, beat) seen
        self.last_seen_at = now
        self.sent_at: float | None = None  # when the outstanding command was sent
        self.is_heir = False  # the last owner released its term in favour of this member

    def observe(self, register: Register, now: float) -> None:
        """Take in the register as it is after a committed command."""
        state = (register.term, register.beat)
        if state != self.last_seen:
            self.last_seen, self.last_seen_at = state, now
        self.is_heir = register.heir == self.member and not register.owner
        if self.term and (register.owner, register.term) != (self.member, self.term):
            self.term = 0

    def is_held(self, now: float) -> bool:
        """Whether this member may act as the owner now."""
        return bool(self.term) and now < self.expires_at

    def owner_silence(self, now: float) -> float:
        """Seconds since the last change of term or renewal was seen."""
        return now - self.last_seen_at

    def next_command(self, register: Register, now: float) -> NextCommand:
        """What to send now. The caller reports `command_sent`, and later whether it was granted, refused or lost."""
        t = self.timing
        if self.sent_at is not None:
            return NextCommand.NOTHING
        if self.term:
            return (
                NextCommand.RENEW if now >= self.expires_at - t.lease * (1 - t.renew_fraction) else NextCommand.NOTHING
            )
        if self.member not in register.members:
            return NextCommand.NOTHING
        rank = sorted(register.members).index(self.member)
        wait = 0.0 if self.is_heir else t.lease * (1 + t.drift) + t.margin + rank * t.claim_stagger
        return NextCommand.CLAIM if now - self.last_seen_at >= wait else NextCommand.NOTHING

    def command_sent(self, now: float) -> None:
        self.sent_at = now

    def command_granted(self, term: int) -> None:
        """The command took effect. The lease counts from before it was sent."""
        if self.sent_at is not None:
            self.term, self.expires_at = term, self.sent_at + self.timing.lease - self.timing.margin
            self.sent_at = None

    def command_refused(self) -> None:
        """The command had no effect: another member is the owner."""
        self.sent_at, self.term = None, 0

    def command_lost(self) -> None:
        """No answer came. Whether the command took effect is unknown; the current lease keeps running."""
        self.sent_at = None
