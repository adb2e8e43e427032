"""Starts of servers on a node whose wall clock is off as it starts, by an hour or by seconds, either way."""

from __future__ import annotations

import pytest

from driftstair.net.start_times import CLOCK_SKEW_MIN_NS, REPORT_DELAY_MAX_NS, StartTimes

MS = 1_000_000
SECOND = 1000 * MS
HOUR = 3600 * SECOND
TRUE = 1_900_000_000_000 * MS  # wall time at monotonic 0
NOW = 500 * SECOND


def starts(off: int) -> StartTimes:
    """Of a node whose wall clock was off when it started."""
    return StartTimes(-TRUE - off)


def told(at: int) -> int:
    """Monotonic ns as discovery tells it."""
    return (TRUE + at) // MS


@pytest.mark.parametrize("off", [0, HOUR, -HOUR, 5 * SECOND, -5 * SECOND])
def test_a_start_that_is_news_is_recent_whatever_the_wall_clock_says(off: int) -> None:
    one = starts(off)
    assert one.translate(NOW, "warm", 0, 0) == 0
    at = one.translate(NOW, "fresh", told(NOW - 2 * SECOND), NOW - SECOND)
    assert NOW - 7 * SECOND <= at <= NOW
    assert one.translate(NOW + HOUR, "fresh", told(NOW - 2 * SECOND), NOW + HOUR) == at  # alike each time
    later = one.translate(NOW + 9 * SECOND, "later", told(NOW + 8 * SECOND), NOW + 9 * SECOND)
    assert NOW + 2 * SECOND <= later <= NOW + 9 * SECOND


def test_a_clock_that_is_ahead_is_found_by_the_first_news_after_hours_of_quiet() -> None:
    one = starts(HOUR)
    quiet = NOW + 5 * HOUR
    assert one.translate(quiet, "fresh", told(quiet - SECOND), quiet - 2 * SECOND) == quiet


def test_what_a_whole_list_holds_that_is_no_news_is_as_old_as_it_says() -> None:
    one = starts(0)
    assert one.translate(NOW, "old", told(NOW - 400 * SECOND), 0) == NOW - 400 * SECOND
    late = NOW - REPORT_DELAY_MAX_NS + SECOND  # told late, on a watch that was heard
    assert one.translate(NOW, "late", told(late), NOW) == late


def test_a_small_difference_between_machines_moves_nothing() -> None:
    one = starts(-CLOCK_SKEW_MIN_NS // 2)
    assert one.translate(NOW, "fresh", told(NOW), NOW) == NOW
    assert one.to_monotonic == -TRUE + CLOCK_SKEW_MIN_NS // 2


def test_what_is_not_listed_is_forgotten_and_a_new_start_is_dated_anew() -> None:
    one = starts(0)
    first = one.translate(NOW, "s", told(NOW - 9 * SECOND), 0)
    assert one.translate(NOW, "s", told(NOW - SECOND), NOW) == NOW - SECOND != first
    one.retain({"other"})
    assert not one._starts
