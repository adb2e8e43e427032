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
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from driftstair.ledger.book import Head
from driftstair.ledger.checkpoint import Checkpoint, read_checkpoint, stamp_of, write_checkpoint
from driftstair.ledger.entries import DIGEST_BYTES, INITIAL_DIGEST, MAX_LINE_BYTES, EntryError, check_digest

MAX_SEGMENT_BYTES = 8 << 20
READ_CHUNK_BYTES = 1 << 20
CHECKPOINT_INTERVAL_BYTES = 1 << 20  # of lines that the next opening decodes after a killed process
LINES_PER_PAUSE = 16  # decoded between two calls of `pause`
DIGESTS_PER_PAUSE = 256  # checked between two calls of `pause`
SEGMENT_NAME = re.compile(r"(.+)-\d{8}\.ledger", re.ASCII)
NODE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._]{0,60}", re.ASCII)

Pause = Callable[[], None]
"""Called between batches of lines that are read. May sleep, and may raise to stop the reading."""


class StoreError(Exception):
    """The ledger can't be kept in the folder or is not trustworthy; the text says what would help."""


class StoreBusyError(StoreError):
    """Another process writes the ledger; it may end, so that a later attempt succeeds."""


class OpenedStore(NamedTuple):
    """What was found when a ledger was opened for writing."""

    head: Head
    truncated_lines: int  # incomplete lines at the end
    lines_read: int  # how many lines were decoded and held against the chain


class _ReadChain(NamedTuple):
    """The chain as it was read to its end."""

    opened: OpenedStore
    valid_bytes: int  # of the last segment


def no_pause() -> None:
    """Reads on at once."""


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
        self._checkpoint = _usable_checkpoint(read_checkpoint(self._checkpoint_path), paths, pause)
        opened, valid_bytes = _read_chain(paths, self._checkpoint, pause)
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


def _read_chain(paths: Sequence[Path], start: Checkpoint | None, pause: Pause) -> _ReadChain:
    """Follows the chain from a verified place, or from its begin, through all segments. Raises StoreError if
    a line was modified, OSError, and what `pause` raises."""
    first, offset, head = (0, 0, Head()) if start is None else (start.segment - 1, start.offset, start.head)
    truncated_lines = lines_read = valid_bytes = 0
    for path in paths[first:]:
        valid_bytes, offset = offset, 0
        for line in read_lines(path, valid_bytes):
            if lines_read % LINES_PER_PAUSE == 0:
                pause()
            try:
                if not line.endswith(b"\n"):
                    raise EntryError("a line without its end")
                _, head = head.read_next(line.removesuffix(b"\n"))
            except EntryError as problem:
                if path is not paths[-1] or not _is_torn(path, valid_bytes):
                    # A stored line was modified later; truncating it would hide that.
                    text = f"{path.name}, byte {valid_bytes}: {problem}; keep the folder and begin a new one"
                    raise StoreError(text) from None
                truncated_lines += 1
                break
            valid_bytes += len(line)
            lines_read += 1
    return _ReadChain(OpenedStore(head, truncated_lines, lines_read), valid_bytes)


def _usable_checkpoint(
    checkpoint: Checkpoint | None, paths: Sequence[Path], pause: Pause
) -> Checkpoint | None:
    """Returns the checkpoint if nothing before it has changed since it was made. Raises OSError, and what
    `pause` raises."""
    if checkpoint is None or not 0 < checkpoint.segment <= len(paths):
        return None
    earlier, segment = paths[: checkpoint.segment - 1], paths[checkpoint.segment - 1]
    if stamp_of(earlier) != checkpoint.earlier_stamp:
        return None
    digest = _last_digest(earlier[-1]) if earlier else INITIAL_DIGEST
    valid_bytes = 0
    try:
        for number, line in enumerate(read_lines(segment)):
            if valid_bytes >= checkpoint.offset:
                break
            if number % DIGESTS_PER_PAUSE == 0:
                pause()
            _, digest = check_digest(digest, line.removesuffix(b"\n"))
            valid_bytes += len(line)
    except EntryError:
        return None
    is_unchanged = valid_bytes == checkpoint.offset and digest == checkpoint.head.digest
    return checkpoint if is_unchanged else None


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


def _last_digest(path: Path) -> bytes:
    """Returns the digest of a segment's last line; an empty one if the file has no such line. Raises
    OSError."""
    with open(path, "rb") as file:
        file.seek(max(0, path.stat().st_size - 2 * MAX_LINE_BYTES))
        last_line = file.read().removesuffix(b"\n").rpartition(b"\n")[2]
    try:
        return bytes.fromhex(last_line[: 2 * DIGEST_BYTES].decode())
    except ValueError:
        return b""


def segment_sizes(folder: Path) -> dict[str, int]:
    """Returns the bytes of all segments of each node with segments in a folder. Raises OSError."""
    sizes: Counter[str] = Counter()
    with os.scandir(folder) as files:
        for file in files:
            if match := SEGMENT_NAME.fullmatch(file.name):
                sizes[match[1]] += file.stat().st_size
    return sizes


def read_lines(path: Path, offset: int = 0) -> Iterator[bytes]:
    """Yields a file's lines with their newlines, from a line's begin on. A last line without a newline is
    yielded as it is, limited to twice the maximum line length."""
    rest = b""
    with open(path, "rb") as file:
        if offset:
            file.seek(offset)
        while chunk := file.read(READ_CHUNK_BYTES):
            *complete_lines, rest = (rest + chunk).split(b"\n")
            for line in complete_lines:
                yield line + b"\n"
            if len(rest) > 2 * MAX_LINE_BYTES:
                break
    if rest:
        yield rest[: 2 * MAX_LINE_BYTES]
