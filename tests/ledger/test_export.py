"""Tests that the export stores each entry once under loss, duplicates, reordering and kills at every step."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from test_ledger_core import build_ledger

from driftstair.ledger.book import Head
from driftstair.ledger.entries import INITIAL_DIGEST, Entry
from driftstair.ledger.export import (
    SESSION_LEASE_MS,
    Collector,
    Exporter,
    Hello,
    LineSource,
    Message,
    Offer,
    Refused,
    Taken,
)
from driftstair.ledger.reconcile import Account, compare_with_served, join_copies, read_copy


def line_source(lines: list[bytes]) -> LineSource:
    """Returns lines as an exporter reads them."""
    digests = [INITIAL_DIGEST, *(digest for _, digest in read_copy(lines).entries)]
    return LineSource(
        lambda first, max_lines: lines[first - 1 : first - 1 + max_lines],
        lambda number: digests[number] if 0 <= number < len(digests) else None,
    )


class BillingSide:
    """The stored ledgers, which outlive a collector's process."""

    def __init__(self) -> None:
        self.stored: dict[str, list[bytes]] = {}
        self.disk_full = False
        self.collector = Collector(self.store, {})

    def store(self, node: str, entries: list[Entry], lines: object) -> None:
        if self.disk_full:
            raise OSError("no space")
        assert isinstance(lines, tuple) and len(lines) == len(entries)
        self.stored.setdefault(node, []).extend(lines)

    def restart(self) -> None:
        """Replaces the collector by a new one that knows only what was stored."""
        heads = {}
        for node, lines in self.stored.items():
            head = Head()
            for entry, digest in read_copy(lines).entries:
                head = head.advance(entry, digest)
            heads[node] = head
        self.collector = Collector(self.store, heads)


@pytest.mark.parametrize("seed", range(50))
def test_totals_are_exact_over_a_network_that_loses_duplicates_and_reorders(seed: int) -> None:
    """Exporters and collectors are also killed at random."""
    random, billing, served = Random(seed), BillingSide(), Counter[Account]()
    sources, exporters = {}, {}
    for number in range(3):
        lines, node_served = build_ledger(f"n{number}", seed=seed * 10 + number, requests=150)
        served += node_served
        sources[f"n{number}"] = line_source(lines)
    sessions = iter(range(1, 10_000))
    for node, lines in sources.items():
        exporters[node] = Exporter(node, lines, next(sessions), seed)
    now_ms, in_transit = 0, []  # (arrival ms, to the collector, message)
    for _ in range(4000):
        if all(exporter.is_done() for exporter in exporters.values()):
            break
        now_ms += 100
        for node, exporter in exporters.items():
            if random.random() < 0.004:
                exporters[node] = exporter = Exporter(node, sources[node], next(sessions), seed)
            in_transit += _send_unreliably(random, now_ms, True, exporter.poll(now_ms))
        if random.random() < 0.004:
            billing.restart()
        arriving = [transmission for transmission in in_transit if transmission[0] <= now_ms]
        in_transit = [transmission for transmission in in_transit if transmission[0] > now_ms]
        random.shuffle(arriving)
        for _, to_collector, message in arriving:
            if to_collector:
                in_transit += _send_unreliably(
                    random, now_ms, False, billing.collector.receive(now_ms, message)
                )
            else:
                in_transit += _send_unreliably(
                    random, now_ms, True, exporters[message.node].receive(now_ms, message)
                )
    assert all(exporter.is_done() and not exporter.stop_reason for exporter in exporters.values())
    ledgers = join_copies([read_copy(lines) for lines in billing.stored.values()])
    assert not compare_with_served(ledgers, served) and not ledgers.findings


def _send_unreliably(
    random: Random, now_ms: int, to_collector: bool, messages: list[Message]
) -> list[tuple[int, bool, Message]]:
    """Returns zero to three copies of each message, with random arrival times."""
    in_transit = []
    for message in messages:
        for _ in range(random.choice((0, 1, 1, 1, 2, 3))):
            in_transit.append((now_ms + random.randrange(0, 1500), to_collector, message))
    return in_transit


def exchange_messages(exporter: Exporter, billing: BillingSide, now_ms: int, max_messages: int) -> int:
    """Delivers at most `max_messages` messages in order and without loss; returns how many there were."""
    pending: list[tuple[bool, Message]] = [(True, message) for message in exporter.poll(now_ms)]
    count = 0
    while pending and count < max_messages:
        to_collector, message = pending.pop(0)
        answers = (
            billing.collector.receive(now_ms, message) if to_collector else exporter.receive(now_ms, message)
        )
        pending += [(not to_collector, message) for message in answers]
        count += 1
    return count


