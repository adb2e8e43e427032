"""Proof by a solver that there is at most one owner after any number of steps: three voters, two proposers,
clocks as real numbers. The invariant of the proof is also checked in the shipped core at every step of random
orders."""

from __future__ import annotations

from dataclasses import dataclass, replace
from fractions import Fraction
from itertools import combinations
from typing import Any

import pytest
import z3
from solving import is_unsatisfiable
from voters import World, proposer_module, short_pauses, walk_randomly

from driftstair.tier.ownership.leases import TERMS

VOTERS, PROPOSERS, MAJORITY = 3, 2, 2
DRIFT = z3.Q(*Fraction(TERMS.drift).limit_denominator().as_integer_ratio())
FASTEST, SLOWEST = 1 + DRIFT, 1 - DRIFT
LEASE, VOTER_LEASE = z3.RealVal(TERMS.lease_ns), z3.RealVal(TERMS.voter_lease_ns())
ZERO = z3.RealVal(0)


@dataclass(frozen=True)
class State:
    """A state of voters and proposers. Times are remaining times by the clock of the node that counts them.

    Of a voter: `bound_to` is the proposer that it last gave a lease to, which a restart may have made it
    forget; `bound_for` is how long it accepts no other proposer; `bound_token` is the token of that lease.

    Of a proposer: `lease` is the time left of its lease; `proposal` is the time left of the lease that it
    currently proposes; `accepted_by` says which voters have accepted that proposal; `token` is the proposal's
    token; tokens up to `released_token` have been released.
    """

    bound_for: tuple[Any, ...]
    bound_to: tuple[Any, ...]
    bound_token: tuple[Any, ...]
    lease: tuple[Any, ...]
    proposal: tuple[Any, ...]
    accepted_by: tuple[tuple[Any, ...], ...]
    token: tuple[Any, ...]
    released_token: tuple[Any, ...]


def with_item(items: tuple[Any, ...], index: int, value: Any) -> tuple[Any, ...]:
    return (*items[:index], value, *items[index + 1 :])


def any_state() -> State:
    def variables(sort: Any, name: str, count: int) -> tuple[Any, ...]:
        return tuple(sort(f"{name}{number}") for number in range(count))

    return State(
        variables(z3.Real, "bound_for", VOTERS), variables(z3.Int, "bound_to", VOTERS),
        variables(z3.Int, "bound_token", VOTERS),
        variables(z3.Real, "lease", PROPOSERS), variables(z3.Real, "proposal", PROPOSERS),
        tuple(variables(z3.Bool, f"accepted_by{proposer}", VOTERS) for proposer in range(PROPOSERS)),
        variables(z3.Int, "token", PROPOSERS), variables(z3.Int, "released_token", PROPOSERS),
    )  # fmt: skip


Step = tuple[str, Any, State]
NO_VOTER = (z3.BoolVal(False),) * VOTERS


