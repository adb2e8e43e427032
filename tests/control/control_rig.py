"""Parts of a control server in this process, and clients that speak to it over sockets."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import msgspec
from rig import TIMEOUT_S

from driftstair.configuration.change_sets import Change, ChangeSet, LoggedChangeSet
from driftstair.configuration.messages import (
    Changes,
    Freshness,
    SnapshotPart,
    WatchMessage,
    decode_watch_message,
)
from driftstair.configuration.resources import ResourceKind, canonical_json
from driftstair.configuration.state import ConfigurationState
from driftstair.control.http_server import HttpServer, Respond


def drain(name: str, reason: int | str = 0, expected: int | None = None) -> Change:
    """A change of a resource that needs no other one."""
    content = msgspec.Raw(canonical_json({"reason": f"by {reason}"}))
    return Change(ResourceKind.DRAIN, name, content, expected)


def change_set(number: int, *changes: Change) -> ChangeSet:
    return ChangeSet(f"set-{number}", changes or (drain(f"s{number}", number),), 1)


class ScriptedSource:
    """A log without replicas: what a test commits is committed."""

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.oldest = 0
        self.age = 0
        self.asked: list[int] = []  # `after` of each reading of entries
        self._logged: list[LoggedChangeSet] = []

    @property
    def committed(self) -> int:
        return self.state.revision

    def entries(self, after: int, most: int) -> list[LoggedChangeSet]:
        assert after >= self.oldest
        self.asked.append(after)
        return self._logged[after : after + most]

    def age_ms(self) -> int:
        return self.age

    def commit(self, count: int = 1, *changes: Change) -> None:
        for _ in range(count):
            logged = LoggedChangeSet(self.committed + 1, change_set(self.committed + 1, *changes))
            self._logged.append(logged)
            self.state.apply(logged)


class Answer(NamedTuple):
    status: int
    body: bytes
    is_open: bool  # whether the server keeps the connection

    @property
    def said(self) -> Any:
        return json.loads(self.body)


class Served:
    """An HttpServer on a socket."""

    def __init__(self, respond: Respond, body_bytes_max: Callable[[str], int] = lambda _: 1_000) -> None:
        self.http = HttpServer(respond, body_bytes_max)
        self.address = ("", 0)

    async def __aenter__(self) -> Served:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.http.new_connection, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self.http.close()


async def exchange(address: tuple[str, int], data: bytes, end: bool = False) -> bytes:
    """What comes until the server closes the connection. `end`: the client's sending ends behind the data."""
    reader, writer = await asyncio.open_connection(*address)
    async with asyncio.timeout(TIMEOUT_S):
        writer.write(data)
        if end:
            writer.write_eof()
        try:
            return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()


async def ask(address: tuple[str, int], method: str, target: str, body: bytes = b"") -> Answer:
    """One call on a connection of its own."""
    reader, writer = await asyncio.open_connection(*address, limit=4 << 20)
    head = f"{method} {target} HTTP/1.1\r\nHost: test\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    status = int(head.split(" ")[1])
    lengths = [line.split(": ")[1] for line in head.split("\r\n") if line.startswith("content-length")]
    body = await reader.readexactly(int(lengths[0])) if lengths else b""
    return Answer(status, body, "connection: close" not in head)


class WatchClient:
    """A node's watch as a script: it keeps what it is told and checks that it is in order."""

    def __init__(
        self, address: tuple[str, int], start: int = 0, query: str = "", limit: int = 4 << 20
    ) -> None:
        self.address = address
        self.start = start
        self.query = query
        self.limit = limit
        self.lines: list[bytes] = []
        self.heartbeats = 0
        self.ended = asyncio.Event()
        self._arrived = asyncio.Event()

    async def __aenter__(self) -> WatchClient:
        self.reader, self.writer = await asyncio.open_connection(*self.address, limit=self.limit)
        target = f"/configuration?watch=1&from={self.start}&node=n1{self.query}"
        self.writer.write(f"GET {target} HTTP/1.1\r\nHost: test\r\n\r\n".encode())
        async with asyncio.timeout(TIMEOUT_S):
            head = await self.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 "), head
        self._task = asyncio.create_task(self._read())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._task.cancel()
        self.writer.transport.abort()

    async def _read(self) -> None:
        try:
            while True:
                size = int(await self.reader.readline(), 16)
                chunk = await self.reader.readexactly(size + 2)
                assert chunk.endswith(b"\n\r\n")
                self._take(chunk[:-3])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.ended.set()
        finally:
            self._arrived.set()

    def _take(self, line: bytes) -> None:
        if line:
            self.lines.append(line)
        else:
            self.heartbeats += 1
        self._arrived.set()

    async def until(self, what: Callable[[], object]) -> None:
        """Wait until it is so, looking each time that something came."""
        async with asyncio.timeout(TIMEOUT_S):
            while not what():
                await self._arrived.wait()
                self._arrived.clear()

    def messages(self) -> list[WatchMessage]:
        return [decode_watch_message(line) for line in self.lines]

    def freshness(self) -> list[Freshness]:
        return [one for one in self.messages() if isinstance(one, Freshness)]

    def changes(self) -> list[Changes]:
        return [one for one in self.messages() if isinstance(one, Changes)]

    def parts(self) -> list[SnapshotPart]:
        return [one for one in self.messages() if isinstance(one, SnapshotPart)]

    def revisions(self) -> list[int]:
        return [one.revision for message in self.changes() for one in message.change_sets]

    def has_reached(self, revision: int) -> bool:
        revisions = self.revisions()
        return bool(revisions) and revisions[-1] >= revision

    def final_state(self) -> dict[str, tuple[int, bytes]]:
        """Revision and content by key, of what a node would hold that applied all lines."""
        held: dict[str, tuple[int, bytes]] = {}
        for message in self.messages():
            if isinstance(message, SnapshotPart):
                if message.first:
                    held.clear()
                held |= {str(one.key): (one.revision, bytes(one.content)) for one in message.resources}
            elif isinstance(message, Changes):
                for logged in message.change_sets:
                    for change in logged.change_set.changes:
                        held.pop(str(change.key), None)
                        if not change.deletes:
                            held[str(change.key)] = (logged.revision, bytes(change.content))
        return held


def content_of(state: ConfigurationState) -> dict[str, tuple[int, bytes]]:
    """In the form of `WatchClient.final_state`."""
    return {str(one.key): (one.revision, bytes(one.content)) for one in state.resources()}


class LogLines(logging.Handler):
    """Log records of the control server, without their tracebacks."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)

    def warnings(self) -> list[str]:
        return [one.getMessage() for one in self.records if one.levelno >= logging.WARNING]

    def tracebacks(self) -> list[str]:
        return [one.getMessage() for one in self.records if one.exc_info]


@contextmanager
def logged() -> Iterator[LogLines]:
    """What is logged within, by any part."""
    lines = LogLines()
    logger = logging.getLogger()
    logger.addHandler(lines)
    level = logger.level
    logger.setLevel(logging.INFO)
    try:
        yield lines
    finally:
        logger.setLevel(level)
        logger.removeHandler(lines)
