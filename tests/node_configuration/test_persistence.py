"""The last applied state on disk: a node starts from it without control servers, or without a usable file."""

from __future__ import annotations

import errno
import logging
from collections.abc import Iterable
from pathlib import Path

import pytest
from control_server import BUDGET, DRAIN, ROUTE, TENANT, ChangeLog, ControlServer, change
from harness import UNREACHABLE_SERVER, NodeHarness, route, shorten_pauses, with_class
from rig import run, until

from driftstair import record_file
from driftstair.configuration.messages import Changes
from driftstair.configuration.resources import canonical_json
from driftstair.node_configuration import disk, persistence
from driftstair.node_configuration.in_force import ConfigurationInForce
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

IN_FLIGHT_10, IN_FLIGHT_20 = {"in_flight": 10}, {"in_flight": 20}


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    shorten_pauses(monkeypatch)
    monkeypatch.setattr(persistence, "RETRY_FIRST_S", 0.02)
    monkeypatch.setattr(persistence, "RETRY_MAX_S", 0.04)


def read_file(path: Path) -> list[Record]:
    """The records of a node's file."""
    return [decode_record(payload) for payload in read_records(path).payloads]


def is_written(path: Path, revision: int) -> bool:
    """Whether the last state in the file is of this revision."""
    try:
        file_records = read_file(path)
    except (RecordError, RecordFileError):
        return False
    revision_records = [record for record in file_records if isinstance(record, SnapshotEnd | Changes)]
    if not revision_records:
        return False
    last_record = revision_records[-1]
    return (
        last_record.revision if isinstance(last_record, SnapshotEnd) else last_record.change_sets[-1].revision
    ) == revision


async def run_node(folder: Path, log: ChangeLog, *, snapshot: bool = False) -> None:
    """Runs a node until it has written the whole log to its file."""
    async with ControlServer() as server, NodeHarness(server, folder=folder) as node:
        assert node.store is not None
        path = node.store.path
        await until(lambda: server.queries)
        base = int(server.queries[0]["from"])
        server.send(*(log.snapshot(5) if snapshot else [log.changes(base)]))
        await until(lambda: is_written(path, log.state.revision))


def example_log() -> ChangeLog:
    """Two change sets of a hundred tenants and a route."""
    log = ChangeLog()
    log.put(
        *(change(TENANT, f"t{index:03}", IN_FLIGHT_10) for index in range(100)), change(ROUTE, "r", route())
    )
    log.put(change(TENANT, "t000", IN_FLIGHT_20), change(TENANT, "t001", None))
    return log


@pytest.mark.parametrize("snapshot", [True, False])
def test_a_node_starts_from_its_disk_without_any_control_server(tmp_path: Path, snapshot: bool) -> None:
    async def test() -> None:
        log = example_log()
        await run_node(tmp_path, log, snapshot=snapshot)
        log.put(change(TENANT, "t002", None), change(BUDGET, "fleet", {"per_s": 9.0, "burst": "5s"}))
        await run_node(tmp_path, log)  # appended to the file
        async with NodeHarness(folder=tmp_path) as node:
            assert node.in_force.revision == 3 and node.digest() == f"{log.state.digest:016x}"
            assert node.content(TENANT, "t000") == canonical_json(IN_FLIGHT_20)
            assert node.content(TENANT, "t002") is None
            assert node.watch.server is None and node.watch._address == UNREACHABLE_SERVER
        async with ControlServer() as server, NodeHarness(server, folder=tmp_path) as node:
            await until(lambda: server.queries)
            assert server.queries[0]["from"] == "3"

    run(test())


