"""Replicated store of facts: small records that each node publishes about itself and what it observes.

A fact is a register with one writer, its owner, identified by owner, kind and subject. (generation, version)
increases with each write, so keeping the greater one is commutative, associative and idempotent: stores that
received the same facts are equal in spite of reordering, duplicates and loss (a map of last-writer-wins
registers; Shapiro and others, 2011). Sums, votes and counts over the owners are computed on reading, so no
values of several writers have to be merged.

A fact is sent with its age. The receiver adds the maximum transit time of a datagram, so an age is too small
only by the transit time beyond that, and each hop adds to the age. A fact that is older than the lifetime of
its kind counts as unknown, however recently it was received. Times are monotonic ns of the reader.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import ceil, log2
from random import Random
from typing import NamedTuple
from zlib import crc32

NS_PER_MS = 1_000_000
MAX_TRANSIT_NS = 100 * NS_PER_MS  # added to the age of each received fact
MAX_FACTS = 4096
FANOUT = 3  # nodes that receive the pending updates of one round


class FactKind(NamedTuple):
    """Properties of one kind of facts."""

    lifetime_ns: int
    priority: int  # facts of the lowest priority are evicted first if the store is full
    field_count: int  # integers in its value


EVIDENCE, LOAD, PROBE, FLIGHT = 1, 2, 3, 4
KINDS = {
    EVIDENCE: FactKind(5_000 * NS_PER_MS, 2, 5), LOAD: FactKind(30_000 * NS_PER_MS, 1, 5),
    PROBE: FactKind(5_000 * NS_PER_MS, 3, 5), FLIGHT: FactKind(5_000 * NS_PER_MS, 0, 1),
}  # fmt: skip

FactKey = tuple[int, int, int]  # owner, kind, subject


class Fact(NamedTuple):
    """One value of an owner about a subject."""

    owner: int
    generation: int
    version: int
    kind: int
    subject: int
    written_at: int  # on the reader's clock; not later than the actual time of writing
    value: tuple[int, ...]

    def fact_key(self) -> FactKey:
        """Returns the register that this fact is a value of."""
        return self.owner, self.kind, self.subject

    def rank(self) -> tuple[int, int]:
        """Returns the order of the writes to one register."""
        return self.generation, self.version


class FactStore:
    """The facts that one process knows. `random` selects what is sent; the content does not depend on it."""

    def __init__(self, own_number: int, generation: int, random: Random, limit: int = MAX_FACTS) -> None:
        self.own_number, self.generation = own_number, generation
        self.evicted_count = 0  # facts evicted from the full store
        self._capacity = limit
        self._random = random
        self._version = 0
        self._facts: dict[FactKey, Fact] = {}
        self._generations: dict[int, int] = {}  # the latest generation of each owner
        self._sends_left: dict[FactKey, int] = {}  # how often each updated fact is still sent
        self._rotation: list[FactKey] = []  # the remaining facts of a pass over the store in random order

    # Writes.

    def publish(self, now_ns: int, kind: int, subject: int, value: tuple[int, ...], nodes: int) -> None:
        """Writes a fact of this node. The number of live nodes determines how often an update is sent."""
        self._version += 1
        self._store(
            Fact(self.own_number, self.generation, self._version, kind, subject, now_ns, value), nodes
        )

    def own_fact(self, kind: int, subject: int) -> Fact | None:
        """Returns what this node last published of a subject, if it is still in the store."""
        return self._facts.get((self.own_number, kind, subject))

    def merge(self, now_ns: int, fact: Fact, nodes: int) -> bool:
        """Merges a received fact and returns whether it is newer than the known one. The maximum transit time
        is subtracted from the time of writing that the sender stated."""
        kind = KINDS[fact.kind]
        if fact.owner == self.own_number or fact.generation < self._generations.get(fact.owner, 0):
            return False
        fact = fact._replace(written_at=fact.written_at - MAX_TRANSIT_NS)
        if now_ns - fact.written_at >= kind.lifetime_ns:
            return False
        known = self._facts.get(fact.fact_key())
        if known is not None and fact.rank() <= known.rank():
            if fact.rank() == known.rank() and fact.written_at < known.written_at:
                self._facts[fact.fact_key()] = fact  # the same value, written earlier than assumed
            return False
        self._store(fact, nodes)
        return True

    def _store(self, fact: Fact, nodes: int) -> None:
        known_generation = self._generations.get(fact.owner, 0)
        if fact.generation > known_generation:
            self._generations[fact.owner] = fact.generation
            if known_generation:
                self.remove_owner(fact.owner)
        self._facts[fact.fact_key()] = fact
        self._sends_left[fact.fact_key()] = 1 + ceil(log2(max(2, nodes)))
        if len(self._facts) > self._capacity:
            self._remove(min(self._facts.values(), key=self._eviction_order).fact_key())
            self.evicted_count += 1

    def _eviction_order(self, fact: Fact) -> tuple[int, bool, int]:
        return KINDS[fact.kind].priority, fact.owner == self.own_number, fact.written_at

    def remove_owner(self, owner: int) -> None:
        """Removes all facts of an owner."""
        for key in [key for key in self._facts if key[0] == owner]:
            self._remove(key)

    def _remove(self, key: FactKey) -> None:
        self._facts.pop(key, None)
        self._sends_left.pop(key, None)

    def remove_expired(self, now_ns: int) -> None:
        """Removes facts that are older than the lifetime of their kind."""
        for fact in [
            fact for fact in self._facts.values() if now_ns - fact.written_at >= KINDS[fact.kind].lifetime_ns
        ]:
            self._remove(fact.fact_key())

    # Reads.

    def read(self, now_ns: int, kind: int, subject: int = 0) -> list[Fact]:
        """Returns the current facts of all owners about a subject."""
        lifetime_ns = KINDS[kind].lifetime_ns
        return [
            fact for fact in self._facts.values()
            if fact.kind == kind and fact.subject == subject and now_ns - fact.written_at < lifetime_ns
        ]  # fmt: skip

    def by_subject(self, now_ns: int, kind: int) -> dict[int, list[Fact]]:
        """Returns the current facts of a kind by subject."""
        facts_by_subject: dict[int, list[Fact]] = {}
        for fact in self._facts.values():
            if fact.kind == kind and now_ns - fact.written_at < KINDS[kind].lifetime_ns:
                facts_by_subject.setdefault(fact.subject, []).append(fact)
        return facts_by_subject

    def __len__(self) -> int:
        return len(self._facts)

    # Replication.

    def has_updates(self) -> bool:
        """Returns whether updates are still to be sent."""
        return bool(self._sends_left)

    def next_to_send(self, limit: int) -> list[Fact]:
        """Selects up to `limit` facts to send. Updates come first, by priority and then by how seldom they
        were sent. At least one fact is taken from a pass over the whole store, so that each fact is sent
        regularly however many updates there are."""
        max_updates = max(1, limit - 1)
        keys = sorted(
            self._sends_left, key=lambda key: (-KINDS[key[1]].priority, -self._sends_left[key], key)
        )[:max_updates]
        for key in keys:
            self._sends_left[key] -= 1
            if self._sends_left[key] <= 0:
                del self._sends_left[key]
        chosen = set(keys)
        while len(keys) < limit and len(chosen) < len(self._facts):
            if not self._rotation:
                self._rotation = list(self._facts)
                self._random.shuffle(self._rotation)
            key = self._rotation.pop()
            if key in self._facts and key not in chosen:
                chosen.add(key)
                keys.append(key)
        return [self._facts[key] for key in keys]

    def newest_of(self, owners: Iterable[int], limit: int) -> list[Fact]:
        """Returns up to `limit` facts of some owners, the newest first."""
        wanted_owners = set(owners)
        matching = [fact for fact in self._facts.values() if fact.owner in wanted_owners]
        return sorted(matching, key=lambda fact: -fact.written_at)[:limit]

    def digest(self, choose: Callable[[list[int]], list[int]]) -> dict[int, int]:
        """Returns one checksum of all known facts of each owner that `choose` selects."""
        checksums = dict.fromkeys(choose(sorted({fact.owner for fact in self._facts.values()})), 0)
        for fact in self._facts.values():
            if fact.owner in checksums:
                checksums[fact.owner] ^= crc32(
                    f"{fact.kind}/{fact.subject}/{fact.generation}/{fact.version}".encode()
                )
        return checksums

    def differing_owners(self, digest: dict[int, int]) -> list[int]:
        """Returns the owners whose checksum differs from that in a received digest."""
        own_digest = self.digest(lambda owners: list(digest))
        return [owner for owner, checksum in digest.items() if own_digest[owner] != checksum]
