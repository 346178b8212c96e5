"""The interface between the control plane and the storage of its state. One `Change` is stored whole or not at all."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from threadhill.plans.rules import Record


class StoreDamaged(Exception):
    """The store can't be used; the text says what to do."""


class WriteFailed(Exception):
    """A change could not be stored. Nothing of it was; the state is unchanged."""


@dataclass(frozen=True, slots=True)
class Version:
    """One numbered version of the desired state. `wanted` holds attributes by resource id."""

    number: int
    at: int  # Unix milliseconds
    who: str
    why: str
    base: int
    wanted: dict[str, dict[str, Any]]
    plan: str  # the plan's digest
    state: str = "applying"  # applying, applied or abandoned


@dataclass(frozen=True, slots=True)
class Apply:
    """One application of a plan, with the lease of the client that carries it out."""

    number: int
    version: int
    plan: dict[str, Any]
    state: str = "open"  # open, done or abandoned
    holder: str = ""
    token: int = 0  # grows with each lease; a caller with an older token has lost its lease
    expires: int = 0  # Unix milliseconds
    at: int = 0


@dataclass(frozen=True, slots=True)
class StepState:
    """A step of an apply that has begun: its state is intended, then done."""

    apply: int
    id: str
    state: str
    pos: int = 0
    at: int = 0
    note: str = ""


@dataclass(slots=True)
class Change:
    """What one transaction writes."""

    meta: dict[str, int] = field(default_factory=dict)
    records: list[Record] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)
    events: list[tuple[int, bytes]] = field(default_factory=list)
    version: Version | None = None
    apply: Apply | None = None
    steps: list[StepState] = field(default_factory=list)
    forget_events: int = 0  # events up to this number are no longer kept


class Store(Protocol):
    """What the ledger needs. Methods raise StoreDamaged or WriteFailed and no other errors of their own."""

    def meta(self) -> dict[str, int]:
        """Counters: `pos`, `serial`, `version`, `apply`, `token`."""
        ...

    def records(self) -> Iterator[Record]: ...

    def events(self, after: int, limit: int) -> list[tuple[int, bytes]]:
        """Events with greater numbers, in order."""
        ...

    def oldest_event(self) -> int:
        """The lowest event number stored; 0 if there is none."""
        ...

    def version(self, number: int) -> Version | None: ...

    def versions(self, before: int, limit: int) -> list[Version]:
        """The newest versions below this number, newest first, with `wanted` empty."""
        ...

    def apply(self, number: int) -> Apply | None: ...

    def open_apply(self) -> Apply | None: ...

    def steps(self, apply: int) -> dict[str, StepState]: ...

    def commit(self, change: Change) -> None: ...

    def snapshot(self, path: Path) -> None:
        """Write a complete copy to a file."""
        ...

    def close(self) -> None: ...
