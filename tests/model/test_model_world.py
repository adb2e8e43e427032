"""The model of the whole fleet: agreement with queueing theory, and invariants of every run."""

from __future__ import annotations

from math import factorial
from typing import Any

import pytest

from driftstair.model.baselines import POLICIES, RandomChoice
from driftstair.model.clock import Clock
from driftstair.model.world import ModelError, World
from driftstair.rehearsal.load import load, parse, tables_from_paths
from lichenspring import interface as api

# One class without keys; boxes of one kind and of speed 1 that never jam; no network delay.
BASE_SCENARIO: dict[str, Any] = {
    "version": 1, "seconds": 600, "load": {"keys": 100000, "key_skew": 0},
    "class": [{"name": "only", "share": 1, "work_ms": 100, "waits_ms": 0, "wanted_ms": 60000,
               "given_up_ms": 60000}],
    "nodes": {"count": 2}, "clients": {"retries": 0}, "network": {"client_ms": 0, "inside_ms": 0},
}  # fmt: skip


def plain_scenario(rate: float, count: int, cores: int, **changes: Any) -> Any:
    kind = {
        "name": "one", "share": 1, "cores": cores, "speed": 1.0, "slots_per_core": 1000, "thrash": 0,
        "connections_per_core": 1000, "connection_tax": 0, "handshake_us": 0, "error_share": 0, "key_gain": 0,
    }  # fmt: skip
    boxes = {"count": count, "kind": [kind]}
    return parse(
        {**BASE_SCENARIO, "load": {**BASE_SCENARIO["load"], "rate": rate}, "boxes": boxes, **changes},
        "bare",
    )


def erlang_c(servers: int, offered_load: float) -> float:
    """Returns the probability of waiting in M/M/c (Erlang, 1917); `offered_load` is in servers."""
    waiting_term = offered_load**servers / factorial(servers) * servers / (servers - offered_load)
    return waiting_term / (
        sum(offered_load**count / factorial(count) for count in range(servers)) + waiting_term
    )


@pytest.mark.parametrize(("cores", "utilization"), [(1, 0.5), (1, 0.7), (4, 0.7)])
def test_mean_response_times_match_queueing_theory(cores: int, utilization: float) -> None:
    """Under processor sharing the mean response time does not depend on the distribution of the work (Kelly,
    Reversibility and Stochastic Networks): it is that of M/M/c."""
    boxes = 4
    rate = boxes * cores * utilization / 0.1
    world = World(plain_scenario(rate, boxes, cores, seconds=400), RandomChoice)
    outcome = world.run()
    latencies_ns = world.account.total.latencies
    expected_s = 0.1 * (1 + erlang_c(cores, cores * utilization) / (cores * (1 - utilization)))
    assert len(latencies_ns) == outcome.account.total.requests
    assert sum(latencies_ns) / len(latencies_ns) / 1e9 == pytest.approx(expected_s, rel=0.05)


def test_two_choices_shorten_the_longest_queue() -> None:
    """Two choices are exponentially better than one if a node sees all the load (Mitzenmacher, 2001)."""
    longest = {}
    for name in ("random", "two-choices"):
        world = World(plain_scenario(720, 100, 1, seconds=25, nodes={"count": 1}), POLICIES[name])
        longest[name] = max(sample.held_most for sample in world.run().seconds[10:])
    assert longest["two-choices"] * 2 < longest["random"]


@pytest.mark.parametrize("policy", POLICIES)
def test_every_first_try_is_accounted_for_once(policy: str) -> None:
    scenario = tables_from_paths(
        {"nodes.count": 24, "boxes.count": 16, "load.rate": 260, "seconds": 16, "seed": 5}
    )
    world = World(load("whole-fleet", scenario), POLICIES[policy])
    outcome = world.run()
    whole = world.account.total
    assert whole.requests == world.clients.first_tries == whole.served + sum(whole.lost.values())
    assert not world.clients.open_requests
    assert outcome.tries >= whole.requests
    for box in world.boxes.values():
        assert box.open_connections >= 0
    for node in world.nodes.values():
        assert not node.open_requests
        assert node.sockets == sum(len(idle) for idle in node._idle_connections.values())
    sockets = sum(node.sockets for node in world.nodes.values())
    assert sockets == sum(box.open_connections for box in world.boxes.values())


