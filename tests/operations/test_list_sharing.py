"""The list of servers in the processes of one node, which the platform regards as one."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import pytest
from rig import TIMEOUT_S, Discovery, Rig, Server, configuration, free_port, run, until
from test_desk_and_upgrade import call, environment, operated_document, request_status
from test_process import Program, program

from driftstair.hosts import HostList, parse_address, parse_list
from driftstair.net.identifiers import digest
from driftstair.operations.list_sharing import ListSharing

REQUESTS = 20
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class CrowdedDiscovery(Discovery):
    """Discovery that can turn callers away while the watches that it has go on."""

    async def turn_away_new_callers(self) -> None:
        await until(lambda: self.targets)
        self.reply = TURNED_AWAY

    def tell(self, watch: int, version: int, *servers: Server) -> None:
        """Writes a change to one watch."""
        entries = [server.entry() for server in servers]
        line = json.dumps({"version": version, "full": False, "servers": entries}).encode() + b"\n"
        self._writers[watch].write(b"%x\r\n%s\r\n" % (len(line), line))


@dataclass(frozen=True, slots=True)
class Upgrade:
    """The two processes, and the port for operators' calls to the new one."""

    old: Program
    new: Program
    new_port: int

    async def wait_until_ready(self) -> None:
        while await call(self.new_port, "GET", "ready") != 200:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def upgrade(
    discovery: CrowdedDiscovery, folder: Path, *servers: Server, is_crowded: bool = True
) -> AsyncIterator[Upgrade]:
    """An upgrade, once the new process has called discovery and before it is ready."""
    document, _ = operated_document(*servers, discovery=discovery.address)
    async with program(document, folder, env=environment(folder)) as old:
        await until(lambda: discovery.targets)
        if is_crowded:
            await discovery.turn_away_new_callers()
        new_port = free_port()
        document["ops"] = f"127.0.0.1:{new_port}"
        (folder / "beside").mkdir()
        async with program(document, folder / "beside", env=environment(folder)) as new:
            await until(lambda: len(discovery.targets) > 1)
            yield Upgrade(old, new, new_port)


async def has_adopted(node: Program) -> None:
    """Waits until a process follows a list of the other one."""
    assert node.process.stderr is not None
    async with asyncio.timeout(TIMEOUT_S):
        while b"is taken from another process" not in (line := await node.process.stderr.readline()):
            assert line, "the node ended"


async def assert_gets_no_request(server: Server, node: Program) -> None:
    before = len(server.seen)
    for _ in range(REQUESTS):
        assert await request_status(node) == 200
    assert len(server.seen) == before


def test_an_upgraded_process_serves_by_the_list_that_the_old_one_was_told(tmp_path: Path) -> None:
    """Guards against requests to a draining server after an upgrade in which discovery turns callers away."""

    async def test() -> None:
        async with (
            CrowdedDiscovery() as discovery,
            Server("s-1") as one,
            Server("s-2") as two,
            upgrade(discovery, tmp_path, one, two) as processes,
        ):
            one.state = "Terminating"
            discovery.tell(0, 8, one)
            await processes.wait_until_ready()
            await assert_gets_no_request(one, processes.new)
            # The old process is still there, and its watch goes on.
            one.state, two.state = "Ready", "Terminating"
            discovery.tell(0, 9, one, two)
            while not one.seen:
                assert await request_status(processes.new) in (200, 503)
            await assert_gets_no_request(two, processes.new)

    run(test())


def test_the_old_process_follows_the_list_that_the_new_one_was_told(tmp_path: Path) -> None:
    """It goes on serving its clients, and again all of them if the new process fails."""

    async def test() -> None:
        async with (
            CrowdedDiscovery() as discovery,
            Server("s-1") as one,
            Server("s-2") as two,
            upgrade(discovery, tmp_path, one, two, is_crowded=False) as processes,
        ):
            one.state = "Terminating"
            discovery.tell(1, 8, one)
            await processes.wait_until_ready()
            await has_adopted(processes.old)
            processes.new.process.kill()
            await processes.new.process.wait()
            await assert_gets_no_request(one, processes.old)

    run(test())


