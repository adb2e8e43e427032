"""A control replica's folder: its log, promises and snapshot in one file of records, for one process.

    replica.log     the records; replaced as a whole when the log is cut at a snapshot
    replica.lock    locked by the process that uses the folder (flock, ends with the process)

The file begins with a FormatRecord. After a replacement a BaseRecord and the snapshot in pieces follow, then
what a replica appends.
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
LOG_NAME = "replica.log"
LOCK_NAME = "replica.lock"
PIECE_BYTES = 1 << 20  # of JSON in one record of a replacement: far below RECORD_BYTES_MAX with one item more
ANOTHER_WAY = "with an empty folder the others bring this replica up to date, one replica at a time"

Item = TypeVar("Item")


class StorageError(Exception):
    """The folder can't be used. One line that says what would do."""


class FolderBusyError(StorageError):
    """Another process has it: it may end."""


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
    """Opened by construction, by one process. `replica`: its number; another's folder is refused.

    `stored` is what the folder held, `cut_bytes` the rest of a write that was cut off. Raises StorageError,
    OSError.
    """

    def __init__(self, folder: Path, replica: int | None = None) -> None:
        self._path = folder / LOG_NAME
        self._replica = replica
        self._lock = _locked(folder)
        try:
            self._file = RecordFile(self._path)
            try:
                self.stored = self._read(self._file.payloads)
            except BaseException:
                self._file.close()
                raise
        except CorruptRecordError as problem:
            os.close(self._lock)
            raise StorageError(f"{folder}: {problem}") from None
        except BaseException:
            os.close(self._lock)
            raise
        self._has_format = bool(self._file.payloads)
        self._file.payloads = []
        self.cut_bytes = self._file.cut_bytes

    def write(self, persist: Persist) -> None:
        """Written and synced when it returns; may be called in a thread, one at a time. Raises
        RecordWriteError (`is_full`: space would do): then nothing changed, and it is tried again later."""
        first = persist.records[0]
        if isinstance(first, ReplaceRecord):
            self._file.replace(self._replacement(first.stored))
        else:
            payloads = [] if self._has_format else [self._format()]
            payloads += [_encode(record) for record in persist.records]
            self._file.append(payloads)
        self._has_format = True

    def close(self) -> None:
        if self._lock >= 0:
            self._file.close()
            os.close(self._lock)
            self._lock = -1

    def _format(self) -> bytes:
        return _encode(FormatRecord(FORMAT_VERSION, self._replica))

    def _replacement(self, stored: StoredLog) -> Iterator[bytes]:
        snapshot = stored.snapshot
        position = None if snapshot is None else snapshot.position
        yield self._format()
        yield _encode(BaseRecord(stored.promised, stored.followed, stored.lease_token, stored.base, position))
        if snapshot is not None:
            for resources in _pieces(snapshot.resources):
                yield _encode(ResourcesRecord(resources))
            for recent_ids in _pieces(snapshot.recent_ids):
                yield _encode(RecentIdsRecord(recent_ids))
        after = stored.base.revision
        for entries in _pieces(stored.entries):
            yield _encode(EntriesRecord(stored.followed, after, entries))
            after = entries[-1].revision
        yield _encode(CommitRecord(stored.committed))

    def _read(self, payloads: list[bytes]) -> StoredLog:
        builder = StoredLogBuilder()
        for index, payload in enumerate(payloads):
            try:
                self._add(builder, index, _decoder.decode(payload))
            except (msgspec.DecodeError, StoredLogError) as problem:
                raise StorageError(f"{self._path}, record {index}: {problem}; {ANOTHER_WAY}") from None
        try:
            return builder.build()
        except StoredLogError as problem:
            raise StorageError(f"{self._path}: {problem}; {ANOTHER_WAY}") from None

    def _add(self, builder: StoredLogBuilder, index: int, record: DiskRecord) -> None:
        if (index == 0) != isinstance(record, FormatRecord):
            raise StoredLogError("a format record stands first, and nowhere else")
        match record:
            case FormatRecord():
                self._check_format(record)
            case BaseRecord():
                builder.add(ReplaceRecord(_without_items(record)))
            case ResourcesRecord(resources=resources):
                builder.add_resources(resources)
            case RecentIdsRecord(recent_ids=recent_ids):
                builder.add_recent_ids(recent_ids)
            case _:
                builder.add(record)

    def _check_format(self, found: FormatRecord) -> None:
        """Raises StorageError."""
        if found.version != FORMAT_VERSION:
            raise StorageError(f"{self._path}: format {found.version}; {FORMAT_VERSION} would do")
        if None not in (found.replica, self._replica) and found.replica != self._replica:
            raise StorageError(
                f"{self._path}: it is replica {found.replica}'s; the folder of {self._replica} would do"
            )


def _without_items(record: BaseRecord) -> StoredLog:
    """What the pieces behind it are added to."""
    snapshot = None if record.snapshot is None else Snapshot(record.snapshot, ())
    return StoredLog(record.promised, record.followed, record.lease_token, 0, record.base, (), snapshot)


def _pieces(items: Iterable[Item]) -> Iterator[tuple[Item, ...]]:
    """In the same order, each piece about PIECE_BYTES in JSON."""
    piece: list[Item] = []
    size = 0
    for item in items:
        piece.append(item)
        size += len(_encode(item))
        if size >= PIECE_BYTES:
            yield tuple(piece)
            piece, size = [], 0
    if piece:
        yield tuple(piece)


def _locked(folder: Path) -> int:
    """A descriptor that holds the folder's lock. Raises FolderBusyError, OSError."""
    descriptor = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        raise FolderBusyError(f"{folder}: another process uses it; a folder of its own would do") from None
    except BaseException:
        os.close(descriptor)
        raise
    return descriptor
