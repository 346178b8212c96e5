"""One thing that there should be. Light: the control plane knows resources without the libraries that read files."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

SERVER_KINDS = ("box", "parent", "library")  # kinds that requests are sent to


@dataclass(frozen=True, slots=True)
class Resource:
    """One thing that there should be; `attrs` is plain JSON with every default filled in."""

    kind: str
    name: str
    attrs: dict[str, Any]

    @property
    def id(self) -> str:
        return f"{self.kind}.{self.name}"
