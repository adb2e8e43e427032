"""Reloads that overlap: SIGHUP while the files are read."""

from __future__ import annotations

import asyncio
import threading
from types import SimpleNamespace
from typing import Any

from rig import SYSTEM, run, until

from driftstair.reloading import Reloader


def test_files_that_were_read_later_are_applied_later() -> None:
    """Guards against settings of an earlier reading that replace those of a later one: at a start that finds
    its file changed, a SIGHUP reads it beside that."""
    release, reads = threading.Event(), 0

    def read_config() -> Any:
        nonlocal reads
        reads += 1
        content = f"read {reads}"
        if reads == 1:
            release.wait(20.0)
        return content

    async def test() -> None:
        applied: list[Any] = []
        node: Any = SimpleNamespace(reload=applied.append)
        config: Any = None
        reloader = Reloader(node, config, read_config, SYSTEM)
        first = asyncio.create_task(reloader.reload())
        await until(lambda: reads)
        reloader.request()
        await asyncio.sleep(0.05)
        release.set()
        await first
        await until(lambda: len(applied) == 2)
        assert applied == ["read 1", "read 2"]

    run(test())
