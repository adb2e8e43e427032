"""The daemon and the control server as they are: a change put by the command is in force, and told to be."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from rig import TIMEOUT_S, Server, configuration, request, run_for, status
from test_in_the_daemon import environment, free_port
from test_process import Program, program

ROOT = Path(__file__).parents[2]
MOST = 120.0  # s that only a test that has failed takes


async def command(*words: str) -> Any:
    """`driftstair control`, and the JSON that it tells."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", "control", *words, "--json", cwd=ROOT,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    said, errors = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode == 0, (said, errors)
    return json.loads(said)


@asynccontextmanager
async def control_server(
    folder: Path, port: int, more: str = ""
) -> AsyncIterator[asyncio.subprocess.Process]:
    folder.mkdir(exist_ok=True)
    file = folder / "control.toml"
    file.write_text(f'version = 1\nname = "c0"\nlisten = "127.0.0.1:{port}"\nfolder = "{folder}"\n{more}')
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", "control", "serve", str(file), cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
    )  # fmt: skip
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def put(folder: Path, server: str, *changes: dict[str, Any]) -> int:
    file = folder / "put.json"
    file.write_text(json.dumps({"changes": changes}))
    revision: int = (await command("put", str(file), "--servers", server))["revision"]
    return revision


async def in_force(server: str, revision: int) -> dict[str, Any]:
    """Until the control server tells that the node has it in force; what it tells."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            told: dict[str, Any] = await command("status", "--servers", server)
            if any(one["revision"] == revision and one["in_force"] == 1 for one in told["revisions"]):
                return told


async def asks(node: Program) -> int:
    """On a connection of its own: an idle one may be closed."""
    client = await node.client()
    found = status(await client.ask(request()))
    client.writer.close()
    return found


def test_a_change_that_is_put_is_in_force_and_survives_a_restart_of_control(tmp_path: Path) -> None:
    pages = {"kind": "route", "name": "pages", "content": {"match": {"class": ["page"]}}}
    spent = {"admit": {"rate": {"per_s": 0.001, "burst": 1.0}}}

    async def test() -> None:
        port = free_port()
        address = f"127.0.0.1:{port}"
        env = environment(tmp_path, f'version = 1\n[control]\nservers = ["{address}"]\n')
        async with Server("s-1") as server, program(configuration(server), tmp_path, env=env) as node:
            async with control_server(tmp_path / "control", port) as control:
                first = await put(tmp_path, address, pages | {"content": pages["content"] | spent})
                told = await in_force(address, first)
                assert told["nodes"] == 1
                assert not told["lagging"] and not told["refusing"] and not told["differing"]
                assert [await asks(node) for _ in range(2)] == [200, 503]
                os.kill(control.pid, signal.SIGKILL)
                await control.wait()
            assert await asks(node) == 503  # what is in force stays
            async with control_server(tmp_path / "control", port):
                odd = {"match": {"class": ["elsewhere"], "path": "/o"}}
                second = await put(tmp_path, address, pages, {"kind": "route", "name": "odd", "content": odd})
                third = await put(tmp_path, address, pages)
                assert third > second > first
                told = await in_force(address, third)
                (refusing,) = told["refusing"]
                assert [one["revision"] for one in refusing["refused"]] == [second]
                assert not told["lagging"] and not told["differing"]
                assert await asks(node) == 200

    run_for(test(), MOST)
