"""Discovery in a run: a single service, or one agent per node where lists are pushed. It listens at two
addresses for each node; it can be down, mute or slow, or lose its watches. It records when it informed which
node."""

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

HEARTBEAT_INTERVAL_S = 1.5  # between empty lines on a watch
INFORMED_AFTER_S = 6.0  # after a change, if discovery was reachable all the time, a node counts as informed
RELOAD_ALLOWANCE_S = 4.0  # after SIGHUP, from when on a node counts as informed of what its agent has
SLOW_CALL_S = 0.08  # how long a call takes while discovery is slow
ADDRESSES_PER_NODE = 2  # a reload switches the node to the other one
RESPONSE_HEADER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Registry:
    """Serves the list of servers to the nodes, with faults."""

    def __init__(self, servers: list[FakeServer], nodes: int, records: Records, pushed: bool = False) -> None:
        """`nodes`: how many there are; `pushed`: lists are pushed, so that each node has an agent."""
        self.is_slow = False
        self.is_mute = False
        self.version = 1
        self._servers = servers
        self._node_count = nodes
        self._records = records
        self._pushed = pushed
        # The ports stay reserved while nothing listens on them, or another run could take one.
        self._ports = [[ports.reserve_tcp() for _ in range(ADDRESSES_PER_NODE)] for _ in range(nodes)]
        self._listeners: list[asyncio.Server] = []
        self._watches: dict[asyncio.StreamWriter, int] = {}  # that get changes; the node of each
        self._silent_watches: dict[asyncio.StreamWriter, int] = {}  # on which nothing more is sent
        self._open_connections: set[asyncio.StreamWriter] = set()
        self._slow_call_lock = asyncio.Lock()  # serialises calls while discovery is slow
        self._reachable_since = monotonic()
        self._heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        await self.come_up()
        self._heartbeat_task = asyncio.get_running_loop().create_task(self._send_heartbeats())

    def stop(self) -> None:
        """Closes all connections and releases the ports."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()
        self.go_down()
        for node_ports in self._ports:
            for port in node_ports:
                port.release()

    def address(self, node: int, index: int) -> str:
        """One of the addresses for a node."""
        return f"{HOST}:{self._ports[node][index].number}"

    def server_list(self) -> dict[str, Any]:
        """The full list of servers, in the format of the nodes' configuration."""
        return {
            "version": self.version,
            "full": True,
            "servers": [server.list_entry() for server in self._servers],
        }

    # Faults.

    async def come_up(self) -> None:
        """Listens at all addresses."""
        for node in range(self._node_count):
            for index in range(ADDRESSES_PER_NODE):
                listener = await asyncio.start_server(
                    lambda reader, writer, node=node: self._serve(node, reader, writer),  # type: ignore[misc]
                    HOST,
                    self._ports[node][index].number,
                )
                self._listeners.append(listener)
        self._reachable_since = monotonic()
        self._record_agents_informed(self._servers)

    def go_down(self) -> None:
        """Stops to listen and resets all connections."""
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        for writer in list(self._open_connections):
            writer.transport.abort()
        self._watches.clear()

    def set_mute(self, mute: bool) -> None:
        """Mutes discovery, or unmutes it and sends all servers on the open watches."""
        self.is_mute = mute
        if not mute:
            self._reachable_since = monotonic()
            for writer, node in self._watches.items():
                # The watches have missed the changes in between.
                self._send_servers(writer, node, full=False, servers=self._servers)
            self._record_agents_informed(self._servers)

    def end_watches(self) -> None:
        """Resets the connections of all watches."""
        for writer in list(self._watches):
            writer.transport.abort()
        self._watches.clear()

    def silence_watches(self) -> None:
        """Leaves all watches open, but sends nothing more on them."""
        self._silent_watches |= self._watches
        self._watches.clear()

    # Changes.

    def change_state(self, server: FakeServer, state: str) -> None:
        """Changes the state of a server and sends it on the watches."""
        server.state, server.changed_at = state, monotonic()
        self.version += 1
        for writer, node in list(self._watches.items()):
            if not self.is_mute:
                self._send_servers(writer, node, full=False, servers=[server])
        self._record_agents_informed([server])
        if state == "Terminating":
            loop = asyncio.get_running_loop()
            loop.call_later(INFORMED_AFTER_S, self._record_all_informed, server, server.changed_at)

    def _record_agents_informed(self, servers: list[FakeServer]) -> None:
        """Where lists are pushed, a node counts as informed of what its agent has, whether or not a watch is
        open. A node with a silent watch does not, since it has to detect that first."""
        if not self._pushed or self.is_mute or not self._listeners:
            return
        silent_nodes = set(self._silent_watches.values())
        for number, node in enumerate(self._records.nodes):
            if number in silent_nodes:
                continue
            informed_at = max(monotonic(), max(node.reload_times, default=0.0) + RELOAD_ALLOWANCE_S)
            for server in servers:
                if server.state == "Terminating":
                    node.record_draining(server.name, informed_at)

    def _record_all_informed(self, server: FakeServer, changed_at: float) -> None:
        """Counts all nodes that discovery could have informed since the change as informed, whether or not
        they received it."""
        is_reachable = self._reachable_since <= changed_at and bool(self._listeners) and not self.is_mute
        if server.changed_at != changed_at or not is_reachable:
            return
        for node in self._records.nodes:
            if not node.last_stall_end(changed_at, monotonic()) and not any(
                at > changed_at for at in node.kill_times
            ):
                node.record_draining(server.name, monotonic())

    def _send_servers(
        self, writer: asyncio.StreamWriter, node: int, full: bool, servers: list[FakeServer]
    ) -> None:
        document = {
            "version": self.version,
            "full": full,
            "servers": [server.list_entry() for server in servers],
        }
        line = json.dumps(document).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        node_record = self._records.nodes[node]
        for server in servers:
            if server.state == "Ready":
                node_record.record_ready(server.name, monotonic())
            else:
                node_record.record_draining(server.name, monotonic())

    async def _serve(self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open_connections.add(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            if not self.is_mute:
                if self.is_slow and self._pushed:
                    await asyncio.sleep(SLOW_CALL_S)
                elif self.is_slow:
                    async with self._slow_call_lock:
                        await asyncio.sleep(SLOW_CALL_S)
                if reader.at_eof():
                    return  # the node has closed the connection, so a list written here informs nobody
                writer.write(RESPONSE_HEADER)
                self._send_servers(writer, node, full=True, servers=self._servers)
                self._watches[writer] = node
            await reader.read()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._open_connections.discard(writer)
            self._watches.pop(writer, None)
            self._silent_watches.pop(writer, None)
            writer.close()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for writer in list(self._watches):
                if not self.is_mute:
                    with suppress(OSError):
                        writer.write(b"1\r\n\n\r\n")
