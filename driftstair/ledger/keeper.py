"""One daemon's ledger: counts the outcomes of its clients' requests and writes them without blocking the
loop.

All counts since the last commit are written together (group commit) by one thread, while the event loop
continues. The counts remain in memory until the write has returned. If they can't be written, because the
disk is full or has failed, counting continues and they are written later: serving does not wait for the
ledger. A killed process loses the counts since its last commit, and the next run records since when (`gap`).

During an upgrade the old process holds the ledger until it ends. The new one writes to a ledger beside it
meanwhile, a chain of its own under another name (`beside_name`), so that no more is lost with it. So it does
if the ledger turns out to be untrustworthy by then.

The ledger is opened in that thread too, since reading it takes longer the older it is. While the node serves,
the reading thread pauses after each batch of lines, as it would hold up the loop's thread otherwise
(PEP 311: one of them runs at a time).
"""

from __future__ import annotations

import asyncio
import errno
import logging
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

from driftstair.ledger.book import Book
from driftstair.ledger.entries import UsageWord
from driftstair.ledger.periods import Calendar
from driftstair.ledger.run import NS_PER_MS, NS_PER_S, LedgerRun, RunBlocking, RunSettings
from driftstair.ledger.segment_reader import Pause, StoreError
from driftstair.ledger.segments import Store, StoreBusyError

log = logging.getLogger(__name__)

CLOSE_RETRY_PAUSE_S = 0.01  # between two attempts at the last commit
MAX_CLOSE_ATTEMPTS = 20  # the process has at least 0.3 s left before it may be killed
CLOSE_READ_NS = 200 * NS_PER_MS  # for reading a ledger that is not open yet, once the run has to end
READ_PAUSE_S = 0.0005  # after each batch of lines that is read while the node serves
LEDGERS_BESIDE_MAX = 4  # processes of one node that may write beside its ledger at once
REOPEN_PAUSE_NS = 10 * NS_PER_S  # after a ledger that can't be read, as each attempt reads all of it
REFUSED_STATUSES = (429, 503)
DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


def beside_name(node: str, number: int) -> str:
    """The name of a ledger that a process writes while another one writes that of the node."""
    return f"{node}.beside.{number}"


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
        self.monotonic_ns = monotonic_ns
        self._settings = RunSettings(clock_error_ms, sync, clock_ns, monotonic_ns, run_blocking)
        self._store = store
        self._run = LedgerRun(node, store, self.book, self._settings)
        self._run_beside: LedgerRun | None = None  # while another process writes the node's ledger
        self._reopen_at_ns = 0  # monotonic ns; no attempt at opening before that
        self._read_until_ns: int | None = None  # monotonic ns; set once the run has to end
        self._last_warning = ""  # the last warning that was logged

    def now_ms(self) -> int:
        """Returns Unix time in ms."""
        return self._settings.now_ms()

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
            await self._run.begin(check_end)
        except (StoreBusyError, ReadingStoppedError) as problem:
            self._warn(str(problem))
        except OSError as problem:
            if self._run.opened is None or problem.errno not in DISK_FULL_ERRNOS:
                await self._run.close()
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

    async def commit(self) -> None:
        """Writes all counts; calls must not overlap. Disk errors are logged, and the counts remain in
        memory."""
        try:
            run = await self._writable_run()
            if await run.commit() and run is self._run:
                self._last_warning = ""
        except Exception as problem:
            self._warn(f"usage can't be written; it remains counted in memory: {problem}")

    async def _writable_run(self) -> LedgerRun:
        """The run that counts are written to while the node serves. Raises StoreError, OSError."""
        if self._run.has_begun:
            return self._run
        if self.monotonic_ns() < self._reopen_at_ns:
            return await self._begin_beside()
        try:
            await self._begin(self._pause_reading)
        except StoreBusyError as problem:
            self._warn(str(problem))
            return await self._begin_beside()
        except (StoreError, OSError) as problem:
            if self._run.opened is not None:
                raise
            self._reopen_at_ns = self.monotonic_ns() + REOPEN_PAUSE_NS
            self._warn(f"the ledger can't be opened, and usage is written beside it: {problem}")
            return await self._begin_beside()
        return self._run

    async def _begin(self, pause: Pause) -> None:
        """Begins the run in the node's ledger, and ends the one beside it. Raises StoreError, OSError."""
        if self._run.opened is None:
            await self._run.open(pause)
        if self._run_beside is not None:
            await self._run_beside.end()
            await self._run_beside.close()
            self._run_beside = None
        await self._run.begin(pause)

    async def _begin_beside(self) -> LedgerRun:
        """Begins a run beside the node's ledger, unless that is done. Raises StoreError, OSError."""
        if self._run_beside is not None and self._run_beside.has_begun:
            return self._run_beside
        for number in range(1, LEDGERS_BESIDE_MAX + 1):
            node = beside_name(self._run.node, number)
            run = LedgerRun(node, self._store.beside(node), self.book, self._settings)
            try:
                await run.begin(self._pause_reading)
            except StoreBusyError:
                continue
            except (StoreError, OSError):
                await run.close()
                raise
            self._run_beside = run
            return run
        raise StoreError("too many processes write beside the ledger")

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
        for run in (self._run_beside, self._run):
            if run is not None:
                await run.close()

    async def _write_end(self) -> Exception | None:
        """Returns the error, and None if the end is written, now or earlier."""
        try:
            if not self._run.has_begun:
                await self._begin(self._check_reading_time)
            await self._run.end()
        except (StoreError, OSError) as problem:
            return problem if self._run.opened is not None else await self._write_end_beside()
        except Exception as problem:
            return problem
        return None

    async def _write_end_beside(self) -> Exception | None:
        """The same, where the node's ledger can't be opened: another process still writes it, it was changed,
        or too little time is left to read it."""
        try:
            await (await self._begin_beside()).end()
        except Exception as problem:
            return problem
        return None

    def _warn(self, text: str) -> None:
        """Logs a warning, unless it repeats the last one: a lasting fault would be logged at every commit."""
        if text != self._last_warning:
            self._last_warning = text
            log.warning("%s", text)
