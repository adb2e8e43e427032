"""Token buckets. Times are in ns; a clock that stands still or jumps back earns no tokens."""

from __future__ import annotations

from typing import Any, Protocol

NS_PER_SECOND = 1_000_000_000


class TokenBudget(Protocol):
    """A budget that a route spends: its own token bucket or a share of a fleet-wide budget."""

    def earn(self, now: int, tokens: float) -> None: ...

    def has(self, now: int, tokens: float = 1.0) -> bool: ...

    def take(self, now: int, tokens: float = 1.0) -> bool: ...

    def ns_until(self, now: int, tokens: float = 1.0) -> int: ...

    def carry_over(self, previous: Any, now: int) -> None: ...


class TokenBucket:
    """Holds at most `burst` tokens, starts full, and gains `per_s` a second plus what `earn` adds."""

    __slots__ = ("_refilled_at", "burst", "per_s", "tokens")

    def __init__(self, per_s: float, burst: float, now: int) -> None:
        self.per_s = per_s
        self.burst = burst
        self.tokens = burst
        self._refilled_at = now

    def refill(self, now: int) -> None:
        # A clock that jumps back adds no tokens; one that jumps ahead fills the bucket at most.
        if now > self._refilled_at:
            self.tokens = min(
                self.burst, self.tokens + self.per_s * (now - self._refilled_at) / NS_PER_SECOND
            )
        self._refilled_at = now

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
        """Time until `tokens` are available; 0 if they are, or if refilling never provides them."""
        self.refill(now)
        missing = tokens - self.tokens
        return int(missing / self.per_s * NS_PER_SECOND) + 1 if missing > 0 and self.per_s > 0 else 0

    def carry_over(self, previous: TokenBucket, now: int) -> None:
        """Takes over the tokens left in the previous bucket, so that a reload grants no new burst."""
        previous.refill(now)
        self.tokens = min(self.burst, previous.tokens)
        self._refilled_at = now
