"""Caps and what servers report of their cores."""

import pytest
from world import MS, SECOND, Node, server, settings, whole

from lichenspring import interface as api

FAST = api.RequestClass(2 * SECOND, 1.0, 0.0, api.Repeat.SAFE)


def quiet(busy: float, reports: bool = True) -> Node:
    """One node before two servers, twenty requests in flight at all times, each answered within 200 ms: a
    seventh of the target, so the breaker alone would let in several times as many."""
    fields = ("utilization",) if reports else ()
    node = Node(settings(classes=(FAST,), report_fields=fields), servers=0)
    node.tell(whole(server(0), server(1)))
    waiting: list[api.Send] = []
    for step in range(800):
        waiting += [one for one in node.ask(key=step + 1) if isinstance(one, api.Send)]
        node.wait(10 * MS)
        if len(waiting) >= 20:
            node.end(waiting.pop(0), api.Result.OK, 200 * MS, (busy,) if reports else ())
    return node


def burst(node: Node) -> int:
    """How many of 200 requests at once are let in."""
    return sum(isinstance(one, api.Send) for key in range(200) for one in node.ask(key=1000 + key))


@pytest.mark.parametrize(("busy", "least", "most"), [(0.5, 20, 55), (0.25, 50, 120)])
def test_a_burst_is_let_in_up_to_the_cores_that_are_free(busy: float, least: int, most: int) -> None:
    # Guards against servers that jam: 200 nodes whose caps had grown to three times what they carried let in
    # all of a burst within a second, and 22 of 112 servers were of no use from then on.
    assert least <= burst(quiet(busy)) <= most


def test_where_nothing_is_reported_response_times_alone_decide() -> None:
    assert burst(quiet(0.0, reports=False)) > 120


def test_the_cap_stays_above_what_a_node_starts_with() -> None:
    # Guards against a quiet node that may carry what it carries and no more: chance would refuse half of it.
    node = quiet(1.0)
    assert node.balancer._caps[0] >= 20  # ten for each server, as at the start
