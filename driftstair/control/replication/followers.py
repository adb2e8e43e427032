"""What a leader knows of one follower, and the next message for it."""

from __future__ import annotations

from dataclasses import dataclass

from driftstair.control.replication.messages import (
    APPEND_BYTES_MAX,
    START,
    Append,
    LogEntry,
    LogPosition,
)
from driftstair.control.replication.replica import Replica

RETRY_NS = 500_000_000  # for an answer; longer with each that is missing
RETRY_DOUBLINGS_MAX = 3  # up to 4 s
HEARTBEAT_NS = 1_000_000_000  # between messages where nothing happens
APPEND_ENTRIES_MAX = 256
CHANGE_OVERHEAD_BYTES = 128  # kind, keys and expected revision of one change in JSON


@dataclass(slots=True)
class Follower:
    heard_ns: int  # its last answer
    next_revision: int = 1  # of the next entry for it
    acknowledged: LogPosition = START  # up to here its disk holds this leader's log
    number: int = 0  # of the last message to it
    is_waiting: bool = False  # for the answer to that
    sent_ns: int = 0
    unanswered: int = 0  # messages since its last answer
    told_committed: int = 0
    part: int = 0  # of a snapshot: the next one for it
    regressed_number: int = 0  # answers up to this one are of a disk that was replaced

    def on_sent(self, now_ns: int, committed: int) -> None:
        self.number += 1
        self.unanswered += 1 if self.is_waiting else 0
        self.is_waiting = True
        self.sent_ns = now_ns
        self.told_committed = committed

    def on_answered(self) -> None:
        self.is_waiting = False
        self.unanswered = 0

    def on_regressed(self) -> None:
        self.acknowledged = START
        self.regressed_number = self.number

    @property
    def due_ns(self) -> int:
        """When the next message is to go out."""
        if not self.is_waiting:
            return self.sent_ns + HEARTBEAT_NS
        return self.sent_ns + (RETRY_NS << min(self.unanswered, RETRY_DOUBLINGS_MAX))


def next_append(
    token: int, follower: Follower, replica: Replica, acknowledged: tuple[LogPosition, ...]
) -> Append:
    """From the follower's next entry on, which the log still has."""
    after = follower.next_revision - 1
    previous = replica.log.position_at(after)
    assert previous is not None
    entries = _within_bytes(replica.log.after(after, APPEND_ENTRIES_MAX))
    return Append(token, follower.number, previous, entries, replica.committed, acknowledged)


def _within_bytes(entries: list[LogEntry]) -> tuple[LogEntry, ...]:
    """As many as fit into one message, one at least."""
    size = 0
    for index, entry in enumerate(entries):
        size += _size(entry)
        if index and size > APPEND_BYTES_MAX:
            return tuple(entries[:index])
    return tuple(entries)


def _size(entry: LogEntry) -> int:
    changes = entry.change_set.changes
    return CHANGE_OVERHEAD_BYTES + sum(
        len(change.name.encode()) + len(bytes(change.content)) + CHANGE_OVERHEAD_BYTES for change in changes
    )
