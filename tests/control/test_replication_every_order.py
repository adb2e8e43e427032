"""Searches the orders of events in a small system for violations of the log's guarantees, and checks that
planted defects of each part of the algorithm are detected.

The longer form is `python tests/control/test_replication_every_order.py [MILLIONS]`: all searches below, each
limited to so many million states (3 by default).
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from small_world import Bounds, SearchResult, explore, explore_randomly

from driftstair.control.replication.actions import Action, Send
from driftstair.control.replication.leader import Leader
from driftstair.control.replication.messages import LogPosition, Promise, ReplicationMessage
from driftstair.control.replication.proposals import Proposals
from driftstair.control.replication.replica import Replica

STATES_MAX = 150_000

SEARCHES = {
    "two leaders, a crash": Bounds(tokens=((1,), (2,)), crashes=1),
    "two leaders, a duplicated message": Bounds(tokens=((1,), (2,)), duplicates=1),
    "three leaderships": Bounds(tokens=((1, 3), (2,)), synchronous_writes=True),
    "two leaders, one change set proposed to both": Bounds(
        tokens=((1,), (2,)), puts=("a", "a"), synchronous_writes=True
    ),
}
"""Bounds small enough for a complete search."""

LONG_SEARCHES = {
    "two leaders, a retransmission": Bounds(tokens=((1,), (2,)), retransmissions=1),
    "three leaderships, slow disks": Bounds(tokens=((1, 3), (2,))),
    "four leaderships": Bounds(synchronous_writes=True),
    "two leaders, a crash, one change set": Bounds(tokens=((1,), (2,)), puts=("a",), crashes=1),
    "two leaders, two change sets, one of them proposed twice": Bounds(
        tokens=((1,), (2,)), puts=("a", "a", "b"), synchronous_writes=True
    ),
    "three leaderships, a crash": Bounds(tokens=((1, 3), (2,)), crashes=1),
    "compaction": Bounds(tokens=((1,), (2,)), puts=("a", "b"), kept_entries=1, synchronous_writes=True),
    "all": Bounds(puts=("a", "a", "b"), crashes=2, duplicates=1, retransmissions=1, kept_entries=1),
}


@pytest.mark.parametrize("name", SEARCHES)
def test_no_order_of_events_loses_or_changes_a_committed_entry(name: str) -> None:
    """Explores every order within bounds that are small enough for a complete search."""
    result = explore(SEARCHES[name], STATES_MAX)
    assert result.violation == "", result.path
    assert result.is_complete and result.committed_max >= 2
    print(f"{name}: {result.states:,} states")


THREE_TOKENS_EACH = ((1, 3, 5), (2, 4, 6))
RANDOM_SEARCHES = {
    "one entry at a time": Bounds(
        tokens=THREE_TOKENS_EACH, puts=("a", "a", "b", "c"), crashes=3, duplicates=2, retransmissions=8,
        kept_entries=2, reports_acknowledged=True,
    ),
    "two entries at a time": Bounds(
        tokens=THREE_TOKENS_EACH, puts=("a", "a", "b", "c"), crashes=3, duplicates=2, retransmissions=8,
        kept_entries=2, append_entries_max=2,
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", RANDOM_SEARCHES)
def test_no_long_random_order_loses_or_changes_a_committed_entry(name: str) -> None:
    """Six leaderships, crashes, retransmissions, compaction and snapshots: too many states for a full
    search."""
    result = explore_randomly(RANDOM_SEARCHES[name], range(300), 200)
    assert result.violation == "", result.path
    assert result.states > 5_000 and result.committed_max >= 4
    print(f"{name}: {result.states:,} states")


# Defects. They have to be detected by their consequences, so the check of disks at each commit is off.


def reply_before_sync(self: Replica, to: int, message: ReplicationMessage) -> list[Action]:
    """Acknowledges entries before they are synced."""
    return [Send(to, message)]


def promise_before_sync(self: Replica, to: int, message: ReplicationMessage) -> list[Action]:
    """Promises a token before the promise is synced."""
    return [Send(to, message)] if isinstance(message, Promise) else original_reply(self, to, message)


def lead_without_promises(self: Leader, now_ns: int) -> list[Action]:
    """Leads without reading from a majority first."""
    self._promised_by = {0, 1, 2}
    return original_lead_if_promised(self, now_ns)


def accept_outdated_tokens(self: Replica, token: int) -> bool:
    """Accepts messages of any token."""
    return False


def commit_by_minority(self: Leader) -> int:
    """Commits what a single disk holds."""
    acknowledged = [follower.acknowledged_position.revision for follower in self.followers.values()]
    return max([*acknowledged, self._replica.synced_revision])


def commit_any_token_by_count(self: Leader, position: LogPosition) -> bool:
    """Commits entries of earlier tokens because a majority has them."""
    return True


def count_own_unsynced_entries(self: Leader) -> int:
    """Counts the leader's own entries before they are synced."""
    revisions = [follower.acknowledged_position.revision for follower in self.followers.values()]
    return sorted([*revisions, self._replica.log.last_position.revision])[1]


