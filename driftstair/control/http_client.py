"""A kept connection to another control server: one POST at a time, each with a time limit."""

from __future__ import annotations

import asyncio
from typing import cast

import httptools

from driftstair.control.http import Response, encode_post

DIAL_S_MAX = 2.0  # s until a connection is up; a round trip between regions takes 0.3 s at most
ANSWER_BYTES_MAX = 64 << 10


class CallError(Exception):
    """No answer; whether the other server got the request is not known. The text says why."""


class HttpClient:
    """Dials when a request needs it and keeps the connection while answers come."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._connection: _ClientConnection | None = None

    async def post(self, target: str, body: bytes, answer_s_max: float) -> Response:
        """Raises CallError. One caller at a time."""
        try:
            if self._connection is None or self._connection.is_over:
                self._connection = await self._dial()
            async with asyncio.timeout(answer_s_max):
                return await self._connection.ask(encode_post(self.address, target, body))
        except TimeoutError:
            self.close()
            raise CallError(f"no answer within {answer_s_max:g} s") from None
        except OSError as problem:
            self.close()
            raise CallError(problem.strerror or str(problem)) from None
        except BaseException:  # what would come is the answer to a request that nobody waits for
            self.close()
            raise

    async def _dial(self) -> _ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_S_MAX):
                _, connection = await loop.create_connection(_ClientConnection, *self.address)
        except TimeoutError:
            raise CallError(f"no connection within {DIAL_S_MAX:g} s") from None
        return connection

    def close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()


class _ClientConnection(asyncio.Protocol):
    def __init__(self) -> None:
        self.is_over = False
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._waiting: asyncio.Future[Response] | None = None

    async def ask(self, request: bytes) -> Response:
        assert self._transport is not None and self._waiting is None
        self._waiting = asyncio.get_running_loop().create_future()
        self._transport.write(request)
        return await self._waiting

    def abort(self) -> None:
        self._end("closed")
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._end(f"no HTTP answer: {problem}")
        if self.is_over and self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._end(f"the connection ended: {exc or 'closed by the other side'}")

    def _end(self, why: str) -> None:
        self.is_over = True
        self._parser = None  # the two hold each other
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_exception(CallError(why))

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > ANSWER_BYTES_MAX:
            self._end(f"an answer of more than {ANSWER_BYTES_MAX:,} bytes")

    def on_message_complete(self) -> None:
        if self._parser is None:
            return
        response = Response(self._parser.get_status_code(), bytes(self._body))
        self._body.clear()
        if not self._parser.should_keep_alive():
            self.is_over = True
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.done():
            waiting.set_result(response)
