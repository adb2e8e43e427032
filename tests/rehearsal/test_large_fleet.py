"""A large fleet at reduced size: many nodes, each of which sends little to any box, under the faults of the
scenarios `mass-kill`, `lost-zone` and `large-fleet`. The rules hold, and the remaining capacity is used."""

from __future__ import annotations

from collections import Counter
from math import sqrt
from typing import Any

import pytest
from stage import Run, small_scenario

from driftstair.rehearsal import wire
from driftstair.rehearsal.cold import ColdBudget, ColdRule
from driftstair.rehearsal.rules import NS_PER_MS

NODES = {"count": 12, "descriptors": 200}
BOXES = {"count": 12, "grace_s": 2.0}
LOAD = {"rate": 180.0, "keys": 200}
OVERLOADED_LIST = {"lines_per_s": 60.0, "notice_s": 0.3, "silent_notice_s": 3.0, "ask_within_s": 2.0}
"""The whole list has 12 lines and a call costs 40: little more than one call per second for all nodes
together."""


def fleet_scenario(*faults: dict[str, Any], **tables: Any) -> dict[str, Any]:
    return small_scenario(*faults, **{"nodes": NODES, "boxes": BOXES, "load": LOAD, "seconds": 8.0} | tables)


def answered_share(run: Run, begin_s: float, end_s: float) -> float:
    """The share of requests answered with 200 among those that nodes answered."""
    answers = Counter(
        answer.status == 200 for answer in run.observations(wire.ResponseReceived, begin_s, end_s)
    )
    return answers[True] / max(1, sum(answers.values()))


@pytest.mark.parametrize("killed", [10, 11])
def test_most_nodes_killed_at_once_with_an_overloaded_list(killed: int) -> None:
    """The restarted nodes serve from their last list: a node that waited for a call would serve nothing for
    seconds."""
    run = Run(fleet_scenario({"kind": "node-dies", "nodes": killed, "for_s": 1.0}, list=OVERLOADED_LIST))
    assert run.passed()
    calls = Counter(
        contact.node for contact in run.observations(wire.ListContact, 3.0, 4.0) if not contact.watching
    )
    assert calls and max(calls.values()) == 1  # no node calls twice in the first second
    assert answered_share(run, 3.2, 8.0) > 0.9


def test_a_third_of_the_boxes_restarts_cold_while_others_return_errors() -> None:
    run = Run(
        fleet_scenario(
            {"kind": "box-dies", "part": 0.33},
            {"kind": "box-errors", "part": 0.1, "share": 0.7, "at_s": 3.0, "for_s": 4.0},
            seconds=10.0,
        )
    )
    assert run.passed()
    assert answered_share(run, 6.0, 10.0) > 0.9


@pytest.mark.parametrize("same_address", [False, True])
def test_three_in_five_boxes_are_replaced_within_seconds(same_address: bool) -> None:
    run = Run(
        fleet_scenario(
            {"kind": "replace", "part": 0.6, "same_address": same_address, "for_s": 2.0}, seconds=12.0
        )
    )
    assert run.passed()
    assert answered_share(run, 0.5, 12.0) > 0.8


def test_nodes_started_in_a_list_outage_use_a_list_that_is_ten_seconds_old() -> None:
    """Some boxes on the list are gone and new ones are missing: the nodes use the boxes that remain."""
    run = Run(
        fleet_scenario(
            {"kind": "list-outage", "at_s": 0.5, "for_s": 11.0},
            {"kind": "replace", "boxes": 3, "at_s": 1.0, "for_s": 1.0},
            {"kind": "node-dies", "nodes": 8, "at_s": 5.0, "for_s": 1.0},
            seconds=11.0,
        )
    )
    assert run.passed()
    assert answered_share(run, 6.5, 11.0) > 0.9


def test_boxes_that_take_fewer_connections_than_there_are_nodes_are_used() -> None:
    """Nodes are not told how many connections a box takes, and nearly all requests go to the same few boxes.
    If nodes keep their connections to a box that rejects requests for this reason, each box stays over its
    limit for good, and the service is 0.48."""
    kind = {"name": "narrow", "share": 1.0, "connections_per_core": 4.0}
    run = Run(
        fleet_scenario(boxes=BOXES | {"kind": [kind]}, load=LOAD | {"keys": 3}, nodes=NODES | {"count": 24})
    )
    assert run.passed() and run.service > 0.9


def test_a_fleet_of_two_nodes_works_with_the_same_constants() -> None:
    run = Run(fleet_scenario({"kind": "node-dies", "nodes": 1, "for_s": 1.0}, nodes=NODES | {"count": 2}))
    assert run.passed()
    assert run.observations(wire.ResponseReceived)[0].at - run.began < 2_000 * NS_PER_MS
    assert answered_share(run, 3.5, 8.0) > 0.95


@pytest.mark.parametrize("nodes", [5, 20, 30])
def test_cold_boxes_get_no_more_work_from_all_nodes_than_they_can_do(nodes: int) -> None:
    """Half of the boxes are replaced while the traffic doubles and nodes restart. The work that all nodes
    together send to a cold box stays within its budget; of N allowed requests, 2 * sqrt(N) + 2 more count as
    chance."""
    run = Run(
        fleet_scenario(
            {"kind": "replace", "part": 0.5, "at_s": 2.0, "for_s": 1.0},
            {"kind": "traffic-jump", "times": 2.0, "at_s": 4.0, "for_s": 3.0},
            {"kind": "node-restarts", "nodes": nodes // 3, "at_s": 3.0, "for_s": 1.0},
            nodes={"count": nodes, "descriptors": 200}, load={"rate": 120.0, "keys": 200},
            list={"lines_per_s": 4000.0, "notice_s": 0.3, "silent_notice_s": 3.0},
        )
    )  # fmt: skip
    assert run.passed()
    rule = ColdRule()
    received = run.observations(wire.AttemptReceived)
    mean = sum(attempt.work for attempt in received) / len(received)
    cold = [event for event in run.observations(wire.BoxUp, 1.0) if event.cold_share < 1.0]
    assert len(cold) == 6
    for box in cold:
        budget = ColdBudget(rule, box.at, box.capacity, box.cold_share, box.cold_time_ns)
        arrivals = [attempt for attempt in received if attempt.box == box.box and attempt.at >= box.at]
        assert arrivals
        for attempt in arrivals:
            budget.add_arrival(attempt.at, attempt.work, attempt.node)
            possible_work = (
                budget.warmth(attempt.at - rule.window_ns // 2) * box.capacity * rule.window_ns / 1e9
            )
            allowed = rule.capacity_multiple * possible_work / mean
            assert budget.work_in_window() / mean <= allowed + 2 * sqrt(allowed) + 2
