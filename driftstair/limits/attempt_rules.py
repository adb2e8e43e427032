"""Rules of one route's attempts: their number, time and effects, and second copies. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from driftstair.limits.compiled_route import MAY_HAVE_RUN, compile_rules
from driftstair.limits.findings import LOST, MS, TWICE, Finding, ValidationContext, classes_of, shown_number
from driftstair.service.schema import Route
from driftstair.service.units import shown_duration
from lichenspring.interface import Repeat

TRANSIT = 5 * MS  # that the node keeps back for its answer to be there in time


def attempts(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """More attempts than there may be, or than there is time and budget for."""
    retry, times = route.retry, route.timeout
    number = retry.attempts
    if number is not None and number > given.attempts_max:
        yield Finding(
            ("retry", "attempts"), f"{number} are more than the platform allows, {given.attempts_max}",
            instead=str(given.attempts_max),
        )  # fmt: skip
        return
    if retry.backoff_most is not None and retry.backoff_most < retry.backoff:
        yield Finding(
            ("retry", "backoff_most"),
            f"{shown_duration(retry.backoff_most)} is less than the first, {shown_duration(retry.backoff)}",
            instead=f'"{shown_duration(retry.backoff)}"',
        )
    budget = retry.budget
    if budget is not None and (number is None or number > 1):
        if not budget.share and not budget.floor and budget.burst < 1:
            yield Finding(
                ("retry", "budget"), "earns nothing and holds nothing: no retry is ever made",
                instead="attempts = 1, or a share above 0", warning=True,
            )  # fmt: skip
        elif budget.burst < 1:
            yield Finding(
                ("retry", "budget", "burst"),
                f"{shown_number(budget.burst)} never holds the one token that a retry takes", instead="1.0",
            )  # fmt: skip
    if number is None or number < 2:
        return
    waits = back_offs(route, number)
    for name, limit in limits_of(route, given):
        if sum(waits) >= limit:
            yield Finding(
                ("retry", "backoff"),
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
            yield Finding(
                ("retry", "attempts"),
                f"{number} attempts of {shown_duration(times.attempt)} and their back-offs take "
                f"{shown_duration(worst)} at worst, past the {name}, {shown_duration(limit)}", LOST,
                f'attempts = {max(1, _fitting(route, limit))}, or attempt = "{shown_duration(each)}"',
            )  # fmt: skip
            return


def limits_of(route: Route, given: ValidationContext) -> list[tuple[str, int]]:
    """What attempts have to fit into, the nearest first."""
    found = [("total", route.timeout.total)] if route.timeout.total else []
    for name, kind, wait in classes_of(route, given):
        if not kind.late_worth:
            found.append((f"wanted time of {name}", kind.aim))
        found.append((f"wait of {name}'s clients", wait - TRANSIT))
    return sorted(found, key=lambda one: one[1])


def effects(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """Attempts and copies by which an effect could happen twice."""
    retry = route.retry
    number = retry.attempts if retry.attempts is not None else given.attempts_max
    maybe = [name for name in retry.on or () if name in MAY_HAVE_RUN]
    for name, kind, _ in classes_of(route, given):
        if kind.repeat is Repeat.UNSAFE and maybe and number > 1:
            yield Finding(
                ("retry", "on"),
                f"{name} is unsafe to repeat, and after {', '.join(maybe)} it may have run", TWICE,
                'on = ["full", "connect"]',
            )  # fmt: skip
        if kind.repeat is Repeat.KEYED and maybe and number > 1:
            total = route.timeout.total or given.platform.waits[name] if given.platform else 0
            total = min(total, kind.aim) if not kind.late_worth else total
            if total > kind.window:
                yield Finding(
                    ("retry", "on"),
                    f"repeats of {name} are dropped for {shown_duration(kind.window)}, and an attempt "
                    f"may come after up to {shown_duration(total)}", TWICE,
                    f'timeout.total = "{shown_duration(kind.window)}"',
                )  # fmt: skip
        if route.copy_ is not None and kind.repeat is not Repeat.SAFE:
            yield Finding(
                ("copy",), f"{name} is not safe to repeat: a second copy may have its effect",
                TWICE, "no copy, or a route without this class",
            )  # fmt: skip


def copies(route: Route, given: ValidationContext) -> Iterator[Finding]:
    """Second copies that can never be sent."""
    copy = route.copy_
    if copy is None:
        return
    if (copy.after is None) == (copy.at is None):
        yield Finding(
            ("copy",),
            "wants one of after (a time) and at (a percentile)",
            instead="at = 0.95",
        )
    number = route.retry.attempts if route.retry.attempts is not None else given.attempts_max
    if number < 2:
        yield Finding(
            ("copy",), f"can never be sent: attempts = {number}, copies included",
            instead="attempts = 2",
        )  # fmt: skip
    if copy.budget.burst < 1:
        yield Finding(
            ("copy", "budget", "burst"),
            f"{shown_number(copy.budget.burst)} never holds the one token that a copy takes", instead="1.0",
        )  # fmt: skip
    limits = [*limits_of(route, given)]
    if route.timeout.attempt:
        limits.append(("first attempt's time", route.timeout.attempt))
    for name, limit in sorted(limits, key=lambda one: one[1])[:1]:
        if copy.after and copy.after >= limit:
            yield Finding(
                ("copy", "after"),
                f"{shown_duration(copy.after)} can never act: the {name} is over after "
                f"{shown_duration(limit)}", instead=f'"{shown_duration(limit // 3)}"',
            )  # fmt: skip


def _fitting(route: Route, limit: int) -> int:
    """How many attempts fit at worst."""
    attempt = route.timeout.attempt or limit
    number = 1
    while (number + 1) * attempt + sum(back_offs(route, number + 1)) <= limit:
        number += 1
    return number


def back_offs(route: Route, attempts: int) -> list[int]:
    """The longest that each wait between attempts can be, ns."""
    handed = compile_rules(route, 0, attempts).module_limits
    return [min(handed.backoff << place, handed.max_backoff) for place in range(attempts - 1)]
