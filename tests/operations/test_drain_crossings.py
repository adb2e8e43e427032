"""Requests that are in the kernel's buffer when a draining node closes their connection."""

from __future__ import annotations

import asyncio
import socket

import pytest
from rig import Client, Rig, Server, configuration, request, run, status, until

from driftstair.net.request_guard import Invariant, InvariantError
from driftstair.observability.reasons import CloseReason
from driftstair.operations.drain import FRONT_LAYER_DELAY_S, SILENT_S_MAX, Drain


async def connect(rig: Rig) -> tuple[socket.socket, Client]:
    """An accepted connection: its socket, and a client that reads from it."""
    client_socket = socket.create_connection(rig.address)
    await until(lambda: rig.frontend._connections)
    client_socket.setblocking(False)
    return client_socket, Client(*await asyncio.open_connection(sock=client_socket))


def check_connections(rig: Rig, trigger: str) -> None:
    """Has a draining ("drain") or replaced ("hand-over") node choose the connections to close."""
    if trigger == "drain":
        rig.frontend.drain = Drain(asyncio.get_running_loop().time() - FRONT_LAYER_DELAY_S - 0.1)
        rig.frontend._apply_drain(rig.frontend.drain)
    else:
        rig.frontend._handed_over = True
        rig.frontend._sweep()


@pytest.mark.parametrize(
    ("trigger", "connection"), [("drain", "new"), ("drain", "kept"), ("hand-over", "kept")]
)
def test_an_unread_request_is_answered_before_its_connection_closes(trigger: str, connection: str) -> None:
    """A stalled node checks its connections before it reads the data that arrived meanwhile."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client_socket, client = await connect(rig)
            if connection == "kept":
                assert status(await client.ask(request())) == 200
                await until(lambda: next(iter(rig.frontend._connections)).activity() == "IDLE")
            (node_connection,) = rig.frontend._connections
            node_connection.since -= SILENT_S_MAX
            client_socket.send(request())  # in the kernel's buffer, not read before the check
            check_connections(rig, trigger)
            assert status(await client.read()) == 200
            assert await client.ended() == b""

    run(test())


@pytest.mark.parametrize("trigger", ["drain", "hand-over", "end", "time-out"])
def test_a_request_before_an_end_of_sending_is_answered_before_its_connection_closes(trigger: str) -> None:
    """As above, with the request and the end of sending both in the kernel's buffer."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client_socket, client = await connect(rig)
            (node_connection,) = rig.frontend._connections
            node_connection.since -= SILENT_S_MAX
            if trigger == "hand-over":
                assert status(await client.ask(request())) == 200
                await until(lambda: node_connection.activity() == "IDLE")
            client_socket.send(request())
            client_socket.shutdown(socket.SHUT_WR)
            if trigger == "end":
                node_connection.close_if_unused()
            elif trigger == "time-out":
                node_connection.time_out()
            else:
                check_connections(rig, trigger)
            assert status(await client.read()) == 200
            assert await client.ended() == b""

    run(test())


@pytest.mark.parametrize("reason", [CloseReason.IDLE, CloseReason.TOO_SLOW])
def test_the_guard_reports_a_close_with_unread_data(reason: CloseReason) -> None:
    """The guard reports it whatever the cause; here the connection is closed without a check."""

    async def test() -> None:
        async with Server("s-1") as server, Rig(configuration(server)) as rig:
            client_socket = socket.create_connection(rig.address)
            await until(lambda: rig.frontend._connections)
            client_socket.send(request())
            (node_connection,) = rig.frontend._connections
            with pytest.raises(InvariantError, match=Invariant.NO_CLOSE_OVER_UNREAD.value):
                node_connection.close(reason)
            assert rig.node.metrics.violations.pop(Invariant.NO_CLOSE_OVER_UNREAD.value) == 1
            client_socket.close()

    run(test())
