"""A file of checksummed records that is only appended to, or replaced as a whole.

One record is a header of fixed size and a payload:

    magic (4) | payload length (4) | batch offset (8) | CRC-32 of the payload (4) | CRC-32 of the header (4)

A batch is what one `append` wrote and synced at once. What a crash leaves of the last batch is a torn tail:
the file ends within a record, or a sector of the record was never written and reads as zeros (etcd's
write-ahead log tells it by the same sign). A torn tail was never acknowledged and is cut. Anything else that
doesn't match its checksum was on the disk once and has changed since: that is an error, since cutting it off
would lose what was acknowledged.
"""

from __future__ import annotations

import errno
import os
import struct
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple
from zlib import crc32

MAGIC = b"dsr1"
FIELDS = struct.Struct(">4sIQI")  # magic, payload length, offset of the batch, checksum of the payload
CHECKSUM = struct.Struct(">I")
HEADER_BYTES = FIELDS.size + CHECKSUM.size
RECORD_BYTES_MAX = 4 << 20  # of one payload: the greatest change set and much more
SECTOR_BYTES = 512  # the least that a disk writes at once


class RecordFileError(Exception):
    """The file can't be used. One line: which file, where in it, why and what would do."""

    def __init__(self, path: Path, offset: int, why: str) -> None:
        super().__init__(f"{path.name}, byte {offset}: {why}")
        self.path = path
        self.offset = offset
        self.why = why


class CorruptRecordError(RecordFileError):
    """Something that was written and synced reads differently now."""


class RecordWriteError(RecordFileError):
    """Nothing was appended: the file holds what it held. `number` is the system's error number."""

    def __init__(self, path: Path, offset: int, problem: OSError) -> None:
        super().__init__(path, offset, f"can't be written: {problem.strerror or problem}")
        self.number = problem.errno or 0

    @property
    def is_full(self) -> bool:
        """Whether space would do: the disk, a quota or a limit of file sizes is reached."""
        return self.number in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class RecordScan(NamedTuple):
    """What a file holds."""

    payloads: list[bytes]
    whole_bytes: int  # up to the end of the last whole record
    torn_bytes: int  # behind it: the rest of a batch that was never synced


class _Header(NamedTuple):
    length: int
    batch_offset: int
    checksum: int


def read_records(path: Path) -> RecordScan:
    """All records; a missing file has none. Raises CorruptRecordError, OSError."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return RecordScan([], 0, 0)
    return scan_records(path, data)


def scan_records(path: Path, data: bytes) -> RecordScan:
    """The records in `data`; `path` is for the error's text. Raises CorruptRecordError."""
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        header = _read_header(data, offset)
        end = offset + HEADER_BYTES + (header.length if header else 0)
        payload = data[offset + HEADER_BYTES : end]
        if header is None or end > len(data) or crc32(payload) != header.checksum:
            _check_torn(path, data, offset, header)
            break
        payloads.append(payload)
        offset = end
    return RecordScan(payloads, offset, len(data) - offset)


def _read_header(data: bytes, offset: int) -> _Header | None:
    """The header at an offset; None where none is whole."""
    fields = data[offset : offset + FIELDS.size]
    checksum = data[offset + FIELDS.size : offset + HEADER_BYTES]
    if len(checksum) < CHECKSUM.size or CHECKSUM.unpack(checksum)[0] != crc32(fields):
        return None
    magic, length, batch_offset, payload_checksum = FIELDS.unpack(fields)
    if magic != MAGIC or not 0 < length <= RECORD_BYTES_MAX:
        return None
    return _Header(length, batch_offset, payload_checksum)


def _check_torn(path: Path, data: bytes, offset: int, header: _Header | None) -> None:
    """Raises CorruptRecordError unless what stands at `offset` is the rest of a batch never synced."""
    why = "a record differs from its checksum"
    if header is None:
        end = offset + HEADER_BYTES
        why = "a record's header differs from its checksum"
    else:
        end = offset + HEADER_BYTES + header.length
    is_torn = end > len(data) or _has_unwritten_sector(data, offset, end)
    if is_torn and not _has_later_batch(data, offset):
        return
    raise CorruptRecordError(
        path, offset, f"{why}; to keep the file elsewhere and start with an empty folder would do"
    )


