"""A change set while it is judged: what it would change, and what is wrong with it."""

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

# Of one route, so that no step of a check is long. Each combination is a line of the index.
CELLS_MAX = 64  # combinations of class, tenant and method
HEADERS_MAX = 16
PATH_LETTERS_MAX = 1_024
PATH_PARTS_MAX = 32


class Violation(NamedTuple):
    """What is wrong with a resource as a change set would leave it."""

    resource: ResourceKey
    where: str  # the path of a key in its content; "$" for the whole
    why: str


# Of change sets without routes, most of them tenants: nothing is ever added to these.
NO_ROUTES = RouteIndex()
NO_SUMS = RouteSums()


class RouteChange(NamedTuple):
    """A route of a change set. None: there was none, or there will be none."""

    before: RouteFacts | None
    after: RouteFacts | None


@dataclass(slots=True)
class Assessment:
    change_set: ChangeSet
    budgets: dict[str, FleetBudget]  # all that there would be
    staged: RouteIndex  # the routes that it puts
    view: RouteView  # all routes as they would be
    sums: RouteSums  # the difference that it makes
    violations: list[Violation] = field(default_factory=list)
    routes: dict[str, RouteChange] = field(default_factory=dict)

    @staticmethod
    def of(change_set: ChangeSet, routes: RouteIndex, budgets: Mapping[str, FleetBudget]) -> Assessment:
        """`routes` and `budgets` are those in force."""
        changed = {one.name for one in change_set.changes if one.kind is ResourceKind.ROUTE}
        staged, sums = (RouteIndex(), RouteSums()) if changed else (NO_ROUTES, NO_SUMS)
        view = RouteView(routes, changed, staged)
        return Assessment(change_set, dict(budgets), staged, view, sums)

    def touches_rules_over_routes(self) -> bool:
        """Whether sums and budgets can be others than they were."""
        kinds = (change.kind for change in self.change_set.changes)
        return bool(self.routes) or ResourceKind.BUDGET in kinds

    def violate(self, key: ResourceKey, where: str, why: str) -> None:
        self.violations.append(Violation(key, where, why))

    def parse(self, change: Change) -> Table | None:
        """A content by the schema of its kind; what is wrong with it is a violation."""
        try:
            return parse_content(change.key, bytes(change.content))
        except ContentError as problem:
            for fault in problem.faults:
                self.violate(change.key, fault.where, fault.why)
            return None

    def facts(self, key: ResourceKey, route: Route, given: ValidationContext) -> RouteFacts | None:
        """Of a route that can be indexed; what stands in the way is a violation."""
        fault = oversize(route.match)
        if fault is not None:
            self.violate(key, fault.where, fault.why)
            return None
        try:
            return RouteFacts.of(route, given)
        except ValueError as problem:
            self.violate(key, "match.path", str(problem))
            return None


def oversize(match: Match) -> Fault | None:
    """What of a match would make too many or too long lines in the index."""
    cells = 1
    for names in (match.classes, match.tenant, match.method):
        cells *= max(1, len(set(names or ())))
    path = match.path or ""
    for where, count, most, what in (
        ("match", cells, CELLS_MAX, "combinations of class, tenant and method"),
        ("match.header", len(match.header), HEADERS_MAX, "headers"),
        ("match.path", len(path), PATH_LETTERS_MAX, "letters"),
        ("match.path", path.count("/"), PATH_PARTS_MAX, "parts"),
    ):
        if count > most:
            return Fault(where, f"names {count:,} {what}; {most:,} at most would do")
    return None


def explained(finding: Finding) -> str:
    """A finding in one line, without its path."""
    rule = f" (would break: {finding.rule})" if finding.rule else ""
    instead = f"; {finding.instead} would do" if finding.instead else ""
    return f"{finding.why}{rule}{instead}"
