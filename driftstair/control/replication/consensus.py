"""Joins a replica and its leadership. Safety holds no matter which replica is told to lead, and when."""

from __future__ import annotations

from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import (
    Action,
    NotLeader,
    ProposalRefused,
    StoredLog,
)
from driftstair.control.replication.leader import Leader, Phase
from driftstair.control.replication.messages import (
    Append,
    Appended,
    Mismatch,
    Prepare,
    Promise,
    Refusal,
    ReplicationMessage,
    SnapshotPart,
    SnapshotProgress,
)
from driftstair.control.replication.replica import Replica

KEPT_ENTRIES = 4_096  # committed entries kept by a compaction: two days of 1,800 changes a day


class Consensus:
    """Replica `own_number` of `replica_count`. `state` has to be at revision `stored.committed`."""

    def __init__(
        self, own_number: int, replica_count: int, now_ns: int, stored: StoredLog, state: ConfigurationState,
        kept_entries: int = KEPT_ENTRIES,
    ) -> None:  # fmt: skip
        self.replica = Replica(stored, state)
        self.leadership: Leader | None = None
        self.last_contact_ns = now_ns
        self.refusal_promised_token = 0  # greatest promised token named by a refusal
        self._own_number = own_number
        self._replica_count = replica_count
        self._kept_entries = kept_entries

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads and takes proposals."""
        return self.leadership is not None and self.leadership.is_leading

    @property
    def leader(self) -> int | None:
        """The replica that leads, as far as this one knows."""
        return self._own_number if self.is_leader else self.replica.leader

    # Leadership.

    def lead(self, now_ns: int, token: int) -> list[Action]:
        """Begins a leadership with a token that no other replica has.

        A token that is not above all tokens promised here is rejected: nothing happens, and `leadership`
        stays as it was.
        """
        if token <= self.replica.promised_token:
            return []
        actions = self.resign(None)
        self.leadership = Leader(self.replica, self._own_number, self._replica_count, token, now_ns)
        return actions + self.leadership.start()

    def resign(self, successor: int | None) -> list[Action]:
        """Ends the leadership, if there is one. `successor` is the replica that should lead next."""
        if self.leadership is None:
            return []
        return self.leadership.resign(successor)

    def _fence(self) -> list[Action]:
        """Ends the leadership once its own replica has promised a higher token."""
        leadership = self.leadership
        if leadership is None or leadership.phase is Phase.RESIGNED:
            return []
        return leadership.resign(None) if leadership.token < self.replica.promised_token else []

    # Events.

    def on_message(self, now_ns: int, sender: int, message: ReplicationMessage) -> list[Action]:
        """Handles a message of another replica."""
        match message:
            case Prepare():
                actions = self.replica.on_prepare(sender, message)
            case Append():
                actions = self.replica.on_append(sender, message)
                if self.replica.leader == sender and self.replica.committed_revision >= message.committed:
                    self.last_contact_ns = now_ns
            case SnapshotPart():
                actions = self.replica.on_snapshot_part(sender, message)
            case _:
                actions = self._on_reply(now_ns, sender, message)
        return actions + self._fence() + self._compact()

    def _on_reply(self, now_ns: int, sender: int, message: ReplicationMessage) -> list[Action]:
        leadership = self.leadership
        if leadership is None:
            return []
        match message:
            case Promise():
                return leadership.on_promise(now_ns, sender, message)
            case Appended():
                return leadership.on_appended(now_ns, sender, message)
            case Mismatch():
                return leadership.on_mismatch(now_ns, sender, message)
            case SnapshotProgress():
                return leadership.on_snapshot_progress(now_ns, sender, message)
            case Refusal() if message.token == leadership.token < message.promised:
                self.refusal_promised_token = max(self.refusal_promised_token, message.promised)
                return leadership.resign(None)
        return []

    def on_persisted(self, now_ns: int, sequence: int) -> list[Action]:
        """Handles the report that all writes up to `sequence` are synced."""
        actions = self.replica.on_persisted(sequence)
        if self.leadership is not None:
            actions += self.leadership.on_persisted(now_ns)
        return actions + self._compact()

    def propose(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        """Appends a change set if this replica leads, and refuses it otherwise."""
        if self.leadership is None or not self.leadership.is_leading:
            return [ProposalRefused(change_set.id, NotLeader(self.leader))]
        return self.leadership.propose(now_ns, change_set)

    def tick(self, now_ns: int) -> list[Action]:
        """Sends what is due at this time and expires proposals."""
        return [] if self.leadership is None else self.leadership.tick(now_ns)

    def majority_contact_ns(self, now_ns: int) -> int:
        """The last time at which this replica knew its state to be that of a leader with a majority."""
        if self.leadership is not None and self.leadership.is_leading:
            self.last_contact_ns = max(self.last_contact_ns, self.leadership.majority_contact_ns(now_ns))
        return self.last_contact_ns

    def _compact(self) -> list[Action]:
        return self.replica.compact(self._kept_entries)
