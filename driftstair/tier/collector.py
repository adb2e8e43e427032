"""The collector: one node brings in the ledgers of nodes that are gone, from a folder that all reach.

A ledger whose writer lives is locked (flock), so one that is not is nobody's. Whoever has the task's lease
exports it with the lease's token; the billing side refuses an older one's. Entries are numbered and chained,
so what an owner leaves half done the next goes on with, and none comes twice. The work runs beside the loop.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from driftstair.ledger.carrier import LedgerReader, export_ledger
from driftstair.ledger.export import Exporter
from driftstair.ledger.segments import StoreError

log = logging.getLogger(__name__)

TASK = "collect"
EVERY = 1.0  # s between two looks at the folder
GIVE_UP = 5.0  # s without anything new in the books


def is_unlocked(folder: Path, node: str) -> bool:
    """Whether nobody writes that node's ledger. Raises OSError."""
    lock = os.open(folder / f"{node}.lock", os.O_RDWR | os.O_CREAT, 0o644)
    try:
        fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    finally:
        os.close(lock)
    return True


def ledger_nodes(folder: Path) -> list[str]:
    """The nodes that have one there."""
    return sorted(path.name.removesuffix("-00000001.ledger") for path in folder.glob("*-00000001.ledger"))


class LedgerCollector:
    """`token()`: to act with now, 0 for none; `floor(token)`: the books know a greater one; `write`: for the
    history; `aside`: does what waits, off the loop's turn."""

    def __init__(
        self, folder: Path, address: tuple[str, int], token: Callable[[], int], floor: Callable[[int], None],
        write: Callable[..., None], aside: Callable[[Callable[[], None]], Awaitable[None]],
    ) -> None:  # fmt: skip
        self._folder = folder
        self._address = address
        self._token = token
        self._floor = floor
        self._write = write
        self._aside = aside
        self._brought: dict[str, int] = {}  # by node: the size of its ledger when all of it was in the books
        self._task: asyncio.Task[None] | None = None
        self._exporter: Exporter | None = None
        self._said = ""  # the last line of the log: the same is not said again

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        if self._exporter is not None:
            self._exporter.stop_reason = "the process ends"
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(EVERY)
            try:
                for node in ledger_nodes(self._folder):
                    if token := self._token():
                        await self._bring_in(node, token)
            except (OSError, StoreError) as problem:
                self._say(f"ledgers can't be collected: {problem}")

    async def _bring_in(self, node: str, token: int) -> None:
        size = sum(path.stat().st_size for path in self._folder.glob(f"{node}-*.ledger"))
        if self._brought.get(node) == size or not is_unlocked(self._folder, node):
            return
        exporter = Exporter(node, LedgerReader(self._folder, node).source(), token, token, token)
        ended: list[str] = []
        self._exporter = exporter
        working = asyncio.ensure_future(
            self._aside(lambda: ended.append(asyncio.run(export_ledger(exporter, self._address, GIVE_UP))))
        )
        while not working.done():
            await asyncio.wait((working,), timeout=0.1)
            if self._token() != token and not exporter.stop_reason:
                exporter.stop_reason = "its lease is over"  # what is done so far the next need not do
        working.result()
        self._exporter = None
        if exporter.superseding_token:
            self._floor(exporter.superseding_token)
            self._write("refused", task=TASK, token=token)
        elif not ended[0]:
            self._brought[node] = size
        if exporter.acknowledged > 0:
            self._write("act", task=TASK, token=token, what=node, upto=exporter.acknowledged)
        if ended[0]:
            self._say(f"the ledger of {node} is not whole in the books: {ended[0]}")

    def _say(self, line: str) -> None:
        if line != self._said:
            log.warning("%s", line)
        self._said = line
