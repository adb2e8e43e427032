"""Membership among several processes of the program, with faults between them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from fleet import PERIOD, SHIFTED_CLOCK_PROGRAM, Fleet
from rig import run_for

from driftstair.rehearsal.tier.checks import Bounds
from driftstair.rehearsal.tier.links import Fault

LOOSE_BOUNDS = Bounds(wrongly=0.0, settle=30.0, death=60.0)
SLOW_PERIOD = "500ms"  # tolerates a busy machine in tests that expect no death


def run_fleet(
    folder: Path,
    count: int,
    scenario: Callable[[Fleet], Awaitable[None]],
    table: str = "",
    period: str = PERIOD,
) -> None:
    async def test() -> None:
        async with Fleet(folder, count, table, period=period) as fleet:
            await fleet.start()
            await fleet.wait_joined()
            await scenario(fleet)
            assert fleet.findings(LOOSE_BOUNDS) == []

    run_for(test(), 180.0)


def test_a_crashed_node_is_held_dead_by_all_and_alive_after_a_restart(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.kill(2)
        await fleet.wait_for_state((2,), "dead")
        await fleet.start(2)
        await fleet.wait_joined()
        assert {verdict.member for _, verdict in fleet.dead_verdicts()} == {2}

    run_fleet(tmp_path, 5, scenario)


def test_a_planned_shutdown_is_disseminated_without_suspicion(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.terminate(1) == 0
        await fleet.wait_for_state((1,), "left")
        assert not fleet.dead_verdicts()

    run_fleet(tmp_path, 5, scenario, period=SLOW_PERIOD)


def test_a_stalled_node_causes_no_false_death_and_recovers(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.stop(3)
        await fleet.wait_for_state((3,), "dead")
        fleet.resume(3)
        await fleet.wait_joined()
        assert {verdict.member for _, verdict in fleet.dead_verdicts()} <= {3}
        stalled = [process for process in fleet.run_record().processes if process.node == 3]
        assert all(held.state != "dead" for process in stalled for held in process.view_changes)
        assert stalled[0].stood_still

    run_fleet(tmp_path, 5, scenario)


@pytest.mark.parametrize("direction", ["reaches none", "hears none"])
def test_a_node_cut_off_in_one_direction_causes_no_false_death(direction: str, tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        pairs = [(0, other) if direction == "reaches none" else (other, 0) for other in range(1, fleet.count)]
        heal = fleet.cut(*pairs, blame=(0,))
        await fleet.wait_for_state((0,), "dead", "suspect")
        await fleet.wait_for_state((0,), "dead")
        heal()
        await fleet.wait_joined()
        assert not [verdict for _, verdict in fleet.dead_verdicts() if verdict.told and verdict.member != 0]

    run_fleet(tmp_path, 5, scenario)


def test_a_link_cut_in_one_direction_causes_no_false_death(tmp_path: Path) -> None:
    """Indirect probes through the other nodes still succeed."""

    async def scenario(fleet: Fleet) -> None:
        heal = fleet.cut((1, 2))
        before = fleet.links.lost
        await fleet.wait_until(lambda: fleet.links.lost >= before + 12, "too few datagrams on the link")
        heal()
        await fleet.wait_joined()
        assert not fleet.dead_verdicts()

    run_fleet(tmp_path, 5, scenario, period=SLOW_PERIOD)


def test_partitions_hold_each_other_dead_and_agree_once_healed(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        first, second = (0, 1, 2), (3, 4, 5, 6)
        pairs = [pair for pair in fleet.all_pairs() if (pair[0] in first) != (pair[1] in first)]
        heal = fleet.cut(*pairs, blame=tuple(range(7)))
        await fleet.wait_for_state(second, "dead", by=first)
        await fleet.wait_for_state(first, "dead", by=second)
        await fleet.kill(6)  # the first partition must learn of it after the heal
        await fleet.wait_for_state((6,), "dead", by=(3, 4, 5))
        heal()
        await fleet.wait_for_state((0, 1, 2, 3, 4, 5), "alive", by=(0, 1, 2, 3, 4, 5))
        await fleet.wait_for_state((6,), "dead")
        await fleet.wait_agreed()

    run_fleet(tmp_path, 7, scenario)


def test_wall_clocks_hours_apart_and_one_set_back_by_a_day_are_tolerated(tmp_path: Path) -> None:
    async def test() -> None:
        async with Fleet(tmp_path, 5, period=SLOW_PERIOD) as fleet:
            fleet.programs |= {
                1: SHIFTED_CLOCK_PROGRAM.format(hours=-5),
                2: SHIFTED_CLOCK_PROGRAM.format(hours=7),
                3: SHIFTED_CLOCK_PROGRAM.format(hours=0),
            }
            await fleet.start()
            await fleet.wait_joined()
            before = fleet.run_record().processes
            await fleet.kill(3)
            await fleet.wait_for_state((3,), "dead")
            fleet.programs[3] = SHIFTED_CLOCK_PROGRAM.format(hours=-24)
            await fleet.start(3)
            await fleet.wait_joined()
            generations = [process.latest_changes()[3].rank[0] for process in before if process.node == 3]
            assert fleet.run_record().processes[-2].node == 3
            assert fleet.run_record().processes[-2].latest_changes()[3].rank[0] > max(generations)
            assert {verdict.member for _, verdict in fleet.dead_verdicts()} == {3}
            assert fleet.findings(LOOSE_BOUNDS) == []

    run_for(test(), 180.0)


def test_nodes_restarted_simultaneously_rejoin(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.kill(*range(fleet.count))
        await fleet.start()
        await fleet.wait_joined()

    run_fleet(tmp_path, 5, scenario)


def test_lost_late_duplicate_corrupt_and_truncated_datagrams_cause_no_false_death(tmp_path: Path) -> None:
    fault = Fault(loss=0.2, delay=(0.0, 0.1), duplicate=0.2, reorder=0.2, garble=0.05, truncate=0.05)

    async def scenario(fleet: Fleet) -> None:
        pairs = fleet.all_pairs()
        fleet.links.begin(pairs, fault)
        before = fleet.links.carried
        await fleet.wait_until(lambda: fleet.links.carried >= before + 600, "too few datagrams carried")
        fleet.links.end(pairs, fault)
        await fleet.wait_joined()
        assert any("wrong_seal" in line for lines in fleet.log_lines.values() for line in lines)
        assert not fleet.dead_verdicts()

    run_fleet(tmp_path, 5, scenario, period=SLOW_PERIOD)


def test_nodes_stalled_at_once_recover_and_cause_no_false_death(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.stop(0, 4)
        await fleet.wait_for_state((0, 4), "dead")
        fleet.resume(0, 4)
        await fleet.wait_joined()
        stalled = [process for process in fleet.run_record().processes if process.node in (0, 4)]
        # A stalled node may detect the other, which was stalled as well.
        assert not [held for process in stalled for held in process.view_changes if held.state == "dead"
                    and held.member not in (0, 4)]  # fmt: skip

    run_fleet(tmp_path, 7, scenario)


def test_a_persisted_member_list_survives_a_restart_of_all_nodes(tmp_path: Path) -> None:
    saved = tmp_path / "saved"
    saved.mkdir()

    async def scenario(fleet: Fleet) -> None:
        generations = {
            process.node: process.latest_changes()[process.node].rank[0]
            for process in fleet.run_record().processes
        }
        for number in range(fleet.count):
            fleet.process(number).send_signal(signal.SIGTERM)
        await asyncio.gather(*(fleet.process(number).wait() for number in range(fleet.count)))
        assert sorted(path.name for path in saved.iterdir()) == ["n0.members", "n1.members", "n2.members"]
        await fleet.start()
        await fleet.wait_joined()
        for process in fleet.run_record().processes[1::2]:
            assert process.latest_changes()[process.node].rank[0] > generations[process.node]

    run_fleet(tmp_path, 3, scenario, f'folder = "{saved}"')
