"""One control server in this process: puts, reports, status, log and invalid replication messages."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from functools import partial
from pathlib import Path

import msgspec
import pytest
import uvloop
from control_rig import WatchClient, call, captured_log, change_set, content_of, drain_change
from rig import run, until

from driftstair.configuration.change_sets import ChangeSet
from driftstair.configuration.messages import NodeReport, RefusedChange, encode
from driftstair.control import replica_runner
from driftstair.control.replica_runner import ReplicaRunner
from driftstair.control.replication.actions import Action, Persist
from driftstair.control.replication.core import ControlReplica
from driftstair.control.replication.messages import Alive
from driftstair.control.replication.messages import encode as encode_replication
from driftstair.control.replication.replica import ReplicationFaultError
from driftstair.control.server import ControlServer
from driftstair.control.settings import ServerSettings
from driftstair.control.status import decode_log_page, decode_status

CHANGES_PATH = "/configuration/changes"


class RunningControlServer:
    """A control server in this process, and its address."""

    def __init__(self, server: ControlServer, address: tuple[str, int]) -> None:
        self.server = server
        self.address = address

    async def put(self, change_set: ChangeSet, status: int = 200) -> dict[str, object]:
        """Puts a change set, checks the status of the answer and returns the decoded body."""
        answer = await call(self.address, "POST", CHANGES_PATH, msgspec.json.encode(change_set))
        assert answer.status == status, answer
        document: dict[str, object] = answer.document
        return document


@asynccontextmanager
async def running_control_server(
    folder: Path, wait_for_leadership: bool = True, peers: tuple[str, ...] = ()
) -> AsyncIterator[RunningControlServer]:
    """Runs a control server within the block. `wait_for_leadership`: the block begins once it leads."""
    settings = ServerSettings.model_validate(
        {"version": 1, "name": "c0", "listen": "127.0.0.1:0", "folder": str(folder), "peers": peers,
         "number": 0 if peers else None}
    )  # fmt: skip
    runner = ReplicaRunner(settings)
    server = ControlServer(settings, runner)
    address = await server.start()
    runner.start()
    if wait_for_leadership:
        await until(lambda: runner.is_leader)
    yield RunningControlServer(server, address)
    await server.close()


@pytest.fixture(scope="module")
def shared_control(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RunningControlServer]:
    """A leading server on its own event loop, shared because becoming leader takes seconds. Each test has
    to use its own ids."""
    loop = uvloop.new_event_loop()
    context = running_control_server(tmp_path_factory.mktemp("shared"))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield asyncio.run_coroutine_threadsafe(context.__aenter__(), loop).result(60)
    asyncio.run_coroutine_threadsafe(context.__aexit__(None, None, None), loop).result(60)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def test_a_put_reaches_a_watch_and_repeating_it_returns_the_same_revision(
    shared_control: RunningControlServer,
) -> None:
    async def test() -> None:
        control, revision_before = shared_control, shared_control.server.runner.committed
        async with WatchClient(control.address) as watch:
            document = await control.put(change_set(1))
            await watch.wait_until(lambda: watch.has_reached(revision_before + 1))
            assert document == {"revision": revision_before + 1}
            assert await control.put(change_set(1)) == document
            assert (await control.put(change_set(1, drain_change("other")), 409))["violations"]
            assert watch.revisions() == list(range(1, revision_before + 2))
            assert watch.changes()[-1].change_sets[-1].change_set.id == "set-1"

    run(test())


def test_a_restarted_server_has_all_committed_sets(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_control_server(tmp_path) as control:
            for number in range(5):
                await control.put(change_set(number))
            digest = control.server.status().digest
        async with running_control_server(tmp_path) as control:
            assert await control.put(change_set(3)) == {"revision": 5}
            assert control.server.status().digest == digest

    run(test())


def test_concurrent_puts_are_committed_with_few_syncs(
    shared_control: RunningControlServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a sync per change set: sets that arrive during a sync have to share the next one."""

    async def test() -> None:
        control, revision_before = shared_control, shared_control.server.runner.committed
        storage = control.server.runner._disk_writer.storage
        write, writes = storage.write, []

        def count_call(persist: Persist) -> None:
            writes.append(persist.sequence)
            write(persist)

        monkeypatch.setattr(storage, "write", count_call)
        async with WatchClient(control.address, revision_before) as watch:
            await asyncio.gather(*(control.put(change_set(number)) for number in range(1_000, 1_300)))
            await watch.wait_until(lambda: watch.has_reached(revision_before + 300))
            assert watch.revisions() == list(range(revision_before + 1, revision_before + 301))
            assert len(writes) < 200

    run(test())


