"""Snapshots sent in parts of bounded size from a leader to a replica whose log ends before the leader's
begins."""

from __future__ import annotations

from typing import NamedTuple

from driftstair.configuration.resources import Resource
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import Snapshot
from driftstair.control.replication.messages import SNAPSHOT_PART_BYTES_MAX, LogPosition, SnapshotPart

RESOURCE_OVERHEAD_BYTES = 64  # kind, revision and keys of one resource in JSON


class OutgoingSnapshot(NamedTuple):
    """A snapshot split into parts. The last part holds no resources; it carries the ids."""

    position: LogPosition
    parts: tuple[tuple[Resource, ...], ...]
    recent_ids: tuple[tuple[str, int], ...]

    def part_message(self, token: int, number: int, part: int) -> SnapshotPart:
        """The message for part `part`. A number beyond the last part starts over with the first."""
        if part >= len(self.parts):
            part = 0
        is_last = part == len(self.parts) - 1
        ids = self.recent_ids if is_last else ()
        return SnapshotPart(token, number, self.position, part, is_last, self.parts[part], ids)


def split_snapshot(snapshot: Snapshot, bytes_max: int = SNAPSHOT_PART_BYTES_MAX) -> OutgoingSnapshot:
    """Splits a snapshot into parts. The ids get a last part of their own: 4,096 of them may be as large as a
    part."""
    parts: list[tuple[Resource, ...]] = []
    part: list[Resource] = []
    part_bytes = 0
    for resource in snapshot.resources:
        resource_bytes = len(resource.name) + len(bytes(resource.content)) + RESOURCE_OVERHEAD_BYTES
        if part and part_bytes + resource_bytes > bytes_max:
            parts.append(tuple(part))
            part, part_bytes = [], 0
        part.append(resource)
        part_bytes += resource_bytes
    if part:
        parts.append(tuple(part))
    parts.append(())
    return OutgoingSnapshot(snapshot.position, tuple(parts), snapshot.recent_ids)


class IncomingSnapshot:
    """The parts received so far. Each part is loaded into `state` on arrival, since loading all of them at
    once would block a replica for seconds."""

    def __init__(self, token: int, position: LogPosition, state: ConfigurationState) -> None:
        self.token = token
        self.position = position
        self.state = state
        self.next_part = 0
        self._resources: list[Resource] = []

    def matches(self, token: int, position: LogPosition) -> bool:
        """Whether a part belongs to this snapshot. Parts from another leader are split differently, even at
        the same position."""
        return (self.token, self.position) == (token, position)

    def add_part(self, message: SnapshotPart) -> Snapshot | None:
        """Returns the snapshot once it is complete and loaded into `state`. Ignores a part out of order."""
        if message.part != self.next_part:
            return None
        self.state.load(message.resources)
        self._resources += message.resources
        self.next_part += 1
        if not message.is_last:
            return None
        self.state.finish_restore(self.position.revision, message.recent_ids)
        return Snapshot(self.position, tuple(self._resources), message.recent_ids)
