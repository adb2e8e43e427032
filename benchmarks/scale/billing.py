"""Slopes of ledgers: commits by active tenants, opening by entries, and joining by number of ledgers."""

from __future__ import annotations

from pathlib import Path

from benchmarks.scale import documents
from benchmarks.scale.meter import mean_cpu_s, measure_step

NOON_MS = 1_771_070_400_000  # Unix time
COMMIT_COUNT = 20
TENANTS_PER_COMMIT = 55  # 274 requests a second, each of another tenant, and a commit each 200 ms


def prepare(size: int, folder: Path) -> None:
    """Writes nothing; the probe creates its books itself."""


def measure(size: int, folder: Path) -> dict[str, float]:
    """Measures commits that each contain one request of each of `size` tenants."""
    from driftstair.ledger.book import Book
    from driftstair.ledger.entries import UsageWord
    from driftstair.ledger.periods import Calendar

    book = Book("n0", Calendar("UTC"))
    book.encode_and_confirm(book.begin(NOON_MS, 20))
    tenants = [documents.tenant_name(number) for number in range(size)]
    written_bytes = 0

    def commit(commit_number: int) -> None:
        nonlocal written_bytes
        for tenant in tenants:
            book.count(NOON_MS + commit_number, tenant, UsageWord.SERVED)
        written_bytes += len(book.encode_and_confirm(book.commit(NOON_MS + commit_number)))

    commit_cpu_s = mean_cpu_s(commit, COMMIT_COUNT)
    _, cost = measure_step(lambda: commit(COMMIT_COUNT))
    return {
        "commit_cpu_ms": commit_cpu_s * 1e3, "commit_bytes": written_bytes / (COMMIT_COUNT + 1),
        "peak_mb": cost.peak_mb,
    }  # fmt: skip


def prepare_ledger(size: int, folder: Path) -> None:
    """Writes a ledger of about `size` entries, as a node leaves it on disk."""
    from driftstair.ledger.book import Book
    from driftstair.ledger.entries import UsageWord
    from driftstair.ledger.periods import Calendar
    from driftstair.ledger.segments import Store

    store = Store(folder, "n0")
    store.open()
    book = Book("n0", Calendar("UTC"))
    store.append(book.encode_and_confirm(book.begin(NOON_MS, 20)), False)
    for commit_number in range(max(1, size // TENANTS_PER_COMMIT)):
        for tenant in range(TENANTS_PER_COMMIT):
            book.count(NOON_MS + commit_number, documents.tenant_name(tenant), UsageWord.SERVED)
        store.append(book.encode_and_confirm(book.commit(NOON_MS + commit_number)), False)
    store.close()


def measure_open(size: int, folder: Path) -> dict[str, float]:
    """Measures opening that ledger, which verifies the chain through all segments, and opening it again with
    the checkpoint that was left."""
    from driftstair.ledger.segments import Store

    folder.joinpath("n0.checkpoint").unlink(missing_ok=True)
    store = Store(folder, "n0")
    opened, cost = measure_step(store.open)
    store.close()
    ledger_bytes = sum(path.stat().st_size for path in folder.glob("*.ledger"))
    _, cost_again = measure_step(store.open)
    store.close()
    return {
        "open_hold_s": cost.cpu_s, "reopen_hold_s": cost_again.cpu_s, "bytes": ledger_bytes,
        "entries": opened.head.number,
    }  # fmt: skip


def measure_join(size: int, folder: Path) -> dict[str, float]:
    """Measures reading and joining `size` ledgers of 200 entries each."""
    from driftstair.ledger.book import Book
    from driftstair.ledger.entries import UsageWord
    from driftstair.ledger.periods import Calendar
    from driftstair.ledger.reconcile import join_copies, read_copy

    def ledger_lines(node: int) -> list[bytes]:
        book = Book(f"n{node}", Calendar("UTC"))
        text = book.encode_and_confirm(book.begin(NOON_MS, 20))
        for commit_number in range(10):
            for tenant in range(20):
                book.count(NOON_MS + commit_number, documents.tenant_name(tenant), UsageWord.SERVED)
            text += book.encode_and_confirm(book.commit(NOON_MS + commit_number))
        return text.splitlines(keepends=True)

    ledgers = [ledger_lines(node) for node in range(size)]
    copies, reading = measure_step(lambda: [read_copy(ledger) for ledger in ledgers])
    assert all(ledger.finding is None for ledger in copies)
    _, joining = measure_step(lambda: join_copies(copies))
    return {
        "read_cpu_s": reading.cpu_s, "join_cpu_s": joining.cpu_s,
        "kept_mb": reading.kept_mb + joining.kept_mb,
    }  # fmt: skip
