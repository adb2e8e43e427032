"""Real processes of daemon and control server: a change put by the command is in force and reported."""

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

from rig import TIMEOUT_S, Server, configuration, free_port, request, run_for, status
from test_in_the_daemon import environment
from test_process import Program, program

ROOT = Path(__file__).parents[2]
TEST_TIMEOUT_S = 120.0  # only a failing test takes so long


async def run_command(*arguments: str) -> Any:
    """Runs `driftstair control`; returns its JSON output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "driftstair", "control", *arguments, "--json", cwd=ROOT,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    output, errors = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
    assert process.returncode == 0, (output, errors)
    return json.loads(output)


@asynccontextmanager
async def control_server(
    folder: Path, port: int, extra_settings: str = ""
) -> AsyncIterator[asyncio.subprocess.Process]:
    folder.mkdir(exist_ok=True)
    file = folder / "control.toml"
    file.write_text(
        f'version = 1\nname = "c0"\nlisten = "127.0.0.1:{port}"\nfolder = "{folder}"\n{extra_settings}'
    )
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
    revision: int = (await run_command("put", str(file), "--servers", server))["revision"]
    return revision


async def until_in_force(server: str, revision: int) -> dict[str, Any]:
    """Waits until the control server reports that the node has a revision in force; returns the status."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            status_view: dict[str, Any] = await run_command("status", "--servers", server)
            if any(
                view["revision"] == revision and view["in_force"] == 1 for view in status_view["revisions"]
            ):
                return status_view


async def request_status(node: Program) -> int:
    """The status of a request on a new connection, as an idle one may be closed."""
    client = await node.client()
    answer_status = status(await client.ask(request()))
    client.writer.close()
    return answer_status


def test_a_committed_change_comes_into_force_and_survives_a_restart_of_the_control_server(
    tmp_path: Path,
) -> None:
    pages = {"kind": "route", "name": "pages", "content": {"match": {"class": ["page"]}}}
    used_up_at_once = {"admit": {"rate": {"per_s": 0.001, "burst": 1.0}}}

    async def test() -> None:
        port = free_port()
        address = f"127.0.0.1:{port}"
        env = environment(tmp_path, f'version = 1\n[control]\nservers = ["{address}"]\n')
        async with Server("s-1") as server, program(configuration(server), tmp_path, env=env) as node:
            async with control_server(tmp_path / "control", port) as control:
                first = await put(tmp_path, address, pages | {"content": pages["content"] | used_up_at_once})
                status_view = await until_in_force(address, first)
                assert status_view["nodes"] == 1
                assert (
                    not status_view["lagging"]
                    and not status_view["refusing"]
                    and not status_view["differing"]
                )
                assert [await request_status(node) for _ in range(2)] == [200, 503]
                os.kill(control.pid, signal.SIGKILL)
                await control.wait()
            assert await request_status(node) == 503  # the configuration stays in force
            async with control_server(tmp_path / "control", port):
                unknown_class = {"match": {"class": ["elsewhere"], "path": "/o"}}
                second = await put(
                    tmp_path, address, pages, {"kind": "route", "name": "odd", "content": unknown_class}
                )
                third = await put(tmp_path, address, pages)
                assert third > second > first
                status_view = await until_in_force(address, third)
                (refusing,) = status_view["refusing"]
                assert [refused["revision"] for refused in refusing["refused"]] == [second]
                assert not status_view["lagging"] and not status_view["differing"]
                assert await request_status(node) == 200

    run_for(test(), TEST_TIMEOUT_S)
