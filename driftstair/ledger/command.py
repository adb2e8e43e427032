"""`driftstair ledger`: verifies, shows, joins, exports, corrects and closes ledgers in folders of
segments."""

from __future__ import annotations

import argparse
import json
import re
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from driftstair.files import FileError, parse_text, read_text
from driftstair.ledger.book import Book
from driftstair.ledger.entries import Entry, EntryError, UsageWord
from driftstair.ledger.periods import Calendar, Period, PeriodError
from driftstair.ledger.reconcile import (
    Account,
    JoinedLedgers,
    LedgerCopy,
    Total,
    compare_with_served,
    join_copies,
    read_copy,
)
from driftstair.ledger.segment_reader import StoreError, read_lines, segment_paths, segment_sizes
from driftstair.ledger.segments import Store

EXIT_OK, EXIT_FINDINGS, EXIT_UNREADABLE = 0, 1, 2
FORMAT = "driftstair.ledger/1"
UNPRINTABLE = re.compile(r"[^\x20-\x7e\u00a1-\uffff]|[\u200b-\u200f\u202a-\u202e\u2066-\u2069]")


def run(options: argparse.Namespace) -> int:
    """Runs a subcommand and returns the exit status."""
    try:
        if options.what in ("correct", "close"):
            return _run_writing(options)
        if options.what == "export":
            return _run_export(options)
        return _run_reading(options)
    except (StoreError, PeriodError, EntryError, OSError) as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return EXIT_UNREADABLE


def _clean(text: str) -> str:
    """Replaces control characters. Tenants are texts that clients sent, and nothing in them may control the
    terminal."""
    return UNPRINTABLE.sub("?", text)


def read_copies(folder: str) -> Iterator[LedgerCopy]:
    """Yields a copy for each node with segments in the folder. Raises OSError, and StoreError if there are
    none."""
    folder_path = Path(folder)
    if not folder_path.is_dir():
        raise StoreError(f"{folder} is no folder; the one that holds NODE-00000001.ledger would do")
    nodes = sorted(segment_sizes(folder_path))
    if not nodes:
        raise StoreError(f"{folder} holds no NODE-00000001.ledger")
    for node in nodes:
        paths = segment_paths(folder_path, node)
        yield read_copy(line for path in paths for line in read_lines(path))._replace(node=node)


def _run_reading(options: argparse.Namespace) -> int:
    """Runs `verify`, `show` or `reconcile`, which only read ledgers."""
    if getattr(options, "period", ""):
        Period.parse(options.period)
    if options.what == "verify":
        return _run_verify(options)
    ledgers = join_copies(copy for folder in options.folders for copy in read_copies(folder))
    rows = [
        (account, total)
        for account, total in sorted(ledgers.totals.items())
        if options.period in ("", account.period) and options.tenant in ("", account.tenant)
    ]
    served = read_served_report(options.served) if getattr(options, "served", "") else None
    differences = {} if served is None else compare_with_served(ledgers, served)
    if options.json:
        document = _json_document(ledgers, rows)
        if served is not None:
            document["beyond"] = [
                {**account._asdict(), "by": difference} for account, difference in differences.items()
            ]
        json.dump(document, sys.stdout, indent=1)
        print()
    else:
        _print_report(ledgers, rows, findings=options.what == "reconcile")
        for account, difference in differences.items():
            direction = "more" if difference > 0 else "less"
            name = f"{account.period} {_clean(account.tenant)} {account.word}"
            print(f"{name}: the books say {abs(difference)} {direction} than the report")
        if served is not None and not differences:
            print(f"all {len(served)} accounts of the report are as the books say")
    return EXIT_FINDINGS if ledgers.findings or differences else EXIT_OK


def read_served_report(file: str) -> dict[Account, int]:
    """Reads a report of the usage that another party observed: `{"totals": [{"period", "tenant", "word",
    "count"}, ...]}`. Raises StoreError, PeriodError."""
    try:
        tree = parse_text(read_text(file), json.loads)
        rows = tree["totals"]
        served = {Account(row["period"], row["tenant"], row["word"]): row["count"] for row in rows}
    except FileError as problem:
        raise StoreError(f"{file}: {problem}") from None
    except (ValueError, KeyError, TypeError):
        why = 'is no report; {"totals": [{"period": "2026-02", ...}]} would do'
        raise StoreError(f"{file}: {why}") from None
    for index, (account, count) in enumerate(served.items()):
        texts = all(isinstance(text, str) for text in account)
        if not texts or isinstance(count, bool) or not isinstance(count, int) or count < 0:
            raise StoreError(f"{file}: totals[{index}]: wants period, tenant and word as text, count from 0")
        Period.parse(account.period)
    if len(served) != len(rows):
        raise StoreError(f"{file}: two rows are of one period, tenant and word")
    return {account: count for account, count in served.items() if count}


