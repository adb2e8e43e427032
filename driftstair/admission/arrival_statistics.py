"""Statistics of new connections: their rate, the share that send a request, and the service time of requests.

All estimates decay within seconds, so they follow a changing client population. An update takes a few
operations.
"""

from __future__ import annotations

from math import exp, sqrt

RATE_DECAY_S = 1.0  # time constant of the arrival rate
EWMA_WEIGHT = 0.02  # of the newest sample in the request share and in the mean times
CLOSE_DELAY_S = 0.05  # from the decision to close a connection until the client can open another
STANDARD_DEVIATIONS = 2.0  # margin above the mean number of arrivals in that time (Poisson)
INITIAL_SERVICE_TIME_S = 0.1  # until a request has been measured
INITIAL_GRACE_S = 0.1  # time to the first byte, until GRACE_SAMPLES_MIN requests have been measured
GRACE_S_MIN, GRACE_S_MAX = 0.02, 0.5
GRACE_FACTOR = 8.0  # of the mean time to the first request
GRACE_SAMPLES_MIN = 50


class ArrivalStatistics:
    """Decaying statistics of recent new connections. Times in s."""

    def __init__(self) -> None:
        self.request_share = 1.0  # share of new connections that send a complete request
        self.service_time = INITIAL_SERVICE_TIME_S  # of a request, from its last byte to its response
        self.first_request_time = 0.0  # mean from connecting to the first complete request
        self._rate = 0.0  # of new connections that send a request, per second
        self._updated_at = 0.0
        self._request_count = 0  # new connections that have sent a request

    def record_first_request(self, now: float, delay: float) -> None:
        """Records the first complete request on a new connection, `delay` s after it connected."""
        self._decay(now)
        self._rate += 1.0 / RATE_DECAY_S
        self.request_share += EWMA_WEIGHT * (1.0 - self.request_share)
        self._request_count += 1
        self.first_request_time += max(EWMA_WEIGHT, 1.0 / self._request_count) * (
            delay - self.first_request_time
        )

    def record_silent(self) -> None:
        """Records a new connection that closed, or was closed, without a request."""
        self.request_share -= EWMA_WEIGHT * self.request_share

    def record_service_time(self, elapsed: float) -> None:
        self.service_time += EWMA_WEIGHT * (elapsed - self.service_time)

    def rate(self, now: float) -> float:
        self._decay(now)
        return self._rate

    def _decay(self, now: float) -> None:
        if now > self._updated_at:
            self._rate *= exp((self._updated_at - now) / RATE_DECAY_S)
            self._updated_at = now

    def grace(self) -> float:
        """How long a new connection may stay silent before it may be closed to make room."""
        if self._request_count < GRACE_SAMPLES_MIN:
            return INITIAL_GRACE_S
        return min(GRACE_S_MAX, max(GRACE_S_MIN, GRACE_FACTOR * self.first_request_time))

    def required_free(self, now: float) -> float:
        """Connections to keep free for clients that arrive before another connection can be closed.

        Counts only new connections that send requests, so silent connections never cause active ones to be
        closed.
        """
        expected = self.rate(now) * CLOSE_DELAY_S
        return expected + STANDARD_DEVIATIONS * sqrt(expected)

    def worth(self) -> float:
        """Requests per second of a connection slot that is given to new connections."""
        return self.request_share / (self.first_request_time + self.service_time)
