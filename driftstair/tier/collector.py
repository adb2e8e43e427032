"""The collector: one node exports the ledgers of nodes that are gone, from a folder that all nodes can reach.

A running writer locks its ledger (flock), so an unlocked ledger has no writer. The node that holds the lease
on the task exports such ledgers with the lease's token; the billing side refuses an older token. Entries are
numbered and chained, so the next owner continues where the previous one stopped, and no entry is exported
twice. The folder is looked through and exported off the event loop: it holds the files of all nodes, and may
hang.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import time
from collections.abc import Callable
from pathlib import Path

from driftstair.ledger.carrier import LedgerReader, export_ledger
from driftstair.ledger.export import Exporter
from driftstair.ledger.run import RunBlocking
from driftstair.ledger.segment_reader import StoreError, segment_sizes

log = logging.getLogger(__name__)

TASK = "collect"
SCAN_INTERVAL_S = 1.0
SCAN_SHARE_MAX = 0.1  # of the time is spent on scanning a large folder
EXPORT_STALL_TIMEOUT_S = 5.0  # without a newly acknowledged entry


def is_unlocked(folder: Path, node: str) -> bool:
    """Whether no process writes that node's ledger. Raises OSError."""
    lock = os.open(folder / f"{node}.lock", os.O_RDWR | os.O_CREAT, 0o644)
    try:
        fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    finally:
        os.close(lock)
    return True


def find_ledgers(folder: Path) -> dict[str, int]:
    """The bytes of each node's ledger in the folder. Blocks. Raises OSError."""
    sizes = segment_sizes(folder)
    return {node: sizes[node] for node in sorted(sizes) if (folder / f"{node}-00000001.ledger").exists()}


class LedgerCollector:
    """Exports the unlocked ledgers of a folder to the billing side at `address`. `current_token()`: the token
    of the lease, 0 without one; `raise_token_floor(token)`: reports that the billing side knows a greater
    token; `write_event`: writes to the history."""

    def __init__(
        self, folder: Path, address: tuple[str, int], current_token: Callable[[], int],
        raise_token_floor: Callable[[int], None], write_event: Callable[..., None],
        run_blocking: RunBlocking,
    ) -> None:  # fmt: skip
        self._folder = folder
        self._address = address
        self._current_token = current_token
        self._raise_token_floor = raise_token_floor
        self._write_event = write_event
        self._run_blocking = run_blocking
        # By node: size of its ledger when it was exported completely.
        self._exported_bytes: dict[str, int] = {}
        self._scan_task: asyncio.Task[None] | None = None
        self._exporter: Exporter | None = None
        self._last_warning = ""  # a warning that repeats is logged once

    def start(self) -> None:
        """Starts scanning the folder."""
        self._scan_task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stops scanning, and tells an export that is running to stop."""
        if self._exporter is not None:
            self._exporter.stop_reason = "the process ends"
        if self._scan_task is not None:
            self._scan_task.cancel()
            await asyncio.gather(self._scan_task, return_exceptions=True)

    async def _run(self) -> None:
        pause_s = SCAN_INTERVAL_S
        while True:
            await asyncio.sleep(pause_s)
            try:
                if self._current_token():
                    pause_s = await self._collect()
            except (OSError, StoreError) as error:
                self._warn_once(f"ledgers can't be collected: {error}")

    async def _collect(self) -> float:
        """Scans the folder once and exports what is new in it. Returns how long to pause after that, in
        seconds."""
        started = time.monotonic()
        ledgers = await self._run_blocking(lambda: find_ledgers(self._folder))
        scan_s = time.monotonic() - started
        for node, size_bytes in ledgers.items():
            if self._exported_bytes.get(node) != size_bytes and (token := self._current_token()):
                await self._export_ledger(node, size_bytes, token)
        return max(SCAN_INTERVAL_S, scan_s / SCAN_SHARE_MAX)

    def _open_unlocked(self, node: str) -> LedgerReader | None:
        """A reader of a node's ledger, unless a process writes it. Blocks. Raises OSError, StoreError."""
        return LedgerReader(self._folder, node) if is_unlocked(self._folder, node) else None

    async def _export_ledger(self, node: str, size_bytes: int, token: int) -> None:
        reader = await self._run_blocking(lambda: self._open_unlocked(node))
        if reader is None:
            return
        exporter = Exporter(node, reader.source(), token, token, token)
        self._exporter = exporter
        export = asyncio.ensure_future(
            self._run_blocking(
                lambda: asyncio.run(export_ledger(exporter, self._address, EXPORT_STALL_TIMEOUT_S))
            )
        )
        while not export.done():
            await asyncio.wait((export,), timeout=0.1)
            if self._current_token() != token and not exporter.stop_reason:
                exporter.stop_reason = "the lease has ended"  # the next owner continues from here
        failure = export.result()
        self._exporter = None
        if exporter.superseding_token:
            self._raise_token_floor(exporter.superseding_token)
            self._write_event("refused", task=TASK, token=token)
        elif not failure:
            self._exported_bytes[node] = size_bytes
        if exporter.acknowledged > 0:
            self._write_event("act", task=TASK, token=token, what=node, upto=exporter.acknowledged)
        if failure:
            self._warn_once(f"the ledger of {node} is not whole in the books: {failure}")

    def _warn_once(self, text: str) -> None:
        if text != self._last_warning:
            log.warning("%s", text)
        self._last_warning = text