def lead_with_any_log(self: Leader, now_ns: int, sender: int, message: Promise) -> list[Action]:
    """Leads although a promise shows a more recent log."""
    return original_on_promise(
        self, now_ns, sender, Promise(message.token, LogPosition(0, 0), message.followed)
    )


def append_without_matching(self: Replica, position: LogPosition) -> bool:
    """Appends entries without comparing the one before them."""
    return position.revision <= self.log.last_position.revision


def forget_uncommitted_ids(self: Proposals, change_set_id: str) -> int | None:
    """Appends an id again that an earlier leader has appended."""
    return self._state.revision_of(change_set_id)


original_reply, original_lead_if_promised, original_on_promise = (
    Replica._reply,
    Leader._lead_if_promised,
    Leader.on_promise,
)


class Defect(NamedTuple):
    """A method replaced by a defective one, and the bounds within which that is detected."""

    target: Any
    attribute: str
    replacement: Callable[..., object]
    bounds: Bounds


TWO_TOKENS, FOUR_TOKENS = ((1,), (2,)), ((1, 3), (2, 4))
DEFECTS = {
    "acknowledged before synced": Defect(
        Replica, "_reply", reply_before_sync, Bounds(tokens=TWO_TOKENS, crashes=1, checks_disks=False)
    ),
    "promised before synced": Defect(
        Replica, "_reply", promise_before_sync, Bounds(tokens=TWO_TOKENS, crashes=1, checks_disks=False)
    ),
    "leads without promises of a majority": Defect(
        Leader, "_lead_if_promised", lead_without_promises, Bounds(tokens=TWO_TOKENS, checks_disks=False)
    ),
    "token not checked": Defect(
        Replica, "is_outdated", accept_outdated_tokens, Bounds(tokens=TWO_TOKENS, checks_disks=False)
    ),
    "committed by a minority": Defect(
        Leader, "_majority_revision", commit_by_minority, Bounds(tokens=TWO_TOKENS, checks_disks=False)
    ),
    "an earlier token's entry committed by count alone": Defect(
        Leader, "_may_commit_by_count", commit_any_token_by_count,
        Bounds(tokens=FOUR_TOKENS, synchronous_writes=True, checks_disks=False)
    ),
    "its own entry counted before synced": Defect(
        Leader, "_majority_revision", count_own_unsynced_entries,
        Bounds(tokens=TWO_TOKENS, crashes=1, checks_disks=False),
    ),
    "leads without the most recent log": Defect(
        Leader, "on_promise", lead_with_any_log, Bounds(tokens=TWO_TOKENS, checks_disks=False)
    ),
    "the entry before the new ones not compared": Defect(
        Replica, "_contains", append_without_matching,
        Bounds(tokens=((1,), (2, 4)), synchronous_writes=True, checks_disks=False),
    ),
    "an id appended again by the next leader": Defect(
        Proposals, "revision_of", forget_uncommitted_ids,
        Bounds(tokens=TWO_TOKENS, puts=("a", "a"), synchronous_writes=True, checks_disks=False),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_detected(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Checks that the search detects the defect by its consequences."""
    defect = DEFECTS[name]
    monkeypatch.setattr(defect.target, defect.attribute, defect.replacement)
    result = explore(defect.bounds, STATES_MAX)
    assert result.violation, f"{result.states:,} states, no violation found"
    print(f"{name}: after {result.states:,} states, {len(result.path)} steps: {result.violation}")


def report(name: str, result: SearchResult, seconds: float) -> bool:
    """Prints the result of a search; returns whether it found no violation."""
    extent = "complete" if result.is_complete else "incomplete"
    print(
        f"{name}: {result.states:,} states, {extent}, "
        f"{result.committed_max} committed at most, {seconds:.0f} s"
    )
    if result.violation:
        print(f"  {result.violation}", *result.path, sep="\n    ")
    return not result.violation


def main() -> int:
    """Runs the longer form."""
    states_max = int(float(sys.argv[1] if len(sys.argv) > 1 else 3) * 1_000_000)
    all_passed = True
    for name, bounds in (SEARCHES | LONG_SEARCHES).items():
        started_s = time.monotonic()
        result = explore(bounds, states_max)
        all_passed = report(name, result, time.monotonic() - started_s) and all_passed
    return 0 if all_passed else 1


if __name__ == "__main__":  # with PYTHONPATH=.:tests/control
    sys.exit(main())