def steps(state: State, voter_lease: Any = VOTER_LEASE, defect: str = "") -> list[Step]:
    """Each possible step: its name, its condition, and the state after it."""
    elapsed = z3.Real("elapsed")
    voter_elapsed = [z3.Real(f"voter_elapsed{number}") for number in range(VOTERS)]
    proposer_elapsed = [z3.Real(f"proposer_elapsed{number}") for number in range(PROPOSERS)]
    within_drift = [elapsed > 0, *(z3.And(SLOWEST * elapsed <= span, span <= FASTEST * elapsed)
                                   for span in (*voter_elapsed, *proposer_elapsed))]  # fmt: skip
    out: list[Step] = [("tick", z3.And(*within_drift), replace(
        state,
        bound_for=tuple(left - passed for left, passed in zip(state.bound_for, voter_elapsed, strict=True)),
        lease=tuple(left - passed for left, passed in zip(state.lease, proposer_elapsed, strict=True)),
        proposal=tuple(left - passed for left, passed in zip(state.proposal, proposer_elapsed, strict=True)),
    ))]  # fmt: skip
    for voter in range(VOTERS):
        silence = ZERO if defect == "not silent" else voter_lease
        out.append((
            "restart", z3.BoolVal(True), replace(state, bound_for=with_item(state.bound_for, voter, silence)),
        ))  # fmt: skip
    for proposer in range(PROPOSERS):
        new_token = z3.Int(f"new_token{proposer}")
        proposed = replace(
            state, proposal=with_item(state.proposal, proposer, LEASE),
            token=with_item(state.token, proposer, new_token),
            accepted_by=state.accepted_by if defect == "old answers"
            else with_item(state.accepted_by, proposer, NO_VOTER),
        )  # fmt: skip
        out.append((
            "propose",
            z3.And(new_token >= state.token[proposer], new_token > state.released_token[proposer]), proposed,
        ))  # fmt: skip
        quorums = combinations(range(VOTERS), 1 if defect == "no majority" else MAJORITY)
        has_quorum = z3.Or(
            *(z3.And(*(state.accepted_by[proposer][member] for member in quorum)) for quorum in quorums)
        )
        new_lease = LEASE if defect == "from the answer" else state.proposal[proposer]
        longer_lease = z3.If(new_lease > state.lease[proposer], new_lease, state.lease[proposer])
        out.append((
            "own", has_quorum, replace(state, lease=with_item(state.lease, proposer, longer_lease)),
        ))  # fmt: skip
        ended = replace(
            state, lease=with_item(state.lease, proposer, ZERO),
            proposal=with_item(state.proposal, proposer, ZERO),
            accepted_by=with_item(state.accepted_by, proposer, NO_VOTER),
        )  # fmt: skip
        out.append(("proposer restarts", z3.BoolVal(True), ended))
        released_token = with_item(state.released_token, proposer, state.token[proposer])
        out.append(("release", state.lease[proposer] > 0, replace(ended, released_token=released_token)))
        for voter in range(VOTERS):
            is_free = z3.Or(state.bound_for[voter] <= 0, state.bound_to[voter] == proposer)
            may_accept = z3.BoolVal(True) if defect == "taken from another" else is_free
            bound = replace(
                state, bound_for=with_item(state.bound_for, voter, voter_lease),
                bound_to=with_item(state.bound_to, voter, z3.IntVal(proposer)),
                bound_token=with_item(state.bound_token, voter, state.token[proposer]),
            )  # fmt: skip
            accepted_by = with_item(state.accepted_by[proposer], voter, z3.BoolVal(True))
            # The proposer may still wait for the answers or have abandoned the proposal; the voter cannot
            # tell these cases apart.
            out.append(
                (
                    "accept",
                    z3.And(may_accept, state.token[proposer] > state.released_token[proposer]),
                    replace(bound, accepted_by=with_item(state.accepted_by, proposer, accepted_by)),
                )
            )
            out.append((
                "accept late",
                z3.And(may_accept, state.token[proposer] > state.released_token[proposer]), bound,
            ))  # fmt: skip
            is_released = z3.And(
                state.bound_to[voter] == proposer,
                state.bound_token[voter] <= state.released_token[proposer],
            )
            if defect == "any release":
                is_released = state.bound_to[voter] == proposer
            out.append((
                "released", is_released,
                replace(state, bound_for=with_item(state.bound_for, voter, ZERO)),
            ))  # fmt: skip
    return out


def is_bound(state: State, voter: int, proposer: int, time_left: Any) -> Any:
    """The voter stays bound to the proposer for longer than the proposer counts `time_left`."""
    return z3.And(
        state.bound_to[voter] == proposer, state.bound_for[voter] * SLOWEST >= time_left * FASTEST,
        state.bound_token[voter] > state.released_token[proposer],
    )  # fmt: skip


