"""Estimated arrival times of data that are read_now after a stall of the process."""

from __future__ import annotations

import pytest

from driftstair.net.arrival import (
    BACKLOG_READ_BYTES_MIN,
    FULL_WINDOW_BYTES_MIN,
    MS,
    QUIET_NS_MIN,
    READ_DELAY_NS_MIN,
    READY_DATA_GAP_NS_MAX,
    SENDER_BUFFER_BYTES_MAX,
    ArrivalEstimator,
    ArrivalRange,
)

STALLED_SINCE, RESUMED = 1000 * MS, 1600 * MS
WINDOW_BYTES = 64 << 10  # bytes in a full receive window


def stalled_connection() -> ArrivalEstimator:
    """A connection whose receive window filled up during a stall and has been read after it."""
    estimator = ArrivalEstimator(900 * MS)
    first = estimator.on_read(RESUMED, WINDOW_BYTES, age=500 * MS, earliest=STALLED_SINCE, is_paused=False)
    assert first == ArrivalRange(STALLED_SINCE, RESUMED - 500 * MS)  # dated by the kernel
    return estimator


def read_now(estimator: ArrivalEstimator, now: int, size: int) -> ArrivalRange:
    """A read, without a stall, of bytes that have just reached the kernel."""
    return estimator.on_read(now, size, age=0, earliest=now, is_paused=False)


def test_data_right_after_a_full_window_are_dated_to_the_stall() -> None:
    estimator, now = stalled_connection(), RESUMED
    for size in (WINDOW_BYTES, BACKLOG_READ_BYTES_MIN, WINDOW_BYTES, 700):  # the last one is the rest
        now += MS
        assert read_now(estimator, now, size) == ArrivalRange(STALLED_SINCE, STALLED_SINCE)
    assert estimator.date_peer_close(now + MS, age=MS) == STALLED_SINCE  # the FIN waited behind them


def test_a_slow_sender_is_dated_by_the_kernel_again() -> None:
    """A body that takes seconds would be cut off if all of it were dated by a stall at its beginning."""
    estimator, now = stalled_connection(), RESUMED
    now += MS
    assert read_now(estimator, now, 1300).newest == STALLED_SINCE  # may have been ready at the sender
    for _ in range(100):
        now += MS
        assert read_now(estimator, now, 1300).newest == now
    assert estimator.date_peer_close(now + MS, age=MS) == now


def test_data_after_a_gap_are_new_and_end_the_backlog() -> None:
    estimator = stalled_connection()
    now = RESUMED + READY_DATA_GAP_NS_MAX + MS
    assert read_now(estimator, now, FULL_WINDOW_BYTES_MIN - 1) == ArrivalRange(now, now)
    now += MS
    assert read_now(estimator, now, WINDOW_BYTES) == ArrivalRange(now, now)  # the backlog has ended


def test_a_slow_loop_does_not_make_data_look_newer() -> None:
    """The gap is measured to the kernel's arrival time, which covers only the newest byte of a window."""
    estimator, now = stalled_connection(), RESUMED
    for size, age in (
        (WINDOW_BYTES, 0),
        (WINDOW_BYTES, 70 * MS),
        (BACKLOG_READ_BYTES_MIN, 75 * MS),
        (700, 79 * MS),
    ):
        now += 80 * MS
        arrival = estimator.on_read(now, size, age, earliest=now, is_paused=False)
        assert arrival == ArrivalRange(STALLED_SINCE, STALLED_SINCE)
    assert estimator.date_peer_close(now + MS, age=80 * MS) == STALLED_SINCE


def test_data_unread_at_the_accept_are_dated_to_the_start_of_the_connection() -> None:
    accepted = RESUMED + 200 * MS  # long after the stall, so nothing else shows it
    for has_unread, expected in ((True, STALLED_SINCE), (False, accepted)):
        estimator = ArrivalEstimator(accepted)
        estimator.on_accept(STALLED_SINCE, has_unread)
        assert read_now(estimator, accepted, WINDOW_BYTES + 1).newest == expected
        assert read_now(estimator, accepted + MS, WINDOW_BYTES).newest == expected
        estimator.end_backlog()
        assert read_now(estimator, accepted + 2 * MS, 700).newest == accepted + 2 * MS


