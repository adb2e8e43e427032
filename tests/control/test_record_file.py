"""Record files: a torn last batch is truncated, and any other change of the data is an error."""

from __future__ import annotations

import errno
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from driftstair.record_file import (
    HEADER_BYTES,
    RECORD_BYTES_MAX,
    SECTOR_BYTES,
    CorruptRecordError,
    RecordFile,
    RecordWriteError,
    encode_batch,
    read_records,
    replace_records,
    scan_records,
)

FIRST = [b"one", b"two, which is longer"]
SECOND = [b"three", b"4"]


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "some.log"


def write_batches(path: Path, *batches: list[bytes]) -> bytes:
    """Appends batches to a file and returns its content."""
    file = RecordFile(path)
    for batch in batches:
        file.append(batch)
    file.close()
    return path.read_bytes()


def test_a_missing_file_and_an_empty_file_have_no_records(path: Path) -> None:
    assert read_records(path) == ([], 0, 0)
    path.write_bytes(b"")
    file = RecordFile(path)
    assert (file.payloads, file.size, file.cut_bytes) == ([], 0, 0)
    file.append([b"x"])
    file.close()
    assert read_records(path).payloads == [b"x"]


def test_appended_records_are_read_in_order(path: Path) -> None:
    size = len(write_batches(path, FIRST, SECOND))
    file = RecordFile(path)
    assert (file.payloads, file.size, file.cut_bytes) == (FIRST + SECOND, size, 0)
    file.append([b"five"])
    file.close()
    assert read_records(path).payloads == [*FIRST, *SECOND, b"five"]


def test_a_file_truncated_at_any_byte_keeps_its_complete_records(path: Path) -> None:
    data = write_batches(path, FIRST, SECOND)
    ends = [0]
    for payload in FIRST + SECOND:
        ends.append(ends[-1] + HEADER_BYTES + len(payload))
    for size in range(len(data) + 1):
        complete = sum(1 for end in ends[1:] if end <= size)
        path.write_bytes(data[:size])
        file = RecordFile(path)
        assert file.payloads == (FIRST + SECOND)[:complete], size
        assert (file.size, file.cut_bytes) == (ends[complete], size - ends[complete])
        assert path.stat().st_size == ends[complete]
        file.append([b"next"])
        file.close()
        assert read_records(path).payloads == [*(FIRST + SECOND)[:complete], b"next"]


def test_a_flipped_bit_in_any_byte_is_corruption_and_leaves_the_file_unchanged(path: Path) -> None:
    data = write_batches(path, FIRST, SECOND)
    for position in range(len(data)):
        for bit in range(8):
            corrupt = bytearray(data)
            corrupt[position] ^= 1 << bit
            path.write_bytes(corrupt)
            with pytest.raises(CorruptRecordError) as problem:
                RecordFile(path)
            assert problem.value.offset <= position
            text = str(problem.value)
            assert text.startswith(f"some.log, byte {problem.value.offset}: ") and "\n" not in text
            assert "would do" in text
            assert path.read_bytes() == corrupt


