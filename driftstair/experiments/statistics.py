"""Compares runs that share a scenario and a seed: mean differences with intervals, and which conclusions they
allow.

Intervals are bootstrapped (BCa, Efron 1987; percentile if its acceleration is undefined). Tests permute
signs, and the p-values of a report are corrected for the number of comparisons by Holm's method (1979). scipy
computes intervals and tests; statsmodels was not chosen because it depends on a library for tables. "no
difference seen" is a result: the interval for this number of pairs contains 0, and its width is reported.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil, log2
from statistics import mean

import numpy as np
from numpy.typing import NDArray
from scipy import stats

RESAMPLES = 9999
MIN_PAIRS = 6  # fewer pairs can't give a p-value below 0.05


@dataclass(frozen=True, slots=True)
class Difference:
    """The difference of `value` from `base` in one measure: the mean of the pairs' differences, its
    interval, and the p-value of a permutation test before and after the correction for all comparisons of
    the report."""

    scenario: str
    measure: str
    base: str
    value: str
    pairs: int
    before: float
    after: float
    mean: float
    low: float
    high: float
    p: float
    corrected: float
    comparisons: int = 1  # number of comparisons that p was corrected for

    def verdict(self, level: float) -> str:
        """Returns the conclusion at a confidence level."""
        # The least p-value of n pairs is 2 / 2^n, and it is corrected for the number of comparisons as well.
        min_pairs = max(MIN_PAIRS, ceil(log2(2 * self.comparisons / (1.0 - level))))
        if self.pairs < min_pairs:
            return f"too few pairs ({self.pairs} of {min_pairs} at least)"
        if self.corrected > 1.0 - level:
            return "no difference seen"
        return "more" if self.mean > 0 else "less"


def compare_pairs(
    scenario: str, measure: str, base: str, value: str, pairs: Sequence[tuple[float, float]], level: float,
    seed: int = 1,
) -> Difference:  # fmt: skip
    """Compares pairs of the base's and the value's result for the same seed."""
    differences = np.array([after - before for before, after in pairs], dtype=float)
    before, after = mean(first for first, _ in pairs), mean(second for _, second in pairs)
    mean_difference = float(differences.mean())
    if len(pairs) < MIN_PAIRS or not differences.any():
        p = 1.0
        low = high = mean_difference
    elif (differences == differences[0]).all():
        low = high = mean_difference
        p = 2.0 / 2 ** len(pairs)
    else:
        low, high = _interval(differences, level, seed)
        p = _p_value(differences, seed)
    return Difference(
        scenario, measure, base, value, len(pairs), before, after, mean_difference, low, high, p, p
    )


def _interval(differences: NDArray[np.float64], level: float, seed: int) -> tuple[float, float]:
    """Returns the confidence interval of the mean difference."""
    for method in ("BCa", "percentile"):
        with np.errstate(all="ignore"):
            interval = stats.bootstrap(
                (differences,), np.mean, confidence_level=level, n_resamples=RESAMPLES, method=method,
                rng=np.random.default_rng(seed),
            ).confidence_interval  # fmt: skip
        if np.isfinite(interval.low) and np.isfinite(interval.high):
            break
    return float(interval.low), float(interval.high)


def _p_value(differences: NDArray[np.float64], seed: int) -> float:
    """Returns the p-value of a sign permutation test. All permutations are used if there are few, else a
    random sample."""
    return float(
        stats.permutation_test(
            (differences,),
            np.mean,
            permutation_type="samples",
            n_resamples=RESAMPLES,
            rng=np.random.default_rng(seed),
        ).pvalue  # fmt: skip
    )


def correct_p_values(compared: list[Difference]) -> list[Difference]:
    """Returns the differences with p-values that are corrected for all of them."""
    order = sorted(range(len(compared)), key=lambda index: compared[index].p)
    result, largest_p = list(compared), 0.0
    for rank, index in enumerate(order):
        largest_p = max(largest_p, min(1.0, compared[index].p * (len(compared) - rank)))
        raw = compared[index]
        result[index] = Difference(
            raw.scenario, raw.measure, raw.base, raw.value, raw.pairs, raw.before, raw.after, raw.mean,
            raw.low, raw.high, raw.p, largest_p, len(compared),
        )  # fmt: skip
    return result
