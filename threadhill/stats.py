"""Counters of what is taken in, sent and answered."""

from __future__ import annotations

from collections import Counter


class Stats:
    """Named counters with a label each; all are whole numbers that only grow."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()

    def count(self, name: str, label: str = "", by: int = 1) -> None:
        self.counts[name, label] += by

    def table(self) -> dict[str, dict[str, int]]:
        """All counters, by name and then by label, both sorted."""
        told: dict[str, dict[str, int]] = {}
        for (name, label), value in sorted(self.counts.items()):
            told.setdefault(name, {})[label] = value
        return told
