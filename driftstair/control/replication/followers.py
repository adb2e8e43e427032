"""What a leader knows about one follower, and the next message to send to it."""

from __future__ import annotations

from dataclasses import dataclass

from driftstair.control.replication.messages import (
    APPEND_BYTES_MAX,
    LOG_START,
    Append,
    LogEntry,
    LogPosition,
)
from driftstair.control.replication.replica import Replica

RETRY_INTERVAL_NS = 500_000_000  # first wait for an answer; doubles with each message that stays unanswered
RETRY_DOUBLINGS_MAX = 3  # waits of up to 4 s
HEARTBEAT_INTERVAL_NS = 1_000_000_000  # between messages when there is nothing to replicate
APPEND_ENTRIES_MAX = 256
CHANGE_OVERHEAD_BYTES = 128  # kind, keys and expected revision of one change in JSON


@dataclass(slots=True)
class Follower:
    """Replication progress of one follower, as its leader knows it."""

    last_answer_ns: int
    next_revision: int = 1  # revision of the next entry to send
    acknowledged_position: LogPosition = LOG_START  # its disk holds this leader's log up to here
    last_message_number: int = 0
    awaits_answer: bool = False  # the last message is not answered yet
    last_sent_ns: int = 0
    unanswered_count: int = 0  # messages sent since its last answer
    sent_committed_revision: int = 0
    next_snapshot_part: int = 0  # next part of the snapshot to send
    regressed_message_number: int = 0  # answers up to this message number describe a disk that was replaced

    def on_sent(self, now_ns: int, committed_revision: int) -> None:
        """Records that the next message was sent with this commit revision."""
        self.last_message_number += 1
        self.unanswered_count += 1 if self.awaits_answer else 0
        self.awaits_answer = True
        self.last_sent_ns = now_ns
        self.sent_committed_revision = committed_revision

    def on_answered(self) -> None:
        """Records the answer to the last message."""
        self.awaits_answer = False
        self.unanswered_count = 0

    def on_regressed(self) -> None:
        """Discards what the follower acknowledged, since its disk has lost it."""
        self.acknowledged_position = LOG_START
        self.regressed_message_number = self.last_message_number

    @property
    def next_send_ns(self) -> int:
        """When the next message has to be sent."""
        if not self.awaits_answer:
            return self.last_sent_ns + HEARTBEAT_INTERVAL_NS
        return self.last_sent_ns + (RETRY_INTERVAL_NS << min(self.unanswered_count, RETRY_DOUBLINGS_MAX))


def next_append(
    token: int, follower: Follower, replica: Replica, acknowledged_positions: tuple[LogPosition, ...]
) -> Append:
    """Builds the Append that begins at the follower's next entry, which the log must still hold."""
    previous_revision = follower.next_revision - 1
    previous = replica.log.position_at(previous_revision)
    assert previous is not None
    entries = _limit_to_message_size(replica.log.entries_after(previous_revision, APPEND_ENTRIES_MAX))
    return Append(
        token,
        follower.last_message_number,
        previous,
        entries,
        replica.committed_revision,
        acknowledged_positions,
    )


def _limit_to_message_size(entries: list[LogEntry]) -> tuple[LogEntry, ...]:
    """As many entries as fit into one message, but at least one."""
    total_bytes = 0
    for index, entry in enumerate(entries):
        total_bytes += _entry_bytes(entry)
        if index and total_bytes > APPEND_BYTES_MAX:
            return tuple(entries[:index])
    return tuple(entries)


def _entry_bytes(entry: LogEntry) -> int:
    changes = entry.change_set.changes
    return CHANGE_OVERHEAD_BYTES + sum(
        len(change.name.encode()) + len(bytes(change.content)) + CHANGE_OVERHEAD_BYTES for change in changes
    )
