"""Permits in every order of a small world: two nodes, two disruption controllers one after the other,
letters that are lost, doubled and as late as they like, wishes, restarts. Clocks are alike here; random
worlds have drift."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from test_permits import Unpolled

from driftstair.tier.ownership.disruption_controller import DisruptionController, LiveNodes
from driftstair.tier.ownership.permits import Ask, Holder, Kind, Permit, PollReply, ReturnPermit, Rules

SECOND = 1_000_000_000
TERM = 2  # s
RULES = Rules(at_once=1, term=TERM * SECOND, drift=0.0)
NODES = (0, 1)
DISRUPTION_CONTROLLER = 9  # a node of its own, that never asks
AIR = 2  # letters at once; a third is lost
STATES_MOST = 400_000


class World:
    def __init__(
        self,
        holder: type[Holder] = Holder,
        disruption_controller: type[DisruptionController] = DisruptionController,
    ) -> None:
        self.holder, self.disruption_controller_of = holder, disruption_controller
        self.now = 0
        self.generations = [1, 1]
        self.holders = [holder(RULES, 1) for _ in NODES]
        self.token = 1
        self.air: list[tuple[int, int, int, Any]] = []
        self.wants, self.repeats, self.restarts, self.elections = 2, 1, 1, 1
        self.disruption_controller = self._disruption_controller()

    def _living(self) -> LiveNodes:
        return {number: (generation, 0) for number, generation in enumerate(self.generations)}

    def _disruption_controller(self) -> DisruptionController:
        out = self.disruption_controller_of(RULES, DISRUPTION_CONTROLLER, len(NODES), self._living)
        out.lead(self.now, self.token)
        return out

    def copy(self) -> World:
        new = copy.copy(self)
        new.generations, new.air = list(self.generations), list(self.air)
        new.holders = [copy.copy(one) for one in self.holders]
        for one in new.holders:
            one.notes = []
        new.disruption_controller = copy.copy(self.disruption_controller)
        new.disruption_controller._living = new._living
        for name in ("_answered", "_cleared", "_polled", "_seen", "_zones"):
            setattr(new.disruption_controller, name, dict(getattr(self.disruption_controller, name)))
        new.disruption_controller.given = {
            key: copy.copy(one) for key, one in self.disruption_controller.given.items()
        }
        new.disruption_controller._wishes = {
            key: copy.copy(one) for key, one in self.disruption_controller._wishes.items()
        }
        return new

    def key(self) -> Any:
        def told(one: Any) -> Any:
            return tuple(sorted((name, repr(value)) for name, value in vars(one).items()
                                if name not in ("notes", "rules", "_living")))  # fmt: skip

        return (
            self.now, tuple(self.generations), tuple(told(one) for one in self.holders),
            told(self.disruption_controller), tuple(sorted(map(repr, self.air))), self.wants,
            self.repeats, self.restarts, self.elections,
        )  # fmt: skip

    # Steps.

    def send(self, source: int, generation: int, letters: list[tuple[int, Any]]) -> None:
        for to, message in letters:
            if len(self.air) < AIR:
                self.air.append((source, generation, to, message))

    def deliver(self, letter: tuple[int, int, int, Any]) -> None:
        source, generation, to, message = letter
        if isinstance(message, PollReply | Ask | ReturnPermit):
            # To whoever is the disruption controller: another token's answers it passes over by itself.
            self.send(
                DISRUPTION_CONTROLLER,
                1,
                self.disruption_controller.heard(self.now, source, generation, message),
            )
        else:
            self.send(
                to, self.generations[to], self.holders[to].heard(self.now, DISRUPTION_CONTROLLER, message)
            )

    def second(self) -> None:
        self.now += SECOND
        self.send(DISRUPTION_CONTROLLER, 1, self.disruption_controller.tick(self.now))
        for number, holder in enumerate(self.holders):
            self.send(number, self.generations[number], holder.tick(self.now))

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
                    new.generations[number] += 1
                    new.holders[number] = new.holder(RULES, new.generations[number])

                yield after(restart)
        if self.elections:

            def elect(new: World) -> None:
                new.elections -= 1
                new.token += 1
                new.disruption_controller = new._disruption_controller()

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


class Forgetful(DisruptionController):
    """Has no record of what it gave."""

    def _give(self, now: int, living: LiveNodes) -> Any:
        letters = super()._give(now, living)
        self.given.clear()
        return letters


@pytest.mark.parametrize(("defect", "until"), [(Forgetful, 2), (Unpolled, 3)])
def test_a_planted_defect_is_found(defect: type[DisruptionController], until: int) -> None:
    assert explored(until, disruption_controller=defect)[2]
