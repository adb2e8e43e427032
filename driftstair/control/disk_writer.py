"""Writes of a replica's disk, in a thread: one at a time, each of all that has come meanwhile.

So a slow sync holds up neither the loop nor more than one turn of acknowledgements. What the disk does not
take is tried again until it does.
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

RETRY_S = 0.5  # s between two tries to write what the disk does not take
LOG_EVERY = 120  # tries between two log lines about it


class DiskWriter:
    """`on_persisted` gets the number of the last Persist that is synced, `on_fault` a fault that is not the
    disk's: nothing is written after it. Owns the storage."""

    def __init__(
        self, storage: ReplicaStorage, on_persisted: Callable[[int], None], on_fault: Callable[[str], None]
    ) -> None:
        self.storage = storage
        self.problem = ""  # why the disk takes nothing now
        self._on_persisted = on_persisted
        self._on_fault = on_fault
        self._waiting: deque[Persist] = deque()
        self._filled = asyncio.Event()
        self._executor = ThreadPoolExecutor(1, "disk")
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())
        self._task.add_done_callback(self._on_end)

    def add(self, persist: Persist) -> None:
        self._waiting.append(persist)
        self._filled.set()

    def close(self) -> None:
        """Returns once a write that is under way is over."""
        if self._task is not None:
            self._task.cancel()
        self._executor.shutdown(wait=True)
        self.storage.close()

    async def _run(self) -> None:
        while True:
            await self._filled.wait()
            persist = self._take()
            await self._write(persist)
            self._on_persisted(persist.sequence)

    def _take(self) -> Persist:
        """All that waits, as one; what replaces the whole disk stands alone."""
        sequence, records = self._waiting.popleft()
        while self._waiting and not _replaces(records) and not _replaces(self._waiting[0].records):
            sequence, more = self._waiting.popleft()
            records += more
        if not self._waiting:
            self._filled.clear()
        return Persist(sequence, records)

    async def _write(self, persist: Persist) -> None:
        loop = asyncio.get_running_loop()
        tries = 0
        while True:
            try:
                await loop.run_in_executor(self._executor, self.storage.write, persist)
            except RecordWriteError as problem:
                self.problem = str(problem)
                if tries % LOG_EVERY == 0:
                    log.error("%s; serving on without acknowledging changes, and trying again", problem)
                tries += 1
                await asyncio.sleep(RETRY_S)
                continue
            if self.problem:
                log.info("the disk takes changes again")
                self.problem = ""
            return

    def _on_end(self, task: asyncio.Task[None]) -> None:
        problem = None if task.cancelled() else task.exception()
        if problem is not None:
            log.error("the disk is written to no more", exc_info=problem)
            self._on_fault(f"disk: {problem}")


def _replaces(records: tuple[object, ...]) -> bool:
    return any(isinstance(record, ReplaceRecord) for record in records)
