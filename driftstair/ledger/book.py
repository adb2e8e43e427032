"""One node's book: counts the outcomes of requests between two commits and builds the entries of each commit.

This module does no I/O. Its caller stores the entries of one call (see `segments`) before it requests the
next. Entries that are not stored yet are lost if the process dies; the next run then records a gap that says
since when.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from driftstair.ledger.entries import (
    INITIAL_DIGEST,
    MAX_TEXT_CHARS,
    Entry,
    EntryError,
    Kind,
    UsageWord,
    check_entry,
    decode_line,
    encode_line,
)
from driftstair.ledger.periods import Calendar, Period

MAX_TENANTS_PER_COMMIT = 10_000  # further tenants are counted together
OTHER_TENANTS = "(others)"
NO_TENANT = "(none)"


class UsageKey(NamedTuple):
    """The key of a count: one word of one tenant in one period."""

    period: Period
    tenant: str
    word: UsageWord


class Head(NamedTuple):
    """The end of a ledger's chain: what the next entry has to follow."""

    number: int = 0
    digest: bytes = INITIAL_DIGEST
    at: int = 0  # time of the last entry, in ms
    ended: bool = True  # the last run ended in order
    closed_period: str = ""  # the newest closed period

    def advance(self, entry: Entry, digest: bytes) -> Head:
        """Returns the head after one more entry. Raises EntryError if the entry is not valid at this
        place."""
        if entry.number != self.number + 1:
            raise EntryError(f"entry {entry.number} follows {self.number}")
        if entry.kind is Kind.BEGIN:
            ended = False
        elif self.ended:
            raise EntryError(f"entry {entry.number} belongs to no life: no begin stands before it")
        else:
            ended = entry.kind is Kind.END
        if (
            entry.kind in (Kind.USE, Kind.CORRECTION)
            and self.closed_period
            and entry.period <= self.closed_period
        ):
            raise EntryError(f"entry {entry.number} is for {entry.period}, which is closed")
        closed_period = (
            max(self.closed_period, entry.period) if entry.kind is Kind.CLOSE else self.closed_period
        )
        return Head(entry.number, digest, entry.at, ended, closed_period)

    def read_next(self, encoded: bytes) -> tuple[Entry, Head]:
        """Returns the entry of the next line, given without its newline, and the head after it. Raises
        EntryError."""
        entry, digest = decode_line(self.digest, encoded)
        return entry, self.advance(entry, digest)


