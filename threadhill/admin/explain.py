"""Queries of the administration API on overload control: its state, why a request was refused, and metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class OverloadQueries:
    """The three queries, as functions of the overload control that answers them."""

    status: Callable[[], dict[str, Any]]
    why: Callable[[str], dict[str, Any] | None]
    metrics: Callable[[], bytes]
