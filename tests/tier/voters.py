"""A few voters: messages are lost, late and repeated, voters restart, and clocks run as they like within
the drift, one step at a time, in an order that others choose."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from random import Random
from typing import Any

from driftstair.tier.ownership import proposer as proposing
from driftstair.tier.ownership.acceptor import Acceptor
from driftstair.tier.ownership.messages import (
    Accepted,
    Message,
    Prepare,
    Promise,
    Propose,
    Refused,
    Release,
    Terms,
)
from driftstair.tier.ownership.proposer import Proposer

# A clock counts 2 or 4 while 3 pass: a member waits 9 of its own for a lease of 4, 21 for one of 10.
SHORT, LONG = Terms(lease=4, drift=1 / 3, margin=0), Terms(lease=10, drift=1 / 3, margin=0)
TASK = 0
VOTERS = (0, 1, 2)
CONTENDERS = (0, 1)
RATES = ((3, 3, 3), (2, 4, 4), (4, 2, 4), (2, 2, 4))


class Middle(Random):
    """Always the least: what chance chooses is how long to wait, and any wait is tried by not ticking."""

    def uniform(self, a: float, b: float) -> float:
        return a


class World:
    """`air`: who, its generation, to whom, what."""

    def __init__(self, terms: Terms = SHORT, air_most: int = 3, repeats: int = 1, restarts: int = 1) -> None:
        self.terms = terms
        self.crowded = False  # where too much is in the air: the oldest is lost, else the newest
        self.clocks = [0, 1000, 2000]
        self.generations = [1, 1, 1]
        self.air: list[tuple[int, int, int, Message]] = []
        self.air_most, self.repeats, self.restarts = air_most, repeats, restarts
        self.acceptors = [Acceptor(terms, 0, clock - 100) for clock in self.clocks]
        self.proposers = {number: self._proposer(number) for number in CONTENDERS}
        self.greatest = 0  # token of a lease that was had
        self.broken = ""
        self.grants = 0

    def _proposer(self, number: int) -> Proposer:
        out = Proposer(TASK, number, self.generations[number], VOTERS, self.terms, Middle())
        out.wanted = True
        return out

    def copy(self) -> World:
        new = copy.copy(self)
        new.clocks, new.generations, new.air = list(self.clocks), list(self.generations), list(self.air)
        new.acceptors = [copy.copy(one) for one in self.acceptors]
        for one in new.acceptors:
            one.running = {task: copy.copy(lease) for task, lease in one.running.items()}
            one.known = dict(one.known)
        new.proposers = {number: copy.copy(one) for number, one in self.proposers.items()}
        for prop in new.proposers.values():
            prop._answers, prop._refusals = set(prop._answers), set(prop._refusals)
        return new

    # Steps.

    def send(self, source: int, letters: list[tuple[int, Message]]) -> None:
        for to, message in letters:
            if to == source:
                self.take(source, self.generations[source], to, message)
                continue
            if len(self.air) >= self.air_most:
                if not self.crowded:
                    continue
                del self.air[0]
            self.air.append((source, self.generations[source], to, message))

    def take(self, source: int, generation: int, to: int, message: Message) -> None:
        now, acceptor, proposer = self.clocks[to], self.acceptors[to], self.proposers.get(to)
        match message:
            case Prepare():
                answer = acceptor.prepare(now, source, generation, message)
                self.send(to, [(source, answer)] if answer is not None else [])
            case Propose():
                answer = acceptor.propose(now, source, generation, message)
                self.send(to, [(source, answer)] if answer is not None else [])
            case Release():
                acceptor.release(now, source, generation, message)
            case Promise() if proposer is not None:
                self.send(to, proposer.promised(now, source, message))
            case Accepted() if proposer is not None:
                if proposer.accepted(now, source, message):
                    self._had(proposer)
            case Refused() if proposer is not None:
                proposer.refused(now, source, message)

    def _had(self, proposer: Proposer) -> None:
        self.grants += 1
        if proposer._token <= self.greatest:
            self.broken = f"token {proposer._token} after {self.greatest}"
        self.greatest = max(self.greatest, proposer._token)

    def owners(self) -> list[int]:
        return [number for number, one in self.proposers.items() if one.holds(self.clocks[number])]

    def look(self) -> str:
        if not self.broken and len(self.owners()) > 1:
            self.broken = f"owners {self.owners()}"
        return self.broken

    def pass_time(self, rates: tuple[int, ...]) -> None:
        self.clocks = [clock + rate for clock, rate in zip(self.clocks, rates, strict=True)]

    def deliver(self, place: int, again: bool) -> None:
        source, generation, to, message = self.air[place]
        if again:
            self.repeats -= 1
        else:
            del self.air[place]
        self.take(source, generation, to, message)

    def restart(self, number: int) -> None:
        self.restarts -= 1
        self.generations[number] = max(self.generations) + 1  # generations are by the clock
        self.acceptors[number] = Acceptor(self.terms, self.generations[number], self.clocks[number])
        if number in self.proposers:
            self.proposers[number] = self._proposer(number)

    def choices(self) -> Iterator[tuple[str, Any]]:
        for rates in RATES:
            yield "pass_time", (rates,)
        for place in range(len(self.air)):
            yield "deliver", (place, False)
            yield "lose", (place,)
            if self.repeats:
                yield "deliver", (place, True)
        for number in CONTENDERS:
            yield "tick", (number,)
            if self.proposers[number].holds(self.clocks[number]):
                yield "release", (number,)
        if self.restarts:
            for number in VOTERS:
                yield "restart", (number,)

    def do(self, what: str, arguments: tuple[Any, ...]) -> None:
        if what == "lose":
            del self.air[arguments[0]]
        elif what == "tick":
            number = arguments[0]
            self.send(number, self.proposers[number].tick(self.clocks[number]))
        elif what == "release":
            number = arguments[0]
            self.send(number, self.proposers[number].release(self.clocks[number]))
        else:
            getattr(self, what)(*arguments)

    def key(self) -> Any:
        """Times as they lie from now on."""
        acceptors = tuple(
            (
                max(0, one._silent_until - now), one.floor, tuple(one.known.items()),
                tuple((lease.owner, lease.generation, lease.token, max(0, lease.until - now))
                      for lease in one.running.values()),
            )
            for one, now in zip(self.acceptors, self.clocks, strict=True)
        )  # fmt: skip
        proposers = tuple(
            (
                one._phase, one._asked, one._seq, min(5, self.clocks[number] - one._sent_at),
                tuple(one._answers), tuple(one._refusals), one._token,
                max(0, one._until - self.clocks[number]), max(0, one._pause_until - self.clocks[number]),
                one._next,
            )
            for number, one in self.proposers.items()
        )  # fmt: skip
        return acceptors, proposers, tuple(self.air), self.repeats, self.restarts, self.greatest


def quick() -> dict[str, int]:
    """Waits of a proposer that fit a world whose leases last 10."""
    return {"WITHIN": 3, "LEAST_PAUSE": 0, "MOST_PAUSE": 1}


def owned() -> World:
    """Node 0 has just got its lease, from itself and from node 1."""
    world = World()
    proposer, now = world.proposers[0], world.clocks[0]
    letters = proposer.tick(now)
    for _ in range(2):
        following: list[tuple[int, Message]] = []
        for to, message in letters:
            if to == 2:
                continue
            acceptor, its_now = world.acceptors[to], world.clocks[to]
            if isinstance(message, Prepare):
                promise = acceptor.prepare(its_now, 0, 1, message)
                assert isinstance(promise, Promise)
                following += proposer.promised(now, to, promise)
            elif isinstance(message, Propose):
                answer = acceptor.propose(its_now, 0, 1, message)
                assert isinstance(answer, Accepted)
                if proposer.accepted(now, to, answer):
                    world._had(proposer)
        letters = following
    assert world.owners() == [0]
    return world


def explore(most: int) -> tuple[int, int, str]:
    """Worlds seen, nearest first, until there are so many; leases had in one; the first broken."""
    frontier, seen, grants = [owned()], set(), 0
    while frontier and len(seen) < most:
        following = []
        for world in frontier:
            for what, arguments in world.choices():
                new = world.copy()
                new.do(what, arguments)
                if new.look():
                    return len(seen), grants, f"{new.broken}: {new.air} {new.clocks}"
                grants = max(grants, new.grants)
                key = new.key()
                if key not in seen:
                    seen.add(key)
                    following.append(new)
            if len(seen) >= most:
                break
        frontier = following
    return len(seen), grants, ""


KINDS = ("deliver", "tick", "pass_time", "lose", "again", "release", "restart")
CHANCES = (40, 25, 14, 4, 8, 0.8)


def walk(seed: int, steps: int) -> World:
    """One order by chance, in which more is in the air and more goes wrong."""
    random = Random(seed)
    world = World((SHORT, LONG)[seed % 2], air_most=16, repeats=10**9, restarts=10**9)
    world.crowded = True
    chances = (*CHANCES, 5.0 if seed % 3 == 0 else 1.0)
    for _ in range(steps):
        kind = random.choices(KINDS, chances)[0]
        least = len(world.air) - 5 if random.random() < 0.7 else 0  # mostly what is new
        place = random.randrange(max(0, least), len(world.air)) if world.air else -1
        if kind == "deliver" and place >= 0:
            world.do("deliver", (place, False))
        elif kind == "again" and place >= 0:
            world.do("deliver", (place, True))
        elif kind == "lose" and place >= 0:
            world.do("lose", (place,))
        elif kind == "pass_time":
            world.do("pass_time", (random.choice(RATES),))
        elif kind == "restart":
            world.do("restart", (random.choice(VOTERS),))
        elif kind in ("tick", "release"):
            world.do(kind, (random.choice(CONTENDERS),))
        if world.look():
            break
    return world


__all__ = ["World", "explore", "proposing", "quick", "walk"]
