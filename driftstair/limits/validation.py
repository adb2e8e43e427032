"""Reasons over a whole service file before it is used: every problem, with the figure that shows it.

An error is a file that could break a rule, or that can't do what it says; a warning is one that will hardly
do what was meant. Without the platform's configuration only what the file says of itself is judged. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from itertools import product

from driftstair.limits.findings import Finding, Platform, ValidationContext, format_number
from driftstair.limits.overlap import MeetingTemplates, can_meet, cells, is_wider
from driftstair.limits.route_rules import route_findings
from driftstair.limits.routes import Pattern
from driftstair.service.load import LoadedService, Problem

__all__ = ["Platform", "find_problems"]

SHADOWS_JUDGED_MAX = 400  # routes: what covers what takes a look at each pair


def find_problems(loaded: LoadedService, platform: Platform | None) -> list[Problem]:
    """All problems, in the order of the file."""
    found = list(_Proof(loaded, platform).problems())
    return sorted(found, key=lambda one: (one.line, one.key, one.why))


class _Proof:
    def __init__(self, loaded: LoadedService, platform: Platform | None) -> None:
        self.loaded = loaded
        self.routes = loaded.service.route
        self.fleet = loaded.service.fleet
        self.platform = platform
        tier = loaded.service.tier
        self.budgets = (tier.budgets or {}) if tier is not None else {}
        self.patterns: list[Pattern | None] = []

    def problems(self) -> Iterator[Problem]:
        yield from self.names()
        yield from self.paths()
        if all(pattern is not None for pattern in self.patterns):
            yield from self.ties_and_shadows()
        given = ValidationContext(self.platform, self.fleet, self.budgets)
        for index, route in enumerate(self.routes):
            for finding in route_findings(route, given):
                yield self.problem(index, finding)
        yield from self.sums()

    def at(self, index: int, *path: str) -> tuple[str | int, ...]:
        return ("route", index, *path)

    def problem(self, index: int, finding: Finding) -> Problem:
        return self.loaded.problem(
            self.at(index, *finding.path), finding.why, finding.rule, finding.instead, finding.warning
        )

    # Names, ties and routes that can never match.

    def names(self) -> Iterator[Problem]:
        seen: dict[str, int] = {}
        for index, route in enumerate(self.routes):
            if route.name in seen:
                yield self.loaded.problem(
                    self.at(index, "name"), f"route {seen[route.name]} is named {route.name!r} too",
                    instead=f'"{route.name}-{index}"',
                )  # fmt: skip
            seen.setdefault(route.name, index)

    def paths(self) -> Iterator[Problem]:
        for index, route in enumerate(self.routes):
            try:
                self.patterns.append(Pattern.of(route.match))
            except ValueError as problem:
                self.patterns.append(None)
                yield self.loaded.problem(self.at(index, "match", "path"), str(problem))

    def ties_and_shadows(self) -> Iterator[Problem]:
        patterns = [pattern for pattern in self.patterns if pattern is not None]
        ranked: dict[object, list[int]] = {}
        for index, pattern in enumerate(patterns):
            ranked.setdefault(pattern.rank(), []).append(index)
        for group in ranked.values():
            yield from self.ties(group, patterns)
        order = sorted(range(len(patterns)), key=lambda index: patterns[index].rank(), reverse=True)
        if len(order) > SHADOWS_JUDGED_MAX:
            return
        for place, index in enumerate(order):
            pattern = patterns[index]
            left = set(cells(pattern, self.platform))
            by: list[str] = []
            for other in order[:place]:
                above = patterns[other]
                if above.rank() > pattern.rank() and is_wider(above, pattern):
                    taken = left & set(cells(above, self.platform))
                    if taken:
                        left -= taken
                        by.append(self.routes[other].name)
                if not left:
                    break
            if by and not left:
                yield self.loaded.problem(
                    self.at(index, "match"),
                    f"can never match: {' and '.join(by)} come before it and take all",
                )

    def ties(self, group: list[int], patterns: list[Pattern]) -> Iterator[Problem]:
        """Within one rank, where keys and paths of one length are equal or apart: only routes of one bucket
        can meet, and of those only some headers tell them apart."""
        buckets: dict[tuple[object, ...], list[int]] = {}
        for index in group:
            pattern = patterns[index]
            path = len(pattern.path.parts) if pattern.path.shape == 2 else pattern.path.text
            for cell in product(pattern.classes or ("",), pattern.tenants or ("",), pattern.methods or ("",)):
                buckets.setdefault((path, pattern.key, *cell), []).append(index)
        reported: set[tuple[int, int]] = set()
        for bucket in buckets.values():
            seen: dict[tuple[tuple[bytes, bytes], ...], int] = {}
            odd: list[int] = []  # those that more than a look-up has to tell apart from others
            names: set[tuple[bytes, ...]] = set()
            templates = MeetingTemplates(patterns[index].path for index in bucket)
            for index in bucket:
                pattern = patterns[index]
                names.add(tuple(name for name, _ in pattern.headers))
                others: Iterable[int]
                if pattern.path.shape == 2:
                    others = templates.add(index, pattern.path)
                elif len(names) == 1 and all(value != b"*" for _, value in pattern.headers):
                    others = [seen[pattern.headers]] if pattern.headers in seen else odd
                else:
                    others = list(seen.values())
                    odd.append(index)
                other = next((one for one in others if can_meet(patterns[one], pattern)), None)
                if other is not None and (other, index) not in reported:
                    reported.add((other, index))
                    yield self.loaded.problem(
                        self.at(index, "match"),
                        f"a tie with {self.routes[other].name!r}: a request can match both, and neither is "
                        f"more specific",
                    )  # fmt: skip
                seen.setdefault(pattern.headers, index)

    # What all routes promise together.

    def sums(self) -> Iterator[Problem]:
        fleet = self.fleet.per_s
        nodes = self.platform.settings.nodes if self.platform else 1
        if fleet is None:
            return
        total = 0.0
        for index, route in enumerate(self.routes):
            rate = route.admit.rate
            if rate is None:
                continue
            if rate.per_s is None:
                its = self.budgets.get(rate.fleet or "")
                total += its.per_s if its is not None else 0.0
                continue
            buckets = len(self.platform.tenants) if self.platform and rate.by == "tenant" else 1
            total += rate.per_s * max(1, buckets) * nodes
            if total > fleet:
                over = (total - fleet) / (nodes * max(1, buckets))
                yield self.loaded.problem(
                    self.at(index, "admit", "rate", "per_s"),
                    f"with the routes before it {total:g} requests a second are promised over {nodes} "
                    f"nodes; the fleet carries {fleet:g}",
                    instead=format_number(round(max(0.0, rate.per_s - over), 2)),
                )  # fmt: skip
                return
