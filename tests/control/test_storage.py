"""A replica's folder: what was written is found again, whatever a crash or a full disk does to it."""

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
    LOG_NAME,
    PIECE_BYTES,
    FolderBusyError,
    ReplicaStorage,
    StorageError,
)
from driftstair.record_file import RecordWriteError, read_records, replace_records


def entry(revision: int, token: int, id_: str = "") -> LogEntry:
    return LogEntry(revision, token, change_set(id_ or f"s{token}.{revision}", "t", revision))


def entries(after: int, *tokens: int) -> EntriesRecord:
    new = tuple(entry(after + 1 + index, token) for index, token in enumerate(tokens))
    return EntriesRecord(max(tokens, default=0), after, new)


def write(folder: Path, *batches: tuple[Record, ...]) -> None:
    storage = ReplicaStorage(folder, 1)
    for number, records in enumerate(batches, 1):
        storage.write(Persist(number, records))
    storage.close()


def read(folder: Path) -> StoredLog:
    storage = ReplicaStorage(folder, 1)
    storage.close()
    return storage.stored


def test_an_empty_folder_holds_nothing(tmp_path: Path) -> None:
    assert read(tmp_path) == StoredLog()


def test_what_was_written_is_found_again(tmp_path: Path) -> None:
    write(
        tmp_path, (PromiseRecord(5), LeaseTokenRecord(9)), (entries(0, 5, 5, 5),),
        (PromiseRecord(6), entries(2, 6, 6), CommitRecord(3)),
    )  # fmt: skip
    stored = read(tmp_path)
    assert (stored.promised, stored.followed, stored.lease_token, stored.committed) == (6, 6, 9, 3)
    assert [one.position for one in stored.entries] == [(5, 1), (5, 2), (6, 3), (6, 4)]
    assert stored.entries[3] == entry(4, 6)


def test_a_replacement_holds_snapshot_and_entries(tmp_path: Path) -> None:
    content = msgspec.Raw(b'{"x":"%s"}' % (b"y" * 10_000))
    resources = tuple(Resource(ResourceKind.ROUTE, f"r{index}", 1, content) for index in range(300))
    assert 2 * PIECE_BYTES < 300 * 10_000  # several records
    snapshot = Snapshot(LogPosition(5, 3), resources, (("a", 1), ("b", 2)))
    kept = (entry(2, 5), entry(3, 5), entry(4, 6))
    whole = StoredLog(7, 6, 9, 3, LogPosition(5, 1), kept, snapshot)
    write(tmp_path, (entries(0, 5, 5, 5),), (ReplaceRecord(whole),), (PromiseRecord(8), entries(4, 8)))
    stored = read(tmp_path)
    assert stored.snapshot == snapshot
    assert stored == StoredLog(8, 8, 9, 3, LogPosition(5, 1), (*kept, entry(5, 8)), snapshot)


def test_a_replacement_without_entries_or_resources_too(tmp_path: Path) -> None:
    whole = StoredLog(7, 7, 0, 5, LogPosition(5, 5), (), Snapshot(LogPosition(5, 5), ()))
    write(tmp_path, (ReplaceRecord(whole),))
    assert read(tmp_path) == whole


def test_a_torn_tail_is_cut_and_said(tmp_path: Path) -> None:
    write(tmp_path, (PromiseRecord(5),), (entries(0, 5),), (entries(1, 5),))
    path = tmp_path / LOG_NAME
    data = path.read_bytes()
    path.write_bytes(data[:-7])
    storage = ReplicaStorage(tmp_path, 1)
    assert [one.revision for one in storage.stored.entries] == [1] and storage.cut_bytes > 7
    storage.write(Persist(1, (entries(1, 6),)))
    storage.close()
    assert [one.position for one in read(tmp_path).entries] == [(5, 1), (6, 2)]