@pytest.mark.parametrize(
    ("is_same_discovery", "version", "received_later", "is_adopted"),
    [
        (True, 9, True, True),
        (True, 8, True, False),  # the version in force
        (True, 7, True, False),
        (True, 0, True, False),  # unknown
        (True, 9, False, False),  # of a discovery that has begun anew since
        (False, 9, True, False),
    ],
)
def test_a_list_is_adopted_only_if_it_is_newer(
    is_same_discovery: bool, version: int, received_later: bool, is_adopted: bool
) -> None:
    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, discovery=source.address)) as rig,
        ):
            servers = rig.node.servers
            rig.watch()
            await until(lambda: source.targets)
            source.push(8, one, full=True)
            await until(servers.list_received.is_set)
            address = source.address if is_same_discovery else "127.0.0.1:9"
            received_at = servers.list_received_at + (1 if received_later else -1)
            known = shared_list(version, two)
            assert servers.adopt_list(parse_address(address), known, received_at) is is_adopted
            assert servers.ready == {digest("s-2" if is_adopted else "s-1")}

    run(test())


def shared_list(version: int, *servers: Server) -> HostList:
    return parse_list({"version": version, "full": True, "servers": [each.entry() for each in servers]})


@pytest.mark.parametrize("address", ["", "127.0.0.1:9"])
def test_without_a_list_of_its_own_a_process_adopts_any_that_is_newer(address: str) -> None:
    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, discovery=source.address)) as rig,
        ):
            servers = rig.node.servers
            discovery = parse_address(address or source.address)
            assert not servers.adopt_list(discovery, shared_list(9, two), 0)  # received by nobody
            assert servers.adopt_list(discovery, shared_list(9, two), 5)
            assert servers.ready == {digest("s-2")}
            assert not servers.adopt_list(discovery, shared_list(9, one), 5)
            # Versions of another address are not valid here.
            assert servers.discovery.version == (7 if address else 9)

    run(test())


def test_a_change_that_an_adopted_list_has_already_is_not_applied_again() -> None:
    """A watch may deliver late what another process of the node has read, and more."""

    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as one,
            Server("s-2") as two,
            Rig(configuration(one, two, discovery=source.address)) as rig,
        ):
            servers = rig.node.servers
            rig.watch()
            await until(lambda: source.targets)
            one.state = "Terminating"
            assert servers.adopt_list(parse_address(source.address), shared_list(9, one, two), 1)
            one.state = "Ready"
            source.push(8, one)
            await until(servers.list_received.is_set)
            assert servers.ready == {digest("s-2")} and servers.discovery.version == 9
            source.push(10, one)
            await until(lambda: len(servers.ready) == 2)
            assert servers.discovery.version == 10

    run(test())


def test_changes_during_a_share_are_shared_together_after_it() -> None:
    async def test() -> None:
        has_other_process = False
        steps: list[str] = []
        may_store = asyncio.Event()

        async def store() -> None:
            steps.append("store")
            await may_store.wait()

        async def notify() -> None:
            steps.append("notify")

        sharing = ListSharing(lambda: has_other_process, store, notify)
        sharing.on_list_received()
        await asyncio.sleep(0)
        assert not steps  # there is nobody to share with
        has_other_process = True
        for _ in range(5):
            sharing.on_list_received()
            await asyncio.sleep(0)
        may_store.set()
        await until(lambda: steps == ["store", "notify"] * 2)
        await asyncio.sleep(0.1)
        assert len(steps) == 4
        sharing.close()

    run(test())


def test_a_list_that_could_not_be_stored_does_not_end_the_sharing(caplog: pytest.LogCaptureFixture) -> None:
    async def test() -> None:
        calls = 0

        async def store() -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise OSError("disk full")

        async def notify() -> None:
            pass

        sharing = ListSharing(lambda: True, store, notify)
        sharing.on_list_received()
        await until(lambda: "not shared" in caplog.text)
        sharing.on_list_received()
        await until(lambda: calls == 2)
        sharing.close()

    run(test())


def test_an_upgraded_process_is_not_ready_while_the_old_one_stands_still_with_its_list(
    tmp_path: Path,
) -> None:
    """Guards against a yes by a list that is older than what discovery has told the node."""

    async def test() -> None:
        async with (
            CrowdedDiscovery() as discovery,
            Server("s-1") as one,
            Server("s-2") as two,
            upgrade(discovery, tmp_path, one, two) as processes,
        ):
            processes.old.process.send_signal(signal.SIGSTOP)
            one.state = "Terminating"
            discovery.tell(0, 8, one)
            assert await request_status(processes.new) == 200  # it serves
            assert await call(processes.new_port, "GET", "ready") == 503
            processes.old.process.send_signal(signal.SIGCONT)
            await processes.wait_until_ready()
            await assert_gets_no_request(one, processes.new)

    run(test())
