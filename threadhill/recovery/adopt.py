"""What a control plane that lost its state may take for true again: from what proxies hold and the newest snapshot.

Free of I/O. Each server is judged by itself. Proxies with the greatest number know the newest world; one that is behind
may differ from them in what later news explains: a server that was added, was drained, or went. Where they differ in
anything else, they contradict each other, and nobody here knows who is right: that is shown, and until an operator
settles it the server is recorded as draining, as no request at all is better than one to the wrong address.

| finding | when | what is recorded |
| --- | --- | --- |
| certain | all who hold it agree, or are only behind | as they hold it |
| in doubt | they contradict each other, or one that is behind says more than later news explains | draining |
| missing | the snapshot has it, and no proxy does: it went since, or nobody who knew it lives | nothing |

What proxies do not know (nodes, hubs, classes, settings, proxies) is the snapshot's, as it was.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from threadhill.settings import Malformed, address, integer, mapping, number, required_integer, sequence, text

MEMBERS = 10_000  # servers of one proxy's world
KINDS = ("box", "parent", "library")
SERVING, DRAINING = "SERVING", "DRAINING"
TOLD = ("host_port", "locality", "flavor", "cell", "size", "up_since_ms")


@dataclass(slots=True)
class ProxyView:
    """One proxy's world, as it said."""

    proxy: str
    pos: int
    zone: str = ""  # where it stands: of other places' boxes it knows only those that changed since its start
    members: dict[str, dict[str, Any]] = field(default_factory=dict)
    tenants: dict[str, dict[str, Any]] = field(default_factory=dict)
    parts: set[int] = field(default_factory=set)
    of: int = 1

    @property
    def whole(self) -> bool:
        return len(self.parts) == self.of


@dataclass(frozen=True, slots=True)
class Finding:
    """One resource, and what becomes of it."""

    id: str
    state: str  # certain, in doubt, missing
    why: str
    record: dict[str, Any] | None = None  # kind, name, attrs, phase, since; None: nothing is recorded


@dataclass(frozen=True, slots=True)
class Proposal:
    """All findings, and the number that is behind every number that any proxy has seen."""

    findings: tuple[Finding, ...]
    pos: int
    proxies: tuple[str, ...]
    snapshot: str

    def digest(self) -> str:
        """What an operator confirms: anything found anew makes it another."""
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
    """One part of what a proxy holds, added to what it said before. Raises Malformed where it can't be read."""
    raw = mapping(raw, "what a proxy holds")
    told = mapping(raw.get("holds"), "holds")
    name, pos = text(raw.get("proxy"), "proxy"), required_integer(told.get("pos"), "pos")
    part, of = integer(told.get("part"), "part"), max(1, integer(told.get("of"), "of"))
    if not name or not 0 <= part < of or of > MEMBERS:
        raise Malformed("a part of what a proxy holds has no name, or no place")
    members = [_member(member) for member in sequence(told.get("members"), "members")]
    tenants = {
        text(t.get("name"), "a tenant's name"): dict(t)
        for t in sequence(told.get("tenants"), "tenants")
        if isinstance(t, Mapping)
    }
    one = held.get(name)
    if one is None or one.pos != pos or one.of != of or part in one.parts:
        one = held[name] = ProxyView(name, pos, text(told.get("zone"), "zone"), of=of)
    if len(one.members) + len(members) > MEMBERS:
        raise Malformed(f"{name} holds over {MEMBERS} servers")
    one.members |= {member["id"]: member for member in members}
    one.tenants |= tenants
    one.parts.add(part)
    return one


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
    """The proposal: `records` of the newest snapshot by id (kind, name, attrs, phase, since), `known_pos` its last
    number, `seen` the greatest number that any proxy named, whether or not it said what it holds."""
    worlds = sorted((one for one in held if one.whole), key=lambda one: (-one.pos, one.proxy))
    newest = [one for one in worlds if one.pos == worlds[0].pos] if worlds else []
    findings = [_server(name, worlds, records) for name in sorted({name for one in worlds for name in one.members})]
    findings = [finding for finding in findings if finding is not None]
    findings += _tenants(newest, records)
    named = {finding.id for finding in findings}
    for id, record in sorted(records.items()):
        if id in named:
            continue
        if record["kind"] not in (*KINDS, "tenant"):
            findings.append(Finding(id, "certain", "as in the snapshot: proxies do not know of it", dict(record)))
        elif not worlds:
            findings.append(
                Finding(
                    id,
                    "in doubt",
                    "only the snapshot has it, and no proxy said what it holds",
                    dict(record) | {"phase": "draining"} if record["kind"] in KINDS else dict(record),
                )
            )
        else:
            findings.append(
                Finding(
                    id,
                    "missing",
                    f"in the snapshot, held by none of {len(worlds)} proxies: it went "
                    "since, or nobody lives who knew it",
                )
            )
    pos = 1 + max([known_pos, seen, *(one.pos for one in worlds)])
    return Proposal(tuple(sorted(findings, key=lambda f: f.id)), pos, tuple(sorted(o.proxy for o in worlds)), snapshot)


