"""Reads a ledger's segments and verifies their chain, from its begin or from a checkpoint."""

from __future__ import annotations

import os
import re
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from driftstair.ledger.book import Head
from driftstair.ledger.checkpoint import Checkpoint, stamp_of
from driftstair.ledger.entries import DIGEST_BYTES, INITIAL_DIGEST, MAX_LINE_BYTES, EntryError, check_digest

READ_CHUNK_BYTES = 1 << 20
LINES_PER_PAUSE = 16  # decoded between two calls of `pause`
DIGESTS_PER_PAUSE = 256  # checked between two calls of `pause`
SEGMENT_NAME = re.compile(r"(.+)-\d{8}\.ledger", re.ASCII)

Pause = Callable[[], None]
"""Called between batches of lines that are read. May sleep, and may raise to stop the reading."""


class StoreError(Exception):
    """The ledger can't be kept in the folder or is not trustworthy; the text says what would help."""


class OpenedStore(NamedTuple):
    """What was found when a ledger was opened for writing."""

    head: Head
    truncated_lines: int  # incomplete lines at the end
    lines_read: int  # how many lines were decoded and held against the chain


class ReadChain(NamedTuple):
    """The chain as it was read to its end."""

    opened: OpenedStore
    valid_bytes: int  # of the last segment


def no_pause() -> None:
    """Reads on at once."""


def read_chain(paths: Sequence[Path], start: Checkpoint | None, pause: Pause) -> ReadChain:
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
    return ReadChain(OpenedStore(head, truncated_lines, lines_read), valid_bytes)


def usable_checkpoint(
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
