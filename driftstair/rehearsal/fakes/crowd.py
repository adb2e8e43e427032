"""Strangers that connect and ask for nothing, as fast as they are told to, until they are closed."""

from __future__ import annotations

import asyncio
from typing import cast

from driftstair.rehearsal.fakes.front import FrontLayer
from driftstair.rehearsal.fakes.place import Place

OPEN_MOST = 2000  # connections of one crowd at a time: it is bounded whatever the node does
BEGIN = b"GET /api HTTP/1.1\r\nX-Cl"


class SilentCrowd:
    def __init__(self, place: Place, front: FrontLayer, per_s: float, begin: bool) -> None:
        self.open: dict[_Stranger, None] = {}
        self._place = place
        self._front = front
        self._every = 1.0 / per_s
        self._begin = begin
        self._coming = False
        self._due = 0.0
        self._tasks: dict[asyncio.Task[None], None] = {}

    def come(self) -> None:
        self._coming = True
        self._due = self._place.loop.time()
        self._next()

    def stop(self) -> None:
        """No more come, and those that are there leave."""
        self._coming = False
        for stranger in list(self.open):
            stranger.leave()

    def _next(self) -> None:
        """All whose time has come: a real loop counts in whole milliseconds."""
        if not self._coming:
            return
        while self._due <= self._place.loop.time():
            self._due += self._every
            node = self._front.pick()
            if node is not None and len(self.open) + len(self._tasks) < OPEN_MOST:
                task = self._place.loop.create_task(self._connect(self._front.addresses[node]))
                self._tasks[task] = None
                task.add_done_callback(lambda done: self._tasks.pop(done, None))
        self._place.loop.call_later(max(0.0, self._due - self._place.loop.time()), self._next)

    async def _connect(self, address: tuple[str, int]) -> None:
        try:
            async with asyncio.timeout(2.0):
                await self._place.system.dial(lambda: _Stranger(self), address)
        except (OSError, TimeoutError):
            return

    def entered(self, stranger: _Stranger) -> bytes:
        self.open[stranger] = None
        if not self._coming:
            stranger.leave()
        return BEGIN if self._begin else b""

    def left(self, stranger: _Stranger) -> None:
        self.open.pop(stranger, None)


class _Stranger(asyncio.Protocol):
    def __init__(self, crowd: SilentCrowd) -> None:
        self._crowd = crowd
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        begin = self._crowd.entered(self)
        if begin:
            self._transport.write(begin)

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._crowd.left(self)

    def leave(self) -> None:
        if self._transport is not None:
            self._transport.close()
