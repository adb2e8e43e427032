"""No share has two holders after any number of steps: by a solver, for one home and three borrowers; and the
relation that is proved does what the shipped core does."""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from random import Random
from typing import Any

import lending
import pytest
import z3
from lending import NAMES, Figures, Lending, Slot, State
from solving import is_unsatisfiable

from driftstair.tier.shared.budget import TERMS
from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms

BORROWERS = 3
BOOLS = ("done", "back", "Odone")


class Solver:
    ite, both, no = z3.If, z3.And, z3.Not
    true, false = z3.BoolVal(True), z3.BoolVal(False)


def figures(waited: Any = None) -> Figures:
    drift = z3.Q(*Fraction(TERMS.drift).limit_denominator().as_integer_ratio())
    loan = z3.RealVal(TERMS.lent)
    waited = z3.RealVal(TERMS.waited()) if waited is None else waited
    return Figures(TERMS.shares, TERMS.floor, loan, waited, drift)


def unknown() -> State:
    """Any state at all."""
    slots = [
        Slot(*(
            z3.Bool(f"{name}{number}") if name in BOOLS else z3.Int(f"{name}{number}") if "shares" in name
            else z3.Real(f"{name}{number}") for name in NAMES
        )) for number in range(BORROWERS)
    ]  # fmt: skip
    return State(z3.Real("W"), tuple(slots))


Step = tuple[str, Any, State]


def steps(model: Lending, state: State) -> list[Step]:
    """All kinds of steps, their figures unknown."""
    shares, past, home = z3.Int("lent"), z3.Real("past"), z3.Real("home")
    others = [z3.Real(f"past{number}") for number in range(BORROWERS)]
    fast, slow = 1 + model.f.drift, 1 - model.f.drift
    agree = [past > 0, *(z3.And(slow * past <= one, one <= fast * past) for one in (home, *others))]
    _, after = model.tick(state, home, others)
    out: list[Step] = [("tick", z3.And(*agree), after), ("home_restarts", *model.home_restarts(state))]
    for number in range(BORROWERS):
        for name in (
            "ask", "ask_longer", "lengthen", "take", "take_old", "give_back", "give_back_old", "returned",
            "forget", "forget_old", "borrower_restarts",
        ):  # fmt: skip
            out.append((name, *getattr(model, name)(state, number)))
        out.append(("lend", *model.lend(state, number, shares)))
    return out


def broken_by(model: Lending) -> list[str]:
    """Steps that lead out of the invariant."""
    state = unknown()
    before = z3.And(*model.invariant(state))
    return [
        name for name, may, after in steps(model, state)
        if not is_unsatisfiable(before, may, z3.Not(z3.And(*model.invariant(after))))
    ]  # fmt: skip


def test_every_step_keeps_the_invariant_and_the_invariant_keeps_the_bound() -> None:
    model = Lending(figures(), Solver)
    assert broken_by(model) == []
    state = unknown()
    assert is_unsatisfiable(z3.And(*model.invariant(state)), z3.Not(model.bound(state)))


def test_the_invariant_holds_at_the_start_and_allows_loans() -> None:
    model = Lending(figures(), Solver)
    state = unknown()
    claims = z3.And(*model.invariant(state))
    nothing = [z3.Not(getattr(one, name)) if name in BOOLS else getattr(one, name) == 0
               for one in state.slots for name in NAMES]  # fmt: skip
    assert is_unsatisfiable(model.f.waited == state.W, *nothing, z3.Not(claims))
    assert not is_unsatisfiable(
        claims, *(one.B > 0 for one in state.slots), *(one.shares > 1 for one in state.slots)
    )


class Minted(Lending):
    def home_restarts(self, state: State) -> tuple[Any, State]:
        may, after = super().home_restarts(state)
        return may, State(z3.RealVal(0), after.slots)


