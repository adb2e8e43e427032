"""Detects stalls of the event loop and bounds the age of the events that it handles after one.

A process that is stopped, or waits for a CPU, handles events later than they happened. Where the kernel keeps
no time of an event, as for a signal, the last time at which the loop is known to have run bounds its age.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

TICK_INTERVAL_S = 0.05
STALL_NS_MIN = 50_000_000  # beyond the tick interval; shorter delays are normal scheduling noise


class LoopMonitor:
    """Checks the clock at each tick on the running loop, once started."""

    def __init__(self, monotonic_ns: Callable[[], int], on_stall: Callable[[int], None]) -> None:
        """`on_stall` is called with the length of each stall in ns."""
        self._now_ns = monotonic_ns
        self._on_stall = on_stall
        self._last_tick = monotonic_ns()
        self._stalled_since = 0  # the last tick before a stall that has just ended; 0: none
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        self._last_tick = self._now_ns()
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        stall_ns = self._stall_ns(self._now_ns())
        # Kept until the next tick, as the loop runs its timers, this one included, before it reads sockets.
        self._stalled_since = self._last_tick if stall_ns else 0
        self.start()
        if stall_ns:
            self._on_stall(stall_ns)

    def _stall_ns(self, now: int) -> int:
        beyond = now - self._last_tick - int(TICK_INTERVAL_S * 1e9)
        return beyond if beyond >= STALL_NS_MIN else 0

    def earliest_event_time(self) -> int:
        """The earliest time (monotonic ns) at which an event handled now can have happened: now or, after a
        stall, the last tick before the stall."""
        now = self._now_ns()
        return self._stalled_since or (self._last_tick if self._stall_ns(now) else now)

    def has_just_stalled(self) -> bool:
        """Whether the loop has just resumed, so that data received during the stall may still be unread."""
        return bool(self._stalled_since) or bool(self._stall_ns(self._now_ns()))
