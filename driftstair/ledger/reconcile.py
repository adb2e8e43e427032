"""Joins the ledgers of several nodes, and several copies of one ledger, and reports gaps and contradictions.

This module does no I/O: copies are given as lines. Entries are identified by node and number, so an entry
that appears in several copies is counted once.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from driftstair.ledger.book import Head
from driftstair.ledger.entries import Entry, EntryError, Kind


class Finding(NamedTuple):
    """A problem in a node's ledger, and the number of the first entry that it concerns."""

    node: str
    what: str  # fork, torn, open, lost or skew
    number: int
    text: str


class Account(NamedTuple):
    """The key of a total: one word of one tenant in one period."""

    period: str
    tenant: str
    word: str


@dataclass(slots=True)
class Total:
    """The usage of one account."""

    proven: int = 0  # in chains that are intact from their first line on
    bounded: int = 0  # in the longer branch of a fork: at least one copy records it
    corrected: int = 0  # the part of both that is due to corrections


@dataclass(slots=True)
class JoinedLedgers:
    """The result of joining ledgers."""

    totals: dict[Account, Total] = field(default_factory=lambda: defaultdict(Total))
    findings: list[Finding] = field(default_factory=list)
    repeats: int = 0  # entries that another copy repeats unchanged
    doubtful_periods: set[str] = field(default_factory=set)  # periods that a finding may concern
    heads: dict[str, Head] = field(default_factory=dict)  # by node: the end of its proven entries

    def is_proven(self, period: str) -> bool:
        """Whether no finding concerns the period."""
        return period not in self.doubtful_periods


class LedgerCopy(NamedTuple):
    """One copy of a node's ledger, up to the first line that breaks its chain."""

    node: str
    entries: list[tuple[Entry, bytes]]  # with their digests
    finding: Finding | None


def read_copy(lines: Iterable[bytes]) -> LedgerCopy:
    """Reads a copy up to the first line that does not follow; the lines after it prove nothing."""
    head, node = Head(), ""
    entries: list[tuple[Entry, bytes]] = []
    for line_number, encoded in enumerate(lines, 1):
        try:
            entry, next_head = head.read_next(encoded.removesuffix(b"\n"))
            if node and entry.node != node:
                raise EntryError(f"an entry of {entry.node} in the ledger of {node}")
        except EntryError as problem:
            return LedgerCopy(
                node, entries, Finding(node, "torn", line_number, f"line {line_number}: {problem}")
            )
        head, node = next_head, entry.node
        entries.append((entry, head.digest))
    return LedgerCopy(node, entries, None)


def join_copies(copies: Iterable[LedgerCopy], max_skew_ms: int = 1000) -> JoinedLedgers:
    """Joins copies of any number of nodes. A node's clock may run back by `max_skew_ms` between two entries
    before that is reported."""
    result = JoinedLedgers()
    by_node: defaultdict[str, list[LedgerCopy]] = defaultdict(list)
    for copy in copies:
        if copy.entries:
            by_node[copy.node].append(copy)
        elif copy.finding is not None:
            result.findings.append(copy.finding)
    for node in sorted(by_node):
        _join_node(result, node, by_node[node], max_skew_ms)
    return result


def _join_node(result: JoinedLedgers, node: str, copies: list[LedgerCopy], max_skew_ms: int) -> None:
    """Joins the copies of one node. The longest copy counts, and each other one has to be a prefix of it."""
    copies = sorted(copies, key=lambda copy: (-len(copy.entries), copy.entries[-1][1]))
    longest = copies[0]
    proven_entries = len(longest.entries)
    for other in copies[1:]:
        # In a chain, equal digests of one entry imply that all earlier entries are equal too.
        common = _common_prefix_length(longest.entries, other.entries)
        result.repeats += common
        if common < len(other.entries):
            proven_entries = min(proven_entries, common)
            number = other.entries[common][0].number
            text = f"two entries of number {number}: two processes wrote it, or an old copy was restored"
            result.findings.append(Finding(node, "fork", number, text))
            # From the fork on, either branch may be the right one. These periods are affected.
            result.doubtful_periods.update(
                entry.period for entry, _ in other.entries[common:] if entry.period
            )
    for copy in copies:
        # A damaged copy hides nothing if another copy continues beyond the damage.
        if copy.finding is not None and len(copy.entries) == len(longest.entries):
            result.findings.append(copy.finding._replace(node=node))
            result.doubtful_periods.add(_newest_period(longest.entries))
            break
    _add_entries(result, node, longest.entries, proven_entries)
    _check_sequence(result, node, longest.entries, max_skew_ms)


