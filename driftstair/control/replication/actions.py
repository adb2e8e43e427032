"""The actions that a replica returns, the records it writes to its disk, and what it reads there at its
start."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.control.replication.messages import (
    LOG_START,
    LogEntry,
    LogPosition,
    NonNegativeInt,
    ReplicationMessage,
)

# Disk records.


class Snapshot(msgspec.Struct, frozen=True):
    """The state up to a position of the log, that entry included."""

    position: LogPosition
    resources: tuple[Resource, ...]
    recent_ids: tuple[tuple[str, NonNegativeInt], ...] = ()


class StoredLog(msgspec.Struct, frozen=True):
    """All that a replica's disk holds. An empty disk is `StoredLog()`."""

    promised: NonNegativeInt = 0  # tokens below this one are rejected
    followed: NonNegativeInt = 0  # greatest token of a leader that changed this log
    lease_token: NonNegativeInt = 0  # greatest token that the lease's acceptor may have promised
    # Greatest revision known to be committed; later entries may be committed too.
    committed: NonNegativeInt = 0
    # Position of the entry before the first stored one; not after the snapshot's position.
    base: LogPosition = LOG_START
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class PromiseRecord(msgspec.Struct, frozen=True, tag="promise"):
    token: NonNegativeInt


class LeaseTokenRecord(msgspec.Struct, frozen=True, tag="lease_token"):
    token: NonNegativeInt


class CommitRecord(msgspec.Struct, frozen=True, tag="commit"):
    revision: NonNegativeInt


class EntriesRecord(msgspec.Struct, frozen=True, tag="entries"):
    """What the log held after `after_revision` is cut, and these entries stand there."""

    followed: NonNegativeInt
    after_revision: NonNegativeInt
    entries: tuple[LogEntry, ...]


class ReplaceRecord(msgspec.Struct, frozen=True, tag="replace"):
    """The disk holds this and nothing else. Stands alone in its Persist."""

    stored: StoredLog


Record = PromiseRecord | LeaseTokenRecord | CommitRecord | EntriesRecord | ReplaceRecord


# Reasons for refusing a proposal.


class NotLeader(NamedTuple):
    """This replica does not lead. `leader` is the replica to ask, None if none is known."""

    leader: int | None


class NoMajority(NamedTuple):
    """No majority has confirmed the change set, so its outcome is unknown. The same change set may be
    proposed again with the same id."""


class Conflict(NamedTuple):
    """A change of `resource` expected another revision than `revision`, the one that changed it last."""

    resource: ResourceKey
    revision: int


class InvalidChangeSet(NamedTuple):
    """The change set can never be appended to the log; `why` is the text for the client."""

    why: str


RefusalReason = NotLeader | NoMajority | Conflict | InvalidChangeSet


# Actions. They have to be carried out in the order in which they are returned.


class Send(NamedTuple):
    """Sends a message to replica `to`. The message may be lost, delayed, duplicated or reordered."""

    to: int
    message: ReplicationMessage


class Persist(NamedTuple):
    """Writes records to the disk.

    They are written and synced after all writes of lower sequence numbers, and then reported by
    `on_persisted`. A failed write is repeated; until it succeeds, this replica acknowledges nothing that
    depends on it.
    """

    sequence: int
    records: tuple[Record, ...]


class EntryCommitted(NamedTuple):
    """The change set is committed and is applied to the state."""

    logged_change_set: LoggedChangeSet


class SnapshotInstalled(NamedTuple):
    """The state has been replaced by the snapshot's; everything reported before is void."""

    snapshot: Snapshot


class ProposalCommitted(NamedTuple):
    """The proposed change set `id` is committed at `revision`."""

    id: str
    revision: int


class ProposalRefused(NamedTuple):
    """The proposed change set `id` is refused, or its outcome is unknown (`NoMajority`)."""

    id: str
    reason: RefusalReason


class ReplicaRegressed(NamedTuple):
    """A replica has less on its disk than it acknowledged, because an old copy of the disk was restored. It
    is brought up to date, and until then counts only as far as its disk reaches."""

    replica: int
    acknowledged_revision: int
    stored_revision: int


Action = (
    Send
    | Persist
    | EntryCommitted
    | SnapshotInstalled
    | ProposalCommitted
    | ProposalRefused
    | ReplicaRegressed
)
