"""Several nodes with one failing discovery service: what each has learned afterwards."""

from __future__ import annotations

import asyncio
import json
import resource
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest
from rig import TIMEOUT_S, Client, Message, Server, configuration, read_message, request, run, status, until
from test_process import Program, program

NODES = 4
HEARTBEAT_S = 1.0  # between empty lines on a watch
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Registry:
    """The discovery service of all nodes; the test controls its failures."""

    def __init__(self) -> None:
        self.version = 7
        self.servers: list[Server] = []
        self.mute = False  # accepts calls and sends nothing on any connection
        self.calls = 0
        self.told: list[int] = []  # the version sent with each answer or change
        self.address = ""
        self._watches: list[asyncio.StreamWriter] = []
        self._open: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Registry:
        await self.come_up()
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._heartbeat_task.cancel()
        self.go_down()

    async def come_up(self) -> None:
        port = int(self.address.rsplit(":", 1)[1]) if self.address else 0
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        self.mute = False

    def go_down(self) -> None:
        """Refuses calls and ends watches."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in self._open:
            writer.transport.abort()
        self._open.clear()
        self._watches.clear()

    def silence_open_watches(self) -> None:
        """Open watches stay open and silent; later calls are answered."""
        self._watches.clear()

    def change(self, *servers: Server) -> None:
        self.servers = list(servers)
        self.version += 1
        for writer in self._watches:
            if not self.mute:
                self._tell(writer)

    def _tell(self, writer: asyncio.StreamWriter) -> None:
        entries = [server.entry() for server in self.servers]
        text = json.dumps({"version": self.version, "full": True, "servers": entries}).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        self.told.append(self.version)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.append(writer)
        try:
            await read_message(reader)
            self.calls += 1
            if not self.mute:
                writer.write(HEAD)
                self._tell(writer)
                self._watches.append(writer)
            await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()
            for kept in (self._watches, self._open):
                if writer in kept:
                    kept.remove(writer)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for writer in self._watches:
                if not self.mute:
                    writer.write(b"1\r\n\n\r\n")


async def nodes(
    stack: AsyncExitStack, document: dict[str, Any], folder: Path, how_many: int = NODES, **more: Any
) -> list[Program]:
    found = []
    for number in range(how_many):
        own = folder / f"n{number}"
        own.mkdir(exist_ok=True)
        document = document | {"name": f"n{number}", "seed": f"{number + 1:016x}"}
        found.append(await stack.enter_async_context(program(document, own, **more)))
    return found


async def ask(node: Program) -> Message:
    client = await node.client()
    try:
        return await client.ask(request())
    finally:
        client.writer.close()


async def is_up(node: Program) -> bool:
    client = await node.client()
    try:
        return status(await client.ask(request(target="/up", method="GET"))) == 200
    finally:
        client.writer.close()


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("how", ["down", "mute"])
def test_every_process_learns_of_a_drain_announced_while_discovery_was_unavailable(
    how: str, mode: str, tmp_path: Path
) -> None:
    """Idle clients use up the descriptors of each node, and its call to discovery needs a free one."""
    descriptors_max = 96

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors_max, descriptors_max))

    async def test() -> None:
        async with (
            AsyncExitStack() as stack,
            Registry() as registry,
            Server("s-1") as old,
            Server("s-2") as new,
        ):
            document = configuration(old, discovery=registry.address)
            document["limits"]["sockets"] = descriptors_max
            document["settings"]["MembershipMode"] = mode
            document["settings"]["Contract"]["AskWithin"] = 10**9  # so that the first calls come soon
            registry.servers = [old]
            programs = await nodes(stack, document, tmp_path, preexec_fn=limit)
            await until(lambda: len(registry.told) == NODES)  # each node has its watch
            if how == "down":
                registry.go_down()
            registry.mute = True
            idle_clients: list[Client] = []
            for node in programs:
                idle_clients += [await node.client() for _ in range(descriptors_max)]
                assert status(await ask(node)) == 200  # the current list still serves
            old.state = "Terminating"
            registry.change(old, new)
            if how == "down":
                await asyncio.sleep(1.0)  # some calls fail
                await registry.come_up()
            else:
                # The watches, silent since before the change, time out and are opened again.
                await until(lambda: registry.calls >= 2 * NODES and not registry._watches)
                registry.mute = False
            await until(lambda: registry.told.count(registry.version) >= NODES)
            seen = len(old.seen)
            for node in programs:
                while not new.seen:
                    await ask(node)
                before = len(new.seen)
                assert status(await ask(node)) == 200
                assert len(new.seen) == before + 1
            assert len(old.seen) == seen
            for node in programs:
                assert node.process.returncode is None
            for client in idle_clients:
                client.writer.close()

    run(test())


@pytest.mark.parametrize("known", [True, False])
def test_every_restarted_process_becomes_ready_though_discovery_is_unavailable_at_start(
    known: bool, tmp_path: Path
) -> None:
    """At once with the configured list; with an empty one, as soon as discovery is back."""

    async def test() -> None:
        async with AsyncExitStack() as stack, Registry() as registry, Server("s-1") as server:
            document = configuration(*([server] if known else []), discovery=registry.address)
            registry.servers = [server]
            registry.mute = True
            programs = await nodes(stack, document, tmp_path)
            assert [await is_up(node) for node in programs] == [known] * NODES
            if not known:
                await until(lambda: registry.calls >= NODES)
                registry.go_down()  # calls are refused for a while
                await asyncio.sleep(0.5)
                await registry.come_up()
                async with asyncio.timeout(TIMEOUT_S):
                    for node in programs:
                        while not await is_up(node):
                            await asyncio.sleep(0.05)
            for node in programs:
                assert status(await ask(node)) == 200

    run(test())
