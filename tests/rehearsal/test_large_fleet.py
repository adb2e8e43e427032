"""A large fleet in small: many nodes that see little of any box, in the faults that the scenarios
`mass-kill`, `lost-zone` and `large-fleet` play at full size. The rules hold, and what can serve does."""

from __future__ import annotations

from collections import Counter
from math import sqrt
from typing import Any

import pytest
from stage import Run, small

from driftstair.rehearsal import wire
from driftstair.rehearsal.cold import ColdBudget, ColdRule
from driftstair.rehearsal.rules import NS_PER_MS

NODES = {"count": 12, "descriptors": 200}
BOXES = {"count": 12, "grace_s": 2.0}
LOAD = {"rate": 180.0, "keys": 200}
OVERBOOKED = {"lines_per_s": 60.0, "notice_s": 0.3, "silent_notice_s": 3.0, "ask_within_s": 2.0}
"""A whole list is 12 lines and a call costs 40: little more than one call a second for all nodes together."""


def fleet(*faults: dict[str, Any], **tables: Any) -> dict[str, Any]:
    return small(*faults, **{"nodes": NODES, "boxes": BOXES, "load": LOAD, "seconds": 8.0} | tables)


def service_between(run: Run, begin: float, end: float) -> float:
    """Of the requests that nodes gave an answer to."""
    told = Counter(one.status == 200 for one in run.seen(wire.Answered, begin, end))
    return told[True] / max(1, sum(told.values()))


@pytest.mark.parametrize("killed", [10, 11])
def test_most_nodes_killed_at_once_before_an_overbooked_list(killed: int) -> None:
    """They serve from the list that they last held: one that waited for a call would idle for seconds."""
    run = Run(fleet({"kind": "node-dies", "nodes": killed, "for_s": 1.0}, list=OVERBOOKED))
    assert run.kept()
    calls = Counter(one.node for one in run.seen(wire.Contact, 3.0, 4.0) if not one.standing)
    assert calls and max(calls.values()) == 1  # none calls twice in the first second
    assert service_between(run, 3.2, 8.0) > 0.9


def test_a_lost_zone_comes_back_cold_with_bad_boxes_beside_it() -> None:
    run = Run(
        fleet(
            {"kind": "box-dies", "part": 0.33},
            {"kind": "box-errors", "part": 0.1, "share": 0.7, "at_s": 3.0, "for_s": 4.0},
            seconds=10.0,
        )
    )
    assert run.kept()
    assert service_between(run, 6.0, 10.0) > 0.9


@pytest.mark.parametrize("same_address", [False, True])
def test_three_in_five_boxes_replaced_within_seconds(same_address: bool) -> None:
    run = Run(
        fleet({"kind": "replace", "part": 0.6, "same_address": same_address, "for_s": 2.0}, seconds=12.0)
    )
    assert run.kept()
    assert service_between(run, 0.5, 12.0) > 0.8


def test_a_list_ten_seconds_old_is_the_only_source() -> None:
    """Boxes on it have gone and others run that it does not name: what is left of it is used."""
    run = Run(
        fleet(
            {"kind": "list-outage", "at_s": 0.5, "for_s": 11.0},
            {"kind": "replace", "boxes": 3, "at_s": 1.0, "for_s": 1.0},
            {"kind": "node-dies", "nodes": 8, "at_s": 5.0, "for_s": 1.0},
            seconds=11.0,
        )
    )
    assert run.kept()
    assert service_between(run, 6.5, 11.0) > 0.9


def test_boxes_that_take_fewer_connections_than_there_are_nodes() -> None:
    """How many a box takes is told nowhere, and nearly all requests go to the same few. With nodes that kept
    theirs to a box that turned them away for it, each was over its number for good, and 0.48 was served."""
    kind = {"name": "narrow", "share": 1.0, "connections_per_core": 4.0}
    run = Run(fleet(boxes=BOXES | {"kind": [kind]}, load=LOAD | {"keys": 3}, nodes=NODES | {"count": 24}))
    assert run.kept() and run.service > 0.9


def test_a_fleet_of_two_by_the_same_constants() -> None:
    run = Run(fleet({"kind": "node-dies", "nodes": 1, "for_s": 1.0}, nodes=NODES | {"count": 2}))
    assert run.kept()
    assert run.seen(wire.Answered)[0].at - run.began < 2_000 * NS_PER_MS
    assert service_between(run, 3.5, 8.0) > 0.95


@pytest.mark.parametrize("nodes", [5, 20, 30])
def test_cold_boxes_bear_the_sum_of_what_all_nodes_send(nodes: int) -> None:
    """Half of the boxes start anew while traffic jumps and nodes restart: whole daemons, each with its part.
    Beyond the budget of N requests only 2 x root of N + 2 are put down to chance."""
    run = Run(
        fleet(
            {"kind": "replace", "part": 0.5, "at_s": 2.0, "for_s": 1.0},
            {"kind": "traffic-jump", "times": 2.0, "at_s": 4.0, "for_s": 3.0},
            {"kind": "node-restarts", "nodes": nodes // 3, "at_s": 3.0, "for_s": 1.0},
            nodes={"count": nodes, "descriptors": 200}, load={"rate": 120.0, "keys": 200},
            list={"lines_per_s": 4000.0, "notice_s": 0.3, "silent_notice_s": 3.0},
        )
    )  # fmt: skip
    assert run.kept()
    rule = ColdRule()
    sent = run.seen(wire.Sent)
    mean = sum(one.work for one in sent) / len(sent)
    cold = [one for one in run.seen(wire.BoxUp, 1.0) if one.cold_share < 1.0]
    assert len(cold) == 6
    for box in cold:
        budget = ColdBudget(rule, box.at, box.capacity, box.cold_share, box.cold_time)
        came = [one for one in sent if one.box == box.box and one.at >= box.at]
        assert came
        for one in came:
            budget.add_arrival(one.at, one.work, one.node)
            able = budget.warmth(one.at - rule.window_ns // 2) * box.capacity * rule.window_ns / 1e9
            allowed = rule.capacity_multiple * able / mean
            assert budget.work_in_window() / mean <= allowed + 2 * sqrt(allowed) + 2
