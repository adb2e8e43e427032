"""References from routes to fleet-wide budgets, and their validation. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from difflib import get_close_matches

from driftstair.limits.findings import Finding
from driftstair.service.load import LoadedService
from driftstair.service.schema import Budget, Rate, Route

KeyPath = tuple[str | int, ...]


def budget_references(route: Route) -> Iterator[tuple[tuple[str, ...], Budget | Rate]]:
    """The tables of a route that can name a fleet budget, each with its path in the route."""
    if route.retry.budget is not None:
        yield ("retry", "budget"), route.retry.budget
    if route.copy_ is not None:
        yield ("copy", "budget"), route.copy_.budget
    if route.admit.rate is not None:
        yield ("admit", "rate"), route.admit.rate


def fleet_budget_uses(loaded: LoadedService) -> Iterator[tuple[KeyPath, str]]:
    """The key of each reference to a fleet budget in a file, with the name of the budget."""
    for index, route in enumerate(loaded.service.route):
        for path, table in budget_references(route):
            if table.fleet is not None:
                yield ("route", index, *path, "fleet"), table.fleet


def budget_findings(route: Route, known: Collection[str]) -> Iterator[Finding]:
    """Finds invalid references to fleet budgets in a route; `known` holds the names of all fleet budgets."""
    for path, table in budget_references(route):
        if table.fleet is None:
            if isinstance(table, Rate) and table.per_s is None:
                yield Finding(path, "wants per_s, or fleet and the name of a budget of the fleet")
            continue
        other_keys = sorted(table.model_fields_set - {"fleet"})
        if other_keys:
            yield Finding(
                (*path, other_keys[0]), f"says nothing beside fleet = {table.fleet!r}, whose figures stand "
                f"in [tier.budgets]", instead="one of the two",
            )  # fmt: skip
        if table.fleet not in known:
            closest = get_close_matches(table.fleet, known, 1) or sorted(known)[:1]
            yield Finding(
                (*path, "fleet"), f"{table.fleet}: no such table in [tier.budgets]",
                instead=f'"{closest[0]}"' if closest else f"a table [tier.budgets.{table.fleet}]",
            )  # fmt: skip
