"""Five or seven control servers as processes with the watches of a dozen nodes. Faults follow events, not
a timer."""

from __future__ import annotations

import asyncio
import resource
import shutil
from collections.abc import Awaitable, Callable
from pathlib import Path

from control_fleet import ControlFleet, ServerPair
from control_rig import change_set
from rig import run_for

from benchmarks.soak.shim import ShimOptions, build_shim, shim_environment

Scenario = Callable[[ControlFleet], Awaitable[None]]
FAILURE_SHARE = 0.1  # of writes and syncs that fail
TEST_TIMEOUT_S = 180.0  # only a failing test takes so long


def run_scenario(
    folder: Path, count: int, scenario: Scenario, clock_offsets_h: dict[int, int] | None = None
) -> None:
    async def test() -> None:
        async with ControlFleet(folder, count, clock_offsets_h) as fleet:
            await fleet.start()
            await scenario(fleet)

    run_for(test(), TEST_TIMEOUT_S)


def test_five_servers_under_faults_lose_nothing_and_agree(tmp_path: Path) -> None:
    """Kills the leader, pauses a follower, cuts links and restarts a server, each at a number of commits.
    The clocks of the servers differ by hours."""

    async def scenario(fleet: ControlFleet) -> None:
        await fleet.wait_for_leader()
        fleet.add_nodes(12)
        faults = asyncio.create_task(inject_faults(fleet))

        async def write(writer: int) -> None:
            servers = [(writer + offset) % 5 for offset in range(5)]
            for number in range(20):
                await fleet.put(change_set(writer * 1_000 + number), *servers)

        await asyncio.gather(*(write(writer) for writer in range(4)))
        await faults
        last = max(fleet.committed.values())
        assert len(fleet.committed) == 80
        await fleet.wait_for_revision(last)
        await fleet.check_consistency()
        await fleet.wait_until_in_force(last, 12)

    async def inject_faults(fleet: ControlFleet) -> None:
        async def wait_for_commits(count: int) -> None:
            await fleet.wait_until(
                lambda: len(fleet.committed) >= count, f"fewer than {count} sets were committed"
            )

        await wait_for_commits(10)
        killed = await fleet.wait_for_leader()
        await fleet.kill(killed)
        paused = (killed + 1) % 5
        others = [number for number in range(5) if number != killed]
        await wait_for_commits(25)
        await fleet.start(killed)
        fleet.pause(paused)
        await wait_for_commits(40)
        fleet.resume(paused)
        isolated = await fleet.wait_for_leader()  # any server, possibly the one that was resumed
        fleet.isolate(isolated)
        await wait_for_commits(60)
        fleet.relay.heal()
        fleet.relay.cut([ServerPair(killed, paused), ServerPair(others[-1], killed)])
        await wait_for_commits(80)
        fleet.relay.heal()

    run_scenario(tmp_path, 5, scenario, clock_offsets_h={1: -1, 2: 1})


def test_a_minority_of_seven_serves_its_nodes_and_reports_its_age(tmp_path: Path) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        leader = await fleet.wait_for_leader()
        cut_off = [number for number in range(7) if number != leader][:2]
        rest = [number for number in range(7) if number not in cut_off]
        for number in range(5):
            await fleet.put(change_set(number))
        cut_off_nodes = fleet.add_nodes(4, *cut_off)
        fleet.add_nodes(8)
        last = max(fleet.committed.values())
        await fleet.wait_for_revision(last)
        fleet.isolate(*cut_off)
        for number in cut_off:
            await fleet.wait_for_status(
                number, lambda status: status.age_ms > 0, "the minority reports no age"
            )
        for number in range(5, 30):
            await fleet.put(change_set(number), *rest)
        late_nodes = fleet.add_nodes(1, *cut_off)  # a node that starts cold in the region that is cut off
        await fleet.wait_for_revision(last, late_nodes)
        await fleet.wait_until(
            lambda: any(age > 0 for _, age in late_nodes[0].ages), "the minority reported no age to its node"
        )
        assert all(node.state.revision == last for node in cut_off_nodes)
        assert (await fleet.put_once(change_set(99), cut_off[0])).status == 503
        fleet.relay.heal()
        await fleet.put(change_set(99))
        await fleet.wait_for_revision(max(fleet.committed.values()))
        await fleet.check_consistency()

    run_scenario(tmp_path, 7, scenario)


def test_repeating_a_put_of_unknown_outcome_returns_its_revision(tmp_path: Path) -> None:
    """First the answer is lost in the network, then the leader is paused after a majority has synced the
    set and before it answers. A client that repeats the put with the same id gets the revision of the
    commit."""

    async def scenario(fleet: ControlFleet) -> None:
        leader = await fleet.wait_for_leader()
        others = [number for number in range(5) if number != leader]
        fleet.relay.drop_answers(ServerPair(others[0], leader))
        assert (await fleet.put_once(change_set(1), others[0])).status == 503
        revision = await fleet.put(change_set(1), others[1])
        fleet.relay.heal()
        assert await fleet.put(change_set(1), others[0]) == revision

        leader = await fleet.wait_for_leader()
        others = [number for number in range(5) if number != leader]
        fleet.relay.cut(ServerPair(number, leader) for number in others)
        interrupted_put = asyncio.create_task(fleet.put_once(change_set(2), leader))

        def servers_with_set() -> int:
            return sum(b'"set-2"' in fleet.log_file(number).read_bytes() for number in others)

        await fleet.wait_until(
            lambda: servers_with_set() >= 3, "the set did not reach the disks of a majority"
        )
        fleet.pause(leader)
        fleet.relay.heal()
        revision = await fleet.put(change_set(2), *others)
        fleet.resume(leader)
        answer = await interrupted_put
        assert answer.status == 503 or answer.document["revision"] == revision
        assert await fleet.put(change_set(2), leader) == revision
        await fleet.check_consistency()

    run_scenario(tmp_path, 5, scenario)


