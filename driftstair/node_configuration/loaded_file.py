"""A node's file as it is read: records in their order, in steps, to one state. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from driftstair.configuration.messages import Changes
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.node_configuration.records import (
    Header,
    KeptResources,
    RecordError,
    SnapshotEnd,
    StoredResources,
    decode_record,
)


class LoadedFile:
    """What the records that were read add up to."""

    def __init__(self) -> None:
        self.kept: dict[ResourceKey, Resource] = {}  # in force in place of what was refused
        self._state = ConfigurationState()
        self._is_whole = False

    def steps(self, payload: bytes) -> Iterator[None]:
        """Takes in one record. Raises RecordError, RevisionGapError."""
        record = decode_record(payload)
        if isinstance(record, Header):
            self._state.finish_restore(record.revision)
        elif isinstance(record, StoredResources):
            for resource in record.resources:
                self._state.load((resource,))
                yield
        elif isinstance(record, KeptResources):
            self.kept |= {resource.key: resource for resource in record.resources}
        elif isinstance(record, SnapshotEnd):
            self._end(record)
        else:
            yield from self._apply(record)

    def _apply(self, changes: Changes) -> Iterator[None]:
        for logged in changes.change_sets:
            yield from self._state.apply_in_steps(logged)
            yield

    def _end(self, end: SnapshotEnd) -> None:
        digest = f"{self._state.digest:016x}"
        if self._state.revision != end.revision or digest != end.digest:
            raise RecordError(
                f"it holds revision {self._state.revision} with digest {digest}, and tells of {end.revision} "
                f"with {end.digest}"
            )
        self._is_whole = True

    def whole(self) -> ConfigurationState:
        """Raises RecordError for a snapshot without its end."""
        if not self._is_whole:
            raise RecordError("its snapshot has no end")
        return self._state
