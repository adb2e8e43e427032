"""When bytes came that are read now, after holds of the process: whose machine they lay with."""

from __future__ import annotations

import pytest

from driftstair.net.arrival import (
    BACKLOG_READ_BYTES_MIN,
    FULL_WINDOW_BYTES_MIN,
    MS,
    READ_DELAY_NS_MIN,
    READY_DATA_GAP_NS_MAX,
    SENDER_BUFFER_BYTES_MAX,
    ArrivalEstimator,
    ArrivalRange,
)

HELD_SINCE, RESUMED = 1000 * MS, 1600 * MS
FULL = 64 << 10  # bytes of a read that empties a full receive window


def held() -> ArrivalEstimator:
    """A connection that had been read until a hold, and whose full window is read after it."""
    dates = ArrivalEstimator(900 * MS)
    first = dates.on_read(RESUMED, FULL, age=500 * MS, earliest=HELD_SINCE, is_paused=False)
    assert first == ArrivalRange(HELD_SINCE, RESUMED - 500 * MS)  # of these the kernel knows
    return dates


def read(dates: ArrivalEstimator, now: int, size: int) -> ArrivalRange:
    """A read of bytes that have only just reached the kernel, by a process that runs."""
    return dates.on_read(now, size, age=0, earliest=now, is_paused=False)


def test_what_follows_a_full_window_without_a_gap_counts_from_the_hold() -> None:
    dates, now = held(), RESUMED
    for size in (FULL, BACKLOG_READ_BYTES_MIN, FULL, 700):  # the last one is what was left
        now += MS
        assert read(dates, now, size) == ArrivalRange(HELD_SINCE, HELD_SINCE)
    assert dates.date_peer_close(now + MS, age=MS) == HELD_SINCE  # it lay behind them


def test_a_slow_sender_is_dated_by_the_kernel_again() -> None:
    """Guards against a body of seconds that is dated by a hold at its beginning: it would be cut off."""
    dates, now = held(), RESUMED
    now += MS
    assert read(dates, now, 1300).newest == HELD_SINCE  # may have been ready
    for _ in range(100):
        now += MS
        assert read(dates, now, 1300).newest == now
    assert dates.date_peer_close(now + MS, age=MS) == now


def test_after_a_gap_bytes_are_new_unless_they_fill_the_window() -> None:
    dates = held()
    now = RESUMED + READY_DATA_GAP_NS_MAX + MS
    assert read(dates, now, FULL_WINDOW_BYTES_MIN - 1) == ArrivalRange(now, now)
    now += MS
    assert read(dates, now, FULL) == ArrivalRange(now, now)  # nor does a backlog that has ended come back


def test_a_loop_that_has_much_else_to_read_makes_nothing_younger() -> None:
    """The gap is that to the arrival, by the kernel; of a full window it only knows the newest byte."""
    dates, now = held(), RESUMED
    for size, age in ((FULL, 0), (FULL, 70 * MS), (BACKLOG_READ_BYTES_MIN, 75 * MS), (700, 79 * MS)):
        now += 80 * MS
        arrival = dates.on_read(now, size, age, earliest=now, is_paused=False)
        assert arrival == ArrivalRange(HELD_SINCE, HELD_SINCE)
    assert dates.date_peer_close(now + MS, age=80 * MS) == HELD_SINCE


def test_what_lay_with_the_kernel_at_the_acceptance_counts_from_when_its_connection_came_up() -> None:
    accepted = RESUMED + 200 * MS  # long after the hold: nothing else tells of it
    for has_unread, dated in ((True, HELD_SINCE), (False, accepted)):
        dates = ArrivalEstimator(accepted)
        dates.on_accept(HELD_SINCE, has_unread)
        assert read(dates, accepted, FULL + 1).newest == dated
        assert read(dates, accepted + MS, FULL).newest == dated
        dates.end_backlog()
        assert read(dates, accepted + 2 * MS, 700).newest == accepted + 2 * MS


def test_a_burst_that_takes_many_turns_of_a_slow_loop_counts_from_its_first_read() -> None:
    """No turn is long enough to count as a hold; all of it, and its end, may have been written at once."""
    dates, now = ArrivalEstimator(900 * MS), RESUMED
    for size, age in ((FULL + 3000, 0), (FULL + 3000, 0), (FULL, 0), (700, 40 * MS)):
        arrival = dates.on_read(now, size, age, earliest=now, is_paused=False)
        assert arrival.newest == RESUMED
        now += 40 * MS
    assert dates.date_peer_close(now, age=80 * MS) == RESUMED


def test_no_more_is_dated_back_than_the_other_machine_takes_in_ahead() -> None:
    dates, now = held(), RESUMED
    for _ in range(SENDER_BUFFER_BYTES_MAX // FULL - 1):
        now += MS
        assert read(dates, now, FULL).newest == HELD_SINCE
    now += MS
    assert read(dates, now, FULL).newest == now


@pytest.mark.parametrize(
    ("size", "age", "dated"),
    [(FULL + 1, 0, HELD_SINCE), (FULL + 1, 300 * MS, RESUMED - 300 * MS), (FULL, 0, RESUMED)],
)
def test_a_read_of_more_than_the_window_took_in_what_came_during_itself(
    size: int, age: int, dated: int
) -> None:
    dates = ArrivalEstimator(900 * MS)
    assert dates.on_read(RESUMED, size, age, HELD_SINCE, is_paused=False).newest == dated


def test_what_comes_after_a_whole_request_is_new() -> None:
    dates = held()
    assert read(dates, RESUMED + MS, FULL).newest == HELD_SINCE
    dates.end_backlog()
    assert read(dates, RESUMED + 2 * MS, FULL).newest == RESUMED + 2 * MS


@pytest.mark.parametrize(
    ("size", "hold"), [(FULL_WINDOW_BYTES_MIN - 1, 600 * MS), (FULL, READ_DELAY_NS_MIN - MS), (FULL, 0)],
)  # fmt: skip
def test_without_a_full_window_or_a_hold_the_kernel_knows_all(size: int, hold: int) -> None:
    dates = ArrivalEstimator(900 * MS)
    dates.on_read(RESUMED, size, age=0, earliest=RESUMED - hold, is_paused=False)
    assert read(dates, RESUMED + MS, FULL).newest == RESUMED + MS


def test_an_end_that_came_later_than_the_last_bytes_is_not_dated_with_them() -> None:
    dates = held()
    read(dates, RESUMED + MS, FULL)
    later = RESUMED + 800 * MS
    assert dates.date_peer_close(later, age=100 * MS) == later - 100 * MS


def test_what_was_left_with_the_kernel_counts_from_the_pause() -> None:
    dates = ArrivalEstimator(900 * MS)
    dates.pause(1000 * MS)
    now = 1300 * MS
    assert dates.on_read(now, 300, age=250 * MS, earliest=now, is_paused=False) == ArrivalRange(
        1000 * MS, 1050 * MS
    )
    assert read(dates, now + MS, 300) == ArrivalRange(now + MS, now + MS)
