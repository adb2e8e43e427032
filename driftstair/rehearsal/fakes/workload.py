"""The classes of requests and the work of each request, drawn from the seed.

The work of a request is derived from its id, so that a box on any machine computes the same value without
receiving it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate
from math import exp, log, sqrt
from random import Random
from statistics import NormalDist

from driftstair.rehearsal.scenario import Class
from lichenspring.subset import splitmix64

_MASK = (1 << 64) - 1
_NORMAL = NormalDist()


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests, as drawn for one run. `work` (core-seconds) and `wait_s` are means; `mu` and
    `sigma` are the parameters of the log-normal distribution of the work."""

    name: str
    index: int
    work: float
    wait_s: float
    mu: float
    sigma: float
    wanted_ns: int
    given_up_ns: int
    worth: float
    effect: str
    body_bytes: int


@dataclass(frozen=True, slots=True)
class Task:
    """What one request costs: work in core-seconds, a wait for other services, and the size of the answer."""

    work: float
    wait_s: float
    body_bytes: int


class Workload:
    """The classes of one run, by name."""

    def __init__(self, scenario_classes: Sequence[Class], random: Random) -> None:
        self.request_classes: dict[str, RequestClass] = {}
        self._by_name: dict[bytes, RequestClass] = {}
        for index, scenario_class in enumerate(scenario_classes):
            work = random.uniform(*scenario_class.work_ms) / 1e3
            sigma = sqrt(log(1.0 + scenario_class.spread**2))
            request_class = RequestClass(
                scenario_class.name, index, work, random.uniform(*scenario_class.waits_ms) / 1e3,
                log(max(work, 1e-9)) - sigma**2 / 2, sigma, int(scenario_class.wanted_ms * 1e6),
                int(scenario_class.given_up_ms * 1e6), scenario_class.worth, scenario_class.effect,
                scenario_class.body_bytes,
            )  # fmt: skip
            self.request_classes[scenario_class.name] = request_class
            self._by_name[scenario_class.name.encode()] = request_class

    def task(self, request: bytes, class_name: bytes) -> Task | None:
        """The cost of a request from its id and class; None if no client would send such a request."""
        request_class = self._by_name.get(class_name)
        try:
            request_number = int(request, 16)
        except ValueError:
            return None
        if request_class is None or len(request) != 16:
            return None
        quantile = ((splitmix64(request_number) >> 11) + 0.5) / (1 << 53)
        work = exp(request_class.mu + request_class.sigma * _NORMAL.inv_cdf(quantile))
        return Task(
            work,
            request_class.wait_s * (0.5 + (splitmix64(request_number ^ _MASK) >> 11) / (1 << 53)),
            request_class.body_bytes,
        )

    def mean_work(self, shares: dict[str, float]) -> float:
        """The mean work (core-seconds) of a request, for classes with these shares."""
        total = sum(shares.values())
        return sum(self.request_classes[name].work * share for name, share in shares.items()) / total


class WeightedChoice:
    """Draws an index at random, by weight."""

    def __init__(self, weights: Sequence[float]) -> None:
        self._cumulative_weights = list(accumulate(weights))

    def draw(self, random: Random) -> int:
        return min(
            bisect_right(self._cumulative_weights, random.random() * self._cumulative_weights[-1]),
            len(self._cumulative_weights) - 1,
        )


def zipf(count: int, skew: float) -> WeightedChoice:
    """Weights of a Zipf distribution: that of rank r is 1 / r ** skew."""
    return WeightedChoice([1.0 / rank**skew for rank in range(1, count + 1)])
