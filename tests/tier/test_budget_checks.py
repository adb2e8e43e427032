"""The checkers of the fleet's budgets, on histories made up for them, and the daemon's side of a budget."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from driftstair.rehearsal.tier.budgets import check, spending
from driftstair.tier.shared.budget import TERMS, Spec
from driftstair.tier.shared.core import SharedState
from driftstair.tier.shared.escrow import Grant
from driftstair.tier.sharing import FleetTokens, Sharing

SECOND = 1_000_000_000
SPEC = Spec("b", 10.0, 2 * SECOND)


def told(node: int, per_s: float = 10.0) -> dict[str, Any]:
    return {
        "t_ns": 0, "node": node, "life": 1, "event": "budget", "budget": "b", "per_s": per_s,
        "burst_ns": 2 * SECOND, "nodes": 2, "shares": 32, "floor": 1, "lent_ns": 3 * SECOND, "drift": 0.01,
        "own": 32,
    }  # fmt: skip


def spends(node: int, count: int, at: float, every: float) -> list[dict[str, Any]]:
    times = [int((at + number * every) * SECOND) for number in range(count)]
    return [{"t_ns": one, "node": node, "event": "spend", "budget": "b", "amount": 1.0} for one in times]


def escrow_event(
    node: int, what: str, other: int, at: float, until: float, loan: int = 1, shares: int = 8
) -> dict[str, Any]:
    return {
        "t_ns": int(at * SECOND), "node": node, "event": "right", "budget": "b", "what": what, "other": other,
        "lender_life": 1, "loan": loan, "shares": shares, "until_ns": int(until * SECOND),
    }  # fmt: skip


def test_the_rate_and_what_was_saved_up_may_be_spent_and_no_more() -> None:
    steady = spends(0, 1000, 0.0, 0.1)
    assert check([told(0), *steady, *spends(1, 19, 50.0, 0.001)]) == []
    (found,) = check([told(0), *steady, *spends(1, 24, 50.0, 0.001)])
    assert found.rule == "a budget of the fleet is overspent"
    assert "20.0 may be saved up" in found.evidence
    assert spending([told(0), *steady])["b"].spent == 1000


def test_a_short_window_in_the_middle_of_a_quiet_history_is_found() -> None:
    assert check([told(0), *spends(0, 1, 0.0, 1.0), *spends(0, 30, 500.0, 0.01), *spends(0, 5, 900.0, 1.0)])


def test_while_a_new_file_is_spread_the_greater_budget_bounds() -> None:
    fast = spends(0, 200, 0.0, 0.05)
    assert check([told(0), *fast]) and check([told(0), told(1, 20.0), *fast]) == []


def begins(own: int) -> dict[str, Any]:
    return told(0) | {"t_ns": 2 * SECOND, "own": own}


LENT = [told(0), escrow_event(0, "lent", 1, 1.0, 4.1), escrow_event(1, "took", 0, 1.01, 4.0)]


@pytest.mark.parametrize(
    ("more", "wrong"),
    [
        ([], False),
        ([escrow_event(0, "extended", 1, 3.0, 6.1), escrow_event(1, "renewed", 0, 3.01, 6.0)], False),
        ([escrow_event(1, "gave", 0, 2.0, 2.0), escrow_event(0, "returned", 1, 2.01, 2.01)], False),
        ([escrow_event(1, "renewed", 0, 3.01, 6.0)], True),  # the lender knows nothing of it
        ([escrow_event(0, "returned", 1, 2.0, 2.0)], True),  # it was not given back
        ([escrow_event(1, "took", 0, 2.0, 5.0, loan=2)], True),
        ([begins(1)], False),
        ([begins(32)], True),  # a process that does not know of the loan
        ([escrow_event(0, "lent", 2, 2.0, 5.0, loan=2, shares=25)], True),  # more than there is
    ],
)
def test_a_share_has_one_holder(more: list[dict[str, Any]], wrong: bool) -> None:
    found = check([*LENT, *more])
    assert [one.rule for one in found] == ["a share of a budget has two holders"] * wrong


class Clock:
    def __init__(self) -> None:
        self.now = 0

    def __call__(self) -> int:
        return self.now


def tokens() -> tuple[FleetTokens, SharedState, Clock, list[str]]:
    clock, spent = Clock(), list[str]()
    core = SharedState((SPEC,), Random(0), lambda: [])
    core.open(-10 * SECOND, 0, 1, 2)
    return FleetTokens(core, "b", clock, spent.append), core, clock, spent


def test_what_was_checked_and_not_done_is_there_again() -> None:
    mine, core, clock, spent = tokens()
    for _ in range(50):
        assert mine.has(0)
    assert core.budgets["b"].bucket.tokens(0) == pytest.approx(9.0)
    assert mine.take(0) and spent == ["b"]
    assert sum(mine.take(0) for _ in range(50)) == 9 and len(spent) == 10
    assert not mine.has(0)
    assert mine.ns_until(0) == pytest.approx(SECOND / 5, rel=1e-3)
    clock.now = SECOND
    assert sum(mine.take(0) for _ in range(50)) == 5


def test_a_check_by_an_old_clock_is_one_by_the_true_one() -> None:
    """The event's time says that the loan still runs; the machine's says that it is over."""
    mine, core, clock, _ = tokens()
    budget = core.budgets["b"]
    while mine.take(0):
        pass
    budget.granted(0, Grant(1, 1, 1, 0, 1, budget.escrow.ask(0, 31).at, 31))
    assert budget.escrow.held(SECOND) == TERMS.shares + 31
    clock.now = 60 * SECOND
    assert sum(mine.take(SECOND) for _ in range(100)) <= 10  # what its own part saves up, not the loan's


def test_a_node_without_its_escrow_spends_nothing() -> None:
    mine, core, _, spent = tokens()
    assert mine.has(0)
    core.close()
    assert not mine.has(0) and not mine.take(0) and mine.ns_until(0) == 0 and spent == []


def test_the_report_says_what_is_held_lent_and_wanted() -> None:
    clock, written = Clock(), list[str]()

    def write(event: str, **_: Any) -> None:
        written.append(event)

    sharing = Sharing((SPEC,), Random(0), clock, lambda: [1], lambda to, items: None, write)
    sharing.open(0, 1, 2)
    clock.now = 10 * SECOND
    assert sharing.fleet_tokens("b").take(0) and written == ["budget", "spend"]
    (budget,) = sharing.report()["budgets"].values()
    assert (budget["held_per_s"], budget["home_per_s"], budget["lent_per_s"]) == (5.0, 5.0, 0.0)
    assert budget["saved"] == pytest.approx(9.0, abs=0.5) and budget["spent"] == 1
