"""Who may spend which part of a fleet's budget: a share has one holder at a time, and no clock is shared.

A budget is cut into equal shares, and each node is home to as many. It keeps some for itself always (its
floor) and lends the rest for a time T:

- the borrower counts T from when it *asked*, on its own clock: before that the loan can't have been granted;
- the lender counts T, and more by the stated drift, from when it *granted*, on its own clock.

So the borrower's time is over first, whatever is late, repeated or lost (Gray and Cheriton, "Leases", SOSP
1989). A process that starts does not know what the one before it has lent: for the longest a loan can last it
holds its floor alone. What silence costs is use, never the bound. Times are monotonic ns.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

NEVER = 1 << 62  # ns


class Terms(NamedTuple):
    """Alike on all nodes of a tier. `lent`: ns of a loan; `drift`: the part by which a clock may run fast or
    slow."""

    shares: int  # that each node is home to
    floor: int  # of these, that it never lends
    lent: int = 2_000_000_000
    drift: float = 0.01

    def waited(self) -> int:
        """ns that a lender counts: its clock may be fast and the borrower's slow."""
        return int(self.lent * (1 + self.drift) / (1 - self.drift)) + 1


class Ask(NamedTuple):
    """From a node that wants more. `at`: its own clock, which comes back with the grant."""

    borrower: int
    generation: int
    at: int
    shares: int
    renews: int = 0  # a loan of the lender's to be made longer; 0: a new one
    ease: int = 0  # what it holds, as hundredths of what it needs


class Grant(NamedTuple):
    """`loan`: a number that the lender's generation gives to no other loan."""

    lender: int
    lender_generation: int
    loan: int
    borrower: int
    generation: int  # of the borrower's process that asked
    asked_at: int  # by the borrower's clock
    shares: int


class GiveBack(NamedTuple):
    """Not wanted any more: the lender may use it at once, if the borrower never spends on it again."""

    lender: int
    lender_generation: int
    loan: int
    borrower: int


@dataclass(slots=True)
class Loan:
    shares: int
    until: int  # ns, by the clock of who keeps this record


