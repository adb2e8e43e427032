"""Permits to be out: never too many, never two zones, whoever is the disruption controller; and that all
get theirs."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from disruption_control import RULES, SECOND, TERM, World

from driftstair.tier.ownership.disruption_controller import DisruptionController
from driftstair.tier.ownership.permits import (
    Ask,
    Holder,
    Kind,
    Permit,
    Poll,
    PollReply,
    ReturnConfirmed,
    ReturnPermit,
    Rules,
    Wait,
    WaitReason,
)

SEEDS = 60
STEPS = 1200


def played(seed: int, **parts: Any) -> World:
    random = Random(seed)
    world = World(random.randint(2, 7), random.randint(1, 3), random, **parts)
    world.play(STEPS)
    return world


def test_never_too_many_are_out_and_never_two_zones() -> None:
    worlds = [played(seed) for seed in range(SEEDS)]
    assert sum(world.taken for world in worlds) > 20 * SEEDS  # it is not that nobody ever is out
    assert sum(world.most == RULES.at_once for world in worlds) > SEEDS / 3


# Defects that are planted: each is found by the same play.


class FromTheAnswer(Holder):
    """Its permit counts from when it came."""

    def _permitted(self, now: int, sender: int, message: Permit) -> Any:
        return super()._permitted(now, sender, message._replace(at=now))


class NoFloor(Holder):
    """Takes what an older disruption controller has given."""

    def heard(self, now: int, sender: int, message: Any) -> Any:
        self.floor = 0
        return super().heard(now, sender, message)


class AnyGeneration(Holder):
    """Takes what was given to the process before it."""

    def _permitted(self, now: int, sender: int, message: Permit) -> Any:
        return super()._permitted(now, sender, message._replace(generation=self.generation))


class Unpolled(DisruptionController):
    """Takes who has not answered for one that is not out."""

    def _out(self, now: int, living: Any) -> dict[int, int]:
        return {number: self._zones.get(number, -1) for number in self.given}


class Hasty(DisruptionController):
    """Forgets a permit when its own clock says that the term is over."""

    def _look(self, now: int) -> Any:
        for number, given in list(self.given.items()):
            if given.at and now >= given.until - self.rules.waited() + int(0.98 * self.rules.term):
                del self.given[number]
        return super()._look(now)


class Trusting(DisruptionController):
    """A restart gives back, before the new process has said that it is there."""

    def _look(self, now: int) -> Any:
        living = super()._look(now)
        for number in [one for one in self.given if one not in living]:
            del self.given[number]
        return living


class AnyZone(DisruptionController):
    def _refused(self, living: Any, out: dict[int, int], number: int) -> WaitReason | None:
        return super()._refused(living, dict.fromkeys(out, self._zones.get(number, -1)), number)


@pytest.mark.parametrize(
    "defect", [FromTheAnswer, NoFloor, AnyGeneration, Unpolled, Hasty, Trusting, AnyZone]
)
def test_a_planted_defect_is_found(defect: type) -> None:
    parts = {"holder": defect} if issubclass(defect, Holder) else {"disruption_controller": defect}
    if defect is AnyGeneration:
        parts["loss"] = 0.0
    with pytest.raises(AssertionError, match="out"):
        for seed in range(1000, 1400):
            played(seed, **parts)


# By hand.


class Tier:
    """A disruption controller and holders on one clock, with letters that arrive at once unless `lost` says
    otherwise."""

    def __init__(self, zones: list[int], rules: Rules = RULES) -> None:
        self.now = 100 * SECOND
        self.rules = rules
        self.living = {number: (1, zone) for number, zone in enumerate(zones)}
        self.holders = [Holder(rules, 1) for _ in zones]
        self.lost: Callable[[int, Any], bool] = lambda to, message: False
        self.lead(7)

    def lead(self, token: int) -> None:
        self.disruption_controller = DisruptionController(
            self.rules, 0, len(self.holders), lambda: self.living
        )
        self.disruption_controller.lead(self.now, token)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 4)):
            self.now += SECOND // 4
            self._deliver(0, 1, self.disruption_controller.tick(self.now))
            for number, holder in enumerate(self.holders):
                if number in self.living:
                    self._deliver(number, holder.generation, holder.tick(self.now))

    def _deliver(self, source: int, generation: int, letters: list[tuple[int, Any]]) -> None:
        for to, message in letters:
            if to not in self.living or self.lost(to, message):
                continue
            if isinstance(message, PollReply | Ask | ReturnPermit):
                self._deliver(0, 1, self.disruption_controller.heard(self.now, source, generation, message))
            else:
                holder = self.holders[to]
                self._deliver(to, holder.generation, holder.heard(self.now, 0, message))

    def want(self, *numbers: int) -> None:
        for number in numbers:
            self.holders[number].want(self.now, Kind.RESTART)

    def out(self) -> list[int]:
        return [number for number, one in enumerate(self.holders) if one.held(self.now)]

    def restart(self, number: int) -> None:
        generation, zone = self.living[number]
        self.holders[number] = Holder(self.rules, generation + 1)
        self.living[number] = (generation + 1, zone)


def test_all_get_theirs_in_turn_two_at_a_time_and_by_zones() -> None:
    tier = Tier([0, 1, 0, 1, 0, 1])
    tier.run(1)
    tier.want(0, 1, 2, 3, 4, 5)
    seen: list[int] = []
    for _ in range(40):
        tier.run(1)
        out = tier.out()
        assert len({tier.living[one][1] for one in out}) <= 1
        seen += [one for one in out if one not in seen]
        if len(out) == 2 or (out and len(seen) in (3, 6)):
            tier.holders[out[0]].give_back(tier.now)
    # Those of zone 0 that waited when its turn began go together, then the others.
    assert seen == [0, 2, 4, 1, 3, 5]


def test_one_of_another_zone_does_not_wait_for_ever_behind_those_that_come_later() -> None:
    tier = Tier([0, 0, 0, 1])
    tier.run(1)
    tier.want(0, 3)
    tier.run(1)
    assert tier.out() == [0]
    tier.want(1, 2)  # of the zone that is out, but after 3
    tier.run(2)
    assert tier.out() == [0]
    assert tier.holders[1].why == WaitReason.ZONE or tier.holders[1].before == 1
    tier.holders[0].give_back(tier.now)
    tier.run(2)
    assert tier.out() == [3]


def test_a_restart_gives_the_permit_back_once_the_new_process_is_there() -> None:
    tier = Tier([0, 0, 0], Rules(1, TERM))
    tier.run(1)
    tier.want(0, 1)
    tier.run(2)
    assert tier.out() == [0]
    gone = tier.living.pop(0)
    tier.run(5)
    assert tier.out() == [0] and tier.disruption_controller.out(tier.now) == {0: 0}  # the controller's record
    tier.living[0] = gone
    tier.restart(0)
    tier.run(2)
    assert tier.out() == [1]


def test_a_holder_that_never_comes_back_is_waited_for_until_its_term_is_over() -> None:
    tier = Tier([0, 0, 0], Rules(1, TERM))
    tier.run(1)
    tier.want(1, 2)
    tier.run(2)
    del tier.living[1]
    tier.run(15)
    assert not tier.holders[2].held(tier.now)
    tier.run(10)
    assert tier.holders[2].held(tier.now)


def test_a_node_that_is_down_without_a_permit_counts_too() -> None:
    tier = Tier([0, 1, 0], Rules(1, TERM))
    tier.run(1)
    del tier.living[1]
    tier.want(2)
    tier.run(3)
    assert tier.out() == [] and tier.holders[2].why in (WaitReason.OUT, WaitReason.ZONE)
    tier.run(20)
    assert tier.out() == [2]  # gone for longer than a permit could last


def test_the_next_disruption_controller_knows_what_the_one_before_it_gave_by_asking_those_that_have_it() -> (
    None
):
    tier = Tier([0, 0, 0], Rules(1, TERM))
    tier.run(1)
    tier.want(1)
    tier.run(1)
    tier.want(2)
    tier.lead(8)
    tier.run(4)
    assert tier.out() == [1]
    assert tier.holders[2].why == WaitReason.OUT
    tier.holders[1].give_back(tier.now)
    tier.run(2)
    assert tier.out() == [2]


def test_who_does_not_answer_the_poll_holds_the_others_back_for_a_term() -> None:
    tier = Tier([0, 0, 0], Rules(1, TERM))
    tier.lost = lambda to, message: to == 1 and isinstance(message, Poll)
    tier.want(2)
    tier.run(15)
    assert tier.out() == [] and tier.holders[2].why == WaitReason.POLLING
    tier.run(10)
    assert tier.out() == [2]


def test_a_lost_permit_comes_again_and_lasts_no_longer() -> None:
    tier = Tier([0, 0], Rules(1, TERM))
    tier.run(1)
    began = tier.now
    tier.lost = lambda to, message: isinstance(message, Permit)
    tier.want(1)
    tier.run(6)
    assert tier.out() == [] and tier.disruption_controller.out(tier.now) == {1: 0}
    tier.lost = lambda to, message: False
    tier.run(2)
    assert tier.out() == [1]
    assert tier.holders[1].left(tier.now) < TERM - (tier.now - began) + SECOND


def test_an_older_disruption_controllers_permit_is_refused() -> None:
    holder = Holder(RULES, 5)
    holder.want(10, Kind.DRAIN)
    holder.heard(11, 2, Poll(9))
    assert holder.heard(12, 1, Permit(8, 5, 1, 10, TERM)) == []
    assert not holder.held(12) and [note.what for note in holder.notes] == ["refused"]
    holder.heard(13, 2, Permit(9, 5, 1, 10, TERM))
    assert holder.held(13) and holder.left(13) == TERM - 3


def test_a_permit_that_was_long_on_its_way_or_of_a_wish_that_is_over_is_none() -> None:
    holder = Holder(RULES, 5)
    holder.want(10, Kind.DRAIN)
    assert holder.heard(10 + TERM, 2, Permit(9, 5, 1, 10, TERM)) == []
    assert not holder.held(10 + TERM)
    holder.give_back(20 + TERM)
    assert holder.heard(30 + TERM, 2, Permit(9, 5, 1, 20 + TERM, TERM)) == [(2, ReturnPermit(1))]
    assert not holder.held(30 + TERM)


def test_what_is_given_back_is_said_until_it_is_known() -> None:
    holder = Holder(RULES, 5)
    holder.heard(1, 3, Poll(9))
    holder.want(2, Kind.RESTART)
    holder.give_back(3)
    assert holder.tick(4) == [(3, ReturnPermit(1))]
    assert holder.tick(5) == []
    assert holder.tick(4 + SECOND) == [(3, ReturnPermit(1))]
    holder.heard(5 + SECOND, 3, ReturnConfirmed(4, 1))  # of another generation
    assert holder.tick(4 + 2 * SECOND) == [(3, ReturnPermit(1))]
    holder.heard(5 + 2 * SECOND, 3, ReturnConfirmed(5, 1))
    assert holder.tick(4 + 3 * SECOND) == []


def test_a_wish_that_is_said_no_more_holds_nobody_up() -> None:
    tier = Tier([0, 1, 0])
    tier.run(1)
    tier.want(0)
    tier.run(1)
    tier.want(1)  # waits for zone 0, then its process is another
    tier.run(1)
    tier.restart(1)
    tier.want(2)
    tier.run(5)
    assert tier.out() == [0, 2]


def test_the_shorter_term_of_two_files_holds() -> None:
    holder = Holder(Rules(term=50 * SECOND), 5)
    holder.want(10, Kind.RESTART)
    holder.heard(11, 0, Permit(9, 5, 1, 10, 20 * SECOND))
    assert holder.left(10) == 20 * SECOND


def test_waiting_is_told_with_a_place() -> None:
    holder = Holder(RULES, 5)
    holder.want(10, Kind.RESTART)
    holder.heard(11, 4, Wait(9, 5, 1, int(WaitReason.OUT), 3))
    assert (holder.why, holder.before, holder.disruption_controller) == (WaitReason.OUT, 3, 4)
    holder.heard(12, 4, Wait(9, 4, 1, int(WaitReason.TURN), 0))  # of another generation
    assert holder.before == 3
