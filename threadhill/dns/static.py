"""Tenants' static records by name, rebuilt with each version of the tenants."""

from __future__ import annotations

from dataclasses import dataclass, field

from threadhill.core.tenants import Tenants
from threadhill.dns.message import Labels, Record, Type
from threadhill.hostnames import labels_of

MAX_CNAME_CHAIN = 8  # CNAME records followed for one answer


@dataclass(slots=True)
class NameRecords:
    """The record sets of one name, by type. An empty non-terminal has none."""

    rrsets: dict[int, list[Record]] = field(default_factory=dict)


class StaticRecords:
    """Looks up static records by their full name."""

    def __init__(self, tenants: Tenants) -> None:
        self.tenants = tenants
        self._version = -1
        self._names: dict[Labels, NameRecords] = {}

    def names(self) -> dict[Labels, NameRecords]:
        if self._version != self.tenants.version:
            self._version, self._names = self.tenants.version, self._read()
        return self._names

    def _read(self) -> dict[Labels, NameRecords]:
        names: dict[Labels, NameRecords] = {}
        for tenant in self.tenants.by_name.values():
            if not tenant.records:
                continue
            from threadhill import zonefile  # imported here because few tenants have static records

            apexes = {labels_of(zone) for zone in tenant.zones}
            for text in tenant.records:
                record = zonefile.parse_record(text)
                name_records = names.setdefault(record.owner, NameRecords())
                data = record.data[0] if len(record.data) == 1 and isinstance(record.data[0], bytes) else record.data
                name_records.rrsets.setdefault(record.kind, []).append(
                    Record(record.kind, data, record.owner, record.ttl)
                )
                ancestor = record.owner
                while ancestor not in apexes and len(ancestor) > 1:  # empty non-terminals (RFC 8020)
                    ancestor = ancestor[1:]
                    if ancestor not in apexes:
                        names.setdefault(ancestor, NameRecords())
        return names

    def find(self, name: Labels) -> NameRecords | None:
        return self.names().get(name)

    def answer(self, name: Labels, kind: int) -> list[Record]:
        """The records that answer a query: the record set, or a CNAME with the static records it leads to
        (RFC 1034, section 4.3.2)."""
        answers: list[Record] = []
        for _ in range(MAX_CNAME_CHAIN):
            name_records = self.find(name)
            if name_records is None:
                return answers
            if kind in name_records.rrsets or kind == Type.CNAME:
                return answers + name_records.rrsets.get(kind, [])
            alias = name_records.rrsets.get(Type.CNAME)
            if not alias:
                return answers
            answers += alias
            (target,) = alias[0].data
            name = target  # type: ignore[assignment]
        return answers

    def zone_records(self, zone: Labels) -> list[Record]:
        """All static records of a zone in the order of their names, for a zone transfer."""
        found = [
            (name[::-1], name_records) for name, name_records in self.names().items() if name[-len(zone) :] == zone
        ]
        return [
            record
            for _, name_records in sorted(found, key=lambda pair: pair[0])
            for _, records in sorted(name_records.rrsets.items())
            for record in records
        ]
