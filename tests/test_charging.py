"""What an answer is charged: estimates per resolver from servers' reports, resolvers that hold, and a cold box."""

from __future__ import annotations

import pytest

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


class Crowds:
    """Resolvers whose answers each bring so many requests to the server that they name, each there for `HOLD`; a
    server's reports tell what it has in hand when they are made, or `late` after."""

    HOLD = 50 * MS

    def __init__(self, bring: dict[str, float], late: int = 0) -> None:
        self.book, self.bring, self.late, self.now, self.n = Charging(), bring, late, 0, 0
        self.hands: list[tuple[int, int, float]] = []  # when, server, requests
        self.reports: list[tuple[int, int, float]] = []

    def step(self, asks: dict[str, int], servers: tuple[int, ...], every: int = 200) -> None:
        """10 ms: who asks in this one, by resolver to the server named, and a report of each server."""
        self.now += 10 * MS
        self.n += 1
        if self.n * 10 % every == 0:
            for who, server in asks.items():
                self.book.weight(who, "c", self.now, f"o{self.n % 5}")
                self.book.answered(who, "c", server, self.now, self.HOLD)
                self.hands.append((self.now, server, self.bring[who]))
        self.hands = [hand for hand in self.hands if self.now - hand[0] < self.HOLD]
        for server in servers:
            self.reports.append((self.now + self.late, server, sum(r for _, s, r in self.hands if s == server)))
        while self.reports and self.reports[0][0] <= self.now:
            _, server, inflight = self.reports.pop(0)
            self.book.reported(server, inflight, self.now)


@pytest.mark.parametrize("late", [0, 4 * SECOND])
def test_estimates_settle_on_what_each_resolvers_answers_bring(late: int) -> None:
    """A resolver of 200 clients, one of a single client and one that asks three names for each; their answers name
    servers by the objects asked, some the same for two of them. Requests are short: most reports see none of them."""
    crowds = Crowds({"big": 200, "small": 1, "idle": 1 / 3}, late)
    for n in range(4_000):
        crowds.step({"big": (7, 8)[n // 20 % 2], "small": (7, 9)[n // 20 % 2], "idle": 10}, (7, 8, 9, 10))
    weights = {who: crowds.book.weight(who, "c", crowds.now) for who in crowds.bring}
    assert 130 <= weights["big"] <= charging.MOST and weights["small"] < 15 and weights["idle"] < 0.7, weights
    assert not any(crowds.book.holds(who, "c", crowds.now) for who in crowds.bring)


def test_a_busy_resolver_of_single_clients_is_charged_for_no_more() -> None:
    crowds = Crowds({"busy": 1})
    for _ in range(1_500):
        crowds.step({"busy": 7}, (7,), every=10)  # a hundred answers a second
    assert 0.6 <= crowds.book.weight("busy", "c", crowds.now) <= 1.6


def test_a_resolver_that_keeps_answers_is_known_by_the_load_that_stays() -> None:
    book, now = Charging(), 0
    for _ in range(5):
        now += 100 * MS
        book.answered("keeper", "c", 7, now)
        book.answered("honest", "c", 8, now)
    now += 6 * SECOND  # nothing named 7 for long: still, it has clients in hand
    for _ in range(4):
        now += 500 * MS
        book.reported(7, 20, now)
        book.reported(8, 0, now)
    assert book.holds("keeper", "c", now) and not book.holds("honest", "c", now)
    assert book.weight("keeper", "c", now) >= charging.HOLDER_WEIGHT
    assert [row["resolver"] for row in book.resolvers(now)][0] == "keeper"
    assert not book.holds("keeper", "c", now + 10 * charging.FADE)  # it is forgotten when it stops


def test_reports_that_come_4_s_late_make_no_honest_resolver_a_holder() -> None:
    """It asks steadily and stops; what its clients brought is reported 4 s later, when nothing names the server."""
    book, now = Charging(), 0
    for n in range(200):
        now += 100 * MS
        if n < 100:
            book.weight("honest", "c", now, f"o{n % 7}")
            book.answered("honest", "c", 7, now)
        if n >= 40:
            book.reported(7, 20.0 if n < 140 else 0.0, now)
        assert not book.holds("honest", "c", now)


def test_a_resolver_that_never_asks_again_within_a_second_holds_if_it_brings_many() -> None:
    """The holder's 400 clients come all through the three seconds for which it keeps an answer."""
    crowds = Crowds({"honest": 400, "quiet": 1})
    for n in range(9_000):
        crowds.step({"honest": 2, "quiet": 3} if n % 300 == 19 else {"honest": 2}, (2, 3))
        if n % 300 == 0:
            crowds.book.weight("holder", "c", crowds.now, "popular")
            crowds.book.answered("holder", "c", 1, crowds.now, crowds.HOLD)
        crowds.book.reported(1, 400 / 3 * 0.05, crowds.now)
    held = [who for who in ("holder", "honest", "quiet") if crowds.book.holds(who, "c", crowds.now)]
    assert held == ["holder"], crowds.book.resolvers(crowds.now)
    assert all(len(estimate.names) <= charging.NAMES for estimate in crowds.book.estimates.values())


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
    script.list([cache(11, reported_start=script.now)])
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
        book.reported(7, 40.0 + 3 * book.estimates["r", "c"].sent(7, now), now)
    assert 2 <= book.weight("r", "c", now) <= 4.5
