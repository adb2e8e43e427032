"""Clients of the nodes of a fleet."""

from __future__ import annotations

import asyncio

from fleet import Fleet
from rig import Client, request, status

PAUSE = 0.002  # s between two requests of one client


class Traffic:
    """Clients that ask some nodes as fast as they are answered, until it is closed. A node that is not there
    is tried again."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self.answered: dict[int, list[int]] = {}

    def on(self, *nodes: int) -> None:
        for node in nodes:
            self._tasks[node] = asyncio.create_task(self._ask(node))

    async def off(self, *nodes: int) -> None:
        gone = [self._tasks.pop(node) for node in nodes or tuple(self._tasks)]
        for task in gone:
            task.cancel()
        await asyncio.gather(*gone, return_exceptions=True)

    async def _ask(self, node: int) -> None:
        answers = self.answered.setdefault(node, [])
        while True:
            try:
                client = Client(*await asyncio.open_connection(*self._fleet.addresses[node]))
                while True:
                    answers.append(status(await client.ask(request())))
                    await asyncio.sleep(PAUSE)
            except (OSError, KeyError, EOFError):
                await asyncio.sleep(0.05)
