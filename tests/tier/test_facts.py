"""The fact store: results independent of order and duplicates, expiry, and gossip between nodes."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.tier.shared import wire
from driftstair.tier.shared.core import SendItems, SharedState
from driftstair.tier.shared.facts import (
    EVIDENCE,
    FLIGHT,
    KINDS,
    LOAD,
    MAX_TRANSIT_NS,
    NS_PER_MS,
    Fact,
    FactStore,
)
from driftstair.tier.shared.gossip import FACTS_PER_DATAGRAM, FANOUT, ROUND_NS, Gossip

SECOND = 1000 * NS_PER_MS
LIFETIME_NS = KINDS[EVIDENCE].lifetime_ns
VALUE = (4, 2, 0, 7, 1)

# A fact has one writer, so each version has one value.
FACTS = st.builds(
    lambda owner, generation, version, subject, age: Fact(
        owner, generation, version, EVIDENCE, subject, SECOND - age * NS_PER_MS,
        (version, generation, subject, owner, 0),
    ),
    st.integers(1, 3), st.integers(1, 2), st.integers(1, 4), st.integers(0, 2), st.integers(0, 900),
)  # fmt: skip


def stored_after(received: list[Fact]) -> dict[tuple[int, int, int], tuple[int, tuple[int, ...]]]:
    facts = FactStore(0, 1, Random(0))
    for fact in received:
        facts.merge(SECOND, fact, 4)
    return {fact.fact_key(): (fact.written_at, fact.value) for fact in facts._facts.values()}


@settings(max_examples=300, deadline=None)
@given(st.lists(FACTS, max_size=14), st.randoms(use_true_random=False))
def test_order_and_duplicates_of_received_facts_do_not_change_the_store(
    received: list[Fact], random: Random
) -> None:
    repeated = received + [random.choice(received) for _ in range(len(received))]
    random.shuffle(repeated)
    assert {key: value for key, (_, value) in stored_after(received).items()} == {
        key: value for key, (_, value) in stored_after(repeated).items()
    }


@settings(max_examples=200, deadline=None)
@given(st.lists(FACTS, max_size=10), st.lists(FACTS, max_size=10))
def test_stores_that_received_the_same_facts_in_parts_are_equal(
    first_part: list[Fact], second_part: list[Fact]
) -> None:
    forward, backward = stored_after(first_part + second_part), stored_after(second_part + first_part)
    assert {key: value for key, (_, value) in forward.items()} == {
        key: value for key, (_, value) in backward.items()
    }


def test_facts_of_an_older_generation_are_ignored() -> None:
    facts = FactStore(0, 1, Random(0))
    assert facts.merge(SECOND, Fact(1, 5, 9, EVIDENCE, 7, SECOND, VALUE), 4)
    assert facts.merge(SECOND, Fact(1, 6, 1, EVIDENCE, 8, SECOND, VALUE), 4)
    assert not facts.merge(SECOND, Fact(1, 5, 10, EVIDENCE, 7, SECOND, VALUE), 4)
    assert [fact.subject for fact in facts._facts.values()] == [8]


def test_an_expired_fact_is_unknown_however_recently_it_was_received() -> None:
    facts = FactStore(0, 1, Random(0))
    assert not facts.merge(
        9 * SECOND, Fact(1, 1, 1, EVIDENCE, 7, 9 * SECOND - LIFETIME_NS + MAX_TRANSIT_NS, VALUE), 4
    )
    assert facts.merge(9 * SECOND, Fact(1, 1, 1, EVIDENCE, 7, 8 * SECOND, VALUE), 4)
    assert len(facts.read(9 * SECOND, EVIDENCE, 7)) == 1
    expired_at_ns = 8 * SECOND + LIFETIME_NS - MAX_TRANSIT_NS
    assert facts.read(expired_at_ns, EVIDENCE, 7) == [] and facts.by_subject(expired_at_ns, EVIDENCE) == {}
    facts.remove_expired(expired_at_ns)
    assert len(facts) == 0


def test_each_hop_adds_to_the_age_of_a_fact_so_that_it_expires() -> None:
    stores = [FactStore(number, 1, Random(number)) for number in range(3)]
    stores[0].publish(0, EVIDENCE, 7, VALUE, 3)
    now, hops = 0, 0
    while True:
        (fact,) = stores[hops % 3].newest_of([0], 9) or [None]  # type: ignore[list-item]
        hops += 1
        target = FactStore(3 + hops, 1, Random(0))
        stores[hops % 3] = target
        if fact is None or not target.merge(now, fact, 3):
            break
    assert hops == LIFETIME_NS // MAX_TRANSIT_NS


def test_the_store_is_bounded_and_evicts_the_lowest_priority_first() -> None:
    facts = FactStore(0, 1, Random(0), limit=10)
    facts.publish(0, EVIDENCE, 1, VALUE, 4)
    facts.merge(0, Fact(1, 1, 1, LOAD, 0, -SECOND, (0, 1, 2, 3, 4)), 4)
    for subject in range(40):
        facts.merge(0, Fact(2, 1, 1 + subject, FLIGHT, subject, -subject, (3,)), 4)
    assert len(facts) == 10 and facts.evicted_count == 32
    assert facts.own_fact(EVIDENCE, 1) and facts.read(0, LOAD)  # its own fact, and the one of higher priority


def test_every_fact_is_sent_regularly_however_many_updates_there_are() -> None:
    facts = FactStore(0, 1, Random(0))
    for subject in range(20):
        facts.publish(0, EVIDENCE, subject, VALUE, 2)
    while facts.has_updates():
        facts.next_to_send(FACTS_PER_DATAGRAM)
    sent_subjects: Counter[int] = Counter()
    for _ in range(9):
        facts.publish(0, LOAD, 0, (0, 1, 2, 3, 4), 2)
        sent_subjects.update(
            fact.subject for fact in facts.next_to_send(FACTS_PER_DATAGRAM) if fact.kind == EVIDENCE
        )
    assert len(sent_subjects) == 20


# Gossip.


class GossipNetwork:
    """Nodes that exchange items without delay, with random loss and a partition."""

    def __init__(self, count: int, loss: float = 0.0) -> None:
        self.random = Random(5)
        self.loss = loss
        self.now = 0
        self.partition: set[int] = set()
        self.sent = 0
        self.discard_counts: Counter[str] = Counter()
        self.nodes = [
            Gossip(
                FactStore(number, 1, Random(number)),
                Random(100 + number),
                self.other_nodes(number, count),
                self.discard_counts,
            )
            for number in range(count)
        ]

    def other_nodes(self, own_number: int, count: int):  # type: ignore[no-untyped-def]
        return lambda: [number for number in range(count) if number != own_number]

    def step(self) -> None:
        self.now += ROUND_NS
        for number, node in enumerate(self.nodes):
            queue = [(number, to, item) for to, item in node.tick(self.now)]
            while queue:
                source, to, item = queue.pop()
                self.sent += 1
                if (source in self.partition) == (to in self.partition) and self.random.random() >= self.loss:
                    queue += [(to, *answer) for answer in self.nodes[to].handle_item(self.now, source, item)]

    def count_knowing(self, subject: int) -> int:
        return sum(bool(node.facts.read(self.now, EVIDENCE, subject)) for node in self.nodes)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_an_update_reaches_all_nodes_within_a_few_rounds(loss: float) -> None:
    network = GossipNetwork(40, loss)
    network.nodes[0].facts.publish(0, EVIDENCE, 7, VALUE, 40)
    for _ in range(8):
        network.step()
    assert network.count_knowing(7) == 40


def test_digests_deliver_facts_that_were_missed_during_a_partition(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(KINDS, EVIDENCE, KINDS[EVIDENCE]._replace(lifetime_ns=60 * SECOND))
    network = GossipNetwork(20)
    network.partition = set(range(10))
    network.nodes[0].facts.publish(0, EVIDENCE, 7, VALUE, 20)
    for _ in range(6):
        network.step()
    assert network.count_knowing(7) == 10 and not network.nodes[0].facts.has_updates()
    network.partition = set()
    for _ in range(20):
        network.step()
    assert network.count_knowing(7) == 20


def test_a_round_sends_a_bounded_number_of_items() -> None:
    network = GossipNetwork(10)
    for node in network.nodes:
        for subject in range(300):
            node.facts.publish(0, EVIDENCE, subject, VALUE, 10)
    network.nodes = network.nodes[:1]
    assert len({to for to, _ in network.nodes[0].tick(ROUND_NS)}) <= FANOUT + 1
    assert len(network.nodes[0].tick(2 * ROUND_NS)) <= FANOUT * FACTS_PER_DATAGRAM + 1


@pytest.mark.parametrize(
    ("item", "count"),
    [
        ((wire.FACT, 1, 1), "too_few_fields"), ((wire.FACT, 1, 1, 1, 77, 0, 0, 1), "other_fact"),
        ((wire.FACT, 1, 1, 1, "x", 0, 0, 1), "other_fact"),
        ((wire.FACT, 1, 1, 1, EVIDENCE, 7, 0, 1, 2), "too_few_fields"),
        ((wire.FACT, 1, 1, 1, EVIDENCE, 7, -5, *VALUE), "out_of_range"),  # written in the future
        ((wire.FACT, 1, 1, 1, EVIDENCE, 7, 10**6, *VALUE), "out_of_range"),
        ((wire.FACT, 1, 1, 0, EVIDENCE, 7, 0, *VALUE), "out_of_range"),
        ((wire.FACT, 1 << 20, 1, 1, EVIDENCE, 7, 0, *VALUE), "out_of_range"),
        ((wire.FACT, 1, 1, 1, EVIDENCE, 7, 0, 1, 2, 3, 4, 1 << 40), "out_of_range"),
        ((wire.DIGEST, 1), "no_digest"), ((wire.DIGEST, *range(100)), "no_digest"),
        ((wire.DIGEST, 1, "x"), "out_of_range"),
    ],
)  # fmt: skip
def test_invalid_facts_and_digests_are_counted_and_ignored(item: wire.Item, count: str) -> None:
    core = SharedState((), Random(0), lambda: [1])
    core.open(0, 0, 1, 2)
    detector = core.enable_outlier_detection(0, 0, lambda: True, lambda: {0: 0, 1: 0})
    (data,) = wire.pack_items([item])
    assert core.on_datagram(SECOND, 1, 1, data) == []
    assert +core.discarded == {count: 1}
    assert detector.held_back == {} and core.wake(SECOND) == []


def test_a_fact_with_additional_fields_of_a_later_version_is_accepted() -> None:
    core = SharedState((), Random(0), lambda: [1])
    core.open(0, 0, 1, 2)
    core.enable_outlier_detection(0, 0, lambda: True, lambda: {0: 0, 1: 0})
    (data,) = wire.pack_items([(wire.FACT, 1, 1, 1, EVIDENCE, 7, 0, *VALUE, 99)])
    core.on_datagram(SECOND, 1, 1, data)
    sent = [action for action in core.wake(SECOND) if isinstance(action, SendItems)]
    assert sent and +core.discarded == {}
