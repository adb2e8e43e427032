"""A node's doubt in itself (Lifeguard's local health multiplier)."""

from __future__ import annotations

MOST = 8  # the paper's S


class Health:
    """0 is sound. A node that misses answers, has to refute, or stood still is slower to find fault with
    others: its waits are 1 + `score` times as long."""

    __slots__ = ("score",)

    def __init__(self) -> None:
        self.score = 0

    def better(self) -> None:
        """A probe was answered."""
        self.score = max(0, self.score - 1)

    def worse(self, by: int = 1) -> None:
        self.score = min(MOST, self.score + by)

    def times(self) -> int:
        return 1 + self.score
