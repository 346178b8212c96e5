"""Tests of static records (parsing, answers, signatures, plans) and of zone transfers with TSIG."""

from __future__ import annotations

import asyncio
import base64
import os
import socket
from pathlib import Path

import dns.message
import dns.query
import dns.rcode
import dns.rdatatype as types
import dns.rrset
import dns.tsig
import dns.tsigkeyring
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.harness import ProxyHarness
from tests.test_dns import NAME, OPERATOR, Resolver, run_scenario
from tests.test_dns_signing import SIGNED, check, key_command, key_set, nsec
from tests.test_dns_signing import ask as ask_signed
from tests.test_plans import BASE, read
from threadhill import zonefile
from threadhill.documents import Invalid, read_tenant, write_tenant

RECORDS = [
    "www.route.example. 60 A 192.0.2.1",
    "www.route.example. 60 A 192.0.2.2",
    "alias.route.example. CNAME www.route.example.",
    f"steered.route.example. CNAME {NAME}.",
    'route.example. TXT "v=spf1 -all" "quote \\" and \\200"',
    'route.example. CAA 0 issue "ca.example"',
    "route.example. MX 10 mail.elsewhere.example.",
    "a.deep.route.example. AAAA 2001:db8::1",
    "_sip._tcp.route.example. SRV 1 2 5060 www.route.example.",
]
RECORD_LIST = ", ".join("'" + record + "'" for record in RECORDS)
ZONES_WITH_RECORDS = f'zones = ["route.example"]\nrecords = [{RECORD_LIST}]'


def operator(base: str = OPERATOR) -> str:
    return base.replace('zones = ["route.example"]', ZONES_WITH_RECORDS, 1)


async def ask(r: Resolver, name: str, kind: int = types.A) -> dns.message.Message:
    raw = dns.message.make_query(name, kind).to_wire()
    r.transport.sendto(raw)
    before = len(r.replies)
    while len(r.replies) == before:
        await asyncio.sleep(0.005)
    return dns.message.from_wire(r.replies[-1].raw)


def rows(message: dns.message.Message) -> list[str]:
    return sorted(f"{s.name} {s.ttl} {types.to_text(s.rdtype)} {rdata}" for s in message.answer for rdata in s)


