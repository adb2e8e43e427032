"""Replay protection for the datagrams of one process: the sliding window of RFC 4303, section 3.4.3."""

from __future__ import annotations

WINDOW_BITS = 64  # how far a datagram may be reordered and still be accepted


class ReplayWindow:
    """Over sequence numbers that rise by one with each datagram."""

    __slots__ = ("_highest", "_received")

    def __init__(self) -> None:
        self._highest = -1
        self._received = 0  # bit i: the sequence number `_highest - i` has been accepted

    def accept(self, sequence: int) -> bool:
        """Returns whether the number is new, and marks it as received. Numbers older than the window are
        rejected."""
        ahead = sequence - self._highest
        if ahead > 0:
            self._received = (
                (self._received << ahead | 1) & (1 << WINDOW_BITS) - 1 if ahead < WINDOW_BITS else 1
            )
            self._highest = sequence
            return True
        if -ahead >= WINDOW_BITS or self._received >> -ahead & 1:
            return False
        self._received |= 1 << -ahead
        return True
