"""The program as a process: start, refusal to start, shutdown, reload, and its limit of descriptors."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import tomllib
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from rig import (
    TIMEOUT_S,
    Client,
    Discovery,
    Message,
    Server,
    answer,
    configuration,
    grade,
    open_read_pipe,
    request,
    run,
    status,
    until,
)

from driftstair.config import load
from driftstair.daemon import SERVE_AFTER_SIGTERM_S_MIN, plan_shutdown

ROOT = Path(__file__).parent.parent


# The program with a longer time after SIGTERM, so that the test passes on a slow machine too.
SLOW_SHUTDOWN = """
import sys
import driftstair.daemon
from driftstair.__main__ import main
driftstair.daemon.SERVE_AFTER_SIGTERM_S_MIN = 2.0
sys.exit(main())
"""


async def start(
    path: Path, code: str = "", env: Mapping[str, str] = os.environ, **options: Any
) -> asyncio.subprocess.Process:
    environment = {**env, "BALANCER_CONFIG": str(path)}
    return await asyncio.create_subprocess_exec(
        sys.executable, *(("-c", code) if code else ("-m", "driftstair")), cwd=ROOT, env=environment,
        stderr=asyncio.subprocess.PIPE, **options,
    )  # fmt: skip


class Program:
    def __init__(self, process: asyncio.subprocess.Process, address: tuple[str, int]) -> None:
        self.process = process
        self.address = address

    async def client(self) -> Client:
        return Client(*await asyncio.open_connection(*self.address))


@asynccontextmanager
async def program(document: dict[str, Any], folder: Path, **options: Any) -> AsyncIterator[Program]:
    path = folder / "config.json"
    path.write_text(json.dumps(document))
    process = await start(path, **options)
    try:
        assert process.stderr is not None
        lines: list[bytes] = []
        while b"serving on" not in (line := await asyncio.wait_for(process.stderr.readline(), TIMEOUT_S)):
            assert line, f"the node ended: {b''.join(lines).decode()}"
            lines.append(line)
        host, port = line.split()[-1].decode().rsplit(":", 1)
        yield Program(process, (host, int(port)))
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


def test_after_sigterm_the_node_serves_then_finishes_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def answer_after_release(message: Message, writer: asyncio.StreamWriter) -> None:
        if message.body == b"held":
            await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with (
            Server("s-1", answer_after_release) as server,
            program(configuration(server), tmp_path, code=SLOW_SHUTDOWN) as node,
        ):
            holds, idle = await node.client(), await node.client()
            assert status(await idle.ask(request(body=b"before"))) == 200
            holds.writer.write(request(body=b"held"))
            await until(lambda: len(server.seen) == 2)
            node.process.send_signal(signal.SIGTERM)
            late = await node.client()
            up = await late.ask(request(target="/up", method="GET"))
            while status(up) == 200:  # until the signal has been handled
                up = await late.ask(request(target="/up", method="GET"))
            new = await node.client()
            got = await new.ask(request(body=b"after"))
            assert (got.body, got.headers.get("connection")) == (b"after", None)
            assert await idle.ended() == b""
            release.set()
            got = await holds.read()
            assert (got.body, got.headers["connection"]) == (b"held", "close")
            assert await asyncio.wait_for(node.process.wait(), TIMEOUT_S) == 0

    run(test())


@pytest.mark.parametrize(
    ("aim_ms", "deadline_ms", "late", "serve_on"),
    [
        (1000, 5000, 0.0, 2.4),
        (1000, 5000, 0.5, SERVE_AFTER_SIGTERM_S_MIN),
        (9000, 9000, 0.0, SERVE_AFTER_SIGTERM_S_MIN),
        (400, 1000, 0.0, 1.0),
    ],
)
def test_after_sigterm_a_node_serves_as_long_as_it_can_answer_in_time(
    aim_ms: int, deadline_ms: int, late: float, serve_on: float, tmp_path: Path
) -> None:
    assert SERVE_AFTER_SIGTERM_S_MIN > 0.4  # s for which new connections keep arriving
    document = configuration()
    document["settings"]["Grades"] = [grade("page", "once", deadline_ms, aim_ms) | {"LateShare": late}]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    planned, within = plan_shutdown(load({"BALANCER_CONFIG": str(path)}))
    assert planned == pytest.approx(serve_on)
    assert within == pytest.approx(min(3.0, deadline_ms / 1000) + 0.4)  # SIGKILL comes at least 0.3 s later


def test_sighup_moves_the_watch_and_keeps_the_list_and_open_requests(tmp_path: Path) -> None:
    """The environment keeps the old address; the file takes precedence. An invalid file changes nothing."""
    release = asyncio.Event()

    async def answer_after_release(message: Message, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(answer(body=message.body))

    async def test() -> None:
        async with (
            Discovery() as old,
            Discovery() as new,
            Server("s-1", answer_after_release) as server,
            Server("s-2") as later,
        ):
            document = configuration(server, discovery=old.address)
            environment = {**os.environ, "BALANCER_DISCOVERY": old.address}
            async with program(document, tmp_path, env=environment) as node:
                client, other = await node.client(), await node.client()
                client.writer.write(request("order", body=b"held"))
                await until(lambda: server.seen)
                path = tmp_path / "config.json"
                stderr = node.process.stderr
                assert stderr is not None
                unusable = json.dumps(document | {"discovery": 5})
                for text, word in (("{", b"BALANCER_CONFIG"), (unusable, b"discovery")):
                    path.write_text(text)
                    node.process.send_signal(signal.SIGHUP)
                    assert word in await asyncio.wait_for(stderr.readline(), TIMEOUT_S)
                path.write_text(json.dumps(document | {"discovery": new.address}))
                node.process.send_signal(signal.SIGHUP)
                await until(lambda: new.targets)
                assert new.targets == ["GET /discovery/hosts?watch=1&from=0 HTTP/1.1"]
                old.drop()
                release.set()
                assert (await client.read()).body == b"held"  # the list and the request are kept
                new.push(3, later, full=True)
                while not later.seen:
                    assert status(await other.ask(request("order"))) == 200
                assert node.process.returncode is None

    run(test())


def test_descriptors_stay_within_the_limit_and_all_are_served(tmp_path: Path) -> None:
    descriptors_max = 96

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors_max, descriptors_max))

    async def test() -> None:
        async with Server("s-1") as server:
            document = configuration(server)
            document["limits"]["sockets"] = descriptors_max
            async with program(document, tmp_path, preexec_fn=limit) as node:
                clients = [await node.client() for _ in range(3 * descriptors_max)]
                served = await asyncio.gather(*(_status_with_retry(node, client) for client in clients))
                assert set(served) <= {200, 503}  # the breaker refuses some of so many concurrent requests
                assert len(server.seen) == served.count(200) > 0
                assert len(os.listdir(f"/proc/{node.process.pid}/fd")) <= descriptors_max
                assert node.process.returncode is None

    run(test())


async def _status_with_retry(node: Program, client: Client) -> int:
    """Sends a request as clients do: if the node closes the idle connection, it is repeated on a new one."""
    while True:
        try:
            return status(await client.ask(request()))
        except (asyncio.IncompleteReadError, OSError):
            client = await node.client()


def test_without_free_descriptors_the_node_neither_ends_nor_spins(tmp_path: Path) -> None:
    """With fewer descriptors than configured, a failing accept must cause no crash or busy loop."""

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (30, 30))

    async def test() -> None:
        async with program(configuration(), tmp_path, preexec_fn=limit) as node:
            clients = [await node.client() for _ in range(60)]
            pid = node.process.pid
            before = _cpu_seconds(pid)
            await asyncio.sleep(0.5)
            assert _cpu_seconds(pid) - before < 0.4
            served = await asyncio.gather(*(_status_with_retry(node, client) for client in clients))
            assert set(served) == {503}  # the node has no server
            assert node.process.returncode is None

    run(test())


def _cpu_seconds(pid: int) -> float:
    """CPU time of a process in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _without(*path: str) -> Callable[[dict[str, Any]], None]:
    def change(document: dict[str, Any]) -> None:
        for key in path[:-1]:
            document = document[key]
        del document[path[-1]]

    return change


