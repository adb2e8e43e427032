"""Lifeguard's local health multiplier: a node's estimate of its own fitness as a failure detector."""

from __future__ import annotations

MAX_SCORE = 8  # Lifeguard's S


class Health:
    """A score of 0 is healthy. A node that misses acknowledgements, has to refute a suspicion, or was stalled
    multiplies its probe timeouts by 1 + `score`, so that it is slower to accuse others."""

    __slots__ = ("score",)

    def __init__(self) -> None:
        self.score = 0

    def record_success(self) -> None:
        """A probe was acknowledged in time."""
        self.score = max(0, self.score - 1)

    def record_failure(self, weight: int = 1) -> None:
        self.score = min(MAX_SCORE, self.score + weight)

    def timeout_multiplier(self) -> int:
        return 1 + self.score
