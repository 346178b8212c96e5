"""What a control plane that lost its state may adopt, from what proxies hold and the newest snapshot.

Free of I/O. Each server is judged separately. The proxies with the highest event number have the newest view. A proxy
that is behind may differ from it in what later events explain: a server that was added, drained or removed. Any other
difference is a contradiction that cannot be resolved here: it is shown, and until an operator decides, the server is
recorded as draining, since sending no request at all is better than sending one to a wrong address.

| finding | when | what is recorded |
| --- | --- | --- |
| certain | all proxies that hold it agree, or are only behind | as they hold it |
| in doubt | they contradict each other, or one that is behind differs in what later events do not explain | draining |
| missing | the snapshot has it but no proxy holds it: it was removed, or the proxies that knew it are gone | nothing |

What proxies do not know (nodes, hubs, classes, settings, proxies) is taken from the snapshot unchanged.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from threadhill.settings import Malformed, address, integer, mapping, number, required_integer, sequence, text

MAX_MEMBERS = 10_000  # servers of one proxy's view
KINDS = ("box", "parent", "library")
SERVING, DRAINING = "SERVING", "DRAINING"
COMPARED_FIELDS = ("host_port", "locality", "flavor", "cell", "size", "up_since_ms")


@dataclass(slots=True)
class ProxyView:
    """What one proxy holds, as it reported."""

    proxy: str
    pos: int
    zone: str = ""  # its location; of other locations' boxes it knows only those that changed since its start
    members: dict[str, dict[str, Any]] = field(default_factory=dict)
    tenants: dict[str, dict[str, Any]] = field(default_factory=dict)
    parts: set[int] = field(default_factory=set)
    of: int = 1

    @property
    def whole(self) -> bool:
        return len(self.parts) == self.of


@dataclass(frozen=True, slots=True)
class Finding:
    """One resource, and what is recorded for it."""

    id: str
    state: str  # certain, in doubt, missing
    why: str
    record: dict[str, Any] | None = None  # kind, name, attrs, phase, since; None: nothing is recorded


@dataclass(frozen=True, slots=True)
class Proposal:
    """All findings, and an event number higher than any that a proxy has seen."""

    findings: tuple[Finding, ...]
    pos: int
    proxies: tuple[str, ...]
    snapshot: str

    def digest(self) -> str:
        """Identifies the proposal that an operator confirms; it changes with every new finding."""
        raw = orjson.dumps([[f.id, f.state, f.record] for f in self.findings] + [self.pos, list(self.proxies)])
        return f"{zlib.crc32(raw):08x}"

    def document(self) -> dict[str, Any]:
        return {
            "digest": self.digest(),
            "pos": self.pos,
            "proxies": list(self.proxies),
            "snapshot": self.snapshot,
            "findings": [{"id": f.id, "state": f.state, "why": f.why, "record": f.record} for f in self.findings],
        }


def add_part(held: dict[str, ProxyView], raw: Any) -> ProxyView:
    """Adds one part of a proxy's report to its view. Raises Malformed if it can't be read."""
    raw = mapping(raw, "what a proxy holds")
    report = mapping(raw.get("holds"), "holds")
    name, pos = text(raw.get("proxy"), "proxy"), required_integer(report.get("pos"), "pos")
    part, of = integer(report.get("part"), "part"), max(1, integer(report.get("of"), "of"))
    if not name or not 0 <= part < of or of > MAX_MEMBERS:
        raise Malformed("a part of what a proxy holds has no proxy name, or its position is out of range")
    members = [_member(member) for member in sequence(report.get("members"), "members")]
    tenants = {
        text(t.get("name"), "a tenant's name"): dict(t)
        for t in sequence(report.get("tenants"), "tenants")
        if isinstance(t, Mapping)
    }
    view = held.get(name)
    if view is None or view.pos != pos or view.of != of or part in view.parts:
        view = held[name] = ProxyView(name, pos, text(report.get("zone"), "zone"), of=of)
    if len(view.members) + len(members) > MAX_MEMBERS:
        raise Malformed(f"{name} holds over {MAX_MEMBERS} servers")
    view.members |= {member["id"]: member for member in members}
    view.tenants |= tenants
    view.parts.add(part)
    return view


def _member(raw: Any) -> dict[str, Any]:
    raw = mapping(raw, "a member")
    name, phase, flavor = (text(raw.get(key), key) for key in ("id", "phase", "flavor"))
    if not name or phase not in (SERVING, DRAINING) or flavor not in KINDS:
        raise Malformed(f"not a server that a proxy may hold: {str(raw)[:80]}")
    host, port = address(raw.get("host_port"), "host_port")
    return {
        "id": name,
        "host_port": f"{host}:{port}",
        "locality": text(raw.get("locality"), "locality"),
        "flavor": flavor,
        "cell": integer(raw.get("cell"), "cell"),
        "size": number(raw.get("size"), "size"),
        "phase": phase,
        "up_since_ms": integer(raw.get("up_since_ms"), "up_since_ms"),
    }


def propose(
    held: Iterable[ProxyView], records: Mapping[str, Mapping[str, Any]], known_pos: int, seen: int, snapshot: str = ""
) -> Proposal:
    """The proposal. `records`: of the newest snapshot, by id (kind, name, attrs, phase, since). `known_pos`: its last
    number. `seen`: the highest number that any proxy named, whether or not it reported what it holds."""
    views = sorted((view for view in held if view.whole), key=lambda view: (-view.pos, view.proxy))
    newest = [view for view in views if view.pos == views[0].pos] if views else []
    findings = [_server(name, views, records) for name in sorted({name for view in views for name in view.members})]
    findings = [finding for finding in findings if finding is not None]
    findings += _tenants(newest, records)
    found_ids = {finding.id for finding in findings}
    for id, record in sorted(records.items()):
        if id in found_ids:
            continue
        if record["kind"] not in (*KINDS, "tenant"):
            findings.append(Finding(id, "certain", "as in the snapshot: proxies hold no such resources", dict(record)))
        elif not views:
            findings.append(
                Finding(
                    id,
                    "in doubt",
                    "only in the snapshot, and no proxy reported what it holds",
                    dict(record) | {"phase": "draining"} if record["kind"] in KINDS else dict(record),
                )
            )
        else:
            findings.append(
                Finding(
                    id,
                    "missing",
                    f"in the snapshot, held by none of {len(views)} proxies: removed "
                    "since, or the proxies that knew it are gone",
                )
            )
    pos = 1 + max([known_pos, seen, *(view.pos for view in views)])
    return Proposal(tuple(sorted(findings, key=lambda f: f.id)), pos, tuple(sorted(o.proxy for o in views)), snapshot)


def _server(name: str, views: list[ProxyView], records: Mapping[str, Any]) -> Finding | None:
    """The finding on a server that at least one proxy holds; None if it was removed."""
    first = next(member for view in views if (member := view.members.get(name)) is not None)
    views = [
        view
        for view in views  # those that would know it
        if name in view.members or first["flavor"] != "box" or view.zone == first["locality"]
    ]
    newest = [view for view in views if view.pos == views[0].pos]
    best = next((member for view in newest if (member := view.members.get(name)) is not None), None)
    if best is None:  # the newest view no longer has it
        return None
    id = f"{best['flavor']}.{name}"
    behind = [view for view in views if view not in newest]
    differences = []
    for view in newest:
        other = view.members.get(name)
        if other != best:
            differences.append(f"{view.proxy} at {view.pos}: {_describe(other)}, {newest[0].proxy}: {_describe(best)}")
    for view in behind:
        other = view.members.get(name)
        if other is not None and not _explained_by_later_events(other, best):
            differences.append(
                f"{view.proxy} at {view.pos}: {_describe(other)}, "
                f"{newest[0].proxy} at {newest[0].pos}: {_describe(best)}"
            )
    record = _record(best, records.get(id))
    if differences:
        return Finding(id, "in doubt", "; ".join(differences[:3]), record | {"phase": "draining"})
    agreeing = sum(view.members.get(name) == best for view in views)
    outdated = sum(view.members.get(name) != best for view in behind)
    behind = f"; {outdated} are behind" if outdated else ""
    return Finding(id, "certain", f"{_describe(best)}, according to {agreeing} proxies{behind}", record)


def _explained_by_later_events(old: Mapping[str, Any], new: Mapping[str, Any]) -> bool:
    """Whether later events explain the difference: the server was drained since, or restarted."""
    if all(old[key] == new[key] for key in COMPARED_FIELDS):
        return old["phase"] == new["phase"] or new["phase"] == DRAINING
    return new["up_since_ms"] > old["up_since_ms"]


def _describe(member: Mapping[str, Any] | None) -> str:
    if member is None:
        return "does not have it"
    start = f", started {member['up_since_ms']}" if member["up_since_ms"] else ""
    return f"{'serving' if member['phase'] == SERVING else 'draining'} at {member['host_port']}{start}"


def _record(member: Mapping[str, Any], known: Mapping[str, Any] | None) -> dict[str, Any]:
    """The record of a server as proxies hold it. What they do not know is taken from the snapshot, or from the defaults
    of a plan file."""
    kind = member["flavor"]
    place = {"node": f"node.{member['locality']}"} if kind == "box" else {"hub": f"hub.{member['locality']}"}
    attrs = {"warm": True, **({"fills_from": []} if kind != "library" else {}), **place}
    attrs |= dict(known["attrs"]) if known is not None else {}
    attrs |= {"address": member["host_port"], "cell": member["cell"], "size": member["size"]}
    if attrs.get("node", attrs.get("hub", "")).split(".", 1)[-1] != member["locality"]:
        attrs |= place
    phase = "draining" if member["phase"] == DRAINING else "cold" if member["up_since_ms"] else "warm"
    return {"kind": kind, "name": member["id"], "attrs": attrs, "phase": phase, "since": member["up_since_ms"]}


def _tenants(newest: list[ProxyView], records: Mapping[str, Mapping[str, Any]]) -> list[Finding]:
    """Tenants, as the proxies with the highest number hold them."""
    found = []
    for name in sorted({name for view in newest for name in view.tenants}):
        held = [view.tenants.get(name) for view in newest]
        id, first = f"tenant.{name}", next(tenant for tenant in held if tenant is not None)
        known = records.get(id)
        attrs = {
            "records": [],
            **(dict(known["attrs"]) if known is not None else {}),
            "zones": first.get("zones", []),
            "quota": first.get("quota", 0),
        }
        record = {"kind": "tenant", "name": name, "attrs": attrs, "phase": "set", "since": 0}
        differences = sum(tenant != first for tenant in held)
        found.append(
            Finding(
                id,
                "in doubt" if differences else "certain",
                f"{differences} of {len(held)} proxies differ" if differences else f"as {len(held)} proxies hold it",
                record,
            )
        )
    return found
