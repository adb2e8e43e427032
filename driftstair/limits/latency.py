"""Percentiles of recent latencies: a histogram with buckets that grow by 8 % (as HdrHistogram) and counts
that decay. Constant memory and O(1) insertion; reading a percentile is slower, and rare."""

from __future__ import annotations

from math import log

LOG_BUCKET_GROWTH = log(1.08)
FIRST_BUCKET_NS = 100_000  # upper bound of the first bucket
BUCKET_COUNT = 200  # covers latencies up to 8 minutes
HALVING_SAMPLES = 2048  # samples after which all counts are halved
MIN_SAMPLES = 50  # for a percentile


class LatencyHistogram:
    """A histogram of the recent latencies of one route."""

    __slots__ = ("_counts", "_total")

    def __init__(self) -> None:
        self._counts: list[float] = []  # allocated on the first sample: most routes never need it
        self._total = 0.0

    def add(self, ns: int) -> None:
        if not self._counts:
            self._counts = [0.0] * BUCKET_COUNT
        index = int(log(ns / FIRST_BUCKET_NS) / LOG_BUCKET_GROWTH) + 1 if ns > FIRST_BUCKET_NS else 0
        self._counts[min(index, BUCKET_COUNT - 1)] += 1.0
        self._total += 1.0
        if self._total >= HALVING_SAMPLES:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2

    def percentile(self, fraction: float) -> int:
        """In ns, at most 8 % too high; 0 while there are fewer than MIN_SAMPLES."""
        if self._total < MIN_SAMPLES:
            return 0
        remaining = fraction * self._total
        for index, count in enumerate(self._counts):
            remaining -= count
            if remaining <= 0:
                return int(FIRST_BUCKET_NS * 1.08**index)
        return int(FIRST_BUCKET_NS * 1.08**BUCKET_COUNT)
