"""The folder of a replica: written records are read again after crashes and on a full disk."""

from __future__ import annotations

import errno
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from cluster import change_set

from driftstair.configuration.resources import Resource, ResourceKind
from driftstair.control.replication.actions import (
    CommitRecord,
    EntriesRecord,
    LeaseTokenRecord,
    Persist,
    PromiseRecord,
    Record,
    ReplaceRecord,
    Snapshot,
    StoredLog,
)
from driftstair.control.replication.messages import LogEntry, LogPosition
from driftstair.control.storage import (
    LOG_FILE_NAME,
    RECORD_BYTES_TARGET,
    FolderBusyError,
    ReplicaStorage,
    StorageError,
)
from driftstair.record_file import RecordWriteError, read_records, replace_records


def entry(revision: int, token: int, change_set_id: str = "") -> LogEntry:
    return LogEntry(revision, token, change_set(change_set_id or f"s{token}.{revision}", "t", revision))


def entries(after: int, *tokens: int) -> EntriesRecord:
    added = tuple(entry(after + 1 + index, token) for index, token in enumerate(tokens))
    return EntriesRecord(max(tokens, default=0), after, added)


def write(folder: Path, *batches: tuple[Record, ...]) -> None:
    storage = ReplicaStorage(folder, 1)
    for number, records in enumerate(batches, 1):
        storage.write(Persist(number, records))
    storage.close()


def read(folder: Path) -> StoredLog:
    storage = ReplicaStorage(folder, 1)
    storage.close()
    return storage.stored


def test_an_empty_folder_has_an_empty_log(tmp_path: Path) -> None:
    assert read(tmp_path) == StoredLog()


def test_written_records_are_read_again(tmp_path: Path) -> None:
    write(
        tmp_path, (PromiseRecord(5), LeaseTokenRecord(9)), (entries(0, 5, 5, 5),),
        (PromiseRecord(6), entries(2, 6, 6), CommitRecord(3)),
    )  # fmt: skip
    stored = read(tmp_path)
    assert (stored.promised, stored.followed, stored.lease_token, stored.committed) == (6, 6, 9, 3)
    assert [entry.position for entry in stored.entries] == [(5, 1), (5, 2), (6, 3), (6, 4)]
    assert stored.entries[3] == entry(4, 6)


def test_a_replacement_has_snapshot_and_entries(tmp_path: Path) -> None:
    content = msgspec.Raw(b'{"x":"%s"}' % (b"y" * 10_000))
    resources = tuple(Resource(ResourceKind.ROUTE, f"r{index}", 1, content) for index in range(300))
    assert 2 * RECORD_BYTES_TARGET < 300 * 10_000  # several records
    snapshot = Snapshot(LogPosition(5, 3), resources, (("a", 1), ("b", 2)))
    kept = (entry(2, 5), entry(3, 5), entry(4, 6))
    replacement = StoredLog(7, 6, 9, 3, LogPosition(5, 1), kept, snapshot)
    write(tmp_path, (entries(0, 5, 5, 5),), (ReplaceRecord(replacement),), (PromiseRecord(8), entries(4, 8)))
    stored = read(tmp_path)
    assert stored.snapshot == snapshot
    assert stored == StoredLog(8, 8, 9, 3, LogPosition(5, 1), (*kept, entry(5, 8)), snapshot)


def test_a_replacement_without_entries_or_resources(tmp_path: Path) -> None:
    replacement = StoredLog(7, 7, 0, 5, LogPosition(5, 5), (), Snapshot(LogPosition(5, 5), ()))
    write(tmp_path, (ReplaceRecord(replacement),))
    assert read(tmp_path) == replacement


def test_a_torn_tail_is_truncated_and_reported(tmp_path: Path) -> None:
    write(tmp_path, (PromiseRecord(5),), (entries(0, 5),), (entries(1, 5),))
    path = tmp_path / LOG_FILE_NAME
    data = path.read_bytes()
    path.write_bytes(data[:-7])
    storage = ReplicaStorage(tmp_path, 1)
    assert [entry.revision for entry in storage.stored.entries] == [1] and storage.cut_bytes > 7
    storage.write(Persist(1, (entries(1, 6),)))
    storage.close()
    assert [entry.position for entry in read(tmp_path).entries] == [(5, 1), (6, 2)]


def test_a_log_truncated_at_any_byte_equals_a_prefix_of_its_records(tmp_path: Path) -> None:
    batches = ((PromiseRecord(5),), (entries(0, 5, 5),), (PromiseRecord(6), entries(1, 6), CommitRecord(1)))
    write(tmp_path, *batches)
    path = tmp_path / LOG_FILE_NAME
    data = path.read_bytes()
    records = [record for batch in batches for record in batch]
    prefixes = []
    for count in range(len(records) + 1):
        folder = tmp_path / f"prefix{count}"
        folder.mkdir()
        write(folder, *((record,) for record in records[:count]))
        prefixes.append(read(folder))
    prefix_index = 0
    for size in range(len(data) + 1):
        path.write_bytes(data[:size])
        stored = read(tmp_path)
        assert stored in prefixes
        assert prefixes.index(stored) >= prefix_index  # a longer file never holds fewer records
        prefix_index = prefixes.index(stored)
    assert prefix_index == len(records)


