"""Test support: parts of a control server in this process, and clients that call it over sockets."""

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
from driftstair.control.http_server import HttpServer, RespondFunction


def drain_change(name: str, reason: int | str = 0, expected: int | None = None) -> Change:
    """A change of a drain, a resource that refers to no other one."""
    content = msgspec.Raw(canonical_json({"reason": f"by {reason}"}))
    return Change(ResourceKind.DRAIN, name, content, expected)


def change_set(number: int, *changes: Change) -> ChangeSet:
    """A change set with an id made of `number`. Without changes it drains one server."""
    return ChangeSet(f"set-{number}", changes or (drain_change(f"s{number}", number),), 1)


class ScriptedSource:
    """A log without replicas. What a test commits is committed at once."""

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.oldest = 0
        self.leader_age_ms = 0
        self.read_positions: list[int] = []  # the `after` of each call of `entries`
        self._entries: list[LoggedChangeSet] = []

    @property
    def committed(self) -> int:
        """The last committed revision."""
        return self.state.revision

    def entries(self, after: int, count_max: int) -> list[LoggedChangeSet]:
        """Up to `count_max` change sets after a revision."""
        assert after >= self.oldest
        self.read_positions.append(after)
        return self._entries[after : after + count_max]

    def age_ms(self) -> int:
        """The age that the test has set."""
        return self.leader_age_ms

    def commit(self, count: int = 1, *changes: Change) -> None:
        """Commits `count` change sets, each with these changes."""
        for _ in range(count):
            entry = LoggedChangeSet(self.committed + 1, change_set(self.committed + 1, *changes))
            self._entries.append(entry)
            self.state.apply(entry)


class Answer(NamedTuple):
    """The answer to a call."""

    status: int
    body: bytes
    is_open: bool  # whether the server keeps the connection open

    @property
    def document(self) -> Any:
        """The body, decoded from JSON."""
        return json.loads(self.body)


class RunningHttpServer:
    """An HttpServer that listens on a loopback port within an `async with` block."""

    def __init__(
        self, respond: RespondFunction, body_bytes_max: Callable[[str], int] = lambda _: 1_000
    ) -> None:
        self.http = HttpServer(respond, body_bytes_max)
        self.address = ("", 0)

    async def __aenter__(self) -> RunningHttpServer:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.http.new_connection, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        self.http.close()


async def exchange(address: tuple[str, int], data: bytes, close_sending: bool = False) -> bytes:
    """Sends data and returns what the server sends until it closes the connection. `close_sending`: the
    client closes its sending side after the data."""
    reader, writer = await asyncio.open_connection(*address)
    async with asyncio.timeout(TIMEOUT_S):
        writer.write(data)
        if close_sending:
            writer.write_eof()
        try:
            return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()


async def call(address: tuple[str, int], method: str, target: str, body: bytes = b"") -> Answer:
    """Makes one call on a new connection."""
    reader, writer = await asyncio.open_connection(*address, limit=4 << 20)
    head = f"{method} {target} HTTP/1.1\r\nHost: test\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await read_answer(reader)
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    status = int(head.split(" ")[1])
    lengths = [line.split(": ")[1] for line in head.split("\r\n") if line.startswith("content-length")]
    body = await reader.readexactly(int(lengths[0])) if lengths else b""
    return Answer(status, body, "connection: close" not in head)


class WatchClient:
    """The watch of a node. It stores the lines that it receives and checks their framing."""

    def __init__(
        self, address: tuple[str, int], after_revision: int = 0, query: str = "", limit: int = 4 << 20
    ) -> None:
        self.address = address
        self.after_revision = after_revision
        self.query = query
        self.limit = limit
        self.lines: list[bytes] = []
        self.heartbeats = 0
        self.ended = asyncio.Event()
        self._line_arrived = asyncio.Event()

    async def __aenter__(self) -> WatchClient:
        self.reader, self.writer = await asyncio.open_connection(*self.address, limit=self.limit)
        target = f"/configuration?watch=1&from={self.after_revision}&node=n1{self.query}"
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
                self._add_line(chunk[:-3])
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            self.ended.set()
        finally:
            self._line_arrived.set()

    def _add_line(self, line: bytes) -> None:
        if line:
            self.lines.append(line)
        else:
            self.heartbeats += 1
        self._line_arrived.set()

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Waits until a condition holds, which is checked after each line."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await self._line_arrived.wait()
                self._line_arrived.clear()

    def messages(self) -> list[WatchMessage]:
        """All messages received."""
        return [decode_watch_message(line) for line in self.lines]

    def freshness(self) -> list[Freshness]:
        """All `Freshness` messages received."""
        return [message for message in self.messages() if isinstance(message, Freshness)]

    def changes(self) -> list[Changes]:
        """All `Changes` messages received."""
        return [message for message in self.messages() if isinstance(message, Changes)]

    def parts(self) -> list[SnapshotPart]:
        """All `SnapshotPart` messages received."""
        return [message for message in self.messages() if isinstance(message, SnapshotPart)]

    def revisions(self) -> list[int]:
        """The revisions of all change sets received."""
        return [entry.revision for message in self.changes() for entry in message.change_sets]

    def has_reached(self, revision: int) -> bool:
        """Whether the change set of `revision` or a later one was received."""
        revisions = self.revisions()
        return bool(revisions) and revisions[-1] >= revision

    def applied_state(self) -> dict[str, tuple[int, bytes]]:
        """The revision and content by key that a node has after applying all lines."""
        resources: dict[str, tuple[int, bytes]] = {}
        for message in self.messages():
            if isinstance(message, SnapshotPart):
                if message.first:
                    resources.clear()
                resources |= {
                    str(resource.key): (resource.revision, bytes(resource.content))
                    for resource in message.resources
                }
            elif isinstance(message, Changes):
                for entry in message.change_sets:
                    for change in entry.change_set.changes:
                        resources.pop(str(change.key), None)
                        if not change.deletes:
                            resources[str(change.key)] = (entry.revision, bytes(change.content))
        return resources


def content_of(state: ConfigurationState) -> dict[str, tuple[int, bytes]]:
    """The content of a state in the form of `WatchClient.applied_state`."""
    return {str(resource.key): (resource.revision, bytes(resource.content)) for resource in state.resources()}


class CapturedLog(logging.Handler):
    """A log handler that stores the records."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Stores a record."""
        self.records.append(record)

    def warnings(self) -> list[str]:
        """The messages of all warnings and errors."""
        return [record.getMessage() for record in self.records if record.levelno >= logging.WARNING]

    def tracebacks(self) -> list[str]:
        """The messages of all records with a traceback."""
        return [record.getMessage() for record in self.records if record.exc_info]


@contextmanager
def captured_log() -> Iterator[CapturedLog]:
    """Captures all log records of the block."""
    captured = CapturedLog()
    logger = logging.getLogger()
    logger.addHandler(captured)
    level = logger.level
    logger.setLevel(logging.INFO)
    try:
        yield captured
    finally:
        logger.setLevel(level)
        logger.removeHandler(captured)
