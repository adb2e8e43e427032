"""A small stable form of the scale measurements: hollow nodes in two processes, and the line that is fitted.

None of these asserts how long anything took, or what it cost: that is for `benchmarks/scale`.
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
from benchmarks.scale.faults import seen
from benchmarks.scale.hollow.cluster import Cluster
from benchmarks.scale.hollow.plan import REGIONS, Plan, region_of
from benchmarks.scale.hollow.record import Held
from benchmarks.scale.slope import fit
from benchmarks.scale.watchers import InForce, Put, spread

MOST = 120.0  # s: only a test that has failed takes so long
WITHIN = 60.0  # s, likewise
LOOK = 0.1  # s between two looks at a cluster
PLAN = Plan(24, 2, period=200_000_000)


def played(what: Callable[[Cluster], Awaitable[None]], plan: Plan = PLAN) -> None:
    async def whole() -> None:
        async with Cluster(plan) as cluster:
            await cluster.start()
            await what(cluster)

    run_for(whole(), MOST)


async def agreed(cluster: Cluster, *gone: int) -> bool:
    return await cluster.agree(gone, WITHIN, LOOK) is not None


def test_they_come_together_without_lists() -> None:
    """Guards against nodes that are alone in their process: half of the members are in the other one."""

    async def what(cluster: Cluster) -> None:
        assert await agreed(cluster)
        found = await cluster.sample()
        assert found.bytes_in > 0 and found.datagrams_in > 0
        assert found.memory > 0

    played(what, Plan(24, 2, period=200_000_000, persisted=False))


def test_shared_state_runs_in_hollow_nodes() -> None:
    """Guards against a feed that reaches nobody: the failing server has to be held back, and tokens spent."""

    async def what(cluster: Cluster) -> None:
        async with asyncio.timeout(WITHIN):
            spent = 0.0
            while True:
                found = await cluster.sample()
                spent += found.spent
                if spent and found.held_back:
                    return
                await asyncio.sleep(LOOK)

    played(what)


def test_one_killed_is_known_by_all_and_comes_back() -> None:
    async def what(cluster: Cluster) -> None:
        assert await agreed(cluster)
        await cluster.record()
        at = cluster.now()
        await cluster.kill([5])
        assert await agreed(cluster, 5)
        rows = list(await cluster.records())
        found = seen(rows, at, 23, lambda observer, member: member == 5)
        assert len(found.times) == 23  # each of the others holds it dead, once
        assert all(time > 0 for time in found.times)
        await cluster.revive([5])
        assert await agreed(cluster)

    played(what)


def test_a_cut_between_regions_heals() -> None:
    async def what(cluster: Cluster) -> None:
        assert await agreed(cluster)
        await cluster.cut(True)
        apart = sum(
            region_of(one) != region_of(other) for one in range(PLAN.count) for other in range(PLAN.count)
        )
        assert apart == PLAN.count * PLAN.count * (REGIONS - 1) // REGIONS
        async with asyncio.timeout(WITHIN):
            while await cluster.disagreeing() < apart:  # each holds all of the other regions dead
                await asyncio.sleep(LOOK)
        await cluster.cut(False)
        assert await agreed(cluster)

    played(what)


def test_a_restart_is_planned() -> None:
    """Guards against restarts that are crashes: all others hear that it left, and then that it is back."""

    async def what(cluster: Cluster) -> None:
        assert await agreed(cluster)
        await cluster.record()
        await cluster.restart([3])
        told = set[int]()
        async with asyncio.timeout(WITHIN):
            while len(told) < PLAN.count - 1:
                await asyncio.sleep(LOOK)
                rows = await cluster.records()
                told |= {one.observer for one in rows if one.member == 3 and one.state == "left"}
                await cluster.record()
        assert await agreed(cluster)

    played(what)


def test_deaths_are_told_apart() -> None:
    rows = [
        Held(2_000_000_000, 1, 9, "suspect", True), Held(3_000_000_000, 1, 9, "dead", True),
        Held(5_000_000_000, 1, 9, "dead", True), Held(4_000_000_000, 2, 9, "dead", True),
        Held(4_000_000_000, 2, 8, "dead", True), Held(4_000_000_000, 2, 7, "dead", False),
        Held(4_000_000_000, 2, 6, "dead", True),
    ]  # fmt: skip
    found = seen(rows, 1_000_000_000, 3, lambda _, member: member == 9, lambda member: member == 6)
    assert found.times == [2.0, 3.0]  # the first death of each pair
    assert found.falsely_dead == {8} and found.false_deaths == 1 and found.deaths_expected == 1
    assert found.part(0.5) == 3.0 and found.part(1.0) is None  # a third pair never came to it


def test_a_line_is_fitted_with_its_interval() -> None:
    exact = fit([1, 2, 3], [3, 5, 7])
    assert (exact.slope, exact.intercept) == (pytest.approx(2), pytest.approx(1))
    assert exact.half_width == pytest.approx(0)
    # By hand: slope 0.5; residuals 0.25, -0.25, -0.25, 0.25: s^2 = 0.125, over 5: 0.1581 x 4.303.
    assert fit([1, 2, 3, 4], [1.25, 1.25, 1.75, 2.75]).half_width == pytest.approx(0.6804, abs=1e-3)
    with pytest.raises(ValueError):
        fit([1, 1], [1, 2])


def test_rows_are_json(capsys: pytest.CaptureFixture[str]) -> None:
    words = ["--json", "hollow", "--sizes", "4", "--processes", "2", "--settle", "0.2", "--for", "0.5"]
    status = entry.main(words)
    row = json.loads(capsys.readouterr().out)
    assert row["conditions"]["nodes"] == 4 and row["commit"]
    assert (status == 0) is (row["status"] == "sound")


def test_no_row_is_begun_when_the_time_is_up(capsys: pytest.CaptureFixture[str]) -> None:
    assert entry.main(["--json", "--seconds", "-1", "hollow", "--sizes", "4"]) == 1
    assert json.loads(capsys.readouterr().out)["status"] == "stopped"


def test_a_change_is_in_force_with_a_later_one() -> None:
    """Guards against a coalesced change that counts as missing, and against one counted before its put."""
    second = 1_000_000_000
    puts = [Put(5, 1 * second, 0.1), Put(6, 2 * second, 0.1)]
    notes = [
        InForce(0, 1, 9), InForce(0, 2, 4),  # before the puts, and of another run's revisions
        InForce(3 * second, 1, 6), InForce(2 * second, 2, 5), InForce(4 * second, 2, 6),
    ]  # fmt: skip
    found = spread(puts, notes, 3)
    assert found.pairs == [1.0, 1.0, 2.0, 2.0]  # watcher 1 has both with its second note
    assert found.missing == 2 and found.everywhere == []  # a third watcher has none
    assert spread(puts, notes, 2).everywhere == [2.0, 2.0]


def test_changes_are_in_force_at_all_watchers_though_a_server_is_killed(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a change that is missing somewhere: real control servers, watchers in two processes."""
    words = "--json watchers --count 12 --processes 2 --servers 3 --routes 3 --for 3 --kill other".split()
    entry.main(words)
    row = json.loads(capsys.readouterr().out)
    assert row["status"] != "failed", row
    assert row["figures"]["puts"] == 6 and row["figures"]["pairs_missing"] == 0


def test_servers_that_never_have_a_leader_are_ended(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against processes that outlive a measurement which fails while it starts."""
    monkeypatch.setattr(control_servers, "READY_WITHIN", 0.0)
    servers = ControlServers(tmp_path, 2)

    async def whole() -> None:
        with pytest.raises(TimeoutError):
            await servers.__aenter__()

    run_for(whole(), MOST)
    assert [process.returncode is not None for process in servers._processes] == [True, True]
