"""Which purges may be missing, as judged from what the journal service has sent."""

from __future__ import annotations

from threadhill.net.journal_monitor import DELIVERY_TIME, REPLY_GRACE, REREQUEST_DELAY, JournalMonitor, MissingPurges

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
    monitor.applied(8)
    assert monitor.missing(NOW + REPLY_GRACE + STEP)
    monitor.applied(9)
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
