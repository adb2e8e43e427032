"""The work that may be sent to a box that has just started before it is overloaded: a budget for every time
window.

A cold box does `cold_share` of its full work, rising linearly to all of it within `cold_time`. In any window
of `window_ns`, the work that arrives, refused or not, must stay below `capacity_multiple` times what the box
can do in that window, plus some slack for random arrivals.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Share of what the warm box does in a window. Random arrivals cluster, and no node sees those of the others.
SLACK_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class ColdRule:
    """The figures of the rule on cold boxes."""

    capacity_multiple: float = 3.0
    window_ns: int = 1_500_000_000


class ColdBudget:
    """The budget of one box that started at `started` (ns). `capacity`: core-seconds per second when warm;
    `cold_time` in ns."""

    def __init__(
        self, rule: ColdRule, started: int, capacity: float, cold_share: float, cold_time: int
    ) -> None:
        self._rule = rule
        self._started = started
        self._capacity = capacity
        self._cold_share = cold_share
        self._cold_time = max(1, cold_time)
        self.arrivals: deque[tuple[int, float, str]] = deque()  # time in ns, work, node
        self._total = 0.0

    def warm_at(self) -> int:
        """Returns the time in ns at which the box does its full work."""
        return self._started + self._cold_time

    def warmth(self, now: int) -> float:
        """Returns the share of its full work that the box can do."""
        age = min(1.0, max(0.0, (now - self._started) / self._cold_time))
        return self._cold_share + (1.0 - self._cold_share) * age

    def allowed_work(self, now: int) -> float:
        """Returns the core-seconds allowed in the window that ends now."""
        window_ns = self._rule.window_ns
        # The warmth is linear except at the start and at full warmth, so its value in the middle of the
        # window is close enough to the mean.
        capacity_in_window = self.warmth(now - window_ns // 2) * self._capacity * window_ns / 1e9
        return (
            self._rule.capacity_multiple * capacity_in_window + SLACK_SHARE * self._capacity * window_ns / 1e9
        )

    def add_arrival(self, now: int, work: float, node: str = "") -> bool:
        """Records the arrival of work. Returns whether the box can bear the work of the window that ends with
        it."""
        self.arrivals.append((now, work, node))
        self._total += work
        oldest = now - self._rule.window_ns
        while self.arrivals[0][0] <= oldest:
            self._total -= self.arrivals.popleft()[1]
        return now >= self.warm_at() or self._total <= self.allowed_work(now)

    def work_in_window(self) -> float:
        """Returns the core-seconds that arrived in the current window."""
        return self._total
