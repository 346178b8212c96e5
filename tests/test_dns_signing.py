"""Tests of signed answers with dnspython's validator, of denials, and of key rollovers under load."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import time
from pathlib import Path

import dns.dnssec
import dns.message
import dns.name
import dns.rdataclass
import dns.rdatatype as types
import dns.rrset
import pytest
from cryptography.hazmat.primitives.asymmetric import ec

from tests.harness import OBJECT, ROOT, ProxyHarness, until
from tests.test_dns import NAME, NXDOMAIN, OPERATOR, Resolver, run_scenario
from threadhill.dns import keys, message
from threadhill.dns.keys import RollRefused, State
from threadhill.dns.message import Record, Response
from threadhill.dns.signing import MAX_CACHED_SIGNATURES, Signer, successor
from threadhill.settings import Malformed

ZONE = dns.name.from_text("route.example.")
SIGNED = (
    OPERATOR.replace("deadline_ms = 400", "deadline_ms = 400\nresolver_qps = 0") + '\n[dns.signing]\nkeys = "keys"\n'
)
Message = dns.message.Message


def key_command(folder: Path, *words: str) -> str:
    return subprocess.run(
        [sys.executable, "-m", "threadhill", "dns", "key", *words, "--keys", str(folder / "keys")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    ).stdout


def make_query(name: str, kind: int = types.A, dnssec: bool = True, flags: int = 0) -> Message:
    query = dns.message.make_query(name, kind, want_dnssec=dnssec, payload=1_232 if dnssec else None)
    query.ednsflags |= flags
    return query


async def ask(r: Resolver, name: str = NAME, kind: int = types.A, **more: object) -> Message:
    for _ in range(40):  # a SERVFAIL for lack of capacity is not signed: ask again
        query = make_query(name, kind, **more)
        reply = dns.message.from_wire((await r.send(query.to_wire())).raw)
        if reply.rcode() != dns.rcode.SERVFAIL:
            return reply
        await asyncio.sleep(0.1)
    raise AssertionError("refused throughout")


async def key_set(port: int) -> dns.rrset.RRset:
    """The zone's DNSKEY set, after validating all its signatures."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    wire = make_query("route.example.", types.DNSKEY).to_wire()
    writer.write(len(wire).to_bytes(2, "big") + wire)
    reply = dns.message.from_wire(await reader.readexactly(int.from_bytes(await reader.readexactly(2), "big")))
    writer.close()
    found = reply.find_rrset(reply.answer, ZONE, dns.rdataclass.IN, types.DNSKEY)
    signatures = reply.find_rrset(reply.answer, ZONE, dns.rdataclass.IN, types.RRSIG, types.DNSKEY)
    assert len(signatures) == len(found)  # one by each key, so that any DS record of the parent matches one
    for signature in signatures:
        dns.dnssec.validate_rrsig(found, signature, {ZONE: found})
    return found


def check(reply: Message, known: dns.rrset.RRset) -> int:
    """Validate the signatures of each record set in the reply. Returns the number of sets."""
    sets = [rrset for section in reply.sections[1:] for rrset in section if rrset.rdtype != types.RRSIG]
    for rrset in sets:
        section = next(section for section in reply.sections[1:] if rrset in section)
        signatures = reply.find_rrset(section, rrset.name, dns.rdataclass.IN, types.RRSIG, rrset.rdtype)
        dns.dnssec.validate(rrset, signatures, {ZONE: known})
        assert all(s.expiration - time.time() <= 2 * 3_600 and time.time() - s.inception >= 3_600 for s in signatures)
    return len(sets)


def nsec(reply: Message) -> tuple[str, set[int]]:
    """The next name and the types in the reply's NSEC record."""
    (rrset,) = [rrset for rrset in reply.authority if rrset.rdtype == types.NSEC]
    found = {
        window << 8 | i * 8 + bit
        for window, bits in rrset[0].windows
        for i, byte in enumerate(bits)
        for bit in range(8)
        if byte & 0x80 >> bit
    }
    return rrset[0].next.to_text(), found


