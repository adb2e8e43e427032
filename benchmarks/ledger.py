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
from driftstair.ledger.segments import Store, read_lines, segment_paths

NOON = 1_771_070_400_000
TENANTS = [f"tenant-{number:02}" for number in range(20)]
Keep = Callable[[bytes], None]


@contextmanager
def own_segments(folder: Path, sync: bool) -> Iterator[Keep]:
    store = Store(folder, "n0")
    store.open()
    yield lambda data: store.append(data, sync)
    store.close()


@contextmanager
def sqlite(folder: Path, synchronous: str) -> Iterator[Keep]:
    base = sqlite3.connect(folder / "ledger.db", isolation_level=None)
    base.execute("PRAGMA journal_mode=WAL")
    base.execute(f"PRAGMA synchronous={synchronous}")
    base.execute("CREATE TABLE entry (number INTEGER PRIMARY KEY, line BLOB)")

    def keep(data: bytes) -> None:
        base.execute("BEGIN")
        base.executemany("INSERT INTO entry (line) VALUES (?)", [(one,) for one in data.splitlines()])
        base.execute("COMMIT")

    yield keep
    base.close()


@contextmanager
def lmdb(folder: Path, sync: bool) -> Iterator[Keep]:
    import lmdb as library

    base = library.open(str(folder), map_size=1 << 30, sync=sync, metasync=sync)
    number = 0

    def keep(data: bytes) -> None:
        nonlocal number
        with base.begin(write=True) as change:
            for one in data.splitlines():
                number += 1
                change.put(number.to_bytes(8, "big"), one, append=True)

    yield keep
    base.close()


WAYS = {
    "segments": lambda folder: own_segments(folder, False),
    "segments, fsync": lambda folder: own_segments(folder, True),
    "SQLite WAL, normal": lambda folder: sqlite(folder, "NORMAL"),
    "SQLite WAL, full": lambda folder: sqlite(folder, "FULL"),
    "LMDB, no sync": lambda folder: lmdb(folder, False),
    "LMDB": lambda folder: lmdb(folder, True),
}  # fmt: skip


def commits(count: int) -> list[bytes]:
    book, made = Book("n0", Calendar("UTC")), []
    book.encode_and_confirm(book.begin(NOON, 20))
    for step in range(count):
        for tenant in TENANTS:
            book.count(NOON + step, tenant, UsageWord.SERVED)
        made.append(book.encode_and_confirm(book.commit(NOON + step)))
    return made


def counting(count: int) -> float:
    """us for a request's count."""
    book = Book("n0", Calendar("UTC"))
    began = time.perf_counter()
    for step in range(count):
        book.count(NOON + step, TENANTS[step % 20], UsageWord.SERVED)
    return (time.perf_counter() - began) / count * 1e6


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--commits", type=int, default=400)
    parser.add_argument("--folder", help="on the disk that is to be measured")
    options = parser.parse_args()
    made = commits(options.commits)
    print(f"count of a request {counting(200_000):.2f} us")
    print(f"{'way':20} {'us a commit':>12} {'p99':>8} {'of first':>9} {'bytes an entry':>15}")
    first = 0.0
    for name, way in WAYS.items():
        with tempfile.TemporaryDirectory(dir=options.folder) as place:
            folder, took = Path(place), []
            try:
                with way(folder) as keep:
                    for data in made:
                        began = time.perf_counter()
                        keep(data)
                        took.append((time.perf_counter() - began) * 1e6)
            except ModuleNotFoundError as problem:
                print(f"{name:20} {problem.name} is not installed")
                continue
            size = sum(path.stat().st_blocks * 512 for path in folder.iterdir())
            middle, last = median(took), sorted(took)[int(0.99 * (len(took) - 1))]
            first = first or middle
            entries = len(made) * len(TENANTS)
            print(f"{name:20} {middle:12.0f} {last:8.0f} {middle / first:9.2f} {size / entries:15.0f}")
            if name == "segments":
                whole = [line for path in segment_paths(folder, "n0") for line in read_lines(path)]
    header = Book("n0", Calendar("UTC"))
    whole.insert(0, header.encode_and_confirm(header.begin(NOON, 20)))
    began = time.perf_counter()
    copies = [read_copy(whole) for _ in range(21)]
    read = time.perf_counter() - began
    assert copies[0].finding is None
    join_copies(copies)
    both = time.perf_counter() - began
    print(f"21 ledgers of {len(whole)} entries: read {read:.2f} s, joined {both - read:.2f} s")
    return 0


if __name__ == "__main__":
    sys.path.insert(0, ".")
    sys.exit(main())
