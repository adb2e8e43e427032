"""A node of many keeps to its own part of the servers, and all parts together are even."""

from collections import Counter

from world import MS, SECOND, START, settings

from lichenspring import Balancer
from lichenspring import interface as api
from lichenspring.subset import subset_count, subset_of

WITHIN = 1.4 * SECOND
SERVERS = [number.to_bytes(8, "little") for number in range(1, 113)]
SLOW = api.RequestClass(1400 * MS, 1.0, 0.0, api.Repeat.SAFE)


def listed(servers: list[bytes], started: int = 0) -> api.ServerList:
    entries = (api.Server(one, 0, 0, api.ServerState.READY, 1.0, started) for one in servers)
    return api.ServerList(api.ListKind.FULL, tuple(entries))


def node(number: int, servers: list[bytes], nodes: int = 200, started: int = 0) -> Balancer:
    balancer = Balancer(settings(classes=(SLOW,), nodes=nodes, number=number), seed=number)
    balancer.start(START)
    balancer.handle(START, listed(servers, started))
    return balancer


def goes_to(balancer: Balancer, requests: int, key: int = 0) -> Counter[bytes]:
    """Each request is answered before the next one comes."""
    found: Counter[bytes] = Counter()
    for number in range(requests):
        for action in balancer.handle(START, api.Request(number, SECOND, 0, 0, key and key + number, False)):
            if isinstance(action, api.Send):
                found[action.server] += 1
                outcome = api.Outcome(number, True, api.Result.OK, 10 * MS, action.server, 0, ())
                balancer.handle(START, outcome)
    return found


def test_small_fleets_are_not_dealt_out() -> None:
    assert subset_count(3, 0.6 * SECOND, 14) == 1
    assert subset_count(21, 0.6 * SECOND, 69) == 1
    assert subset_count(10, 1.9 * SECOND, 60) == 1
    assert subset_count(1000, WITHIN, 20) == 1  # a part would hold too few to go elsewhere
    assert subset_count(40, 1.9 * SECOND, 60) == 2
    assert subset_count(200, WITHIN, 112) == 8
    assert subset_count(1000, WITHIN, 1000) == 32


def test_every_server_has_as_many_nodes_as_any_other() -> None:
    nodes = Counter(server for number in range(200) for server in subset_of(SERVERS, number, 4))
    assert set(nodes.values()) == {50}


def test_parts_of_fewer_hold_those_of_more() -> None:
    # Guards against a fleet that goes from four parts to two and meets strangers only.
    for number in range(200):
        assert subset_of(SERVERS, number, 4) < subset_of(SERVERS, number, 2) < subset_of(SERVERS, number, 1)


def test_a_server_gone_moves_the_ends_of_a_part() -> None:
    for number in range(200):
        before, after = subset_of(SERVERS, number, 4), subset_of(SERVERS[:50] + SERVERS[51:], number, 4)
        assert len(after - before) <= 1


def test_a_node_of_many_meets_its_servers_often() -> None:
    # Before, each of 200 nodes met each of 112 servers every 15 s: as long as that a jammed one went unseen.
    found = goes_to(node(3, SERVERS), 400, key=77)
    assert set(found) <= subset_of(SERVERS, 3, 8)
    assert len(found) == 14


def test_nodes_send_a_key_the_same_way_as_far_as_they_have_the_servers_in_common() -> None:
    # Guards against parts that scatter a key over all servers: one that met it lately has less work with it.
    key, most = 4711, Counter[bytes]()
    for number in range(200):
        balancer = node(number, SERVERS)
        balancer._keyed_arrivals = 10**6  # it has seen so much that this key can't be hot
        for action in balancer.handle(START, api.Request(1, SECOND, 0, 0, key, False)):
            if isinstance(action, api.Send):
                most[action.server] += 1
    assert most.most_common(1)[0][1] >= 25  # an eighth of the nodes have the first of its servers
    assert len(most) < 45


def test_others_servers_are_the_last_resort() -> None:
    """Where none of its own may be used: all of them have just started and bear no more."""
    mine = subset_of(SERVERS, 3, 8)
    balancer = node(3, SERVERS)
    cold = tuple(
        api.Server(one, 0, 0, api.ServerState.READY, 1.0, START if one in mine else 0) for one in SERVERS
    )
    balancer.handle(START, api.ServerList(api.ListKind.FULL, cold))
    found = goes_to(balancer, 40)
    assert sum(found.values()) == 40
    assert set(found) - mine


def test_the_start_cap_is_a_nodes_part_of_all_servers() -> None:
    # Of an eighth of the servers, with an eighth of the nodes: what each may have in flight is the same.
    assert node(3, SERVERS)._capacity(START) == len(SERVERS) / 200
