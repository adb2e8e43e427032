"""One daemon's ledger: counts the outcomes of its clients' requests and writes them without blocking the
loop.

All counts since the last commit are written together (group commit) by one thread, while the event loop
continues. The counts remain in memory until the write has returned. If they can't be written, because the
disk is full or has failed or because another process of this node still holds the ledger (during an upgrade),
counting continues and they are written later: serving does not wait for the ledger. A killed process loses
the counts since its last commit, and the next run records since when (`gap`).

The ledger is opened in that thread too, since reading it takes longer the older it is. While the node serves,
the reading thread pauses after each batch of lines, as it would hold up the loop's thread otherwise
(PEP 311: one of them runs at a time).
"""

from __future__ import annotations

import asyncio
import errno
import logging
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol, TypeVar

from driftstair.ledger.book import Book
from driftstair.ledger.entries import UsageWord
from driftstair.ledger.periods import Calendar
from driftstair.ledger.segments import OpenedStore, Pause, Store, StoreBusyError, StoreError

log = logging.getLogger(__name__)

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
CLOSE_RETRY_PAUSE_S = 0.01  # between two attempts at the last commit
MAX_CLOSE_ATTEMPTS = 20  # the process has at least 0.3 s left before it may be killed
CLOSE_READ_NS = 200 * NS_PER_MS  # for reading a ledger that is not open yet, once the run has to end
READ_PAUSE_S = 0.0005  # after each batch of lines that is read while the node serves
REOPEN_PAUSE_NS = 10 * NS_PER_S  # after a ledger that can't be read, as each attempt reads all of it
REFUSED_STATUSES = (429, 503)
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)

Result = TypeVar("Result")


class RunBlocking(Protocol):
    """Runs a blocking disk operation without blocking the event loop, and returns what it returns."""

    def __call__(self, operation: Callable[[], Result], /) -> Awaitable[Result]: ...


class ReadingStoppedError(StoreError):
    """The run has to end before the ledger is read."""


class Client(Protocol):
    """A client that is to be answered."""

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: Any) -> None: ...


class CountedRequest:
    """Wraps a client and counts the outcome of its request; outcomes after the first are ignored."""

    __slots__ = ("_aim", "_arrived", "_began", "_client", "_ended", "_keeper", "tenant")

    def __init__(self, keeper: LedgerKeeper, client: Client, tenant: str, aim_ns: int) -> None:
        self._keeper = keeper
        self._client = client
        self._arrived = keeper.now_ms()
        self._began = keeper.monotonic_ns()
        self._aim = aim_ns
        self._ended = False
        self.tenant = tenant

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: Any) -> None:
        """Counts the outcome that the status means, and answers the client."""
        if status == 200:
            in_time = self._keeper.monotonic_ns() - self._began <= self._aim
            self._count_outcome(UsageWord.SERVED if in_time else UsageWord.LATE)
        else:
            self._count_outcome(UsageWord.REFUSED if status in REFUSED_STATUSES else UsageWord.FAILED)
        self._client.answer(status, headers, body)

    def record_client_left(self) -> None:
        """Counts a client that closed its connection before it was answered."""
        self._count_outcome(UsageWord.GONE)

    def record_copy(self) -> None:
        """Counts a second attempt that was started while the first was still open."""
        self.count(UsageWord.COPY)

    def count(self, word: UsageWord) -> None:
        """Counts a word for this request."""
        self._keeper.book.count(self._arrived, self.tenant, word)

    def _count_outcome(self, word: UsageWord) -> None:
        """Counts the request's outcome, if none was counted before."""
        if not self._ended:
            self._ended = True
            self.count(word)


