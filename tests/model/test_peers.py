"""The tier between modelled nodes: the shipped cores, over links with loss and cuts."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from driftstair.model.world import ModelError, World
from driftstair.rehearsal.load import load, parse, tables_from_paths
from driftstair.tier.membership.members import State

SHARING_TIER = {"judge": True}
SMALL_SCENARIO: dict[str, Any] = {
    "version": 1, "seconds": 16, "load": {"rate": 120.0, "keys": 100}, "boxes": {"count": 8},
    "nodes": {"count": 6, "tier": SHARING_TIER},
}  # fmt: skip
FAILING_BOX = {"kind": "box-errors", "at_s": 4.0, "for_s": 9.0, "boxes": ["s-03"], "share": 0.9}


def run_scenario(*faults: dict[str, Any], tier: dict[str, Any] | None = SHARING_TIER, **tables: Any) -> World:
    nodes = {"count": 6} | ({} if tier is None else {"tier": tier})
    world = World(parse(SMALL_SCENARIO | {"nodes": nodes} | tables | {"fault": list(faults)}, "small"))
    world.run()
    return world


def alive_views(world: World) -> dict[int, set[int]]:
    """Returns the members that each node holds alive."""
    assert world.peers is not None
    return {
        number: {member.number for member in peer.core.members.values() if member.state is State.ALIVE}
        for number, peer in world.peers.running_peers.items()
    }


def test_all_nodes_see_each_other_and_detect_a_crash_and_a_restart() -> None:
    world = run_scenario()
    assert alive_views(world) == {number: set(range(6)) - {number} for number in range(6)}
    world = run_scenario({"kind": "node-dies", "nodes": ["n2"], "at_s": 3.0, "for_s": 30.0})
    assert all(2 not in alive for alive in alive_views(world).values()) and len(alive_views(world)) == 5
    world = run_scenario({"kind": "node-dies", "nodes": ["n2"], "at_s": 3.0, "for_s": 5.0})
    assert alive_views(world) == {number: set(range(6)) - {number} for number in range(6)}


def test_cut_links_partition_the_tier() -> None:
    cut = {
        "kind": "links", "cut": True, "both_ways": True, "at_s": 1.0, "for_s": 40.0,
        "senders": ["n0", "n1", "n2"], "receivers": ["n3", "n4", "n5"],
    }  # fmt: skip
    assert alive_views(run_scenario(cut, seconds=24)) == {
        number: ({0, 1, 2} if number < 3 else {3, 4, 5}) - {number} for number in range(6)
    }


def test_sharing_evidence_reduces_attempts_at_a_failing_server_and_costs_bytes() -> None:
    separate, sharing = (run_scenario(FAILING_BOX, tier={"judge": judge}) for judge in (False, True))
    assert 0 < sharing.outcome.bad_tries < 0.8 * separate.outcome.bad_tries
    assert sharing.outcome.peer_bytes_s > separate.outcome.peer_bytes_s > 50


def test_runs_with_a_tier_are_deterministic_and_keep_the_arrivals_of_runs_without() -> None:
    first, second, without_tier = (
        run_scenario(FAILING_BOX),
        run_scenario(FAILING_BOX),
        run_scenario(FAILING_BOX, tier=None),
    )
    assert first.outcome.row() == second.outcome.row()
    assert first.outcome.row()["asked"] == without_tier.outcome.row()["asked"]
    assert without_tier.peers is None and without_tier.outcome.peer_bytes_s == 0.0


def test_the_shipped_scenario_of_shared_evidence_runs_in_the_model() -> None:
    world = World(load("shared-bad-eighth", tables_from_paths({"seconds": 45.0, "load.rate": 80.0})))
    assert world.run().bad_tries > 0


@pytest.mark.parametrize(
    "tier", [{"admitted": {"per_s": 60}}, {"judge": True, "liars": ["n1"]}, {"clock_rates": {"n1": 0.9}}]
)
def test_unsupported_tier_settings_are_rejected(tier: dict[str, Any]) -> None:
    with pytest.raises(ModelError, match=r"nodes\.tier: budgets, liars and clocks are not held"):
        run_scenario(tier=tier)


def test_without_a_tier_its_code_is_not_imported() -> None:
    program = (
        "import sys\n"
        "from driftstair.model.world import World\n"
        "from driftstair.rehearsal.load import tables_from_paths, load\n"
        "World(load('calm', tables_from_paths({'seconds': 1.0}))).run()\n"
        "print([name for name in sys.modules if name.startswith('driftstair.model.peers')])\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], cwd=Path(__file__).parents[2], capture_output=True, text=True,
        check=True, timeout=60,
    )  # fmt: skip
    assert process.stdout == "[]\n"
