"""Reads the records of a node's file, in order and in steps, into one state. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterator

from driftstair.configuration.messages import Changes
from driftstair.configuration.resources import Resource, ResourceKey
from driftstair.configuration.state import ConfigurationState
from driftstair.node_configuration.in_force import RefusedDeletion
from driftstair.node_configuration.records import (
    Header,
    KeptResources,
    RecordError,
    SnapshotEnd,
    StoredResources,
    decode_record,
)
from driftstair.node_configuration.whole_configuration import PreviousConfiguration


class LoadedFile:
    """The state made from the records read so far."""

    def __init__(self) -> None:
        self._kept: dict[ResourceKey, Resource] = {}  # in force in place of refused changes
        self._refused_deletions: dict[ResourceKey, int] = {}  # revisions of the change sets
        self._state = ConfigurationState()
        self._is_complete = False

    def load_steps(self, payload: bytes) -> Iterator[None]:
        """Adds one record. Raises RecordError, RevisionGapError."""
        record = decode_record(payload)
        if isinstance(record, Header):
            self._state.finish_restore(record.revision)
        elif isinstance(record, StoredResources):
            for resource in record.resources:
                self._state.load((resource,))
                yield
        elif isinstance(record, KeptResources):
            self._add_kept(record)
        elif isinstance(record, SnapshotEnd):
            self._check_end(record)
        else:
            yield from self._apply(record)

    def _apply(self, changes: Changes) -> Iterator[None]:
        for logged in changes.change_sets:
            for change in logged.change_set.changes:
                self._refused_deletions.pop(change.key, None)
            yield from self._state.apply_in_steps(logged)
            yield

    def _add_kept(self, record: KeptResources) -> None:
        for resource in record.resources:
            self._kept[resource.key] = resource
            if self._state.resource(resource.key) is None:
                # Unless a deletion follows: of the change set just read, as earlier versions wrote none.
                self._refused_deletions[resource.key] = self._state.revision
        for deletion in record.deletions:
            self._refused_deletions[ResourceKey(deletion.kind, deletion.name)] = deletion.revision

    def previous(self) -> PreviousConfiguration:
        """What is kept in place of what is refused."""
        deletions = (RefusedDeletion(key, revision) for key, revision in self._refused_deletions.items())
        return PreviousConfiguration(self._kept.get, tuple(deletions))

    def _check_end(self, end: SnapshotEnd) -> None:
        digest = f"{self._state.digest:016x}"
        if self._state.revision != end.revision or digest != end.digest:
            raise RecordError(
                f"its records make revision {self._state.revision} with digest {digest}, and its end states "
                f"revision {end.revision} with digest {end.digest}"
            )
        self._is_complete = True

    def complete_state(self) -> ConfigurationState:
        """The state of the whole file. Raises RecordError for a snapshot without its end."""
        if not self._is_complete:
            raise RecordError("its snapshot has no end")
        return self._state