def invariant(state: State) -> Any:
    claims = [left <= VOTER_LEASE for left in state.bound_for]
    for proposer in range(PROPOSERS):
        claims += [state.lease[proposer] <= LEASE, state.proposal[proposer] <= LEASE]
        lease = state.lease[proposer]
        bound_voters = z3.Sum(
            *(z3.If(is_bound(state, voter, proposer, lease), 1, 0) for voter in range(VOTERS))
        )
        claims.append(z3.Implies(lease > 0, bound_voters >= MAJORITY))
        for voter in range(VOTERS):
            proposal = state.proposal[proposer]
            counts = z3.And(state.accepted_by[proposer][voter], proposal > 0)
            claims.append(z3.Implies(counts, is_bound(state, voter, proposer, proposal)))
    return z3.And(*claims)


def steps_that_break_invariant(voter_lease: Any = VOTER_LEASE, defect: str = "") -> set[str]:
    state = any_state()
    return {
        name for name, condition, after in steps(state, voter_lease, defect)
        if not is_unsatisfiable(invariant(state), condition, z3.Not(invariant(after)))
    }  # fmt: skip


def test_every_step_keeps_the_invariant_and_it_allows_one_owner() -> None:
    assert steps_that_break_invariant() == set()
    state = any_state()
    assert is_unsatisfiable(invariant(state), state.lease[0] > 0, state.lease[1] > 0)
    assert not is_unsatisfiable(invariant(state), state.lease[0] > 0)


def test_the_invariant_holds_at_the_start() -> None:
    state = any_state()
    silent_voters = [left == VOTER_LEASE for left in state.bound_for]
    no_lease = [left == 0 for left in (*state.lease, *state.proposal)]
    none_accepted = [z3.Not(accepted) for voters in state.accepted_by for accepted in voters]
    assert is_unsatisfiable(*silent_voters, *no_lease, *none_accepted, z3.Not(invariant(state)))


@pytest.mark.parametrize(
    ("defect", "step"),
    [("not silent", "restart"), ("old answers", "propose"), ("no majority", "own"),
     ("from the answer", "own"), ("taken from another", "accept"), ("any release", "released")],
)  # fmt: skip
def test_a_planted_defect_breaks_the_invariant(defect: str, step: str) -> None:
    assert step in steps_that_break_invariant(defect=defect)


def test_voters_that_do_not_allow_for_drift_break_the_invariant() -> None:
    assert "accept" in steps_that_break_invariant(voter_lease=LEASE)


# In the shipped core.


def has_bound_majority(world: World) -> bool:
    """Whether a majority of voters is bound to each owner for longer than its lease lasts, as far as the
    voters show it: a silent voter may have forgotten to whom it is bound."""
    fastest, slowest = 1 + world.terms.drift, 1 - world.terms.drift
    for number, proposer in world.proposers.items():
        lease_left = proposer._until_ns - world.clocks[number]
        if not proposer.has_lease(world.clocks[number]):
            continue
        bound_voters = 0
        for acceptor, now in zip(world.acceptors, world.clocks, strict=True):
            lease = acceptor.running_leases.get(0)
            bound_for = max(
                acceptor._silent_until_ns - now,
                lease.until_ns - now if lease is not None and lease.owner == number else 0,
            )
            bound_voters += bound_for * slowest >= lease_left * fastest - 1e-9
        if bound_voters < MAJORITY:
            return False
    return True


def test_the_invariant_holds_in_the_core_at_every_step(monkeypatch: pytest.MonkeyPatch) -> None:
    for name, value in short_pauses().items():
        monkeypatch.setattr(proposer_module, name, value)
    checked_owners = 0

    def check(self: World) -> str:
        nonlocal checked_owners
        checked_owners += bool(self.owners())
        assert has_bound_majority(self)
        return ""

    monkeypatch.setattr(World, "check", check)
    for seed in range(150):
        walk_randomly(seed, 1000)
    assert checked_owners > 10_000
