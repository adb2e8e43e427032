"""Gossip of facts at a bounded rate: updates are pushed, and missed facts are found by exchanging digests.

In each round a node sends pending updates to `FANOUT` nodes, one datagram each. Once a second it sends one
node a digest, which has one checksum for each of some owners, and both then send the facts that the other
lacks. So a node sends at most `FANOUT` datagrams in a round, one digest in a second, and
`MAX_DATAGRAMS_PER_ANSWER` and one more datagrams for each digest that it answers, of which it answers at most
`MAX_ANSWERS_PER_ROUND` in a round. Times are monotonic ns.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

from driftstair.tier.shared import wire
from driftstair.tier.shared.facts import FANOUT, KINDS, NS_PER_MS, Fact, FactStore
from driftstair.tier.shared.wire import InvalidItem, Item, checked_int

ROUND_NS = 250 * NS_PER_MS
ROUNDS_PER_DIGEST = 4
FACTS_PER_DATAGRAM = 7
OWNERS_PER_DIGEST = 18
MAX_DATAGRAMS_PER_ANSWER = 4  # with facts, in answer to one digest
MAX_ANSWERS_PER_ROUND = 8
MAX_GENERATION = MAX_VERSION = MAX_SUBJECT = (1 << 32) - 1

OutgoingItems = list[tuple[int, Item]]
"""Items to send, each with the number of its recipient."""


class Gossip:
    """Gossip of one node. `other_nodes` returns the numbers of the live nodes that support it."""

    def __init__(
        self, facts: FactStore, random: Random, other_nodes: Callable[[], list[int]], discarded: Counter[str]
    ) -> None:
        self.facts = facts
        self._random = random
        self._other_nodes = other_nodes
        self._discarded = discarded
        self._rounds = 0
        self._answers_in_round = 0

    def tick(self, now_ns: int) -> OutgoingItems:
        """Starts a round and returns what to send in it. Must be called once in `ROUND_NS`."""
        self.facts.remove_expired(now_ns)
        self._rounds += 1
        self._answers_in_round = 0
        other_nodes = self._other_nodes()
        messages: OutgoingItems = []
        if not other_nodes:
            return messages
        if self.facts.has_updates():
            for to in self._random.sample(other_nodes, min(FANOUT, len(other_nodes))):
                messages += [
                    (to, self._encode_fact(now_ns, fact))
                    for fact in self.facts.next_to_send(FACTS_PER_DATAGRAM)
                ]
        if self._rounds % ROUNDS_PER_DIGEST == 0 and len(self.facts):
            digest = self.facts.digest(self._sample_owners)
            messages.append((self._random.choice(other_nodes), _encode_digest(wire.DIGEST, digest)))
        return messages

    def _sample_owners(self, owners: list[int]) -> list[int]:
        return self._random.sample(owners, min(OWNERS_PER_DIGEST, len(owners)))

    def _encode_fact(self, now_ns: int, fact: Fact) -> Item:
        age_ms = (now_ns - fact.written_at) // NS_PER_MS
        return (
            wire.FACT,
            fact.owner,
            fact.generation,
            fact.version,
            fact.kind,
            fact.subject,
            age_ms,
            *fact.value,
        )

    def handle_item(self, now_ns: int, sender: int, item: Item) -> OutgoingItems:
        """Handles a fact or a digest and returns the answer to it. Raises InvalidItem."""
        if item[0] == wire.FACT:
            self.facts.merge(now_ns, _decode_fact(now_ns, item), len(self._other_nodes()) + 1)
            return []
        remote_digest = _decode_digest(item)
        differing = self.facts.differing_owners(remote_digest)
        if not differing or self._answers_in_round >= MAX_ANSWERS_PER_ROUND:
            return []
        self._answers_in_round += 1
        max_facts = MAX_DATAGRAMS_PER_ANSWER * FACTS_PER_DATAGRAM
        messages: OutgoingItems = [
            (sender, self._encode_fact(now_ns, fact)) for fact in self.facts.newest_of(differing, max_facts)
        ]
        if item[0] == wire.DIGEST:  # the sender then sends what is missing here
            messages.append(
                (sender, _encode_digest(wire.DIGEST_REPLY, self.facts.digest(lambda owners: differing)))
            )
        return messages


def _encode_digest(kind: int, digest: dict[int, int]) -> Item:
    return (kind, *(number for pair in digest.items() for number in pair))


def _decode_digest(item: Item) -> dict[int, int]:
    numbers = item[1:]
    if len(numbers) % 2 or len(numbers) > 2 * OWNERS_PER_DIGEST:
        raise InvalidItem("no_digest")
    owners = [checked_int(owner, wire.MAX_NODE) for owner in numbers[::2]]
    return dict(zip(owners, (checked_int(checksum, MAX_SUBJECT) for checksum in numbers[1::2]), strict=True))


def _decode_fact(now_ns: int, item: Item) -> Fact:
    if len(item) < 7:
        raise InvalidItem("too_few_fields")
    owner, generation, version, kind, subject, age_ms, *value = item[1:]
    fact_kind = KINDS.get(kind) if type(kind) is int else None
    if fact_kind is None:
        raise InvalidItem("other_fact")
    if len(value) < fact_kind.field_count:
        raise InvalidItem("too_few_fields")
    return Fact(
        checked_int(owner, wire.MAX_NODE), checked_int(generation, MAX_GENERATION),
        checked_int(version, MAX_VERSION, 1), kind, checked_int(subject, MAX_SUBJECT),
        now_ns - checked_int(age_ms, fact_kind.lifetime_ns // NS_PER_MS) * NS_PER_MS,
        tuple(checked_int(field, 0xFFFF) for field in value[: fact_kind.field_count]),
    )  # fmt: skip
