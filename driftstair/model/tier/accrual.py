"""The phi-accrual detector on heartbeats, for comparison (Hayashibara and others, "The phi accrual failure
detector", SRDS 2004): how unlikely a silence is, given how far apart words came before."""

from __future__ import annotations

from collections import deque
from math import erfc, log10, sqrt
from statistics import fmean, pstdev

from driftstair.model.tier.heartbeats import Heartbeats
from driftstair.model.tier.world import Host

REMEMBERED = 100  # gaps of each node
SPREAD_LEAST = 0.1  # of the period: standard deviation of gaps, at least
UNLIKELY = 1e-300  # smaller ones have no logarithm


class Accrual(Heartbeats):
    """Dead at `threshold` (the paper's phi): 8 is one silence in 10^8 that is wrongly judged, if gaps are
    normal and independent."""

    def __init__(self, host: Host, count: int, period: float = 1.0, threshold: float = 8.0) -> None:
        super().__init__(host, count, period)
        self._threshold = threshold
        self._gaps: dict[int, deque[int]] = {}

    def gap(self, number: int, ns: int) -> None:
        self._gaps.setdefault(number, deque(maxlen=REMEMBERED)).append(ns)

    def gone(self, number: int, silent: int) -> bool:
        return self.phi(number, silent) > self._threshold

    def phi(self, number: int, silent: int) -> float:
        gaps = self._gaps.get(number)
        mean, spread = (fmean(gaps), pstdev(gaps)) if gaps else (float(self._period), 0.0)
        spread = max(spread, SPREAD_LEAST * self._period)
        # The chance that a word still comes after so long a silence.
        chance = 0.5 * erfc((silent - mean) / (spread * sqrt(2)))
        return -log10(max(chance, UNLIKELY))
