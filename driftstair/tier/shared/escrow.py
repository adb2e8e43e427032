"""Escrow of one node's shares of a fleet budget: each share has at most one holder, without a common clock.

A budget is divided into equal shares, and each node owns the same number of them. A node always keeps some of
its shares (its floor) and lends the others for a time T:

- the borrower counts T from the time of its *request* on its own clock, since the loan cannot have been
  granted earlier;
- the lender counts T, extended by the maximum clock drift, from the time of its *grant* on its own clock.

The loan therefore expires at the borrower first, even if messages are delayed, duplicated or lost (Gray and
Cheriton, "Leases", SOSP 1989). A process that starts does not know what the previous process of its node has
lent, so it holds only its floor until the longest possible loan has expired. A loss of messages reduces how
much of the budget is used; it never breaks the bound. Times are monotonic ns.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NEVER = 1 << 62  # a time in ns that is never reached


class Terms(NamedTuple):
    """Terms of lending, the same on all nodes of a tier. `lent` is the length of a loan in ns; `drift` is the
    fraction by which a clock may run fast or slow.

    The repr of this class is part of the key that identifies a budget between nodes, so its name and the
    names of its fields must not change.
    """

    shares: int  # owned by each node
    floor: int  # of these, the shares that the node never lends
    lent: int = 2_000_000_000
    drift: float = 0.01

    def lender_wait_ns(self) -> int:
        """Returns the time that a lender waits until a loan has expired: its own clock may be fast and the
        borrower's slow."""
        return int(self.lent * (1 + self.drift) / (1 - self.drift)) + 1


class Ask(NamedTuple):
    """Request of a borrower for shares. `sent_at` is on the borrower's clock and comes back in the grant."""

    borrower: int
    generation: int
    sent_at: int
    shares: int
    renewed_loan: int = 0  # the number of a loan to extend; 0 requests a new loan
    coverage_percent: int = 0  # the shares that the borrower holds, in percent of those that it needs


class Grant(NamedTuple):
    """A new or extended loan. `loan` is its number, unique within the generation of the lender."""

    lender: int
    lender_generation: int
    loan: int
    borrower: int
    borrower_generation: int  # of the process that asked
    asked_at: int  # on the borrower's clock
    shares: int


class GiveBack(NamedTuple):
    """Return of a loan before it expires. The lender may use the shares at once, since the borrower does not
    spend from the loan any more."""

    lender: int
    lender_generation: int
    loan: int
    borrower: int


@dataclass(slots=True)
class Loan:
    """Record of a loan at its lender or its borrower."""

    shares: int
    until_ns: int  # on the clock of the node that keeps this record


