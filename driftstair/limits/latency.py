"""A percentile of late: counts in buckets that grow by a twelfth, older ones fading (as HdrHistogram, with
forgetting). Constant memory, O(1) to add; asked for rarely."""

from __future__ import annotations

from math import log

GROWTH = log(1.08)
LEAST = 100_000  # ns: the first bucket ends here
BUCKETS = 200  # up to 8 minutes
FADE_AT = 2048  # samples: then all counts are halved
SURE = 50  # samples, fewer tell no percentile


class Latencies:
    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts: list[float] = []  # made with the first: most routes of many never ask for them
        self._total = 0.0

    def add(self, ns: int) -> None:
        if not self._counts:
            self._counts = [0.0] * BUCKETS
        index = int(log(ns / LEAST) / GROWTH) + 1 if ns > LEAST else 0
        self._counts[min(index, BUCKETS - 1)] += 1.0
        self._total += 1.0
        if self._total >= FADE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def percentile(self, part: float) -> int:
        """In ns, at most a twelfth too long; 0 while too few are known."""
        if self._total < SURE:
            return 0
        below = part * self._total
        for index, count in enumerate(self._counts):
            below -= count
            if below <= 0:
                return int(LEAST * 1.08**index)
        return int(LEAST * 1.08**BUCKETS)
