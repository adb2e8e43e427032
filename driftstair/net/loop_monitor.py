"""Whether the event loop runs: how long it was held up, and how old what it handles now may be.

A process that is stopped, or waits for its core, handles events later than they happened. Where the kernel
keeps no time of an event (a signal), the last moment in which the loop is known to have run bounds its age.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

TICK_S = 0.05  # s between two looks at the clock
HELD_LEAST = 50_000_000  # ns beyond a tick that count as held up: less is the machine's usual noise


class LoopMonitor:
    """Ticks on the running loop from `start` on."""

    def __init__(self, monotonic_ns: Callable[[], int], on_held: Callable[[int], None]) -> None:
        """`on_held` hears for how long, in ns, the loop did not run."""
        self._now = monotonic_ns
        self._on_held = on_held
        self._last_tick = monotonic_ns()
        self._held_since = 0  # of a hold that has only just ended, the tick before it; 0: there was none
        self._loop = asyncio.get_running_loop()

    def start(self) -> None:
        self._last_tick = self._now()
        self._loop.call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        held = self._held(self._now())
        # Until the next tick: the loop runs its timers, this one among them, before it reads what waits.
        self._held_since = self._last_tick if held else 0
        self.start()
        if held:
            self._on_held(held)

    def _held(self, now: int) -> int:
        beyond = now - self._last_tick - int(TICK_S * 1e9)
        return beyond if beyond >= HELD_LEAST else 0

    def earliest(self) -> int:
        """The earliest time (monotonic ns) at which what is handled now can have happened: now, or where the
        loop has not run, the last tick before."""
        now = self._now()
        return self._held_since or (self._last_tick if self._held(now) else now)

    def was_held(self) -> bool:
        """Whether the loop has only just gone on: what came meanwhile may be unread."""
        return bool(self._held_since) or bool(self._held(self._now()))