def _has_unwritten_sector(data: bytes, start: int, end: int) -> bool:
    """Whether all that a sector holds of [start, end) is zero. A payload may hold zeros of its own, so this
    says no more than that the record may be torn."""
    while start < end:
        sector_end = min((start // SECTOR_BYTES + 1) * SECTOR_BYTES, end)
        if not data[start:sector_end].strip(b"\0"):
            return True
        start = sector_end
    return False


def _has_later_batch(data: bytes, offset: int) -> bool:
    """Whether a whole record of a batch that began behind `offset` follows: then `offset` was synced."""
    at = data.find(MAGIC, offset + 1)
    while at >= 0:
        header = _read_header(data, at)
        if header is not None and offset < header.batch_offset <= at:
            payload = data[at + HEADER_BYTES : at + HEADER_BYTES + header.length]
            if len(payload) == header.length and crc32(payload) == header.checksum:
                return True
        at = data.find(MAGIC, at + 1)
    return False


def encode_batch(payloads: Iterable[bytes], batch_offset: int) -> bytes:
    """The bytes of records that are written together at an offset. Raises ValueError for a wrong size."""
    parts: list[bytes] = []
    for payload in payloads:
        if not 0 < len(payload) <= RECORD_BYTES_MAX:
            raise ValueError(f"a record of {len(payload):,} bytes; 1 to {RECORD_BYTES_MAX:,} would do")
        fields = FIELDS.pack(MAGIC, len(payload), batch_offset, crc32(payload))
        parts += (fields, CHECKSUM.pack(crc32(fields)), payload)
    return b"".join(parts)


class RecordFile:
    """A file open for appending. Construction cuts a torn tail. Raises CorruptRecordError, OSError.

    `payloads` is what was read; take it and set it to an empty list. `cut_bytes` tells what was cut.
    """

    def __init__(self, path: Path) -> None:
        scan = read_records(path)
        self.path = path
        self.payloads = scan.payloads
        self.size = scan.whole_bytes
        self.cut_bytes = scan.torn_bytes
        is_new = not path.exists()
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        self._has_rest = scan.torn_bytes > 0  # whether bytes stand behind `size`
        try:
            self._cut_rest()
            if is_new:
                sync_folder(path.parent)
        except BaseException:
            self.close()
            raise

    def append(self, payloads: Iterable[bytes]) -> None:
        """All records with one sync, or none of them. Raises RecordWriteError."""
        data = encode_batch(payloads, self.size)
        try:
            self._cut_rest()
            self._has_rest = True
            _write_all(self._descriptor, data, self.size)
            os.fsync(self._descriptor)
        except OSError as problem:
            with suppress(OSError):
                self._cut_rest()
            raise RecordWriteError(self.path, self.size, problem) from None
        self._has_rest = False
        self.size += len(data)

    def _cut_rest(self) -> None:
        """Cuts what a failed write left behind the last whole record."""
        if self._has_rest:
            os.ftruncate(self._descriptor, self.size)
            os.fsync(self._descriptor)
            self._has_rest = False

    def replace(self, payloads: Iterable[bytes]) -> None:
        """The file holds these records and no others, or what it held. Raises RecordWriteError.

        Where only the folder's sync fails, this object goes on with the new file, and after a crash of the
        machine either may be there.
        """
        descriptor, size = _write_replacement(self.path, payloads)
        os.close(self._descriptor)
        self._descriptor, self.size, self._has_rest = descriptor, size, False
        _sync_folder_of(self.path)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def replace_records(path: Path, payloads: Iterable[bytes]) -> None:
    """Writes a file that holds these records alone, atomically. Raises RecordWriteError."""
    descriptor, _ = _write_replacement(path, payloads)
    os.close(descriptor)
    _sync_folder_of(path)


class _Replacement(NamedTuple):
    descriptor: int
    size: int


def _write_replacement(path: Path, payloads: Iterable[bytes]) -> _Replacement:
    """Temporary file, sync, rename. Each record is a batch: none has to fit into memory with the others, and
    a sector lost in the middle shows as corruption."""
    temporary = path.with_name(f"{path.name}.new")
    descriptor, size = -1, 0
    try:
        descriptor = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o644)
        for payload in payloads:
            data = encode_batch((payload,), size)
            _write_all(descriptor, data, size)
            size += len(data)
        os.fsync(descriptor)
        os.rename(temporary, path)
    except BaseException as problem:
        if descriptor >= 0:
            os.close(descriptor)
        with suppress(OSError):
            temporary.unlink()
        if isinstance(problem, OSError):
            raise RecordWriteError(path, size, problem) from None
        raise
    return _Replacement(descriptor, size)


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    rest = memoryview(data)
    while rest:
        written = os.pwrite(descriptor, rest, offset)
        rest, offset = rest[written:], offset + written


def _sync_folder_of(path: Path) -> None:
    try:
        sync_folder(path.parent)
    except OSError as problem:
        raise RecordWriteError(path, 0, problem) from None


def sync_folder(folder: Path) -> None:
    """Makes names in a folder last. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
