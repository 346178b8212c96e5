"""The weight of answers: estimates per resolver from servers' reports, caching resolvers, and cold servers."""

from __future__ import annotations

import pytest

from tests.script import MS, SECOND, Script, cache
from threadhill.decision import interface as api
from threadhill.dns import charging
from threadhill.dns.charging import Charging, resolver_key


def test_a_resolver_is_identified_by_its_network_or_the_client_subnet() -> None:
    assert resolver_key("192.0.2.77") == resolver_key("192.0.2.3") == "192.0.2.0/24"
    assert resolver_key("2001:db8:0:1::53") == "2001:db8::/56"
    assert resolver_key("192.0.2.77", (1, 24, bytes([198, 51, 100]))) == "198.51.100.0/24"
    assert resolver_key("192.0.2.77", (1, 32, bytes([198, 51, 100, 9]))) == "198.51.100.0/24"
    assert resolver_key("192.0.2.77", (0, 0, b"")) == "192.0.2.0/24"


class SimulatedResolvers:
    """Resolvers whose answers each bring `requests_per_answer` requests to the server that they name, each in flight
    for `SERVICE_TIME`. Reports of requests in flight arrive `report_delay` after they were measured."""

    SERVICE_TIME = 50 * MS

    def __init__(self, requests_per_answer: dict[str, float], report_delay: int = 0) -> None:
        self.charges, self.requests_per_answer, self.report_delay, self.now, self.n = (
            Charging(),
            requests_per_answer,
            report_delay,
            0,
            0,
        )
        self.in_flight: list[tuple[int, int, float]] = []  # when, server, requests
        self.reports: list[tuple[int, int, float]] = []

    def step(self, queries: dict[str, int], servers: tuple[int, ...], interval_ms: int = 200) -> None:
        """Advance by 10 ms. At each `interval_ms`, every resolver in `queries` is answered with its server. Each of
        `servers` makes a report."""
        self.now += 10 * MS
        self.n += 1
        if self.n * 10 % interval_ms == 0:
            for resolver, server in queries.items():
                self.charges.weight(resolver, "c", self.now, f"o{self.n % 5}")
                self.charges.record_answer(resolver, "c", server, self.now, self.SERVICE_TIME)
                self.in_flight.append((self.now, server, self.requests_per_answer[resolver]))
        self.in_flight = [item for item in self.in_flight if self.now - item[0] < self.SERVICE_TIME]
        for server in servers:
            self.reports.append(
                (self.now + self.report_delay, server, sum(r for _, s, r in self.in_flight if s == server))
            )
        while self.reports and self.reports[0][0] <= self.now:
            _, server, inflight = self.reports.pop(0)
            self.charges.record_report(server, inflight, self.now)


