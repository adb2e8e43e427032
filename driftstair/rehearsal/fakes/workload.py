"""What each request is: its class, tenant, key and work, drawn from the seed.

A request's work follows from its id alone, so that a box on any machine finds the same without being told.
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
class Kind:
    """A class as drawn for one run. Times in s, work in core-seconds."""

    name: str
    index: int
    work: float
    waits: float
    mu: float
    sigma: float
    wanted: int  # ns
    given_up: int  # ns
    worth: float
    effect: str
    body: int


@dataclass(frozen=True, slots=True)
class Task:
    work: float
    waits: float
    body: int


class Workload:
    def __init__(self, classes: Sequence[Class], random: Random) -> None:
        self.kinds: dict[str, Kind] = {}
        self._named: dict[bytes, Kind] = {}
        for index, one in enumerate(classes):
            work = random.uniform(*one.work_ms) / 1e3
            sigma = sqrt(log(1.0 + one.spread**2))
            kind = Kind(
                one.name, index, work, random.uniform(*one.waits_ms) / 1e3,
                log(max(work, 1e-9)) - sigma**2 / 2, sigma, int(one.wanted_ms * 1e6),
                int(one.given_up_ms * 1e6), one.worth, one.effect, one.body_bytes,
            )  # fmt: skip
            self.kinds[one.name] = kind
            self._named[one.name.encode()] = kind

    def task(self, request: bytes, kind_name: bytes) -> Task | None:
        """The work of a request by its id and class; None for one that no client would send."""
        kind = self._named.get(kind_name)
        try:
            number = int(request, 16)
        except ValueError:
            return None
        if kind is None or len(request) != 16:
            return None
        chance = ((splitmix64(number) >> 11) + 0.5) / (1 << 53)
        work = exp(kind.mu + kind.sigma * _NORMAL.inv_cdf(chance))
        return Task(work, kind.waits * (0.5 + (splitmix64(number ^ _MASK) >> 11) / (1 << 53)), kind.body)

    def mean_work(self, shares: dict[str, float]) -> float:
        """Core-seconds of a request, over classes of these shares."""
        total = sum(shares.values())
        return sum(self.kinds[name].work * share for name, share in shares.items()) / total


class Choice:
    """One of several, by weight."""

    def __init__(self, weights: Sequence[float]) -> None:
        self._sums = list(accumulate(weights))

    def draw(self, random: Random) -> int:
        return min(bisect_right(self._sums, random.random() * self._sums[-1]), len(self._sums) - 1)


def zipf(count: int, skew: float) -> Choice:
    """Weights by rank (Zipf): the r-th most popular is asked for as 1 / r ** skew."""
    return Choice([1.0 / rank**skew for rank in range(1, count + 1)])
