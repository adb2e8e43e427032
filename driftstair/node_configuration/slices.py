"""Long work on the loop's turn, in slices: requests are served between them."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable

SLICE_NS = 500_000  # of work in one turn: with the step that ends it a fourth of the 2 ms that are allowed

SETTLE_STEPS = 256  # between two times that what was made is taken out of the collector's sight


def settle() -> None:
    """What lasts is not looked at again by the garbage collector, as after a start of the daemon. Guards
    against collections of 2 to 50 ms while a great state is built; young garbage is collected before."""
    gc.collect(0)
    gc.freeze()


class Slices:
    """`clock`: monotonic ns; `on_turn`: called before a turn ends. What is counted is for those who ask."""

    def __init__(self, clock: Callable[[], int], on_turn: Callable[[], None]) -> None:
        self._clock = clock
        self._on_turn = on_turn
        self._ends_ns = 0
        self.steps = 0  # ever
        self.turns = 0  # ever
        self.longest_step_ns = 0
        self._step_began_ns = 0

    def begin(self) -> None:
        """Work begins, or goes on after something was waited for."""
        self._step_began_ns = self._clock()
        self._ends_ns = self._step_began_ns + SLICE_NS

    async def after_step(self) -> None:
        """A step is done: leaves the turn to others once the slice is used up."""
        now_ns = self._clock()
        self.steps += 1
        if self.steps % SETTLE_STEPS == 0:
            settle()
        self.longest_step_ns = max(self.longest_step_ns, now_ns - self._step_began_ns)
        if now_ns >= self._ends_ns:
            self.turns += 1
            self._on_turn()
            await asyncio.sleep(0)
            self.begin()
        else:
            self._step_began_ns = now_ns
