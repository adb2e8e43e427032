"""How long clients stay away between two requests on one connection, from what is seen of them.

A survival estimate under right censoring: a connection that is closed while idle tells only that its client
had not come back yet. Time is cut into buckets, each twice the one before; in each the estimate holds the
rate of returns constant, occurrences over exposure. That is the piecewise exponential estimator, which meets
Kaplan and Meier's (1958) on the buckets' ends and, unlike theirs, needs no list of those at risk: a stay adds
its exposure bucket by bucket while it lasts, so clients that never come back count from the first second and
not only once they are gone. Older counts fade, so that a crowd of another kind is learned within its time.
"""

from __future__ import annotations

from bisect import bisect_right
from math import exp

FIRST = 0.002  # s, the end of the first bucket; each ends at twice the one before
BUCKETS = 16  # the last begins at 32 s and has no end
HALF_LIFE = 8.0  # s in which the counts fade to half
LOG_2 = 0.6931471805599453
PRIOR = 0.4  # returns that each bucket is given with one client's exposure to it, before anything is seen

ENDS = tuple(FIRST * 2.0**index for index in range(BUCKETS))
WIDTHS = (FIRST, *ENDS[:-1])  # a bucket is as wide as it begins late


def bucket_of(age: float) -> int:
    """The bucket that an age in s lies in."""
    return min(BUCKETS - 1, bisect_right(ENDS, age))


class Returns:
    """The returns of one kind of client. All times in s."""

    def __init__(self) -> None:
        self.seen = [0.0] * BUCKETS  # returns, faded
        self.exposed = [0.0] * BUCKETS  # s of idle connections, faded

    def pass_through(self, bucket: int) -> None:
        """A connection was idle through the whole of a bucket."""
        self.exposed[bucket] += WIDTHS[bucket]

    def end(self, age: float, bucket: int, came_back: bool) -> None:
        """A stay ends at an age within `bucket`, whose earlier ones have been passed through."""
        begun = ENDS[bucket - 1] if bucket else 0.0
        self.exposed[bucket] += max(0.0, age - begun)
        self.seen[bucket] += came_back

    def fade(self, passed: float) -> None:
        keep = exp(-passed * LOG_2 / HALF_LIFE)
        for index in range(BUCKETS):
            self.seen[index] *= keep
            self.exposed[index] *= keep

    def hazard(self, bucket: int) -> float:
        """Returns a second of a client that has stayed away until this bucket."""
        return (self.seen[bucket] + PRIOR) / (self.exposed[bucket] + WIDTHS[bucket])

    def survival(self, age: float) -> float:
        """The part of clients that stay away for longer than `age`."""
        total, begun = 0.0, 0.0
        for bucket in range(BUCKETS):
            end = ENDS[bucket] if bucket < BUCKETS - 1 else age
            total += self.hazard(bucket) * max(0.0, min(end, age) - begun)
            if age <= end:
                break
            begun = end
        return exp(-total)

    def worth(self, service: float) -> list[float]:
        """For each bucket, the most requests for a second of its place that an idle connection brings when it
        is kept until some later bucket's end or its return. `service`: s that its request then takes.

        That is the index of Gittins (1979) of one arm: keep what has the greatest. A client that is sure to
        come back in 2 s gains worth as it waits; one of a crowd that comes at once or never loses it.
        """
        hazards = [self.hazard(bucket) for bucket in range(BUCKETS)]
        stays = [exp(-hazard * width) for hazard, width in zip(hazards, WIDTHS, strict=True)]
        worth = []
        for first in range(BUCKETS):
            best, alive, held, returned = 0.0, 1.0, 0.0, 0.0
            for bucket in range(first, BUCKETS):
                back = alive * (1.0 - stays[bucket])
                held += back / hazards[bucket]
                returned += back
                alive *= stays[bucket]
                best = max(best, returned / (held + returned * service))
            worth.append(best)
        return worth