def test_runs_are_deterministic_and_arrivals_do_not_depend_on_the_policy() -> None:
    scenario = tables_from_paths({"nodes.count": 8, "boxes.count": 8, "load.rate": 130, "seconds": 12})
    first, second = (World(load("whole-fleet", scenario)).run().row() for _ in range(2))
    baseline = World(load("whole-fleet", scenario), POLICIES["random"]).run().row()
    assert first == second
    assert baseline != first
    assert baseline["asked"] == first["asked"]


def test_killed_nodes_restart_and_every_request_is_still_accounted_for() -> None:
    scenario = {
        **tables_from_paths({"nodes.count": 20, "boxes.count": 16, "load.rate": 240, "seconds": 16}),
        "fault": [{"kind": "node-dies", "at_s": 4, "for_s": 3, "nodes": 14}],
    }
    world = World(load("whole-fleet", scenario))
    world.run()
    assert all(node.generation == 3 - 2 * (node.generation == 1) for node in world.nodes.values())
    assert sum(node.generation == 3 for node in world.nodes.values()) == 14
    assert world.account.total.requests == world.clients.first_tries


def test_replaced_and_crashed_boxes_leak_no_connections() -> None:
    scenario = {
        **tables_from_paths({"nodes.count": 20, "boxes.count": 16, "load.rate": 200, "seconds": 20}),
        "fault": [
            {"kind": "replace", "at_s": 2, "for_s": 4, "part": 0.5},
            {"kind": "box-dies", "at_s": 8, "for_s": 4, "boxes": 3},
            {"kind": "box-vanishes", "at_s": 8, "for_s": 4, "boxes": 2},
        ],
    }
    world = World(load("whole-fleet", scenario))
    outcome = world.run()
    assert len(world.boxes) == 16
    assert not outcome.fallen
    sockets = sum(node.sockets for node in world.nodes.values())
    assert sockets == sum(box.open_connections for box in world.boxes.values() if box.running)


def test_an_unsupported_fault_is_rejected_by_name() -> None:
    with pytest.raises(ModelError, match=r"fault\[0\]\.kind: silent-crowd is not held"):
        World(load("silent-crowd"))


def test_an_attempt_at_an_unknown_server_is_reported_as_not_sent() -> None:
    class UnknownServerPolicy(RandomChoice):
        def pick(self, now: int, request: api.Request) -> api.ServerId:
            return b"nowhere!"

    scenario = tables_from_paths({"nodes.count": 2, "boxes.count": 4, "load.rate": 20, "seconds": 11})
    world = World(load("whole-fleet", scenario), UnknownServerPolicy)
    assert world.run().row()["service"] == 0
    assert world.account.total.lost["refused"] == world.account.total.requests


def test_the_clock_orders_calls_by_time_and_then_by_scheduling() -> None:
    clock, calls = Clock(), []
    for time_ns, name in ((5, "b"), (3, "a"), (5, "c"), (9, "later")):
        clock.call_at(time_ns, calls.append, name)
    clock.call_at(5, lambda: clock.call_at(1, calls.append, "past"))
    clock.run(8)
    assert calls == ["a", "b", "c", "past"]
    assert clock.now == 8


def test_subsetting_limits_handshakes_connections_and_jams() -> None:
    """120 nodes in front of 66 boxes, a tenth of them slow. If each node uses all boxes, there are 0.51
    handshakes for each first try, 86 connections a box and 6 jams; with subsets 0.23, 40 and none."""
    scenario = tables_from_paths(
        {"nodes.count": 120, "boxes.count": 66, "load.rate": 960, "seconds": 12, "seed": 3}
    )
    outcome = World(load("whole-fleet", scenario)).run()
    assert outcome.row()["handshakes"] < 0.35
    assert max(sample.connections for sample in outcome.seconds) < 66 * 60
    assert outcome.jams < 4
