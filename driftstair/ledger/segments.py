"""Stores a node's ledger: append-only files of lines, in a folder that outlives the process.

    n3-00000001.ledger, n3-00000002.ledger, ...
    n3.checkpoint       how far they were verified (see `checkpoint`)

When an append would make a segment larger than its maximum size, a new segment continues its chain, so a
missing file is detected. An incomplete write, after a full disk or a killed process, is truncated: by the
writer if it still runs, else by the next process that opens the folder, which reports how many lines it
truncated. Only one process writes at a time. It holds a lock (flock(2)) on a file beside the segments, which
ends with the process.

Opening verifies the whole chain only where no checkpoint covers it: else the newest segment's digests, and
all of the lines after the checkpoint.

Durability: a line for which `append` has returned survives a crash of the process. With `sync` it also
survives a crash of the machine (fsync of the segment, and of the folder if the segment is new).
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from driftstair.ledger.book import Head
from driftstair.ledger.checkpoint import Checkpoint, read_checkpoint, stamp_of, write_checkpoint
from driftstair.ledger.segment_reader import (
    OpenedStore,
    Pause,
    StoreError,
    no_pause,
    read_chain,
    segment_paths,
    usable_checkpoint,
)

MAX_SEGMENT_BYTES = 8 << 20
CHECKPOINT_INTERVAL_BYTES = 1 << 20  # of lines that the next opening decodes after a killed process
NODE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._]{0,60}", re.ASCII)


class StoreBusyError(StoreError):
    """Another process writes the ledger; it may end, so that a later attempt succeeds."""


class Store:
    """One node's segments, opened for writing. Blocks on the disk. Tests replace `write` and `sync` to inject
    faults."""

    def __init__(
        self, folder: Path, node: str, max_segment_bytes: int = MAX_SEGMENT_BYTES,
        write: Callable[[int, bytes], int] = os.write, sync: Callable[[int], None] = os.fsync,
    ) -> None:  # fmt: skip
        if not NODE_NAME.fullmatch(node):
            raise StoreError(f"no name for files: {node[:60]!r}; letters, digits and dots would do")
        self._folder = folder
        self._node = node
        self._max_segment_bytes = max_segment_bytes
        self._write = write
        self._sync = sync
        self._file = -1
        self._size = 0
        self._lock = -1
        self._checkpoint_path = folder / f"{node}.checkpoint"
        self._checkpoint: Checkpoint | None = None  # the last one that was read or written
        self._head: Head | None = None  # the end of the chain on the disk, as far as it is known

    def beside(self, node: str) -> Store:
        """A store for another name in the same folder. Raises StoreError if the name is too long."""
        return Store(self._folder, node, self._max_segment_bytes, self._write, self._sync)

    def open(self, pause: Pause = no_pause) -> OpenedStore:
        """Locks and reads the ledger. Raises StoreError, also if another process writes it (StoreBusyError),
        OSError, and what `pause` raises."""
        self._lock = os.open(self._folder / f"{self._node}.lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise StoreBusyError(
                f"another process writes the ledger of {self._node} in {self._folder}"
            ) from None
        try:
            return self._open_locked(pause)
        except BaseException:
            self.close()
            raise

    def _open_locked(self, pause: Pause) -> OpenedStore:
        """Reads the ledger, truncates an incomplete last line and opens the last segment."""
        paths = segment_paths(self._folder, self._node)
        self._checkpoint = usable_checkpoint(read_checkpoint(self._checkpoint_path), paths, pause)
        opened, valid_bytes = read_chain(paths, self._checkpoint, pause)
        self._open_segment(max(1, len(paths)))
        if opened.truncated_lines:
            os.ftruncate(self._file, valid_bytes)
            self._sync(self._file)
        self._size = os.fstat(self._file).st_size
        self.confirm(opened.head)
        return opened

    def _open_segment(self, number: int) -> None:
        """Opens a segment for appending, and creates it if necessary."""
        path = self._folder / f"{self._node}-{number:08}.ledger"
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        if self._file >= 0:
            os.close(self._file)
        self._file, self._size, self._current_number = descriptor, 0, number

    def append(self, data: bytes, sync: bool = False) -> None:
        """Appends all of the data or none of it. Raises OSError if the disk is full or fails."""
        if self._size and self._size + len(data) > self._max_segment_bytes:
            if sync:
                self._sync(self._file)
            self._open_segment(self._current_number + 1)
            if sync:
                self._sync_folder()
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[self._write(self._file, bytes(remaining)) :]
            if sync:
                self._sync(self._file)
        except OSError:
            # An incomplete line would be read as the end of the ledger, and all lines after it would be
            # ignored.
            with suppress(OSError):
                os.ftruncate(self._file, self._size)
            raise
        self._size += len(data)
        self._head = None  # not known until `confirm`

    def confirm(self, head: Head) -> None:
        """Tells the store the head of the chain that it holds after an append, and writes a checkpoint where
        one is due."""
        self._head = head
        last = self._checkpoint
        if (
            last is None
            or last.segment != self._current_number
            or self._size - last.offset >= CHECKPOINT_INTERVAL_BYTES
        ):
            self._write_checkpoint(head)

    def _write_checkpoint(self, head: Head) -> None:
        """A disk that fails costs the next opening time, and nothing else."""
        with suppress(OSError):
            checkpoint = Checkpoint(self._current_number, self._size, self._earlier_stamp(), head)
            write_checkpoint(self._checkpoint_path, checkpoint)
            self._checkpoint = checkpoint

    def _earlier_stamp(self) -> str:
        """The stamp of the segments before the current one. Raises OSError."""
        if self._checkpoint is not None and self._checkpoint.segment == self._current_number:
            return self._checkpoint.earlier_stamp
        return stamp_of(segment_paths(self._folder, self._node)[: self._current_number - 1])

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self._sync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Closes the segment and releases the lock. The next opening starts at the end that is known now."""
        if self._head is not None and (self._checkpoint is None or self._checkpoint.head != self._head):
            self._write_checkpoint(self._head)
        for descriptor in (self._file, self._lock):
            if descriptor >= 0:
                os.close(descriptor)
        self._file = self._lock = -1
        self._head = None
