"""The HTTP/1.1 server of a control server: connections, bounds and time limits.

One request at a time on a connection, which is kept open. What is no request gets one log line that says what
and where, an answer where one can be given, and the connection is closed.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from driftstair.control.http import (
    HEAD_BYTES_MAX,
    STREAM_HEAD,
    HttpError,
    Request,
    Response,
    encode_response,
    error_response,
    split_target,
)

log = logging.getLogger(__name__)

CONNECTIONS_MAX = 6_144  # all 3,100 watches on one server that is left, their reports, and some more
REQUEST_S_MAX = 10.0  # s from a request's first byte to its last
IDLE_S_MAX = 75.0  # s between two requests of a connection; peers send one each few hundred ms
WRITE_HIGH_BYTES = 64 << 10  # that a stream holds unsent before it is not written to any more
HEAD_TOO_LONG = f"a head of more than {HEAD_BYTES_MAX:,} bytes"

Respond = Callable[["HttpConnection", Request], Awaitable[Response | None]]


class HttpServer:
    """`respond` answers a request; it returns None where it has begun a stream with `begin_stream`.
    `body_bytes_max` tells the greatest body by path."""

    def __init__(self, respond: Respond, body_bytes_max: Callable[[str], int]) -> None:
        self.respond = respond
        self.body_bytes_max = body_bytes_max
        self.refused_connections = 0
        self._connections: set[HttpConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def new_connection(self) -> HttpConnection:
        """The protocol factory for the loop."""
        return HttpConnection(self)

    def add(self, connection: HttpConnection) -> bool:
        """False: there are too many already."""
        if len(self._connections) >= CONNECTIONS_MAX:
            if self.refused_connections % 1_000 == 0:
                log.warning("%d connections are open: more are refused", CONNECTIONS_MAX)
            self.refused_connections += 1
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: HttpConnection) -> None:
        self._connections.discard(connection)

    def start(self, work: Awaitable[None]) -> None:
        """Runs `work` as a task of its own."""
        task = asyncio.get_running_loop().create_task(cast("asyncio._CoroutineLike[None]", work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        for connection in list(self._connections):
            connection.abort()
        for task in self._tasks:
            task.cancel()


class HttpConnection(asyncio.Protocol):
    """One client's connection. A stream tells of its end by `on_end`, of room to write by `on_writable`."""

    def __init__(self, server: HttpServer) -> None:
        self.peer = "?"
        self.on_end: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.is_writable = True
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline = 0.0  # on the loop's clock; 0: none
        self._answering = False
        self._streaming = False
        self._reset()

    def _reset(self) -> None:
        self._target = b""
        self._path = ""
        self._query: dict[str, str] = {}
        self._head_bytes = 0  # of lines that the parser told of
        self._unread_head_bytes = 0  # that came while the head was not whole
        self._body = bytearray()
        self._partial = False
        self._fault: HttpError | None = None

    # What the loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        host, port = (transport.get_extra_info("peername") or ("?", 0))[:2]
        self.peer = f"{host}:{port}"
        if not self._server.add(self):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._parser = httptools.HttpRequestParser(self)
        self._expect_within(REQUEST_S_MAX)

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        if self._streaming:
            self._refuse(HttpError(400, "more after a watch was asked for"))
            return
        if not self._partial and not self._answering:
            self._partial = True
            self._expect_within(REQUEST_S_MAX)
        if not self._path:
            self._unread_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._fault = self._fault or HttpError(400, f"no HTTP/1.1 request: {problem or type(problem)}")
        if not self._path and self._unread_head_bytes > HEAD_BYTES_MAX:
            self._fault = self._fault or HttpError(413, HEAD_TOO_LONG)
        if self._fault is not None:
            self._refuse(self._fault)

    def eof_received(self) -> bool:
        if self._partial and not self._answering:
            log.warning("%s: half a request", self.peer)
        return self._answering  # whoever has said all may wait for the answer

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove(self)
        self._parser = None  # the two hold each other
        if self._timer is not None:
            self._timer.cancel()
        if self.on_end is not None:
            self.on_end()

    def pause_writing(self) -> None:
        self.is_writable = False

    def resume_writing(self) -> None:
        self.is_writable = True
        if self.on_writable is not None:
            self.on_writable()

    # What the parser calls. An exception from here would lose its text, so faults are kept.

    def on_message_begin(self) -> None:
        if self._answering:
            self._fault = HttpError(400, "a request before the one before it was answered")

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head_bytes += len(name) + len(value) + 4
        if self._head_bytes > HEAD_BYTES_MAX:
            self._fault = self._fault or HttpError(413, HEAD_TOO_LONG)

    def on_headers_complete(self) -> None:
        try:
            self._path, self._query = split_target(self._target)
        except HttpError as problem:
            self._fault = self._fault or problem

    def on_body(self, body: bytes) -> None:
        most = self._server.body_bytes_max(self._path)
        if len(self._body) + len(body) > most:
            self._fault = self._fault or HttpError(413, f"{self._path}: a body of more than {most:,} bytes")
        else:
            self._body += body

    def on_message_complete(self) -> None:
        if self._fault is not None or self._parser is None or self._answering:
            return
        method = self._parser.get_method().decode("ascii", "replace")
        request = Request(method, self._path, self._query, bytes(self._body), self.peer)
        self._answering = True
        self._deadline = 0.0
        self._server.start(self._answer(request, self._parser.should_keep_alive()))

    # Answers.

    async def _answer(self, request: Request, keep_alive: bool) -> None:
        try:
            response = await self._server.respond(self, request)
        except HttpError as problem:
            self._refuse(problem)
            return
        except Exception:
            log.exception("%s %s of %s failed", request.method, request.path, request.peer)
            response = error_response(500, "the server's own fault, see its log")
        if response is None:
            return
        self._reset()
        self._answering = False
        self.write(encode_response(response, not keep_alive))
        if keep_alive:
            self._expect_within(IDLE_S_MAX)
        else:
            self.close()

    def _refuse(self, problem: HttpError) -> None:
        """One line in the log, an answer, and no more of this connection."""
        if self._parser is None:
            return
        self._parser = None
        log.warning("%s: %s; closed", self.peer, problem)
        if not self._streaming:
            self.write(encode_response(error_response(problem.status, str(problem)), close=True))
        self.close()

    def begin_stream(self) -> None:
        """Sends the head of an answer without end; chunks follow by `write`."""
        self._streaming = True
        self.write(STREAM_HEAD)

    def write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Once what was written is sent."""
        if self._transport is not None:
            self._transport.close()
            self._expect_within(REQUEST_S_MAX)  # for a reader that takes nothing

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    # Time limits: one timer, which looks again where the limit was moved.

    def _expect_within(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + seconds
        if self._timer is None or self._timer.when() > self._deadline or self._timer.when() < loop.time():
            if self._timer is not None:
                self._timer.cancel()
            self._timer = loop.call_at(self._deadline, self._check_deadline)

    def _check_deadline(self) -> None:
        loop = asyncio.get_running_loop()
        if not self._deadline:
            return
        if loop.time() < self._deadline:
            self._timer = loop.call_at(self._deadline, self._check_deadline)
            return
        if self._partial and self._parser is not None:
            log.warning("%s: a request was not whole after %g s; closed", self.peer, REQUEST_S_MAX)
        self.abort()
