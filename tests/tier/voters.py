"""Model of a few voters and proposers. Messages are lost, delayed and duplicated, voters restart, and clocks
run at any rate within the drift. The caller chooses the order of the steps."""

from __future__ import annotations

import copy
from collections.abc import Iterator
from random import Random
from typing import Any

from driftstair.tier.ownership import proposer as proposer_module
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

# A clock counts 2 or 4 while 3 pass, so a voter counts 9 of its own for a lease of 4, and 21 for one of 10.
SHORT_TERMS, LONG_TERMS = (
    Terms(lease_ns=4, drift=1 / 3, margin_ns=0),
    Terms(lease_ns=10, drift=1 / 3, margin_ns=0),
)
TASK = 0
VOTERS = (0, 1, 2)
PROPOSERS = (0, 1)
CLOCK_RATES = ((3, 3, 3), (2, 4, 4), (4, 2, 4), (2, 2, 4))


class MinimumRandom(Random):
    """Always draws the minimum. Only pauses are drawn at random, and orders of steps in which no tick follows
    cover the longer pauses."""

    def uniform(self, a: float, b: float) -> float:
        return a


class World:
    """`in_flight` has the sender, its generation, the recipient and the message."""

    def __init__(
        self,
        terms: Terms = SHORT_TERMS,
        max_in_flight: int = 3,
        duplicates_left: int = 1,
        restarts_left: int = 1,
    ) -> None:
        self.terms = terms
        self.drops_oldest = False  # which message is lost above `max_in_flight`: the oldest or the newest
        self.clocks = [0, 1000, 2000]
        self.generations = [1, 1, 1]
        self.in_flight: list[tuple[int, int, int, Message]] = []
        self.max_in_flight, self.duplicates_left, self.restarts_left = (
            max_in_flight,
            duplicates_left,
            restarts_left,
        )
        self.acceptors = [Acceptor(terms, 0, clock - 100) for clock in self.clocks]
        self.proposers = {number: self._new_proposer(number) for number in PROPOSERS}
        self.highest_token = 0  # of all leases so far
        self.violation = ""
        self.grants = 0

    def _new_proposer(self, number: int) -> Proposer:
        proposer = Proposer(TASK, number, self.generations[number], VOTERS, self.terms, MinimumRandom())
        proposer.is_wanted = True
        return proposer

    def copy(self) -> World:
        new = copy.copy(self)
        new.clocks, new.generations, new.in_flight = (
            list(self.clocks),
            list(self.generations),
            list(self.in_flight),
        )
        new.acceptors = [copy.copy(acceptor) for acceptor in self.acceptors]
        for acceptor in new.acceptors:
            acceptor.running_leases = {
                task: copy.copy(lease) for task, lease in acceptor.running_leases.items()
            }
            acceptor.highest_tokens = dict(acceptor.highest_tokens)
        new.proposers = {number: copy.copy(proposer) for number, proposer in self.proposers.items()}
        for new_proposer in new.proposers.values():
            new_proposer._agreeing_voters, new_proposer._refusing_voters = (
                set(new_proposer._agreeing_voters),
                set(new_proposer._refusing_voters),
            )
        return new

    # Steps.

    def send(self, source: int, outgoing: list[tuple[int, Message]]) -> None:
        for to, message in outgoing:
            if to == source:
                self.receive(source, self.generations[source], to, message)
                continue
            if len(self.in_flight) >= self.max_in_flight:
                if not self.drops_oldest:
                    continue
                del self.in_flight[0]
            self.in_flight.append((source, self.generations[source], to, message))

    def receive(self, source: int, generation: int, to: int, message: Message) -> None:
        now, acceptor, proposer = self.clocks[to], self.acceptors[to], self.proposers.get(to)
        match message:
            case Prepare():
                answer = acceptor.on_prepare(now, source, generation, message)
                self.send(to, [(source, answer)] if answer is not None else [])
            case Propose():
                answer = acceptor.on_propose(now, source, generation, message)
                self.send(to, [(source, answer)] if answer is not None else [])
            case Release():
                acceptor.on_release(now, source, generation, message)
            case Promise() if proposer is not None:
                self.send(to, proposer.on_promise(now, source, message))
            case Accepted() if proposer is not None:
                if proposer.on_accepted(now, source, message):
                    self._record_grant(proposer)
            case Refused() if proposer is not None:
                proposer.on_refused(now, source, message)

    def _record_grant(self, proposer: Proposer) -> None:
        self.grants += 1
        if proposer._token <= self.highest_token:
            self.violation = f"token {proposer._token} after {self.highest_token}"
        self.highest_token = max(self.highest_token, proposer._token)

    def owners(self) -> list[int]:
        return [
            number for number, proposer in self.proposers.items() if proposer.has_lease(self.clocks[number])
        ]

    def check(self) -> str:
        """The first violation so far; empty if there is none."""
        if not self.violation and len(self.owners()) > 1:
            self.violation = f"owners {self.owners()}"
        return self.violation

    def pass_time(self, rates: tuple[int, ...]) -> None:
        self.clocks = [clock + rate for clock, rate in zip(self.clocks, rates, strict=True)]

    def deliver(self, index: int, duplicate: bool) -> None:
        source, generation, to, message = self.in_flight[index]
        if duplicate:
            self.duplicates_left -= 1
        else:
            del self.in_flight[index]
        self.receive(source, generation, to, message)

    def restart(self, number: int) -> None:
        self.restarts_left -= 1
        self.generations[number] = max(self.generations) + 1  # generations rise with the clock
        self.acceptors[number] = Acceptor(self.terms, self.generations[number], self.clocks[number])
        if number in self.proposers:
            self.proposers[number] = self._new_proposer(number)

    def possible_steps(self) -> Iterator[tuple[str, Any]]:
        for rates in CLOCK_RATES:
            yield "pass_time", (rates,)
        for index in range(len(self.in_flight)):
            yield "deliver", (index, False)
            yield "lose", (index,)
            if self.duplicates_left:
                yield "deliver", (index, True)
        for number in PROPOSERS:
            yield "tick", (number,)
            if self.proposers[number].has_lease(self.clocks[number]):
                yield "release", (number,)
        if self.restarts_left:
            for number in VOTERS:
                yield "restart", (number,)

    def take_step(self, step: str, arguments: tuple[Any, ...]) -> None:
        if step == "lose":
            del self.in_flight[arguments[0]]
        elif step == "tick":
            number = arguments[0]
            self.send(number, self.proposers[number].tick(self.clocks[number]))
        elif step == "release":
            number = arguments[0]
            self.send(number, self.proposers[number].release(self.clocks[number]))
        else:
            getattr(self, step)(*arguments)

    def state_key(self) -> Any:
        """Equal for worlds with the same future: times are relative to the clocks."""
        acceptors = tuple(
            (
                max(0, acceptor._silent_until_ns - now), acceptor.token_floor,
                tuple(acceptor.highest_tokens.items()),
                tuple((lease.owner, lease.generation, lease.token, max(0, lease.until_ns - now))
                      for lease in acceptor.running_leases.values()),
            )
            for acceptor, now in zip(self.acceptors, self.clocks, strict=True)
        )  # fmt: skip
        proposers = tuple(
            (
                proposer._phase, proposer._attempt_token, proposer._seq,
                min(5, self.clocks[number] - proposer._sent_at_ns),
                tuple(proposer._agreeing_voters), tuple(proposer._refusing_voters), proposer._token,
                max(0, proposer._until_ns - self.clocks[number]),
                max(0, proposer._pause_until_ns - self.clocks[number]),
                proposer._next_token,
            )
            for number, proposer in self.proposers.items()
        )  # fmt: skip
        return (
            acceptors,
            proposers,
            tuple(self.in_flight),
            self.duplicates_left,
            self.restarts_left,
            self.highest_token,
        )


