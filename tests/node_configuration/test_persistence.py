"""The last applied state on disk: a node starts from it with all control servers gone, whatever befell it."""

from __future__ import annotations

import errno
import logging
from collections.abc import Iterable
from pathlib import Path

import pytest
from control_server import BUDGET, ROUTE, TENANT, ControlServer, Log, change
from harness import DEAD, Harness, route, soon, with_class
from rig import run, until

from driftstair import record_file
from driftstair.configuration.messages import Changes
from driftstair.configuration.resources import canonical_json
from driftstair.node_configuration import disk, persistence
from driftstair.node_configuration.records import (
    FORMAT,
    Header,
    Record,
    RecordError,
    SnapshotEnd,
    check_header,
    decode_record,
    encode_record,
)
from driftstair.record_file import RecordFileError, read_records, replace_records

TEN, TWENTY = {"in_flight": 10}, {"in_flight": 20}


@pytest.fixture(autouse=True)
def at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    soon(monkeypatch)
    monkeypatch.setattr(persistence, "RETRY_FIRST_S", 0.02)
    monkeypatch.setattr(persistence, "RETRY_MAX_S", 0.04)


def records(path: Path) -> list[Record]:
    return [decode_record(payload) for payload in read_records(path).payloads]


def is_written(path: Path, revision: int) -> bool:
    """Whether the file ends with a revision."""
    try:
        found = records(path)
    except (RecordError, RecordFileError):
        return False
    last = [one for one in found if isinstance(one, SnapshotEnd | Changes)]
    if not last:
        return False
    end = last[-1]
    return (end.revision if isinstance(end, SnapshotEnd) else end.change_sets[-1].revision) == revision


async def kept(folder: Path, log: Log, *, snapshot: bool = False) -> None:
    """A node takes what the log has and ends."""
    async with ControlServer() as server, Harness(server, folder=folder) as node:
        assert node.store is not None
        path = node.store.path
        await until(lambda: server.queries)
        base = int(server.queries[0]["from"])
        server.say(*(log.snapshot(5) if snapshot else [log.changes(base)]))
        await until(lambda: is_written(path, log.state.revision))


def some() -> Log:
    log = Log()
    log.put(*(change(TENANT, f"t{index:03}", TEN) for index in range(100)), change(ROUTE, "r", route()))
    log.put(change(TENANT, "t000", TWENTY), change(TENANT, "t001", None))
    return log


@pytest.mark.parametrize("snapshot", [True, False])
def test_a_node_starts_from_its_disk_with_all_control_servers_gone(tmp_path: Path, snapshot: bool) -> None:
    async def test() -> None:
        log = some()
        await kept(tmp_path, log, snapshot=snapshot)
        log.put(change(TENANT, "t002", None), change(BUDGET, "fleet", {"per_s": 9.0, "burst": "5s"}))
        await kept(tmp_path, log)  # from there on, appended
        async with Harness(folder=tmp_path) as node:
            assert node.in_force.revision == 3 and node.digest() == f"{log.state.digest:016x}"
            assert node.content(TENANT, "t000") == canonical_json(TWENTY)
            assert node.content(TENANT, "t002") is None
            assert node.watch.server is None and node.watch._address == DEAD
        async with ControlServer() as server, Harness(server, folder=tmp_path) as node:
            await until(lambda: server.queries)
            assert server.queries[0]["from"] == "3"

    run(test())