def test_a_last_batch_with_an_unwritten_sector_is_torn(path: Path) -> None:
    """Sectors reach the disk in any order, so the end of the file may be written while a sector before it
    is zeros."""
    large_payload = os.urandom(4 * SECTOR_BYTES)
    first_batch_bytes = len(write_batches(path, FIRST))
    data = write_batches(path, [large_payload, b"behind it in the same batch"])
    for start in range(
        (first_batch_bytes // SECTOR_BYTES + 1) * SECTOR_BYTES,
        first_batch_bytes + len(large_payload),
        SECTOR_BYTES,
    ):
        torn = (data[:start] + bytes(SECTOR_BYTES) + data[start + SECTOR_BYTES :])[: len(data)]
        assert scan_records(path, torn) == (FIRST, first_batch_bytes, len(data) - first_batch_bytes)


def test_a_sector_of_zeros_before_a_later_batch_is_corruption(path: Path) -> None:
    large_payload = os.urandom(4 * SECTOR_BYTES)
    write_batches(path, [large_payload])
    data = write_batches(path, SECOND)
    data_without_sector = data[:SECTOR_BYTES] + bytes(SECTOR_BYTES) + data[2 * SECTOR_BYTES :]
    with pytest.raises(CorruptRecordError):
        scan_records(path, data_without_sector)
    replace_records(path, [large_payload, b"behind"])
    data = path.read_bytes()
    with pytest.raises(CorruptRecordError):
        scan_records(path, data[:SECTOR_BYTES] + bytes(SECTOR_BYTES) + data[2 * SECTOR_BYTES :])


def test_a_record_within_a_payload_is_not_read_as_a_record(path: Path) -> None:
    """Clients choose the payloads, which must not make a torn tail look like corruption or vice versa."""
    embedded_record = encode_batch([b"planted"], 1 << 40)
    data = write_batches(path, FIRST, [embedded_record + b"-"])
    assert read_records(path).payloads == [*FIRST, embedded_record + b"-"]
    assert scan_records(path, data[:-1]).payloads == FIRST


@pytest.mark.parametrize("payload", [b"", bytes(RECORD_BYTES_MAX + 1)], ids=["empty", "too long"])
def test_a_record_of_invalid_size_is_refused_before_anything_is_written(path: Path, payload: bytes) -> None:
    file = RecordFile(path)
    with pytest.raises(ValueError, match="would do"):
        file.append([b"good", payload])
    file.close()
    assert path.read_bytes() == b""


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("writable_bytes", [0, 1, HEADER_BYTES, HEADER_BYTES + 7])
def test_a_partial_write_leaves_the_file_unchanged(
    path: Path, error_number: int, writable_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    original = write_batches(path, FIRST)
    file = RecordFile(path)
    pwrite, remaining = os.pwrite, writable_bytes

    def failing_pwrite(descriptor: int, data: bytes, offset: int) -> int:
        nonlocal remaining
        if not remaining:
            raise OSError(error_number, os.strerror(error_number))
        size = pwrite(descriptor, data[:remaining], offset)
        remaining -= size
        return size

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", failing_pwrite)
        with pytest.raises(RecordWriteError) as problem:
            file.append(SECOND)
    assert problem.value.is_full == (error_number == errno.ENOSPC)
    assert str(problem.value).startswith(f"some.log, byte {len(original)}: ")
    assert path.read_bytes() == original
    file.append(SECOND)
    file.close()
    assert read_records(path).payloads == FIRST + SECOND


def test_a_failed_sync_leaves_the_file_unchanged(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    original = write_batches(path, FIRST)
    file = RecordFile(path)

    def failing_fsync(descriptor: int) -> None:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", failing_fsync)
        with pytest.raises(RecordWriteError):
            file.append(SECOND)
        with pytest.raises(RecordWriteError):
            file.append(SECOND)
    file.append([b"later"])
    file.close()
    assert path.read_bytes() == original + encode_batch([b"later"], len(original))


def test_an_incomplete_write_that_could_not_be_truncated_is_truncated_before_the_next_write(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_batches(path, FIRST)
    file = RecordFile(path)

    def failing_call(*_: object) -> int:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", failing_call)
        patch.setattr(os, "ftruncate", failing_call)
        with pytest.raises(RecordWriteError):
            file.append([bytes(100)])
    file.append([b"short"])
    file.close()
    assert read_records(path) == ([*FIRST, b"short"], path.stat().st_size, 0)


SIZE_LIMIT_PROGRAM = """
import resource, signal, sys
from pathlib import Path
from driftstair.record_file import RecordFile, RecordWriteError
signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
file = RecordFile(Path(sys.argv[1]))
resource.setrlimit(resource.RLIMIT_FSIZE, (100, 100))
for action in (file.append, file.replace):
    try:
        action([b"fits", bytes(200)])
    except RecordWriteError as problem:
        print(problem.is_full, file.size)
"""


def test_reaching_a_file_size_limit_leaves_the_file_unchanged(path: Path) -> None:
    """Runs in its own process, since the limit can't be raised again."""
    assert resource.RLIMIT_FSIZE and signal.SIGXFSZ
    original = write_batches(path, [b"a"])
    completed = subprocess.run(
        [sys.executable, "-c", SIZE_LIMIT_PROGRAM, str(path)],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert completed.stdout.split() == ["True", str(len(original))] * 2
    assert path.read_bytes() == original
    assert [entry.name for entry in path.parent.iterdir()] == [path.name]


def test_a_replacement_is_atomic(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = RecordFile(path)
    file.append(FIRST)

    def failing_rename(source: object, target: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "rename", failing_rename)
        with pytest.raises(RecordWriteError):
            file.replace(SECOND)
    assert [entry.name for entry in path.parent.iterdir()] == [path.name]
    assert read_records(path).payloads == FIRST
    file.replace(SECOND)
    file.append([b"behind"])
    file.close()
    assert read_records(path).payloads == [*SECOND, b"behind"]


def test_records_are_appended_to_a_replacement_whose_folder_sync_failed(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The replaced file no longer has a name, so records appended to it would be lost."""
    file = RecordFile(path)
    file.append(FIRST)
    fsync = os.fsync
    calls = []

    def fail_on_second_call(descriptor: int) -> None:
        calls.append(descriptor)
        if len(calls) == 2:
            raise OSError(errno.EIO, "Input/output error")
        fsync(descriptor)

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail_on_second_call)
        with pytest.raises(RecordWriteError):
            file.replace(SECOND)
    file.append([b"behind"])
    file.close()
    assert read_records(path).payloads == [*SECOND, b"behind"]


def test_a_leftover_temporary_file_is_overwritten(path: Path) -> None:
    path.with_name("some.log.new").write_bytes(b"half")
    replace_records(path, FIRST)
    assert read_records(path).payloads == FIRST
