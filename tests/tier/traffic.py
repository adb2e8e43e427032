"""Client load on the nodes of a fleet."""

from __future__ import annotations

import asyncio

from fleet import Fleet
from rig import Client, request, status

REQUEST_INTERVAL_S = 0.002  # between two requests of one client


class Traffic:
    """One client per selected node, which sends the next request after each response. A client reconnects to
    a node that is unavailable."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self.statuses_by_node: dict[int, list[int]] = {}

    def start_clients(self, *nodes: int) -> None:
        """Starts clients of these nodes."""
        for node in nodes:
            self._tasks[node] = asyncio.create_task(self._send_requests(node))

    async def stop_clients(self, *nodes: int) -> None:
        """Stops the clients of these nodes, or all clients."""
        stopped_tasks = [self._tasks.pop(node) for node in nodes or tuple(self._tasks)]
        for task in stopped_tasks:
            task.cancel()
        await asyncio.gather(*stopped_tasks, return_exceptions=True)

    async def _send_requests(self, node: int) -> None:
        statuses = self.statuses_by_node.setdefault(node, [])
        while True:
            try:
                client = Client(*await asyncio.open_connection(*self._fleet.addresses[node]))
                while True:
                    statuses.append(status(await client.ask(request())))
                    await asyncio.sleep(REQUEST_INTERVAL_S)
            except (OSError, KeyError, EOFError):
                await asyncio.sleep(0.05)
