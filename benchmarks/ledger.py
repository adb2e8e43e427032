"""What keeping a ledger costs: ways to store a commit, size, and joining the books of a tier.

    python benchmarks/ledger.py [--commits 400] [--folder DIR]

A commit holds the counts of 20 tenants. Each way writes the same lines; ratios are to the first one, within
this run. SQLite is the interpreter's; LMDB is measured where its package is installed. Not part of CI.
"""

from __future__ import annotations

import argparse
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median

from driftstair.ledger.book import Book
from driftstair.ledger.entries import UsageWord
from driftstair.ledger.periods import Calendar
from driftstair.ledger.reconcile import join_copies, read_copy
from driftstair.ledger.segment_reader import read_lines, segment_paths
from driftstair.ledger.segments import Store

START_MS = 1_771_070_400_000  # 12:00 UTC
TENANTS = [f"tenant-{number:02}" for number in range(20)]
StoreCommit = Callable[[bytes], None]


@contextmanager
def open_segments(folder: Path, sync: bool) -> Iterator[StoreCommit]:
    """Stores commits in the shipped segment files."""
    store = Store(folder, "n0")
    store.open()
    yield lambda data: store.append(data, sync)
    store.close()


@contextmanager
def open_sqlite(folder: Path, synchronous: str) -> Iterator[StoreCommit]:
    """Stores each commit as one transaction of an SQLite database with a write-ahead log."""
    database = sqlite3.connect(folder / "ledger.db", isolation_level=None)
    database.execute("PRAGMA journal_mode=WAL")
    database.execute(f"PRAGMA synchronous={synchronous}")
    database.execute("CREATE TABLE entry (number INTEGER PRIMARY KEY, line BLOB)")

    def store_commit(data: bytes) -> None:
        database.execute("BEGIN")
        database.executemany("INSERT INTO entry (line) VALUES (?)", [(line,) for line in data.splitlines()])
        database.execute("COMMIT")

    yield store_commit
    database.close()


@contextmanager
def open_lmdb(folder: Path, sync: bool) -> Iterator[StoreCommit]:
    """Stores each commit as one transaction of an LMDB environment."""
    import lmdb as lmdb_library

    environment = lmdb_library.open(str(folder), map_size=1 << 30, sync=sync, metasync=sync)
    last_key = 0

    def store_commit(data: bytes) -> None:
        nonlocal last_key
        with environment.begin(write=True) as transaction:
            for line in data.splitlines():
                last_key += 1
                transaction.put(last_key.to_bytes(8, "big"), line, append=True)

    yield store_commit
    environment.close()


STORES = {
    "segments": lambda folder: open_segments(folder, False),
    "segments, fsync": lambda folder: open_segments(folder, True),
    "SQLite WAL, normal": lambda folder: open_sqlite(folder, "NORMAL"),
    "SQLite WAL, full": lambda folder: open_sqlite(folder, "FULL"),
    "LMDB, no sync": lambda folder: open_lmdb(folder, False),
    "LMDB": lambda folder: open_lmdb(folder, True),
}  # fmt: skip


def encode_commits(count: int) -> list[bytes]:
    """Returns the encoded lines of so many commits of one ledger."""
    book, encoded_commits = Book("n0", Calendar("UTC")), []
    book.encode_and_confirm(book.begin(START_MS, 20))
    for step in range(count):
        for tenant in TENANTS:
            book.count(START_MS + step, tenant, UsageWord.SERVED)
        encoded_commits.append(book.encode_and_confirm(book.commit(START_MS + step)))
    return encoded_commits


def measure_count_us(count: int) -> float:
    """Returns the time in us that counting one request takes."""
    book = Book("n0", Calendar("UTC"))
    start_s = time.perf_counter()
    for step in range(count):
        book.count(START_MS + step, TENANTS[step % 20], UsageWord.SERVED)
    return (time.perf_counter() - start_s) / count * 1e6


def main() -> int:
    """Measures counting, all stores and the joining of ledgers, and prints the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--commits", type=int, default=400)
    parser.add_argument("--folder", help="on the disk that is to be measured")
    options = parser.parse_args()
    encoded_commits = encode_commits(options.commits)
    print(f"count of a request {measure_count_us(200_000):.2f} us")
    print(f"{'way':20} {'us a commit':>12} {'p99':>8} {'of first':>9} {'bytes an entry':>15}")
    baseline_us = 0.0
    for name, open_store in STORES.items():
        with tempfile.TemporaryDirectory(dir=options.folder) as folder_name:
            folder, times_us = Path(folder_name), []
            try:
                with open_store(folder) as store_commit:
                    for data in encoded_commits:
                        start_s = time.perf_counter()
                        store_commit(data)
                        times_us.append((time.perf_counter() - start_s) * 1e6)
            except ModuleNotFoundError as error:
                print(f"{name:20} {error.name} is not installed")
                continue
            size_bytes = sum(path.stat().st_blocks * 512 for path in folder.iterdir())
            median_us, p99_us = median(times_us), sorted(times_us)[int(0.99 * (len(times_us) - 1))]
            baseline_us = baseline_us or median_us
            entries = len(encoded_commits) * len(TENANTS)
            print(
                f"{name:20} {median_us:12.0f} {p99_us:8.0f} {median_us / baseline_us:9.2f} "
                f"{size_bytes / entries:15.0f}"
            )
            if name == "segments":
                lines = [line for path in segment_paths(folder, "n0") for line in read_lines(path)]
    header_book = Book("n0", Calendar("UTC"))
    lines.insert(0, header_book.encode_and_confirm(header_book.begin(START_MS, 20)))
    start_s = time.perf_counter()
    copies = [read_copy(lines) for _ in range(21)]
    read_s = time.perf_counter() - start_s
    assert copies[0].finding is None
    join_copies(copies)
    total_s = time.perf_counter() - start_s
    print(f"21 ledgers of {len(lines)} entries: read {read_s:.2f} s, joined {total_s - read_s:.2f} s")
    return 0


if __name__ == "__main__":
    sys.path.insert(0, ".")
    sys.exit(main())