class LedgerKeeper:
    """Counts the requests of one daemon and commits the counts to its ledger."""

    def __init__(
        self, node: str, store: Store, calendar: Calendar, clock_error_ms: int, sync: bool,
        clock_ns: Callable[[], int], run_blocking: RunBlocking,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:  # fmt: skip
        """`clock_error_ms`: the largest error of the clock; `sync`: whether commits survive a crash of the
        machine; `clock_ns`: Unix time in ns; `monotonic_ns`: a clock in ns that never steps, used for
        durations."""
        self.book = Book(node, calendar)
        self._store = store
        self._clock_error_ms = clock_error_ms
        self._sync = sync
        self._clock = clock_ns
        self.monotonic_ns = monotonic_ns
        self._run_blocking = run_blocking
        self._opened: OpenedStore | None = None  # set while the store is open
        self._has_begun = False  # the begin of this run is written
        self._end_written = False  # the end of this run is written
        self._reopen_at_ns = 0  # monotonic ns; no attempt at opening before that
        self._read_until_ns: int | None = None  # monotonic ns; set once the run has to end
        self._last_warning = ""  # the last warning that was logged

    def now_ms(self) -> int:
        """Returns Unix time in ms."""
        return self._clock() // NS_PER_MS

    def track_request(self, client: Client, tenant: str, aim_ns: int, resubmitted: bool) -> CountedRequest:
        """Returns a wrapper that counts the request of a client. A resubmitted request is counted as a retry
        too."""
        record = CountedRequest(self, client, tenant, aim_ns)
        if resubmitted:
            record.count(UsageWord.RETRY)
        return record

    async def open(self, end_requested: asyncio.Future[int] | None = None) -> None:
        """Opens the ledger and begins a run, before the node serves. Raises StoreError if the ledger is not
        trustworthy or can't be kept there, and OSError. If another process of this node still writes the
        ledger, if the disk is full, or if the node has to end before the ledger is read, it is opened at a
        later commit."""

        def check_end() -> None:
            if end_requested is not None and end_requested.done():
                raise ReadingStoppedError("the ledger was not read to its end: the node has to end")

        try:
            await self._begin_run(check_end)
        except (StoreBusyError, ReadingStoppedError) as problem:
            self._warn(str(problem))
        except OSError as problem:
            if self._opened is None or problem.errno not in DISK_FULL_ERRNOS:
                await self._run_blocking(self._store.close)
                raise
            # A node must be able to restart while the disk is full.
            self._warn(f"the ledger can't be started yet; usage is counted in memory: {problem}")

    def _check_reading_time(self) -> None:
        """Called in the reading thread. Raises ReadingStoppedError."""
        if self._read_until_ns is not None and self.monotonic_ns() > self._read_until_ns:
            raise ReadingStoppedError("the ledger was not read to its end: this run has to end")

    def _pause_reading(self) -> None:
        """Called in the reading thread while the node serves. Raises ReadingStoppedError."""
        time.sleep(READ_PAUSE_S)
        self._check_reading_time()

    async def _begin_run(self, pause: Pause) -> None:
        """Opens the store, if that is not done, and writes the begin of this run. Raises StoreError,
        OSError."""
        if self._opened is None:
            self._opened = await self._open_store(pause)
            self.book.head = self._opened.head
        truncated_lines = self._opened.truncated_lines
        await self._append(self.book.begin(self.now_ms(), self._clock_error_ms, truncated_lines))
        self._has_begun = True

    async def _open_store(self, pause: Pause) -> OpenedStore:
        """Raises StoreError, OSError."""
        started_ns = self.monotonic_ns()
        opened = await self._run_blocking(lambda: self._store.open(pause))
        duration_s = (self.monotonic_ns() - started_ns) / NS_PER_S
        log.info("the ledger was opened in %.3f s: %d lines were read", duration_s, opened.lines_read)
        return opened

    async def _append(self, entries: list[Any]) -> None:
        """Writes entries and confirms them to the book. Raises OSError."""
        lines, head = self.book.encode(entries)

        def append() -> None:
            self._store.append(lines, self._sync)
            self._store.confirm(head)

        await self._run_blocking(append)
        self.book.confirm(entries, head)

    async def commit(self) -> None:
        """Writes all counts; calls must not overlap. Disk errors are logged, and the counts remain in
        memory."""
        try:
            if not self._has_begun:
                await self._begin_late()
            entries = self.book.commit(self.now_ms()) if self._has_begun else []
            if entries:
                await self._append(entries)
                self._last_warning = ""
        except Exception as problem:
            self._warn(f"usage can't be written; it remains counted in memory: {problem}")

    async def _begin_late(self) -> None:
        """Begins the run while the node serves, unless another process still writes the ledger. Raises
        StoreError, OSError."""
        if self.monotonic_ns() < self._reopen_at_ns:
            return
        try:
            await self._begin_run(self._pause_reading)
        except StoreBusyError as problem:
            self._warn(str(problem))
        except (StoreError, OSError):
            if self._opened is None:
                self._reopen_at_ns = self.monotonic_ns() + REOPEN_PAUSE_NS
            raise

    async def run(self, interval_s: float, ended: asyncio.Event) -> None:
        """Commits at an interval until `ended` is set, then records that this run ended in order."""
        reading_limit = asyncio.create_task(self._limit_reading(ended))
        while not ended.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), interval_s)
            if not ended.is_set():
                await self.commit()
        await reading_limit
        for _ in range(MAX_CLOSE_ATTEMPTS - 1):
            if await self._write_end() is None:
                break
            await asyncio.sleep(CLOSE_RETRY_PAUSE_S)
        await self.close()

    async def _limit_reading(self, ended: asyncio.Event) -> None:
        """Once the run has to end, the ledger is read for `CLOSE_READ_NS` more at most."""
        await ended.wait()
        self._read_until_ns = self.monotonic_ns() + CLOSE_READ_NS

    async def close(self) -> None:
        """Writes the last commit and the end, if they are not written yet. No commit may be in progress."""
        problem = await self._write_end()
        if problem is not None:
            log.error("the ledger was closed without its last counts: %s", problem)
        await self._run_blocking(self._store.close)

    async def _write_end(self) -> Exception | None:
        """Returns the error, and None if the end is written, now or earlier."""
        try:
            if self._end_written:
                return None
            if not self._has_begun:
                await self._begin_run(self._check_reading_time)
            await self._append(self.book.end(self.now_ms()))
            self._end_written = True
        except Exception as problem:
            return problem
        return None

    def _warn(self, text: str) -> None:
        """Logs a warning, unless it repeats the last one: a lasting fault would be logged at every commit."""
        if text != self._last_warning:
            self._last_warning = text
            log.warning("%s", text)
