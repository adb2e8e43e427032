"""A node that turns away all that it gets, 15 requests or more, for 4 s on end with no attempt in between: at
most one in ten may. On a virtual clock at the low rates of a node among hundreds, and on sockets."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from math import sqrt
from random import Random

import pytest
from fleet_of_modules import NEVER, SERVES, Reply, Servers, SoleNode
from rig import TIMEOUT_S, Client, Message, Rig, Server, configuration, grade, request, run, status
from world import BASE, FALL_MULTIPLE, FALL_TIME, MS, SECOND, START, server, settings, whole

from driftstair.net.node import Node
from lichenspring import interface as api
from lichenspring.balance import PROBE_INTERVAL_NS

LONGEST = 4.0  # s for which a node may turn away all that it gets
COUNTED = 15  # requests; fewer are no such spell
HURT_FROM, HURT_UNTIL = 10 * SECOND, 25 * SECOND  # ns from the start


def hurt(how: str, seed: int) -> Servers:
    """Servers that serve, then for 15 s do not, and serve again."""
    random = Random(seed)

    def reply(at: int, send: api.Send) -> Reply:
        if not HURT_FROM <= at < HURT_UNTIL:
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
def test_a_node_whose_caps_are_shut_tries_again_within_the_time(nodes: int, servers: int, how: str) -> None:
    """It went for up to 7.0 s without an attempt, with 152 requests refused: its one request at a server that
    hangs counted until its deadline and its aim beyond, and the mean in flight had to fade after that."""
    assert PROBE_INTERVAL_NS / SECOND + 1.0 < LONGEST  # for the next request to come
    for rate in (4.0, 8.0, 20.0):
        for seed in (1, 2, 3):
            kind = api.RequestClass(1600 * MS, 1.0, 0.3, api.Repeat.SAFE)
            told = settings(classes=(kind,), nodes=nodes, number=seed % nodes)
            node = SoleNode(told, seed, rate, hurt(how, seed), 3 * SECOND)
            node.tell(whole(*(server(number) for number in range(servers))))
            node.play(45.0)
            assert node.longest_spell(COUNTED) < LONGEST, (rate, seed)


PLAYED = 9.0  # s


def shut_caps(node: Node) -> None:
    """As they are after a while in which no attempt was answered."""
    node._core._unanswered = 1.0
    node._core._set_caps(node._now())


def test_on_sockets_a_node_whose_caps_are_shut_goes_on_trying() -> None:
    """Real clock: both servers hang, and the caps are shut behind the first request that is out at them."""
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
                    await asyncio.gather(*(ask_on(client, begun + PLAYED) for client in clients))
                for since, until in pairwise([begun, *tried, begun + PLAYED]):
                    turned_away = sum(since < at < until for at in refused)
                    assert turned_away < COUNTED or until - since < LONGEST

    run(test())


NODES, SERVERS, RATE = 24, 12, 8.0  # requests a second at each node, all of which warm servers can just do


def fresh_fleet() -> list[SoleNode]:
    """Nodes that start together with all of the servers that they know."""
    kind = api.RequestClass(500 * MS, 1.0, 0.0, api.Repeat.SAFE)
    fleet = []
    for number in range(NODES):
        told = settings(classes=(kind,), nodes=NODES, number=number, fall_multiple=FALL_MULTIPLE)
        node = SoleNode(told, number + 1, RATE, lambda at, send: SERVES, SECOND)
        node.tell(whole(*(server(one, started=node.now) for one in range(SERVERS))))
        node.play(20.0)
        fleet.append(node)
    return fleet


def test_nodes_that_start_together_with_all_their_servers_serve_before_these_are_warm() -> None:
    """They have met no warm server to tell them what a cold one can do, and sent nothing for 20 s. What they
    send now stays far below what makes a cold server fall, over all of them."""
    fleet = fresh_fleet()
    assert max(node.longest_spell(COUNTED) for node in fleet) < LONGEST
    warm_rate = NODES * RATE / SERVERS
    for one in range(SERVERS):
        arrivals = sorted(at for node in fleet for at, to in node.sent if to == server(one).id)
        for last, at in enumerate(arrivals):
            age = max(0, at - FALL_TIME // 2 - START) / BASE.cold_time
            warmth = BASE.cold_share + (1.0 - BASE.cold_share) * age
            allowed = FALL_MULTIPLE * warmth * warm_rate * FALL_TIME / SECOND
            within = sum(earlier > at - FALL_TIME for earlier in arrivals[: last + 1])
            assert within <= allowed + 2.0 * sqrt(allowed) + 2.0
