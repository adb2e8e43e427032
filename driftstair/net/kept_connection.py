"""Client side of a persistent HTTP/1.1 connection, over which JSON documents are posted one at a time.

The caller dials, sets time-outs and handles failures.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools

UNSOLICITED_ANSWER = "an answer that nobody asked for"


class Answer(NamedTuple):
    """A complete answer."""

    status: int
    body: bytes


class CallError(Exception):
    """No answer; whether the server received the document is unknown. The text has the reason."""


class PersistentConnection(asyncio.Protocol):
    """A connection to `address`. It can't be used after any failure: the caller has to dial a new one."""

    def __init__(self, address: tuple[str, int], answer_bytes_max: int) -> None:
        """`answer_bytes_max`: of one answer, including its head."""
        self.address = address
        self.is_over = False
        self._answer_bytes_max = answer_bytes_max
        self._answer_bytes = 0
        self._body = bytearray()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._pending: asyncio.Future[Answer] | None = None

    async def post(self, target: str, document: bytes) -> Answer:
        """Raises CallError. A caller that gives up has to call `close`, as the answer may still arrive."""
        if self.is_over or self._transport is None:
            raise CallError("the connection has ended")
        self._answer_bytes = 0
        self._pending = asyncio.get_running_loop().create_future()
        self._transport.write(encode_post(self.address, target, document))
        return await self._pending

    def close(self) -> None:
        self._end("closed")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass

    def data_received(self, data: bytes) -> None:
        self._answer_bytes += len(data)
        if self._parser is None:
            return
        if self._pending is None:
            self._end(UNSOLICITED_ANSWER)
            return
        if self._answer_bytes > self._answer_bytes_max:
            self._end(f"an answer of more than {self._answer_bytes_max:,} bytes")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._end(f"no HTTP answer: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(f"the connection ended: {exc or 'closed by the other side'}")

    # Callbacks of the parser.

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if self._parser is None:
            return
        answer = Answer(self._parser.get_status_code(), bytes(self._body))
        self._body.clear()
        keeps_alive = self._parser.should_keep_alive()
        pending, self._pending = self._pending, None
        if pending is None:
            self._end(UNSOLICITED_ANSWER)
            return
        if not pending.done():
            pending.set_result(answer)
        if not keeps_alive:
            self._end("closed by the other side")

    def _end(self, reason: str) -> None:
        self.is_over = True
        self._parser = None  # breaks the reference cycle
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(CallError(reason))
        if self._transport is not None:
            self._transport.abort()


def encode_post(address: tuple[str, int], target: str, document: bytes) -> bytes:
    """The bytes of a POST request with a JSON body."""
    host, port = address
    host_field = f"[{host}]" if ":" in host else host
    return (
        f"POST {target} HTTP/1.1\r\nHost: {host_field}:{port}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(document)}\r\n\r\n"
    ).encode() + document
