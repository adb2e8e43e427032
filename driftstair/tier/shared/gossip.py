"""How facts go round: what is news to a few nodes at once, and what was missed by digests, at a bounded rate.

Each round a node tells what is urgent to `FANOUT` others, one datagram each; once a second it tells one other
what it holds of each owner in one number, some owners at a time, and both send what the other lacks. So a
node sends FAN datagrams a round at most, one a second for its digest, and ANSWER_MOST and one for each digest
that it answers, of which there are ANSWERS_A_ROUND at most. Times are monotonic ns.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from driftstair.tier.shared import wire
from driftstair.tier.shared.facts import FANOUT, KINDS, MS, Fact, Facts
from driftstair.tier.shared.wire import InvalidItem, Item, checked_int

ROUND = 250 * MS
DIGEST_ROUNDS = 4  # rounds between two digests
FACTS_PER_DATAGRAM = 7
OWNERS_A_DATAGRAM = 18
ANSWER_MOST = 4  # datagrams of facts for one digest
ANSWERS_A_ROUND = 8
GENERATION_MOST = VERSION_MOST = SUBJECT_MOST = (1 << 32) - 1

Tells = list[tuple[int, Item]]


class Gossip:
    """`others`: the numbers of living nodes that understand this."""

    def __init__(
        self, facts: Facts, random: Random, others: Callable[[], list[int]], thrown: Counter[str]
    ) -> None:
        self.facts = facts
        self._random = random
        self._others = others
        self._thrown = thrown
        self._rounds = 0
        self._answers = 0

    def tick(self, now: int) -> Tells:
        self.facts.tick(now)
        self._rounds += 1
        self._answers = 0
        others = self._others()
        out: Tells = []
        if not others:
            return out
        if self.facts.urgent():
            for to in self._random.sample(others, min(FANOUT, len(others))):
                out += [(to, self._item(now, one)) for one in self.facts.news(FACTS_PER_DATAGRAM)]
        if self._rounds % DIGEST_ROUNDS == 0 and len(self.facts):
            digest = self.facts.digest(self._some)
            out.append((self._random.choice(others), _digest(wire.DIGEST, digest)))
        return out

    def _some(self, owners: list[int]) -> list[int]:
        return self._random.sample(owners, min(OWNERS_A_DATAGRAM, len(owners)))

    def _item(self, now: int, fact: Fact) -> Item:
        age = (now - fact.born) // MS
        return (
            wire.FACT,
            fact.owner,
            fact.generation,
            fact.version,
            fact.kind,
            fact.subject,
            age,
            *fact.value,
        )

    def take(self, now: int, sender: int, item: Item) -> Tells:
        """Raises InvalidItem."""
        if item[0] == wire.FACT:
            self.facts.take(now, _fact(now, item), len(self._others()) + 1)
            return []
        told = _owners(item)
        lacking = self.facts.differing(told)
        if not lacking or self._answers >= ANSWERS_A_ROUND:
            return []
        self._answers += 1
        most = ANSWER_MOST * FACTS_PER_DATAGRAM
        out: Tells = [(sender, self._item(now, one)) for one in self.facts.of(lacking, most)]
        if item[0] == wire.DIGEST:  # and what is told there comes in return
            out.append((sender, _digest(wire.DIGEST_BACK, self.facts.digest(lambda owners: lacking))))
        return out


def _digest(kind: int, digest: dict[int, int]) -> Item:
    return (kind, *(number for pair in digest.items() for number in pair))


def _owners(item: Item) -> dict[int, int]:
    numbers = item[1:]
    if len(numbers) % 2 or len(numbers) > 2 * OWNERS_A_DATAGRAM:
        raise InvalidItem("no_digest")
    owners = [checked_int(one, wire.MAX_NODE) for one in numbers[::2]]
    return dict(zip(owners, (checked_int(one, SUBJECT_MOST) for one in numbers[1::2]), strict=True))


def _fact(now: int, item: Item) -> Fact:
    if len(item) < 7:
        raise InvalidItem("too_few_fields")
    owner, generation, version, kind, subject, age, *value = item[1:]
    known = KINDS.get(kind) if type(kind) is int else None
    if known is None:
        raise InvalidItem("other_fact")
    if len(value) < known.fields:
        raise InvalidItem("too_few_fields")
    return Fact(
        checked_int(owner, wire.MAX_NODE), checked_int(generation, GENERATION_MOST),
        checked_int(version, VERSION_MOST, 1), kind, checked_int(subject, SUBJECT_MOST),
        now - checked_int(age, known.lives // MS) * MS,
        tuple(checked_int(one, 0xFFFF) for one in value[: known.fields]),
    )  # fmt: skip