def _with(value: object, *path: str) -> Callable[[dict[str, Any]], None]:
    def change(document: dict[str, Any]) -> None:
        for key in path[:-1]:
            document = document[key]
        document[path[-1]] = value

    return change


@pytest.mark.parametrize(
    ("change", "named"),
    [
        (_without("listen"), "listen"),
        (_with("here", "listen"), "listen"),
        (_with("10.0.0.1:port", "discovery"), "discovery"),
        (_with("xyz", "seed"), "seed"),
        (_with(3, "limits", "sockets"), "limits.sockets"),
        (_without("limits"), "limits"),
        (_with({"version": 1}, "known"), "known"),
        (_without("settings"), "settings"),
        (_without("settings", "Grades"), "Grades"),
        (_with("soon", "settings", "Limits", "DialTimeout"), "Limits.DialTimeout"),
        (_with(0, "settings", "PeersTotal"), "PeersTotal"),
        (_with(2.0, "settings", "Contract", "ColdShare"), "cold_share"),
        (_with(None, "settings", "Zones"), "Zones"),
        (_with("203.0.113.9:1", "listen"), "BALANCER_LISTEN"),
    ],
)
def test_an_invalid_configuration_gives_one_line_that_names_the_key(
    change: Callable[[dict[str, Any]], None], named: str, tmp_path: Path
) -> None:
    document = configuration()
    change(document)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))

    async def test() -> None:
        process = await start(path)
        _, stderr = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
        assert process.returncode == 2
        (line,) = stderr.decode().splitlines()
        assert named in line

    run(test())


