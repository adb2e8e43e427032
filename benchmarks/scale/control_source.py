"""A scripted control server, which sends each watcher a snapshot and then one change at a time."""

from __future__ import annotations

import asyncio

from benchmarks.scale import in_force

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REPORT_ACCEPTED = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"
HEADERS_END = b"\r\n\r\n"
CONTENT_LENGTH = b"content-length:"


class ControlSource:
    """Serves a configuration with a given number of routes and tenants."""

    def __init__(self, routes: int, tenants: int) -> None:
        self._routes = routes
        self._revision = in_force.REVISION
        self._snapshot = in_force.snapshot_lines(routes, tenants)
        self._watchers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection, which carries a watch or reports of the configuration in force."""
        try:
            while True:
                head = await reader.readuntil(HEADERS_END)
                if b"watch=1" in head:
                    await self._watch(writer)
                    await reader.read()
                    return
                await reader.readexactly(_content_length(head))
                writer.write(REPORT_ACCEPTED)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if writer in self._watchers:
                self._watchers.remove(writer)
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(RESPONSE_HEAD)
        for line in self._snapshot:
            writer.write(encode_chunk(line + b"\n"))
            await writer.drain()  # sends no faster than the node reads
        self._watchers.append(writer)

    def execute(self, command: str) -> None:
        """Sends all watchers a change of one route for `put`, and else an empty line."""
        line = b""
        if command == "put":
            self._revision += 1
            line = in_force.change_line(self._revision, self._routes)
        for writer in self._watchers:
            writer.write(encode_chunk(line + b"\n"))


def encode_chunk(data: bytes) -> bytes:
    """Returns data as a chunk of the chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(CONTENT_LENGTH):
            return int(line[len(CONTENT_LENGTH) :])
    return 0
