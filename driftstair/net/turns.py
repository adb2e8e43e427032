"""Shares the turns of the event loop among connections that have more to do than one turn allows."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

CONNECTIONS_PER_TURN = 4  # whatever their number, as each turn delays all that is read next


class Continues(Protocol):
    """What goes on in a later turn."""

    def take_turn(self) -> None: ...


class TurnQueue:
    """Connections that wait to go on, first come first served. Each may join again as it goes on."""

    def __init__(self) -> None:
        self._waiting: deque[Continues] = deque()
        self._is_scheduled = False

    def add(self, connection: Continues) -> None:
        """`take_turn` of the connection is called in one of the next turns."""
        self._waiting.append(connection)
        if not self._is_scheduled:
            self._schedule()

    def _schedule(self) -> None:
        self._is_scheduled = True
        asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        loop = asyncio.get_running_loop()
        for _ in range(min(CONNECTIONS_PER_TURN, len(self._waiting))):
            # A callback of its own for each, so that an error of one does not hold up the others.
            loop.call_soon(self._waiting.popleft().take_turn)
        if self._waiting:
            self._schedule()
