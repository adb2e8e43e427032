"""The assessment of one change set: what it would change, and which rules it would violate."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from driftstair.configuration.change_sets import Change, ChangeSet
from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.route_facts import RouteFacts, RouteSums
from driftstair.configuration.route_index import RouteIndex
from driftstair.configuration.route_overlap import RouteView
from driftstair.configuration.schema import ContentError, Fault, parse_content
from driftstair.limits.findings import Finding, ValidationContext
from driftstair.service.schema import FleetBudget, Match, Route, Table

# Limits of one route, which bound the duration of each step of a check. Each combination is a line of the
# index.
CELLS_MAX = 64  # combinations of class, tenant and method
HEADERS_MAX = 16
PATH_CHARACTERS_MAX = 1_024
PATH_PARTS_MAX = 32


class Violation(NamedTuple):
    """A rule that a resource would violate once the change set is applied."""

    resource: ResourceKey
    where: str  # path of a key in the content; "$" for the whole content
    why: str


# Shared by all change sets without routes, which are most of them. Nothing is ever added to these.
EMPTY_ROUTE_INDEX = RouteIndex()
EMPTY_ROUTE_SUMS = RouteSums()


class RouteChange(NamedTuple):
    """A route before and after a change set. None: the route does not exist at that point, or can't be
    indexed."""

    before: RouteFacts | None
    after: RouteFacts | None


@dataclass(slots=True)
class Assessment:
    """The effect of a change set on routes, budgets and sums, and the violations found so far."""

    change_set: ChangeSet
    budgets: dict[str, FleetBudget]  # all budgets as they would be
    staged: RouteIndex  # the routes that the change set adds or replaces
    view: RouteView  # all routes as they would be
    sums: RouteSums  # the change that it makes to the sums
    violations: list[Violation] = field(default_factory=list)
    routes: dict[str, RouteChange] = field(default_factory=dict)

    @staticmethod
    def for_change_set(
        change_set: ChangeSet, routes: RouteIndex, budgets: Mapping[str, FleetBudget]
    ) -> Assessment:
        """Starts the assessment of a change set. `routes` and `budgets` are those in force."""
        changed_routes = {change.name for change in change_set.changes if change.kind is ResourceKind.ROUTE}
        staged, sums = (
            (RouteIndex(), RouteSums()) if changed_routes else (EMPTY_ROUTE_INDEX, EMPTY_ROUTE_SUMS)
        )
        view = RouteView(routes, changed_routes, staged)
        return Assessment(change_set, dict(budgets), staged, view, sums)

    def affects_cross_route_rules(self) -> bool:
        """Whether the change set can alter sums over routes or budgets, so that the rules over several routes
        have to be checked."""
        kinds = (change.kind for change in self.change_set.changes)
        return bool(self.routes) or ResourceKind.BUDGET in kinds

    def add_violation(self, key: ResourceKey, where: str, why: str) -> None:
        """Records a violation."""
        self.violations.append(Violation(key, where, why))

    def parse_change(self, change: Change) -> Table | None:
        """Parses the content by the schema of its kind. Each fault in it is recorded as a violation."""
        try:
            return parse_content(change.key, bytes(change.content))
        except ContentError as error:
            for fault in error.faults:
                self.add_violation(change.key, fault.where, fault.why)
            return None

    def route_facts(self, key: ResourceKey, route: Route, context: ValidationContext) -> RouteFacts | None:
        """Returns the facts of a route that can be indexed. If it can't be, the reason is recorded as a
        violation."""
        fault = find_size_fault(route.match)
        if fault is not None:
            self.add_violation(key, fault.where, fault.why)
            return None
        try:
            return RouteFacts.from_route(route, context)
        except ValueError as error:
            self.add_violation(key, "match.path", str(error))
            return None


def find_size_fault(match: Match) -> Fault | None:
    """Returns the fault of a match that would need too many or too long lines in the index, else None."""
    cell_count = 1
    for names in (match.classes, match.tenant, match.method):
        cell_count *= max(1, len(set(names or ())))
    path = match.path or ""
    for where, count, limit, unit in (
        ("match", cell_count, CELLS_MAX, "combinations of class, tenant and method"),
        ("match.header", len(match.header), HEADERS_MAX, "headers"),
        ("match.path", len(path), PATH_CHARACTERS_MAX, "letters"),
        ("match.path", path.count("/"), PATH_PARTS_MAX, "parts"),
    ):
        if count > limit:
            return Fault(where, f"names {count:,} {unit}; {limit:,} at most would do")
    return None


def describe_finding(finding: Finding) -> str:
    """Formats a finding as one line, without its path."""
    rule = f" (would break: {finding.rule})" if finding.rule else ""
    suggestion = f"; {finding.instead} would do" if finding.instead else ""
    return f"{finding.why}{rule}{suggestion}"
