"""Repeated SIGKILL of processes just after their start, at one address: each next process starts cleanly and
serves."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from rig import TIMEOUT_S, Discovery, Message, Server, answer, configuration, request, run_for, status, until
from test_process import Program, program, start

RESTARTS = 3  # processes killed at each moment, one after the other


async def kill(node: Program) -> None:
    node.process.kill()
    assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == -9


@pytest.mark.parametrize("moment", ["begun", "watching", "serving", "request out", "request half sent"])
def test_process_after_an_early_kill_starts_cleanly_and_serves(moment: str, tmp_path: Path) -> None:
    """The killed process leaves connections of clients and servers behind at the same address."""
    held = asyncio.Event()

    async def holds_marked(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.body == b"held":
            await held.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with Discovery() as discovery, Server("s-1", holds_marked) as server:
            document = configuration(server, discovery=discovery.address)
            document["settings"]["MembershipMode"] = "pushed"
            async with program(document, tmp_path) as first:
                host, port = first.address
                await kill(first)
            document["listen"] = f"{host}:{port}"
            for life in range(RESTARTS):
                calls = len(discovery.targets)
                if moment == "begun":
                    path = tmp_path / "config.json"
                    path.write_text(json.dumps(document))
                    process = await start(path)
                    process.kill()
                    assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == -9
                else:
                    async with program(document, tmp_path) as node:
                        client = await node.client()
                        if moment == "watching":
                            await until(lambda: len(discovery.targets) > calls)  # noqa: B023
                        elif moment != "serving":
                            data = request("order", body=b"held")
                            seen = len(server.seen)
                            client.writer.write(data if moment == "request out" else data[:-1])
                            if moment == "request out":
                                await until(lambda: len(server.seen) > seen)  # noqa: B023
                        await kill(node)
                        assert await client.ended() == b""
                async with program(document, tmp_path) as node:
                    client = await node.client()
                    body = b"life %d" % life
                    got = await client.ask(request("order", body=body))
                    assert (status(got), got.body) == (200, body)
                    assert status(await client.ask(request(target="/up", method="GET"))) == 200
                    await kill(node)
            bodies = [one.body for one in server.seen if one.body != b"held"]
            assert bodies == [b"life %d" % life for life in range(RESTARTS)]  # nothing is sent twice
            held.set()

    run_for(test(), 4 * TIMEOUT_S)
