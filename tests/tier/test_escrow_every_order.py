"""Exhaustive search of all orders of events up to a depth, for two nodes with one loan at a time. Clocks run
fast or slow within the drift, messages are lost, late and repeated, loans are returned and nodes restart."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms

# A clock advances by 2 or 4 in a true time of 3, a third too slow or too fast. A lender therefore waits for 9
# on its clock until a loan of 4 has expired.
TERMS = Terms(shares=2, floor=1, lent=4, drift=1 / 3)
RATES = (2, 4)
MAX_MESSAGES = 3
MAX_RESTARTS = 1
DEPTH = 11


class World:
    """State of both nodes and of all messages."""

    __slots__ = ("clocks", "generations", "messages", "nodes", "restarts")

    def __init__(self) -> None:
        self.clocks = [0, 1000]
        self.generations = [1, 1]
        self.restarts = 0
        # All sent messages; each may be delivered repeatedly.
        self.messages: tuple[Ask | Grant | GiveBack, ...] = ()
        # Both nodes have run for long.
        self.nodes = [Escrow(number, 1, TERMS, clock - 100) for number, clock in enumerate(self.clocks)]

    def copy(self) -> World:
        """Returns an independent copy."""
        new = copy.copy(self)
        new.clocks, new.generations = list(self.clocks), list(self.generations)
        new.nodes = [copy.copy(node) for node in self.nodes]
        for node in new.nodes:
            node._lent_loans = {
                number: (to, copy.copy(loan)) for number, (to, loan) in node._lent_loans.items()
            }
            node._borrowed_loans = {key: copy.copy(loan) for key, loan in node._borrowed_loans.items()}
            node._returned_until_ns = dict(node._returned_until_ns)
        return new

    def state_key(self) -> Any:
        """Returns the state with times relative to now, so that worlds that differ only in absolute time are
        equal."""

        def remaining(until_ns: int, number: int) -> int:
            return max(0, until_ns - self.clocks[number])

        messages = []
        for message in self.messages:
            if isinstance(message, GiveBack):
                messages.append((message,))
            else:
                asked_at = message.sent_at if isinstance(message, Ask) else message.asked_at
                other_fields = (
                    (*message[:2], message.renewed_loan) if isinstance(message, Ask) else tuple(message[:5])
                )
                messages.append((other_fields, remaining(asked_at + TERMS.lent, message.borrower)))
        nodes = tuple(
            (
                node.generation, remaining(node._earlier_loans_end_ns, own_number), node._last_loan_number,
                tuple(
                    (number, to, remaining(loan.until_ns, own_number))
                    for number, (to, loan) in node._lent_loans.items()
                ),
                tuple(sorted(
                    (key, remaining(loan.until_ns, own_number)) for key, loan in node._borrowed_loans.items()
                )),
                tuple(sorted(
                    (key, remaining(until_ns, own_number))
                    for key, until_ns in node._returned_until_ns.items()
                )),
            )
            for own_number, node in enumerate(self.nodes)
        )  # fmt: skip
        return tuple(messages), self.restarts, nodes

    def held_shares(self) -> list[int]:
        return [node.held_shares(clock) for node, clock in zip(self.nodes, self.clocks, strict=True)]

    def send(self, message: Ask | Grant | GiveBack) -> None:
        if message not in self.messages and len(self.messages) < MAX_MESSAGES:
            self.messages += (message,)

    def deliver(self, message: Ask | Grant | GiveBack) -> None:
        if isinstance(message, Ask):
            lender = 1 - message.borrower
            grant = self.nodes[lender].lend(self.clocks[lender], message, 1)
            if grant is not None:
                self.send(grant)
        elif isinstance(message, Grant):
            self.nodes[message.borrower].accept(self.clocks[message.borrower], message)
        else:
            self.nodes[message.lender].on_give_back(message)

    def successors(self) -> Iterator[World]:
        """Yields the world after each possible next event."""
        for first in RATES:
            for second in RATES:
                new = self.copy()
                new.clocks = [new.clocks[0] + first, new.clocks[1] + second]
                yield new
        for message in self.messages:
            new = self.copy()
            new.deliver(message)
            yield new
        for number in range(2):
            if len(self.messages) < MAX_MESSAGES:
                new = self.copy()
                new.send(new.nodes[number].ask(new.clocks[number], 1))
                yield new
                for (_, _, loan), _ in self.nodes[number].borrowed_loans():
                    new = self.copy()
                    new.send(new.nodes[number].ask(new.clocks[number], 1)._replace(renewed_loan=loan))
                    yield new
            if self.nodes[number]._borrowed_loans:
                new = self.copy()
                for back in new.nodes[number].give_back(new.clocks[number], 2):
                    new.send(back)
                yield new
            if self.restarts < MAX_RESTARTS:
                new = self.copy()
                new.restarts += 1
                new.generations[number] += 1
                new.nodes[number] = Escrow(number, new.generations[number], TERMS, new.clocks[number])
                yield new


def world_with_loan() -> World:
    """Returns a world with a loan that may be extended or returned. The messages that made it are not
    delivered again."""
    world = World()
    grant = world.nodes[0].lend(world.clocks[0], world.nodes[1].ask(world.clocks[1], 1), 1)
    assert grant is not None and world.nodes[1].accept(world.clocks[1], grant)
    return world


def explore(depth: int, start: Callable[[], World] = World) -> tuple[int, bool, str]:
    """Returns the number of different worlds, whether a loan was in use in one of them, and the first world
    in which a share has two holders."""
    seen_keys, loan_used = set(), False
    frontier = [start()]
    for _ in range(depth):
        if not frontier:
            break
        next_frontier = []
        for world in frontier:
            for new in world.successors():
                held_shares = new.held_shares()
                if sum(held_shares) > 2 * TERMS.shares:
                    return len(seen_keys), loan_used, f"{held_shares}: {new.messages} {new.clocks}"
                loan_used = loan_used or max(held_shares) > TERMS.shares
                key = new.state_key()
                if key not in seen_keys:
                    seen_keys.add(key)
                    next_frontier.append(new)
        frontier = next_frontier
    return len(seen_keys), loan_used, ""


def test_no_order_of_events_gives_a_share_two_holders() -> None:
    worlds, loan_used, violation = explore(DEPTH)
    assert violation == ""
    assert loan_used and worlds > 10_000


def test_no_order_of_events_after_a_loan_gives_a_share_two_holders() -> None:
    worlds, loan_used, violation = explore(DEPTH, world_with_loan)
    assert violation == ""
    assert loan_used and worlds > 10_000


def wait_without_drift(self: Terms) -> int:
    return self.lent


def init_with_all_shares(
    self: Escrow, own_number: int, generation: int, terms: Terms, started_ns: int
) -> None:
    original_init(self, own_number, generation, terms, started_ns - 100)


def accept_counting_from_arrival(self: Escrow, now: int, grant: Grant) -> bool:
    return original_accept(self, now, grant._replace(asked_at=now))


def accept_after_return(self: Escrow, now: int, grant: Grant) -> bool:
    self._returned_until_ns.clear()
    return original_accept(self, now, grant)


def give_back_with_short_memory(self: Escrow, now: int, shares: int) -> list[GiveBack]:
    expiries = {key: loan.until_ns for key, loan in self._borrowed_loans.items()}
    messages = original_give_back(self, now, shares)
    for key in self._returned_until_ns.keys() & expiries.keys():
        self._returned_until_ns[key] = expiries[key]
    return messages


def extend_without_waiting(self: Escrow, now: int, ask: Ask) -> Grant | None:
    before = {number: loan.until_ns for number, (_, loan) in self._lent_loans.items()}
    grant = original_extend(self, now, ask)
    if grant is not None:
        self._lent_loans[ask.renewed_loan][1].until_ns = before[ask.renewed_loan]
    return grant


original_init, original_accept, original_give_back, original_extend = (
    Escrow.__init__,
    Escrow.accept,
    Escrow.give_back,
    Escrow._extend,
)


@pytest.mark.parametrize(
    ("where", "name", "defect"),
    [
        (Terms, "lender_wait_ns", wait_without_drift),
        (Escrow, "__init__", init_with_all_shares),
        (Escrow, "accept", accept_counting_from_arrival),
        (Escrow, "accept", accept_after_return),
    ],
)
def test_a_planted_defect_is_found(
    where: type, name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, defect)
    assert explore(DEPTH)[2]


@pytest.mark.parametrize(
    ("name", "defect"), [("give_back", give_back_with_short_memory), ("_extend", extend_without_waiting)]
)
def test_a_planted_defect_in_events_after_a_loan_is_found(
    name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Escrow, name, defect)
    assert explore(DEPTH, world_with_loan)[2]
