"""The DNS front: each query becomes a request to the core, and the response names the server the core chose for it."""

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
from threadhill.dns.cookies import Cookies, CookieStatus
from threadhill.dns.limits import Limits, ResponseAction, max_response_size
from threadhill.dns.message import Code, Query, Record, Response, Type
from threadhill.dns.names import Kind, ParsedName, parse_name, zone_of
from threadhill.dns.options import ClientSubnet, ExtendedError
from threadhill.dns.static import StaticRecords
from threadhill.dns.transfer import TransferConfig
from threadhill.dns.tsig import TsigContext
from threadhill.dns.views import View, Views
from threadhill.hostnames import SERVERS_LABEL, labels_of

if TYPE_CHECKING:  # the cryptography package is loaded where a zone is signed
    from threadhill.dns.signing import Signer

# Microseconds for which a server's name from an SRV, SVCB or HTTPS answer can be looked up; below the drain limit.
LOOKUP_GRANT_TIME = 200_000
MAX_LOOKUP_GRANTS = 4_096
SOA_TIMES = (3_600, 600, 86_400, 0)  # refresh, retry, expire, and 0: no negative answer is kept
PADDING_BLOCK = 468  # bytes; the length of a padded response is a multiple of this (RFC 8467, section 4.1)
KEEPALIVE_TIMEOUT = 100  # idle timeout of connections announced to clients, in tenths of a second (RFC 7828)
NAMED_TARGET_TYPES = (Type.SRV, Type.SVCB, Type.HTTPS)  # types whose records refer to a server by its own name
SendReply = Callable[[bytes], None]
ServerAddress = tuple[str, str, int]  # a server's name, host and port


@dataclass(frozen=True, slots=True)
class TlsConfig:
    """Settings of DNS over TLS in the operator's file."""

    listen: tuple[str, int]
    certificate: Path
    key: Path


@dataclass(frozen=True, slots=True)
class DnsConfig:
    """Settings of the DNS front in the operator's file."""

    listen: tuple[str, int]
    deadline: int = 1_000_000  # microseconds
    nameservers: tuple[str, ...] = ()
    connections: int = 64
    nsid: bytes = b""  # server identifier, returned to clients that ask for it (RFC 5001)
    fallback: str = ""  # CNAME target sent, instead of a server, to resolvers that cache answers of TTL 0
    responses_per_s: float = 100.0  # UDP responses per second to one network without a valid cookie; 0: no limit
    slip: int = 2  # every nth response over that limit is sent truncated, the others are dropped; 0: all are dropped
    resolver_qps: float = 500.0  # queries per second of one resolver that reach the decision module; 0: no limit
    unproven_qps: float = 1_000.0  # the same, for all clients with unproven addresses together; 0: no limit
    trusted: tuple[str, ...] = ()  # networks whose addresses count as proven: the operator's own resolvers
    views: tuple[View, ...] = ()  # maps client networks to the nodes whose servers they are sent to
    tls: TlsConfig | None = None  # None: no DNS over TLS
    transfer: TransferConfig = field(default_factory=TransferConfig)  # who may transfer zones
    keys: Path | None = None  # folder of the zones' signing keys; a zone without a key is not signed
    signature_life: int = 3_600  # minimum validity of a signature, in seconds
    per_network: int = 32  # connections open at once from one network, over TCP and over TLS each; 0: no limit


@dataclass(slots=True)
class Peer:
    """The sender of a query, and how a response is sent to it."""

    address: str
    stream: bool  # over a TCP or TLS connection: the handshake proves the address
    reply: SendReply
    proven: bool = False  # the address is not spoofed: TCP handshake, valid server cookie, or trusted network
    secure: bool = False  # over TLS
    tsig_context: TsigContext | None = None  # set if the query has a TSIG record: the response gets one too
    send_stream: Callable[[Iterator[bytes]], None] | None = None  # sends several messages, as fast as the peer reads


@dataclass(slots=True)
class PendingQuery:
    """A query whose request the core has not answered yet."""

    query: Query
    name: ParsedName
    peer: Peer
    resolver: str = ""  # key of the clients it is for: the client subnet in the query, or the resolver's network
    handle: int = -1
    engine: Engine | None = None  # of the node whose servers it is answered with
    scope: int = 0  # scope prefix length of the response, in bits (RFC 7871)