def test_all_servers_continue_from_the_committed_log_after_restarts(tmp_path: Path) -> None:
    async def scenario(fleet: ControlFleet) -> None:
        await fleet.wait_for_leader()
        fleet.add_nodes(12)
        for number in range(10):
            await fleet.put(change_set(number))
        await fleet.kill(*range(5))
        await fleet.start()
        await fleet.put(change_set(10))
        assert await fleet.terminate(*range(5)) == [0] * 5
        await fleet.start()
        last = await fleet.put(change_set(11))
        assert await fleet.put(change_set(3)) == fleet.committed["set-3"]
        await fleet.wait_for_revision(last)
        await fleet.check_consistency()
        assert await fleet.terminate(*range(5)) == [0] * 5

    run_scenario(tmp_path, 5, scenario)


def test_servers_with_a_torn_log_or_an_old_copy_of_the_disk_catch_up(tmp_path: Path) -> None:
    """One server loses the end of what it has acknowledged; the disk of another is reset by twenty
    revisions."""

    async def scenario(fleet: ControlFleet) -> None:
        leader = await fleet.wait_for_leader()
        torn, old = (leader + 1) % 5, (leader + 2) % 5
        await fleet.put(change_set(0))
        await fleet.terminate(old)
        shutil.copy(fleet.log_file(old), tmp_path / "copy")
        await fleet.start(old)
        for number in range(1, 20):
            await fleet.put(change_set(number))
        await wait_until_caught_up(fleet, torn)
        await fleet.kill(torn)
        file = fleet.log_file(torn)
        file.write_bytes(file.read_bytes()[:-7])
        await fleet.start(torn)
        assert any("was cut off" in line for line in fleet.log_lines[torn])
        await fleet.put(change_set(20))
        await wait_until_caught_up(fleet, torn)

        await wait_until_caught_up(fleet, old)
        await fleet.kill(old)
        shutil.copy(tmp_path / "copy", fleet.log_file(old))
        fleet.add_nodes(12)
        await fleet.start(old)
        await fleet.put(change_set(21))
        await fleet.wait_for_revision(max(fleet.committed.values()))
        await fleet.check_consistency()

    async def wait_until_caught_up(fleet: ControlFleet, number: int) -> None:
        last = max(fleet.committed.values())
        await fleet.wait_for_status(
            number, lambda status: status.log.committed >= last, "the server did not catch up"
        )

    run_scenario(tmp_path, 5, scenario)


def test_servers_with_full_disks_still_serve_and_report_the_problem(tmp_path: Path) -> None:
    """With one full disk of five, commits go on. With all five full nothing is committed, and the servers
    still serve the committed state."""

    async def scenario(fleet: ControlFleet) -> None:
        await fleet.wait_for_leader()
        nodes = fleet.add_nodes(12)
        await fleet.put(change_set(0))
        full_server = 0

        def set_size_limit(number: int) -> None:
            size = fleet.log_file(number).stat().st_size
            resource.prlimit(fleet.pid(number), resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

        def remove_size_limit(number: int) -> None:
            unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
            resource.prlimit(fleet.pid(number), resource.RLIMIT_FSIZE, unlimited)

        set_size_limit(full_server)
        await fleet.put(change_set(1))
        await fleet.wait_for_status(
            full_server, lambda status: status.log.problem, "a full disk is not reported"
        )
        assert any("can't be written" in line for line in fleet.log_lines[full_server])
        await fleet.wait_for_revision(await fleet.put(change_set(2)), nodes)
        for number in range(1, 5):
            set_size_limit(number)
        blocked_put = asyncio.create_task(fleet.put(change_set(3)))
        for number in range(5):
            await fleet.wait_for_status(
                number, lambda status: status.log.problem, "a full disk is not reported"
            )
        late_nodes = fleet.add_nodes(1)
        await fleet.wait_for_revision(fleet.committed["set-2"], late_nodes)
        assert not blocked_put.done()
        for number in range(5):
            remove_size_limit(number)
        await fleet.wait_for_revision(await blocked_put)
        for number in range(5):
            await fleet.wait_for_status(
                number, lambda status: not status.log.problem, "the disk is still reported as full"
            )
        await fleet.check_consistency()

    run_scenario(tmp_path, 5, scenario)


def test_failing_disks_and_short_writes_lose_no_committed_set(tmp_path: Path) -> None:
    """The log of every server has ENOSPC, EIO and short writes. Then all are killed and restarted on
    healthy disks."""

    async def scenario(fleet: ControlFleet) -> None:
        library = build_shim(tmp_path)
        for number in range(5):
            fleet.environment = shim_environment(
                library, ShimOptions(seed=number + 1, after=0.0, disk=FAILURE_SHARE)
            )
            await fleet.kill(number)
            await fleet.start(number)
        await fleet.wait_for_leader()
        for number in range(30):
            await fleet.put(change_set(number))
        assert any("can't be written" in line for lines in fleet.log_lines.values() for line in lines)
        await fleet.kill(*range(5))
        fleet.environment = {}
        await fleet.start()
        await fleet.wait_for_leader()
        last = max(fleet.committed.values())
        await fleet.wait_for_revision(last, fleet.add_nodes(3))
        await fleet.check_consistency()

    run_scenario(tmp_path, 5, scenario)
