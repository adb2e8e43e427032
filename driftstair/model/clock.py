"""The event queue of the model, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Clock:
    """Calls callbacks in the order of their times; those of the same time in the order of scheduling.

    Times are whole ns. `now` is the current virtual time.
    """

    __slots__ = ("_queue", "_sequence", "now")

    def __init__(self) -> None:
        self.now = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = 0

    def call_at(self, time_ns: int, callback: Callable[..., None], *args: Any) -> None:
        """Schedules a call; a time in the past counts as now."""
        self._sequence += 1
        heappush(self._queue, (max(time_ns, self.now), self._sequence, callback, args))

    def call_later(self, delay_ns: int, callback: Callable[..., None], *args: Any) -> None:
        self.call_at(self.now + delay_ns, callback, *args)

    def run(self, end_ns: int) -> None:
        """Runs all calls that are due by `end_ns`, and sets the clock to that time."""
        queue = self._queue
        while queue and queue[0][0] <= end_ns:
            self.now, _, callback, args = heappop(queue)
            callback(*args)
        self.now = max(self.now, end_ns)
