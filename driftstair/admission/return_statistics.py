"""Estimates how long clients stay idle between two requests on one connection.

This is survival estimation under right censoring: a connection that is closed while idle shows only that its
client had not returned yet. Time is divided into buckets, each ending at twice the previous end, and the
hazard rate is constant within a bucket: returns divided by exposure. This piecewise exponential estimator
approximates the Kaplan-Meier estimator (1958) at the bucket ends and needs no list of the connections at
risk. An idle period adds its exposure bucket by bucket while it lasts, so clients that never return count at
once and not only after they have left. Older counts decay, so the estimate follows a changing client
population.
"""

from __future__ import annotations

from bisect import bisect_right
from math import exp

FIRST_BUCKET_END_S = 0.002  # each bucket ends at twice the previous end
BUCKET_COUNT = 16  # the last one begins at 32 s and is unbounded
HALF_LIFE_S = 8.0  # of the counts
LOG_2 = 0.6931471805599453
PRIOR_RETURNS = 0.4  # prior of each bucket: this many returns over the exposure of one connection

BUCKET_ENDS_S = tuple(FIRST_BUCKET_END_S * 2.0**index for index in range(BUCKET_COUNT))
BUCKET_WIDTHS_S = (FIRST_BUCKET_END_S, *BUCKET_ENDS_S[:-1])  # each later bucket is as wide as its start


def bucket_of(age: float) -> int:
    """The bucket that contains an age in s."""
    return min(BUCKET_COUNT - 1, bisect_right(BUCKET_ENDS_S, age))


class ReturnStatistics:
    """Idle periods and returns of one kind of connection. Times in s."""

    def __init__(self) -> None:
        self.return_counts = [0.0] * BUCKET_COUNT  # returns, decayed
        self.exposure = [0.0] * BUCKET_COUNT  # s of idle time, decayed

    def record_full_bucket(self, bucket: int) -> None:
        """Records a connection that stayed idle for the whole of a bucket."""
        self.exposure[bucket] += BUCKET_WIDTHS_S[bucket]

    def record_end(self, age: float, bucket: int, returned: bool) -> None:
        """Records the end of an idle period at `age`, in `bucket`, after the full buckets before it."""
        start = BUCKET_ENDS_S[bucket - 1] if bucket else 0.0
        self.exposure[bucket] += max(0.0, age - start)
        self.return_counts[bucket] += returned

    def decay(self, elapsed: float) -> None:
        factor = exp(-elapsed * LOG_2 / HALF_LIFE_S)
        for index in range(BUCKET_COUNT):
            self.return_counts[index] *= factor
            self.exposure[index] *= factor

    def hazard(self, bucket: int) -> float:
        """Returns per second of a client that has been idle until this bucket."""
        return (self.return_counts[bucket] + PRIOR_RETURNS) / (
            self.exposure[bucket] + BUCKET_WIDTHS_S[bucket]
        )

    def survival(self, age: float) -> float:
        """The share of clients that stay idle for longer than `age`."""
        total, start = 0.0, 0.0
        for bucket in range(BUCKET_COUNT):
            end = BUCKET_ENDS_S[bucket] if bucket < BUCKET_COUNT - 1 else age
            total += self.hazard(bucket) * max(0.0, min(end, age) - start)
            if age <= end:
                break
            start = end
        return exp(-total)

    def worth(self, service_time: float) -> list[float]:
        """For each bucket, the highest rate of requests per second of held connection over all stopping
        times.

        An idle connection is kept until the end of a later bucket or its return; the request then takes
        `service_time` s.

        This is the Gittins index (1979) of one arm; the connections with the highest index are kept. The
        worth of a client that always returns after 2 s rises as it waits; that of clients that return at once
        or never falls.
        """
        hazards = [self.hazard(bucket) for bucket in range(BUCKET_COUNT)]
        idle_probabilities = [
            exp(-hazard * width) for hazard, width in zip(hazards, BUCKET_WIDTHS_S, strict=True)
        ]
        worth = []
        for first_bucket in range(BUCKET_COUNT):
            best_rate, idle_share, held_time, return_share = 0.0, 1.0, 0.0, 0.0
            for bucket in range(first_bucket, BUCKET_COUNT):
                returning = idle_share * (1.0 - idle_probabilities[bucket])
                held_time += returning / hazards[bucket]
                return_share += returning
                idle_share *= idle_probabilities[bucket]
                best_rate = max(best_rate, return_share / (held_time + return_share * service_time))
            worth.append(best_rate)
        return worth
