"""Runs long work on the event loop in time slices, so that requests are served between them."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

# Work in one turn of the event loop. Together with the step that ends it, this is a fourth of the 2 ms that
# are allowed.
SLICE_NS = 500_000

FREEZE_INTERVAL_STEPS = 128  # between two calls of `freeze_survivors`


def freeze_survivors() -> None:
    """Exempts long-lived objects from garbage collection, as the daemon does after its start.

    Otherwise collections take 2 to 50 ms while a large state is built. Young garbage is collected first.
    """
    gc.collect(0)
    gc.freeze()


class TimeSlicer:
    """Yields to the event loop when a time slice is used up, and counts steps and turns for diagnostics.

    `clock`: returns monotonic ns; `on_turn_end`: called before each yield.
    """

    def __init__(self, clock: Callable[[], int], on_turn_end: Callable[[], None]) -> None:
        self._clock = clock
        self._on_turn_end = on_turn_end
        self._slice_end_ns = 0
        self.steps = 0  # since the start of the process
        self.turns = 0  # since the start of the process
        self.longest_step_ns = 0
        self._step_start_ns = 0

    def start_slice(self) -> None:
        """Starts a slice: work starts, or continues after waiting for something."""
        self._step_start_ns = self._clock()
        self._slice_end_ns = self._step_start_ns + SLICE_NS

    async def after_step(self) -> None:
        """To be called after each step: yields to the event loop once the slice is used up."""
        now_ns = self._clock()
        self.steps += 1
        if self.steps % FREEZE_INTERVAL_STEPS == 0:
            freeze_survivors()
        self.longest_step_ns = max(self.longest_step_ns, now_ns - self._step_start_ns)
        if now_ns >= self._slice_end_ns:
            self.turns += 1
            self._on_turn_end()
            await asyncio.sleep(0)
            self.start_slice()
        else:
            self._step_start_ns = now_ns
