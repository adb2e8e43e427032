"""Rules of one route's times, requests in flight and rate, and of what it can do to servers. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from driftstair.limits.attempt_rules import TRANSIT, attempts, copies, effects
from driftstair.limits.findings import COLD, LOST, Finding, ValidationContext, classes_of, shown_number
from driftstair.limits.fleet_budgets import budget_findings
from driftstair.service.schema import Route
from driftstair.service.units import shown_duration
from lichenspring.interface import Repeat


def route_findings(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """All that is wrong in a route by itself: not names, paths and what other routes match."""
    yield from known_names(route, given)
    yield from method(route, given)
    yield from timeouts(route, given)
    yield from attempts(route, given)
    yield from effects(route, given)
    yield from copies(route, given)
    yield from amplification(route, given)
    yield from cold_burst_findings(route, given)
    yield from admission(route, given)
    yield from budget_findings(route, tuple(given.budgets))


def known_names(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """Classes and tenants that the platform has to know."""
    if given.platform is None:
        return
    for what, named, known in (
        ("class", route.match.classes, tuple(given.platform.classes)),
        ("tenant", route.match.tenant, given.platform.tenants),
    ):
        for name in named or ():
            if name not in known:
                yield Finding(
                    ("match", what), f"the platform knows no {what} {name!r}",
                    instead=" or ".join(known) if known else "",
                )  # fmt: skip


def method(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """The method follows from the class: GET for one that is safe to repeat."""
    if route.match.method is None:
        return
    possible = {"GET" if kind.repeat is Repeat.SAFE else "POST" for _, kind, _ in classes_of(route, given)}
    if possible and not possible & set(route.match.method):
        yield Finding(
            ("match", "method"),
            f"can never match: these classes come with {' or '.join(sorted(possible))} only",
            instead=", ".join(f'"{name}"' for name in sorted(possible)),
        )


def timeouts(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """Times that can never act, or that outlast whoever waits."""
    times = route.timeout
    total, attempt, first = times.total, times.attempt, times.first_byte
    if attempt and total and attempt > total:
        yield Finding(
            ("timeout", "attempt"),
            f"{shown_duration(attempt)} is longer than the total, {shown_duration(total)}",
            instead=f'"{shown_duration(total)}"',
        )
    longest = attempt or total
    if first and longest and first >= longest:
        yield Finding(
            ("timeout", "first_byte"),
            f"{shown_duration(first)} can never act: an attempt ends after {shown_duration(longest)}",
            instead=f'"{shown_duration(longest // 2)}"',
        )
    for name, kind, wait in classes_of(route, given):
        if total and total > wait - TRANSIT:
            yield Finding(
                ("timeout", "total"),
                f"{shown_duration(total)} outlasts the wait of {name}'s clients, {shown_duration(wait)}",
                LOST, f'"{shown_duration(wait - TRANSIT)}" at most',
            )  # fmt: skip
        elif total and not kind.late_worth and total > kind.aim:
            yield Finding(
                ("timeout", "total"),
                f"{shown_duration(total)} is beyond the wanted time of {name}, {shown_duration(kind.aim)}: "
                f"an answer is worth nothing then, and the node stops at the wanted time",
                instead=f'"{shown_duration(kind.aim)}"', warning=True,
            )  # fmt: skip


def amplification(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """How many attempts one request of a client can become, lastingly."""
    number = route.retry.attempts if route.retry.attempts is not None else given.attempts_max
    if number < 2:
        return
    share = route.retry.budget.share if route.retry.budget else None
    copies = route.copy_.budget.share if route.copy_ else 0.0
    # Without a budget of its own the module's holds: a tenth of the first tries.
    each = min(number, 1.0 + (0.1 if share is None else share) + copies)
    worst = each * given.fleet.client_tries
    if worst > given.fleet.amplification_most + 1e-9:
        key = (
            ("copy", "budget", "share")
            if copies and copies >= (share or 0.0)
            else ("retry", "budget", "share")
        )
        most = given.fleet.amplification_most / given.fleet.client_tries - 1.0
        yield Finding(
            key,
            f"one request can become {worst:.2f} attempts ({given.fleet.client_tries} tries of its "
            f"client, {each:.2f} of the node for each); "
            f"{shown_number(given.fleet.amplification_most)} are allowed",
            instead=f"shares of {max(0.0, most):.2f} together" if most > 0 else "fewer client tries",
        )  # fmt: skip


def cold_burst_findings(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """All nodes' saved-up retries at once at one box that has just started. Copies never go there."""
    if given.platform is None or given.fleet.box_per_s is None:
        return
    settings = given.platform.settings
    budget = route.retry.budget
    burst = budget.burst if budget is not None else 0.0
    together = burst * settings.nodes
    if budget is not None and budget.fleet is not None:
        its = given.budgets.get(budget.fleet)
        if its is None:
            return
        burst = together = its.per_s * its.burst / 1e9
    number = route.retry.attempts if route.retry.attempts is not None else given.attempts_max
    if number < 2 or not burst:
        return
    window = given.platform.fall_time / 1e9
    allowed = given.platform.multiple * settings.cold_share * given.fleet.box_per_s * window
    if together > allowed:
        yield Finding(
            ("retry", "budget", "burst"),
            f"{settings.nodes} nodes may send {shown_number(together)} saved-up retries at once; "
            f"a box that has just started stands {allowed:.1f} requests in {window:g} s", COLD,
            f"{max(0.0, allowed / settings.nodes):.1f}",
        )  # fmt: skip


def admission(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """Requests in flight that the node can never hold, and bursts far beyond the rate."""
    admit = route.admit
    if given.platform is not None and admit.in_flight is not None:
        most = min(given.platform.clients_most, given.platform.open_most)
        if admit.in_flight > most:
            yield Finding(
                ("admit", "in_flight"),
                f"{admit.in_flight} can never be reached: the node's descriptors leave {most} connections "
                f"for clients", instead=str(most),
            )  # fmt: skip
    if admit.rate is None or admit.rate.per_s is None:
        return
    if admit.rate.burst > 10 * max(1.0, admit.rate.per_s):
        yield Finding(
            ("admit", "rate", "burst"),
            f"{shown_number(admit.rate.burst)} are more than ten seconds of "
            f"{shown_number(admit.rate.per_s)} a second",
            instead=shown_number(10 * max(1.0, admit.rate.per_s)), warning=True,
        )  # fmt: skip