def test_torn_at_every_byte_it_is_what_some_prefix_of_the_records_says(tmp_path: Path) -> None:
    batches = ((PromiseRecord(5),), (entries(0, 5, 5),), (PromiseRecord(6), entries(1, 6), CommitRecord(1)))
    write(tmp_path, *batches)
    path = tmp_path / LOG_NAME
    data = path.read_bytes()
    records = [record for batch in batches for record in batch]
    prefixes = []
    for count in range(len(records) + 1):
        folder = tmp_path / f"prefix{count}"
        folder.mkdir()
        write(folder, *((record,) for record in records[:count]))
        prefixes.append(read(folder))
    found = 0
    for size in range(len(data) + 1):
        path.write_bytes(data[:size])
        stored = read(tmp_path)
        assert stored in prefixes
        assert prefixes.index(stored) >= found  # more bytes never say less
        found = prefixes.index(stored)
    assert found == len(records)


def test_a_flipped_bit_is_told_with_file_and_place_and_nothing_is_changed(tmp_path: Path) -> None:
    write(tmp_path, (PromiseRecord(5),), (entries(0, 5),))
    path = tmp_path / LOG_NAME
    data = bytearray(path.read_bytes())
    data[60] ^= 4
    path.write_bytes(data)
    with pytest.raises(StorageError, match=r"replica\.log, byte \d+: .*would do"):
        ReplicaStorage(tmp_path, 1)
    assert path.read_bytes() == data
    path.unlink()
    assert read(tmp_path) == StoredLog()  # the lock is free again


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
def test_whole_records_that_no_replica_writes_are_told(
    tmp_path: Path, payloads: list[bytes], why: str
) -> None:
    replace_records(tmp_path / LOG_NAME, payloads)
    with pytest.raises(StorageError, match=why) as problem:
        ReplicaStorage(tmp_path, 1)
    assert "\n" not in str(problem.value) and "replica.log" in str(problem.value)


def test_another_replicas_folder_is_refused(tmp_path: Path) -> None:
    write(tmp_path, (PromiseRecord(5),))
    with pytest.raises(StorageError, match="it is replica 1's"):
        ReplicaStorage(tmp_path, 2)


HOLDER = """
import sys
from pathlib import Path
from driftstair.control.storage import ReplicaStorage
storage = ReplicaStorage(Path(sys.argv[1]))
print("has it", flush=True)
sys.stdin.read()
"""


def test_two_processes_never_share_a_folder_and_the_lock_ends_with_its_process(tmp_path: Path) -> None:
    command = [sys.executable, "-c", HOLDER, str(tmp_path)]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as holder:
        assert holder.stdout is not None and holder.stdout.readline() == b"has it\n"
        with pytest.raises(FolderBusyError, match="another process uses it"):
            ReplicaStorage(tmp_path)
        holder.kill()
        holder.wait()
        assert read(tmp_path) == StoredLog()


def full(*_: object) -> int:
    raise OSError(errno.ENOSPC, "No space left on device")


def test_with_no_space_nothing_changes_and_the_same_write_is_good_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write(tmp_path, (PromiseRecord(5),), (entries(0, 5),))
    before = (tmp_path / LOG_NAME).read_bytes()
    storage = ReplicaStorage(tmp_path, 1)
    again = Persist(1, (entries(1, 5),))
    whole = StoredLog(5, 5, 0, 1, LogPosition(0, 0), (entry(1, 5),), Snapshot(LogPosition(5, 1), ()))
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", full)
        for persist in (again, Persist(2, (ReplaceRecord(whole),))):
            with pytest.raises(
                RecordWriteError, match=r"replica\.log, byte \d+: can't be written: No space"
            ) as problem:
                storage.write(persist)
            assert problem.value.is_full
    assert (tmp_path / LOG_NAME).read_bytes() == before
    storage.write(again)
    storage.close()
    assert [one.revision for one in read(tmp_path).entries] == [1, 2]


def test_a_first_write_that_fails_leaves_a_folder_that_can_be_used(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = ReplicaStorage(tmp_path, 1)
    with monkeypatch.context() as patch:
        patch.setattr(os, "pwrite", full)
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
    assert len(read_records(tmp_path / LOG_NAME).payloads) == 4
