"""Where a fake stands: a machine with a loop, a clock and sockets, simulated or real."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from driftstair.net.system import Listener, System

BACKLOG = 4096


class Place(Protocol):
    """One machine. Times are ns since the start of the run."""

    @property
    def name(self) -> str: ...

    @property
    def host(self) -> str: ...

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...

    @property
    def system(self) -> System: ...

    def now(self) -> int: ...

    def unix_ms(self, at: int) -> int:
        """A time of the run on the wall clock, in ms."""

    def reset(self, transport: asyncio.Transport) -> None:
        """End a connection so that its peer sees a reset."""

    def die(self) -> None:
        """Its process is killed; `restart` gives the machine another one."""

    def restart(self) -> None: ...

    def vanish(self) -> None:
        """Cut off in silence, until `come_back`."""

    def come_back(self) -> None: ...


class Acceptor:
    """Takes in all that connect to one address, each with a protocol of `factory`'s making."""

    def __init__(
        self, place: Place, address: tuple[str, int], factory: Callable[[], asyncio.BaseProtocol],
        backlog: int = BACKLOG,
    ) -> None:  # fmt: skip
        self._place = place
        self._factory = factory
        self._listener: Listener = place.system.listen(address, backlog)
        self.address = self._listener.address
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._open = True
        self._listener.resume(self._accept)

    def _accept(self) -> None:
        while self._open:
            try:
                accepted = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return  # no descriptor left, or that one is gone already
            task = self._place.loop.create_task(self._adopt(accepted))
            self._tasks[task] = None
            task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _adopt(self, accepted: object) -> None:
        await self._listener.adopt(self._factory, accepted)

    def close(self) -> None:
        if self._open:
            self._open = False
            self._listener.pause()
            self._listener.close()
