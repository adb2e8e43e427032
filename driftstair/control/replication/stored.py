"""What the records on a disk add up to."""

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
    """Records that no replica writes in this order; the text says what would do."""


class StoredLogBuilder:
    """Takes records one after the other."""

    def __init__(self, stored: StoredLog | None = None) -> None:
        self._start(stored if stored is not None else StoredLog())

    def _start(self, stored: StoredLog) -> None:
        self._promised = stored.promised
        self._followed = stored.followed
        self._lease_token = stored.lease_token
        self._committed = stored.committed
        self._log = EntryLog(stored.base, list(stored.entries))
        self._position: LogPosition | None = None
        self._resources: list[Resource] = []
        self._recent_ids: list[tuple[str, int]] = []
        if stored.snapshot is not None:
            self._position = stored.snapshot.position
            self._resources = list(stored.snapshot.resources)
            self._recent_ids = list(stored.snapshot.recent_ids)

    def add(self, record: Record) -> None:
        """Raises StoredLogError."""
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
                self._start(stored)

    def _add_entries(self, record: EntriesRecord) -> None:
        after = record.after_revision
        if not max(self._log.base.revision, self._committed) <= after <= self._log.last.revision:
            raise StoredLogError(
                f"entries after revision {after} don't fit; {self._log.last.revision} would do"
            )
        self._log.cut_after(after)
        for entry in record.entries:
            if entry.revision != self._log.last.revision + 1 or entry.token < self._log.last.token:
                raise StoredLogError(
                    f"entry {entry.revision} is out of order after {self._log.last.revision}"
                )
            self._log.append(entry)
        self._followed = max(self._followed, record.followed)

    def add_resources(self, resources: tuple[Resource, ...]) -> None:
        """More of the snapshot that the last ReplaceRecord began."""
        self._resources += resources

    def add_recent_ids(self, recent_ids: tuple[tuple[str, int], ...]) -> None:
        self._recent_ids += recent_ids

    def result(self) -> StoredLog:
        """Raises StoredLogError."""
        log = self._log
        snapshot = None
        if self._position is not None:
            snapshot = Snapshot(self._position, tuple(self._resources), tuple(self._recent_ids))
        start = self._position.revision if self._position is not None else 0
        if not log.base.revision <= start <= log.last.revision:
            raise StoredLogError(f"the log begins after {log.base.revision}, the snapshot is of {start}")
        committed = max(start, min(self._committed, log.last.revision))
        return StoredLog(
            self._promised,
            self._followed,
            self._lease_token,
            committed,
            log.base,
            tuple(log.entries),
            snapshot,
        )


def restored_state(stored: StoredLog) -> ConfigurationState:
    """The state at the revision that a disk knows to be committed."""
    state = ConfigurationState()
    if stored.snapshot is not None:
        snapshot = stored.snapshot
        state = ConfigurationState.restore(
            snapshot.position.revision, snapshot.resources, snapshot.recent_ids
        )
    for entry in stored.entries:
        if state.revision < entry.revision <= stored.committed:
            state.apply(entry.logged())
    return state
