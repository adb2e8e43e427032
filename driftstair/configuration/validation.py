"""The proof of a change set, by looking only at what it touches.

The rules of one route are those of `driftstair.limits.route_rules`. Names, ties and shadows are look-ups in
an index of routes; what all routes promise and what budgets they spend on are sums that are kept. So a change
set costs by its own size, and by the routes that stand in its way.
"""

from __future__ import annotations

from collections.abc import Generator, Iterator, Mapping
from typing import Protocol, TypeVar

from driftstair.configuration.assessment import Assessment, RouteChange, Violation, explained, oversize
from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.resources import ResourceKey, ResourceKind
from driftstair.configuration.route_facts import RouteFacts, RouteSums
from driftstair.configuration.route_index import RouteIndex
from driftstair.configuration.schema import WHOLE, ContentError, parse_route
from driftstair.configuration.state import ConfigurationState
from driftstair.limits.findings import Platform, ValidationContext
from driftstair.limits.route_rules import cold_burst_findings, route_findings
from driftstair.service.load import format_path
from driftstair.service.schema import Budget, FleetBudget, Retry, Route, Service

__all__ = ["Contents", "IncrementalValidator", "Violation", "run"]

BUDGETS_MAX = 32  # of the fleet; as [tier.budgets] holds
NO_SERVICE = Service(version=1)

Result = TypeVar("Result")


class Contents(Protocol):
    """The resources in force, by key."""

    def content(self, key: ResourceKey) -> bytes | None: ...