def test_new_exporter_continues_after_a_kill_at_any_message() -> None:
    lines, served = build_ledger(requests=2000)
    total_messages = exchange_messages(Exporter("n0", line_source(lines), 1, 1), BillingSide(), 0, 1 << 30)
    assert total_messages > 6
    for delivered_messages in range(total_messages + 1):
        billing = BillingSide()
        exchange_messages(Exporter("n0", line_source(lines), 1, 1), billing, 0, delivered_messages)
        second = Exporter("n0", line_source(lines), 2, 1)
        exchange_messages(second, billing, SESSION_LEASE_MS + 1, 1 << 30)
        assert second.is_done() and billing.stored["n0"] == lines
    assert not compare_with_served(join_copies([read_copy(billing.stored["n0"])]), served)


def test_second_exporter_is_refused_while_the_first_is_active() -> None:
    lines, _ = build_ledger()
    billing = BillingSide()
    exchange_messages(Exporter("n0", line_source(lines), 1, 1), billing, 0, 2)
    (answer,) = billing.collector.receive(1000, Hello("n0", 2))
    assert isinstance(answer, Refused) and not answer.final
    (answer,) = billing.collector.receive(1000, Offer("n0", 2, 1, tuple(lines)))
    assert isinstance(answer, Refused) and not billing.stored
    (answer,) = billing.collector.receive(SESSION_LEASE_MS + 1000, Hello("n0", 2))
    assert isinstance(answer, Taken)
    (answer,) = billing.collector.receive(SESSION_LEASE_MS + 1000, Offer("n0", 1, 1, tuple(lines)))  # late
    assert isinstance(answer, Refused) and not billing.stored


def test_export_of_a_restored_old_copy_stops() -> None:
    lines, _ = build_ledger()
    billing = BillingSide()
    exchange_messages(Exporter("n0", line_source(lines), 1, 1), billing, 0, 1 << 30)
    other, _ = build_ledger(seed=2)
    for ledger in (other, lines[:5]):  # has other entries, or fewer than the collector
        exporter = Exporter("n0", line_source(ledger), 2, 1)
        billing.restart()
        exchange_messages(exporter, billing, SESSION_LEASE_MS + 1, 1 << 30)
        assert "another entry" in exporter.stop_reason and not exporter.poll(1 << 40)
    assert billing.stored["n0"] == lines


def test_entries_that_could_not_be_stored_are_not_acknowledged() -> None:
    lines, _ = build_ledger()
    billing = BillingSide()
    exporter = Exporter("n0", line_source(lines), 1, 1)
    exchange_messages(exporter, billing, 0, 2)
    billing.disk_full = True
    with pytest.raises(OSError):
        billing.collector.receive(0, Offer("n0", 1, 1, tuple(lines)))
    assert billing.collector.head("n0") == Head()
    billing.disk_full = False
    exchange_messages(exporter, billing, 1 << 20, 1 << 30)
    assert billing.stored["n0"] == lines


@pytest.mark.parametrize("invalid_line", [b"", b"x", b"0" * 32 + b" {}", b"\xff" * 5000])
def test_invalid_offer_is_refused_and_stores_nothing(invalid_line: bytes) -> None:
    lines, _ = build_ledger()
    billing = BillingSide()
    billing.collector.receive(0, Hello("n0", 1))
    (answer,) = billing.collector.receive(0, Offer("n0", 1, 1, (*lines[:3], invalid_line)))
    assert isinstance(answer, Refused) and answer.final and not billing.stored
    (answer,) = billing.collector.receive(0, Offer("n1", 1, 1, tuple(lines)))
    assert isinstance(answer, Refused)


def test_retry_pauses_double_and_are_spread_by_the_seed() -> None:
    lines, _ = build_ledger()
    pauses_by_seed = []
    for seed in range(40):
        exporter = Exporter("n0", line_source(lines), 1, seed)
        now_ms, pauses = 0, []
        for _ in range(9):
            assert exporter.poll(now_ms)
            pauses.append(exporter.next_poll_ms - now_ms)
            now_ms = exporter.next_poll_ms
        pauses_by_seed.append(pauses)
    assert len({pauses[3] for pauses in pauses_by_seed}) > 30
    assert max(pauses[0] for pauses in pauses_by_seed) <= 500
    assert min(pauses[8] for pauses in pauses_by_seed) >= 16_000
    assert max(pauses[8] for pauses in pauses_by_seed) <= 32_000


def test_exporter_continues_with_a_restarted_collector() -> None:
    """A restarted collector knows no session and refuses every offer. An exporter that did not say hello
    again was refused until its own restart."""
    lines, _ = build_ledger("n0", seed=4, requests=300)
    billing, exporter = BillingSide(), Exporter("n0", line_source(lines), 1, 1)
    now_ms = 0
    for turn in range(400):
        now_ms += 100
        if turn == 1:
            billing.restart()
        messages = exporter.poll(now_ms)
        while messages:
            answers = [
                answer for message in messages for answer in billing.collector.receive(now_ms, message)
            ]
            messages = (
                []
                if turn == 0
                else [reply for message in answers for reply in exporter.receive(now_ms, message)]
            )
            if turn == 0:  # the hello is answered, then the collector restarts
                exporter.receive(now_ms, answers[0])
    assert exporter.is_done() and billing.stored["n0"] == lines
