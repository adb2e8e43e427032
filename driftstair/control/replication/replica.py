"""The durable part of one replica: its promises, its log, and how much of both is on its disk.

A reply that a leader may count is sent only after everything handed to the disk before it is synced.
"""

from __future__ import annotations

from typing import NamedTuple

from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import (
    Action,
    CommitRecord,
    EntriesRecord,
    EntryCommitted,
    LeaseTokenRecord,
    Persist,
    PromiseRecord,
    Record,
    ReplaceRecord,
    Send,
    Snapshot,
    SnapshotInstalled,
    StoredLog,
)
from driftstair.control.replication.log import EntryLog
from driftstair.control.replication.messages import (
    LOG_START,
    Append,
    Appended,
    LogEntry,
    LogPosition,
    Mismatch,
    Prepare,
    Promise,
    Refusal,
    ReplicationMessage,
    SnapshotPart,
    SnapshotProgress,
)
from driftstair.control.replication.snapshots import IncomingSnapshot

RESOURCES_PER_ENTRY = 16  # resources in a snapshot for each entry that is compacted with it


class ReplicationFaultError(Exception):
    """An event that is impossible while the disks of a majority keep what they synced. This replica has to
    stop."""


class PendingReply(NamedTuple):
    """A reply that is sent once the Persist of this sequence number is synced."""

    sequence: int
    message: ReplicationMessage


class UnsyncedEntries(NamedTuple):
    """The log is on the disk up to `revision` once the Persist of this sequence number is synced."""

    sequence: int
    revision: int


