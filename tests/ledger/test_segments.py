"""Tests a ledger's files after crashes, full disks and outside modification."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest
from test_ledger_core import NOON_MS

from driftstair.ledger.book import Book
from driftstair.ledger.entries import Kind, UsageWord
from driftstair.ledger.periods import Calendar
from driftstair.ledger.reconcile import join_copies, read_copy
from driftstair.ledger.segment_reader import StoreError, read_lines, segment_paths
from driftstair.ledger.segments import Store

UTC_CALENDAR = Calendar("UTC")


def write_commit(store: Store, book: Book, count: int, step: int = 0) -> None:
    """Writes `count` requests in one commit, as a daemon does."""
    for _ in range(count):
        book.count(NOON_MS + step, "live", UsageWord.SERVED)
    entries = book.commit(NOON_MS + step)
    data, head = book.encode(entries)
    store.append(data)
    book.confirm(entries, head)


def open_ledger(folder: Path, max_segment_bytes: int = 1 << 20) -> tuple[Store, Book]:
    """Opens a ledger and begins a run."""
    store = Store(folder, "n0", max_segment_bytes)
    opened = store.open()
    book = Book("n0", UTC_CALENDAR, opened.head)
    store.append(book.encode_and_confirm(book.begin(NOON_MS, 20, opened.truncated_lines)))
    return store, book


def read_ledger(folder: Path) -> list[bytes]:
    """Returns the lines of all segments."""
    return [line for path in segment_paths(folder, "n0") for line in read_lines(path)]


def served_total(folder: Path) -> int:
    """Returns the total of all usage entries."""
    return sum(
        entry.quantity for entry, _ in read_copy(read_ledger(folder)).entries if entry.kind is Kind.USE
    )


def test_chain_continues_over_segments_and_runs(tmp_path: Path) -> None:
    for _ in range(3):
        store, book = open_ledger(tmp_path, max_segment_bytes=400)
        for step in range(5):
            write_commit(store, book, 7, step)
        store.append(book.encode_and_confirm(book.end(NOON_MS + 9)))
        store.close()
    assert len(segment_paths(tmp_path, "n0")) > 3
    ledgers = join_copies([read_copy(read_ledger(tmp_path))])
    assert served_total(tmp_path) == 3 * 5 * 7 and not ledgers.findings


def test_incomplete_append_is_truncated_and_recorded_at_every_length(tmp_path: Path) -> None:
    """A process killed during an append may leave any prefix of it."""
    store, book = open_ledger(tmp_path)
    write_commit(store, book, 3)
    (path,) = segment_paths(tmp_path, "n0")
    stored_bytes = path.stat().st_size
    write_commit(store, book, 4, 1)
    store.close()
    data = path.read_bytes()
    for size in range(stored_bytes, len(data)):
        path.write_bytes(data[:size])
        store = Store(tmp_path, "n0")
        opened = store.open()
        store.close()
        assert opened.truncated_lines == (size > stored_bytes) and opened.head.number == 2
        assert path.stat().st_size == stored_bytes
    path.write_bytes(data[:-5])
    store, book = open_ledger(tmp_path)
    store.close()
    gap = read_copy(read_ledger(tmp_path)).entries[-1][0]
    assert (gap.kind, gap.quantity) == (Kind.GAP, 1) and served_total(tmp_path) == 3


@pytest.mark.parametrize("free_bytes", [0, 1, 40, 119])
def test_full_disk_loses_no_count(tmp_path: Path, free_bytes: int) -> None:
    """Counts that can't be written remain in memory and are written once there is space."""
    disk_full = [False]

    def write(file: int, data: bytes) -> int:
        if disk_full[0]:
            if free_bytes and len(data) > free_bytes:
                return os.write(file, data[:free_bytes])  # a short write, after which the disk is full
            raise OSError(errno.ENOSPC, "no space")
        return os.write(file, data)

    def write_or_fail(file: int, data: bytes) -> int:
        if disk_full[0] and len(data) <= free_bytes:
            raise OSError(errno.ENOSPC, "no space")
        return write(file, data)

    store = Store(tmp_path, "n0", write=write_or_fail)
    book = Book("n0", UTC_CALENDAR, store.open().head)
    store.append(book.encode_and_confirm(book.begin(NOON_MS, 20)))
    write_commit(store, book, 3)
    disk_full[0] = True
    size = segment_paths(tmp_path, "n0")[0].stat().st_size
    for step in range(1, 4):
        with pytest.raises(OSError):
            write_commit(store, book, 5, step)
        assert segment_paths(tmp_path, "n0")[0].stat().st_size == size
    disk_full[0] = False
    write_commit(store, book, 1, 4)
    store.append(book.encode_and_confirm(book.end(NOON_MS + 9)))
    store.close()
    assert served_total(tmp_path) == 3 + 3 * 5 + 1
    assert not join_copies([read_copy(read_ledger(tmp_path))]).findings


