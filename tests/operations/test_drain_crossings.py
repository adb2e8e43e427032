"""A node that is emptied, and requests that are with the kernel in the moment in which it lets go."""

from __future__ import annotations

import asyncio
import socket

import pytest
from rig import Client, Rig, Server, configuration, request, run, status, until

from driftstair.net.request_guard import Invariant, InvariantError
from driftstair.observability.reasons import CloseReason
from driftstair.operations.drain import FRONT_LAYER_DELAY_S, SILENT_S_MAX, Drain


async def connect(rig: Rig) -> tuple[socket.socket, Client]:
    """A client's connection, that the node has taken in, and the client that reads from it."""
    plain = socket.create_connection(rig.address)
    await until(lambda: rig.front._connections)
    plain.setblocking(False)
    return plain, Client(*await asyncio.open_connection(sock=plain))


def look_at_connections(rig: Rig, way: str) -> None:
    """As a node that is emptied ("drain") or replaced ("hand-over") looks whom to let go."""
    if way == "drain":
        rig.front.drain = Drain(asyncio.get_running_loop().time() - FRONT_LAYER_DELAY_S - 0.1)
        rig.front._apply_drain(rig.front.drain)
    else:
        rig.front._handed_over = True
        rig.front._sweep()


@pytest.mark.parametrize(("way", "connection"), [("drain", "new"), ("drain", "kept"), ("hand-over", "kept")])
def test_what_a_client_has_sent_is_answered_before_its_connection_goes(way: str, connection: str) -> None:
    """The node was held up: it looks at its connections before it reads what came meanwhile."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            plain, client = await connect(rig)
            if connection == "kept":
                assert status(await client.ask(request())) == 200
                await until(lambda: next(iter(rig.front._connections)).activity() == "IDLE")
            (held,) = rig.front._connections
            held.since -= SILENT_S_MAX
            plain.send(request())  # with the kernel, and not read before the look
            look_at_connections(rig, way)
            assert status(await client.read()) == 200
            assert await client.ended() == b""

    run(test())


@pytest.mark.parametrize("look", ["drain", "hand-over", "end", "time-out"])
def test_a_request_whose_client_ended_its_sending_is_answered_before_its_connection_goes(look: str) -> None:
    """As above: request and end of sending are with the kernel, and the node looks before it reads."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            plain, client = await connect(rig)
            (held,) = rig.front._connections
            held.since -= SILENT_S_MAX
            if look == "hand-over":
                assert status(await client.ask(request())) == 200
                await until(lambda: held.activity() == "IDLE")
            plain.send(request())
            plain.shutdown(socket.SHUT_WR)
            if look == "end":
                held.close_if_unused()
            elif look == "time-out":
                held.time_out()
            else:
                look_at_connections(rig, look)
            assert status(await client.read()) == 200
            assert await client.ended() == b""

    run(test())


@pytest.mark.parametrize("reason", [CloseReason.IDLE, CloseReason.TOO_SLOW])
def test_the_guard_tells_of_a_close_over_what_is_unread(reason: CloseReason) -> None:
    """Whatever decides on it: here a close that does not look."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            plain = socket.create_connection(rig.address)
            await until(lambda: rig.front._connections)
            plain.send(request())
            (held,) = rig.front._connections
            with pytest.raises(InvariantError, match=Invariant.NO_CLOSE_OVER_UNREAD.value):
                held.close(reason)
            assert rig.node.metrics.violations.pop(Invariant.NO_CLOSE_OVER_UNREAD.value) == 1
            plain.close()

    run(test())
