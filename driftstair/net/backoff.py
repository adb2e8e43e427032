"""How long to wait before the next try at something that all nodes try: doubled with each failure, and never
in step with the others. No clock, no I/O."""

from __future__ import annotations

from random import Random

DOUBLINGS = 4  # at most
JITTER = 0.5  # of a pause, that is left to chance: nodes that failed together spread over half of it


class Backoff:
    def __init__(self, first: float, seed: int) -> None:
        """`first`: the longest first pause, in s."""
        self._first = first
        self._random = Random(seed)
        self._failures = 0

    def pause(self) -> float:
        """After another failure, in s."""
        longest = self._first * float(1 << min(DOUBLINGS, self._failures))
        self._failures += 1
        return longest * self._random.uniform(1.0 - JITTER, 1.0)

    def succeeded(self) -> None:
        self._failures = 0