def short_pauses() -> dict[str, int]:
    """Constants of the proposer that fit a world whose leases last 10."""
    return {"ANSWER_TIMEOUT_NS": 3, "MIN_PAUSE_NS": 0, "MAX_PAUSE_NS": 1}


def world_with_owner() -> World:
    """A world in which node 0 has just got its lease, with its own vote and that of node 1."""
    world = World()
    proposer, now = world.proposers[0], world.clocks[0]
    outgoing = proposer.tick(now)
    for _ in range(2):
        following: list[tuple[int, Message]] = []
        for to, message in outgoing:
            if to == 2:
                continue
            acceptor, voter_now = world.acceptors[to], world.clocks[to]
            if isinstance(message, Prepare):
                promise = acceptor.on_prepare(voter_now, 0, 1, message)
                assert isinstance(promise, Promise)
                following += proposer.on_promise(now, to, promise)
            elif isinstance(message, Propose):
                answer = acceptor.on_propose(voter_now, 0, 1, message)
                assert isinstance(answer, Accepted)
                if proposer.on_accepted(now, to, answer):
                    world._record_grant(proposer)
        outgoing = following
    assert world.owners() == [0]
    return world


def explore(max_worlds: int) -> tuple[int, int, str]:
    """Explores worlds breadth first until it has seen `max_worlds`. Returns the number of worlds seen, the
    most leases granted in one of them, and the first violation."""
    frontier, seen, grants = [world_with_owner()], set(), 0
    while frontier and len(seen) < max_worlds:
        following = []
        for world in frontier:
            for step, arguments in world.possible_steps():
                new = world.copy()
                new.take_step(step, arguments)
                if new.check():
                    return len(seen), grants, f"{new.violation}: {new.in_flight} {new.clocks}"
                grants = max(grants, new.grants)
                key = new.state_key()
                if key not in seen:
                    seen.add(key)
                    following.append(new)
            if len(seen) >= max_worlds:
                break
        frontier = following
    return len(seen), grants, ""


STEPS = ("deliver", "tick", "pass_time", "lose", "duplicate", "release", "restart")
STEP_WEIGHTS = (40, 25, 14, 4, 8, 0.8)


def walk_randomly(seed: int, step_count: int) -> World:
    """The world after a random order of steps, with more messages in flight and more faults than `explore`
    has."""
    random = Random(seed)
    world = World(
        (SHORT_TERMS, LONG_TERMS)[seed % 2], max_in_flight=16, duplicates_left=10**9, restarts_left=10**9
    )
    world.drops_oldest = True
    weights = (*STEP_WEIGHTS, 5.0 if seed % 3 == 0 else 1.0)
    for _ in range(step_count):
        step = random.choices(STEPS, weights)[0]
        first_index = len(world.in_flight) - 5 if random.random() < 0.7 else 0  # mostly recent messages
        index = random.randrange(max(0, first_index), len(world.in_flight)) if world.in_flight else -1
        if step == "deliver" and index >= 0:
            world.take_step("deliver", (index, False))
        elif step == "duplicate" and index >= 0:
            world.take_step("deliver", (index, True))
        elif step == "lose" and index >= 0:
            world.take_step("lose", (index,))
        elif step == "pass_time":
            world.take_step("pass_time", (random.choice(CLOCK_RATES),))
        elif step == "restart":
            world.take_step("restart", (random.choice(VOTERS),))
        elif step in ("tick", "release"):
            world.take_step(step, (random.choice(PROPOSERS),))
        if world.check():
            break
    return world


__all__ = ["World", "explore", "proposer_module", "short_pauses", "walk_randomly"]
