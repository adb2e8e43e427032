"""One node's book: counts what requests came to between two commits, and words the entries of each commit.

Pure: what it gives is written by whoever stores it (`segments`), in this order and before the next. Until
an entry is written it may be lost with the process, and the next life's `begin` says since when.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from driftstair.ledger.entries import FIRST, TEXT_MOST, Entry, EntryError, Kind, Word, check, line, read
from driftstair.ledger.periods import Calendar, Period

TENANTS_MOST = 10_000  # names in one commit; the rest are counted together
OTHERS = "(others)"
UNNAMED = "(none)"


class Use(NamedTuple):
    period: Period
    tenant: str
    word: Word


class Head(NamedTuple):
    """Where a ledger stands: what the next entry follows."""

    number: int = 0
    digest: bytes = FIRST
    at: int = 0  # of the last entry, ms
    ended: bool = True  # its last life ended in order
    closed: str = ""  # the newest period that is closed

    def after(self, entry: Entry, digest: bytes) -> Head:
        """Raises EntryError where the entry can't follow."""
        if entry.number != self.number + 1:
            raise EntryError(f"entry {entry.number} follows {self.number}")
        if entry.kind is Kind.BEGIN:
            ended = False
        elif self.ended:
            raise EntryError(f"entry {entry.number} belongs to no life: no begin stands before it")
        else:
            ended = entry.kind is Kind.END
        if entry.kind in (Kind.USE, Kind.CORRECTION) and self.closed and entry.period <= self.closed:
            raise EntryError(f"entry {entry.number} is for {entry.period}, which is closed")
        closed = max(self.closed, entry.period) if entry.kind is Kind.CLOSE else self.closed
        return Head(entry.number, digest, entry.at, ended, closed)

    def follow(self, whole: bytes) -> tuple[Entry, Head]:
        """The entry that a line without its end holds, and the head behind it. Raises EntryError."""
        entry, digest = read(self.digest, whole)
        return entry, self.after(entry, digest)


class Book:
    """Counts, and the head of the ledger that they go to."""

    def __init__(self, node: str, calendar: Calendar, head: Head = Head()) -> None:  # noqa: B008 - immutable
        self.node = node
        self.head = head
        self._calendar = calendar
        self._counts: Counter[Use] = Counter()
        self._names: dict[str, str] = {}  # of this commit

    # What requests come to.

    def count(self, arrived: int, tenant: str, word: Word) -> None:
        """One request, or one thing counted besides, by its arrival in ms."""
        self._counts[Use(self._open_period(arrived), self._name(tenant), word)] += 1

    def _open_period(self, arrived: int) -> Period:
        period = self._calendar.period(arrived)
        if self.head.closed:
            period = max(period, Period.parse(self.head.closed).next())
        return period

    def _name(self, tenant: str) -> str:
        """Clients make names up: a million of them cost one entry."""
        known = self._names.get(tenant)
        if known is None:
            known = tenant[:TEXT_MOST] or UNNAMED
            if len(self._names) >= TENANTS_MOST:
                return OTHERS
            self._names[tenant] = known
        return known

    # Entries.

    def begin(self, now: int, uncertainty: int, cut: int = 0) -> list[Entry]:
        """A life begins. `cut`: lines at the end of the ledger that were not whole."""
        entries = [self._entry(1, now, Kind.BEGIN, since=uncertainty)]
        if not self.head.ended or cut:
            entries.append(self._entry(2, now, Kind.GAP, count=cut, since=self.head.at))
        return entries

    def commit(self, now: int) -> list[Entry]:
        """All counts since the last one. They stand until `settle` says that these entries are kept."""
        return [
            self._entry(place, now, Kind.USE, str(use.period), use.tenant, use.word.value, count)
            for place, (use, count) in enumerate(sorted(self._counts.items(), key=_order), 1)
        ]

    def correct(
        self, now: int, period: Period, tenant: str, word: Word, count: int, author: str, reason: str,
        reference: str = "",
    ) -> list[Entry]:  # fmt: skip
        """What stands stays. A closed period's correction goes into the one after, and names the one it is
        for. Raises EntryError."""
        goes_to = period
        if self.head.closed and str(period) <= self.head.closed:
            goes_to = Period.parse(self.head.closed).next()
            reference = f"for {period}; {reference}" if reference else f"for {period}"
        entry = self._entry(1, now, Kind.CORRECTION, str(goes_to), tenant or UNNAMED, word.value, count)
        entry = entry._replace(author=author, reason=reason, reference=reference)
        check(entry)
        return [entry]

    def close(self, now: int, period: Period) -> list[Entry]:
        """What is counted for it until now goes before. Raises EntryError for one that has not ended."""
        if now < self._calendar.start(period.next()):
            raise EntryError(f"{period} has not ended: it can be closed from {period.next()} on")
        if self.head.closed and str(period) <= self.head.closed:
            raise EntryError(f"{period} is closed already")
        entries = self.commit(now)
        return [*entries, self._entry(len(entries) + 1, now, Kind.CLOSE, str(period))]

    def end(self, now: int) -> list[Entry]:
        entries = self.commit(now)
        return [*entries, self._entry(len(entries) + 1, now, Kind.END)]

    def _entry(
        self, place: int, now: int, kind: Kind, period: str = "", tenant: str = "", word: str = "",
        count: int = 0, since: int = 0,
    ) -> Entry:  # fmt: skip
        return Entry(self.node, self.head.number + place, now, kind, period, tenant, word, count, since)

    def worded(self, entries: list[Entry]) -> tuple[bytes, Head]:
        """Their lines, and the head behind them. Raises EntryError."""
        head, lines = self.head, []
        for entry in entries:
            whole, digest = line(head.digest, entry)
            head = head.after(entry, digest)
            lines.append(whole)
        return b"".join(lines), head

    def settle(self, entries: list[Entry], head: Head) -> None:
        """They are kept: what they count is counted here no more. What came meanwhile stays."""
        self.head = head
        for entry in entries:
            if entry.kind is Kind.USE:
                use = Use(Period.parse(entry.period), entry.tenant, Word(entry.word))
                self._counts[use] -= entry.quantity
                if not self._counts[use]:
                    del self._counts[use]
        if not self._counts:
            self._names.clear()

    def written(self, entries: list[Entry]) -> bytes:
        """Both at once, for a store that can't fail. Raises EntryError, and all is as before then."""
        lines, head = self.worded(entries)
        self.settle(entries, head)
        return lines


def _order(item: tuple[Use, int]) -> tuple[Period, str, str]:
    return item[0].period, item[0].tenant, item[0].word.value