class Forgetful(Lending):
    def take(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        return slot.P > 0, self._with(state, number, B=self.larger(slot.B, slot.P))


class Hasty(Lending):
    """Remembers what it gave back for as long as it would have had it."""

    def give_back(self, state: State, number: int) -> tuple[Any, State]:
        may, after = super().give_back(state, number)
        return may, self._with(after, number, D=state.slots[number].B)


class Stale(Lending):
    """A borrower that looks at its clock before it reads what has come."""

    def take(self, state: State, number: int) -> tuple[Any, State]:
        may, _ = super().take(state, number)
        return may, self._with(state, number, B=self.f.T)


@pytest.mark.parametrize(
    ("model", "step"),
    [
        (Lending(figures(z3.RealVal(TERMS.lent)), Solver), "lend"),
        (Minted(figures(), Solver), "home_restarts"), (Forgetful(figures(), Solver), "take"),
        (Hasty(figures(), Solver), "give_back"), (Stale(figures(), Solver), "take"),
    ],
    ids=["unwaited", "minted", "forgetful", "hasty", "stale"],
)  # fmt: skip
def test_a_planted_defect_leads_out_of_it(model: Lending, step: str) -> None:
    assert step in broken_by(model)


# The relation beside the shipped core.

SMALL = Terms(shares=8, floor=2, lent=1000, drift=0.05)
FIGURES = Figures(8, 2, 1000, SMALL.waited(), Fraction(1, 20))
Message = tuple[str, int, Any]


class Pair:
    """The core's objects and the relation's state, which take the same steps."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.model = Lending(FIGURES)
        none = Slot(**{name: False if name in BOOLS else 0 for name in NAMES})
        self.state = State(FIGURES.waited, (none,) * BORROWERS)
        self.now = [0] * (BORROWERS + 1)  # the home's clock last
        self.generations = [1] * BORROWERS
        self.home = Escrow(BORROWERS, 1, SMALL, 0)
        self.others = [Escrow(number, 1, SMALL, -9999) for number in range(BORROWERS)]
        self.asks: list[Ask | None] = [None] * BORROWERS
        self.longer: list[Ask | None] = [None] * BORROWERS
        self.grants: list[Grant | None] = [None] * BORROWERS  # the one that would last longest
        self.backs: list[GiveBack | None] = [None] * BORROWERS

    def does(self, step: tuple[Any, State], real: Callable[[], bool]) -> None:
        """The core does it if and only if the relation allows it."""
        may, after = step
        assert real() == bool(may), (may, self.state)
        if may:
            self.state = after

    def step(self) -> None:
        number, model, state = self.random.randrange(BORROWERS), self.model, self.state
        at, mine, slot = self.now[number], self.others[number], self.state.slots[number]
        home = self.now[-1]
        match self.random.choice("tttaallllttggrbh"):
            case "t":
                past = self.random.choice((1, 10, 30, 100, 600))
                passed = [self.random.randint(past * 95 // 100 + 1, past * 105 // 100) for _ in self.now]
                self.now = [one + by for one, by in zip(self.now, passed, strict=True)]
                self.state = model.tick(state, passed[-1], passed[:-1])[1]
                for other in range(BORROWERS):
                    slot = self.state.slots[other]
                    if slot.done and slot.D <= 0:
                        self.state = model.forget(self.state, other)[1]
            case "a":
                if slot.L <= 0 and slot.B <= 0 and slot.OB <= 0:  # one loan at a time, as in the relation
                    self.asks[number] = mine.ask(at, 3)
                    self.state = model.ask(state, number)[1]
                elif slot.B > 0:
                    loan = mine.loans()[0][0][2]
                    self.longer[number] = mine.ask(at, 3)._replace(renews=loan)
                    self.state = model.ask_longer(state, number)[1]
            case "l":
                if (ask := self.longer[number]) is not None and slot.L > 0:
                    grant = self.home.lend(home, ask, 0)
                    assert grant is not None
                    self.grants[number] = grant
                    self.state = model.lengthen(state, number)[1]
                elif (ask := self.asks[number]) is not None and slot.L <= 0:
                    if slot.N <= 0 and self.random.random() < 0.9:
                        return  # mostly one that can still be taken
                    found: list[Grant | None] = []

                    def lend() -> bool:
                        found.append(self.home.lend(home, ask, 3))
                        return found[0] is not None and found[0].shares == 3

                    if self.home.spare(home) >= 3 or self.home.spare(home) == 0:
                        self.does(model.lend(state, number, 3), lend)
                        if found[0] is not None:
                            self.grants[number], self.longer[number] = found[0], None
            case "g":
                if (grant := self.grants[number]) is not None and slot.B <= 0:
                    self.does(model.take(state, number), lambda: mine.take(at, grant))
            case "r":
                if slot.B > 0:
                    (self.backs[number],) = mine.give_back(at, 99)
                    self.state = model.give_back(state, number)[1]
                if (back := self.backs[number]) is not None and self.random.random() < 0.5:
                    self.home.returned(back)
                    if self.state.slots[number].back:
                        self.state = model.returned(self.state, number)[1]
            case "b":
                if self.random.random() < 0.3:
                    self.generations[number] += 1
                    self.others[number] = Escrow(number, self.generations[number], SMALL, at - 9999)
                    self.asks[number] = self.longer[number] = self.grants[number] = None
                    self.state = model.borrower_restarts(state, number)[1]
            case "h":
                if self.random.random() < 0.1 and all(one.B <= 0 for one in state.slots):
                    self.home = Escrow(BORROWERS, self.home.generation + 1, SMALL, home)
                    self.grants, self.backs = [None] * BORROWERS, [None] * BORROWERS
                    self.longer = [None] * BORROWERS
                    self.state = model.home_restarts(state)[1]

    def same(self) -> bool:
        held = self.home.held(self.now[-1]) + sum(
            one.held(now) - SMALL.shares for one, now in zip(self.others, self.now[:-1], strict=True)
        )
        return held == self.model.held(self.state) and all(self.model.invariant(self.state))


@pytest.mark.parametrize("seed", range(20))
def test_the_core_does_what_the_relation_says(seed: int) -> None:
    pair = Pair(seed)
    most = 0
    for number in range(2000):
        pair.step()
        assert pair.same(), (number, pair.state)
        most = max(most, sum(one.B > 0 for one in pair.state.slots))
    assert most >= 2


def test_the_relation_on_numbers_is_the_one_that_is_proved() -> None:
    assert lending.Lending is Lending and Lending(FIGURES).logic is lending.Plain
