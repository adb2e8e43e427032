"""Snapshots on their way from a leader to a replica that is behind the leader's log, in bounded parts."""

from __future__ import annotations

from typing import NamedTuple

from driftstair.configuration.resources import Resource
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import Snapshot
from driftstair.control.replication.messages import SNAPSHOT_PART_BYTES_MAX, LogPosition, SnapshotPart

RESOURCE_OVERHEAD_BYTES = 64  # kind, revision and keys of one resource in JSON


class OutgoingSnapshot(NamedTuple):
    """Cut into parts; the last one may be empty."""

    position: LogPosition
    parts: tuple[tuple[Resource, ...], ...]
    recent_ids: tuple[tuple[str, int], ...]

    def message(self, token: int, number: int, part: int) -> SnapshotPart:
        """Part `part`; a number beyond the last one starts again."""
        if part >= len(self.parts):
            part = 0
        is_last = part == len(self.parts) - 1
        ids = self.recent_ids if is_last else ()
        return SnapshotPart(token, number, self.position, part, is_last, self.parts[part], ids)


def cut_snapshot(snapshot: Snapshot, bytes_max: int = SNAPSHOT_PART_BYTES_MAX) -> OutgoingSnapshot:
    """The ids go in a last part of their own: 4,096 of them may take as much as a part does."""
    parts: list[tuple[Resource, ...]] = []
    part: list[Resource] = []
    size = 0
    for resource in snapshot.resources:
        one = len(resource.name) + len(bytes(resource.content)) + RESOURCE_OVERHEAD_BYTES
        if part and size + one > bytes_max:
            parts.append(tuple(part))
            part, size = [], 0
        part.append(resource)
        size += one
    if part:
        parts.append(tuple(part))
    parts.append(())
    return OutgoingSnapshot(snapshot.position, tuple(parts), snapshot.recent_ids)


class IncomingSnapshot:
    """What came so far. `state` is loaded part by part: all at once would stop a replica for seconds."""

    def __init__(self, token: int, position: LogPosition, state: ConfigurationState) -> None:
        self.token = token
        self.position = position
        self.state = state
        self.wanted_part = 0
        self._resources: list[Resource] = []

    def is_of(self, token: int, position: LogPosition) -> bool:
        """Parts of another leader's cut don't fit, though they are of one position."""
        return (self.token, self.position) == (token, position)

    def add(self, message: SnapshotPart) -> Snapshot | None:
        """The snapshot, once it is whole and `state` with it. A part that isn't the wanted one changes
        nothing."""
        if message.part != self.wanted_part:
            return None
        self.state.load(message.resources)
        self._resources += message.resources
        self.wanted_part += 1
        if not message.is_last:
            return None
        self.state.finish_restore(self.position.revision, message.recent_ids)
        return Snapshot(self.position, tuple(self._resources), message.recent_ids)
