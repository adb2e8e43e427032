"""The simple load balancer in front of the nodes: a round robin over the nodes that it considers up.

It adds a node once `GET /up` answers 200, and notices only after some seconds that one has died.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import cast

from driftstair.rehearsal.fakes.http1 import MessageReader, WireError, status_of
from driftstair.rehearsal.fakes.place import FakeMachine

PROBE_INTERVAL_S = 0.1
DRAIN_NOTICE_S = (0.2, 0.4)  # from SIGTERM to the last new connections
PROBE_TIMEOUT_S = 2.0


class FrontLayer:
    """Assigns requests to nodes in rotation. `notice_s`: how long a dead node still gets requests. `weights`:
    turns per rotation of each node that has more than one."""

    def __init__(
        self, machine: FakeMachine, nodes: list[str], notice_s: float, random: Random,
        weights: dict[str, int] | None = None,
    ) -> None:  # fmt: skip
        self.addresses: dict[str, tuple[str, int]] = {}
        self._machine = machine
        # A node with a weight appears so many times in the rotation.
        self._rotation = (
            nodes if not weights else [node for node in nodes for _ in range(weights.get(node, 1))]
        )
        if weights:
            random.shuffle(self._rotation)
        self._notice_s = notice_s
        self._random = random
        self._up: dict[str, bool] = dict.fromkeys(nodes, False)
        # Events of an earlier generation of a node are ignored.
        self._generations: dict[str, int] = dict.fromkeys(nodes, 0)
        self._position = 0
        self._tasks: dict[asyncio.Task[None], None] = {}

    def pick(self) -> str | None:
        """The next node in the rotation; None while no node is considered up."""
        for _ in self._rotation:
            self._position = (self._position + 1) % len(self._rotation)
            if self._up[self._rotation[self._position]]:
                return self._rotation[self._position]
        return None

    def is_up(self, node: str) -> bool:
        """Whether a node is considered up."""
        return self._up[node]

    def node_starts(self, node: str, address: tuple[str, int], on_ready: Callable[[], None]) -> None:
        """A node was started: probes it until it is up, and then calls `on_ready`."""
        self.addresses[node] = address
        self._generations[node] += 1
        task = self._machine.loop.create_task(self._probe_until_up(node, self._generations[node], on_ready))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def node_dies(self, node: str) -> None:
        """A node died, which this layer notices after a while."""
        self._generations[node] += 1
        self._machine.loop.call_later(self._notice_s, self._drop, node, self._generations[node])

    def node_ends(self, node: str) -> None:
        """A node was asked to end, and this layer was informed of it."""
        self._generations[node] += 1
        self._machine.loop.call_later(
            self._random.uniform(*DRAIN_NOTICE_S), self._drop, node, self._generations[node]
        )

    def _drop(self, node: str, generation: int) -> None:
        if self._generations[node] == generation:
            self._up[node] = False

    async def _probe_until_up(self, node: str, generation: int, on_ready: Callable[[], None]) -> None:
        while self._generations[node] == generation:
            if await self._probe(node):
                if self._generations[node] == generation:
                    self._up[node] = True
                    on_ready()
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, node: str) -> bool:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                protocol = await self._machine.system.dial(_UpProbe, self.addresses[node])
                return await cast(_UpProbe, protocol).answer
        except (OSError, TimeoutError, WireError):
            return False


class _UpProbe(asyncio.Protocol):
    """One `GET /up`; the future tells whether the answer was 200."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._reader = MessageReader()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.write(b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        try:
            messages = self._reader.feed(data, 0)
            status = status_of(messages[0].start_line) if messages else 0
        except WireError:
            status = -1
        if status and not self.answer.done():
            self.answer.set_result(status == 200)
            assert self._transport is not None
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.answer.done():
            self.answer.set_result(False)
