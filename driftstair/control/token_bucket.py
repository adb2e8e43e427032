"""A token bucket for bytes. No clock, no I/O."""

from __future__ import annotations


class TokenBucket:
    """Refills at `bytes_per_s` up to `burst_bytes`. Spending may leave a negative balance, which has to be
    refilled before anything else may be sent."""

    def __init__(self, bytes_per_s: float, burst_bytes: float, now_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._tokens = burst_bytes
        self._updated_s = now_s

    def wait_s(self, now_s: float) -> float:
        """The time until something may be sent; 0: now."""
        self._refill(now_s)
        if self._tokens > -1.0:  # less than a byte is a rounding error, which a wait might never make up
            return 0.0
        return -self._tokens / self._bytes_per_s

    def spend(self, now_s: float, size: int) -> None:
        """Records that `size` bytes are sent."""
        self._refill(now_s)
        self._tokens -= size

    def _refill(self, now_s: float) -> None:
        refill = (now_s - self._updated_s) * self._bytes_per_s
        self._tokens = min(self._burst_bytes, self._tokens + refill)
        self._updated_s = now_s
