"""What the rules over several routes need of each, and the sums of it over all routes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from fractions import Fraction

from driftstair.limits.findings import ValidationContext
from driftstair.limits.fleet_budgets import budget_references
from driftstair.limits.routes import Pattern
from driftstair.service.schema import FleetBudget, Route


@dataclass(frozen=True, slots=True)
class RouteFacts:
    """One route, as far as others are judged with it."""

    pattern: Pattern
    promised_per_s: Fraction  # requests over all nodes, by the route's own rate
    spends_on: frozenset[str]  # budgets of the fleet
    rate_budget: str | None  # that its rate is
    retry_budget: str | None  # that its retries spend, if it makes any

    @staticmethod
    def of(route: Route, given: ValidationContext) -> RouteFacts:
        """Raises ValueError for a path that is none."""
        rate, retry = route.admit.rate, route.retry
        attempts = retry.attempts if retry.attempts is not None else given.max_attempts
        budgets = (one.fleet for _, one in budget_references(route))
        return RouteFacts(
            Pattern.of(route.match), _promised(route, given),
            frozenset(name for name in budgets if name is not None),
            rate.fleet if rate is not None and rate.per_s is None else None,
            retry.budget.fleet if retry.budget is not None and attempts > 1 else None,
        )  # fmt: skip


def _promised(route: Route, given: ValidationContext) -> Fraction:
    rate = route.admit.rate
    if rate is None or rate.per_s is None:
        return Fraction(0)
    nodes = given.platform.settings.nodes if given.platform else 1
    buckets = len(given.platform.tenants) if given.platform and rate.by == "tenant" else 1
    return Fraction(rate.per_s) * max(1, buckets) * nodes


@dataclass(slots=True)
class RouteSums:
    """Over routes; exact, so that what was added and taken away again leaves nothing behind."""

    promised_per_s: Fraction = Fraction(0)
    spending: Counter[str] = field(default_factory=Counter)  # routes, by budget of the fleet
    rates: Counter[str] = field(default_factory=Counter)
    retrying: Counter[str] = field(default_factory=Counter)

    def add(self, facts: RouteFacts, sign: int = 1) -> None:
        self.promised_per_s += sign * facts.promised_per_s
        for budget in facts.spends_on:
            self.spending[budget] += sign
        if facts.rate_budget is not None:
            self.rates[facts.rate_budget] += sign
        if facts.retry_budget is not None:
            self.retrying[facts.retry_budget] += sign

    def remove(self, facts: RouteFacts) -> None:
        self.add(facts, -1)

    def plus(self, other: RouteSums) -> RouteSums:
        """Both together."""
        together = RouteSums(self.promised_per_s + other.promised_per_s)
        for mine, its, sums in (
            (self.spending, other.spending, together.spending),
            (self.rates, other.rates, together.rates),
            (self.retrying, other.retrying, together.retrying),
        ):
            sums.update(mine)
            sums.update(its)
        return together

    def total_per_s(self, budgets: Mapping[str, FleetBudget]) -> Fraction:
        """What all routes promise, those by a budget of the fleet included."""
        by_budgets = (Fraction(one.per_s) * self.rates[name] for name, one in budgets.items())
        return self.promised_per_s + sum(by_budgets)
