"""Tests a daemon that keeps a ledger: it records what clients saw, however the process ends."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import signal
import socket
import struct
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from rig import Server, configuration, request, run, sends, serves, silent, status, until
from test_process import Program, program

from benchmarks.soak.shim import ShimOptions, build_shim, shim_environment
from driftstair.ledger.command import read_copies
from driftstair.ledger.entries import Kind, UsageWord
from driftstair.ledger.keeper import LedgerKeeper
from driftstair.ledger.periods import Calendar
from driftstair.ledger.reconcile import join_copies
from driftstair.ledger.segments import Store

respond_500 = sends(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
NOON_MS = 1_800_000_000_000  # of Unix time


async def run_inline(operation: Callable[[], Any]) -> Any:
    """Runs a blocking operation at once."""
    return operation()


class Clock:
    """A wall clock that tests set, and a monotonic clock beside it."""

    def __init__(self) -> None:
        self.ns = NOON_MS * 1_000_000
        self._monotonic = 0

    def __call__(self) -> int:
        return self.ns

    def monotonic(self) -> int:
        return self._monotonic

    def advance(self, duration_ns: int) -> None:
        """Advances both clocks."""
        self.ns += duration_ns
        self._monotonic += duration_ns


class RecordingClient:
    """A client that records the statuses of its answers."""

    def __init__(self) -> None:
        self.statuses: list[int] = []

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: Any) -> None:
        self.statuses.append(status)


def complete(operation: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine that never waits, since blocking operations run at once, also within a loop."""
    with pytest.raises(StopIteration):
        operation.send(None)


def open_keeper(folder: Path, clock: Clock, **store_options: Any) -> LedgerKeeper:
    """Opens a ledger in a folder."""
    store = Store(folder, "n0", **store_options)
    keeper = LedgerKeeper("n0", store, Calendar("UTC"), 50, False, clock, run_inline, clock.monotonic)
    complete(keeper.open())
    return keeper


def proven_totals(folder: Path) -> Counter[tuple[str, str]]:
    """Returns the proven usage by tenant and word."""
    ledgers = join_copies(read_copies(str(folder)))
    return Counter(
        {(account.tenant, account.word): total.proven for account, total in ledgers.totals.items()}
    )


def test_each_outcome_has_its_word_and_only_the_first_counts(tmp_path: Path) -> None:
    clock = Clock()
    ledger = open_keeper(tmp_path, clock)
    aim_ns = 500_000_000

    def track(tenant: str = "live", resubmitted: bool = False) -> Any:
        return ledger.track_request(RecordingClient(), tenant, aim_ns, resubmitted)

    track().answer(200, [], b"")
    late = track()
    clock.advance(aim_ns + 1_000_000)
    late.answer(200, [], b"")
    for code in (503, 429, 504, 400):
        track().answer(code, [], b"")
    abandoned = track(resubmitted=True)
    abandoned.record_client_left()
    abandoned.answer(504, [], b"")  # the node also answers the abandoned request: no second outcome
    track("").record_copy()
    complete(ledger.close())
    assert proven_totals(tmp_path) == {
        ("live", "served"): 1, ("live", "late"): 1, ("live", "refused"): 2, ("live", "failed"): 2,
        ("live", "gone"): 1, ("live", "retry"): 1, ("(none)", "copy"): 1,
    }  # fmt: skip


def test_request_counted_during_a_commit_is_not_lost(tmp_path: Path) -> None:
    ledger = open_keeper(tmp_path, Clock())
    write_began, write_may_end = asyncio.Event(), asyncio.Event()

    async def run_delayed(operation: Callable[[], Any]) -> Any:
        write_began.set()
        await write_may_end.wait()
        return operation()

    ledger._run._settings = ledger._run._settings._replace(run_blocking=run_delayed)

    async def test() -> None:
        ledger.track_request(RecordingClient(), "a", 1, False).answer(503, [], b"")
        commit = asyncio.create_task(ledger.commit())
        await write_began.wait()
        ledger.track_request(RecordingClient(), "a", 1, False).answer(503, [], b"")
        write_may_end.set()
        await commit
        await ledger.close()

    run(test())
    assert proven_totals(tmp_path) == {("a", "refused"): 2}


