"""Billing periods: calendar months of one zone, by the time at which a request arrived.

Times are whole milliseconds, Unix time: a leap second is a part of the one before, as POSIX has it, so it
belongs to the month that ends. The zone's rules come from the system's or the `tzdata` package's database,
by `zoneinfo`.
"""

from __future__ import annotations

import re
from bisect import bisect_right
from datetime import UTC, datetime
from typing import NamedTuple
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

WRITTEN = re.compile(r"(\d{4})-(0[1-9]|1[0-2])", re.ASCII)
KEPT = 64  # bounds of months that are remembered


class PeriodError(ValueError):
    """No period, or no zone; the text names it."""


class Period(NamedTuple):
    """A month; sorts by time. Written as 2026-02."""

    year: int
    month: int

    def __str__(self) -> str:
        return f"{self.year:04}-{self.month:02}"

    @classmethod
    def parse(cls, text: str) -> Period:
        found = WRITTEN.fullmatch(text)
        if found is None or not 1 <= int(found[1]) <= 9998:
            raise PeriodError(f"no period: {text[:40]!r}; one is written as 2026-02")
        return cls(int(found[1]), int(found[2]))

    def next(self) -> Period:
        return Period(self.year + self.month // 12, self.month % 12 + 1)


class Calendar:
    """Which period a time belongs to, in one zone."""

    def __init__(self, zone: str) -> None:
        try:
            self.zone = ZoneInfo(zone)
        except (ZoneInfoNotFoundError, ValueError, OSError):  # a folder of the database is an OSError
            raise PeriodError(f"no time zone: {zone[:60]!r}; one is named as Africa/Kigali or UTC") from None
        self._starts: list[int] = []  # of months in order, with their periods beside them
        self._periods: list[Period] = []

    def start(self, period: Period) -> int:
        """The first millisecond of a period. Where midnight does not exist, since clocks were set forward
        at it, the month begins with the first moment that does; where it comes twice, with the first."""
        local = datetime(period.year, period.month, 1, tzinfo=self.zone)
        return int(local.astimezone(UTC).timestamp() * 1000)

    def period(self, at: int) -> Period:
        """Of a time in ms. Raises PeriodError for one that no calendar holds."""
        place = bisect_right(self._starts, at) - 1
        if 0 <= place < len(self._starts) - 1 and self._periods[place + 1] == self._periods[place].next():
            return self._periods[place]
        try:
            local = datetime.fromtimestamp(at / 1000, self.zone)
        except (OverflowError, ValueError, OSError):
            raise PeriodError(f"no time of a calendar: {at} ms") from None
        found = Period(local.year, local.month)
        # Rounding to microseconds, and clocks set back over a boundary: the start decides.
        if at < self.start(found):
            found = self.period_before(found)
        elif at >= self.start(found.next()):
            found = found.next()
        self._remember(found)
        return found

    def period_before(self, period: Period) -> Period:
        return Period(period.year - (period.month == 1), (period.month - 2) % 12 + 1)

    def _remember(self, period: Period) -> None:
        if len(self._starts) > KEPT:  # times from all over: whoever sends them costs no memory
            self._starts, self._periods = [], []
        for one in (period, period.next()):
            at = self.start(one)
            place = bisect_right(self._starts, at)
            if place == 0 or self._starts[place - 1] != at:
                self._starts.insert(place, at)
                self._periods.insert(place, one)

    def is_near_bound(self, at: int, uncertainty: int) -> bool:
        """Whether a clock that may be off by so many ms could have put it into another period."""
        return self.period(at - uncertainty) != self.period(at + uncertainty)
