"""The search for an order of operations: it finds one if and only if an exhaustive search does."""

from __future__ import annotations

from itertools import permutations
from random import Random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from driftstair.rehearsal.tier.linear import FOREVER, Operation, find_violation
from driftstair.rehearsal.tier.owners import check_linearizable

# An operation on a register: ("w", value) writes, ("r", value) reads.
RegisterOperation = tuple[str, int]


def register(state: int, operation: RegisterOperation) -> int | None:
    """The register's next state, None if it does not allow the operation."""
    kind, value = operation
    if kind == "w":
        return value
    return state if state == value else None


def has_order(ops: list[Operation[RegisterOperation]]) -> bool:
    """Whether a valid order exists, by trying all: any subset that includes all operations that ended, in any
    order that respects begins and ends."""
    ended = [op for op in ops if op.end < FOREVER]
    open_ = [op for op in ops if op.end == FOREVER]
    for chosen in range(1 << len(open_)):
        subset = ended + [op for index, op in enumerate(open_) if chosen >> index & 1]
        for order in permutations(subset):
            pairs = [(order[i], order[j]) for i in range(len(order)) for j in range(i + 1, len(order))]
            if any(later.end < earlier.begin for earlier, later in pairs):
                continue
            state: int | None = 0
            for op in order:
                state = None if state is None else register(state, op.what)
            if state is not None:
                return True
    return False


operations = st.tuples(st.sampled_from("wr"), st.integers(0, 2))
spans = st.tuples(st.integers(0, 9), st.one_of(st.integers(0, 6), st.none()))


@settings(max_examples=400, deadline=None)
@given(st.lists(st.tuples(spans, operations), max_size=5))
def test_the_search_finds_an_order_if_and_only_if_an_exhaustive_search_does(drawn: list[Any]) -> None:
    ops = [
        Operation(begin, FOREVER if length is None else begin + length, operation)
        for (begin, length), operation in drawn
    ]
    assert (find_violation(ops, 0, register) is None) == has_order(ops)


def test_a_long_history_with_many_concurrent_operations_is_checked_quickly() -> None:
    random = Random(3)
    ops, state = [], 0
    for at in range(0, 6000, 10):
        operation = ("w", random.randrange(3)) if random.random() < 0.5 else ("r", state)
        state = operation[1] if operation[0] == "w" else state
        ops.append(Operation(at - random.randrange(25), at + random.randrange(25), operation))
    assert find_violation(ops, 0, register) is None
    impossible = Operation(3000, 3001, ("r", 9))
    assert find_violation([*ops, impossible], 0, register) is not None


def event(
    at: int, node: int, kind: str, token: int = 0, task: str = "work", ended_at: int = 0
) -> dict[str, Any]:
    fields: dict[str, Any] = {"t_ns": at, "node": node, "event": kind, "over_ns": ended_at or at}
    return fields | ({"task": task, "token": token} if token else {})


def broken_rules(*events: dict[str, Any]) -> list[str]:
    return [finding.rule for finding in check_linearizable(list(events))]


def test_successive_leases_and_a_late_record_of_an_end_are_valid() -> None:
    assert broken_rules(event(1, 0, "own", 5), event(4, 0, "lost", 5), event(5, 1, "own", 6)) == []
    # After a stall the owner records the end late; the lease may have ended before.
    assert (
        broken_rules(event(1, 0, "own", 5), event(5, 1, "own", 6), event(9, 0, "lost", 5, ended_at=4)) == []
    )
    assert broken_rules(event(1, 0, "own", 5), event(5, 1, "own", 6), event(9, 0, "lost", 5)) == []
    # The owner was killed, so the end of its lease is unknown.
    assert broken_rules(event(1, 0, "own", 5), event(5, 1, "own", 6)) == []


def test_two_concurrent_owners_that_both_act_are_found() -> None:
    assert broken_rules(
        event(1, 0, "own", 5), event(2, 0, "act", 5), event(3, 1, "own", 6), event(4, 1, "act", 6),
        event(5, 0, "act", 5), event(6, 1, "act", 6), event(7, 0, "act", 5),
    ) == ["leases follow no order"]  # fmt: skip


def test_a_decreasing_token_is_found() -> None:
    assert broken_rules(event(1, 0, "own", 5), event(2, 0, "lost", 5), event(3, 1, "own", 4)) == [
        "leases follow no order"
    ]


def test_an_action_without_a_lease_is_found() -> None:
    assert broken_rules(event(1, 0, "own", 5), event(2, 0, "lost", 5), event(3, 1, "act", 5)) == [
        "leases follow no order"
    ]
    # An action may be recorded after the end of the lease.
    assert broken_rules(event(1, 0, "own", 5), event(2, 0, "lost", 5), event(3, 0, "act", 5)) == []


def test_tasks_are_checked_separately() -> None:
    assert broken_rules(event(1, 0, "own", 5), event(2, 1, "own", 4, "other")) == []
