"""Tests of DNS cookies and of the limits against floods: unit tests, and tests of the running proxy."""

from __future__ import annotations

import asyncio
import os
import struct
import time
from pathlib import Path

import pytest

from tests.harness import ProxyHarness, until
from tests.test_dns import NAME, NOERROR, OPERATOR, SRV, Reply, Resolver, query, run_scenario
from threadhill.dns import limits
from threadhill.dns.cookies import Cookies, CookieStatus, siphash24
from threadhill.dns.limits import Limits, ResponseAction

UNTRUSTED = OPERATOR.replace('trusted = ["127.0.0.1/32"]\n', "")
SECRET = bytes(range(16))


def test_siphash_gives_the_reference_values() -> None:
    """Test vectors of the SipHash paper: key 00..0f, messages 00..(n-1)."""
    assert siphash24(SECRET, b"").hex() == "310e0edd47db6f72"
    assert siphash24(SECRET, bytes(range(8))).hex() == "6224939a79f5f593"
    assert siphash24(SECRET, bytes(range(15))).hex() == "e545be4961ca29a1"


def test_a_server_cookie_proves_only_the_address_it_was_made_for_and_only_for_a_while() -> None:
    cookies, client, now = Cookies(SECRET), b"\x01" * 8, 1_764_576_000
    made = cookies.response_cookie(client, "192.0.2.7", now)
    assert len(made) == 24 and made[:8] == client
    assert cookies.check(made, "192.0.2.7", now + 10) is CookieStatus.GOOD
    assert cookies.check(made, "192.0.2.8", now + 10) is CookieStatus.BAD
    assert cookies.check(made, "192.0.2.7", now + 4_000) is CookieStatus.BAD
    assert Cookies(bytes(16)).check(made, "192.0.2.7", now) is CookieStatus.BAD
    assert cookies.check(client, "192.0.2.7", now) is CookieStatus.CLIENT_ONLY
    assert cookies.check(None, "192.0.2.7", now) is CookieStatus.NONE
    assert cookies.response_cookie(made, "192.0.2.7", now + 100) == made  # young enough: the same
    assert cookies.response_cookie(made, "192.0.2.7", now + 2_000) != made  # renewed
    assert cookies.check(made[:8] + b"\x02" + made[9:], "192.0.2.7", now) is CookieStatus.BAD


def test_responses_over_the_rate_of_a_network_are_dropped_or_truncated_in_turn() -> None:
    limits_under_test, now = Limits(responses=10, slip=2), 0
    sent = [limits_under_test.check_response("198.51.100.0/24", False, now) for _ in range(40)]
    assert sent[:20] == [ResponseAction.ANSWER] * 20  # its burst
    assert sent[20:] == [ResponseAction.DROP, ResponseAction.SLIP] * 10
    assert limits_under_test.check_response("198.51.100.0/24", True, now) is ResponseAction.ANSWER  # a cookie of ours
    assert limits_under_test.check_response("203.0.113.0/24", False, now) is ResponseAction.ANSWER  # another network
    assert (
        limits_under_test.check_response("198.51.100.0/24", False, now + 1_000_000) is ResponseAction.ANSWER
    )  # a second later


def test_the_buckets_are_bounded_and_a_rate_of_0_is_no_limit() -> None:
    limits_under_test = Limits(responses=5, resolver_queries=5)
    for n in range(3 * limits.MAX_BUCKETS):
        limits_under_test.check_response(f"n{n}", False, n)
        limits_under_test.allow_resolver(f"n{n}", n)
    assert len(limits_under_test.responses.buckets) == len(limits_under_test.queries.buckets) == limits.MAX_BUCKETS
    free = Limits(responses=0, resolver_queries=0)
    assert all(
        free.check_response("x", False, 0) is ResponseAction.ANSWER and free.allow_resolver("x", 0)
        for _ in range(1_000)
    )
    assert limits.max_response_size(60, False, 1_232) == 90 and limits.max_response_size(60, True, 1_232) == 1_232


def cookie(data: bytes) -> bytes:
    """An OPT with a cookie option."""
    return (
        b"\0"
        + struct.pack("!HHBBHH", 41, 1_232, 0, 0, 0x8000, 4 + len(data))
        + struct.pack("!HH", 10, len(data))
        + data
    )


def server_cookie(reply: Reply) -> bytes:
    at = reply.raw.index(b"\x00\x0a\x00\x18") + 4  # the cookie option, client and server cookie
    return reply.raw[at : at + 24]


