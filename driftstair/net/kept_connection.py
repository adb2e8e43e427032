"""The client's end of a kept HTTP/1.1 connection: JSON documents are posted, one at a time.

Dialing, time limits and what is done after a failure are for whoever posts.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools

UNASKED = "an answer that nobody asked for"


class Answer(NamedTuple):
    """A whole answer."""

    status: int
    body: bytes


class CallError(Exception):
    """No answer; whether the other side got the document is not known. The text says why."""


class KeptConnection(asyncio.Protocol):
    """A connection to `address`. Over after any failure: a new one has to be dialed."""

    def __init__(self, address: tuple[str, int], answer_bytes_max: int) -> None:
        """`answer_bytes_max`: of one answer, its head with it."""
        self.address = address
        self.is_over = False
        self._answer_bytes_max = answer_bytes_max
        self._answer_bytes = 0
        self._body = bytearray()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._waiting: asyncio.Future[Answer] | None = None

    async def post(self, target: str, document: bytes) -> Answer:
        """Raises CallError. A caller that gives up has to `close`: what would come is nobody's answer."""
        if self.is_over or self._transport is None:
            raise CallError("the connection has ended")
        self._answer_bytes = 0
        self._waiting = asyncio.get_running_loop().create_future()
        self._transport.write(encode_post(self.address, target, document))
        return await self._waiting

    def close(self) -> None:
        self._end("closed")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def data_received(self, data: bytes) -> None:
        self._answer_bytes += len(data)
        if self._parser is None:
            return
        if self._waiting is None:
            self._end(UNASKED)
            return
        if self._answer_bytes > self._answer_bytes_max:
            self._end(f"an answer of more than {self._answer_bytes_max:,} bytes")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._end(f"no HTTP answer: {problem}")

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(f"the connection ended: {exc or 'closed by the other side'}")

    # What the parser finds.

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if self._parser is None:
            return
        answer = Answer(self._parser.get_status_code(), bytes(self._body))
        self._body.clear()
        keeps_alive = self._parser.should_keep_alive()
        waiting, self._waiting = self._waiting, None
        if waiting is None:
            self._end(UNASKED)
            return
        if not waiting.done():
            waiting.set_result(answer)
        if not keeps_alive:
            self._end("closed by the other side")

    def _end(self, why: str) -> None:
        self.is_over = True
        self._parser = None  # the two hold each other
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_exception(CallError(why))
        if self._transport is not None:
            self._transport.abort()


def encode_post(address: tuple[str, int], target: str, document: bytes) -> bytes:
    """The bytes of a POST request with a JSON body."""
    host, port = address
    name = f"[{host}]" if ":" in host else host
    return (
        f"POST {target} HTTP/1.1\r\nHost: {name}:{port}\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(document)}\r\n\r\n"
    ).encode() + document