def test_a_flipped_bit_is_reported_with_file_and_offset_and_the_file_is_unchanged(tmp_path: Path) -> None:
    write(tmp_path, (PromiseRecord(5),), (entries(0, 5),))
    path = tmp_path / LOG_FILE_NAME
    data = bytearray(path.read_bytes())
    data[60] ^= 4
    path.write_bytes(data)
    with pytest.raises(StorageError, match=r"replica\.log, byte \d+: .*would do"):
        ReplicaStorage(tmp_path, 1)
    assert path.read_bytes() == data
    path.unlink()
    assert read(tmp_path) == StoredLog()  # the lock was released


@pytest.mark.parametrize(
    ("payloads", "why"),
    [
        ([b"{"], "truncated"),
        ([b'{"type":"promise","token":3}'], "format record stands first"),
        ([b'{"type":"format","version":2}'], "format 2; 1 would do"),
        ([b'{"type":"format","version":1}', b'{"type":"other"}'], "other"),
        ([b'{"type":"format","version":1}', b'{"type":"format","version":1}'], "nowhere else"),
        (
            [b'{"type":"format","version":1}',
             b'{"type":"entries","followed":1,"after_revision":4,"entries":[]}'],
            "don't fit",
        ),
        (
            [b'{"type":"format","version":1}',
             b'{"type":"base","promised":1,"followed":1,"lease_token":0,"base":[1,9],"snapshot":[1,5]}'],
            "begins after 9",
        ),
    ],
)  # fmt: skip
def test_valid_records_that_no_replica_writes_are_reported(
    tmp_path: Path, payloads: list[bytes], why: str
) -> None:
    replace_records(tmp_path / LOG_FILE_NAME, payloads)
    with pytest.raises(StorageError, match=why) as problem:
        ReplicaStorage(tmp_path, 1)
    assert "\n" not in str(problem.value) and "replica.log" in str(problem.value)


def test_another_replicas_folder_is_refused(tmp_path: Path) -> None:
    write(tmp_path, (PromiseRecord(5),))
    with pytest.raises(StorageError, match="it is replica 1's"):
        ReplicaStorage(tmp_path, 2)


LOCK_HOLDER_PROGRAM = """
import sys
from pathlib import Path
from driftstair.control.storage import ReplicaStorage
storage = ReplicaStorage(Path(sys.argv[1]))
print("has it", flush=True)
sys.stdin.read()
"""


def test_a_folder_is_locked_by_one_process_until_it_ends(tmp_path: Path) -> None:
    command = [sys.executable, "-c", LOCK_HOLDER_PROGRAM, str(tmp_path)]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as holder:
        assert holder.stdout is not None and holder.stdout.readline() == b"has it\n"
        with pytest.raises(FolderBusyError, match="another process uses it"):
            ReplicaStorage(tmp_path)
        holder.kill()
        holder.wait()
        assert read(tmp_path) == StoredLog()


def failing_pwrite(*_: object) -> int:
    raise OSError(errno.ENOSPC, "No space left on device")


def test_a_write_without_space_changes_nothing_and_can_be_retried(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write(tmp_path, (PromiseRecord(5),), (entries(0, 5),))
    original = (tmp_path / LOG_FILE_NAME).read_bytes()
    storage = ReplicaStorage(tmp_path, 1)
    retried = Persist(1, (entries(1, 5),))
    replacement = StoredLog(5, 5, 0, 1, LogPosition(0, 0), (entry(1, 5),), Snapshot(LogPosition(5, 1), ()))
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", failing_pwrite)
        for persist in (retried, Persist(2, (ReplaceRecord(replacement),))):
            with pytest.raises(
                RecordWriteError, match=r"replica\.log, byte \d+: can't be written: No space"
            ) as problem:
                storage.write(persist)
            assert problem.value.is_full
    assert (tmp_path / LOG_FILE_NAME).read_bytes() == original
    storage.write(retried)
    storage.close()
    assert [entry.revision for entry in read(tmp_path).entries] == [1, 2]


def test_a_folder_is_usable_after_a_failed_first_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = ReplicaStorage(tmp_path, 1)
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", failing_pwrite)
        with pytest.raises(RecordWriteError):
            storage.write(Persist(1, (PromiseRecord(5),)))
    storage.write(Persist(1, (PromiseRecord(5),)))
    storage.close()
    assert read(tmp_path).promised == 5


def test_a_write_costs_one_sync(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    storage = ReplicaStorage(tmp_path, 1)
    calls = []
    fsync = os.fsync
    monkeypatch.setattr(os, "fsync", lambda descriptor: (calls.append(descriptor), fsync(descriptor))[1])
    storage.write(Persist(1, (PromiseRecord(5), entries(0, *[5] * 100), CommitRecord(3))))
    storage.close()
    assert len(calls) == 1
    assert len(read_records(tmp_path / LOG_FILE_NAME).payloads) == 4