def count_with_a_full_disk(folder: Path, commits: int, full_during: range) -> None:
    """Makes a number of commits with one count each, while the disk is full during some of them, and checks
    the totals."""
    commit = 0

    def write(file: int, data: bytes) -> int:
        if commit in full_during:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return os.write(file, data)

    ledger = open_keeper(folder, Clock(), write=write)

    async def test() -> None:
        nonlocal commit
        for commit in range(commits):  # noqa: B007 - read by write()
            ledger.track_request(RecordingClient(), "a", 1, False).answer(503, [], b"")
            await ledger.commit()

    run(test())
    complete(ledger.close())
    assert proven_totals(folder) == {("a", "refused"): commits}


def test_full_disk_loses_no_count_and_is_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    count_with_a_full_disk(tmp_path, 10, full_during=range(2, 7))
    assert sum("can't be written" in record.message for record in caplog.records) == 1


def test_node_starts_while_the_disk_is_full(tmp_path: Path) -> None:
    count_with_a_full_disk(tmp_path, 4, full_during=range(2))
    assert not join_copies(read_copies(str(tmp_path))).findings


def test_second_process_of_a_node_writes_after_the_first_closes(tmp_path: Path) -> None:
    """During an upgrade both processes serve for a while, and one writes the ledger."""
    clock = Clock()
    old, new = open_keeper(tmp_path, clock), open_keeper(tmp_path, clock)

    async def test() -> None:
        for ledger in (new, old):
            ledger.track_request(RecordingClient(), "a", 1, False).answer(503, [], b"")
            await ledger.commit()
        complete(old.close())
        new.track_request(RecordingClient(), "a", 1, False).answer(503, [], b"")
        await new.commit()
        complete(new.close())

    run(test())
    assert proven_totals(tmp_path) == {("a", "refused"): 3}
    assert not join_copies(read_copies(str(tmp_path))).findings


def service_file(parent: Path, ledger_folder: Path, **changes: str) -> str:
    """Writes a service file that enables the ledger."""
    settings = {"folder": str(ledger_folder), "commit": "20ms"} | changes
    lines = ["version = 1", "[ledger]", *(f'{key} = "{value}"' for key, value in settings.items())]
    path = parent / "service.toml"
    path.write_text("\n".join(lines))
    return str(path)


async def send_request(node: Program, **headers: str) -> int:
    """Sends one request and returns the status of its answer."""
    client = await node.client()
    message = await client.ask(request(**headers))
    client.writer.close()
    return status(message)


@pytest.mark.parametrize("step_s", [-3600, 3600])
def test_step_of_the_wall_clock_does_not_change_which_answers_are_late(step_s: int, tmp_path: Path) -> None:
    clock = Clock()
    ledger = open_keeper(tmp_path, clock)
    aim_ns = 500_000_000
    in_time, late = (ledger.track_request(RecordingClient(), "live", aim_ns, False) for _ in range(2))
    clock.ns += step_s * 1_000_000_000
    in_time.answer(200, [], b"")
    clock.advance(aim_ns + 1_000_000)
    late.answer(200, [], b"")
    complete(ledger.close())
    assert proven_totals(tmp_path) == {("live", "served"): 1, ("live", "late"): 1}


