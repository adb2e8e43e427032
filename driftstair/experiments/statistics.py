"""Differences between runs that share a scenario and a seed, with intervals, and what they allow to say.

Intervals are bootstrapped (BCa, Efron 1987; percentile where its acceleration is not defined), tests are by
permuting signs, and the p-values of one report are corrected for their number by Holm's way (1979). Both are
scipy's; weighed against statsmodels, which brings a table library with it. "no difference seen" is an answer:
it says that the interval of this many pairs holds 0, and how wide it is.
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
PAIRS_LEAST = 6  # with fewer no p is under 0.05


@dataclass(frozen=True, slots=True)
class Difference:
    """Of `value` from `base` by one measure: the mean of the pairs' differences, its interval, and p by
    permutation, before and after correction for all that the report compares."""

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
    comparisons: int = 1  # that it was corrected for

    def verdict(self, level: float) -> str:
        # The least p that so many pairs can have is 2 / 2^pairs, and that is corrected as well.
        least = max(PAIRS_LEAST, ceil(log2(2 * self.comparisons / (1.0 - level))))
        if self.pairs < least:
            return f"too few pairs ({self.pairs} of {least} at least)"
        if self.corrected > 1.0 - level:
            return "no difference seen"
        return "more" if self.mean > 0 else "less"


def difference(
    scenario: str, measure: str, base: str, value: str, pairs: Sequence[tuple[float, float]], level: float,
    seed: int = 1,
) -> Difference:  # fmt: skip
    """`pairs`: what the base gave, and what the value gave, by one seed each."""
    apart = np.array([after - before for before, after in pairs], dtype=float)
    before, after = mean(one for one, _ in pairs), mean(one for _, one in pairs)
    found = float(apart.mean())
    if len(pairs) < PAIRS_LEAST or not apart.any():
        p = 1.0
        low = high = found
    elif (apart == apart[0]).all():
        low = high = found
        p = 2.0 / 2 ** len(pairs)
    else:
        low, high = _interval(apart, level, seed)
        p = _p(apart, seed)
    return Difference(scenario, measure, base, value, len(pairs), before, after, found, low, high, p, p)


def _interval(apart: NDArray[np.float64], level: float, seed: int) -> tuple[float, float]:
    for method in ("BCa", "percentile"):
        with np.errstate(all="ignore"):
            found = stats.bootstrap(
                (apart,), np.mean, confidence_level=level, n_resamples=RESAMPLES, method=method,
                rng=np.random.default_rng(seed),
            ).confidence_interval  # fmt: skip
        if np.isfinite(found.low) and np.isfinite(found.high):
            break
    return float(found.low), float(found.high)


def _p(apart: NDArray[np.float64], seed: int) -> float:
    """All changes of sign where they are few, else so many drawn ones."""
    return float(
        stats.permutation_test(
            (apart,),
            np.mean,
            permutation_type="samples",
            n_resamples=RESAMPLES,
            rng=np.random.default_rng(seed),
        ).pvalue  # fmt: skip
    )


def corrected(found: list[Difference]) -> list[Difference]:
    """The same with p-values for all of them together."""
    order = sorted(range(len(found)), key=lambda index: found[index].p)
    out, least = list(found), 0.0
    for rank, index in enumerate(order):
        least = max(least, min(1.0, found[index].p * (len(found) - rank)))
        one = found[index]
        out[index] = Difference(
            one.scenario, one.measure, one.base, one.value, one.pairs, one.before, one.after, one.mean,
            one.low, one.high, one.p, least, len(found),
        )  # fmt: skip
    return out
