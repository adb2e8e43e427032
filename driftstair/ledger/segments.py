"""Where a node's ledger lies: append-only files of lines, in a folder that outlives the process.

    n3-00000001.ledger, n3-00000002.ledger, ...

A segment is full at `SEGMENT` bytes; the next one's chain goes on from it, so a file that is missing shows.
What a write leaves half done, a full disk or a killed process, is cut off again: by the writer if it lives,
else by the next one that opens the folder, which says how many lines it cut. One process writes at a time:
flock(2) on a file beside them, which ends with the process.

Durability: a line that `append` has returned for survives the process; with `sync` it survives the machine
too (fsync of the segment, and of the folder where the segment is new).
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
from driftstair.ledger.entries import LINE_MOST, EntryError

SEGMENT = 8 << 20  # bytes
READ = 1 << 20  # bytes
NODE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._]{0,60}", re.ASCII)


class StoreError(Exception):
    """The ledger can't be kept there, or can't be trusted; the text says what would do."""


class Busy(StoreError):
    """Another process writes it: it may end."""


class Opened(NamedTuple):
    head: Head
    cut: int  # lines at the end that were not whole


class Store:
    """One node's segments, open for writing. `write` and `sync` are seams for tests."""

    def __init__(
        self, folder: Path, node: str, segment: int = SEGMENT,
        write: Callable[[int, bytes], int] = os.write, sync: Callable[[int], None] = os.fsync,
    ) -> None:  # fmt: skip
        if not NODE.fullmatch(node):
            raise StoreError(f"no name for files: {node[:60]!r}; letters, digits and dots would do")
        self._folder = folder
        self._node = node
        self._segment = segment
        self._write = write
        self._sync = sync
        self._file = -1
        self._size = 0
        self._lock = -1

    def open(self) -> Opened:
        """Raises StoreError, also where another process writes; OSError."""
        self._lock = os.open(self._folder / f"{self._node}.lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            self.close()
            raise Busy(f"another process writes the ledger of {self._node} in {self._folder}") from None
        try:
            return self._opened()
        except BaseException:
            self.close()
            raise

    def _opened(self) -> Opened:
        head, cut, paths = Head(), 0, segments(self._folder, self._node)
        for place, path in enumerate(paths):
            whole = 0
            for line in lines(path):
                try:
                    if not line.endswith(b"\n"):
                        raise EntryError("a line without its end")
                    _, head = head.follow(line.removesuffix(b"\n"))
                except EntryError as problem:
                    if place + 1 < len(paths) or not _is_torn(path, whole):
                        # What was written and kept has changed since: cutting it off would hide that.
                        text = f"{path.name}, byte {whole}: {problem}; keep the folder and begin a new one"
                        raise StoreError(text) from None
                    cut += 1
                    break
                whole += len(line)
        number = _number(paths[-1]) if paths else 1
        self._take(number)
        if cut:
            os.ftruncate(self._file, whole)
            self._sync(self._file)
        self._size = os.fstat(self._file).st_size
        return Opened(head, cut)

    def _take(self, number: int) -> None:
        path = self._folder / f"{self._node}-{number:08}.ledger"
        new = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        if self._file >= 0:
            os.close(self._file)
        self._file, self._size, self._at = new, 0, number

    def append(self, data: bytes, sync: bool = False) -> None:
        """All of it or nothing. Raises OSError: the disk is full, or gone."""
        if self._size and self._size + len(data) > self._segment:
            if sync:
                self._sync(self._file)
            self._take(self._at + 1)
            if sync:
                self._sync_folder()
        try:
            rest = memoryview(data)
            while rest:
                rest = rest[self._write(self._file, bytes(rest)) :]
            if sync:
                self._sync(self._file)
        except OSError:
            # A half line would be taken for the end of the ledger, and all behind it for nothing.
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
        for descriptor in (self._file, self._lock):
            if descriptor >= 0:
                os.close(descriptor)
        self._file = self._lock = -1


def _is_torn(path: Path, whole: int) -> bool:
    """Whether what stands behind the last whole line is a line that was begun, not one that changed."""
    with open(path, "rb") as file:
        file.seek(whole)
        return b"\n" not in file.read(2 * LINE_MOST)


def _number(path: Path) -> int:
    return int(path.stem.rpartition("-")[2])


def segments(folder: Path, node: str) -> list[Path]:
    """In order. Raises StoreError where one is missing."""
    form = re.compile(re.escape(node) + r"-\d{8}\.ledger", re.ASCII)
    paths = sorted(path for path in folder.iterdir() if form.fullmatch(path.name))
    for number, path in enumerate(paths, 1):
        if _number(path) != number:
            raise StoreError(f"{node}-{number:08}.ledger is missing from {folder}")
    return paths


def lines(path: Path) -> Iterator[bytes]:
    """With their ends; one without an end comes as it is, cut at the longest that a line can be."""
    rest = b""
    with open(path, "rb") as file:
        while piece := file.read(READ):
            *whole, rest = (rest + piece).split(b"\n")
            for line in whole:
                yield line + b"\n"
            if len(rest) > 2 * LINE_MOST:
                break
    if rest:
        yield rest[: 2 * LINE_MOST]