@pytest.mark.parametrize("late", [0, 4 * SECOND])
def test_estimates_settle_on_what_each_resolvers_answers_bring(late: int) -> None:
    """A resolver with 200 clients, one with a single client, and one that makes three queries per client request. Two
    of them share a server at times. Requests are short, so most reports see none in flight."""
    simulation = SimulatedResolvers({"big": 200, "small": 1, "idle": 1 / 3}, late)
    for n in range(4_000):
        simulation.step({"big": (7, 8)[n // 20 % 2], "small": (7, 9)[n // 20 % 2], "idle": 10}, (7, 8, 9, 10))
    weights = {
        resolver: simulation.charges.weight(resolver, "c", simulation.now)
        for resolver in simulation.requests_per_answer
    }
    assert 130 <= weights["big"] <= charging.MAX_WEIGHT and weights["small"] < 15 and weights["idle"] < 0.7, weights
    assert not any(
        simulation.charges.caches_answers(resolver, "c", simulation.now) for resolver in simulation.requests_per_answer
    )


def test_a_busy_resolver_with_one_request_per_answer_is_charged_one() -> None:
    simulation = SimulatedResolvers({"busy": 1})
    for _ in range(1_500):
        simulation.step({"busy": 7}, (7,), interval_ms=10)  # a hundred answers a second
    assert 0.6 <= simulation.charges.weight("busy", "c", simulation.now) <= 1.6


def test_a_caching_resolver_is_detected_by_the_load_that_remains() -> None:
    charges, now = Charging(), 0
    for _ in range(5):
        now += 100 * MS
        charges.record_answer("keeper", "c", 7, now)
        charges.record_answer("honest", "c", 8, now)
    now += 6 * SECOND  # no answer has named server 7 for long, but it still reports requests in flight
    for _ in range(4):
        now += 500 * MS
        charges.record_report(7, 20, now)
        charges.record_report(8, 0, now)
    assert charges.caches_answers("keeper", "c", now) and not charges.caches_answers("honest", "c", now)
    assert charges.weight("keeper", "c", now) >= charging.CACHING_WEIGHT
    assert [row["resolver"] for row in charges.resolvers(now)][0] == "keeper"
    assert not charges.caches_answers(
        "keeper", "c", now + 10 * charging.CACHED_LOAD_HALF_LIFE
    )  # it is forgotten when it stops


def test_reports_that_are_4_s_late_do_not_mark_a_resolver_as_caching() -> None:
    """A resolver stops asking. Its clients' load is reported 4 s later, when no answer names the server."""
    charges, now = Charging(), 0
    for n in range(200):
        now += 100 * MS
        if n < 100:
            charges.weight("honest", "c", now, f"o{n % 7}")
            charges.record_answer("honest", "c", 7, now)
        if n >= 40:
            charges.record_report(7, 20.0 if n < 140 else 0.0, now)
        assert not charges.caches_answers("honest", "c", now)


def test_a_resolver_that_never_repeats_a_query_within_a_second_is_caching_if_its_weight_is_high() -> None:
    """The holder caches each answer for three seconds, during which its 400 clients send requests."""
    simulation = SimulatedResolvers({"honest": 400, "quiet": 1})
    for n in range(9_000):
        simulation.step({"honest": 2, "quiet": 3} if n % 300 == 19 else {"honest": 2}, (2, 3))
        if n % 300 == 0:
            simulation.charges.weight("holder", "c", simulation.now, "popular")
            simulation.charges.record_answer("holder", "c", 1, simulation.now, simulation.SERVICE_TIME)
        simulation.charges.record_report(1, 400 / 3 * 0.05, simulation.now)
    caching = [
        resolver
        for resolver in ("holder", "honest", "quiet")
        if simulation.charges.caches_answers(resolver, "c", simulation.now)
    ]
    assert caching == ["holder"], simulation.charges.resolvers(simulation.now)
    assert all(len(estimate.names) <= charging.MAX_NAMES for estimate in simulation.charges.estimates.values())


def test_the_estimates_are_bounded_however_many_resolvers_ask() -> None:
    charges = Charging()
    for n in range(3 * charging.MAX_ESTIMATES):
        charges.weight(f"10.{n >> 8 & 255}.{n & 255}.0/24", "c", n)
        charges.record_answer(f"10.{n >> 8 & 255}.{n & 255}.0/24", "c", n % 5, n)
    assert len(charges.estimates) == charging.MAX_ESTIMATES
    assert sum(len(recipients) for recipients in charges.by_server.values()) <= charging.MAX_ESTIMATES


def test_a_cold_server_is_not_named_to_a_resolver_with_200_clients() -> None:
    """The estimate learnt from warm servers' reports keeps the clients of one resolver away from a cold server, while
    answers to resolvers with one client each still warm it up."""
    script, charges = Script(), Charging()
    for n in range(400):
        script.serve(f"o{n % 80}")
        script.wait(25 * MS)
    for n in range(50):  # warm servers report the load of the crowd
        (action,) = script.ask(f"w{n}", hand_over=True, weight=charges.weight("crowd", "reads", script.now))
        if isinstance(action, api.HandOver):
            charges.record_answer("crowd", "reads", action.server, script.now)
            charges.record_report(action.server, 200.0, script.now)
        script.wait(100 * MS)
    assert charges.weight("crowd", "reads", script.now) > 100
    script.list([cache(11, reported_start=script.now)])
    to_cold = {"crowd": 0, "single": 0}
    for n in range(200):
        for resolver in to_cold:
            (action,) = script.ask(f"q{n}", hand_over=True, weight=charges.weight(resolver, "reads", script.now))
            to_cold[resolver] += isinstance(action, api.HandOver) and action.server == 11
        script.wait(20 * MS)
    assert to_cold["crowd"] == 0 and to_cold["single"] > 0


def test_load_of_other_proxies_is_not_charged_to_resolvers() -> None:
    """Other proxies send to the same server: its load before any answer named it is not attributed to a resolver."""
    charges, now = Charging(), 0
    for _ in range(50):
        now += 100 * MS
        charges.record_report(7, 40.0, now)
    for _ in range(40):
        now += 200 * MS
        charges.weight("r", "c", now)
        charges.record_answer("r", "c", 7, now)
        charges.record_report(7, 40.0 + 3 * charges.estimates["r", "c"].expected_load(7, now), now)
    assert 2 <= charges.weight("r", "c", now) <= 4.5
