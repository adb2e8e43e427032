"""Token buckets. Times are ns on a clock that may stand still, but from which nothing is earned backwards."""

from __future__ import annotations

from typing import Any, Protocol

SECOND = 1_000_000_000


class TokenBudget(Protocol):
    """What a route spends on: a bucket of its own, or a budget of the fleet."""

    def earn(self, now: int, tokens: float) -> None: ...

    def has(self, now: int, tokens: float = 1.0) -> bool: ...

    def take(self, now: int, tokens: float = 1.0) -> bool: ...

    def ns_until(self, now: int, tokens: float = 1.0) -> int: ...

    def carry_over(self, other: Any, now: int) -> None: ...


class TokenBucket:
    """Holds `burst` at most, is full at first, and earns `per_s` each second and whatever `earn` adds."""

    __slots__ = ("_at", "burst", "per_s", "tokens")

    def __init__(self, per_s: float, burst: float, now: int) -> None:
        self.per_s = per_s
        self.burst = burst
        self.tokens = burst
        self._at = now

    def refill(self, now: int) -> None:
        # A clock that jumped back earns nothing; one that jumped ahead no more than a full bucket.
        if now > self._at:
            self.tokens = min(self.burst, self.tokens + self.per_s * (now - self._at) / SECOND)
        self._at = now

    def earn(self, now: int, tokens: float) -> None:
        self.refill(now)
        self.tokens = min(self.burst, self.tokens + tokens)

    def has(self, now: int, tokens: float = 1.0) -> bool:
        self.refill(now)
        return self.tokens >= tokens

    def take(self, now: int, tokens: float = 1.0) -> bool:
        if not self.has(now, tokens):
            return False
        self.tokens -= tokens
        return True

    def ns_until(self, now: int, tokens: float = 1.0) -> int:
        """ns until so many are there; 0 if they are, or if time alone never brings them."""
        self.refill(now)
        missing = tokens - self.tokens
        return int(missing / self.per_s * SECOND) + 1 if missing > 0 and self.per_s > 0 else 0

    def carry_over(self, other: TokenBucket, now: int) -> None:
        """What another one, of an earlier file, had left: a reload is no new burst."""
        other.refill(now)
        self.tokens = min(self.burst, other.tokens)
        self._at = now
