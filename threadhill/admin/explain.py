"""What the administration API tells of overload control: its state, why one request was refused, and metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class OverloadQueries:
    """Three calls; whoever counts is behind them."""

    status: Callable[[], dict[str, Any]]
    why: Callable[[str], dict[str, Any] | None]
    metrics: Callable[[], bytes]
