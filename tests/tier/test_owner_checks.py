"""The checker of task ownership on constructed histories, and the encoding of ownership messages."""

from __future__ import annotations

from typing import Any

import pytest

from driftstair.rehearsal.tier.checks import RunRecord, Span
from driftstair.rehearsal.tier.owners import check
from driftstair.tier.ownership import wire
from driftstair.tier.ownership.messages import Accepted, Message, Prepare, Promise, Propose, Refused, Release
from driftstair.tier.shared.wire import InvalidItem

SECOND = 1_000_000_000


def event(node: int, kind: str, at_s: float, token: int = 0, ended_s: float | None = None) -> dict[str, Any]:
    """`ended_s`: when the lease ended, if that was recorded later."""
    over_ns = int((at_s if ended_s is None else ended_s) * SECOND)
    return {
        "t_ns": int(at_s * SECOND), "node": node, "event": kind, "task": "t", "token": token,
        "over_ns": over_ns,
    }  # fmt: skip


FIRST_LEASE = [event(1, "start", 0), event(2, "start", 0), event(1, "own", 1, 10)]


@pytest.mark.parametrize(
    ("later_events", "faults", "rules"),
    [
        ([event(1, "lost", 5, 10), event(2, "own", 6, 11)], [], []),
        ([event(1, "lost", 5, 10), event(2, "own", 6, 9)], [], ["a token does not rise"]),
        ([event(1, "lost", 5, 10), event(1, "own", 6, 10)], [], ["a token does not rise"]),
        ([event(2, "own", 4, 11), event(1, "lost", 5, 10)], [], ["a task has two owners"]),
        ([event(2, "own", 4, 11)], [], ["a task has two owners"]),
        # On a busy machine, a lease that ended in time is recorded late.
        ([event(2, "own", 4, 11), event(1, "lost", 5, 10, ended_s=3.9)], [], []),
        ([event(2, "own", 4, 11), event(1, "lost", 9, 10)], [Span(1, 2 * SECOND, 8 * SECOND)], []),
        ([event(2, "own", 9, 11)], [Span(1, 2 * SECOND, 99 * SECOND, down=True)], []),
        ([event(1, "start", 3), event(2, "own", 4, 11)], [], []),
    ],
)
def test_decreasing_tokens_and_overlapping_owners_are_found(
    later_events: list[dict[str, Any]], faults: list[Span], rules: list[str]
) -> None:
    findings = check([*FIRST_LEASE, *later_events], RunRecord([], faults))
    assert [finding.rule for finding in findings] == rules


@pytest.mark.parametrize(
    "message",
    [Prepare(1, 1 << 63), Promise(1, 5), Propose(1, 5, 7), Accepted(1, 5, 7), Refused(1, 5, 9, -1, 0),
     Refused(1, 5, 9, 3, 4 * SECOND), Release(1, 5, -1), Release(1, 5, 0)],
)  # fmt: skip
def test_a_message_round_trips(message: Message) -> None:
    assert wire.decode(wire.encode(message)) == message


@pytest.mark.parametrize(
    ("item", "reason"),
    [((20, 1), "too_few_fields"), ((22, 1, 5), "too_few_fields"), ((20, -1, 5), "out_of_range"),
     ((20, 1, 1 << 64), "out_of_range"), ((24, 1, 5, 9, "x", 0), "out_of_range"),
     ((25, 1, 5, -2), "out_of_range")],
)  # fmt: skip
def test_an_invalid_item_is_rejected_with_the_reason(item: tuple[Any, ...], reason: str) -> None:
    with pytest.raises(InvalidItem, match=reason):
        wire.decode(item)
