"""Reconstructs the content of a disk from the records on it."""

from __future__ import annotations

from driftstair.configuration.resources import Resource
from driftstair.configuration.state import ConfigurationState
from driftstair.control.replication.actions import (
    CommitRecord,
    EntriesRecord,
    LeaseTokenRecord,
    PromiseRecord,
    Record,
    ReplaceRecord,
    Snapshot,
    StoredLog,
)
from driftstair.control.replication.log import EntryLog
from driftstair.control.replication.messages import LogPosition


class StoredLogError(Exception):
    """The records are in an order that no replica writes; the text says what was expected."""


class StoredLogBuilder:
    """Applies records one by one, in the order in which they were written."""

    def __init__(self, stored: StoredLog | None = None) -> None:
        self._reset(stored if stored is not None else StoredLog())

    def _reset(self, stored: StoredLog) -> None:
        self._promised = stored.promised
        self._followed = stored.followed
        self._lease_token = stored.lease_token
        self._committed = stored.committed
        self._log = EntryLog(stored.base, list(stored.entries))
        self._snapshot_position: LogPosition | None = None
        self._snapshot_resources: list[Resource] = []
        self._recent_ids: list[tuple[str, int]] = []
        if stored.snapshot is not None:
            self._snapshot_position = stored.snapshot.position
            self._snapshot_resources = list(stored.snapshot.resources)
            self._recent_ids = list(stored.snapshot.recent_ids)

    def add(self, record: Record) -> None:
        """Applies one record. Raises StoredLogError."""
        match record:
            case PromiseRecord(token=token):
                self._promised = max(self._promised, token)
            case LeaseTokenRecord(token=token):
                self._lease_token = max(self._lease_token, token)
            case CommitRecord(revision=revision):
                self._committed = max(self._committed, revision)
            case EntriesRecord():
                self._add_entries(record)
            case ReplaceRecord(stored=stored):
                self._reset(stored)

    def _add_entries(self, record: EntriesRecord) -> None:
        previous_revision = record.after_revision
        if (
            not max(self._log.base.revision, self._committed)
            <= previous_revision
            <= self._log.last_position.revision
        ):
            raise StoredLogError(
                f"entries after revision {previous_revision} don't fit; "
                f"entries after {self._log.last_position.revision} were expected"
            )
        self._log.truncate_after(previous_revision)
        for entry in record.entries:
            if (
                entry.revision != self._log.last_position.revision + 1
                or entry.token < self._log.last_position.token
            ):
                raise StoredLogError(
                    f"entry {entry.revision} is out of order after {self._log.last_position.revision}"
                )
            self._log.append(entry)
        self._followed = max(self._followed, record.followed)

    def add_resources(self, resources: tuple[Resource, ...]) -> None:
        """Adds resources to the snapshot that the last ReplaceRecord began."""
        self._snapshot_resources += resources

    def add_recent_ids(self, recent_ids: tuple[tuple[str, int], ...]) -> None:
        """Adds ids to the snapshot that the last ReplaceRecord began."""
        self._recent_ids += recent_ids

    def build(self) -> StoredLog:
        """Returns the content of the disk. Raises StoredLogError."""
        log = self._log
        snapshot = None
        if self._snapshot_position is not None:
            snapshot = Snapshot(
                self._snapshot_position, tuple(self._snapshot_resources), tuple(self._recent_ids)
            )
        snapshot_revision = self._snapshot_position.revision if self._snapshot_position is not None else 0
        if not log.base.revision <= snapshot_revision <= log.last_position.revision:
            raise StoredLogError(
                f"the log begins after {log.base.revision}, but the snapshot is at {snapshot_revision}"
            )
        committed = max(snapshot_revision, min(self._committed, log.last_position.revision))
        return StoredLog(
            self._promised,
            self._followed,
            self._lease_token,
            committed,
            log.base,
            tuple(log.entries),
            snapshot,
        )


def restore_state(stored: StoredLog) -> ConfigurationState:
    """The state at the revision that the disk knows to be committed."""
    state = ConfigurationState()
    if stored.snapshot is not None:
        snapshot = stored.snapshot
        state = ConfigurationState.restore(
            snapshot.position.revision, snapshot.resources, snapshot.recent_ids
        )
    for entry in stored.entries:
        if state.revision < entry.revision <= stored.committed:
            state.apply(entry.to_logged_change_set())
    return state
