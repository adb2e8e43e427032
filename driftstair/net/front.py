"""The side of the clients: connections, requests and their answers, and `/up`."""

from __future__ import annotations

import asyncio
import errno
import logging
import re
import socket
from collections import deque
from http import HTTPStatus
from time import monotonic_ns
from typing import cast

import httptools

from driftstair.config import Config
from driftstair.net.node import Call, Node, key_number
from driftstair.net.upstream import BODY_MOST, HEAD_MOST, HOP_BY_HOP

log = logging.getLogger(__name__)

BACKLOG = 1024
ACCEPTS = 64  # in one turn of the loop
FULL_PAUSE = 0.05  # s until the next look at the listening socket, where no descriptor was left
EVICT_IDLE = 0.1  # s that a connection has been idle at least before it makes room for another
SWEEP = 1.0  # s
SLOW_REQUEST = 10.0  # s in which a request that has begun must have come
DISCARD_MOST = 1 << 20  # bytes of a body over the limit that are read, so that the connection stays usable
LINGER = 1.0  # s in which what a closed client still sends is read and dropped, so that it gets its answer
DRAIN_LOOK = 0.02  # s

DEADLINE = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
UNITS = {b"m": 1_000_000, b"u": 1_000}
NOT_FORWARDED = HOP_BY_HOP | {b"x-deadline", b"expect"}
NUMBERED = {status.value: b"%d %s" % (status.value, status.phrase.encode()) for status in HTTPStatus}


