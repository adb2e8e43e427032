"""Closes and time-outs by an event that the node has not read yet. Whole daemons, stopped by SIGSTOP and
resumed by SIGCONT: what makes the node look at a connection is with the kernel ahead of what that brings."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest
from acceptance.test_stalled_process import STALL, Timed, stopped, told
from rig import Client, Server, answer, configuration, grade, request, run, status, until
from test_process import Program, program

SOCKETS = 96  # descriptors: the least that a node may be told, so that few clients fill its table
PLACES = 30  # that such a node has for clients
BEGUN = 0.3  # s: longer than a full table leaves a request that has begun


async def begin_bodies(node: Program, clients: int) -> list[Client]:
    """Clients in the middle of a body: their connections make room after the one that stops in a head."""
    begun = [await node.client() for _ in range(clients)]
    for client in begun:
        client.writer.write(request(body=b"x" * 100)[:-50])
    return begun


@pytest.mark.parametrize("begun", ["kept connection", "new connection"])
def test_a_full_table_takes_no_place_from_a_request_that_is_with_the_kernel(
    begun: str, tmp_path: Path
) -> None:
    """Newcomers wait for a place while the node stands still, and a request that had begun becomes whole
    behind them: its client's connection must not make room for theirs."""

    async def test() -> None:
        async with Server("s-1") as server:
            document = configuration(server)
            document["limits"]["sockets"] = SOCKETS
            async with program(document, tmp_path) as node:
                slow = await node.client()
                if begun == "kept connection":
                    assert status(await slow.ask(request())) == 200
                data = request()
                slow.writer.write(data[:20])
                others = await begin_bodies(node, PLACES - 1)
                await asyncio.sleep(BEGUN)
                async with stopped(node):
                    newcomers = [socket.create_connection(node.address) for _ in range(3)]
                    slow.writer.write(data[20:])
                    await asyncio.sleep(STALL / 3)
                assert status(await slow.read()) == 200
                for client in others:
                    client.writer.close()
                for newcomer in newcomers:
                    newcomer.close()

    run(test())


TIME_OUT = 1.0  # s that an attempt of the class below has; its client waits for longer


def test_an_answer_that_came_meanwhile_is_served_though_its_time_out_ran_out(tmp_path: Path) -> None:
    """Timers run before sockets are read: the answer is with the kernel as the attempt's time-out is due."""

    async def test() -> None:
        script = Timed(answer(body=b"in time"))
        async with Server("s-1", script) as server:
            document = configuration(server)
            document["settings"]["Grades"] = [grade("order", "once", 6000, int(TIME_OUT * 1000))]
            async with program(document, tmp_path) as node:
                client = await node.client()
                client.writer.write(request("order", "POST", X_Deadline="6000m"))
                await until(lambda: script.came)
                assert told(server.seen[0]) <= TIME_OUT
                async with stopped(node):
                    script.release.set()
                    await asyncio.sleep(TIME_OUT * 1.5)
                got = await client.read()
                assert (status(got), got.body) == (200, b"in time")

    run(test())
