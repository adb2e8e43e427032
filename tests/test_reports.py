"""Caps and the utilization that servers report."""

import pytest
from world import MS, SECOND, Node, full_list, server, settings

from lichenspring import interface as api

FAST = api.RequestClass(2 * SECOND, 1.0, 0.0, api.Repeat.SAFE)


def node_at_low_load(busy: float, reports: bool = True) -> Node:
    """One node with two servers, twenty requests in flight at all times, each answered after 200 ms: a
    seventh of the target, so that the breaker alone would admit several times as many."""
    fields = ("utilization",) if reports else ()
    node = Node(settings(classes=(FAST,), report_fields=fields), servers=0)
    node.handle(full_list(server(0), server(1)))
    waiting: list[api.Send] = []
    for step in range(800):
        waiting += [one for one in node.request(key=step + 1) if isinstance(one, api.Send)]
        node.wait(10 * MS)
        if len(waiting) >= 20:
            node.finish(waiting.pop(0), api.Result.OK, 200 * MS, (busy,) if reports else ())
    return node


def admitted_of_burst(node: Node) -> int:
    """How many of 200 requests at once are admitted."""
    return sum(isinstance(one, api.Send) for key in range(200) for one in node.request(key=1000 + key))


@pytest.mark.parametrize(("busy", "least", "most"), [(0.5, 20, 55), (0.25, 50, 120)])
def test_burst_is_admitted_up_to_free_cores(busy: float, least: int, most: int) -> None:
    # Guards against overloaded servers: 200 nodes whose caps had risen to three times their load admitted all
    # of a burst within a second, and 22 of 112 servers stayed overloaded.
    assert least <= admitted_of_burst(node_at_low_load(busy)) <= most


def test_without_reports_response_times_alone_decide() -> None:
    assert admitted_of_burst(node_at_low_load(0.0, reports=False)) > 120


def test_cap_stays_above_initial_cap() -> None:
    # Guards against a node at low load whose cap is its current load, so that random variation refuses half
    # of it.
    node = node_at_low_load(1.0)
    assert node.balancer._caps[0] >= 20  # ten per server, as initially
