"""What may be missing of discovery's news, by what was heard of it."""

from __future__ import annotations

from threadhill.net.news_monitor import ASK_AGAIN, PATIENCE, TOLD_BY, Missing, NewsMonitor

NOW = 10_000_000
STEP = 1_000


def test_a_heartbeat_of_what_is_applied_shows_that_nothing_is_missing() -> None:
    news = NewsMonitor(NOW)
    assert news.missing(NOW + TOLD_BY + STEP) == Missing(age=TOLD_BY)
    news.heartbeat(7, 7, NOW + TOLD_BY)
    assert not news.missing(NOW + TOLD_BY + STEP)
    news.heartbeat(6, 7, NOW + 2 * TOLD_BY)  # a service that is behind proves nothing
    assert news.missing(NOW + 2 * TOLD_BY + STEP)


def test_what_is_announced_is_missing_until_it_is_applied() -> None:
    news = NewsMonitor(NOW)
    news.heartbeat(8, 7, NOW)
    assert not news.missing(NOW + PATIENCE)
    news.heartbeat(9, 7, NOW + PATIENCE)
    assert news.missing(NOW + PATIENCE + STEP) == Missing(before=NOW + PATIENCE)  # the second is missing since then
    assert not news.asks_again(NOW + ASK_AGAIN) and news.asks_again(NOW + ASK_AGAIN + STEP)
    news.applied(8)
    assert news.missing(NOW + PATIENCE + STEP)
    news.applied(9)
    assert not news.missing(NOW + ASK_AGAIN + STEP) and not news.asks_again(NOW + ASK_AGAIN + STEP)


def test_who_was_asked_and_says_nothing_may_hold_something_back() -> None:
    news = NewsMonitor(NOW)
    news.asked(NOW)
    assert news.missing(NOW + PATIENCE + STEP) == Missing(before=NOW)
    news.heard()
    assert not news.missing(NOW + PATIENCE + STEP)


def test_events_are_asked_for_again_once_a_connection() -> None:
    news = NewsMonitor(NOW)
    news.heartbeat(8, 7, NOW)
    news.asked(NOW + ASK_AGAIN)
    assert not news.asks_again(NOW + 2 * ASK_AGAIN) and news.asks_again(NOW + 2 * ASK_AGAIN + STEP)


def test_a_number_that_no_service_knows_any_more_is_given_up() -> None:
    """Else a proxy whose discovery moved to one with fewer events would ask again for ever."""
    news = NewsMonitor(NOW)
    news.heartbeat(50, 7, NOW)
    news.heartbeat(7, 7, NOW + TOLD_BY)
    assert news.missing(NOW + TOLD_BY + STEP)
    news.heartbeat(7, 7, NOW + TOLD_BY + STEP)
    assert not news.missing(NOW + TOLD_BY + 2 * STEP) and not news.asks_again(NOW + 2 * TOLD_BY)
