"""The clock that jumps, and the one queue of everything that is still to happen.

Time is whole nanoseconds. What is due at the same moment happens in the order in which it was asked for, so a
run depends on nothing but its inputs: not on the machine, the hash seed or the collector.
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
    """Nothing can happen any more and the run has not ended; the text says what is waiting."""


class Runaway(Exception):
    """Time does not pass: some process asks for its next turn at once, again and again."""


TURNS_MOST = 1_000_000  # events in one moment: a process that never lets time pass is said, not waited for


class Event:
    """What the network does by itself, in no process: no more than a call. Half of all that happens is this,
    and an asyncio handle with its context costs three times as much."""

    __slots__ = ("_args", "_callback")
    _cancelled = False

    def __init__(self, callback: Callable[..., object], args: tuple[Any, ...]) -> None:
        self._callback = callback
        self._args = args

    def _run(self) -> None:
        self._callback(*self._args)


class Scheduler:
    """Runs the handles of all processes in the order of virtual time."""

    def __init__(self, epoch_ns: int = 0) -> None:
        self.now = 0  # ns since the start of the run; what `monotonic_ns` tells
        self.epoch = epoch_ns  # wall clock at the start, Unix time in ns
        self.events = 0  # that have happened, for measurements
        self._soon: deque[tuple[ProcessLoop, asyncio.Handle]] = deque()
        self._later: list[tuple[int, int, ProcessLoop, asyncio.Handle | Event]] = []
        self._order = 0
        self._stopped = False
        self.interrupted: Callable[[], bool] = lambda: False  # asked now and then: a person's Ctrl-C

    def soon(self, loop: ProcessLoop, handle: asyncio.Handle) -> None:
        self._soon.append((loop, handle))

    def at(self, when: int, loop: ProcessLoop, handle: asyncio.Handle | Event) -> None:
        """`when`: ns of virtual time; what is past happens next."""
        self._order += 1
        heappush(self._later, (when, self._order, loop, handle))

    def has_work(self, loop: ProcessLoop) -> bool:
        """Whether anything is still to happen in a process of itself; looks through the whole queue."""
        return any(one is loop and not handle._cancelled for one, handle in self._soon) or any(
            one is loop and not handle._cancelled for _, _, one, handle in self._later
        )

    def stop(self) -> None:
        """End `run` once the handle at work is done."""
        self._stopped = True

    def run(self, until: int, enter: Callable[[Any], None]) -> None:
        """Let everything happen until `stop` is called or `until` (ns) is reached; `enter` is told of each
        process whose turn begins. Raises Deadlock when nothing is left to happen before that."""
        self._stopped = False
        soon, later = self._soon, self._later
        current = None
        turns = 0
        handle: asyncio.Handle | Event
        try:
            while not self._stopped:
                if soon:
                    loop, handle = soon.popleft()
                    turns += 1
                    if turns > TURNS_MOST:
                        raise Runaway(f"at {self.now / SECOND:.3f} s {loop.name} never waits for anything")
                elif later:
                    when = later[0][0]
                    if when > until:
                        self.now = until
                        return
                    _, _, loop, handle = heappop(later)
                    if when > self.now:
                        self.now = when
                        turns = 0
                        if not self.events & 1023 and self.interrupted():
                            return
                else:
                    raise Deadlock("nothing is left to happen")
                if handle._cancelled or loop.dead:
                    continue
                if loop.held is not None:
                    loop.held.append(cast("asyncio.Handle", handle))
                    continue
                self.events += 1
                if loop is not current:
                    current = loop
                    enter(loop)
                handle._run()
        finally:
            enter(None)
