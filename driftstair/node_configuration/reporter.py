"""Reports to the watched control server what is in force at this node."""

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
from driftstair.net.kept_connection import CallError, PersistentConnection
from driftstair.net.system import System
from driftstair.node_configuration.servers import Address

log = logging.getLogger(__name__)

REPORTS_TARGET = "/configuration/reports"
REPORT_INTERVAL_MIN_S = 1.0
# Each report waits for a random time up to this, as a change comes into force on all nodes at about one time.
REPORT_DELAY_MAX_S = 0.5
REPEAT_INTERVAL_MAX_S = 60.0  # of reports without a change, so that no control server forgets the node
ANSWER_TIMEOUT_S = 3.0
RETRY_PAUSE_MAX_S = 30.0
ANSWER_BYTES_MAX = 16 << 10  # of one answer including its head
STATUS_ACCEPTED = 204


class Reporter:
    """Sends reports of what is in force to the watched control server.

    `report`: makes a report; `server`: returns the watched server, if any.
    """

    def __init__(
        self, report: Callable[[], NodeReport], server: Callable[[], Address | None], system: System,
        seed: int,
    ) -> None:  # fmt: skip
        self._report = report
        self._server = server
        self._system = system
        self._random = Random(seed ^ 0x4E90)
        self._backoff = Backoff(REPORT_INTERVAL_MIN_S, RETRY_PAUSE_MAX_S, seed ^ 0x4E91)
        self._report_requested = asyncio.Event()
        self._connection: PersistentConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self.accepted_reports = 0

    def start(self) -> None:
        """Starts sending reports."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def stop(self) -> None:
        """Stops sending reports and closes the connection."""
        if self._task is not None:
            self._task.cancel()
        self._drop_connection()

    def report_soon(self) -> None:
        """Requests a report: what is in force has changed, or another server is watched."""
        self._report_requested.set()

    async def _run(self) -> None:
        while True:
            await self._wait()
            self._report_requested.clear()
            server = self._server()
            if server is None:
                continue  # `report_soon` is called when a watch starts
            if await self._send(server):
                self._backoff.reset()
                await asyncio.sleep(REPORT_INTERVAL_MIN_S)
            else:
                self._report_requested.set()
                await asyncio.sleep(max(REPORT_INTERVAL_MIN_S, self._backoff.pause()))

    async def _wait(self) -> None:
        """Waits until the next report is due."""
        try:
            async with asyncio.timeout(REPEAT_INTERVAL_MAX_S * self._random.uniform(0.5, 1.0)):
                await self._report_requested.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._random.uniform(0.0, REPORT_DELAY_MAX_S))

    async def _send(self, server: Address) -> bool:
        """Sends a report; returns whether the server accepted it."""
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S + ANSWER_TIMEOUT_S):
                connection = await self._connect(server)
                status = (await connection.post(REPORTS_TARGET, encode(self._report()))).status
        except (OSError, TimeoutError, CallError) as error:
            log.warning("%s:%d: report not accepted: %s", *server, error or "no answer")
            self._drop_connection()
            return False
        if status != STATUS_ACCEPTED:
            log.warning("%s:%d: report not accepted: status %d", *server, status)
            return False
        self.accepted_reports += 1
        return True

    async def _connect(self, server: Address) -> PersistentConnection:
        """The open connection to this server, or a new one. Raises OSError."""
        if self._connection is None or self._connection.is_over or self._connection.address != server:
            self._drop_connection()
            create_connection = partial(PersistentConnection, server, ANSWER_BYTES_MAX)
            self._connection = cast(PersistentConnection, await self._system.dial(create_connection, server))
        return self._connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
