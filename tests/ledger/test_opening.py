"""Tests that a ledger of any age holds nobody up when it is opened: at a start, in an upgrade, on a full disk
and at the end."""

from __future__ import annotations

import asyncio
import errno
import fcntl
import json
import os
import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from rig import Server, configuration, open_read_pipe, request, run, status
from test_keeper import (
    Clock,
    RecordingClient,
    complete,
    proven_totals,
    run_inline,
    service_file,
)
from test_process import program, start
from test_segments import UTC_CALENDAR, open_ledger, write_commit

from driftstair.ledger import segment_reader, segments
from driftstair.ledger.book import Head
from driftstair.ledger.keeper import LedgerKeeper
from driftstair.ledger.segment_reader import OpenedStore, StoreError, no_pause, segment_paths
from driftstair.ledger.segments import Store

NODE = "n0"


class SlowLedger:
    """A ledger whose only segment is a pipe: it is read for as long as nobody has closed the other end."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / f"{NODE}-00000001.ledger"
        os.mkfifo(self._path)
        self._writer = -1

    async def until_read(self) -> None:
        """Returns once a process has begun to read the ledger."""
        self._writer = await open_read_pipe(self._path)

    def close(self) -> None:
        if self._writer >= 0:
            os.close(self._writer)


def node_environment(folder: Path, ledger_folder: Path) -> dict[str, str]:
    """The environment of a daemon that keeps a ledger."""
    service = service_file(folder, ledger_folder)
    return {**os.environ, "TMPDIR": str(folder), "BALANCER_NAME": NODE, "DRIFTSTAIR_SERVICE": service}


def free_address() -> tuple[str, int]:
    """An address of this machine at which nobody listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address: tuple[str, int] = sock.getsockname()
    return address


def test_requests_are_answered_while_an_upgraded_node_reads_its_ledger(tmp_path: Path) -> None:
    """Guards against reading on the event loop once the old process has released the ledger: requests of
    connections that were served before had no answer until a ledger of any length was read."""
    ledger_folder = tmp_path / "kept"
    ledger_folder.mkdir()

    async def test() -> None:
        lock = os.open(ledger_folder / f"{NODE}.lock", os.O_RDWR | os.O_CREAT, 0o644)
        fcntl.flock(lock, fcntl.LOCK_EX)  # as the old process does
        environment = node_environment(tmp_path, ledger_folder)
        async with Server("s-1") as server, program(configuration(server), tmp_path, env=environment) as node:
            client = await node.client()
            assert status(await client.ask(request())) == 200
            ledger = SlowLedger(ledger_folder)
            os.close(lock)  # the old process has ended
            await ledger.until_read()
            assert status(await client.ask(request())) == 200
            ledger.close()

    run(test())


def test_no_connection_is_accepted_before_the_ledger_is_read(tmp_path: Path) -> None:
    """Guards against listening first: clients' connections were accepted by the kernel, and their requests
    not read, for as long as reading the ledger took."""
    ledger_folder = tmp_path / "kept"
    ledger_folder.mkdir()

    async def test() -> None:
        ledger, address = SlowLedger(ledger_folder), free_address()
        async with Server("s-1") as server:
            document = configuration(server) | {"listen": "{}:{}".format(*address)}
            (tmp_path / "config.json").write_text(json.dumps(document))
            process = await start(tmp_path / "config.json", env=node_environment(tmp_path, ledger_folder))
            await ledger.until_read()
            try:
                with pytest.raises(ConnectionRefusedError):
                    await asyncio.open_connection(*address)
            finally:
                process.kill()
                await process.wait()
                ledger.close()

    run(test())


