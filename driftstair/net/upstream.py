"""Attempts at servers, and the pools of connections that carry them."""

from __future__ import annotations

import asyncio
import errno
from bisect import bisect_right
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from driftstair.net.connection_rest import ConnectionRest
from driftstair.net.flow import INLINE_MOST, LAST_CHUNK, LONGEST, SILENCE_MOST, Stream, chunk, nothing
from driftstair.net.request_guard import AttemptPermit
from driftstair.net.system import SOCKETS, System
from lichenspring.interface import Result, ServerId

HEAD_MOST = 16 << 10
INTERIM_MOST = 16  # 1xx answers ahead of one
LOCAL_ERRORS = frozenset((
    errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EADDRNOTAVAIL, errno.EINTR,
))  # fmt: skip
"""Errors of connect(2) and socket(2) that tell of this machine, not of the server: nothing left it."""
MOMENTARY_ERRORS = LOCAL_ERRORS | {errno.ENETUNREACH}
"""Those worth another try at once. A network that stays out of reach is the server's, to be avoided."""
LOCAL_DIALS = 3  # tries at one dial that fails for such a reason: most are over in a moment
LOCAL_PAUSE = 0.01  # s between two of them
IDLE_PART = 0.9  # of the server's idle limit: what is written to a connection after that limit is lost
NEWS_LOOK = 0.005  # s between two looks at whether news of the servers have been read
NEWS_LOOKS = 10  # of them: the next turn of the loop reads, so what is unread for longer is none
WRITE_TURNS = 2  # of the loop, after which what is left of a write is known to be here
UPLOAD_LOOK = 1_000_000_000  # ns between two looks at whether a long body gets on
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
    body: bytes | Stream  # one over INLINE_MOST comes on after the answer is told of
    load: bytes  # the load report; empty if there is none


