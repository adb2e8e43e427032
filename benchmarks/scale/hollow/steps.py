"""How long one turn of a node's control holds the loop: its own processor time, however busy a machine."""

from __future__ import annotations

import time

from driftstair.tier.service import Tier

LONG_NS = 2_000_000  # no step of control may hold a node's loop for longer


class Steps:
    """Of all nodes of a process."""

    def __init__(self) -> None:
        self.count = 0
        self.long = 0  # over LONG_NS
        self.longest = 0  # ns

    def begin_anew(self) -> None:
        self.count = self.long = self.longest = 0

    def note(self, spent: int) -> None:
        """ns of processor time."""
        self.count += 1
        self.long += spent > LONG_NS
        self.longest = max(self.longest, spent)


class TimedTier(Tier):
    """The shipped tier; each timer and each datagram that it handles is timed."""

    steps: Steps

    def _wake(self) -> None:
        began = time.thread_time_ns()
        super()._wake()
        self.steps.note(time.thread_time_ns() - began)

    def _on_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        began = time.thread_time_ns()
        super()._on_datagram(data, source)
        self.steps.note(time.thread_time_ns() - began)
