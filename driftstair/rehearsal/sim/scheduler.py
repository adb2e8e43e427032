"""The virtual clock and the event queue of a simulation.

Time is in whole nanoseconds and jumps from one event to the next. Events due at the same instant run in the
order in which they were scheduled, so that a run depends only on its inputs, and not on the machine, the hash
seed or the garbage collector.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import TYPE_CHECKING, Any, cast

if TYPE_CHECKING:
    import asyncio

    from driftstair.rehearsal.sim.loop import ProcessLoop

SECOND = 1_000_000_000  # ns


class Deadlock(Exception):
    """No event is left and the run has not ended."""


class Runaway(Exception):
    """Virtual time does not advance, because a process schedules callbacks for the same instant without
    end."""


EVENTS_PER_INSTANT_MAX = 1_000_000  # beyond this many, a process that never lets time advance is reported


class NetworkEvent:
    """A callback of the network, which belongs to no process. Half of all events are of this type, and an
    asyncio handle with its context costs three times as much."""

    __slots__ = ("_args", "_callback")
    _cancelled = False

    def __init__(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self._callback = callback
        self._args = args

    def _run(self) -> None:
        self._callback(*self._args)


class Scheduler:
    """Runs the handles of all processes in the order of virtual time. `epoch_ns`: the wall clock (Unix time)
    at the start of the run."""

    def __init__(self, epoch_ns: int = 0) -> None:
        self.now = 0  # ns since the start of the run; the value of `monotonic_ns`
        self.epoch_ns = epoch_ns  # wall clock at the start, Unix time in ns
        self.event_count = 0  # handles run so far, for measurements
        self._ready: deque[tuple[ProcessLoop, asyncio.Handle]] = deque()
        self._timers: list[tuple[int, int, ProcessLoop, asyncio.Handle | NetworkEvent]] = []
        self._last_sequence = 0
        self._stopped = False
        self.is_interrupted: Callable[[], bool] = lambda: False  # polled at intervals, for the user's Ctrl-C

    def add_ready(self, loop: ProcessLoop, handle: asyncio.Handle) -> None:
        """Schedules a handle for the current instant."""
        self._ready.append((loop, handle))

    def add_timer(self, when: int, loop: ProcessLoop, handle: asyncio.Handle | NetworkEvent) -> None:
        """Schedules a handle for a time (ns of virtual time); one in the past runs next."""
        self._last_sequence += 1
        heappush(self._timers, (when, self._last_sequence, loop, handle))

    def has_work(self, loop: ProcessLoop) -> bool:
        """Whether a handle of this process is still scheduled. Searches the whole queue."""
        return any(owner is loop and not handle._cancelled for owner, handle in self._ready) or any(
            owner is loop and not handle._cancelled for _, _, owner, handle in self._timers
        )

    def stop(self) -> None:
        """Ends `run` once the current handle returns."""
        self._stopped = True

    def run(self, until: int, set_running_loop: Callable[[Any], None]) -> None:
        """Runs events until `stop` is called or `until` (ns) is reached. `set_running_loop` is called with
        the loop of each process whose turn begins, and with None at the end. Raises Deadlock if no event is
        left before that, and Runaway if time no longer advances."""
        self._stopped = False
        ready, timers = self._ready, self._timers
        current_loop = None
        events_at_instant = 0
        handle: asyncio.Handle | NetworkEvent
        try:
            while not self._stopped:
                if ready:
                    loop, handle = ready.popleft()
                    events_at_instant += 1
                    if events_at_instant > EVENTS_PER_INSTANT_MAX:
                        raise Runaway(f"at {self.now / SECOND:.3f} s {loop.name} never waits for anything")
                elif timers:
                    when = timers[0][0]
                    if when > until:
                        self.now = until
                        return
                    _, _, loop, handle = heappop(timers)
                    if when > self.now:
                        self.now = when
                        events_at_instant = 0
                        if not self.event_count & 1023 and self.is_interrupted():
                            return
                else:
                    raise Deadlock("nothing is left to happen")
                if handle._cancelled or loop.dead:
                    continue
                if loop.suspended_handles is not None:
                    loop.suspended_handles.append(cast("asyncio.Handle", handle))
                    continue
                self.event_count += 1
                if loop is not current_loop:
                    current_loop = loop
                    set_running_loop(loop)
                handle._run()
        finally:
            set_running_loop(None)
