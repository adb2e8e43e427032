"""Things that happen, in the order of their times, and then in the order in which they were asked for."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any


class Clock:
    """A binary heap of what is due. Times are whole ns."""

    __slots__ = ("_due", "_number", "now")

    def __init__(self) -> None:
        self.now = 0
        self._due: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0

    def at(self, when: int, what: Callable[..., None], *args: Any) -> None:
        """No earlier than now: what is asked for the past happens next."""
        self._number += 1
        heappush(self._due, (max(when, self.now), self._number, what, args))

    def after(self, span: int, what: Callable[..., None], *args: Any) -> None:
        self.at(self.now + span, what, *args)

    def run(self, until: int) -> None:
        """All that is due by then, and the clock stands there."""
        due = self._due
        while due and due[0][0] <= until:
            self.now, _, what, args = heappop(due)
            what(*args)
        self.now = max(self.now, until)
