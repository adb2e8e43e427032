"""The adaptive circuit breaker of one class, after Saleh Sedghpour et al.: the number of requests in flight
at this node up to which the class meets its aim. Its events, actions and settings are in interface.py.

A window of `UPDATE_PERIOD_NS` gives a tail of response times (`estimate_tail`) and a mean of requests in
flight; their smoothed ratio is alpha, and the cap is the target over alpha. Three rules keep the random
variation of a window from lowering the cap:

- Time-outs count as overload only as far as the answers of the window explain them. Requests lost on a broken
  connection time out among answers that are as fast as ever; counted as slow answers, a tenth of them moves
  the tail to the time-out, the cap falls, requests in flight fall with it, and the ratio rises by that alone.
- The cap stays above a fraction (`PROVEN_LOAD_FRACTION`) of the load lately carried within the target. That
  load decays, so the cap still falls if all servers become slow.
- A window within its target can't lower the cap: one with little load would, and the next burst would be
  refused.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import erfc, exp, log, sqrt

SECOND = 1_000_000_000  # in ns

# The paper's controller, with a shorter period and less smoothing, as overload fills servers within seconds.
UPDATE_PERIOD_NS = SECOND // 2
RETAINED_WEIGHT = 0.5  # p: of the old alpha in an update
# The same if the new alpha is lower: the cap recovers fast after a false cut.
RETAINED_WEIGHT_FALLING = 0.25
TAIL_PERCENTILE = 0.85  # of response times: the last few are long by their own work, not by load
POOLED_PERCENTILE = 0.95  # of all classes, if a class has few samples: the paper's value, and the safer one
TARGET_FRACTION = 0.7  # of a class's aim
MIN_TAIL_RATIO = 1.5  # to the unloaded tail: no cap could reach a lower target
BASE_DECREASE_WEIGHT, BASE_INCREASE_WEIGHT = 0.2, 0.01  # of a window in the unloaded tail
BURST_DEVIATIONS = 2.0  # standard deviations above the cap, each its square root
PROVEN_LOAD_FRACTION = 0.75  # of the largest load lately carried within the target; the cap stays above
PROVEN_DECAY, PROVEN_MISSED_DECAY = 0.99, 0.97  # of the proven load, per window within its target, or over it
PROVEN_TIMEOUTS_DECAY = 0.5  # per window with more time-outs than answers: the proven load no longer holds
CENSORED_FACTOR = 2.0  # an attempt that timed out from overload would have taken longer than its wait
SUFFICIENT_SAMPLES = 8  # of a class in a window; with fewer, the tail of all classes is blended in
MIN_ANSWERS = 8  # in a window; fewer explain nothing, and every time-out counts
MIN_ANSWERS_PER_TIMEOUT = 2.0  # likewise: if many time out, the answers are a biased sample
EXPLAINED_TIMEOUTS_FACTOR = 2.0  # margin, as the spread of the answers is a rough estimate
TAIL_Z_SCORE = 1.036  # of the standard normal distribution at TAIL_PERCENTILE


@dataclass(slots=True)
class InFlight:
    """Requests in flight: their number and its recent mean."""

    count: int = 0
    mean: float = 0.0
    changed_at: int = 0

    def add(self, now: int, change: int) -> None:
        """Changes the count and updates its moving average."""
        retained_weight = exp((self.changed_at - now) / UPDATE_PERIOD_NS)
        self.mean = retained_weight * self.mean + (1.0 - retained_weight) * self.count
        self.count += change
        self.changed_at = now

    def is_below(self, now: int, cap: float) -> bool:
        """Whether another request fits under the cap. At a small share of the traffic a cap is about one or
        less: requests bunch by chance although the mean is far below the cap, and if it is less than one,
        even a single request at all times is too much. So a few standard deviations above the cap are
        admitted while the mean is below it."""
        self.add(now, 0)
        return self.count + 1 <= cap or (self.mean < cap and self.count < cap + BURST_DEVIATIONS * sqrt(cap))


@dataclass(slots=True)
class Window:
    """Durations in ns of one class's attempts since the last update."""

    answered: list[float] = field(default_factory=list)  # includes a penalty for full answers
    timed_out: list[float] = field(default_factory=list)  # censored: a lower bound

    def clear(self) -> None:
        """Discards the window's response times and time-outs."""
        self.answered.clear()
        self.timed_out.clear()


def percentile(values: list[float], fraction: float) -> float:
    """The value at `fraction` of a sorted list."""
    return values[int(fraction * (len(values) - 1))]


def count_explained_timeouts(answered: list[float], timed_out: list[float]) -> int:
    """How many of the time-outs the distribution of the answers explains, a lognormal one given by their
    median and tail: under overload the answers come close to the limit and the time-outs continue their
    distribution. Both lists are sorted."""
    if len(answered) < MIN_ANSWERS or len(answered) < MIN_ANSWERS_PER_TIMEOUT * len(timed_out):
        return len(timed_out)
    median, tail = percentile(answered, 0.5), percentile(answered, TAIL_PERCENTILE)
    spread = max(0.1, log(max(1.0, tail) / max(1.0, median)) / TAIL_Z_SCORE)
    limit = percentile(timed_out, 0.5)
    beyond = 0.5 * erfc(log(max(1.0, limit) / max(1.0, median)) / spread / sqrt(2.0))
    expected = beyond / max(0.01, 1.0 - beyond) * len(answered)
    return min(len(timed_out), round(EXPLAINED_TIMEOUTS_FACTOR * expected))


