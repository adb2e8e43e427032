"""Proof with a solver that no share has two holders after any number of steps, for one lender and three
borrowers, and a comparison of the proved relation with the escrow."""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from random import Random
from typing import Any

import lending
import pytest
import z3
from lending import SLOT_FIELDS, Lending, Parameters, Slot, State
from solving import is_unsatisfiable

from driftstair.tier.shared.budget import TERMS
from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms

BORROWERS = 3
BOOLS = ("given_back", "return_sent", "old_given_back")


class Solver:
    """Logic operations of the solver."""

    ite, all_of, negate = z3.If, z3.And, z3.Not
    true, false = z3.BoolVal(True), z3.BoolVal(False)


def parameters(lender_wait: Any = None) -> Parameters:
    drift = z3.Q(*Fraction(TERMS.drift).limit_denominator().as_integer_ratio())
    loan = z3.RealVal(TERMS.lent)
    lender_wait = z3.RealVal(TERMS.lender_wait_ns()) if lender_wait is None else lender_wait
    return Parameters(TERMS.shares, TERMS.floor, loan, lender_wait, drift)


def unknown_state() -> State:
    """Returns a state of which nothing is known."""
    slots = [
        Slot(*(
            z3.Bool(f"{name}{number}") if name in BOOLS else z3.Int(f"{name}{number}") if "shares" in name
            else z3.Real(f"{name}{number}") for name in SLOT_FIELDS
        )) for number in range(BORROWERS)
    ]  # fmt: skip
    return State(z3.Real("earlier_loans_time"), tuple(slots))


Step = tuple[str, Any, State]


def steps(model: Lending, state: State) -> list[Step]:
    """Returns all kinds of steps with unknown parameters."""
    shares, true_elapsed, lender_elapsed = z3.Int("lent"), z3.Real("true_elapsed"), z3.Real("lender_elapsed")
    elapsed_times = [z3.Real(f"elapsed{number}") for number in range(BORROWERS)]
    fast, slow = 1 + model.parameters.drift, 1 - model.parameters.drift
    clock_conditions = [
        true_elapsed > 0,
        *(
            z3.And(slow * true_elapsed <= elapsed, elapsed <= fast * true_elapsed)
            for elapsed in (lender_elapsed, *elapsed_times)
        ),
    ]
    _, after = model.tick(state, lender_elapsed, elapsed_times)
    all_steps: list[Step] = [
        ("tick", z3.And(*clock_conditions), after),
        ("lender_restarts", *model.lender_restarts(state)),
    ]
    for number in range(BORROWERS):
        for name in (
            "ask", "ask_renewal", "extend", "accept", "accept_old", "give_back", "give_back_old",
            "on_give_back", "forget_return", "forget_old_return", "borrower_restarts",
        ):  # fmt: skip
            all_steps.append((name, *getattr(model, name)(state, number)))
        all_steps.append(("lend", *model.lend(state, number, shares)))
    return all_steps


def steps_breaking_invariant(model: Lending) -> list[str]:
    """Returns the steps that break the invariant."""
    state = unknown_state()
    before = z3.And(*model.invariant(state))
    return [
        name for name, allowed, after in steps(model, state)
        if not is_unsatisfiable(before, allowed, z3.Not(z3.And(*model.invariant(after))))
    ]  # fmt: skip


def test_every_step_preserves_the_invariant_and_the_invariant_implies_the_bound() -> None:
    model = Lending(parameters(), Solver)
    assert steps_breaking_invariant(model) == []
    state = unknown_state()
    assert is_unsatisfiable(z3.And(*model.invariant(state)), z3.Not(model.bound(state)))


def test_the_invariant_holds_in_the_initial_state_and_allows_loans() -> None:
    model = Lending(parameters(), Solver)
    state = unknown_state()
    claims = z3.And(*model.invariant(state))
    no_loans = [z3.Not(getattr(slot, name)) if name in BOOLS else getattr(slot, name) == 0
                for slot in state.slots for name in SLOT_FIELDS]  # fmt: skip
    assert is_unsatisfiable(
        model.parameters.lender_wait == state.earlier_loans_time, *no_loans, z3.Not(claims)
    )
    assert not is_unsatisfiable(
        claims, *(slot.borrower_time > 0 for slot in state.slots), *(slot.shares > 1 for slot in state.slots)
    )


