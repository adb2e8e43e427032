"""Sends replication messages to one other control server: `POST /replication` on a persistent connection.

One request is in flight at a time. Messages queued in the meantime go into the next request, one per line.
Messages may be lost, since replication repeats what is needed: after a failure nothing is sent again, and the
queue is cleared.
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

QUEUE_BYTES_MAX = 8 << 20  # further messages are dropped
REQUEST_BYTES_TARGET = 1 << 20  # of messages in one request; exceeded only by a single longer message
ANSWER_TIMEOUT_S = 2.0  # a server answers before it syncs anything to disk
RETRY_PAUSE_FIRST_S, RETRY_PAUSE_MAX_S = 0.05, 0.5  # between two attempts to reach a server


class PeerLink:
    """Sends messages to the server at `address`. `target` is the request target, which names the sender."""

    def __init__(self, address: tuple[str, int], target: str) -> None:
        self.address = address
        self.lost_messages = 0
        self._target = target
        self._client = HttpClient(address)
        self._queue: deque[bytes] = deque()
        self._queue_bytes = 0
        self._queue_filled = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_reachable = True
        seed = Random().getrandbits(64)
        self._backoff = Backoff(RETRY_PAUSE_FIRST_S, RETRY_PAUSE_MAX_S, seed)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: bytes) -> None:
        """Queues a message; drops it if the queue is full."""
        if self._queue_bytes + len(message) > QUEUE_BYTES_MAX and self._queue:
            self.lost_messages += 1
            return
        self._queue.append(message)
        self._queue_bytes += len(message)
        self._queue_filled.set()
        self._idle.clear()

    async def wait_until_idle(self) -> None:
        """Returns once no message is queued and no request is in flight."""
        await self._idle.wait()

    def close(self) -> None:
        """Stops sending and closes the connection."""
        self._task.cancel()
        self._client.close()

    async def _run(self) -> None:
        while True:
            if not self._queue:
                self._idle.set()
            await self._queue_filled.wait()
            try:
                response = await self._client.post(self._target, self._take_batch(), ANSWER_TIMEOUT_S)
            except CallError as problem:
                await self._on_failure(str(problem))
                continue
            if response.status != 204:
                await self._on_failure(f"status {response.status}: {response.body[:200]!r}")
                continue
            self._backoff.reset()
            if not self._is_reachable:
                log.info("server %s:%d is reached again", *self.address)
                self._is_reachable = True

    def _take_batch(self) -> bytes:
        """Removes the messages of the next request from the queue and returns its body."""
        lines: list[bytes] = []
        size = 0
        while self._queue and (not lines or size + len(self._queue[0]) <= REQUEST_BYTES_TARGET):
            line = self._queue.popleft()
            lines.append(line)
            size += len(line)
        self._queue_bytes -= size
        if not self._queue:
            self._queue_filled.clear()
        return b"\n".join(lines)

    async def _on_failure(self, why: str) -> None:
        if self._is_reachable:
            log.warning("server %s:%d is not reached: %s", *self.address, why)
            self._is_reachable = False
        self.lost_messages += len(self._queue) + 1
        self._queue.clear()
        self._queue_bytes = 0
        self._queue_filled.clear()
        await asyncio.sleep(self._backoff.pause())
