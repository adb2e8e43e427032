"""Permits in every order of steps of a small world: two nodes, two disruption controllers one after the
other, messages that are lost, duplicated and delayed without bound, requests, restarts. All clocks are equal
here; the random worlds cover drift."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from test_permits import IgnoresUnpolledNodes

from driftstair.tier.ownership.disruption_controller import DisruptionController, LiveNodes
from driftstair.tier.ownership.permits import (
    Holder,
    Kind,
    Permit,
    PollReply,
    RequestPermit,
    ReturnPermit,
    Rules,
)

SECOND = 1_000_000_000
TERM_S = 2
RULES = Rules(at_once=1, term_ns=TERM_S * SECOND, drift=0.0)
NODES = (0, 1)
CONTROLLER_NUMBER = 9  # a node of its own, which never requests a permit
MAX_IN_FLIGHT = 2  # any further message is lost
MAX_STATES = 400_000


class World:
    """One state: two holders, a controller and the messages in flight."""

    def __init__(
        self,
        holder_type: type[Holder] = Holder,
        controller_type: type[DisruptionController] = DisruptionController,
    ) -> None:
        self.holder_type, self.controller_type = holder_type, controller_type
        self.now = 0
        self.generations = [1, 1]
        self.holders = [holder_type(RULES, 1) for _ in NODES]
        self.token = 1
        self.in_flight: list[tuple[int, int, int, Any]] = []
        self.requests_left, self.duplicates_left, self.restarts_left, self.elections_left = 2, 1, 1, 1
        self.disruption_controller = self._new_controller()

    def _live_nodes(self) -> LiveNodes:
        return {number: (generation, 0) for number, generation in enumerate(self.generations)}

    def _new_controller(self) -> DisruptionController:
        controller = self.controller_type(RULES, CONTROLLER_NUMBER, len(NODES), self._live_nodes)
        controller.set_token(self.now, self.token)
        return controller

    def copy(self) -> World:
        new = copy.copy(self)
        new.generations, new.in_flight = list(self.generations), list(self.in_flight)
        new.holders = [copy.copy(holder) for holder in self.holders]
        for holder in new.holders:
            holder.events = []
        new.disruption_controller = copy.copy(self.disruption_controller)
        new.disruption_controller._live_nodes = new._live_nodes
        for name in (
            "_answered_generations",
            "_cleared_generations",
            "_polled_at_ns",
            "_last_alive_ns",
            "_zones",
        ):
            setattr(new.disruption_controller, name, dict(getattr(self.disruption_controller, name)))
        new.disruption_controller.granted = {
            number: copy.copy(granted) for number, granted in self.disruption_controller.granted.items()
        }
        new.disruption_controller._requests = {
            number: copy.copy(request) for number, request in self.disruption_controller._requests.items()
        }
        return new

    def state_key(self) -> Any:
        def attributes(item: Any) -> Any:
            return tuple(sorted((name, repr(value)) for name, value in vars(item).items()
                                if name not in ("events", "rules", "_live_nodes")))  # fmt: skip

        return (
            self.now, tuple(self.generations), tuple(attributes(holder) for holder in self.holders),
            attributes(self.disruption_controller), tuple(sorted(map(repr, self.in_flight))),
            self.requests_left, self.duplicates_left, self.restarts_left, self.elections_left,
        )  # fmt: skip

    # Steps.

    def send(self, source: int, generation: int, outgoing: list[tuple[int, Any]]) -> None:
        for to, message in outgoing:
            if len(self.in_flight) < MAX_IN_FLIGHT:
                self.in_flight.append((source, generation, to, message))

    def deliver(self, entry: tuple[int, int, int, Any]) -> None:
        source, generation, to, message = entry
        if isinstance(message, PollReply | RequestPermit | ReturnPermit):
            # To the current controller, which itself ignores answers with another token.
            self.send(
                CONTROLLER_NUMBER,
                1,
                self.disruption_controller.on_message(self.now, source, generation, message),
            )
        else:
            self.send(
                to,
                self.generations[to],
                self.holders[to].on_message(self.now, CONTROLLER_NUMBER, message),
            )

    def pass_second(self) -> None:
        self.now += SECOND
        self.send(CONTROLLER_NUMBER, 1, self.disruption_controller.tick(self.now))
        for number, holder in enumerate(self.holders):
            self.send(number, self.generations[number], holder.tick(self.now))

    def next_worlds(self, end_s: int) -> Iterator[World]:
        """The worlds after each possible step; time does not pass beyond `end_s`."""

        def after(step: Callable[[World], None]) -> World:
            new = self.copy()
            step(new)
            return new

        if self.now < end_s * SECOND:
            yield after(World.pass_second)
        for index in range(len(self.in_flight)):
            yield after(lambda new, index=index: new.deliver(new.in_flight.pop(index)))  # type: ignore[misc]
            yield after(lambda new, index=index: new.in_flight.pop(index))  # type: ignore[misc]
            if self.duplicates_left and isinstance(self.in_flight[index][3], Permit | PollReply):

                def duplicate(new: World, index: int = index) -> None:
                    new.duplicates_left -= 1
                    new.deliver(new.in_flight[index])

                yield after(duplicate)
        for number in NODES:
            holder = self.holders[number]
            if self.requests_left and not holder.is_wanted() and not holder.has_permit(self.now):

                def request(new: World, number: int = number) -> None:
                    new.requests_left -= 1
                    new.holders[number].request(new.now, Kind.DRAIN)

                yield after(request)
            if holder.has_permit(self.now):
                yield after(lambda new, number=number: new.holders[number].give_back(new.now))  # type: ignore[misc]
            if self.restarts_left and holder.has_permit(self.now):

                def restart(new: World, number: int = number) -> None:
                    new.restarts_left -= 1
                    new.generations[number] += 1
                    new.holders[number] = new.holder_type(RULES, new.generations[number])

                yield after(restart)
        if self.elections_left:

            def elect_controller(new: World) -> None:
                new.elections_left -= 1
                new.token += 1
                new.disruption_controller = new._new_controller()

            yield after(elect_controller)

    def has_two_permits(self) -> bool:
        return sum(holder.has_permit(self.now) for holder in self.holders) > 1


def explore(end_s: int, **arguments: Any) -> tuple[int, int, bool]:
    """The states reached, those in which a node holds a permit, and whether two nodes did in any state."""
    seen: set[Any] = set()
    stack, states_with_permit = [World(**arguments)], 0
    while stack and len(seen) < MAX_STATES:
        world = stack.pop()
        key = world.state_key()
        if key in seen:
            continue
        seen.add(key)
        states_with_permit += any(holder.has_permit(world.now) for holder in world.holders)
        if world.has_two_permits():
            return len(seen), states_with_permit, True
        stack += world.next_worlds(end_s)
    return len(seen), states_with_permit, False


def test_two_nodes_never_hold_a_permit_in_any_order_of_steps() -> None:
    states, states_with_permit, has_violation = explore(3)
    assert not has_violation
    assert states < MAX_STATES, "the exploration is incomplete"
    assert states > 50_000 and states_with_permit > 5_000


class KeepsNoRecord(DisruptionController):
    """Has no record of the permits that it granted."""

    def _grant_permits(self, now: int, live_nodes: LiveNodes) -> Any:
        outgoing = super()._grant_permits(now, live_nodes)
        self.granted.clear()
        return outgoing


@pytest.mark.parametrize(("defect", "end_s"), [(KeepsNoRecord, 2), (IgnoresUnpolledNodes, 3)])
def test_a_planted_defect_is_found(defect: type[DisruptionController], end_s: int) -> None:
    assert explore(end_s, controller_type=defect)[2]
