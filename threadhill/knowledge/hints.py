"""What a proxy takes of the control plane's hints: whole and new ones only, as one event for the module.

A hint tells rates and loads, with their age. It names no server that may be chosen, no copy that may be served and no
time: drains, purges and cold servers are the list's and the module's alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from threadhill.decision import interface as api
from threadhill.knowledge.merge import CACHES, MOST_OPEN, MOST_RATE, NAME, OBJECTS
from threadhill.settings import Malformed, bounded_number, mapping, required_integer, sequence

OLD = 8_000  # milliseconds after which a hint says nothing


class HintReader:
    """The hints of one feed, in their order."""

    def __init__(self) -> None:
        self.number = 0
        self.taken = self.left = 0  # hints used; old, doubled or late ones

    def read(self, raw: Any, age: int) -> api.Hints | None:
        """One hint, whose stamp is `age` microseconds old by this proxy's clock; None where it is of no use.
        Raises Malformed where it can't be read: then all of it is left."""
        raw = mapping(raw, "a hint")
        number = required_integer(raw.get("n"), "a hint's number")
        own = age // 1_000 + int(bounded_number(raw.get("age"), 1e9, "a hint's age"))
        objects, caches = sequence(raw.get("objects"), "objects"), sequence(raw.get("caches"), "caches")
        if len(objects) > OBJECTS or len(caches) > CACHES:
            raise Malformed(f"a hint names {len(objects)} objects and {len(caches)} caches: too many")
        rates, out, ill = {}, {}, {}
        for item in objects:
            name, rate = self._pair(item, 2)
            if not isinstance(name, str) or not 0 < len(name) <= NAME:
                raise Malformed("a hint's object has no name")
            rates[name] = bounded_number(rate, MOST_RATE, "a hint's rate")
        for item in caches:
            server, held, part = self._pair(item, 3)
            server = required_integer(server, "a hint's server")
            out[server] = bounded_number(held, MOST_OPEN, "a hint's load")
            ill[server] = bounded_number(part, 1.0, "a hint's part of the proxies")
        if number <= self.number or own > OLD:
            self.left += 1
            return None
        self.number = number
        self.taken += 1
        return api.Hints(rates, out, ill, own * 1_000)

    def reset(self) -> None:
        """Another connection, maybe to a control plane that counts from one again."""
        self.number = 0

    @staticmethod
    def _pair(item: Any, size: int) -> list[Any]:
        item = sequence(item, "a hint's line")
        if len(item) != size:
            raise Malformed(f"a hint's line has {len(item)} values, not {size}")
        return list(item)


def stamp_of(raw: Any) -> int:
    """When a hint was made, Unix microseconds."""
    return required_integer(raw.get("at") if isinstance(raw, Mapping) else None, "a hint's time") * 1_000
