"""A route of the service file as figures: what the module is handed, and what is counted beside it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from driftstair.limits.budgets import TokenBucket, TokenBudget
from driftstair.limits.latency import Latencies
from driftstair.service import schema
from lichenspring import interface as api
from lichenspring.interface import Result

RESULTS = {
    "error": Result.ERROR, "full": Result.FULL, "timeout": Result.TIMEOUT, "connect": Result.CONNECT_FAILED,
    "reset": Result.RESET,
}  # fmt: skip
ALWAYS = frozenset((Result.NOT_SENT,))  # never left the node: no limit is about it
EVERY = ALWAYS | frozenset(RESULTS.values())
MAY_HAVE_RUN = ("error", "timeout", "reset")
ADMITTED = {"normal": 1.0, "low": 0.7, "lowest": 0.4}  # of the class's cap
BACK_OFF_MOST = 10  # times the first, where the file says nothing


@dataclass(frozen=True, slots=True)
class RouteRules:
    """The figures of one route, fixed for as long as a request has them. Durations in ns; 0: none."""

    name: str
    module_limits: api.Limits
    total: int
    body: int  # bytes; 0: as the node's own limit
    in_flight: int
    rate: schema.Rate | None
    retry_budget: schema.Budget | None
    copy_after: int
    copy_at: float
    copy_budget: schema.Budget | None

    def copies(self) -> bool:
        return self.copy_budget is not None


def compile_rules(route: schema.Route, index: int, attempts_most: int) -> RouteRules:
    retry, times, copy = route.retry, route.timeout, route.copy_
    again = EVERY if retry.on is None else ALWAYS | {RESULTS[name] for name in retry.on}
    most = retry.backoff_most if retry.backoff_most is not None else BACK_OFF_MOST * retry.backoff
    attempts = retry.attempts if retry.attempts is not None else attempts_most
    handed = api.Limits(
        max_attempts=min(attempts, attempts_most), time_out=times.attempt or 0,
        first_byte=times.first_byte or 0, retry_on=again, backoff=retry.backoff, max_backoff=most,
        jitter=retry.jitter, cap_fraction=ADMITTED[route.admit.priority], route=index,
    )  # fmt: skip
    return RouteRules(
        route.name, handed, times.total or 0, route.admit.body or 0, route.admit.in_flight or 0,
        route.admit.rate, retry.budget, (copy.after or 0) if copy else 0,
        (copy.at or 0.0) if copy else 0.0, copy.budget if copy else None,
    )  # fmt: skip


def no_fleet(name: str) -> TokenBudget:
    """Of a node that shares no budget with others."""
    raise KeyError(name)


def _tokens(
    budget: schema.Budget | None, now: int, fleet: Callable[[str], TokenBudget]
) -> TokenBudget | None:
    if budget is None:
        return None
    return fleet(budget.fleet) if budget.fleet else TokenBucket(budget.floor, budget.burst, now)


class State:
    """What is counted of one route; it outlives a reload under the route's name. `fleet`: a budget of the
    fleet, by its name."""

    __slots__ = ("copies", "in_flight", "latencies", "rate", "rates", "retries", "rules")

    def __init__(self, rules: RouteRules, now: int, fleet: Callable[[str], TokenBudget] = no_fleet) -> None:
        self.rules = rules
        self.in_flight = 0
        self.latencies = Latencies()
        self.rates: dict[int, TokenBucket] = {}
        self.retries = _tokens(rules.retry_budget, now, fleet)
        self.copies = _tokens(rules.copy_budget, now, fleet)
        self.rate = fleet(rules.rate.fleet) if rules.rate is not None and rules.rate.fleet else None

    def change(self, rules: RouteRules, now: int, fleet: Callable[[str], TokenBudget] = no_fleet) -> None:
        """Other figures for the same route, for whoever counts here already too."""
        changed = State(rules, now, fleet)
        changed.take_over(self, now)
        self.rules, self.rate, self.rates = rules, changed.rate, changed.rates
        self.retries, self.copies = changed.retries, changed.copies

    def take_over(self, old: State, now: int) -> None:
        """A reload is no new burst, and forgets neither who is in flight nor how long answers take."""
        self.in_flight = old.in_flight
        self.latencies = old.latencies
        for mine, its in ((self.retries, old.retries), (self.copies, old.copies)):
            if isinstance(its, TokenBucket) and mine is not None:
                mine.carry_over(its, now)
        rate = self.rules.rate
        if rate is None or rate.per_s is None:
            return
        if old.rules.rate is not None and rate.by == old.rules.rate.by:
            for who, bucket in old.rates.items():
                self.rates[who] = TokenBucket(rate.per_s, rate.burst, now)
                self.rates[who].carry_over(bucket, now)
