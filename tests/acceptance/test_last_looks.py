"""Closes and time-outs that become due while data wait unread. Complete daemons, stopped by SIGSTOP and
resumed by SIGCONT: the event that triggers the check reaches the kernel ahead of the data that matter."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest
from acceptance.test_stalled_process import STALL_S, TimedScript, sent_deadline_s, stopped
from rig import Client, Server, answer, configuration, grade, request, run, status, until
from test_process import Program, program

SOCKETS_LIMIT = 96  # the smallest limit that a node accepts, so that few clients fill its connection table
CLIENT_PLACES = 30  # for client connections with that limit
INCOMPLETE_S = 0.3  # longer than a full table tolerates an incomplete request


async def begin_bodies(node: Program, clients: int) -> list[Client]:
    """Clients in the middle of a body. They are evicted after a client in the middle of a head."""
    begun = [await node.client() for _ in range(clients)]
    for client in begun:
        client.writer.write(request(body=b"x" * 100)[:-50])
    return begun


@pytest.mark.parametrize("begun", ["kept connection", "new connection"])
def test_full_table_does_not_evict_a_request_that_is_complete_but_unread(begun: str, tmp_path: Path) -> None:
    """New connections wait for a place during a stall, and an incomplete request is completed after that.
    Its connection must not be evicted for them."""

    async def test() -> None:
        async with Server("s-1") as server:
            document = configuration(server)
            document["limits"]["sockets"] = SOCKETS_LIMIT
            async with program(document, tmp_path) as node:
                incomplete = await node.client()
                if begun == "kept connection":
                    assert status(await incomplete.ask(request())) == 200
                data = request()
                incomplete.writer.write(data[:20])
                others = await begin_bodies(node, CLIENT_PLACES - 1)
                await asyncio.sleep(INCOMPLETE_S)
                async with stopped(node):
                    newcomers = [socket.create_connection(node.address) for _ in range(3)]
                    incomplete.writer.write(data[20:])
                    await asyncio.sleep(STALL_S / 3)
                assert status(await incomplete.read()) == 200
                for client in others:
                    client.writer.close()
                for newcomer in newcomers:
                    newcomer.close()

    run(test())


TIMEOUT_S = 1.0  # of attempts of the class below; the client waits for longer


def test_answer_received_during_a_stall_is_served_after_its_timeout(tmp_path: Path) -> None:
    """The loop runs timers before it reads sockets: the answer is unread as the attempt's time-out is due."""

    async def test() -> None:
        script = TimedScript(answer(body=b"in time"))
        async with Server("s-1", script) as server:
            document = configuration(server)
            document["settings"]["Grades"] = [grade("order", "once", 6000, int(TIMEOUT_S * 1000))]
            async with program(document, tmp_path) as node:
                client = await node.client()
                client.writer.write(request("order", "POST", X_Deadline="6000m"))
                await until(lambda: script.arrivals)
                assert sent_deadline_s(server.seen[0]) <= TIMEOUT_S
                async with stopped(node):
                    script.release.set()
                    await asyncio.sleep(TIMEOUT_S * 1.5)
                got = await client.read()
                assert (status(got), got.body) == (200, b"in time")

    run(test())
