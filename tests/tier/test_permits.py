"""Permits to be out: never too many nodes and never two zones are out, through changes of the disruption
controller, and every request is granted in the end."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from disruption_control import RULES, SECOND, TERM_NS, World

from driftstair.tier.ownership.disruption_controller import DisruptionController
from driftstair.tier.ownership.permits import (
    Holder,
    Kind,
    Permit,
    Poll,
    PollReply,
    RequestPermit,
    ReturnConfirmed,
    ReturnPermit,
    Rules,
    Wait,
    WaitReason,
)

SEEDS = 60
STEPS = 1200


def run_random_world(seed: int, **arguments: Any) -> World:
    random = Random(seed)
    world = World(random.randint(2, 7), random.randint(1, 3), random, **arguments)
    world.run(STEPS)
    return world


def test_never_too_many_nodes_and_never_two_zones_are_out() -> None:
    worlds = [run_random_world(seed) for seed in range(SEEDS)]
    assert sum(world.permits_taken for world in worlds) > 20 * SEEDS  # not because no node is ever out
    assert sum(world.max_nodes_out == RULES.at_once for world in worlds) > SEEDS / 3


# Planted defects, each of which the same random worlds have to find.


class CountsFromArrival(Holder):
    """Counts a permit from when it arrives."""

    def _on_permit(self, now: int, sender: int, message: Permit) -> Any:
        return super()._on_permit(now, sender, message._replace(asked_at_ns=now))


class WithoutTokenFloor(Holder):
    """Takes permits of an older disruption controller."""

    def on_message(self, now: int, sender: int, message: Any) -> Any:
        self.token_floor = 0
        return super().on_message(now, sender, message)


class TakesAnyGeneration(Holder):
    """Takes permits that were granted to the previous process."""

    def _on_permit(self, now: int, sender: int, message: Permit) -> Any:
        return super()._on_permit(now, sender, message._replace(generation=self.generation))


class IgnoresUnpolledNodes(DisruptionController):
    """Considers a node that has not answered the poll as in service."""

    def _nodes_out(self, now: int, live_nodes: Any) -> dict[int, int]:
        return {number: self._zones.get(number, -1) for number in self.granted}


class IgnoresDrift(DisruptionController):
    """Drops a permit as soon as the term is over by its own clock."""

    def _refresh(self, now: int) -> Any:
        for number, granted in list(self.granted.items()):
            if granted.asked_at_ns and now >= granted.until_ns - self.rules.controller_term_ns() + int(
                0.98 * self.rules.term_ns
            ):
                del self.granted[number]
        return super()._refresh(now)


class DropsPermitsOfDeadNodes(DisruptionController):
    """Takes the end of a process for a return of its permit, before the new process has reported."""

    def _refresh(self, now: int) -> Any:
        live_nodes = super()._refresh(now)
        for number in [node for node in self.granted if node not in live_nodes]:
            del self.granted[number]
        return live_nodes


class IgnoresZones(DisruptionController):
    """Grants permits in several zones at the same time."""

    def _wait_reason(self, live_nodes: Any, out: dict[int, int], number: int) -> WaitReason | None:
        return super()._wait_reason(live_nodes, dict.fromkeys(out, self._zones.get(number, -1)), number)


@pytest.mark.parametrize(
    "defect",
    [
        CountsFromArrival,
        WithoutTokenFloor,
        TakesAnyGeneration,
        IgnoresUnpolledNodes,
        IgnoresDrift,
        DropsPermitsOfDeadNodes,
        IgnoresZones,
    ],
)
def test_a_planted_defect_is_found(defect: type) -> None:
    arguments = {"holder_type": defect} if issubclass(defect, Holder) else {"controller_type": defect}
    if defect is TakesAnyGeneration:
        arguments["loss"] = 0.0
    with pytest.raises(AssertionError, match="out"):
        for seed in range(1000, 1400):
            run_random_world(seed, **arguments)


# Single cases.


class Tier:
    """A disruption controller and holders on one clock. Messages arrive at once, except those for which
    `is_lost` is true."""

    def __init__(self, zones: list[int], rules: Rules = RULES) -> None:
        self.now = 100 * SECOND
        self.rules = rules
        self.live_nodes = {number: (1, zone) for number, zone in enumerate(zones)}
        self.holders = [Holder(rules, 1) for _ in zones]
        self.is_lost: Callable[[int, Any], bool] = lambda to, message: False
        self.start_controller(7)

    def start_controller(self, token: int) -> None:
        self.disruption_controller = DisruptionController(
            self.rules, 0, len(self.holders), lambda: self.live_nodes
        )
        self.disruption_controller.set_token(self.now, token)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            self._deliver(0, 1, self.disruption_controller.tick(self.now))
            for number, holder in enumerate(self.holders):
                if number in self.live_nodes:
                    self._deliver(number, holder.generation, holder.tick(self.now))

    def _deliver(self, source: int, generation: int, outgoing: list[tuple[int, Any]]) -> None:
        for to, message in outgoing:
            if to not in self.live_nodes or self.is_lost(to, message):
                continue
            if isinstance(message, PollReply | RequestPermit | ReturnPermit):
                self._deliver(
                    0, 1, self.disruption_controller.on_message(self.now, source, generation, message)
                )
            else:
                holder = self.holders[to]
                self._deliver(to, holder.generation, holder.on_message(self.now, 0, message))

    def request(self, *numbers: int) -> None:
        for number in numbers:
            self.holders[number].request(self.now, Kind.RESTART)

    def nodes_with_permit(self) -> list[int]:
        return [number for number, holder in enumerate(self.holders) if holder.has_permit(self.now)]

    def restart(self, number: int) -> None:
        generation, zone = self.live_nodes[number]
        self.holders[number] = Holder(self.rules, generation + 1)
        self.live_nodes[number] = (generation + 1, zone)


def test_requests_are_granted_two_at_a_time_and_zone_by_zone() -> None:
    tier = Tier([0, 1, 0, 1, 0, 1])
    tier.run(1)
    tier.request(0, 1, 2, 3, 4, 5)
    order: list[int] = []
    for _ in range(40):
        tier.run(1)
        out = tier.nodes_with_permit()
        assert len({tier.live_nodes[number][1] for number in out}) <= 1
        order += [number for number in out if number not in order]
        if len(out) == 2 or (out and len(order) in (3, 6)):
            tier.holders[out[0]].give_back(tier.now)
    # The nodes of zone 0, which waited when the turn of their zone began, are out together before the others.
    assert order == [0, 2, 4, 1, 3, 5]


def test_a_request_of_another_zone_does_not_wait_forever_behind_later_ones() -> None:
    tier = Tier([0, 0, 0, 1])
    tier.run(1)
    tier.request(0, 3)
    tier.run(1)
    assert tier.nodes_with_permit() == [0]
    tier.request(1, 2)  # in the zone that is out, but later than node 3
    tier.run(2)
    assert tier.nodes_with_permit() == [0]
    assert tier.holders[1].wait_reason == WaitReason.ZONE or tier.holders[1].nodes_ahead == 1
    tier.holders[0].give_back(tier.now)
    tier.run(2)
    assert tier.nodes_with_permit() == [3]


def test_a_restart_returns_the_permit_once_the_new_process_has_answered() -> None:
    tier = Tier([0, 0, 0], Rules(1, TERM_NS))
    tier.run(1)
    tier.request(0, 1)
    tier.run(2)
    assert tier.nodes_with_permit() == [0]
    ended = tier.live_nodes.pop(0)
    tier.run(5)
    # The holder's and the controller's record.
    assert tier.nodes_with_permit() == [0] and tier.disruption_controller.nodes_out(tier.now) == {0: 0}
    tier.live_nodes[0] = ended
    tier.restart(0)
    tier.run(2)
    assert tier.nodes_with_permit() == [1]


def test_the_controller_waits_for_a_holder_that_never_returns_until_its_term_is_over() -> None:
    tier = Tier([0, 0, 0], Rules(1, TERM_NS))
    tier.run(1)
    tier.request(1, 2)
    tier.run(2)
    del tier.live_nodes[1]
    tier.run(15)
    assert not tier.holders[2].has_permit(tier.now)
    tier.run(10)
    assert tier.holders[2].has_permit(tier.now)


def test_a_node_that_is_down_without_a_permit_counts_as_out() -> None:
    tier = Tier([0, 1, 0], Rules(1, TERM_NS))
    tier.run(1)
    del tier.live_nodes[1]
    tier.request(2)
    tier.run(3)
    assert tier.nodes_with_permit() == [] and tier.holders[2].wait_reason in (
        WaitReason.OUT,
        WaitReason.ZONE,
    )
    tier.run(20)
    assert tier.nodes_with_permit() == [2]  # node 1 has been down for longer than a permit can last


def test_the_next_controller_learns_from_the_holders_which_permits_were_granted() -> None:
    tier = Tier([0, 0, 0], Rules(1, TERM_NS))
    tier.run(1)
    tier.request(1)
    tier.run(1)
    tier.request(2)
    tier.start_controller(8)
    tier.run(4)
    assert tier.nodes_with_permit() == [1]
    assert tier.holders[2].wait_reason == WaitReason.OUT
    tier.holders[1].give_back(tier.now)
    tier.run(2)
    assert tier.nodes_with_permit() == [2]


def test_a_node_that_does_not_answer_the_poll_delays_the_others_for_a_term() -> None:
    tier = Tier([0, 0, 0], Rules(1, TERM_NS))
    tier.is_lost = lambda to, message: to == 1 and isinstance(message, Poll)
    tier.request(2)
    tier.run(15)
    assert tier.nodes_with_permit() == [] and tier.holders[2].wait_reason == WaitReason.POLLING
    tier.run(10)
    assert tier.nodes_with_permit() == [2]


def test_a_lost_permit_is_sent_again_and_does_not_last_longer() -> None:
    tier = Tier([0, 0], Rules(1, TERM_NS))
    tier.run(1)
    requested_at = tier.now
    tier.is_lost = lambda to, message: isinstance(message, Permit)
    tier.request(1)
    tier.run(6)
    assert tier.nodes_with_permit() == [] and tier.disruption_controller.nodes_out(tier.now) == {1: 0}
    tier.is_lost = lambda to, message: False
    tier.run(2)
    assert tier.nodes_with_permit() == [1]
    assert tier.holders[1].remaining_ns(tier.now) < TERM_NS - (tier.now - requested_at) + SECOND


def test_a_permit_of_an_older_disruption_controller_is_refused() -> None:
    holder = Holder(RULES, 5)
    holder.request(10, Kind.DRAIN)
    holder.on_message(11, 2, Poll(9))
    assert holder.on_message(12, 1, Permit(8, 5, 1, 10, TERM_NS)) == []
    assert not holder.has_permit(12) and [event.what for event in holder.events] == ["refused"]
    holder.on_message(13, 2, Permit(9, 5, 1, 10, TERM_NS))
    assert holder.has_permit(13) and holder.remaining_ns(13) == TERM_NS - 3


def test_a_permit_that_is_too_late_or_answers_a_withdrawn_request_is_not_taken() -> None:
    holder = Holder(RULES, 5)
    holder.request(10, Kind.DRAIN)
    assert holder.on_message(10 + TERM_NS, 2, Permit(9, 5, 1, 10, TERM_NS)) == []
    assert not holder.has_permit(10 + TERM_NS)
    holder.give_back(20 + TERM_NS)
    assert holder.on_message(30 + TERM_NS, 2, Permit(9, 5, 1, 20 + TERM_NS, TERM_NS)) == [
        (2, ReturnPermit(1))
    ]
    assert not holder.has_permit(30 + TERM_NS)


def test_a_return_is_repeated_until_it_is_confirmed() -> None:
    holder = Holder(RULES, 5)
    holder.on_message(1, 3, Poll(9))
    holder.request(2, Kind.RESTART)
    holder.give_back(3)
    assert holder.tick(4) == [(3, ReturnPermit(1))]
    assert holder.tick(5) == []
    assert holder.tick(4 + SECOND) == [(3, ReturnPermit(1))]
    holder.on_message(5 + SECOND, 3, ReturnConfirmed(4, 1))  # for another generation
    assert holder.tick(4 + 2 * SECOND) == [(3, ReturnPermit(1))]
    holder.on_message(5 + 2 * SECOND, 3, ReturnConfirmed(5, 1))
    assert holder.tick(4 + 3 * SECOND) == []


def test_a_request_that_is_not_repeated_delays_nobody() -> None:
    tier = Tier([0, 1, 0])
    tier.run(1)
    tier.request(0)
    tier.run(1)
    tier.request(1)  # waits for zone 0, and then its process is replaced
    tier.run(1)
    tier.restart(1)
    tier.request(2)
    tier.run(5)
    assert tier.nodes_with_permit() == [0, 2]


def test_the_shorter_of_the_holders_and_the_controllers_term_applies() -> None:
    holder = Holder(Rules(term_ns=50 * SECOND), 5)
    holder.request(10, Kind.RESTART)
    holder.on_message(11, 0, Permit(9, 5, 1, 10, 20 * SECOND))
    assert holder.remaining_ns(10) == 20 * SECOND


def test_a_waiting_holder_knows_the_reason_and_its_position() -> None:
    holder = Holder(RULES, 5)
    holder.request(10, Kind.RESTART)
    holder.on_message(11, 4, Wait(9, 5, 1, int(WaitReason.OUT), 3))
    assert (holder.wait_reason, holder.nodes_ahead, holder.controller_number) == (WaitReason.OUT, 3, 4)
    holder.on_message(12, 4, Wait(9, 4, 1, int(WaitReason.TURN), 0))  # for another generation
    assert holder.nodes_ahead == 3
