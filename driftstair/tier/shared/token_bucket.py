"""What a node may spend now: a bucket that fills by the shares that it holds.

Over any time t all nodes together spend at most budget x (t + depth) x (1 + drift): each share fills one
bucket at a time, and no bucket keeps more than `depth` s of what fills it. A process that stops between a
check and what it does by it, and goes on later, does so for the one check that was under way.
"""

from __future__ import annotations

from driftstair.tier.shared.escrow import Escrow


class TokenBucket:
    """`share`: tokens a second that one share gives; `depth`: s of them that are kept. Whoever changes
    `escrow` calls `advance` before and after."""

    def __init__(self, escrow: Escrow, share: float, depth: float, now: int) -> None:
        self.escrow = escrow
        self._share = share
        self._depth = depth
        self._tokens = 0.0
        self._at = now
        self._held = escrow.held(now)

    def spend(self, now: int, tokens: float = 1.0) -> bool:
        """Whether it may; then it has."""
        self.advance(now)
        if tokens > self._tokens:
            return False
        self._tokens -= tokens
        return True

    def refund(self, now: int, tokens: float = 1.0) -> None:
        """What was taken and not used; no more than there is room for."""
        self._tokens += tokens
        self.advance(now)

    def worth(self, now: int, share: float, depth: float) -> None:
        """From now on a share gives as much, and as many s of it are kept."""
        self.advance(now)
        self._share, self._depth = share, depth
        self._fill(now)

    def until(self, now: int, tokens: float = 1.0) -> int:
        """ns until so many are there if nothing changes; 0: they are, or what is held never brings them."""
        self.advance(now)
        rate = self._held * self._share
        missing = tokens - self._tokens
        return int(missing / rate * 1e9) + 1 if missing > 0 and rate > 0 else 0

    def fullness(self) -> float:
        """Which part of what it can save up it had when time was last let pass."""
        most = self._held * self._share * self._depth
        return self._tokens / most if most > 0 else 0.0

    def tokens(self, now: int) -> float:
        self.advance(now)
        return self._tokens

    def advance(self, now: int) -> None:
        """Let time pass, over each moment at which what is held changes."""
        while (ends := self.escrow.ends_at()) <= now:
            self._fill(max(ends, self._at))
        self._fill(now)

    def _fill(self, now: int) -> None:
        held = self.escrow.held(now)
        # Between two looks the fewer count: what came in between may have come late.
        gained = min(held, self._held) * self._share * max(0, now - self._at) / 1e9
        self._tokens = min(self._tokens + gained, held * self._share * self._depth)
        self._at, self._held = max(self._at, now), held
