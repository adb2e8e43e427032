"""A straight line through measured points, with the interval of its slope."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf, sqrt
from typing import NamedTuple

STUDENT_95 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)
"""Two-sided 95% quantiles of Student's t distribution, for 1 to 10 degrees of freedom."""
NORMAL_95 = 1.96  # and for more of them, about


class Line(NamedTuple):
    """y = intercept + slope * x; `half_width`: of the slope's 95% interval."""

    intercept: float
    slope: float
    half_width: float

    def at(self, x: float) -> float:
        return self.intercept + self.slope * x


def fit(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Ordinary least squares. Raises ValueError for fewer than two different values of x."""
    count = len(xs)
    if count != len(ys) or len(set(xs)) < 2:
        raise ValueError("a line takes two points with different x at least")
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / spread
    intercept = mean_y - slope * mean_x
    free = count - 2
    if free < 1:
        return Line(intercept, slope, inf)
    residual = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    quantile = STUDENT_95[free - 1] if free <= len(STUDENT_95) else NORMAL_95
    return Line(intercept, slope, quantile * sqrt(residual / free / spread))