class Escrow:
    """Shares that one process owns, lends and borrows. It was started at `started_ns` and does not know what
    an earlier process of its node has lent."""

    def __init__(self, own_number: int, generation: int, terms: Terms, started_ns: int) -> None:
        if not 0 < terms.floor <= terms.shares:
            raise ValueError(f"a floor of {terms.floor} shares; 1 to {terms.shares} would do")
        self.own_number = own_number
        self.generation = generation
        self.terms = terms
        self._earlier_loans_end_ns = started_ns + terms.lender_wait_ns()
        self._lent_loans: dict[int, tuple[int, Loan]] = {}  # the borrower, by the number of the loan
        self._borrowed_loans: dict[tuple[int, int, int], Loan] = {}  # by lender, lender generation, loan
        self._returned_until_ns: dict[tuple[int, int, int], int] = {}  # until when a return is remembered
        self._last_loan_number = 0
        self._latest_time_ns = started_ns  # the latest time passed in

    def set_earlier_loans_end(self, until_ns: int) -> None:
        """Sets when the last loan of an earlier process expires, on the clock of this process."""
        self._earlier_loans_end_ns = min(self._earlier_loans_end_ns, until_ns)

    def lent_until(self) -> int:
        """Returns when the last loan of this process or an earlier one expires."""
        return max([self._earlier_loans_end_ns, *(loan.until_ns for _, loan in self._lent_loans.values())])

    def held_shares(self, now_ns: int) -> int:
        """Returns the shares that this node may spend from now."""
        return self.unlent_own_shares(now_ns) + sum(loan.shares for loan in self._borrowed_loans.values())

    def unlent_own_shares(self, now_ns: int) -> int:
        """Returns the shares that this node owns and has not lent."""
        self._remove_expired(now_ns)
        return (
            self.terms.floor if now_ns < self._earlier_loans_end_ns else self.terms.shares
        ) - self._lent_shares()

    def spare_shares(self, now_ns: int) -> int:
        """Returns the shares that this node could lend."""
        self._remove_expired(now_ns)
        return (
            0
            if now_ns < self._earlier_loans_end_ns
            else self.terms.shares - self.terms.floor - self._lent_shares()
        )

    def next_change_at_ns(self) -> int:
        """Returns when the number of held shares next changes by itself; NEVER if it does not."""
        change_times_ns = [loan.until_ns for _, loan in self._lent_loans.values()] + [
            loan.until_ns for loan in self._borrowed_loans.values()
        ]
        if self._latest_time_ns < self._earlier_loans_end_ns:
            change_times_ns.append(self._earlier_loans_end_ns)
        return min(change_times_ns, default=NEVER)

    def _lent_shares(self) -> int:
        return sum(loan.shares for _, loan in self._lent_loans.values())

    def _remove_expired(self, now_ns: int) -> None:
        self._latest_time_ns = max(self._latest_time_ns, now_ns)
        self._lent_loans = {
            number: entry for number, entry in self._lent_loans.items() if entry[1].until_ns > now_ns
        }
        self._borrowed_loans = {
            key: loan for key, loan in self._borrowed_loans.items() if loan.until_ns > now_ns
        }
        self._returned_until_ns = {
            key: until_ns for key, until_ns in self._returned_until_ns.items() if until_ns > now_ns
        }

    # Borrowing.

    def ask(self, now_ns: int, shares: int) -> Ask:
        """Returns a request for a new loan."""
        return Ask(self.own_number, self.generation, now_ns, shares)

    def accept(self, now_ns: int, grant: Grant) -> bool:
        """Borrows the granted shares. Returns False for a grant that has expired, was returned, or is
        addressed to another process."""
        until_ns = grant.asked_at + self.terms.lent
        key = grant.lender, grant.lender_generation, grant.loan
        is_for_this_process = (
            grant.borrower == self.own_number
            and grant.borrower_generation == self.generation
            and grant.asked_at <= now_ns
        )
        if (
            not is_for_this_process
            or until_ns <= now_ns
            or grant.shares <= 0
            or key in self._returned_until_ns
        ):
            return False
        known_loan = self._borrowed_loans.get(key)
        if known_loan is None:
            self._borrowed_loans[key] = Loan(grant.shares, until_ns)
        else:
            known_loan.until_ns = max(known_loan.until_ns, until_ns)  # an extension; grants may be reordered
        return True

    def give_back(self, now_ns: int, shares: int) -> list[GiveBack]:
        """Returns the loans that expire first, up to `shares` in total, and stops holding them."""
        self._remove_expired(now_ns)
        messages = []
        for key, loan in self.borrowed_loans():
            if loan.shares <= shares:
                shares -= loan.shares
                del self._borrowed_loans[key]
                # No grant that was requested up to now lasts longer than this.
                self._returned_until_ns[key] = now_ns + self.terms.lent
                messages.append(GiveBack(*key, self.own_number))
        return messages

    def borrowed_loans(self) -> list[tuple[tuple[int, int, int], Loan]]:
        """Returns the borrowed loans by lender, lender generation and loan number, in the order of expiry."""
        return sorted(self._borrowed_loans.items(), key=lambda entry: entry[1].until_ns)

    def borrowed_loan(self, key: tuple[int, int, int]) -> Loan | None:
        """Returns a borrowed loan by lender, lender generation and loan number."""
        return self._borrowed_loans.get(key)

    # Lending.

    def borrowers_by_loan(self) -> dict[int, int]:
        """Returns the borrower of each loan that is lent, by the number of the loan."""
        return {number: borrower for number, (borrower, _) in self._lent_loans.items()}

    def loan_shares(self, loan: int) -> int:
        """Returns the shares of a loan that is lent."""
        return self._lent_loans[loan][1].shares

    def lent_shares_by_borrower(self) -> dict[int, int]:
        """Returns the lent shares by borrower."""
        shares_by_borrower: dict[int, int] = {}
        for borrower, loan in self._lent_loans.values():
            shares_by_borrower[borrower] = shares_by_borrower.get(borrower, 0) + loan.shares
        return shares_by_borrower

    def lend(self, now_ns: int, ask: Ask, max_shares: int) -> Grant | None:
        """Lends up to `max_shares`, or extends the loan that the request names. An extended loan keeps its
        shares; an expired loan cannot be extended. Returns None if nothing is lent."""
        if ask.renewed_loan:
            return self._extend(now_ns, ask)
        shares = min(ask.shares, max_shares, self.spare_shares(now_ns))
        if shares <= 0 or ask.borrower == self.own_number:
            return None
        self._last_loan_number += 1
        self._lent_loans[self._last_loan_number] = (
            ask.borrower,
            Loan(shares, now_ns + self.terms.lender_wait_ns()),
        )
        return Grant(
            self.own_number,
            self.generation,
            self._last_loan_number,
            ask.borrower,
            ask.generation,
            ask.sent_at,
            shares,
        )

    def _extend(self, now_ns: int, ask: Ask) -> Grant | None:
        self._remove_expired(now_ns)
        borrower, loan = self._lent_loans.get(ask.renewed_loan, (-1, Loan(0, 0)))
        if borrower != ask.borrower:
            return None
        loan.until_ns = max(loan.until_ns, now_ns + self.terms.lender_wait_ns())
        return Grant(
            self.own_number,
            self.generation,
            ask.renewed_loan,
            borrower,
            ask.generation,
            ask.sent_at,
            loan.shares,
        )

    def on_give_back(self, message: GiveBack) -> None:
        """Ends a loan that its borrower has returned. A return for another generation, or from a node that is
        not the borrower, has no effect."""
        entry = self._lent_loans.get(message.loan)
        if (
            (message.lender, message.lender_generation) == (self.own_number, self.generation)
            and entry
            and entry[0] == message.borrower
        ):
            del self._lent_loans[message.loan]