def test_refused_change_sets_are_validated_again_at_a_start_and_kept_content_survives(tmp_path: Path) -> None:
    async def test() -> None:
        log = example_log()
        await run_node(tmp_path, log)
        log.put(change(ROUTE, "r", route("elsewhere")), change(TENANT, "t005", IN_FLIGHT_20))
        await run_node(tmp_path, log)
        async with NodeHarness(folder=tmp_path) as node:
            assert node.refused_revisions() == [3] and node.digest() == f"{log.state.digest:016x}"
            assert node.content(ROUTE, "r") == canonical_json(route())
            assert node.content(TENANT, "t005") == canonical_json(IN_FLIGHT_10)
            assert node.store is not None
            node.store.rewrite()  # the same state again, as a snapshot
            path = node.store.path
            await until(
                lambda: any(
                    isinstance(record, SnapshotEnd) and record.revision == 3 for record in read_file(path)
                )
            )
        async with NodeHarness(folder=tmp_path) as node:
            assert node.refused_revisions() == [3] and node.content(ROUTE, "r") == canonical_json(route())
        async with NodeHarness(folder=tmp_path, platform=with_class("elsewhere")) as node:
            assert not node.refused_revisions() and node.content(ROUTE, "r") == canonical_json(
                route("elsewhere")
            )
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