class Front:
    """The listening socket and all connections that came from it."""

    def __init__(self, node: Node, config: Config, connections_most: int) -> None:
        self.node = node
        self.config = config
        self.closing = False  # answers end their connections
        self.stopping = False  # `/up` sends clients elsewhere
        self._most = connections_most
        self._loop = asyncio.get_running_loop()
        self._socket: socket.socket | None = None
        self._accepting = False
        self._open = 0
        self._connections: set[ClientConnection] = set()
        self._idle: dict[ClientConnection, float] = {}  # since when; the longest idle first
        self._tasks: set[asyncio.Task[None]] = set()

    def listen(self) -> tuple[str, int]:
        host, port = self.config.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._socket.listen(BACKLOG)
        self._resume()
        self._loop.call_later(SWEEP, self._sweep)
        address = self._socket.getsockname()
        return address[0], address[1]

    # Accepting. The loop is only asked for new connections while there is a place for them: at a full
    # table they wait in the kernel's queue, and a socket that stays readable costs nothing.

    def _pause(self) -> None:
        if self._accepting and self._socket is not None:
            self._accepting = False
            self._loop.remove_reader(self._socket)

    def _resume(self) -> None:
        if not self._accepting and self._socket is not None:
            self._accepting = True
            self._loop.add_reader(self._socket, self._accept)

    def _accept(self) -> None:
        if self._socket is None:
            return
        for _ in range(ACCEPTS):
            if self._open >= self._most and not self._evict():
                self._pause()
                return
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as problem:
                if problem.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # Without one idle connection less, those that wait would do so until a client leaves.
                    self._evict()
                    self._pause()
                    self._loop.call_later(FULL_PAUSE, self._resume)
                    return
                continue  # that one client is gone already
            self._open += 1
            task = self._loop.create_task(self._enter(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _enter(self, accepted: socket.socket) -> None:
        try:
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await self._loop.connect_accepted_socket(lambda: ClientConnection(self), accepted)
        except Exception as problem:
            log.warning("a client was lost as it came: %r", problem)
            accepted.close()
            self._left()

    def _evict(self) -> bool:
        """Close the connection that has been idle longest; a client whose request crosses that asks anew."""
        for connection, since in self._idle.items():
            if self._loop.time() - since < EVICT_IDLE:
                return False
            del self._idle[connection]
            connection.close()
            return True
        return False

    def _left(self) -> None:
        self._open -= 1
        if self._open < self._most:
            self._resume()

    def _sweep(self) -> None:
        latest = self._loop.time() - SLOW_REQUEST
        for connection in [one for one in self._connections if one.slow_since(latest)]:
            connection.reject(408)
        if self._open >= self._most:
            self._resume()  # some may be idle for long enough by now
        self._loop.call_later(SWEEP, self._sweep)

    # What the connections tell.

    def came(self, connection: ClientConnection) -> None:
        self._connections.add(connection)
        self.rests(connection)

    def lost(self, connection: ClientConnection) -> None:
        self._connections.discard(connection)
        self._idle.pop(connection, None)
        self._left()

    def rests(self, connection: ClientConnection) -> None:
        self._idle[connection] = self._loop.time()
        if self._open >= self._most:
            self._loop.call_later(EVICT_IDLE, self._resume)

    def works(self, connection: ClientConnection) -> None:
        self._idle.pop(connection, None)

    def is_full(self) -> bool:
        return self._open >= self._most

    # The end.

    async def stop(self, serve_on: float, within: float) -> None:
        """Serve on for a while, since clients go on coming; then finish what is held, and end."""
        self.stopping = True
        end = self._loop.time() + within
        await asyncio.sleep(serve_on)
        self.closing = True
        for _ in range(BACKLOG // ACCEPTS):
            self._accept()  # what waits in the kernel's queue would be reset with the socket
        self._pause()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        await asyncio.gather(*self._tasks)
        await asyncio.sleep(DRAIN_LOOK)  # what those just taken in have sent already is read first
        for connection in list(self._idle):
            connection.close_if_unused()
        while self._connections and self._loop.time() < end:
            await asyncio.sleep(DRAIN_LOOK)
        self.node.fail_all()
        await asyncio.sleep(DRAIN_LOOK)


class Incoming:
    """A request that is being read."""

    __slots__ = ("body", "error", "expects", "fields", "headers", "size", "started", "url")

    def __init__(self, now: float) -> None:
        self.url = b""
        self.headers: list[bytes] = []
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.size = 0
        self.error = 0  # the status that it will get
        self.expects = False
        self.started = now


class Ready:
    """A request that has been read: an error or `/up` are answered in its turn."""

    __slots__ = ("arrived", "incoming", "keep_alive", "method")

    def __init__(self, incoming: Incoming, method: bytes, keep_alive: bool) -> None:
        self.incoming = incoming
        self.method = method
        self.keep_alive = keep_alive
        self.arrived = monotonic_ns()


class ClientConnection(asyncio.Protocol):
    """One client's connection; its requests are served one after the other."""

    def __init__(self, front: Front) -> None:
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._incoming: Incoming | None = None
        self._waiting: deque[Ready] = deque()  # pipelined; bounded, as reading stops while there are any
        self._number = 0  # of the request that the node holds; 0: none
        self._busy = False
        self._keep_alive = True
        self._ends = False  # nothing more is read
        self._unread = False  # and the client may be sending still
        self._deadline = 0
        self._slow_reader: asyncio.TimerHandle | None = None
        self._head_size = 0
        self._in_body = False
        self._endless = False  # a body that is too long even to be read and dropped
        self._in_turn = False  # _next is at work
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        transport.set_write_buffer_limits(high=0)  # to be told when an answer's last byte is out
        self._front.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._ends = True
        self._waiting.clear()
        if self._slow_reader is not None:
            self._slow_reader.cancel()
        number, self._number = self._number, 0
        if number:
            self._front.node.client_gone(number)
        self._front.lost(self)

    def data_received(self, data: bytes) -> None:
        if self._ends:
            return
        self._front.works(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            log.exception("a request could not be read")
            self._malformed(400)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._malformed(400)
        else:
            incoming = self._incoming
            if self._endless:
                self._malformed(413)
            elif incoming is not None and not self._in_body:
                self._head_size += len(data)
                if self._head_size > HEAD_MOST:
                    self._malformed(431)
        self._next()

    def _malformed(self, status: int) -> None:
        """Where framing is lost nothing that follows can be read; what came before is still answered."""
        self._ends = self._unread = True
        self._incoming = None
        broken = Incoming(0.0)
        broken.error = status
        self._waiting.append(Ready(broken, b"", False))

    def slow_since(self, latest: float) -> bool:
        return self._incoming is not None and not self._busy and self._incoming.started < latest

    def reject(self, status: int) -> None:
        self._malformed(status)
        self._next()

    # What the parser finds.

    def on_message_begin(self) -> None:
        self._incoming = Incoming(self._loop.time())
        self._in_body = False
        self._head_size = 0

    def on_url(self, url: bytes) -> None:
        assert self._incoming is not None
        self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        lower = name.lower()
        incoming.fields[lower] = value
        if lower not in NOT_FORWARDED:
            incoming.headers.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._in_body = True
        if self._length(incoming) > DISCARD_MOST:
            self._endless = True
        elif incoming.fields.get(b"expect", b"").lower() == b"100-continue" and not self._busy:
            assert self._transport is not None
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    @staticmethod
    def _length(incoming: Incoming) -> int:
        text = incoming.fields.get(b"content-length", b"")
        return int(text) if text.isdigit() else 0

    def on_body(self, data: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.size += len(data)
        if incoming.size > BODY_MOST:
            incoming.error = 413
            incoming.body.clear()
            self._endless |= incoming.size > DISCARD_MOST
        else:
            incoming.body.append(data)

    def on_message_complete(self) -> None:
        incoming, self._incoming = self._incoming, None
        assert incoming is not None
        self._waiting.append(Ready(incoming, self._parser.get_method(), self._parser.should_keep_alive()))

    # Requests in turn.

    def _next(self) -> None:
        transport = self._transport
        if transport is None or self._in_turn:
            return
        self._in_turn = True
        while self._waiting and not self._busy and not transport.is_closing():
            self._busy = True
            self._serve(self._waiting.popleft())
        self._in_turn = False
        if self._ends or transport.is_closing():
            return
        if self._paused != bool(self._waiting):
            self._paused = bool(self._waiting)
            if self._paused:
                transport.pause_reading()
            else:
                transport.resume_reading()
        if not self._busy and self._incoming is None:
            self._front.rests(self)

    def _serve(self, ready: Ready) -> None:
        self._keep_alive = ready.keep_alive
        self._deadline = 0
        incoming = ready.incoming
        path = incoming.url.split(b"?", 1)[0]
        if incoming.error:
            self.answer(incoming.error, [], b"")
        elif path == b"/up":
            up = self._front.node.can_serve() and not self._front.stopping
            self.answer(200 if up else 503, [], b"")
        elif path != b"/api":
            self.answer(404, [], b"")
        elif ready.method not in (b"GET", b"POST"):
            self.answer(405, [(b"Allow", b"GET, POST")], b"")
        else:
            call = self._call(ready)
            if call is None:
                self.answer(400, [], b"")
            else:
                self._deadline = call.deadline
                number = self._front.node.take(call)
                if self._busy:
                    self._number = number

    def _call(self, ready: Ready) -> Call | None:
        """The request in the node's terms; None if it can't be read."""
        fields, config = ready.incoming.fields, self._front.config
        index = config.classes.get(fields.get(b"x-class", b""))
        if index is None or not fields.get(b"x-request-id"):
            return None
        patience = config.deadlines[index]
        if b"x-deadline" in fields:
            found = DEADLINE.fullmatch(fields[b"x-deadline"].strip())
            if found is None:
                return None
            patience = int(float(found[1]) * UNITS[found[2]])
        body = b"".join(ready.incoming.body)
        length = b"Content-Length: %d\r\n" % len(body) if body or ready.method != b"GET" else b""
        key = fields.get(b"x-key")
        tenants = config.tenants
        return Call(
            client=self,
            head=b"%s %s HTTP/1.1\r\n%s%s"
            % (ready.method, ready.incoming.url, b"".join(ready.incoming.headers), length),
            body=body,
            class_index=index,
            tenant=tenants.get(fields.get(b"x-tenant", b""), len(tenants)),
            key=key_number(key) if key else 0,
            resubmitted=fields.get(b"x-retry") == b"1",
            deadline=ready.arrived + patience,
        )

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        transport = self._transport
        assert transport is not None
        self._number = 0
        if transport.is_closing():
            return
        keep = self._keep_alive and not self._front.closing and not self._front.is_full()
        lines = [b"HTTP/1.1 ", NUMBERED[status], b"\r\n"]
        for name, value in headers:
            lines += (name, b": ", value, b"\r\n")
        lines.append(b"Content-Length: %d\r\n" % len(body))
        if not keep:
            lines.append(b"Connection: close\r\n")
        lines += (b"\r\n", body)
        transport.write(b"".join(lines))
        if not keep:
            self._ends = True
            self._waiting.clear()
        if transport.get_write_buffer_size():
            # A client that reads too slowly gets nothing after its deadline: it has given up by then.
            left = self._deadline - monotonic_ns() if self._deadline else SLOW_REQUEST * 1e9
            self._slow_reader = self._loop.call_later(max(0.0, left / 1e9), transport.abort)
        else:
            self._answered()

    def resume_writing(self) -> None:
        if self._slow_reader is not None:
            self._slow_reader.cancel()
            self._slow_reader = None
            self._answered()

    def _answered(self) -> None:
        """The last byte of an answer is out."""
        transport = self._transport
        assert transport is not None
        self._busy = False
        if self._ends and not self._waiting:  # what came whole before the connection's end is answered yet
            if self._unread:
                # Closing now would reset the connection, and might take the answer with it.
                transport.write_eof()
                self._loop.call_later(LINGER, transport.abort)
            else:
                transport.close()
        else:
            self._next()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    def close_if_unused(self) -> None:
        if not self._busy and not self._waiting and self._incoming is None:
            self.close()
