"""The HTTP/1.1 server of a control server: connections, limits and time-outs.

Connections are persistent and carry one request at a time. An invalid request is logged in one line with its
sender and the reason, is answered where possible, and its connection is closed.
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

CONNECTIONS_MAX = 6_144  # a single server left takes all 3,100 watches and their reports, with a reserve
REQUEST_TIMEOUT_S = 10.0  # from the first byte of a request to its last
IDLE_TIMEOUT_S = 75.0  # between two requests on a connection; peers send one every few hundred ms
WRITE_BUFFER_HIGH_BYTES = 64 << 10  # unsent bytes of a stream above which it is not writable
HEAD_TOO_LONG_TEXT = f"a head of more than {HEAD_BYTES_MAX:,} bytes"

RespondFunction = Callable[["HttpConnection", Request], Awaitable[Response | None]]


class HttpServer:
    """`respond` answers a request; it returns None if it has begun a stream with `begin_stream`.
    `body_bytes_max` returns the limit of the body for a path."""

    def __init__(self, respond: RespondFunction, body_bytes_max: Callable[[str], int]) -> None:
        self.respond = respond
        self.body_bytes_max = body_bytes_max
        self.refused_connections = 0
        self._connections: set[HttpConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def new_connection(self) -> HttpConnection:
        """The protocol factory for the event loop."""
        return HttpConnection(self)

    def add(self, connection: HttpConnection) -> bool:
        """Registers a connection. Returns False if the limit of connections is reached."""
        if len(self._connections) >= CONNECTIONS_MAX:
            if self.refused_connections % 1_000 == 0:
                log.warning("%d connections are open: more are refused", CONNECTIONS_MAX)
            self.refused_connections += 1
            return False
        self._connections.add(connection)
        return True

    def remove(self, connection: HttpConnection) -> None:
        """Removes a connection that has ended."""
        self._connections.discard(connection)

    def start_task(self, coroutine: Awaitable[None]) -> None:
        """Runs `coroutine` as a task, which `close` cancels."""
        task = asyncio.get_running_loop().create_task(cast("asyncio._CoroutineLike[None]", coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Aborts all connections and cancels all tasks."""
        for connection in list(self._connections):
            connection.abort()
        for task in self._tasks:
            task.cancel()


class HttpConnection(asyncio.Protocol):
    """A connection of one client. `on_closed` is called when it has ended, `on_writable` when its buffer
    has room again; both are for streams."""

    def __init__(self, server: HttpServer) -> None:
        self.peer = "?"
        self.on_closed: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.is_writable = True
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._deadline = 0.0  # on the clock of the event loop; 0: none
        self._is_answering = False
        self._is_streaming = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._target = b""
        self._path = ""
        self._query: dict[str, str] = {}
        self._parsed_head_bytes = 0  # of lines that the parser has passed on
        self._received_head_bytes = 0  # received while the head was incomplete
        self._body = bytearray()
        self._is_receiving = False
        self._error: HttpError | None = None

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        host, port = (transport.get_extra_info("peername") or ("?", 0))[:2]
        self.peer = f"{host}:{port}"
        if not self._server.add(self):
            transport.abort()
            return
        transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        self._parser = httptools.HttpRequestParser(self)
        self._set_deadline(REQUEST_TIMEOUT_S)

    def data_received(self, data: bytes) -> None:
        if self._parser is None:
            return
        if self._is_streaming:
            self._refuse(HttpError(400, "more after a watch was asked for"))
            return
        if not self._is_receiving and not self._is_answering:
            self._is_receiving = True
            self._set_deadline(REQUEST_TIMEOUT_S)
        if not self._path:
            self._received_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as problem:
            self._error = self._error or HttpError(400, f"no HTTP/1.1 request: {problem or type(problem)}")
        if not self._path and self._received_head_bytes > HEAD_BYTES_MAX:
            self._error = self._error or HttpError(413, HEAD_TOO_LONG_TEXT)
        if self._error is not None:
            self._refuse(self._error)

    def eof_received(self) -> bool:
        if self._is_receiving and not self._is_answering:
            log.warning("%s: half a request", self.peer)
        return self._is_answering  # a client that closes its sending side may still wait for the answer

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.remove(self)
        self._parser = None  # breaks the reference cycle between the two
        if self._timer is not None:
            self._timer.cancel()
        if self.on_closed is not None:
            self.on_closed()

    def pause_writing(self) -> None:
        self.is_writable = False

    def resume_writing(self) -> None:
        self.is_writable = True
        if self.on_writable is not None:
            self.on_writable()

    # Callbacks of the parser. It would discard the text of an exception raised here, so errors are stored.

    def on_message_begin(self) -> None:
        if self._is_answering:
            self._error = HttpError(400, "a request before the one before it was answered")

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._parsed_head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._parsed_head_bytes += len(name) + len(value) + 4
        if self._parsed_head_bytes > HEAD_BYTES_MAX:
            self._error = self._error or HttpError(413, HEAD_TOO_LONG_TEXT)

    def on_headers_complete(self) -> None:
        try:
            self._path, self._query = split_target(self._target)
        except HttpError as problem:
            self._error = self._error or problem

    def on_body(self, body: bytes) -> None:
        bytes_max = self._server.body_bytes_max(self._path)
        if len(self._body) + len(body) > bytes_max:
            self._error = self._error or HttpError(
                413, f"{self._path}: a body of more than {bytes_max:,} bytes"
            )
        else:
            self._body += body

    def on_message_complete(self) -> None:
        if self._error is not None or self._parser is None or self._is_answering:
            return
        method = self._parser.get_method().decode("ascii", "replace")
        request = Request(method, self._path, self._query, bytes(self._body), self.peer)
        self._is_answering = True
        self._deadline = 0.0
        self._server.start_task(self._answer(request, self._parser.should_keep_alive()))

    # Responses.

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
        self._reset_request()
        self._is_answering = False
        self.write(encode_response(response, not keep_alive))
        if keep_alive:
            self._set_deadline(IDLE_TIMEOUT_S)
        else:
            self.close()

    def _refuse(self, problem: HttpError) -> None:
        """Logs an invalid request in one line, answers it unless a stream has begun, and closes the
        connection."""
        if self._parser is None:
            return
        self._parser = None
        log.warning("%s: %s; closed", self.peer, problem)
        if not self._is_streaming:
            self.write(encode_response(error_response(problem.status, str(problem)), close=True))
        self.close()

    def begin_stream(self) -> None:
        """Sends the head of a response without end, whose chunks are sent with `write`."""
        self._is_streaming = True
        self.write(STREAM_HEAD)

    def write(self, data: bytes) -> None:
        """Sends data, unless the connection is closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Closes the connection once written data is sent."""
        if self._transport is not None:
            self._transport.close()
            self._set_deadline(REQUEST_TIMEOUT_S)  # aborts if the client reads nothing

    def abort(self) -> None:
        """Closes the connection at once and discards unsent data."""
        if self._transport is not None:
            self._transport.abort()

    # Time-outs. There is one timer; if the deadline was moved when it fires, it is set again.

    def _set_deadline(self, seconds: float) -> None:
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
        if self._is_receiving and self._parser is not None:
            log.warning("%s: a request was not whole after %g s; closed", self.peer, REQUEST_TIMEOUT_S)
        self.abort()
