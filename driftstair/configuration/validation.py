"""Incremental validation of a change set, which examines only what the change set affects.

The rules for one route are those of `driftstair.limits.route_rules`. Names, ties and shadows are checked by
look-ups in a route index, promised rates and uses of budgets by running sums. So the cost depends on the size
of the change set and on the number of routes that overlap those in it, not on the number of all routes.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator, Mapping
from typing import Protocol, TypeVar

from driftstair.configuration.assessment import (
    Assessment,
    RouteChange,
    Violation,
    describe_finding,
    find_size_fault,
)
from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.route_facts import RouteFacts, RouteSums
from driftstair.configuration.route_index import RouteIndex
from driftstair.configuration.schema import CONTENT_ROOT, ContentError, parse_route
from driftstair.configuration.state import ConfigurationState
from driftstair.limits.findings import Platform, ValidationContext
from driftstair.limits.route_rules import cold_burst_findings, route_findings
from driftstair.service.load import format_path
from driftstair.service.schema import Budget, FleetBudget, Retry, Route, Service

__all__ = ["Contents", "IncrementalValidator", "Violation", "run"]

BUDGETS_MAX = 32  # of the fleet; the bound of [tier.budgets]
EMPTY_SERVICE = Service(version=1)

Result = TypeVar("Result")


class Contents(Protocol):
    """The resources in force, by key."""

    def content(self, key: ResourceKey) -> bytes | None: ...


class IncrementalValidator:
    """Holds indexes over the resources in force. `node_service` is the node's own service file: its fleet
    settings apply here too, and its names are reserved. `contents`: the resources in force, if the caller
    keeps them; `apply` then has to be called before they change there."""

    def __init__(
        self,
        platform: Platform | None,
        node_service: Service = EMPTY_SERVICE,
        contents: Contents | None = None,
    ) -> None:
        self.routes = RouteIndex()
        self.budgets: dict[str, FleetBudget] = {}
        self._platform = platform
        self._node_service = node_service
        self._own_state = ConfigurationState()  # stays empty if the caller keeps the resources
        self._keeps_state = contents is None
        self._contents: Contents = self._own_state if contents is None else contents
        self._sums = RouteSums()
        self._reserved_keys = {
            *(ResourceKey(ResourceKind.ROUTE, route.name) for route in node_service.route),
            *(ResourceKey(ResourceKind.BUDGET, name) for name in _budgets_of(node_service)),
        }
        self._node_promised_per_s = self._sum_node_promises()

    def check(self, change_set: ChangeSet) -> list[Violation]:
        """Returns the violations of a change set. Changes nothing."""
        return run(self.assess_in_steps(change_set)).violations

    def apply(self, change_set: ChangeSet) -> None:
        """Applies a change set that was checked. A content that does not conform to its schema is kept but
        left out of all rules; only a change set that was not checked can hold one."""
        for _ in self.apply_assessment_in_steps(run(self.assess_in_steps(change_set, check_rules=False))):
            pass

    def assess_in_steps(
        self, change_set: ChangeSet, check_rules: bool = True
    ) -> Generator[None, None, Assessment]:
        """`check` in steps of under a millisecond. Nothing may be applied between the steps."""
        assessment = Assessment.for_change_set(change_set, self.routes, self.budgets)
        yield from self._stage_budgets(assessment)
        for change in change_set.changes:
            if check_rules and change.key in self._reserved_keys and not change.deletes:
                assessment.add_violation(
                    change.key, CONTENT_ROOT, "the node's own service file has one of this name"
                )
            if change.kind is ResourceKind.ROUTE:
                yield from self._stage_route(assessment, change, check_rules)
            elif check_rules and change.kind is not ResourceKind.BUDGET and not change.deletes:
                assessment.parse_change(change)
            yield
        if check_rules:
            yield from self._check_shadows(assessment)
            if assessment.affects_cross_route_rules():
                self._check_budgets(assessment)
                self._check_promised_rate(assessment)
        return assessment

    def apply_assessment_in_steps(self, assessment: Assessment) -> Iterator[None]:
        """Applies an assessed change set to the indexes, in steps. Until the last step the routes that it
        changes have to be looked up in `assessment.staged`, because the index holds some of them in the old
        and some in the new form."""
        self.budgets = assessment.budgets
        if assessment.routes:
            self._sums = self._sums.combined_with(assessment.sums)
        for name, change in assessment.routes.items():
            if change.before is not None:
                self.routes.remove(name, change.before.pattern)
            if change.after is not None:
                self.routes.add(name, change.after.pattern)
            yield
        if self._keeps_state:
            logged = LoggedChangeSet(self._own_state.revision + 1, assessment.change_set)
            yield from self._own_state.apply_in_steps(logged)

    # Staging.

    def _stage_budgets(self, assessment: Assessment) -> Generator[None, None, None]:
        for change in assessment.change_set.changes:
            if change.kind is not ResourceKind.BUDGET:
                continue
            assessment.budgets.pop(change.name, None)
            budget = None if change.deletes else assessment.parse_change(change)
            if isinstance(budget, FleetBudget):
                assessment.budgets[change.name] = budget
            yield

    def _stage_route(
        self, assessment: Assessment, change: Change, check_rules: bool
    ) -> Generator[None, None, None]:
        context = self._context_for(assessment)
        before = self._facts_in_force(change.key, context)
        route = None if change.deletes else assessment.parse_change(change)
        after = assessment.route_facts(change.key, route, context) if isinstance(route, Route) else None
        assessment.routes[change.name] = RouteChange(before, after)
        if before is not None:
            assessment.sums.remove(before)
        if after is None or not isinstance(route, Route):
            return
        assessment.sums.add(after)
        if check_rules:
            for finding in route_findings(route, context):
                if not finding.warning:
                    assessment.add_violation(change.key, format_path(finding.path), describe_finding(finding))
            yield
            yield from self._check_tie(assessment, change.key, after)
        assessment.staged.add(change.name, after.pattern)

    def _context_for(self, assessment: Assessment) -> ValidationContext:
        return ValidationContext(self._platform, self._node_service.fleet, assessment.budgets)

    def _facts_in_force(self, key: ResourceKey, context: ValidationContext) -> RouteFacts | None:
        content = self._contents.content(key)
        if content is None:
            return None
        try:
            route = parse_route(key.name, content)
            return None if find_size_fault(route.match) else RouteFacts.from_route(route, context)
        except (ContentError, ValueError):
            return None  # not in the indexes either, see `apply`

    # Rules over several resources.

    def _check_tie(
        self, assessment: Assessment, key: ResourceKey, facts: RouteFacts
    ) -> Generator[None, None, None]:
        tied_route = yield from assessment.view.find_tie(facts.pattern)
        if tied_route is not None:
            why = f"a tie with {tied_route!r}: a request can match both, and neither is more specific"
            assessment.add_violation(key, "match", why)

    def _check_shadows(self, assessment: Assessment) -> Generator[None, None, None]:
        """Checks the routes that are put, and the unchanged routes that lose requests to them."""
        checked_names: set[str] = set()
        for name, change in assessment.routes.items():
            if change.after is None:
                continue
            yield from self._check_shadow(assessment, name, change.after)
            for other in assessment.view.find_partly_covered(change.after.pattern, self._platform):
                if other is None or other in checked_names:
                    yield
                    continue
                checked_names.add(other)
                key = ResourceKey(ResourceKind.ROUTE, other)
                facts = self._facts_in_force(key, self._context_for(assessment))
                if facts is not None:
                    yield from self._check_shadow(assessment, other, facts)
            yield

    def _check_shadow(
        self, assessment: Assessment, name: str, facts: RouteFacts
    ) -> Generator[None, None, None]:
        shadowed = yield from assessment.view.is_shadowed(facts.pattern, self._platform)
        if shadowed:
            key = ResourceKey(ResourceKind.ROUTE, name)
            assessment.add_violation(
                key, "match", "can never match: more specific routes take all that it could"
            )

    def _check_budgets(self, assessment: Assessment) -> None:
        """Checks the budgets that the change set changes against the routes that use them."""
        sums = self._sums.combined_with(assessment.sums)
        for change in assessment.change_set.changes:
            if change.kind is not ResourceKind.BUDGET:
                continue
            if change.deletes and sums.referencing_routes[change.name] > 0:
                why = (
                    f"{sums.referencing_routes[change.name]} routes spend on it; those would have to go first"
                )
                assessment.add_violation(change.key, CONTENT_ROOT, why)
            elif sums.retrying_routes[change.name] > 0:
                self._check_cold_burst(assessment, change)
        if len(assessment.budgets) > max(BUDGETS_MAX, len(self.budgets)):
            key = next(key for key in map(_key_of, assessment.change_set.changes) if _is_budget_key(key))
            assessment.add_violation(
                key, CONTENT_ROOT, f"{len(assessment.budgets)} budgets; {BUDGETS_MAX} would do"
            )

    def _check_cold_burst(self, assessment: Assessment, change: Change) -> None:
        """Checks whether routes may still retry on a changed budget, by means of a route that does nothing
        else."""
        route = Route(name="any", retry=Retry(attempts=2, budget=Budget(fleet=change.name)))
        for finding in cold_burst_findings(route, self._context_for(assessment)):
            assessment.add_violation(change.key, "burst", describe_finding(finding))

    def _check_promised_rate(self, assessment: Assessment) -> None:
        allowed = self._node_service.fleet.per_s
        if allowed is None:
            return
        before = self._sums.promised_total_per_s(self.budgets)
        after = self._sums.combined_with(assessment.sums).promised_total_per_s(assessment.budgets)
        if after <= before or after + self._node_promised_per_s <= allowed:
            return
        key = next(
            key for key in map(_key_of, assessment.change_set.changes) if self._promises_rate(assessment, key)
        )
        total = float(after + self._node_promised_per_s)
        why = f"{total:g} requests a second are promised over all nodes; the fleet carries {allowed:g}"
        where = "per_s" if key.kind is ResourceKind.BUDGET else "admit.rate"
        assessment.add_violation(key, where, why)

    def _promises_rate(self, assessment: Assessment, key: ResourceKey) -> bool:
        if key.kind is ResourceKind.BUDGET:
            return key.name in assessment.budgets
        if key.kind is not ResourceKind.ROUTE:
            return False
        after = assessment.routes[key.name].after
        return after is not None and (after.promised_per_s > 0 or after.rate_budget is not None)

    def _sum_node_promises(self) -> float:
        context = ValidationContext(self._platform, self._node_service.fleet, _budgets_of(self._node_service))
        sums = RouteSums()
        for route in self._node_service.route:
            sums.add(RouteFacts.from_route(route, context))
        return float(sums.promised_total_per_s(context.budgets))


def run(steps: Generator[None, None, Result]) -> Result:
    """Runs all steps of a generator and returns its result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            result: Result = stop.value
            return result


def _key_of(change: Change) -> ResourceKey:
    return change.key


def _is_budget_key(key: ResourceKey) -> bool:
    return key.kind is ResourceKind.BUDGET


def _budgets_of(service: Service) -> Mapping[str, FleetBudget]:
    return (service.tier.budgets or {}) if service.tier is not None else {}
