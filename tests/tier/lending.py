"""Lending between one home and some borrowers as a relation of states: for a solver, and beside the core.

All is a remaining time of its keeper's clock, 0 or less: over. One loan a borrower; homes don't touch each
other, and several loans of one borrower are as several borrowers whose clocks agree. A loan's slot is used
again for the next number: what is under way of the former can't be taken any more (`done`, `D`).
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import Any

LOAN = ("L", "B", "P", "Q", "N", "D", "done", "back", "shares")
OLD = ("OB", "OP", "OD", "Odone", "Oshares")


@dataclass(frozen=True)
class Slot:
    L: Any  # the lender's time
    B: Any  # the borrower's time
    P: Any  # of the grant under way that would last longest
    Q: Any  # of the ask to make it longer that would last longest
    N: Any  # of the ask for a new loan
    D: Any  # how long the borrower remembers that it gave it back
    done: Any
    back: Any  # that it was given back is under way, or has come
    shares: Any
    OB: Any  # the same of a loan that an earlier generation of the lender gave
    OP: Any
    OD: Any
    Odone: Any
    Oshares: Any


@dataclass(frozen=True)
class State:
    W: Any  # until the home's process knows that nothing of an earlier generation is out
    slots: tuple[Slot, ...]


@dataclass(frozen=True)
class Figures:
    S: int
    floor: int
    T: Any
    waited: Any
    drift: Any


NAMES = tuple(one.name for one in fields(Slot))


class Plain:
    """Arithmetic on numbers; the solver has its own."""

    @staticmethod
    def ite(condition: Any, one: Any, other: Any) -> Any:
        return one if condition else other

    @staticmethod
    def both(*conditions: Any) -> Any:
        return all(conditions)

    @staticmethod
    def no(condition: Any) -> Any:
        return not condition

    true: Any = True
    false: Any = False


class Lending:
    """Each step gives what has to be so before, and the state after."""

    def __init__(self, figures: Figures, logic: Any = Plain) -> None:
        self.f = figures
        self.logic = logic

    def larger(self, one: Any, other: Any) -> Any:
        return self.logic.ite(one >= other, one, other)

    def out(self, state: State) -> Any:
        return sum(self.logic.ite(one.L > 0, one.shares, 0) for one in state.slots)

    def held(self, state: State) -> Any:
        """By all."""
        ite = self.logic.ite
        total = ite(state.W > 0, self.f.floor, self.f.S) - self.out(state)
        for one in state.slots:
            total += ite(one.B > 0, one.shares, 0) + ite(one.OB > 0, one.Oshares, 0)
        return total

    def _with(self, state: State, number: int, **changes: Any) -> State:
        slots = list(state.slots)
        slots[number] = replace(slots[number], **changes)
        return replace(state, slots=tuple(slots))

    def tick(self, state: State, home: Any, others: list[Any]) -> tuple[Any, State]:
        """What passes on each clock; that they agree up to the drift is for who calls."""
        slots = tuple(
            replace(one, L=one.L - home, **{name: getattr(one, name) - by for name in
                    ("B", "P", "Q", "N", "D", "OB", "OP", "OD")})
            for one, by in zip(state.slots, others, strict=True)
        )  # fmt: skip
        return self.logic.true, State(state.W - home, slots)

    def ask(self, state: State, number: int) -> tuple[Any, State]:
        return self.logic.true, self._with(state, number, N=self.f.T)

    def ask_longer(self, state: State, number: int) -> tuple[Any, State]:
        return state.slots[number].B > 0, self._with(state, number, Q=self.f.T)

    def lend(self, state: State, number: int, shares: Any) -> tuple[Any, State]:
        slot = state.slots[number]
        may = self.logic.both(
            state.W <= 0, slot.L <= 0, shares > 0, shares <= self.f.S - self.f.floor - self.out(state)
        )
        return may, self._with(
            state, number, L=self.f.waited, B=self.f.T * 0, P=slot.N, Q=self.f.T * 0, D=self.f.T * 0,
            done=self.logic.false, back=self.logic.false, shares=shares,
        )  # fmt: skip

    def lengthen(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        return slot.L > 0, self._with(state, number, L=self.f.waited, P=self.larger(slot.P, slot.Q))

    def take(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        may = self.logic.both(self.logic.no(slot.done), slot.P > 0)
        return may, self._with(state, number, B=self.larger(slot.B, slot.P))

    def take_old(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        may = self.logic.both(self.logic.no(slot.Odone), slot.OP > 0)
        return may, self._with(state, number, OB=self.larger(slot.OB, slot.OP))

    def give_back(self, state: State, number: int) -> tuple[Any, State]:
        return state.slots[number].B > 0, self._with(
            state, number, B=self.f.T * 0, done=self.logic.true, D=self.f.T, back=self.logic.true
        )

    def give_back_old(self, state: State, number: int) -> tuple[Any, State]:
        return state.slots[number].OB > 0, self._with(
            state, number, OB=self.f.T * 0, Odone=self.logic.true, OD=self.f.T
        )

    def returned(self, state: State, number: int) -> tuple[Any, State]:
        return state.slots[number].back, self._with(state, number, L=self.f.T * 0)

    def forget(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        return self.logic.both(slot.D <= 0), self._with(state, number, done=self.logic.false)

    def forget_old(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        return self.logic.both(slot.OD <= 0), self._with(state, number, Odone=self.logic.false)

    def borrower_restarts(self, state: State, number: int) -> tuple[Any, State]:
        """Grants name the generation that asked."""
        none = dict.fromkeys(("B", "P", "Q", "N", "D", "OB", "OP", "OD"), self.f.T * 0)
        return self.logic.true, self._with(
            state, number, **none, done=self.logic.false, Odone=self.logic.false
        )

    def home_restarts(self, state: State) -> tuple[Any, State]:
        ite, none = self.logic.ite, self.f.T * 0
        slots = []
        for one in state.slots:
            was = one.L > 0
            slots.append(replace(
                one, OB=ite(was, one.B, one.OB), OP=ite(was, one.P, one.OP), OD=ite(was, one.D, one.OD),
                Odone=ite(was, one.done, one.Odone), Oshares=ite(was, one.shares, one.Oshares),
                L=none, B=none, P=none, Q=none, D=none, done=self.logic.false, back=self.logic.false,
            ))  # fmt: skip
        return self.logic.true, State(self.f.waited, tuple(slots))

    # What holds in every state that can be reached.

    def invariant(self, state: State) -> list[Any]:
        f, logic = self.f, self.logic
        fast, slow = 1 + f.drift, 1 - f.drift

        def so(condition: Any, then: Any) -> Any:
            return logic.ite(condition, then, logic.true)

        out = [f.waited >= state.W, self.out(state) <= f.S - f.floor]
        old = 0
        for one in state.slots:
            memory, old_memory = self.larger(one.D, f.T * 0), self.larger(one.OD, f.T * 0)
            live, old_live = (
                logic.both(one.P > 0, logic.no(one.done)), logic.both(one.OP > 0, logic.no(one.Odone))
            )  # fmt: skip
            out += [
                f.waited >= one.L, one.P <= f.T, one.Q <= f.T, one.N <= f.T, one.D <= f.T, one.shares >= 0,
                one.OD <= f.T, one.OP <= f.T, one.Oshares >= 0,
                so(one.B > 0, logic.both(one.B * fast <= one.L * slow, logic.no(one.done))),
                so(live, one.P * fast <= one.L * slow),
                so(one.done, logic.both(memory >= one.P, memory >= one.Q)),
                so(one.back, logic.both(one.B <= 0, logic.no(live))),
                so(logic.both(one.back, logic.no(one.done)), one.Q <= 0),
                so(one.OB > 0, logic.both(one.OB * fast <= state.W * slow, logic.no(one.Odone))),
                so(old_live, one.OP * fast <= state.W * slow),
                so(one.Odone, old_memory >= one.OP),
                so(state.W > 0, one.L <= 0),
            ]  # fmt: skip
            old += logic.ite(one.OB > 0, one.Oshares, logic.ite(old_live, one.Oshares, 0))
        out.append(old <= f.S - f.floor)
        return out

    def bound(self, state: State) -> Any:
        return self.held(state) <= self.f.S
