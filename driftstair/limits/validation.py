"""Validates a whole service file before it is used and reports every problem with the values that cause it.

An error is a setting that could break a rule or cannot take effect; a warning is a setting that is unlikely
to have the intended effect. Without the platform's configuration only the file itself is checked. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import product

from driftstair.limits.findings import Finding, Platform, ValidationContext, format_number
from driftstair.limits.overlap import OverlappingTemplates, can_overlap, cells, is_at_least_as_wide
from driftstair.limits.route_rules import route_findings
from driftstair.limits.routes import Pattern
from driftstair.service.load import LoadedService, Problem

__all__ = ["Platform", "find_problems"]

MAX_ROUTES_FOR_SHADOW_CHECK = 400  # the check for covered routes compares all pairs


def find_problems(loaded: LoadedService, platform: Platform | None) -> list[Problem]:
    """All problems, in file order."""
    problems = list(_Validator(loaded, platform).problems())
    return sorted(problems, key=lambda problem: (problem.line, problem.key, problem.why))


class _Validator:
    def __init__(self, loaded: LoadedService, platform: Platform | None) -> None:
        self.loaded = loaded
        self.routes = loaded.service.route
        self.fleet = loaded.service.fleet
        self.platform = platform
        tier = loaded.service.tier
        self.budgets = (tier.budgets or {}) if tier is not None else {}
        self.patterns: list[Pattern | None] = []

    def problems(self) -> Iterator[Problem]:
        yield from self.duplicate_names()
        yield from self.invalid_paths()
        if all(pattern is not None for pattern in self.patterns):
            yield from self.ties_and_shadows()
        context = ValidationContext(self.platform, self.fleet, self.budgets)
        for index, route in enumerate(self.routes):
            for finding in route_findings(route, context):
                yield self.problem(index, finding)
        yield from self.excess_rates()

    def key_path(self, index: int, *path: str) -> tuple[str | int, ...]:
        return ("route", index, *path)

    def problem(self, index: int, finding: Finding) -> Problem:
        return self.loaded.problem(
            self.key_path(index, *finding.path), finding.why, finding.rule, finding.instead, finding.warning
        )

    # Duplicate names, invalid paths, ties and routes that can never match.

    def duplicate_names(self) -> Iterator[Problem]:
        seen: dict[str, int] = {}
        for index, route in enumerate(self.routes):
            if route.name in seen:
                yield self.loaded.problem(
                    self.key_path(index, "name"), f"route {seen[route.name]} is named {route.name!r} too",
                    instead=f'"{route.name}-{index}"',
                )  # fmt: skip
            seen.setdefault(route.name, index)

    def invalid_paths(self) -> Iterator[Problem]:
        for index, route in enumerate(self.routes):
            try:
                self.patterns.append(Pattern.of(route.match))
            except ValueError as problem:
                self.patterns.append(None)
                yield self.loaded.problem(self.key_path(index, "match", "path"), str(problem))

    def ties_and_shadows(self) -> Iterator[Problem]:
        patterns = [pattern for pattern in self.patterns if pattern is not None]
        ranked: dict[object, list[int]] = {}
        for index, pattern in enumerate(patterns):
            ranked.setdefault(pattern.rank(), []).append(index)
        for group in ranked.values():
            yield from self.ties(group, patterns)
        order = sorted(range(len(patterns)), key=lambda index: patterns[index].rank(), reverse=True)
        if len(order) > MAX_ROUTES_FOR_SHADOW_CHECK:
            return
        for position, index in enumerate(order):
            pattern = patterns[index]
            uncovered = set(cells(pattern, self.platform))
            covering: list[str] = []
            for other in order[:position]:
                above = patterns[other]
                if above.rank() > pattern.rank() and is_at_least_as_wide(above, pattern):
                    covered = uncovered & set(cells(above, self.platform))
                    if covered:
                        uncovered -= covered
                        covering.append(self.routes[other].name)
                if not uncovered:
                    break
            if covering and not uncovered:
                yield self.loaded.problem(
                    self.key_path(index, "match"),
                    f"can never match: {' and '.join(covering)} come before it and take all",
                )

    def ties(self, group: list[int], patterns: list[Pattern]) -> Iterator[Problem]:
        """Ties among routes of one rank. Keys and paths of the same length are equal or disjoint, so only
        routes in the same bucket can overlap, and of those only headers or templates can tell some apart."""
        buckets: dict[tuple[object, ...], list[int]] = {}
        for index in group:
            pattern = patterns[index]
            path = len(pattern.path.parts) if pattern.path.shape == 2 else pattern.path.text
            for cell in product(pattern.classes or ("",), pattern.tenants or ("",), pattern.methods or ("",)):
                buckets.setdefault((path, pattern.key, *cell), []).append(index)
        reported: set[tuple[int, int]] = set()
        for bucket in buckets.values():
            seen: dict[tuple[tuple[bytes, bytes], ...], int] = {}
            needs_comparison: list[int] = []  # routes that a look-up by headers is not enough for
            header_names: set[tuple[bytes, ...]] = set()
            templates = OverlappingTemplates(patterns[index].path for index in bucket)
            for index in bucket:
                pattern = patterns[index]
                header_names.add(tuple(name for name, _ in pattern.headers))
                others: Iterable[int]
                if pattern.path.shape == 2:
                    others = templates.add(index, pattern.path)
                elif len(header_names) == 1 and all(value != b"*" for _, value in pattern.headers):
                    others = [seen[pattern.headers]] if pattern.headers in seen else needs_comparison
                else:
                    others = list(seen.values())
                    needs_comparison.append(index)
                other = next(
                    (candidate for candidate in others if can_overlap(patterns[candidate], pattern)), None
                )
                if other is not None and (other, index) not in reported:
                    reported.add((other, index))
                    yield self.loaded.problem(
                        self.key_path(index, "match"),
                        f"a tie with {self.routes[other].name!r}: a request can match both, and neither is "
                        f"more specific",
                    )  # fmt: skip
                seen.setdefault(pattern.headers, index)

    # The sum of the rates of all routes.

    def excess_rates(self) -> Iterator[Problem]:
        fleet_per_s = self.fleet.per_s
        nodes = self.platform.settings.nodes if self.platform else 1
        if fleet_per_s is None:
            return
        total = 0.0
        for index, route in enumerate(self.routes):
            rate = route.admit.rate
            if rate is None:
                continue
            if rate.per_s is None:
                fleet_budget = self.budgets.get(rate.fleet or "")
                total += fleet_budget.per_s if fleet_budget is not None else 0.0
                continue
            buckets = len(self.platform.tenants) if self.platform and rate.by == "tenant" else 1
            total += rate.per_s * max(1, buckets) * nodes
            if total > fleet_per_s:
                over = (total - fleet_per_s) / (nodes * max(1, buckets))
                yield self.loaded.problem(
                    self.key_path(index, "admit", "rate", "per_s"),
                    f"with the routes before it {total:g} requests a second are promised over {nodes} "
                    f"nodes; the fleet carries {fleet_per_s:g}",
                    instead=format_number(round(max(0.0, rate.per_s - over), 2)),
                )  # fmt: skip
                return
