"""A budget of the fleet in a modelled tier: what is used of it, and never more than there is."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random

import pytest

from driftstair.model.tier.budgets import Fleet, Lending
from driftstair.model.tier.world import NS_PER_S, Link
from driftstair.tier.shared.budget import TERMS, Budget, Spec
from driftstair.tier.shared.core import RecordEvent, SendItems, SharedState
from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms

BURST = 5 * NS_PER_S
COUNT = 20
SPEC = Spec("retries", 2.0 * COUNT, BURST)
SETTLED = 15.0  # s: all have started, and found out who lends


def busy(seed: int, count: int = COUNT) -> dict[int, float]:
    """A tenth of the nodes want half as much again as there is."""
    some = Random(seed).sample(range(count), count // 10)
    return dict.fromkeys(some, 1.5 * SPEC.per_s / len(some))


def fleet(seed: int, way: str = "lending", link: Link | None = None) -> Fleet:
    out = Fleet(way, COUNT, seed, SPEC, busy(seed), link or Link())
    out.world.run(SETTLED)
    return out


def allowed() -> float:
    """Tokens that a window may go over the rate."""
    return SPEC.per_s * BURST / NS_PER_S + 1e-6


@pytest.mark.parametrize("seed", range(3))
def test_nine_tenths_are_used_where_a_tenth_of_the_nodes_want_it(seed: int) -> None:
    assert fleet(seed).used_fraction(20.0) >= 0.9
    assert fleet(seed, "fixed").used_fraction(20.0) < 0.15


@pytest.mark.parametrize("seed", range(3))
def test_what_is_left_is_used_again_once_half_of_the_nodes_are_lost(seed: int) -> None:
    play = fleet(seed)
    wanting = set(play.demand)
    play.crash([number for number in range(COUNT) if number not in wanting][: COUNT // 2])
    play.world.run(5.0)
    assert play.used_fraction(10.0, rate_per_s=SPEC.per_s / 2) >= 0.9


def test_a_node_cut_off_has_its_own_part_again_within_the_time_of_a_loan() -> None:
    play = fleet(1)
    idle = next(number for number in range(COUNT) if number not in play.demand)
    lender: Lending = play.world.hosts[idle].detector  # type: ignore[assignment]
    assert lender.held_shares() == TERMS.floor  # all else is lent
    play.cut({idle})
    play.world.run(TERMS.waited() / NS_PER_S + 0.01)
    assert lender.held_shares() == TERMS.shares


def test_by_gossip_two_halves_overspend_and_by_lending_they_do_not() -> None:
    def over(way: str) -> float:
        play = fleet(2, way)
        first = min(play.demand)
        play.cut({first, *[number for number in range(COUNT) if number not in play.demand][: COUNT // 2]})
        play.world.run(60.0)
        return play.max_overspend()

    assert over("gossip") > allowed() > over("lending")


@pytest.mark.parametrize("seed", range(12))
def test_whatever_befalls_the_nodes_no_window_is_overspent(seed: int) -> None:
    random = Random(seed)
    play = Fleet(
        "lending", COUNT, seed, SPEC, busy(seed), Link(loss=0.1, duplicate=0.1, max_delay_ns=NS_PER_S)
    )
    world = play.world
    for _ in range(60):
        number = random.randrange(COUNT)
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
                play.cut(set(random.sample(range(COUNT), random.randrange(COUNT))))
            case 5:
                play.cut(set())
        world.run(random.uniform(0.1, 2.0))
    assert len(play.spent) > 100
    assert play.max_overspend() <= allowed()


def test_those_that_have_little_get_a_part_of_what_others_had_first() -> None:
    one, other = 0, 1
    play = Fleet("lending", COUNT, 5, SPEC, {one: 2 * SPEC.per_s})
    play.world.run(SETTLED)
    play.demand[other] = 2 * SPEC.per_s
    play._request_token(other)
    play.world.run(SETTLED)
    held: list[int] = [play.world.hosts[number].detector.held_shares() for number in (one, other)]  # type: ignore
    assert min(held) > 0.4 * max(held)


# One node by itself.


def pair(now: int = 0) -> tuple[SharedState, SharedState]:
    out = []
    for own in (0, 1):
        core = SharedState((SPEC,), Random(own), lambda own=own: [1 - own])  # type: ignore[misc]
        core.open(now - 10 * NS_PER_S, own, 7, 2)
        out.append(core)
    return out[0], out[1]


def carried(actions: list[SendItems | RecordEvent]) -> Iterator[bytes]:
    return (action.items for action in actions if isinstance(action, SendItems))


def wanting(core: SharedState, now: int, tokens: int = 4000) -> None:
    for _ in range(tokens):
        core.budgets["retries"].spend(now)


def test_what_is_borrowed_goes_back_at_a_planned_end_and_is_not_asked_for_again() -> None:
    one, other = pair()
    wanting(one, 0)
    (items,) = carried(one.wake(NS_PER_S))
    (grants,) = carried(other.heard(NS_PER_S, 0, 7, items))
    one.heard(NS_PER_S, 1, 7, grants)
    mine, its = one.budgets["retries"].escrow, other.budgets["retries"].escrow
    assert (mine.held(NS_PER_S), its.held(NS_PER_S)) == (TERMS.shares * 2 - TERMS.floor, TERMS.floor)
    (back,) = carried(one.leave(NS_PER_S))
    other.heard(NS_PER_S, 0, 7, back)
    assert (mine.held(NS_PER_S), its.held(NS_PER_S)) == (TERMS.shares, TERMS.shares)
    wanting(one, NS_PER_S)
    assert not list(carried(one.wake(3 * NS_PER_S)))


def test_a_superseded_or_unbound_process_holds_nothing() -> None:
    one, _ = pair()
    one.close()
    assert one.budgets == {} and one.wake(10 * NS_PER_S) == []
    assert one.update_specs(NS_PER_S, (SPEC,)) == []


def test_another_rate_counts_from_now_on_and_saves_up_nothing() -> None:
    one, _ = pair()
    budget = one.budgets["retries"]
    budget.bucket.advance(0)
    before = budget.bucket.tokens(0)
    assert before == pytest.approx(SPEC.per_s / 2 * 5)
    one.update_specs(0, (SPEC._replace(per_s=SPEC.per_s / 10),))
    assert budget.bucket.tokens(0) == pytest.approx(before / 10)
    assert one.update_specs(0, (SPEC._replace(per_s=SPEC.per_s / 10),)) == []
    one.update_specs(0, (SPEC._replace(name="other"),))
    assert list(one.budgets) == ["other"]
    assert one.budgets["other"].escrow.held(0) == TERMS.floor


@pytest.mark.parametrize(
    ("items", "count"),
    [
        (b"\xc1", "unreadable"), (b"\x91" * 180, "unreadable"), (b"\x91\x90", "unreadable"),
        (b"\x91\x91\x63", "other_kind"), (b"\x91\x92\x01\x05", "too_few_fields"),
        (b"\x91\x96\x01\xff\x01\x01\x01\x01", "out_of_range"),
        (b"\x91\x96\x01\x07\x01\x01\x01\x01", "other_budget"),
    ],
)  # fmt: skip
def test_items_that_are_none_are_counted_and_passed_over(items: bytes, count: str) -> None:
    one, _ = pair()
    assert one.heard(NS_PER_S, 1, 7, items) == []
    assert +one.discarded == {count: 1}


# Defects that the bound must not bear.


def unwaited(self: Terms) -> int:
    return self.lent // 4


def minted(self: Escrow, own: int, generation: int, terms: Terms, started: int) -> None:
    plain(self, own, generation, terms, started - 2 * terms.waited())


plain = Escrow.__init__


@pytest.mark.parametrize(
    ("where", "name", "defect"),
    [(Terms, "waited", unwaited), (Escrow, "__init__", minted)],
)
def test_a_planted_defect_overspends(
    where: type, name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, defect)
    assert any(shares_held_twice(seed) for seed in range(6))


def shares_held_twice(seed: int) -> bool:
    random = Random(seed)
    play = Fleet("lending", 8, seed, SPEC._replace(per_s=16.0), {0: 24.0}, Link(loss=0.2))
    for _ in range(80):
        number = random.randrange(1, 8)
        play.cut(set(random.sample(range(8), random.randrange(8))))
        if random.random() < 0.3:
            play.world.crash(number)
            play.world.start(number)
        play.world.run(random.uniform(0.2, 1.5))
        running = [host.detector for host in play.world.hosts if host.detector is not None]
        if sum(node.held_shares() for node in running) > 8 * TERMS.shares:  # type: ignore[attr-defined]
            return True
    return False


def test_without_a_defect_no_share_is_held_twice() -> None:
    assert not any(shares_held_twice(seed) for seed in range(6))


def test_a_grant_of_nothing_is_answered_to_one_that_can_not_be_served() -> None:
    budget = Budget(SPEC, 0, 7, 2, 0, Random(0), lambda: [1])
    assert budget.asked(NS_PER_S, Ask(1, 7, 5, 3)) == [Grant(0, 7, 0, 1, 7, 5, 0)]
    later = TERMS.waited()
    (grant,) = budget.asked(later, Ask(1, 7, 5, 3))
    assert grant.shares == 3
    budget.returned(later, GiveBack(0, 7, grant.loan, 1))
    assert [note.what for note in budget.notes] == ["lent", "returned"]
