"""`driftstair ledger verify|show|reconcile|correct|close`, on folders of segments."""

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
from driftstair.ledger.entries import Entry, EntryError, Word
from driftstair.ledger.periods import Calendar, Period, PeriodError
from driftstair.ledger.reconcile import Account, Copy, Joined, Total, against, chained, joined
from driftstair.ledger.segments import Store, StoreError, lines, segments

FINE, FOUND, UNREADABLE = 0, 1, 2
FORMAT = "driftstair.ledger/1"
SEGMENT = re.compile(r"(.+)-\d{8}\.ledger", re.ASCII)
UNSEEN = re.compile(r"[^\x20-\x7e\u00a1-\uffff]|[\u200b-\u200f\u202a-\u202e\u2066-\u2069]")


def run(options: argparse.Namespace) -> int:
    try:
        if options.what in ("correct", "close"):
            return _write(options)
        if options.what == "export":
            return _export(options)
        return _read(options)
    except (StoreError, PeriodError, EntryError, OSError) as problem:
        print(f"driftstair: {problem}", file=sys.stderr)
        return UNREADABLE


def _shown(text: str) -> str:
    """Tenants are what clients said: nothing of it may move a terminal's cursor."""
    return UNSEEN.sub("?", text)


def copies(folder: str) -> Iterator[Copy]:
    """One for each node whose segments lie there. Raises StoreError where none do; OSError."""
    place = Path(folder)
    if not place.is_dir():
        raise StoreError(f"{folder} is no folder; the one that holds NODE-00000001.ledger would do")
    nodes = sorted({found[1] for path in place.iterdir() if (found := SEGMENT.fullmatch(path.name))})
    if not nodes:
        raise StoreError(f"{folder} holds no NODE-00000001.ledger")
    for node in nodes:
        paths = segments(place, node)
        yield chained(line for path in paths for line in lines(path))._replace(node=node)


def _read(options: argparse.Namespace) -> int:
    if getattr(options, "period", ""):
        Period.parse(options.period)
    if options.what == "verify":
        return _verify(options)
    books = joined(copy for folder in options.folders for copy in copies(folder))
    rows = [
        (account, total)
        for account, total in sorted(books.totals.items())
        if options.period in ("", account.period) and options.tenant in ("", account.tenant)
    ]
    seen = seen_of(options.served) if getattr(options, "served", "") else None
    beyond = {} if seen is None else against(books, seen)
    if options.json:
        document = _document(books, rows)
        if seen is not None:
            document["beyond"] = [{**account._asdict(), "by": by} for account, by in beyond.items()]
        json.dump(document, sys.stdout, indent=1)
        print()
    else:
        _tell(books, rows, findings=options.what == "reconcile")
        for account, by in beyond.items():
            more = "more" if by > 0 else "less"
            name = f"{account.period} {_shown(account.tenant)} {account.word}"
            print(f"{name}: the books say {abs(by)} {more} than the report")
        if seen is not None and not beyond:
            print(f"all {len(seen)} accounts of the report are as the books say")
    return FOUND if books.findings or beyond else FINE


def seen_of(file: str) -> dict[Account, int]:
    """What someone else saw, by rows: `{"totals": [{"period", "tenant", "word", "count"}, ...]}`.
    Raises StoreError, PeriodError."""
    try:
        tree = parse_text(read_text(file), json.loads)
        rows = tree["totals"]
        seen = {Account(row["period"], row["tenant"], row["word"]): row["count"] for row in rows}
    except FileError as problem:
        raise StoreError(f"{file}: {problem}") from None
    except (ValueError, KeyError, TypeError):
        why = 'is no report; {"totals": [{"period": "2026-02", ...}]} would do'
        raise StoreError(f"{file}: {why}") from None
    for place, (account, count) in enumerate(seen.items()):
        texts = all(isinstance(text, str) for text in account)
        if not texts or isinstance(count, bool) or not isinstance(count, int) or count < 0:
            raise StoreError(f"{file}: totals[{place}]: wants period, tenant and word as text, count from 0")
        Period.parse(account.period)
    if len(seen) != len(rows):
        raise StoreError(f"{file}: two rows are of one period, tenant and word")
    return {account: count for account, count in seen.items() if count}


