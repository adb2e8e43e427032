"""Two nodes, one loan at a time, every order of events up to a depth: clocks that run as they like within the
drift, messages lost, late and repeated, loans given back, restarts."""

from __future__ import annotations

import copy
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from driftstair.tier.shared.escrow import Ask, Escrow, GiveBack, Grant, Terms

# A clock counts 2 or 4 while 3 pass: a third slow or fast. Then a lender waits 9 of its own for a loan of 4.
TERMS = Terms(shares=2, floor=1, lent=4, drift=1 / 3)
RATES = (2, 4)
MESSAGES_MOST = 3
RESTARTS_MOST = 1
DEPTH = 11


class World:
    __slots__ = ("clocks", "generations", "messages", "nodes", "restarts")

    def __init__(self) -> None:
        self.clocks = [0, 1000]
        self.generations = [1, 1]
        self.restarts = 0
        self.messages: tuple[Ask | Grant | GiveBack, ...] = ()  # all ever sent: any may come, again and again
        # Both have been up for long.
        self.nodes = [Escrow(one, 1, TERMS, clock - 100) for one, clock in enumerate(self.clocks)]

    def copy(self) -> World:
        new = copy.copy(self)
        new.clocks, new.generations = list(self.clocks), list(self.generations)
        new.nodes = [copy.copy(node) for node in self.nodes]
        for node in new.nodes:
            node._out = {number: (to, copy.copy(loan)) for number, (to, loan) in node._out.items()}
            node._in = {key: copy.copy(loan) for key, loan in node._in.items()}
            node._done = dict(node._done)
        return new

    def key(self) -> Any:
        """Times as they lie from now on: worlds that differ only in when they came about are one."""

        def left(until: int, number: int) -> int:
            return max(0, until - self.clocks[number])

        messages = []
        for one in self.messages:
            if isinstance(one, GiveBack):
                messages.append((one,))
            else:
                at = one.at if isinstance(one, Ask) else one.asked_at
                rest = (*one[:2], one.renews) if isinstance(one, Ask) else tuple(one[:5])
                messages.append((rest, left(at + TERMS.lent, one.borrower)))
        nodes = tuple(
            (
                node.generation, left(node._whole_at, one), node._last,
                tuple((number, to, left(loan.until, one)) for number, (to, loan) in node._out.items()),
                tuple(sorted((key, left(loan.until, one)) for key, loan in node._in.items())),
                tuple(sorted((key, left(until, one)) for key, until in node._done.items())),
            )
            for one, node in enumerate(self.nodes)
        )  # fmt: skip
        return tuple(messages), self.restarts, nodes

    def held(self) -> list[int]:
        return [node.held(clock) for node, clock in zip(self.nodes, self.clocks, strict=True)]

    def send(self, message: Ask | Grant | GiveBack) -> None:
        if message not in self.messages and len(self.messages) < MESSAGES_MOST:
            self.messages += (message,)

    def deliver(self, message: Ask | Grant | GiveBack) -> None:
        if isinstance(message, Ask):
            lender = 1 - message.borrower
            grant = self.nodes[lender].lend(self.clocks[lender], message, 1)
            if grant is not None:
                self.send(grant)
        elif isinstance(message, Grant):
            self.nodes[message.borrower].take(self.clocks[message.borrower], message)
        else:
            self.nodes[message.lender].returned(message)

    def after(self) -> Iterator[World]:
        """All that may happen next."""
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
            if len(self.messages) < MESSAGES_MOST:
                new = self.copy()
                new.send(new.nodes[number].ask(new.clocks[number], 1))
                yield new
                for (_, _, loan), _ in self.nodes[number].loans():
                    new = self.copy()
                    new.send(new.nodes[number].ask(new.clocks[number], 1)._replace(renews=loan))
                    yield new
            if self.nodes[number]._in:
                new = self.copy()
                for back in new.nodes[number].give_back(new.clocks[number], 2):
                    new.send(back)
                yield new
            if self.restarts < RESTARTS_MOST:
                new = self.copy()
                new.restarts += 1
                new.generations[number] += 1
                new.nodes[number] = Escrow(number, new.generations[number], TERMS, new.clocks[number])
                yield new


def with_a_loan() -> World:
    """One that may be made longer, and given back: the messages that made it don't come again."""
    world = World()
    grant = world.nodes[0].lend(world.clocks[0], world.nodes[1].ask(world.clocks[1], 1), 1)
    assert grant is not None and world.nodes[1].take(world.clocks[1], grant)
    return world


def explore(depth: int, start: Callable[[], World] = World) -> tuple[int, bool, str]:
    """Worlds seen, whether one had a loan in use, and the first in which a share has two holders."""
    seen, lent = set(), False
    frontier = [start()]
    for _ in range(depth):
        if not frontier:
            break
        following = []
        for world in frontier:
            for new in world.after():
                held = new.held()
                if sum(held) > 2 * TERMS.shares:
                    return len(seen), lent, f"{held}: {new.messages} {new.clocks}"
                lent = lent or max(held) > TERMS.shares
                key = new.key()
                if key not in seen:
                    seen.add(key)
                    following.append(new)
        frontier = following
    return len(seen), lent, ""


def test_no_order_of_events_gives_a_share_two_holders() -> None:
    worlds, lent, broken = explore(DEPTH)
    assert broken == ""
    assert lent and worlds > 10_000


def test_no_order_of_what_follows_a_loan_gives_a_share_two_holders() -> None:
    worlds, lent, broken = explore(DEPTH, with_a_loan)
    assert broken == ""
    assert lent and worlds > 10_000


def too_short(self: Terms) -> int:
    return self.lent


def minted(self: Escrow, own: int, generation: int, terms: Terms, started: int) -> None:
    plain(self, own, generation, terms, started - 100)


def from_arrival(self: Escrow, now: int, grant: Grant) -> bool:
    return taken(self, now, grant._replace(asked_at=now))


def taken_again(self: Escrow, now: int, grant: Grant) -> bool:
    self._done.clear()
    return taken(self, now, grant)


def forgets_what_it_gave_back(self: Escrow, now: int, shares: int) -> list[GiveBack]:
    ends = {key: loan.until for key, loan in self._in.items()}
    out = given(self, now, shares)
    for key in self._done.keys() & ends.keys():
        self._done[key] = ends[key]
    return out


def longer_in_vain(self: Escrow, now: int, ask: Ask) -> Grant | None:
    before = {number: loan.until for number, (_, loan) in self._out.items()}
    grant = lengthened(self, now, ask)
    if grant is not None:
        self._out[ask.renews][1].until = before[ask.renews]
    return grant


plain, taken, given, lengthened = Escrow.__init__, Escrow.take, Escrow.give_back, Escrow._lengthen


@pytest.mark.parametrize(
    ("where", "name", "defect"),
    [(Terms, "waited", too_short), (Escrow, "__init__", minted), (Escrow, "take", from_arrival),
     (Escrow, "take", taken_again)],
)  # fmt: skip
def test_a_planted_defect_is_found(
    where: type, name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(where, name, defect)
    assert explore(DEPTH)[2]


@pytest.mark.parametrize(
    ("name", "defect"), [("give_back", forgets_what_it_gave_back), ("_lengthen", longer_in_vain)]
)
def test_a_defect_of_what_follows_a_loan_is_found(
    name: str, defect: Callable[..., object], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Escrow, name, defect)
    assert explore(DEPTH, with_a_loan)[2]
