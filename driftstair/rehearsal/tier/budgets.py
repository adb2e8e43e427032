"""Checks the histories of all nodes against the fleet's budgets: tokens spent and shares held.

Times are of the machine's monotonic clock, which all nodes share here. A loan whose term ended while its
holder was stopped is therefore over, whatever the holder writes about it later.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from driftstair.rehearsal.tier.checks import NS_PER_S, Finding

Event = dict[str, Any]
ShareChange = tuple[int, int, int, int]
"""Time in ns; change of the shares that a home node has lent; change of the shares that others hold of it;
shares that it reports as its own."""


@dataclass(frozen=True, slots=True)
class BudgetTerms:
    """Terms of one budget as announced to the nodes; where announcements differ, the largest values."""

    per_s: float
    burst_ns: int
    nodes: int
    shares: int
    drift: float


@dataclass(slots=True)
class Spending:
    """Spending from one budget over a whole run. `excess_tokens`: tokens by which the worst window exceeds
    per_s x t."""

    terms: BudgetTerms
    spent: float
    excess_tokens: float
    window: tuple[int, int]

    def allowed_excess(self) -> float:
        """Returns the number of tokens by which a window may exceed per_s x t."""
        return self.terms.per_s * self.terms.burst_ns / NS_PER_S


def budget_terms(events: list[Event]) -> dict[str, BudgetTerms]:
    """Returns the terms of each budget, by its name."""
    terms_by_budget: dict[str, BudgetTerms] = {}
    for event in events:
        if event["event"] != "budget":
            continue
        previous = terms_by_budget.get(event["budget"])
        announced = (event["per_s"], event["burst_ns"], event["nodes"], event["shares"], event["drift"])
        largest = announced if previous is None else tuple(map(max, announced, terms_tuple(previous)))
        terms_by_budget[event["budget"]] = BudgetTerms(*largest)
    return terms_by_budget


def terms_tuple(terms: BudgetTerms) -> tuple[Any, ...]:
    """Returns the terms as a tuple, in the order of the fields."""
    return terms.per_s, terms.burst_ns, terms.nodes, terms.shares, terms.drift


def spending(events: list[Event]) -> dict[str, Spending]:
    """Finds the worst of all windows of each budget in one pass, by keeping the lowest earlier balance."""
    spending_by_budget = {}
    for name, terms in budget_terms(events).items():
        spend_events = [event for event in events if event["event"] == "spend" and event["budget"] == name]
        amounts = sorted((event["t_ns"], event["amount"]) for event in spend_events)
        per_ns = terms.per_s * (1 + terms.drift) / NS_PER_S
        total, excess, window = 0.0, 0.0, (0, 0)
        lowest_balance, lowest_at = float("inf"), 0
        for at, amount in amounts:
            if total - per_ns * at < lowest_balance:
                lowest_balance, lowest_at = total - per_ns * at, at
            total += amount
            if total - per_ns * at - lowest_balance > excess:
                excess, window = total - per_ns * at - lowest_balance, (lowest_at, at)
        spending_by_budget[name] = Spending(terms, total, excess, window)
    return spending_by_budget


def find_overspending(events: list[Event]) -> list[Finding]:
    """Reports budgets that were overspent in any window. This covers every subset of the nodes as well, since
    a subset spends no more than all nodes."""
    return [
        Finding(
            "a budget of the fleet is overspent",
            budget_spending.window[0],
            -1,
            -1,
            f"{name}: in {(budget_spending.window[1] - budget_spending.window[0]) / NS_PER_S:.2f} s "
            f"{budget_spending.excess_tokens:.1f} more than "
            f"{budget_spending.terms.per_s:g}/s; {budget_spending.allowed_excess():.1f} may be saved up",
        )  # fmt: skip
        for name, budget_spending in spending(events).items()
        if budget_spending.excess_tokens
        > budget_spending.allowed_excess() * (1 + budget_spending.terms.drift) + 1e-6
    ]


def find_double_holders(events: list[Event]) -> list[Finding]:
    """Reports shares with two holders: borrowers together must never hold more shares of a home node than it
    has lent, and the shares with which a process of the home node starts must not be held by others."""
    findings = []
    for name, terms in budget_terms(events).items():
        lent = _loan_spans(events, name, ("lent", "extended"), "returned")
        borrowed = _loan_spans(events, name, ("took", "renewed"), "gave")
        by_home: dict[int, list[ShareChange]] = defaultdict(list)
        for home, spans, is_lent in [
            *((home, spans, True) for (home, *_), spans in lent.items()),
            *((home, spans, False) for (home, *_), spans in borrowed.items()),
        ]:
            for begin, end, shares in spans:
                for at, change in ((begin, shares), (end, -shares)):
                    by_home[home].append((at, change if is_lent else 0, 0 if is_lent else change, 0))
        for event in events:
            if event["event"] == "budget" and event["budget"] == name:
                by_home[event["node"]].append((event["t_ns"], 0, 0, event["own"]))
        for home, changes in sorted(by_home.items()):
            finding = _first_excess(name, home, terms, changes)
            if finding is not None:
                findings.append(finding)
    return findings


def _first_excess(name: str, home: int, terms: BudgetTerms, changes: list[ShareChange]) -> Finding | None:
    # Of events at the same time, a lender's loan begins before the borrower's and ends after it.
    changes.sort(
        key=lambda entry: (entry[0], (0 if entry[1] > 0 else 1 if entry[2] < 0 else 2 if entry[2] > 0 else 3))
    )
    lent_shares = held_shares = 0
    for at, lent_change, held_change, own in changes:
        lent_shares, held_shares = lent_shares + lent_change, held_shares + held_change
        if held_shares + own > terms.shares:
            return Finding(
                "a share of a budget has two holders", at, home, -1,
                f"{name}: others hold {held_shares} of {terms.shares} shares of node {home}, and it {own}",
            )  # fmt: skip
        if held_shares > lent_shares or lent_shares > terms.shares:
            return Finding(
                "a share of a budget has two holders", at, home, -1,
                f"{name}: others hold {held_shares} shares of node {home}, "
                f"which has lent {lent_shares} of {terms.shares}",
            )  # fmt: skip
    return None


def _loan_spans(
    events: list[Event], name: str, begin_events: tuple[str, str], end_event: str
) -> dict[tuple[int, int, int], list[tuple[int, int, int]]]:
    """Returns when each loan was outstanding and for how many shares, by home node, its generation and the
    loan's number, as recorded by the lender or by the borrower."""
    begin_event, extend_event = begin_events
    spans_by_loan: dict[tuple[int, int, int], list[tuple[int, int, int]]] = {}
    for event in sorted(
        (event for event in events if event["event"] == "right"), key=lambda event: event["t_ns"]
    ):
        if event["budget"] != name:
            continue
        home = event["node"] if begin_event == "lent" else event["other"]
        key = (home, event["lender_life"], event["loan"])
        at, until, shares = event["t_ns"], event["until_ns"], event["shares"]
        if event["what"] == begin_event or (event["what"] == extend_event and key not in spans_by_loan):
            spans_by_loan.setdefault(key, []).append((at, until, shares))
        elif event["what"] == extend_event:
            begin, end, shares = spans_by_loan[key][-1]
            spans_by_loan[key][-1] = (begin, max(end, until), shares)
        elif event["what"] == end_event and key in spans_by_loan:
            begin, _, shares = spans_by_loan[key][-1]
            spans_by_loan[key][-1] = (begin, at, shares)
    return spans_by_loan


def check(events: list[Event]) -> list[Finding]:
    """Returns all findings on budgets."""
    return [*find_overspending(events), *find_double_holders(events)]
