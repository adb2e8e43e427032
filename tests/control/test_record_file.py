"""Records on a disk: whatever a crash leaves of the last batch is cut, whatever changed since is an error."""

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


def written(path: Path, *batches: list[bytes]) -> bytes:
    """A file of these batches, as it lies on the disk."""
    file = RecordFile(path)
    for batch in batches:
        file.append(batch)
    file.close()
    return path.read_bytes()


def test_a_missing_and_an_empty_file_hold_nothing(path: Path) -> None:
    assert read_records(path) == ([], 0, 0)
    path.write_bytes(b"")
    file = RecordFile(path)
    assert (file.payloads, file.size, file.cut_bytes) == ([], 0, 0)
    file.append([b"x"])
    file.close()
    assert read_records(path).payloads == [b"x"]


def test_what_was_appended_is_read_in_order_by_the_next_one(path: Path) -> None:
    size = len(written(path, FIRST, SECOND))
    file = RecordFile(path)
    assert (file.payloads, file.size, file.cut_bytes) == (FIRST + SECOND, size, 0)
    file.append([b"five"])
    file.close()
    assert read_records(path).payloads == [*FIRST, *SECOND, b"five"]


def test_torn_at_every_byte_leaves_the_whole_records_and_is_cut(path: Path) -> None:
    data = written(path, FIRST, SECOND)
    ends = [0]
    for payload in FIRST + SECOND:
        ends.append(ends[-1] + HEADER_BYTES + len(payload))
    for size in range(len(data) + 1):
        whole = sum(1 for end in ends[1:] if end <= size)
        path.write_bytes(data[:size])
        file = RecordFile(path)
        assert file.payloads == (FIRST + SECOND)[:whole], size
        assert (file.size, file.cut_bytes) == (ends[whole], size - ends[whole])
        assert path.stat().st_size == ends[whole]
        file.append([b"next"])
        file.close()
        assert read_records(path).payloads == [*(FIRST + SECOND)[:whole], b"next"]


def test_a_bit_that_flipped_in_any_byte_is_corruption_and_changes_nothing(path: Path) -> None:
    data = written(path, FIRST, SECOND)
    for place in range(len(data)):
        for bit in range(8):
            wrong = bytearray(data)
            wrong[place] ^= 1 << bit
            path.write_bytes(wrong)
            with pytest.raises(CorruptRecordError) as problem:
                RecordFile(path)
            assert problem.value.offset <= place
            text = str(problem.value)
            assert text.startswith(f"some.log, byte {problem.value.offset}: ") and "\n" not in text
            assert "would do" in text
            assert path.read_bytes() == wrong


