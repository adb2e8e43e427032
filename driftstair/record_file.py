"""A file of checksummed records that is either appended to or replaced as a whole.

One record is a header of fixed size and a payload:

    magic (4) | payload length (4) | batch offset (8) | CRC-32 of the payload (4) | CRC-32 of the header (4)

A batch is what one `append` wrote and synced together. What a crash leaves of the last batch is a torn tail:
the file ends within a record, or a sector of the record was never written and reads as zeros (etcd's
write-ahead log uses the same criterion). A torn tail was never acknowledged and is truncated. Any other
checksum mismatch means that synced data has changed; that is an error, since truncation would lose
acknowledged records.
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
HEADER_FIELDS = struct.Struct(">4sIQI")  # magic, payload length, offset of the batch, checksum of the payload
HEADER_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = HEADER_FIELDS.size + HEADER_CHECKSUM.size
RECORD_BYTES_MAX = 4 << 20  # of one payload; far above the largest change set
SECTOR_BYTES = 512  # the unit that a disk writes atomically


class RecordFileError(Exception):
    """The file can't be used. The text is one line: file, offset, cause and remedy."""

    def __init__(self, path: Path, offset: int, why: str) -> None:
        super().__init__(f"{path.name}, byte {offset}: {why}")
        self.path = path
        self.offset = offset
        self.why = why


class CorruptRecordError(RecordFileError):
    """Data that was written and synced has changed."""


class RecordWriteError(RecordFileError):
    """Nothing was written; the file is unchanged. `error_number`: the system's errno."""

    def __init__(self, path: Path, offset: int, problem: OSError) -> None:
        super().__init__(path, offset, f"can't be written: {problem.strerror or problem}")
        self.error_number = problem.errno or 0

    @property
    def is_full(self) -> bool:
        """Whether space is missing: the disk is full, or a quota or file size limit is reached."""
        return self.error_number in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG)


class RecordScan(NamedTuple):
    """The content of a file."""

    payloads: list[bytes]
    complete_bytes: int  # up to the end of the last complete record
    torn_bytes: int  # after it: the rest of a batch that was never synced


class _Header(NamedTuple):
    length: int
    batch_offset: int
    checksum: int


def read_records(path: Path) -> RecordScan:
    """Reads all records; a missing file has none. Raises CorruptRecordError, OSError."""
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return RecordScan([], 0, 0)
    return scan_records(path, data)


def scan_records(path: Path, data: bytes) -> RecordScan:
    """Parses the records in `data`; `path` is for the error message. Raises CorruptRecordError."""
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
    """The header at an offset; None if there is no valid one."""
    fields = data[offset : offset + HEADER_FIELDS.size]
    checksum = data[offset + HEADER_FIELDS.size : offset + HEADER_BYTES]
    if len(checksum) < HEADER_CHECKSUM.size or HEADER_CHECKSUM.unpack(checksum)[0] != crc32(fields):
        return None
    magic, length, batch_offset, payload_checksum = HEADER_FIELDS.unpack(fields)
    if magic != MAGIC or not 0 < length <= RECORD_BYTES_MAX:
        return None
    return _Header(length, batch_offset, payload_checksum)


def _check_torn(path: Path, data: bytes, offset: int, header: _Header | None) -> None:
    """Raises CorruptRecordError unless the data at `offset` is the rest of a batch that was never synced."""
    why = "record checksum mismatch"
    if header is None:
        end = offset + HEADER_BYTES
        why = "record header checksum mismatch"
    else:
        end = offset + HEADER_BYTES + header.length
    is_torn = end > len(data) or _has_unwritten_sector(data, offset, end)
    if is_torn and not _has_later_batch(data, offset):
        return
    raise CorruptRecordError(
        path, offset, f"{why}; moving the file away and starting with an empty folder would do"
    )


