"""A budget's shares: never two holders of one, whatever is lost, late, repeated, paused or restarted."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from driftstair.tier.shared import escrow as module
from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms
from driftstair.tier.shared.token_bucket import TokenBucket

SECOND = 1_000_000_000
NODES = 4
TERMS = Terms(shares=6, floor=2, lent=2 * SECOND, drift=0.05)
SHARE, DEPTH = 5.0, 0.5  # tokens a second, s
BUDGET = NODES * TERMS.shares * SHARE


class Clock:
    """Off by hours, and fast or slow by no more than is stated."""

    def __init__(self, random: Random) -> None:
        self._offset = random.randrange(10_000) * SECOND
        self._rate = 1 + random.choice((-1, 1)) * TERMS.drift * random.random() ** 0.2

    def at(self, now: int) -> int:
        return self._offset + int(now * self._rate)


class Play:
    """Random steps in true time `now`, checked after each; every node spends all that it may."""

    def __init__(self, seed: int) -> None:
        self.random = random = Random(seed)
        self.now = 0
        self.clocks = [Clock(random) for _ in range(NODES)]
        self.generations = [0] * NODES
        self.stopped: set[int] = set()
        self.purses: list[TokenBucket | None] = [None] * NODES
        self.flight: list[tuple[int, int, Ask | Grant | GiveBack]] = []
        self.old: list[tuple[int, Ask | Grant | GiveBack]] = []
        self.spent: list[int] = []  # true ns of each token
        for number in range(NODES):
            self.start(number)

    def start(self, number: int) -> None:
        self.generations[number] += 1
        at = self.clocks[number].at(self.now)
        self.purses[number] = TokenBucket(
            Escrow(number, self.generations[number], TERMS, at), SHARE, DEPTH, at
        )

    def send(self, to: int, message: Ask | Grant | GiveBack) -> None:
        self.old = [*self.old[-40:], (to, message)]
        if self.random.random() > 0.15:
            late = self.random.choice((0.001, 0.05, 0.5, 1.9, 4.0, 3600.0))
            self.flight.append((self.now + int(late * SECOND), to, message))

    def deliver(self, to: int, message: Ask | Grant | GiveBack) -> None:
        purse = self.purses[to]
        if purse is None or to in self.stopped:
            return
        at = self.clocks[to].at(self.now)
        purse.advance(at)
        if isinstance(message, Ask):
            grant = purse.escrow.lend(at, message, self.random.randint(1, 4))
            if grant is not None:
                self.send(grant.borrower, grant)
        elif isinstance(message, Grant):
            purse.escrow.take(at, message)
        else:
            purse.escrow.returned(message)
        purse.advance(at)

    def step(self) -> None:
        random = self.random
        self.now += random.choice((1, 10, 50, 200, 900)) * SECOND // 1000
        due = [one for one in self.flight if one[0] <= self.now]
        self.flight = [one for one in self.flight if one[0] > self.now]
        random.shuffle(due)
        for _, to, message in due:
            self.deliver(to, message)
        if self.old and random.random() < 0.3:
            self.deliver(*random.choice(self.old))
        number = random.randrange(NODES)
        purse, at = self.purses[number], self.clocks[number].at(self.now)
        chance = random.random()
        if purse is None:
            if chance < 0.5:
                self.start(number)
        elif number in self.stopped:
            if chance < 0.4:
                self.stopped.discard(number)
        elif chance < 0.05:
            self.purses[number] = None
        elif chance < 0.12:
            self.stopped.add(number)
        elif chance < 0.2:
            purse.advance(at)
            for back in purse.escrow.give_back(at, random.randint(1, 4)):
                self.send(back.lender, back)
            purse.advance(at)
        elif chance < 0.8:
            other = random.randrange(NODES)
            self.send(other, purse.escrow.ask(at, random.randint(1, 6)))
        for other, one in enumerate(self.purses):
            if one is not None and other not in self.stopped:
                while one.spend(self.clocks[other].at(self.now)):
                    self.spent.append(self.now)

    def held(self) -> list[int]:
        return [
            purse.escrow.held(self.clocks[number].at(self.now))
            for number, purse in enumerate(self.purses) if purse is not None
        ]  # fmt: skip


def broken(seed: int, steps: int = 400) -> str:
    """The first time that a share has two holders, or more is spent than the budget; empty: never."""
    play = Play(seed)
    for step in range(steps):
        play.step()
        held = play.held()
        if sum(held) > NODES * TERMS.shares:
            return f"step {step}: {held} shares held of {NODES * TERMS.shares}"
    for first in range(0, len(play.spent), 5):
        for last in range(first, len(play.spent), 7):
            span = (play.spent[last] - play.spent[first]) / SECOND
            if last - first + 1 > BUDGET * (span + DEPTH) * (1 + TERMS.drift) + 1e-6:
                return f"{last - first + 1} spent in {span} s"
    return ""


@pytest.mark.parametrize("block", range(6))
def test_no_share_has_two_holders_and_no_window_overspends(block: int) -> None:
    for seed in range(block * 10, block * 10 + 10):
        assert broken(seed) == "", seed


def test_loans_are_made_and_used() -> None:
    """Else the above would hold for nothing."""
    most = 0
    for seed in range(10):
        play = Play(seed)
        for _ in range(200):
            play.step()
            most = max(most, *play.held(), 0)
    assert most > TERMS.shares


def unwaited(self: Terms) -> int:
    return self.lent


def minted(self: Escrow, own: int, generation: int, terms: Terms, started: int) -> None:
    plain(self, own, generation, terms, started - 2 * terms.waited())


def from_arrival(self: Escrow, now: int, grant: Grant) -> bool:
    return taken(self, now, grant._replace(asked_at=now))


plain, taken = Escrow.__init__, Escrow.take


@pytest.mark.parametrize(
    ("where", "name", "defect"),
    [(Terms, "waited", unwaited), (Escrow, "__init__", minted), (Escrow, "take", from_arrival)],
)
def test_a_planted_defect_is_found(
    where: type, name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, defect)
    assert any(broken(seed) for seed in range(120))


def test_a_grant_that_is_late_repeated_or_anothers_gives_nothing() -> None:
    lender, borrower = Escrow(0, 1, TERMS, -100 * SECOND), Escrow(1, 1, TERMS, -100 * SECOND)
    grant = lender.lend(0, borrower.ask(0, 3), 9)
    assert grant is not None and grant.shares == 3 and lender.held(0) == 3
    assert not borrower.take(2 * SECOND, grant)  # its time is over
    assert not borrower.take(0, grant._replace(generation=2)) and not borrower.take(
        0, grant._replace(borrower=2)
    )
    assert borrower.take(SECOND, grant) and borrower.take(SECOND, grant)
    assert borrower.held(SECOND) == 9
    (back,) = borrower.give_back(SECOND, 3)
    assert not borrower.take(SECOND, grant)  # not once it is given back
    assert borrower.held(SECOND) == 6
    lender.returned(back._replace(lender_generation=2))
    lender.returned(back._replace(borrower=2))
    assert lender.held(SECOND) == 3
    lender.returned(back)
    assert lender.held(SECOND) == 6


def test_a_node_that_hears_nothing_keeps_its_floor_and_a_lender_has_all_again_in_time() -> None:
    lender = Escrow(0, 1, TERMS, -100 * SECOND)
    assert lender.lend(0, Ask(1, 1, 0, 9), 9) is not None
    assert lender.held(0) == TERMS.floor and lender.spare(0) == 0
    assert lender.lend(0, Ask(2, 1, 0, 9), 9) is None
    assert lender.held(TERMS.waited()) == TERMS.shares


def test_a_restart_holds_its_floor_until_the_longest_loan_is_over() -> None:
    anew = Escrow(0, 2, TERMS, 0)
    assert (anew.held(0), anew.spare(0), anew.ends_at()) == (2, 0, TERMS.waited())
    assert anew.held(TERMS.waited()) == 6 and anew.ends_at() == module.NEVER


@pytest.mark.parametrize("floor", [0, -1, 7])
def test_terms_without_a_floor_or_beyond_the_shares_are_refused(floor: int) -> None:
    with pytest.raises(ValueError, match="1 to 6 would do"):
        Escrow(0, 1, Terms(6, floor), 0)
