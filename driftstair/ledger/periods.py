"""Billing periods: calendar months of one time zone; a request belongs to the period in which it arrived.

Times are whole milliseconds of Unix time. As in POSIX, a leap second repeats the second before it, so it
belongs to the month that ends. The zone's rules come from the system's time zone database or from the
`tzdata` package, by `zoneinfo`.
"""

from __future__ import annotations

import re
from bisect import bisect_right
from datetime import UTC, datetime
from typing import NamedTuple
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

PERIOD_PATTERN = re.compile(r"(\d{4})-(0[1-9]|1[0-2])", re.ASCII)
MAX_CACHED_BOUNDARIES = 64  # month starts


class PeriodError(ValueError):
    """An invalid period, time zone or time; the text names it."""


class Period(NamedTuple):
    """A calendar month, ordered by time and written as 2026-02."""

    year: int
    month: int

    def __str__(self) -> str:
        return f"{self.year:04}-{self.month:02}"

    @classmethod
    def parse(cls, text: str) -> Period:
        """Raises PeriodError. Excludes year 9999, whose last month has no next one."""
        match = PERIOD_PATTERN.fullmatch(text)
        if match is None or not 1 <= int(match[1]) <= 9998:
            raise PeriodError(f"no period: {text[:40]!r}; one is written as 2026-02")
        return cls(int(match[1]), int(match[2]))

    def next(self) -> Period:
        """Returns the month after this one."""
        return Period(self.year + self.month // 12, self.month % 12 + 1)


class Calendar:
    """Maps times to billing periods in one time zone."""

    def __init__(self, zone: str) -> None:
        try:
            self.zone = ZoneInfo(zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):  # OSError: a folder of the database
            raise PeriodError(f"no time zone: {zone[:60]!r}; one is named as Africa/Kigali or UTC") from None
        self._starts: list[int] = []  # cached month starts in order; `_periods` holds their periods
        self._periods: list[Period] = []

    def start(self, period: Period) -> int:
        """Returns the first millisecond of a period. If clocks are set forward at midnight, so that it does
        not exist, the month begins with the first moment that does. If midnight occurs twice, the month
        begins with the first one."""
        local = datetime(period.year, period.month, 1, tzinfo=self.zone)
        return int(local.astimezone(UTC).timestamp() * 1000)

    def period(self, time_ms: int) -> Period:
        """Returns the period that contains a time. Raises PeriodError for a time that no calendar
        represents."""
        index = bisect_right(self._starts, time_ms) - 1
        if 0 <= index < len(self._starts) - 1 and self._periods[index + 1] == self._periods[index].next():
            return self._periods[index]
        try:
            local = datetime.fromtimestamp(time_ms / 1000, self.zone)
        except (OverflowError, ValueError, OSError):
            raise PeriodError(f"no time of a calendar: {time_ms} ms") from None
        period = Period(local.year, local.month)
        # Rounding to microseconds, or clocks set back over a month's boundary, can give a neighboring month.
        # The start of the period decides.
        if time_ms < self.start(period):
            period = self.period_before(period)
        elif time_ms >= self.start(period.next()):
            period = period.next()
        self._cache_boundaries(period)
        return period

    def period_before(self, period: Period) -> Period:
        """Returns the month before a period."""
        return Period(period.year - (period.month == 1), (period.month - 2) % 12 + 1)

    def _cache_boundaries(self, period: Period) -> None:
        """Caches the start of a period and of the next one."""
        if len(self._starts) > MAX_CACHED_BOUNDARIES:  # bounds the memory, whatever times clients send
            self._starts, self._periods = [], []
        for starting in (period, period.next()):
            start_ms = self.start(starting)
            index = bisect_right(self._starts, start_ms)
            if index == 0 or self._starts[index - 1] != start_ms:
                self._starts.insert(index, start_ms)
                self._periods.insert(index, starting)

    def is_near_boundary(self, time_ms: int, clock_error_ms: int) -> bool:
        """Whether a clock with an error of up to `clock_error_ms` could have put the time into another
        period."""
        return self.period(time_ms - clock_error_ms) != self.period(time_ms + clock_error_ms)
