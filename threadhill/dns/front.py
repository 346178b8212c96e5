"""The DNS front: each query is a request to the core, whose answer names the server of that very moment."""

from __future__ import annotations

import ipaddress
import os
import struct
from collections.abc import Callable
from dataclasses import dataclass

from threadhill.core.engine import Engine
from threadhill.core.ports import Answer, Ask, Final
from threadhill.core.slots import Slots
from threadhill.dns import message as dns
from threadhill.dns.message import Code, Query, Record, Response, Type
from threadhill.dns.names import Kind, Place, place, zone_of
from threadhill.hostnames import BOXES, labels_of

GRANT = 200_000  # microseconds in which a server named by an SRV record may be looked up; under the drain limit
GRANTS = 4_096  # of them remembered at most
SOA_TIMES = struct.pack("!4I", 3_600, 600, 86_400, 0)  # refresh, retry, expire, and 0: no negative answer is kept
Reply = Callable[[bytes], None]
Where = tuple[str, str, int]  # a server's name, host and port


@dataclass(frozen=True, slots=True)
class DnsConfig:
    """What the operator's file says of this front."""

    listen: tuple[str, int]
    deadline: int = 1_000_000  # microseconds
    nameservers: tuple[str, ...] = ()
    connections: int = 64


@dataclass(slots=True)
class Pending:
    """A query whose request the core has not answered yet."""

    query: Query
    place: Place
    reply: Reply
    most: int
    handle: int = -1


