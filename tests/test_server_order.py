"""Properties of an object's order of servers, and the work of computing it."""

from __future__ import annotations

import itertools
from collections import Counter

import pytest

from tests.script import CACHES, MS, SECOND, Script, cache, fleet
from threadhill.decision import interface as api
from threadhill.decision.order import CACHED_PLACES, MAX_SORTED, ServerOrder
from threadhill.decision.state import Server

LARGE = 3_200
OBJECTS = [f"{n:016x}" for n in range(400)]


def order_of(numbers: range | list[int]) -> ServerOrder:
    order = ServerOrder()
    for number in numbers:
        order.add(Server(cache(number), 24.0))
    return order


def first(order: ServerOrder, name: str, places: int = 8) -> list[int]:
    return [s.entry.server for s in itertools.islice(order.ordered_for(name), places)]


@pytest.mark.parametrize("count", [1, 7, MAX_SORTED, MAX_SORTED + 1, LARGE])
def test_an_order_has_every_server_once_and_is_the_same_whenever_and_however_it_was_made(count: int) -> None:
    order, other = order_of(range(count)), order_of(list(range(count))[::-1])
    for name in OBJECTS[:3]:
        whole = first(order, name, count + 1)
        assert sorted(whole) == list(range(count))
        assert first(order, name, 3) == whole[:3] == first(other, name, 3)


@pytest.mark.parametrize("count", [200, LARGE])
def test_a_leaver_drops_out_and_later_ones_move_up_and_one_that_joins_moves_no_other(count: int) -> None:
    order = order_of(range(count))
    before = {name: first(order, name) for name in OBJECTS}
    leaver = before[OBJECTS[0]][0]
    order.remove(leaver)
    for name, old in before.items():
        rest = [number for number in old if number != leaver]
        assert first(order, name)[: len(rest)] == rest
    order.add(Server(cache(leaver), 24.0))
    assert {name: first(order, name) for name in OBJECTS} == before


@pytest.mark.parametrize("count", [MAX_SORTED, 800, LARGE])
def test_first_places_are_spread_as_evenly_as_by_chance(count: int) -> None:
    order = order_of(range(count))
    per_server = 20
    seen = Counter(first(order, f"{n:016x}", 1)[0] for n in range(count * per_server))
    variance = sum((seen[number] - per_server) ** 2 for number in range(count)) / count
    assert 0.7 * per_server < variance < 1.4 * per_server  # that of a Poisson distribution is its mean
    assert len(seen) == count


@pytest.mark.parametrize("count", [MAX_SORTED + 1, 800, LARGE])
def test_the_work_for_an_order_does_not_grow_with_the_number_of_servers(count: int) -> None:
    order = order_of(range(count))
    work = []
    for name in OBJECTS:
        before = order.inspected
        first(order, name, 3)
        work.append(order.inspected - before)
    # At the fewest servers a place takes 128 draws in the mean, so three take 1,076 or fewer in 99 of 100 cases.
    assert sorted(work)[len(work) * 99 // 100] <= 1_280
    before = order.inspected
    for name in OBJECTS:
        first(order, name, 3)
    assert order.inspected == before  # kept


def test_what_is_kept_of_an_order_is_bounded() -> None:
    order = order_of(range(LARGE))
    first(order, OBJECTS[0], LARGE)
    assert len(order._cached[OBJECTS[0]]) == CACHED_PLACES


# --- the module with many servers: every hard case is answered, with bounded work


class CountingScript(Script):
    """A router with `count` caches that counts the servers inspected by each request."""

    def __init__(self, count: int, **changes: object) -> None:
        self.numbers = range(1_000, 1_000 + count)
        super().__init__(entries=fleet(self.numbers))
        if changes:
            self.list([cache(number, **changes) for number in self.numbers])
        self.inspected = 0
        original = self.router.has_cold_credit

        def counting(server: Server, work: float, weight: float = 1.0) -> bool:
            self.inspected += 1
            return original(server, work, weight)

        self.router.has_cold_credit = counting

    def ask_counting(self, name: str, **more: object) -> tuple[int, list[api.Action]]:
        before = self.inspected
        actions = self.ask(name, **more)
        return self.inspected - before, actions


@pytest.mark.parametrize("count", [200, LARGE])
def test_a_usual_request_inspects_few_servers(count: int) -> None:
    script = CountingScript(count)
    work = [script.ask_counting(name)[0] for name in OBJECTS]
    assert max(work) <= 8


@pytest.mark.parametrize("count", [200, LARGE])
@pytest.mark.parametrize("trouble", ["ejected", "full", "in slow start"])
def test_the_first_fifty_of_an_order_may_all_be_unusable(count: int, trouble: str) -> None:
    script = CountingScript(count)
    name = OBJECTS[0]
    script.serve(name)
    for server in itertools.islice(script.router.fleet.caches.ordered_for(name), 50):
        if trouble == "ejected":
            server.ejected_until = script.now + 60 * SECOND
        elif trouble == "full":
            server.inflight = server.inflight_limit + 1
        else:
            server.entry = cache(server.entry.server, reported_start=script.now - 1)
            server.credit, server.credit_updated_at = -1.0, script.now
    work, (action,) = script.ask_counting(name)
    assert isinstance(action, api.Fetch) and work <= 64


@pytest.mark.parametrize("count", [200, LARGE])
def test_nine_in_ten_servers_may_drain_at_once(count: int) -> None:
    script = CountingScript(count)
    left = set(script.numbers[::10])
    script.list([cache(n, state=api.State.DRAINING) for n in script.numbers if n not in left])
    for name in OBJECTS[:50]:
        work, (action,) = script.ask_counting(name)
        assert isinstance(action, api.Fetch) and action.server in left and work <= 8


@pytest.mark.parametrize("count", [200, LARGE])
def test_every_server_may_be_cold(count: int) -> None:
    script = CountingScript(count, reported_start=1000 * SECOND)
    for name in OBJECTS[:50]:
        work, actions = script.ask_counting(name)
        assert actions and work <= max(64, MAX_SORTED) + 4


@pytest.mark.parametrize("count", [200, LARGE])
def test_one_object_with_a_third_of_all_requests_is_spread_over_many_servers(count: int) -> None:
    script = CountingScript(count)
    seen: Counter[int] = Counter()
    for n in range(6_000):
        name = "hot" if n % 3 == 0 else OBJECTS[n % len(OBJECTS)]
        if n == 3_000:  # copies grow by one a second: as after some minutes
            script.router.rates["hot"].copies = 150
        before = script.inspected
        sent = script.serve(name)
        if n > 3_000 and name == "hot":
            seen[sent.server] += 1
            assert script.inspected - before <= 150 + 4
        script.wait(4 * MS)
    assert len(seen) > 100 and max(seen.values()) < sum(seen.values()) / 20


def test_a_list_change_costs_work_for_the_changed_server_only() -> None:
    """With 3,200 servers, changing one at a time recomputes neither the others nor the orders of objects."""
    script = CountingScript(LARGE)
    order = script.router.fleet.caches
    before = order.inspected
    for n in range(600):
        number = script.numbers[n]
        script.list([cache(number, state=api.State.DRAINING)])
        script.list([cache(number)])
    assert order.inspected == before and len(order) == LARGE


def test_after_the_list_shrinks_to_three_every_object_is_served_by_these() -> None:
    script = CountingScript(LARGE)
    script.serve("a")
    script.list(fleet(CACHES[:3]), api.ListKind.FULL)
    assert {script.serve(name).server for name in OBJECTS[:60]} == set(CACHES[:3])
    assert len(script.router.fleet.caches) == 3
