"""HTTP POSTs on a kept connection, one at a time."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from driftstair.net.system import System
from driftstair.node_configuration.servers import Address

ANSWER_BYTES_MAX = 16 << 10


class PostError(Exception):
    """No answer: whether the server has the document is not known."""


class PostConnection(asyncio.Protocol):
    """A connection to one server. Over after any failure: a new one has to be dialed."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.is_over = False
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._answer_bytes = 0
        self._waiting: asyncio.Future[int] | None = None

    @staticmethod
    async def dial(system: System, address: Address) -> PostConnection:
        """Raises OSError."""
        return cast(PostConnection, await system.dial(lambda: PostConnection(address), address))

    async def post(self, target: str, document: bytes) -> int:
        """The answer's status. Raises PostError; a caller that gives up has to `close`."""
        if self.is_over or self._transport is None:
            raise PostError("the connection has ended")
        host, port = self.address
        head = (
            f"POST {target} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(document)}\r\n\r\n"
        )
        self._answer_bytes = 0
        self._waiting = asyncio.get_running_loop().create_future()
        self._transport.write(head.encode() + document)
        return await self._waiting

    def close(self) -> None:
        self._end("closed")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def data_received(self, data: bytes) -> None:
        self._answer_bytes += len(data)
        if self._parser is None:
            return
        if self._waiting is None or self._answer_bytes > ANSWER_BYTES_MAX:
            self._end("an answer that nobody asked for, or without end")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._end(f"unreadable: {problem!r}")

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(f"the connection ended: {exc!r}")

    def on_message_complete(self) -> None:
        if self._parser is None:
            return
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.is_over = True
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result(status)

    def _end(self, why: str) -> None:
        self.is_over = True
        self._parser = None  # the two hold each other
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_exception(PostError(why))
        if self._transport is not None:
            self._transport.abort()