def test_static_records_are_answered_beside_steered_names(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        assert rows(await ask(r, "www.route.example.")) == [f"www.route.example. 60 A 192.0.2.{n}" for n in (1, 2)]
        assert len(rows(await ask(r, "alias.route.example."))) == 3  # the alias and what it leads to
        assert rows(await ask(r, "steered.route.example.")) == [f"steered.route.example. 300 CNAME {NAME}."]
        assert rows(await ask(r, "route.example.", types.TXT)) == [
            'route.example. 300 TXT "v=spf1 -all" "quote \\" and \\200"'
        ]
        assert rows(await ask(r, "route.example.", types.CAA)) == ['route.example. 300 CAA 0 issue "ca.example"']
        assert rows(await ask(r, "route.example.", types.MX)) == ["route.example. 300 MX 10 mail.elsewhere.example."]
        assert rows(await ask(r, "_sip._tcp.route.example.", types.SRV))[0].endswith("1 2 5060 www.route.example.")
        for name, kind, code in (
            ("www.route.example.", types.MX, 0),
            ("deep.route.example.", types.A, 0),
            ("x.www.route.example.", types.A, 3),
            ("route.example.", types.A, 0),
        ):
            reply = await ask(r, name, kind)
            assert reply.rcode() == code and not reply.answer, name
        assert len((await ask(r, NAME)).answer) == 1 and len((await ask(r, "route.example.", types.NS)).answer) == 1

    run_scenario(tmp_path, scenario, operator())


def test_static_records_are_signed_and_their_absence_is_denied(tmp_path: Path) -> None:
    key_command(tmp_path, "generate", "route.example")

    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        known = await key_set(r.port)
        for name, kind, sets in (
            ("www.route.example.", types.A, 1),
            ("alias.route.example.", types.A, 2),
            ("route.example.", types.TXT, 1),
            ("www.route.example.", types.MX, 2),
        ):
            assert check(await ask_signed(r, name, kind), known) == sets
        assert nsec(await ask_signed(r, "www.route.example.", types.MX))[1] == {types.A, types.RRSIG, types.NSEC}
        assert {types.SOA, types.TXT, types.CAA, types.DNSKEY} <= nsec(await ask_signed(r, "route.example."))[1]

    async def plain(
        w: ProxyHarness, r: Resolver
    ) -> None:  # without the check for TTL 0: static records have their own TTL
        r.send = lambda raw: send(r, raw)
        await scenario(w, r)

    async def send(r: Resolver, raw: bytes):  # noqa: ANN202
        before = len(r.replies)
        r.transport.sendto(raw)
        while len(r.replies) == before:
            await asyncio.sleep(0.005)
        return r.replies[-1]

    run_scenario(tmp_path, plain, operator(SIGNED))


FAULTS = [
    ("www.route.example.", "NAME [TTL] TYPE DATA"),
    ("www.route.example. A 1.2.3", "no IPv4 address"),
    ("www.route.example. NS ns.example.", "operator's file"),
    ("www.route.example. SPF x", "the types are"),
    ("www.other.example. A 192.0.2.1", "none of the tenant's zones"),
    ("x.acme.route.example. A 192.0.2.1", "steered"),
    ("s-1.box.route.example. A 192.0.2.1", "steered"),
    ("route.example. CNAME x.example.", "can't be an alias"),
    ("www.route.example. 99999999 A 192.0.2.1", "the TTL"),
    ("www.route.example. MX x y.example.", "preference"),
    ("www.route.example. CAA 0 !! x", "no tag"),
    ("www.route.example. A 1.2.3.4 5", "1 words, not 2"),
    ('www.route.example. TXT "\\999"', "no byte"),
    ("a..b A 192.0.2.1", "no domain name"),
    (7, "a record is a text"),
]


@pytest.mark.parametrize(("record", "told"), FAULTS)
def test_unusable_records_are_reported_with_their_position(record: object, told: str) -> None:
    with pytest.raises(Invalid) as caught:
        read_tenant(
            {"name": "acme", "zones": ["route.example"], "records": ["ok.route.example. A 192.0.2.9", record]},
            "tenants[3]",
        )
    (fault,) = caught.value.faults
    assert fault["at"] == "tenants[3].records[1]" and told in fault["fault"]


def test_conflicting_records_are_reported() -> None:
    for pair, told in (
        (("a.z.example. CNAME b.z.example.", "a.z.example. A 192.0.2.1"), "nothing else"),
        (("a.z.example. 5 A 192.0.2.1", "a.z.example. 6 A 192.0.2.2"), "one TTL"),
        (("a.z.example. A 192.0.2.1", "A.z.example A 192.0.2.1"), "twice"),
    ):
        with pytest.raises(Invalid, match=told):
            read_tenant({"name": "acme", "zones": ["z.example"], "records": list(pair)}, "tenant")


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=60), min_size=1, max_size=4))
def test_strings_of_any_bytes_are_written_and_read_back(strings: list[bytes]) -> None:
    words = " ".join(zonefile._quote(raw) for raw in strings)
    record = zonefile.parse_record(f"x.route.example. 7 TXT {words}")
    assert record.data == (b"".join(bytes([len(raw)]) + raw for raw in strings),)
    assert zonefile.parse_record(record.text) == record


def test_files_for_plan_and_apply_hold_records(tmp_path: Path) -> None:
    block = 'tenant "acme" {\n  zones = ["acme.example"]\n  records = ["WWW.acme.example A 192.0.2.1"]\n}\n'
    resources = read(BASE + block)
    assert resources["tenant.acme"].attrs["records"] == ["www.acme.example. 300 A 192.0.2.1"]
    assert "records" not in read(BASE + 'tenant "acme" {\n  zones = ["acme.example"]\n}\n')["tenant.acme"].attrs
    tenant = read_tenant({"name": "acme", "zones": ["route.example"], "records": RECORDS}, "tenant")
    assert read_tenant(write_tenant(tenant), "tenant") == tenant


SECRET = base64.b64encode(b"k" * 32).decode()
TRANSFER = """
[dns.transfer]
to = ["127.0.0.1/32"]
keys = [{name = "audit.key", secret_file = "secret"}]
"""