def test_what_was_refused_is_judged_anew_at_a_start_and_what_it_left_in_force_is_kept(tmp_path: Path) -> None:
    async def test() -> None:
        log = some()
        await kept(tmp_path, log)
        log.put(change(ROUTE, "r", route("elsewhere")), change(TENANT, "t005", TWENTY))
        await kept(tmp_path, log)
        async with Harness(folder=tmp_path) as node:
            assert node.refused() == [3] and node.digest() == f"{log.state.digest:016x}"
            assert node.content(ROUTE, "r") == canonical_json(route())
            assert node.content(TENANT, "t005") == canonical_json(TEN)
            assert node.store is not None
            node.store.rewrite()  # and once more, in a snapshot
            path = node.store.path
            await until(
                lambda: any(isinstance(one, SnapshotEnd) and one.revision == 3 for one in records(path))
            )
        async with Harness(folder=tmp_path) as node:
            assert node.refused() == [3] and node.content(ROUTE, "r") == canonical_json(route())
        async with Harness(folder=tmp_path, platform=with_class("elsewhere")) as node:
            assert not node.refused() and node.content(ROUTE, "r") == canonical_json(route("elsewhere"))
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def garble(path: Path, how: str) -> None:
    data = path.read_bytes()
    if how == "torn":
        path.write_bytes(data[:-7])
    elif how == "garbled":
        middle = len(data) // 2
        path.write_bytes(data[:middle] + bytes([data[middle] ^ 0xFF]) + data[middle + 1 :])
    elif how == "older version":
        replace_records(path, [encode_record(Header("driftstair.node_configuration/0", 0))])
    elif how == "no records":
        replace_records(path, [b"what is this"])
    elif how == "no end":
        replace_records(path, read_records(path).payloads[:2])
    elif how == "digest":
        payloads = read_records(path).payloads
        replace_records(path, [payloads[0], encode_record(SnapshotEnd(2, "f" * 16))])
    else:
        path.write_bytes(b"no file of records at all")


