"""Many nodes that share nothing, each driven by hand: what all of them do together. No bench, fixed seeds."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from world import MS, SECOND, START, Node, server, settings

from driftstair.net.backoff import Backoff
from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.balance import ASK_TOKEN
from lichenspring.interface import Result

WINDOW = 1500 * MS  # of the rule on cold servers
MULTIPLE = 3.0  # and what a cold server stands, times its work of the moment


@pytest.mark.parametrize(("nodes", "told"), [(2, 2), (40, 40), (48, 48), (40, 1), (40, 20)])
def test_a_cold_server_is_not_pushed_over_by_all_nodes_together(nodes: int, told: int) -> None:
    """Whatever number of nodes they were told: the part that each sends follows its own traffic."""
    chance = Random(7)
    rules = settings(nodes=told)
    fleet = [Node(rules, servers=12, seed=seed) for seed in range(nodes)]
    step = SECOND * nodes // 900  # 900 requests a second in all
    began = fleet[0].now
    cold: list[int] = []
    warm: Counter[api.ServerId] = Counter()
    for number in range(900 * 12):
        node = fleet[number % nodes]
        node.wait(max(0, began + number // nodes * step - node.now))
        if number // nodes * step >= 4 * SECOND and len(node.balancer._backends) == 12:
            node.tell(api.ServerList(api.ListKind.DELTA, (server(99, started=began + 4 * SECOND),)))
        action = node.ask(0, chance.randrange(1, 5000))[-1]
        if not isinstance(action, api.Send):
            continue
        if action.server == server(99).id:
            cold.append(node.now)
        elif node.now >= began + 5 * SECOND:
            warm[action.server] += 1
        node.end(action, Result.OK, 10 * MS)
    seconds = (fleet[0].now - began) / SECOND - 5.0
    usual = sum(warm.values()) / len(warm) / seconds
    assert cold  # it is used at all
    for at in cold:
        age = (at - began - 4 * SECOND) / rules.cold_time
        warmth = rules.cold_share + (1.0 - rules.cold_share) * max(0.0, age)
        inside = sum(at - WINDOW < one <= at for one in cold)
        assert inside <= MULTIPLE * warmth * usual * WINDOW / SECOND, (nodes, told, inside)


def test_a_cap_is_a_nodes_part_of_what_all_carry() -> None:
    caps = {nodes: Node(settings(nodes=nodes), servers=60).balancer._caps[0] for nodes in (1, 2, 48)}
    assert caps[1] == pytest.approx(2 * caps[2]) == pytest.approx(48 * caps[48])


def test_forty_nodes_started_in_one_instant_spread_their_list_calls() -> None:
    rules = settings(nodes=40, list_mode=api.ListMode.ON_REQUEST, ask_within=10 * SECOND)
    calls: Counter[int] = Counter()
    for seed in range(40):
        started = Balancer(rules, seed).start(START)
        (call,) = [one for one in started if isinstance(one, api.SetTimer) and one.token == ASK_TOKEN]
        assert call.at - START < rules.ask_within
        calls[(call.at - START) // (SECOND // 2)] += 1
    assert max(calls.values()) <= 16 and len(calls) >= 4


def test_forty_nodes_whose_pushed_list_ends_do_not_come_back_in_step() -> None:
    """They did, once a second, for as long as discovery was away."""
    fleet = [Backoff(1.0, seed) for seed in range(40)]
    for failures in range(8):
        longest = 2.0 ** min(4, failures)
        pauses = sorted(one.pause() for one in fleet)
        assert longest / 2 <= pauses[0] and pauses[-1] <= longest
        slots = Counter(int(10 * pause / longest) for pause in pauses)
        assert max(slots.values()) <= 16 and len(slots) >= 5
    for one in fleet:
        one.succeeded()
        assert one.pause() <= 1.0
