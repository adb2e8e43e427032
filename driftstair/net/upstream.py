"""Attempts at servers, and the pools of connections that carry them."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from driftstair.net.system import SOCKETS, System
from lichenspring.interface import Result, ServerId

BODY_MOST = 64 << 10  # bytes of an answer
HEAD_MOST = 16 << 10
INTERIM_MOST = 16  # 1xx answers ahead of one
REST = 5_000_000  # ns that a connection is left alone after an answer: what is behind it may be on its way
IDLE_PART = 0.9  # of the server's idle limit: what is written to a connection after that limit is lost
IDLE_SWEEPS = 20  # in that time
NO_FAULT_OF_THE_REQUEST = (408, 429)  # 4xx, yet of the server's own time and load
HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
    b"trailer", b"transfer-encoding", b"upgrade", b"content-length",
))  # fmt: skip
"""Headers that belong to one connection, and the length, which each side states anew."""


class Answer(NamedTuple):
    status: int
    headers: list[tuple[bytes, bytes]]  # end to end, as they came
    body: bytes
    load: bytes  # the load report; empty if there is none


class Attempt:
    """One request at one server. It ends once: by `end`, and then `on_end` hears of it."""

    __slots__ = (
        "_body", "_connection", "_dial", "_head", "_on_end", "_timer", "done", "expires", "first_byte",
        "pool",
    )  # fmt: skip

    def __init__(
        self, pool: Pool, head: bytes, body: bytes, expires: int,
        on_end: Callable[[Result, Answer | None], None], first_byte: int = 0,
    ) -> None:  # fmt: skip
        self.pool = pool
        self.expires = expires  # monotonic ns
        self.first_byte = first_byte  # ns until the answer must have begun; 0: no such limit, or it has
        self.done = False
        self._head = head
        self._body = body
        self._on_end = on_end
        self._connection: Connection | None = None
        self._dial: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        connection = self.pool.take()
        if connection is not None:
            self._write(connection)
        elif not self.pool.pools.room():
            # The node's own want of descriptors is no failure of the server.
            self.end(Result.NOT_SENT)
        else:
            self.pool.dialing[self] = None
            pools = self.pool.pools
            self._expires_at(min(self.expires, pools.now() + pools.dial_timeout))
            self._dial = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        self.pool.pools.sockets += 1  # while it is dialed; an open connection counts itself
        try:
            connection = cast(
                Connection,
                await self.pool.pools.system.dial(lambda: Connection(self.pool), self.pool.address),
            )
        except OSError as problem:
            self._dial = None
            local = problem.errno in (errno.EMFILE, errno.ENFILE)
            self.end(Result.NOT_SENT if local else Result.CONNECT_FAILED)
            return
        finally:
            self.pool.pools.sockets -= 1
        self._dial = None
        self.pool.dialing.pop(self, None)
        if self.done:  # it ended in the moment in which the connection came up
            connection.close()
        elif connection.closed:
            self.end(Result.CONNECT_FAILED)
        else:
            if self._timer is not None:
                self._timer.cancel()
            self._write(connection)

    def _write(self, connection: Connection) -> None:
        left = self.expires - self.pool.pools.now()
        if left <= 0:
            self.pool.put(connection)
            self.end(Result.CONNECT_FAILED)
            return
        self._connection = connection
        first = self.pool.pools.now() + self.first_byte if self.first_byte else self.expires
        self._expires_at(min(first, self.expires))
        connection.send(self, b"%sX-Deadline: %du\r\n\r\n%s" % (self._head, left // 1000, self._body))

    def _expires_at(self, at: int) -> None:
        # The loop counts in whole milliseconds and rounds. Guards against a time-out that comes a little
        # early: the module would find time left, and spend a further attempt that has none on each of the
        # other servers, to each of which it would look like a failure.
        delay = max(0, at - self.pool.pools.now()) // 1_000_000 + 1
        self._timer = asyncio.get_running_loop().call_later(delay / 1000, self._expire, at)

    def _expire(self, at: int) -> None:
        if self.pool.pools.now() < at:
            self._expires_at(at)
            return
        written = self._connection is not None and self._connection.written
        self.end(Result.TIMEOUT if written else Result.CONNECT_FAILED)

    def begins(self) -> None:
        """The first byte of its answer has come: from now on the whole time counts."""
        self.first_byte = 0
        if self._timer is not None:
            self._timer.cancel()
        self._expires_at(self.expires)

    def cancel(self) -> None:
        self.end(Result.CANCELLED)

    def end(self, result: Result, answer: Answer | None = None) -> None:
        if self.done:
            return
        self.done = True
        if self._timer is not None:
            self._timer.cancel()
        if self._dial is not None:
            self._dial.cancel()
        self.pool.dialing.pop(self, None)
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.release(self)
        self._on_end(result, answer)


class Connection(asyncio.Protocol):
    """One connection to a server; it carries one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._quiet: Callable[[], bool] = bool  # not once it is up
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._attempt: Attempt | None = None
        self.written = False  # the last byte of the request is with the kernel
        self.closed = False
        self.idle_since = 0
        self._reusable = False
        self._status = self._interims = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._load = b""
        self._not_run = False
        self._framed = False
        self._body: list[bytes] = []
        self._size = 0
        self._in_head = True
        self._whole = False  # the answer has come

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._pool.pools.sockets += 1
        self._quiet = self._pool.pools.system.prepare(transport)
        # With no room in the buffer each write is tried at once, and what is left over tells when it is out.
        transport.set_write_buffer_limits(high=0)

    def is_quiet(self) -> bool:
        """Nothing has come that was not asked for, nor the end. Guards against a second copy of an answer
        that is with the kernel still: the next client would get it for its own."""
        return self._quiet()

    def send(self, attempt: Attempt, data: bytes) -> None:
        transport = self._transport
        assert transport is not None
        self._attempt = attempt
        self._reusable = self.written = False
        self._forget_answer()
        transport.write(data)
        self.written = not transport.is_closing() and not transport.get_write_buffer_size()

    def resume_writing(self) -> None:
        self.written = self._attempt is not None

    def _forget_answer(self) -> None:
        self._status = self._size = self._interims = 0
        self._headers = []
        self._body = []
        self._load = b""
        self._not_run = self._framed = self._whole = False
        self._in_head = True

    def release(self, attempt: Attempt) -> None:
        """Its attempt has ended: back to the pool, if the whole answer has come."""
        if self._attempt is not attempt:
            return
        self._attempt = None
        if self._reusable and self.written and not self.closed:
            self._pool.put(self)
        else:
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self._attempt is None or self._parser is None:  # nothing was asked
            self.close()
            return
        if self._attempt.first_byte:
            self._attempt.begins()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._whole:
                self._break(Result.ERROR)
                return
            self._reusable = False
        if self._whole:
            self._complete()
        elif self._in_head:
            self._size += len(data)
            if self._size > HEAD_MOST:
                self._break(Result.ERROR)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._pool.lost(self)
        self._break()
        self._parser = None  # the two hold each other, and would stay until the collector comes

    def _break(self, result: Result = Result.RESET) -> None:
        """The connection can't bring the answer any more. An answer that came spoilt is an error: a reset
        would tell of a connection that was lost, and of the others that they may be."""
        attempt = self._attempt
        self._reusable = False
        if attempt is not None:
            attempt.end(result if self.written else Result.CONNECT_FAILED)
        self.close()

    # What the parser finds.

    def on_message_begin(self) -> None:
        if self._whole:  # more than one answer to one request: nothing that follows can be trusted
            self._reusable = False
            raise ValueError("an answer that nobody asked for")
        interims = self._interims
        self._forget_answer()
        self._interims = interims

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"x-load":
            self._load = value
        elif lower == b"x-not-run":
            self._not_run = value.strip() == b"1"
        elif lower == b"content-length":
            # Refused at its head: up to the limit, a body is read before it shows that it does not end.
            if int(value) > BODY_MOST:
                raise ValueError("an answer that is too long")
            self._framed = True
        elif lower == b"transfer-encoding":
            self._framed = True
        elif lower not in HOP_BY_HOP:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._status = self._parser.get_status_code()
        if self._status < 200:
            self._interims += 1
            if self._interims > INTERIM_MOST:
                raise ValueError("interim answers without end")
        elif not self._framed and self._status not in (204, 304):
            # It would end with its connection, and so would one that was cut.
            raise ValueError("an answer with neither length nor end")
        self._in_head = False
        self._size = 0

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > BODY_MOST:
            raise ValueError("an answer that is too long")
        self._body.append(data)

    def on_message_complete(self) -> None:
        if self._status >= 200:  # an interim answer is followed by the real one
            assert self._parser is not None
            self._reusable = self._parser.should_keep_alive()
            self._whole = True

    def _complete(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._status == 200:
            result = Result.OK
        elif self._status in (503, 504) and self._not_run:
            result = Result.FULL
        elif 400 <= self._status < 500 and self._status not in NO_FAULT_OF_THE_REQUEST:
            result = Result.REJECTED
        else:
            result = Result.ERROR
        attempt.end(result, Answer(self._status, self._headers, b"".join(self._body), self._load))


class Pool:
    """The idle connections to one server. After a restart or with a new address it gets another pool."""

    def __init__(self, pools: Pools, address: tuple[str, int], started: int) -> None:
        self.pools = pools
        self.address = address
        self.started = started
        self.retired = False
        self.idle: list[Connection] = []  # the most recently used last
        self.dialing: dict[Attempt, None] = {}  # in the order in which they began

    def take(self) -> Connection | None:
        now = self.pools.now()
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[index]
            if connection.idle_since > now - REST:
                continue
            del self.idle[index]
            if (
                not connection.closed
                and connection.idle_since >= now - self.pools.idle_limit
                and connection.is_quiet()
            ):
                return connection
            connection.close()
        return None

    def put(self, connection: Connection) -> None:
        if self.retired:
            connection.close()
        else:
            connection.idle_since = self.pools.now()
            self.idle.append(connection)

    def lost(self, connection: Connection) -> None:
        self.pools.sockets -= 1
        if connection in self.idle:
            self.idle.remove(connection)

    def drop_idle(self, before: int | None = None) -> None:
        """Close the idle connections, or those that are idle since before a time."""
        dropped = [one for one in self.idle if before is None or one.idle_since < before]
        self.idle = self.idle[len(dropped) :]
        for connection in dropped:
            connection.close()

    def retire(self) -> None:
        """The server drains, is gone or restarted: nothing new may reach it, nor what waits for a dial."""
        self.retired = True
        self.drop_idle()
        for attempt in list(self.dialing):
            attempt.end(Result.NOT_SENT)


class Pools:
    """All pools, within the descriptors that the node may use for servers."""

    def __init__(
        self, sockets_most: int, dial_timeout: int, idle_close: int, system: System = SOCKETS
    ) -> None:
        self.system = system
        self.now = system.monotonic_ns
        self.sockets = 0  # open or being dialed
        self.dial_timeout = dial_timeout
        self.idle_limit = int(idle_close * IDLE_PART)
        self._sockets_most = sockets_most
        self._pools: dict[ServerId, Pool] = {}
        self._sweep_every = idle_close * (1 - IDLE_PART) / 2 / 1e9

    def start(self) -> None:
        asyncio.get_running_loop().call_later(self._sweep_every, self._sweep)

    def _sweep(self) -> None:
        before = self.now() - self.idle_limit
        for pool in self._pools.values():
            pool.drop_idle(before)
        self.start()

    def get(self, server: ServerId) -> Pool | None:
        return self._pools.get(server)

    def enrol(self, server: ServerId, address: tuple[str, int], started: int) -> None:
        pool = self._pools.get(server)
        if pool is not None and (pool.address, pool.started) == (address, started):
            return
        self._pools[server] = Pool(self, address, started)
        if pool is not None:
            pool.retire()

    def retire(self, server: ServerId) -> None:
        pool = self._pools.pop(server, None)
        if pool is not None:
            pool.retire()

    def servers(self) -> list[ServerId]:
        return list(self._pools)

    def room(self) -> bool:
        """Whether one more connection may be opened; closes the longest idle one to make room."""
        if self.sockets < self._sockets_most:
            return True
        idle = [pool for pool in self._pools.values() if pool.idle]
        if not idle:
            return False
        # Its descriptor is free only once the transport is gone, so one is kept in reserve for each dial.
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since)
        oldest.idle.pop(0).close()
        return True
