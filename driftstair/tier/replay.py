"""Which datagrams of one life have been taken: the sliding window of RFC 4303, 3.4.3."""

from __future__ import annotations

WINDOW_BITS = 64  # datagrams that may overtake one


class Window:
    """Of counts that rise by one from datagram to datagram."""

    __slots__ = ("_highest", "_seen")

    def __init__(self) -> None:
        self._highest = -1
        self._seen = 0  # bit i: the count `highest - i` has been taken

    def take(self, count: int) -> bool:
        """Whether it is new; then it counts as taken. One older than the window is not."""
        ahead = count - self._highest
        if ahead > 0:
            self._seen = (self._seen << ahead | 1) & (1 << WINDOW_BITS) - 1 if ahead < WINDOW_BITS else 1
            self._highest = count
            return True
        if -ahead >= WINDOW_BITS or self._seen >> -ahead & 1:
            return False
        self._seen |= 1 << -ahead
        return True
