"""The collector beside the loop: what is nobody's, and that a process that ends does not wait for it."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from driftstair.tier import collector
from driftstair.tier.collector import LedgerCollector, is_unlocked, ledger_nodes


def test_a_ledger_is_free_once_nobody_writes_it(tmp_path: Path) -> None:
    (tmp_path / "n1-00000001.ledger").touch()
    (tmp_path / "n1-00000002.ledger").touch()
    assert ledger_nodes(tmp_path) == ["n1"]
    assert is_unlocked(tmp_path, "n1")
    writer = os.open(tmp_path / "n1.lock", os.O_RDWR)
    fcntl.flock(writer, fcntl.LOCK_EX)
    assert not is_unlocked(tmp_path, "n1")
    os.close(writer)
    assert is_unlocked(tmp_path, "n1")


def nothing(*_: object, **__: object) -> None: ...


async def beside(what: Callable[[], None]) -> None:
    await asyncio.to_thread(what)


def test_a_process_that_ends_does_not_wait_for_a_billing_side_that_is_away(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(collector, "EVERY", 0.01)
    monkeypatch.setattr(collector, "GIVE_UP", 3600.0)  # whoever waits for it never ends
    (tmp_path / "n1-00000001.ledger").write_bytes(b"0" * 64 + b"\n")

    async def test() -> None:
        mine = LedgerCollector(tmp_path, ("127.0.0.1", 1), lambda: 7, nothing, nothing, beside)
        mine.start()
        while mine._exporter is None:
            await asyncio.sleep(0.01)
        await mine.close()
        await asyncio.get_running_loop().shutdown_default_executor()

    asyncio.run(asyncio.wait_for(test(), 60.0))


def test_what_is_wrong_with_the_folder_is_said_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(collector, "EVERY", 0.001)
    (tmp_path / "n1-00000001.ledger").touch()
    (tmp_path / "n1-00000003.ledger").touch()  # the second is missing
    asked = 0

    def token() -> int:
        nonlocal asked
        asked += 1
        return 7

    async def test() -> None:
        mine = LedgerCollector(tmp_path, ("127.0.0.1", 1), token, nothing, nothing, beside)
        mine.start()
        while asked < 5:
            await asyncio.sleep(0.005)
        await mine.close()

    with caplog.at_level(logging.WARNING):
        asyncio.run(asyncio.wait_for(test(), 60.0))
    assert len(caplog.records) == 1 and "is missing" in caplog.text
