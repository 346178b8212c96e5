"""What an answer is charged: estimates per resolver from servers' reports, resolvers that hold, and a cold box."""

from __future__ import annotations

from tests.script import MS, SECOND, Script, cache
from threadhill.decision import interface as api
from threadhill.dns import charging
from threadhill.dns.charging import Charging, resolver_key


def test_a_resolver_is_its_network_or_the_subnet_it_tells() -> None:
    assert resolver_key("192.0.2.77") == resolver_key("192.0.2.3") == "192.0.2.0/24"
    assert resolver_key("2001:db8:0:1::53") == "2001:db8::/56"
    assert resolver_key("192.0.2.77", (1, 24, bytes([198, 51, 100]))) == "198.51.100.0/24"
    assert resolver_key("192.0.2.77", (1, 32, bytes([198, 51, 100, 9]))) == "198.51.100.0/24"
    assert resolver_key("192.0.2.77", (0, 0, b"")) == "192.0.2.0/24"


def test_estimates_settle_on_what_each_resolvers_answers_bring() -> None:
    """A resolver of 200 clients and one of a single client; their answers name servers by the objects asked, some
    the same for both. Each server's reports tell the sum of what the answers that named it brought."""
    book, now = Charging(), 0
    bring, names = {"big": 200, "small": 1}, {"big": (7, 8), "small": (7, 9)}
    for n in range(80):
        now += 200 * MS
        for who in bring:
            book.weight(who, "c", now)
            book.answered(who, "c", names[who][n % 2], now)
        for server in (7, 8, 9):
            active = {who: sum(1 for at, one in book.estimates[who, "c"].answers
                               if one == server and now - at <= charging.ACTIVE) for who in bring}
            book.reported(server, sum(bring[who] * active[who] for who in bring), now)
    big, small = book.weight("big", "c", now), book.weight("small", "c", now)
    assert 120 <= big <= charging.MOST and small < big / 20


def test_a_resolver_that_keeps_answers_is_known_by_the_load_that_stays() -> None:
    book, now = Charging(), 0
    for _ in range(5):
        now += 100 * MS
        book.answered("keeper", "c", 7, now)
        book.answered("honest", "c", 8, now)
    now += 3 * SECOND  # nothing named 7 for long: still, it has clients in hand
    for _ in range(4):
        now += 500 * MS
        book.reported(7, 20, now)
        book.reported(8, 0, now)
    assert book.holds("keeper", "c", now) and not book.holds("honest", "c", now)
    assert book.weight("keeper", "c", now) >= charging.HOLDER_WEIGHT
    assert [row["resolver"] for row in book.resolvers(now)][0] == "keeper"
    assert not book.holds("keeper", "c", now + 10 * charging.FADE)  # it is forgotten when it stops


def test_the_estimates_are_bounded_however_many_resolvers_ask() -> None:
    book = Charging()
    for n in range(3 * charging.KEYS):
        book.weight(f"10.{n >> 8 & 255}.{n & 255}.0/24", "c", n)
        book.answered(f"10.{n >> 8 & 255}.{n & 255}.0/24", "c", n % 5, n)
    assert len(book.estimates) == charging.KEYS
    assert sum(len(named) for named in book.by_server.values()) <= charging.KEYS


def test_a_cold_box_gets_no_answer_of_a_resolver_that_stands_for_200_clients() -> None:
    """The estimate learnt from warm boxes' reports keeps the crowd of one resolver off a box that starts cold, while
    answers to resolvers of one client each still warm it."""
    script, book = Script(), Charging()
    for n in range(400):
        script.serve(f"o{n % 80}")
        script.wait(25 * MS)
    for n in range(50):  # warm boxes report what the crowd brings
        (named,) = script.ask(f"w{n}", hand_over=True, weight=book.weight("crowd", "reads", script.now))
        if isinstance(named, api.HandOver):
            book.answered("crowd", "reads", named.server, script.now)
            book.reported(named.server, 200.0, script.now)
        script.wait(100 * MS)
    assert book.weight("crowd", "reads", script.now) > 100
    script.list([cache(11, since=script.now)])
    to_cold = {"crowd": 0, "single": 0}
    for n in range(200):
        for who in to_cold:
            (named,) = script.ask(f"q{n}", hand_over=True, weight=book.weight(who, "reads", script.now))
            to_cold[who] += isinstance(named, api.HandOver) and named.server == 11
        script.wait(20 * MS)
    assert to_cold["crowd"] == 0 and to_cold["single"] > 0


def test_what_a_server_has_without_our_answers_is_nobodys_answer() -> None:
    """Other proxies send to the same server: its level before any answer of ours named it is not put down to ours."""
    book, now = Charging(), 0
    for _ in range(50):
        now += 100 * MS
        book.reported(7, 40.0, now)
    for _ in range(40):
        now += 200 * MS
        book.weight("r", "c", now)
        book.answered("r", "c", 7, now)
        active = sum(1 for at, _ in book.estimates["r", "c"].answers if now - at <= charging.ACTIVE)
        book.reported(7, 40.0 + 3 * active, now)
    assert 2 <= book.weight("r", "c", now) <= 4.5
