"""The asyncio event loop of one simulated process, on the shared event queue of virtual time.

Each process has its own loop, so that it can be killed: a dead loop runs no callback and accepts no new one,
like a process that has ended. Only the parts of an event loop that this project's daemon and fakes use are
implemented; any other method raises NotImplementedError (`asyncio.AbstractEventLoop`).
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable, Coroutine, Generator
from typing import Any, TypeVar

from driftstair.rehearsal.sim.scheduler import SECOND, Scheduler

_T = TypeVar("_T")


class ProcessLoop(asyncio.AbstractEventLoop):
    """The event loop of one process. `on_crash(message, exception)` is called for each exception that a
    callback or a task does not handle."""

    def __init__(
        self, scheduler: Scheduler, name: str, on_crash: Callable[[str, BaseException | None], None]
    ) -> None:
        self.scheduler = scheduler
        self.name = name
        self.dead = False
        self.suspended_handles: list[asyncio.Handle] | None = None  # while suspended: what runs later
        self._on_crash = on_crash
        self._signal_handlers: dict[int, tuple[Callable[..., object], tuple[Any, ...]]] = {}
        self._tasks: dict[asyncio.Task[Any], None] = {}

    # Time and callbacks.

    def time(self) -> float:
        return self.scheduler.now / SECOND

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        handle = asyncio.Handle(callback, args, self, context)
        if not self.dead:
            self.scheduler.add_ready(self, handle)
        return handle

    call_soon_threadsafe = call_soon  # type: ignore[assignment]

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable[..., object], *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        # Rounded up: a timer that fires early would find nothing due yet.
        return self.call_at_ns(self.scheduler.now + max(0, -int(-delay * SECOND // 1)), callback, *args,
                               context=context)  # fmt: skip

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        return self.call_at_ns(-int(-when * SECOND // 1), callback, *args, context=context)

    def call_at_ns(
        self, when_ns: int, callback: Callable[..., object], *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:  # fmt: skip
        """Like `call_at`, with a time in whole nanoseconds of virtual time."""
        handle = asyncio.TimerHandle(when_ns / SECOND, callback, args, self, context)
        if not self.dead:
            self.scheduler.add_timer(when_ns, self, handle)
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Does nothing: the scheduler skips a cancelled handle when its time comes."""

    def suspend(self) -> None:
        """Suspends the process, like SIGSTOP: handles that become due are kept for `resume`."""
        if self.suspended_handles is None:
            self.suspended_handles = []

    def resume(self) -> None:
        """Continues a suspended process, like SIGCONT, and runs the handles that became due meanwhile."""
        handles, self.suspended_handles = self.suspended_handles or [], None
        for handle in handles:
            self.scheduler.add_ready(self, handle)

    # Futures and tasks.

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Coroutine[Any, Any, _T] | Generator[Any, None, _T], *, name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[_T]:  # fmt: skip
        task: asyncio.Task[_T] = asyncio.Task(coro, loop=self, name=name, context=context)
        self._tasks[task] = None  # keeps a reference: garbage collection must not affect a run
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.pop(task, None)
        if not task.cancelled() and (exception := task.exception()) is not None:
            # Reported at once: asyncio reports it only when the task is garbage-collected.
            task._log_traceback = False
            self._on_crash(f"task {task.get_coro()!s:.60}", exception)

    # Errors.

    def get_debug(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not self.dead:
            self._on_crash(str(context.get("message", "unhandled")), context.get("exception"))

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        self.call_exception_handler(context)

    # Signals and termination.

    def add_signal_handler(self, sig: int, callback: Callable[..., object], *args: Any) -> None:  # type: ignore[override]
        self._signal_handlers[sig] = (callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        return self._signal_handlers.pop(sig, None) is not None

    def deliver_signal(self, sig: int) -> bool:
        """Delivers a signal. Returns False if the process has no handler for it, so that the default action
        would end the process."""
        if self.dead or sig not in self._signal_handlers:
            return False
        callback, args = self._signal_handlers[sig]
        self.call_soon(callback, *args)
        return True

    def kill(self) -> None:
        """Ends the process at once, like SIGKILL."""
        self.dead = True
        self._signal_handlers.clear()
        for task in self._tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]

    def is_running(self) -> bool:
        return not self.dead

    def is_closed(self) -> bool:
        return self.dead

    def close(self) -> None:
        self.kill()

    def pending_tasks(self) -> list[str]:
        """The names of the tasks that are not done, to explain a deadlock."""
        return [getattr(task.get_coro(), "__qualname__", task.get_name()) for task in self._tasks]


def set_running_loop(loop: ProcessLoop | None) -> None:
    """Makes a process the running one: `asyncio.get_running_loop` returns its loop."""
    asyncio._set_running_loop(loop)
