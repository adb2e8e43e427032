"""The way of replication messages to one other control server: `POST /replication` on a kept connection.

One request is in flight; messages that come meanwhile go with the next one, a line each. A message may be
lost: its sender repeats what matters, so nothing is sent twice here, and a failure empties the queue.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from random import Random

from driftstair.control.http_client import HttpClient
from driftstair.net.backoff import Backoff
from driftstair.net.kept_connection import CallError

log = logging.getLogger(__name__)

QUEUE_BYTES_MAX = 8 << 20  # waiting for one server; what is beyond it is lost
REQUEST_BYTES = 1 << 20  # of messages in one request, unless one message is longer
ANSWER_S_MAX = 2.0  # s; a server answers before it has synced anything
PAUSE_FIRST_S, PAUSE_S_MAX = 0.05, 0.5  # s between two tries to reach a server


class PeerLink:
    """Messages to the server at `address`; `target` names the sender."""

    def __init__(self, address: tuple[str, int], target: str) -> None:
        self.address = address
        self.lost = 0  # messages
        self._target = target
        self._client = HttpClient(address)
        self._queue: deque[bytes] = deque()
        self._queue_bytes = 0
        self._filled = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_reached = True
        seed = Random().getrandbits(64)
        self._backoff = Backoff(PAUSE_FIRST_S, PAUSE_S_MAX, seed)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: bytes) -> None:
        if self._queue_bytes + len(message) > QUEUE_BYTES_MAX and self._queue:
            self.lost += 1
            return
        self._queue.append(message)
        self._queue_bytes += len(message)
        self._filled.set()
        self._idle.clear()

    async def drained(self) -> None:
        """Returns once nothing waits to be sent or answered."""
        await self._idle.wait()

    def close(self) -> None:
        self._task.cancel()
        self._client.close()

    async def _run(self) -> None:
        while True:
            if not self._queue:
                self._idle.set()
            await self._filled.wait()
            try:
                response = await self._client.post(self._target, self._take(), ANSWER_S_MAX)
            except CallError as problem:
                await self._on_failure(str(problem))
                continue
            if response.status != 204:
                await self._on_failure(f"status {response.status}: {response.body[:200]!r}")
                continue
            self._backoff.reset()
            if not self._is_reached:
                log.info("server %s:%d is reached again", *self.address)
                self._is_reached = True

    def _take(self) -> bytes:
        """The lines of the next request."""
        lines: list[bytes] = []
        size = 0
        while self._queue and (not lines or size + len(self._queue[0]) <= REQUEST_BYTES):
            line = self._queue.popleft()
            lines.append(line)
            size += len(line)
        self._queue_bytes -= size
        if not self._queue:
            self._filled.clear()
        return b"\n".join(lines)

    async def _on_failure(self, why: str) -> None:
        if self._is_reached:
            log.warning("server %s:%d is not reached: %s", *self.address, why)
            self._is_reached = False
        self.lost += len(self._queue) + 1
        self._queue.clear()
        self._queue_bytes = 0
        self._filled.clear()
        await asyncio.sleep(self._backoff.pause())