def test_zone_transfers_need_an_allowed_address_and_a_valid_key(tmp_path: Path) -> None:
    (tmp_path / "secret").write_text(SECRET)
    os.chmod(tmp_path / "secret", 0o600)
    ring = dns.tsigkeyring.from_text({"audit.key": SECRET})
    many = ", ".join(f"'n{i}.route.example. TXT \"{'x' * 250}\" \"{'y' * 250}\"'" for i in range(200))
    text = OPERATOR.replace('zones = ["route.example"]', f'zones = ["route.example"]\nrecords = [{many}]', 1)

    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        def copy(kind: int = types.AXFR, **more: object) -> list:
            query = dns.message.make_query("route.example.", kind)
            if "serial" in more:
                query.authority = [
                    dns.rrset.from_text("route.example.", 0, "IN", "SOA", f"a. b. {more.pop('serial')} 1 1 1 1")
                ]
            query.use_tsig(more.pop("ring", ring), "audit.key", algorithm=dns.tsig.HMAC_SHA256)
            rrsets = []
            with socket.create_connection(("127.0.0.1", r.port), timeout=60) as sock:  # each message's TSIG is verified
                raw = query.to_wire()
                sock.sendall(len(raw).to_bytes(2, "big") + raw)
                context = None
                while sum(s.rdtype == types.SOA for s in rrsets) < (2 if more.get("whole", True) else 1):
                    size = int.from_bytes(_exactly(sock, 2), "big")
                    message = dns.message.from_wire(
                        _exactly(sock, size),
                        keyring=query.keyring,
                        xfr=True,
                        request_mac=query.mac,
                        tsig_ctx=context,
                        multi=True,
                        one_rr_per_rrset=True,
                    )
                    if message.rcode():
                        return [message]
                    assert message.had_tsig
                    context = message.tsig_ctx
                    rrsets += message.answer
            return rrsets

        run = asyncio.get_running_loop().run_in_executor
        whole = await run(None, copy)
        assert len(whole) == 2 + 1 + 200 and whole[0] == whole[-1] and whole[0].rdtype == types.SOA
        serial = whole[0][0].serial
        assert len(await run(None, lambda: copy(types.IXFR, serial=serial, whole=False))) == 1
        assert len(await run(None, lambda: copy(types.IXFR, serial=serial - 1))) == 203
        for bad in ({"audit.key": base64.b64encode(b"z" * 32).decode()}, {"other.key": SECRET}):
            wrong = dns.tsigkeyring.from_text(bad)
            with pytest.raises((dns.tsig.PeerBadSignature, dns.tsig.PeerBadKey)):
                query = dns.message.make_query("route.example.", types.AXFR)
                query.use_tsig(wrong, algorithm=dns.tsig.HMAC_SHA256)
                await run(None, lambda query=query: dns.query.tcp(query, "127.0.0.1", port=r.port, timeout=20))
        raw = dns.message.make_query("route.example.", types.SOA)
        raw.use_tsig(ring, algorithm=dns.tsig.HMAC_SHA256, fudge=1)
        wire = raw.to_wire()
        await asyncio.sleep(2.5)  # past its fudge
        r.transport.sendto(wire)
        before = len(r.replies)
        while len(r.replies) == before:
            await asyncio.sleep(0.01)
        assert r.replies[-1].code == dns.rcode.NOTAUTH
        fine = dns.message.make_query("route.example.", types.SOA)
        fine.use_tsig(ring, algorithm=dns.tsig.HMAC_SHA256)
        answer = await run(None, lambda: dns.query.udp(fine, "127.0.0.1", port=r.port, timeout=20))
        assert answer.had_tsig and answer.answer
        bare = dns.message.make_query("route.example.", types.AXFR)
        assert (await run(None, lambda: dns.query.tcp(bare, "127.0.0.1", port=r.port))).rcode() == dns.rcode.REFUSED
        far = await run(None, lambda: dns.query.tcp(_keyed(ring), "127.0.0.1", port=r.port, source="127.0.0.5"))
        assert far.rcode() == dns.rcode.REFUSED and far.had_tsig
        over_udp = await run(None, lambda: dns.query.udp(_keyed(ring), "127.0.0.1", port=r.port))
        assert over_udp.rcode() == dns.rcode.REFUSED

    run_scenario(tmp_path, scenario, text.replace("[[tenants]]", TRANSFER + "\n[[tenants]]", 1))


def _keyed(ring: dict) -> dns.message.Message:
    query = dns.message.make_query("route.example.", types.AXFR)
    query.use_tsig(ring, algorithm=dns.tsig.HMAC_SHA256)
    return query


def _exactly(sock: socket.socket, size: int) -> bytes:
    raw = b""
    while len(raw) < size:
        more = sock.recv(size - len(raw))
        assert more, "the connection ended in the middle"
        raw += more
    return raw
