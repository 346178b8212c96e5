"""Reads the control plane's hints in a proxy. Only complete, new hints are accepted, each as one event for the module.

A hint contains request rates and loads, with their age. It does not decide which server may be chosen, which copy
may be served or from when: drains, purges and cold servers are up to the list and the module alone.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from threadhill.decision import interface as api
from threadhill.knowledge.merge import MAX_CACHES, MAX_INFLIGHT, MAX_NAME, MAX_OBJECTS, MAX_RATE
from threadhill.settings import Malformed, bounded_number, mapping, required_integer, sequence

MAX_AGE = 8_000  # milliseconds after which a hint is ignored


class HintReader:
    """Reads the hints of one feed in order."""

    def __init__(self) -> None:
        self.number = 0
        self.accepted = self.ignored = 0  # ignored: hints that were old, duplicate or out of order

    def read(self, raw: Any, age: int) -> api.Hints | None:
        """Reads one hint whose timestamp is `age` microseconds old by this proxy's clock; None if it is to be ignored.
        Raises Malformed if any of it can't be read; then none of it is used."""
        raw = mapping(raw, "a hint")
        number = required_integer(raw.get("n"), "a hint's number")
        total_age = age // 1_000 + int(bounded_number(raw.get("age"), 1e9, "a hint's age"))
        objects, caches = sequence(raw.get("objects"), "objects"), sequence(raw.get("caches"), "caches")
        if len(objects) > MAX_OBJECTS or len(caches) > MAX_CACHES:
            raise Malformed(f"a hint names {len(objects)} objects and {len(caches)} caches: too many")
        rates, inflight, ejected_share = {}, {}, {}
        for item in objects:
            name, rate = self._row(item, 2)
            if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME:
                raise Malformed("a hint's object has no name")
            rates[name] = bounded_number(rate, MAX_RATE, "a hint's rate")
        for item in caches:
            server, load, share = self._row(item, 3)
            server = required_integer(server, "a hint's server")
            inflight[server] = bounded_number(load, MAX_INFLIGHT, "a hint's load")
            ejected_share[server] = bounded_number(share, 1.0, "a hint's part of the proxies")
        if number <= self.number or total_age > MAX_AGE:
            self.ignored += 1
            return None
        self.number = number
        self.accepted += 1
        return api.Hints(rates, inflight, ejected_share, total_age * 1_000)

    def reset(self) -> None:
        """A new connection, possibly to a control plane that restarted its numbering."""
        self.number = 0

    @staticmethod
    def _row(item: Any, size: int) -> list[Any]:
        item = sequence(item, "a hint's line")
        if len(item) != size:
            raise Malformed(f"a hint's line has {len(item)} values, not {size}")
        return list(item)


def hint_time(raw: Any) -> int:
    """When a hint was created, in Unix microseconds."""
    return required_integer(raw.get("at") if isinstance(raw, Mapping) else None, "a hint's time") * 1_000