class IncrementalValidator:
    """Holds what is in force and indexes over it. `own` is the node's service file: its figures of the fleet
    hold here too, and its names are taken. `contents`: where the resources in force are, if somebody keeps
    them already; then `apply` comes before they change there."""

    def __init__(
        self, platform: Platform | None, own: Service = NO_SERVICE, contents: Contents | None = None
    ) -> None:
        self.routes = RouteIndex()
        self.budgets: dict[str, FleetBudget] = {}
        self._platform = platform
        self._own = own
        self._kept = ConfigurationState()  # stays empty where somebody else keeps them
        self._keeps = contents is None
        self._contents: Contents = self._kept if contents is None else contents
        self._sums = RouteSums()
        self._own_names = {
            *(ResourceKey(ResourceKind.ROUTE, route.name) for route in own.route),
            *(ResourceKey(ResourceKind.BUDGET, name) for name in _own_budgets(own)),
        }
        self._own_per_s = self._own_promise()

    def check(self, change_set: ChangeSet) -> list[Violation]:
        """What the change set breaks; changes nothing."""
        return run(self.assessing(change_set)).violations

    def apply(self, change_set: ChangeSet) -> None:
        """What was checked is in force. A content that is none of its kind is kept, and left out of all
        rules: only what was not checked can hold one."""
        for _ in self.taking(run(self.assessing(change_set, judge=False))):
            pass

    def assessing(self, change_set: ChangeSet, judge: bool = True) -> Generator[None, None, Assessment]:
        """`check` in steps of under a millisecond. Nothing may be applied in between."""
        assessment = Assessment.of(change_set, self.routes, self.budgets)
        yield from self._stage_budgets(assessment)
        for change in change_set.changes:
            if judge and change.key in self._own_names and not change.deletes:
                assessment.violate(change.key, WHOLE, "the node's own service file has one of this name")
            if change.kind is ResourceKind.ROUTE:
                yield from self._stage_route(assessment, change, judge)
            elif judge and change.kind is not ResourceKind.BUDGET and not change.deletes:
                assessment.parse(change)
            yield
        if judge:
            yield from self._judge_shadows(assessment)
            if assessment.touches_rules_over_routes():
                self._judge_budgets(assessment)
                self._judge_promises(assessment)
        return assessment

    def taking(self, assessment: Assessment) -> Iterator[None]:
        """Takes a change set that was assessed into the indexes, in steps. The routes that it touches are
        found in `assessment.staged` until then; for them the index is neither old nor new."""
        self.budgets = assessment.budgets
        if assessment.routes:
            self._sums = self._sums.plus(assessment.sums)
        for name, change in assessment.routes.items():
            if change.before is not None:
                self.routes.remove(name, change.before.pattern)
            if change.after is not None:
                self.routes.add(name, change.after.pattern)
            yield
        if self._keeps:
            logged = LoggedChangeSet(self._kept.revision + 1, assessment.change_set)
            yield from self._kept.applying(logged)

    # Staging.

    def _stage_budgets(self, assessment: Assessment) -> Generator[None, None, None]:
        for change in assessment.change_set.changes:
            if change.kind is not ResourceKind.BUDGET:
                continue
            assessment.budgets.pop(change.name, None)
            budget = None if change.deletes else assessment.parse(change)
            if isinstance(budget, FleetBudget):
                assessment.budgets[change.name] = budget
            yield

    def _stage_route(
        self, assessment: Assessment, change: Change, judge: bool
    ) -> Generator[None, None, None]:
        given = self._circumstances(assessment)
        before = self._facts_in_force(change.key, given)
        route = None if change.deletes else assessment.parse(change)
        after = assessment.facts(change.key, route, given) if isinstance(route, Route) else None
        assessment.routes[change.name] = RouteChange(before, after)
        if before is not None:
            assessment.sums.remove(before)
        if after is None or not isinstance(route, Route):
            return
        assessment.sums.add(after)
        if judge:
            for finding in route_findings(route, given):
                if not finding.warning:
                    assessment.violate(change.key, format_path(finding.path), explained(finding))
            yield
            yield from self._judge_tie(assessment, change.key, after)
        assessment.staged.add(change.name, after.pattern)

    def _circumstances(self, assessment: Assessment) -> ValidationContext:
        return ValidationContext(self._platform, self._own.fleet, assessment.budgets)

    def _facts_in_force(self, key: ResourceKey, given: ValidationContext) -> RouteFacts | None:
        content = self._contents.content(key)
        if content is None:
            return None
        try:
            route = parse_route(key.name, content)
            return None if oversize(route.match) else RouteFacts.of(route, given)
        except (ContentError, ValueError):
            return None  # never in the indexes either, see `apply`

    # Rules over several resources.

    def _judge_tie(
        self, assessment: Assessment, key: ResourceKey, facts: RouteFacts
    ) -> Generator[None, None, None]:
        other = yield from assessment.view.tie(facts.pattern)
        if other is not None:
            why = f"a tie with {other!r}: a request can match both, and neither is more specific"
            assessment.violate(key, "match", why)

    def _judge_shadows(self, assessment: Assessment) -> Generator[None, None, None]:
        """Of the routes that are put, and of those that they take something of."""
        judged: set[str] = set()
        for name, change in assessment.routes.items():
            if change.after is None:
                continue
            yield from self._judge_shadow(assessment, name, change.after)
            for other in assessment.view.below(change.after.pattern, self._platform):
                if other is None or other in judged:
                    yield
                    continue
                judged.add(other)
                key = ResourceKey(ResourceKind.ROUTE, other)
                facts = self._facts_in_force(key, self._circumstances(assessment))
                if facts is not None:
                    yield from self._judge_shadow(assessment, other, facts)
            yield

    def _judge_shadow(
        self, assessment: Assessment, name: str, facts: RouteFacts
    ) -> Generator[None, None, None]:
        shadowed = yield from assessment.view.is_shadowed(facts.pattern, self._platform)
        if shadowed:
            key = ResourceKey(ResourceKind.ROUTE, name)
            assessment.violate(key, "match", "can never match: more specific routes take all that it could")

    def _judge_budgets(self, assessment: Assessment) -> None:
        """Those that a change set changes, against routes that it does not."""
        sums = self._sums.plus(assessment.sums)
        for change in assessment.change_set.changes:
            if change.kind is not ResourceKind.BUDGET:
                continue
            if change.deletes and sums.spending[change.name] > 0:
                why = f"{sums.spending[change.name]} routes spend on it; those would have to go first"
                assessment.violate(change.key, WHOLE, why)
            elif sums.retrying[change.name] > 0:
                self._judge_cold(assessment, change)
        if len(assessment.budgets) > max(BUDGETS_MAX, len(self.budgets)):
            key = next(key for key in map(_key, assessment.change_set.changes) if _is_budget(key))
            assessment.violate(key, WHOLE, f"{len(assessment.budgets)} budgets; {BUDGETS_MAX} would do")

    def _judge_cold(self, assessment: Assessment, change: Change) -> None:
        """Whether routes may still retry on a budget: by one that does nothing else."""
        route = Route(name="any", retry=Retry(attempts=2, budget=Budget(fleet=change.name)))
        for finding in cold_burst_findings(route, self._circumstances(assessment)):
            assessment.violate(change.key, "burst", explained(finding))

    def _judge_promises(self, assessment: Assessment) -> None:
        allowed = self._own.fleet.per_s
        if allowed is None:
            return
        before = self._sums.total_per_s(self.budgets)
        after = self._sums.plus(assessment.sums).total_per_s(assessment.budgets)
        if after <= before or after + self._own_per_s <= allowed:
            return
        key = next(key for key in map(_key, assessment.change_set.changes) if self._promises(assessment, key))
        total = float(after + self._own_per_s)
        why = f"{total:g} requests a second are promised over all nodes; the fleet carries {allowed:g}"
        where = "per_s" if key.kind is ResourceKind.BUDGET else "admit.rate"
        assessment.violate(key, where, why)

    def _promises(self, assessment: Assessment, key: ResourceKey) -> bool:
        if key.kind is ResourceKind.BUDGET:
            return key.name in assessment.budgets
        if key.kind is not ResourceKind.ROUTE:
            return False
        after = assessment.routes[key.name].after
        return after is not None and (after.promised_per_s > 0 or after.rate_budget is not None)

    def _own_promise(self) -> float:
        given = ValidationContext(self._platform, self._own.fleet, _own_budgets(self._own))
        sums = RouteSums()
        for route in self._own.route:
            sums.add(RouteFacts.of(route, given))
        return float(sums.total_per_s(given.budgets))


def run(steps: Generator[None, None, Result]) -> Result:
    """All steps at once."""
    while True:
        try:
            next(steps)
        except StopIteration as end:
            result: Result = end.value
            return result


def _key(change: Change) -> ResourceKey:
    return change.key


def _is_budget(key: ResourceKey) -> bool:
    return key.kind is ResourceKind.BUDGET


def _own_budgets(own: Service) -> Mapping[str, FleetBudget]:
    return (own.tier.budgets or {}) if own.tier is not None else {}
