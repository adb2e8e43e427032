"""Validation rules for one route: timeouts, admission, and the load that it can put on servers. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from driftstair.limits.attempt_rules import TRANSIT_NS, attempt_findings, copy_findings, effect_findings
from driftstair.limits.findings import (
    NO_COLD_OVERLOAD,
    NO_LOST_REQUEST,
    Finding,
    ValidationContext,
    classes_of,
    format_number,
)
from driftstair.limits.fleet_budgets import budget_findings
from driftstair.service.schema import Route
from driftstair.service.units import shown_duration
from lichenspring.interface import Repeat


def route_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """All findings for a route by itself; duplicate names, paths and overlaps are checked elsewhere."""
    yield from name_findings(route, context)
    yield from method_findings(route, context)
    yield from timeout_findings(route, context)
    yield from attempt_findings(route, context)
    yield from effect_findings(route, context)
    yield from copy_findings(route, context)
    yield from amplification_findings(route, context)
    yield from cold_burst_findings(route, context)
    yield from admission_findings(route, context)
    yield from budget_findings(route, tuple(context.budgets))


def name_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds classes and tenants that the platform does not define."""
    if context.platform is None:
        return
    for field, named, known in (
        ("class", route.match.classes, tuple(context.platform.classes)),
        ("tenant", route.match.tenant, context.platform.tenants),
    ):
        for name in named or ():
            if name not in known:
                yield Finding(
                    ("match", field), f"the platform knows no {field} {name!r}",
                    instead=" or ".join(known) if known else "",
                )  # fmt: skip


def method_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds methods that no class of the route uses: classes that are safe to repeat use GET, others POST."""
    if route.match.method is None:
        return
    possible = {"GET" if kind.repeat is Repeat.SAFE else "POST" for _, kind, _ in classes_of(route, context)}
    if possible and not possible & set(route.match.method):
        yield Finding(
            ("match", "method"),
            f"can never match: these classes come with {' or '.join(sorted(possible))} only",
            instead=", ".join(f'"{name}"' for name in sorted(possible)),
        )


def timeout_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds timeouts that can never take effect or that exceed the wait of the clients."""
    timeouts = route.timeout
    total, attempt, first_byte = timeouts.total, timeouts.attempt, timeouts.first_byte
    if attempt and total and attempt > total:
        yield Finding(
            ("timeout", "attempt"),
            f"{shown_duration(attempt)} is longer than the total, {shown_duration(total)}",
            instead=f'"{shown_duration(total)}"',
        )
    longest = attempt or total
    if first_byte and longest and first_byte >= longest:
        yield Finding(
            ("timeout", "first_byte"),
            f"{shown_duration(first_byte)} can never act: an attempt ends after {shown_duration(longest)}",
            instead=f'"{shown_duration(longest // 2)}"',
        )
    for name, kind, client_wait in classes_of(route, context):
        if total and total > client_wait - TRANSIT_NS:
            yield Finding(
                ("timeout", "total"),
                f"{shown_duration(total)} outlasts the wait of {name}'s clients, "
                f"{shown_duration(client_wait)}",
                NO_LOST_REQUEST, f'"{shown_duration(client_wait - TRANSIT_NS)}" at most',
            )  # fmt: skip
        elif total and not kind.late_worth and total > kind.aim:
            yield Finding(
                ("timeout", "total"),
                f"{shown_duration(total)} is beyond the wanted time of {name}, {shown_duration(kind.aim)}: "
                f"an answer is worth nothing then, and the node stops at the wanted time",
                instead=f'"{shown_duration(kind.aim)}"', warning=True,
            )  # fmt: skip


def amplification_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds routes whose sustained number of attempts per client request exceeds the fleet's limit."""
    count = route.retry.attempts if route.retry.attempts is not None else context.max_attempts
    if count < 2:
        return
    share = route.retry.budget.share if route.retry.budget else None
    copies = route.copy_.budget.share if route.copy_ else 0.0
    # A route without a retry budget has the decision module's: a tenth of the first attempts.
    attempts_per_try = min(count, 1.0 + (0.1 if share is None else share) + copies)
    worst = attempts_per_try * context.fleet.client_tries
    if worst > context.fleet.amplification_most + 1e-9:
        key = (
            ("copy", "budget", "share")
            if copies and copies >= (share or 0.0)
            else ("retry", "budget", "share")
        )
        limit = context.fleet.amplification_most / context.fleet.client_tries - 1.0
        yield Finding(
            key,
            f"one request can become {worst:.2f} attempts ({context.fleet.client_tries} tries of its "
            f"client, {attempts_per_try:.2f} of the node for each); "
            f"{format_number(context.fleet.amplification_most)} are allowed",
            instead=f"shares of {max(0.0, limit):.2f} together" if limit > 0 else "fewer client tries",
        )  # fmt: skip


def cold_burst_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds retry bursts of all nodes together that would overload a cold box, which never gets copies."""
    if context.platform is None or context.fleet.box_per_s is None:
        return
    settings = context.platform.settings
    budget = route.retry.budget
    burst = budget.burst if budget is not None else 0.0
    total_burst = burst * settings.nodes
    if budget is not None and budget.fleet is not None:
        fleet_budget = context.budgets.get(budget.fleet)
        if fleet_budget is None:
            return
        burst = total_burst = fleet_budget.per_s * fleet_budget.burst / 1e9
    count = route.retry.attempts if route.retry.attempts is not None else context.max_attempts
    if count < 2 or not burst:
        return
    window = context.platform.fall_time / 1e9
    allowed = context.platform.fall_multiple * settings.cold_share * context.fleet.box_per_s * window
    if total_burst > allowed:
        yield Finding(
            ("retry", "budget", "burst"),
            f"{settings.nodes} nodes may send {format_number(total_burst)} saved-up retries at once; "
            f"a box that has just started stands {allowed:.1f} requests in {window:g} s", NO_COLD_OVERLOAD,
            f"{max(0.0, allowed / settings.nodes):.1f}",
        )  # fmt: skip


def admission_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds limits on requests in flight that the node cannot reach, and bursts far above the rate."""
    admit = route.admit
    if context.platform is not None and admit.in_flight is not None:
        limit = min(context.platform.max_client_connections, context.platform.max_open_requests)
        if admit.in_flight > limit:
            yield Finding(
                ("admit", "in_flight"),
                f"{admit.in_flight} can never be reached: the node's descriptors leave {limit} connections "
                f"for clients", instead=str(limit),
            )  # fmt: skip
    if admit.rate is None or admit.rate.per_s is None:
        return
    if admit.rate.burst > 10 * max(1.0, admit.rate.per_s):
        yield Finding(
            ("admit", "rate", "burst"),
            f"{format_number(admit.rate.burst)} are more than ten seconds of "
            f"{format_number(admit.rate.per_s)} a second",
            instead=format_number(10 * max(1.0, admit.rate.per_s)), warning=True,
        )  # fmt: skip
