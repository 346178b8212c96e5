"""The works that are done for the fleet: by whom, how far they are, and what happens if one is done twice. Free of I/O.

All but one are the owner's. Snapshots are taken by the first other member that is up to date, so that the owner's disk
is spared, and by the owner where it is alone. Each goes on from what is recorded, so that a new owner takes it up where
it stands.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

ONCE, HARMLESS = "once", "harmless twice"
LATE_APPLY_MS = 60_000  # an apply that confirms nothing for so long wants a look
SNAPSHOT_EVERY_MS = 60_000


@dataclass(frozen=True, slots=True)
class Work:
    """One of them, as it stands."""

    name: str
    owner: str
    effect: str  # once: its steps carry numbers of their own; or harmless twice
    progress: str
    due: int = 0  # Unix milliseconds by which it is to have gone on; 0: always

    def document(self, now: int) -> dict[str, Any]:
        late = self.due and now > self.due
        return {
            "name": self.name,
            "owner": self.owner,
            "effect": self.effect,
            "progress": self.progress,
            "due": self.due,
            "late": bool(late),
        }


def snapshots_by(owner: str, fresh: Sequence[str]) -> str:
    """Who takes snapshots: a member that is up to date and not the owner, if there is one."""
    return next((name for name in sorted(fresh) if name != owner), owner)


def works(
    owner: str,
    fresh: Sequence[str],
    apply: Mapping[str, Any] | None,
    draining: int,
    events: int,
    oldest: int,
    snapshot_at: int,
    proxies: int,
) -> list[Work]:
    """All works: `apply` is the open one (number, done, steps, moved: when a step last did)."""
    found = []
    if apply is not None:
        found.append(
            Work(
                f"apply {apply['number']}",
                owner,
                ONCE,
                f"{apply['done']} of {apply['steps']} steps",
                apply["moved"] + LATE_APPLY_MS,
            )
        )
    found.append(Work("confirm drains and warm starts", owner, HARMLESS, f"{draining} servers to be confirmed"))
    found.append(Work("retention", owner, HARMLESS, f"{events} events kept, from {oldest} on"))
    by = snapshots_by(owner, fresh)
    found.append(
        Work(
            "snapshots",
            by,
            HARMLESS,
            "none yet" if not snapshot_at else "taken",
            snapshot_at + 2 * SNAPSHOT_EVERY_MS if snapshot_at else 0,
        )
    )
    found.append(Work("knowledge", owner, HARMLESS, f"reports of {proxies} proxies"))
    return found
