"""The figures that operators read: counts since the start, and what is so now. Made when asked, from counters that
are kept where each event happens, so that they are never older than the call. Nothing here does I/O."""

from __future__ import annotations

from collections.abc import Iterable

from threadhill.stats import Stats

# The operators' word for each final answer, and the counter that the core keeps of it.
FINAL_COUNTERS = (("fulfilled", "served"), ("throttled", "refused"), ("faulted", "failed"))


def operator_metrics(
    stats: Stats, classes: Iterable[str], open_requests: int, registry: int, out: int
) -> dict[str, int]:
    """By name, as the operators' page has them: per class, then what holds now."""
    counts = stats.counts
    told: dict[str, int] = {}
    relayed = 0
    for cls in sorted(classes):
        for word, counter in FINAL_COUNTERS:
            told[f"operations.{cls}.{word}"] = counts[counter, cls] + counts["front_" + counter, cls]
        told[f"operations.{cls}.relayed"] = counts["relayed", cls]
        relayed += counts["relayed", cls]
    told["relayed"] = relayed
    told["open_requests"] = open_requests
    told["registry_entries"] = registry
    told["out_of_rotation"] = out
    return told


def format_metrics(metrics: dict[str, int]) -> bytes:
    """`name=value`, a line each."""
    return "".join(f"{name}={value}\n" for name, value in metrics.items()).encode()
