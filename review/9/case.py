"""A change set that a node refuses as a whole is half in force there after a SIGHUP."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins2.world import (
    DRAIN_GRACE_S,
    TROUBLE,
    CannotRunError,
    Case,
    Client,
    Discovery,
    Server,
    call,
    document,
    free_port,
    is_ready,
    is_up,
    play,
    until,
)

CLIENTS = 6
PAUSE_S = 0.03  # of a client between two requests
CONTROL_SERVERS = 3
FIRST_SET = {
    "id": "maintenance-1",
    "changes": [{"kind": "drain", "name": "s-1", "content": {"reason": "disk"}}],
}
# Moves the drain from s-1 to s-2, with a route for a class that this node's platform does not have.
SECOND_SET = {
    "id": "maintenance-2",
    "changes": [
        {"kind": "drain", "name": "s-1", "content": None},
        {"kind": "drain", "name": "s-2", "content": {"reason": "disk"}},
        {
            "kind": "route",
            "name": "late-night",
            "content": {"match": {"class": "night"}, "retry": {"attempts": 2}},
        },
    ],
}


async def put(case: Case, change_set: dict[str, Any], servers: str) -> None:
    """Puts a change set by the project's own command, which exits with 0 once it is committed."""
    path = case.temporary / f"{change_set['id']}.json"
    path.write_text(json.dumps(change_set))
    command = f"exec .venv/bin/python -m driftstair control put {path} --servers {servers} --within 20"
    process = await case.start(f"put of {change_set['id']}", command)
    await process.wait()
    if process.status:
        raise CannotRunError(f"{change_set['id']} was not committed: {process.log}")


async def test(case: Case) -> list[str]:
    record = case.record
    servers = [Server(name, record, lambda _: 0.02) for name in ("s-1", "s-2", "s-3")]
    for server in servers:
        await server.start()
    discovery = Discovery(servers, record, lambda _: 0.02)
    await discovery.start()
    peers = [f"127.0.0.1:{free_port()}" for _ in range(CONTROL_SERVERS)]
    for number, address in enumerate(peers):
        folder = case.temporary / f"control-{number}"
        folder.mkdir()
        path = case.temporary / f"control-{number}.toml"
        path.write_text(
            f'version = 1\nname = "control-{number}"\nlisten = "{address}"\nfolder = "{folder}"\n'
            f"peers = {json.dumps(peers)}\n"
        )
        await case.start(f"control-{number}", f"exec .venv/bin/python -m driftstair control serve {path}")
    service = case.temporary / "service.toml"
    service.write_text(
        f'version = 1\n\n[control]\nservers = {json.dumps(peers)}\nfolder = "{case.temporary}"\n'
    )
    tmpdir = case.temporary / "tmp"
    tmpdir.mkdir()
    port, operators = free_port(), free_port()
    node = await case.start_node("n1", document(port, discovery, servers, operators), tmpdir, service)
    await node.logged("serving on")
    await until(lambda: is_up(port), "the node is up")
    await until(lambda: is_ready(operators), "the node is ready")

    async def status() -> dict[str, Any]:
        return (await call(operators, "GET", "/control/configuration"))[1] or {}

    async def reaches(condition: Any, what: str) -> dict[str, Any]:
        latest: dict[str, Any] = {}

        async def holds() -> bool:
            latest.clear()
            latest.update(await status())
            return bool(latest) and bool(condition(latest))

        await until(holds, what)
        record.note(f"the node says: {json.dumps(latest)}")
        return latest

    await put(case, FIRST_SET, ",".join(peers))
    first = await reaches(lambda now: now["drained"] == ["s-1"], "the node drains s-1")
    drained_at = time.monotonic()
    ended = False

    async def send(client: Client) -> None:
        number = 0
        while not ended:
            number += 1
            await client.ask("page", 2000, key=f"{client.name}-{number}")
            await asyncio.sleep(PAUSE_S)

    loads = [asyncio.create_task(send(Client(f"c{number}", port, record))) for number in range(CLIENTS)]
    await asyncio.sleep(2.0)
    await put(case, SECOND_SET, ",".join(peers))
    refused = await reaches(
        lambda now: now["revision"] > first["revision"] and now["refused"], "the node refuses the second set"
    )
    if refused["drained"] != ["s-1"]:
        raise CannotRunError(f"the node does not keep what it had: {refused}")
    await asyncio.sleep(2.0)
    if TROUBLE:
        node.send(signal.SIGHUP)
        await node.logged("is judged anew")
    await asyncio.sleep(3.0)
    ended = True
    await asyncio.gather(*loads)
    now = await reaches(lambda now: True, "the node answers")
    if not now["refused"] or now["revision"] != refused["revision"]:
        raise CannotRunError(f"the node does not refuse the set any more: {now}")
    sent = [began for began, _ in servers[0].seen if began > drained_at + DRAIN_GRACE_S]
    record.note(f"sent to s-1 while it was drained: {len(sent)}; drained now: {now['drained']}")
    findings = []
    if sent:
        findings.append(
            f"{len(sent)} requests were sent to s-1, whose drain the node had in force, though it refuses "
            f"the set that removes it (revision {now['refused'][0]['revision']}); s-2, which that set drains "
            f"instead, is not drained: the set is half in force"
        )
    return findings


play(__file__, test)
