"""What the rules over several routes need to know of each route, and the sums over all routes."""

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
    """The properties of one route that the rules over several routes depend on."""

    pattern: Pattern
    promised_per_s: Fraction  # requests over all nodes, by the route's own rate
    referenced_budgets: frozenset[str]  # names of budgets of the fleet
    rate_budget: str | None  # the budget of the fleet that is the route's rate
    retry_budget: str | None  # the budget of the fleet that its retries spend, if it makes any

    @staticmethod
    def from_route(route: Route, context: ValidationContext) -> RouteFacts:
        """Extracts the facts of a route. Raises ValueError if its path is invalid."""
        rate, retry = route.admit.rate, route.retry
        attempts = retry.attempts if retry.attempts is not None else context.max_attempts
        budgets = (table.fleet for _, table in budget_references(route))
        return RouteFacts(
            Pattern.of(route.match), _promised_rate(route, context),
            frozenset(name for name in budgets if name is not None),
            rate.fleet if rate is not None and rate.per_s is None else None,
            retry.budget.fleet if retry.budget is not None and attempts > 1 else None,
        )  # fmt: skip


def _promised_rate(route: Route, context: ValidationContext) -> Fraction:
    rate = route.admit.rate
    if rate is None or rate.per_s is None:
        return Fraction(0)
    nodes = context.platform.settings.nodes if context.platform else 1
    buckets = len(context.platform.tenants) if context.platform and rate.by == "tenant" else 1
    return Fraction(rate.per_s) * max(1, buckets) * nodes


@dataclass(slots=True)
class RouteSums:
    """Sums over routes. They are exact, so that adding and removing a route leaves no rounding error."""

    promised_per_s: Fraction = Fraction(0)
    # Numbers of routes by the budget of the fleet that they use: in any way, as their rate, for retries.
    referencing_routes: Counter[str] = field(default_factory=Counter)
    rate_routes: Counter[str] = field(default_factory=Counter)
    retrying_routes: Counter[str] = field(default_factory=Counter)

    def add(self, facts: RouteFacts, sign: int = 1) -> None:
        """Adds a route to the sums, or removes it with `sign` -1."""
        self.promised_per_s += sign * facts.promised_per_s
        for budget in facts.referenced_budgets:
            self.referencing_routes[budget] += sign
        if facts.rate_budget is not None:
            self.rate_routes[facts.rate_budget] += sign
        if facts.retry_budget is not None:
            self.retrying_routes[facts.retry_budget] += sign

    def remove(self, facts: RouteFacts) -> None:
        """Removes a route from the sums."""
        self.add(facts, -1)

    def combined_with(self, other: RouteSums) -> RouteSums:
        """Returns the sums over the routes of both."""
        combined = RouteSums(self.promised_per_s + other.promised_per_s)
        for own_counts, other_counts, combined_counts in (
            (self.referencing_routes, other.referencing_routes, combined.referencing_routes),
            (self.rate_routes, other.rate_routes, combined.rate_routes),
            (self.retrying_routes, other.retrying_routes, combined.retrying_routes),
        ):
            combined_counts.update(own_counts)
            combined_counts.update(other_counts)
        return combined

    def promised_total_per_s(self, budgets: Mapping[str, FleetBudget]) -> Fraction:
        """Returns the rate that all routes promise, including those whose rate is a budget of the fleet."""
        budget_rates = (Fraction(budget.per_s) * self.rate_routes[name] for name, budget in budgets.items())
        return self.promised_per_s + sum(budget_rates)
