"""The last applied state on disk: a snapshot, and the change sets since, as checksummed records.

Whatever is wrong with the disk, the node serves on: a file that can't be read is said and passed over, one
that can't be written is said once and tried again later with a whole snapshot.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Protocol

from driftstair.net.backoff import Backoff
from driftstair.net.system import System
from driftstair.node_configuration.records import Record, RecordError, check_header, encode_record
from driftstair.record_file import RecordFile, RecordFileError, RecordWriteError, read_records, sync_folder

log = logging.getLogger(__name__)

SUFFIX = ".configuration"
LOCK_SUFFIX = ".configuration-lock"
WRITE_RECORDS = 64  # of a snapshot in one write, up to some 1 MB: each write is synced
LOG_BYTES_MIN = 1 << 20  # of change sets behind a snapshot, before a new snapshot is worth its writes
RETRY_FIRST_S, RETRY_MAX_S = 5.0, 60.0  # s between two tries in vain


class _OutdatedError(Exception):
    """The state was replaced while a snapshot of it was written, or the node ends."""


class SnapshotSource(Protocol):
    """Whose state is kept."""

    between_sets: asyncio.Lock  # held by whoever needs a state of one revision, and while a set is applied

    def snapshot_records(self) -> Iterator[Record]:
        """Header and resources, a short step each. What changes meanwhile is appended to the store."""

    def snapshot_end(self) -> list[Record]:
        """What stands behind the change sets that were appended since the header."""


class ConfigurationStore:
    """One node's file: written anew as a snapshot, and then appended to."""

    def __init__(self, folder: Path, node: str, system: System, seed: int) -> None:
        self.path = folder / f"{node}{SUFFIX}"
        self._system = system
        self._backoff = Backoff(RETRY_FIRST_S, RETRY_MAX_S, seed ^ 0xD15C)
        self._source: SnapshotSource | None = None
        self._file: RecordFile | None = None
        self._snapshot_bytes = 0
        self._pending: list[Record] = []
        self._needs_snapshot = True  # the file does not hold what the pending sets go behind
        self._is_dirty = False  # there is something that the file does not hold
        self._lock_descriptor = -1
        self._wanted = asyncio.Event()
        self._ended = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._trouble = ""  # the last one that was logged
        self.is_behind = False  # the last write failed

    # Reading.

    async def read(self) -> list[bytes]:
        """All records; none, where there is no file or it can't be used."""
        found: list[list[bytes]] = []

        def read() -> None:
            found.append(self._read())

        await self._system.run_blocking(read)
        return found[0]

    def _read(self) -> list[bytes]:
        try:
            scan = read_records(self.path)
            if scan.torn_bytes:
                log.warning("%s: its last %d bytes were never synced: not used", self.path, scan.torn_bytes)
            if not scan.payloads:
                return []
            check_header(scan.payloads[0])
        except (RecordFileError, RecordError, OSError) as problem:
            # Without the remedy for a replica's log: of this file control servers have a better copy.
            log.warning("%s is passed over: %s", self.path, str(problem).partition(";")[0])
            return []
        return scan.payloads

    # Writing.

    def start(self, source: SnapshotSource, is_on_disk: bool) -> None:
        """`is_on_disk`: what was received until now is what was read."""
        self._source = source
        self._needs_snapshot = not is_on_disk
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """What is pending is written first. No write may be under way when its file is closed."""
        self._ended.set()
        self._wanted.set()
        if self._task is not None:
            await self._task
        if self._file is not None:
            self._file.close()
        if self._lock_descriptor >= 0:
            os.close(self._lock_descriptor)

    def append(self, record: Record) -> None:
        """Something was received; it is written soon."""
        if not self._needs_snapshot:  # else the snapshot will hold it
            self._pending.append(record)
        self._is_dirty = True
        self._wanted.set()

    def rewrite(self) -> None:
        """The state is another one than change sets have made of the last."""
        self._needs_snapshot = self._is_dirty = True
        self._wanted.set()

    async def _run(self) -> None:
        is_ended = False
        while not is_ended:
            await self._wanted.wait()
            self._wanted.clear()
            is_ended = self._ended.is_set()  # then this is the last write
            try:
                await self._write()
            except _OutdatedError:
                self._wanted.set()
            except Exception as problem:  # whatever is wrong with the disk, the node serves on
                self._on_trouble(problem)
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._ended.wait(), self._backoff.pause())
                self._wanted.set()
            else:
                self._on_written()

    async def _write(self) -> None:
        if not self._is_dirty:
            return
        await self._system.run_blocking(self._lock)
        self._is_dirty = False
        if self._needs_snapshot or self._is_log_long():
            await self._write_snapshot()
        pending, self._pending = self._pending, []
        if pending:
            await self._append(pending)

    def _lock(self) -> None:
        """One process writes at a time: where one takes over from another, the first one goes on until it
        ends. Raises BlockingIOError."""
        if self._lock_descriptor >= 0:
            return
        descriptor = os.open(self.path.with_suffix(LOCK_SUFFIX), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        self._lock_descriptor = descriptor

    def _is_log_long(self) -> bool:
        if self._file is None:
            return False
        return self._file.size - self._snapshot_bytes > max(LOG_BYTES_MIN, self._snapshot_bytes)

    async def _append(self, records: list[Record]) -> None:
        """Raises RecordFileError, OSError."""
        if self._file is None:
            await self._system.run_blocking(self._open)
        file = self._file
        assert file is not None
        await self._append_to(file, records)

    def _open(self) -> None:
        self._file = RecordFile(self.path)
        self._file.payloads = []
        self._snapshot_bytes = self._file.size

    async def _write_snapshot(self) -> None:
        """A new file beside the old one, and then in its place."""
        assert self._source is not None
        temporary = self.path.with_name(f"{self.path.name}.new")
        file = await self._create(temporary)
        try:
            await self._fill(file, self._source)
            await self._system.run_blocking(lambda: self._put_in_place(file, temporary))
        except BaseException:
            file.close()
            with suppress(OSError):
                temporary.unlink()
            raise
        self._snapshot_bytes = file.size

    async def _fill(self, file: RecordFile, source: SnapshotSource) -> None:
        """Raises _OutdatedError, RecordFileError."""
        records = source.snapshot_records()
        async with source.between_sets:
            # What was pending is in the snapshot, what comes from now on is not.
            self._needs_snapshot, self._pending = False, []
            batch = [next(records)]
        for record in records:
            batch.append(record)
            if self._ended.is_set():
                raise _OutdatedError
            if len(batch) >= WRITE_RECORDS:
                await self._append_to(file, batch)
                batch = []
            else:
                await asyncio.sleep(0)
        async with source.between_sets:
            pending, self._pending = self._pending, []
            batch += [*pending, *source.snapshot_end()]
        await self._append_to(file, batch)
        if self._needs_snapshot:
            raise _OutdatedError

    async def _create(self, path: Path) -> RecordFile:
        made: list[RecordFile] = []

        def create() -> None:
            path.unlink(missing_ok=True)
            made.append(RecordFile(path))

        await self._system.run_blocking(create)
        return made[0]

    async def _append_to(self, file: RecordFile, records: list[Record]) -> None:
        await self._system.run_blocking(lambda: file.append([encode_record(record) for record in records]))

    def _put_in_place(self, file: RecordFile, temporary: Path) -> None:
        os.replace(temporary, self.path)
        sync_folder(self.path.parent)
        if self._file is not None:
            self._file.close()
        file.path = self.path
        self._file = file

    def _on_trouble(self, problem: Exception) -> None:
        self.is_behind = self._needs_snapshot = self._is_dirty = True
        is_full = isinstance(problem, RecordWriteError) and problem.is_full
        trouble = "the disk is full" if is_full else str(problem)
        if isinstance(problem, BlockingIOError):
            trouble = "another process of this node writes it"
        if trouble != self._trouble:  # not at every try of an evening
            self._trouble = trouble
            log.warning("%s is not written: %s; what is in force stays so", self.path, trouble)

    def _on_written(self) -> None:
        self._backoff.reset()
        if self.is_behind:
            log.info("%s is written again", self.path)
        self.is_behind, self._trouble = False, ""