@pytest.mark.parametrize("is_earlier_version", [False, True])
def test_a_deletion_of_a_refused_change_set_is_not_in_force_after_a_start(
    is_earlier_version: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a drain that ends as a node is restarted while all control servers are gone."""

    async def test() -> None:
        log = example_log()
        log.put(change(DRAIN, "s-1", {}))
        await run_node(tmp_path, log)
        log.put(change(DRAIN, "s-1", None), change(ROUTE, "r", route("elsewhere")))
        with monkeypatch.context() as writer:
            if is_earlier_version:  # which wrote no deletions
                writer.setattr(ConfigurationInForce, "refused_deletions", lambda *_: ())
            await run_node(tmp_path, log)
        async with NodeHarness(folder=tmp_path) as node:
            assert node.refused_revisions() == [4] and node.digest() == f"{log.state.digest:016x}"
            assert node.content(DRAIN, "s-1") == canonical_json({})
            assert node.store is not None
            node.store.rewrite()  # the same state again, as a snapshot
            path = node.store.path
            await until(lambda: isinstance(read_file(path)[-1], SnapshotEnd))
        async with NodeHarness(folder=tmp_path) as node:
            assert node.refused_revisions() == [4] and node.digest() == f"{log.state.digest:016x}"
            assert node.content(DRAIN, "s-1") == canonical_json({})
        async with NodeHarness(folder=tmp_path, platform=with_class("elsewhere")) as node:
            assert not node.refused_revisions() and node.content(DRAIN, "s-1") is None
            assert node.digest() == f"{log.state.digest:016x}"

    run(test())


def damage(path: Path, damage_kind: str) -> None:
    """Damages or replaces a node's file."""
    data = path.read_bytes()
    if damage_kind == "torn":
        path.write_bytes(data[:-7])
    elif damage_kind == "garbled":
        middle = len(data) // 2
        path.write_bytes(data[:middle] + bytes([data[middle] ^ 0xFF]) + data[middle + 1 :])
    elif damage_kind == "older version":
        replace_records(path, [encode_record(Header("driftstair.node_configuration/0", 0))])
    elif damage_kind == "no records":
        replace_records(path, [b"what is this"])
    elif damage_kind == "no end":
        replace_records(path, read_records(path).payloads[:2])
    elif damage_kind == "digest":
        payloads = read_records(path).payloads
        replace_records(path, [payloads[0], encode_record(SnapshotEnd(2, "f" * 16))])
    else:
        path.write_bytes(b"no file of records at all")


@pytest.mark.parametrize(
    "damage_kind", ["torn", "garbled", "older version", "no records", "no end", "digest", "text"]
)
def test_an_unusable_file_is_logged_in_one_line_and_the_node_starts_and_rewrites_it(
    damage_kind: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        log = example_log()
        await run_node(tmp_path, log, snapshot=True)
        log.put(change(TENANT, "late", IN_FLIGHT_10))
        await run_node(tmp_path, log)
        (path,) = tmp_path.glob("*.configuration")
        damage(path, damage_kind)
        caplog.clear()
        async with ControlServer() as server, NodeHarness(server, folder=tmp_path) as node:
            await until(lambda: server.queries)
            intact_revision = 2 if damage_kind == "torn" else 0  # only the last batch is torn
            assert node.in_force.revision == intact_revision
            path_messages = [
                record.getMessage() for record in caplog.records if str(path) in record.getMessage()
            ]
            warnings = [text for text in path_messages if "passed over" in text or "never synced" in text]
            assert len(warnings) == 1 and "\n" not in warnings[0], path_messages
            server.send(log.changes(intact_revision))
            await until(lambda: is_written(path, 3))
        async with NodeHarness(folder=tmp_path) as node:
            assert node.in_force.revision == 3 and node.digest() == f"{log.state.digest:016x}"

    with caplog.at_level(logging.WARNING):
        run(test())


def test_a_full_disk_is_logged_once_and_written_later_while_the_configuration_stays_in_force(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    original_write_all = record_file._write_all
    write_count = 0

    def write_to_full_disk(descriptor: int, data: bytes, offset: int) -> None:
        nonlocal write_count
        write_count += 1
        raise OSError(errno.ENOSPC, "No space left on device")

    async def test() -> None:
        log = example_log()
        await run_node(tmp_path, log)
        async with ControlServer() as server, NodeHarness(server, folder=tmp_path) as node:
            assert node.store is not None
            store = node.store
            await until(lambda: server.queries)
            monkeypatch.setattr(record_file, "_write_all", write_to_full_disk)
            for _ in range(3):
                log.put(change(TENANT, "t050", IN_FLIGHT_20))
                server.send(log.changes(len(log.entries) - 1))
                await until(lambda: node.in_force.revision == len(log.entries))
                count_before = write_count
                await until(lambda count_before=count_before: write_count > count_before + 1)  # type: ignore[misc]
            assert node.content(TENANT, "t050") == canonical_json(IN_FLIGHT_20) and store.is_behind
            monkeypatch.setattr(record_file, "_write_all", original_write_all)
            await until(lambda: not store.is_behind)
            lock_file = store.path.with_suffix(persistence.LOCK_SUFFIX)
            assert is_written(store.path, 5) and set(tmp_path.iterdir()) == {store.path, lock_file}
        async with NodeHarness(folder=tmp_path) as node:
            assert node.in_force.revision == 5 and node.digest() == f"{log.state.digest:016x}"

    with caplog.at_level(logging.INFO):
        run(test())
    texts = [record.getMessage() for record in caplog.records]
    assert sum("the disk is full" in text for text in texts) == 1
    assert sum("is written again" in text for text in texts) == 1


def test_a_long_log_is_replaced_by_a_snapshot(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(persistence, "LOG_BYTES_MIN", 4_000)
    monkeypatch.setattr(disk, "RESOURCES_PER_RECORD", 2)

    async def test() -> None:
        log = ChangeLog()
        log.put(change(TENANT, "first", IN_FLIGHT_10))
        async with ControlServer() as server, NodeHarness(server, folder=tmp_path) as node:
            assert node.store is not None
            path = node.store.path
            await until(lambda: server.queries)
            server.send(log.changes())
            for number in range(200):
                log.put(change(TENANT, f"t{number % 10}", {"in_flight": number + 1}))
                server.send(log.changes(number + 1))
                if number % 20 == 0:
                    await until(lambda: node.in_force.revision == len(log.entries))
            await until(lambda: is_written(path, 201))
            file_records = read_file(path)
            # A revision above 0 shows that the file was replaced.
            assert isinstance(file_records[0], Header) and file_records[0].revision > 0
            snapshot_revision = file_records[0].revision
            assert sum(isinstance(record, Changes) for record in file_records) <= 201 - snapshot_revision
        async with NodeHarness(folder=tmp_path) as node:
            assert node.in_force.revision == 201 and node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_snapshot_written_while_the_state_changes_results_in_the_state_at_its_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Changes made while it is written are contained in it as change sets."""
    monkeypatch.setattr(disk, "RESOURCES_PER_RECORD", 1)

    async def test() -> None:
        log = example_log()
        await run_node(tmp_path, log)
        async with ControlServer() as server, NodeHarness(server, folder=tmp_path) as node:
            assert node.store is not None
            path = node.store.path
            await until(lambda: server.queries)
            original_records = node.applier.disk.snapshot_records

            def records_with_changes() -> Iterable[Record]:
                for number, record in enumerate(original_records()):
                    yield record
                    if number in (3, 50):
                        entry = log.put(
                            change(TENANT, "t000", None), change(TENANT, f"new{number}", IN_FLIGHT_10)
                        )
                        for _ in node.in_force.apply_steps(entry, node.effects.on_switched):
                            pass
                        node.store.append(Changes(entry.revision - 1, (entry,)))  # type: ignore[union-attr]

            monkeypatch.setattr(node.applier.disk, "snapshot_records", records_with_changes)
            node.store.rewrite()
            await until(
                lambda: any(
                    isinstance(record, SnapshotEnd) and record.revision == 4 for record in read_file(path)
                )
            )
            file_records = read_file(path)
            assert sum(isinstance(record, Changes) for record in file_records) == 2 and isinstance(
                file_records[-1], SnapshotEnd
            )
        async with NodeHarness(folder=tmp_path) as node:
            assert node.in_force.revision == 4 and node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_of_two_processes_of_a_node_the_second_writes_after_the_first_has_ended(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """During a hand-over both processes run, and without a lock both would append at the same offset."""

    async def test() -> None:
        log = example_log()
        async with (
            ControlServer() as first_server,
            ControlServer() as second_server,
            NodeHarness(second_server, folder=tmp_path) as second_node,
        ):
            store = second_node.store
            assert store is not None
            async with NodeHarness(first_server, folder=tmp_path) as first_node:
                await until(lambda: first_server.queries and second_server.queries)
                first_server.send(log.changes())
                await until(lambda: is_written(store.path, 2))
                log.put(change(TENANT, "late", IN_FLIGHT_10))
                second_server.send(log.changes())
                await until(lambda: store.is_behind)
                assert second_node.in_force.revision == 3 and first_node.in_force.revision == 2
            await until(lambda: not store.is_behind)
            assert is_written(store.path, 3)
        async with NodeHarness(folder=tmp_path) as node:
            assert node.in_force.revision == 3 and node.digest() == f"{log.state.digest:016x}"

    with caplog.at_level(logging.WARNING):
        run(test())
    assert sum("another process" in record.getMessage() for record in caplog.records) == 1


def test_a_process_does_not_append_behind_what_another_one_has_written_since(tmp_path: Path) -> None:
    """Guards against a file with one change set twice, which the next start passes over as a whole: in a
    hand-over the new process may receive what the old one has stored once that has ended."""

    async def test() -> None:
        log = example_log()
        await run_node(tmp_path, log)
        async with (
            ControlServer() as first_server,
            ControlServer() as second_server,
            NodeHarness(second_server, folder=tmp_path) as second_node,
        ):
            assert second_node.store is not None
            path = second_node.store.path
            log.put(change(TENANT, "late", IN_FLIGHT_10))
            async with NodeHarness(first_server, folder=tmp_path):
                await until(lambda: first_server.queries and second_server.queries)
                first_server.send(log.changes(2))
                await until(lambda: is_written(path, 3))
            second_server.send(log.changes(2))
            await until(lambda: second_node.in_force.revision == 3)
            log.put(change(TENANT, "later", IN_FLIGHT_10))
            second_server.send(log.changes(3))
            await until(lambda: is_written(path, 4))
        async with NodeHarness(folder=tmp_path) as node:
            assert node.in_force.revision == 4 and node.digest() == f"{log.state.digest:016x}"

    run(test())


def test_a_file_without_a_header_of_this_format_is_rejected() -> None:
    check_header(encode_record(Header(FORMAT, 5)))
    for payload in (b"", b"{}", encode_record(Header("x", 5)), encode_record(SnapshotEnd(1, ""))):
        with pytest.raises(RecordError) as raised:
            check_header(payload)
        assert FORMAT in str(raised.value)
