"""A replica and its leadership, joined: what is safe whoever is told to lead, and when."""

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

KEPT_ENTRIES = 4_096  # committed ones behind which the log is cut: two days of 1,800 changes a day


class Consensus:
    """Of replica `own` of `count`. `state`: at `stored.committed`."""

    def __init__(
        self, own: int, count: int, now_ns: int, stored: StoredLog, state: ConfigurationState,
        kept_entries: int = KEPT_ENTRIES,
    ) -> None:  # fmt: skip
        self.replica = Replica(stored, state)
        self.leadership: Leader | None = None
        self.last_contact_ns = now_ns
        self.refused_token = 0  # the greatest promised token that a refusal named
        self._own = own
        self._count = count
        self._kept_entries = kept_entries

    @property
    def is_leader(self) -> bool:
        return self.leadership is not None and self.leadership.is_leading

    @property
    def leader(self) -> int | None:
        return self._own if self.is_leader else self.replica.leader

    # Leadership.

    def lead(self, now_ns: int, token: int) -> list[Action]:
        """With a token that nobody else has. One that isn't above all promised here is refused: nothing is
        done, and `leadership` stays as it was."""
        if token <= self.replica.promised:
            return []
        actions = self.resign(None)
        self.leadership = Leader(self.replica, self._own, self._count, token, now_ns)
        return actions + self.leadership.start()

    def resign(self, heir: int | None) -> list[Action]:
        if self.leadership is None:
            return []
        return self.leadership.resign(heir)

    def _fence(self) -> list[Action]:
        """A leadership ends once its replica promised a higher token."""
        leadership = self.leadership
        if leadership is None or leadership.phase is Phase.RESIGNED:
            return []
        return leadership.resign(None) if leadership.token < self.replica.promised else []

    # Events.

    def on_message(self, now_ns: int, sender: int, message: ReplicationMessage) -> list[Action]:
        match message:
            case Prepare():
                actions = self.replica.on_prepare(sender, message)
            case Append():
                actions = self.replica.on_append(sender, message)
                if self.replica.leader == sender and self.replica.committed >= message.committed:
                    self.last_contact_ns = now_ns
            case SnapshotPart():
                actions = self.replica.on_snapshot_part(sender, message)
            case _:
                actions = self._on_answer(now_ns, sender, message)
        return actions + self._fence() + self._compact()

    def _on_answer(self, now_ns: int, sender: int, message: ReplicationMessage) -> list[Action]:
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
                self.refused_token = max(self.refused_token, message.promised)
                return leadership.resign(None)
        return []

    def on_persisted(self, now_ns: int, sequence: int) -> list[Action]:
        actions = self.replica.on_persisted(sequence)
        if self.leadership is not None:
            actions += self.leadership.on_persisted(now_ns)
        return actions + self._compact()

    def propose(self, now_ns: int, change_set: ChangeSet) -> list[Action]:
        if self.leadership is None or not self.leadership.is_leading:
            return [ProposalRefused(change_set.id, NotLeader(self.leader))]
        return self.leadership.propose(now_ns, change_set)

    def tick(self, now_ns: int) -> list[Action]:
        return [] if self.leadership is None else self.leadership.tick(now_ns)

    def contact_ns(self, now_ns: int) -> int:
        """When this replica last knew its state to be that of a leader with a majority."""
        if self.leadership is not None and self.leadership.is_leading:
            self.last_contact_ns = max(self.last_contact_ns, self.leadership.majority_heard_ns(now_ns))
        return self.last_contact_ns

    def _compact(self) -> list[Action]:
        return self.replica.compact(self._kept_entries)
