"""A fleet budget at one node: spending from it, borrowing shares from other nodes and lending to them.

`escrow` enforces the bound of the budget whatever is decided here; this module decides how well the budget is
used. Times are monotonic ns.

- A node needs the shares that cover its demand and some headroom. It asks randomly drawn nodes for the
  missing shares: more nodes at a time while they grant, fewer while they refuse.
- A loan is extended from half of its time on while it is needed; otherwise it expires or is returned.
- A lender keeps the shares that it needs itself, and at least its floor. It lends in parts. If it has none
  left for a borrower whose need is poorly covered, it stops extending a loan of a borrower that is covered
  better.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from math import ceil
from random import Random
from typing import NamedTuple

from driftstair.tier.shared.demand import Demand
from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms
from driftstair.tier.shared.token_bucket import TokenBucket

TERMS = Terms(shares=32, floor=1, lent=3_000_000_000, drift=0.01)
DEMAND_HEADROOM = 1.25  # held shares of a node, as a multiple of its demand
MAX_COVERAGE_PERCENT = 255  # greater values are reported as this one
MIN_FANOUT, MAX_FANOUT = 2, 32  # nodes asked for shares of one budget in one tick
LENDABLE_PARTS = 4  # loans that a node divides its lendable shares into
COVERAGE_MARGIN_PERCENT = 25  # difference in coverage from which a loan is moved to another borrower
TICKS_PER_LOAN = 8  # calls of `tick` in the time of a loan
SURPLUS_TICKS = 2  # ticks with a surplus before loans are returned


class BudgetSpec(NamedTuple):
    """Definition of a fleet budget, the same on all nodes. Unused tokens accumulate for `burst_ns`.

    The terms of lending are constants of the program and not settings: a process with other terms than the
    previous process of its node could not tell when the loans of that process expire.
    """

    name: str
    per_s: float  # tokens per second of the whole fleet
    burst_ns: int
    terms: Terms = TERMS

    def wire_key(self, node_count: int) -> int:
        """Returns the key that identifies the budget in messages. Nodes with another node count or other
        terms do not lend to each other. The rate may differ, as while a new file is rolled out: then the
        greater rate bounds the spending."""
        description = f"{self.name}/{node_count}/{self.terms!r}".encode()
        return int.from_bytes(blake2b(description, digest_size=4).digest(), "big")


class LoanEvent(NamedTuple):
    """A change of a loan, for the history. `until_ns` is on this node's clock."""

    action: str  # at the lender: lent, extended, returned; at the borrower: took, renewed, gave
    peer: int
    lender_generation: int
    loan: int
    shares: int
    until_ns: int


EscrowMessages = list[tuple[int, Ask | Grant | GiveBack]]
"""Outgoing messages, each with the number of its recipient."""


