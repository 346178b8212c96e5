"""The DNS front: each query is a request to the core, whose answer names the server of that very moment."""

from __future__ import annotations

import ipaddress
import os
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path
from typing import TYPE_CHECKING

from threadhill.core.clock import unix_seconds
from threadhill.core.engine import Engine
from threadhill.core.ports import Answer, ClientRequest, FinalStatus
from threadhill.core.slots import Slots
from threadhill.dns import message as dns
from threadhill.dns import records, transfer, tsig
from threadhill.dns.charging import SECOND, Charging, resolver_key
from threadhill.dns.cookies import Cookies, Verdict
from threadhill.dns.limits import Limits, Send, most_bytes
from threadhill.dns.message import Code, Query, Record, Response, Type
from threadhill.dns.names import Kind, ParsedName, parse_name, zone_of
from threadhill.dns.options import Extended, Subnet
from threadhill.dns.static import Statics
from threadhill.dns.transfer import TransferConfig
from threadhill.dns.tsig import Signed
from threadhill.dns.views import View, Views
from threadhill.hostnames import SERVERS_LABEL, labels_of

if TYPE_CHECKING:  # the cryptography package is loaded where a zone is signed
    from threadhill.dns.signing import Signer

GRANT = 200_000  # microseconds in which a server that a record named may be looked up; under the drain limit
GRANTS = 4_096  # of them remembered at most
SOA_TIMES = (3_600, 600, 86_400, 0)  # refresh, retry, expire, and 0: no negative answer is kept
PAD = 468  # bytes that a padded response is a multiple of (RFC 8467, section 4.1)
KEEPALIVE = 100  # tenths of a second that an idle connection is kept, as clients are told (RFC 7828)
NAMING = (Type.SRV, Type.SVCB, Type.HTTPS)  # types whose records name a server by a name of its own
Reply = Callable[[bytes], None]
Where = tuple[str, str, int]  # a server's name, host and port


@dataclass(frozen=True, slots=True)
class TlsConfig:
    """DNS over TLS, as the operator's file has it."""

    listen: tuple[str, int]
    certificate: Path
    key: Path


@dataclass(frozen=True, slots=True)
class DnsConfig:
    """What the operator's file says of this front."""

    listen: tuple[str, int]
    deadline: int = 1_000_000  # microseconds
    nameservers: tuple[str, ...] = ()
    connections: int = 64
    nsid: bytes = b""  # who answered, for those who ask (RFC 5001)
    fallback: str = ""  # where resolvers that keep answers of TTL 0 are sent instead of to a server, by CNAME
    responses_per_s: float = 100.0  # over UDP, to one network without a cookie of ours; 0: no limit
    slip: int = 2  # of the responses that are over it, every so many is sent truncated; 0: none
    resolver_qps: float = 500.0  # queries of one resolver that reach the module each second; 0: no limit
    unproven_qps: float = 1_000.0  # queries that reach the module from all unproven addresses together; 0: no limit
    trusted: tuple[str, ...] = ()  # networks whose addresses count as proven: the operator's own resolvers
    views: tuple[View, ...] = ()  # which clients are answered with which node's servers
    tls: TlsConfig | None = None  # where it answers over TLS as well, and with which certificate
    transfer: TransferConfig = field(default_factory=TransferConfig)  # who may copy zones
    keys: Path | None = None  # the folder of the zones' signing keys; a zone without one is not signed
    signature_life: int = 3_600  # seconds for which a signature is good at the least
    per_network: int = 32  # connections that one network may hold at once, over TCP and over TLS each; 0: no limit


@dataclass(slots=True)
class Peer:
    """Who asked, and how an answer reaches it."""

    address: str
    stream: bool  # over a connection: its address is proven by the handshake
    reply: Reply
    proven: bool = False  # by the handshake, or by a cookie that this server made for it
    secure: bool = False  # over TLS
    signed: Signed | None = None  # by a key that is shared with it; the answer is signed too
    several: Callable[[Iterator[bytes]], None] | None = None  # sends one message after another, as it takes them


@dataclass(slots=True)
class Pending:
    """A query whose request the core has not answered yet."""

    query: Query
    place: ParsedName
    peer: Peer
    resolver: str = ""  # whose clients it is for: the client subnet told, else the resolver's network
    handle: int = -1
    engine: Engine | None = None  # that of the node it is answered for
    scope: int = 0  # bits of the client subnet that the answer holds for


