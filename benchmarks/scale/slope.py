"""Fits a straight line to measured points, with the confidence interval of its slope."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf, sqrt
from typing import NamedTuple

STUDENT_95 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228)
"""Two-sided 95% quantiles of Student's t distribution, for 1 to 10 degrees of freedom."""
NORMAL_95 = 1.96  # approximation for more than 10 degrees of freedom


class Line(NamedTuple):
    """The line y = intercept + slope * x. `half_width` is half the width of the 95% interval of the slope."""

    intercept: float
    slope: float
    half_width: float

    def value_at(self, x: float) -> float:
        """Returns y for a given x."""
        return self.intercept + self.slope * x


def fit_line(xs: Sequence[float], ys: Sequence[float]) -> Line:
    """Fits a line by ordinary least squares. Raises ValueError for fewer than two different values of x."""
    count = len(xs)
    if count != len(ys) or len(set(xs)) < 2:
        raise ValueError("a line takes two points with different x at least")
    mean_x, mean_y = sum(xs) / count, sum(ys) / count
    squares_x = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / squares_x
    intercept = mean_y - slope * mean_x
    degrees_of_freedom = count - 2
    if degrees_of_freedom < 1:
        return Line(intercept, slope, inf)
    residual_squares = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys, strict=True))
    quantile = STUDENT_95[degrees_of_freedom - 1] if degrees_of_freedom <= len(STUDENT_95) else NORMAL_95
    return Line(intercept, slope, quantile * sqrt(residual_squares / degrees_of_freedom / squares_x))
