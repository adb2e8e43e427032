"""One run of a process in one chain: opened, begun, committed to and ended beside the event loop."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol, TypeVar

from driftstair.ledger.book import Book
from driftstair.ledger.entries import Entry
from driftstair.ledger.segment_reader import OpenedStore, Pause
from driftstair.ledger.segments import Store

log = logging.getLogger(__name__)

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

Result = TypeVar("Result")


class RunBlocking(Protocol):
    """Runs a blocking disk operation without blocking the event loop, and returns what it returns."""

    def __call__(self, operation: Callable[[], Result], /) -> Awaitable[Result]: ...


class RunSettings(NamedTuple):
    """What all runs of a process have in common."""

    clock_error_ms: int  # the largest error of the clock
    sync: bool  # whether commits survive a crash of the machine
    clock_ns: Callable[[], int]  # Unix time
    monotonic_ns: Callable[[], int]  # a clock that never steps
    run_blocking: RunBlocking

    def now_ms(self) -> int:
        """Returns Unix time in ms."""
        return self.clock_ns() // NS_PER_MS


class LedgerRun:
    """Writes the counts of a book to one node's chain. Calls must not overlap. All methods but `close` raise
    StoreError and OSError, after which they may be called again."""

    def __init__(self, node: str, store: Store, book: Book, settings: RunSettings) -> None:
        self.node = node
        self.opened: OpenedStore | None = None  # set while the store is open
        self.has_begun = False
        self.has_ended = False
        self._store = store
        self._book = book
        self._settings = settings

    async def open(self, pause: Pause) -> None:
        """Opens the store."""
        started_ns = self._settings.monotonic_ns()
        self.opened = await self._settings.run_blocking(lambda: self._store.open(pause))
        duration_s = (self._settings.monotonic_ns() - started_ns) / NS_PER_S
        lines_read = self.opened.lines_read
        log.info("the ledger was opened in %.3f s: %d lines were read", duration_s, lines_read)

    async def begin(self, pause: Pause) -> None:
        """Opens the store, if that is not done, and writes the begin. The book's entries continue this chain
        from then on."""
        if self.opened is None:
            await self.open(pause)
        assert self.opened is not None
        self._book.continue_chain(self.node, self.opened.head)
        now_ms, error_ms = self._settings.now_ms(), self._settings.clock_error_ms
        await self._append(self._book.begin(now_ms, error_ms, self.opened.truncated_lines))
        self.has_begun = True

    async def commit(self) -> bool:
        """Writes all counts. Returns whether there were any."""
        entries = self._book.commit(self._settings.now_ms())
        if entries:
            await self._append(entries)
        return bool(entries)

    async def end(self) -> None:
        """Writes all counts and the end, unless that is done."""
        if not self.has_ended:
            await self._append(self._book.end(self._settings.now_ms()))
            self.has_ended = True

    async def close(self) -> None:
        """Releases the ledger."""
        await self._settings.run_blocking(self._store.close)

    async def _append(self, entries: list[Entry]) -> None:
        """Writes entries and confirms them to the book."""
        lines, head = self._book.encode(entries)

        def append() -> None:
            self._store.append(lines, self._settings.sync)
            self._store.confirm(head)

        await self._settings.run_blocking(append)
        self._book.confirm(entries, head)
