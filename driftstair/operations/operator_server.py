"""Where operators call: HTTP/1.1 on a second address, one call a connection, each answered within a second.

Guards against callers that send nothing or half a call: they hold places of their own, few of them and each
for `CALL_MOST` at most, and the one that has said nothing for longest goes first.
"""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from typing import cast

import httptools

from driftstair.net.system import Listener, System
from driftstair.operations.calls import Call, Refused, parse

log = logging.getLogger(__name__)

BACKLOG = 128
PLACES = 24  # connections of callers at once
CALL_MOST = 2.0  # s for a whole call
HEAD_MOST = 8 << 10  # bytes of a call, with what body it may have
REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 413: b"Content Too Large", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip

Answer = tuple[int, object]  # a status and what is said as JSON


class Desk:
    """The listener. `obey` carries a call out and gives its answer."""

    def __init__(self, obey: Callable[[Call], Awaitable[Answer]], system: System) -> None:
        self._obey = obey
        self._system = system
        self._loop = asyncio.get_running_loop()
        self._listener: Listener | None = None
        self._callers: dict[_Caller, None] = {}  # those that have not said all, the longest waiting first
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
            return  # none waits any more, or it is gone; with no descriptor left the next turn tries again
        if len(self._callers) >= PLACES:
            next(iter(self._callers)).give_up()
        self._start(self._adopt(accepted))

    async def _adopt(self, accepted: object) -> None:
        assert self._listener is not None
        try:
            await self._listener.adopt(lambda: _Caller(self), accepted)
        except Exception as problem:
            log.warning("a caller was lost as it came: %r", problem)
            accepted.close()  # type: ignore[attr-defined]

    def _start(self, work: Awaitable[None]) -> None:
        task = self._loop.create_task(cast("asyncio._CoroutineLike[None]", work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def came(self, caller: _Caller) -> None:
        self._callers[caller] = None

    def done(self, caller: _Caller) -> None:
        self._callers.pop(caller, None)

    def called(self, caller: _Caller, call: Call) -> None:
        self.done(caller)
        self._start(self._carry_out(caller, call))

    async def _carry_out(self, caller: _Caller, call: Call) -> None:
        try:
            status, said = await self._obey(call)
        except Exception:
            log.exception("a call of operators failed: %r", call)
            status, said = 500, {"error": "the node's own fault, see its log"}
        caller.answer(status, said)


class _Caller(asyncio.Protocol):
    def __init__(self, desk: Desk) -> None:
        self._desk = desk
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0
        self._answered = False
        self._timer = asyncio.get_running_loop().call_later(CALL_MOST, self._time_out)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._desk.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._parser = None  # the two hold each other
        self._desk.done(self)

    def eof_received(self) -> bool:
        """A caller that has said all may end its sending and wait; half a call can't become whole."""
        if not self._answered and self._parser is not None and self in self._desk._callers:
            self.answer(400, {"error": "half a call"})
        return True

    def data_received(self, data: bytes) -> None:
        if self._answered or self._parser is None or self not in self._desk._callers:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.answer(400, {"error": "no HTTP/1.1 call"})
        else:
            if self._size > HEAD_MOST:
                self.answer(413, {"error": f"a call takes {HEAD_MOST} bytes at most"})

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        assert self._parser is not None
        if self._answered or self not in self._desk._callers:
            return
        try:
            call = parse(self._parser.get_method(), self._target)
        except Refused as refused:
            self.answer(refused.status, {"error": "no such call"})
        else:
            self._desk.called(self, call)

    def _time_out(self) -> None:
        if not self._answered:
            self.answer(408, {"error": f"the call was not whole after {CALL_MOST:g} s"})
        self.abort_later()

    def answer(self, status: int, said: object) -> None:
        transport = self._transport
        self._desk.done(self)
        if transport is None or self._answered or transport.is_closing():
            return
        self._answered = True
        body = json.dumps(said).encode() + b"\n"
        transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%s" % (status, REASONS[status], len(body), body)
        )
        if transport.can_write_eof():
            transport.write_eof()  # a reset would take the answer from a caller that still sends
        self._timer.cancel()
        self.abort_later()

    def give_up(self) -> None:
        """Another caller needs the place."""
        self.answer(408, {"error": "others call; say the whole call at once"})
        if self._transport is not None:
            self._transport.close()

    def abort_later(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(1.0, self.abort)

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
