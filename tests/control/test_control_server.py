"""One control server in this process: puts, reports, status, log, and what is no replication message."""

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
from control_rig import WatchClient, ask, change_set, content_of, drain, logged
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

CHANGES = "/configuration/changes"


class Control:
    """A server and its address."""

    def __init__(self, server: ControlServer, address: tuple[str, int]) -> None:
        self.server = server
        self.address = address

    async def put(self, change_set: ChangeSet, status: int = 200) -> dict[str, object]:
        answer = await ask(self.address, "POST", CHANGES, msgspec.json.encode(change_set))
        assert answer.status == status, answer
        said: dict[str, object] = answer.said
        return said


@asynccontextmanager
async def control(folder: Path, leads: bool = True, peers: tuple[str, ...] = ()) -> AsyncIterator[Control]:
    settings = ServerSettings.model_validate(
        {"version": 1, "name": "c0", "listen": "127.0.0.1:0", "folder": str(folder), "peers": peers,
         "number": 0 if peers else None}
    )  # fmt: skip
    runner = ReplicaRunner(settings)
    server = ControlServer(settings, runner)
    address = await server.start()
    runner.start()
    if leads:
        await until(lambda: runner.is_leader)
    yield Control(server, address)
    await server.close()


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Control]:
    """A server that leads, on a loop of its own: to lead takes seconds. Tests use ids of their own."""
    loop = uvloop.new_event_loop()
    context = control(tmp_path_factory.mktemp("shared"))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield asyncio.run_coroutine_threadsafe(context.__aenter__(), loop).result(60)
    asyncio.run_coroutine_threadsafe(context.__aexit__(None, None, None), loop).result(60)
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()


def test_a_put_reaches_a_watch_and_the_same_put_is_the_same_revision(shared: Control) -> None:
    async def test() -> None:
        here, before = shared, shared.server.runner.committed
        async with WatchClient(here.address) as node:
            said = await here.put(change_set(1))
            await node.until(lambda: node.has_reached(before + 1))
            assert said == {"revision": before + 1}
            assert await here.put(change_set(1)) == said
            assert (await here.put(change_set(1, drain("other")), 409))["violations"]
            assert node.revisions() == list(range(1, before + 2))
            assert node.changes()[-1].change_sets[-1].change_set.id == "set-1"

    run(test())


def test_a_restart_finds_all_that_was_committed(tmp_path: Path) -> None:
    async def test() -> None:
        async with control(tmp_path) as here:
            for number in range(5):
                await here.put(change_set(number))
            digest = here.server.status().digest
        async with control(tmp_path) as here:
            assert await here.put(change_set(3)) == {"revision": 5}
            assert here.server.status().digest == digest

    run(test())


