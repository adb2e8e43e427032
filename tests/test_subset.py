"""A node of a large fleet uses its own subset of the servers, and all subsets together are even."""

from collections import Counter

from world import MS, SECOND, START, settings

from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.subset import subset_count, subset_of

ANSWERS_WITHIN_NS = 1.4 * SECOND
SERVERS = [number.to_bytes(8, "little") for number in range(1, 113)]
SLOW = api.RequestClass(1400 * MS, 1.0, 0.0, api.Repeat.SAFE)


def full_list(servers: list[bytes], started: int = 0) -> api.ServerList:
    entries = (api.Server(one, 0, 0, api.ServerState.READY, 1.0, started) for one in servers)
    return api.ServerList(api.ListKind.FULL, tuple(entries))


def node(number: int, servers: list[bytes], nodes: int = 200, started: int = 0) -> Balancer:
    balancer = Balancer(settings(classes=(SLOW,), nodes=nodes, number=number), seed=number)
    balancer.start(START)
    balancer.handle(START, full_list(servers, started))
    return balancer


def sent_to(balancer: Balancer, requests: int, key: int = 0) -> Counter[bytes]:
    """Answers each request before the next one arrives."""
    found: Counter[bytes] = Counter()
    for number in range(requests):
        for action in balancer.handle(START, api.Request(number, SECOND, 0, 0, key and key + number, False)):
            if isinstance(action, api.Send):
                found[action.server] += 1
                outcome = api.Outcome(number, True, api.Result.OK, 10 * MS, action.server, 0, ())
                balancer.handle(START, outcome)
    return found


def test_small_fleets_use_one_subset() -> None:
    assert subset_count(3, 0.6 * SECOND, 14) == 1
    assert subset_count(21, 0.6 * SECOND, 69) == 1
    assert subset_count(10, 1.9 * SECOND, 60) == 1
    assert subset_count(1000, ANSWERS_WITHIN_NS, 20) == 1  # a subset would be too small to have alternatives
    assert subset_count(40, 1.9 * SECOND, 60) == 2
    assert subset_count(200, ANSWERS_WITHIN_NS, 112) == 8
    assert subset_count(1000, ANSWERS_WITHIN_NS, 1000) == 32


def test_every_server_has_same_number_of_nodes() -> None:
    nodes = Counter(server for number in range(200) for server in subset_of(SERVERS, number, 4))
    assert set(nodes.values()) == {50}


def test_subsets_of_smaller_count_contain_those_of_larger() -> None:
    # Guards against nodes that know none of their servers after a change from four subsets to two.
    for number in range(200):
        assert subset_of(SERVERS, number, 4) < subset_of(SERVERS, number, 2) < subset_of(SERVERS, number, 1)


def test_removed_server_moves_only_ends_of_subset() -> None:
    for number in range(200):
        before, after = subset_of(SERVERS, number, 4), subset_of(SERVERS[:50] + SERVERS[51:], number, 4)
        assert len(after - before) <= 1


def test_node_of_large_fleet_uses_only_its_subset() -> None:
    # With all servers, each of 200 nodes used each of 112 servers once in 15 s, and took as long to notice an
    # overloaded one.
    found = sent_to(node(3, SERVERS), 400, key=77)
    assert set(found) <= subset_of(SERVERS, 3, 8)
    assert len(found) == 14


def test_nodes_with_common_servers_agree_on_key() -> None:
    # Guards against subsets that scatter a key over all servers: one that has handled it lately needs less
    # work for it.
    key, most = 4711, Counter[bytes]()
    for number in range(200):
        balancer = node(number, SERVERS)
        balancer._keyed_arrivals = 10**6  # so many that this key can't be hot
        for action in balancer.handle(START, api.Request(1, SECOND, 0, 0, key, False)):
            if isinstance(action, api.Send):
                most[action.server] += 1
    assert most.most_common(1)[0][1] >= 25  # an eighth of the nodes have the key's first server
    assert len(most) < 45


def test_servers_outside_subset_are_last_resort() -> None:
    """Used if no server of the subset is usable: all of them have just started and take no more."""
    mine = subset_of(SERVERS, 3, 8)
    balancer = node(3, SERVERS)
    cold = tuple(
        api.Server(one, 0, 0, api.ServerState.READY, 1.0, START if one in mine else 0) for one in SERVERS
    )
    balancer.handle(START, api.ServerList(api.ListKind.FULL, cold))
    found = sent_to(balancer, 40)
    assert sum(found.values()) == 40
    assert set(found) - mine


def test_initial_cap_is_nodes_part_of_all_servers() -> None:
    # An eighth of the servers for an eighth of the nodes: the same number in flight per server.
    assert node(3, SERVERS)._capacity(START) == len(SERVERS) / 200