def test_empty_new_segment_after_a_kill_is_continued(tmp_path: Path) -> None:
    store, book = open_ledger(tmp_path)
    write_commit(store, book, 3)
    store.close()
    (tmp_path / "n0-00000002.ledger").touch()
    store, book = open_ledger(tmp_path)
    write_commit(store, book, 4)
    store.close()
    assert served_total(tmp_path) == 7 and read_copy(read_ledger(tmp_path)).finding is None


def test_modified_line_is_reported_and_not_truncated(tmp_path: Path) -> None:
    """A modified line in the middle is not an incomplete end: opening the ledger must not hide it."""
    store, book = open_ledger(tmp_path)
    for step in range(3):
        write_commit(store, book, 2, step)
    store.close()
    (path,) = segment_paths(tmp_path, "n0")
    data = path.read_bytes()
    for index in (40, len(data) // 2, len(data) - 10):
        modified = bytearray(data)
        modified[index] ^= 1
        path.write_bytes(modified)
        with pytest.raises(StoreError, match="byte"):
            Store(tmp_path, "n0").open()
        assert path.read_bytes() == modified


def test_missing_segment_is_reported(tmp_path: Path) -> None:
    store, book = open_ledger(tmp_path, max_segment_bytes=200)
    for step in range(4):
        write_commit(store, book, 2, step)
    store.close()
    (tmp_path / "n0-00000002.ledger").unlink()
    with pytest.raises(StoreError, match=r"n0-00000002.ledger is missing"):
        Store(tmp_path, "n0").open()


def test_second_writer_is_refused_until_the_first_closes(tmp_path: Path) -> None:
    store, _ = open_ledger(tmp_path)
    with pytest.raises(StoreError, match="another process"):
        Store(tmp_path, "n0").open()
    store.close()
    second = Store(tmp_path, "n0")
    assert second.open().head.number == 1
    second.close()


@pytest.mark.parametrize("name", ["", "../n0", "a/b", "n 0", "n" * 80, "-n", ".lock"])
def test_node_name_that_is_unsafe_in_file_names_is_refused(tmp_path: Path, name: str) -> None:
    with pytest.raises(StoreError, match="no name for files"):
        Store(tmp_path, name)


def test_ledgers_of_two_nodes_share_a_folder(tmp_path: Path) -> None:
    store, book = open_ledger(tmp_path)
    other = Store(tmp_path, "n0.b")
    assert other.open().head.number == 0
    write_commit(store, book, 2)
    assert len(segment_paths(tmp_path, "n0")) == 1
    store.close()
    other.close()


def test_file_without_newlines_is_not_read_completely(tmp_path: Path) -> None:
    (tmp_path / "n0-00000001.ledger").write_bytes(b"x" * (4 << 20))
    assert [len(line) for line in read_lines(tmp_path / "n0-00000001.ledger")] == [8192]
