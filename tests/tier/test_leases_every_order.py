"""At most one owner at a time, and tokens that only rise: every order of steps of a few voters up to a bound,
and random orders with more faults."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import pytest
from voters import SHORT_TERMS, explore, proposer_module, short_pauses, walk_randomly, world_with_owner

from driftstair.tier.ownership.acceptor import Acceptor
from driftstair.tier.ownership.messages import Accepted, Prepare, Refused, Terms, first_token
from driftstair.tier.ownership.proposer import Phase, Proposer

WORLDS = 80_000
SEEDS, STEPS = 400, 1500


@pytest.fixture(autouse=True)
def set_short_pauses(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    for name, value in short_pauses().items():
        monkeypatch.setattr(proposer_module, name, value)
    yield


def test_no_order_of_events_gives_a_task_two_owners() -> None:
    worlds, grants, violation = explore(WORLDS)
    assert violation == ""
    assert worlds >= WORLDS and grants >= 2


def test_random_orders_never_give_two_owners_and_leases_change_hands() -> None:
    grants = 0
    for seed in range(SEEDS):
        world = walk_randomly(seed, STEPS)
        assert world.violation == "", seed
        grants += world.grants
    assert grants > 5 * SEEDS


# Defects in each part of the argument.


def lease_without_drift(self: Terms) -> int:
    return self.lease_ns


def never_silent(self: Acceptor, now: int) -> bool:
    return False


def accept_rival_during_lease(
    self: Acceptor, now: int, sender: int, generation: int, task: int, token: int
) -> Refused | None:
    highest_token = max(self.token_floor, self.highest_tokens.get(task, 0))
    return Refused(task, token, highest_token) if token < highest_token else None


def start_without_token_floor(self: Acceptor, terms: Terms, generation: int, started_ns: int) -> None:
    original_init(self, terms, generation, started_ns)
    self.token_floor = 0


def accept_any_token(
    self: Acceptor, now: int, sender: int, generation: int, task: int, token: int
) -> Refused | None:
    lease = self.running_lease(now, task)
    if lease is not None and (lease.owner, lease.generation) != (sender, generation):
        return Refused(task, token, 0, lease.owner, lease.until_ns - now)
    return None


def count_lease_from_answer(self: Proposer, now: int, voter: int, message: Accepted) -> bool:
    is_new_owner = original_on_accepted(self, now, voter, message)
    if self._phase is Phase.IDLE and self._token:
        self._until_ns = max(self._until_ns, now + self._terms.lease_ns)
    return is_new_owner


def count_answers_to_earlier_proposals(self: Proposer, now: int, voter: int, message: Accepted) -> bool:
    return original_on_accepted(self, now, voter, message._replace(seq=self._seq))


def one_voter_is_majority(self: Proposer, voters: set[int]) -> bool:
    return len(voters) >= 1


def extend_expired_lease(self: Proposer, now: int) -> None:
    if self._token and now >= self._until_ns - self._terms.margin_ns:
        self._token = 0


original_on_accepted, original_init = Proposer.on_accepted, Acceptor.__init__


@pytest.mark.parametrize(
    ("target", "name", "defect"),
    [
        (Terms, "voter_lease_ns", lease_without_drift), (Acceptor, "is_silent", never_silent),
        (Acceptor, "_refusal", accept_rival_during_lease), (Acceptor, "_refusal", accept_any_token),
        (Proposer, "on_accepted", count_lease_from_answer), (Proposer, "_is_majority", one_voter_is_majority),
        (Proposer, "_expire", extend_expired_lease),
    ],
    ids=["lease without drift", "never silent", "rival accepted during a lease", "any token accepted",
         "lease counted from the answer", "one voter is a majority", "expired lease extended"],
)  # fmt: skip
def test_a_planted_defect_is_found(
    target: Any, name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(target, name, defect)
    assert any(walk_randomly(seed, STEPS).violation for seed in range(1000))


# Two cases that random orders rarely reach.


def test_an_answer_to_an_earlier_proposal_does_not_extend_a_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    def lease_end(has_defect: bool) -> int:
        if has_defect:
            monkeypatch.setattr(Proposer, "on_accepted", count_answers_to_earlier_proposals)
        world = world_with_owner()
        proposer, now = world.proposers[0], world.clocks[0]
        earlier_answer = Accepted(0, proposer._attempt_token, proposer._seq)
        proposer.tick(now + 2)  # proposes a renewal, which only the voter on the same node receives
        proposer.on_accepted(now + 2, 0, Accepted(0, proposer._attempt_token, proposer._seq))
        proposer.on_accepted(now + 2, 2, earlier_answer)
        return proposer._until_ns

    assert lease_end(False) < lease_end(True)


def test_a_restarted_voter_does_not_let_an_old_process_have_a_low_token(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Node 1 started late and owned the task, and then the voters that knew its token restarted. Without a
    floor, a process that started earlier would get a lower token."""

    def reported_token(has_defect: bool) -> int:
        if has_defect:
            monkeypatch.setattr(Acceptor, "__init__", start_without_token_floor)
        voter = Acceptor(SHORT_TERMS, 9, -100)
        answer = voter.on_prepare(0, 0, 1, Prepare(0, first_token(1, 0)))
        return answer.highest_token if isinstance(answer, Refused) else 0

    assert reported_token(False) > first_token(8, 1) and reported_token(True) == 0
