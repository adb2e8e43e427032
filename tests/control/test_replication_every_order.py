"""The log in every order of a small world, and defects of each part of the argument, which have to be found.

The longer form is `python tests/control/test_replication_every_order.py [MILLIONS]`: all bounds below, each
until so many million states (3 by default).
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import pytest
from small_world import Bounds, Search, explore, walk

from driftstair.control.replication.actions import Action, Send
from driftstair.control.replication.leader import Leader
from driftstair.control.replication.messages import LogPosition, Promise, ReplicationMessage
from driftstair.control.replication.proposals import Proposals
from driftstair.control.replication.replica import Replica

STATES_MOST = 150_000

SEARCHES = {
    "two leaders, a crash": Bounds(tokens=((1,), (2,)), crashes=1),
    "two leaders, a repeat": Bounds(tokens=((1,), (2,)), repeats=1),
    "three leaderships": Bounds(tokens=((1, 3), (2,)), writes_at_once=True),
    "two leaders, one set put at both": Bounds(tokens=((1,), (2,)), puts=("a", "a"), writes_at_once=True),
}
"""Small enough to be searched whole."""

LONG_SEARCHES = {
    "two leaders, a message sent again": Bounds(tokens=((1,), (2,)), resends=1),
    "three leaderships, slow disks": Bounds(tokens=((1, 3), (2,))),
    "four leaderships": Bounds(writes_at_once=True),
    "two leaders, a crash, one set": Bounds(tokens=((1,), (2,)), puts=("a",), crashes=1),
    "two leaders, two sets, one of them twice": Bounds(
        tokens=((1,), (2,)), puts=("a", "a", "b"), writes_at_once=True
    ),
    "three leaderships, a crash": Bounds(tokens=((1, 3), (2,)), crashes=1),
    "compaction": Bounds(tokens=((1,), (2,)), puts=("a", "b"), kept_entries=1, writes_at_once=True),
    "all": Bounds(puts=("a", "a", "b"), crashes=2, repeats=1, resends=1, kept_entries=1),
}


@pytest.mark.parametrize("name", SEARCHES)
def test_no_order_of_events_loses_or_changes_what_is_committed(name: str) -> None:
    found = explore(SEARCHES[name], STATES_MOST)
    assert found.violation == "", found.path
    assert found.is_whole and found.most_committed >= 2
    print(f"{name}: {found.states:,} states")


THREE_EACH = ((1, 3, 5), (2, 4, 6))
DEEP = {
    "one entry at a time": Bounds(
        tokens=THREE_EACH, puts=("a", "a", "b", "c"), crashes=3, repeats=2, resends=8, kept_entries=2,
        tells_acknowledged=True,
    ),
    "two entries at a time": Bounds(
        tokens=THREE_EACH, puts=("a", "a", "b", "c"), crashes=3, repeats=2, resends=8, kept_entries=2,
        entries_most=2,
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", DEEP)
def test_no_deep_order_by_chance_does(name: str) -> None:
    """Six leaderships, crashes, messages sent again, compaction and snapshots: too much to be searched."""
    found = walk(DEEP[name], range(300), 200)
    assert found.violation == "", found.path
    assert found.states > 5_000 and found.most_committed >= 4
    print(f"{name}: {found.states:,} states")


# Defects. Found by what follows of them: the check of disks at each commitment is off.


def replies_before_sync(self: Replica, to: int, message: ReplicationMessage) -> list[Action]:
    return [Send(to, message)]


def promises_before_sync(self: Replica, to: int, message: ReplicationMessage) -> list[Action]:
    return [Send(to, message)] if isinstance(message, Promise) else reply(self, to, message)


def leads_unread(self: Leader, now_ns: int) -> list[Action]:
    self._promises = {0, 1, 2}
    return lead_if_promised(self, now_ns)


def never_outdated(self: Replica, token: int) -> bool:
    return False


def one_is_enough(self: Leader) -> int:
    acknowledged = [one.acknowledged.revision for one in self.followers.values()]
    return max([*acknowledged, self._replica.synced_revision])


def counts_any_token(self: Leader, position: LogPosition) -> bool:
    return True


def counts_itself_unsynced(self: Leader) -> int:
    revisions = [one.acknowledged.revision for one in self.followers.values()]
    return sorted([*revisions, self._replica.log.last.revision])[1]


def leads_with_any_log(self: Leader, now_ns: int, sender: int, message: Promise) -> list[Action]:
    return on_promise(self, now_ns, sender, Promise(message.token, LogPosition(0, 0), message.followed))


def appends_anywhere(self: Replica, position: LogPosition) -> bool:
    return position.revision <= self.log.last.revision


def forgets_uncommitted_ids(self: Proposals, change_set_id: str) -> int | None:
    return self._state.revision_of(change_set_id)


reply, lead_if_promised, on_promise = Replica._reply, Leader._lead_if_promised, Leader.on_promise


class Defect(NamedTuple):
    where: Any
    name: str
    plant: Callable[..., object]
    bounds: Bounds


TWO, FOUR = ((1,), (2,)), ((1, 3), (2, 4))
DEFECTS = {
    "acknowledged before synced": Defect(
        Replica, "_reply", replies_before_sync, Bounds(tokens=TWO, crashes=1, checks_disks=False)
    ),
    "promised before synced": Defect(
        Replica, "_reply", promises_before_sync, Bounds(tokens=TWO, crashes=1, checks_disks=False)
    ),
    "no read before the first write": Defect(
        Leader, "_lead_if_promised", leads_unread, Bounds(tokens=TWO, checks_disks=False)
    ),
    "token not checked": Defect(
        Replica, "is_outdated", never_outdated, Bounds(tokens=TWO, checks_disks=False)
    ),
    "commit by a minority": Defect(
        Leader, "_majority_revision", one_is_enough, Bounds(tokens=TWO, checks_disks=False)
    ),
    "an earlier token's entry committed by count alone": Defect(
        Leader, "_may_count", counts_any_token, Bounds(tokens=FOUR, writes_at_once=True, checks_disks=False)
    ),
    "its own entry counted before synced": Defect(
        Leader, "_majority_revision", counts_itself_unsynced,
        Bounds(tokens=TWO, crashes=1, checks_disks=False),
    ),
    "leads without the most recent log": Defect(
        Leader, "on_promise", leads_with_any_log, Bounds(tokens=TWO, checks_disks=False)
    ),
    "the entry before not compared": Defect(
        Replica, "_holds", appends_anywhere,
        Bounds(tokens=((1,), (2, 4)), writes_at_once=True, checks_disks=False),
    ),
    "an id appended again by the next leader": Defect(
        Proposals, "revision_of", forgets_uncommitted_ids,
        Bounds(tokens=TWO, puts=("a", "a"), writes_at_once=True, checks_disks=False),
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    defect = DEFECTS[name]
    monkeypatch.setattr(defect.where, defect.name, defect.plant)
    found = explore(defect.bounds, STATES_MOST)
    assert found.violation, f"{found.states:,} states, nothing found"
    print(f"{name}: after {found.states:,} states, {len(found.path)} steps: {found.violation}")


def report(name: str, found: Search, seconds: float) -> bool:
    how = "whole" if found.is_whole else "cut off"
    print(
        f"{name}: {found.states:,} states, {how}, {found.most_committed} committed at most, {seconds:.0f} s"
    )
    if found.violation:
        print(f"  {found.violation}", *found.path, sep="\n    ")
    return not found.violation


def main() -> int:
    """The longer form."""
    states_most = int(float(sys.argv[1] if len(sys.argv) > 1 else 3) * 1_000_000)
    good = True
    for name, bounds in (SEARCHES | LONG_SEARCHES).items():
        started = time.monotonic()
        found = explore(bounds, states_most)
        good = report(name, found, time.monotonic() - started) and good
    return 0 if good else 1


if __name__ == "__main__":  # with PYTHONPATH=.:tests/control
    sys.exit(main())
