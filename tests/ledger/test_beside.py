"""Tests the ledger that a process writes while another one holds that of the node: in an upgrade."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import pytest
from rig import run
from test_keeper import Clock, complete, open_keeper, proven_totals
from test_opening import NODE, count_request

from driftstair.ledger.command import read_copies
from driftstair.ledger.entries import Kind
from driftstair.ledger.keeper import LedgerKeeper, beside_name
from driftstair.ledger.reconcile import Account, JoinedLedgers, join_copies

BESIDE = beside_name(NODE, 1)


async def serve(ledger: LedgerKeeper, requests: int) -> None:
    """Counts requests, in one commit each."""
    for _ in range(requests):
        count_request(ledger)
        await ledger.commit()


def kill(ledger: LedgerKeeper) -> None:
    """Leaves the files of a process beside the node's ledger as a killed one does."""
    assert ledger._run_beside is not None
    store = ledger._run_beside._store
    os.close(store._file)
    os.close(store._lock)


def joined(folder: Path) -> JoinedLedgers:
    return join_copies(read_copies(str(folder)))


def recorded_total(folder: Path) -> int:
    return sum(total.proven + total.bounded for total in joined(folder).totals.values())


def test_a_process_that_dies_in_an_upgrade_loses_one_commit_and_the_books_say_so(tmp_path: Path) -> None:
    """Guards against counts that stay in memory for as long as the old process holds the ledger: they were
    lost with the new one, and no book told of it."""
    clock = Clock()
    old, new = open_keeper(tmp_path, clock), open_keeper(tmp_path, clock)

    async def test() -> None:
        await serve(new, 8)
        count_request(new)  # since the last commit
        kill(new)
        await serve(old, 2)
        await old.close()

    run(test())
    assert recorded_total(tmp_path) == 8 + 2
    ledgers = joined(tmp_path)
    assert [(finding.node, finding.what) for finding in ledgers.findings] == [(BESIDE, "open")]
    assert ledgers.doubtful_periods


def test_next_process_records_what_the_killed_one_may_have_lost(tmp_path: Path) -> None:
    clock = Clock()
    old, killed = open_keeper(tmp_path, clock), open_keeper(tmp_path, clock)

    async def test() -> None:
        await serve(killed, 3)
        kill(killed)
        new = open_keeper(tmp_path, clock)
        await serve(new, 4)
        await old.close()
        await serve(new, 1)
        await new.close()

    run(test())
    assert recorded_total(tmp_path) == 8
    assert [(finding.node, finding.what) for finding in joined(tmp_path).findings] == [(BESIDE, "lost")]
    entries = {copy.node: [entry.kind for entry, _ in copy.entries] for copy in read_copies(str(tmp_path))}
    assert entries[BESIDE].count(Kind.GAP) == 1 and entries[BESIDE][-1] is Kind.END
    assert entries[NODE].count(Kind.BEGIN) == 2 and Kind.GAP not in entries[NODE]


@pytest.mark.parametrize("last", ["new", "old"])
def test_two_processes_that_end_in_order_leave_whole_books(last: str, tmp_path: Path) -> None:
    """Also where the new one is ended first."""
    clock = Clock()
    old, new = open_keeper(tmp_path, clock), open_keeper(tmp_path, clock)

    async def test() -> None:
        await serve(new, 3)
        count_request(new)
        await serve(old, 2)
        for ledger in (old, new) if last == "new" else (new, old):
            await ledger.close()

    run(test())
    assert proven_totals(tmp_path) == {("a", "refused"): 6}
    assert not joined(tmp_path).findings


def test_processes_beside_one_another_write_ledgers_of_their_own(tmp_path: Path) -> None:
    clock = Clock()
    ledgers = [open_keeper(tmp_path, clock) for _ in range(3)]

    async def test() -> None:
        for ledger in reversed(ledgers):
            await serve(ledger, 2)

    run(test())
    for ledger in ledgers:
        complete(ledger.close())
    assert proven_totals(tmp_path) == {("a", "refused"): 6}
    assert {copy.node for copy in read_copies(str(tmp_path))} == {NODE, BESIDE, beside_name(NODE, 2)}


def test_a_held_ledger_is_logged_once(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    clock = Clock()
    old, new = open_keeper(tmp_path, clock), open_keeper(tmp_path, clock)
    run(serve(new, 5))
    assert sum("another process writes" in record.message for record in caplog.records) == 1
    complete(old.close())
    complete(new.close())


def test_use_goes_beside_a_ledger_that_was_changed_while_another_process_wrote_it(tmp_path: Path) -> None:
    clock = Clock()
    old, new = open_keeper(tmp_path, clock), open_keeper(tmp_path, clock)

    async def test() -> None:
        await serve(old, 2)
        await old.close()
        (path,) = tmp_path.glob(f"{NODE}-*.ledger")
        path.write_bytes(path.read_bytes().replace(b'"refused"', b'"refusef"', 1))
        await serve(new, 3)
        count_request(new)
        await new.close()

    run(test())
    ledgers = joined(tmp_path)
    assert ledgers.totals[Account("2027-01", "a", "refused")].proven == 4
    assert [(finding.node, finding.what) for finding in ledgers.findings if finding.what != "open"] == [
        (NODE, "torn")
    ]
    assert ledgers.heads[BESIDE].ended


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_full_disk_in_an_upgrade_takes_no_lock_along(error: int, tmp_path: Path) -> None:
    """A begin that can't be written must not leave its ledger locked: each commit would take another name."""
    clock, is_broken = Clock(), True

    def write(file: int, data: bytes) -> int:
        if is_broken:
            raise OSError(error, os.strerror(error))
        return os.write(file, data)

    old, new = open_keeper(tmp_path, clock), open_keeper(tmp_path, clock, write=write)

    async def test() -> None:
        nonlocal is_broken
        await serve(new, 6)
        is_broken = False
        await serve(new, 1)
        await old.close()
        await new.close()

    run(test())
    assert proven_totals(tmp_path) == {("a", "refused"): 7}
    assert {copy.node for copy in read_copies(str(tmp_path))} == {NODE, BESIDE}