def test_intermittent_disk_failures_lose_no_count(tmp_path: Path) -> None:
    """Three in ten writes and syncs of a daemon fail with ENOSPC or EIO, or are incomplete."""
    ledger_folder = tmp_path / "kept"
    ledger_folder.mkdir()
    fault_environment = shim_environment(build_shim(tmp_path), ShimOptions(seed=3, after=0.5, disk=0.3))
    env = {**os.environ, **fault_environment, "TMPDIR": str(tmp_path)}
    env["DRIFTSTAIR_SERVICE"] = service_file(tmp_path, ledger_folder)
    observed: Counter[tuple[str, str]] = Counter()

    async def test() -> None:
        async with Server("s-1") as server, program(configuration(server), tmp_path, env=env) as node:
            client = await node.client()
            for number in range(300):
                tenant = f"t{number % 3}"
                assert status(await client.ask(request(X_Tenant=tenant))) == 200
                observed[tenant, "served"] += 1
                await asyncio.sleep(0.005)
            await until(lambda: proven_totals(ledger_folder) == observed)
            node.process.send_signal(signal.SIGTERM)
            assert await node.process.wait() == 0

    run(test())
    assert proven_totals(ledger_folder) == observed
    assert not [
        finding for finding in join_copies(read_copies(str(ledger_folder))).findings if finding.what != "cut"
    ]


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_disk_failure_at_shutdown_loses_neither_the_last_counts_nor_the_end(
    error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A short disk failure must not end the daemon before its last counts are written."""

    async def test() -> None:
        ledger = open_keeper(tmp_path, Clock())
        append, failures = ledger._store.append, [OSError(error, os.strerror(error))] * 3

        def append_after_failures(lines: bytes, sync: bool) -> None:
            if failures:
                raise failures.pop()
            append(lines, sync)

        monkeypatch.setattr(ledger._store, "append", append_after_failures)
        ledger.track_request(RecordingClient(), "live", 500_000_000, False).answer(200, [], b"")
        ended = asyncio.Event()
        ended.set()
        await ledger.run(60.0, ended)

    asyncio.run(test())
    assert proven_totals(tmp_path) == {("live", "served"): 1}
    assert not join_copies(read_copies(str(tmp_path))).findings


@pytest.mark.parametrize("end_signal", [signal.SIGTERM, signal.SIGKILL])
def test_ledger_equals_what_clients_saw_however_the_daemon_ends(
    tmp_path: Path, end_signal: signal.Signals
) -> None:
    ledger_folder = tmp_path / "kept"
    ledger_folder.mkdir()
    env = {**os.environ, "TMPDIR": str(tmp_path), "DRIFTSTAIR_SERVICE": service_file(tmp_path, ledger_folder)}
    observed: Counter[tuple[str, str]] = Counter()

    async def run_daemon(requests: int, signal_number: signal.Signals) -> None:
        async with Server("s-1") as box, program(configuration(box), tmp_path, env=env) as node:
            for number in range(requests):
                box.script = respond_500 if number % 5 == 4 else serves
                tenant = f"t{number % 3}"
                code = await send_request(node, X_Tenant=tenant)
                word = "served" if code == 200 else "refused" if code == 503 else "failed"
                observed[tenant, word] += 1
            box.script = silent
            requests_before = len(box.seen)
            client = await node.client()
            client.writer.write(request(X_Tenant="t9"))
            await until(lambda: len(box.seen) > requests_before)
            # The client resets its connection before the answer. Closing only its sending side is not enough,
            # as it may still wait for an answer.
            reset = struct.pack("ii", 1, 0)
            client.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            client.writer.close()
            observed["t9", "gone"] += 1
            await until(lambda: proven_totals(ledger_folder) == observed)  # within a commit or two
            node.process.send_signal(signal_number)
            await node.process.wait()

    async def test() -> None:
        await run_daemon(15, end_signal)
        await run_daemon(6, signal.SIGTERM)

    run(test())
    assert proven_totals(ledger_folder) == observed
    entries = [entry for copy in read_copies(str(ledger_folder)) for entry, *_ in copy.entries]
    gaps = [entry for entry in entries if entry.kind is Kind.GAP]
    assert len(gaps) == (end_signal is signal.SIGKILL)  # the next run records the possible loss
    reported = {finding.what for finding in join_copies(read_copies(str(ledger_folder))).findings}
    assert ("lost" in reported) == (end_signal is signal.SIGKILL)


@pytest.mark.parametrize(
    ("changes", "line"),
    [
        ({"zone": "Mars/Base"}, "ledger.zone: no time zone: 'Mars/Base'"),
        ({"folder": "/nowhere/at/all"}, "ledger.folder: /nowhere/at/all is no folder"),
        ({"commit": "0s"}, "ledger.commit:"),
        ({"survives": "fire"}, "ledger.survives:"),
    ],
)
def test_ledger_that_cannot_be_kept_is_one_line_and_exit_status_2(
    tmp_path: Path, changes: dict[str, str], line: str
) -> None:
    async def test() -> None:
        async with Server("s-1") as box:
            config = tmp_path / "config.json"
            config.write_text(json.dumps(configuration(box)))
            file = service_file(tmp_path, tmp_path, **changes)
            env = {**os.environ, "BALANCER_CONFIG": str(config), "DRIFTSTAIR_SERVICE": file}
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "driftstair", env=env, stderr=asyncio.subprocess.PIPE
            )
            stderr = (await process.communicate())[1].decode()
            assert process.returncode == 2
            (message,) = [text for text in stderr.splitlines() if text.startswith("driftstair:")]
            assert line in message

    run(test())


def test_modified_ledger_is_not_continued(tmp_path: Path) -> None:
    ledger = open_keeper(tmp_path, Clock())
    ledger.track_request(RecordingClient(), "a", 1, False).answer(503, [], b"")
    complete(ledger.close())
    (path,) = tmp_path.glob("*.ledger")
    path.write_bytes(path.read_bytes().replace(b'"refused"', b'"refusef"'))
    with pytest.raises(Exception, match="keep the folder and begin a new one"):
        open_keeper(tmp_path, Clock())
    assert UsageWord.REFUSED.value not in path.read_text()
