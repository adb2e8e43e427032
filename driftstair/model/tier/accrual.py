"""The phi-accrual detector on heartbeats, for comparison (Hayashibara and others, "The phi accrual failure
detector", SRDS 2004). It rates how unlikely a silence is, given the earlier gaps between heartbeats."""

from __future__ import annotations

from collections import deque
from math import erfc, log10, sqrt
from statistics import fmean, pstdev

from driftstair.model.tier.heartbeats import Heartbeats
from driftstair.model.tier.world import Host

GAP_HISTORY_SIZE = 100  # gaps kept for each node
MIN_DEVIATION_FRACTION = 0.1  # lower bound of the gaps' standard deviation, as a fraction of the period
MIN_PROBABILITY = 1e-300  # the logarithm of 0 is undefined


class Accrual(Heartbeats):
    """Holds a node dead once phi exceeds `threshold`. At 8, one silence in 10^8 is wrongly judged, if the
    gaps are normally distributed and independent."""

    def __init__(self, host: Host, count: int, period: float = 1.0, threshold: float = 8.0) -> None:
        super().__init__(host, count, period)
        self._threshold = threshold
        self._gaps: dict[int, deque[int]] = {}

    def record_gap(self, number: int, gap_ns: int) -> None:
        self._gaps.setdefault(number, deque(maxlen=GAP_HISTORY_SIZE)).append(gap_ns)

    def is_overdue(self, number: int, silence_ns: int) -> bool:
        return self.phi(number, silence_ns) > self._threshold

    def phi(self, number: int, silence_ns: int) -> float:
        """Returns -log10 of the probability that a silence of this length ends by itself."""
        gaps = self._gaps.get(number)
        mean, deviation = (fmean(gaps), pstdev(gaps)) if gaps else (float(self._period_ns), 0.0)
        deviation = max(deviation, MIN_DEVIATION_FRACTION * self._period_ns)
        # The probability that a heartbeat still arrives after so long a silence.
        probability = 0.5 * erfc((silence_ns - mean) / (deviation * sqrt(2)))
        return -log10(max(probability, MIN_PROBABILITY))
