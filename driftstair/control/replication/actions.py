"""What a replica wants done, what it wants on its disk, and what it finds there when it starts."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from driftstair.configuration.change_sets import LoggedChangeSet
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.control.replication.messages import START, LogEntry, LogPosition, Number, ReplicationMessage

# The disk.


class Snapshot(msgspec.Struct, frozen=True):
    """The state up to a position of the log, that entry included."""

    position: LogPosition
    resources: tuple[Resource, ...]
    recent_ids: tuple[tuple[str, Number], ...] = ()


class StoredLog(msgspec.Struct, frozen=True):
    """All that a replica's disk holds. An empty disk is `StoredLog()`."""

    promised: Number = 0  # no lower token is followed
    followed: Number = 0  # the greatest token whose leader changed this log
    lease_token: Number = 0  # the greatest token that the lease's acceptor may have promised
    committed: Number = 0  # known to be committed; more may be
    base: LogPosition = START  # of the entry before the first one kept; not behind the snapshot's
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None


class PromiseRecord(msgspec.Struct, frozen=True, tag="promise"):
    token: Number


class LeaseTokenRecord(msgspec.Struct, frozen=True, tag="lease_token"):
    token: Number


class CommitRecord(msgspec.Struct, frozen=True, tag="commit"):
    revision: Number


class EntriesRecord(msgspec.Struct, frozen=True, tag="entries"):
    """What the log held after `after_revision` is cut, and these entries stand there."""

    followed: Number
    after_revision: Number
    entries: tuple[LogEntry, ...]


class ReplaceRecord(msgspec.Struct, frozen=True, tag="replace"):
    """The disk holds this and nothing else. Stands alone in its Persist."""

    stored: StoredLog


Record = PromiseRecord | LeaseTokenRecord | CommitRecord | EntriesRecord | ReplaceRecord


# Why a proposal is refused.


class NotLeader(NamedTuple):
    """`leader`: the replica to ask; None: none is known."""

    leader: int | None


class NoMajority(NamedTuple):
    """Whether it is committed is not known: the same set with the same id may be put again."""


class Conflict(NamedTuple):
    """The change of `resource` expected another revision than `revision`, which changed it last."""

    resource: ResourceKey
    revision: int


class Invalid(NamedTuple):
    """No log takes it."""

    why: str


Reason = NotLeader | NoMajority | Conflict | Invalid


# Actions, to be done in the order in which they come.


class Send(NamedTuple):
    """May be lost, late, repeated or overtaken."""

    to: int
    message: ReplicationMessage


class Persist(NamedTuple):
    """To be written and synced after all of lower numbers, then told of by `on_persisted`. What fails is
    tried again; until it is done this replica acknowledges nothing that needs it."""

    sequence: int
    records: tuple[Record, ...]


class Committed(NamedTuple):
    logged: LoggedChangeSet


class Restored(NamedTuple):
    """The state is the snapshot's now: what came before is void."""

    snapshot: Snapshot


class ProposalCommitted(NamedTuple):
    id: str
    revision: int


class ProposalRefused(NamedTuple):
    id: str
    reason: Reason


class ReplicaRegressed(NamedTuple):
    """A replica has less on its disk than it acknowledged: an old copy was restored. It is caught up, and
    counts as far as it is."""

    replica: int
    acknowledged: int  # revision
    found: int  # revision


Action = Send | Persist | Committed | Restored | ProposalCommitted | ProposalRefused | ReplicaRegressed
