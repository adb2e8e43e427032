"""Operators' calls on loopback sockets, and programs that replace one another under load."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from contextlib import suppress
from pathlib import Path
from typing import Any

from rig import Discovery, Message, Server, configuration, request, run, status, until
from test_process import Program, program, start


def free_port() -> int:
    with socket.socket() as own:
        own.bind(("127.0.0.1", 0))
        return int(own.getsockname()[1])


async def call(port: int, method: str, path: str, raw: bytes = b"") -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    plain = f"{method} /control/{path} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n"
    writer.write(raw or plain.encode())
    line = await reader.readline()
    writer.close()
    return int(line.split()[1]) if line else 0


def documents(*servers: Server, discovery: str = "127.0.0.1:9") -> tuple[dict[str, Any], int]:
    port = free_port()
    document = configuration(*servers, discovery=discovery)
    return document | {"ops": f"127.0.0.1:{port}", "listen": f"127.0.0.1:{free_port()}"}, port


def here(folder: Path) -> dict[str, str]:
    return {**os.environ, "TMPDIR": str(folder)}


async def asks(node: Program) -> int:
    client = await node.client()
    message = await client.ask(request())
    client.writer.close()
    return status(message)


async def up(node: Program) -> int:
    client = await node.client()
    message = await client.ask(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
    client.writer.close()
    return status(message)


def test_a_server_out_gets_nothing_until_it_is_put_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with Discovery() as discovery, Server("s-1") as one, Server("s-2") as two:
            document, ops = documents(one, two, discovery=discovery.address)
            async with program(document, tmp_path, env=here(tmp_path)) as node:
                assert await call(ops, "GET", "ready") == 200
                assert await call(ops, "POST", "servers/s-3/offline") == 404
                assert await call(ops, "POST", "servers/s-3/online") == 404
                assert await call(ops, "GET", "configuration") == 404  # none is watched
                assert await call(ops, "POST", "servers/s-1/offline") == 200
                assert await call(ops, "POST", "servers/s-1/offline") == 200
                await until(lambda: discovery.targets)
                discovery.push(8, one, two, full=True)  # the list knows nothing of it
                for _ in range(20):
                    assert await asks(node) == 200
                assert not one.seen and len(two.seen) == 20
                assert await call(ops, "POST", "servers/s-1/online") == 200
                # It is cold: its budget grows with time, not with requests. The first came after 0.07 to
                # 0.48 s, and 82 to 827 requests; a count of 200 ended before that on a fast machine.
                while not one.seen:
                    await asks(node)

    run(test())


def test_callers_that_say_nothing_keep_nobody_out(tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as one:
            document, ops = documents(one)
            async with program(document, tmp_path, env=here(tmp_path)):
                silent = [await asyncio.open_connection("127.0.0.1", ops) for _ in range(60)]
                for _, writer in silent[::2]:
                    writer.write(b"POST /control/out-of-ser")
                assert await call(ops, "GET", "ready") == 200
                assert await call(ops, "", "", b"no call at all\r\n\r\n") == 400
                long = b"GET /control/ready HTTP/1.1\r\nX: %s\r\n\r\n" % (b"x" * 9000)
                assert await call(ops, "", "", long) in (200, 413)  # read whole, it is a call
                for reader, writer in silent:  # each is answered or closed
                    with suppress(ConnectionResetError):
                        await reader.read()
                    writer.close()

    run(test())


def test_an_emptied_node_says_no_and_lets_go_of_its_clients(tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as one:
            document, ops = documents(one)
            async with program(document, tmp_path, env=here(tmp_path)) as node:
                idle, silent, used = [await node.client() for _ in range(3)]
                assert status(await idle.ask(request())) == 200
                assert status(await used.ask(request())) == 200
                assert await call(ops, "POST", "out-of-service") == 200
                assert await up(node) == 503
                message = await used.ask(request())  # still served, and told to go
                assert status(message) == 200 and message.headers["connection"] == "close"
                assert await idle.ended() == b"" and await silent.ended() == b""
                assert await call(ops, "GET", "ready") == 200  # the process could serve
                assert await call(ops, "POST", "in-service") == 200
                assert await up(node) == 200 and await asks(node) == 200

    run(test())


def test_a_program_is_replaced_with_no_request_lost_and_orders_kept(tmp_path: Path) -> None:
    """Also those that wait in the accept queue: with a socket of its own for each process the old one's would
    be reset with it."""

    async def test() -> None:
        async with Discovery() as discovery, Server("s-1") as one, Server("s-2") as two:
            document, ops = documents(one, two, discovery=discovery.address)
            async with program(document, tmp_path, env=here(tmp_path)) as old:
                assert await call(ops, "POST", "servers/s-1/offline") == 200
                kept = await old.client()
                assert status(await kept.ask(request())) == 200
                second = free_port()
                ended, got = asyncio.Event(), []

                async def load() -> None:
                    while not ended.is_set():
                        got.append(await asks(old))

                loads = [asyncio.create_task(load()) for _ in range(4)]
                document["ops"] = f"127.0.0.1:{second}"
                beside = tmp_path / "beside"
                beside.mkdir()
                async with program(document, beside, env=here(tmp_path)) as new:
                    # Not before the list is as good as the old one's: told, or waited for.
                    await until(lambda: discovery.targets)
                    discovery.push(9, one, two, full=True)
                    while await call(second, "GET", "ready") != 200:
                        await asyncio.sleep(0.01)
                    assert set(got) == {200}
                    # An order at either holds at both once it is answered.
                    assert await call(second, "POST", "servers/s-2/offline") == 200
                    assert await asks(old) == 503
                    assert await kept.ended() == b""  # idle at the old process: let go at its next sweep
                    seen = len(two.seen)
                    assert await call(ops, "POST", "servers/s-2/online") == 200
                    old.process.send_signal(signal.SIGTERM)
                    assert await old.process.wait() == 0
                    await until(lambda: len(two.seen) > seen)
                    ended.set()
                    await asyncio.gather(*loads)  # none was closed on
                    assert set(got) <= {200, 503}  # refused while both were out, and no other failure
                    assert not one.seen  # still out, in a process that was never told
                    assert new.process.returncode is None

    run(test())


def test_a_new_process_that_fails_gives_the_clients_back(tmp_path: Path) -> None:
    async def test() -> None:
        async with Server("s-1") as one:
            document, ops = documents(one)
            async with program(document, tmp_path, env=here(tmp_path)) as old:
                document["ops"] = f"127.0.0.1:{free_port()}"
                beside = tmp_path / "beside"
                beside.mkdir()
                async with program(document, beside, env=here(tmp_path)) as new:
                    # There is no discovery: it says that it serves all the same, after a while.
                    while await call(int(document["ops"][10:]), "GET", "ready") != 200:
                        await asyncio.sleep(0.01)
                    new.process.kill()
                    await new.process.wait()
                kept = await old.client()
                message: Message = await kept.ask(request())
                assert status(message) == 200
                await until(lambda: True)
                while "connection" in message.headers:  # until the end of the link is seen
                    kept = await old.client()
                    message = await kept.ask(request())
                assert await call(ops, "GET", "ready") == 200

    run(test())


def test_without_operators_nothing_of_this_is_loaded(tmp_path: Path) -> None:
    async def test() -> None:
        code = (
            "import sys, driftstair.daemon, driftstair.net.frontend, driftstair.net.node;"
            "sys.exit(any(name.startswith('driftstair.operations') for name in sys.modules))"
        )
        process = await start(tmp_path / "none", code=code)
        assert await process.wait() == 0

    run(test())
