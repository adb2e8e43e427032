"""The plain layer before the nodes: it deals out requests among the nodes that it holds to be there, evenly
but for those that `times` names.

It takes in a node once `GET /up` has answered 200, and notices only after some seconds that one has died.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import cast

from driftstair.rehearsal.fakes.http1 import MessageReader, WireError, status_of
from driftstair.rehearsal.fakes.place import Place

ASK_EVERY = 0.1  # s
ENDING = (0.2, 0.4)  # s after SIGTERM in which new connections still come
ANSWER_WITHIN = 2.0  # s


class FrontLayer:
    def __init__(
        self, place: Place, nodes: list[str], notice: float, random: Random,
        times: dict[str, int] | None = None,
    ) -> None:  # fmt: skip
        self.addresses: dict[str, tuple[str, int]] = {}
        self._place = place
        # Those that see more than the others have so many turns.
        self._nodes = nodes if not times else [one for one in nodes for _ in range(times.get(one, 1))]
        if times:
            random.shuffle(self._nodes)
        self._notice = notice  # s
        self._random = random
        self._there: dict[str, bool] = dict.fromkeys(nodes, False)
        # A word on an earlier generation counts no more.
        self._generations: dict[str, int] = dict.fromkeys(nodes, 0)
        self._turn = 0
        self._tasks: dict[asyncio.Task[None], None] = {}

    def pick(self) -> str | None:
        """The next node in turn; None while none is held to be there."""
        for _ in self._nodes:
            self._turn = (self._turn + 1) % len(self._nodes)
            if self._there[self._nodes[self._turn]]:
                return self._nodes[self._turn]
        return None

    def has(self, node: str) -> bool:
        return self._there[node]

    def node_starts(self, node: str, address: tuple[str, int], ready: Callable[[], None]) -> None:
        """Ask until it says that it is up; `ready` is called then."""
        self.addresses[node] = address
        self._generations[node] += 1
        task = self._place.loop.create_task(self._ask(node, self._generations[node], ready))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def node_dies(self, node: str) -> None:
        self._generations[node] += 1
        self._place.loop.call_later(self._notice, self._drop, node, self._generations[node])

    def node_ends(self, node: str) -> None:
        """It was told to end, and so was this layer."""
        self._generations[node] += 1
        self._place.loop.call_later(self._random.uniform(*ENDING), self._drop, node, self._generations[node])

    def _drop(self, node: str, generation: int) -> None:
        if self._generations[node] == generation:
            self._there[node] = False

    async def _ask(self, node: str, generation: int, ready: Callable[[], None]) -> None:
        while self._generations[node] == generation:
            if await self._is_up(node):
                if self._generations[node] == generation:
                    self._there[node] = True
                    ready()
                return
            await asyncio.sleep(ASK_EVERY)

    async def _is_up(self, node: str) -> bool:
        try:
            async with asyncio.timeout(ANSWER_WITHIN):
                made = await self._place.system.dial(_UpQuestion, self.addresses[node])
                return await cast(_UpQuestion, made).answer
        except (OSError, TimeoutError, WireError):
            return False


class _UpQuestion(asyncio.Protocol):
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
            status = status_of(messages[0].first) if messages else 0
        except WireError:
            status = -1
        if status and not self.answer.done():
            self.answer.set_result(status == 200)
            assert self._transport is not None
            self._transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.answer.done():
            self.answer.set_result(False)
