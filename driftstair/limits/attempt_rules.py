"""Validation rules for the attempts of one route: number, time, effects and second copies. No I/O."""

from __future__ import annotations

from collections.abc import Iterator

from driftstair.limits.compiled_route import MAY_HAVE_RUN, compile_rules
from driftstair.limits.findings import (
    NO_DUPLICATE_EFFECT,
    NO_LOST_REQUEST,
    NS_PER_MS,
    Finding,
    ValidationContext,
    classes_of,
    format_number,
)
from driftstair.service.schema import Route
from driftstair.service.units import shown_duration
from lichenspring.interface import Repeat

TRANSIT_NS = 5 * NS_PER_MS  # reserved for the answer to reach the client before its deadline


def attempt_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds more attempts than the platform, the time limits or the retry budget allow."""
    retry, timeouts = route.retry, route.timeout
    count = retry.attempts
    if count is not None and count > context.max_attempts:
        yield Finding(
            ("retry", "attempts"), f"{count} are more than the platform allows, {context.max_attempts}",
            instead=str(context.max_attempts),
        )  # fmt: skip
        return
    if retry.backoff_most is not None and retry.backoff_most < retry.backoff:
        yield Finding(
            ("retry", "backoff_most"),
            f"{shown_duration(retry.backoff_most)} is less than the first, {shown_duration(retry.backoff)}",
            instead=f'"{shown_duration(retry.backoff)}"',
        )
    budget = retry.budget
    if budget is not None and (count is None or count > 1):
        if not budget.share and not budget.floor and budget.burst < 1:
            yield Finding(
                ("retry", "budget"), "earns nothing and holds nothing: no retry is ever made",
                instead="attempts = 1, or a share above 0", warning=True,
            )  # fmt: skip
        elif budget.burst < 1:
            yield Finding(
                ("retry", "budget", "burst"),
                f"{format_number(budget.burst)} never holds the one token that a retry takes", instead="1.0",
            )  # fmt: skip
    if count is None or count < 2:
        return
    backoffs = max_backoffs(route, count)
    for name, limit in time_limits(route, context):
        if sum(backoffs) >= limit:
            yield Finding(
                ("retry", "backoff"),
                f"{count} attempts back off for {shown_duration(sum(backoffs))}, past the {name}, "
                f"{shown_duration(limit)}", NO_LOST_REQUEST,
                f'"{shown_duration(max(1, limit // (4 * (2 ** (count - 1) - 1))))}"',
            )  # fmt: skip
            return
        if timeouts.attempt is None:
            continue
        worst = count * timeouts.attempt + sum(backoffs)
        if worst > limit:
            each_ns = (limit - sum(backoffs)) // count
            yield Finding(
                ("retry", "attempts"),
                f"{count} attempts of {shown_duration(timeouts.attempt)} and their back-offs take "
                f"{shown_duration(worst)} at worst, past the {name}, {shown_duration(limit)}",
                NO_LOST_REQUEST,
                f'attempts = {max(1, _attempts_that_fit(route, limit))}, or '
                f'attempt = "{shown_duration(each_ns)}"',
            )  # fmt: skip
            return


def time_limits(route: Route, context: ValidationContext) -> list[tuple[str, int]]:
    """The time limits that all attempts together have to meet, shortest first."""
    limits = [("total", route.timeout.total)] if route.timeout.total else []
    for name, kind, client_wait in classes_of(route, context):
        if not kind.late_worth:
            limits.append((f"wanted time of {name}", kind.aim))
        limits.append((f"wait of {name}'s clients", client_wait - TRANSIT_NS))
    return sorted(limits, key=lambda limit: limit[1])


def effect_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds retries and copies that could apply an effect twice."""
    retry = route.retry
    count = retry.attempts if retry.attempts is not None else context.max_attempts
    may_have_run = [name for name in retry.on or () if name in MAY_HAVE_RUN]
    for name, kind, _ in classes_of(route, context):
        if kind.repeat is Repeat.UNSAFE and may_have_run and count > 1:
            yield Finding(
                ("retry", "on"),
                f"{name} is unsafe to repeat, and after {', '.join(may_have_run)} it may have run",
                NO_DUPLICATE_EFFECT,
                'on = ["full", "connect"]',
            )  # fmt: skip
        if kind.repeat is Repeat.KEYED and may_have_run and count > 1:
            total = route.timeout.total or context.platform.client_waits[name] if context.platform else 0
            total = min(total, kind.aim) if not kind.late_worth else total
            if total > kind.window:
                yield Finding(
                    ("retry", "on"),
                    f"repeats of {name} are dropped for {shown_duration(kind.window)}, and an attempt "
                    f"may come after up to {shown_duration(total)}", NO_DUPLICATE_EFFECT,
                    f'timeout.total = "{shown_duration(kind.window)}"',
                )  # fmt: skip
        if route.copy_ is not None and kind.repeat is not Repeat.SAFE:
            yield Finding(
                ("copy",), f"{name} is not safe to repeat: a second copy may have its effect",
                NO_DUPLICATE_EFFECT, "no copy, or a route without this class",
            )  # fmt: skip


def copy_findings(route: Route, context: ValidationContext) -> Iterator[Finding]:
    """Finds second copies that can never be sent."""
    copy = route.copy_
    if copy is None:
        return
    if (copy.after is None) == (copy.at is None):
        yield Finding(
            ("copy",),
            "wants one of after (a time) and at (a percentile)",
            instead="at = 0.95",
        )
    count = route.retry.attempts if route.retry.attempts is not None else context.max_attempts
    if count < 2:
        yield Finding(
            ("copy",), f"can never be sent: attempts = {count}, copies included",
            instead="attempts = 2",
        )  # fmt: skip
    if copy.budget.burst < 1:
        yield Finding(
            ("copy", "budget", "burst"),
            f"{format_number(copy.budget.burst)} never holds the one token that a copy takes", instead="1.0",
        )  # fmt: skip
    limits = [*time_limits(route, context)]
    if route.timeout.attempt:
        limits.append(("first attempt's time", route.timeout.attempt))
    for name, limit in sorted(limits, key=lambda item: item[1])[:1]:
        if copy.after and copy.after >= limit:
            yield Finding(
                ("copy", "after"),
                f"{shown_duration(copy.after)} can never act: the {name} is over after "
                f"{shown_duration(limit)}", instead=f'"{shown_duration(limit // 3)}"',
            )  # fmt: skip


def _attempts_that_fit(route: Route, limit: int) -> int:
    """The number of attempts that fit into `limit` when each takes its full time-out."""
    attempt = route.timeout.attempt or limit
    count = 1
    while (count + 1) * attempt + sum(max_backoffs(route, count + 1)) <= limit:
        count += 1
    return count


def max_backoffs(route: Route, attempts: int) -> list[int]:
    """The longest possible back-off before each retry, in ns."""
    limits = compile_rules(route, 0, attempts).module_limits
    return [min(limits.backoff << index, limits.max_backoff) for index in range(attempts - 1)]
