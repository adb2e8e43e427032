"""A compiled route: the limits passed to the decision module, and the counters and budgets kept with it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from driftstair.limits.budgets import TokenBucket, TokenBudget
from driftstair.limits.latency import LatencyHistogram
from driftstair.service import schema
from lichenspring import interface as api
from lichenspring.interface import Result

RETRYABLE_RESULTS = {
    "error": Result.ERROR, "full": Result.FULL, "timeout": Result.TIMEOUT, "connect": Result.CONNECT_FAILED,
    "reset": Result.RESET,
}  # fmt: skip
ALWAYS_RETRIED = frozenset((Result.NOT_SENT,))  # the request never left the node: no limit applies
ALL_RETRIED = ALWAYS_RETRIED | frozenset(RETRYABLE_RESULTS.values())
MAY_HAVE_RUN = ("error", "timeout", "reset")
PRIORITY_CAP_FRACTIONS = {"normal": 1.0, "low": 0.7, "lowest": 0.4}  # of the class's concurrency cap
DEFAULT_MAX_BACKOFF_FACTOR = 10  # multiple of the first back-off


@dataclass(frozen=True, slots=True)
class RouteRules:
    """The limits of one route; a request keeps those that it was admitted with. Durations in ns; 0: none."""

    name: str
    module_limits: api.Limits
    total: int
    body: int  # bytes; 0: the node's own limit
    in_flight: int
    rate: schema.Rate | None
    retry_budget: schema.Budget | None
    copy_after: int
    copy_at: float
    copy_budget: schema.Budget | None

    def copies(self) -> bool:
        return self.copy_budget is not None


def compile_rules(route: schema.Route, index: int, max_attempts: int) -> RouteRules:
    """The limits of a route of the service file, where defaults replace missing settings."""
    retry, timeouts, copy = route.retry, route.timeout, route.copy_
    retry_on = (
        ALL_RETRIED if retry.on is None else ALWAYS_RETRIED | {RETRYABLE_RESULTS[name] for name in retry.on}
    )
    max_backoff = (
        retry.backoff_most if retry.backoff_most is not None else DEFAULT_MAX_BACKOFF_FACTOR * retry.backoff
    )
    attempts = retry.attempts if retry.attempts is not None else max_attempts
    module_limits = api.Limits(
        max_attempts=min(attempts, max_attempts), time_out=timeouts.attempt or 0,
        first_byte=timeouts.first_byte or 0, retry_on=retry_on, backoff=retry.backoff,
        max_backoff=max_backoff, jitter=retry.jitter,
        cap_fraction=PRIORITY_CAP_FRACTIONS[route.admit.priority], route=index,
    )  # fmt: skip
    return RouteRules(
        route.name, module_limits, timeouts.total or 0, route.admit.body or 0, route.admit.in_flight or 0,
        route.admit.rate, retry.budget, (copy.after or 0) if copy else 0,
        (copy.at or 0.0) if copy else 0.0, copy.budget if copy else None,
    )  # fmt: skip


def no_fleet_budget(name: str) -> TokenBudget:
    """The fleet budgets of a node that shares none: every look-up fails."""
    raise KeyError(name)


def _token_budget(
    budget: schema.Budget | None, now: int, fleet: Callable[[str], TokenBudget]
) -> TokenBudget | None:
    if budget is None:
        return None
    return fleet(budget.fleet) if budget.fleet else TokenBucket(budget.floor, budget.burst, now)


class RouteState:
    """Counters and budgets of one route, kept across reloads under the route's name. `fleet` returns a fleet
    budget by its name."""

    __slots__ = ("copies", "in_flight", "latencies", "rate", "rates", "retries", "rules")

    def __init__(
        self, rules: RouteRules, now: int, fleet: Callable[[str], TokenBudget] = no_fleet_budget
    ) -> None:
        self.rules = rules
        self.in_flight = 0
        self.latencies = LatencyHistogram()
        self.rates: dict[int, TokenBucket] = {}
        self.retries = _token_budget(rules.retry_budget, now, fleet)
        self.copies = _token_budget(rules.copy_budget, now, fleet)
        self.rate = fleet(rules.rate.fleet) if rules.rate is not None and rules.rate.fleet else None

    def replace_rules(
        self, rules: RouteRules, now: int, fleet: Callable[[str], TokenBudget] = no_fleet_budget
    ) -> None:
        """Replaces the limits of the route, for the requests already counted here too."""
        replacement = RouteState(rules, now, fleet)
        replacement.carry_over_from(self, now)
        self.rules, self.rate, self.rates = rules, replacement.rate, replacement.rates
        self.retries, self.copies = replacement.retries, replacement.copies

    def carry_over_from(self, previous_state: RouteState, now: int) -> None:
        """Keeps requests in flight, latencies and spent tokens, so that a reload grants no new burst."""
        self.in_flight = previous_state.in_flight
        self.latencies = previous_state.latencies
        for budget, previous in (
            (self.retries, previous_state.retries),
            (self.copies, previous_state.copies),
        ):
            if isinstance(previous, TokenBucket) and budget is not None:
                budget.carry_over(previous, now)
        rate = self.rules.rate
        if rate is None or rate.per_s is None:
            return
        if previous_state.rules.rate is not None and rate.by == previous_state.rules.rate.by:
            for tenant, bucket in previous_state.rates.items():
                self.rates[tenant] = TokenBucket(rate.per_s, rate.burst, now)
                self.rates[tenant].carry_over(bucket, now)
