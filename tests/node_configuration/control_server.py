"""A control server that a test scripts, on real sockets: it takes watches and reports."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs, urlsplit

import msgspec

from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.messages import (
    Changes,
    Freshness,
    NodeReport,
    SnapshotPart,
    WatchMessage,
    decode_report,
    encode,
)
from driftstair.configuration.resources import Resource, ResourceKind, canonical_json
from driftstair.configuration.state import ConfigurationState

ROUTE, TENANT, BUDGET, DRAIN = (
    ResourceKind.ROUTE, ResourceKind.TENANT, ResourceKind.BUDGET, ResourceKind.DRAIN,
)  # fmt: skip
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def change(kind: ResourceKind, name: str, content: object) -> Change:
    """`content` None deletes."""
    return Change(kind, name, msgspec.Raw(b"null" if content is None else canonical_json(content)))


class Log:
    """Change sets as control servers keep them, and the state that they add up to."""

    def __init__(self) -> None:
        self.entries: list[LoggedChangeSet] = []
        self.state = ConfigurationState()

    def put(self, *changes: Change) -> LoggedChangeSet:
        revision = len(self.entries) + 1
        entry = LoggedChangeSet(revision, ChangeSet(f"set-{revision}", changes))
        self.entries.append(entry)
        self.state.apply(entry)
        return entry

    def changes(self, base: int = 0, last: int | None = None) -> Changes:
        return Changes(base, tuple(self.entries[base:last]))

    def freshness(self, age_ms: int = 0) -> Freshness:
        return Freshness(self.state.revision, age_ms, f"{self.state.digest:016x}")

    def snapshot(self, *sizes: int) -> list[SnapshotPart]:
        """Parts of so many resources each, and one of the rest."""
        resources = list(self.state.resources())
        parts, first = [], 0
        for size in (*sizes, len(resources) - sum(sizes)):
            chosen: tuple[Resource, ...] = tuple(resources[first : first + size])
            last = first + size >= len(resources)
            parts.append(SnapshotPart(self.state.revision, first == 0, last, chosen))
            first += size
        return parts


class ControlServer:
    """Takes watches and holds them open; `begin` is said to each as it comes."""

    def __init__(self) -> None:
        self.queries: list[dict[str, str]] = []  # of the watches that came
        self.reports: list[NodeReport] = []
        self.report_connections = 0
        self.head = HEAD
        self.report_status = 204
        self.begin: list[WatchMessage] = []
        self.address = ""
        self._watches: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> ControlServer:
        await self.listen()
        return self

    async def listen(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """It is gone: nobody answers on its address."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.cut()

    def cut(self) -> None:
        """All watches end."""
        for writer in self._watches:
            writer.transport.abort()
        self._watches.clear()

    def say(self, *messages: WatchMessage) -> None:
        """To the watch that came last."""
        for message in messages:
            self.say_bytes(encode(message) + b"\n")

    def say_bytes(self, data: bytes) -> None:
        self._watches[-1].write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reports = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = urlsplit(head.split(" ")[1])
                if target.path == "/configuration":
                    await self._watch(target.query, reader, writer)
                    return
                self.report_connections += reports == 0
                reports += 1
                await self._report(head, reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _watch(self, query: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self.head)
        self._watches.append(writer)
        self.queries.append({name: values[0] for name, values in parse_qs(query).items()})
        if self.begin:
            self.say(*self.begin)
        await reader.read()

    async def _report(self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
        document = await reader.readexactly(length)
        self.reports.append(decode_report(document))
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % self.report_status)
