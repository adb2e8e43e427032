"""A token bucket in bytes: no clock, no I/O."""

from __future__ import annotations


class TokenBucket:
    """Earns `bytes_per_s` up to `burst_bytes`. What is sent may put it into debt, which is paid first."""

    def __init__(self, bytes_per_s: float, burst_bytes: float, now_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._burst_bytes = burst_bytes
        self._tokens = burst_bytes
        self._at_s = now_s

    def wait_s(self, now_s: float) -> float:
        """Until something may be sent; 0: now."""
        self._earn(now_s)
        if self._tokens > -1.0:  # less than a byte of debt is rounding, and its wait might never end
            return 0.0
        return -self._tokens / self._bytes_per_s

    def spend(self, now_s: float, size: int) -> None:
        self._earn(now_s)
        self._tokens -= size

    def _earn(self, now_s: float) -> None:
        earned = (now_s - self._at_s) * self._bytes_per_s
        self._tokens = min(self._burst_bytes, self._tokens + earned)
        self._at_s = now_s