def test_responses_to_unproven_addresses_are_limited_in_size_until_they_send_a_cookie(tmp_path: Path) -> None:
    async def scenario(w: ProxyHarness, r: Resolver) -> None:
        raw = query("_http._tcp." + NAME, SRV, more=cookie(b"\x05" * 8), extra=1)
        first = await r.send(raw)
        assert first.flags & 0x0200 and not first.sections[0] and len(first.raw) <= 1.5 * len(raw)
        proof = server_cookie(first)
        again = query("_http._tcp." + NAME, SRV, more=cookie(proof), extra=1)
        full = await r.send(again)
        assert full.code == NOERROR and not full.flags & 0x0200 and full.sections[0][0][0] == SRV
        small = await r.send(query(NAME))  # a bare A answer fits
        assert small.code == NOERROR and small.addresses and len(small.raw) <= 1.5 * len(query(NAME))
        for _ in range(3):  # a forged server cookie proves nothing
            forged = await r.send(query("_http._tcp." + NAME, SRV, more=cookie(proof[:-1] + b"\0"), extra=1))
            assert forged.flags & 0x0200

    run_scenario(tmp_path, scenario, UNTRUSTED)


def test_resolvers_with_cookies_are_served_during_a_flood_of_random_names(tmp_path: Path) -> None:
    """A resolver with a cookie is served while other addresses of its network, without cookies, send queries for random
    names at twenty times its rate."""
    operator = UNTRUSTED.replace("deadline_ms = 400", "deadline_ms = 400\nresponses_per_s = 50\nresolver_qps = 100")

    async def scenario(w: ProxyHarness, good: Resolver) -> None:
        port = good.port
        handshake = await good.send(query(NAME, more=cookie(b"\x07" * 8), extra=1))
        proof = server_cookie(handshake)
        loop = asyncio.get_running_loop()
        flooders = [
            await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=(f"127.0.0.{n}", 0), remote_addr=("127.0.0.1", port)
            )
            for n in (2, 3, 4)
        ]
        stop = time.monotonic() + 3
        answered = asked = 0

        async def flood() -> None:
            while time.monotonic() < stop:
                for transport, _ in flooders:
                    made_up = f"0.{os.urandom(8).hex()}.art-pages.acme.route.example"
                    transport.sendto(query(made_up, id=9))
                await asyncio.sleep(0.005)

        flooding = asyncio.ensure_future(flood())
        while time.monotonic() < stop:
            asked += 1
            began = time.monotonic()
            reply = await good.send(query(f"0.{asked:016x}.art-pages.acme.route.example", more=cookie(proof), extra=1))
            answered += reply.code == NOERROR and bool(reply.addresses) and time.monotonic() - began < 0.4
            await asyncio.sleep(0.05)
        await flooding
        for transport, _ in flooders:
            transport.close()
        assert answered >= 0.99 * asked and asked > 20
        await until(lambda: w.counter("dns", "rate limited, drop") > 0, "the flood dropped")

    run_scenario(tmp_path, scenario, operator)


def test_a_flood_spoofing_many_networks_is_limited_by_the_budget_of_unproven_addresses(tmp_path: Path) -> None:
    """Each network stays below its own rate, so only the budget of all unproven addresses together limits the flood. A
    resolver with a cookie is served meanwhile; one without is told to retry over TCP, where it is served."""
    operator = UNTRUSTED.replace("deadline_ms = 400", "deadline_ms = 400\nunproven_qps = 20")

    async def scenario(w: ProxyHarness, good: Resolver) -> None:
        proof = server_cookie(await good.send(query(NAME, more=cookie(b"\x07" * 8), extra=1)))
        loop = asyncio.get_running_loop()
        flooders = [
            (
                await loop.create_datagram_endpoint(
                    asyncio.DatagramProtocol, local_addr=(f"127.0.{n}.1", 0), remote_addr=("127.0.0.1", good.port)
                )
            )[0]
            for n in range(50, 90)
        ]
        began, sent = time.monotonic(), 0
        for _ in range(25):
            for transport in flooders:
                transport.sendto(query(f"0.{os.urandom(8).hex()}.art-pages.acme.route.example"))
                sent += 1
            reply = await good.send(query(NAME, more=cookie(proof), extra=1))
            assert reply.code == NOERROR and reply.addresses
            await asyncio.sleep(0.04)
        took = time.monotonic() - began
        bare = [await good.send(query(NAME)) for _ in range(40)]  # more than the budget gains meanwhile
        assert any(reply.flags & 0x0200 and not reply.sections[0] for reply in bare)  # TC
        (over_tcp,) = await good.tcp(query(NAME))
        assert over_tcp.addresses
        for transport in flooders:
            transport.close()
        over = await until(lambda: w.counter("dns", "over the budget of the unproven"), "the flood at its budget")
        # Only the burst and the rate of the budget reached the decision module; all others got TC.
        assert sent == 1_000 and over >= sent - 20 * (took + 2)

    run_scenario(tmp_path, scenario, operator)


@pytest.mark.parametrize("bad", ["unproven_qps = -1", "responses_per_s = -1", 'trusted = ["not a network"]'])
def test_invalid_limits_stop_the_start(tmp_path: Path, bad: str) -> None:
    import tomllib

    from threadhill.operators import read_operator
    from threadhill.settings import Malformed

    raw = tomllib.loads(UNTRUSTED.replace("deadline_ms = 400", f"deadline_ms = 400\n{bad}"))
    with pytest.raises(Malformed, match="dns"):
        read_operator(raw, {}, tmp_path)
