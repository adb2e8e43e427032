"""One daemon's ledger: what becomes of its clients' requests, counted on the loop's turn and written off it.

All counts since the last commit are written together (group commit), by one thread, while the loop goes on;
they stand until the write has returned. What can't be written, since the disk is full or gone, or another
process of this node still holds the ledger (an upgrade), is counted on and written later: service does not
wait for it. Lost with a killed process is what was counted since the last commit, and the next life says
since when (`gap`).
"""

from __future__ import annotations

import asyncio
import errno
import logging
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol

from driftstair.ledger.book import Book
from driftstair.ledger.entries import Word
from driftstair.ledger.periods import Calendar
from driftstair.ledger.segments import Busy, Store

log = logging.getLogger(__name__)

MS = 1_000_000  # ns
CLOSE_PAUSE = 0.01  # s between two tries at the last commit
CLOSE_TRIES = 20  # of it: the process has 0.3 s left at the least before it may be killed
REFUSED = (429, 503)
FULL = (errno.ENOSPC, errno.EDQUOT)

Aside = Callable[[Callable[[], None]], Awaitable[None]]
"""Does something that waits for a disk, off the loop's turn."""


class Client(Protocol):
    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: Any) -> None: ...


class Counted:
    """Stands before a client: the first end that its request comes to is counted, and no other."""

    __slots__ = ("_aim", "_arrived", "_began", "_client", "_ended", "_keeper", "tenant")

    def __init__(self, keeper: Keeper, client: Client, tenant: str, aim: int) -> None:
        self._keeper = keeper
        self._client = client
        self._arrived = keeper.now()
        self._began = keeper.monotonic()
        self._aim = aim
        self._ended = False
        self.tenant = tenant

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: Any) -> None:
        if status == 200:
            in_time = self._keeper.monotonic() - self._began <= self._aim
            self._end(Word.SERVED if in_time else Word.LATE)
        else:
            self._end(Word.REFUSED if status in REFUSED else Word.FAILED)
        self._client.answer(status, headers, body)

    def gone(self) -> None:
        """The client left before it had an answer."""
        self._end(Word.GONE)

    def copied(self) -> None:
        """A second attempt set out beside the first."""
        self.count(Word.COPY)

    def count(self, word: Word) -> None:
        self._keeper.book.count(self._arrived, self.tenant, word)

    def _end(self, word: Word) -> None:
        if not self._ended:
            self._ended = True
            self.count(word)


class Keeper:
    def __init__(
        self, node: str, store: Store, calendar: Calendar, uncertainty: int, sync: bool,
        clock: Callable[[], int], aside: Aside, monotonic: Callable[[], int] = time.monotonic_ns,
    ) -> None:  # fmt: skip
        """`uncertainty`: ms that the clock may be off; `sync`: what is committed survives the machine too;
        `clock`: Unix time in ns; `monotonic`: ns of a clock that never steps, which durations go by."""
        self.book = Book(node, calendar)
        self._store = store
        self._uncertainty = uncertainty
        self._sync = sync
        self._clock = clock
        self.monotonic = monotonic
        self._aside = aside
        self._open = False
        self._ended = False  # the word that this life ended is written
        self._trouble = ""  # the last one that was logged

    def now(self) -> int:
        """Unix time in ms."""
        return self._clock() // MS

    def follow(self, client: Client, tenant: str, aim: int, resubmitted: bool) -> Counted:
        """A request has come. `aim` in ns."""
        counted = Counted(self, client, tenant, aim)
        if resubmitted:
            counted.count(Word.RETRY)
        return counted

    def open(self) -> None:
        """Raises StoreError for a ledger that can't be trusted or kept there, OSError; one that another
        process of this node still writes, and a disk that is full, are waited for."""
        try:
            opened = self._store.open()
        except Busy as problem:
            self._warn(str(problem))
            return
        self.book.head = opened.head
        try:
            self._append(self.book.begin(self.now(), self._uncertainty, opened.cut))
        except OSError as problem:
            self._store.close()
            if problem.errno not in FULL:
                raise
            # Guards against a node that can't be restarted on the evening on which the disk is full.
            self._warn(f"the ledger can't be begun, and is counted on: {problem}")
            return
        self._open = True

    def _append(self, entries: list[Any]) -> None:
        lines, head = self.book.worded(entries)
        self._store.append(lines, self._sync)
        self.book.settle(entries, head)

    async def commit(self) -> None:
        """One at a time. Whatever is wrong with the disk, service goes on and the counts stand."""
        try:
            if not self._open:
                self.open()  # rare: on the loop's turn
            entries = self.book.commit(self.now()) if self._open else []
            if entries:
                lines, head = self.book.worded(entries)
                await self._aside(lambda: self._store.append(lines, self._sync))
                self.book.settle(entries, head)
                self._trouble = ""
        except Exception as problem:
            self._warn(f"what was used can't be written, and is counted on: {problem}")

    async def run(self, every: float, ended: asyncio.Event) -> None:
        """Commits, once in so many s, until all is answered; then the word that this life ended in order."""
        while not ended.is_set():
            with suppress(TimeoutError):
                await asyncio.wait_for(ended.wait(), every)
            if not ended.is_set():
                await self.commit()
        for _ in range(CLOSE_TRIES - 1):
            if self._write_end() is None:
                break
            await asyncio.sleep(CLOSE_PAUSE)
        self.close()

    def close(self) -> None:
        """The last commit and the end, if they are not written yet. No commit may be under way."""
        problem = self._write_end()
        if problem is not None:
            log.error("the ledger ends without its last counts: %s", problem)
        self._store.close()

    def _write_end(self) -> Exception | None:
        """What was wrong; None: it is written, now or before."""
        try:
            if self._ended:
                return None
            if not self._open:
                self.open()
            if not self._open:
                return OSError(self._trouble)
            self._append(self.book.end(self.now()))
            self._ended = True
        except Exception as problem:
            return problem
        return None

    def _warn(self, text: str) -> None:
        if text != self._trouble:  # not at every commit of an evening
            self._trouble = text
            log.warning("%s", text)
