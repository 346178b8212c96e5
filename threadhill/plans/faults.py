"""Faults of a configuration: all of them are told at once, each with where it is."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Fault:
    """One fault: the file and line (from 1; 0 where there is none), the name concerned, and what to do."""

    file: str
    line: int
    name: str
    text: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        return f"{where}: {self.name}: {self.text}" if self.name else f"{where}: {self.text}"


class InvalidConfiguration(Exception):
    """A configuration that cannot be used; `faults` has every fault that was found, in order of place."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = sorted(set(faults))
        super().__init__("\n".join(str(fault) for fault in self.faults))