def _common_prefix_length(longer: list[tuple[Entry, bytes]], shorter: list[tuple[Entry, bytes]]) -> int:
    """Returns the number of leading entries that two chains share. Equal digests imply that all earlier
    entries are equal too, so a binary search finds the last shared one."""
    low, high = 0, min(len(longer), len(shorter))
    while low < high:
        middle = (low + high + 1) // 2
        if longer[middle - 1][1] == shorter[middle - 1][1]:
            low = middle
        else:
            high = middle - 1
    return low


def _add_entries(
    result: JoinedLedgers, node: str, entries: list[tuple[Entry, bytes]], proven_entries: int
) -> None:
    """Adds the usage of a node's entries to the totals. Entries after the first `proven_entries` are not
    proven."""
    head = Head()
    for index, (entry, digest) in enumerate(entries):
        if index < proven_entries:
            head = head.advance(entry, digest)
        elif entry.period:
            result.doubtful_periods.add(entry.period)
        if entry.kind not in (Kind.USE, Kind.CORRECTION):
            continue
        total = result.totals[Account(entry.period, entry.tenant, entry.word)]
        if index < proven_entries:
            total.proven += entry.quantity
        else:
            total.bounded += entry.quantity
        if entry.kind is Kind.CORRECTION:
            total.corrected += entry.quantity
    result.heads[node] = head


def _check_sequence(
    result: JoinedLedgers, node: str, entries: list[tuple[Entry, bytes]], max_skew_ms: int
) -> None:
    """Reports runs that did not end in order and clocks that ran back."""
    newest_period, latest_ms = "", 0
    for entry, _ in entries:
        if entry.at < latest_ms - max_skew_ms:
            text = f"its clock ran back by {latest_ms - entry.at} ms"
            result.findings.append(Finding(node, "skew", entry.number, text))
            latest_ms = entry.at  # reported once
        latest_ms = max(latest_ms, entry.at)
        if entry.kind is Kind.GAP:
            text = f"use since {entry.since} may be missing; {entry.quantity} lines were not whole"
            result.findings.append(Finding(node, "lost", entry.number, text))
            result.doubtful_periods.add(newest_period)
        newest_period = max(newest_period, entry.period)
    if entries and entries[-1][0].kind is not Kind.END:
        last = entries[-1][0]
        text = f"no end stands behind entry {last.number}: what came after it is in no book"
        result.findings.append(Finding(node, "open", last.number, text))
        result.doubtful_periods.add(newest_period)
    result.doubtful_periods.discard("")


def _newest_period(entries: list[tuple[Entry, bytes]]) -> str:
    """Returns the newest period of the entries, or an empty text."""
    return max((entry.period for entry, _ in entries), default="")


def compare_with_served(ledgers: JoinedLedgers, served: Mapping[Account, int]) -> dict[Account, int]:
    """Returns how much more usage the ledgers record than was observed, by account; the difference is
    negative if they record less. Accounts that agree are left out."""
    recorded = Counter({account: total.proven + total.bounded for account, total in ledgers.totals.items()})
    accounts = sorted({*recorded, *served})
    differences = {account: recorded[account] - served.get(account, 0) for account in accounts}
    return {account: difference for account, difference in differences.items() if difference}
