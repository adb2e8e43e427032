"""A share of a budget never has two holders, with lost, late and repeated messages, pauses and restarts."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from driftstair.tier.shared import escrow as escrow_module
from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms
from driftstair.tier.shared.token_bucket import TokenBucket

SECOND = 1_000_000_000
NODES = 4
TERMS = Terms(shares=6, floor=2, lent=2 * SECOND, drift=0.05)
SHARE_PER_S, DEPTH_S = 5.0, 0.5
BUDGET_PER_S = NODES * TERMS.shares * SHARE_PER_S


class Clock:
    """Clock with an offset of hours and a rate within the stated drift."""

    def __init__(self, random: Random) -> None:
        self._offset = random.randrange(10_000) * SECOND
        self._rate = 1 + random.choice((-1, 1)) * TERMS.drift * random.random() ** 0.2

    def local_time(self, now: int) -> int:
        return self._offset + int(now * self._rate)


class RandomRun:
    """Random steps in true time `now`. After each step every running node spends all the tokens that it
    may."""

    def __init__(self, seed: int) -> None:
        self.random = random = Random(seed)
        self.now = 0
        self.clocks = [Clock(random) for _ in range(NODES)]
        self.generations = [0] * NODES
        self.stopped: set[int] = set()
        self.buckets: list[TokenBucket | None] = [None] * NODES
        self.in_flight: list[tuple[int, int, Ask | Grant | GiveBack]] = []
        self.sent_messages: list[tuple[int, Ask | Grant | GiveBack]] = []
        self.spent: list[int] = []  # true time of each token
        for number in range(NODES):
            self.start(number)

    def start(self, number: int) -> None:
        self.generations[number] += 1
        local_now = self.clocks[number].local_time(self.now)
        self.buckets[number] = TokenBucket(
            Escrow(number, self.generations[number], TERMS, local_now), SHARE_PER_S, DEPTH_S, local_now
        )

    def send(self, to: int, message: Ask | Grant | GiveBack) -> None:
        self.sent_messages = [*self.sent_messages[-40:], (to, message)]
        if self.random.random() > 0.15:
            delay_s = self.random.choice((0.001, 0.05, 0.5, 1.9, 4.0, 3600.0))
            self.in_flight.append((self.now + int(delay_s * SECOND), to, message))

    def deliver(self, to: int, message: Ask | Grant | GiveBack) -> None:
        bucket = self.buckets[to]
        if bucket is None or to in self.stopped:
            return
        local_now = self.clocks[to].local_time(self.now)
        bucket.advance(local_now)
        if isinstance(message, Ask):
            grant = bucket.escrow.lend(local_now, message, self.random.randint(1, 4))
            if grant is not None:
                self.send(grant.borrower, grant)
        elif isinstance(message, Grant):
            bucket.escrow.accept(local_now, message)
        else:
            bucket.escrow.on_give_back(message)
        bucket.advance(local_now)

    def step(self) -> None:
        """Delivers messages that are due and does one random event."""
        random = self.random
        self.now += random.choice((1, 10, 50, 200, 900)) * SECOND // 1000
        due_messages = [entry for entry in self.in_flight if entry[0] <= self.now]
        self.in_flight = [entry for entry in self.in_flight if entry[0] > self.now]
        random.shuffle(due_messages)
        for _, to, message in due_messages:
            self.deliver(to, message)
        if self.sent_messages and random.random() < 0.3:
            self.deliver(*random.choice(self.sent_messages))
        number = random.randrange(NODES)
        bucket, local_now = self.buckets[number], self.clocks[number].local_time(self.now)
        chance = random.random()
        if bucket is None:
            if chance < 0.5:
                self.start(number)
        elif number in self.stopped:
            if chance < 0.4:
                self.stopped.discard(number)
        elif chance < 0.05:
            self.buckets[number] = None
        elif chance < 0.12:
            self.stopped.add(number)
        elif chance < 0.2:
            bucket.advance(local_now)
            for back in bucket.escrow.give_back(local_now, random.randint(1, 4)):
                self.send(back.lender, back)
            bucket.advance(local_now)
        elif chance < 0.8:
            other = random.randrange(NODES)
            self.send(other, bucket.escrow.ask(local_now, random.randint(1, 6)))
        for other, other_bucket in enumerate(self.buckets):
            if other_bucket is not None and other not in self.stopped:
                while other_bucket.spend(self.clocks[other].local_time(self.now)):
                    self.spent.append(self.now)

    def held_shares_by_node(self) -> list[int]:
        return [
            bucket.escrow.held_shares(self.clocks[number].local_time(self.now))
            for number, bucket in enumerate(self.buckets) if bucket is not None
        ]  # fmt: skip


def first_violation(seed: int, steps: int = 400) -> str:
    """Returns the first violation, shares with two holders or an overspent window, or an empty string."""
    run = RandomRun(seed)
    for step in range(steps):
        run.step()
        held_shares = run.held_shares_by_node()
        if sum(held_shares) > NODES * TERMS.shares:
            return f"step {step}: {held_shares} shares held of {NODES * TERMS.shares}"
    for first in range(0, len(run.spent), 5):
        for last in range(first, len(run.spent), 7):
            span_s = (run.spent[last] - run.spent[first]) / SECOND
            if last - first + 1 > BUDGET_PER_S * (span_s + DEPTH_S) * (1 + TERMS.drift) + 1e-6:
                return f"{last - first + 1} spent in {span_s} s"
    return ""


@pytest.mark.parametrize("block", range(6))
def test_no_share_has_two_holders_and_no_window_is_overspent(block: int) -> None:
    for seed in range(block * 10, block * 10 + 10):
        assert first_violation(seed) == "", seed


def test_the_random_runs_use_loans() -> None:
    """Without loans the other tests would pass for nothing."""
    most = 0
    for seed in range(10):
        run = RandomRun(seed)
        for _ in range(200):
            run.step()
            most = max(most, *run.held_shares_by_node(), 0)
    assert most > TERMS.shares


def wait_without_drift(self: Terms) -> int:
    return self.lent


def init_with_all_shares(
    self: Escrow, own_number: int, generation: int, terms: Terms, started_ns: int
) -> None:
    original_init(self, own_number, generation, terms, started_ns - 2 * terms.lender_wait_ns())


def accept_counting_from_arrival(self: Escrow, now: int, grant: Grant) -> bool:
    return original_accept(self, now, grant._replace(asked_at=now))


original_init, original_accept = Escrow.__init__, Escrow.accept


@pytest.mark.parametrize(
    ("where", "name", "defect"),
    [
        (Terms, "lender_wait_ns", wait_without_drift),
        (Escrow, "__init__", init_with_all_shares),
        (Escrow, "accept", accept_counting_from_arrival),
    ],
)
def test_a_planted_defect_is_found(
    where: type, name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, defect)
    assert any(first_violation(seed) for seed in range(120))


def test_a_late_repeated_or_misaddressed_grant_has_no_effect() -> None:
    lender, borrower = Escrow(0, 1, TERMS, -100 * SECOND), Escrow(1, 1, TERMS, -100 * SECOND)
    grant = lender.lend(0, borrower.ask(0, 3), 9)
    assert grant is not None and grant.shares == 3 and lender.held_shares(0) == 3
    assert not borrower.accept(2 * SECOND, grant)  # the loan has expired
    assert not borrower.accept(0, grant._replace(borrower_generation=2)) and not borrower.accept(
        0, grant._replace(borrower=2)
    )
    assert borrower.accept(SECOND, grant) and borrower.accept(SECOND, grant)
    assert borrower.held_shares(SECOND) == 9
    (message,) = borrower.give_back(SECOND, 3)
    assert not borrower.accept(SECOND, grant)  # the loan was returned
    assert borrower.held_shares(SECOND) == 6
    lender.on_give_back(message._replace(lender_generation=2))
    lender.on_give_back(message._replace(borrower=2))
    assert lender.held_shares(SECOND) == 3
    lender.on_give_back(message)
    assert lender.held_shares(SECOND) == 6


def test_a_lender_keeps_its_floor_and_has_all_shares_again_after_the_loan() -> None:
    lender = Escrow(0, 1, TERMS, -100 * SECOND)
    assert lender.lend(0, Ask(1, 1, 0, 9), 9) is not None
    assert lender.held_shares(0) == TERMS.floor and lender.spare_shares(0) == 0
    assert lender.lend(0, Ask(2, 1, 0, 9), 9) is None
    assert lender.held_shares(TERMS.lender_wait_ns()) == TERMS.shares


def test_a_restarted_process_holds_its_floor_until_the_longest_loan_has_expired() -> None:
    restarted = Escrow(0, 2, TERMS, 0)
    assert (restarted.held_shares(0), restarted.spare_shares(0), restarted.next_change_at_ns()) == (
        2,
        0,
        TERMS.lender_wait_ns(),
    )
    assert (
        restarted.held_shares(TERMS.lender_wait_ns()) == 6
        and restarted.next_change_at_ns() == escrow_module.NEVER
    )


@pytest.mark.parametrize("floor", [0, -1, 7])
def test_terms_with_a_floor_out_of_range_are_refused(floor: int) -> None:
    with pytest.raises(ValueError, match="1 to 6 would do"):
        Escrow(0, 1, Terms(6, floor), 0)
