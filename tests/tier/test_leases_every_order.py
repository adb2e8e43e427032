"""One owner at a time, and tokens that only rise: every order of a few voters, random ones of a worse."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from voters import SHORT, explore, owned, proposing, quick, walk

from driftstair.tier.ownership.acceptor import Acceptor
from driftstair.tier.ownership.messages import Accepted, Prepare, Refused, Terms, first_token
from driftstair.tier.ownership.proposer import Phase, Proposer

WORLDS = 80_000
SEEDS, STEPS = 400, 1500


@pytest.fixture(autouse=True)
def small(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    for name, value in quick().items():
        monkeypatch.setattr(proposing, name, value)
    yield


def test_no_order_of_events_gives_a_task_two_owners() -> None:
    worlds, grants, broken = explore(WORLDS)
    assert broken == ""
    assert worlds >= WORLDS and grants >= 2


def test_no_random_order_does_and_leases_change_hands() -> None:
    grants = 0
    for seed in range(SEEDS):
        world = walk(seed, STEPS)
        assert world.broken == "", seed
        grants += world.grants
    assert grants > 5 * SEEDS


# Defects of each part of the argument.


def unwaited(self: Terms) -> int:
    return self.lease


def not_silent(self: Acceptor, now: int) -> bool:
    return False


def taken_from_another(
    self: Acceptor, now: int, sender: int, generation: int, task: int, token: int
) -> Refused | None:
    known = max(self.floor, self.known.get(task, 0))
    return Refused(task, token, known) if token < known else None


def no_floor(self: Acceptor, terms: Terms, generation: int, started: int) -> None:
    begun(self, terms, generation, started)
    self.floor = 0


def any_token(
    self: Acceptor, now: int, sender: int, generation: int, task: int, token: int
) -> Refused | None:
    lease = self.lease(now, task)
    if lease is not None and (lease.owner, lease.generation) != (sender, generation):
        return Refused(task, token, 0, lease.owner, lease.until - now)
    return None


def from_its_answer(self: Proposer, now: int, member: int, answer: Accepted) -> bool:
    had = accepted(self, now, member, answer)
    if self._phase is Phase.IDLE and self._token:
        self._until = max(self._until, now + self._terms.lease)
    return had


def any_answer(self: Proposer, now: int, member: int, answer: Accepted) -> bool:
    return accepted(self, now, member, answer._replace(seq=self._seq))


def one_is_enough(self: Proposer, members: set[int]) -> bool:
    return len(members) >= 1


def lapsed_and_longer(self: Proposer, now: int) -> None:
    if self._token and now >= self._until - self._terms.margin:
        self._token = 0


accepted, begun = Proposer.accepted, Acceptor.__init__


@pytest.mark.parametrize(
    ("where", "name", "defect"),
    [
        (Terms, "waited", unwaited), (Acceptor, "silent", not_silent),
        (Acceptor, "_refusal", taken_from_another), (Acceptor, "_refusal", any_token),
        (Proposer, "accepted", from_its_answer), (Proposer, "_enough", one_is_enough),
        (Proposer, "_lapse", lapsed_and_longer),
    ],
    ids=["unwaited", "not silent", "taken from another", "any token", "from its answer", "no majority",
         "lapsed and longer"],
)  # fmt: skip
def test_a_planted_defect_is_found(
    where: Any, name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, defect)
    assert any(walk(seed, STEPS).broken for seed in range(1000))


# Two that chance hardly meets.


def test_an_answer_to_an_earlier_proposal_makes_nothing_longer(monkeypatch: pytest.MonkeyPatch) -> None:
    def until(defect: bool) -> int:
        if defect:
            monkeypatch.setattr(Proposer, "accepted", any_answer)
        world = owned()
        proposer, now = world.proposers[0], world.clocks[0]
        first = Accepted(0, proposer._asked, proposer._seq)
        proposer.tick(now + 2)  # makes it longer: only its own member hears of it
        proposer.accepted(now + 2, 0, Accepted(0, proposer._asked, proposer._seq))
        proposer.accepted(now + 2, 2, first)
        return proposer._until

    assert until(False) < until(True)


def test_a_member_that_starts_gives_an_old_node_no_low_token(monkeypatch: pytest.MonkeyPatch) -> None:
    """Node 1 started lately and owned the task; then those that knew its token start anew."""

    def had(defect: bool) -> int:
        if defect:
            monkeypatch.setattr(Acceptor, "__init__", no_floor)
        member = Acceptor(SHORT, 9, -100)
        answer = member.prepare(0, 0, 1, Prepare(0, first_token(1, 0)))
        return answer.known if isinstance(answer, Refused) else 0

    assert had(False) > first_token(8, 1) and had(True) == 0
