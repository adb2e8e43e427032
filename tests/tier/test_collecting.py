"""The collector in one process: which ledgers it may export, and its shutdown during an export."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from driftstair.tier import collector
from driftstair.tier.collector import LedgerCollector, find_ledgers, is_unlocked


def test_a_ledger_is_unlocked_once_no_process_writes_it(tmp_path: Path) -> None:
    (tmp_path / "n1-00000001.ledger").touch()
    (tmp_path / "n1-00000002.ledger").touch()
    assert find_ledgers(tmp_path) == {"n1": 0}
    assert is_unlocked(tmp_path, "n1")
    writer = os.open(tmp_path / "n1.lock", os.O_RDWR)
    fcntl.flock(writer, fcntl.LOCK_EX)
    assert not is_unlocked(tmp_path, "n1")
    os.close(writer)
    assert is_unlocked(tmp_path, "n1")


def ignore(*_: object, **__: object) -> None: ...


def test_shutdown_does_not_wait_for_an_unreachable_billing_side(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(collector, "SCAN_INTERVAL_S", 0.01)
    monkeypatch.setattr(collector, "EXPORT_STALL_TIMEOUT_S", 3600.0)  # waiting for it fails the test
    (tmp_path / "n1-00000001.ledger").write_bytes(b"0" * 64 + b"\n")

    async def test() -> None:
        ledger_collector = LedgerCollector(
            tmp_path, ("127.0.0.1", 1), lambda: 7, ignore, ignore, asyncio.to_thread
        )
        ledger_collector.start()
        while ledger_collector._exporter is None:
            await asyncio.sleep(0.01)
        await ledger_collector.close()
        await asyncio.get_running_loop().shutdown_default_executor()

    asyncio.run(asyncio.wait_for(test(), 60.0))


def test_an_invalid_folder_is_logged_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    monkeypatch.setattr(collector, "SCAN_INTERVAL_S", 0.001)
    (tmp_path / "n1-00000001.ledger").touch()
    (tmp_path / "n1-00000003.ledger").touch()  # the second segment is missing
    token_calls = 0

    def current_token() -> int:
        nonlocal token_calls
        token_calls += 1
        return 7

    async def test() -> None:
        ledger_collector = LedgerCollector(
            tmp_path, ("127.0.0.1", 1), current_token, ignore, ignore, asyncio.to_thread
        )
        ledger_collector.start()
        while token_calls < 5:
            await asyncio.sleep(0.005)
        await ledger_collector.close()

    with caplog.at_level(logging.WARNING):
        asyncio.run(asyncio.wait_for(test(), 60.0))
    assert len(caplog.records) == 1 and "is missing" in caplog.text


def test_a_folder_that_hangs_does_not_hold_the_event_loop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against looking through the folder of all nodes' ledgers, or locking one, on the event loop: a
    large folder held it for seconds at each look, and one that hangs for as long as it does."""
    monkeypatch.setattr(collector, "SCAN_INTERVAL_S", 0.01)
    (tmp_path / "n1-00000001.ledger").write_bytes(b"0" * 64 + b"\n")
    threads: set[int] = set()

    def recorded(function: Callable[..., Any]) -> Callable[..., Any]:
        def call(*arguments: Any, **options: Any) -> Any:
            threads.add(threading.get_ident())
            return function(*arguments, **options)

        return call

    monkeypatch.setattr(os, "scandir", recorded(os.scandir))
    monkeypatch.setattr(os, "stat", recorded(os.stat))
    monkeypatch.setattr(os, "open", recorded(os.open))
    monkeypatch.setattr(fcntl, "flock", recorded(fcntl.flock))

    async def test() -> None:
        ledger_collector = LedgerCollector(
            tmp_path, ("127.0.0.1", 1), lambda: 7, ignore, ignore, asyncio.to_thread
        )
        ledger_collector.start()
        while ledger_collector._exporter is None:
            await asyncio.sleep(0.01)
        await ledger_collector.close()

    asyncio.run(asyncio.wait_for(test(), 60.0))
    assert threads and threading.get_ident() not in threads
