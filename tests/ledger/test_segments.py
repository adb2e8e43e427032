"""The ledger's files: what a crash, a full disk or another hand leaves of them."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest
from test_ledger_core import NOON

from driftstair.ledger.book import Book
from driftstair.ledger.entries import Kind, Word
from driftstair.ledger.periods import Calendar
from driftstair.ledger.reconcile import chained, joined
from driftstair.ledger.segments import Store, StoreError, lines, segments

UTC = Calendar("UTC")


def keep(store: Store, book: Book, count: int, step: int = 0) -> None:
    """So many requests in one commit, kept as a daemon would."""
    for _ in range(count):
        book.count(NOON + step, "live", Word.SERVED)
    entries = book.commit(NOON + step)
    data, head = book.worded(entries)
    store.append(data)
    book.settle(entries, head)


def begun(folder: Path, segment: int = 1 << 20) -> tuple[Store, Book]:
    store = Store(folder, "n0", segment)
    opened = store.open()
    book = Book("n0", UTC, opened.head)
    store.append(book.written(book.begin(NOON, 20, opened.cut)))
    return store, book


def kept(folder: Path) -> list[bytes]:
    return [line for path in segments(folder, "n0") for line in lines(path)]


def served(folder: Path) -> int:
    return sum(entry.quantity for entry, _ in chained(kept(folder)).entries if entry.kind is Kind.USE)


def test_a_ledger_goes_on_over_segments_and_lives(tmp_path: Path) -> None:
    for _ in range(3):
        store, book = begun(tmp_path, segment=400)
        for step in range(5):
            keep(store, book, 7, step)
        store.append(book.written(book.end(NOON + 9)))
        store.close()
    assert len(segments(tmp_path, "n0")) > 3
    books = joined([chained(kept(tmp_path))])
    assert served(tmp_path) == 3 * 5 * 7 and not books.findings


def test_a_write_cut_at_every_byte_is_cut_off_and_counted(tmp_path: Path) -> None:
    """A process killed in the midst of an append, whatever part of it got out."""
    store, book = begun(tmp_path)
    keep(store, book, 3)
    (path,) = segments(tmp_path, "n0")
    before = path.stat().st_size
    keep(store, book, 4, 1)
    store.close()
    whole = path.read_bytes()
    for size in range(before, len(whole)):
        path.write_bytes(whole[:size])
        store = Store(tmp_path, "n0")
        opened = store.open()
        store.close()
        assert opened.cut == (size > before) and opened.head.number == 2
        assert path.stat().st_size == before
    path.write_bytes(whole[:-5])
    store, book = begun(tmp_path)
    store.close()
    gap = chained(kept(tmp_path)).entries[-1][0]
    assert (gap.kind, gap.quantity) == (Kind.GAP, 1) and served(tmp_path) == 3


@pytest.mark.parametrize("room", [0, 1, 40, 119])
def test_a_full_disk_loses_no_count(tmp_path: Path, room: int) -> None:
    """Service goes on: what could not be written is counted on, and written once there is room."""
    full = [False]

    def write(file: int, data: bytes) -> int:
        if full[0]:
            if room and len(data) > room:
                return os.write(file, data[:room])  # a short write, and then none
            raise OSError(errno.ENOSPC, "no space")
        return os.write(file, data)

    def stuffed(file: int, data: bytes) -> int:
        if full[0] and len(data) <= room:
            raise OSError(errno.ENOSPC, "no space")
        return write(file, data)

    store = Store(tmp_path, "n0", write=stuffed)
    book = Book("n0", UTC, store.open().head)
    store.append(book.written(book.begin(NOON, 20)))
    keep(store, book, 3)
    full[0] = True
    size = segments(tmp_path, "n0")[0].stat().st_size
    for step in range(1, 4):
        with pytest.raises(OSError):
            keep(store, book, 5, step)
        assert segments(tmp_path, "n0")[0].stat().st_size == size
    full[0] = False
    keep(store, book, 1, 4)
    store.append(book.written(book.end(NOON + 9)))
    store.close()
    assert served(tmp_path) == 3 + 3 * 5 + 1
    assert not joined([chained(kept(tmp_path))]).findings


def test_a_process_killed_between_two_segments_leaves_an_empty_one(tmp_path: Path) -> None:
    store, book = begun(tmp_path)
    keep(store, book, 3)
    store.close()
    (tmp_path / "n0-00000002.ledger").touch()
    store, book = begun(tmp_path)
    keep(store, book, 4)
    store.close()
    assert served(tmp_path) == 7 and chained(kept(tmp_path)).finding is None


def test_what_was_kept_and_changed_is_not_cut_off(tmp_path: Path) -> None:
    """A changed line in the midst is no torn end: opening must not hide it."""
    store, book = begun(tmp_path)
    for step in range(3):
        keep(store, book, 2, step)
    store.close()
    (path,) = segments(tmp_path, "n0")
    whole = path.read_bytes()
    for place in (40, len(whole) // 2, len(whole) - 10):
        changed = bytearray(whole)
        changed[place] ^= 1
        path.write_bytes(changed)
        with pytest.raises(StoreError, match="byte"):
            Store(tmp_path, "n0").open()
        assert path.read_bytes() == changed


def test_a_segment_that_is_missing_is_named(tmp_path: Path) -> None:
    store, book = begun(tmp_path, segment=200)
    for step in range(4):
        keep(store, book, 2, step)
    store.close()
    (tmp_path / "n0-00000002.ledger").unlink()
    with pytest.raises(StoreError, match=r"n0-00000002.ledger is missing"):
        Store(tmp_path, "n0").open()


def test_a_second_writer_is_refused_until_the_first_is_gone(tmp_path: Path) -> None:
    store, _ = begun(tmp_path)
    with pytest.raises(StoreError, match="another process"):
        Store(tmp_path, "n0").open()
    store.close()
    again = Store(tmp_path, "n0")
    assert again.open().head.number == 1
    again.close()


@pytest.mark.parametrize("name", ["", "../n0", "a/b", "n 0", "n" * 80, "-n", ".lock"])
def test_a_name_that_is_no_name_of_files_is_refused(tmp_path: Path, name: str) -> None:
    with pytest.raises(StoreError, match="no name for files"):
        Store(tmp_path, name)


def test_the_ledgers_of_two_nodes_share_a_folder(tmp_path: Path) -> None:
    store, book = begun(tmp_path)
    other = Store(tmp_path, "n0.b")
    assert other.open().head.number == 0
    keep(store, book, 2)
    assert len(segments(tmp_path, "n0")) == 1
    store.close()
    other.close()


def test_a_file_without_end_of_lines_is_not_read_whole(tmp_path: Path) -> None:
    (tmp_path / "n0-00000001.ledger").write_bytes(b"x" * (4 << 20))
    assert [len(line) for line in lines(tmp_path / "n0-00000001.ledger")] == [8192]
