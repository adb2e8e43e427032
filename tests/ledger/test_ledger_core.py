"""Tests the hash chain, periods, one node's book and the joining of ledgers, without files or clocks."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from random import Random

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from driftstair.ledger.book import MAX_TENANTS_PER_COMMIT, OTHER_TENANTS, Book, Head
from driftstair.ledger.entries import (
    INITIAL_DIGEST,
    MAX_COUNT,
    Entry,
    EntryError,
    Kind,
    UsageWord,
    canonical_json,
    decode_line,
    encode_line,
)
from driftstair.ledger.periods import MAX_CACHED_BOUNDARIES, Calendar, Period, PeriodError
from driftstair.ledger.reconcile import Account, compare_with_served, join_copies, read_copy

NOON_MS = int(datetime(2026, 2, 14, 12, tzinfo=UTC).timestamp() * 1000)
HOUR_MS = 3_600_000
FEBRUARY, MARCH = Period(2026, 2), Period(2026, 3)


def utc_ms(*moment: int) -> int:
    """Returns a UTC date and time as ms of Unix time."""
    return int(datetime(*moment, tzinfo=UTC).timestamp() * 1000)  # type: ignore[arg-type,misc]


def build_ledger(
    node: str = "n0", seed: int = 1, requests: int = 200, start_ms: int = NOON_MS
) -> tuple[list[bytes], Counter[Account]]:
    """Returns the lines of a ledger of one run, and what was actually served."""
    random, book, lines = Random(seed), Book(node, Calendar("UTC")), []
    served: Counter[Account] = Counter()
    lines += split_lines(book.encode_and_confirm(book.begin(start_ms, 20)))
    for step in range(requests):
        tenant, word = random.choice(("series", "live", "part\u00e9")), random.choice(list(UsageWord))
        book.count(start_ms + step, tenant, word)
        served[Account("2026-02", tenant, word.value)] += 1
        if step % 17 == 0:
            lines += split_lines(book.encode_and_confirm(book.commit(start_ms + step)))
    lines += split_lines(book.encode_and_confirm(book.end(start_ms + requests)))
    return lines, served


def split_lines(data: bytes) -> list[bytes]:
    """Returns the lines of encoded entries without their newlines."""
    return data.splitlines()


# Periods.


@pytest.mark.parametrize(
    ("zone", "time_ms", "period"),
    [
        ("UTC", utc_ms(2026, 2, 28, 23, 59, 59), "2026-02"),
        ("UTC", utc_ms(2026, 3, 1), "2026-03"),
        ("Africa/Kigali", utc_ms(2026, 2, 28, 21, 59, 59), "2026-02"),
        ("Africa/Kigali", utc_ms(2026, 2, 28, 22), "2026-03"),
        ("UTC", utc_ms(2028, 2, 29, 12), "2028-02"),  # leap day
        ("America/Sao_Paulo", utc_ms(2012, 3, 1, 2, 59), "2012-02"),
        ("Pacific/Apia", utc_ms(2011, 12, 30, 9, 59), "2011-12"),  # before the day that Samoa skipped
        ("Asia/Amman", utc_ms(2022, 3, 31, 21, 0), "2022-04"),  # midnight of 1 April, in summer time
        ("UTC", utc_ms(1969, 12, 31, 23), "1969-12"),
    ],
)  # fmt: skip
def test_calendar_returns_the_period_of_a_time(zone: str, time_ms: int, period: str) -> None:
    assert str(Calendar(zone).period(time_ms)) == period


@pytest.mark.parametrize(
    "zone", ["UTC", "Africa/Kigali", "America/Asuncion", "Australia/Lord_Howe", "Asia/Gaza"]
)
def test_consecutive_months_have_no_gap_or_overlap(zone: str) -> None:
    calendar, period = Calendar(zone), Period(2019, 1)
    for _ in range(8 * 12):
        start = calendar.start(period)
        assert calendar.period(start) == period
        assert calendar.period(start - 1).next() == period
        assert Calendar(zone).period(start - 1) == calendar.period(start - 1)  # for any earlier calls
        period = period.next()


def test_cache_of_month_starts_is_bounded() -> None:
    calendar = Calendar("UTC")
    for year in range(1, 400):
        calendar.period(utc_ms(1970, 1, 5) + year * 365 * 24 * HOUR_MS // 7)
    assert len(calendar._starts) <= MAX_CACHED_BOUNDARIES + 2


@pytest.mark.parametrize(
    "text", ["2026-13", "2026-00", "26-01", "2026-1", "0000-01", "9999-12", "", "2026-01 ", "\u0662026-01"]
)
def test_invalid_period_is_rejected(text: str) -> None:
    with pytest.raises(PeriodError, match="no period"):
        Period.parse(text)


@pytest.mark.parametrize("zone", ["Nowhere/Atall", "", "../UTC", "/etc/passwd", "Africa"])
def test_unknown_time_zone_is_rejected(zone: str) -> None:
    with pytest.raises(PeriodError, match="no time zone"):
        Calendar(zone)


def test_time_outside_the_calendar_is_rejected() -> None:
    with pytest.raises(PeriodError, match="no time of a calendar"):
        Calendar("UTC").period(1 << 60)


def test_time_within_the_clock_error_of_a_month_start_is_detected() -> None:
    calendar = Calendar("UTC")
    assert calendar.is_near_boundary(utc_ms(2026, 3, 1) + 20, 50)
    assert not calendar.is_near_boundary(utc_ms(2026, 3, 1) + 51, 50)


# The chain.


def test_every_single_bit_flip_is_detected() -> None:
    lines, _ = build_ledger(requests=4)
    data = b"\n".join(lines)
    for index in range(len(data)):
        for bit in range(8):
            modified = bytearray(data)
            modified[index] ^= 1 << bit
            copy = read_copy(bytes(modified).split(b"\n"))
            assert copy.finding is not None, (index, bit)


def test_removed_duplicated_or_swapped_lines_are_detected() -> None:
    lines, _ = build_ledger()
    swapped = [*lines[:3], lines[4], lines[3], *lines[5:]]
    for modified in (lines[1:], lines[:4] + lines[5:], swapped, [*lines, lines[-1]]):
        assert read_copy(modified).finding is not None
    assert read_copy(lines).finding is None


@pytest.mark.parametrize(
    "text",
    [
        b"", b"[]", b"{}", b"null", b"[" * 100_000, b'{"node":"a"}',
        b'{"at":1,"kind":"use","node":"n0","number":1}',
        b'{"at":1,"kind":"fine","node":"n0","number":1}',
        b'{"at":1,"kind":["begin"],"node":"n0","number":1}',
        b'{"at":1.5,"kind":"begin","node":"n0","number":1}',
        b'{"at":1,"kind":"begin","node":"n0","number":true}',
        b'{"at":1,"kind":"begin","node":"n0","number":0}',
        b'{"at":1,"kind":"begin","node":"","number":1}',
        b'{"at":1,"kind":"begin","node":"n0","number":1,"price":2}',
        b'{"at":1, "kind":"begin","node":"n0","number":1}',  # not canonical: a space
        b'{"at":1,"kind":"begin","node":"n0","number":1,"since":0}',  # not canonical: a default value
    ],
)  # fmt: skip
def test_invalid_entry_with_a_valid_digest_is_rejected(text: bytes) -> None:
    from driftstair.ledger.entries import chain_digest

    with pytest.raises(EntryError):
        decode_line(INITIAL_DIGEST, chain_digest(INITIAL_DIGEST, text).hex().encode() + b" " + text)


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(
    st.text(min_size=1, max_size=20), st.integers(1, MAX_COUNT), st.integers(-MAX_COUNT, MAX_COUNT),
    st.text(max_size=40), st.sampled_from(list(UsageWord)), st.integers(1, MAX_COUNT),
)  # fmt: skip
def test_encoded_entry_is_decoded_unchanged(
    node: str, number: int, time_ms: int, tenant: str, word: UsageWord, count: int
) -> None:
    entry = Entry(node, number, time_ms, Kind.USE, "2026-02", tenant, word.value, count)
    encoded, digest = encode_line(INITIAL_DIGEST, entry)
    assert encoded.count(b"\n") == 1
    assert decode_line(INITIAL_DIGEST, encoded[:-1]) == (entry, digest)
    assert canonical_json(entry) in encoded


def test_too_long_line_is_rejected_and_changes_nothing() -> None:
    book = Book("n0", Calendar("UTC"))
    with pytest.raises(EntryError):
        book.encode_and_confirm([Entry("n" * 500, 1, NOON_MS, Kind.BEGIN)])
    assert book.head == Head()


# One node's book.


def test_request_counts_in_the_period_of_its_arrival() -> None:
    book = Book("n0", Calendar("UTC"))
    book.encode_and_confirm(book.begin(utc_ms(2026, 2, 28, 23, 59), 20))
    book.count(utc_ms(2026, 2, 28, 23, 59, 59), "live", UsageWord.SERVED)
    (entry,) = book.commit(utc_ms(2026, 3, 1, 0, 0, 2))
    assert entry.period == "2026-02"


def test_closed_period_accepts_no_entries() -> None:
    book = Book("n0", Calendar("UTC"))
    book.encode_and_confirm(book.begin(NOON_MS, 20))
    book.count(NOON_MS, "live", UsageWord.SERVED)
    with pytest.raises(EntryError, match="has not ended"):
        book.close(NOON_MS, FEBRUARY)
    later_ms = utc_ms(2026, 3, 2)
    book.encode_and_confirm(book.close(later_ms, FEBRUARY))
    book.count(NOON_MS, "live", UsageWord.SERVED)  # the clock was set back over the boundary
    entries = book.commit(later_ms)
    assert [entry.period for entry in entries] == ["2026-03"]
    book.encode_and_confirm(entries)
    (entry,) = book.correct(
        later_ms, FEBRUARY, "live", UsageWord.SERVED, -1, "accounts", "counted twice", "ticket 7"
    )
    assert entry.period == "2026-03" and entry.reference == "for 2026-02; ticket 7"
    book.encode_and_confirm([entry])
    with pytest.raises(EntryError, match="closed already"):
        book.close(later_ms, FEBRUARY)
    with pytest.raises(EntryError, match="is closed"):
        book.encode_and_confirm([entry._replace(number=book.head.number + 1, period="2026-02")])


@pytest.mark.parametrize(("author", "reason", "count"), [("", "why", 1), ("who", "", 1), ("who", "why", 0)])
def test_correction_requires_author_reason_and_count(author: str, reason: str, count: int) -> None:
    book = Book("n0", Calendar("UTC"))
    with pytest.raises(EntryError):
        book.correct(NOON_MS, FEBRUARY, "live", UsageWord.SERVED, count, author, reason)


def test_entries_of_a_commit_are_bounded_for_any_number_of_tenants() -> None:
    book = Book("n0", Calendar("UTC"))
    book.encode_and_confirm(book.begin(NOON_MS, 20))
    for number in range(MAX_TENANTS_PER_COMMIT + 500):
        book.count(NOON_MS, f"made-up-{number}", UsageWord.REFUSED)
    entries = book.commit(NOON_MS)
    assert len(entries) == MAX_TENANTS_PER_COMMIT + 1
    assert sum(entry.quantity for entry in entries) == MAX_TENANTS_PER_COMMIT + 500
    assert [entry.quantity for entry in entries if entry.tenant == OTHER_TENANTS] == [500]
    book.encode_and_confirm(entries)
    book.count(NOON_MS, "made-up-too", UsageWord.REFUSED)  # the limit applies to each commit
    assert [entry.tenant for entry in book.commit(NOON_MS)] == ["made-up-too"]


def test_run_after_an_unclean_end_records_a_gap() -> None:
    first = Book("n0", Calendar("UTC"))
    first.encode_and_confirm(first.begin(NOON_MS, 20))
    first.count(NOON_MS, "live", UsageWord.SERVED)
    first.encode_and_confirm(first.commit(NOON_MS + 100))
    first.count(NOON_MS + 150, "live", UsageWord.SERVED)  # lost with the process
    second = Book("n0", Calendar("UTC"), first.head)
    begin, gap = second.begin(NOON_MS + HOUR_MS, 20, truncated_lines=1)
    assert (begin.kind, gap.kind) == (Kind.BEGIN, Kind.GAP)
    assert (gap.since, gap.quantity) == (NOON_MS + 100, 1)


# Joined ledgers.


def test_joined_ledgers_equal_what_was_served() -> None:
    copies, served = [], Counter[Account]()
    for number in range(7):
        lines, node_served = build_ledger(f"n{number}", seed=number, requests=100 + number)
        copies.append(read_copy(lines))
        served += node_served
    ledgers = join_copies(copies)
    assert not compare_with_served(ledgers, served) and not ledgers.findings and not ledgers.doubtful_periods
    assert all(total.bounded == 0 for total in ledgers.totals.values())


def test_copies_of_one_ledger_count_once() -> None:
    lines, served = build_ledger()
    ledgers = join_copies([read_copy(lines), read_copy(lines), read_copy(lines[:5])])
    assert not compare_with_served(ledgers, served) and not ledgers.findings
    assert ledgers.repeats == len(lines) + 5


def test_restored_old_copy_with_new_entries_is_a_fork() -> None:
    """A machine that is restored from an old copy writes the same entry numbers again."""
    lines, _ = build_ledger()
    book = Book("n0", Calendar("UTC"), _head_after(lines[:4]))
    restored = lines[:4] + split_lines(book.encode_and_confirm(book.begin(NOON_MS + HOUR_MS, 20)))
    ledgers = join_copies([read_copy(lines), read_copy(restored)])
    (fork,) = [finding for finding in ledgers.findings if finding.what == "fork"]
    assert (fork.node, fork.number) == ("n0", 5)
    assert not ledgers.is_proven("2026-02")
    assert sum(total.proven for total in ledgers.totals.values()) == sum(
        entry.quantity for entry, _ in read_copy(lines[:4]).entries if entry.kind is Kind.USE
    )


def test_ledger_without_an_end_makes_its_period_unproven() -> None:
    lines, _ = build_ledger()
    ledgers = join_copies([read_copy(lines[:-1])])
    assert [finding.what for finding in ledgers.findings] == ["open"]
    assert not ledgers.is_proven("2026-02")


def test_clock_that_ran_back_is_reported() -> None:
    book, lines = Book("n0", Calendar("UTC")), []
    lines += split_lines(book.encode_and_confirm(book.begin(NOON_MS, 20)))
    book.count(NOON_MS, "live", UsageWord.SERVED)
    lines += split_lines(book.encode_and_confirm(book.end(NOON_MS - HOUR_MS)))
    assert [finding.what for finding in join_copies([read_copy(lines)]).findings] == ["skew"]


def test_gap_makes_the_period_that_may_lack_usage_unproven() -> None:
    lines, _ = build_ledger(requests=30)
    older_copy = read_copy(lines[:-1])
    book = Book("n0", Calendar("UTC"), _head_after(lines[:-1]))
    continued = lines[:-1] + split_lines(book.encode_and_confirm(book.begin(NOON_MS + HOUR_MS, 20)))
    continued += split_lines(book.encode_and_confirm(book.end(NOON_MS + HOUR_MS)))
    ledgers = join_copies([read_copy(continued), older_copy])
    assert [finding.what for finding in ledgers.findings] == ["lost"]
    assert not ledgers.is_proven("2026-02")


def test_entry_of_another_node_is_rejected() -> None:
    lines, _ = build_ledger()
    head = _head_after(lines[:4])
    foreign_line, _ = encode_line(head.digest, Entry("n9", 5, NOON_MS, Kind.END))
    finding = read_copy([*lines[:4], foreign_line]).finding
    assert finding is not None and "n9 in the ledger of n0" in finding.text


@hypothesis_settings(max_examples=60, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 1 << 32), st.integers(1, 5), st.data())
def test_truncated_copies_never_total_more_than_was_served(
    seed: int, nodes: int, data: st.DataObject
) -> None:
    copies, served = [], Counter[Account]()
    for number in range(nodes):
        lines, node_served = build_ledger(f"n{number}", seed=seed + number, requests=60)
        served += node_served
        for _ in range(data.draw(st.integers(1, 3))):
            copies.append(read_copy(lines[: data.draw(st.integers(0, len(lines)))]))
    ledgers = join_copies(copies)
    assert all(difference < 0 for difference in compare_with_served(ledgers, served).values())
    assert not [finding for finding in ledgers.findings if finding.what == "fork"]
    if compare_with_served(ledgers, served):
        open_findings = [finding for finding in ledgers.findings if finding.what == "open"]
        assert open_findings or len(ledgers.heads) < nodes


def _head_after(lines: list[bytes]) -> Head:
    """Returns the end of a chain of lines."""
    head = Head()
    for entry, digest in read_copy(lines).entries:
        head = head.advance(entry, digest)
    return head