def test_answers_of_every_kind_have_valid_signatures(tmp_path: Path) -> None:
    ds = key_command(tmp_path, "generate", "route.example")

    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        known = await key_set(r.port)
        assert dns.dnssec.make_ds(ZONE, known[0], "SHA256").to_text().upper() == ds.split(" DS ")[1].strip().upper()
        for name, kind, sets in (
            (NAME, types.A, 1),
            ("_http._tcp." + NAME, types.SRV, 2),
            (NAME, types.HTTPS, 2),
            ("route.example.", types.SOA, 1),
            ("route.example.", types.NS, 1),
            ("route.example.", types.CDS, 1),
            (NAME, types.MX, 2),
            ("nobody.route.example.", 1, 2),
            ("acme.route.example.", types.A, 2),
            (NAME, types.ANY, 1),
        ):
            assert check(await ask(r, name, kind), known) == sets, (name, kind)
        nodata, none = await ask(r, NAME, types.MX), await ask(r, "nobody.route.example.")
        assert nsec(nodata) == ("\\000." + NAME + ".", {types.A, types.SVCB, types.HTTPS, types.RRSIG, types.NSEC})
        assert none.rcode() == 0 and nsec(none)[1] == {types.RRSIG, types.NSEC, 128}
        asked = await ask(r, "nobody.route.example.", flags=0x4000)  # the CO flag: the client supports compact denial
        assert asked.rcode() == NXDOMAIN and check(asked, known) == 2
        assert nsec(await ask(r, "acme.route.example."))[1] == {types.RRSIG, types.NSEC}  # only names below it
        assert (await ask(r, NAME, 128)).rcode() == dns.rcode.FORMERR
        for reply in (
            await ask(r, dnssec=False),
            await ask(r, "nobody.route.example.", dnssec=False),
            await ask(r, f"0.{OBJECT}.art-pages.small.small.example."),
        ):  # without the DO flag, or from a zone without keys
            assert not [s for section in reply.sections[1:] for s in section if s.rdtype in (types.RRSIG, types.NSEC)]
        assert (await ask(r, "nobody.route.example.", dnssec=False)).rcode() == NXDOMAIN

    run_scenario(tmp_path, scenario, SIGNED)


def test_no_signed_answer_names_a_drained_server_though_its_signature_was_made_before(tmp_path: Path) -> None:
    key_command(tmp_path, "generate", "route.example")

    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        async def hosts() -> set[str]:
            replies = [await ask(r, f"0.{i:016x}.art-pages.acme.route.example.") for i in range(24)]
            return {reply.answer[0][0].address for reply in replies}

        drained = w.caches[0]
        assert drained.host in await hosts()  # some of these answers were signed and their signatures cached
        w.journal.hosts(drained.member("DRAINING"))
        await w.wait_for_events()
        assert drained.host not in await hosts()
        for kind in (types.SRV, types.HTTPS, types.SVCB):
            for i in range(12):
                name = f"0.{i:016x}.art-pages.acme.route.example."
                reply = await ask(r, "_http._tcp." + name if kind == types.SRV else name, kind)
                assert drained.name not in reply.to_text() and drained.host not in reply.to_text()

    run_scenario(tmp_path, scenario, SIGNED)


def test_a_key_rollover_under_load_leaves_every_signature_valid(tmp_path: Path) -> None:
    """A resolver with the DNSKEY set cached before each step can validate every signature made after it."""
    key_command(tmp_path, "generate", "route.example")

    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        stop, seen, cached = False, [], [await key_set(r.port)]

        async def load() -> None:
            for i in range(1 << 30):
                if stop:
                    return
                reply = await ask(r, f"0.{i % 50:016x}.art-pages.acme.route.example.")
                check(reply, cached[0])
                seen.append(next(s for s in reply.answer if s.rdtype == types.RRSIG)[0].key_tag)
                await asyncio.sleep(0.002)

        loading = asyncio.ensure_future(load())
        run = asyncio.get_running_loop().run_in_executor
        await until(lambda: len(seen) > 50)
        first = seen[0]
        await run(None, key_command, tmp_path, "roll", "route.example")
        while len(cached[0]) < 2:  # until the resolver fetches a set with both keys
            cached[0] = await key_set(r.port)
        second = next(dns.dnssec.key_id(key) for key in cached[0] if dns.dnssec.key_id(key) != first)
        assert set(seen) == {first}
        with pytest.raises(subprocess.CalledProcessError):  # too early: resolvers may not know it
            key_command(tmp_path, "activate", "route.example", str(second))
        await run(None, key_command, tmp_path, "activate", "route.example", str(second), "--force")
        await until(lambda: seen[-1] == second or loading.done())
        await until(lambda: seen.count(second) > 50 or loading.done())
        await run(None, key_command, tmp_path, "remove", "route.example", str(first), "--force")
        while len(await key_set(r.port)) > 1:
            await asyncio.sleep(0.05)
        before = len(seen)
        await until(lambda: len(seen) > before + 50 or loading.done())
        stop = True
        await loading
        assert set(seen) == {first, second}

    run_scenario(tmp_path, scenario, SIGNED)


