"""Counters of requests, attempts, answers and errors."""

from __future__ import annotations

from collections import Counter


class Stats:
    """Integer counters, each with a name and a label. They only grow."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        """Increase a counter."""
        self.counts[name, label] += by

    def table(self) -> dict[str, dict[str, int]]:
        """All counters by name and label, both sorted."""
        rows: dict[str, dict[str, int]] = {}
        for (name, label), value in sorted(self.counts.items()):
            rows.setdefault(name, {})[label] = value
        return rows
