"""Tenants' static records beside the steered names, by name, made anew with each version of the tenants."""

from __future__ import annotations

from dataclasses import dataclass, field

from threadhill.core.tenants import Tenants
from threadhill.dns.message import Labels, Record, Type
from threadhill.hostnames import labels_of

CHASE = 8  # aliases of the same zone followed for one answer


@dataclass(slots=True)
class Name:
    """What stands at one name; nothing where only names below it exist."""

    sets: dict[int, list[Record]] = field(default_factory=dict)


class Statics:
    """Look-ups by whole name."""

    def __init__(self, tenants: Tenants) -> None:
        self.tenants = tenants
        self._version = -1
        self._names: dict[Labels, Name] = {}

    def names(self) -> dict[Labels, Name]:
        if self._version != self.tenants.version:
            self._version, self._names = self.tenants.version, self._read()
        return self._names

    def _read(self) -> dict[Labels, Name]:
        names: dict[Labels, Name] = {}
        for tenant in self.tenants.by_name.values():
            if not tenant.records:
                continue
            from threadhill import zonefile  # few tenants have any

            apexes = {labels_of(zone) for zone in tenant.zones}
            for text in tenant.records:
                record = zonefile.parse_record(text)
                here = names.setdefault(record.owner, Name())
                data = record.data[0] if len(record.data) == 1 and isinstance(record.data[0], bytes) else record.data
                here.sets.setdefault(record.kind, []).append(Record(record.kind, data, record.owner, record.ttl))
                above = record.owner
                while above not in apexes and len(above) > 1:  # names above it exist, with nothing there (RFC 8020)
                    above = above[1:]
                    if above not in apexes:
                        names.setdefault(above, Name())
        return names

    def at(self, name: Labels) -> Name | None:
        return self.names().get(name)

    def answer(self, name: Labels, kind: int) -> list[Record]:
        """The records that answer a query there: the set, or an alias with what it leads to among ours
        (RFC 1034, section 4.3.2)."""
        answers: list[Record] = []
        for _ in range(CHASE):
            here = self.at(name)
            if here is None:
                return answers
            if kind in here.sets or kind == Type.CNAME:
                return answers + here.sets.get(kind, [])
            alias = here.sets.get(Type.CNAME)
            if not alias:
                return answers
            answers += alias
            (target,) = alias[0].data
            name = target  # type: ignore[assignment]
        return answers

    def of_zone(self, zone: Labels) -> list[Record]:
        """All records of a zone, in the order of their names, for a transfer."""
        found = [(name[::-1], here) for name, here in self.names().items() if name[-len(zone) :] == zone]
        return [
            record
            for _, here in sorted(found, key=lambda pair: pair[0])
            for _, records in sorted(here.sets.items())
            for record in records
        ]
