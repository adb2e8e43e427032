"""Export under loss, repeats, reordering and kills at every step: each entry once in the books."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from test_ledger_core import life

from driftstair.ledger.book import Head
from driftstair.ledger.entries import FIRST, Entry
from driftstair.ledger.export import LEASE, Collector, Exporter, Hello, Lines, Message, Offer, Refused, Taken
from driftstair.ledger.reconcile import Account, against, chained, joined


def of(lines: list[bytes]) -> Lines:
    digests = [FIRST, *(digest for _, digest in chained(lines).entries)]
    return Lines(
        lambda first, most: lines[first - 1 : first - 1 + most],
        lambda number: digests[number] if 0 <= number < len(digests) else None,
    )


class Billing:
    """The books, which outlive a collector's process."""

    def __init__(self) -> None:
        self.kept: dict[str, list[bytes]] = {}
        self.full = False
        self.collector = Collector(self.keep, {})

    def keep(self, node: str, entries: list[Entry], lines: object) -> None:
        if self.full:
            raise OSError("no space")
        assert isinstance(lines, tuple) and len(lines) == len(entries)
        self.kept.setdefault(node, []).extend(lines)

    def restart(self) -> None:
        heads = {}
        for node, lines in self.kept.items():
            head = Head()
            for entry, digest in chained(lines).entries:
                head = head.after(entry, digest)
            heads[node] = head
        self.collector = Collector(self.keep, heads)


@pytest.mark.parametrize("seed", range(50))
def test_a_network_that_loses_repeats_and_reorders(seed: int) -> None:
    """And exporters and collectors that are killed: fifty seeds, totals exact in each."""
    chance, billing, served = Random(seed), Billing(), Counter[Account]()
    ledgers, exporters = {}, {}
    for number in range(3):
        lines, own = life(f"n{number}", seed=seed * 10 + number, requests=150)
        served += own
        ledgers[f"n{number}"] = of(lines)
    sessions = iter(range(1, 10_000))
    for node, lines in ledgers.items():
        exporters[node] = Exporter(node, lines, next(sessions), seed)
    now, on_the_way = 0, []  # (due, to the collector, message)
    for _ in range(4000):
        if all(exporter.is_done() for exporter in exporters.values()):
            break
        now += 100
        for node, exporter in exporters.items():
            if chance.random() < 0.004:
                exporters[node] = exporter = Exporter(node, ledgers[node], next(sessions), seed)
            on_the_way += _sent(chance, now, True, exporter.poll(now))
        if chance.random() < 0.004:
            billing.restart()
        due = [one for one in on_the_way if one[0] <= now]
        on_the_way = [one for one in on_the_way if one[0] > now]
        chance.shuffle(due)
        for _, up, message in due:
            if up:
                on_the_way += _sent(chance, now, False, billing.collector.receive(now, message))
            else:
                on_the_way += _sent(chance, now, True, exporters[message.node].receive(now, message))
    assert all(exporter.is_done() and not exporter.stopped for exporter in exporters.values())
    books = joined([chained(lines) for lines in billing.kept.values()])
    assert not against(books, served) and not books.findings


def _sent(chance: Random, now: int, up: bool, messages: list[Message]) -> list[tuple[int, bool, Message]]:
    on_the_way = []
    for message in messages:
        for _ in range(chance.choice((0, 1, 1, 1, 2, 3))):
            on_the_way.append((now + chance.randrange(0, 1500), up, message))
    return on_the_way


def exchange(exporter: Exporter, billing: Billing, now: int, steps: int) -> int:
    """So many messages, one after the other, none lost; how many there were."""
    waiting: list[tuple[bool, Message]] = [(True, one) for one in exporter.poll(now)]
    count = 0
    while waiting and count < steps:
        up, message = waiting.pop(0)
        answers = billing.collector.receive(now, message) if up else exporter.receive(now, message)
        waiting += [(not up, one) for one in answers]
        count += 1
    return count


def test_an_exporter_killed_after_each_message_goes_on_where_the_books_stand() -> None:
    lines, served = life(requests=2000)
    steps = exchange(Exporter("n0", of(lines), 1, 1), Billing(), 0, 1 << 30)
    assert steps > 6
    for killed in range(steps + 1):
        billing = Billing()
        exchange(Exporter("n0", of(lines), 1, 1), billing, 0, killed)
        second = Exporter("n0", of(lines), 2, 1)
        exchange(second, billing, LEASE + 1, 1 << 30)
        assert second.is_done() and billing.kept["n0"] == lines
    assert not against(joined([chained(billing.kept["n0"])]), served)


