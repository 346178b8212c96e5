"""Errors in configuration files, called faults: all are reported together, each with its position."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Fault:
    """One error: its file and line (from 1; 0 if unknown), the name that it concerns, and a message."""

    file: str
    line: int
    name: str
    text: str

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        return f"{where}: {self.name}: {self.text}" if self.name else f"{where}: {self.text}"


class InvalidConfiguration(Exception):
    """The configuration is invalid; `faults` lists all errors, ordered by file and line."""

    def __init__(self, faults: list[Fault]) -> None:
        self.faults = sorted(set(faults))
        super().__init__("\n".join(str(fault) for fault in self.faults))