class DnsFront:
    """Answers queries over any transport; plugs into the core as a front."""

    name = "dns"

    def __init__(
        self,
        engine: Engine,
        config: DnsConfig,
        classes: frozenset[str],
        where: Callable[[int], Where | None],
        families: Callable[[], set[int]],
        nodes: dict[str, Engine] | None = None,
        signer: Signer | None = None,
    ) -> None:
        self.engine, self.config, self.classes = engine, config, classes
        self.views = Views(list(config.views), engine.router.settings.zone)
        self.nodes = {engine.router.settings.zone: engine, **(nodes or {})}  # an engine of its own for each view's node
        self.where, self.families, self.signer = where, families, signer
        self.pending: Slots[Pending] = Slots()
        self._grants: dict[tuple[str, int], tuple[int, int]] = {}  # (box, number) -> (server, until when)
        self._granted = 0
        self.statics = Statics(engine.tenants)
        self.charging = Charging()
        self.cookies = Cookies(os.urandom(16))  # a new secret at each start: cookies of the old one are made anew
        self.limits = Limits(config.responses_per_s, config.slip, config.resolver_qps, config.unproven_qps)
        self._trusted = lru_cache(4_096)(self._is_trusted)
        self._networks = [ipaddress.ip_network(network, strict=False) for network in config.trusted]
        engine.load_listeners.append(
            lambda server, brought: self.charging.reported(server, brought, engine.clock.now())
        )

    # --- queries

    def take(
        self,
        raw: bytes,
        reply: Reply,
        stream: bool,
        peer: str = "",
        secure: bool = False,
        several: Callable[[Iterator[bytes]], None] | None = None,
    ) -> int | None:
        """One message from a resolver at `peer`. Returns what `forget` takes, if its answer is still to come."""
        try:
            query = dns.read_query(raw)
        except dns.Ignored:
            self.engine.stats.count("dns", "ignored")
            return None
        except dns.Bad as bad:
            self._reply(bad.query, Response(bad.code, authoritative=False), Peer(peer, stream, reply, stream, secure))
            return None
        now = self.engine.clock.now()
        proven = (
            stream
            or self._trusted(peer)
            or self.cookies.check(query.options.cookie, peer, now // SECOND) is Verdict.GOOD
        )
        asker = Peer(peer, stream, reply, proven, secure, several=several)
        if not stream:
            sent = self.limits.response(resolver_key(peer), proven, now)
            if sent is not Send.ANSWER:  # a flood, most likely from addresses that are not the askers'
                self.engine.stats.count("dns", f"rate limited, {sent.value}")
                if sent is Send.SLIP:
                    self._reply(query, Response(truncated=True), asker)
                return None
        if query.tsig_at and not self._signature_holds(raw, query, asker):
            return None
        zone = zone_of(query.name, self.engine.tenants.zones())
        if zone is None or query.cls != dns.IN:
            error = (
                (Extended.NOT_AUTHORITATIVE, "no zone of this server")
                if zone is None
                else (Extended.PROHIBITED, "classes other than IN are not served")
            )
            self._reply(query, Response(Code.REFUSED, authoritative=False, error=error), asker)
            return None
        if query.type in (Type.AXFR, Type.IXFR):
            self._transfer(query, zone, asker)
            return None
        if query.type == Type.NXNAME:  # RFC 9824, section 3.5
            error = (Extended.INVALID_TYPE, "NXNAME stands in denials only")
            self._reply(query, Response(Code.FORMERR, error=error), asker)
            return None
        at = parse_name(query.name, zone, self.engine.tenants, self.classes)
        if at.kind in (Kind.TARGET, Kind.SERVICE) and self._steers(query, at):
            subnet = query.options.subnet
            told = (subnet.family, subnet.source, subnet.address) if subnet is not None else None
            resolver = resolver_key(peer, told)
            if not proven and query.type not in (Type.A, Type.AAAA):
                # A name with its target and hints is more than half as large again as what asked for it: whoever
                # asks from an address that is not proven is told to come over TCP, or with the cookie it is sent.
                self._reply(query, Response(truncated=True), asker)
                return None
            if not proven and not self.limits.may_reach(now):
                self.engine.stats.count("dns", "over the budget of the unproven")
                self._reply(query, Response(truncated=True), asker)
                return None
            if not self.limits.may_ask(resolver_key(peer), now):
                self.engine.stats.count("dns", "over the resolver's budget")
                error = (Extended.PROHIBITED, "this resolver asks for more than its share; come back in a second")
                self._reply(query, Response(Code.SERVFAIL, error=error), asker)
                return None
            return self._ask(Pending(query, at, asker, resolver), self._client(peer, subnet))
        self._reply(query, self._plain(query, at), asker)
        return None

    def group(self, peer: str) -> str:
        """Whose quota of connections one from this address counts on; "" for the operator's own resolvers."""
        return "" if self._trusted(peer) else resolver_key(peer)

    def _is_trusted(self, peer: str) -> bool:
        if not self._networks or not peer:
            return False
        try:
            address = ipaddress.ip_address(peer)
        except ValueError:
            return False
        return any(address in network for network in self._networks)

    def forget(self, ref: int) -> None:
        """The resolver went away."""
        pending = self.pending.free(ref)
        if pending is not None and pending.engine is not None:
            pending.engine.client_gone(pending.handle)

    def _steers(self, query: Query, at: ParsedName) -> bool:
        """Whether the answer names a server; where it can't, none may be charged for it."""
        if query.type == Type.SRV or query.type in NAMING and at.kind is Kind.TARGET:
            return True
        family, there = {Type.A: 4, Type.AAAA: 6}.get(query.type), self.families()
        # With no server at all the name still has addresses, only none to be told now: SERVFAIL, not NODATA.
        return at.kind is Kind.TARGET and family is not None and (family in there or not there)

    @staticmethod
    def _client(peer: str, subnet: Subnet | None) -> tuple[str, int | None]:
        """The client's address as far as it is told, and how many bits of it; the resolver's where none is."""
        if subnet is None or subnet.family not in (1, 2):
            return peer, None
        size = 4 if subnet.family == 1 else 16
        return str(ipaddress.ip_address(subnet.address.ljust(size, b"\0"))), subnet.source

    def _node(self, pending: Pending, client: tuple[str, int | None]) -> Engine | None:
        """The engine of the first node of the client's view that has a server ready; None where none has."""
        choice = self.views.choose(*client)
        pending.scope = choice.scope
        if not self.views.nodes:  # no views: the module alone decides what there is, the origin included
            return self.engine
        for node in choice.nodes:
            engine = self.nodes.get(node)
            if engine is not None and engine.router.fleet.caches:
                return engine
        return None

    def _ask(self, pending: Pending, client: tuple[str, int | None]) -> int | None:
        at, now = pending.place, self.engine.clock.now()
        engine = self._node(pending, client)
        if engine is None:
            self.engine.stats.count("dns", "no node ready")
            error = (Extended.NOT_READY, "no server of this client's node, nor of those it may fall to, is ready")
            self._reply(pending.query, Response(Code.SERVFAIL, error=error, scope=pending.scope), pending.peer)
            return None
        pending.engine = engine
        if self.config.fallback and self.charging.holds(pending.resolver, at.cls, now):
            # It keeps what it is told past any drain: only a name of the operator's that does not drain will do.
            self.engine.stats.count("dns", "fallback")
            fallback = Record(Type.CNAME, (labels_of(self.config.fallback),))
            self._reply(pending.query, Response(answers=[fallback], zone=at.zone), pending.peer)
            return None
        weight = self.charging.weight(pending.resolver, at.cls, now, f"{at.object}/{at.part}")
        ref = self.pending.add(pending)
        # Without an id of its own: no server's line sees it.
        handle = engine.submit(
            self,
            ref,
            ClientRequest(
                "",
                at.cls,
                at.object,
                self.config.deadline,
                at.part,
                tenant=at.tenant,
                hand_over=True,
                weight=weight,
                client=pending.resolver,
            ),
        )
        if self.pending.get(ref) is None:
            return None
        pending.handle = handle
        return ref

    def answer(self, ref: int, answer: Answer) -> None:
        """The core's answer: the server it names, or SERVFAIL at once, which a resolver may try again."""
        pending = self.pending.free(ref)
        if pending is None:
            return
        where = self.where(answer.server) if answer.status is FinalStatus.SERVED else None
        if where is not None:
            self.charging.answered(
                pending.resolver, pending.place.cls, answer.server, self.engine.clock.now(), answer.expected_time
            )
            response = self._named(pending, answer.server, where)
        elif answer.status is FinalStatus.REFUSED:
            wait = f"; come back in {-(-answer.retry_after // 1_000)} ms" if answer.retry_after else ""
            text = "turned away" + wait
            response = Response(Code.SERVFAIL, error=(Extended.PROHIBITED, text))
        else:
            response = Response(Code.SERVFAIL, error=(Extended.NOT_READY, "no server may be named now"))
        response.scope = pending.scope
        self._reply(pending.query, response, pending.peer)

    # --- replies

    def _reply(self, query: Query, response: Response, peer: Peer) -> None:
        """Send the response, with what EDNS asks for; to an address that is not proven, no more than half as many
        bytes again as it sent, so that nobody can be flooded by queries in his name."""
        self.engine.stats.count("dns", response.code.name)
        response.nsid = self.config.nsid
        if peer.stream and query.options.keepalive:  # over UDP there is no connection to keep (RFC 7828, 3.2.1)
            response.keepalive = KEEPALIVE
        if query.options.cookie is not None and peer.address:
            response.cookie = self.cookies.answer(query.options.cookie, peer.address, self.engine.clock.now() // SECOND)
        if self.signer is not None and query.dnssec and response.zone:
            self.signer.sign(query, response, unix_seconds())  # others' clocks judge it: the Unix time of now
        if peer.secure and query.options.padding:  # never in the clear (RFC 7830, section 6)
            response.padded = PAD
        signed = peer.signed
        spare = tsig.room(signed) if signed is not None else 0
        if peer.stream:
            self._send(dns.pack(query, response, 65_535 - spare), peer)
            return
        most = most_bytes(query.size, peer.proven, min(query.payload, dns.OUR_UDP)) - spare
        packed = dns.pack(query, response, most)
        if len(packed) > most:  # even the bare truncated answer is too large with all that EDNS adds
            response.nsid, response.error = b"", None
            packed = dns.pack(query, Response(truncated=True, cookie=response.cookie), most)
        self._send(packed, peer)

    @staticmethod
    def _send(packed: bytes, peer: Peer) -> None:
        peer.reply(tsig.sign(packed, peer.signed, unix_seconds()) if peer.signed is not None else packed)

    # --- who holds a key

    def _signature_holds(self, raw: bytes, query: Query, asker: Peer) -> bool:
        """Check a query's transaction signature (RFC 8945, section 5.2); where it does not hold that is answered."""
        try:
            asker.signed = tsig.check(raw, query, self.config.transfer.keys, unix_seconds())
        except (ValueError, IndexError, struct.error):
            self._reply(query, Response(Code.FORMERR, authoritative=False), asker)
            return False
        if asker.signed.error is tsig.Error.NONE:
            return True
        self.engine.stats.count("dns", f"signature {asker.signed.error.name}")
        self._reply(query, Response(Code.NOTAUTH, authoritative=False), asker)
        return False

    def _transfer(self, query: Query, zone: str, asker: Peer) -> None:
        """A zone's static part, whole, to who is listed and holds a key (RFC 5936). The steered names have no list."""
        refused = transfer.refusal(
            query,
            zone,
            asker.address,
            asker.several is not None,
            asker.signed is not None,
            self.config.transfer.networks,
        )
        if refused:
            self.engine.stats.count("dns", "transfer refused")
            response = Response(Code.REFUSED, authoritative=False, error=(Extended.PROHIBITED, refused))
            self._reply(query, response, asker)
            return
        self.engine.stats.count("dns", "transfer")
        soa = self._soa(zone, apex=True)
        whole = query.serial is None or query.serial != self.engine.tenants.version & 0xFFFFFFFF
        inside = [*self._apex(zone, Type.NS), *self.statics.of_zone(labels_of(zone))] if whole else None
        messages = transfer.messages(query, soa, inside)
        asker.several(tsig.sign(packed, asker.signed, unix_seconds()) for packed in messages)

    # --- records

    def _named(self, pending: Pending, server: int, where: Where) -> Response:
        """The records that name a server to this query."""
        query, (name, host, port) = pending.query, where
        address = records.address(host)
        if query.type not in NAMING:
            fits = address is not None and address.type == query.type
            if not fits:
                return self._nothing(pending.place.zone, self._types(pending.place))
            return Response(answers=[address], zone=pending.place.zone)
        target = (name, SERVERS_LABEL, *labels_of(pending.place.zone))
        self._grant(name, server)
        more = [] if address is None else [Record(address.type, address.data, target)]
        if query.type == Type.SRV:
            return Response(answers=[records.srv(port, target)], additional=more, zone=pending.place.zone)
        return Response(
            answers=[records.service(query.type, port, target, address)], additional=more, zone=pending.place.zone
        )

    def _grant(self, box: str, server: int) -> None:
        """A look-up of this target belongs to the answer just given, and is not charged a second time."""
        self._granted += 1
        self._grants[box, self._granted] = (server, self.engine.clock.now() + GRANT)
        if len(self._grants) > GRANTS:
            del self._grants[next(iter(self._grants))]

    def _box(self, at: ParsedName, query: Query) -> Response:
        """A server's own name: there only for who was just sent to it, and only while it is ready."""
        now = self.engine.clock.now()
        for key, (server, until) in list(self._grants.items()):
            if until <= now:
                del self._grants[key]
            elif key[0] == at.box and (where := self.where(server)) is not None:
                address = records.address(where[1])
                if address is None or query.type != address.type:
                    return self._nothing(at.zone, (address.type,) if address is not None else ())
                del self._grants[key]
                return Response(answers=[address], zone=at.zone)
        return self._no_name(at.zone)

    def _plain(self, query: Query, at: ParsedName) -> Response:
        """What needs no server."""
        if at.kind in (Kind.NONE, Kind.APEX):
            static = self._static(query, at)
            if static is not None:
                return static
        if at.kind is Kind.NONE:
            return self._no_name(at.zone)
        if at.kind is Kind.BOX:
            return self._box(at, query)
        if query.type == Type.ANY:
            return self._any(at.zone)
        if at.kind is Kind.APEX:
            found = self._apex(at.zone, query.type)
            if found:
                return Response(answers=found, zone=at.zone)
        return self._nothing(at.zone, self._types(at))

    @staticmethod
    def _any(zone: str) -> Response:
        """RFC 8482, section 4.2: a small answer instead of all there is."""
        return Response(answers=[Record(Type.HINFO, b"\x07RFC8482\x00")], zone=zone)

    def _static(self, query: Query, at: ParsedName) -> Response | None:
        """What a tenant's static records say of a name; None where they say nothing."""
        here = self.statics.at(query.name)
        if here is None:
            return None
        if query.type == Type.ANY and here.sets:
            return self._any(at.zone)
        found = self.statics.answer(query.name, query.type)
        if found:
            return Response(answers=found, zone=at.zone)
        return self._nothing(at.zone, tuple(here.sets)) if at.kind is Kind.NONE else None

    def _apex(self, zone: str, kind: int) -> list[Record]:
        """What stands at a zone's own name."""
        if kind == Type.SOA:
            return [self._soa(zone, apex=True)]
        if kind == Type.NS:
            return [Record(Type.NS, (labels_of(name),)) for name in self.config.nameservers]
        return self.signer.apex(zone, kind) if self.signer is not None else []

    def _types(self, at: ParsedName) -> tuple[int, ...]:
        """The types that are at a name, for who denies another one there."""
        if at.kind is Kind.TARGET:
            family = {4: Type.A, 6: Type.AAAA}
            return (*(family[version] for version in sorted(self.families())), Type.SVCB, Type.HTTPS)
        if at.kind is Kind.SERVICE:
            return (Type.SRV,)
        if at.kind is Kind.APEX:
            static = self.statics.at(labels_of(at.zone))
            return (
                *(
                    kind
                    for kind in (Type.SOA, Type.NS, Type.DNSKEY, Type.CDS, Type.CDNSKEY)
                    if self._apex(at.zone, kind)
                ),
                *(static.sets if static is not None else ()),
            )
        return ()

    def _nothing(self, zone: str, exists: tuple[int, ...] = ()) -> Response:
        """The name exists, but nothing of this type; `exists` are those that there are."""
        return Response(authority=[self._soa(zone)], zone=zone, exists=exists)

    def _no_name(self, zone: str) -> Response:
        return Response(Code.NXDOMAIN, authority=[self._soa(zone)], zone=zone, exists=())

    def _soa(self, zone: str, apex: bool = False) -> Record:
        labels = labels_of(zone)
        primary = labels_of(self.config.nameservers[0]) if self.config.nameservers else ("ns", *labels)
        return records.soa(labels, primary, self.engine.tenants.version, SOA_TIMES, None if apex else labels)