def _verify(options: argparse.Namespace) -> int:
    status, found = FINE, []
    for folder in options.folders:
        for copy in copies(folder):
            last = copy.entries[-1][0].number if copy.entries else 0
            problem = "" if copy.finding is None else copy.finding.text
            status = FOUND if problem else status
            found.append({"folder": folder, "node": copy.node, "entries": last, "problem": problem})
            if not options.json:
                print(f"{folder}: {copy.node}: {last} entries stand" + (f"; {problem}" if problem else ""))
    if options.json:
        json.dump({"format": FORMAT, "ledgers": found}, sys.stdout, indent=1)
        print()
    return status


def _document(books: Joined, rows: list[tuple[Account, Total]]) -> dict[str, object]:
    return {
        "format": FORMAT,
        "totals": [
            {**account._asdict(), "proven": total.proven, "bounded": total.bounded,
             "corrected": total.corrected, "sure": books.is_proven(account.period)}
            for account, total in rows
        ],
        "findings": [finding._asdict() for finding in books.findings],
        "doubles": books.doubles,
    }  # fmt: skip


def _tell(books: Joined, rows: list[tuple[Account, Total]], findings: bool) -> None:
    print(f"{'period':8} {'tenant':24} {'word':8} {'proven':>12} {'bounded':>9} {'corrected':>9}")
    for account, total in rows:
        mark = "" if books.is_proven(account.period) else "  a finding touches this period"
        print(
            f"{account.period:8} {_shown(account.tenant)[:24]:24} {account.word:8} {total.proven:12} "
            f"{total.bounded:9} {total.corrected:9}{mark}"
        )
    if findings:
        for finding in books.findings:
            print(f"{finding.what}: {_shown(finding.node)}, entry {finding.number}: {_shown(finding.text)}")
        print(f"{len(books.heads)} nodes, {len(books.findings)} findings, {books.doubles} entries came twice")


def _export(options: argparse.Namespace) -> int:
    import asyncio
    import secrets

    from driftstair.hosts import ListError, parse_address
    from driftstair.ledger.carrier import Segments, carry
    from driftstair.ledger.export import Exporter

    try:
        address = parse_address(options.to)
    except ListError:
        raise StoreError(f"--to {options.to[:60]!r} is no address; 10.0.0.9:7000 would do") from None
    folder = Path(options.folder)
    if not folder.is_dir() or not segments(folder, options.node):
        raise StoreError(f"{options.folder} holds no ledger of {options.node[:60]!r}")
    session = secrets.randbits(52)
    exporter = Exporter(options.node, Segments(folder, options.node).lines(), session, session)
    try:
        why = asyncio.run(carry(exporter, address, options.give_up, options.follow))
    except KeyboardInterrupt:
        why = "stopped by hand"
    print(f"{options.node}: entries up to {max(0, exporter.acknowledged)} are in the books", flush=True)
    if why:
        print(f"driftstair: the export ended: {why}", file=sys.stderr)
    return FOUND if why else FINE


def _write(options: argparse.Namespace) -> int:
    """A life of its own in the node's ledger: what a hand wrote stands between a begin and an end."""
    calendar, period = Calendar(options.zone), Period.parse(options.period)
    words = {word.value: word for word in Word}
    if options.what == "correct" and options.word not in words:
        raise EntryError(f"--word {options.word[:40]!r}: one of {', '.join(words)} would do")
    folder = Path(options.folder)
    if not folder.is_dir() or not segments(folder, options.node):
        raise StoreError(f"{options.folder} holds no ledger of {options.node[:60]!r}")
    store = Store(folder, options.node)
    opened = store.open()
    try:
        now = time.time_ns() // 1_000_000
        book = Book(options.node, calendar, opened.head)
        data = book.written(book.begin(now, 0, opened.cut))
        entries: list[Entry]
        if options.what == "close":
            entries = book.close(now, period)
        else:
            entries = book.correct(
                now, period, options.tenant, words[options.word], options.count, options.author,
                options.reason, options.reference,
            )  # fmt: skip
        data += book.written(entries)
        data += book.written(book.end(now))
        store.append(data, sync=True)
    finally:
        store.close()
    print(f"entry {entries[-1].number} of {options.node}, for {entries[-1].period}")
    return FINE
