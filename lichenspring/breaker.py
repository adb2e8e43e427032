"""The adaptive circuit breaker of one class, after Saleh Sedghpour et al.: at how many requests in flight at
this node the class meets its aim. Its events, actions and settings are in interface.py, beside this file.

A window of `PERIOD` gives a tail of response times (`estimate_tail`) and a mean of requests in flight; their
ratio, smoothed, is alpha, and the cap is the target over alpha. Three things keep a window's chance from
cutting it:

- a time-out is a sign of crowding only as far as the answers beside it explain it. Requests that a broken
  connection swallowed time out among answers that are fast as ever; counted as slow answers, a tenth of them
  moves the tail to the time-out, the cap falls, in flight falls with it, and the ratio rises by that alone;
- what was lately carried within the target may not be cut by more than a part (`PROVEN_LOAD_FRACTION`), and
  that proof fades, so where all servers turn slow the cap follows;
- a window within its target can't lower the cap: a quiet one would, and refuse the next burst.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import erfc, exp, log, sqrt

SECOND = 1_000_000_000  # ns

# The paper's controller, its period and smoothing shorter as overload fills servers in seconds.
PERIOD = SECOND // 2  # ns between two updates
RETAINED_WEIGHT = 0.5  # p: part of the old alpha that an update keeps
# The same where the new one is lower: the cap rises again fast after a false cut.
RETAINED_WEIGHT_FALLING = 0.25
PERCENTILE = 0.85  # of response times: the last few are long by their own work, not by load
POOLED_PERCENTILE = 0.95  # of those of all classes, where a class has few: the paper's own, and the safer one
TARGET = 0.7  # of a class's aim
HEADROOM = 1.5  # times the unloaded tail: no target is below that, as no cap could reach it
BASE_FALLS, BASE_RISES = 0.2, 0.01  # part of the way that the unloaded tail follows a window's
SPREADS = 2.0  # roots of the cap that chance may bunch above it
PROVEN_LOAD_FRACTION = 0.75  # of the most that was lately carried within the target: the cap stays above that
PROVEN_FADES, PROVEN_MISSED = 0.99, 0.97  # of it, each window within its target, or over it
PROVEN_VOID = 0.5  # of it, each window in which more time out than are answered: what held then is over
CENSORED = 2.0  # times what was waited: an attempt that timed out from crowding would have taken longer
ENOUGH = 8  # attempts of a class in a window that speak for themselves; fewer lean on those of all classes
ANSWERS_LEAST = 8  # in a window; fewer explain nothing, and every time-out counts
ANSWERS_TIMES = 2.0  # times the time-outs, likewise: where many time out, the answers are the lucky few
EXPLAINED_TIMES = 2.0  # times the time-outs that the answers explain count: their spread is a rough guess
DEVIATIONS = 1.036  # of the standard normal distribution from its median to PERCENTILE


@dataclass(slots=True)
class InFlight:
    """Requests in flight, now and in the mean of late."""

    count: int = 0
    mean: float = 0.0
    changed: int = 0

    def add(self, now: int, change: int) -> None:
        keep = exp((self.changed - now) / PERIOD)
        self.mean = keep * self.mean + (1.0 - keep) * self.count
        self.count += change
        self.changed = now

    def is_below(self, now: int, cap: float) -> bool:
        """At a small share of the traffic a cap is near one or less: chance bunches a few requests where
        the mean is far from it, and one at a time would be too much where it is less than one. So up to a
        few spreads above the cap are let in while the mean is below it."""
        self.add(now, 0)
        return self.count + 1 <= cap or (self.mean < cap and self.count < cap + SPREADS * sqrt(cap))


@dataclass(slots=True)
class Window:
    """What one class's attempts took, in ns, since the last update."""

    answered: list[float] = field(default_factory=list)  # full answers too, as their price
    timed_out: list[float] = field(default_factory=list)  # what was waited: censored, so a lower bound

    def clear(self) -> None:
        self.answered.clear()
        self.timed_out.clear()


def percentile(values: list[float], part: float) -> float:
    """Of sorted values."""
    return values[int(part * (len(values) - 1))]


