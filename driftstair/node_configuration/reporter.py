"""Tells the control server that is watched what is in force here."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from random import Random
from typing import cast

from driftstair.configuration.messages import NodeReport, encode
from driftstair.net.backoff import Backoff
from driftstair.net.discovery import DIAL_TIMEOUT_S
from driftstair.net.kept_connection import CallError, KeptConnection
from driftstair.net.system import System
from driftstair.node_configuration.servers import Address

log = logging.getLogger(__name__)

TARGET = "/configuration/reports"
INTERVAL_S = 1.0  # s between two reports, at least
SPREAD_S = 0.5  # s, the longest that a report waits: a change is in force on all nodes at one time, about
UNCHANGED_S = 60.0  # s until what is known already is said again, so that a control server forgets no node
ANSWER_S = 3.0  # s to the answer
PAUSE_MAX_S = 30.0  # s between two tries in vain, at most
ANSWER_BYTES_MAX = 16 << 10  # of one answer, its head with it
TAKEN = 204


class Reporter:
    """`report`: what is in force now; `server`: the one that is watched, if any."""

    def __init__(
        self, report: Callable[[], NodeReport], server: Callable[[], Address | None], system: System,
        seed: int,
    ) -> None:  # fmt: skip
        self._report = report
        self._server = server
        self._system = system
        self._random = Random(seed ^ 0x4E90)
        self._backoff = Backoff(INTERVAL_S, PAUSE_MAX_S, seed ^ 0x4E91)
        self._wanted = asyncio.Event()
        self._connection: KeptConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self.sent = 0  # reports that were taken

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._drop_connection()

    def changed(self) -> None:
        """Something else is in force, or another server is watched: it is said soon."""
        self._wanted.set()

    async def _run(self) -> None:
        while True:
            await self._wait()
            self._wanted.clear()
            server = self._server()
            if server is None:
                continue  # a watch that begins calls `changed`
            if await self._send(server):
                self._backoff.reset()
                await asyncio.sleep(INTERVAL_S)
            else:
                self._wanted.set()
                await asyncio.sleep(max(INTERVAL_S, self._backoff.pause()))

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(UNCHANGED_S * self._random.uniform(0.5, 1.0)):
                await self._wanted.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._random.uniform(0.0, SPREAD_S))

    async def _send(self, server: Address) -> bool:
        """Whether the server has taken a report."""
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S + ANSWER_S):
                connection = await self._connect(server)
                status = (await connection.post(TARGET, encode(self._report()))).status
        except (OSError, TimeoutError, CallError) as problem:
            log.warning("%s:%d: no report: %s", *server, problem or "no answer")
            self._drop_connection()
            return False
        if status != TAKEN:
            log.warning("%s:%d: no report: status %d", *server, status)
            return False
        self.sent += 1
        return True

    async def _connect(self, server: Address) -> KeptConnection:
        """Raises OSError."""
        if self._connection is None or self._connection.is_over or self._connection.address != server:
            self._drop_connection()
            make = partial(KeptConnection, server, ANSWER_BYTES_MAX)
            self._connection = cast(KeptConnection, await self._system.dial(make, server))
        return self._connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
