"""A full list that omits a server with open requests: the server is gone, even if it still answers."""

from __future__ import annotations

import asyncio

import pytest
from rig import (
    TIMEOUT_S,
    Discovery,
    LateDials,
    Message,
    Rig,
    Server,
    answer,
    configuration,
    request,
    run,
    serves,
    status,
    until,
)

from lichenspring.interface import ListKind, Result

REQUESTS = 20  # the chance that none goes to one of two servers is one in a million


@pytest.mark.parametrize("reply", [200, 500])
def test_omitted_server_gets_no_new_requests_and_its_answers_are_delivered(reply: int) -> None:
    """Open requests are answered. A failed one is retried at a server of the list."""

    async def test() -> None:
        release = asyncio.Event()

        async def answers_on_release(_: Message, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(answer(reply, b"from the one left out"))

        async def default_answer_on_release(_: Message, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(answer())

        async with (
            Discovery() as source,
            Server("s-1", answers_on_release) as omitted,
            Server("s-2", default_answer_on_release) as kept,
            Rig(configuration(omitted, kept, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            open_clients = []
            while len(omitted.seen) < 3:
                client = await rig.client()
                client.writer.write(request())
                open_clients.append(client)
                await until(lambda: len(omitted.seen) + len(kept.seen) == len(open_clients))
            connections = omitted.connections
            kept.script = serves
            source.push(9, kept, full=True)
            await until(lambda: rig.spy.lists(ListKind.FULL))
            client = await rig.client()
            before = len(kept.seen)
            for _ in range(REQUESTS):
                assert (await client.ask(request())).body == b"frame"
            assert (len(omitted.seen), len(kept.seen)) == (3, before + REQUESTS)
            release.set()
            got = [await one.read() for one in open_clients]
            assert [status(one) for one in got] == [200] * len(open_clients)
            own = [one for one in got if one.body == b"from the one left out"]
            assert len(own) == (3 if reply == 200 else 0)
            assert (len(omitted.seen), omitted.connections) == (3, connections)
            await until(lambda: not omitted.open)  # its connections are not pooled

    run(test())


def test_request_whose_dial_completes_after_the_list_goes_elsewhere() -> None:
    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as omitted,
            Server("s-2") as kept,
            Rig(configuration(omitted, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            rig.node._pools.system = dials = LateDials()
            client = await rig.client()
            client.writer.write(request("order", body=b"once"))
            await asyncio.wait_for(dials.begun.wait(), TIMEOUT_S)
            source.push(9, kept, full=True)
            await until(lambda: rig.spy.lists(ListKind.FULL))
            dials.up.set()
            assert status(await client.read()) == 200
            assert [one.result for one in rig.spy.outcomes()] == [Result.NOT_SENT, Result.OK]
            assert not omitted.seen and len(kept.seen) == 1

    run(test())