class Escrow:
    """One process's part. `started`: ns; it is not known what an earlier process has lent."""

    def __init__(self, own: int, generation: int, terms: Terms, started: int) -> None:
        if not 0 < terms.floor <= terms.shares:
            raise ValueError(f"a floor of {terms.floor} shares; 1 to {terms.shares} would do")
        self.own = own
        self.generation = generation
        self.terms = terms
        self._whole_at = started + terms.waited()
        self._out: dict[int, tuple[int, Loan]] = {}  # by number: the borrower
        self._in: dict[tuple[int, int, int], Loan] = {}  # by lender, its generation, number
        self._done: dict[tuple[int, int, int], int] = {}  # given back, and until when that is remembered
        self._last = 0
        self._seen = started  # the latest time that was told

    def known(self, until: int) -> None:
        """An earlier process has said until when it had lent (ns of this one's clock)."""
        self._whole_at = min(self._whole_at, until)

    def lent_until(self) -> int:
        """ns at which nothing is out any more, of this process or of one before it."""
        return max([self._whole_at, *(loan.until for _, loan in self._out.values())])

    def held(self, now: int) -> int:
        """Shares that this node may spend on, now."""
        return self.of_own(now) + sum(loan.shares for loan in self._in.values())

    def of_own(self, now: int) -> int:
        """Those that it is home to and has not lent."""
        self._forget(now)
        return (self.terms.floor if now < self._whole_at else self.terms.shares) - self._lent()

    def spare(self, now: int) -> int:
        """Shares that it could lend."""
        self._forget(now)
        return 0 if now < self._whole_at else self.terms.shares - self.terms.floor - self._lent()

    def ends_at(self) -> int:
        """ns at which what is held changes by itself next; NEVER where it does not."""
        times = [loan.until for _, loan in self._out.values()] + [loan.until for loan in self._in.values()]
        if self._seen < self._whole_at:
            times.append(self._whole_at)
        return min(times, default=NEVER)

    def _lent(self) -> int:
        return sum(loan.shares for _, loan in self._out.values())

    def _forget(self, now: int) -> None:
        self._seen = max(self._seen, now)
        self._out = {number: one for number, one in self._out.items() if one[1].until > now}
        self._in = {key: loan for key, loan in self._in.items() if loan.until > now}
        self._done = {key: until for key, until in self._done.items() if until > now}

    # A borrower's part.

    def ask(self, now: int, shares: int) -> Ask:
        return Ask(self.own, self.generation, now, shares)

    def take(self, now: int, grant: Grant) -> bool:
        """Whether something is held by it; a grant may be repeated, late, or another process's."""
        until = grant.asked_at + self.terms.lent
        key = grant.lender, grant.lender_generation, grant.loan
        mine = grant.borrower == self.own and grant.generation == self.generation and grant.asked_at <= now
        if not mine or until <= now or grant.shares <= 0 or key in self._done:
            return False
        held = self._in.get(key)
        if held is None:
            self._in[key] = Loan(grant.shares, until)
        else:
            held.until = max(held.until, until)  # made longer, and grants may overtake each other
        return True

    def give_back(self, now: int, shares: int) -> list[GiveBack]:
        """The loans that end soonest, up to so many shares; none is held from here on."""
        self._forget(now)
        out = []
        for key, loan in self.loans():
            if loan.shares <= shares:
                shares -= loan.shares
                del self._in[key]
                self._done[key] = now + self.terms.lent  # no grant of what was asked until now lasts longer
                out.append(GiveBack(*key, self.own))
        return out

    def loans(self) -> list[tuple[tuple[int, int, int], Loan]]:
        """What is borrowed, by lender, its generation and the loan's number, the soonest to end first."""
        return sorted(self._in.items(), key=lambda one: one[1].until)

    def borrowed(self, key: tuple[int, int, int]) -> Loan | None:
        """By lender, its generation and the loan's number."""
        return self._in.get(key)

    # A lender's part.

    def out(self) -> dict[int, int]:
        """Who has which loan, by its number."""
        return {number: borrower for number, (borrower, _) in self._out.items()}

    def lent_by(self, loan: int) -> int:
        """Shares of a loan that is out."""
        return self._out[loan][1].shares

    def lent_to(self) -> dict[int, int]:
        """Shares that are out, by borrower."""
        out: dict[int, int] = {}
        for borrower, loan in self._out.values():
            out[borrower] = out.get(borrower, 0) + loan.shares
        return out

    def lend(self, now: int, ask: Ask, most: int) -> Grant | None:
        """`most`: shares that it wants to part with, for whatever reasons. A loan that is to be made longer
        keeps its shares; one that has ended is not."""
        if ask.renews:
            return self._lengthen(now, ask)
        shares = min(ask.shares, most, self.spare(now))
        if shares <= 0 or ask.borrower == self.own:
            return None
        self._last += 1
        self._out[self._last] = ask.borrower, Loan(shares, now + self.terms.waited())
        return Grant(self.own, self.generation, self._last, ask.borrower, ask.generation, ask.at, shares)

    def _lengthen(self, now: int, ask: Ask) -> Grant | None:
        self._forget(now)
        borrower, loan = self._out.get(ask.renews, (-1, Loan(0, 0)))
        if borrower != ask.borrower:
            return None
        loan.until = max(loan.until, now + self.terms.waited())
        return Grant(self.own, self.generation, ask.renews, borrower, ask.generation, ask.at, loan.shares)

    def returned(self, back: GiveBack) -> None:
        """Of another generation, or not lent to who gives it back: nothing is taken."""
        one = self._out.get(back.loan)
        if (
            (back.lender, back.lender_generation) == (self.own, self.generation)
            and one
            and one[0] == back.borrower
        ):
            del self._out[back.loan]