def estimate_tail(window: Window, fraction: float = TAIL_PERCENTILE) -> tuple[float, float]:
    """A window's median and tail in ns, with the time-outs that are explained. Sorts the window's lists."""
    window.answered.sort()
    window.timed_out.sort()
    counted = count_explained_timeouts(window.answered, window.timed_out) if window.timed_out else 0
    samples = sorted(window.answered + [CENSORED_FACTOR * waited for waited in window.timed_out[:counted]])
    if not samples:
        return 0.0, 0.0
    # An answer in the same clock tick took no time; a zero would cause a division by zero.
    return samples[len(samples) // 2], max(1.0, percentile(samples, fraction))


def pooled_tail(breakers: list[Breaker]) -> float:
    """The tail of the windows of all classes, in units of each class's typical response time. Classes share
    the servers' queues, so their tails rise together. If a node sees few requests, the tail of three samples
    of a class is their median, whatever the state of the servers."""
    together = Window()
    for breaker in breakers:
        scale = SECOND / max(1.0, breaker.typical_time)
        together.answered += [scale * one for one in breaker.window.answered]
        together.timed_out += [scale * one for one in breaker.window.timed_out]
    return estimate_tail(together, POOLED_PERCENTILE)[1] / SECOND


Estimator = Callable[[Window], tuple[float, float]]
"""A window's median and tail, both 0 if it has no data. benchmarks/breaker.py compares estimators offline."""


@dataclass(slots=True)
class Breaker:
    """The paper's controller for one class. `aim` and all times in ns."""

    aim: int
    estimate: Estimator = estimate_tail
    target: float = 0.0
    base_tail: float = 0.0  # the tail at low load: follows a lower one fast and a higher one slowly
    alpha: float = 0.0  # response time per request in flight; 0 until the first window with data
    proven_load: float = 0.0  # requests in flight of all classes
    typical_time: float = 0.0  # median response time, a measure of the class's work
    samples: int = 0  # effective number of samples in `typical_time`
    in_flight: InFlight = field(default_factory=InFlight)  # of this class
    window: Window = field(default_factory=Window)

    def __post_init__(self) -> None:
        self.target, self.typical_time = TARGET_FRACTION * self.aim, float(self.aim)

    def threshold(self, start: float) -> float:
        """Requests in flight per server above which the class is refused; `start` until a window had data."""
        return max(self.target / self.alpha, PROVEN_LOAD_FRACTION * self.proven_load) if self.alpha else start

    def update(self, in_flight: float, start: float, idle: bool, pooled: float = 0.0) -> None:
        """Ends a window. Takes the mean of requests in flight in it, and the pooled tail of all classes (0:
        none)."""
        count = len(self.window.answered) + len(self.window.timed_out)
        median, tail = self.estimate(self.window)
        if len(self.window.timed_out) > len(self.window.answered):
            self.proven_load *= PROVEN_TIMEOUTS_DECAY
        if tail and in_flight:
            own_weight = min(1.0, count / SUFFICIENT_SAMPLES)
            if pooled:
                # Weighted by the size of the class's own sample: shrinkage, as in Efron and Morris (1975).
                tail += (1.0 - own_weight) * (self.typical_time * pooled - tail)
            self.samples = max(count, min(SUFFICIENT_SAMPLES, self.samples + count))
            self.typical_time += (1 - RETAINED_WEIGHT) * count / self.samples * (median - self.typical_time)
            base_weight = BASE_DECREASE_WEIGHT if tail < self.base_tail else BASE_INCREASE_WEIGHT
            self.base_tail = (
                self.base_tail + base_weight * (tail - self.base_tail) if self.base_tail else tail
            )
            self.target = min(
                self.aim, max((1.0 if idle else TARGET_FRACTION) * self.aim, MIN_TAIL_RATIO * self.base_tail)
            )
            # If all servers become slow, no cap can meet the target and the plain rule would fall without
            # limit.
            if tail <= self.target:
                self.proven_load = max(PROVEN_DECAY * self.proven_load, in_flight)
            else:
                self.proven_load *= PROVEN_MISSED_DECAY
            alpha = tail / in_flight
            # A window within its target can't lower the cap: one with little load would, and the next burst
            # would be refused.
            if tail > self.target or self.target / alpha > self.threshold(start):
                old_alpha = self.alpha or self.target / max(1.0, start)
                retained_weight = RETAINED_WEIGHT if alpha > old_alpha else RETAINED_WEIGHT_FALLING
                self.alpha = retained_weight * old_alpha + (1 - retained_weight) * alpha
        self.window.clear()