class Budget:
    """State of one fleet budget at one of `node_count` nodes. `other_nodes` returns the numbers of the nodes
    that can be asked for shares now."""

    def __init__(
        self, spec: BudgetSpec, own_number: int, generation: int, node_count: int, now_ns: int,
        random: Random, other_nodes: Callable[[], list[int]],
    ) -> None:  # fmt: skip
        self.spec = spec
        self.wire_key = spec.wire_key(node_count)
        self.escrow = Escrow(own_number, generation, spec.terms, now_ns)
        self.share_per_s = spec.per_s / (node_count * spec.terms.shares)
        self.bucket = TokenBucket(self.escrow, self.share_per_s, spec.burst_ns / 1e9, now_ns)
        self.demand = Demand(now_ns)
        self.loan_events: list[LoanEvent] = []
        self.counts = {"asked": 0, "granted": 0, "refused": 0, "lent": 0, "spent": 0, "denied": 0}
        self._total_shares = node_count * spec.terms.shares
        self._random = random
        self._other_nodes = other_nodes
        self._ask_again_at: dict[int, int] = {}  # by node: earliest time of the next request
        self._pending_asks: dict[int, tuple[int, int]] = {}  # by node: end of the wait for its answer, shares
        # By loan: the earliest time of the next renewal request.
        self._renew_again_at: dict[tuple[int, int, int], int] = {}
        self._coverage_of: dict[int, int] = {}  # by borrower, as it last reported
        self._refused_borrowers: dict[int, tuple[int, int]] = {}  # until when this counts, coverage
        self._recalled_loans: set[int] = set()  # loans that are not extended any more
        self._fanout = 4
        self._surplus_ticks = 0
        self._leaving = False

    def update_spec(self, now_ns: int, spec: BudgetSpec, node_count: int) -> None:
        """Changes the rate or the burst. The terms and the number of nodes stay the same."""
        self.bucket.advance(now_ns)
        self.spec = spec
        self.share_per_s = spec.per_s / (node_count * spec.terms.shares)
        self.bucket.set_rate(now_ns, self.share_per_s, spec.burst_ns / 1e9)

    # Spending.

    def spend(self, now_ns: int, tokens: float = 1.0) -> bool:
        """Takes the tokens and returns whether there were enough. Refused tokens count as demand."""
        if self.bucket.spend(now_ns, tokens):
            return True
        self.counts["denied"] += 1
        self.demand.record(tokens)
        return False

    def record_spent(self, tokens: float = 1.0) -> None:
        """Records that tokens taken by `spend` were used. Tokens that were not used go back by `refund`."""
        self.counts["spent"] += 1
        self.demand.record(tokens)

    def refund(self, now_ns: int, tokens: float = 1.0) -> None:
        """Puts back tokens that were taken by `spend` and not used."""
        self.bucket.refund(now_ns, tokens)

    # Borrowing.

    def needed_shares(self) -> int:
        """Returns the shares that cover the demand, with headroom unless the bucket is more than half
        full."""
        headroom = 1.0 if self.bucket.fullness() > 0.5 else DEMAND_HEADROOM
        return (
            min(self._total_shares, ceil(self.demand.per_s * headroom / self.share_per_s))
            if self.demand.per_s > 0
            else 0
        )

    def tick(self, now_ns: int) -> EscrowMessages:
        """Renews, requests and returns loans. Must be called `TICKS_PER_LOAN` times in the time of a loan."""
        self.bucket.advance(now_ns)
        self.demand.tick(now_ns)
        for number in [number for number, until_ns in self._ask_again_at.items() if until_ns <= now_ns]:
            del self._ask_again_at[number]
        messages: EscrowMessages = []
        needed, held_shares, loan_time_ns = (
            self.needed_shares(),
            self.escrow.held_shares(now_ns),
            self.spec.terms.lent,
        )
        surplus_shares, lasting_shares = held_shares - needed, held_shares
        coverage = min(MAX_COVERAGE_PERCENT, held_shares * 100 // max(1, needed))
        loans = self.escrow.borrowed_loans()
        known_keys = {key for key, _ in loans}
        self._renew_again_at = {
            key: retry_at for key, retry_at in self._renew_again_at.items() if key in known_keys
        }
        for key, loan in loans:
            left_ns = loan.until_ns - now_ns
            if left_ns < loan_time_ns // 4:
                lasting_shares -= loan.shares
            if left_ns >= loan_time_ns // 2:
                break
            if surplus_shares >= loan.shares:
                surplus_shares -= loan.shares
            elif now_ns >= self._renew_again_at.get(key, 0):
                self._renew_again_at[key] = now_ns + loan_time_ns // TICKS_PER_LOAN
                messages.append(
                    (
                        key[0],
                        self.escrow.ask(now_ns, loan.shares)._replace(
                            renewed_loan=key[2], coverage_percent=coverage
                        ),
                    )
                )
        self._pending_asks = {
            number: entry for number, entry in self._pending_asks.items() if entry[0] > now_ns
        }
        missing_shares = (
            0
            if self._leaving
            else needed - lasting_shares - sum(shares for _, shares in self._pending_asks.values())
        )
        if missing_shares > 0:
            messages += self._ask_others(now_ns, missing_shares, coverage)
        if self._leaving:
            return []
        self._surplus_ticks = self._surplus_ticks + 1 if held_shares - needed > 0 and loans else 0
        if self._surplus_ticks > SURPLUS_TICKS:
            messages += self._give_back(now_ns, held_shares - needed)
        self.counts["asked"] += len(messages)
        return messages

    def _ask_others(self, now_ns: int, missing_shares: int, coverage: int) -> EscrowMessages:
        terms, messages = self.spec.terms, list[tuple[int, Ask | Grant | GiveBack]]()
        candidates = [number for number in self._other_nodes() if number not in self._ask_again_at]
        for number in self._random.sample(candidates, min(self._fanout, len(candidates))):
            shares = min(missing_shares, terms.shares - terms.floor)
            if shares <= 0:
                break
            self._ask_again_at[number] = now_ns + terms.lent // 4
            self._pending_asks[number] = now_ns + terms.lent // TICKS_PER_LOAN, shares
            messages.append((number, self.escrow.ask(now_ns, shares)._replace(coverage_percent=coverage)))
            missing_shares -= shares
        return messages

    def _give_back(self, now_ns: int, shares: int) -> EscrowMessages:
        loans = dict(self.escrow.borrowed_loans())
        give_backs = self.escrow.give_back(now_ns, shares)
        self.bucket.advance(now_ns)
        for back in give_backs:
            loan = loans[back.lender, back.lender_generation, back.loan]
            self.loan_events.append(
                LoanEvent("gave", back.lender, back.lender_generation, back.loan, loan.shares, now_ns)
            )
        return [(back.lender, back) for back in give_backs]

    def on_grant(self, now_ns: int, grant: Grant) -> None:
        """Handles a grant, or a refusal, which is a grant of no shares."""
        lender, loan = grant.lender, grant.loan
        self._pending_asks.pop(lender, None)
        if grant.shares <= 0:
            self.counts["refused"] += 1
            self._ask_again_at[lender] = now_ns + self.spec.terms.lent // 2
            if loan:  # the lender does not extend this loan
                self._renew_again_at[lender, grant.lender_generation, loan] = now_ns + self.spec.terms.lent
            else:
                self._fanout = max(MIN_FANOUT, self._fanout - 1)
            return
        key = lender, grant.lender_generation, loan
        was_known = self.escrow.borrowed_loan(key) is not None
        self.bucket.advance(now_ns)
        accepted = self.escrow.accept(now_ns, grant)
        self.bucket.advance(now_ns)
        updated_loan = self.escrow.borrowed_loan(key)
        if accepted and updated_loan is not None:
            self.counts["granted"] += 1
            self._fanout = min(MAX_FANOUT, self._fanout + 1)
            action = "renewed" if was_known else "took"
            self.loan_events.append(LoanEvent(action, *key, grant.shares, updated_loan.until_ns))

    def leave(self, now_ns: int) -> EscrowMessages:
        """Returns all loans before the process ends, so that other nodes can use the shares at once."""
        self.bucket.advance(now_ns)
        self._leaving = True
        return self._give_back(now_ns, self._total_shares)

    # Lending.

    def on_ask(self, now_ns: int, ask: Ask) -> list[Grant]:
        """Handles a request. The answer is a single grant of no shares if nothing is lent."""
        self.bucket.advance(now_ns)
        terms, borrower = self.spec.terms, ask.borrower
        self._coverage_of[borrower] = ask.coverage_percent
        lent_shares = sum(self.escrow.lent_shares_by_borrower().values())
        spare = (
            0
            if self._leaving
            else terms.shares - lent_shares - min(terms.shares, max(terms.floor, self.needed_shares()))
        )
        grants: list[Grant | None] = []
        if ask.renewed_loan:
            if not self._leaving and not self._must_recall(ask, -spare):
                grants.append(self.escrow.lend(now_ns, ask, 0))
        else:
            max_part = -(-(terms.shares - terms.floor) // LENDABLE_PARTS)
            remaining_shares = min(ask.shares, max(0, spare)) if self._may_lend_to(now_ns, ask) else 0
            while remaining_shares > 0:
                part_shares = min(max_part, remaining_shares)
                grants.append(self.escrow.lend(now_ns, ask._replace(shares=part_shares), part_shares))
                remaining_shares -= part_shares
            if not grants:
                self._refused_borrowers[borrower] = now_ns + terms.lent, ask.coverage_percent
                self._recall_one_loan(ask)
            else:
                self._refused_borrowers.pop(borrower, None)
        self.bucket.advance(now_ns)
        issued = [grant for grant in grants if grant is not None]
        self.counts["lent"] += len(issued)
        action, until_ns = "extended" if ask.renewed_loan else "lent", now_ns + terms.lender_wait_ns()
        generation = self.escrow.generation
        self.loan_events += [
            LoanEvent(action, borrower, generation, grant.loan, grant.shares, until_ns) for grant in issued
        ]
        return issued or [
            Grant(
                self.escrow.own_number, generation, ask.renewed_loan, borrower, ask.generation, ask.sent_at, 0
            )
        ]

    def _must_recall(self, ask: Ask, missing_shares: int) -> bool:
        """Returns whether a loan is recalled instead of extended. Loans are recalled until they cover the
        shares that the lender is missing itself."""
        self._recalled_loans &= self.escrow.borrowers_by_loan().keys()
        if ask.renewed_loan not in self._recalled_loans and missing_shares > sum(
            map(self.escrow.loan_shares, self._recalled_loans)
        ):
            self._recalled_loans.add(ask.renewed_loan)
        return ask.renewed_loan in self._recalled_loans

    def _may_lend_to(self, now_ns: int, ask: Ask) -> bool:
        """Returns False while a refused borrower has a much lower coverage than this one."""
        self._refused_borrowers = {
            node: entry for node, entry in self._refused_borrowers.items() if entry[0] > now_ns
        }
        lowest = min(
            (coverage for node, (_, coverage) in self._refused_borrowers.items() if node != ask.borrower),
            default=ask.coverage_percent,
        )
        return ask.coverage_percent <= lowest + COVERAGE_MARGIN_PERCENT

    def _recall_one_loan(self, ask: Ask) -> None:
        """Recalls one loan of the borrower with the highest coverage, with a probability that grows with the
        difference in coverage."""
        borrowers = self.escrow.borrowers_by_loan()
        self._recalled_loans &= borrowers.keys()
        self._coverage_of = {
            node: coverage for node, coverage in self._coverage_of.items() if node in borrowers.values()
        }
        candidates = [
            number
            for number in borrowers
            if number not in self._recalled_loans and borrowers[number] != ask.borrower
        ]
        if not candidates:
            return
        loan = max(candidates, key=lambda number: self._coverage_of.get(borrowers[number], 0))
        difference = self._coverage_of.get(borrowers[loan], 0) - ask.coverage_percent
        if difference > COVERAGE_MARGIN_PERCENT and self._random.random() * 100 < difference:
            self._recalled_loans.add(loan)

    def on_give_back(self, now_ns: int, back: GiveBack) -> None:
        """Handles the return of a loan by its borrower."""
        self.bucket.advance(now_ns)
        shares_before = self.escrow.lent_shares_by_borrower().get(back.borrower, 0)
        self.escrow.on_give_back(back)
        shares = shares_before - self.escrow.lent_shares_by_borrower().get(back.borrower, 0)
        self.bucket.advance(now_ns)
        if shares:
            self.loan_events.append(
                LoanEvent("returned", back.borrower, back.lender_generation, back.loan, shares, now_ns)
            )
