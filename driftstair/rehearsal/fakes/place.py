"""The machine of a fake, simulated or on loopback: an event loop, a clock and sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from driftstair.net.system import Listener, System

DEFAULT_BACKLOG = 4096


class FakeMachine(Protocol):
    """The machine that a fake runs on. Times are ns since the start of the run."""

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
        """Converts a time of the run to Unix time in ms."""

    def reset(self, transport: asyncio.Transport) -> None:
        """Closes a connection with a reset."""

    def die(self) -> None:
        """Kills the fake's process."""

    def restart(self) -> None:
        """Starts a new process on the machine after `die`."""

    def vanish(self) -> None:
        """Cuts the machine off from the network without notice to its peers, until `come_back`."""

    def come_back(self) -> None:
        """Connects the machine to the network again."""


class Acceptor:
    """Accepts all connections to one address, each with a new protocol from `factory`."""

    def __init__(
        self, machine: FakeMachine, address: tuple[str, int], factory: Callable[[], asyncio.BaseProtocol],
        backlog: int = DEFAULT_BACKLOG,
    ) -> None:  # fmt: skip
        self._machine = machine
        self._factory = factory
        self._listener: Listener = machine.system.listen(address, backlog)
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
                return  # no descriptor is free, or the peer closed the connection already
            task = self._machine.loop.create_task(self._adopt(accepted))
            self._tasks[task] = None
            task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _adopt(self, accepted: object) -> None:
        await self._listener.adopt(self._factory, accepted)

    def close(self) -> None:
        """Closes the listening socket."""
        if self._open:
            self._open = False
            self._listener.pause()
            self._listener.close()
