"""Discovery's events as they stand on the wire: read whole and checked before anything of them is applied."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from threadhill.core.tenants import Tenant
from threadhill.decision import interface as api
from threadhill.decision.hashing import number_of
from threadhill.documents import Invalid, read_tenants
from threadhill.settings import Malformed, address, integer, mapping, number, required_integer, sequence, text

UNUSABLE_START = 1  # Unix microsecond that stands for a start that is not told in a usable form
SLICE = 100  # members that are read or applied before other work gets its turn
STATES = {"SERVING": api.State.READY, "DRAINING": api.State.DRAINING, "DELETED": api.State.GONE}


def server_number(name: str) -> int:
    """An id as the module's number, the same at every proxy: `s-` and hex digits are the number itself."""
    if name.startswith("s-") and len(name) == 10:
        try:
            return int(name[2:], 16)
        except ValueError:
            pass
    return number_of(name) & 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class Member:
    """One server of a list, with its id and, unless it is gone, its address."""

    entry: api.Entry
    name: str
    where: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class Event:
    """One event, read whole before any of it is applied."""

    pos: int
    members: tuple[Member, ...] | None = None
    complete: bool = False
    revision: int = 0
    object: str | None = None
    group: int | None = None
    stamp: int | None = None  # Unix microseconds of the purge, 0 where it is unusable; None: the event is none
    tenants: tuple[Tenant, ...] | None = None  # an addition of ours: tenants that there are from now on
    tenants_gone: frozenset[str] = frozenset()


def read_member(raw: Any) -> Member:
    raw = mapping(raw, "a member")
    name = text(raw.get("id"), "id")
    if not name or set(name) & set(" ,=\r\n"):  # it goes into cache servers' lines
        raise Malformed(f"not an id: {name[:60]!r}")
    state = STATES.get(text(raw.get("phase"), "phase"), api.State.GONE)
    where = address(raw["host_port"], "host_port") if raw.get("host_port") else None
    if where is None and state is api.State.READY:
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
    return Member(entry, name, where)


def read_start(raw: Any) -> int:
    """`up_since_ms` as Unix microseconds. What is no time is read as a start at a time that cannot be, so that the
    server is taken for one that has just started."""
    try:
        return max(UNUSABLE_START, integer(raw, "up_since_ms") * 1_000) if raw else 0
    except Malformed:
        return UNUSABLE_START


def read_stamp(raw: Any) -> int:
    """A purge's `stamp` as Unix microseconds; 0 for what is no time, so that it is taken for one of now."""
    try:
        return max(0, integer(raw, "stamp") * 1_000)
    except Malformed:
        return 0


def read_heartbeat(raw: Any) -> int | None:
    """The last number of the service, where the line holds nothing else: a number alone, or an object with only `pos`.
    None for a line that is something else."""
    if isinstance(raw, dict) and [key for key, value in raw.items() if value is not None] == ["pos"]:
        raw = required_integer(raw["pos"], "pos")
    return raw if isinstance(raw, int) and not isinstance(raw, bool) else None


def read_event(raw: Any) -> Event:
    """An event, read at once."""
    steps = read_event_steps(raw, KnownMembers())
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


class KnownMembers:
    """Members as they were read last: most of a whole list that is told again has not changed."""

    def __init__(self) -> None:
        self._read: dict[str, tuple[Any, Member]] = {}

    def member(self, raw: Any) -> Member:
        """The member that this stands for: the same object as before where nothing of it changed."""
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
        """Forget all others: a whole list names these."""
        self._read = {name: known for name, known in self._read.items() if name in names}


def read_event_steps(raw: Any, known: KnownMembers) -> Generator[None, None, Event]:
    """An event, read a slice of its members at a time; its value is what the iteration returns."""
    raw = mapping(raw, "an event")
    pos, hosts, expire = required_integer(raw.get("pos"), "pos"), raw.get("hosts"), raw.get("expire")
    members, complete, revision = None, False, 0
    if hosts is not None:
        hosts = mapping(hosts, "hosts")
        found = []
        for count, told in enumerate(sequence(hosts.get("members"), "members"), 1):
            found.append(known.member(told))
            if count % SLICE == 0:
                yield
        members = tuple(found)
        complete, revision = bool(hosts.get("complete")), integer(hosts.get("revision"), "revision")
    tenants, gone = None, frozenset()
    if raw.get("tenants") is not None:
        told = mapping(raw["tenants"], "tenants")
        try:
            tenants = tuple(read_tenants(sequence(told.get("set"), "tenants.set")))
        except Invalid as error:
            raise Malformed(str(error)) from None
        gone = frozenset(text(name, "tenants.gone") for name in sequence(told.get("gone"), "tenants.gone"))
        complete = complete or bool(told.get("complete"))
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
