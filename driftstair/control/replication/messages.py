"""The messages between replicas. Each is one JSON object whose `type` names its kind.

Tokens are the ballots of leaders: integers that only rise. Revisions are positions in the log, from 1.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec

from driftstair.configuration.change_sets import ChangeSet, LoggedChangeSet
from driftstair.configuration.resource_table import REVISION_MAX
from driftstair.configuration.resources import Resource

MESSAGE_BYTES_MAX = 1 << 20  # a full Append or a snapshot part, with room to spare
APPEND_BYTES_MAX = 384 << 10  # content bytes in one Append; a single larger change set is sent alone
SNAPSHOT_PART_BYTES_MAX = 128 << 10  # content bytes in one part; a single larger resource is sent alone
REPLICAS_MAX = 7
LEASE_ITEM_NUMBER_MAX = (1 << 64) - 1

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=REVISION_MAX)]


class ReplicationMessageError(Exception):
    """The bytes are not a valid message. The text says in one line what is wrong and where."""


class LogPosition(NamedTuple):
    """The place of a log's last entry. Positions order logs by how recent they are (Raft, 5.4.1)."""

    token: NonNegativeInt
    revision: Revision


LOG_START = LogPosition(0, 0)  # the position before the first entry


class LogEntry(msgspec.Struct, frozen=True):
    """A change set at its place in the log, and the token of the leader that put it there."""

    revision: Revision
    token: NonNegativeInt
    change_set: ChangeSet

    @property
    def position(self) -> LogPosition:
        """The position of the log that ends with this entry."""
        return LogPosition(self.token, self.revision)

    def to_logged_change_set(self) -> LoggedChangeSet:
        """The entry as watchers get it, without the token, which they don't know."""
        return LoggedChangeSet(self.revision, self.change_set)


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """Wants to lead with this token: no lower one is to be followed from now on."""

    token: NonNegativeInt


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """The promise is on the disk. `last`: of this replica's log; `followed`: the greatest token whose leader
    changed this log."""

    token: NonNegativeInt
    last: LogPosition
    followed: NonNegativeInt


class Append(msgspec.Struct, frozen=True, tag="append"):
    """The entries after `previous`, none for a heartbeat. `number` counts what this leader sent to this
    replica. `acknowledged`: up to where the leader knows each replica's disk, by the replica's number."""

    token: NonNegativeInt
    number: NonNegativeInt
    previous: LogPosition
    entries: tuple[LogEntry, ...]
    committed: Revision
    acknowledged: tuple[LogPosition, ...] = ()


class Appended(msgspec.Struct, frozen=True, tag="appended"):
    """Up to `revision` the log on this replica's disk is the leader's."""

    token: NonNegativeInt
    number: NonNegativeInt
    revision: Revision


class Mismatch(msgspec.Struct, frozen=True, tag="mismatch"):
    """The log differs at the `previous` of an Append. Up to `revision` it may be the same."""

    token: NonNegativeInt
    number: NonNegativeInt
    revision: Revision


class Refusal(msgspec.Struct, frozen=True, tag="refusal"):
    """The token asked with is lower than the one promised."""

    token: NonNegativeInt
    promised: NonNegativeInt


class SnapshotPart(msgspec.Struct, frozen=True, tag="snapshot"):
    """A part of the state at `position`, for a replica whose log ends before the leader's begins. `part`
    counts from 0. The ids come with the last part."""

    token: NonNegativeInt
    number: NonNegativeInt
    position: LogPosition
    part: NonNegativeInt
    is_last: bool
    resources: tuple[Resource, ...]
    recent_ids: tuple[tuple[str, Revision], ...] = ()


class SnapshotProgress(msgspec.Struct, frozen=True, tag="snapshot_progress"):
    """The parts before `wanted_part` are here (not yet on the disk)."""

    token: NonNegativeInt
    number: NonNegativeInt
    position: LogPosition
    wanted_part: NonNegativeInt


class LeaseMessage(msgspec.Struct, frozen=True, tag="lease"):
    """A message of the lease, as `driftstair.tier.ownership.wire` writes it."""

    generation: NonNegativeInt  # that of the sender's process
    item: tuple[int, ...]


class Alive(msgspec.Struct, frozen=True, tag="alive"):
    """Sent now and then, so that replicas know who could lead."""


ReplicationMessage = (
    Prepare | Promise | Append | Appended | Mismatch | Refusal | SnapshotPart | SnapshotProgress
    | LeaseMessage | Alive
)  # fmt: skip

_decoder: msgspec.json.Decoder[ReplicationMessage] = msgspec.json.Decoder(ReplicationMessage)


def encode(message: ReplicationMessage) -> bytes:
    """Encodes a message as JSON."""
    return msgspec.json.encode(message)


def decode(document: bytes) -> ReplicationMessage:
    """Decodes and checks a message. Raises ReplicationMessageError."""
    if len(document) > MESSAGE_BYTES_MAX:
        raise ReplicationMessageError(f"$: longer than {MESSAGE_BYTES_MAX:,} bytes")
    try:
        message = _decoder.decode(document)
    except RecursionError:
        raise ReplicationMessageError("$: nested too deeply") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        raise ReplicationMessageError(str(problem).replace("\n", " ")[:200]) from None
    _check_values(message)
    return message


def _check_values(message: ReplicationMessage) -> None:
    """Checks what the types can't express. Raises ReplicationMessageError."""
    match message:
        case Append(entries=entries, previous=previous, acknowledged=acknowledged):
            if len(acknowledged) > REPLICAS_MAX:
                raise ReplicationMessageError(f"$.acknowledged: more than {REPLICAS_MAX} replicas")
            _check_entries(previous, message.token, entries)
        case SnapshotPart(resources=resources, position=position):
            for index, resource in enumerate(resources):
                if not 0 <= resource.revision <= position.revision:
                    detail = f"{resource.revision} in a snapshot of {position.revision}"
                    raise ReplicationMessageError(f"$.resources[{index}].revision: {detail}")
        case LeaseMessage(item=item) if len(item) > 16 or any(
            abs(number) > LEASE_ITEM_NUMBER_MAX for number in item
        ):
            raise ReplicationMessageError("$.item: no message of a lease")


def _check_entries(previous: LogPosition, token: int, entries: tuple[LogEntry, ...]) -> None:
    """Checks that revisions are consecutive and tokens in order. Raises ReplicationMessageError."""
    for index, entry in enumerate(entries):
        where = f"$.entries[{index}]"
        if entry.revision != previous.revision + 1:
            raise ReplicationMessageError(f"{where}.revision: {entry.revision} after {previous.revision}")
        if not previous.token <= entry.token <= token:
            raise ReplicationMessageError(f"{where}.token: {entry.token} is out of order")
        previous = entry.position
