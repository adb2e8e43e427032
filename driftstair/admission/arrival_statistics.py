"""Who comes: the rate of new connections, how many of them ask, and for how long a request needs its place.

All of it fades within seconds, so that a crowd that changes is followed, and costs a few operations an event.
"""

from __future__ import annotations

from math import exp, sqrt

MEMORY = 1.0  # s over which rates are meant
WEIGHT = 0.02  # part of the newest newcomer in the share that asks, of the newest request in its time
FREED_IN = 0.05  # s from the decision to close a connection until its client has the place free again
SPREADS = 2.0  # roots of what is expected to come in that time that chance may bring above it
SERVICE = 0.1  # s that a request is held to take before any has been seen
GRACE = 0.1  # s to the first byte that a newcomer has, before enough have been seen
GRACE_LEAST, GRACE_MOST = 0.02, 0.5  # s, likewise, once they have
GRACE_TIMES = 8.0  # times the mean of those that ask
GRACE_SEEN = 50  # newcomers that have asked


class Crowd:
    """The newcomers of late. Times in s."""

    def __init__(self) -> None:
        self.asking = 1.0  # share of newcomers that bring a whole request before they go
        self.service = SERVICE  # of a request, from its last byte to its answer
        self.first = 0.0  # from connecting to the first whole request, of those that ask
        self._rate = 0.0  # of newcomers that ask, a second
        self._noted = 0.0
        self._seen = 0  # newcomers that have asked

    def asked(self, now: float, after: float) -> None:
        """A newcomer's first whole request has come."""
        self._decay(now)
        self._rate += 1.0 / MEMORY
        self.asking += WEIGHT * (1.0 - self.asking)
        self._seen += 1
        self.first += max(WEIGHT, 1.0 / self._seen) * (after - self.first)

    def stayed_silent(self) -> None:
        """A newcomer went, or was closed, before it asked."""
        self.asking -= WEIGHT * self.asking

    def served(self, took: float) -> None:
        self.service += WEIGHT * (took - self.service)

    def rate(self, now: float) -> float:
        self._decay(now)
        return self._rate

    def _decay(self, now: float) -> None:
        if now > self._noted:
            self._rate *= exp((self._noted - now) / MEMORY)
            self._noted = now

    def grace(self) -> float:
        """The time to its first byte that a newcomer has, before it may make room for another."""
        if self._seen < GRACE_SEEN:
            return GRACE
        return min(GRACE_MOST, max(GRACE_LEAST, GRACE_TIMES * self.first))

    def need(self, now: float) -> float:
        """Places that are to stand free for those that will have come before another one can be freed. Only
        newcomers that ask count: a crowd that says nothing makes no case for closing those that do."""
        expected = self.rate(now) * FREED_IN
        return expected + SPREADS * sqrt(expected)

    def worth(self) -> float:
        """Requests for a second of a place that is given to newcomers."""
        return self.asking / (self.first + self.service)
