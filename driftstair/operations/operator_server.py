"""The server of the operators' API: HTTP/1.1 on a second address, one call per connection, answered within 1
s.

Callers that send nothing or an incomplete call can't block others: at most `CALLERS_MAX` connections wait for
a complete call, each for at most `CALL_S_MAX`, and a new caller displaces the one that has waited longest.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from driftstair.net.system import Listener, System
from driftstair.operations.calls import Call, CallError, parse

log = logging.getLogger(__name__)

BACKLOG = 128
CALLERS_MAX = 24  # connections without a complete call
CALL_S_MAX = 2.0  # from connecting to the complete call
CALL_BYTES_MAX = 8 << 10  # with its body, if any
REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip

Answer = tuple[int, object]  # status and body, sent as JSON


class OperatorServer:
    """The listener. `obey` carries out a call and returns the response."""

    def __init__(self, obey: Callable[[Call], Awaitable[Answer]], system: System) -> None:
        self._obey = obey
        self._system = system
        self._loop = asyncio.get_running_loop()
        self._listener: Listener | None = None
        self._callers: dict[
            _CallerConnection, None
        ] = {}  # without a complete call, the longest waiting first
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self, address: tuple[str, int]) -> tuple[str, int]:
        """Raises OSError."""
        self._listener = self._system.listen(address, BACKLOG)
        self._listener.resume(self._accept)
        return self._listener.address

    def close(self) -> None:
        if self._listener is not None:
            self._listener.pause()
            self._listener.close()
            self._listener = None
        for caller in list(self._callers):
            caller.abort()

    def _accept(self) -> None:
        assert self._listener is not None
        try:
            accepted = self._listener.accept()
        except OSError:
            return  # the connection is gone already; without a free descriptor the next turn tries again
        if len(self._callers) >= CALLERS_MAX:
            next(iter(self._callers)).displace()
        self._start(self._adopt(accepted))

    async def _adopt(self, accepted: object) -> None:
        assert self._listener is not None
        try:
            await self._listener.adopt(lambda: _CallerConnection(self), accepted)
        except Exception as problem:
            log.warning("a caller's connection could not be set up: %r", problem)
            accepted.close()  # type: ignore[attr-defined]

    def _start(self, work: Awaitable[None]) -> None:
        task = self._loop.create_task(cast("asyncio._CoroutineLike[None]", work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_caller(self, caller: _CallerConnection) -> None:
        self._callers[caller] = None

    def remove_caller(self, caller: _CallerConnection) -> None:
        self._callers.pop(caller, None)

    def start_call(self, caller: _CallerConnection, call: Call) -> None:
        self.remove_caller(caller)
        self._start(self._carry_out(caller, call))

    async def _carry_out(self, caller: _CallerConnection, call: Call) -> None:
        try:
            status, content = await self._obey(call)
        except Exception:
            log.exception("an operator's call failed: %r", call)
            status, content = 500, {"error": "the node's own fault, see its log"}
        caller.answer(status, content)


class _CallerConnection(asyncio.Protocol):
    def __init__(self, server: OperatorServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0
        self._answered = False
        self._timer = asyncio.get_running_loop().call_later(CALL_S_MAX, self._time_out)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._server.add_caller(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._parser = None  # breaks the reference cycle
        self._server.remove_caller(self)

    def eof_received(self) -> bool:
        """A caller may close its sending side after a complete call; an incomplete call is an error."""
        if not self._answered and self._parser is not None and self in self._server._callers:
            self.answer(400, {"error": "half a call"})
        return True

    def data_received(self, data: bytes) -> None:
        if self._answered or self._parser is None or self not in self._server._callers:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, {"error": "no HTTP/1.1 call"})
        else:
            if self._size > CALL_BYTES_MAX:
                self.answer(413, {"error": f"a call takes {CALL_BYTES_MAX} bytes at most"})

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        assert self._parser is not None
        if self._answered or self not in self._server._callers:
            return
        try:
            call = parse(self._parser.get_method(), self._target)
        except CallError as refused:
            self.answer(refused.status, {"error": "no such call"})
        else:
            self._server.start_call(self, call)

    def _time_out(self) -> None:
        if not self._answered:
            self.answer(408, {"error": f"the call was not whole after {CALL_S_MAX:g} s"})
        self.abort_later()

    def answer(self, status: int, content: object) -> None:
        transport = self._transport
        self._server.remove_caller(self)
        if transport is None or self._answered or transport.is_closing():
            return
        self._answered = True
        body = json.dumps(content).encode() + b"\n"
        transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s" % (status, REASON_PHRASES[status], len(body), body)
        )
        if transport.can_write_eof():
            transport.write_eof()  # a reset would discard the response for a caller that is still sending
        self._timer.cancel()
        self.abort_later()

    def displace(self) -> None:
        """Makes room for another caller."""
        self.answer(408, {"error": "others call; say the whole call at once"})
        if self._transport is not None:
            self._transport.close()

    def abort_later(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(1.0, self.abort)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