class DnsFront:
    """Answers queries over any transport; plugs into the core as a front."""

    def __init__(self, engine: Engine, config: DnsConfig, classes: frozenset[str],
                 where: Callable[[int], Where | None], families: Callable[[], set[int]]) -> None:
        self.engine, self.config, self.classes = engine, config, classes
        self.where, self.families = where, families
        self.pending: Slots[Pending] = Slots()
        self._grants: dict[tuple[str, int], tuple[int, int]] = {}  # (box, number) -> (server, until when)
        self._granted = 0

    # --- queries

    def take(self, raw: bytes, reply: Reply, stream: bool) -> int | None:
        """One message from a resolver. Returns what `forget` takes, if its answer is still to come."""
        try:
            query = dns.read_query(raw)
        except dns.Ignored:
            self.engine.stats.count("dns", "ignored")
            return None
        except dns.Bad as bad:
            self._reply(bad.query, Response(bad.code, authoritative=False), reply, 65_535 if stream else 512)
            return None
        most = 65_535 if stream else min(query.payload, dns.OUR_UDP)
        zone = zone_of(query.name, self.engine.tenants.zones())
        if zone is None or query.cls != dns.IN or query.type in (Type.AXFR, Type.IXFR):
            self._reply(query, Response(Code.REFUSED, authoritative=False), reply, most)
            return None
        at = place(query.name, zone, self.engine.tenants, self.classes)
        if at.kind in (Kind.TARGET, Kind.SERVICE) and self._steers(query, at):
            return self._ask(Pending(query, at, reply, most))
        self._reply(query, self._plain(query, at), reply, most)
        return None

    def forget(self, ref: int) -> None:
        """The resolver went away."""
        pending = self.pending.free(ref)
        if pending is not None:
            self.engine.gone(pending.handle)

    def _steers(self, query: Query, at: Place) -> bool:
        """Whether the answer names a server; where it can't, none may be charged for it."""
        if query.type == Type.SRV:
            return True
        family, there = {Type.A: 4, Type.AAAA: 6}.get(query.type), self.families()
        # With no server at all the name still has addresses, only none to be told now: SERVFAIL, not NODATA.
        return at.kind is Kind.TARGET and family is not None and (family in there or not there)

    def _ask(self, pending: Pending) -> int | None:
        at = pending.place
        ref = self.pending.add(pending)
        handle = self.engine.ask(self, ref, Ask(os.urandom(8).hex(), at.cls, at.object, self.config.deadline,
                                                at.part, tenant=at.tenant, hand_over=True))
        if self.pending.get(ref) is None:
            return None
        pending.handle = handle
        return ref

    def answer(self, ref: int, answer: Answer) -> None:
        """The core's answer: the server it names, or SERVFAIL at once, which a resolver may try again."""
        pending = self.pending.free(ref)
        if pending is None:
            return
        where = self.where(answer.server) if answer.final is Final.SERVED else None
        response = Response(Code.SERVFAIL) if where is None else self._named(pending, answer.server, where)
        self._reply(pending.query, response, pending.reply, pending.most)

    def _reply(self, query: Query, response: Response, reply: Reply, most: int) -> None:
        self.engine.stats.count("dns", response.code.name)
        reply(dns.pack(query, response, most))

    # --- records

    def _named(self, pending: Pending, server: int, where: Where) -> Response:
        """The records that name a server to this query."""
        query, (name, host, port) = pending.query, where
        address = _address(host)
        if query.type != Type.SRV:
            fits = address is not None and address.type == query.type
            return Response(answers=[address]) if fits else self._nothing(pending.place.zone)
        target = dns.pack_name((name, BOXES, *labels_of(pending.place.zone)))
        self._grant(name, server)
        srv = Record(Type.SRV, struct.pack("!3H", 0, 0, port) + target)
        more = [] if address is None else [Record(address.type, address.data, target)]
        return Response(answers=[srv], additional=more)

    def _grant(self, box: str, server: int) -> None:
        """A look-up of this target belongs to the answer just given, and is not charged a second time."""
        self._granted += 1
        self._grants[box, self._granted] = (server, self.engine.clock.now() + GRANT)
        if len(self._grants) > GRANTS:
            del self._grants[next(iter(self._grants))]

    def _box(self, at: Place, query: Query) -> Response:
        """A server's own name: there only for who was just sent to it, and only while it is ready."""
        now = self.engine.clock.now()
        for key, (server, until) in list(self._grants.items()):
            if until <= now:
                del self._grants[key]
            elif key[0] == at.box and (where := self.where(server)) is not None:
                address = _address(where[1])
                if address is None or query.type != address.type:
                    return self._nothing(at.zone)
                del self._grants[key]
                return Response(answers=[address])
        return Response(Code.NXDOMAIN, authority=[self._soa(at.zone)])

    def _plain(self, query: Query, at: Place) -> Response:
        """What needs no server."""
        if at.kind is Kind.NONE:
            return Response(Code.NXDOMAIN, authority=[self._soa(at.zone)])
        if at.kind is Kind.BOX:
            return self._box(at, query)
        if query.type == Type.ANY:  # RFC 8482: a small answer instead of all there is
            return Response(answers=[Record(Type.HINFO, b"\x07RFC8482\x00")])
        if at.kind is Kind.APEX and query.type == Type.SOA:
            return Response(answers=[self._soa(at.zone, dns.QUESTION)])
        if at.kind is Kind.APEX and query.type == Type.NS and self.config.nameservers:
            names = [dns.pack_name(labels_of(name)) for name in self.config.nameservers]
            return Response(answers=[Record(Type.NS, name) for name in names])
        return self._nothing(at.zone)

    def _nothing(self, zone: str) -> Response:
        """The name exists, but nothing of this type."""
        return Response(authority=[self._soa(zone)])

    def _soa(self, zone: str, owner: bytes = b"") -> Record:
        labels = labels_of(zone)
        first = labels_of(self.config.nameservers[0]) if self.config.nameservers else ("ns", *labels)
        data = dns.pack_name(first) + dns.pack_name(("hostmaster", *labels))
        serial = struct.pack("!I", self.engine.tenants.version & 0xFFFFFFFF)
        return Record(Type.SOA, data + serial + SOA_TIMES, owner or dns.pack_name(labels))


def _address(host: str) -> Record | None:
    try:
        address = ipaddress.ip_address(host)
    except ValueError:
        return None  # a name is no address that could be handed out
    return Record(Type.A if address.version == 4 else Type.AAAA, address.packed)
