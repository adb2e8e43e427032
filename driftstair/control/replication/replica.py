"""The durable side of one replica: what it promised, its log, and what of that is on its disk.

Nothing that a leader may count is said before it is synced: a reply waits for all that was handed to the disk
before it.
"""

from __future__ import annotations

from typing import NamedTuple

from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import (
    Action,
    CommitRecord,
    Committed,
    EntriesRecord,
    LeaseTokenRecord,
    Persist,
    PromiseRecord,
    Record,
    ReplaceRecord,
    Restored,
    Send,
    Snapshot,
    StoredLog,
)
from driftstair.control.replication.log import EntryLog
from driftstair.control.replication.messages import (
    START,
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

RESOURCES_PER_ENTRY = 16  # in a snapshot, for each entry that is cut with it


class ReplicationFaultError(Exception):
    """What can't happen while a majority's disks keep what they synced: this replica has to stop."""


class HeldReply(NamedTuple):
    """A reply that waits until the Persist of that number is synced."""

    sequence: int
    message: ReplicationMessage


class Unsynced(NamedTuple):
    """Up to `revision` the log is on the disk once the Persist of that number is synced."""

    sequence: int
    revision: int


class Replica:
    """`state` is at the revision known to be committed."""

    def __init__(self, stored: StoredLog, state: ConfigurationState) -> None:
        self.promised = stored.promised
        self.followed = stored.followed
        self.lease_token = stored.lease_token
        self.log = EntryLog(stored.base, list(stored.entries))
        self.state = state
        self.leader: int | None = None  # whoever appended last under the promised token
        self.sequence = 0  # of the last Persist
        self.synced = 0  # Persists up to this number are on the disk
        self.synced_revision = self.log.last.revision  # up to here the log is on the disk
        self.acknowledged: tuple[LogPosition, ...] = ()  # by replica, as a leader last told
        self.acknowledged_by = (0, 0)  # that leader's token, and the number of its message
        self._unsynced: list[Unsynced] = []
        self._held: dict[tuple[int, type[ReplicationMessage]], HeldReply] = {}
        self._committed_on_disk = stored.committed
        self._incoming: IncomingSnapshot | None = None

    @property
    def committed(self) -> int:
        return self.state.revision

    # The disk.

    def persist(self, *records: Record) -> Persist:
        """The next Persist. What is known to be committed goes with it: that costs no sync of its own."""
        if self.committed > self._committed_on_disk and not isinstance(records[0], ReplaceRecord):
            records += (CommitRecord(self.committed),)
        self._committed_on_disk = self.committed
        self.sequence += 1
        return Persist(self.sequence, records)

    def persist_commit(self) -> list[Action]:
        """For a replica that starts while no leader is to be had: it serves up to here."""
        if self.committed == self._committed_on_disk:
            return []
        self._committed_on_disk = self.committed
        return [self.persist(CommitRecord(self.committed))]

    def persist_lease_token(self, token: int) -> Persist:
        self.lease_token = max(self.lease_token, token)
        return self.persist(LeaseTokenRecord(self.lease_token))

    def on_persisted(self, sequence: int) -> list[Action]:
        """The replies that waited for it."""
        self.synced = max(self.synced, sequence)
        while self._unsynced and self._unsynced[0].sequence <= self.synced:
            self.synced_revision = self._unsynced.pop(0).revision
        ready = [(key, held) for key, held in self._held.items() if held.sequence <= self.synced]
        for key, _ in ready:
            del self._held[key]
        return [Send(key[0], held.message) for key, held in ready]

    def _reply(self, to: int, message: ReplicationMessage) -> list[Action]:
        """Sent once all that was handed to the disk so far is synced; of one kind only the last waits."""
        if self.sequence <= self.synced:
            return [Send(to, message)]
        self._held[to, type(message)] = HeldReply(self.sequence, message)
        return []

    # Promises.

    def promise(self, token: int) -> list[Action]:
        """No lower token is followed from now on."""
        self.promised = token
        self.leader = None
        return [self.persist(PromiseRecord(token))]

    def on_prepare(self, sender: int, message: Prepare) -> list[Action]:
        if self.is_outdated(message.token):
            return [Send(sender, Refusal(message.token, self.promised))]
        actions = self.promise(message.token) if message.token > self.promised else []
        return actions + self._reply(sender, Promise(message.token, self.log.last, self.followed))

    def is_outdated(self, token: int) -> bool:
        """Whether a higher token was promised."""
        return token < self.promised

    def owed_position(self, replica: int, followed: int) -> LogPosition:
        """Up to where the log of another replica must reach by what it acknowledged, as far as this one was
        told. A leader with a later token than the one that told may have cut it since: then nothing is."""
        if followed > self.acknowledged_by[0] or replica >= len(self.acknowledged):
            return START
        return self.acknowledged[replica]

    # The log.

    def append_own(self, token: int, change_set: ChangeSet) -> list[Action]:
        """As the leader, at the end."""
        entry = LogEntry(self.log.last.revision + 1, token, change_set)
        return [self._persist_entries(token, (entry,))]

    def on_append(self, sender: int, message: Append) -> list[Action]:
        if self.is_outdated(message.token):
            return [Send(sender, Refusal(message.token, self.promised))]
        actions = self._follow(sender, message.token)
        self._note_acknowledged(message)
        previous = message.previous
        if not self._holds(previous):
            shared = self._shared_with(previous)
            return actions + self._reply(sender, Mismatch(message.token, message.number, shared))
        new = self._missing(message.entries)
        if new:
            actions.append(self._persist_entries(message.token, new))
        matched = max(previous.revision + len(message.entries), self.log.base.revision)
        actions += self.commit_to(min(message.committed, matched))
        return actions + self._reply(sender, Appended(message.token, message.number, matched))

    def _holds(self, position: LogPosition) -> bool:
        """Whether the log has that very entry; what was compacted is committed, and the same everywhere."""
        if position.revision < self.log.base.revision:
            return True
        return self.log.position_at(position.revision) == position

    def _shared_with(self, position: LogPosition) -> int:
        """Up to which revision a log that has this position may be the same, where this one has it not."""
        if self.log.last.revision < position.revision:
            return self.log.last.revision
        return self.committed  # an uncommitted tail differs: where it begins isn't known

    def _follow(self, sender: int, token: int) -> list[Action]:
        actions = self.promise(token) if token > self.promised else []
        self.leader = sender
        return actions

    def _note_acknowledged(self, message: Append) -> None:
        told_by = (message.token, message.number)
        if message.acknowledged and told_by > self.acknowledged_by:
            self.acknowledged, self.acknowledged_by = message.acknowledged, told_by

    def note_own_view(self, token: int, acknowledged: tuple[LogPosition, ...]) -> None:
        """What this replica knew as the leader."""
        self.acknowledged, self.acknowledged_by = acknowledged, (token, 0)

    def _missing(self, entries: tuple[LogEntry, ...]) -> tuple[LogEntry, ...]:
        """From the first that this log lacks or has another entry in place of."""
        for index, entry in enumerate(entries):
            if entry.revision <= self.log.base.revision:
                continue
            if self.log.position_at(entry.revision) != entry.position:
                return entries[index:]
        return ()

    def _persist_entries(self, token: int, entries: tuple[LogEntry, ...]) -> Persist:
        """These stand in the log after what is before the first of them, and nothing behind."""
        after = entries[0].revision - 1
        if after < self.committed:
            raise ReplicationFaultError(f"revision {after + 1} is committed, a leader has another one there")
        self._cut_after(after)
        for entry in entries:
            self.log.append(entry)
        self.followed = max(self.followed, token)
        persist = self.persist(EntriesRecord(token, after, entries))
        self._unsynced.append(Unsynced(persist.sequence, self.log.last.revision))
        return persist

    def _cut_after(self, revision: int) -> None:
        if revision == self.log.last.revision:
            return
        self.log.cut_after(revision)
        self.synced_revision = min(self.synced_revision, revision)
        self._unsynced = [Unsynced(one.sequence, min(one.revision, revision)) for one in self._unsynced]

    def commit_to(self, revision: int) -> list[Action]:
        """Applies what is committed up to there."""
        actions: list[Action] = []
        for entry in self.log.after(self.committed, max(0, revision - self.committed)):
            logged = entry.logged()
            self.state.apply(logged)
            actions.append(Committed(logged))
        return actions

    # Snapshots.

    def take_snapshot(self) -> Snapshot:
        """Of what is committed."""
        position = self.log.position_at(self.committed)
        assert position is not None  # the log begins before what is committed
        return Snapshot(position, tuple(self.state.resources()), self.state.recent_ids())

    def compact(self, kept: int) -> list[Action]:
        """Cuts the log to the last `kept` committed entries once there are twice as many, and more of a
        great state, so that a snapshot's cost stays small beside that of the changes it stands for."""
        if self.committed - self.log.base.revision < 2 * kept + len(self.state) // RESOURCES_PER_ENTRY:
            return []
        snapshot = self.take_snapshot()
        base = self.log.position_at(self.committed - kept)
        assert base is not None
        self.log.compact_to(base)
        return [self.persist(ReplaceRecord(self._to_store(snapshot)))]

    def _to_store(self, snapshot: Snapshot) -> StoredLog:
        return StoredLog(
            self.promised, self.followed, self.lease_token, self.committed, self.log.base,
            tuple(self.log.entries), snapshot,
        )  # fmt: skip

    def on_snapshot_part(self, sender: int, message: SnapshotPart) -> list[Action]:
        token, number, position = message.token, message.number, message.position
        if self.is_outdated(token):
            return [Send(sender, Refusal(token, self.promised))]
        actions = self._follow(sender, token)
        if position.revision <= self.committed:
            self._incoming = None
            return actions + self._reply(sender, Appended(token, number, self.committed))
        if self._incoming is None or not self._incoming.is_of(token, position):
            self._incoming = IncomingSnapshot(token, position, type(self.state)())
        incoming = self._incoming
        whole = incoming.add(message)
        if whole is None:
            progress = SnapshotProgress(token, number, position, incoming.wanted_part)
            return actions + self._reply(sender, progress)
        self._incoming = None
        actions += self._install(token, whole, incoming.state)
        return actions + self._reply(sender, Appended(token, number, position.revision))

    def _install(self, token: int, snapshot: Snapshot, state: ConfigurationState) -> list[Action]:
        """What is behind the snapshot's position stays only where that very entry is in the log."""
        position = snapshot.position
        self.log.compact_to(position)
        self.state = state
        self.followed = max(self.followed, token)
        self.synced_revision, self._unsynced = 0, []
        persist = self.persist(ReplaceRecord(self._to_store(snapshot)))
        self._unsynced.append(Unsynced(persist.sequence, self.log.last.revision))
        return [persist, Restored(snapshot)]