def test_a_last_batch_with_an_unwritten_sector_is_torn(path: Path) -> None:
    """Sectors reach the disk in any order: the size and the end are there, a sector between is zeros."""
    big = os.urandom(4 * SECTOR_BYTES)
    first = len(written(path, FIRST))
    data = written(path, [big, b"behind it in the same batch"])
    for start in range((first // SECTOR_BYTES + 1) * SECTOR_BYTES, first + len(big), SECTOR_BYTES):
        torn = (data[:start] + bytes(SECTOR_BYTES) + data[start + SECTOR_BYTES :])[: len(data)]
        assert scan_records(path, torn) == (FIRST, first, len(data) - first)


def test_a_sector_of_zeros_before_a_later_batch_is_corruption(path: Path) -> None:
    big = os.urandom(4 * SECTOR_BYTES)
    written(path, [big])
    data = written(path, SECOND)
    lost = data[:SECTOR_BYTES] + bytes(SECTOR_BYTES) + data[2 * SECTOR_BYTES :]
    with pytest.raises(CorruptRecordError):
        scan_records(path, lost)
    replace_records(path, [big, b"behind"])
    data = path.read_bytes()
    with pytest.raises(CorruptRecordError):
        scan_records(path, data[:SECTOR_BYTES] + bytes(SECTOR_BYTES) + data[2 * SECTOR_BYTES :])


def test_a_payload_that_holds_a_record_is_not_taken_for_one(path: Path) -> None:
    """Content is the clients': it can't make a torn tail look like corruption, nor the other way round."""
    inner = encode_batch([b"planted"], 1 << 40)
    data = written(path, FIRST, [inner + b"-"])
    assert read_records(path).payloads == [*FIRST, inner + b"-"]
    assert scan_records(path, data[:-1]).payloads == FIRST


@pytest.mark.parametrize("payload", [b"", bytes(RECORD_BYTES_MAX + 1)], ids=["empty", "too long"])
def test_a_record_of_a_wrong_size_is_refused_before_anything_is_written(path: Path, payload: bytes) -> None:
    file = RecordFile(path)
    with pytest.raises(ValueError, match="would do"):
        file.append([b"good", payload])
    file.close()
    assert path.read_bytes() == b""


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("taken", [0, 1, HEADER_BYTES, HEADER_BYTES + 7])
def test_a_write_that_fails_half_way_leaves_the_file_as_it_was(
    path: Path, number: int, taken: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = written(path, FIRST)
    file = RecordFile(path)
    pwrite, rest = os.pwrite, taken

    def full(descriptor: int, data: bytes, offset: int) -> int:
        nonlocal rest
        if not rest:
            raise OSError(number, os.strerror(number))
        size = pwrite(descriptor, data[:rest], offset)
        rest -= size
        return size

    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", full)
        with pytest.raises(RecordWriteError) as problem:
            file.append(SECOND)
    assert problem.value.is_full == (number == errno.ENOSPC)
    assert str(problem.value).startswith(f"some.log, byte {len(before)}: ")
    assert path.read_bytes() == before
    file.append(SECOND)
    file.close()
    assert read_records(path).payloads == FIRST + SECOND


def test_a_sync_that_fails_acknowledges_nothing(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    before = written(path, FIRST)
    file = RecordFile(path)

    def broken(descriptor: int) -> None:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", broken)
        with pytest.raises(RecordWriteError):
            file.append(SECOND)
        with pytest.raises(RecordWriteError):
            file.append(SECOND)
    file.append([b"later"])
    file.close()
    assert path.read_bytes() == before + encode_batch([b"later"], len(before))


def test_what_could_not_be_cut_at_once_is_cut_before_the_next_write(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    written(path, FIRST)
    file = RecordFile(path)

    def refuse(*_: object) -> int:
        raise OSError(errno.EIO, "Input/output error")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", refuse)
        patch.setattr(os, "ftruncate", refuse)
        with pytest.raises(RecordWriteError):
            file.append([bytes(100)])
    file.append([b"short"])
    file.close()
    assert read_records(path) == ([*FIRST, b"short"], path.stat().st_size, 0)


LIMITED = """
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


def test_a_real_limit_of_the_size_leaves_the_file_as_it_was(path: Path) -> None:
    """In a process of its own: the limit can't be raised again."""
    assert resource.RLIMIT_FSIZE and signal.SIGXFSZ
    before = written(path, [b"a"])
    run = subprocess.run(
        [sys.executable, "-c", LIMITED, str(path)], capture_output=True, text=True, timeout=60, check=True
    )
    assert run.stdout.split() == ["True", str(len(before))] * 2
    assert path.read_bytes() == before
    assert [found.name for found in path.parent.iterdir()] == [path.name]


def test_a_replacement_is_there_as_a_whole_or_not_at_all(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = RecordFile(path)
    file.append(FIRST)

    def no_rename(source: object, target: object) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(os, "rename", no_rename)
        with pytest.raises(RecordWriteError):
            file.replace(SECOND)
    assert [found.name for found in path.parent.iterdir()] == [path.name]
    assert read_records(path).payloads == FIRST
    file.replace(SECOND)
    file.append([b"behind"])
    file.close()
    assert read_records(path).payloads == [*SECOND, b"behind"]


def test_a_replacement_whose_folder_is_not_synced_takes_what_is_appended_later(
    path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The old file has no name any more: what went there would be lost."""
    file = RecordFile(path)
    file.append(FIRST)
    fsync = os.fsync
    calls = []

    def second_fails(descriptor: int) -> None:
        calls.append(descriptor)
        if len(calls) == 2:
            raise OSError(errno.EIO, "Input/output error")
        fsync(descriptor)

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", second_fails)
        with pytest.raises(RecordWriteError):
            file.replace(SECOND)
    file.append([b"behind"])
    file.close()
    assert read_records(path).payloads == [*SECOND, b"behind"]


def test_a_leftover_of_an_earlier_replacement_does_not_matter(path: Path) -> None:
    path.with_name("some.log.new").write_bytes(b"half")
    replace_records(path, FIRST)
    assert read_records(path).payloads == FIRST
