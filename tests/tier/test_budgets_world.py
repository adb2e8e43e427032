"""A fleet budget in a modelled tier: how much of it is used, and that it is never overspent."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

import pytest

from driftstair.model.tier.budgets import Fleet, Lending
from driftstair.model.tier.world import NS_PER_S, Link
from driftstair.tier.shared.budget import TERMS, Budget, BudgetSpec
from driftstair.tier.shared.core import RecordEvent, SendItems, SharedState
from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms

BURST_NS = 5 * NS_PER_S
NODE_COUNT = 20
BUDGET_SPEC = BudgetSpec("retries", 2.0 * NODE_COUNT, BURST_NS)
SETTLE_TIME_S = 15.0  # until all nodes have started and found lenders


def concentrated_demand(seed: int, count: int = NODE_COUNT) -> dict[int, float]:
    """Returns a demand of 1.5 times the budget, at a tenth of the nodes."""
    nodes = Random(seed).sample(range(count), count // 10)
    return dict.fromkeys(nodes, 1.5 * BUDGET_SPEC.per_s / len(nodes))


def start_fleet(seed: int, method: str = "lending", link: Link | None = None) -> Fleet:
    """Returns a fleet that has run until its loans have settled."""
    started_fleet = Fleet(method, NODE_COUNT, seed, BUDGET_SPEC, concentrated_demand(seed), link or Link())
    started_fleet.world.run(SETTLE_TIME_S)
    return started_fleet


def allowed_excess() -> float:
    """Returns the tokens that may be spent in a window beyond the rate."""
    return BUDGET_SPEC.per_s * BURST_NS / NS_PER_S + 1e-6


@pytest.mark.parametrize("seed", range(3))
def test_nine_tenths_of_the_budget_are_used_if_a_tenth_of_the_nodes_have_all_demand(seed: int) -> None:
    assert start_fleet(seed).used_fraction(20.0) >= 0.9
    assert start_fleet(seed, "fixed").used_fraction(20.0) < 0.15


@pytest.mark.parametrize("seed", range(3))
def test_the_remaining_budget_is_used_after_half_of_the_nodes_crashed(seed: int) -> None:
    modelled_fleet = start_fleet(seed)
    busy_nodes = set(modelled_fleet.demand)
    modelled_fleet.crash(
        [number for number in range(NODE_COUNT) if number not in busy_nodes][: NODE_COUNT // 2]
    )
    modelled_fleet.world.run(5.0)
    assert modelled_fleet.used_fraction(10.0, rate_per_s=BUDGET_SPEC.per_s / 2) >= 0.9


def test_an_isolated_node_has_its_own_shares_again_within_the_time_of_a_loan() -> None:
    modelled_fleet = start_fleet(1)
    idle = next(number for number in range(NODE_COUNT) if number not in modelled_fleet.demand)
    lender: Lending = modelled_fleet.world.hosts[idle].detector  # type: ignore[assignment]
    assert lender.held_shares() == TERMS.floor  # all other shares are lent
    modelled_fleet.cut({idle})
    modelled_fleet.world.run(TERMS.lender_wait_ns() / NS_PER_S + 0.01)
    assert lender.held_shares() == TERMS.shares


def test_partitioned_halves_overspend_with_gossip_and_not_with_lending() -> None:
    def excess_tokens(method: str) -> float:
        modelled_fleet = start_fleet(2, method)
        first = min(modelled_fleet.demand)
        modelled_fleet.cut(
            {
                first,
                *[number for number in range(NODE_COUNT) if number not in modelled_fleet.demand][
                    : NODE_COUNT // 2
                ],
            }
        )
        modelled_fleet.world.run(60.0)
        return modelled_fleet.max_overspend()

    assert excess_tokens("gossip") > allowed_excess() > excess_tokens("lending")


@pytest.mark.parametrize("seed", range(12))
def test_no_window_is_overspent_under_random_faults(seed: int) -> None:
    random = Random(seed)
    modelled_fleet = Fleet(
        "lending",
        NODE_COUNT,
        seed,
        BUDGET_SPEC,
        concentrated_demand(seed),
        Link(loss=0.1, duplicate=0.1, max_delay_ns=NS_PER_S),
    )
    world = modelled_fleet.world
    for _ in range(60):
        number = random.randrange(NODE_COUNT)
        match random.randrange(6):
            case 0 if world.is_running(number):
                world.crash(number)
            case 1 if not world.is_running(number):
                world.start(number)
            case 2:
                world.stop(number)
            case 3 if world.hosts[number].stopped:
                world.resume(number)
            case 4:
                modelled_fleet.cut(set(random.sample(range(NODE_COUNT), random.randrange(NODE_COUNT))))
            case 5:
                modelled_fleet.cut(set())
        world.run(random.uniform(0.1, 2.0))
    assert len(modelled_fleet.spent) > 100
    assert modelled_fleet.max_overspend() <= allowed_excess()


def test_a_later_borrower_gets_shares_that_were_lent_to_another_before() -> None:
    first, second = 0, 1
    modelled_fleet = Fleet("lending", NODE_COUNT, 5, BUDGET_SPEC, {first: 2 * BUDGET_SPEC.per_s})
    modelled_fleet.world.run(SETTLE_TIME_S)
    modelled_fleet.demand[second] = 2 * BUDGET_SPEC.per_s
    modelled_fleet._request_token(second)
    modelled_fleet.world.run(SETTLE_TIME_S)
    held: list[int] = [
        modelled_fleet.world.hosts[number].detector.held_shares() for number in (first, second)
    ]  # type: ignore
    assert min(held) > 0.4 * max(held)


# Nodes without a modelled world.


def open_pair(now_ns: int = 0) -> tuple[SharedState, SharedState]:
    """Returns two open nodes, which know each other."""
    cores = []
    for own_number in (0, 1):
        core = SharedState((BUDGET_SPEC,), Random(own_number), lambda own_number=own_number: [1 - own_number])  # type: ignore[misc]
        core.open(now_ns - 10 * NS_PER_S, own_number, 7, 2)
        cores.append(core)
    return cores[0], cores[1]


def sent_items(actions: list[SendItems | RecordEvent]) -> Iterator[bytes]:
    return (action.items for action in actions if isinstance(action, SendItems))


def exhaust_budget(core: SharedState, now_ns: int, tokens: int = 4000) -> None:
    """Spends all tokens of a node and makes its demand high."""
    for _ in range(tokens):
        core.budgets["retries"].spend(now_ns)


def test_a_planned_shutdown_returns_all_loans_and_requests_no_more() -> None:
    borrower, lender = open_pair()
    exhaust_budget(borrower, 0)
    (items,) = sent_items(borrower.wake(NS_PER_S))
    (grants,) = sent_items(lender.on_datagram(NS_PER_S, 0, 7, items))
    borrower.on_datagram(NS_PER_S, 1, 7, grants)
    borrower_escrow, lender_escrow = borrower.budgets["retries"].escrow, lender.budgets["retries"].escrow
    assert (borrower_escrow.held_shares(NS_PER_S), lender_escrow.held_shares(NS_PER_S)) == (
        TERMS.shares * 2 - TERMS.floor,
        TERMS.floor,
    )
    (give_back,) = sent_items(borrower.leave(NS_PER_S))
    lender.on_datagram(NS_PER_S, 0, 7, give_back)
    assert (borrower_escrow.held_shares(NS_PER_S), lender_escrow.held_shares(NS_PER_S)) == (
        TERMS.shares,
        TERMS.shares,
    )
    exhaust_budget(borrower, NS_PER_S)
    assert not list(sent_items(borrower.wake(3 * NS_PER_S)))


def test_a_superseded_or_unbound_process_holds_no_shares() -> None:
    core, _ = open_pair()
    core.close()
    assert core.budgets == {} and core.wake(10 * NS_PER_S) == []
    assert core.update_specs(NS_PER_S, (BUDGET_SPEC,)) == []


def test_a_changed_rate_applies_at_once_and_scales_the_accumulated_tokens() -> None:
    core, _ = open_pair()
    budget = core.budgets["retries"]
    budget.bucket.advance(0)
    before = budget.bucket.tokens(0)
    assert before == pytest.approx(BUDGET_SPEC.per_s / 2 * 5)
    core.update_specs(0, (BUDGET_SPEC._replace(per_s=BUDGET_SPEC.per_s / 10),))
    assert budget.bucket.tokens(0) == pytest.approx(before / 10)
    assert core.update_specs(0, (BUDGET_SPEC._replace(per_s=BUDGET_SPEC.per_s / 10),)) == []
    core.update_specs(0, (BUDGET_SPEC._replace(name="other"),))
    assert list(core.budgets) == ["other"]
    assert core.budgets["other"].escrow.held_shares(0) == TERMS.floor


@pytest.mark.parametrize(
    ("items", "count"),
    [
        (b"\xc1", "unreadable"), (b"\x91" * 180, "unreadable"), (b"\x91\x90", "unreadable"),
        (b"\x91\x91\x63", "other_kind"), (b"\x91\x92\x01\x05", "too_few_fields"),
        (b"\x91\x96\x01\xff\x01\x01\x01\x01", "out_of_range"),
        (b"\x91\x96\x01\x07\x01\x01\x01\x01", "other_budget"),
    ],
)  # fmt: skip
def test_invalid_items_are_counted_and_ignored(items: bytes, count: str) -> None:
    core, _ = open_pair()
    assert core.on_datagram(NS_PER_S, 1, 7, items) == []
    assert +core.discarded == {count: 1}


# Planted defects, which must break the bound.


def shortened_wait_ns(self: Terms) -> int:
    return self.lent // 4


def init_with_all_shares(
    self: Escrow, own_number: int, generation: int, terms: Terms, started_ns: int
) -> None:
    original_init(self, own_number, generation, terms, started_ns - 2 * terms.lender_wait_ns())


original_init = Escrow.__init__


@pytest.mark.parametrize(
    ("where", "name", "defect"),
    [(Terms, "lender_wait_ns", shortened_wait_ns), (Escrow, "__init__", init_with_all_shares)],
)
def test_a_planted_defect_gives_a_share_two_holders(
    where: type, name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, defect)
    assert any(shares_held_twice(seed) for seed in range(6))


def shares_held_twice(seed: int) -> bool:
    """Returns whether more shares are held at once than there are, with random crashes and partitions."""
    random = Random(seed)
    modelled_fleet = Fleet("lending", 8, seed, BUDGET_SPEC._replace(per_s=16.0), {0: 24.0}, Link(loss=0.2))
    for _ in range(80):
        number = random.randrange(1, 8)
        modelled_fleet.cut(set(random.sample(range(8), random.randrange(8))))
        if random.random() < 0.3:
            modelled_fleet.world.crash(number)
            modelled_fleet.world.start(number)
        modelled_fleet.world.run(random.uniform(0.2, 1.5))
        running = [host.detector for host in modelled_fleet.world.hosts if host.detector is not None]
        if sum(node.held_shares() for node in running) > 8 * TERMS.shares:  # type: ignore[attr-defined]
            return True
    return False


def test_without_a_defect_no_share_has_two_holders() -> None:
    assert not any(shares_held_twice(seed) for seed in range(6))


def test_a_request_that_cannot_be_served_is_answered_with_a_grant_of_no_shares() -> None:
    budget = Budget(BUDGET_SPEC, 0, 7, 2, 0, Random(0), lambda: [1])
    assert budget.on_ask(NS_PER_S, Ask(1, 7, 5, 3)) == [Grant(0, 7, 0, 1, 7, 5, 0)]
    later = TERMS.lender_wait_ns()
    (grant,) = budget.on_ask(later, Ask(1, 7, 5, 3))
    assert grant.shares == 3
    budget.on_give_back(later, GiveBack(0, 7, grant.loan, 1))
    assert [event.action for event in budget.loan_events] == ["lent", "returned"]
