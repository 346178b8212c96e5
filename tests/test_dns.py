"""Tests of the DNS front with a simple resolver: which servers it names, and every error."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from tests.harness import OBJECT, ProxyHarness, open_silent_connections, read_to_end, until

OPERATOR = """
[dns]
listen = "127.0.0.1:0"
deadline_ms = 400
nameservers = ["ns1.route.example"]
trusted = ["127.0.0.1/32"]

[[tenants]]
name = "acme"
zones = ["route.example"]

[[tenants]]
name = "small"
zones = ["small.example"]
quota = 0.01
"""
A, NS, SOA, HINFO, TXT, AAAA, SRV, SVCB, HTTPS, OPT, AXFR, ANY = 1, 2, 6, 13, 16, 28, 33, 64, 65, 41, 252, 255
KEY_TYPES = (48, 59, 60)  # DNSKEY, CDS, CDNSKEY
NOERROR, FORMERR, SERVFAIL, NXDOMAIN, NOTIMP, REFUSED = range(6)
NAME = f"0.{OBJECT}.art-pages.acme.route.example"


def name_of(text: str) -> bytes:
    return b"".join(bytes([len(label)]) + label.encode() for label in text.split(".") if label) + b"\0"


def query(
    name: str, kind: int = A, id: int = 77, flags: int = 0x0100, cls: int = 1, more: bytes = b"", extra: int = 0
) -> bytes:
    return struct.pack("!6H", id, flags, 1, 0, 0, extra) + name_of(name) + struct.pack("!HH", kind, cls) + more


def opt(payload: int = 4096, version: int = 0) -> bytes:
    return b"\0" + struct.pack("!HHBBHH", OPT, payload, 0, version, 0x8000, 0)


@dataclass
class Reply:
    """A response, parsed as far as the tests need."""

    raw: bytes
    id: int = 0
    flags: int = 0
    code: int = 0
    sections: list[list[tuple[int, int, bytes]]] = field(default_factory=list)  # (type, ttl, data)

    def __post_init__(self) -> None:
        self.id, self.flags, questions, *counts = struct.unpack_from("!6H", self.raw)
        self.code, at = self.flags & 15, 12
        for _ in range(questions):
            at = self._skip(at) + 4
        for count in counts:
            self.sections.append([])
            for _ in range(count):
                at = self._skip(at)
                kind, _, ttl, size = struct.unpack_from("!HHIH", self.raw, at)
                self.sections[-1].append((kind, ttl, self.raw[at + 10 : at + 10 + size]))
                at += 10 + size
        assert at == len(self.raw)

    def _skip(self, at: int) -> int:
        while self.raw[at] and self.raw[at] < 0xC0:
            at += self.raw[at] + 1
        return at + (2 if self.raw[at] else 1)

    @property
    def addresses(self) -> list[str]:
        return [socket.inet_ntoa(data) for kind, _, data in self.sections[0] if kind == A]


class Resolver(asyncio.DatagramProtocol):
    """A stand-in resolver over UDP and TCP."""

    def __init__(self, port: int) -> None:
        self.port, self.replies = port, []

    async def start(self) -> Resolver:
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, remote_addr=("127.0.0.1", self.port))
        return self

    def datagram_received(self, data: bytes, peer: object) -> None:
        self.replies.append(Reply(data))

    async def send(self, raw: bytes) -> Reply:
        before = len(self.replies)
        self.transport.sendto(raw)
        reply = (await until(lambda: self.replies[before:], "a response"))[0]
        for section in reply.sections:  # no record may be cached, except those of a zone's keys
            covered = [(int.from_bytes(data[:2], "big") if kind == 46 else kind, ttl) for kind, ttl, data in section]
            assert all(ttl == 0 for kind, ttl in covered if kind not in (OPT, *KEY_TYPES))
        return reply

    async def ask(self, name: str = NAME, kind: int = A, **more: object) -> Reply:
        return await self.send(query(name, kind, **more))

    async def tcp(self, *queries: bytes) -> list[Reply]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"".join(struct.pack("!H", len(raw)) + raw for raw in queries))
        replies = []
        for _ in queries:
            replies.append(Reply(await reader.readexactly(struct.unpack("!H", await reader.readexactly(2))[0])))
        writer.close()
        return replies


def run_scenario(
    folder: Path,
    scenario: Callable[[ProxyHarness, Resolver], Awaitable[None]],
    operator: str = OPERATOR,
    **more: object,
) -> None:
    async def run() -> None:
        async with ProxyHarness(folder, operator=operator, **more) as world:
            await scenario(world, await Resolver(await world.listening_port("dns")).start())

    asyncio.run(run())


async def server_addresses(resolver: Resolver, count: int = 24, **more: object) -> list[str]:
    """The addresses in the answers to queries for `count` objects; None for SERVFAIL."""
    replies = [await resolver.ask(f"0.{i:016x}.art-pages.acme.route.example", **more) for i in range(count)]
    assert {reply.code for reply in replies} <= {NOERROR, SERVFAIL}
    return [reply.addresses[0] if reply.addresses else None for reply in replies]


def test_a_name_is_answered_with_one_ready_server_and_ttl_0(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        reply = await r.ask("0." + OBJECT.upper() + ".Art-Pages.acme.route.example")
        assert (reply.id, reply.flags, reply.code) == (77, 0x8500, NOERROR)
        assert reply.addresses[0] in [cache.host for cache in w.caches]
        assert OBJECT.upper().encode() in reply.raw  # the question comes back with its letter case
        assert set(await server_addresses(r)) - {None} == {cache.host for cache in w.caches}
        write = await r.ask(f"0.{OBJECT}.license-buy.acme.route.example")
        assert write.addresses == [w.origin.host]
        assert not w.asked()  # the proxy itself sent nothing

    run_scenario(tmp_path, scenario)


def test_an_srv_record_carries_port_and_target_which_can_be_looked_up_once(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        reply = await r.ask("_http._tcp." + NAME, SRV)
        ((kind, _, data),) = reply.sections[0]
        cache = next(b for b in w.caches if name_of(b.name + ".box.route.example") == data[6:])
        assert (kind, struct.unpack("!3H", data[:6])) == (SRV, (0, 0, cache.port))
        assert [socket.inet_ntoa(data) for kind, _, data in reply.sections[2] if kind == A] == [cache.host]
        assert (await r.ask(f"s-{0xfff:08x}.box.route.example")).code == NXDOMAIN
        follow = [await r.ask(f"{cache.name}.box.route.example") for _ in range(2)]
        assert follow[1].code == NXDOMAIN  # one look-up for one answer
        assert follow[0].addresses in ([cache.host], [])  # none, if this machine took over 200 ms for it

    run_scenario(tmp_path, scenario)


def test_no_answer_names_a_drained_server_after_250_ms(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        drained = w.caches[0]
        assert drained.host in await server_addresses(r)
        w.journal.hosts(drained.member("DRAINING"))
        await w.wait_for_events()
        assert drained.host not in await server_addresses(r) and w.caches[1].host in await server_addresses(r)
        for reply in await r.tcp(*(query(NAME, kind) for kind in (A, SRV, HTTPS, SVCB) for _ in range(10))):
            assert drained.host not in reply.addresses and socket.inet_aton(drained.host) not in reply.raw
            assert drained.name.encode() not in reply.raw
        assert (await r.ask(f"{drained.name}.box.route.example")).code == NXDOMAIN
        w.journal.hosts(w.caches[1].member("DELETED"), w.parent.member("DELETED"), w.origin.member("DELETED"))
        await w.wait_for_events()
        began = time.monotonic()
        assert (await r.ask()).code == SERVFAIL
        assert time.monotonic() - began < 30  # at once, and not at the deadline of a minute

    run_scenario(tmp_path, scenario, OPERATOR.replace("deadline_ms = 400", "deadline_ms = 60000"))


def test_a_cold_server_is_not_named_more_than_it_can_take(tmp_path: Path) -> None:
    """Guards against naming a cold server as often as a warm one: its credit for cold requests runs out."""

    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        client = await w.client()
        for i in range(12):  # the decision module learns the rate of warm caches: even if all 12 come within 1 s, a
            # cold one earns 0.65 x 2.5 x 0.16 of half of that, and an answer to a resolver is 1/8 of a request
            await client.get(obj=f"{i:016x}", mem=50)
        await asyncio.sleep(1.1)  # one interval of the rate measurement
        warm = (await server_addresses(r, 60)).count(w.caches[0].host)
        w.caches[0].up_since = int(time.time() * 1_000) + 60_000  # stays cold, however slow the test
        w.journal.hosts(w.caches[0].member())
        await w.wait_for_events()
        began = time.monotonic()
        cold = (await server_addresses(r, 60)).count(w.caches[0].host)
        earned = 20 * (time.monotonic() - began)  # the credit grows by 12 to 16 such answers per second
        assert warm >= 10 and cold <= warm / 4 + earned

    run_scenario(tmp_path, scenario)


def test_after_a_purge_the_origin_is_named(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        w.journal.add({"expire": {"name": OBJECT, "stamp": int(time.time() * 1_000)}})
        await w.wait_for_events()
        assert {(await r.ask()).addresses[0] for _ in range(5)} == {w.origin.host}
        assert w.origin.host not in await server_addresses(r)

    run_scenario(tmp_path, scenario)


def test_after_a_purge_the_answer_is_refused_where_the_origin_may_not_be_named(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        w.journal.add({"expire": {"name": OBJECT, "stamp": int(time.time() * 1_000)}})
        await w.wait_for_events()
        assert (await r.ask()).code == SERVFAIL

    from tests.harness import SETTINGS

    run_scenario(tmp_path, scenario, settings={"extra": SETTINGS["extra"] | {"bypass-allowed": False}})


def test_hand_overs_do_not_eject_a_healthy_cache(tmp_path: Path) -> None:
    """Guards against ejecting a healthy cache for silence: no response is ever seen for a handed-over request."""

    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        await server_addresses(r, 12)
        await asyncio.sleep(0.8)  # longer than the silence that ejects
        assert set(await server_addresses(r, 12)) - {None} == {cache.host for cache in w.caches}

    run_scenario(tmp_path, scenario)


def test_queries_over_quota_are_refused_without_affecting_other_tenants(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        name = f"0.{OBJECT}.art-pages.small.small.example"
        assert [(await r.ask(name)).code for _ in range(4)] == [NOERROR, SERVFAIL, SERVFAIL, SERVFAIL]
        refused = await r.ask(name, more=opt(), extra=1)  # with an extended error (RFC 8914)
        ((_, _, data),) = refused.sections[2]
        assert refused.code == SERVFAIL and data[:2] == b"\0\x0f" and data[4:6] == b"\0\x12" and b"come back in" in data
        assert (await r.ask()).code == NOERROR
        assert (await r.ask(f"0.{OBJECT}.art-pages.acme.small.example")).code == NXDOMAIN
        assert (await r.ask(f"0.{OBJECT}.art-pages.small.route.example")).code == NXDOMAIN

    run_scenario(tmp_path, scenario)


CODES = [
    (query("a.elsewhere.example"), REFUSED),
    (query("route.example", AXFR), REFUSED),
    (query(NAME, cls=3), REFUSED),
    (query(NAME, flags=0x2000), NOTIMP),
    (query("nobody.route.example"), NXDOMAIN),
    (query(f"x.{OBJECT}.art-pages.acme.route.example"), NXDOMAIN),
    (query("0.zz.art-pages.acme.route.example"), NXDOMAIN),
    (query("acme.route.example"), NOERROR),
    (query("box.route.example"), NOERROR),
    (query(NAME, AAAA), NOERROR),
    (query(NAME, TXT), NOERROR),
    (query(NAME)[:-3], FORMERR),
    (query(NAME) + b"x", FORMERR),
    (query(NAME, more=opt() + opt(), extra=2), FORMERR),
    (struct.pack("!6H", 77, 0, 1, 0, 0, 0) + b"\xc0\x0c\0\1\0\1", FORMERR),
    (struct.pack("!6H", 77, 0, 1, 0, 0, 0) + b"\x40a\0\0\1\0\1", FORMERR),
    (struct.pack("!6H", 77, 0, 0, 0, 0, 0), FORMERR),
    (struct.pack("!6H", 77, 0, 2, 0, 0, 0) + name_of(NAME) + b"\0\1\0\1", FORMERR),
]


def test_queries_that_need_no_server_get_the_right_rcode(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        for raw, code in CODES:
            over_udp, (over_tcp,) = await r.send(raw), await r.tcp(raw)
            assert over_udp.raw == over_tcp.raw, raw
            assert (over_udp.code, over_udp.id, over_udp.addresses) == (code, 77, []), raw
            if code in (NOERROR, NXDOMAIN):
                assert [kind for kind, _, _ in over_udp.sections[1]] == [SOA], raw

    run_scenario(tmp_path, scenario)


def test_zone_data_edns_truncation_and_packets_that_get_no_answer(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        assert [k for k, _, _ in (await r.ask("route.example", SOA)).sections[0]] == [SOA]
        assert (await r.ask("route.example", NS)).sections[0][0][2] == b"\x03ns1\xc0\x0c"  # the rest is the question's
        assert [k for k, _, _ in (await r.ask(NAME, ANY)).sections[0]] == [HINFO]
        edns = await r.ask(more=opt(), extra=1)
        assert edns.code == NOERROR and [k for k, _, _ in edns.sections[2]] == [OPT]
        assert not (await r.ask()).sections[2]
        bad = await r.ask(more=opt(version=1), extra=1)
        assert bad.code == 0 and bad.sections[2][0][1] >> 24 == 1 and not bad.addresses  # BADVERS is 16
        for raw in (b"", b"x", b"\0" * 11, query(NAME, flags=0x8000), b"\xff" * 300):
            r.transport.sendto(raw)
        assert (await r.ask(id=78)).id == 78  # none of them was answered
        long = ".".join(["a" * 60] * 3)
        deep = f"0.{OBJECT}.art-pages.deep.{long}"
        wide = await r.ask("_http._tcp." + deep, SRV)
        assert not wide.flags & 0x0200 or wide.sections == [[], [], []]
        assert len(wide.raw) <= 512
        (full,) = await r.tcp(query("_http._tcp." + deep, SRV))
        assert len(full.sections[0]) == 1 and len(full.sections[2]) == 1

    zone = ".".join(["a" * 60] * 3)
    run_scenario(tmp_path, scenario, OPERATOR + f'[[tenants]]\nname = "deep"\nzones = ["{zone}"]\n')


def test_silent_connections_do_not_block_resolvers(tmp_path: Path) -> None:
    """Guards against a DNS front without the connection limits of other fronts: more silent connections are opened
    than it accepts."""

    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        silent = await open_silent_connections(r.port, 100)
        (reply,) = await r.tcp(query(NAME))
        assert reply.code == NOERROR
        for reader, writer in silent:
            await read_to_end(reader)
            writer.close()

    run_scenario(tmp_path, scenario)


def test_the_weight_of_answers_follows_the_reported_load(tmp_path: Path) -> None:
    """Servers report far more requests in flight than this proxy sent. The excess is attributed to the resolver whose
    answers named them, and `dns resolvers` shows the weight of its answers."""
    operator = OPERATOR + '\n[admin]\nlisten = "127.0.0.1:0"\ntoken_env = "TOKEN"\n'

    async def scenario(w: ProxyHarness, resolver: Resolver) -> None:
        client, inflight = await w.client(), 0
        for cache in w.caches:
            cache.behave = lambda ask: ("ok", f"ver=v1,born=1764576000000,report=inflight:{inflight};util:0.5", b"x")
        for i in range(20):  # their load before any answer named them
            await client.get("art-pages", obj=f"{i:016x}")
        inflight = 60
        port = await w.listening_port("admin")
        # How fast the weight rises depends on the answers per second that the machine achieves. Once the weight is
        # high, the next query may be refused, so the weight is checked after each answer.
        for i in range(300):
            assert (await resolver.ask(f"0.{i:016x}.art-pages.acme.route.example")).code == NOERROR
            await client.get("art-pages", obj=f"{i:016x}")
            await asyncio.sleep(0.04)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                f"GET /v1/dns/resolvers HTTP/1.1\r\nAuthorization: Bearer {'t' * 20}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            raw = await reader.read()
            writer.close()
            assert b" 200 " in raw.split(b"\r\n")[0], raw[:300]
            rows = json.loads(raw.partition(b"\r\n\r\n")[2])["resolvers"]
            (mine,) = [row for row in rows if row["resolver"] == "127.0.0.0/24"]
            if mine["weight"] > 2:
                break
        # 60 in flight, one of them this proxy's own, divided by the answers of the last second: the weight rises from 1
        assert mine["class"] == "art-pages" and mine["weight"] > 2 and mine["asked"] == i + 1, rows

    run_scenario(tmp_path, scenario, operator)


def test_a_caching_resolver_is_sent_to_the_fallback_name(tmp_path: Path) -> None:
    """Load remains at the servers although no answer has named them for over five seconds. The resolver answered last
    must be caching answers of TTL 0, so it gets the operator's fallback name, which does not drain."""
    operator = OPERATOR.replace("deadline_ms = 400", 'deadline_ms = 400\nfallback = "steady.example.net"')

    async def scenario(w: ProxyHarness, resolver: Resolver) -> None:
        first = await resolver.ask()
        assert first.code == NOERROR and first.addresses
        await asyncio.sleep(5.2)
        for cache in w.caches:
            cache.behave = lambda ask: ("ok", "ver=v1,born=1764576000000,report=inflight:30;util:0.5", b"x")
        client = await w.client()
        for i in range(30):
            await client.get("art-pages", obj=f"{i:016x}")
            await asyncio.sleep(0.04)
        later = await resolver.ask()
        assert later.code == NOERROR and [kind for kind, _, _ in later.sections[0]] == [5]
        assert name_of("steady.example.net") in later.raw

    run_scenario(tmp_path, scenario, operator)
