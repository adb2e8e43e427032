"""Reasons over a whole service file before it is used: every problem, with the figure that shows it.

An error is a file that could break a rule, or that can't do what it says; a warning is one that will hardly
do what was meant. Without the platform's configuration only what the file says of itself is judged. Pure.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

from driftstair.limits.fleetwide import problems as fleetwide
from driftstair.limits.narrow import MAY_HAVE_RUN, rules_of
from driftstair.limits.routes import Pattern
from driftstair.service.load import Loaded, Problem
from driftstair.service.schema import Route
from driftstair.service.units import shown_duration
from lichenspring import interface as api
from lichenspring.interface import Repeat

MS = 1_000_000
TRANSIT = 5 * MS  # that the node keeps back for its answer to be there in time
LOST = "no request is lost"
TWICE = "no effect happens twice"
COLD = "no cold box is pushed over"
FALL_MULTIPLE, FALL_TIME = 3.0, 1_500 * MS  # where the platform does not tell
FEW = 0.5  # of the fleet's rate: a share of it that one route may promise without a warning


@dataclass(frozen=True, slots=True)
class Platform:
    """What the platform tells, as far as limits have to fit it. Durations in ns."""

    classes: dict[str, api.RequestClass]
    waits: dict[str, int]  # that clients of a class wait at most
    tenants: tuple[str, ...]
    settings: api.Settings
    clients_most: int  # connections of clients that the node may hold
    open_most: int
    multiple: float = FALL_MULTIPLE
    fall_time: int = FALL_TIME


def prove(loaded: Loaded, platform: Platform | None) -> list[Problem]:
    """All problems, in the order of the file."""
    found = list(_Proof(loaded, platform).problems())
    return sorted(found, key=lambda one: (one.line, one.key, one.why))


def _count(value: float) -> str:
    return f"{value:g}"


class _Proof:
    def __init__(self, loaded: Loaded, platform: Platform | None) -> None:
        self.loaded = loaded
        self.routes = loaded.service.route
        self.fleet = loaded.service.fleet
        self.platform = platform
        self.most = platform.settings.max_attempts if platform else 16
        self.patterns: list[Pattern | None] = []

    def problems(self) -> Iterator[Problem]:
        yield from self.names()
        yield from self.matches()
        if all(pattern is not None for pattern in self.patterns):
            yield from self.ties_and_shadows()
        for index, route in enumerate(self.routes):
            yield from self.times(index, route)
            yield from self.attempts(index, route)
            yield from self.effects(index, route)
            yield from self.copies(index, route)
            yield from self.amplification(index, route)
            yield from self.cold(index, route)
            yield from self.admission(index, route)
        yield from self.sums()
        yield from fleetwide(self.loaded)

    def at(self, index: int, *path: str) -> tuple[str | int, ...]:
        return ("route", index, *path)

    def kinds(self, route: Route) -> list[tuple[str, api.RequestClass, int]]:
        """Classes that the route may serve, with their clients' wait."""
        if self.platform is None:
            return []
        named = route.match.classes or tuple(self.platform.classes)
        return [
            (name, self.platform.classes[name], self.platform.waits[name])
            for name in named
            if name in self.platform.classes
        ]

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

    def matches(self) -> Iterator[Problem]:
        for index, route in enumerate(self.routes):
            try:
                self.patterns.append(Pattern.of(route.match))
            except ValueError as problem:
                self.patterns.append(None)
                yield self.loaded.problem(self.at(index, "match", "path"), str(problem))
            if self.platform is None:
                continue
            for what, named, known in (
                ("class", route.match.classes, tuple(self.platform.classes)),
                ("tenant", route.match.tenant, self.platform.tenants),
            ):
                for name in named or ():
                    if name not in known:
                        yield self.loaded.problem(
                            self.at(index, "match", what), f"the platform knows no {what} {name!r}",
                            instead=" or ".join(known) if known else "",
                        )  # fmt: skip
            yield from self.method(index, route)

    def method(self, index: int, route: Route) -> Iterator[Problem]:
        """The method follows from the class: GET for one that is safe to repeat."""
        if route.match.method is None:
            return
        possible = {"GET" if kind.repeat is Repeat.SAFE else "POST" for _, kind, _ in self.kinds(route)}
        if possible and not possible & set(route.match.method):
            yield self.loaded.problem(
                self.at(index, "match", "method"),
                f"can never match: these classes come with {' or '.join(sorted(possible))} only",
                instead=", ".join(f'"{name}"' for name in sorted(possible)),
            )

    def cells(self, pattern: Pattern) -> set[tuple[str, str, str]]:
        """Class, tenant and method of all that a route may match; "" stands for any that is not named."""
        classes = pattern.classes or frozenset(self.platform.classes if self.platform else ("",))
        tenants = pattern.tenants or frozenset((*(self.platform.tenants if self.platform else ()), ""))
        methods = pattern.methods or frozenset(("GET", "POST"))
        if self.platform is None:
            return set(product(classes, tenants, methods))
        return {
            (kind, tenant, method)
            for kind, tenant, method in product(classes, tenants, methods)
            if kind not in self.platform.classes
            or (method == "GET") is (self.platform.classes[kind].repeat is Repeat.SAFE)
        }

    def ties_and_shadows(self) -> Iterator[Problem]:
        patterns = [pattern for pattern in self.patterns if pattern is not None]
        ranked: dict[object, list[int]] = {}
        for index, pattern in enumerate(patterns):
            ranked.setdefault(pattern.rank(), []).append(index)
        for group in ranked.values():
            yield from self.ties(group, patterns)
        order = sorted(range(len(patterns)), key=lambda index: patterns[index].rank(), reverse=True)
        if len(order) > 400:
            return  # what covers what takes a look at each pair: for few routes only
        for place, index in enumerate(order):
            pattern = patterns[index]
            left = self.cells(pattern)
            by: list[str] = []
            for other in order[:place]:
                above = patterns[other]
                if above.rank() > pattern.rank() and _wider(above, pattern):
                    taken = left & self.cells(above)
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
            for index in bucket:
                pattern = patterns[index]
                names.add(tuple(name for name, _ in pattern.headers))
                alike = len(names) == 1 and pattern.path.shape != 2
                if alike and all(value != b"*" for _, value in pattern.headers):
                    others = [seen[pattern.headers]] if pattern.headers in seen else odd
                else:
                    others = list(seen.values())
                    odd.append(index)
                other = next((one for one in others if _meet(patterns[one], pattern)), None)
                if other is not None and (other, index) not in reported:
                    reported.add((other, index))
                    yield self.loaded.problem(
                        self.at(index, "match"),
                        f"a tie with {self.routes[other].name!r}: a request can match both, and neither is "
                        f"more specific",
                    )  # fmt: skip
                seen.setdefault(pattern.headers, index)

    # Times.

    def times(self, index: int, route: Route) -> Iterator[Problem]:
        times = route.timeout
        total, attempt, first = times.total, times.attempt, times.first_byte
        if attempt and total and attempt > total:
            yield self.loaded.problem(
                self.at(index, "timeout", "attempt"),
                f"{shown_duration(attempt)} is longer than the total, {shown_duration(total)}",
                instead=f'"{shown_duration(total)}"',
            )
        longest = attempt or total
        if first and longest and first >= longest:
            yield self.loaded.problem(
                self.at(index, "timeout", "first_byte"),
                f"{shown_duration(first)} can never act: an attempt ends after {shown_duration(longest)}",
                instead=f'"{shown_duration(longest // 2)}"',
            )
        for name, kind, wait in self.kinds(route):
            if total and total > wait - TRANSIT:
                yield self.loaded.problem(
                    self.at(index, "timeout", "total"),
                    f"{shown_duration(total)} outlasts the wait of {name}'s clients, {shown_duration(wait)}",
                    LOST, f'"{shown_duration(wait - TRANSIT)}" at most',
                )  # fmt: skip
            elif total and not kind.late_worth and total > kind.aim:
                yield self.loaded.problem(
                    self.at(index, "timeout", "total"),
                    f"{shown_duration(total)} is beyond the wanted time of {name}, "
                    f"{shown_duration(kind.aim)}: "
                    f"an answer is worth nothing then, and the node stops at the wanted time",
                    instead=f'"{shown_duration(kind.aim)}"', warning=True,
                )  # fmt: skip

    def attempts(self, index: int, route: Route) -> Iterator[Problem]:
        retry, times = route.retry, route.timeout
        number = retry.attempts
        if number is not None and number > self.most:
            yield self.loaded.problem(
                self.at(index, "retry", "attempts"), f"{number} are more than the platform allows, "
                    f"{self.most}",
                instead=str(self.most),
            )  # fmt: skip
            return
        if retry.backoff_most is not None and retry.backoff_most < retry.backoff:
            yield self.loaded.problem(
                self.at(index, "retry", "backoff_most"),
                f"{shown_duration(retry.backoff_most)} is less than the first, "
                f"{shown_duration(retry.backoff)}",
                instead=f'"{shown_duration(retry.backoff)}"',
            )
        budget = retry.budget
        if budget is not None and (number is None or number > 1):
            if not budget.share and not budget.floor and budget.burst < 1:
                yield self.loaded.problem(
                    self.at(index, "retry", "budget"), "earns nothing and holds nothing: no retry is ever "
                        "made",
                    instead="attempts = 1, or a share above 0", warning=True,
                )  # fmt: skip
            elif budget.burst < 1:
                yield self.loaded.problem(
                    self.at(index, "retry", "budget", "burst"),
                    f"{_count(budget.burst)} never holds the one token that a retry takes", instead="1.0",
                )  # fmt: skip
        if number is None or number < 2:
            return
        waits = back_offs(route, number)
        for name, limit in self.limits_of(route):
            if sum(waits) >= limit:
                yield self.loaded.problem(
                    self.at(index, "retry", "backoff"),
                    f"{number} attempts back off for {shown_duration(sum(waits))}, past the {name}, "
                    f"{shown_duration(limit)}", LOST,
                    f'"{shown_duration(max(1, limit // (4 * (2 ** (number - 1) - 1))))}"',
                )  # fmt: skip
                return
            if times.attempt is None:
                continue
            worst = number * times.attempt + sum(waits)
            if worst > limit:
                each = (limit - sum(waits)) // number
                yield self.loaded.problem(
                    self.at(index, "retry", "attempts"),
                    f"{number} attempts of {shown_duration(times.attempt)} and their back-offs take "
                    f"{shown_duration(worst)} at worst, past the {name}, {shown_duration(limit)}", LOST,
                    f'attempts = {max(1, _fitting(route, limit))}, or attempt = "{shown_duration(each)}"',
                )  # fmt: skip
                return

    def limits_of(self, route: Route) -> list[tuple[str, int]]:
        """What attempts have to fit into, the nearest first."""
        found = [("total", route.timeout.total)] if route.timeout.total else []
        for name, kind, wait in self.kinds(route):
            if not kind.late_worth:
                found.append((f"wanted time of {name}", kind.aim))
            found.append((f"wait of {name}'s clients", wait - TRANSIT))
        return sorted(found, key=lambda one: one[1])

    # Effects.

    def effects(self, index: int, route: Route) -> Iterator[Problem]:
        retry = route.retry
        number = retry.attempts if retry.attempts is not None else self.most
        maybe = [name for name in retry.on or () if name in MAY_HAVE_RUN]
        for name, kind, _ in self.kinds(route):
            if kind.repeat is Repeat.UNSAFE and maybe and number > 1:
                yield self.loaded.problem(
                    self.at(index, "retry", "on"),
                    f"{name} is unsafe to repeat, and after {', '.join(maybe)} it may have run", TWICE,
                    'on = ["full", "connect"]',
                )  # fmt: skip
            if kind.repeat is Repeat.KEYED and maybe and number > 1:
                total = route.timeout.total or self.platform.waits[name] if self.platform else 0
                total = min(total, kind.aim) if not kind.late_worth else total
                if total > kind.window:
                    yield self.loaded.problem(
                        self.at(index, "retry", "on"),
                        f"repeats of {name} are dropped for {shown_duration(kind.window)}, and an attempt "
                        f"may "
                        f"come after up to {shown_duration(total)}", TWICE,
                        f'timeout.total = "{shown_duration(kind.window)}"',
                    )  # fmt: skip
            if route.copy_ is not None and kind.repeat is not Repeat.SAFE:
                yield self.loaded.problem(
                    self.at(index, "copy"), f"{name} is not safe to repeat: a second copy may have its "
                        "effect",
                    TWICE, "no copy, or a route without this class",
                )  # fmt: skip

    # Second copies.

    def copies(self, index: int, route: Route) -> Iterator[Problem]:
        copy = route.copy_
        if copy is None:
            return
        if (copy.after is None) == (copy.at is None):
            yield self.loaded.problem(
                self.at(index, "copy"),
                "wants one of after (a time) and at (a percentile)",
                instead="at = 0.95",
            )
        number = route.retry.attempts if route.retry.attempts is not None else self.most
        if number < 2:
            yield self.loaded.problem(
                self.at(index, "copy"), f"can never be sent: attempts = {number}, copies included",
                instead="attempts = 2",
            )  # fmt: skip
        if copy.budget.burst < 1:
            yield self.loaded.problem(
                self.at(index, "copy", "budget", "burst"),
                f"{_count(copy.budget.burst)} never holds the one token that a copy takes", instead="1.0",
            )  # fmt: skip
        limits = [*self.limits_of(route)]
        if route.timeout.attempt:
            limits.append(("first attempt's time", route.timeout.attempt))
        for name, limit in sorted(limits, key=lambda one: one[1])[:1]:
            if copy.after and copy.after >= limit:
                yield self.loaded.problem(
                    self.at(index, "copy", "after"),
                    f"{shown_duration(copy.after)} can never act: the {name} is over after "
                    f"{shown_duration(limit)}", instead=f'"{shown_duration(limit // 3)}"',
                )  # fmt: skip

    # What comes of all nodes and clients together.

    def amplification(self, index: int, route: Route) -> Iterator[Problem]:
        """How many attempts one request of a client can become, lastingly."""
        number = route.retry.attempts if route.retry.attempts is not None else self.most
        if number < 2:
            return
        share = route.retry.budget.share if route.retry.budget else None
        copies = route.copy_.budget.share if route.copy_ else 0.0
        # Without a budget of its own the module's holds: a tenth of the first tries.
        each = min(number, 1.0 + (0.1 if share is None else share) + copies)
        worst = each * self.fleet.client_tries
        if worst > self.fleet.amplification_most + 1e-9:
            key = (
                ("copy", "budget", "share")
                if copies and copies >= (share or 0.0)
                else ("retry", "budget", "share")
            )
            most = self.fleet.amplification_most / self.fleet.client_tries - 1.0
            yield self.loaded.problem(
                self.at(index, *key),
                f"one request can become {worst:.2f} attempts ({self.fleet.client_tries} tries of its "
                f"client, "
                f"{each:.2f} of the node for each); {_count(self.fleet.amplification_most)} are allowed",
                instead=f"shares of {max(0.0, most):.2f} together" if most > 0 else "fewer client tries",
            )  # fmt: skip

    def cold(self, index: int, route: Route) -> Iterator[Problem]:
        """All nodes' saved-up retries at once at one box that has just started. Copies never go there."""
        if self.platform is None or self.fleet.box_per_s is None:
            return
        settings = self.platform.settings
        budget = route.retry.budget
        burst = budget.burst if budget is not None else 0.0
        together = burst * settings.nodes
        tier = self.loaded.service.tier
        if budget is not None and budget.fleet is not None:
            if tier is None or budget.fleet not in (tier.budgets or {}):
                return
            its = (tier.budgets or {})[budget.fleet]
            burst = together = its.per_s * its.burst / 1e9
        number = route.retry.attempts if route.retry.attempts is not None else self.most
        if number < 2 or not burst:
            return
        window = self.platform.fall_time / 1e9
        allowed = self.platform.multiple * settings.cold_share * self.fleet.box_per_s * window
        if together > allowed:
            yield self.loaded.problem(
                self.at(index, "retry", "budget", "burst"),
                f"{settings.nodes} nodes may send {_count(together)} saved-up retries at "
                f"once; a "
                f"box that has just started stands {allowed:.1f} requests in {window:g} s", COLD,
                f"{max(0.0, allowed / settings.nodes):.1f}",
            )  # fmt: skip

    def admission(self, index: int, route: Route) -> Iterator[Problem]:
        admit = route.admit
        if self.platform is not None and admit.in_flight is not None:
            most = min(self.platform.clients_most, self.platform.open_most)
            if admit.in_flight > most:
                yield self.loaded.problem(
                    self.at(index, "admit", "in_flight"),
                    f"{admit.in_flight} can never be reached: the node's descriptors leave {most} "
                    f"connections "
                    f"for clients", instead=str(most),
                )  # fmt: skip
        if admit.rate is None or admit.rate.per_s is None:
            return
        if admit.rate.burst > 10 * max(1.0, admit.rate.per_s):
            yield self.loaded.problem(
                self.at(index, "admit", "rate", "burst"),
                f"{_count(admit.rate.burst)} are more than ten seconds of {_count(admit.rate.per_s)} a "
                f"second",
                instead=_count(10 * max(1.0, admit.rate.per_s)), warning=True,
            )  # fmt: skip

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
                tier = self.loaded.service.tier
                its = (tier.budgets or {}).get(rate.fleet or "") if tier is not None else None
                total += its.per_s if its is not None else 0.0
                continue
            buckets = len(self.platform.tenants) if self.platform and rate.by == "tenant" else 1
            total += rate.per_s * max(1, buckets) * nodes
            if total > fleet:
                over = (total - fleet) / (nodes * max(1, buckets))
                yield self.loaded.problem(
                    self.at(index, "admit", "rate", "per_s"),
                    f"with the routes before it {total:g} requests a second are promised over {nodes} "
                    f"nodes; the "
                    f"fleet carries {fleet:g}",
                    instead=_count(round(max(0.0, rate.per_s - over), 2)),
                )  # fmt: skip
                return


def _fitting(route: Route, limit: int) -> int:
    """How many attempts fit at worst."""
    attempt = route.timeout.attempt or limit
    number = 1
    while (number + 1) * attempt + sum(back_offs(route, number + 1)) <= limit:
        number += 1
    return number


def back_offs(route: Route, attempts: int) -> list[int]:
    """The longest that each wait between attempts can be, ns."""
    handed = rules_of(route, 0, attempts).handed
    return [min(handed.back_off << place, handed.back_off_most) for place in range(attempts - 1)]


def _wider(one: Pattern, other: Pattern) -> bool:
    """Whether `one` asks nothing of path, headers and key that `other` does not ask too."""
    its = dict(other.headers)
    headers = all(name in its and value in (b"*", its[name]) for name, value in one.headers)
    return one.path.covers(other.path) and headers and other.key.startswith(one.key)


def _meet(one: Pattern, other: Pattern) -> bool:
    """Whether some request matches both, as far as path, headers and key go; classes and the rest do."""
    its = dict(other.headers)
    headers = all(
        name not in its or b"*" in (value, its[name]) or value == its[name] for name, value in one.headers
    )
    keys = one.key.startswith(other.key) or other.key.startswith(one.key)
    return one.path.meets(other.path) and headers and keys