class Replica:
    """The promises, the log and the state of one replica. The state is at the committed revision."""

    def __init__(self, stored: StoredLog, state: ConfigurationState) -> None:
        self.promised_token = stored.promised
        self.followed_token = stored.followed
        self.lease_token = stored.lease_token
        self.log = EntryLog(stored.base, list(stored.entries))
        self.state = state
        # The replica that last sent an Append or a snapshot under the promised token.
        self.leader: int | None = None
        self.last_sequence = 0  # of the last Persist returned
        self.synced_sequence = 0  # all Persists up to this sequence number are synced
        self.synced_revision = self.log.last_position.revision  # the log is on the disk up to this revision
        # By replica number, as last reported by a leader.
        self.acknowledged_positions: tuple[LogPosition, ...] = ()
        self.acknowledged_source = (0, 0)  # that leader's token, and the number of its message
        self._unsynced_entries: list[UnsyncedEntries] = []
        self._pending_replies: dict[tuple[int, type[ReplicationMessage]], PendingReply] = {}
        self._persisted_commit_revision = stored.committed
        self._incoming_snapshot: IncomingSnapshot | None = None

    @property
    def committed_revision(self) -> int:
        """The greatest revision known to be committed."""
        return self.state.revision

    # Disk writes.

    def persist(self, *records: Record) -> Persist:
        """Returns the next Persist. It also stores the commit revision, which saves a sync of its own."""
        if self.committed_revision > self._persisted_commit_revision and not isinstance(
            records[0], ReplaceRecord
        ):
            records += (CommitRecord(self.committed_revision),)
        self._persisted_commit_revision = self.committed_revision
        self.last_sequence += 1
        return Persist(self.last_sequence, records)

    def persist_commit(self) -> list[Action]:
        """Stores the commit revision by itself, if it has changed.

        A replica that starts while no leader is available serves the state up to this revision.
        """
        if self.committed_revision == self._persisted_commit_revision:
            return []
        self._persisted_commit_revision = self.committed_revision
        return [self.persist(CommitRecord(self.committed_revision))]

    def persist_lease_token(self, token: int) -> Persist:
        """Stores a token that the lease's acceptor may have promised."""
        self.lease_token = max(self.lease_token, token)
        return self.persist(LeaseTokenRecord(self.lease_token))

    def on_persisted(self, sequence: int) -> list[Action]:
        """Records that all writes up to `sequence` are synced; returns the replies that waited for them."""
        self.synced_sequence = max(self.synced_sequence, sequence)
        while self._unsynced_entries and self._unsynced_entries[0].sequence <= self.synced_sequence:
            self.synced_revision = self._unsynced_entries.pop(0).revision
        ready = [
            (key, reply)
            for key, reply in self._pending_replies.items()
            if reply.sequence <= self.synced_sequence
        ]
        for key, _ in ready:
            del self._pending_replies[key]
        return [Send(key[0], reply.message) for key, reply in ready]

    def _reply(self, to: int, message: ReplicationMessage) -> list[Action]:
        """Sends a reply once everything handed to the disk so far is synced.

        Of several waiting replies of one type to the same replica, only the last is kept.
        """
        if self.last_sequence <= self.synced_sequence:
            return [Send(to, message)]
        self._pending_replies[to, type(message)] = PendingReply(self.last_sequence, message)
        return []

    # Promises.

    def promise(self, token: int) -> list[Action]:
        """Rejects all lower tokens from now on."""
        self.promised_token = token
        self.leader = None
        return [self.persist(PromiseRecord(token))]

    def on_prepare(self, sender: int, message: Prepare) -> list[Action]:
        """Promises the token, or refuses it if a higher one was promised."""
        if self.is_outdated(message.token):
            return [Send(sender, Refusal(message.token, self.promised_token))]
        actions = self.promise(message.token) if message.token > self.promised_token else []
        return actions + self._reply(
            sender, Promise(message.token, self.log.last_position, self.followed_token)
        )

    def is_outdated(self, token: int) -> bool:
        """Whether a higher token has been promised."""
        return token < self.promised_token

    def acknowledged_position_of(self, replica: int, followed_token: int) -> LogPosition:
        """The position that another replica's log must reach according to what it has acknowledged.

        Known only as far as a leader reported it to this replica. A leader with a later token than the
        reporting one may have truncated that log since; then nothing is required.
        """
        if followed_token > self.acknowledged_source[0] or replica >= len(self.acknowledged_positions):
            return LOG_START
        return self.acknowledged_positions[replica]

    # Log.

    def append_as_leader(self, token: int, change_set: ChangeSet) -> list[Action]:
        """Appends a change set at the end of the log, as the leader."""
        entry = LogEntry(self.log.last_position.revision + 1, token, change_set)
        return [self._persist_entries(token, (entry,))]

    def on_append(self, sender: int, message: Append) -> list[Action]:
        """Handles entries or a heartbeat of a leader."""
        if self.is_outdated(message.token):
            return [Send(sender, Refusal(message.token, self.promised_token))]
        actions = self._follow_leader(sender, message.token)
        self._record_acknowledged(message)
        previous = message.previous
        if not self._contains(previous):
            shared_revision = self._max_shared_revision(previous)
            return actions + self._reply(sender, Mismatch(message.token, message.number, shared_revision))
        new_entries = self._missing_entries(message.entries)
        if new_entries:
            actions.append(self._persist_entries(message.token, new_entries))
        matched_revision = max(previous.revision + len(message.entries), self.log.base.revision)
        actions += self.commit_up_to(min(message.committed, matched_revision))
        return actions + self._reply(sender, Appended(message.token, message.number, matched_revision))

    def _contains(self, position: LogPosition) -> bool:
        """Whether the log contains this very entry. Compacted entries are committed, and equal on all
        replicas."""
        if position.revision < self.log.base.revision:
            return True
        return self.log.position_at(position.revision) == position

    def _max_shared_revision(self, position: LogPosition) -> int:
        """The revision up to which this log may equal a log that contains `position`, which this one does
        not."""
        if self.log.last_position.revision < position.revision:
            return self.log.last_position.revision
        # The uncommitted part differs, and where it begins to differ is unknown.
        return self.committed_revision

    def _follow_leader(self, sender: int, token: int) -> list[Action]:
        """Promises the token of a leader if it is higher, and records who leads."""
        actions = self.promise(token) if token > self.promised_token else []
        self.leader = sender
        return actions

    def _record_acknowledged(self, message: Append) -> None:
        """Keeps the acknowledged positions that a leader reported, unless a newer report is known."""
        source = (message.token, message.number)
        if message.acknowledged and source > self.acknowledged_source:
            self.acknowledged_positions, self.acknowledged_source = message.acknowledged, source

    def record_own_acknowledged(self, token: int, acknowledged_positions: tuple[LogPosition, ...]) -> None:
        """Keeps the acknowledged positions that this replica knew as the leader."""
        self.acknowledged_positions, self.acknowledged_source = acknowledged_positions, (token, 0)

    def _missing_entries(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """The entries from the first one on that this log lacks or holds differently."""
        for index, entry in enumerate(entries):
            if entry.revision <= self.log.base.revision:
                continue
            if self.log.position_at(entry.revision) != entry.position:
                return entries[index:]
        return ()

    def _persist_entries(self, token: int, entries: tuple[LogEntry, ...]) -> Persist:
        """Puts entries into the log in place of everything from the first of them on."""
        previous_revision = entries[0].revision - 1
        if previous_revision < self.committed_revision:
            raise ReplicationFaultError(
                f"revision {previous_revision + 1} is committed, a leader has another one there"
            )
        self._truncate_after(previous_revision)
        for entry in entries:
            self.log.append(entry)
        self.followed_token = max(self.followed_token, token)
        persist = self.persist(EntriesRecord(token, previous_revision, entries))
        self._unsynced_entries.append(UnsyncedEntries(persist.sequence, self.log.last_position.revision))
        return persist

    def _truncate_after(self, revision: int) -> None:
        """Drops all entries after a revision from the log in memory."""
        if revision == self.log.last_position.revision:
            return
        self.log.truncate_after(revision)
        self.synced_revision = min(self.synced_revision, revision)
        self._unsynced_entries = [
            UnsyncedEntries(unsynced.sequence, min(unsynced.revision, revision))
            for unsynced in self._unsynced_entries
        ]

    def commit_up_to(self, revision: int) -> list[Action]:
        """Applies all entries up to a committed revision."""
        actions: list[Action] = []
        for entry in self.log.entries_after(
            self.committed_revision, max(0, revision - self.committed_revision)
        ):
            logged_change_set = entry.to_logged_change_set()
            self.state.apply(logged_change_set)
            actions.append(EntryCommitted(logged_change_set))
        return actions

    # Snapshots.

    def take_snapshot(self) -> Snapshot:
        """Builds a snapshot of the committed state."""
        position = self.log.position_at(self.committed_revision)
        assert position is not None  # the log begins no later than the committed revision
        return Snapshot(position, tuple(self.state.resources()), self.state.recent_ids())

    def compact(self, kept_entries: int) -> list[Action]:
        """Cuts the log to the last `kept_entries` committed entries once it holds twice as many.

        With a large state it waits for more entries, so that the cost of a snapshot stays small compared to
        that of the changes it replaces.
        """
        if (
            self.committed_revision - self.log.base.revision
            < 2 * kept_entries + len(self.state) // RESOURCES_PER_ENTRY
        ):
            return []
        snapshot = self.take_snapshot()
        base = self.log.position_at(self.committed_revision - kept_entries)
        assert base is not None
        self.log.compact_to(base)
        return [self.persist(ReplaceRecord(self._to_stored_log(snapshot)))]

    def _to_stored_log(self, snapshot: Snapshot) -> StoredLog:
        """What the disk has to hold, with this snapshot."""
        return StoredLog(
            self.promised_token, self.followed_token, self.lease_token, self.committed_revision,
            self.log.base, tuple(self.log.entries), snapshot,
        )  # fmt: skip

    def on_snapshot_part(self, sender: int, message: SnapshotPart) -> list[Action]:
        """Handles a part of a leader's snapshot; installs the snapshot once all parts have arrived."""
        token, number, position = message.token, message.number, message.position
        if self.is_outdated(token):
            return [Send(sender, Refusal(token, self.promised_token))]
        actions = self._follow_leader(sender, token)
        if position.revision <= self.committed_revision:
            self._incoming_snapshot = None
            return actions + self._reply(sender, Appended(token, number, self.committed_revision))
        if self._incoming_snapshot is None or not self._incoming_snapshot.matches(token, position):
            self._incoming_snapshot = IncomingSnapshot(token, position, type(self.state)())
        incoming = self._incoming_snapshot
        snapshot = incoming.add_part(message)
        if snapshot is None:
            progress = SnapshotProgress(token, number, position, incoming.next_part)
            return actions + self._reply(sender, progress)
        self._incoming_snapshot = None
        actions += self._install_snapshot(token, snapshot, incoming.state)
        return actions + self._reply(sender, Appended(token, number, position.revision))

    def _install_snapshot(self, token: int, snapshot: Snapshot, state: ConfigurationState) -> list[Action]:
        """Replaces the state by a snapshot. Entries after its position stay only if the log contains that
        very position."""
        position = snapshot.position
        self.log.compact_to(position)
        self.state = state
        self.followed_token = max(self.followed_token, token)
        self.synced_revision, self._unsynced_entries = 0, []
        persist = self.persist(ReplaceRecord(self._to_stored_log(snapshot)))
        self._unsynced_entries.append(UnsyncedEntries(persist.sequence, self.log.last_position.revision))
        return [persist, SnapshotInstalled(snapshot)]