def test_steps_of_a_key_rollover_wait_for_resolver_caches() -> None:
    now = 1_000_000
    old = keys.generate("route.example", State.ACTIVE, now - 9_999)
    (new,) = keys.roll("route.example", [old], now)
    with pytest.raises(RollRefused, match="under way"):
        keys.roll("route.example", [old, new], now)
    with pytest.raises(RollRefused, match="599 s more"):
        keys.activate([old, new], new.tag, now + 1)
    changed = keys.activate([old, new], new.tag, now + keys.MIN_STATE_SECONDS)
    assert [(key.tag, key.state) for key in changed] == [(new.tag, State.ACTIVE), (old.tag, State.RETIRED)]
    with pytest.raises(RollRefused, match="is active"):
        keys.check_removable(changed, new.tag, now)
    with pytest.raises(RollRefused, match="s more"):
        keys.check_removable(changed, old.tag, now + keys.MIN_STATE_SECONDS + 1)
    assert keys.check_removable(changed, old.tag, now + 2 * keys.MIN_STATE_SECONDS).tag == old.tag


def test_unusable_key_files_are_reported_and_an_interrupted_activation_is_read(tmp_path: Path) -> None:
    one, two = (keys.generate("route.example", State.ACTIVE, at) for at in (5, 6))
    paths = [keys.write(tmp_path, key) for key in (one, two)]
    assert [(k.tag, k.state) for k in keys.read_folder(tmp_path)["route.example"]] == [
        (two.tag, State.ACTIVE),
        (one.tag, State.RETIRED),
    ]
    os.chmod(paths[0], 0o640)
    with pytest.raises(Malformed, match="chmod 600"):
        keys.read_folder(tmp_path)
    os.chmod(paths[0], 0o600)
    raw = json.loads(paths[0].read_text())
    for spoilt, told in (
        ({**raw, "tag": 1}, "do not fit"),
        ({**raw, "private": "x"}, "not a key file"),
        ({**raw, "state": "gone"}, "not a key file"),
        ([], "not a key file"),
    ):
        paths[0].write_text(json.dumps(spoilt))
        with pytest.raises(Malformed, match=told):
            keys.read_folder(tmp_path)
    folder_log: list[str] = []
    paths[0].write_text(json.dumps(raw))
    folder = keys.KeyFolder(tmp_path, folder_log.append)
    paths[1].write_text("{")
    assert (
        not folder.reload_if_changed() and not folder.reload_if_changed() and len(folder_log) == 1
    )  # logged once; the keys stay in use
    assert len(folder.zones["route.example"]) == 2


def test_cached_signatures_are_bounded_in_number_and_time() -> None:
    signer = Signer({"route.example": [keys.generate("route.example", State.ACTIVE, 0)]})
    query = message.read_query(make_query(NAME).to_wire())

    def sign(i: int, now: int) -> bytes:
        response = Response(answers=[Record(message.Type.A, i.to_bytes(4, "big"))], zone="route.example")
        signer.sign(query, response, now)
        return response.answers[1].data

    assert sign(1, 900) == sign(1, 1_199) != sign(1, 1_200)
    assert (signer.signatures_made, signer.cache_hits) == (2, 1)
    for i in range(MAX_CACHED_SIGNATURES + 50):
        sign(i, 1_200)
    assert len(signer._cache) == MAX_CACHED_SIGNATURES
    assert isinstance(next(iter(signer.zones["route.example"])).private, ec.EllipticCurvePrivateKey)
    longest = ("a" * 63, "b" * 63, "c" * 63, "d" * 61)
    assert successor(("x",)) == ("\0", "x") and successor(longest) == ("a" * 62 + "b", *longest[1:])
