"""Resources. This module imports no parser, so the control plane can use resources without the HCL libraries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

SERVER_KINDS = ("box", "parent", "library")  # kinds of resource that requests are sent to


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource of a configuration; `attrs` is plain JSON with all defaults filled in."""

    kind: str
    name: str
    attrs: dict[str, Any]

    @property
    def id(self) -> str:
        return f"{self.kind}.{self.name}"
