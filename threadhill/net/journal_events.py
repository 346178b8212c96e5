"""Decodes discovery's events: each is read and validated completely before any of it is applied."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from threadhill.core.tenants import Tenant
from threadhill.decision import interface as api
from threadhill.decision.hashing import hash_name
from threadhill.documents import Invalid, read_tenants
from threadhill.settings import Malformed, address, integer, mapping, number, required_integer, sequence, text

INVALID_START = 1  # Unix microseconds; stands for an invalid start time
SLICE = 100  # members read or applied before other work is scheduled
STATES = {"SERVING": api.State.READY, "DRAINING": api.State.DRAINING, "DELETED": api.State.GONE}


def server_number(name: str) -> int:
    """The decision module's number for a server id, the same at every proxy: hex digits after `s-`, or a hash."""
    if name.startswith("s-") and len(name) == 10:
        try:
            return int(name[2:], 16)
        except ValueError:
            pass
    return hash_name(name) & 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Member:
    """One server of a list, with its id and its address, which is optional unless it is ready."""

    entry: api.Entry
    name: str
    address: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class Event:
    """One decoded event."""

    pos: int
    members: tuple[Member, ...] | None = None
    complete: bool = False
    revision: int = 0
    object: str | None = None
    group: int | None = None
    stamp: int | None = None  # Unix microseconds of the purge, 0 if invalid; None: the event is no purge
    tenants: tuple[Tenant, ...] | None = None  # protocol extension: added or changed tenants
    tenants_gone: frozenset[str] = frozenset()


def read_member(raw: Any) -> Member:
    raw = mapping(raw, "a member")
    name = text(raw.get("id"), "id")
    if not name or set(name) & set(" ,=\r\n"):  # it is sent in request lines to cache servers
        raise Malformed(f"not an id: {name[:60]!r}")
    state = STATES.get(text(raw.get("phase"), "phase"), api.State.GONE)
    host_port = address(raw["host_port"], "host_port") if raw.get("host_port") else None
    if host_port is None and state is api.State.READY:
        raise Malformed("a serving member has no address")
    entry = api.Entry(
        server_number(name),
        state,
        raw.get("locality") or "",
        raw.get("flavor") or "",
        integer(raw.get("cell"), "cell"),
        number(raw.get("size"), "size"),
        read_start(raw.get("up_since_ms")),
    )
    return Member(entry, name, host_port)


def read_start(raw: Any) -> int:
    """`up_since_ms` as Unix microseconds. An invalid value is read as an impossible time, so that the server is treated
    as just started."""
    try:
        return max(INVALID_START, integer(raw, "up_since_ms") * 1_000) if raw else 0
    except Malformed:
        return INVALID_START


def read_stamp(raw: Any) -> int:
    """A purge's `stamp` as Unix microseconds; 0 if invalid, so that the purge is treated as issued now."""
    try:
        return max(0, integer(raw, "stamp") * 1_000)
    except Malformed:
        return 0


def read_heartbeat(raw: Any) -> int | None:
    """The service's last number, if the line is a heartbeat: a bare number, or an object with only `pos`. Else None."""
    if isinstance(raw, dict) and [key for key, value in raw.items() if value is not None] == ["pos"]:
        raw = required_integer(raw["pos"], "pos")
    return raw if isinstance(raw, int) and not isinstance(raw, bool) else None


def read_event(raw: Any) -> Event:
    """Decode an event at once."""
    steps = read_event_steps(raw, KnownMembers())
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


class KnownMembers:
    """A cache of decoded members: most members of a repeated complete list have not changed."""

    def __init__(self) -> None:
        self._read: dict[str, tuple[Any, Member]] = {}

    def member(self, raw: Any) -> Member:
        """Decode a member; returns the same object as before if it has not changed."""
        name = raw.get("id") if isinstance(raw, dict) else None
        known = self._read.get(name) if isinstance(name, str) else None
        if known is not None and known[0] == raw:
            return known[1]
        member = read_member(raw)
        if member.entry.state is api.State.GONE:
            self._read.pop(member.name, None)
        else:
            self._read[member.name] = raw, member
        return member

    def keep(self, names: set[str]) -> None:
        """Forget all members but these, which a complete list names."""
        self._read = {name: known for name, known in self._read.items() if name in names}


def read_event_steps(raw: Any, known: KnownMembers) -> Generator[None, None, Event]:
    """Decode an event, a slice of its members at a time; the generator returns it."""
    raw = mapping(raw, "an event")
    pos, hosts, expire = required_integer(raw.get("pos"), "pos"), raw.get("hosts"), raw.get("expire")
    members, complete, revision = None, False, 0
    if hosts is not None:
        hosts = mapping(hosts, "hosts")
        found = []
        for count, raw_member in enumerate(sequence(hosts.get("members"), "members"), 1):
            found.append(known.member(raw_member))
            if count % SLICE == 0:
                yield
        members = tuple(found)
        complete, revision = bool(hosts.get("complete")), integer(hosts.get("revision"), "revision")
    tenants, gone = None, frozenset()
    if raw.get("tenants") is not None:
        changes = mapping(raw["tenants"], "tenants")
        try:
            tenants = tuple(read_tenants(sequence(changes.get("set"), "tenants.set")))
        except Invalid as error:
            raise Malformed(str(error)) from None
        gone = frozenset(text(name, "tenants.gone") for name in sequence(changes.get("gone"), "tenants.gone"))
        complete = complete or bool(changes.get("complete"))
    if expire is None:
        return Event(pos, members, complete, revision, tenants=tenants, tenants_gone=gone)
    expire = mapping(expire, "expire")
    name, group = expire.get("name"), expire.get("set")
    return Event(
        pos,
        members,
        complete,
        revision,
        name if isinstance(name, str) else None,
        None if group is None else integer(group, "set"),
        read_stamp(expire.get("stamp")),
    )
