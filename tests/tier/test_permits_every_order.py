"""Permits in every order of a small world: two nodes, two stewards one after the other, letters that are
lost, doubled and as late as they like, wishes, restarts. Clocks are alike here; random worlds have drift."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from test_permits import Unpolled

from driftstair.tier.ownership.permits import Ask, Holder, Kind, Permit, PollReply, ReturnPermit, Rules
from driftstair.tier.ownership.steward import LiveNodes, Steward

SECOND = 1_000_000_000
TERM = 2  # s
RULES = Rules(at_once=1, term=TERM * SECOND, drift=0.0)
NODES = (0, 1)
STEWARD = 9  # a node of its own, that never asks
AIR = 2  # letters at once; a third is lost
STATES_MOST = 400_000


class World:
    def __init__(self, holder: type[Holder] = Holder, steward: type[Steward] = Steward) -> None:
        self.holder, self.steward_of = holder, steward
        self.now = 0
        self.lives = [1, 1]
        self.holders = [holder(RULES, 1) for _ in NODES]
        self.token = 1
        self.air: list[tuple[int, int, int, Any]] = []
        self.wants, self.repeats, self.restarts, self.elections = 2, 1, 1, 1
        self.steward = self._steward()

    def _living(self) -> LiveNodes:
        return {number: (life, 0) for number, life in enumerate(self.lives)}

    def _steward(self) -> Steward:
        out = self.steward_of(RULES, STEWARD, len(NODES), self._living)
        out.lead(self.now, self.token)
        return out

    def copy(self) -> World:
        new = copy.copy(self)
        new.lives, new.air = list(self.lives), list(self.air)
        new.holders = [copy.copy(one) for one in self.holders]
        for one in new.holders:
            one.notes = []
        new.steward = copy.copy(self.steward)
        new.steward._living = new._living
        for name in ("_answered", "_cleared", "_polled", "_seen", "_zones"):
            setattr(new.steward, name, dict(getattr(self.steward, name)))
        new.steward.given = {key: copy.copy(one) for key, one in self.steward.given.items()}
        new.steward._wishes = {key: copy.copy(one) for key, one in self.steward._wishes.items()}
        return new

    def key(self) -> Any:
        def told(one: Any) -> Any:
            return tuple(sorted((name, repr(value)) for name, value in vars(one).items()
                                if name not in ("notes", "rules", "_living")))  # fmt: skip

        return (
            self.now, tuple(self.lives), tuple(told(one) for one in self.holders), told(self.steward),
            tuple(sorted(map(repr, self.air))), self.wants, self.repeats, self.restarts, self.elections,
        )  # fmt: skip

    # Steps.

    def send(self, source: int, life: int, letters: list[tuple[int, Any]]) -> None:
        for to, message in letters:
            if len(self.air) < AIR:
                self.air.append((source, life, to, message))

    def deliver(self, letter: tuple[int, int, int, Any]) -> None:
        source, life, to, message = letter
        if isinstance(message, PollReply | Ask | ReturnPermit):
            # To whoever is the steward: another token's answers it passes over by itself.
            self.send(STEWARD, 1, self.steward.heard(self.now, source, life, message))
        else:
            self.send(to, self.lives[to], self.holders[to].heard(self.now, STEWARD, message))

    def second(self) -> None:
        self.now += SECOND
        self.send(STEWARD, 1, self.steward.tick(self.now))
        for number, holder in enumerate(self.holders):
            self.send(number, self.lives[number], holder.tick(self.now))

    def steps(self, until: int) -> Iterator[World]:
        def after(what: Callable[[World], None]) -> World:
            new = self.copy()
            what(new)
            return new

        if self.now < until * SECOND:
            yield after(World.second)
        for index in range(len(self.air)):
            yield after(lambda new, index=index: new.deliver(new.air.pop(index)))  # type: ignore[misc]
            yield after(lambda new, index=index: new.air.pop(index))  # type: ignore[misc]
            if self.repeats and isinstance(self.air[index][3], Permit | PollReply):

                def twice(new: World, index: int = index) -> None:
                    new.repeats -= 1
                    new.deliver(new.air[index])

                yield after(twice)
        for number in NODES:
            holder = self.holders[number]
            if self.wants and not holder.wanted() and not holder.held(self.now):

                def want(new: World, number: int = number) -> None:
                    new.wants -= 1
                    new.holders[number].want(new.now, Kind.DRAIN)

                yield after(want)
            if holder.held(self.now):
                yield after(lambda new, number=number: new.holders[number].give_back(new.now))  # type: ignore[misc]
            if self.restarts and holder.held(self.now):

                def restart(new: World, number: int = number) -> None:
                    new.restarts -= 1
                    new.lives[number] += 1
                    new.holders[number] = new.holder(RULES, new.lives[number])

                yield after(restart)
        if self.elections:

            def elect(new: World) -> None:
                new.elections -= 1
                new.token += 1
                new.steward = new._steward()

            yield after(elect)

    def broken(self) -> bool:
        return sum(one.held(self.now) for one in self.holders) > 1


def explored(until: int, **parts: Any) -> tuple[int, int, bool]:
    """States reached, those in which somebody holds a permit, and whether two did in any."""
    seen: set[Any] = set()
    stack, held = [World(**parts)], 0
    while stack and len(seen) < STATES_MOST:
        world = stack.pop()
        key = world.key()
        if key in seen:
            continue
        seen.add(key)
        held += any(one.held(world.now) for one in world.holders)
        if world.broken():
            return len(seen), held, True
        stack += world.steps(until)
    return len(seen), held, False


def test_never_two_hold_one_permit_in_any_order() -> None:
    states, held, broken = explored(3)
    assert not broken
    assert states < STATES_MOST, "not all of it was looked at"
    assert states > 50_000 and held > 5_000


class Forgetful(Steward):
    """Has no record of what it gave."""

    def _give(self, now: int, living: LiveNodes) -> Any:
        letters = super()._give(now, living)
        self.given.clear()
        return letters


@pytest.mark.parametrize(("defect", "until"), [(Forgetful, 2), (Unpolled, 3)])
def test_a_planted_defect_is_found(defect: type[Steward], until: int) -> None:
    assert explored(until, steward=defect)[2]
