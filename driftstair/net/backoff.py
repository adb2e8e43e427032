"""How long to wait before the next try at something that all nodes try: doubled with each failure up to a
bound, and never in step with the others (exponential back-off with jitter). No clock, no I/O."""

from __future__ import annotations

from random import Random

JITTER = 0.5  # of a pause, that is left to chance: nodes that failed together spread over half of it


class Backoff:
    def __init__(self, first: float, most: float, seed: int, jitter: float = JITTER) -> None:
        """`first`: the longest first pause, and `most` the longest of all, in s. `jitter`: the part of a
        pause that is left to chance; 1: all of it (full jitter)."""
        self._first = first
        self._most = most
        self._jitter = jitter
        self._random = Random(seed)
        self._failures = 0

    def pause(self) -> float:
        """After another failure, in s."""
        longest = min(self._most, self._first * 2.0 ** min(self._failures, 32))
        self._failures += 1
        return longest * self._random.uniform(1.0 - self._jitter, 1.0)

    def reset(self) -> None:
        self._failures = 0
