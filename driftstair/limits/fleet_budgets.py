"""Where routes spend on a budget of the fleet, and what of it can't be meant. Pure."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from difflib import get_close_matches

from driftstair.limits.findings import Finding
from driftstair.service.load import LoadedService
from driftstair.service.schema import Budget, Rate, Route

Place = tuple[str | int, ...]


def budget_references(route: Route) -> Iterator[tuple[tuple[str, ...], Budget | Rate]]:
    """The tables of a route that may name a budget of the fleet, by their path in it."""
    if route.retry.budget is not None:
        yield ("retry", "budget"), route.retry.budget
    if route.copy_ is not None:
        yield ("copy", "budget"), route.copy_.budget
    if route.admit.rate is not None:
        yield ("admit", "rate"), route.admit.rate


def spent_by(loaded: LoadedService) -> Iterator[tuple[Place, str]]:
    """Where a budget of the fleet is named in a file, and its name."""
    for index, route in enumerate(loaded.service.route):
        for path, one in budget_references(route):
            if one.fleet is not None:
                yield ("route", index, *path, "fleet"), one.fleet


def budget_findings(route: Route, known: Collection[str]) -> Iterator[Finding]:
    """What a route says of budgets of the fleet; `known` are the names of those that there are."""
    for path, one in budget_references(route):
        if one.fleet is None:
            if isinstance(one, Rate) and one.per_s is None:
                yield Finding(path, "wants per_s, or fleet and the name of a budget of the fleet")
            continue
        others = sorted(one.model_fields_set - {"fleet"})
        if others:
            yield Finding(
                (*path, others[0]), f"says nothing beside fleet = {one.fleet!r}, whose figures stand in "
                f"[tier.budgets]", instead="one of the two",
            )  # fmt: skip
        if one.fleet not in known:
            near = get_close_matches(one.fleet, known, 1) or sorted(known)[:1]
            yield Finding(
                (*path, "fleet"), f"{one.fleet}: no such table in [tier.budgets]",
                instead=f'"{near[0]}"' if near else f"a table [tier.budgets.{one.fleet}]",
            )  # fmt: skip