class RestartWithAllShares(Lending):
    """A lender that holds all its shares at once after a restart."""

    def lender_restarts(self, state: State) -> tuple[Any, State]:
        allowed, after = super().lender_restarts(state)
        return allowed, State(z3.RealVal(0), after.slots)


class AcceptAfterReturn(Lending):
    """A borrower that accepts a grant of a loan that it has returned."""

    def accept(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        return slot.grant_time > 0, self._with_slot(
            state, number, borrower_time=self.larger(slot.borrower_time, slot.grant_time)
        )


class ShortReturnMemory(Lending):
    """A borrower that remembers a return only until the loan would have expired."""

    def give_back(self, state: State, number: int) -> tuple[Any, State]:
        allowed, after = super().give_back(state, number)
        return allowed, self._with_slot(after, number, return_memory=state.slots[number].borrower_time)


class StaleClock(Lending):
    """A borrower that reads its clock before it receives the grant."""

    def accept(self, state: State, number: int) -> tuple[Any, State]:
        allowed, _ = super().accept(state, number)
        return allowed, self._with_slot(state, number, borrower_time=self.parameters.loan_time)


@pytest.mark.parametrize(
    ("model", "step"),
    [
        (Lending(parameters(z3.RealVal(TERMS.lent)), Solver), "lend"),
        (RestartWithAllShares(parameters(), Solver), "lender_restarts"),
        (AcceptAfterReturn(parameters(), Solver), "accept"),
        (ShortReturnMemory(parameters(), Solver), "give_back"),
        (StaleClock(parameters(), Solver), "accept"),
    ],
    ids=["short wait", "restart with all shares", "accept after return", "short memory", "stale clock"],
)
def test_a_planted_defect_breaks_the_invariant(model: Lending, step: str) -> None:
    assert step in steps_breaking_invariant(model)


# Comparison of the relation with the escrow.

SMALL_TERMS = Terms(shares=8, floor=2, lent=1000, drift=0.05)
PARAMETERS = Parameters(8, 2, 1000, SMALL_TERMS.lender_wait_ns(), Fraction(1, 20))
Message = tuple[str, int, Any]


class Comparison:
    """Escrows of all nodes and the state of the relation, which take the same steps."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.model = Lending(PARAMETERS)
        empty_slot = Slot(**{name: False if name in BOOLS else 0 for name in SLOT_FIELDS})
        self.state = State(PARAMETERS.lender_wait, (empty_slot,) * BORROWERS)
        self.now = [0] * (BORROWERS + 1)  # the lender's clock comes last
        self.generations = [1] * BORROWERS
        self.lender = Escrow(BORROWERS, 1, SMALL_TERMS, 0)
        self.borrowers = [Escrow(number, 1, SMALL_TERMS, -9999) for number in range(BORROWERS)]
        self.asks: list[Ask | None] = [None] * BORROWERS
        self.renewal_asks: list[Ask | None] = [None] * BORROWERS
        self.grants: list[Grant | None] = [None] * BORROWERS  # the grants that would last longest
        self.give_backs: list[GiveBack | None] = [None] * BORROWERS

    def check_step(self, step: tuple[Any, State], do_escrow_step: Callable[[], bool]) -> None:
        """Does a step and checks that the escrow does it if and only if the relation allows it."""
        allowed, after = step
        assert do_escrow_step() == bool(allowed), (allowed, self.state)
        if allowed:
            self.state = after

    def step(self) -> None:
        """Does one random step."""
        number, model, state = self.random.randrange(BORROWERS), self.model, self.state
        now, borrower, slot = self.now[number], self.borrowers[number], self.state.slots[number]
        lender_now = self.now[-1]
        match self.random.choice("tttaallllttggrbh"):
            case "t":
                true_elapsed = self.random.choice((1, 10, 30, 100, 600))
                elapsed_times = [
                    self.random.randint(true_elapsed * 95 // 100 + 1, true_elapsed * 105 // 100)
                    for _ in self.now
                ]
                self.now = [clock + elapsed for clock, elapsed in zip(self.now, elapsed_times, strict=True)]
                self.state = model.tick(state, elapsed_times[-1], elapsed_times[:-1])[1]
                for other in range(BORROWERS):
                    slot = self.state.slots[other]
                    if slot.given_back and slot.return_memory <= 0:
                        self.state = model.forget_return(self.state, other)[1]
            case "a":
                # One loan at a time, as in the relation.
                if slot.lender_time <= 0 and slot.borrower_time <= 0 and slot.old_borrower_time <= 0:
                    self.asks[number] = borrower.ask(now, 3)
                    self.state = model.ask(state, number)[1]
                elif slot.borrower_time > 0:
                    loan = borrower.borrowed_loans()[0][0][2]
                    self.renewal_asks[number] = borrower.ask(now, 3)._replace(renewed_loan=loan)
                    self.state = model.ask_renewal(state, number)[1]
            case "l":
                if (ask := self.renewal_asks[number]) is not None and slot.lender_time > 0:
                    grant = self.lender.lend(lender_now, ask, 0)
                    assert grant is not None
                    self.grants[number] = grant
                    self.state = model.extend(state, number)[1]
                elif (ask := self.asks[number]) is not None and slot.lender_time <= 0:
                    if slot.ask_time <= 0 and self.random.random() < 0.9:
                        return  # mostly requests whose grant can still be accepted
                    grants: list[Grant | None] = []

                    def lend() -> bool:
                        grants.append(self.lender.lend(lender_now, ask, 3))
                        return grants[0] is not None and grants[0].shares == 3

                    if self.lender.spare_shares(lender_now) >= 3 or self.lender.spare_shares(lender_now) == 0:
                        self.check_step(model.lend(state, number, 3), lend)
                        if grants[0] is not None:
                            self.grants[number], self.renewal_asks[number] = grants[0], None
            case "g":
                if (grant := self.grants[number]) is not None and slot.borrower_time <= 0:
                    self.check_step(model.accept(state, number), lambda: borrower.accept(now, grant))
            case "r":
                if slot.borrower_time > 0:
                    (self.give_backs[number],) = borrower.give_back(now, 99)
                    self.state = model.give_back(state, number)[1]
                if (give_back := self.give_backs[number]) is not None and self.random.random() < 0.5:
                    self.lender.on_give_back(give_back)
                    if self.state.slots[number].return_sent:
                        self.state = model.on_give_back(self.state, number)[1]
            case "b":
                if self.random.random() < 0.3:
                    self.generations[number] += 1
                    self.borrowers[number] = Escrow(number, self.generations[number], SMALL_TERMS, now - 9999)
                    self.asks[number] = self.renewal_asks[number] = self.grants[number] = None
                    self.state = model.borrower_restarts(state, number)[1]
            case "h":
                if self.random.random() < 0.1 and all(
                    other_slot.borrower_time <= 0 for other_slot in state.slots
                ):
                    self.lender = Escrow(BORROWERS, self.lender.generation + 1, SMALL_TERMS, lender_now)
                    self.grants, self.give_backs = [None] * BORROWERS, [None] * BORROWERS
                    self.renewal_asks = [None] * BORROWERS
                    self.state = model.lender_restarts(state)[1]

    def agrees(self) -> bool:
        """Returns whether the escrow and the relation agree and the invariant holds."""
        held = self.lender.held_shares(self.now[-1]) + sum(
            borrower.held_shares(now) - SMALL_TERMS.shares
            for borrower, now in zip(self.borrowers, self.now[:-1], strict=True)
        )
        return held == self.model.held_shares(self.state) and all(self.model.invariant(self.state))


@pytest.mark.parametrize("seed", range(20))
def test_the_escrow_behaves_as_the_relation(seed: int) -> None:
    comparison = Comparison(seed)
    most = 0
    for number in range(2000):
        comparison.step()
        assert comparison.agrees(), (number, comparison.state)
        most = max(most, sum(slot.borrower_time > 0 for slot in comparison.state.slots))
    assert most >= 2


def test_the_relation_on_numbers_is_the_proved_one() -> None:
    assert lending.Lending is Lending and Lending(PARAMETERS).logic is lending.PlainLogic
