"""Lending between one lender and some borrowers as a transition relation on states, for a solver and for a
comparison with the escrow.

A time is the remaining time on the clock of the node that keeps it; 0 or less means expired. Each borrower
has one loan. Lenders are independent of each other, and several loans of one borrower are equivalent to
several borrowers whose clocks agree. The slot of a loan is used again for the next loan: messages in flight
about the former loan cannot be accepted any more (`given_back`, `return_memory`).
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import Any

LOAN_FIELDS = (
    "lender_time",
    "borrower_time",
    "grant_time",
    "renewal_time",
    "ask_time",
    "return_memory",
    "given_back",
    "return_sent",
    "shares",
)
OLD_LOAN_FIELDS = ("old_borrower_time", "old_grant_time", "old_return_memory", "old_given_back", "old_shares")


@dataclass(frozen=True)
class Slot:
    """State of the loan of one borrower."""

    lender_time: Any  # until the lender counts the loan as expired
    borrower_time: Any  # until the loan expires at the borrower
    grant_time: Any  # of the grant in flight that would last longest
    renewal_time: Any  # of the request for an extension that would last longest
    ask_time: Any  # of the request for a new loan
    return_memory: Any  # how long the borrower remembers that it returned the loan
    given_back: Any  # the borrower has returned the loan and remembers it
    return_sent: Any  # the return is in flight or has arrived
    shares: Any
    # The same of a loan that an earlier generation of the lender granted.
    old_borrower_time: Any
    old_grant_time: Any
    old_return_memory: Any
    old_given_back: Any
    old_shares: Any


@dataclass(frozen=True)
class State:
    """State of the lender and of all loans."""

    earlier_loans_time: Any  # until all loans of an earlier generation of the lender have expired
    slots: tuple[Slot, ...]


@dataclass(frozen=True)
class Parameters:
    """Parameters of the relation, as in the terms of the escrow."""

    total_shares: int
    floor: int
    loan_time: Any
    lender_wait: Any
    drift: Any


SLOT_FIELDS = tuple(field.name for field in fields(Slot))


class PlainLogic:
    """Logic operations on plain values; the solver has its own."""

    @staticmethod
    def ite(condition: Any, first: Any, second: Any) -> Any:
        return first if condition else second

    @staticmethod
    def all_of(*conditions: Any) -> Any:
        return all(conditions)

    @staticmethod
    def negate(condition: Any) -> Any:
        return not condition

    true: Any = True
    false: Any = False


class Lending:
    """The steps of the relation. Each returns its precondition and the state after it."""

    def __init__(self, parameters: Parameters, logic: Any = PlainLogic) -> None:
        self.parameters = parameters
        self.logic = logic

    def larger(self, first: Any, second: Any) -> Any:
        """Returns the larger value."""
        return self.logic.ite(first >= second, first, second)

    def lent_shares(self, state: State) -> Any:
        """Returns the shares that are lent."""
        return sum(self.logic.ite(slot.lender_time > 0, slot.shares, 0) for slot in state.slots)

    def held_shares(self, state: State) -> Any:
        """Returns the shares that all nodes hold."""
        ite = self.logic.ite
        total = ite(
            state.earlier_loans_time > 0, self.parameters.floor, self.parameters.total_shares
        ) - self.lent_shares(state)
        for slot in state.slots:
            total += ite(slot.borrower_time > 0, slot.shares, 0) + ite(
                slot.old_borrower_time > 0, slot.old_shares, 0
            )
        return total

    def _with_slot(self, state: State, number: int, **changes: Any) -> State:
        slots = list(state.slots)
        slots[number] = replace(slots[number], **changes)
        return replace(state, slots=tuple(slots))

    def tick(self, state: State, lender_elapsed: Any, elapsed_times: list[Any]) -> tuple[Any, State]:
        """Advances each clock by a time. The caller ensures that these times agree up to the drift."""
        slots = tuple(
            replace(
                slot,
                lender_time=slot.lender_time - lender_elapsed,
                **{
                    name: getattr(slot, name) - elapsed
                    for name in (
                        "borrower_time",
                        "grant_time",
                        "renewal_time",
                        "ask_time",
                        "return_memory",
                        "old_borrower_time",
                        "old_grant_time",
                        "old_return_memory",
                    )
                },
            )
            for slot, elapsed in zip(state.slots, elapsed_times, strict=True)
        )
        return self.logic.true, State(state.earlier_loans_time - lender_elapsed, slots)

    def ask(self, state: State, number: int) -> tuple[Any, State]:
        return self.logic.true, self._with_slot(state, number, ask_time=self.parameters.loan_time)

    def ask_renewal(self, state: State, number: int) -> tuple[Any, State]:
        return state.slots[number].borrower_time > 0, self._with_slot(
            state, number, renewal_time=self.parameters.loan_time
        )

    def lend(self, state: State, number: int, shares: Any) -> tuple[Any, State]:
        slot = state.slots[number]
        allowed = self.logic.all_of(
            state.earlier_loans_time <= 0,
            slot.lender_time <= 0,
            shares > 0,
            shares <= self.parameters.total_shares - self.parameters.floor - self.lent_shares(state),
        )
        return allowed, self._with_slot(
            state,
            number,
            lender_time=self.parameters.lender_wait,
            borrower_time=self.parameters.loan_time * 0,
            grant_time=slot.ask_time,
            renewal_time=self.parameters.loan_time * 0,
            return_memory=self.parameters.loan_time * 0,
            given_back=self.logic.false,
            return_sent=self.logic.false,
            shares=shares,
        )

    def extend(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        return slot.lender_time > 0, self._with_slot(
            state,
            number,
            lender_time=self.parameters.lender_wait,
            grant_time=self.larger(slot.grant_time, slot.renewal_time),
        )

    def accept(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        allowed = self.logic.all_of(self.logic.negate(slot.given_back), slot.grant_time > 0)
        return allowed, self._with_slot(
            state, number, borrower_time=self.larger(slot.borrower_time, slot.grant_time)
        )

    def accept_old(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        allowed = self.logic.all_of(self.logic.negate(slot.old_given_back), slot.old_grant_time > 0)
        return allowed, self._with_slot(
            state, number, old_borrower_time=self.larger(slot.old_borrower_time, slot.old_grant_time)
        )

    def give_back(self, state: State, number: int) -> tuple[Any, State]:
        return state.slots[number].borrower_time > 0, self._with_slot(
            state,
            number,
            borrower_time=self.parameters.loan_time * 0,
            given_back=self.logic.true,
            return_memory=self.parameters.loan_time,
            return_sent=self.logic.true,
        )

    def give_back_old(self, state: State, number: int) -> tuple[Any, State]:
        return state.slots[number].old_borrower_time > 0, self._with_slot(
            state,
            number,
            old_borrower_time=self.parameters.loan_time * 0,
            old_given_back=self.logic.true,
            old_return_memory=self.parameters.loan_time,
        )

    def on_give_back(self, state: State, number: int) -> tuple[Any, State]:
        return state.slots[number].return_sent, self._with_slot(
            state, number, lender_time=self.parameters.loan_time * 0
        )

    def forget_return(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        return self.logic.all_of(slot.return_memory <= 0), self._with_slot(
            state, number, given_back=self.logic.false
        )

    def forget_old_return(self, state: State, number: int) -> tuple[Any, State]:
        slot = state.slots[number]
        return self.logic.all_of(slot.old_return_memory <= 0), self._with_slot(
            state, number, old_given_back=self.logic.false
        )

    def borrower_restarts(self, state: State, number: int) -> tuple[Any, State]:
        """Restarts a borrower. Grants of former requests are not accepted, since they name another
        generation."""
        expired = dict.fromkeys(
            (
                "borrower_time",
                "grant_time",
                "renewal_time",
                "ask_time",
                "return_memory",
                "old_borrower_time",
                "old_grant_time",
                "old_return_memory",
            ),
            self.parameters.loan_time * 0,
        )
        return self.logic.true, self._with_slot(
            state, number, **expired, given_back=self.logic.false, old_given_back=self.logic.false
        )

    def lender_restarts(self, state: State) -> tuple[Any, State]:
        ite, expired = self.logic.ite, self.parameters.loan_time * 0
        slots = []
        for slot in state.slots:
            was_lent = slot.lender_time > 0
            slots.append(
                replace(
                    slot,
                    old_borrower_time=ite(was_lent, slot.borrower_time, slot.old_borrower_time),
                    old_grant_time=ite(was_lent, slot.grant_time, slot.old_grant_time),
                    old_return_memory=ite(was_lent, slot.return_memory, slot.old_return_memory),
                    old_given_back=ite(was_lent, slot.given_back, slot.old_given_back),
                    old_shares=ite(was_lent, slot.shares, slot.old_shares),
                    lender_time=expired,
                    borrower_time=expired,
                    grant_time=expired,
                    renewal_time=expired,
                    return_memory=expired,
                    given_back=self.logic.false,
                    return_sent=self.logic.false,
                )
            )
        return self.logic.true, State(self.parameters.lender_wait, tuple(slots))

    # Invariants of all reachable states.

    def invariant(self, state: State) -> list[Any]:
        """Returns conditions that hold in every reachable state."""
        parameters, logic = self.parameters, self.logic
        fast, slow = 1 + parameters.drift, 1 - parameters.drift

        def implies(condition: Any, consequence: Any) -> Any:
            return logic.ite(condition, consequence, logic.true)

        conditions = [
            parameters.lender_wait >= state.earlier_loans_time,
            self.lent_shares(state) <= parameters.total_shares - parameters.floor,
        ]
        old_total = 0
        for slot in state.slots:
            return_memory_left, old_return_memory_left = (
                self.larger(slot.return_memory, parameters.loan_time * 0),
                self.larger(slot.old_return_memory, parameters.loan_time * 0),
            )
            acceptable, old_acceptable = (
                logic.all_of(slot.grant_time > 0, logic.negate(slot.given_back)),
                logic.all_of(slot.old_grant_time > 0, logic.negate(slot.old_given_back)),
            )
            conditions += [
                parameters.lender_wait >= slot.lender_time,
                slot.grant_time <= parameters.loan_time,
                slot.renewal_time <= parameters.loan_time,
                slot.ask_time <= parameters.loan_time,
                slot.return_memory <= parameters.loan_time,
                slot.shares >= 0,
                slot.old_return_memory <= parameters.loan_time,
                slot.old_grant_time <= parameters.loan_time,
                slot.old_shares >= 0,
                implies(
                    slot.borrower_time > 0,
                    logic.all_of(
                        slot.borrower_time * fast <= slot.lender_time * slow, logic.negate(slot.given_back)
                    ),
                ),
                implies(acceptable, slot.grant_time * fast <= slot.lender_time * slow),
                implies(
                    slot.given_back,
                    logic.all_of(
                        return_memory_left >= slot.grant_time, return_memory_left >= slot.renewal_time
                    ),
                ),
                implies(slot.return_sent, logic.all_of(slot.borrower_time <= 0, logic.negate(acceptable))),
                implies(
                    logic.all_of(slot.return_sent, logic.negate(slot.given_back)), slot.renewal_time <= 0
                ),
                implies(
                    slot.old_borrower_time > 0,
                    logic.all_of(
                        slot.old_borrower_time * fast <= state.earlier_loans_time * slow,
                        logic.negate(slot.old_given_back),
                    ),
                ),
                implies(old_acceptable, slot.old_grant_time * fast <= state.earlier_loans_time * slow),
                implies(slot.old_given_back, old_return_memory_left >= slot.old_grant_time),
                implies(state.earlier_loans_time > 0, slot.lender_time <= 0),
            ]
            old_total += logic.ite(
                slot.old_borrower_time > 0, slot.old_shares, logic.ite(old_acceptable, slot.old_shares, 0)
            )
        conditions.append(old_total <= parameters.total_shares - parameters.floor)
        return conditions

    def bound(self, state: State) -> Any:
        """Returns the condition that no share has two holders."""
        return self.held_shares(state) <= self.parameters.total_shares