def _server(name: str, worlds: list[ProxyView], records: Mapping[str, Any]) -> Finding | None:
    """What is to be thought of one server that somebody holds."""
    first = next(member for one in worlds if (member := one.members.get(name)) is not None)
    worlds = [
        one
        for one in worlds  # who would know of it
        if name in one.members or first["flavor"] != "box" or one.zone == first["locality"]
    ]
    newest = [one for one in worlds if one.pos == worlds[0].pos]
    best = next((member for one in newest if (member := one.members.get(name)) is not None), None)
    if best is None:  # the newest world has it no more
        return None
    id = f"{best['flavor']}.{name}"
    behind = [one for one in worlds if one not in newest]
    odd = []
    for one in newest:
        other = one.members.get(name)
        if other != best:
            odd.append(f"{one.proxy} at {one.pos} {_said(other)}, {newest[0].proxy} {_said(best)}")
    for one in behind:
        other = one.members.get(name)
        if other is not None and not _later(other, best):
            odd.append(f"{one.proxy} at {one.pos} {_said(other)}, {newest[0].proxy} at {newest[0].pos} {_said(best)}")
    record = _record(best, records.get(id))
    if odd:
        return Finding(id, "in doubt", "; ".join(odd[:3]), record | {"phase": "draining"})
    who = sum(one.members.get(name) == best for one in worlds)
    late = sum(one.members.get(name) != best for one in behind)
    behind = f"; {late} are behind" if late else ""
    return Finding(id, "certain", f"{_said(best)}, say {who} proxies{behind}", record)


def _later(old: Mapping[str, Any], new: Mapping[str, Any]) -> bool:
    """Whether news that came later explains the difference: it drained since, or was started anew."""
    if all(old[key] == new[key] for key in TOLD):
        return old["phase"] == new["phase"] or new["phase"] == DRAINING
    return new["up_since_ms"] > old["up_since_ms"]


def _said(member: Mapping[str, Any] | None) -> str:
    if member is None:
        return "does not have it"
    start = f", started {member['up_since_ms']}" if member["up_since_ms"] else ""
    return f"{'serving' if member['phase'] == SERVING else 'draining'} at {member['host_port']}{start}"


def _record(member: Mapping[str, Any], known: Mapping[str, Any] | None) -> dict[str, Any]:
    """The record of a server as it is held; what proxies do not know is as in the snapshot, or as a file that says
    nothing more would have it."""
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
    """Tenants as those with the greatest number hold them."""
    found = []
    for name in sorted({name for one in newest for name in one.tenants}):
        said = [one.tenants.get(name) for one in newest]
        id, first = f"tenant.{name}", next(tenant for tenant in said if tenant is not None)
        known = records.get(id)
        attrs = {
            "records": [],
            **(dict(known["attrs"]) if known is not None else {}),
            "zones": first.get("zones", []),
            "quota": first.get("quota", 0),
        }
        record = {"kind": "tenant", "name": name, "attrs": attrs, "phase": "set", "since": 0}
        odd = sum(tenant != first for tenant in said)
        found.append(
            Finding(
                id,
                "in doubt" if odd else "certain",
                f"{odd} of {len(said)} proxies say else" if odd else f"as {len(said)} proxies hold it",
                record,
            )
        )
    return found