@pytest.fixture
def reading_threads(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """The threads that read a segment, one entry for each time that one is read."""
    threads: list[int] = []
    read_lines = segment_reader.read_lines

    def recorded(path: Path, offset: int = 0) -> Iterator[bytes]:
        threads.append(threading.get_ident())
        return read_lines(path, offset)

    monkeypatch.setattr(segment_reader, "read_lines", recorded)
    return threads


def write_ledger(folder: Path, commits: int, max_segment_bytes: int = 1 << 20) -> None:
    """Writes the ledger of an earlier run, without a checkpoint."""
    store, book = open_ledger(folder, max_segment_bytes)
    for step in range(commits):
        write_commit(store, book, 1, step)
    store.close()
    (folder / f"{NODE}.checkpoint").unlink()


def threaded_keeper(folder: Path, write: Callable[[int, bytes], int] = os.write) -> LedgerKeeper:
    """A keeper that runs what blocks in a thread, as a node's does."""

    clock = Clock()
    store = Store(folder, NODE, write=write)
    return LedgerKeeper(NODE, store, UTC_CALENDAR, 50, False, clock, asyncio.to_thread, clock.monotonic)


def count_request(ledger: LedgerKeeper) -> None:
    ledger.track_request(RecordingClient(), "a", 1, False).answer(503, [], b"")


def test_full_disk_at_a_start_does_not_make_each_commit_read_the_ledger(
    tmp_path: Path, reading_threads: list[int]
) -> None:
    """Guards against a node that starts with a full disk and reads its whole ledger five times a second."""
    write_ledger(tmp_path, 40)
    reading_threads.clear()
    is_full = True

    def write(file: int, data: bytes) -> int:
        if is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return os.write(file, data)

    async def test() -> None:
        nonlocal is_full
        ledger = threaded_keeper(tmp_path, write)
        await ledger.open()
        for _ in range(5):
            count_request(ledger)
            await ledger.commit()
        assert len(reading_threads) == 1
        is_full = False
        await ledger.commit()
        await ledger.close()

    run(test())
    assert proven_totals(tmp_path)["a", "refused"] == 5


@pytest.mark.parametrize("last_chance", ["commit", "end"])
def test_ledger_is_read_beside_the_loop_whenever_it_is_free(
    last_chance: str, tmp_path: Path, reading_threads: list[int]
) -> None:
    write_ledger(tmp_path, 40)
    other, _ = open_ledger(tmp_path)
    (tmp_path / f"{NODE}.checkpoint").unlink()
    reading_threads.clear()

    async def test() -> None:
        ledger = threaded_keeper(tmp_path)
        await ledger.open()
        count_request(ledger)
        await ledger.commit()
        assert not reading_threads
        other.close()
        if last_chance == "commit":
            await ledger.commit()
        ended = asyncio.Event()
        ended.set()
        await ledger.run(60.0, ended)
        assert reading_threads and threading.get_ident() not in reading_threads

    run(test())
    assert proven_totals(tmp_path)["a", "refused"] == 1


def test_end_of_the_run_does_not_wait_until_a_long_ledger_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that is killed while it reads its ledger to write its last counts."""
    write_ledger(tmp_path, 40)
    monkeypatch.setattr(segment_reader, "LINES_PER_PAUSE", 1)
    clock = Clock()
    ledger = LedgerKeeper(
        NODE, Store(tmp_path, NODE), UTC_CALENDAR, 50, False, clock, run_inline, clock.monotonic
    )
    lines_decoded = 0
    open_store = ledger._store.open

    def open_slowly(pause: Callable[[], None] = no_pause) -> OpenedStore:
        def slow_pause() -> None:
            nonlocal lines_decoded
            lines_decoded += 1
            clock.advance(100_000_000)  # each line takes 0.1 s
            pause()

        return open_store(slow_pause)

    monkeypatch.setattr(ledger._store, "open", open_slowly)

    async def test() -> None:
        ended = asyncio.Event()
        ended.set()
        count_request(ledger)
        await ledger.run(60.0, ended)

    asyncio.run(test())
    assert lines_decoded < 40
    assert proven_totals(tmp_path)["a", "refused"] == 1  # in a ledger beside the one that was not read


def test_modified_ledger_is_not_read_again_at_each_commit(tmp_path: Path, reading_threads: list[int]) -> None:
    write_ledger(tmp_path, 40)
    (path,) = segment_paths(tmp_path, NODE)
    path.write_bytes(path.read_bytes().replace(b'"quantity":1', b'"quantity":7', 1))
    clock = Clock()
    ledger = LedgerKeeper(
        NODE, Store(tmp_path, NODE), UTC_CALENDAR, 50, False, clock, run_inline, clock.monotonic
    )
    clock.advance(1)
    reading_threads.clear()
    for _ in range(5):
        complete(ledger.commit())
        clock.advance(200_000_000)
    assert len(reading_threads) == 1
    clock.advance(10_000_000_000)
    complete(ledger.commit())
    assert len(reading_threads) == 2


# Checkpoints.


def abandon(store: Store) -> None:
    """Leaves the files as a killed process does."""
    os.close(store._file)
    os.close(store._lock)


def write_run(folder: Path, commits: int) -> tuple[Store, Head]:
    """Writes a run as a daemon does, in segments of some 100 lines."""
    store, book = open_ledger(folder, max_segment_bytes=16_000)
    for step in range(commits):
        write_commit(store, book, 1, step)
        store.confirm(book.head)
    return store, book.head


def reopen(folder: Path) -> OpenedStore:
    """Opens and closes the ledger."""
    store = Store(folder, NODE)
    opened = store.open()
    store.close()
    return opened


def test_opening_after_an_orderly_end_reads_no_line_however_long_the_ledger_is(tmp_path: Path) -> None:
    for commits in (10, 1_000):
        store, head = write_run(tmp_path, commits)
        store.close()
        opened = reopen(tmp_path)
        assert (opened.head, opened.lines_read) == (head, 0)


@pytest.mark.parametrize("commits", [5, 90, 400])
def test_opening_after_a_kill_reads_one_interval_at_most(
    commits: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(segments, "CHECKPOINT_INTERVAL_BYTES", 2_000)
    store, head = write_run(tmp_path, commits)
    abandon(store)
    opened = reopen(tmp_path)
    assert opened.head == head and opened.lines_read < 20


def test_any_length_of_the_last_segment_is_read_as_without_a_checkpoint(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A crash of the machine can leave any part of what was written after, or before, the last checkpoint."""
    monkeypatch.setattr(segments, "CHECKPOINT_INTERVAL_BYTES", 1_000)
    store, _ = write_run(tmp_path, 130)
    abandon(store)
    path, checkpoint_path = segment_paths(tmp_path, NODE)[-1], tmp_path / f"{NODE}.checkpoint"
    data, checkpoint = path.read_bytes(), checkpoint_path.read_bytes()
    for size in range(0, len(data) + 1, 7):
        path.write_bytes(data[:size])
        checkpoint_path.write_bytes(checkpoint)
        found = reopen(tmp_path)
        path.write_bytes(data[:size])
        checkpoint_path.unlink()
        assert found[:2] == reopen(tmp_path)[:2]


@pytest.mark.parametrize("segment", [0, 1, -1])
def test_modified_line_before_the_checkpoint_is_reported(segment: int, tmp_path: Path) -> None:
    store, _ = write_run(tmp_path, 250)
    store.close()
    path = segment_paths(tmp_path, NODE)[segment]
    data = path.read_bytes()
    for index in (40, len(data) // 2, len(data) - 10):
        modified = bytearray(data)
        modified[index] ^= 1
        path.write_bytes(modified)
        with pytest.raises(StoreError, match="byte"):
            reopen(tmp_path)
        assert path.read_bytes() == modified


def test_ledger_that_was_extended_by_hand_is_continued(tmp_path: Path) -> None:
    """`driftstair ledger correct` and earlier versions of the program append without a checkpoint."""
    store, _ = write_run(tmp_path, 10)
    store.close()
    store, book = open_ledger(tmp_path)
    write_commit(store, book, 3, 11)
    store.close()
    opened = reopen(tmp_path)
    assert (opened.head, opened.lines_read) == (book.head, 3)  # begin, gap and use


@pytest.mark.parametrize(
    "content", [b"", b"{}", b"[1, 2]", b"\xff", b'{"format": "driftstair.checkpoint/1"}']
)
def test_invalid_checkpoint_is_ignored(content: bytes, tmp_path: Path) -> None:
    store, head = write_run(tmp_path, 10)
    store.close()
    (tmp_path / f"{NODE}.checkpoint").write_bytes(content)
    opened = reopen(tmp_path)
    assert (opened.head, opened.lines_read) == (head, 11)


def test_checkpoint_of_a_longer_ledger_is_ignored(tmp_path: Path) -> None:
    """An older copy of the segments was restored beside a newer checkpoint."""
    store, _ = write_run(tmp_path, 150)
    store.close()
    earlier = {path: path.read_bytes() for path in segment_paths(tmp_path, NODE)}
    store, _ = write_run(tmp_path, 150)
    store.close()
    for path in segment_paths(tmp_path, NODE):
        path.unlink()
    for path, data in earlier.items():
        path.write_bytes(data)
    opened = reopen(tmp_path)
    assert (opened.head.number, opened.lines_read) == (151, 151)


def test_disk_that_takes_no_checkpoint_takes_the_ledger(tmp_path: Path) -> None:
    (tmp_path / f"{NODE}.checkpoint.new").mkdir()
    store, head = write_run(tmp_path, 10)
    store.close()
    opened = reopen(tmp_path)
    assert (opened.head, opened.lines_read) == (head, 11)
