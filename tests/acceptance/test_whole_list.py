"""A whole list that leaves out a server with requests out: it is gone, also where it still answers."""

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

REQUESTS = 20  # enough that by chance none would go to one of two servers: once in a million runs


@pytest.mark.parametrize("reply", [200, 500])
def test_a_server_left_out_gets_nothing_new_and_its_answers_pass(reply: int) -> None:
    """What is out is answered, also by a failure that sends the request on: to a server of the list."""

    async def test() -> None:
        release = asyncio.Event()

        async def waits(_: Message, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(answer(reply, b"from the one left out"))

        async def also_waits(_: Message, writer: asyncio.StreamWriter) -> None:
            await release.wait()
            writer.write(answer())

        async with (
            Discovery() as source,
            Server("s-1", waits) as left_out,
            Server("s-2", also_waits) as kept,
            Rig(configuration(left_out, kept, discovery=source.address)) as rig,
        ):
            rig.watch()
            await until(lambda: source.targets)
            holding = []
            while len(left_out.seen) < 3:
                client = await rig.client()
                client.writer.write(request())
                holding.append(client)
                await until(lambda: len(left_out.seen) + len(kept.seen) == len(holding))
            connections = left_out.connections
            kept.script = serves
            source.push(9, kept, full=True)
            await until(lambda: rig.spy.lists(ListKind.FULL))
            client = await rig.client()
            before = len(kept.seen)
            for _ in range(REQUESTS):
                assert (await client.ask(request())).body == b"frame"
            assert (len(left_out.seen), len(kept.seen)) == (3, before + REQUESTS)
            release.set()
            got = [await one.read() for one in holding]
            assert [status(one) for one in got] == [200] * len(holding)
            own = [one for one in got if one.body == b"from the one left out"]
            assert len(own) == (3 if reply == 200 else 0)
            assert (len(left_out.seen), left_out.connections) == (3, connections)
            await until(lambda: not left_out.open)  # its connections are not kept

    run(test())


def test_a_request_whose_connection_comes_up_after_the_list_goes_elsewhere() -> None:
    async def test() -> None:
        async with (
            Discovery() as source,
            Server("s-1") as left_out,
            Server("s-2") as kept,
            Rig(configuration(left_out, discovery=source.address)) as rig,
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
            assert not left_out.seen and len(kept.seen) == 1

    run(test())
