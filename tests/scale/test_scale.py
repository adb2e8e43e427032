"""Small repeatable tests of the scale measurements: hollow nodes in two processes, and the fitted line.

These tests assert no durations and no costs, which are left to `benchmarks/scale`.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from rig import run_for

from benchmarks.scale import __main__ as entry
from benchmarks.scale import control_servers
from benchmarks.scale.control_servers import ControlServers
from benchmarks.scale.faults import evaluate
from benchmarks.scale.hollow.cluster import Cluster
from benchmarks.scale.hollow.plan import REGION_COUNT, Plan, region_of
from benchmarks.scale.hollow.record import MemberObservation
from benchmarks.scale.slope import fit_line
from benchmarks.scale.watchers import InForce, Put, compute_delays

TEST_TIMEOUT_S = 120.0  # reached only by a failing test
AGREEMENT_TIMEOUT_S = 60.0  # reached only by a failing test
POLL_INTERVAL_S = 0.1  # between two checks of a cluster
PLAN = Plan(24, 2, period=200_000_000)


def run_on_cluster(test: Callable[[Cluster], Awaitable[None]], plan: Plan = PLAN) -> None:
    """Runs a test on a started cluster."""

    async def run() -> None:
        async with Cluster(plan) as cluster:
            await cluster.start()
            await test(cluster)

    run_for(run(), TEST_TIMEOUT_S)


async def has_agreed(cluster: Cluster, *gone: int) -> bool:
    """Waits until all nodes agree; returns whether they did before the timeout."""
    return await cluster.wait_until_agreed(gone, AGREEMENT_TIMEOUT_S, POLL_INTERVAL_S) is not None


def test_nodes_without_member_lists_join_across_processes() -> None:
    """Guards against nodes that only reach their own process: half of the members are in the other
    process."""

    async def test(cluster: Cluster) -> None:
        assert await has_agreed(cluster)
        totals = await cluster.sample()
        assert totals.bytes_in > 0 and totals.datagrams_in > 0
        assert totals.memory > 0

    run_on_cluster(test, Plan(24, 2, period=200_000_000, persisted=False))


def test_shared_state_runs_in_hollow_nodes() -> None:
    """Guards against a feed without effect: nodes have to exclude the failing server and to take tokens."""

    async def test(cluster: Cluster) -> None:
        async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
            spent = 0.0
            while True:
                totals = await cluster.sample()
                spent += totals.spent
                if spent and totals.held_back:
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    run_on_cluster(test)


def test_all_nodes_detect_a_killed_node_and_its_return() -> None:
    async def test(cluster: Cluster) -> None:
        assert await has_agreed(cluster)
        await cluster.start_recording()
        began_ns = cluster.now_ns()
        await cluster.kill([5])
        assert await has_agreed(cluster, 5)
        rows = list(await cluster.stop_recording())
        observed = evaluate(rows, began_ns, 23, lambda observer, member: member == 5)
        assert len(observed.detection_times_s) == 23  # each of the others has detected its death, once
        assert all(time > 0 for time in observed.detection_times_s)
        await cluster.revive([5])
        assert await has_agreed(cluster)

    run_on_cluster(test)


def test_nodes_agree_again_after_a_cut_between_regions() -> None:
    async def test(cluster: Cluster) -> None:
        assert await has_agreed(cluster)
        await cluster.set_region_cut(True)
        separated_pairs = sum(
            region_of(observer) != region_of(member)
            for observer in range(PLAN.count)
            for member in range(PLAN.count)
        )
        assert separated_pairs == PLAN.count * PLAN.count * (REGION_COUNT - 1) // REGION_COUNT
        async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
            # Until each node considers all nodes of other regions dead.
            while await cluster.count_disagreements() < separated_pairs:
                await asyncio.sleep(POLL_INTERVAL_S)
        await cluster.set_region_cut(False)
        assert await has_agreed(cluster)

    run_on_cluster(test)


def test_a_planned_restart_is_announced() -> None:
    """Guards against restarts that act as crashes: all others have to learn that the node left, and then
    returned."""

    async def test(cluster: Cluster) -> None:
        assert await has_agreed(cluster)
        await cluster.start_recording()
        await cluster.restart([3])
        informed = set[int]()
        async with asyncio.timeout(AGREEMENT_TIMEOUT_S):
            while len(informed) < PLAN.count - 1:
                await asyncio.sleep(POLL_INTERVAL_S)
                rows = await cluster.read_recording()
                informed |= {
                    observation.observer
                    for observation in rows
                    if observation.member == 3 and observation.state == "left"
                }
        assert await has_agreed(cluster)

    run_on_cluster(test)


def test_expected_and_false_deaths_are_distinguished() -> None:
    rows = [
        MemberObservation(2_000_000_000, 1, 9, "suspect", True),
        MemberObservation(3_000_000_000, 1, 9, "dead", True),
        MemberObservation(5_000_000_000, 1, 9, "dead", True),
        MemberObservation(4_000_000_000, 2, 9, "dead", True),
        MemberObservation(4_000_000_000, 2, 8, "dead", True),
        MemberObservation(4_000_000_000, 2, 7, "dead", False),
        MemberObservation(4_000_000_000, 2, 6, "dead", True),
    ]  # fmt: skip
    observed = evaluate(rows, 1_000_000_000, 3, lambda _, member: member == 9, lambda member: member == 6)
    assert observed.detection_times_s == [2.0, 3.0]  # the first death of each pair
    assert observed.falsely_dead == {8} and observed.false_deaths == 1 and observed.deaths_expected == 1
    # The third pair never detected the death.
    assert observed.detection_time_s(0.5) == 3.0 and observed.detection_time_s(1.0) is None


def test_a_line_is_fitted_with_the_interval_of_its_slope() -> None:
    exact = fit_line([1, 2, 3], [3, 5, 7])
    assert (exact.slope, exact.intercept) == (pytest.approx(2), pytest.approx(1))
    assert exact.half_width == pytest.approx(0)
    # Computed by hand: slope 0.5; residuals 0.25, -0.25, -0.25, 0.25; sqrt(0.125 / 5) = 0.1581, times 4.303.
    assert fit_line([1, 2, 3, 4], [1.25, 1.25, 1.75, 2.75]).half_width == pytest.approx(0.6804, abs=1e-3)
    with pytest.raises(ValueError):
        fit_line([1, 1], [1, 2])


def test_rows_are_printed_as_json(capsys: pytest.CaptureFixture[str]) -> None:
    arguments = ["--json", "hollow", "--sizes", "4", "--processes", "2", "--settle", "0.2", "--for", "0.5"]
    status = entry.main(arguments)
    row = json.loads(capsys.readouterr().out)
    assert row["conditions"]["nodes"] == 4 and row["commit"]
    assert (status == 0) is (row["status"] == "sound")


def test_no_measurement_starts_after_the_time_limit(capsys: pytest.CaptureFixture[str]) -> None:
    assert entry.main(["--json", "--seconds", "-1", "hollow", "--sizes", "4"]) == 1
    assert json.loads(capsys.readouterr().out)["status"] == "stopped"


def test_a_later_revision_in_force_includes_earlier_changes() -> None:
    """Guards against a coalesced change that counts as missing, and a change that counts before its put."""
    second_ns = 1_000_000_000
    puts = [Put(5, 1 * second_ns, 0.1), Put(6, 2 * second_ns, 0.1)]
    records = [
        InForce(0, 1, 9), InForce(0, 2, 4),  # before the puts, with revisions of another run
        InForce(3 * second_ns, 1, 6), InForce(2 * second_ns, 2, 5), InForce(4 * second_ns, 2, 6),
    ]  # fmt: skip
    delays = compute_delays(puts, records, 3)
    assert delays.pair_delays_s == [1.0, 1.0, 2.0, 2.0]  # watcher 1 has both changes with its second record
    assert delays.missing_pairs == 2 and delays.change_delays_s == []  # the third watcher has none
    assert compute_delays(puts, records, 2).change_delays_s == [2.0, 2.0]


def test_changes_come_into_force_at_all_watchers_while_a_server_is_killed(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a change that a watcher misses, with real control servers and watchers in two
    processes."""
    arguments = "--json watchers --count 12 --processes 2 --servers 3 --routes 3 --for 3 --kill other".split()
    entry.main(arguments)
    row = json.loads(capsys.readouterr().out)
    assert row["status"] != "failed", row
    assert row["figures"]["puts"] == 6 and row["figures"]["pairs_missing"] == 0


def test_servers_without_a_leader_are_ended(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against processes that outlive a measurement which fails during its start."""
    monkeypatch.setattr(control_servers, "READY_TIMEOUT_S", 0.0)
    servers = ControlServers(tmp_path, 2)

    async def run() -> None:
        with pytest.raises(TimeoutError):
            await servers.__aenter__()

    run_for(run(), TEST_TIMEOUT_S)
    assert [process.returncode is not None for process in servers._processes] == [True, True]
