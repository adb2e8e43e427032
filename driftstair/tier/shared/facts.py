"""Small facts that nodes tell of themselves, replicated: each has one writer, whose latest word stands.

A fact is one register of its owner, by kind and subject. (generation, version) rises with each write, so
keeping the greater is commutative, associative and idempotent: any order, repeat or loss gives the same
store, as far as it was heard (a map of last-writer registers; Shapiro and others, 2011). Sums, votes and
counts are taken when they are read, over the owners; so nothing that several write has to be merged.

A fact goes out with its age. Whoever takes it adds the longest that a datagram is taken to be on its way, so
an age is too little only by what is beyond that, and each hop adds. What is older than its kind lives counts
as unknown, whenever it was heard. Times are monotonic ns of the reader alone.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from math import ceil, log2
from random import Random
from typing import NamedTuple
from zlib import crc32

MS = 1_000_000
TRANSIT = 100 * MS  # a datagram's way, at the longest that is reckoned with
FACTS_MOST = 4096
FANOUT = 3  # nodes that are told what is urgent, in one round


class Kind(NamedTuple):
    lives: int  # ns
    worth: int  # the least worthy go first where there is no room
    fields: int  # whole numbers of its value


EVIDENCE, LOAD, PROBE, FLIGHT = 1, 2, 3, 4
KINDS = {EVIDENCE: Kind(5_000 * MS, 2, 5), LOAD: Kind(30_000 * MS, 1, 5), PROBE: Kind(5_000 * MS, 3, 5),
         FLIGHT: Kind(5_000 * MS, 0, 1)}  # fmt: skip

Place = tuple[int, int, int]  # owner, kind, subject


class Fact(NamedTuple):
    owner: int
    generation: int
    version: int
    kind: int
    subject: int
    born: int  # ns by the reader's clock: not later than it was written
    value: tuple[int, ...]

    def place(self) -> Place:
        return self.owner, self.kind, self.subject

    def rank(self) -> tuple[int, int]:
        return self.generation, self.version


class Facts:
    """What one process holds. `random` chooses what goes round; nothing that is held depends on it."""

    def __init__(self, own: int, generation: int, random: Random, most: int = FACTS_MOST) -> None:
        self.own, self.generation = own, generation
        self.dropped = 0  # for want of room
        self._most = most
        self._random = random
        self._version = 0
        self._held: dict[Place, Fact] = {}
        self._generations: dict[int, int] = {}  # the latest generation that each owner wrote in
        self._left: dict[Place, int] = {}  # how often what is news here goes out yet
        self._round: list[Place] = []

    # Writing.

    def publish(self, now: int, kind: int, subject: int, value: tuple[int, ...], nodes: int) -> None:
        """Of this node itself; `nodes`: that live, which says how often news goes out."""
        self._version += 1
        self._put(Fact(self.own, self.generation, self._version, kind, subject, now, value), nodes)

    def published(self, kind: int, subject: int) -> Fact | None:
        return self._held.get((self.own, kind, subject))

    def take(self, now: int, fact: Fact, nodes: int) -> bool:
        """Whether it is news. `fact.born` is as its sender reckons; the way here is taken off."""
        kind = KINDS[fact.kind]
        if fact.owner == self.own or fact.generation < self._generations.get(fact.owner, 0):
            return False
        fact = fact._replace(born=fact.born - TRANSIT)
        if now - fact.born >= kind.lives:
            return False
        known = self._held.get(fact.place())
        if known is not None and fact.rank() <= known.rank():
            if fact.rank() == known.rank() and fact.born < known.born:
                self._held[fact.place()] = fact  # the same, and older than was thought
            return False
        self._put(fact, nodes)
        return True

    def _put(self, fact: Fact, nodes: int) -> None:
        before = self._generations.get(fact.owner, 0)
        if fact.generation > before:
            self._generations[fact.owner] = fact.generation
            if before:
                self.forget(fact.owner)
        self._held[fact.place()] = fact
        self._left[fact.place()] = 1 + ceil(log2(max(2, nodes)))
        if len(self._held) > self._most:
            self._drop(min(self._held.values(), key=self._worth).place())
            self.dropped += 1

    def _worth(self, one: Fact) -> tuple[int, bool, int]:
        return KINDS[one.kind].worth, one.owner == self.own, one.born

    def forget(self, owner: int) -> None:
        for place in [place for place in self._held if place[0] == owner]:
            self._drop(place)

    def _drop(self, place: Place) -> None:
        self._held.pop(place, None)
        self._left.pop(place, None)

    def tick(self, now: int) -> None:
        """Let go of what has had its time."""
        for one in [one for one in self._held.values() if now - one.born >= KINDS[one.kind].lives]:
            self._drop(one.place())

    # Reading.

    def read(self, now: int, kind: int, subject: int = 0) -> list[Fact]:
        lives = KINDS[kind].lives
        return [
            one for one in self._held.values()
            if one.kind == kind and one.subject == subject and now - one.born < lives
        ]  # fmt: skip

    def subjects(self, now: int, kind: int) -> dict[int, list[Fact]]:
        out: dict[int, list[Fact]] = {}
        for one in self._held.values():
            if one.kind == kind and now - one.born < KINDS[kind].lives:
                out.setdefault(one.subject, []).append(one)
        return out

    def __len__(self) -> int:
        return len(self._held)

    # Telling.

    def urgent(self) -> bool:
        return bool(self._left)

    def news(self, most: int) -> list[Fact]:
        """The worthiest goes first, and of that what has gone out least; one place at least is for the others
        in turn, so that each comes round whatever is new."""
        most_new = max(1, most - 1)
        places = sorted(self._left, key=lambda one: (-KINDS[one[1]].worth, -self._left[one], one))[:most_new]
        for place in places:
            self._left[place] -= 1
            if self._left[place] <= 0:
                del self._left[place]
        chosen = set(places)
        while len(places) < most and len(chosen) < len(self._held):
            if not self._round:
                self._round = list(self._held)
                self._random.shuffle(self._round)
            place = self._round.pop()
            if place in self._held and place not in chosen:
                chosen.add(place)
                places.append(place)
        return [self._held[place] for place in places]

    def of(self, owners: Iterable[int], most: int) -> list[Fact]:
        wanted = set(owners)
        found = [one for one in self._held.values() if one.owner in wanted]
        return sorted(found, key=lambda one: -one.born)[:most]

    def digest(self, choose: Callable[[list[int]], list[int]]) -> dict[int, int]:
        """By owner, of those that are chosen: one number for all that is held of it."""
        out = dict.fromkeys(choose(sorted({one.owner for one in self._held.values()})), 0)
        for one in self._held.values():
            if one.owner in out:
                out[one.owner] ^= crc32(f"{one.kind}/{one.subject}/{one.generation}/{one.version}".encode())
        return out

    def differing(self, told: dict[int, int]) -> list[int]:
        mine = self.digest(lambda owners: list(told))
        return [owner for owner, number in told.items() if mine[owner] != number]
