"""Writes a replica's records to disk in a thread, one batch at a time.

Each batch holds everything that was queued during the previous write. So a slow sync doesn't block the event
loop, and delays an acknowledgement by at most one other write. A failed write is retried until it succeeds.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from driftstair.control.replication.actions import Persist, ReplaceRecord
from driftstair.control.storage import ReplicaStorage
from driftstair.record_file import RecordWriteError

log = logging.getLogger(__name__)

RETRY_PAUSE_S = 0.5  # between two attempts at a failed write
LOG_EVERY_ATTEMPTS = 120  # between two log lines about a failing write


class DiskWriter:
    """Owns the storage. `on_persisted` gets the sequence number of the last Persist that is synced.
    `on_fault` gets the text of an error other than a failed write; nothing is written after it."""

    def __init__(
        self, storage: ReplicaStorage, on_persisted: Callable[[int], None], on_fault: Callable[[str], None]
    ) -> None:
        self.storage = storage
        self.problem = ""  # why writes fail at present; empty: they succeed
        self._on_persisted = on_persisted
        self._on_fault = on_fault
        self._queue: deque[Persist] = deque()
        self._queue_filled = asyncio.Event()
        self._executor = ThreadPoolExecutor(1, "disk")
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts writing. Has to be called in a running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._task.add_done_callback(self._on_task_done)

    def add(self, persist: Persist) -> None:
        """Queues records to be written."""
        self._queue.append(persist)
        self._queue_filled.set()

    def close(self) -> None:
        """Stops writing. Waits for a write in progress, and drops queued records."""
        if self._task is not None:
            self._task.cancel()
        self._executor.shutdown(wait=True)
        self.storage.close()

    async def _run(self) -> None:
        while True:
            await self._queue_filled.wait()
            persist = self._take_batch()
            await self._write(persist)
            self._on_persisted(persist.sequence)

    def _take_batch(self) -> Persist:
        """All queued records as one Persist; a record that replaces the whole file is in a Persist of its
        own."""
        sequence, records = self._queue.popleft()
        while self._queue and not _has_replacement(records) and not _has_replacement(self._queue[0].records):
            sequence, next_records = self._queue.popleft()
            records += next_records
        if not self._queue:
            self._queue_filled.clear()
        return Persist(sequence, records)

    async def _write(self, persist: Persist) -> None:
        loop = asyncio.get_running_loop()
        attempts = 0
        while True:
            try:
                await loop.run_in_executor(self._executor, self.storage.write, persist)
            except RecordWriteError as problem:
                self.problem = str(problem)
                if attempts % LOG_EVERY_ATTEMPTS == 0:
                    log.error("%s; serving on without acknowledging changes, and trying again", problem)
                attempts += 1
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if self.problem:
                log.info("the disk takes changes again")
                self.problem = ""
            return

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        problem = None if task.cancelled() else task.exception()
        if problem is not None:
            log.error("the disk writer failed; nothing more is written", exc_info=problem)
            self._on_fault(f"disk: {problem}")


def _has_replacement(records: tuple[object, ...]) -> bool:
    return any(isinstance(record, ReplaceRecord) for record in records)
