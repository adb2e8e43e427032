"""Stores a node's ledger: append-only files of lines, in a folder that outlives the process.

    n3-00000001.ledger, n3-00000002.ledger, ...

When an append would make a segment larger than its maximum size, a new segment continues its chain, so a
missing file is detected. An incomplete write, after a full disk or a killed process, is truncated: by the
writer if it still runs, else by the next process that opens the folder, which reports how many lines it
truncated. Only one process writes at a time. It holds a lock (flock(2)) on a file beside the segments, which
ends with the process.

Durability: a line for which `append` has returned survives a crash of the process. With `sync` it also
survives a crash of the machine (fsync of the segment, and of the folder if the segment is new).
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from driftstair.ledger.book import Head
from driftstair.ledger.entries import MAX_LINE_BYTES, EntryError

MAX_SEGMENT_BYTES = 8 << 20
READ_CHUNK_BYTES = 1 << 20
NODE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._]{0,60}", re.ASCII)


class StoreError(Exception):
    """The ledger can't be kept in the folder or is not trustworthy; the text says what would help."""


class StoreBusyError(StoreError):
    """Another process writes the ledger; it may end, so that a later attempt succeeds."""


class OpenedStore(NamedTuple):
    """What was found when a ledger was opened for writing."""

    head: Head
    truncated_lines: int  # incomplete lines at the end
    lines_read: int  # how many lines were decoded and held against the chain


class Store:
    """One node's segments, opened for writing. Tests replace `write` and `sync` to inject faults."""

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

    def open(self) -> OpenedStore:
        """Locks and reads the ledger. Raises StoreError, also if another process writes it (StoreBusyError),
        and OSError."""
        self._lock = os.open(self._folder / f"{self._node}.lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise StoreBusyError(
                f"another process writes the ledger of {self._node} in {self._folder}"
            ) from None
        try:
            return self._read_ledger()
        except BaseException:
            self.close()
            raise

    def _read_ledger(self) -> OpenedStore:
        """Follows the chain through all segments, truncates an incomplete last line and opens the last
        segment."""
        head, truncated_lines, lines_read = Head(), 0, 0
        paths = segment_paths(self._folder, self._node)
        for index, path in enumerate(paths):
            valid_bytes = 0
            for line in read_lines(path):
                try:
                    if not line.endswith(b"\n"):
                        raise EntryError("a line without its end")
                    _, head = head.read_next(line.removesuffix(b"\n"))
                except EntryError as problem:
                    if index + 1 < len(paths) or not _is_torn(path, valid_bytes):
                        # A stored line was modified later; truncating it would hide that.
                        text = (
                            f"{path.name}, byte {valid_bytes}: {problem}; keep the folder and begin a new one"
                        )
                        raise StoreError(text) from None
                    truncated_lines += 1
                    break
                valid_bytes += len(line)
                lines_read += 1
        number = _segment_number(paths[-1]) if paths else 1
        self._open_segment(number)
        if truncated_lines:
            os.ftruncate(self._file, valid_bytes)
            self._sync(self._file)
        self._size = os.fstat(self._file).st_size
        return OpenedStore(head, truncated_lines, lines_read)

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

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self._sync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        """Closes the segment and releases the lock."""
        for descriptor in (self._file, self._lock):
            if descriptor >= 0:
                os.close(descriptor)
        self._file = self._lock = -1


def _is_torn(path: Path, valid_bytes: int) -> bool:
    """Whether the bytes after the last valid line are an incomplete line, and not a complete line that was
    modified."""
    with open(path, "rb") as file:
        file.seek(valid_bytes)
        return b"\n" not in file.read(2 * MAX_LINE_BYTES)


def _segment_number(path: Path) -> int:
    """Returns the number in a segment's file name."""
    return int(path.stem.rpartition("-")[2])


def segment_paths(folder: Path, node: str) -> list[Path]:
    """Returns a node's segments in order. Raises StoreError if one is missing."""
    name_pattern = re.compile(re.escape(node) + r"-\d{8}\.ledger", re.ASCII)
    paths = sorted(path for path in folder.iterdir() if name_pattern.fullmatch(path.name))
    for number, path in enumerate(paths, 1):
        if _segment_number(path) != number:
            raise StoreError(f"{node}-{number:08}.ledger is missing from {folder}")
    return paths


def read_lines(path: Path) -> Iterator[bytes]:
    """Yields a file's lines with their newlines. A last line without one is yielded as it is, limited to
    twice the maximum line length."""
    rest = b""
    with open(path, "rb") as file:
        while chunk := file.read(READ_CHUNK_BYTES):
            *complete_lines, rest = (rest + chunk).split(b"\n")
            for line in complete_lines:
                yield line + b"\n"
            if len(rest) > 2 * MAX_LINE_BYTES:
                break
    if rest:
        yield rest[: 2 * MAX_LINE_BYTES]