class Attempt:
    """One request at one server. It ends once: by `end`, and then `on_end` hears of it."""

    __slots__ = (
        "_body", "_connection", "_dial", "_head", "_on_end", "_patience", "_permit", "_timer", "_told",
        "done", "expires", "first_byte", "moved", "pool", "written_at",
    )  # fmt: skip

    def __init__(
        self, pool: Pool, head: bytes, body: bytes | Stream, expires: int,
        on_end: Callable[[Result, Answer | None], None], permit: AttemptPermit, first_byte: int = 0,
    ) -> None:  # fmt: skip
        """`permit` is asked right before the bytes go out, however long that takes."""
        self.pool = pool
        self.expires = expires  # monotonic ns
        self.first_byte = first_byte  # ns until the answer must have begun; 0: no such limit, or it has
        self.done = False
        self.written_at = 0  # when the last byte of a stream was out, monotonic ns
        self.moved = 0  # when a stream last got on
        self._told = 0  # the deadline that the server is told, ns
        self._patience = expires - pool.pools.now()  # for a stream: from its last byte on
        self._head = head
        self._body = body
        self._on_end = on_end
        self._permit = permit
        self._connection: Connection | None = None
        self._dial: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        if self.pool.pools.has_news():
            self._wait_for_news()
        else:
            self._begin()

    def _wait_for_news(self) -> None:
        """Parked as one that is dialed, and so ended by the list if that retires its server. Guards against a
        loop that stood still: a request and the list that came after it are read in one turn, in any order,
        and the list counts as told since it came."""
        self.pool.dialing[self] = None
        self._expires_at(self.expires)
        self._dial = asyncio.get_running_loop().create_task(self._begin_after_news())

    async def _begin_after_news(self) -> None:
        for _ in range(NEWS_LOOKS):
            await asyncio.sleep(NEWS_LOOK)
            if not self.pool.pools.has_news():
                break
        self._dial = None
        self.pool.dialing.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
        if self._permit.forbids(self.pool.pools.now()) is not None:
            self.end(Result.NOT_SENT)
        else:
            self._begin()

    def _begin(self) -> None:
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
            connection = await self._dialed()
        except OSError as problem:
            self._dial = None
            local = problem.errno in LOCAL_ERRORS
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
        elif self.pool.pools.has_news():
            if self._timer is not None:
                self._timer.cancel()
            self.pool.put(connection)
            self._wait_for_news()
        else:
            if self._timer is not None:
                self._timer.cancel()
            self._write(connection)

    async def _dialed(self) -> Connection:
        """A connection that came up. Raises OSError; one of LOCAL_ERRORS only after some tries."""
        pools = self.pool.pools
        for left in reversed(range(LOCAL_DIALS)):
            try:
                protocol = await pools.system.dial(lambda: Connection(self.pool), self.pool.address)
                return cast(Connection, protocol)
            except OSError as problem:
                if problem.errno not in MOMENTARY_ERRORS or not left:
                    raise
            await asyncio.sleep(LOCAL_PAUSE)
        raise AssertionError("the last try has returned or raised")

    def _write(self, connection: Connection) -> None:
        now = self.pool.pools.now()
        if self._permit.forbids(now) is not None:
            self.pool.put(connection)
            self.end(Result.NOT_SENT)
            return
        if isinstance(self._body, Stream):
            self._connection, self.moved = connection, now
            self._expires_at(now + UPLOAD_LOOK)
            patience = self._patience // 1000
            self._told = self._patience
            connection.send(self, b"%sX-Deadline: %du\r\n\r\n" % (self._head, patience), self._body)
            return
        left = self.expires - now
        if left <= 0:
            self.pool.put(connection)
            self.end(Result.CONNECT_FAILED)
            return
        self._connection = connection
        first = self.pool.pools.now() + self.first_byte if self.first_byte else self.expires
        self._expires_at(min(first, self.expires))
        self._told = left
        connection.send(self, b"%sX-Deadline: %du\r\n\r\n%s" % (self._head, left // 1000, self._body))

    def _expires_at(self, at: int) -> None:
        # The loop counts in whole milliseconds and rounds. Guards against a time-out that comes a little
        # early: the module would find time left, and spend a further attempt that has none on each of the
        # other servers, to each of which it would look like a failure.
        delay = max(0, at - self.pool.pools.now()) // 1_000_000 + 1
        self._timer = asyncio.get_running_loop().call_later(delay / 1000, self._expire, at)

    def _expire(self, at: int) -> None:
        now = self.pool.pools.now()
        if now < at:
            self._expires_at(at)
            return
        uploads = self.moved and not self.written_at
        if uploads and now - self.moved < SILENCE_MOST * 1e9:
            self._expires_at(now + UPLOAD_LOOK)  # its time counts from its last byte
            return
        may_be_whole = self._connection is not None and self._connection.may_be_whole
        self.end(Result.TIMEOUT if may_be_whole else Result.CONNECT_FAILED)

    def wrote(self) -> None:
        """Its first bytes are with the kernel."""
        self._permit.wrote(self.pool.pools.now(), self._told)

    def uploaded(self) -> None:
        """The last byte of a stream is out: its time counts from now on."""
        self.written_at = self.pool.pools.now()
        self.expires = self.written_at + self._patience
        if self._timer is not None:
            self._timer.cancel()
        if not self.done:
            self._expires_at(self.expires)

    def begins(self) -> None:
        """The first byte of its answer has come: from now on the whole time counts."""
        self.first_byte = 0
        if self._timer is not None:
            self._timer.cancel()
        self._expires_at(self.expires)

    def is_out(self) -> bool:
        """Some of it has been written."""
        return self._connection is not None

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
        self.written = False  # the last byte of the request is with the kernel, as far as the loop has told
        self.may_be_whole = False  # it may be, though the loop has not told: never ran is not proven
        self.closed = False
        self.idle_since = 0
        self._reusable = False
        self._status = self._interims = self._length = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._load = b""
        self._not_run = False
        self._framed = False
        self._body: list[bytes] = []
        self._size = 0
        self._in_head = True
        self._whole = False  # the answer has come
        self._until_close = False  # it ends with its connection
        self._upload: Stream | None = None  # the rest of a request
        self._stuffed = False  # the kernel takes no more of it for now
        self._flow: Stream | None = None  # the rest of an answer
        self._told = False  # of the answer that flows
        self._stopped = False  # its taker is slow
        self.moved = 0  # when it last got on, monotonic ns

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

    def send(self, attempt: Attempt, data: bytes, rest: Stream | None = None) -> None:
        transport = self._transport
        assert transport is not None
        self._attempt = attempt
        self._reusable = self.written = self.may_be_whole = self._stuffed = self._told = False
        self._forget_answer()
        transport.write(data)
        attempt.wrote()
        if rest is None:
            self._note_handed(attempt)
        else:
            self._upload = rest
            rest.on_more = self._pump
            self._stuffed = bool(transport.get_write_buffer_size())
            self._pump()

    def _note_handed(self, attempt: Attempt) -> None:
        """The last byte is with the transport. What the kernel did not take at once goes out in the next turn
        of the loop, which tells of that in the one after; what is still here then is truly here."""
        transport = self._transport
        assert transport is not None
        self.may_be_whole = not transport.is_closing()  # one that closes in a write has not sent all of it
        self.written = self.may_be_whole and not transport.get_write_buffer_size()
        if self.may_be_whole and not self.written:
            asyncio.get_running_loop().call_soon(self._look_at_write, attempt, WRITE_TURNS)

    def _look_at_write(self, attempt: Attempt, turns: int) -> None:
        if self._attempt is not attempt or self.written or self.closed:
            return
        if turns > 1:
            asyncio.get_running_loop().call_soon(self._look_at_write, attempt, turns - 1)
        elif self._transport is not None and not self._transport.is_closing():
            self.may_be_whole = False

    def _pump(self) -> None:
        """Pass on what has come of a long body, as fast as the server takes it."""
        transport, rest, attempt = self._transport, self._upload, self._attempt
        if rest is None or transport is None or attempt is None or self._stuffed or transport.is_closing():
            return
        data = rest.take()
        if rest.length is None:
            data = chunk(data) + (LAST_CHUNK if rest.is_done() else b"")
        if data:
            attempt.moved = self._pool.pools.now()
            transport.write(data)
            self._stuffed = bool(transport.get_write_buffer_size())
            rest.halt(self._stuffed)
        if rest.is_done():
            self._upload = None
            self._note_handed(attempt)
            if not self._stuffed and not transport.is_closing():
                self._all_written()
        else:
            rest.passed_on()

    def _all_written(self) -> None:
        self.written = self.may_be_whole = self._attempt is not None
        if self._attempt is not None and self._attempt.moved:
            self._attempt.uploaded()

    def resume_writing(self) -> None:
        self._stuffed = False
        if self._upload is not None:
            self._upload.halt(False)
            self._pump()
        else:
            self._all_written()

    def eof_received(self) -> None:
        # An answer with no length that said so ends here (RFC 9112, section 6.3); any other one is cut.
        if self._until_close and not self._in_head and not self._whole:
            self._whole = True
            self._reusable = False
            if self._flow is not None:
                self._flow_on()
            else:
                self._complete()

    def _forget_answer(self) -> None:
        self._status = self._size = self._interims = self._length = 0
        self._headers = []
        self._body = []
        self._load = b""
        self._not_run = self._framed = self._whole = self._until_close = False
        self._in_head = True

    def release(self, attempt: Attempt) -> None:
        """Its attempt has ended: back to the pool, if the whole answer has come."""
        if self._attempt is not attempt:
            return
        self._attempt = None
        if self._upload is not None:
            self._upload.on_more = nothing
            self._upload = None
        if self._flow is not None:
            return  # the answer goes on
        if self._reusable and self.written and not self.closed:
            self._pool.put(self)
        else:
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        attempt = self._attempt
        if (attempt is None and self._flow is None) or self._parser is None:  # nothing was asked
            pools = self._pool.pools
            pools.rest.on_unasked_bytes(pools.now(), pools.now() - self.idle_since)
            self.close()
            return
        if attempt is not None and attempt.first_byte:
            attempt.begins()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._whole:
                self._break(Result.ERROR)
                return
            self._reusable = False
        if self._flow is not None:
            self._flow_on()
        elif self._whole:
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
        attempt, flow = self._attempt, self._flow
        self._reusable = False
        if flow is not None and self._told:
            self._end_flow()
            flow.break_off()
        elif attempt is not None:
            self._end_flow()
            attempt.end(result if self.may_be_whole else Result.CONNECT_FAILED)
        self.close()

    # An answer that is passed on as it comes.

    def _begin_flow(self, length: int | None) -> None:
        self._flow = Stream(length)
        for piece in self._body:
            self._flow.put(piece)
        self._body = []

    def _flow_on(self) -> None:
        """More of it has come, or its end. It is told of first: its taker has to be there."""
        flow, attempt, transport = self._flow, self._attempt, self._transport
        assert flow is not None and transport is not None
        self.moved = self._pool.pools.now()
        if not self._told and attempt is not None:
            self._told = True
            self._pool.pools.flows[self] = None
            flow.on_room = self._room
            attempt.end(Result.OK, Answer(self._status, self._headers, flow, self._load))
        if flow.broken:
            self.close()  # nobody takes it
        elif self._whole:
            self._end_flow()
            flow.end()
            if self._reusable and self.written and not self.closed:
                self._pool.put(self)
            else:
                self.close()
        elif flow.is_full() and not self._stopped:
            self._stopped = True
            transport.pause_reading()

    def _room(self) -> None:
        flow, transport = self._flow, self._transport
        if flow is None or transport is None:
            return
        self.moved = self._pool.pools.now()
        if flow.broken:
            self._end_flow()
            self.close()
        elif self._stopped and not transport.is_closing():
            self._stopped = False
            transport.resume_reading()

    def _end_flow(self) -> None:
        flow, self._flow = self._flow, None
        self._pool.pools.flows.pop(self, None)
        if flow is not None:
            flow.on_room = nothing
        if self._stopped and self._transport is not None and not self._transport.is_closing():
            self._stopped = False
            self._transport.resume_reading()

    def is_stuck(self, before: int) -> bool:
        """Nothing has come of its answer since, though it was wanted."""
        return not self._stopped and self.moved < before

    def give_up(self) -> None:
        self._break()

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
        elif not self._in_head:
            pass  # a trailer
        elif lower == b"connection":
            self._until_close |= value.strip().lower() == b"close"
        elif lower == b"x-not-run":
            self._not_run = value.strip() == b"1"
        elif lower == b"content-length":
            # Refused at its head: up to the limit, a body is read before it shows that it does not end.
            if int(value) > LONGEST:
                raise ValueError("an answer that is too long")
            self._framed, self._length = True, int(value)
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
        elif self._framed or self._status in (204, 304):
            self._until_close = False
        elif self._parser.get_http_version() == "1.0":
            self._until_close = True
        elif not self._until_close:
            # It would end with its connection, and so would one that was cut.
            raise ValueError("an answer with neither length nor end")
        self._in_head = False
        self._size = 0
        if self._status == 200 and self._length > INLINE_MOST:
            self._begin_flow(self._length)

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > (LONGEST if self._status == 200 else INLINE_MOST):
            raise ValueError("an answer that is too long")
        if self._flow is not None:
            self._flow.put(data)
            return
        self._body.append(data)
        if self._size > INLINE_MOST:
            self._begin_flow(None)

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
        rested = now - self.pools.rest.needed(now)
        # They stand in the order in which they came to rest: those that have rested long enough come first.
        able = bisect_right(self.idle, rested, key=lambda one: one.idle_since)
        for index in range(able - 1, -1, -1):
            connection = self.idle.pop(index)
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
        self.rest = ConnectionRest()
        self.has_news: Callable[[], bool] = bool  # of the servers has come what is not read yet
        self.flows: dict[Connection, None] = {}  # whose answers are passed on as they come
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
        stuck = self.now() - int(SILENCE_MOST * 1e9)
        for connection in [one for one in self.flows if one.is_stuck(stuck)]:
            connection.give_up()
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
