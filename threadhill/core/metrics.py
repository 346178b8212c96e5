"""The metrics that operators read: counts since the start and current values. They are computed on each call from
counters that are updated where the events happen, so they are never older than the call. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

from threadhill.stats import Stats

# The name of each final status in the operators' metrics, and the core's counter for it.
FINAL_COUNTERS = (("fulfilled", "served"), ("throttled", "refused"), ("faulted", "failed"))


def operator_metrics(
    stats: Stats, classes: Iterable[str], open_requests: int, registry_entries: int, out_of_rotation: int
) -> dict[str, int]:
    """Metrics by name: counts per class, then current values."""
    counts = stats.counts
    metrics: dict[str, int] = {}
    relayed = 0
    for cls in sorted(classes):
        for name, counter in FINAL_COUNTERS:
            metrics[f"operations.{cls}.{name}"] = counts[counter, cls] + counts["front_" + counter, cls]
        metrics[f"operations.{cls}.relayed"] = counts["relayed", cls]
        relayed += counts["relayed", cls]
    metrics["relayed"] = relayed
    metrics["open_requests"] = open_requests
    metrics["registry_entries"] = registry_entries
    metrics["out_of_rotation"] = out_of_rotation
    return metrics


def format_metrics(metrics: dict[str, int]) -> bytes:
    """One `name=value` line per metric."""
    return "".join(f"{name}={value}\n" for name, value in metrics.items()).encode()
