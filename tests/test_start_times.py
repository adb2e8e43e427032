"""Start times of servers on a node whose wall clock is wrong, by an hour or by seconds, ahead or behind."""

from __future__ import annotations

import pytest

from driftstair.net.start_times import CLOCK_SKEW_MIN_NS, REPORT_DELAY_MAX_NS, StartTimes

MS = 1_000_000
SECOND = 1000 * MS
HOUR = 3600 * SECOND
WALL_AT_ZERO = 1_900_000_000_000 * MS  # wall time at monotonic 0
NOW = 500 * SECOND


def start_times(off: int) -> StartTimes:
    """Start times of a node whose wall clock was off by `off` when it started."""
    return StartTimes(-WALL_AT_ZERO - off)


def unix_ms(at: int) -> int:
    """The Unix time (ms) that discovery reports for a monotonic time (ns)."""
    return (WALL_AT_ZERO + at) // MS


@pytest.mark.parametrize("off", [0, HOUR, -HOUR, 5 * SECOND, -5 * SECOND])
def test_newly_reported_start_is_recent_whatever_the_wall_clock(off: int) -> None:
    times = start_times(off)
    assert times.translate(NOW, "warm", 0, 0) == 0
    at = times.translate(NOW, "fresh", unix_ms(NOW - 2 * SECOND), NOW - SECOND)
    assert NOW - 7 * SECOND <= at <= NOW
    # The same in each call.
    assert times.translate(NOW + HOUR, "fresh", unix_ms(NOW - 2 * SECOND), NOW + HOUR) == at
    later = times.translate(NOW + 9 * SECOND, "later", unix_ms(NOW + 8 * SECOND), NOW + 9 * SECOND)
    assert NOW + 2 * SECOND <= later <= NOW + 9 * SECOND


def test_fast_clock_is_detected_by_the_first_update_after_hours() -> None:
    times = start_times(HOUR)
    quiet = NOW + 5 * HOUR
    assert times.translate(quiet, "fresh", unix_ms(quiet - SECOND), quiet - 2 * SECOND) == quiet


def test_start_in_an_initial_list_keeps_its_time() -> None:
    times = start_times(0)
    assert times.translate(NOW, "old", unix_ms(NOW - 400 * SECOND), 0) == NOW - 400 * SECOND
    reported_late = NOW - REPORT_DELAY_MAX_NS + SECOND  # reported late, on a watch that received data
    assert times.translate(NOW, "late", unix_ms(reported_late), NOW) == reported_late


def test_small_clock_difference_is_not_corrected() -> None:
    times = start_times(-CLOCK_SKEW_MIN_NS // 2)
    assert times.translate(NOW, "fresh", unix_ms(NOW), NOW) == NOW
    assert times.to_monotonic == -WALL_AT_ZERO + CLOCK_SKEW_MIN_NS // 2


def test_unlisted_servers_are_dropped_and_restarts_get_new_times() -> None:
    times = start_times(0)
    first = times.translate(NOW, "s", unix_ms(NOW - 9 * SECOND), 0)
    assert times.translate(NOW, "s", unix_ms(NOW - SECOND), NOW) == NOW - SECOND != first
    times.retain({"other"})
    assert not times._starts
