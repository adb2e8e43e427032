"""A control server on real sockets that is scripted by a test. It accepts watches and reports."""

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
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def change(kind: ResourceKind, name: str, content: object) -> Change:
    """A change of one resource. `content`: None to delete it."""
    return Change(kind, name, msgspec.Raw(b"null" if content is None else canonical_json(content)))


class ChangeLog:
    """A log of change sets, as control servers keep it, and the state that results from it."""

    def __init__(self) -> None:
        self.entries: list[LoggedChangeSet] = []
        self.state = ConfigurationState()

    def put(self, *changes: Change) -> LoggedChangeSet:
        """Appends a change set."""
        revision = len(self.entries) + 1
        entry = LoggedChangeSet(revision, ChangeSet(f"set-{revision}", changes))
        self.entries.append(entry)
        self.state.apply(entry)
        return entry

    def changes(self, base: int = 0, last: int | None = None) -> Changes:
        """The change sets after revision `base`, up to revision `last` or the end."""
        return Changes(base, tuple(self.entries[base:last]))

    def freshness(self, age_ms: int = 0) -> Freshness:
        """The freshness of a server that has the whole log."""
        return Freshness(self.state.revision, age_ms, f"{self.state.digest:016x}")

    def snapshot(self, *sizes: int) -> list[SnapshotPart]:
        """The parts of a snapshot: one of each of these sizes, and one with the remaining resources."""
        resources = list(self.state.resources())
        parts, first = [], 0
        for size in (*sizes, len(resources) - sum(sizes)):
            resources_of_part: tuple[Resource, ...] = tuple(resources[first : first + size])
            last = first + size >= len(resources)
            parts.append(SnapshotPart(self.state.revision, first == 0, last, resources_of_part))
            first += size
        return parts


class ControlServer:
    """Accepts watches and keeps them open. `initial_messages` are sent on each new watch."""

    def __init__(self) -> None:
        self.queries: list[dict[str, str]] = []  # of the watches, in the order in which they were opened
        self.reports: list[NodeReport] = []
        self.report_connections = 0
        self.response_head = RESPONSE_HEAD
        self.report_status = 204
        self.initial_messages: list[WatchMessage] = []
        self.address = ""
        self._watches: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> ControlServer:
        await self.listen()
        return self

    async def listen(self, port: int = 0) -> None:
        """Starts to listen, on a free port by default."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def __aexit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Ends all watches and stops listening: connections to the address are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.abort_watches()

    def abort_watches(self) -> None:
        """Aborts the connections of all watches."""
        for writer in self._watches:
            writer.transport.abort()
        self._watches.clear()

    def send(self, *messages: WatchMessage) -> None:
        """Sends messages on the watch that was opened last."""
        for message in messages:
            self.send_bytes(encode(message) + b"\n")

    def send_bytes(self, data: bytes) -> None:
        """Sends one chunk of raw data on the watch that was opened last."""
        self._watches[-1].write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        report_count = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = urlsplit(head.split(" ")[1])
                if target.path == "/configuration":
                    await self._watch(target.query, reader, writer)
                    return
                self.report_connections += report_count == 0
                report_count += 1
                await self._report(head, reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _watch(self, query: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(self.response_head)
        self._watches.append(writer)
        self.queries.append({name: values[0] for name, values in parse_qs(query).items()})
        if self.initial_messages:
            self.send(*self.initial_messages)
        await reader.read()

    async def _report(self, head: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
        document = await reader.readexactly(length)
        self.reports.append(decode_report(document))
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % self.report_status)
