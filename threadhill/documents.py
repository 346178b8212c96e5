"""Tenants as JSON documents: reading with a report of all errors, writing and comparing."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

from threadhill.core.tenants import Tenant
from threadhill.hostnames import SERVERS_LABEL, labels_of

NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")  # a tenant's name is a label in DNS names
MAX_TENANTS = 10_000
MAX_ZONES = 64
MAX_TOTAL_RECORDS = 20_000  # static records of all tenants together: some 10 MB in a proxy
MAX_QUOTA = 1e6


class Invalid(Exception):
    """A document that cannot be used, with all its errors and their places."""

    def __init__(self, faults: list[dict[str, str]]) -> None:
        super().__init__("; ".join(f"{fault['at']}: {fault['fault']}" for fault in faults))
        self.faults = faults


def read_tenant(raw: Any, at: str, name: str | None = None) -> Tenant:
    """One tenant. If `name` is given, the document may leave the name out."""
    faults: list[dict[str, str]] = []

    def fault(where: str, text: str) -> None:
        faults.append({"at": f"{at}{where}", "fault": text})

    if not isinstance(raw, dict):
        raise Invalid([{"at": at, "fault": "must be an object"}])
    for key in sorted(set(raw) - {"name", "zones", "quota", "records"}):
        fault(f".{key}", "no such key")
    given = raw.get("name", name)
    if not isinstance(given, str) or not NAME.fullmatch(given):
        fault(".name", "must be a DNS label: lower case letters, digits and hyphens")
    elif given == SERVERS_LABEL:
        fault(".name", "is reserved")
    elif name is not None and given != name:
        fault(".name", f"must be {name!r}, as in the path")
    zones = raw.get("zones", [])
    if not isinstance(zones, list) or len(zones) > MAX_ZONES:
        fault(".zones", f"must be a list of {MAX_ZONES} at most")
        zones = []
    clean_zones = set()
    for i, zone in enumerate(zones):
        try:
            clean_zones.add(".".join(labels_of(zone)))
        except (ValueError, AttributeError):
            fault(f".zones[{i}]", "must be a domain name")
    quota = raw.get("quota", 0)
    if isinstance(quota, bool) or not isinstance(quota, int | float) or not 0 <= quota <= MAX_QUOTA:
        fault(".quota", f"must be a number from 0, no limit, to {MAX_QUOTA:.0f} requests a second")
    records = _read_records(raw["records"], clean_zones, str(given), fault) if raw.get("records") else ()
    if faults:
        raise Invalid(faults)
    return Tenant(given, tuple(sorted(clean_zones)), float(quota), records)


def _read_records(raw: Any, zones: set[str], tenant: str, fault: Callable[[str, str], None]) -> tuple[str, ...]:
    """A tenant's static records, canonical and sorted."""
    from threadhill import zonefile  # rarely needed: few tenants have records, and none on the platform

    if not isinstance(raw, list) or len(raw) > zonefile.MAX_RECORDS:
        fault(".records", f"must be a list of {zonefile.MAX_RECORDS} at most")
        return ()
    read: list[zonefile.StaticRecord] = []
    for i, text in enumerate(raw):
        try:
            read.append(zonefile.parse_record(text))
        except ValueError as error:
            fault(f".records[{i}]", str(error))
    if len(read) == len(raw):
        for i, error in zonefile.check_records(read, zones, tenant):
            fault(f".records[{i}]", error)
    return tuple(sorted(record.text for record in read))


def read_tenants(raw: Any, at: str = "tenants") -> list[Tenant]:
    """All tenants of a document. Raises Invalid with the errors of all of them."""
    if not isinstance(raw, list) or len(raw) > MAX_TENANTS:
        raise Invalid([{"at": at, "fault": f"must be a list of {MAX_TENANTS} at most"}])
    tenants: dict[str, Tenant] = {}
    faults: list[dict[str, str]] = []
    for i, item in enumerate(raw):
        try:
            tenant = read_tenant(item, f"{at}[{i}]")
        except Invalid as error:
            faults += error.faults
            continue
        if tenant.name in tenants:
            faults.append({"at": f"{at}[{i}].name", "fault": f"{tenant.name!r} appears twice"})
        tenants[tenant.name] = tenant
    if sum(len(tenant.records) for tenant in tenants.values()) > MAX_TOTAL_RECORDS:
        faults.append({"at": at, "fault": f"have over {MAX_TOTAL_RECORDS} static records together"})
    if faults:
        raise Invalid(faults)
    return [tenants[name] for name in sorted(tenants)]


def write_tenant(tenant: Tenant) -> dict[str, Any]:
    """The document of a tenant."""
    more = {"records": list(tenant.records)} if tenant.records else {}
    return {"name": tenant.name, "zones": list(tenant.zones), "quota": tenant.quota, **more}


def difference(old: list[Tenant], new: list[Tenant]) -> list[dict[str, Any]]:
    """The steps from one state to the other, sorted by name: add, remove or change, with both versions."""
    before, after = ({t.name: write_tenant(t) for t in tenants} for tenants in (old, new))
    steps = []
    for name in sorted(set(before) | set(after)):
        was, will = before.get(name), after.get(name)
        if was != will:
            step = "add" if was is None else "remove" if will is None else "change"
            steps.append({"step": step, "name": name, "from": was, "to": will})
    return steps
