"""Decides whether a history of operations is linearizable, by Wing and Gong's search (1993) with Lowe's
memoization of visited configurations (2017).

An operation takes effect once, at some time between its begin and its end. One without an end may have taken
effect at any time since its begin, or never.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Sequence
from typing import Generic, NamedTuple, TypeVar

FOREVER = 1 << 62
S = TypeVar("S", bound=Hashable)
O = TypeVar("O")  # noqa: E741


class Operation(NamedTuple, Generic[O]):
    """One operation; `begin` and `end` in ns. An `end` of FOREVER means that it is unknown whether the
    operation took effect."""

    begin: int
    end: int
    what: O


def find_violation(
    operations: Sequence[Operation[O]], start: S, step: Callable[[S, O], S | None]
) -> Operation[O] | None:
    """Returns None if the history is linearizable; otherwise the operation before whose end no valid order
    was left. `step` returns the object's next state, or None if the operation is not allowed in the state."""
    order = sorted(range(len(operations)), key=lambda index: operations[index].begin)
    tried: set[tuple[int, S]] = set()
    latest_bound, blocked = -1, 0
    # Each entry: a bit set of the operations done, and the state. The depth-first search has its own stack,
    # since histories are longer than the recursion limit.
    stack: list[tuple[int, S]] = [(0, start)]
    while stack:
        done_bits, state = stack.pop()
        if (done_bits, state) in tried:
            continue
        tried.add((done_bits, state))
        pending = [index for index in order if not done_bits >> index & 1]
        earliest_end = min((operations[index].end for index in pending), default=FOREVER)
        if earliest_end == FOREVER:
            return None  # the pending operations may never have taken effect
        if earliest_end > latest_bound:
            latest_bound, blocked = earliest_end, min(pending, key=lambda index: operations[index].end)
        for index in reversed(pending):
            # An operation that began after the end of another pending one can't come before it.
            if (
                operations[index].begin <= earliest_end
                and (next_state := step(state, operations[index].what)) is not None
            ):
                stack.append((done_bits | 1 << index, next_state))
    return operations[blocked]