@pytest.mark.parametrize("text", [None, "{", "[]"])
def test_a_missing_or_unparsable_configuration_file(text: str | None, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)

    async def test() -> None:
        process = await start(path)
        _, stderr = await asyncio.wait_for(process.communicate(), TIMEOUT_S)
        assert (process.returncode, stderr.count(b"\n"), b"BALANCER_CONFIG" in stderr) == (2, 1, True)

    run(test())


def test_sighup_during_start_neither_ends_the_program_nor_is_missed(tmp_path: Path) -> None:
    """Started as the platform starts it. SIGHUP arrives as soon as the interpreter runs, before a handler can
    be installed: its default action would end the process, and the new file must not be missed."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    command = command.replace(".venv/bin/python", sys.executable)

    async def test() -> None:
        async with Discovery() as old, Discovery() as new, Server("s-1") as server:
            document = configuration(server, discovery=old.address)
            document["settings"]["Contract"]["AskWithin"] = 10**8
            path, newer = tmp_path / "config.json", tmp_path / "newer.json"
            path.write_text(json.dumps(document))
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env={**os.environ, "BALANCER_CONFIG": str(path)},
                stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            try:
                name = Path(f"/proc/{process.pid}/comm")
                await until(lambda: name.read_text().strip() != "sh")
                assert process.stderr is not None
                serving = asyncio.ensure_future(process.stderr.readline())
                while not serving.done() and process.returncode is None:
                    process.send_signal(signal.SIGHUP)
                    if not newer.exists():
                        newer.write_text(json.dumps(document | {"discovery": new.address}))
                        os.link(newer, tmp_path / "whole")
                        (tmp_path / "whole").replace(path)
                    await asyncio.sleep(0.002)
                assert b"serving on" in await serving or b"discovery is at" in await serving
                await until(lambda: new.open)
                assert process.returncode is None
            finally:
                process.kill()
                await process.wait()

    run(test())


# The program with files that are read again for as long as nobody has closed the other end of a pipe.
BLOCKED_RELOAD = """
import sys
from driftstair import config
from driftstair.service import load as service
from driftstair.__main__ import main
def blocked_from_the_second_call_on(read):
    calls = []
    def call(*arguments):
        calls.append(arguments)
        if len(calls) > {calls}:
            with open({pipe!r}, "rb") as pipe:
                pipe.read()
        return read(*arguments)
    return call
{module}.read_text = blocked_from_the_second_call_on({module}.read_text)
sys.exit(main())
"""


@pytest.mark.parametrize(("module", "calls_at_start"), [("config", 1), ("service", 5)])
def test_clients_are_served_while_files_are_read_again(
    module: str, calls_at_start: int, tmp_path: Path
) -> None:
    """Guards against reading files on the event loop at SIGHUP: the platform's configuration grows with the
    fleet, and the service file with its routes, and nobody was answered meanwhile."""

    async def test() -> None:
        async with Server("s-1") as server, Discovery() as old, Discovery() as new:
            document = configuration(server, discovery=old.address)
            document["settings"]["Contract"]["AskWithin"] = 10**8
            (tmp_path / "service.toml").write_text("version = 1\n")
            pipe = tmp_path / "release"
            os.mkfifo(pipe)
            code = BLOCKED_RELOAD.format(pipe=str(pipe), module=module, calls=calls_at_start)
            env = {**os.environ, "DRIFTSTAIR_SERVICE": str(tmp_path / "service.toml")}
            async with program(document, tmp_path, code=code, env=env) as node:
                client = await node.client()
                assert status(await client.ask(request())) == 200
                (tmp_path / "config.json").write_text(json.dumps(document | {"discovery": new.address}))
                node.process.send_signal(signal.SIGHUP)
                release = await open_read_pipe(pipe)  # once a file is read
                assert status(await client.ask(request())) == 200
                node.process.send_signal(signal.SIGHUP)  # the files are read once more
                os.close(release)
                os.close(await open_read_pipe(pipe))
                await until(lambda: new.open)
                assert status(await client.ask(request())) == 200

    run(test())
