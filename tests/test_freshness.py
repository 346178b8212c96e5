"""Property tests of purges: an answer is rejected exactly if a plain list of all purges says so."""

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
class ReceivedPurge:
    """One purge: its key, the time since the previous one was received, its age then, and how long it waited unread."""

    key: str | int
    pause: int
    age: int
    queue_delay: int


purges = st.lists(
    st.builds(
        ReceivedPurge,
        st.sampled_from(KEYS),
        st.integers(1, 3 * SECOND),
        st.integers(0, 2 * SECOND),
        st.integers(0, SECOND),
    ),
    max_size=12,
)


@given(purges, st.integers(0, 20 * SECOND), st.integers(-20 * SECOND, 20 * SECOND))
def test_a_copy_is_rejected_by_the_purges_known_when_the_attempt_was_sent(
    received: list[ReceivedPurge], sent_after: int, created_after: int
) -> None:
    now, known = START, []
    fresh = Freshness(DROP_TIME)
    for purge in received:
        now += purge.pause
        record = PurgeRecord(now - purge.age, now - purge.queue_delay, now - purge.age)
        fresh.add_purge(purge.key, record)
        known.append((purge.key, record))
    sent_at, created_at = START + sent_after, START + created_after
    expected = any(
        key in ("a", 3, EVERYTHING) and record.known_at <= sent_at and created_at <= record.timestamp + TIMESTAMP_ERROR
        for key, record in known
    )
    assert fresh.is_purged("a", 3, sent_at, created_at, max(now, sent_at)) == expected


@given(purges)
def test_no_maximum_age_admits_a_copy_from_before_a_purge(received: list[ReceivedPurge]) -> None:
    now, known = START, []
    fresh = Freshness(DROP_TIME)
    for purge in received:
        now += purge.pause
        fresh.add_purge(purge.key, PurgeRecord(now - purge.age, now, now - purge.age))
        known += [now - purge.age] * (purge.key in ("a", 3, EVERYTHING))
        binding = [at for at in known if now - at <= DROP_TIME]
        oldest = fresh.max_copy_age("a", 3, now)
        assert oldest == (max(1, now - max(binding)) if binding else 0)


def test_possibly_missing_purges_limit_the_maximum_age() -> None:
    fresh = Freshness(DROP_TIME)
    fresh.missed_at = START
    assert fresh.max_copy_age("a", 3, START + SECOND) == SECOND
    fresh.missed_age = 500 * MS
    assert fresh.max_copy_age("a", 3, START + SECOND) == 500 * MS


def test_many_purges_of_one_key_are_all_applied() -> None:
    """Purges that are merged count as known earlier than they were."""
    fresh = Freshness(DROP_TIME)
    for n in range(200):
        fresh.add_purge("a", PurgeRecord(START + n * MS, START + n * MS, START + n * 10 * MS))
    assert len(fresh.records["a"].known) <= freshness.MAX_PURGES_PER_KEY
    for n in range(200):
        assert fresh.is_purged("a", 3, START + n * MS, START + n * 10 * MS, START + SECOND)


def test_beyond_the_limit_of_keys_everything_counts_as_purged() -> None:
    fresh = Freshness(DROP_TIME)
    for n in range(freshness.MAX_KEYS + 10):
        fresh.add_purge(f"o{n}", PurgeRecord(START, START, START))
    assert len(fresh.records) <= freshness.MAX_KEYS + 1
    assert all(fresh.max_copy_age(f"o{n}", None, START + SECOND) == SECOND for n in range(20))
    assert fresh.is_purged("o0", None, START + SECOND, START - SECOND, START + SECOND)
