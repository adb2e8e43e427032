"""The worst days in small: each loses what it lost before its mend, once that is taken out again."""

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
HOLDING = small_scenario(
    load={"rate": 160.0, "keys": 100}, nodes=NODES, clients={"hold_share": 0.7}, seconds=8.0
)
BROKEN = small_scenario(
    {"kind": "broken-connections", "part": 1.0, "reset": 0.06, "swallowed": 0.15, "at_s": 1.0, "for_s": 9.0},
    load={"rate": 140.0, "keys": 100}, seconds=10.0,
)  # fmt: skip


def without_the_policy(monkeypatch: pytest.MonkeyPatch) -> None:
    """Idle connections stay for 2.5 s, whoever waits."""
    monkeypatch.setattr(ConnectionTable, "should_keep", lambda self, connection, now: True)
    monkeypatch.setattr(ConnectionTable, "take_surplus_idle", lambda self, now: [])
    plain = Frontend.__init__

    def init(self: Frontend, node: Any, config: Any, limits: Any, system: Any) -> None:
        plain(self, node, config, type(limits)(limits.connections_max, idle_s_max=2.5), system)

    monkeypatch.setattr(Frontend, "__init__", init)


def without_explanations(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each time-out is a slow answer, the proof is a half, and a cap rises no faster than it falls."""
    monkeypatch.setattr(breaker, "count_explained_timeouts", lambda answered, timed_out: len(timed_out))
    monkeypatch.setattr(breaker, "PROVEN_LOAD_FRACTION", 0.5)
    monkeypatch.setattr(breaker, "RETAINED_WEIGHT_FALLING", breaker.RETAINED_WEIGHT)


@pytest.mark.parametrize(
    ("tree", "without", "lost"),
    [(HOLDING, without_the_policy, 0.1), (BROKEN, without_explanations, 0.03)],
    ids=["clients that hold connections", "answers that never come"],
)
def test_what_was_lost_before_its_mend(
    tree: dict[str, Any],
    without: Callable[[pytest.MonkeyPatch], None],
    lost: float,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    mended = Run(tree)
    assert mended.passed()
    without(monkeypatch)
    before = Run(tree)
    assert before.passed()
    assert mended.service - before.service > lost


def test_a_silent_crowd_takes_no_place_from_those_that_ask() -> None:
    calm = Run(small_scenario(nodes=NODES))
    crowd = {"kind": "silent-crowd", "at_s": 1.0, "for_s": 4.0}
    for begin in (False, True):
        run = Run(small_scenario(crowd | {"per_s": 300, "begin": begin}, nodes=NODES))
        assert run.passed() and run.service > calm.service - 0.02


def test_broken_connections_lose_answers_and_no_request() -> None:
    fault = {"kind": "broken-connections", "part": 1.0, "reset": 0.3, "swallowed": 0.2}
    run = Run(small_scenario(fault))
    assert run.passed()
    ran = len(run.observations(wire.AttemptServed, 2.0, 4.0))
    assert ran > 50 and run.service < 1.0


@pytest.mark.parametrize(
    "name", ["holding-clients", "silent-crowd", "resets-under-stale-list", "restart-under-crowd"]
)
def test_the_scenarios_are_shipped(name: str) -> None:
    assert load(name).name == name and load(name).nodes.descriptors <= 384


# The tail of a window.

FAST = [(100 + 3 * index) * 1e6 for index in range(60)]  # 100 to 277 ms
SLOW = [(250 + 10 * index) * 1e6 for index in range(60)]  # 250 to 840 ms


@pytest.mark.parametrize(
    ("answered", "timed_out", "crowded"),
    [
        (FAST, [600e6] * 10, False),  # a mode of its own: swallowed by broken connections
        (FAST, [], False),
        (SLOW, [900e6] * 10, True),  # the answers' own continuation
        (SLOW, [], True),
        (FAST[:10], [600e6] * 8, True),  # the answers are the lucky few
        ([], [600e6] * 3, True),
        (FAST[:3], [600e6] * 3, True),  # three samples explain nothing
        ([0.0] * 20, [600e6] * 2, False),  # answers within one tick
    ],
)
def test_time_outs_count_as_far_as_the_answers_explain_them(
    answered: list[float], timed_out: list[float], crowded: bool
) -> None:
    _, tail = breaker.estimate_tail(Window([*answered], [*timed_out]))
    assert (tail > 420e6) is crowded


def test_every_box_twice_as_slow_lowers_the_cap_within_seconds() -> None:
    one = breaker.Breaker(aim=600_000_000)
    for _ in range(20):
        one.window.answered += FAST
        one.update(50.0, 60.0, False)
    before = one.threshold(60.0)
    caps = []
    for _ in range(12):  # six seconds
        one.window.answered += [4 * took for took in FAST]
        one.update(50.0, 60.0, False)
        caps.append(one.threshold(60.0))
    assert caps[3] < 0.6 * before and caps[-1] <= caps[3]


def test_a_false_cut_is_bounded_and_over_within_seconds() -> None:
    one = breaker.Breaker(aim=600_000_000)
    for _ in range(20):
        one.window.answered += FAST
        one.update(50.0, 60.0, False)
    one.window.answered += [6 * took for took in FAST]
    one.update(50.0, 60.0, False)
    assert one.threshold(60.0) >= 0.7 * 50
    for _ in range(6):
        one.window.answered += FAST
        one.update(40.0, 60.0, False)
    assert one.threshold(60.0) > 60


def test_a_class_that_stops_for_a_minute_keeps_its_cap() -> None:
    one = breaker.Breaker(aim=600_000_000)
    one.window.answered += FAST
    one.update(50.0, 60.0, False)
    before = one.threshold(60.0)
    for _ in range(120):
        one.update(0.0, 60.0, False)
    assert one.threshold(60.0) == before
