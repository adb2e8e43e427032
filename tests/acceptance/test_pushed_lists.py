"""With pushed lists a node is taken to know the agent's list even without an open watch, and from its start
on: it sends nothing by an older list while the agent is about to answer."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from acceptance.test_stalled_process import STALL_S, stopped
from rig import Client, Discovery, Server, configuration, request, run, status, until
from test_process import program

from driftstair.rehearsal import ports

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
AGENT_DELAY_S = 0.02
CLIENTS = 8


def pushed(agent: Discovery, *servers: Server) -> dict[str, Any]:
    document = configuration(*servers, discovery=agent.address)
    document["settings"]["MembershipMode"] = "pushed"
    return document


def whole_list(version: int, *servers: Server) -> bytes:
    entries = [server.entry() for server in servers]
    text = json.dumps({"version": version, "full": True, "servers": entries}).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(text), text)


def test_no_request_by_an_old_list_after_the_watch_ended_during_a_stall(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with Server("s-1") as leaving, Server("s-2") as staying, Discovery() as agent:
            agent.reply = HEAD + whole_list(8, leaving, staying)
            async with program(pushed(agent, leaving, staying), tmp_path) as node:
                clients = [await node.client() for _ in range(CLIENTS)]
                for client in clients:
                    assert status(await client.ask(request())) == 200
                async with stopped(node):
                    leaving.state = "Terminating"
                    agent.reply = HEAD + whole_list(9, leaving, staying)
                    agent.drop()
                    seen = len(leaving.seen)
                    for client in clients:
                        client.writer.write(request())
                    await asyncio.sleep(STALL_S)
                for client in clients:
                    assert status(await client.read()) == 200
                assert len(leaving.seen) == seen

    run(test())


class SlowAgent(Discovery):
    """An agent that answers after a short delay."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(AGENT_DELAY_S)
        await super()._serve(reader, writer)


def test_new_process_sends_nothing_by_its_initial_list(tmp_path: Path) -> None:
    """A server of that list has begun to leave, and clients connect as soon as the process listens."""

    async def test() -> None:
        async with Server("s-1") as leaving, Server("s-2") as staying, SlowAgent() as agent:
            port = ports.reserve_tcp()
            document = pushed(agent, leaving, staying)
            document["listen"] = f"127.0.0.1:{port.number}"
            leaving.state = "Terminating"
            agent.reply = HEAD + whole_list(9, leaving, staying)

            async def connect_at_once() -> Client:
                while True:
                    try:
                        client = Client(*await asyncio.open_connection("127.0.0.1", port.number))
                    except ConnectionRefusedError:
                        await asyncio.sleep(0.001)
                    else:
                        client.writer.write(request())
                        return client

            connecting = [asyncio.ensure_future(connect_at_once()) for _ in range(CLIENTS)]
            async with program(document, tmp_path):
                await until(lambda: all(one.done() for one in connecting))
                for one in connecting:
                    assert status(await one.result().read()) == 200
                assert not leaving.seen
            port.release()

    run(test())


@pytest.mark.parametrize("after", [0.05, 0.2, 0.35, 0.5])
def test_process_stalled_without_an_answer_asks_before_it_sends(after: float, tmp_path: Path) -> None:
    """The agent answers again, with a change, during a stall: within a call or between two. `after`: from a
    call to the stall, s."""

    async def test() -> None:
        async with Server("s-1") as leaving, Server("s-2") as staying, Discovery() as agent:
            agent.reply = b""
            async with program(pushed(agent, leaving, staying), tmp_path) as node:
                clients = [await node.client() for _ in range(CLIENTS)]
                for client in clients:
                    assert status(await client.ask(request())) == 200
                calls = len(agent.targets)
                await until(lambda: len(agent.targets) > calls)
                await asyncio.sleep(after)
                async with stopped(node):
                    leaving.state = "Terminating"
                    agent.reply = HEAD + whole_list(9, leaving, staying)
                    seen = len(leaving.seen)
                    for client in clients:
                        client.writer.write(request())
                    await asyncio.sleep(2 * STALL_S)
                for client in clients:
                    assert status(await client.read()) == 200
                assert len(leaving.seen) == seen

    run(test())
