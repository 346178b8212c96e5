"""Properties of the ages computed from stamps: whatever the wall clock says, no age exceeds the true one."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from threadhill.core.timestamps import MAX_AHEAD, MAX_TIMESTAMP, MIN_TIMESTAMP, TimestampAges

TRUE_START = 1_764_576_000_000_000  # Unix microseconds at local time 0
HOUR = 3_600_000_000
SECOND = 1_000_000


class Clocks:
    """True time, local time, and a wall clock that is off by `off`."""

    def __init__(self) -> None:
        self.local = 0
        self.off = 0

    @property
    def true(self) -> int:
        return TRUE_START + self.local

    def ages(self) -> TimestampAges:
        return TimestampAges(lambda: self.local, lambda: self.true + self.off)


steps = st.integers(-HOUR, HOUR)
delays = st.integers(0, 8 * SECOND)  # from an event's stamp until it is received
waits = st.integers(0, 20 * SECOND)


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(waits, delays, steps), min_size=1, max_size=12), waits)
def test_no_age_exceeds_the_true_one_however_the_wall_clock_is_stepped(
    events: list[tuple[int, int, int]], later: int
) -> None:
    clocks = Clocks()
    ages = clocks.ages()
    for wait, delay, off in events:
        clocks.local += wait
        clocks.off = off
        stamp = clocks.true - delay
        ages.observe(stamp)
        assert 0 <= ages.age(stamp) <= delay
        clocks.local += later
        assert ages.age(stamp) <= delay + later
        clocks.local -= later


@settings(max_examples=200, deadline=None)
@given(st.lists(st.tuples(waits, delays), min_size=1, max_size=12))
def test_with_a_correct_wall_clock_an_age_is_too_low_by_the_shortest_delay_at_most(
    events: list[tuple[int, int]],
) -> None:
    """The cost of this choice: copies from that span are not used although they could be."""
    clocks = Clocks()
    ages = clocks.ages()
    least = min(delay for _, delay in events)
    for wait, delay in events:
        clocks.local += wait
        ages.observe(clocks.true - delay)
    assert ages.age(clocks.true - 10 * SECOND) >= 10 * SECOND - least


@given(st.integers().filter(lambda stamp: not MIN_TIMESTAMP <= stamp <= MAX_TIMESTAMP) | st.just(2**63 * 1_000))
def test_an_invalid_stamp_has_age_zero_and_does_not_affect_others(stamp: int) -> None:
    clocks = Clocks()
    ages = clocks.ages()
    ages.observe(clocks.true)
    ages.observe(stamp)
    clocks.local += SECOND
    assert ages.age(stamp) == 0 and ages.age(clocks.true - SECOND) == SECOND


def test_a_stamp_from_the_far_future_does_not_make_others_older() -> None:
    clocks = Clocks()
    ages = clocks.ages()
    ages.observe(clocks.true)
    ages.observe(clocks.true + MAX_AHEAD + SECOND)
    assert ages.age(clocks.true - SECOND) == SECOND
    ages.observe(clocks.true + MAX_AHEAD - SECOND)  # it might be valid: the wall clock is the limit
    assert ages.age(clocks.true - SECOND) == SECOND
