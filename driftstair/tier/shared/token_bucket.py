"""Token bucket of one node, filled in proportion to the shares of a budget that the node holds.

Over any time t all nodes together spend at most budget x (t + depth) x (1 + drift), because each share fills
one bucket at a time and no bucket keeps more than `depth_s` seconds of its fill rate. A process that is
suspended between a check and the action that it allowed can exceed this bound by that one action only.
"""

from __future__ import annotations

from driftstair.tier.shared.escrow import Escrow


class TokenBucket:
    """One share adds `share_per_s` tokens per second; tokens of at most `depth_s` seconds accumulate. Callers
    that change `escrow` must call `advance` before and after the change."""

    def __init__(self, escrow: Escrow, share_per_s: float, depth_s: float, now_ns: int) -> None:
        self.escrow = escrow
        self._share_per_s = share_per_s
        self._depth_s = depth_s
        self._tokens = 0.0
        self._updated_at_ns = now_ns
        self._held_shares = escrow.held_shares(now_ns)

    def spend(self, now_ns: int, tokens: float = 1.0) -> bool:
        """Takes the tokens and returns whether there were enough."""
        self.advance(now_ns)
        if tokens > self._tokens:
            return False
        self._tokens -= tokens
        return True

    def refund(self, now_ns: int, tokens: float = 1.0) -> None:
        """Puts back tokens that were taken and not used, up to the capacity of the bucket."""
        self._tokens += tokens
        self.advance(now_ns)

    def set_rate(self, now_ns: int, share_per_s: float, depth_s: float) -> None:
        """Sets the fill rate of a share and the depth from now on."""
        self.advance(now_ns)
        self._share_per_s, self._depth_s = share_per_s, depth_s
        self._fill(now_ns)

    def ns_until(self, now_ns: int, tokens: float = 1.0) -> int:
        """Returns the time in ns until `tokens` are available if the shares do not change; 0 if they already
        are or if the node holds no shares."""
        self.advance(now_ns)
        tokens_per_s = self._held_shares * self._share_per_s
        missing_tokens = tokens - self._tokens
        return int(missing_tokens / tokens_per_s * 1e9) + 1 if missing_tokens > 0 and tokens_per_s > 0 else 0

    def fullness(self) -> float:
        """Returns the fill level at the last `advance`, as a fraction of the capacity."""
        capacity = self._held_shares * self._share_per_s * self._depth_s
        return self._tokens / capacity if capacity > 0 else 0.0

    def tokens(self, now_ns: int) -> float:
        """Returns the tokens that are available now."""
        self.advance(now_ns)
        return self._tokens

    def advance(self, now_ns: int) -> None:
        """Fills the bucket up to now, stepping through each time at which the number of held shares
        changes."""
        while (changes_at_ns := self.escrow.next_change_at_ns()) <= now_ns:
            self._fill(max(changes_at_ns, self._updated_at_ns))
        self._fill(now_ns)

    def _fill(self, now_ns: int) -> None:
        held_shares = self.escrow.held_shares(now_ns)
        # The smaller number of shares counts for the interval: shares may have arrived at any time within it.
        gained_tokens = (
            min(held_shares, self._held_shares)
            * self._share_per_s
            * max(0, now_ns - self._updated_at_ns)
            / 1e9
        )
        self._tokens = min(self._tokens + gained_tokens, held_shares * self._share_per_s * self._depth_s)
        self._updated_at_ns, self._held_shares = max(self._updated_at_ns, now_ns), held_shares
