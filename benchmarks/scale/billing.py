"""Slopes by tenants that were active between two commits: the entries of a ledger, and joining ledgers."""

from __future__ import annotations

from pathlib import Path

from benchmarks.scale import documents
from benchmarks.scale.meter import cpu_each, measured

NOON = 1_771_070_400_000  # ms of Unix time
COMMITS = 20
COMMITTED = 55  # tenants between two commits of 200 ms at 274 requests a second, each with one request


def prepare(size: int, folder: Path) -> None:
    """Nothing: books are made in the process."""


def measure(size: int, folder: Path) -> dict[str, float]:
    """Commits in which `size` tenants had a request each."""
    from driftstair.ledger.book import Book
    from driftstair.ledger.entries import UsageWord
    from driftstair.ledger.periods import Calendar

    book = Book("n0", Calendar("UTC"))
    book.encode_and_confirm(book.begin(NOON, 20))
    tenants = [documents.tenant_name(number) for number in range(size)]
    written = 0

    def commit(turn: int) -> None:
        nonlocal written
        for tenant in tenants:
            book.count(NOON + turn, tenant, UsageWord.SERVED)
        written += len(book.encode_and_confirm(book.commit(NOON + turn)))

    each = cpu_each(commit, COMMITS)
    _, step = measured(lambda: commit(COMMITS))
    return {
        "commit_cpu_ms": each * 1e3, "commit_bytes": written / (COMMITS + 1), "peak_mb": step.peak_mb,
    }  # fmt: skip


def prepare_ledger(size: int, folder: Path) -> None:
    """A ledger of about `size` entries, as a node leaves it behind."""
    from driftstair.ledger.book import Book
    from driftstair.ledger.entries import UsageWord
    from driftstair.ledger.periods import Calendar
    from driftstair.ledger.segments import Store

    store = Store(folder, "n0")
    store.open()
    book = Book("n0", Calendar("UTC"))
    store.append(book.encode_and_confirm(book.begin(NOON, 20)), False)
    for turn in range(max(1, size // COMMITTED)):
        for tenant in range(COMMITTED):
            book.count(NOON + turn, documents.tenant_name(tenant), UsageWord.SERVED)
        store.append(book.encode_and_confirm(book.commit(NOON + turn)), False)
    store.close()


def measure_open(size: int, folder: Path) -> dict[str, float]:
    """A node's start with that ledger: before it serves, it follows the chain through all segments."""
    from driftstair.ledger.segments import Store

    store = Store(folder, "n0")
    opened, step = measured(store.open)
    store.close()
    kept = sum(path.stat().st_size for path in folder.glob("*.ledger"))
    return {"open_hold_s": step.cpu_s, "bytes": kept, "entries": opened.head.number}


def measure_join(size: int, folder: Path) -> dict[str, float]:
    """Reading and joining `size` ledgers of 200 entries each."""
    from driftstair.ledger.book import Book
    from driftstair.ledger.entries import UsageWord
    from driftstair.ledger.periods import Calendar
    from driftstair.ledger.reconcile import join_copies, read_copy

    def lines(node: int) -> list[bytes]:
        book = Book(f"n{node}", Calendar("UTC"))
        text = book.encode_and_confirm(book.begin(NOON, 20))
        for turn in range(10):
            for tenant in range(20):
                book.count(NOON + turn, documents.tenant_name(tenant), UsageWord.SERVED)
            text += book.encode_and_confirm(book.commit(NOON + turn))
        return text.splitlines(keepends=True)

    ledgers = [lines(node) for node in range(size)]
    copies, reading = measured(lambda: [read_copy(one) for one in ledgers])
    assert all(one.finding is None for one in copies)
    _, joining = measured(lambda: join_copies(copies))
    return {
        "read_cpu_s": reading.cpu_s, "join_cpu_s": joining.cpu_s,
        "kept_mb": reading.kept_mb + joining.kept_mb,
    }  # fmt: skip
