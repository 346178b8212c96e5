"""Purges as a law: an answer is turned down if, and only if, a plain list of all purges says so."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from threadhill.decision import freshness
from threadhill.decision.freshness import EVERYTHING, TIMESTAMP_ERROR, Freshness, PurgeRecord

MS, SECOND = 1_000, 1_000_000
DROP_TIME = 6 * SECOND
START = 1_000 * SECOND
KEYS = ["a", "b", 3, EVERYTHING]


@dataclass(frozen=True)
class Told:
    """One purge: its key, how long after the one before it is told, how old it is then, how long it waited unread."""

    key: str | int
    pause: int
    age: int
    waited: int


purges = st.lists(
    st.builds(
        Told, st.sampled_from(KEYS), st.integers(1, 3 * SECOND), st.integers(0, 2 * SECOND), st.integers(0, SECOND)
    ),
    max_size=12,
)


@given(purges, st.integers(0, 20 * SECOND), st.integers(-20 * SECOND, 20 * SECOND))
def test_a_copy_is_turned_down_by_the_purges_that_were_known_when_it_was_asked_for(
    told: list[Told], sent_after: int, born_after: int
) -> None:
    now, known = START, []
    fresh = Freshness(DROP_TIME)
    for one in told:
        now += one.pause
        record = PurgeRecord(now - one.age, now - one.waited, now - one.age)
        fresh.add_purge(one.key, record)
        known.append((one.key, record))
    sent_at, born = START + sent_after, START + born_after
    expected = any(
        key in ("a", 3, EVERYTHING) and record.known_at <= sent_at and born <= record.timestamp + TIMESTAMP_ERROR
        for key, record in known
    )
    assert fresh.is_purged("a", 3, sent_at, born, max(now, sent_at)) == expected


@given(purges)
def test_no_age_that_is_named_admits_a_copy_from_before_a_purge(told: list[Told]) -> None:
    now, known = START, []
    fresh = Freshness(DROP_TIME)
    for one in told:
        now += one.pause
        fresh.add_purge(one.key, PurgeRecord(now - one.age, now, now - one.age))
        known += [now - one.age] * (one.key in ("a", 3, EVERYTHING))
        binding = [at for at in known if now - at <= DROP_TIME]
        oldest = fresh.max_copy_age("a", 3, now)
        assert oldest == (max(1, now - max(binding)) if binding else 0)


def test_purges_that_may_be_missing_bound_the_age_from_where_they_may_begin() -> None:
    fresh = Freshness(DROP_TIME)
    fresh.missed_at = START
    assert fresh.max_copy_age("a", 3, START + SECOND) == SECOND
    fresh.missed_age = 500 * MS
    assert fresh.max_copy_age("a", 3, START + SECOND) == 500 * MS


def test_a_flood_of_purges_of_one_key_forgets_none() -> None:
    """Those that can't be told apart any more count as known earlier than they were."""
    fresh = Freshness(DROP_TIME)
    for n in range(200):
        fresh.add_purge("a", PurgeRecord(START + n * MS, START + n * MS, START + n * 10 * MS))
    assert len(fresh.records["a"].known) <= freshness.MAX_PURGES_PER_KEY
    for n in range(200):
        assert fresh.is_purged("a", 3, START + n * MS, START + n * 10 * MS, START + SECOND)


def test_where_more_objects_are_purged_than_are_remembered_everything_counts_as_purged() -> None:
    fresh = Freshness(DROP_TIME)
    for n in range(freshness.MAX_KEYS + 10):
        fresh.add_purge(f"o{n}", PurgeRecord(START, START, START))
    assert len(fresh.records) <= freshness.MAX_KEYS + 1
    assert all(fresh.max_copy_age(f"o{n}", None, START + SECOND) == SECOND for n in range(20))
    assert fresh.is_purged("o0", None, START + SECOND, START - SECOND, START + SECOND)