class Book:
    """The counts since the last commit, and the head of the ledger that they are written to."""

    def __init__(self, node: str, calendar: Calendar, head: Head = Head()) -> None:  # noqa: B008 - immutable
        self.node = node
        self.head = head
        self._calendar = calendar
        self._counts: Counter[UsageKey] = Counter()
        self._tenant_names: dict[str, str] = {}  # names as received -> as counted, in this commit

    def continue_chain(self, node: str, head: Head) -> None:
        """Makes the next entries follow the head of another chain. Counts stay."""
        self.node = node
        self.head = head

    # Counting requests.

    def count(self, arrived_ms: int, tenant: str, word: UsageWord) -> None:
        """Counts one request, or one extra attempt, by the time in ms at which the request arrived."""
        self._counts[UsageKey(self._open_period(arrived_ms), self._limit_name(tenant), word)] += 1

    def _open_period(self, arrived_ms: int) -> Period:
        """Returns the period of an arrival, or the first open one if that period is closed."""
        period = self._calendar.period(arrived_ms)
        if self.head.closed_period:
            period = max(period, Period.parse(self.head.closed_period).next())
        return period

    def _limit_name(self, tenant: str) -> str:
        """Returns the name that a tenant is counted under. Clients may send any name, so the names of a
        commit are limited: the requests of all further tenants are counted in one entry."""
        counted_name = self._tenant_names.get(tenant)
        if counted_name is None:
            counted_name = tenant[:MAX_TEXT_CHARS] or NO_TENANT
            if len(self._tenant_names) >= MAX_TENANTS_PER_COMMIT:
                return OTHER_TENANTS
            self._tenant_names[tenant] = counted_name
        return counted_name

    # Entries.

    def begin(self, now_ms: int, clock_error_ms: int, truncated_lines: int = 0) -> list[Entry]:
        """Returns the entries that begin a run of the node. They include a gap if the last run did not end in
        order or if incomplete lines were truncated (`truncated_lines`)."""
        entries = [self._entry(1, now_ms, Kind.BEGIN, since=clock_error_ms)]
        if not self.head.ended or truncated_lines:
            entries.append(self._entry(2, now_ms, Kind.GAP, count=truncated_lines, since=self.head.at))
        return entries

    def commit(self, now_ms: int) -> list[Entry]:
        """Returns entries for all counts since the last commit. The counts remain until `confirm` is called
        with the stored entries."""
        return [
            self._entry(offset, now_ms, Kind.USE, str(usage.period), usage.tenant, usage.word.value, count)
            for offset, (usage, count) in enumerate(sorted(self._counts.items(), key=_usage_sort_key), 1)
        ]

    def correct(
        self, now_ms: int, period: Period, tenant: str, word: UsageWord, count: int, author: str, reason: str,
        reference: str = "",
    ) -> list[Entry]:  # fmt: skip
        """Returns a correction; existing entries stay as they are. A correction of a closed period is entered
        in the first open one, with a reference to the closed one. Raises EntryError."""
        open_period = period
        if self.head.closed_period and str(period) <= self.head.closed_period:
            open_period = Period.parse(self.head.closed_period).next()
            reference = f"for {period}; {reference}" if reference else f"for {period}"
        entry = self._entry(
            1, now_ms, Kind.CORRECTION, str(open_period), tenant or NO_TENANT, word.value, count
        )
        entry = entry._replace(author=author, reason=reason, reference=reference)
        check_entry(entry)
        return [entry]

    def close(self, now_ms: int, period: Period) -> list[Entry]:
        """Returns the entries that close a period, preceded by all counts so far. Raises EntryError if the
        period has not ended or is closed already."""
        if now_ms < self._calendar.start(period.next()):
            raise EntryError(f"{period} has not ended: it can be closed from {period.next()} on")
        if self.head.closed_period and str(period) <= self.head.closed_period:
            raise EntryError(f"{period} is closed already")
        entries = self.commit(now_ms)
        return [*entries, self._entry(len(entries) + 1, now_ms, Kind.CLOSE, str(period))]

    def end(self, now_ms: int) -> list[Entry]:
        """Returns the entries that end a run of the node in order, preceded by all counts so far."""
        entries = self.commit(now_ms)
        return [*entries, self._entry(len(entries) + 1, now_ms, Kind.END)]

    def _entry(
        self, offset: int, now_ms: int, kind: Kind, period: str = "", tenant: str = "", word: str = "",
        count: int = 0, since: int = 0,
    ) -> Entry:  # fmt: skip
        """Returns an entry that is numbered `offset` after the head."""
        return Entry(self.node, self.head.number + offset, now_ms, kind, period, tenant, word, count, since)

    def encode(self, entries: list[Entry]) -> tuple[bytes, Head]:
        """Returns the entries' lines, and the head after them. Raises EntryError."""
        head, lines = self.head, []
        for entry in entries:
            encoded, digest = encode_line(head.digest, entry)
            head = head.advance(entry, digest)
            lines.append(encoded)
        return b"".join(lines), head

    def confirm(self, entries: list[Entry], head: Head) -> None:
        """Marks entries as stored: subtracts what they count and advances the head. Counts that were added in
        the meantime remain."""
        self.head = head
        for entry in entries:
            if entry.kind is Kind.USE:
                usage = UsageKey(Period.parse(entry.period), entry.tenant, UsageWord(entry.word))
                self._counts[usage] -= entry.quantity
                if not self._counts[usage]:
                    del self._counts[usage]
        if not self._counts:
            self._tenant_names.clear()

    def encode_and_confirm(self, entries: list[Entry]) -> bytes:
        """Encodes and confirms entries in one step, for a caller that can't fail to store them. Raises
        EntryError and then changes nothing."""
        lines, head = self.encode(entries)
        self.confirm(entries, head)
        return lines


def _usage_sort_key(item: tuple[UsageKey, int]) -> tuple[Period, str, str]:
    """Orders the entries of a commit by period, tenant and word."""
    return item[0].period, item[0].tenant, item[0].word.value
