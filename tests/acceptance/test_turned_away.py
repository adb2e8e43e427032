"""At most one node in ten may refuse all requests, 15 or more, for 4 s with no attempt in between. On a
virtual clock at the low rates of one node among hundreds, and on sockets."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from math import sqrt
from random import Random

import pytest
from fleet_of_modules import NEVER, SERVES, Reply, Servers, SoleNode
from rig import TIMEOUT_S, Client, Message, Rig, Server, configuration, grade, request, run, status
from world import BASE, FALL_MULTIPLE, FALL_WINDOW_NS, MS, SECOND, START, full_list, server, settings

from driftstair.net.node import Node
from lichenspring import interface as api
from lichenspring.balance import PROBE_INTERVAL_NS

LONGEST_REFUSAL_S = 4.0  # for which a node may refuse all requests
STREAK_REQUESTS_MIN = 15  # shorter streaks do not count
FAILURE_START_NS, FAILURE_END_NS = 10 * SECOND, 25 * SECOND  # from the start


def failing(how: str, seed: int) -> Servers:
    """Servers that fail for 15 s and serve before and after."""
    random = Random(seed)

    def reply(at: int, send: api.Send) -> Reply:
        if not FAILURE_START_NS <= at < FAILURE_END_NS:
            return Reply(int(random.lognormvariate(0.0, 0.5) * 40 * MS), api.Result.OK)
        if how == "hang":
            return NEVER
        if how == "most hang":
            return NEVER if random.random() < 0.7 else SERVES
        if how == "slow":
            return Reply(int(random.uniform(0.9, 1.3) * send.time_out), api.Result.OK)
        return Reply(2 * MS, api.Result.ERROR)

    return reply


@pytest.mark.parametrize("how", ["hang", "most hang", "slow", "fail"])
@pytest.mark.parametrize(("nodes", "servers"), [(200, 200), (200, 50), (200, 4), (24, 12), (1, 3)])
def test_node_with_closed_caps_tries_again_in_time(nodes: int, servers: int, how: str) -> None:
    """Guards against up to 7.0 s without an attempt, with 152 requests refused: the only request at a hanging
    server counted until its deadline plus its aim, and after that the mean in flight still had to decay."""
    assert PROBE_INTERVAL_NS / SECOND + 1.0 < LONGEST_REFUSAL_S  # until the next request arrives
    for rate in (4.0, 8.0, 20.0):
        for seed in (1, 2, 3):
            kind = api.RequestClass(1600 * MS, 1.0, 0.3, api.Repeat.SAFE)
            node_settings = settings(classes=(kind,), nodes=nodes, number=seed % nodes)
            node = SoleNode(node_settings, seed, rate, failing(how, seed), 3 * SECOND)
            node.tell(full_list(*(server(number) for number in range(servers))))
            node.run_for(45.0)
            assert node.longest_refusal_streak(STREAK_REQUESTS_MIN) < LONGEST_REFUSAL_S, (rate, seed)


RUN_S = 9.0


def shut_caps(node: Node) -> None:
    """Sets the caps as after a period in which no attempt was answered."""
    node._core._unanswered = 1.0
    node._core._set_caps(node._now())


def test_node_with_closed_caps_goes_on_trying_on_sockets() -> None:
    """Real clock: both servers hang, and the caps close behind the first open request."""
    tried: list[float] = []
    refused: list[float] = []

    async def ask_on(client: Client, end: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end:
            if status(await client.ask(request())) == 503:
                refused.append(loop.time())
                await asyncio.sleep(0.1)

    async def test() -> None:
        loop = asyncio.get_running_loop()

        async def hangs(_: Message, __: asyncio.StreamWriter) -> None:
            tried.append(loop.time())

        document = configuration()
        document["settings"]["PeersTotal"] = 200
        document["settings"]["Grades"] = [grade("page", "repeatable", 3000, 3000)]
        async with Server("s-1", hangs) as one, Server("s-2", hangs) as two:
            document["known"]["servers"] = [one.entry(), two.entry()]
            async with Rig(document) as rig:
                shut_caps(rig.node)
                clients = [await rig.client() for _ in range(8)]
                begun = loop.time()
                async with asyncio.timeout(TIMEOUT_S):
                    await asyncio.gather(*(ask_on(client, begun + RUN_S) for client in clients))
                for since, until in pairwise([begun, *tried, begun + RUN_S]):
                    refusals = sum(since < at < until for at in refused)
                    assert refusals < STREAK_REQUESTS_MIN or until - since < LONGEST_REFUSAL_S

    run(test())


NODES, SERVERS, RATE_RPS = 24, 12, 8.0  # rate of each node; warm servers can just handle all of it


def fresh_fleet() -> list[SoleNode]:
    """Nodes that start together with all their servers."""
    kind = api.RequestClass(500 * MS, 1.0, 0.0, api.Repeat.SAFE)
    fleet = []
    for number in range(NODES):
        node_settings = settings(classes=(kind,), nodes=NODES, number=number, fall_multiple=FALL_MULTIPLE)
        node = SoleNode(node_settings, number + 1, RATE_RPS, lambda at, send: SERVES, SECOND)
        node.tell(full_list(*(server(one, started=node.now) for one in range(SERVERS))))
        node.run_for(20.0)
        fleet.append(node)
    return fleet


def test_nodes_started_with_all_servers_serve_before_those_are_warm() -> None:
    """Guards against nodes that send nothing for 20 s, having seen no warm server from which to estimate what
    a cold one can handle. What they send together stays below the load that makes a cold server fail."""
    fleet = fresh_fleet()
    assert max(node.longest_refusal_streak(STREAK_REQUESTS_MIN) for node in fleet) < LONGEST_REFUSAL_S
    warm_rate = NODES * RATE_RPS / SERVERS
    for one in range(SERVERS):
        arrivals = sorted(at for node in fleet for at, to in node.sent if to == server(one).id)
        for last, at in enumerate(arrivals):
            age = max(0, at - FALL_WINDOW_NS // 2 - START) / BASE.cold_time
            warmth = BASE.cold_share + (1.0 - BASE.cold_share) * age
            allowed = FALL_MULTIPLE * warmth * warm_rate * FALL_WINDOW_NS / SECOND
            within = sum(earlier > at - FALL_WINDOW_NS for earlier in arrivals[: last + 1])
            assert within <= allowed + 2.0 * sqrt(allowed) + 2.0
