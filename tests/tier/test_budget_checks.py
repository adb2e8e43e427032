"""The checks of fleet budgets on constructed histories, and the interface of a budget to routes."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from driftstair.rehearsal.tier.budgets import check, spending
from driftstair.tier.shared.budget import TERMS, BudgetSpec
from driftstair.tier.shared.core import SharedState
from driftstair.tier.shared.escrow import Grant
from driftstair.tier.sharing import FleetTokens, Sharing

SECOND = 1_000_000_000
BUDGET_SPEC = BudgetSpec("b", 10.0, 2 * SECOND)


def budget_event(node: int, per_s: float = 10.0) -> dict[str, Any]:
    return {
        "t_ns": 0, "node": node, "life": 1, "event": "budget", "budget": "b", "per_s": per_s,
        "burst_ns": 2 * SECOND, "nodes": 2, "shares": 32, "floor": 1, "lent_ns": 3 * SECOND, "drift": 0.01,
        "own": 32,
    }  # fmt: skip


def spend_events(node: int, count: int, start_s: float, interval_s: float) -> list[dict[str, Any]]:
    times_ns = [int((start_s + number * interval_s) * SECOND) for number in range(count)]
    return [
        {"t_ns": time_ns, "node": node, "event": "spend", "budget": "b", "amount": 1.0}
        for time_ns in times_ns
    ]


def escrow_event(
    node: int, what: str, other: int, time_s: float, until_s: float, loan: int = 1, shares: int = 8
) -> dict[str, Any]:
    return {
        "t_ns": int(time_s * SECOND), "node": node, "event": "right", "budget": "b", "what": what,
        "other": other, "lender_life": 1, "loan": loan, "shares": shares,
        "until_ns": int(until_s * SECOND),
    }  # fmt: skip


def test_spending_above_the_rate_and_the_accumulated_tokens_is_found() -> None:
    steady = spend_events(0, 1000, 0.0, 0.1)
    assert check([budget_event(0), *steady, *spend_events(1, 19, 50.0, 0.001)]) == []
    (finding,) = check([budget_event(0), *steady, *spend_events(1, 24, 50.0, 0.001)])
    assert finding.rule == "a budget of the fleet is overspent"
    assert "20.0 may be saved up" in finding.evidence
    assert spending([budget_event(0), *steady])["b"].spent == 1000


def test_an_overspent_short_window_within_a_quiet_history_is_found() -> None:
    assert check(
        [
            budget_event(0),
            *spend_events(0, 1, 0.0, 1.0),
            *spend_events(0, 30, 500.0, 0.01),
            *spend_events(0, 5, 900.0, 1.0),
        ]
    )


def test_the_greater_rate_applies_while_a_new_file_is_rolled_out() -> None:
    fast = spend_events(0, 200, 0.0, 0.05)
    assert check([budget_event(0), *fast]) and check([budget_event(0), budget_event(1, 20.0), *fast]) == []


def restart_event(own: int) -> dict[str, Any]:
    return budget_event(0) | {"t_ns": 2 * SECOND, "own": own}


LOAN_EVENTS = [budget_event(0), escrow_event(0, "lent", 1, 1.0, 4.1), escrow_event(1, "took", 0, 1.01, 4.0)]


@pytest.mark.parametrize(
    ("more_events", "has_violation"),
    [
        ([], False),
        ([escrow_event(0, "extended", 1, 3.0, 6.1), escrow_event(1, "renewed", 0, 3.01, 6.0)], False),
        ([escrow_event(1, "gave", 0, 2.0, 2.0), escrow_event(0, "returned", 1, 2.01, 2.01)], False),
        ([escrow_event(1, "renewed", 0, 3.01, 6.0)], True),  # the lender has no record of the extension
        ([escrow_event(0, "returned", 1, 2.0, 2.0)], True),  # the borrower did not return the loan
        ([escrow_event(1, "took", 0, 2.0, 5.0, loan=2)], True),
        ([restart_event(1)], False),
        ([restart_event(32)], True),  # the restarted process does not know of the loan
        ([escrow_event(0, "lent", 2, 2.0, 5.0, loan=2, shares=25)], True),  # more shares than the lender has
    ],
)
def test_shares_with_two_holders_are_found(more_events: list[dict[str, Any]], has_violation: bool) -> None:
    findings = check([*LOAN_EVENTS, *more_events])
    assert [finding.rule for finding in findings] == ["a share of a budget has two holders"] * has_violation


class Clock:
    """Clock that a test sets."""

    def __init__(self) -> None:
        self.now = 0

    def __call__(self) -> int:
        return self.now


def fleet_tokens() -> tuple[FleetTokens, SharedState, Clock, list[str]]:
    clock, spent_names = Clock(), list[str]()
    core = SharedState((BUDGET_SPEC,), Random(0), lambda: [])
    core.open(-10 * SECOND, 0, 1, 2)
    return FleetTokens(core, "b", clock, spent_names.append), core, clock, spent_names


def test_tokens_that_were_checked_and_not_used_are_available_again() -> None:
    tokens, core, clock, spent_names = fleet_tokens()
    for _ in range(50):
        assert tokens.has(0)
    assert core.budgets["b"].bucket.tokens(0) == pytest.approx(9.0)
    assert tokens.take(0) and spent_names == ["b"]
    assert sum(tokens.take(0) for _ in range(50)) == 9 and len(spent_names) == 10
    assert not tokens.has(0)
    assert tokens.ns_until(0) == pytest.approx(SECOND / 5, rel=1e-3)
    clock.now = SECOND
    assert sum(tokens.take(0) for _ in range(50)) == 5


def test_a_check_uses_the_machines_clock_instead_of_the_events_time() -> None:
    """By the time of the event the loan still runs; by the machine's clock it has expired."""
    tokens, core, clock, _ = fleet_tokens()
    budget = core.budgets["b"]
    while tokens.take(0):
        pass
    budget.on_grant(0, Grant(1, 1, 1, 0, 1, budget.escrow.ask(0, 31).sent_at, 31))
    assert budget.escrow.held_shares(SECOND) == TERMS.shares + 31
    clock.now = 60 * SECOND
    assert sum(tokens.take(SECOND) for _ in range(100)) <= 10  # tokens of its own shares, none of the loan


def test_a_node_without_escrow_spends_nothing() -> None:
    tokens, core, _, spent_names = fleet_tokens()
    assert tokens.has(0)
    core.close()
    assert not tokens.has(0) and not tokens.take(0) and tokens.ns_until(0) == 0 and spent_names == []


def test_the_report_states_held_own_and_lent_shares_and_tokens() -> None:
    clock, written_events = Clock(), list[str]()

    def record_event(event: str, **_: Any) -> None:
        written_events.append(event)

    sharing = Sharing((BUDGET_SPEC,), Random(0), clock, lambda: [1], lambda to, items: None, record_event)
    sharing.open(0, 1, 2)
    clock.now = 10 * SECOND
    assert sharing.fleet_tokens("b").take(0) and written_events == ["budget", "spend"]
    (budget,) = sharing.report()["budgets"].values()
    assert (budget["held_per_s"], budget["home_per_s"], budget["lent_per_s"]) == (5.0, 5.0, 0.0)
    assert budget["saved"] == pytest.approx(9.0, abs=0.5) and budget["spent"] == 1