@pytest.mark.parametrize(
    "how", ["torn", "garbled", "older version", "no records", "no end", "digest", "text"]
)
def test_a_file_that_cant_be_used_is_one_line_and_the_node_starts_and_writes_it_anew(
    how: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        log = some()
        await kept(tmp_path, log, snapshot=True)
        log.put(change(TENANT, "late", TEN))
        await kept(tmp_path, log)
        (path,) = tmp_path.glob("*.configuration")
        garble(path, how)
        caplog.clear()
        async with ControlServer() as server, Harness(server, folder=tmp_path) as node:
            await until(lambda: server.queries)
            whole = 2 if how == "torn" else 0  # the last batch alone is torn
            assert node.in_force.revision == whole
            said = [one.getMessage() for one in caplog.records if str(path) in one.getMessage()]
            warned = [one for one in said if "passed over" in one or "never synced" in one]
            assert len(warned) == 1 and "\n" not in warned[0], said
            server.say(log.changes(whole))
            await until(lambda: is_written(path, 3))
        async with Harness(folder=tmp_path) as node:
            assert node.in_force.revision == 3 and node.digest() == f"{log.state.digest:016x}"

    with caplog.at_level(logging.WARNING):
        run(test())


def test_a_full_disk_is_said_once_and_written_later_and_all_stays_in_force(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_all = record_file._write_all
    tries = 0

    def full(descriptor: int, data: bytes, offset: int) -> None:
        nonlocal tries
        tries += 1
        raise OSError(errno.ENOSPC, "No space left on device")

    async def test() -> None:
        log = some()
        await kept(tmp_path, log)
        async with ControlServer() as server, Harness(server, folder=tmp_path) as node:
            assert node.store is not None
            store = node.store
            await until(lambda: server.queries)
            monkeypatch.setattr(record_file, "_write_all", full)
            for _ in range(3):
                log.put(change(TENANT, "t050", TWENTY))
                server.say(log.changes(len(log.entries) - 1))
                await until(lambda: node.in_force.revision == len(log.entries))
                before = tries
                await until(lambda before=before: tries > before + 1)  # type: ignore[misc]
            assert node.content(TENANT, "t050") == canonical_json(TWENTY) and store.is_behind
            monkeypatch.setattr(record_file, "_write_all", write_all)
            await until(lambda: not store.is_behind)
            lock = store.path.with_suffix(persistence.LOCK_SUFFIX)
            assert is_written(store.path, 5) and set(tmp_path.iterdir()) == {store.path, lock}
        async with Harness(folder=tmp_path) as node:
            assert node.in_force.revision == 5 and node.digest() == f"{log.state.digest:016x}"

    with caplog.at_level(logging.INFO):
        run(test())
    texts = [one.getMessage() for one in caplog.records]
    assert sum("the disk is full" in text for text in texts) == 1
    assert sum("is written again" in text for text in texts) == 1


def test_a_log_that_has_grown_long_is_written_as_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(persistence, "LOG_BYTES_MIN", 4_000)
    monkeypatch.setattr(disk, "STORED_RESOURCES", 2)

    async def test() -> None:
        log = Log()
        log.put(change(TENANT, "first", TEN))
        async with ControlServer() as server, Harness(server, folder=tmp_path) as node:
            assert node.store is not None
            path = node.store.path
            await until(lambda: server.queries)
            server.say(log.changes())
            for number in range(200):
                log.put(change(TENANT, f"t{number % 10}", {"in_flight": number + 1}))
                server.say(log.changes(number + 1))
                if number % 20 == 0:
                    await until(lambda: node.in_force.revision == len(log.entries))
            await until(lambda: is_written(path, 201))
            found = records(path)
            assert isinstance(found[0], Header) and found[0].revision > 0  # begun anew
            folded = found[0].revision
            assert sum(isinstance(one, Changes) for one in found) <= 201 - folded
        async with Harness(folder=tmp_path) as node:
            assert node.in_force.revision == 201 and node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_snapshot_that_the_state_changes_under_is_one_of_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """What comes while it is written is in it as change sets."""
    monkeypatch.setattr(disk, "STORED_RESOURCES", 1)

    async def test() -> None:
        log = some()
        await kept(tmp_path, log)
        async with ControlServer() as server, Harness(server, folder=tmp_path) as node:
            assert node.store is not None
            path = node.store.path
            await until(lambda: server.queries)
            source = node.application.disk.snapshot_records

            def with_changes() -> Iterable[Record]:
                for number, record in enumerate(source()):
                    yield record
                    if number in (3, 50):
                        entry = log.put(change(TENANT, "t000", None), change(TENANT, f"new{number}", TEN))
                        for _ in node.in_force.applying(entry, node.effects.on_switched):
                            pass
                        node.store.append(Changes(entry.revision - 1, (entry,)))  # type: ignore[union-attr]

            monkeypatch.setattr(node.application.disk, "snapshot_records", with_changes)
            node.store.rewrite()
            await until(
                lambda: any(isinstance(one, SnapshotEnd) and one.revision == 4 for one in records(path))
            )
            found = records(path)
            assert sum(isinstance(one, Changes) for one in found) == 2 and isinstance(found[-1], SnapshotEnd)
        async with Harness(folder=tmp_path) as node:
            assert node.in_force.revision == 4 and node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_of_two_processes_of_a_node_one_writes_and_the_other_once_that_has_ended(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """As where one takes over from the other: both would append at one place."""

    async def test() -> None:
        log = some()
        async with (
            ControlServer() as one,
            ControlServer() as other,
            Harness(other, folder=tmp_path) as second,
        ):
            store = second.store
            assert store is not None
            async with Harness(one, folder=tmp_path) as first:
                await until(lambda: one.queries and other.queries)
                one.say(log.changes())
                await until(lambda: is_written(store.path, 2))
                log.put(change(TENANT, "late", TEN))
                other.say(log.changes())
                await until(lambda: store.is_behind)
                assert second.in_force.revision == 3 and first.in_force.revision == 2
            await until(lambda: not store.is_behind)
            assert is_written(store.path, 3)
        async with Harness(folder=tmp_path) as node:
            assert node.in_force.revision == 3 and node.digest() == f"{log.state.digest:016x}"

    with caplog.at_level(logging.WARNING):
        run(test())
    assert sum("another process" in one.getMessage() for one in caplog.records) == 1


def test_a_header_tells_formats_apart() -> None:
    check_header(encode_record(Header(FORMAT, 5)))
    for payload in (b"", b"{}", encode_record(Header("x", 5)), encode_record(SnapshotEnd(1, ""))):
        with pytest.raises(RecordError) as raised:
            check_header(payload)
        assert FORMAT in str(raised.value)
