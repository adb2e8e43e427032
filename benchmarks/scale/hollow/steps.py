"""Measures how long one step of a node's control blocks the event loop, as processor time, which does not
depend on the load of the machine."""

from __future__ import annotations

import time

from driftstair.tier.service import Tier

LONG_STEP_NS = 2_000_000  # the limit for one step of control


class StepTimes:
    """The processor time of the steps of all nodes of a process."""

    def __init__(self) -> None:
        self.count = 0
        self.long_count = 0  # steps over LONG_STEP_NS
        self.longest_ns = 0

    def reset(self) -> None:
        """Forgets all steps."""
        self.count = self.long_count = self.longest_ns = 0

    def add(self, cpu_ns: int) -> None:
        """Adds a step that took `cpu_ns` of processor time."""
        self.count += 1
        self.long_count += cpu_ns > LONG_STEP_NS
        self.longest_ns = max(self.longest_ns, cpu_ns)


class TimedTier(Tier):
    """The real tier, with each timer and each datagram that it handles timed."""

    steps: StepTimes

    def _wake(self) -> None:
        began_ns = time.thread_time_ns()
        super()._wake()
        self.steps.add(time.thread_time_ns() - began_ns)

    def _on_datagram(self, data: bytes, source: tuple[str, int]) -> None:
        began_ns = time.thread_time_ns()
        super()._on_datagram(data, source)
        self.steps.add(time.thread_time_ns() - began_ns)
