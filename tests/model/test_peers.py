"""Nodes of the model that tell one another: the tier's own cores, with links that lose and are cut."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from driftstair.model.world import ModelError, World
from driftstair.rehearsal.load import load, parse, tables_from_paths
from driftstair.tier.membership.members import State

TIER = {"judge": True}
SMALL: dict[str, Any] = {
    "version": 1, "seconds": 16, "load": {"rate": 120.0, "keys": 100}, "boxes": {"count": 8},
    "nodes": {"count": 6, "tier": TIER},
}  # fmt: skip
FAILS = {"kind": "box-errors", "at_s": 4.0, "for_s": 9.0, "boxes": ["s-03"], "share": 0.9}


def played(*faults: dict[str, Any], tier: dict[str, Any] | None = TIER, **tables: Any) -> World:
    nodes = {"count": 6} | ({} if tier is None else {"tier": tier})
    world = World(parse(SMALL | {"nodes": nodes} | tables | {"fault": list(faults)}, "small"))
    world.play()
    return world


def views(world: World) -> dict[int, set[int]]:
    """By node: those that it holds alive."""
    assert world.peers is not None
    return {
        number: {one.number for one in peer.core.members.values() if one.state is State.ALIVE}
        for number, peer in world.peers.living.items()
    }


def test_all_know_all_and_a_killed_node_is_missed_and_then_known_again() -> None:
    world = played()
    assert views(world) == {number: set(range(6)) - {number} for number in range(6)}
    world = played({"kind": "node-dies", "nodes": ["n2"], "at_s": 3.0, "for_s": 30.0})
    assert all(2 not in some for some in views(world).values()) and len(views(world)) == 5
    world = played({"kind": "node-dies", "nodes": ["n2"], "at_s": 3.0, "for_s": 5.0})
    assert views(world) == {number: set(range(6)) - {number} for number in range(6)}


def test_links_that_are_cut_keep_halves_apart() -> None:
    cut = {
        "kind": "links", "cut": True, "both_ways": True, "at_s": 1.0, "for_s": 40.0,
        "senders": ["n0", "n1", "n2"], "receivers": ["n3", "n4", "n5"],
    }  # fmt: skip
    assert views(played(cut, seconds=24)) == {
        number: ({0, 1, 2} if number < 3 else {3, 4, 5}) - {number} for number in range(6)
    }


def test_shared_judgements_spare_tries_at_a_failing_server_and_cost_bytes() -> None:
    alone, together = (played(FAILS, tier={"judge": judge}) for judge in (False, True))
    assert 0 < together.outcome.bad_tries < 0.8 * alone.outcome.bad_tries
    assert together.outcome.peer_bytes_s > alone.outcome.peer_bytes_s > 50


def test_runs_with_peers_are_alike_and_share_their_arrivals_with_runs_without() -> None:
    first, second, none = played(FAILS), played(FAILS), played(FAILS, tier=None)
    assert first.outcome.row() == second.outcome.row()
    assert first.outcome.row()["asked"] == none.outcome.row()["asked"]
    assert none.peers is None and none.outcome.peer_bytes_s == 0.0


def test_shipped_scenarios_of_judgements_are_played_by_both() -> None:
    world = World(load("shared-bad-eighth", tables_from_paths({"seconds": 45.0, "load.rate": 80.0})))
    assert world.play().bad_tries > 0


@pytest.mark.parametrize(
    "tier", [{"admitted": {"per_s": 60}}, {"judge": True, "liars": ["n1"]}, {"clock_rates": {"n1": 0.9}}]
)
def test_what_the_model_does_not_hold_of_a_tier_is_refused(tier: dict[str, Any]) -> None:
    with pytest.raises(ModelError, match=r"nodes\.tier: budgets, liars and clocks are not held"):
        played(tier=tier)


def test_without_a_tier_nothing_of_it_is_loaded() -> None:
    program = (
        "import sys\n"
        "from driftstair.model.world import World\n"
        "from driftstair.rehearsal.load import tables_from_paths, load\n"
        "World(load('calm', tables_from_paths({'seconds': 1.0}))).play()\n"
        "print([name for name in sys.modules if name.startswith('driftstair.model.peers')])\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", program], cwd=Path(__file__).parents[2], capture_output=True, text=True,
        check=True, timeout=60,
    )  # fmt: skip
    assert done.stdout == "[]\n"
