"""A scripted control server: a snapshot to whoever watches from the beginning, then one change at a time."""

from __future__ import annotations

import asyncio

from benchmarks.scale import in_force

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REPORT_TAKEN = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"
HEADERS_END = b"\r\n\r\n"
LENGTH = b"content-length:"


class ControlSource:
    """A configuration of so many routes and tenants."""

    def __init__(self, routes: int, tenants: int) -> None:
        self._routes = routes
        self._revision = in_force.REVISION
        self._snapshot = in_force.snapshot_lines(routes, tenants)
        self._watchers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection: a watch, or reports of what is in force."""
        try:
            while True:
                head = await reader.readuntil(HEADERS_END)
                if b"watch=1" in head:
                    await self._watch(writer)
                    await reader.read()
                    return
                await reader.readexactly(_length(head))
                writer.write(REPORT_TAKEN)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            if writer in self._watchers:
                self._watchers.remove(writer)
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        writer.write(HEAD)
        for line in self._snapshot:
            writer.write(chunk(line + b"\n"))
            await writer.drain()  # as fast as the node takes them
        self._watchers.append(writer)

    def tell(self, what: str) -> None:
        """`put`: one route is changed; anything else is an empty line."""
        line = b""
        if what == "put":
            self._revision += 1
            line = in_force.change_line(self._revision, self._routes)
        for writer in self._watchers:
            writer.write(chunk(line + b"\n"))


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(LENGTH):
            return int(line[len(LENGTH) :])
    return 0