def _has_unwritten_sector(data: bytes, start: int, end: int) -> bool:
    """Whether any sector is all zeros within [start, end). A payload may contain such zeros itself, so this
    shows only that the record may be torn."""
    while start < end:
        sector_end = min((start // SECTOR_BYTES + 1) * SECTOR_BYTES, end)
        if not data[start:sector_end].strip(b"\0"):
            return True
        start = sector_end
    return False


def _has_later_batch(data: bytes, offset: int) -> bool:
    """Whether a valid record of a batch that began after `offset` follows; if so, `offset` was synced."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        header = _read_header(data, position)
        if header is not None and offset < header.batch_offset <= position:
            payload = data[position + HEADER_BYTES : position + HEADER_BYTES + header.length]
            if len(payload) == header.length and crc32(payload) == header.checksum:
                return True
        position = data.find(MAGIC, position + 1)
    return False


def encode_batch(payloads: Iterable[bytes], batch_offset: int) -> bytes:
    """Encodes records that are written together at an offset. Raises ValueError for an invalid size."""
    parts: list[bytes] = []
    for payload in payloads:
        if not 0 < len(payload) <= RECORD_BYTES_MAX:
            raise ValueError(f"a record of {len(payload):,} bytes; 1 to {RECORD_BYTES_MAX:,} would do")
        fields = HEADER_FIELDS.pack(MAGIC, len(payload), batch_offset, crc32(payload))
        parts += (fields, HEADER_CHECKSUM.pack(crc32(fields)), payload)
    return b"".join(parts)


class RecordFile:
    """A file open for appending. The constructor truncates a torn tail. Raises CorruptRecordError, OSError.

    `payloads`: the records read; the owner takes them and sets it to an empty list to free the memory.
    `cut_bytes`: how much was truncated.
    """

    def __init__(self, path: Path) -> None:
        scan = read_records(path)
        self.path = path
        self.payloads = scan.payloads
        self.size = scan.complete_bytes
        self.cut_bytes = scan.torn_bytes
        is_new = not path.exists()
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        self._has_tail = scan.torn_bytes > 0  # whether there may be bytes after `size`
        try:
            self._truncate_tail()
            if is_new:
                sync_folder(path.parent)
        except BaseException:
            self.close()
            raise

    def append(self, payloads: Iterable[bytes]) -> None:
        """Appends all records with one sync, or none of them. Raises RecordWriteError."""
        data = encode_batch(payloads, self.size)
        try:
            self._truncate_tail()
            self._has_tail = True
            _write_all(self._descriptor, data, self.size)
            os.fsync(self._descriptor)
        except OSError as problem:
            with suppress(OSError):
                self._truncate_tail()
            raise RecordWriteError(self.path, self.size, problem) from None
        self._has_tail = False
        self.size += len(data)

    def _truncate_tail(self) -> None:
        """Truncates what a failed write left after the last complete record."""
        if self._has_tail:
            os.ftruncate(self._descriptor, self.size)
            os.fsync(self._descriptor)
            self._has_tail = False

    def replace(self, payloads: Iterable[bytes]) -> None:
        """Replaces all records atomically. Raises RecordWriteError.

        If only the sync of the folder fails, this object continues with the new file, and after a crash of
        the machine either file may remain.
        """
        descriptor, size = _write_replacement(self.path, payloads)
        os.close(self._descriptor)
        self._descriptor, self.size, self._has_tail = descriptor, size, False
        _sync_parent_folder(self.path)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1


def replace_records(path: Path, payloads: Iterable[bytes]) -> None:
    """Atomically writes a file with these records only. Raises RecordWriteError."""
    descriptor, _ = _write_replacement(path, payloads)
    os.close(descriptor)
    _sync_parent_folder(path)


class _Replacement(NamedTuple):
    descriptor: int
    size: int


def _write_replacement(path: Path, payloads: Iterable[bytes]) -> _Replacement:
    """Writes a temporary file, syncs and renames it. Each record is its own batch, so the records need not
    fit into memory together, and a sector lost in the middle is detected as corruption."""
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
    remaining = memoryview(data)
    while remaining:
        written = os.pwrite(descriptor, remaining, offset)
        remaining, offset = remaining[written:], offset + written


def _sync_parent_folder(path: Path) -> None:
    try:
        sync_folder(path.parent)
    except OSError as problem:
        raise RecordWriteError(path, 0, problem) from None


def sync_folder(folder: Path) -> None:
    """Syncs a folder, so that created and renamed files survive a crash. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
