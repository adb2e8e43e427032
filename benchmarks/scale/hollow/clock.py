"""Time dilation: the clocks and timers of hollow nodes run slower than those of the machine by a factor.

The method is that of Gupta et al., "To infinity and beyond: time-warped network emulation", NSDI 2006. A
node's clock, its timers and therefore all its rates slow down together. So the work of a node in one second
of its own clock stays the same, while the machine has more time for it. Only operations that take real time
seem faster to the nodes: a round trip over loopback, and the time for which a handler blocks the event loop.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import uvloop


class DilatedLoop(uvloop.Loop):
    """An event loop whose delays are in dilated seconds."""

    dilation = 1.0

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        return super().call_later(delay * self.dilation, callback, *args, context=context)


def loop_factory(dilation: float) -> Callable[[], asyncio.AbstractEventLoop]:
    """Returns a factory of dilated event loops for `asyncio.Runner`."""

    def make_loop() -> DilatedLoop:
        loop = DilatedLoop()
        loop.dilation = dilation
        return loop

    return make_loop


def dilated_ns(dilation: float) -> int:
    """Returns the time of the nodes' monotonic clock, which is the same in all processes of the machine."""
    return int(time.monotonic_ns() / dilation)
