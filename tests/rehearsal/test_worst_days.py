"""Small versions of the worst scenarios: each loses as much service as before when the mechanism that
protects against it is disabled."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from stage import Run, small_scenario

from driftstair.admission.connection_table import ConnectionTable
from driftstair.net.frontend import Frontend
from driftstair.rehearsal import wire
from driftstair.rehearsal.load import load
from lichenspring import breaker
from lichenspring.breaker import Window

NODES = {"count": 2, "descriptors": 200}
HELD_CONNECTIONS = small_scenario(
    load={"rate": 160.0, "keys": 100}, nodes=NODES, clients={"hold_share": 0.7}, seconds=8.0
)
BROKEN_CONNECTIONS = small_scenario(
    {"kind": "broken-connections", "part": 1.0, "reset": 0.06, "swallowed": 0.15, "at_s": 1.0, "for_s": 9.0},
    load={"rate": 140.0, "keys": 100}, seconds=10.0,
)  # fmt: skip


def disable_idle_policy(monkeypatch: pytest.MonkeyPatch) -> None:
    """Disables the policy on idle connections: they stay for 2.5 s, whoever waits."""
    monkeypatch.setattr(ConnectionTable, "should_keep", lambda self, connection, now: True)
    monkeypatch.setattr(ConnectionTable, "take_surplus_idle", lambda self, now: [])
    original_init = Frontend.__init__

    def init_with_fixed_idle_time(self: Frontend, node: Any, config: Any, limits: Any, system: Any) -> None:
        original_init(self, node, config, type(limits)(limits.connections_max, idle_s_max=2.5), system)

    monkeypatch.setattr(Frontend, "__init__", init_with_fixed_idle_time)


def disable_timeout_explanations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes each time-out count as a slow answer, proves a cap at half its load, and lets a cap rise no
    faster than it falls."""
    monkeypatch.setattr(breaker, "count_explained_timeouts", lambda answered, timed_out: len(timed_out))
    monkeypatch.setattr(breaker, "PROVEN_LOAD_FRACTION", 0.5)
    monkeypatch.setattr(breaker, "RETAINED_WEIGHT_FALLING", breaker.RETAINED_WEIGHT)


@pytest.mark.parametrize(
    ("tree", "disable", "min_loss"),
    [(HELD_CONNECTIONS, disable_idle_policy, 0.1), (BROKEN_CONNECTIONS, disable_timeout_explanations, 0.03)],
    ids=["clients that hold connections", "answers that never come"],
)
def test_service_is_lost_without_the_mechanism(
    tree: dict[str, Any],
    disable: Callable[[pytest.MonkeyPatch], None],
    min_loss: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with_mechanism = Run(tree)
    assert with_mechanism.passed()
    disable(monkeypatch)
    without_mechanism = Run(tree)
    assert without_mechanism.passed()
    assert with_mechanism.service - without_mechanism.service > min_loss


def test_silent_connections_take_no_capacity_from_clients() -> None:
    calm = Run(small_scenario(nodes=NODES))
    crowd = {"kind": "silent-crowd", "at_s": 1.0, "for_s": 4.0}
    for begin in (False, True):
        run = Run(small_scenario(crowd | {"per_s": 300, "begin": begin}, nodes=NODES))
        assert run.passed() and run.service > calm.service - 0.02


def test_broken_connections_lose_answers_but_no_requests() -> None:
    fault = {"kind": "broken-connections", "part": 1.0, "reset": 0.3, "swallowed": 0.2}
    run = Run(small_scenario(fault))
    assert run.passed()
    ran_count = len(run.observations(wire.AttemptServed, 2.0, 4.0))
    assert ran_count > 50 and run.service < 1.0


@pytest.mark.parametrize(
    "name", ["holding-clients", "silent-crowd", "resets-under-stale-list", "restart-under-crowd"]
)
def test_the_scenarios_of_this_file_are_shipped(name: str) -> None:
    assert load(name).name == name and load(name).nodes.descriptors <= 384


# Estimates of a window's tail.

FAST_LATENCIES_NS = [(100 + 3 * index) * 1e6 for index in range(60)]  # 100 to 277 ms
SLOW_LATENCIES_NS = [(250 + 10 * index) * 1e6 for index in range(60)]  # 250 to 840 ms


@pytest.mark.parametrize(
    ("answered", "timed_out", "exceeds_limit"),
    [
        (FAST_LATENCIES_NS, [600e6] * 10, False),  # a separate mode: answers lost to broken connections
        (FAST_LATENCIES_NS, [], False),
        (SLOW_LATENCIES_NS, [900e6] * 10, True),  # time-outs continue the distribution of the answers
        (SLOW_LATENCIES_NS, [], True),
        (
            FAST_LATENCIES_NS[:10],
            [600e6] * 8,
            True,
        ),  # the few answers are the fast part of a slow distribution
        ([], [600e6] * 3, True),
        (FAST_LATENCIES_NS[:3], [600e6] * 3, True),  # three samples are too few for an explanation
        ([0.0] * 20, [600e6] * 2, False),  # answers within one tick
    ],
)
def test_timeouts_count_only_as_far_as_answers_explain_them(
    answered: list[float], timed_out: list[float], exceeds_limit: bool
) -> None:
    _, tail = breaker.estimate_tail(Window([*answered], [*timed_out]))
    assert (tail > 420e6) is exceeds_limit


def test_slower_boxes_lower_the_cap_within_seconds() -> None:
    circuit_breaker = breaker.Breaker(aim=600_000_000)
    for _ in range(20):
        circuit_breaker.window.answered += FAST_LATENCIES_NS
        circuit_breaker.update(50.0, 60.0, False)
    before = circuit_breaker.threshold(60.0)
    caps = []
    for _ in range(12):  # six seconds
        circuit_breaker.window.answered += [4 * latency for latency in FAST_LATENCIES_NS]
        circuit_breaker.update(50.0, 60.0, False)
        caps.append(circuit_breaker.threshold(60.0))
    assert caps[3] < 0.6 * before and caps[-1] <= caps[3]


def test_a_false_cut_is_bounded_and_recovers_within_seconds() -> None:
    circuit_breaker = breaker.Breaker(aim=600_000_000)
    for _ in range(20):
        circuit_breaker.window.answered += FAST_LATENCIES_NS
        circuit_breaker.update(50.0, 60.0, False)
    circuit_breaker.window.answered += [6 * latency for latency in FAST_LATENCIES_NS]
    circuit_breaker.update(50.0, 60.0, False)
    assert circuit_breaker.threshold(60.0) >= 0.7 * 50
    for _ in range(6):
        circuit_breaker.window.answered += FAST_LATENCIES_NS
        circuit_breaker.update(40.0, 60.0, False)
    assert circuit_breaker.threshold(60.0) > 60


def test_a_class_without_traffic_for_a_minute_keeps_its_cap() -> None:
    circuit_breaker = breaker.Breaker(aim=600_000_000)
    circuit_breaker.window.answered += FAST_LATENCIES_NS
    circuit_breaker.update(50.0, 60.0, False)
    before = circuit_breaker.threshold(60.0)
    for _ in range(120):
        circuit_breaker.update(0.0, 60.0, False)
    assert circuit_breaker.threshold(60.0) == before
