"""The folder of a control replica: one file of records with its log, promises and snapshot.

    replica.log     the records; replaced as a whole when the log is compacted into a snapshot
    replica.lock    locked with flock by the only process that uses the folder, until that process ends

The file begins with a FormatRecord. In a replaced file a BaseRecord and the snapshot, split into several
records, follow. After them come the records that the replica has appended.
"""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import TypeVar

import msgspec

from driftstair.configuration.resources import Resource
from driftstair.control.replication.actions import (
    CommitRecord,
    EntriesRecord,
    LeaseTokenRecord,
    Persist,
    PromiseRecord,
    ReplaceRecord,
    Snapshot,
    StoredLog,
)
from driftstair.control.replication.messages import LogPosition, NonNegativeInt
from driftstair.control.replication.stored import StoredLogBuilder, StoredLogError
from driftstair.record_file import CorruptRecordError, RecordFile

FORMAT_VERSION = 1
LOG_FILE_NAME = "replica.log"
LOCK_FILE_NAME = "replica.lock"
RECORD_BYTES_TARGET = 1 << 20  # of JSON per record; with one more item still far below RECORD_BYTES_MAX
RECOVERY_HINT = "with an empty folder the others bring this replica up to date, one replica at a time"

Item = TypeVar("Item")


class StorageError(Exception):
    """The folder can't be used. The text is one line with the remedy."""


class FolderBusyError(StorageError):
    """Another process uses the folder, possibly one that is about to end."""


class FormatRecord(msgspec.Struct, frozen=True, tag="format"):
    """The first of a file. `replica`: whose it is."""

    version: int
    replica: int | None = None


class BaseRecord(msgspec.Struct, frozen=True, tag="base"):
    """The log begins after `base`; the snapshot at `snapshot` follows in pieces."""

    promised: NonNegativeInt
    followed: NonNegativeInt
    lease_token: NonNegativeInt
    base: LogPosition
    snapshot: LogPosition | None


class ResourcesRecord(msgspec.Struct, frozen=True, tag="resources"):
    resources: tuple[Resource, ...]


class RecentIdsRecord(msgspec.Struct, frozen=True, tag="recent_ids"):
    recent_ids: tuple[tuple[str, NonNegativeInt], ...]


DiskRecord = (
    FormatRecord | BaseRecord | ResourcesRecord | RecentIdsRecord
    | PromiseRecord | LeaseTokenRecord | CommitRecord | EntriesRecord
)  # fmt: skip

_decoder: msgspec.json.Decoder[DiskRecord] = msgspec.json.Decoder(DiskRecord)
_encode = msgspec.json.Encoder().encode


