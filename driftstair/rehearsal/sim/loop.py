"""One simulated process's asyncio event loop, on the shared queue of virtual time.

Each process has a loop of its own, so that it can be killed: a dead loop runs nothing more and takes nothing
more, as a process that is gone. Only what this project's daemon and fakes use of an event loop is here;
anything else raises NotImplementedError by name (`asyncio.AbstractEventLoop`).
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable, Coroutine, Generator
from typing import Any, TypeVar

from driftstair.rehearsal.sim.scheduler import SECOND, Scheduler

_T = TypeVar("_T")


class ProcessLoop(asyncio.AbstractEventLoop):
    """`on_crash` hears of each exception that a callback or a task let out: (message, exception)."""

    def __init__(
        self, scheduler: Scheduler, name: str, on_crash: Callable[[str, BaseException | None], None]
    ) -> None:
        self.scheduler = scheduler
        self.name = name
        self.dead = False
        self.held: list[asyncio.Handle] | None = None  # of a process that stands still: what it will do
        self._on_crash = on_crash
        self._signals: dict[int, tuple[Callable[..., object], tuple[Any, ...]]] = {}
        self._tasks: dict[asyncio.Task[Any], None] = {}

    # Time.

    def time(self) -> float:
        return self.scheduler.now / SECOND

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        if not self.dead:
            self.scheduler.soon(self, handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        # Rounded up: a timer that came early would find nothing due yet.
        return self.call_at_ns(self.scheduler.now + max(0, -int(-delay * SECOND // 1)), callback, *args,
                               context=context)  # fmt: skip

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        return self.call_at_ns(-int(-when * SECOND // 1), callback, *args, context=context)

    def call_at_ns(
        self, when: int, callback: Callable[..., object], *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        """As `call_at`, in whole ns of virtual time."""
        handle = asyncio.TimerHandle(when / SECOND, callback, args, self, context)
        if not self.dead:
            self.scheduler.at(when, self, handle)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """The queue passes over it when its time comes."""

    def stand_still(self) -> None:
        """As SIGSTOP: what becomes due waits."""
        if self.held is None:
            self.held = []

    def go_on(self) -> None:
        held, self.held = self.held or [], None
        for handle in held:
            self.scheduler.soon(self, handle)

    # Futures and tasks.

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Coroutine[Any, Any, _T] | Generator[Any, None, _T], *, name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[_T]:  # fmt: skip
        task: asyncio.Task[_T] = asyncio.Task(coro, loop=self, name=name, context=context)
        self._tasks[task] = None  # held here as a process holds them; the collector decides nothing
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (problem := task.exception()) is not None:
            # Said when it happens: asyncio says it only once the collector comes by.
            task._log_traceback = False
            self._on_crash(f"task {task.get_coro()!s:.60}", problem)

    # What goes wrong.

    def get_debug(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not self.dead:
            self._on_crash(str(context.get("message", "unhandled")), context.get("exception"))

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.call_exception_handler(context)

    # Signals and the end.

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: Any) -> None:  # type: ignore[override]
        self._signals[sig] = (callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self._signals.pop(sig, None) is not None

    def signal(self, sig: int) -> bool:
        """A signal arrives; False if the process has no handler and the signal's default would end it."""
        if self.dead or sig not in self._signals:
            return False
        callback, args = self._signals[sig]
        self.call_soon(callback, *args)
        return True

    def kill(self) -> None:
        """At once and with no last word, as SIGKILL."""
        self.dead = True
        self._signals.clear()
        for task in self._tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]

    def is_running(self) -> bool:
        return not self.dead

    def is_closed(self) -> bool:
        return self.dead

    def close(self) -> None:
        self.kill()

    def waiting(self) -> list[str]:
        """The tasks that are not done, for those who ask why nothing happens."""
        return [getattr(task.get_coro(), "__qualname__", task.get_name()) for task in self._tasks]


def enter(loop: ProcessLoop | None) -> None:
    """The process whose turn it is; `asyncio.get_running_loop` finds its loop."""
    asyncio._set_running_loop(loop)