def test_a_second_exporter_is_refused_while_the_first_is_at_work() -> None:
    lines, _ = life()
    billing = Billing()
    exchange(Exporter("n0", of(lines), 1, 1), billing, 0, 2)
    (answer,) = billing.collector.receive(1000, Hello("n0", 2))
    assert isinstance(answer, Refused) and not answer.final
    (answer,) = billing.collector.receive(1000, Offer("n0", 2, 1, tuple(lines)))
    assert isinstance(answer, Refused) and not billing.kept
    (answer,) = billing.collector.receive(LEASE + 1000, Hello("n0", 2))
    assert isinstance(answer, Taken)
    (answer,) = billing.collector.receive(LEASE + 1000, Offer("n0", 1, 1, tuple(lines)))  # the first is late
    assert isinstance(answer, Refused) and not billing.kept


def test_a_restored_old_copy_stops_its_export() -> None:
    lines, _ = life()
    billing = Billing()
    exchange(Exporter("n0", of(lines), 1, 1), billing, 0, 1 << 30)
    other, _ = life(seed=2)
    for ledger in (other, lines[:5]):  # went on otherwise; or holds less than the books
        late = Exporter("n0", of(ledger), 2, 1)
        billing.restart()
        exchange(late, billing, LEASE + 1, 1 << 30)
        assert "another entry" in late.stopped and not late.poll(1 << 40)
    assert billing.kept["n0"] == lines


def test_what_could_not_be_kept_is_not_acknowledged() -> None:
    lines, _ = life()
    billing = Billing()
    exporter = Exporter("n0", of(lines), 1, 1)
    exchange(exporter, billing, 0, 2)
    billing.full = True
    with pytest.raises(OSError):
        billing.collector.receive(0, Offer("n0", 1, 1, tuple(lines)))
    assert billing.collector.head("n0") == Head()
    billing.full = False
    exchange(exporter, billing, 1 << 20, 1 << 30)
    assert billing.kept["n0"] == lines


@pytest.mark.parametrize("spoilt", [b"", b"x", b"0" * 32 + b" {}", b"\xff" * 5000])
def test_a_spoilt_offer_is_refused_and_leaves_nothing(spoilt: bytes) -> None:
    lines, _ = life()
    billing = Billing()
    billing.collector.receive(0, Hello("n0", 1))
    (answer,) = billing.collector.receive(0, Offer("n0", 1, 1, (*lines[:3], spoilt)))
    assert isinstance(answer, Refused) and answer.final and not billing.kept
    (answer,) = billing.collector.receive(0, Offer("n1", 1, 1, tuple(lines)))
    assert isinstance(answer, Refused)


def test_pauses_double_and_are_spread_by_the_seed() -> None:
    lines, _ = life()
    waits = []
    for seed in range(40):
        exporter = Exporter("n0", of(lines), 1, seed)
        now, own = 0, []
        for _ in range(9):
            assert exporter.poll(now)
            own.append(exporter.wakes - now)
            now = exporter.wakes
        waits.append(own)
    assert len({own[3] for own in waits}) > 30
    assert max(own[0] for own in waits) <= 500
    assert min(own[8] for own in waits) >= 16_000
    assert max(own[8] for own in waits) <= 32_000


def test_an_exporter_goes_on_with_a_collector_that_was_restarted() -> None:
    """A new life of the collector knows no session: it turned every offer away, for ever, until the exporter
    was restarted as well."""
    lines, _ = life("n0", seed=4, requests=300)
    billing, exporter = Billing(), Exporter("n0", of(lines), 1, 1)
    now = 0
    for turn in range(400):
        now += 100
        if turn == 1:
            billing.restart()
        messages = exporter.poll(now)
        while messages:
            answers = [answer for one in messages for answer in billing.collector.receive(now, one)]
            messages = [] if turn == 0 else [more for one in answers for more in exporter.receive(now, one)]
            if turn == 0:  # the hello is answered, and then the collector dies
                exporter.receive(now, answers[0])
    assert exporter.is_done() and billing.kept["n0"] == lines
