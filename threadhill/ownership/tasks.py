"""The fleet's background tasks: which member runs each, its progress, and whether repeating it does harm. Free of I/O.

The owner runs all but one. Snapshots are taken by the first up-to-date member that is not the owner, to spare the
owner's disk, or by the owner if there is no other. Each task continues from recorded state, so a new owner resumes it
where it stands.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

ONCE, IDEMPOTENT = "once", "harmless twice"
LATE_APPLY_MS = 60_000  # an apply that confirms no step for this long is shown as late
SNAPSHOT_INTERVAL_MS = 60_000


@dataclass(frozen=True, slots=True)
class Task:
    """One background task and its progress."""

    name: str
    owner: str
    effect: str  # ONCE: its numbered steps take effect once; IDEMPOTENT: repeating it is harmless
    progress: str
    due: int = 0  # Unix milliseconds by which it should have made progress; 0: no deadline

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


def snapshot_member(owner: str, up_to_date: Sequence[str]) -> str:
    """The member that takes snapshots: one that is up to date and not the owner, if there is one."""
    return next((name for name in sorted(up_to_date) if name != owner), owner)


def list_tasks(
    owner: str,
    up_to_date: Sequence[str],
    apply: Mapping[str, Any] | None,
    unconfirmed: int,
    event_count: int,
    oldest_event: int,
    snapshot_at: int,
    proxies: int,
) -> list[Task]:
    """All background tasks. `apply` is the open apply: its number, steps done, steps in all, and when one was last
    confirmed ("moved", in Unix milliseconds)."""
    tasks = []
    if apply is not None:
        tasks.append(
            Task(
                f"apply {apply['number']}",
                owner,
                ONCE,
                f"{apply['done']} of {apply['steps']} steps",
                apply["moved"] + LATE_APPLY_MS,
            )
        )
    tasks.append(Task("confirm drains and warm starts", owner, IDEMPOTENT, f"{unconfirmed} servers to be confirmed"))
    tasks.append(Task("retention", owner, IDEMPOTENT, f"{event_count} events kept, from {oldest_event} on"))
    member = snapshot_member(owner, up_to_date)
    tasks.append(
        Task(
            "snapshots",
            member,
            IDEMPOTENT,
            "none yet" if not snapshot_at else "taken",
            snapshot_at + 2 * SNAPSHOT_INTERVAL_MS if snapshot_at else 0,
        )
    )
    tasks.append(Task("knowledge", owner, IDEMPOTENT, f"reports of {proxies} proxies"))
    return tasks
