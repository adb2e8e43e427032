"""Several nodes' ledgers, and several copies of one, joined: what is proven, what is missing, what
contradicts.

Pure: copies come as lines. Entries are named by node and number, so a repeat of one is harmless, whatever
copy or message it came by.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from driftstair.ledger.book import Head
from driftstair.ledger.entries import Entry, EntryError, Kind


class Finding(NamedTuple):
    """What is wrong with a node's books, and from which number on."""

    node: str
    what: str  # fork, torn, open, lost, skew
    number: int
    text: str


class Account(NamedTuple):
    period: str
    tenant: str
    word: str


@dataclass(slots=True)
class Total:
    proven: int = 0  # in chains that are whole from their first line on
    bounded: int = 0  # in the longer branch of a fork, or behind a gap: at least one book says so
    corrected: int = 0  # of these, by corrections


@dataclass(slots=True)
class Joined:
    totals: dict[Account, Total] = field(default_factory=lambda: defaultdict(Total))
    findings: list[Finding] = field(default_factory=list)
    doubles: int = 0  # entries that came more than once, all alike
    doubtful: set[str] = field(default_factory=set)  # periods that a finding may touch
    heads: dict[str, Head] = field(default_factory=dict)  # of each node, up to where it is proven

    def is_proven(self, period: str) -> bool:
        return period not in self.doubtful


class Copy(NamedTuple):
    """One copy of a node's ledger, as far as its chain holds."""

    node: str
    entries: list[tuple[Entry, bytes]]  # with their digests
    finding: Finding | None


def chained(lines: Iterable[bytes]) -> Copy:
    """Reads a copy up to the first line that does not fit; what stands behind that proves nothing."""
    head, node = Head(), ""
    entries: list[tuple[Entry, bytes]] = []
    for place, whole in enumerate(lines, 1):
        try:
            entry, behind = head.follow(whole.removesuffix(b"\n"))
            if node and entry.node != node:
                raise EntryError(f"an entry of {entry.node} in the ledger of {node}")
        except EntryError as problem:
            return Copy(node, entries, Finding(node, "torn", place, f"line {place}: {problem}"))
        head, node = behind, entry.node
        entries.append((entry, head.digest))
    return Copy(node, entries, None)


def joined(copies: Iterable[Copy], skew: int = 1000) -> Joined:
    """`skew`: ms that a node's time may run back between two entries before it is told."""
    result = Joined()
    by_node: defaultdict[str, list[Copy]] = defaultdict(list)
    for copy in copies:
        if copy.entries:
            by_node[copy.node].append(copy)
        elif copy.finding is not None:
            result.findings.append(copy.finding)
    for node in sorted(by_node):
        _join_node(result, node, by_node[node], skew)
    return result


def _join_node(result: Joined, node: str, copies: list[Copy], skew: int) -> None:
    """The longest copy is the book; each other one has to be a first part of it."""
    copies = sorted(copies, key=lambda copy: (-len(copy.entries), copy.entries[-1][1]))
    book = copies[0]
    proven = len(book.entries)
    for other in copies[1:]:
        # A chain: where the last digest of the shorter one stands in the longer, all before it does too.
        same = _common(book.entries, other.entries)
        result.doubles += same
        if same < len(other.entries):
            proven = min(proven, same)
            number = other.entries[same][0].number
            text = f"two entries of number {number}: two processes wrote it, or an old copy was restored"
            result.findings.append(Finding(node, "fork", number, text))
            # From the other branch's time on nothing is sure; whichever is right, these are the periods.
            result.doubtful.update(entry.period for entry, _ in other.entries[same:] if entry.period)
    for copy in copies:
        # A copy that breaks off where another goes on hides nothing.
        if copy.finding is not None and len(copy.entries) == len(book.entries):
            result.findings.append(copy.finding._replace(node=node))
            result.doubtful.add(_newest_period(book.entries))
            break
    _add(result, node, book.entries, proven)
    _look_at(result, node, book.entries, skew)


def _common(longer: list[tuple[Entry, bytes]], shorter: list[tuple[Entry, bytes]]) -> int:
    """How many entries two chains share: a search for the last one, as all before it are shared too."""
    low, high = 0, min(len(longer), len(shorter))
    while low < high:
        middle = (low + high + 1) // 2
        if longer[middle - 1][1] == shorter[middle - 1][1]:
            low = middle
        else:
            high = middle - 1
    return low


def _add(result: Joined, node: str, entries: list[tuple[Entry, bytes]], proven: int) -> None:
    head = Head()
    for place, (entry, digest) in enumerate(entries):
        if place < proven:
            head = head.after(entry, digest)
        elif entry.period:
            result.doubtful.add(entry.period)
        if entry.kind not in (Kind.USE, Kind.CORRECTION):
            continue
        total = result.totals[Account(entry.period, entry.tenant, entry.word)]
        if place < proven:
            total.proven += entry.quantity
        else:
            total.bounded += entry.quantity
        if entry.kind is Kind.CORRECTION:
            total.corrected += entry.quantity
    result.heads[node] = head


def _look_at(result: Joined, node: str, entries: list[tuple[Entry, bytes]], skew: int) -> None:
    """Lives that did not end in order, and clocks that ran back."""
    newest, latest = "", 0
    for entry, _ in entries:
        if entry.at < latest - skew:
            text = f"its clock ran back by {latest - entry.at} ms"
            result.findings.append(Finding(node, "skew", entry.number, text))
            latest = entry.at  # told once
        latest = max(latest, entry.at)
        if entry.kind is Kind.GAP:
            text = f"use since {entry.since} may be missing; {entry.quantity} lines were not whole"
            result.findings.append(Finding(node, "lost", entry.number, text))
            result.doubtful.add(newest)
        newest = max(newest, entry.period)
    if entries and entries[-1][0].kind is not Kind.END:
        last = entries[-1][0]
        text = f"no end stands behind entry {last.number}: what came after it is in no book"
        result.findings.append(Finding(node, "open", last.number, text))
        result.doubtful.add(newest)
    result.doubtful.discard("")


def _newest_period(entries: list[tuple[Entry, bytes]]) -> str:
    return max((entry.period for entry, _ in entries), default="")


def against(joined_books: Joined, served: Mapping[Account, int]) -> dict[Account, int]:
    """What the books say beyond what was seen, by account; below 0 where they say less. Empty: they agree."""
    said = Counter({account: total.proven + total.bounded for account, total in joined_books.totals.items()})
    accounts = sorted({*said, *served})
    differences = {account: said[account] - served.get(account, 0) for account in accounts}
    return {account: by for account, by in differences.items() if by}
