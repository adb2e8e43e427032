"""Orders of operations: found where there is one, and none where there is none, also by trying all."""

from __future__ import annotations

from itertools import permutations
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.rehearsal.tier.linear import FOREVER, Operation, find_violation
from driftstair.rehearsal.tier.owners import check_linearizable

# A register: ("w", value) writes, ("r", value) reads.
Word = tuple[str, int]


def register(state: int, word: Word) -> int | None:
    what, value = word
    if what == "w":
        return value
    return state if state == value else None


def by_trying_all(ops: list[Operation[Word]]) -> bool:
    """Any subset that holds all that ended, in any order that respects begins and ends."""
    ended = [one for one in ops if one.end < FOREVER]
    open_ = [one for one in ops if one.end == FOREVER]
    for chosen in range(1 << len(open_)):
        some = ended + [one for index, one in enumerate(open_) if chosen >> index & 1]
        for order in permutations(some):
            pairs = [(order[i], order[j]) for i in range(len(order)) for j in range(i + 1, len(order))]
            if any(later.end < sooner.begin for sooner, later in pairs):
                continue
            state: int | None = 0
            for one in order:
                state = None if state is None else register(state, one.what)
            if state is not None:
                return True
    return False


words = st.tuples(st.sampled_from("wr"), st.integers(0, 2))
spans = st.tuples(st.integers(0, 9), st.one_of(st.integers(0, 6), st.none()))


@settings(max_examples=400, deadline=None)
@given(st.lists(st.tuples(spans, words), max_size=5))
def test_it_finds_an_order_where_trying_all_does(found: list[Any]) -> None:
    ops = [
        Operation(begin, FOREVER if length is None else begin + length, word)
        for (begin, length), word in found
    ]
    assert (find_violation(ops, 0, register) is None) == by_trying_all(ops)


def test_a_long_history_of_many_at_once_is_judged_soon() -> None:
    random = Random(3)
    ops, state = [], 0
    for at in range(0, 6000, 10):
        word = ("w", random.randrange(3)) if random.random() < 0.5 else ("r", state)
        state = word[1] if word[0] == "w" else state
        ops.append(Operation(at - random.randrange(25), at + random.randrange(25), word))
    assert find_violation(ops, 0, register) is None
    wrong = Operation(3000, 3001, ("r", 9))
    assert find_violation([*ops, wrong], 0, register) is not None


def event(at: int, node: int, kind: str, token: int = 0, task: str = "work", over: int = 0) -> dict[str, Any]:
    out: dict[str, Any] = {"t_ns": at, "node": node, "event": kind, "over_ns": over or at}
    return out | ({"task": task, "token": token} if token else {})


def rules(*events: dict[str, Any]) -> list[str]:
    return [one.rule for one in check_linearizable(list(events))]


def test_leases_one_after_the_other_and_an_owner_that_woke_late() -> None:
    assert rules(event(1, 0, "own", 5), event(4, 0, "lost", 5), event(5, 1, "own", 6)) == []
    # It stood still: its word comes late, and its lease may have been over before.
    assert rules(event(1, 0, "own", 5), event(5, 1, "own", 6), event(9, 0, "lost", 5, over=4)) == []
    assert rules(event(1, 0, "own", 5), event(5, 1, "own", 6), event(9, 0, "lost", 5)) == []
    # It was killed, and nobody knows when its lease was over.
    assert rules(event(1, 0, "own", 5), event(5, 1, "own", 6)) == []


def test_two_owners_at_once_that_both_act_are_found() -> None:
    assert rules(
        event(1, 0, "own", 5), event(2, 0, "act", 5), event(3, 1, "own", 6), event(4, 1, "act", 6),
        event(5, 0, "act", 5), event(6, 1, "act", 6), event(7, 0, "act", 5),
    ) == ["leases follow no order"]  # fmt: skip


def test_a_token_that_falls_is_found() -> None:
    assert rules(event(1, 0, "own", 5), event(2, 0, "lost", 5), event(3, 1, "own", 4)) == [
        "leases follow no order"
    ]


def test_an_act_without_a_lease_is_found() -> None:
    assert rules(event(1, 0, "own", 5), event(2, 0, "lost", 5), event(3, 1, "act", 5)) == [
        "leases follow no order"
    ]
    # Its word may come when the lease is over.
    assert rules(event(1, 0, "own", 5), event(2, 0, "lost", 5), event(3, 0, "act", 5)) == []


def test_tasks_are_judged_apart() -> None:
    assert rules(event(1, 0, "own", 5), event(2, 1, "own", 4, "other")) == []
