"""What a daemon stands before, in a process of its own: servers that answer at once, and a discovery server.

    python -m benchmarks.scale.origin SERVERS ROUTES TENANTS

Prints the addresses as one JSON object. Lists name SERVERS servers, spread over a few listening sockets. With
ROUTES there is a control server too, whose configuration has so many routes and TENANTS. A line on standard
input makes discovery tell its watchers something, `change` of one server or a `whole` list, or the control
server `put`: one route is changed.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import uvloop

from benchmarks.scale import documents
from benchmarks.scale.control_source import ControlSource

LISTENERS = 16
ALIVE_EVERY = 1.5  # s between two empty lines of a watch: the node takes three without any for a dead one
BODY = b"." * 2_048
ANSWER = b"HTTP/1.1 200 OK\r\nX-Load: load_share=0.3,depth=0\r\nContent-Length: %d\r\n\r\n%s" % (
    len(BODY),
    BODY,
)
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Server(asyncio.Protocol):
    """Answers each request without a body at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        if data.endswith(b"\r\n\r\n"):
            self._transport.write(ANSWER)


class Watcher(asyncio.Protocol):
    """One watch of the list."""

    def __init__(self, discovery: Discovery) -> None:
        self._discovery = discovery

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport: Any = transport

    def data_received(self, data: bytes) -> None:
        version = int(data.split(b"from=")[1].split(b" ")[0])
        self._transport.write(HEAD)
        self._discovery.watchers.append(self)
        if version != self._discovery.version:
            self.tell(self._discovery.whole())

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._discovery.watchers:
            self._discovery.watchers.remove(self)

    def tell(self, line: bytes) -> None:
        self._transport.write(b"%x\r\n%s\r\n" % (len(line), line))


class Discovery:
    """The list, and who watches it."""

    def __init__(self, count: int, addresses: list[str]) -> None:
        self.version = 1
        self.watchers: list[Watcher] = []
        self._entries = listed(count, addresses)

    def whole(self) -> bytes:
        return documents.line({"version": self.version, "full": True, "servers": self._entries})

    def tell(self, what: str) -> None:
        """`change` or `whole`; anything else is an empty line."""
        if what in ("change", "whole"):
            self.version += 1
        line = b"\n"
        if what == "whole":
            line = self.whole()
        elif what == "change":
            entry = self._entries[self.version * 7919 % len(self._entries)]
            entry["weight"] = 1.0 if entry["weight"] != 1.0 else 0.5
            line = documents.line({"version": self.version, "full": False, "servers": [entry]})
        for watcher in self.watchers:
            watcher.tell(line)


def listed(count: int, addresses: list[str]) -> list[dict[str, Any]]:
    """Entries of a list whose servers share a few addresses."""
    return [
        {**documents.server_entry(number), "addr": addresses[number % len(addresses)]}
        for number in range(count)
    ]


async def serve(count: int, routes: int, tenants: int) -> None:
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(Server, "127.0.0.1", 0) for _ in range(LISTENERS)]
    addresses = [address(server) for server in servers]
    discovery = Discovery(count, addresses)
    watches = await loop.create_server(lambda: Watcher(discovery), "127.0.0.1", 0)
    source = ControlSource(routes, tenants) if routes else None
    control = None if source is None else await asyncio.start_server(source.serve, "127.0.0.1", 0)
    where = {"servers": addresses, "discovery": address(watches)}
    if control is not None:
        where["control"] = address(control)
    print(json.dumps(where), flush=True)
    orders = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(orders), sys.stdin)
    while True:
        try:
            line = await asyncio.wait_for(orders.readline(), ALIVE_EVERY)
        except TimeoutError:
            line = b"alive"
        if not line:
            return  # whoever started it is gone
        discovery.tell(line.decode().strip())
        if source is not None:
            source.tell(line.decode().strip())


def address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


if __name__ == "__main__":
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(*map(int, sys.argv[1:])))
