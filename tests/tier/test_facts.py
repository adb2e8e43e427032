"""Facts: any order, repeat and subset gives the same; what is old is unknown; and how they go round."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.tier.shared import wire
from driftstair.tier.shared.core import SendItems, SharedState
from driftstair.tier.shared.facts import EVIDENCE, FLIGHT, KINDS, LOAD, MS, TRANSIT, Fact, Facts
from driftstair.tier.shared.gossip import FACTS_PER_DATAGRAM, FANOUT, ROUND, Gossip

SECOND = 1000 * MS
LIVES = KINDS[EVIDENCE].lives
VALUE = (4, 2, 0, 7, 1)

# One writer: a version has one value.
FACTS = st.builds(
    lambda owner, generation, version, subject, age: Fact(
        owner, generation, version, EVIDENCE, subject, SECOND - age * MS,
        (version, generation, subject, owner, 0),
    ),
    st.integers(1, 3), st.integers(1, 2), st.integers(1, 4), st.integers(0, 2), st.integers(0, 900),
)  # fmt: skip


def held(told: list[Fact]) -> dict[tuple[int, int, int], tuple[int, tuple[int, ...]]]:
    facts = Facts(0, 1, Random(0))
    for one in told:
        facts.take(SECOND, one, 4)
    return {one.place(): (one.born, one.value) for one in facts._held.values()}


@settings(max_examples=300, deadline=None)
@given(st.lists(FACTS, max_size=14), st.randoms(use_true_random=False))
def test_any_order_and_any_repeats_of_the_same_facts_are_the_same_store(
    told: list[Fact], random: Random
) -> None:
    again = told + [random.choice(told) for _ in range(len(told))]
    random.shuffle(again)
    assert {place: value for place, (_, value) in held(told).items()} == {
        place: value for place, (_, value) in held(again).items()
    }


@settings(max_examples=200, deadline=None)
@given(st.lists(FACTS, max_size=10), st.lists(FACTS, max_size=10))
def test_what_was_heard_in_part_before_is_no_harm(some: list[Fact], others: list[Fact]) -> None:
    one, other = held(some + others), held(others + some)
    assert {place: value for place, (_, value) in one.items()} == {
        place: value for place, (_, value) in other.items()
    }


def test_an_old_generation_never_comes_back() -> None:
    facts = Facts(0, 1, Random(0))
    assert facts.take(SECOND, Fact(1, 5, 9, EVIDENCE, 7, SECOND, VALUE), 4)
    assert facts.take(SECOND, Fact(1, 6, 1, EVIDENCE, 8, SECOND, VALUE), 4)
    assert not facts.take(SECOND, Fact(1, 5, 10, EVIDENCE, 7, SECOND, VALUE), 4)
    assert [one.subject for one in facts._held.values()] == [8]


def test_what_is_stale_is_unknown_however_lately_it_was_heard() -> None:
    facts = Facts(0, 1, Random(0))
    assert not facts.take(9 * SECOND, Fact(1, 1, 1, EVIDENCE, 7, 9 * SECOND - LIVES + TRANSIT, VALUE), 4)
    assert facts.take(9 * SECOND, Fact(1, 1, 1, EVIDENCE, 7, 8 * SECOND, VALUE), 4)
    assert len(facts.read(9 * SECOND, EVIDENCE, 7)) == 1
    late = 8 * SECOND + LIVES - TRANSIT
    assert facts.read(late, EVIDENCE, 7) == [] and facts.subjects(late, EVIDENCE) == {}
    facts.tick(late)
    assert len(facts) == 0


def test_each_hop_makes_a_fact_older_so_that_it_can_not_go_round_for_ever() -> None:
    stores = [Facts(number, 1, Random(number)) for number in range(3)]
    stores[0].publish(0, EVIDENCE, 7, VALUE, 3)
    now, hops = 0, 0
    while True:
        (fact,) = stores[hops % 3].of([0], 9) or [None]  # type: ignore[list-item]
        hops += 1
        target = Facts(3 + hops, 1, Random(0))
        stores[hops % 3] = target
        if fact is None or not target.take(now, fact, 3):
            break
    assert hops == LIVES // TRANSIT


def test_memory_is_bounded_and_the_least_worthy_go_first() -> None:
    facts = Facts(0, 1, Random(0), most=10)
    facts.publish(0, EVIDENCE, 1, VALUE, 4)
    facts.take(0, Fact(1, 1, 1, LOAD, 0, -SECOND, (0, 1, 2, 3, 4)), 4)
    for subject in range(40):
        facts.take(0, Fact(2, 1, 1 + subject, FLIGHT, subject, -subject, (3,)), 4)
    assert len(facts) == 10 and facts.dropped == 32
    assert facts.published(EVIDENCE, 1) and facts.read(0, LOAD)  # its own, and what is worth more


def test_what_is_not_urgent_comes_round_whatever_is_new() -> None:
    facts = Facts(0, 1, Random(0))
    for subject in range(20):
        facts.publish(0, EVIDENCE, subject, VALUE, 2)
    while facts.urgent():
        facts.news(FACTS_PER_DATAGRAM)
    told: Counter[int] = Counter()
    for _ in range(9):
        facts.publish(0, LOAD, 0, (0, 1, 2, 3, 4), 2)
        told.update(one.subject for one in facts.news(FACTS_PER_DATAGRAM) if one.kind == EVIDENCE)
    assert len(told) == 20


# Going round.


class Round:
    """Nodes whose items take no time, and may be lost."""

    def __init__(self, count: int, loss: float = 0.0) -> None:
        self.random = Random(5)
        self.loss = loss
        self.now = 0
        self.apart: set[int] = set()
        self.sent = 0
        self.thrown: Counter[str] = Counter()
        self.nodes = [
            Gossip(Facts(one, 1, Random(one)), Random(100 + one), self.others(one, count), self.thrown)
            for one in range(count)
        ]

    def others(self, own: int, count: int):  # type: ignore[no-untyped-def]
        return lambda: [one for one in range(count) if one != own]

    def step(self) -> None:
        self.now += ROUND
        for number, node in enumerate(self.nodes):
            waiting = [(number, to, item) for to, item in node.tick(self.now)]
            while waiting:
                source, to, item = waiting.pop()
                self.sent += 1
                if (source in self.apart) == (to in self.apart) and self.random.random() >= self.loss:
                    waiting += [(to, *tell) for tell in self.nodes[to].take(self.now, source, item)]

    def know(self, subject: int) -> int:
        return sum(bool(node.facts.read(self.now, EVIDENCE, subject)) for node in self.nodes)


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_news_reaches_all_within_a_few_rounds(loss: float) -> None:
    play = Round(40, loss)
    play.nodes[0].facts.publish(0, EVIDENCE, 7, VALUE, 40)
    for _ in range(8):
        play.step()
    assert play.know(7) == 40


def test_what_went_by_while_halves_were_apart_is_made_up_by_digests(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(KINDS, EVIDENCE, KINDS[EVIDENCE]._replace(lives=60 * SECOND))
    play = Round(20)
    play.apart = set(range(10))
    play.nodes[0].facts.publish(0, EVIDENCE, 7, VALUE, 20)
    for _ in range(6):
        play.step()
    assert play.know(7) == 10 and not play.nodes[0].facts.urgent()
    play.apart = set()
    for _ in range(20):
        play.step()
    assert play.know(7) == 20


def test_a_round_sends_a_bounded_number_whatever_is_new() -> None:
    play = Round(10)
    for node in play.nodes:
        for subject in range(300):
            node.facts.publish(0, EVIDENCE, subject, VALUE, 10)
    play.nodes = play.nodes[:1]
    assert len({to for to, _ in play.nodes[0].tick(ROUND)}) <= FANOUT + 1
    assert len(play.nodes[0].tick(2 * ROUND)) <= FANOUT * FACTS_PER_DATAGRAM + 1


@pytest.mark.parametrize(
    ("item", "count"),
    [
        ((wire.FACT, 1, 1), "too_few_fields"), ((wire.FACT, 1, 1, 1, 77, 0, 0, 1), "other_fact"),
        ((wire.FACT, 1, 1, 1, "x", 0, 0, 1), "other_fact"),
        ((wire.FACT, 1, 1, 1, EVIDENCE, 7, 0, 1, 2), "too_few_fields"),
        ((wire.FACT, 1, 1, 1, EVIDENCE, 7, -5, *VALUE), "out_of_range"),  # from the future
        ((wire.FACT, 1, 1, 1, EVIDENCE, 7, 10**6, *VALUE), "out_of_range"),
        ((wire.FACT, 1, 1, 0, EVIDENCE, 7, 0, *VALUE), "out_of_range"),
        ((wire.FACT, 1 << 20, 1, 1, EVIDENCE, 7, 0, *VALUE), "out_of_range"),
        ((wire.FACT, 1, 1, 1, EVIDENCE, 7, 0, 1, 2, 3, 4, 1 << 40), "out_of_range"),
        ((wire.DIGEST, 1), "no_digest"), ((wire.DIGEST, *range(100)), "no_digest"),
        ((wire.DIGEST, 1, "x"), "out_of_range"),
    ],
)  # fmt: skip
def test_what_is_no_fact_is_counted_and_passed_over(item: wire.Item, count: str) -> None:
    core = SharedState((), Random(0), lambda: [1])
    core.open(0, 0, 1, 2)
    judge = core.enable_outlier_detection(0, 0, lambda: True, lambda: {0: 0, 1: 0})
    (data,) = wire.pack_items([item])
    assert core.heard(SECOND, 1, 1, data) == []
    assert +core.discarded == {count: 1}
    assert judge.out == {} and core.wake(SECOND) == []


def test_facts_of_a_later_version_with_more_fields_are_taken() -> None:
    core = SharedState((), Random(0), lambda: [1])
    core.open(0, 0, 1, 2)
    core.enable_outlier_detection(0, 0, lambda: True, lambda: {0: 0, 1: 0})
    (data,) = wire.pack_items([(wire.FACT, 1, 1, 1, EVIDENCE, 7, 0, *VALUE, 99)])
    core.heard(SECOND, 1, 1, data)
    told = [action for action in core.wake(SECOND) if isinstance(action, SendItems)]
    assert told and +core.discarded == {}
