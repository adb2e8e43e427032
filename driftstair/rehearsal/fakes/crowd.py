"""Connections that send no whole request, opened at a fixed rate and kept until the node closes them."""

from __future__ import annotations

import asyncio
from typing import cast

from driftstair.rehearsal.fakes.front import FrontLayer
from driftstair.rehearsal.fakes.place import FakeMachine

OPEN_CONNECTIONS_MAX = 2000  # connections open at a time, even if the node closes none
PARTIAL_REQUEST = b"GET /api HTTP/1.1\r\nX-Cl"


class SilentCrowd:
    """Opens `per_s` connections per second. With `begin` each sends the beginning of a request, otherwise
    nothing."""

    def __init__(self, machine: FakeMachine, front: FrontLayer, per_s: float, begin: bool) -> None:
        self.connections: dict[_SilentConnection, None] = {}
        self._machine = machine
        self._front = front
        self._interval_s = 1.0 / per_s
        self._sends_partial_request = begin
        self._running = False
        self._next_at = 0.0
        self._tasks: dict[asyncio.Task[None], None] = {}

    def start(self) -> None:
        """Starts opening connections."""
        self._running = True
        self._next_at = self._machine.loop.time()
        self._open_due()

    def stop(self) -> None:
        """Opens no more connections and closes the open ones."""
        self._running = False
        for connection in list(self.connections):
            connection.close()

    def _open_due(self) -> None:
        """Opens all connections that are due: timers of a real event loop have a resolution of 1 ms."""
        if not self._running:
            return
        while self._next_at <= self._machine.loop.time():
            self._next_at += self._interval_s
            node = self._front.pick()
            if node is not None and len(self.connections) + len(self._tasks) < OPEN_CONNECTIONS_MAX:
                task = self._machine.loop.create_task(self._connect(self._front.addresses[node]))
                self._tasks[task] = None
                task.add_done_callback(lambda done: self._tasks.pop(done, None))
        self._machine.loop.call_later(max(0.0, self._next_at - self._machine.loop.time()), self._open_due)

    async def _connect(self, address: tuple[str, int]) -> None:
        try:
            async with asyncio.timeout(2.0):
                await self._machine.system.dial(lambda: _SilentConnection(self), address)
        except (OSError, TimeoutError):
            return

    def add(self, connection: _SilentConnection) -> bytes:
        """Registers an established connection; returns what it sends first."""
        self.connections[connection] = None
        if not self._running:
            connection.close()
        return PARTIAL_REQUEST if self._sends_partial_request else b""

    def remove(self, connection: _SilentConnection) -> None:
        """Removes a closed connection."""
        self.connections.pop(connection, None)


class _SilentConnection(asyncio.Protocol):
    """A connection that sends nothing, or the beginning of a request."""

    def __init__(self, crowd: SilentCrowd) -> None:
        self._crowd = crowd
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        first_bytes = self._crowd.add(self)
        if first_bytes:
            self._transport.write(first_bytes)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._crowd.remove(self)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()