def test_a_node_behind_a_compacted_log_gets_a_snapshot_and_revisions_continue(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(replica_runner, "ControlReplica", partial(ControlReplica, kept_entries=10))

    async def test() -> None:
        async with running_control_server(tmp_path) as control:
            for number in range(60):
                await control.put(change_set(number))
            await until(lambda: control.server.runner.oldest > 10)
            async with WatchClient(control.address, 3) as watch:
                await watch.wait_until(lambda: watch.parts() and watch.parts()[-1].last)
                assert await control.put(change_set(60)) == {"revision": 62}
                await watch.wait_until(lambda: watch.has_reached(62))
                assert watch.applied_state() == content_of(control.server.runner.state)
            oldest = control.server.runner.oldest
        async with running_control_server(tmp_path) as control:
            assert control.server.runner.oldest >= oldest
            assert await control.put(change_set(60)) == {"revision": 62}
            assert await control.put(change_set(61)) == {"revision": 64}  # 63 is the leader's empty set
            async with WatchClient(control.address, 62) as watch:
                await watch.wait_until(lambda: watch.has_reached(64))
                assert watch.revisions() == [63, 64]

    run(test())


def test_of_two_concurrent_sets_with_the_same_expected_revision_one_is_committed(
    shared_control: RunningControlServer,
) -> None:
    """The refused set is answered with the revision of the committed one."""

    async def test() -> None:
        control, revision_before = shared_control, shared_control.server.runner.committed
        first, second = (
            change_set(number, drain_change("s", number, expected=0)) for number in (2_001, 2_002)
        )
        answers = await asyncio.gather(
            *(
                call(control.address, "POST", CHANGES_PATH, msgspec.json.encode(conflicting_set))
                for conflicting_set in (first, second)
            )
        )
        assert sorted(answer.status for answer in answers) == [200, 409]
        (refused,) = [answer for answer in answers if answer.status == 409]
        assert f"drain/s: expected_revision: revision {revision_before + 1}" in refused.document["error"]
        await control.put(change_set(2_003, drain_change("s", 3, expected=revision_before + 1)))

    run(test())


def test_a_set_that_violates_a_rule_is_refused_and_later_sets_are_committed(
    shared_control: RunningControlServer,
) -> None:
    async def test() -> None:
        control, revision_before = shared_control, shared_control.server.runner.committed
        route = {
            "kind": "route",
            "name": "r",
            "content": {"match": {"class": "a"}, "retry": {"jitter": 7}},
        }
        body = msgspec.json.encode({"id": "bad", "changes": [route]})
        answer = await call(control.address, "POST", CHANGES_PATH, body)
        assert answer.status == 400
        assert [violation["resource"] for violation in answer.document["violations"]] == ["route/r"]
        assert all(violation["where"] and violation["why"] for violation in answer.document["violations"])
        assert await control.put(change_set(3_001)) == {"revision": revision_before + 1}

    run(test())


def test_a_set_is_checked_against_earlier_sets_that_are_not_committed_yet(
    shared_control: RunningControlServer,
) -> None:
    """Puts a route with a fleet budget while the set that creates the budget is not committed yet."""

    async def test() -> None:
        control, revision_before = shared_control, shared_control.server.runner.committed
        budget = {"kind": "budget", "name": "b", "content": {"per_s": 50.0, "burst": "5s"}}
        content = {"match": {"class": "a"}, "retry": {"attempts": 2, "budget": {"fleet": "b"}}}
        route = {"kind": "route", "name": "r", "content": content}
        bodies = [
            msgspec.json.encode({"id": f"id-{index}", "changes": [change]})
            for index, change in enumerate((budget, route))
        ]
        answer = await call(control.address, "POST", CHANGES_PATH, bodies[1])
        assert answer.status == 400, answer
        put_handler = control.server.put_handler
        tasks = [asyncio.create_task(call(control.address, "POST", CHANGES_PATH, bodies[0]))]
        await until(lambda: len(put_handler) or control.server.runner.committed > revision_before)
        tasks.append(asyncio.create_task(call(control.address, "POST", CHANGES_PATH, bodies[1])))
        assert [answer.status for answer in await asyncio.gather(*tasks)] == [200, 200]

    run(test())


INVALID_CHANGE_SETS = {
    "no JSON": b"\xff{",
    "cut off": b'{"id": "a", "changes": [{"kind": "drain"',
    "an unknown kind": b'{"id": "a", "changes": [{"kind": "moon", "name": "a", "content": {}}]}',
    "a resource twice": b'{"id": "a", "changes": [' + b'{"kind": "drain", "name": "a", "content": {}},' * 2,
    "nested": b"[" * 100_000,
    "the id of a leader": b'{"id": "leader.9", "changes": []}',
}


def test_an_invalid_change_set_is_refused_and_logged_in_one_line(
    shared_control: RunningControlServer,
) -> None:
    """All cases use one server, whose log has to stay unchanged."""

    async def test() -> None:
        control, revision_before = shared_control, shared_control.server.runner.committed
        for case, body in INVALID_CHANGE_SETS.items():
            with captured_log() as captured:
                answer = await call(control.address, "POST", CHANGES_PATH, body)
            assert answer.status == 400, case
            assert answer.document.get("violations") or answer.document.get("error")
            refusals = [line for line in captured.records if "put not committed" in line.getMessage()]
            assert len(refusals) == 1, case
            assert not captured.tracebacks()
            assert control.server.runner.committed == revision_before
        assert await control.put(change_set(4_001)) == {"revision": revision_before + 1}

    run(test())


VALID_MESSAGE = encode_replication(Alive())
INVALID_REPLICATION_REQUESTS = {
    "garbled": ("from=1&to=0&of=3", b'{"type": "moon"}', 400),
    "cut off": ("from=1&to=0&of=3", VALID_MESSAGE + b"\n" + VALID_MESSAGE[:-3], 400),
    "empty": ("from=1&to=0&of=3", b"", 400),
    "meant for another server": ("from=0&to=1&of=3", VALID_MESSAGE, 409),
    "with other peers": ("from=1&to=0&of=5", VALID_MESSAGE, 409),
    "no sender": ("to=0&of=3", VALID_MESSAGE, 400),
    "an unknown sender": ("from=9&to=0&of=3", VALID_MESSAGE, 409),
}


def test_an_invalid_replication_request_closes_its_connection(tmp_path: Path) -> None:
    peers = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")

    async def test() -> None:
        async with running_control_server(tmp_path, wait_for_leadership=False, peers=peers) as control:
            for case, (query, body, status) in INVALID_REPLICATION_REQUESTS.items():
                with captured_log() as captured:
                    answer = await call(control.address, "POST", f"/replication?{query}", body)
                assert (answer.status, answer.is_open) == (status, False), case
                reported = [line for line in captured.warnings() if "replication" in line]
                assert len(reported) == 1, case
                assert not captured.tracebacks()
                accepted = await call(control.address, "POST", "/replication?from=1&to=0&of=3", VALID_MESSAGE)
                assert (accepted.status, accepted.is_open) == (204, True)

    run(test())


def test_the_status_has_the_report_of_each_node(shared_control: RunningControlServer) -> None:
    async def test() -> None:
        control = shared_control
        await control.put(change_set(5_001))
        revision = control.server.runner.committed
        digest = control.server.status().digest
        refused = (RefusedChange(2, "drain/s1", "no such server"),)
        for report in (NodeReport("a", 1, revision, digest), NodeReport("b", 1, 1, "0", refused)):
            answer = await call(control.address, "POST", "/configuration/reports", encode(report))
            assert answer.status == 204
        status = decode_status((await call(control.address, "GET", "/configuration/status")).body)
        assert [(reported.node, reported.revision, reported.differs) for reported in status.nodes] == [
            ("a", revision, False), ("b", 1, True),
        ]  # fmt: skip
        assert status.nodes[1].refused == refused
        assert (status.leader, status.age_ms, status.log.committed) == (0, 0, revision)
        assert status.recent[-1].change_set_id == "set-5001"
        assert status.log.bytes > 0
        with captured_log() as captured:
            answer = await call(control.address, "POST", "/configuration/reports", b'{"node": 7}')
        assert (answer.status, answer.is_open) == (400, False)
        assert len(captured.warnings()) == 1

    run(test())


def test_the_log_is_served_in_pages(
    shared_control: RunningControlServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("driftstair.control.server.LOG_PAGE_ENTRIES", 2)

    async def test() -> None:
        control, revision_before = shared_control, shared_control.server.runner.committed
        for number in range(6_000, 6_004):
            await control.put(change_set(number))
        revisions: list[int] = []
        for after in (revision_before, revision_before + 2, revision_before + 4):
            answer = await call(control.address, "GET", f"/configuration/log?from={after}")
            revisions += [entry.revision for entry in decode_log_page(answer.body).change_sets]
        assert revisions == list(range(revision_before + 1, revision_before + 5))

    run(test())


def test_a_server_without_a_majority_refuses_puts(tmp_path: Path) -> None:
    async def test() -> None:
        peers = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
        async with running_control_server(tmp_path, wait_for_leadership=False, peers=peers) as control:
            assert (await control.put(change_set(1), 503))["error"] == "no leader is known"
            assert control.server.status().leader is None

    run(test())


def test_a_replication_fault_is_reported_and_answered_without_a_traceback(tmp_path: Path) -> None:
    """A message would change a committed entry. The process has to stop, so that nothing is built on it."""

    async def test() -> None:
        peers = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
        async with running_control_server(tmp_path, wait_for_leadership=False, peers=peers) as control:
            runner, reported = control.server.runner, []
            runner.on_fault = reported.append

            def raise_fault(*_: object) -> list[Action]:
                raise ReplicationFaultError("revision 1 would change")

            runner._replica.on_message = raise_fault  # type: ignore[method-assign]
            with captured_log() as captured:
                answer = await call(control.address, "POST", "/replication?from=1&to=0&of=3", VALID_MESSAGE)
            assert answer.status == 503
            assert reported == ["server 1: revision 1 would change"]
            assert not captured.tracebacks()

    run(test())


def test_an_idle_server_ticks_rarely(
    shared_control: RunningControlServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a timer that is always due, with which a single idle server took a third of a core."""

    async def test() -> None:
        replica = shared_control.server.runner._replica
        ticks = []
        tick = replica.tick

        def count_call(now_ns: int) -> list[Action]:
            ticks.append(now_ns)
            return tick(now_ns)

        monkeypatch.setattr(replica, "tick", count_call)
        await until(lambda: len(ticks) >= 12)
        assert ticks[-1] - ticks[0] > 500_000_000

    run(test())