def test_puts_at_once_are_committed_with_few_syncs(shared: Control, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a sync a change: what comes while one is under way goes with the next."""

    async def test() -> None:
        here, before = shared, shared.server.runner.committed
        storage = here.server.runner._disk.storage
        write, writes = storage.write, []

        def counted(persist: Persist) -> None:
            writes.append(persist.sequence)
            write(persist)

        monkeypatch.setattr(storage, "write", counted)
        async with WatchClient(here.address, before) as node:
            await asyncio.gather(*(here.put(change_set(number)) for number in range(1_000, 1_300)))
            await node.until(lambda: node.has_reached(before + 300))
            assert node.revisions() == list(range(before + 1, before + 301))
            assert len(writes) < 200

    run(test())


def test_beyond_a_log_that_was_cut_a_node_gets_a_snapshot_and_revisions_go_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(replica_runner, "ControlReplica", partial(ControlReplica, kept_entries=10))

    async def test() -> None:
        async with control(tmp_path) as here:
            for number in range(60):
                await here.put(change_set(number))
            await until(lambda: here.server.runner.oldest > 10)
            async with WatchClient(here.address, 3) as node:
                await node.until(lambda: node.parts() and node.parts()[-1].last)
                assert await here.put(change_set(60)) == {"revision": 62}
                await node.until(lambda: node.has_reached(62))
                assert node.final_state() == content_of(here.server.runner.state)
            oldest = here.server.runner.oldest
        async with control(tmp_path) as here:
            assert here.server.runner.oldest >= oldest
            assert await here.put(change_set(60)) == {"revision": 62}
            assert await here.put(change_set(61)) == {"revision": 64}  # after the new leader's own
            async with WatchClient(here.address, 62) as node:
                await node.until(lambda: node.has_reached(64))
                assert node.revisions() == [63, 64]

    run(test())


def test_two_sets_at_once_on_one_resource_and_its_expected_revision(shared: Control) -> None:
    """Of two that expect what both saw one is committed; the other is told who was first."""

    async def test() -> None:
        here, before = shared, shared.server.runner.committed
        one, other = (change_set(number, drain("s", number, expected=0)) for number in (2_001, 2_002))
        answers = await asyncio.gather(
            *(ask(here.address, "POST", CHANGES, msgspec.json.encode(each)) for each in (one, other))
        )
        assert sorted(answer.status for answer in answers) == [200, 409]
        (refused,) = [answer for answer in answers if answer.status == 409]
        assert f"drain/s: expected_revision: revision {before + 1}" in refused.said["error"]
        await here.put(change_set(2_003, drain("s", 3, expected=before + 1)))

    run(test())


def test_a_set_that_breaks_a_rule_is_refused_and_later_ones_go_on(shared: Control) -> None:
    async def test() -> None:
        here, before = shared, shared.server.runner.committed
        route = {
            "kind": "route",
            "name": "r",
            "content": {"match": {"class": "a"}, "retry": {"jitter": 7}},
        }
        body = msgspec.json.encode({"id": "bad", "changes": [route]})
        answer = await ask(here.address, "POST", CHANGES, body)
        assert answer.status == 400
        assert [one["resource"] for one in answer.said["violations"]] == ["route/r"]
        assert all(one["where"] and one["why"] for one in answer.said["violations"])
        assert await here.put(change_set(3_001)) == {"revision": before + 1}

    run(test())


def test_a_set_is_checked_against_those_before_it_that_are_not_committed_yet(shared: Control) -> None:
    """A route of a budget of the fleet, put while the set that brings the budget is on its way."""

    async def test() -> None:
        here, before = shared, shared.server.runner.committed
        budget = {"kind": "budget", "name": "b", "content": {"per_s": 50.0, "burst": "5s"}}
        content = {"match": {"class": "a"}, "retry": {"attempts": 2, "budget": {"fleet": "b"}}}
        route = {"kind": "route", "name": "r", "content": content}
        bodies = [
            msgspec.json.encode({"id": f"id-{index}", "changes": [change]})
            for index, change in enumerate((budget, route))
        ]
        answer = await ask(here.address, "POST", CHANGES, bodies[1])
        assert answer.status == 400, answer
        puts = here.server.puts
        waits = [asyncio.create_task(ask(here.address, "POST", CHANGES, bodies[0]))]
        await until(lambda: len(puts) or here.server.runner.committed > before)
        waits.append(asyncio.create_task(ask(here.address, "POST", CHANGES, bodies[1])))
        assert [answer.status for answer in await asyncio.gather(*waits)] == [200, 200]

    run(test())


BAD_SETS = {
    "no JSON": b"\xff{",
    "cut off": b'{"id": "a", "changes": [{"kind": "drain"',
    "an unknown kind": b'{"id": "a", "changes": [{"kind": "moon", "name": "a", "content": {}}]}',
    "twice the same": b'{"id": "a", "changes": [' + b'{"kind": "drain", "name": "a", "content": {}},' * 2,
    "nested": b"[" * 100_000,
    "the id of a leader": b'{"id": "leader.9", "changes": []}',
}


def test_what_is_no_change_set_is_refused_in_a_line(shared: Control) -> None:
    """One server for all: each has to leave it as it was."""

    async def test() -> None:
        here, before = shared, shared.server.runner.committed
        for what, body in BAD_SETS.items():
            with logged() as lines:
                answer = await ask(here.address, "POST", CHANGES, body)
            assert answer.status == 400, what
            assert answer.said.get("violations") or answer.said.get("error")
            said = [line for line in lines.records if "put not committed" in line.getMessage()]
            assert len(said) == 1, what
            assert not lines.tracebacks()
            assert here.server.runner.committed == before
        assert await here.put(change_set(4_001)) == {"revision": before + 1}

    run(test())


GOOD = encode_replication(Alive())
BAD_REPLICATION = {
    "garbled": ("from=1&to=0&of=3", b'{"type": "moon"}', 400),
    "cut off": ("from=1&to=0&of=3", GOOD + b"\n" + GOOD[:-3], 400),
    "empty": ("from=1&to=0&of=3", b"", 400),
    "another server's": ("from=0&to=1&of=3", GOOD, 409),
    "of other peers": ("from=1&to=0&of=5", GOOD, 409),
    "no sender": ("to=0&of=3", GOOD, 400),
    "a sender that is none": ("from=9&to=0&of=3", GOOD, 409),
}


def test_what_is_no_replication_message_ends_its_connection(tmp_path: Path) -> None:
    peers = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")

    async def test() -> None:
        async with control(tmp_path, leads=False, peers=peers) as here:
            for what, (query, body, status) in BAD_REPLICATION.items():
                with logged() as lines:
                    answer = await ask(here.address, "POST", f"/replication?{query}", body)
                assert (answer.status, answer.is_open) == (status, False), what
                told = [line for line in lines.warnings() if "replication" in line]
                assert len(told) == 1, what
                assert not lines.tracebacks()
                taken = await ask(here.address, "POST", "/replication?from=1&to=0&of=3", GOOD)
                assert (taken.status, taken.is_open) == (204, True)

    run(test())


def test_reports_are_in_the_status_by_node(shared: Control) -> None:
    async def test() -> None:
        here = shared
        await here.put(change_set(5_001))
        revision = here.server.runner.committed
        digest = here.server.status().digest
        refused = (RefusedChange(2, "drain/s1", "no such server"),)
        for report in (NodeReport("a", 1, revision, digest), NodeReport("b", 1, 1, "0", refused)):
            answer = await ask(here.address, "POST", "/configuration/reports", encode(report))
            assert answer.status == 204
        status = decode_status((await ask(here.address, "GET", "/configuration/status")).body)
        assert [(one.node, one.revision, one.differs) for one in status.nodes] == [
            ("a", revision, False), ("b", 1, True),
        ]  # fmt: skip
        assert status.nodes[1].refused == refused
        assert (status.leader, status.age_ms, status.log.committed) == (0, 0, revision)
        assert status.recent[-1].change_set_id == "set-5001"
        assert status.log.bytes > 0
        with logged() as lines:
            answer = await ask(here.address, "POST", "/configuration/reports", b'{"node": 7}')
        assert (answer.status, answer.is_open) == (400, False)
        assert len(lines.warnings()) == 1

    run(test())


def test_the_log_comes_in_pages(shared: Control, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("driftstair.control.server.LOG_PAGE_ENTRIES", 2)

    async def test() -> None:
        here, before = shared, shared.server.runner.committed
        for number in range(6_000, 6_004):
            await here.put(change_set(number))
        found: list[int] = []
        for after in (before, before + 2, before + 4):
            answer = await ask(here.address, "GET", f"/configuration/log?from={after}")
            found += [one.revision for one in decode_log_page(answer.body).change_sets]
        assert found == list(range(before + 1, before + 5))

    run(test())


def test_a_server_without_a_majority_takes_no_put_and_says_when_to_come_again(tmp_path: Path) -> None:
    async def test() -> None:
        peers = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
        async with control(tmp_path, leads=False, peers=peers) as here:
            assert (await here.put(change_set(1), 503))["error"] == "no leader is known"
            assert here.server.status().leader is None

    run(test())


def test_a_fault_of_the_log_itself_is_told_and_answered_without_a_traceback(tmp_path: Path) -> None:
    """A committed entry that would change: the process has to end, so that nothing is built on it."""

    async def test() -> None:
        peers = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
        async with control(tmp_path, leads=False, peers=peers) as here:
            runner, told = here.server.runner, []
            runner.on_fault = told.append

            def fail(*_: object) -> list[Action]:
                raise ReplicationFaultError("revision 1 would change")

            runner._replica.on_message = fail  # type: ignore[method-assign]
            with logged() as lines:
                answer = await ask(here.address, "POST", "/replication?from=1&to=0&of=3", GOOD)
            assert answer.status == 503
            assert told == ["server 1: revision 1 would change"]
            assert not lines.tracebacks()

    run(test())


def test_a_server_at_rest_does_next_to_nothing(shared: Control, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a timer that is always due: a server alone took a third of a core."""

    async def test() -> None:
        replica = shared.server.runner._replica
        ticks = []
        tick = replica.tick

        def counted(now_ns: int) -> list[Action]:
            ticks.append(now_ns)
            return tick(now_ns)

        monkeypatch.setattr(replica, "tick", counted)
        await until(lambda: len(ticks) >= 12)
        assert ticks[-1] - ticks[0] > 500_000_000

    run(test())
