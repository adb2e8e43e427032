"""The servers and the discovery server of a measured daemon, in a process of their own.

    python -m benchmarks.scale.origin SERVERS ROUTES TENANTS

The servers answer at once. Prints the addresses as one JSON object. The server lists have SERVERS entries,
which share a few listening sockets. With ROUTES above 0 there is also a control server, whose configuration
has so many routes and TENANTS tenants. Each line on standard input is a command: `change` makes discovery
send its watchers a change of one server, `whole` the full list, and `put` makes the control server send a
change of one route.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import uvloop

from benchmarks.scale import documents
from benchmarks.scale.control_source import ControlSource

LISTENER_COUNT = 16
# Between empty lines of a watch: a node considers a watch dead after 3 s of silence.
KEEP_ALIVE_INTERVAL_S = 1.5
BODY = b"." * 2_048
ANSWER = b"HTTP/1.1 200 OK\r\nX-Load: load_share=0.3,depth=0\r\nContent-Length: %d\r\n\r\n%s" % (
    len(BODY),
    BODY,
)
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Server(asyncio.Protocol):
    """Answers each request at once; requests have no body."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self._transport.write(ANSWER)


class Watcher(asyncio.Protocol):
    """One client that watches the server list."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        version = int(data.split(b"from=")[1].split(b" ")[0])
        self._transport.write(RESPONSE_HEAD)
        self._discovery.watchers.append(self)
        if version != self._discovery.version:
            self.send_line(self._discovery.full_list_line())

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._discovery.watchers:
            self._discovery.watchers.remove(self)

    def send_line(self, line: bytes) -> None:
        """Sends a line of the watch as one HTTP chunk."""
        self._transport.write(b"%x\r\n%s\r\n" % (len(line), line))


class Discovery:
    """The server list and its watchers."""

    def __init__(self, count: int, addresses: list[str]) -> None:
        self.version = 1
        self.watchers: list[Watcher] = []
        self._entries = list_entries(count, addresses)

    def full_list_line(self) -> bytes:
        """Returns the full list as a line of a watch."""
        return documents.encode_line({"version": self.version, "full": True, "servers": self._entries})

    def execute(self, command: str) -> None:
        """Sends all watchers a change for `change`, the full list for `whole`, and else an empty line."""
        if command in ("change", "whole"):
            self.version += 1
        line = b"\n"
        if command == "whole":
            line = self.full_list_line()
        elif command == "change":
            entry = self._entries[self.version * 7919 % len(self._entries)]
            entry["weight"] = 1.0 if entry["weight"] != 1.0 else 0.5
            line = documents.encode_line({"version": self.version, "full": False, "servers": [entry]})
        for watcher in self.watchers:
            watcher.send_line(line)


def list_entries(count: int, addresses: list[str]) -> list[dict[str, Any]]:
    """Returns the entries of a server list in which the servers share a few addresses."""
    return [
        {**documents.server_entry(number), "addr": addresses[number % len(addresses)]}
        for number in range(count)
    ]


async def serve(count: int, routes: int, tenants: int) -> None:
    """Serves and executes commands until standard input ends."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, "127.0.0.1", 0) for _ in range(LISTENER_COUNT)]
    addresses = [address_of(server) for server in servers]
    discovery = Discovery(count, addresses)
    discovery_server = await loop.create_server(lambda: Watcher(discovery), "127.0.0.1", 0)
    control_source = ControlSource(routes, tenants) if routes else None
    control_server = (
        None if control_source is None else await asyncio.start_server(control_source.serve, "127.0.0.1", 0)
    )
    addresses_by_role = {"servers": addresses, "discovery": address_of(discovery_server)}
    if control_server is not None:
        addresses_by_role["control"] = address_of(control_server)
    print(json.dumps(addresses_by_role), flush=True)
    commands = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    while True:
        try:
            line = await asyncio.wait_for(commands.readline(), KEEP_ALIVE_INTERVAL_S)
        except TimeoutError:
            line = b"alive"
        if not line:
            return  # the process that started this one has ended
        discovery.execute(line.decode().strip())
        if control_source is not None:
            control_source.execute(line.decode().strip())


def address_of(server: asyncio.Server) -> str:
    """Returns the address of a listening server as HOST:PORT."""
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(*map(int, sys.argv[1:])))
