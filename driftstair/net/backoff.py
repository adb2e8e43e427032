"""Exponential back-off with jitter: pauses double with each failure up to a limit, and the jitter spreads the
retries of nodes that failed together. No clock, no I/O."""

from __future__ import annotations

from random import Random

JITTER = 0.5  # random share of a pause: nodes that failed together spread over half of it


class Backoff:
    """The pauses between the calls of one caller."""

    def __init__(self, first_s: float, max_s: float, seed: int, jitter: float = JITTER) -> None:
        """`first_s`: the longest first pause; `max_s`: the longest pause of all. `jitter`: the random share
        of a pause; 1 is full jitter."""
        self._first_s = first_s
        self._max_s = max_s
        self._jitter = jitter
        self._random = Random(seed)
        self._failures = 0

    def pause(self) -> float:
        """The pause after another failure, in s."""
        longest_s = min(self._max_s, self._first_s * 2.0 ** min(self._failures, 32))
        self._failures += 1
        return longest_s * self._random.uniform(1.0 - self._jitter, 1.0)

    def reset(self) -> None:
        self._failures = 0