def test_a_burst_over_many_turns_of_a_slow_loop_is_dated_to_its_first_read() -> None:
    """No turn of the loop counts as a stall, but burst and FIN may have been written at once."""
    estimator, now = ArrivalEstimator(900 * MS), RESUMED
    for size, age in (
        (WINDOW_BYTES + 3000, 0),
        (WINDOW_BYTES + 3000, 0),
        (WINDOW_BYTES, 0),
        (700, 40 * MS),
    ):
        arrival = estimator.on_read(now, size, age, earliest=now, is_paused=False)
        assert arrival.newest == RESUMED
        now += 40 * MS
    assert estimator.date_peer_close(now, age=80 * MS) == RESUMED


def test_no_more_data_are_backdated_than_the_senders_buffer_holds() -> None:
    estimator, now = stalled_connection(), RESUMED
    for _ in range(SENDER_BUFFER_BYTES_MAX // WINDOW_BYTES - 1):
        now += MS
        assert read_now(estimator, now, WINDOW_BYTES).newest == STALLED_SINCE
    now += MS
    assert read_now(estimator, now, WINDOW_BYTES).newest == now


@pytest.mark.parametrize(
    ("size", "age", "expected"),
    [
        (WINDOW_BYTES + 1, 0, STALLED_SINCE),
        (WINDOW_BYTES + 1, 300 * MS, RESUMED - 300 * MS),
        (WINDOW_BYTES, 0, RESUMED),
    ],
)
def test_a_read_larger_than_the_window_includes_data_received_during_it(
    size: int, age: int, expected: int
) -> None:
    estimator = ArrivalEstimator(900 * MS)
    assert estimator.on_read(RESUMED, size, age, STALLED_SINCE, is_paused=False).newest == expected


def test_data_after_a_complete_request_are_new() -> None:
    estimator = stalled_connection()
    assert read_now(estimator, RESUMED + MS, WINDOW_BYTES).newest == STALLED_SINCE
    estimator.end_backlog()
    assert read_now(estimator, RESUMED + 2 * MS, WINDOW_BYTES).newest == RESUMED + 2 * MS


@pytest.mark.parametrize(
    ("size", "stall_ns"),
    [(FULL_WINDOW_BYTES_MIN - 1, 600 * MS), (WINDOW_BYTES, READ_DELAY_NS_MIN - MS), (WINDOW_BYTES, 0)],
)  # fmt: skip
def test_without_a_full_window_or_a_stall_the_kernel_dates_everything(size: int, stall_ns: int) -> None:
    estimator = ArrivalEstimator(900 * MS)
    estimator.on_read(RESUMED, size, age=0, earliest=RESUMED - stall_ns, is_paused=False)
    assert read_now(estimator, RESUMED + MS, WINDOW_BYTES).newest == RESUMED + MS


def test_a_close_after_the_last_bytes_is_not_dated_with_them() -> None:
    estimator = stalled_connection()
    read_now(estimator, RESUMED + MS, WINDOW_BYTES)
    later = RESUMED + 800 * MS
    assert estimator.date_peer_close(later, age=100 * MS) == later - 100 * MS


def test_a_full_window_after_a_quiet_time_is_new() -> None:
    """Guards against a client that sends much, waits, and sends more: all of it would be dated to the first
    part, and answered by that time."""
    estimator = stalled_connection()
    now = RESUMED + QUIET_NS_MIN - MS
    assert read_now(estimator, now, WINDOW_BYTES).newest == STALLED_SINCE  # may have been ready
    now += QUIET_NS_MIN
    assert read_now(estimator, now, WINDOW_BYTES) == ArrivalRange(now, now)
    now += MS
    assert read_now(estimator, now, WINDOW_BYTES) == ArrivalRange(now, now)


def test_a_quiet_time_counts_from_when_reading_was_resumed() -> None:
    estimator = stalled_connection()
    estimator.pause(RESUMED + MS)
    now = RESUMED + 10 * QUIET_NS_MIN
    assert not estimator.was_quiet(now)
    estimator.resume(now)
    assert not estimator.was_quiet(now + QUIET_NS_MIN - 1)
    assert estimator.was_quiet(now + QUIET_NS_MIN)
    assert read_now(estimator, now + QUIET_NS_MIN, WINDOW_BYTES).oldest == now + QUIET_NS_MIN
    # A stall tells nothing of the time that it lasted.
    assert not estimator.was_quiet(now + QUIET_NS_MIN)


def test_data_left_in_the_kernel_are_dated_to_the_pause() -> None:
    estimator = ArrivalEstimator(900 * MS)
    estimator.pause(1000 * MS)
    now = 1300 * MS
    assert estimator.on_read(now, 300, age=250 * MS, earliest=now, is_paused=False) == ArrivalRange(
        1000 * MS, 1050 * MS
    )
    assert read_now(estimator, now + MS, 300) == ArrivalRange(now + MS, now + MS)
