"""Which purges may be missing, as judged from what the journal service has sent."""

from __future__ import annotations

from threadhill.net.journal_monitor import (
    DELIVERY_TIME,
    LINE_TIMEOUT,
    MAX_LINE_TIMEOUT,
    MAX_WAIT,
    REPLY_GRACE,
    REREQUEST_DELAY,
    SILENCE_TIMEOUT,
    JournalMonitor,
    MissingPurges,
)

NOW = 10_000_000
STEP = 1_000


def test_a_heartbeat_of_what_is_applied_shows_that_nothing_is_missing() -> None:
    monitor = JournalMonitor(NOW)
    assert monitor.missing(NOW + DELIVERY_TIME + STEP) == MissingPurges(age=DELIVERY_TIME)
    monitor.heartbeat(7, 7, NOW + DELIVERY_TIME)
    assert not monitor.missing(NOW + DELIVERY_TIME + STEP)
    monitor.heartbeat(6, 7, NOW + 2 * DELIVERY_TIME)  # a service that lags behind proves nothing
    assert monitor.missing(NOW + 2 * DELIVERY_TIME + STEP)


def test_an_announced_event_is_missing_until_it_is_applied() -> None:
    monitor = JournalMonitor(NOW)
    monitor.heartbeat(8, 7, NOW)
    assert not monitor.missing(NOW + REPLY_GRACE)
    monitor.heartbeat(9, 7, NOW + REPLY_GRACE)
    assert monitor.missing(NOW + REPLY_GRACE + STEP) == MissingPurges(
        before=NOW + REPLY_GRACE
    )  # the second one has been missing since then
    assert not monitor.should_rerequest(NOW + REREQUEST_DELAY) and monitor.should_rerequest(
        NOW + REREQUEST_DELAY + STEP
    )
    monitor.applied(8, NOW + REPLY_GRACE)
    assert monitor.missing(NOW + REPLY_GRACE + STEP)
    monitor.applied(9, NOW + REPLY_GRACE)
    assert not monitor.missing(NOW + REREQUEST_DELAY + STEP) and not monitor.should_rerequest(
        NOW + REREQUEST_DELAY + STEP
    )


def test_purges_may_be_missing_while_a_request_is_not_answered() -> None:
    monitor = JournalMonitor(NOW)
    monitor.events_requested(NOW)
    assert monitor.missing(NOW + REPLY_GRACE + STEP) == MissingPurges(before=NOW)
    monitor.line_received()
    assert not monitor.missing(NOW + REPLY_GRACE + STEP)


def test_events_are_requested_again_once_per_connection() -> None:
    monitor = JournalMonitor(NOW)
    monitor.heartbeat(8, 7, NOW)
    monitor.events_requested(NOW + REREQUEST_DELAY)
    assert not monitor.should_rerequest(NOW + 2 * REREQUEST_DELAY) and monitor.should_rerequest(
        NOW + 2 * REREQUEST_DELAY + STEP
    )


def test_a_number_that_no_service_announces_any_more_is_given_up() -> None:
    """Otherwise a proxy that switched to a service with fewer events would request the missing ones for ever."""
    monitor = JournalMonitor(NOW)
    monitor.heartbeat(50, 7, NOW)
    monitor.heartbeat(7, 7, NOW + DELIVERY_TIME)
    assert monitor.missing(NOW + DELIVERY_TIME + STEP)
    monitor.heartbeat(7, 7, NOW + DELIVERY_TIME + STEP)
    assert not monitor.missing(NOW + DELIVERY_TIME + 2 * STEP) and not monitor.should_rerequest(NOW + 2 * DELIVERY_TIME)


def test_each_event_that_arrives_begins_the_wait_for_the_rest_anew() -> None:
    """Guards against giving up a connection on which a slow service is telling its events."""
    monitor = JournalMonitor(NOW)
    monitor.heartbeat(50, 7, NOW)
    now = NOW
    for number in range(8, 20):
        now += REREQUEST_DELAY
        assert not monitor.should_rerequest(now)
        monitor.applied(number, now)
    monitor.applied(19, now + REREQUEST_DELAY)  # told again: this is no progress
    assert monitor.should_rerequest(now + REREQUEST_DELAY + STEP)
    assert not monitor.should_rerequest(now + REREQUEST_DELAY + STEP, now + STEP)  # a long line is arriving


def test_a_new_connection_has_the_whole_wait_also_after_its_first_line() -> None:
    monitor = JournalMonitor(NOW)
    monitor.heartbeat(8, 7, NOW)
    now = NOW + 10 * REREQUEST_DELAY
    monitor.events_requested(now)
    monitor.line_received()
    assert not monitor.should_rerequest(now + REREQUEST_DELAY) and monitor.should_rerequest(
        now + REREQUEST_DELAY + STEP
    )


def test_the_wait_doubles_with_each_request_until_the_announced_events_are_there() -> None:
    """Guards against asking a crowded service again and again in less time than it takes."""
    monitor = JournalMonitor(NOW)
    monitor.heartbeat(8, 7, NOW)
    now, waits = NOW, []
    for _ in range(7):
        wait = next(
            wait for wait in range(STEP, DELIVERY_TIME + 2 * STEP, STEP) if monitor.should_rerequest(now + wait)
        )
        waits.append(wait - STEP)
        now += wait
        monitor.connection_given_up()
        monitor.events_requested(now)
    assert waits == [min(MAX_WAIT, REREQUEST_DELAY * 2**n) for n in range(7)]
    monitor.applied(8, now)
    monitor.heartbeat(9, 8, now)
    assert monitor.should_rerequest(now + REREQUEST_DELAY + STEP)


def test_silence_and_long_lines_are_waited_for_longer_with_each_connection_given_up() -> None:
    monitor = JournalMonitor(NOW)
    for n in range(6):
        silence, line = min(MAX_WAIT, SILENCE_TIMEOUT * 2**n), min(MAX_LINE_TIMEOUT, LINE_TIMEOUT * 2**n)
        assert not monitor.is_silent(NOW + silence, NOW) and monitor.is_silent(NOW + silence + 1, NOW)
        assert not monitor.line_overdue(NOW + line, NOW) and monitor.line_overdue(NOW + line + 1, NOW)
        monitor.connection_given_up()
    assert not monitor.line_overdue(NOW + 2 * MAX_LINE_TIMEOUT, 0)
    monitor.heartbeat(7, 7, NOW)  # up to date
    assert monitor.is_silent(NOW + SILENCE_TIMEOUT + 1, NOW) and monitor.line_overdue(NOW + LINE_TIMEOUT + 1, NOW)


def test_a_service_that_lags_behind_does_not_shorten_the_wait_for_what_another_announced() -> None:
    """Guards against asking all services in turn every 0.4 s, as each of them seems to be up to date."""
    monitor = JournalMonitor(NOW)
    monitor.heartbeat(50, 7, NOW)
    monitor.connection_given_up()
    monitor.events_requested(NOW + STEP)
    monitor.heartbeat(7, 7, NOW + STEP)
    assert not monitor.should_rerequest(NOW + STEP + 2 * REREQUEST_DELAY)
    assert monitor.should_rerequest(NOW + STEP + 2 * REREQUEST_DELAY + 1)