class ReplicaStorage:
    """Locks and reads the folder on construction, which raises StorageError and OSError.

    `replica` is the number of the replica; the folder of another replica is refused. `stored` is the content
    of the folder, and `cut_bytes` the size of an incomplete write that was removed from the end of the log.
    """

    def __init__(self, folder: Path, replica: int | None = None) -> None:
        self._path = folder / LOG_FILE_NAME
        self._replica = replica
        self._lock_descriptor = _lock_folder(folder)
        try:
            self._file = RecordFile(self._path)
            try:
                self.stored = self._read_records(self._file.payloads)
            except BaseException:
                self._file.close()
                raise
        except CorruptRecordError as problem:
            os.close(self._lock_descriptor)
            raise StorageError(f"{folder}: {problem}") from None
        except BaseException:
            os.close(self._lock_descriptor)
            raise
        self._has_format = bool(self._file.payloads)
        self._file.payloads = []
        self.cut_bytes = self._file.cut_bytes

    def write(self, persist: Persist) -> None:
        """Writes and syncs records. May be called in a thread, one call at a time. Raises
        RecordWriteError, which leaves the file unchanged, so that the caller can retry."""
        first = persist.records[0]
        if isinstance(first, ReplaceRecord):
            self._file.replace(self._replacement_payloads(first.stored))
        else:
            payloads = [] if self._has_format else [self._format_record()]
            payloads += [_encode(record) for record in persist.records]
            self._file.append(payloads)
        self._has_format = True

    def close(self) -> None:
        """Closes the files and releases the lock."""
        if self._lock_descriptor >= 0:
            self._file.close()
            os.close(self._lock_descriptor)
            self._lock_descriptor = -1

    def _format_record(self) -> bytes:
        return _encode(FormatRecord(FORMAT_VERSION, self._replica))

    def _replacement_payloads(self, stored: StoredLog) -> Iterator[bytes]:
        snapshot = stored.snapshot
        position = None if snapshot is None else snapshot.position
        yield self._format_record()
        yield _encode(BaseRecord(stored.promised, stored.followed, stored.lease_token, stored.base, position))
        if snapshot is not None:
            for resources in _batches(snapshot.resources):
                yield _encode(ResourcesRecord(resources))
            for recent_ids in _batches(snapshot.recent_ids):
                yield _encode(RecentIdsRecord(recent_ids))
        after = stored.base.revision
        for entries in _batches(stored.entries):
            yield _encode(EntriesRecord(stored.followed, after, entries))
            after = entries[-1].revision
        yield _encode(CommitRecord(stored.committed))

    def _read_records(self, payloads: list[bytes]) -> StoredLog:
        builder = StoredLogBuilder()
        for index, payload in enumerate(payloads):
            try:
                self._add_record(builder, index, _decoder.decode(payload))
            except (msgspec.DecodeError, StoredLogError) as problem:
                raise StorageError(f"{self._path}, record {index}: {problem}; {RECOVERY_HINT}") from None
        try:
            return builder.build()
        except StoredLogError as problem:
            raise StorageError(f"{self._path}: {problem}; {RECOVERY_HINT}") from None

    def _add_record(self, builder: StoredLogBuilder, index: int, record: DiskRecord) -> None:
        if (index == 0) != isinstance(record, FormatRecord):
            raise StoredLogError("a format record stands first, and nowhere else")
        match record:
            case FormatRecord():
                self._check_format(record)
            case BaseRecord():
                builder.add(ReplaceRecord(_without_content(record)))
            case ResourcesRecord(resources=resources):
                builder.add_resources(resources)
            case RecentIdsRecord(recent_ids=recent_ids):
                builder.add_recent_ids(recent_ids)
            case _:
                builder.add(record)

    def _check_format(self, record: FormatRecord) -> None:
        """Raises StorageError if the format or the replica differs."""
        if record.version != FORMAT_VERSION:
            raise StorageError(f"{self._path}: format {record.version}; {FORMAT_VERSION} would do")
        if None not in (record.replica, self._replica) and record.replica != self._replica:
            raise StorageError(
                f"{self._path}: it is replica {record.replica}'s; the folder of {self._replica} would do"
            )


def _without_content(record: BaseRecord) -> StoredLog:
    """The stored log of a base record, to which the records after it are added."""
    snapshot = None if record.snapshot is None else Snapshot(record.snapshot, ())
    return StoredLog(record.promised, record.followed, record.lease_token, 0, record.base, (), snapshot)


def _batches(items: Iterable[Item]) -> Iterator[tuple[Item, ...]]:
    """Splits items, in order, into batches of about RECORD_BYTES_TARGET of JSON."""
    batch: list[Item] = []
    size = 0
    for item in items:
        batch.append(item)
        size += len(_encode(item))
        if size >= RECORD_BYTES_TARGET:
            yield tuple(batch)
            batch, size = [], 0
    if batch:
        yield tuple(batch)


def _lock_folder(folder: Path) -> int:
    """Locks the folder and returns the descriptor that holds the lock. Raises FolderBusyError, OSError."""
    descriptor = os.open(folder / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        raise FolderBusyError(f"{folder}: another process uses it; a folder of its own would do") from None
    except BaseException:
        os.close(descriptor)
        raise
    return descriptor
