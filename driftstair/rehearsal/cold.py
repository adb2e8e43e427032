"""How much work a box that has just started can be sent before it falls over: a budget for every window.

A cold box does `cold_share` of its full work, rising evenly to all of it over `cold_time`. In any window of
`fall_time`, the work that arrives, turned away or not, must stay under `multiple` times what the box can do
in that window, and some slack for chance.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

SLACK = 0.1  # of what the warm box does in a window: chance bunches arrivals, and no node sees the others'


@dataclass(frozen=True, slots=True)
class ColdRule:
    multiple: float = 3.0
    fall_time: int = 1_500_000_000  # ns


class ColdBudget:
    """One box from its start at `started` (ns). `capacity`: core-seconds a second when warm."""

    def __init__(
        self, rule: ColdRule, started: int, capacity: float, cold_share: float, cold_time: int
    ) -> None:
        self._rule = rule
        self._started = started
        self._capacity = capacity
        self._cold_share = cold_share
        self._cold_time = max(1, cold_time)
        self.arrivals: deque[tuple[int, float, str]] = deque()  # when, work, from which node
        self._total = 0.0

    def warm_at(self) -> int:
        return self._started + self._cold_time

    def warmth(self, now: int) -> float:
        """The share of its full work that the box can do."""
        age = min(1.0, max(0.0, (now - self._started) / self._cold_time))
        return self._cold_share + (1.0 - self._cold_share) * age

    def allowed(self, now: int) -> float:
        """Core-seconds for the window that ends now."""
        fall = self._rule.fall_time
        # Linear but for its ends, which lie at the start and at full warmth: the middle is close enough.
        able = self.warmth(now - fall // 2) * self._capacity * fall / 1e9
        return self._rule.multiple * able + SLACK * self._capacity * fall / 1e9

    def arrive(self, now: int, work: float, node: str = "") -> bool:
        """Whether the box stands what has come in the window that ends with this."""
        self.arrivals.append((now, work, node))
        self._total += work
        oldest = now - self._rule.fall_time
        while self.arrivals[0][0] <= oldest:
            self._total -= self.arrivals.popleft()[1]
        return now >= self.warm_at() or self._total <= self.allowed(now)

    def in_window(self) -> float:
        return self._total
