"""Discovery of a run: one service, or an agent of each node where lists are pushed. It has two addresses for
each node, can be down, mute, slow, or lose its watches, and records when it has told whom."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from time import monotonic
from typing import Any

from benchmarks.soak.platform import HOST
from benchmarks.soak.records import Records
from benchmarks.soak.servers import FakeServer
from driftstair.rehearsal import ports

BEAT = 1.5  # s between empty lines on a watch
COUNTS_AS_TOLD = 6.0  # s after discovery had a change and could be reached
AFTER_RELOAD = 4.0  # s after SIGHUP from which on what an agent has counts as told
SLOW = 0.08  # s that a call takes while it is slow
PLACES = 2  # addresses for each node: a reload moves it to the other one
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Registry:
    def __init__(self, servers: list[FakeServer], nodes: int, records: Records, pushed: bool = False) -> None:
        self.slow = False
        self.mute = False
        self.version = 1
        self._servers = servers
        self._nodes = nodes
        self._records = records
        self._pushed = pushed
        # Held also while nobody listens: another run would take one.
        self._ports = [[ports.reserve_tcp() for _ in range(PLACES)] for _ in range(nodes)]
        self._listening: list[asyncio.Server] = []
        self._watches: dict[asyncio.StreamWriter, int] = {}  # those that are told, and whose they are
        self._silent: dict[asyncio.StreamWriter, int] = {}  # those on which nothing comes any more
        self._open: set[asyncio.StreamWriter] = set()
        self._turn = asyncio.Lock()  # of calls, while it is slow
        self._reachable_since = monotonic()
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        await self.come_up()
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    def stop(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        self.go_down()
        for held in self._ports:
            for port in held:
                port.release()

    def address(self, node: int, place: int) -> str:
        return f"{HOST}:{self._ports[node][place].number}"

    def known(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": [one.entry() for one in self._servers]}

    # Faults.

    async def come_up(self) -> None:
        for node in range(self._nodes):
            for place in range(PLACES):
                server = await asyncio.start_server(
                    lambda reader, writer, node=node: self._serve(node, reader, writer),  # type: ignore[misc]
                    HOST,
                    self._ports[node][place].number,
                )
                self._listening.append(server)
        self._reachable_since = monotonic()
        self._agents_have(self._servers)

    def go_down(self) -> None:
        for server in self._listening:
            server.close()
        self._listening.clear()
        for writer in list(self._open):
            writer.transport.abort()
        self._watches.clear()

    def set_mute(self, mute: bool) -> None:
        self.mute = mute
        if not mute:
            self._reachable_since = monotonic()
            for writer, node in self._watches.items():
                self._tell(writer, node, full=False, entries=self._servers)  # what they have missed
            self._agents_have(self._servers)

    def end_watches(self) -> None:
        for writer in list(self._watches):
            writer.transport.abort()
        self._watches.clear()

    def silence_watches(self) -> None:
        """They stay open, and nothing comes on them any more."""
        self._silent |= self._watches
        self._watches.clear()

    # Changes.

    def change(self, server: FakeServer, state: str) -> None:
        server.state, server.changed_at = state, monotonic()
        self.version += 1
        for writer, node in list(self._watches.items()):
            if not self.mute:
                self._tell(writer, node, full=False, entries=[server])
        self._agents_have([server])
        if state == "Terminating":
            loop = asyncio.get_running_loop()
            loop.call_later(COUNTS_AS_TOLD, self._counts_as_told, server, server.changed_at)

    def _agents_have(self, servers: list[FakeServer]) -> None:
        """Where lists are pushed, what a node's agent has counts as told, whether or not a watch is open;
        a silent one has to be found first."""
        if not self._pushed or self.mute or not self._listening:
            return
        silent = set(self._silent.values())
        for number, node in enumerate(self._records.nodes):
            if number in silent:
                continue
            at = max(monotonic(), max(node.reloads, default=0.0) + AFTER_RELOAD)
            for server in servers:
                if server.state == "Terminating":
                    node.told_leaving(server.name, at)

    def _counts_as_told(self, server: FakeServer, changed: float) -> None:
        """To all nodes that discovery could have told for so long, whether or not it arrived."""
        reachable = self._reachable_since <= changed and bool(self._listening) and not self.mute
        if server.changed_at != changed or not reachable:
            return
        for node in self._records.nodes:
            if not node.stalled(changed, monotonic()) and not any(at > changed for at in node.killed):
                node.told_leaving(server.name, monotonic())

    def _tell(self, writer: asyncio.StreamWriter, node: int, full: bool, entries: list[FakeServer]) -> None:
        document = {"version": self.version, "full": full, "servers": [one.entry() for one in entries]}
        text = json.dumps(document).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))
        told = self._records.nodes[node]
        for server in entries:
            if server.state == "Ready":
                told.told_ready(server.name, monotonic())
            else:
                told.told_leaving(server.name, monotonic())

    async def _serve(self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            if not self.mute:
                if self.slow and self._pushed:
                    await asyncio.sleep(SLOW)
                elif self.slow:
                    async with self._turn:
                        await asyncio.sleep(SLOW)
                if reader.at_eof():
                    return  # the node has given the call up: nobody is told by what is written here
                writer.write(HEAD)
                self._tell(writer, node, full=True, entries=self._servers)
                self._watches[writer] = node
            await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._open.discard(writer)
            self._watches.pop(writer, None)
            self._silent.pop(writer, None)
            writer.close()

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            for writer in list(self._watches):
                if not self.mute:
                    with suppress(OSError):
                        writer.write(b"1\r\n\n\r\n")