def _run_verify(options: argparse.Namespace) -> int:
    """Checks the chain of each ledger in the folders."""
    status, results = EXIT_OK, []
    for folder in options.folders:
        for copy in read_copies(folder):
            last_number = copy.entries[-1][0].number if copy.entries else 0
            problem = "" if copy.finding is None else copy.finding.text
            status = EXIT_FINDINGS if problem else status
            results.append({"folder": folder, "node": copy.node, "entries": last_number, "problem": problem})
            if not options.json:
                print(
                    f"{folder}: {copy.node}: {last_number} entries stand"
                    + (f"; {problem}" if problem else "")
                )
    if options.json:
        json.dump({"format": FORMAT, "ledgers": results}, sys.stdout, indent=1)
        print()
    return status


def _json_document(ledgers: JoinedLedgers, rows: list[tuple[Account, Total]]) -> dict[str, object]:
    """Returns totals and findings as they are printed with `--json`."""
    return {
        "format": FORMAT,
        "totals": [
            {**account._asdict(), "proven": total.proven, "bounded": total.bounded,
             "corrected": total.corrected, "sure": ledgers.is_proven(account.period)}
            for account, total in rows
        ],
        "findings": [finding._asdict() for finding in ledgers.findings],
        "doubles": ledgers.repeats,
    }  # fmt: skip


def _print_report(joined: JoinedLedgers, rows: list[tuple[Account, Total]], findings: bool) -> None:
    """Prints totals and, for `reconcile`, findings."""
    print(f"{'period':8} {'tenant':24} {'word':8} {'proven':>12} {'bounded':>9} {'corrected':>9}")
    for account, total in rows:
        remark = "" if joined.is_proven(account.period) else "  a finding touches this period"
        print(
            f"{account.period:8} {_clean(account.tenant)[:24]:24} {account.word:8} {total.proven:12} "
            f"{total.bounded:9} {total.corrected:9}{remark}"
        )
    if findings:
        for finding in joined.findings:
            print(f"{finding.what}: {_clean(finding.node)}, entry {finding.number}: {_clean(finding.text)}")
        print(
            f"{len(joined.heads)} nodes, {len(joined.findings)} findings, {joined.repeats} entries came twice"
        )


def _run_export(options: argparse.Namespace) -> int:
    """Runs `export`."""
    import asyncio
    import secrets

    from driftstair.hosts import ListError, parse_address
    from driftstair.ledger.carrier import LedgerReader, export_ledger
    from driftstair.ledger.export import Exporter

    try:
        address = parse_address(options.to)
    except ListError:
        raise StoreError(f"--to {options.to[:60]!r} is no address; 10.0.0.9:7000 would do") from None
    folder = Path(options.folder)
    if not folder.is_dir() or not segment_paths(folder, options.node):
        raise StoreError(f"{options.folder} holds no ledger of {options.node[:60]!r}")
    session = secrets.randbits(52)
    exporter = Exporter(options.node, LedgerReader(folder, options.node).source(), session, session)
    try:
        reason = asyncio.run(export_ledger(exporter, address, options.give_up, options.follow))
    except KeyboardInterrupt:
        reason = "stopped by hand"
    print(f"{options.node}: entries up to {max(0, exporter.acknowledged)} are in the books", flush=True)
    if reason:
        print(f"driftstair: the export ended: {reason}", file=sys.stderr)
    return EXIT_FINDINGS if reason else EXIT_OK


def _run_writing(options: argparse.Namespace) -> int:
    """Runs `correct` or `close`. The entries form a run of their own in the node's ledger, between a begin
    and an end."""
    calendar, period = Calendar(options.zone), Period.parse(options.period)
    words = {word.value: word for word in UsageWord}
    if options.what == "correct" and options.word not in words:
        raise EntryError(f"--word {options.word[:40]!r}: one of {', '.join(words)} would do")
    folder = Path(options.folder)
    if not folder.is_dir() or not segment_paths(folder, options.node):
        raise StoreError(f"{options.folder} holds no ledger of {options.node[:60]!r}")
    store = Store(folder, options.node)
    opened = store.open()
    try:
        now_ms = time.time_ns() // 1_000_000
        book = Book(options.node, calendar, opened.head)
        data = book.encode_and_confirm(book.begin(now_ms, 0, opened.truncated_lines))
        entries: list[Entry]
        if options.what == "close":
            entries = book.close(now_ms, period)
        else:
            entries = book.correct(
                now_ms, period, options.tenant, words[options.word], options.count, options.author,
                options.reason, options.reference,
            )  # fmt: skip
        data += book.encode_and_confirm(entries)
        data += book.encode_and_confirm(book.end(now_ms))
        store.append(data, sync=True)
    finally:
        store.close()
    print(f"entry {entries[-1].number} of {options.node}, for {entries[-1].period}")
    return EXIT_OK