class DnsFront:
    """Answers DNS queries from any transport. Implements the core's Front interface."""

    name = "dns"

    def __init__(
        self,
        engine: Engine,
        config: DnsConfig,
        classes: frozenset[str],
        server_address: Callable[[int], ServerAddress | None],
        ip_versions: Callable[[], set[int]],
        nodes: dict[str, Engine] | None = None,
        signer: Signer | None = None,
    ) -> None:
        self.engine, self.config, self.classes = engine, config, classes
        self.views = Views(list(config.views), engine.router.settings.zone)
        self.nodes = {engine.router.settings.zone: engine, **(nodes or {})}  # one engine for each node used in a view
        self.server_address, self.ip_versions, self.signer = server_address, ip_versions, signer
        self.pending: Slots[PendingQuery] = Slots()
        self._lookup_grants: dict[tuple[str, int], tuple[int, int]] = {}  # (server name, number) -> (server, expiry)
        self._grant_count = 0
        self.static_records = StaticRecords(engine.tenants)
        self.charging = Charging()
        self.cookies = Cookies(os.urandom(16))  # a new secret at each start: clients get new cookies after a restart
        self.limits = Limits(config.responses_per_s, config.slip, config.resolver_qps, config.unproven_qps)
        self._trusted = lru_cache(4_096)(self._is_trusted)
        self._trusted_networks = [ipaddress.ip_network(network, strict=False) for network in config.trusted]
        engine.load_listeners.append(
            lambda server, excess: self.charging.record_report(server, excess, engine.clock.now())
        )

    # --- queries

    def receive(
        self,
        raw: bytes,
        reply: SendReply,
        stream: bool,
        peer: str = "",
        secure: bool = False,
        send_stream: Callable[[Iterator[bytes]], None] | None = None,
    ) -> int | None:
        """Handle one message from a resolver at `peer`. Returns a reference for `cancel` if the answer is pending."""
        try:
            query = dns.read_query(raw)
        except dns.IgnoredMessage:
            self.engine.stats.count("dns", "ignored")
            return None
        except dns.BadQuery as bad:
            self._reply(bad.query, Response(bad.code, authoritative=False), Peer(peer, stream, reply, stream, secure))
            return None
        now = self.engine.clock.now()
        proven = (
            stream
            or self._trusted(peer)
            or self.cookies.check(query.options.cookie, peer, now // SECOND) is CookieStatus.GOOD
        )
        requester = Peer(peer, stream, reply, proven, secure, send_stream=send_stream)
        if not stream:
            sent = self.limits.check_response(resolver_key(peer), proven, now)
            if sent is not ResponseAction.ANSWER:  # most likely a flood from spoofed addresses
                self.engine.stats.count("dns", f"rate limited, {sent.value}")
                if sent is ResponseAction.SLIP:
                    self._reply(query, Response(truncated=True), requester)
                return None
        if query.tsig_at and not self._verify_tsig(raw, query, requester):
            return None
        zone = zone_of(query.name, self.engine.tenants.zones())
        if zone is None or query.cls != dns.IN:
            error = (
                (ExtendedError.NOT_AUTHORITATIVE, "no zone of this server")
                if zone is None
                else (ExtendedError.PROHIBITED, "classes other than IN are not served")
            )
            self._reply(query, Response(Code.REFUSED, authoritative=False, error=error), requester)
            return None
        if query.type in (Type.AXFR, Type.IXFR):
            self._transfer(query, zone, requester)
            return None
        if query.type == Type.NXNAME:  # RFC 9824, section 3.5
            error = (ExtendedError.INVALID_TYPE, "NXNAME stands in denials only")
            self._reply(query, Response(Code.FORMERR, error=error), requester)
            return None
        name = parse_name(query.name, zone, self.engine.tenants, self.classes)
        if name.kind in (Kind.TARGET, Kind.SERVICE) and self._needs_server(query, name):
            subnet = query.options.subnet
            announced = (subnet.family, subnet.source_prefix, subnet.address) if subnet is not None else None
            resolver = resolver_key(peer, announced)
            if not proven and query.type not in (Type.A, Type.AAAA):
                # A response with a target name and address hints exceeds the amplification limit for unproven
                # addresses. TC makes the client retry over TCP, or with the cookie in this response.
                self._reply(query, Response(truncated=True), requester)
                return None
            if not proven and not self.limits.allow_unproven(now):
                self.engine.stats.count("dns", "over the budget of the unproven")
                self._reply(query, Response(truncated=True), requester)
                return None
            if not self.limits.allow_resolver(resolver_key(peer), now):
                self.engine.stats.count("dns", "over the resolver's budget")
                error = (ExtendedError.PROHIBITED, "this resolver asks for more than its share; come back in a second")
                self._reply(query, Response(Code.SERVFAIL, error=error), requester)
                return None
            return self._submit(PendingQuery(query, name, requester, resolver), self._client_address(peer, subnet))
        self._reply(query, self._local_response(query, name), requester)
        return None

    def connection_group(self, peer: str) -> str:
        """The group in whose connection quota this address is counted; "" (no quota) for trusted networks."""
        return "" if self._trusted(peer) else resolver_key(peer)

    def _is_trusted(self, peer: str) -> bool:
        if not self._trusted_networks or not peer:
            return False
        try:
            address = ipaddress.ip_address(peer)
        except ValueError:
            return False
        return any(address in network for network in self._trusted_networks)

    def cancel(self, ref: int) -> None:
        """The resolver's connection was lost: cancel the pending request."""
        pending = self.pending.free(ref)
        if pending is not None and pending.engine is not None:
            pending.engine.client_gone(pending.handle)

    def _needs_server(self, query: Query, name: ParsedName) -> bool:
        """Whether the answer names a server. If it cannot, no server may be charged for it."""
        if query.type == Type.SRV or query.type in NAMED_TARGET_TYPES and name.kind is Kind.TARGET:
            return True
        family, versions = {Type.A: 4, Type.AAAA: 6}.get(query.type), self.ip_versions()
        # With no servers at all the name still has addresses, but none can be given now: SERVFAIL, not NODATA.
        return name.kind is Kind.TARGET and family is not None and (family in versions or not versions)

    @staticmethod
    def _client_address(peer: str, subnet: ClientSubnet | None) -> tuple[str, int | None]:
        """The address and prefix length of the client subnet in the query, or the resolver's address and None."""
        if subnet is None or subnet.family not in (1, 2):
            return peer, None
        size = 4 if subnet.family == 1 else 16
        return str(ipaddress.ip_address(subnet.address.ljust(size, b"\0"))), subnet.source_prefix

    def _choose_engine(self, pending: PendingQuery, client: tuple[str, int | None]) -> Engine | None:
        """The engine of the first node of the client's view that has a cache; None if no node has one."""
        choice = self.views.choose(*client)
        pending.scope = choice.scope
        if not self.views.nodes:  # no views: the decision module alone chooses, and may also choose the origin
            return self.engine
        for node in choice.nodes:
            engine = self.nodes.get(node)
            if engine is not None and engine.router.fleet.caches:
                return engine
        return None

    def _submit(self, pending: PendingQuery, client: tuple[str, int | None]) -> int | None:
        name, now = pending.name, self.engine.clock.now()
        engine = self._choose_engine(pending, client)
        if engine is None:
            self.engine.stats.count("dns", "no node ready")
            error = (ExtendedError.NOT_READY, "no server of this client's node, nor of those it may fall to, is ready")
            self._reply(pending.query, Response(Code.SERVFAIL, error=error, scope=pending.scope), pending.peer)
            return None
        pending.engine = engine
        if self.config.fallback and self.charging.caches_answers(pending.resolver, name.cls, now):
            # Clients of this resolver would be sent to a server long after it began to drain, so the resolver gets
            # the operator's fallback name, which does not drain.
            self.engine.stats.count("dns", "fallback")
            fallback = Record(Type.CNAME, (labels_of(self.config.fallback),))
            self._reply(pending.query, Response(answers=[fallback], zone=name.zone), pending.peer)
            return None
        weight = self.charging.weight(pending.resolver, name.cls, now, f"{name.object}/{name.part}")
        ref = self.pending.add(pending)
        # The request id is empty because the request is never sent to a server.
        handle = engine.submit(
            self,
            ref,
            ClientRequest(
                "",
                name.cls,
                name.object,
                self.config.deadline,
                name.part,
                tenant=name.tenant,
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
        """Respond with the server that the core chose, or with SERVFAIL, after which a resolver may retry."""
        pending = self.pending.free(ref)
        if pending is None:
            return
        server_address = self.server_address(answer.server) if answer.status is FinalStatus.SERVED else None
        if server_address is not None:
            self.charging.record_answer(
                pending.resolver, pending.name.cls, answer.server, self.engine.clock.now(), answer.expected_time
            )
            response = self._server_response(pending, answer.server, server_address)
        elif answer.status is FinalStatus.REFUSED:
            wait = f"; come back in {-(-answer.retry_after // 1_000)} ms" if answer.retry_after else ""
            text = "turned away" + wait
            response = Response(Code.SERVFAIL, error=(ExtendedError.PROHIBITED, text))
        else:
            response = Response(Code.SERVFAIL, error=(ExtendedError.NOT_READY, "no server may be named now"))
        response.scope = pending.scope
        self._reply(pending.query, response, pending.peer)

    # --- replies

    def _reply(self, query: Query, response: Response, peer: Peer) -> None:
        """Send the response with the EDNS options that the query asked for. A UDP response to an unproven address has
        at most MAX_AMPLIFICATION times the bytes of its query, so that spoofed queries cannot be used for
        amplification attacks."""
        self.engine.stats.count("dns", response.code.name)
        response.nsid = self.config.nsid
        if peer.stream and query.options.keepalive:  # over UDP there is no connection to keep (RFC 7828, 3.2.1)
            response.keepalive = KEEPALIVE_TIMEOUT
        if query.options.cookie is not None and peer.address:
            response.cookie = self.cookies.response_cookie(
                query.options.cookie, peer.address, self.engine.clock.now() // SECOND
            )
        if self.signer is not None and query.dnssec and response.zone:
            self.signer.sign(query, response, unix_seconds())  # validators compare it with the wall clock
        if peer.secure and query.options.padding:  # only over an encrypted transport (RFC 7830, section 6)
            response.padded = PADDING_BLOCK
        context = peer.tsig_context
        tsig_bytes = tsig.max_record_size(context) if context is not None else 0
        if peer.stream:
            self._send(dns.pack(query, response, 65_535 - tsig_bytes), peer)
            return
        max_size = max_response_size(query.size, peer.proven, min(query.payload, dns.EDNS_UDP_SIZE)) - tsig_bytes
        packed = dns.pack(query, response, max_size)
        if len(packed) > max_size:  # the truncated response is still too large because of its EDNS options
            response.nsid, response.error = b"", None
            packed = dns.pack(query, Response(truncated=True, cookie=response.cookie), max_size)
        self._send(packed, peer)

    @staticmethod
    def _send(packed: bytes, peer: Peer) -> None:
        peer.reply(tsig.sign(packed, peer.tsig_context, unix_seconds()) if peer.tsig_context is not None else packed)

    # --- TSIG and zone transfers

    def _verify_tsig(self, raw: bytes, query: Query, requester: Peer) -> bool:
        """Verify a query's TSIG record (RFC 8945, section 5.2). If it is invalid, send the error and return False."""
        try:
            requester.tsig_context = tsig.check(raw, query, self.config.transfer.keys, unix_seconds())
        except (ValueError, IndexError, struct.error):
            self._reply(query, Response(Code.FORMERR, authoritative=False), requester)
            return False
        if requester.tsig_context.error is tsig.Error.NONE:
            return True
        self.engine.stats.count("dns", f"signature {requester.tsig_context.error.name}")
        self._reply(query, Response(Code.NOTAUTH, authoritative=False), requester)
        return False

    def _transfer(self, query: Query, zone: str, requester: Peer) -> None:
        """Answer a zone transfer (RFC 5936) with the zone's static records. Steered names cannot be enumerated, so they
        are not in it."""
        refusal = transfer.refusal_reason(
            query,
            zone,
            requester.address,
            requester.send_stream is not None,
            requester.tsig_context is not None,
            self.config.transfer.networks,
        )
        if refusal:
            self.engine.stats.count("dns", "transfer refused")
            response = Response(Code.REFUSED, authoritative=False, error=(ExtendedError.PROHIBITED, refusal))
            self._reply(query, response, requester)
            return
        self.engine.stats.count("dns", "transfer")
        soa = self._soa(zone, apex=True)
        full = query.serial is None or query.serial != self.engine.tenants.version & 0xFFFFFFFF
        zone_records = (
            [*self._apex_records(zone, Type.NS), *self.static_records.zone_records(labels_of(zone))] if full else None
        )
        messages = transfer.messages(query, soa, zone_records)
        requester.send_stream(tsig.sign(packed, requester.tsig_context, unix_seconds()) for packed in messages)

    # --- records

    def _server_response(self, pending: PendingQuery, server: int, server_address: ServerAddress) -> Response:
        """The response that names this server."""
        query, (name, host, port) = pending.query, server_address
        address = records.address(host)
        if query.type not in NAMED_TARGET_TYPES:
            matches = address is not None and address.type == query.type
            if not matches:
                return self._nodata(pending.name.zone, self._existing_types(pending.name))
            return Response(answers=[address], zone=pending.name.zone)
        target = (name, SERVERS_LABEL, *labels_of(pending.name.zone))
        self._allow_lookup(name, server)
        additional = [] if address is None else [Record(address.type, address.data, target)]
        if query.type == Type.SRV:
            return Response(answers=[records.srv(port, target)], additional=additional, zone=pending.name.zone)
        return Response(
            answers=[records.svcb(query.type, port, target, address)], additional=additional, zone=pending.name.zone
        )

    def _allow_lookup(self, server_name: str, server: int) -> None:
        """Allow one lookup of this server's name. It belongs to the answer just given and is not charged again."""
        self._grant_count += 1
        self._lookup_grants[server_name, self._grant_count] = (server, self.engine.clock.now() + LOOKUP_GRANT_TIME)
        if len(self._lookup_grants) > MAX_LOOKUP_GRANTS:
            del self._lookup_grants[next(iter(self._lookup_grants))]

    def _server_name_response(self, name: ParsedName, query: Query) -> Response:
        """The response for a server's own name, which exists only while a lookup is allowed and the server is ready."""
        now = self.engine.clock.now()
        for key, (server, until) in list(self._lookup_grants.items()):
            if until <= now:
                del self._lookup_grants[key]
            elif key[0] == name.server_name and (server_address := self.server_address(server)) is not None:
                address = records.address(server_address[1])
                if address is None or query.type != address.type:
                    return self._nodata(name.zone, (address.type,) if address is not None else ())
                del self._lookup_grants[key]
                return Response(answers=[address], zone=name.zone)
        return self._nxdomain(name.zone)

    def _local_response(self, query: Query, name: ParsedName) -> Response:
        """The response to a query that names no server."""
        if name.kind in (Kind.NONE, Kind.APEX):
            static = self._static_response(query, name)
            if static is not None:
                return static
        if name.kind is Kind.NONE:
            return self._nxdomain(name.zone)
        if name.kind is Kind.SERVER:
            return self._server_name_response(name, query)
        if query.type == Type.ANY:
            return self._any_response(name.zone)
        if name.kind is Kind.APEX:
            found = self._apex_records(name.zone, query.type)
            if found:
                return Response(answers=found, zone=name.zone)
        return self._nodata(name.zone, self._existing_types(name))

    @staticmethod
    def _any_response(zone: str) -> Response:
        """A small answer to ANY instead of all records (RFC 8482, section 4.2)."""
        return Response(answers=[Record(Type.HINFO, b"\x07RFC8482\x00")], zone=zone)

    def _static_response(self, query: Query, name: ParsedName) -> Response | None:
        """The response from the tenants' static records; None if there are none for the name."""
        name_records = self.static_records.find(query.name)
        if name_records is None:
            return None
        if query.type == Type.ANY and name_records.rrsets:
            return self._any_response(name.zone)
        found = self.static_records.answer(query.name, query.type)
        if found:
            return Response(answers=found, zone=name.zone)
        return self._nodata(name.zone, tuple(name_records.rrsets)) if name.kind is Kind.NONE else None

    def _apex_records(self, zone: str, kind: int) -> list[Record]:
        """The records of this type that the server itself makes at the zone's apex."""
        if kind == Type.SOA:
            return [self._soa(zone, apex=True)]
        if kind == Type.NS:
            return [Record(Type.NS, (labels_of(name),)) for name in self.config.nameservers]
        return self.signer.key_records(zone, kind) if self.signer is not None else []

    def _existing_types(self, name: ParsedName) -> tuple[int, ...]:
        """The types that exist at a name, for the NSEC record of a negative answer."""
        if name.kind is Kind.TARGET:
            family = {4: Type.A, 6: Type.AAAA}
            return (*(family[version] for version in sorted(self.ip_versions())), Type.SVCB, Type.HTTPS)
        if name.kind is Kind.SERVICE:
            return (Type.SRV,)
        if name.kind is Kind.APEX:
            static = self.static_records.find(labels_of(name.zone))
            return (
                *(
                    kind
                    for kind in (Type.SOA, Type.NS, Type.DNSKEY, Type.CDS, Type.CDNSKEY)
                    if self._apex_records(name.zone, kind)
                ),
                *(static.rrsets if static is not None else ()),
            )
        return ()

    def _nodata(self, zone: str, exists: tuple[int, ...] = ()) -> Response:
        """A NODATA response; `exists` lists the types that the name has."""
        return Response(authority=[self._soa(zone)], zone=zone, exists=exists)

    def _nxdomain(self, zone: str) -> Response:
        return Response(Code.NXDOMAIN, authority=[self._soa(zone)], zone=zone, exists=())

    def _soa(self, zone: str, apex: bool = False) -> Record:
        labels = labels_of(zone)
        primary = labels_of(self.config.nameservers[0]) if self.config.nameservers else ("ns", *labels)
        return records.soa(labels, primary, self.engine.tenants.version, SOA_TIMES, None if apex else labels)