def count_explained_timeouts(answered: list[float], timed_out: list[float]) -> int:
    """How many of the time-outs the answers' own distribution explains, taken for lognormal by its median and
    tail: under crowding the answers come close to the limit and the time-outs are their continuation. Both
    lists are sorted."""
    if len(answered) < ANSWERS_LEAST or len(answered) < ANSWERS_TIMES * len(timed_out):
        return len(timed_out)
    median, tail = percentile(answered, 0.5), percentile(answered, PERCENTILE)
    spread = max(0.1, log(max(1.0, tail) / max(1.0, median)) / DEVIATIONS)
    limit = percentile(timed_out, 0.5)
    beyond = 0.5 * erfc(log(max(1.0, limit) / max(1.0, median)) / spread / sqrt(2.0))
    expected = beyond / max(0.01, 1.0 - beyond) * len(answered)
    return min(len(timed_out), round(EXPLAINED_TIMES * expected))


def estimate_tail(window: Window, part: float = PERCENTILE) -> tuple[float, float]:
    """A window's median and tail in ns, from time-outs as far as they are explained. Sorts its lists."""
    window.answered.sort()
    window.timed_out.sort()
    counted = count_explained_timeouts(window.answered, window.timed_out) if window.timed_out else 0
    samples = sorted(window.answered + [CENSORED * waited for waited in window.timed_out[:counted]])
    if not samples:
        return 0.0, 0.0
    # An answer within the same tick took no time: a zero would divide.
    return samples[len(samples) // 2], max(1.0, percentile(samples, part))


def pooled_tail(breakers: list[Breaker]) -> float:
    """What the windows of all classes tell together: a tail in parts of each class's typical response time.
    Queues are shared, so their tails rise together. Where a node sees few requests, the tail of a class's own
    three is their median, whatever the servers are like."""
    together = Window()
    for breaker in breakers:
        scale = SECOND / max(1.0, breaker.typical)
        together.answered += [scale * one for one in breaker.window.answered]
        together.timed_out += [scale * one for one in breaker.window.timed_out]
    return estimate_tail(together, POOLED_PERCENTILE)[1] / SECOND


Estimator = Callable[[Window], tuple[float, float]]
"""A window's median and tail, both 0 where it tells nothing. Other estimators are weighed in
benchmarks/breaker.py, off line."""


@dataclass(slots=True)
class Breaker:
    """The paper's controller for one class. `aim` and all times in ns."""

    aim: int
    estimate: Estimator = estimate_tail
    target: float = 0.0
    base: float = 0.0  # the tail where little waits: followed down fast and up slowly
    alpha: float = 0.0  # response time for each request in flight; 0 until a window has told
    proven: float = 0.0  # requests in flight, all classes
    typical: float = 0.0  # response time: a measure of the class's work
    seen: int = 0  # attempts that `typical` rests on, as far as they count
    in_flight: InFlight = field(default_factory=InFlight)  # of this class
    window: Window = field(default_factory=Window)

    def __post_init__(self) -> None:
        self.target, self.typical = TARGET * self.aim, float(self.aim)

    def threshold(self, start: float) -> float:
        return max(self.target / self.alpha, PROVEN_LOAD_FRACTION * self.proven) if self.alpha else start

    def update(self, in_flight: float, start: float, idle: bool, pooled: float = 0.0) -> None:
        """At the end of a window, with the mean of the requests in flight in it, and the tail that the
        windows of all classes tell together (0: nothing)."""
        count = len(self.window.answered) + len(self.window.timed_out)
        median, tail = self.estimate(self.window)
        if len(self.window.timed_out) > len(self.window.answered):
            self.proven *= PROVEN_VOID
        if tail and in_flight:
            own = min(1.0, count / ENOUGH)
            if pooled:
                # In proportion to how much of a sample its own is: shrinkage, as in Efron and Morris (1975).
                tail += (1.0 - own) * (self.typical * pooled - tail)
            self.seen = max(count, min(ENOUGH, self.seen + count))
            self.typical += (1 - RETAINED_WEIGHT) * count / self.seen * (median - self.typical)
            follow = BASE_FALLS if tail < self.base else BASE_RISES
            self.base = self.base + follow * (tail - self.base) if self.base else tail
            self.target = min(self.aim, max((1.0 if idle else TARGET) * self.aim, HEADROOM * self.base))
            # Where all servers turn slow, no cap can meet the target and the plain rule falls without end.
            if tail <= self.target:
                self.proven = max(PROVEN_FADES * self.proven, in_flight)
            else:
                self.proven *= PROVEN_MISSED
            alpha = tail / in_flight
            # A window within its target can't lower the cap: a quiet one would, and refuse the next burst.
            if tail > self.target or self.target / alpha > self.threshold(start):
                old = self.alpha or self.target / max(1.0, start)
                keep = RETAINED_WEIGHT if alpha > old else RETAINED_WEIGHT_FALLING
                self.alpha = keep * old + (1 - keep) * alpha
        self.window.clear()
