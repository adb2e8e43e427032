"""The model of the whole fleet against queueing theory, and what must hold of any run."""

from __future__ import annotations

from math import factorial
from typing import Any

import pytest

from driftstair.model.baselines import POLICIES, AtRandom
from driftstair.model.clock import Clock
from driftstair.model.world import ModelError, World
from driftstair.rehearsal.load import load, parse, tables_from_paths
from lichenspring import interface as api

# One class without keys, boxes of one kind and of speed 1 that never jam, nothing on the way.
BARE: dict[str, Any] = {
    "version": 1, "seconds": 600, "load": {"keys": 100000, "key_skew": 0},
    "class": [{"name": "only", "share": 1, "work_ms": 100, "waits_ms": 0, "wanted_ms": 60000,
               "given_up_ms": 60000}],
    "nodes": {"count": 2}, "clients": {"retries": 0}, "network": {"client_ms": 0, "inside_ms": 0},
}  # fmt: skip


def bare(rate: float, count: int, cores: int, **changes: Any) -> Any:
    kind = {
        "name": "one", "share": 1, "cores": cores, "speed": 1.0, "slots_per_core": 1000, "thrash": 0,
        "connections_per_core": 1000, "connection_tax": 0, "handshake_us": 0, "error_share": 0, "key_gain": 0,
    }  # fmt: skip
    boxes = {"count": count, "kind": [kind]}
    return parse({**BARE, "load": {**BARE["load"], "rate": rate}, "boxes": boxes, **changes}, "bare")


def erlang_c(servers: int, offered: float) -> float:
    """The part that waits in M/M/c (Erlang, 1917); `offered` in servers."""
    last = offered**servers / factorial(servers) * servers / (servers - offered)
    return last / (sum(offered**n / factorial(n) for n in range(servers)) + last)


@pytest.mark.parametrize(("cores", "load_part"), [(1, 0.5), (1, 0.7), (4, 0.7)])
def test_mean_response_times_are_those_of_queueing_theory(cores: int, load_part: float) -> None:
    """Processor sharing is insensitive to how work is spread (Kelly, Reversibility and Stochastic Networks):
    the mean is that of M/M/c, whatever the work."""
    boxes = 4
    rate = boxes * cores * load_part / 0.1
    world = World(bare(rate, boxes, cores, seconds=400), AtRandom)
    outcome = world.play()
    took = world.account.whole.latencies
    wanted = 0.1 * (1 + erlang_c(cores, cores * load_part) / (cores * (1 - load_part)))
    assert len(took) == outcome.account.whole.asked
    assert sum(took) / len(took) / 1e9 == pytest.approx(wanted, rel=0.05)


def test_two_choices_shorten_the_longest_queue() -> None:
    """Mitzenmacher (2001): exponentially better than one choice, where a node sees all the load."""
    longest = {}
    for name in ("random", "two-choices"):
        world = World(bare(720, 100, 1, seconds=25, nodes={"count": 1}), POLICIES[name])
        longest[name] = max(second.held_most for second in world.play().seconds[10:])
    assert longest["two-choices"] * 2 < longest["random"]


@pytest.mark.parametrize("policy", POLICIES)
def test_every_first_try_has_one_end(policy: str) -> None:
    tree = tables_from_paths(
        {"nodes.count": 24, "boxes.count": 16, "load.rate": 260, "seconds": 16, "seed": 5}
    )
    world = World(load("whole-fleet", tree), POLICIES[policy])
    outcome = world.play()
    whole = world.account.whole
    assert whole.asked == world.clients.first == whole.served + sum(whole.lost.values())
    assert not world.clients.open
    assert outcome.tries >= whole.asked
    for box in world.boxes.values():
        assert box.open >= 0
    for node in world.nodes.values():
        assert not node.open
        assert node.sockets == sum(len(idle) for idle in node._idle.values())
    held = sum(node.sockets for node in world.nodes.values())
    assert held == sum(box.open for box in world.boxes.values())


def test_runs_of_one_seed_are_alike_and_share_arrivals_over_policies() -> None:
    tree = tables_from_paths({"nodes.count": 8, "boxes.count": 8, "load.rate": 130, "seconds": 12})
    first, again = (World(load("whole-fleet", tree)).play().row() for _ in range(2))
    other = World(load("whole-fleet", tree), POLICIES["random"]).play().row()
    assert first == again
    assert other != first
    assert other["asked"] == first["asked"]


def test_nodes_killed_lose_what_they_hold_and_come_back() -> None:
    tree = {
        **tables_from_paths({"nodes.count": 20, "boxes.count": 16, "load.rate": 240, "seconds": 16}),
        "fault": [{"kind": "node-dies", "at_s": 4, "for_s": 3, "nodes": 14}],
    }
    world = World(load("whole-fleet", tree))
    world.play()
    assert all(node.generation == 3 - 2 * (node.generation == 1) for node in world.nodes.values())
    assert sum(node.generation == 3 for node in world.nodes.values()) == 14
    assert world.account.whole.asked == world.clients.first


def test_replaced_and_dead_boxes_leave_no_connection_behind() -> None:
    tree = {
        **tables_from_paths({"nodes.count": 20, "boxes.count": 16, "load.rate": 200, "seconds": 20}),
        "fault": [
            {"kind": "replace", "at_s": 2, "for_s": 4, "part": 0.5},
            {"kind": "box-dies", "at_s": 8, "for_s": 4, "boxes": 3},
            {"kind": "box-vanishes", "at_s": 8, "for_s": 4, "boxes": 2},
        ],
    }
    world = World(load("whole-fleet", tree))
    outcome = world.play()
    assert len(world.boxes) == 16
    assert not outcome.fallen
    held = sum(node.sockets for node in world.nodes.values())
    assert held == sum(box.open for box in world.boxes.values() if box.running)


def test_what_the_model_does_not_hold_is_refused_by_name() -> None:
    with pytest.raises(ModelError, match=r"fault\[0\]\.kind: silent-crowd is not held"):
        World(load("silent-crowd"))


def test_a_module_that_sends_to_a_server_that_is_gone_is_told_so() -> None:
    class Lost(AtRandom):
        def pick(self, now: int, request: api.Request) -> api.ServerId:
            return b"nowhere!"

    tree = tables_from_paths({"nodes.count": 2, "boxes.count": 4, "load.rate": 20, "seconds": 11})
    world = World(load("whole-fleet", tree), Lost)
    assert world.play().row()["service"] == 0
    assert world.account.whole.lost["refused"] == world.account.whole.asked


def test_a_clock_keeps_the_order_of_times_and_then_of_asking() -> None:
    clock, seen = Clock(), []
    for when, what in ((5, "b"), (3, "a"), (5, "c"), (9, "later")):
        clock.at(when, seen.append, what)
    clock.at(5, lambda: clock.at(1, seen.append, "past"))
    clock.run(8)
    assert seen == ["a", "b", "c", "past"]
    assert clock.now == 8


def test_a_fleet_in_trouble_is_served_once_each_node_keeps_to_its_part() -> None:
    """120 nodes before 66 boxes, of which a tenth are slow. Where each node goes to all of them: 0.51
    handshakes for each first try, 86 connections a box and 6 jams; 0.23, 40 and none with parts."""
    tree = tables_from_paths(
        {"nodes.count": 120, "boxes.count": 66, "load.rate": 960, "seconds": 12, "seed": 3}
    )
    outcome = World(load("whole-fleet", tree)).play()
    assert outcome.row()["handshakes"] < 0.35
    assert max(second.connections for second in outcome.seconds) < 66 * 60
    assert outcome.jams < 4
