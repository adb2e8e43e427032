"""Time dilation: clocks and timers of hollow nodes that run slower than the machine's by a factor.

(The method of Gupta et al., "To infinity and beyond: time-warped network emulation", NSDI 2006.) A node's
clock, its timers and so all its rates slow down together, so a node's work in a second of its own stays the
same, while a machine has more time for it. Only what takes real time by itself looks faster to the nodes: a
round trip over loopback, and how long a handler holds the loop.
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
    """For `asyncio.Runner`."""

    def make() -> DilatedLoop:
        loop = DilatedLoop()
        loop.dilation = dilation
        return loop

    return make


def dilated_ns(dilation: float) -> int:
    """The nodes' monotonic clock, the same in all processes of the machine."""
    return int(time.monotonic_ns() / dilation)
