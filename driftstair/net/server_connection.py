"""One connection to a server: it carries one request at a time and reads its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, cast

import httptools

from driftstair.net.body_stream import (
    BODY_BYTES_MAX,
    INLINE_BODY_BYTES_MAX,
    LAST_CHUNK,
    Stream,
    encode_chunk,
    no_op,
)
from lichenspring.interface import Result

if TYPE_CHECKING:
    from driftstair.net.connection_pools import Pool
    from driftstair.net.server_attempt import Attempt

HEAD_MOST = 16 << 10
INTERIM_MOST = 16  # 1xx answers ahead of one
WRITE_TURNS = 2  # of the loop, after which what is left of a write is known to be here
NO_FAULT_OF_THE_REQUEST = (408, 429)  # 4xx, yet of the server's own time and load
HOP_BY_HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
    b"trailer", b"transfer-encoding", b"upgrade", b"content-length",
))  # fmt: skip
"""Headers that belong to one connection, and the length, which each side states anew."""


class Answer(NamedTuple):
    """What a server has answered to one attempt, 1xx left out."""

    status: int
    headers: list[tuple[bytes, bytes]]  # end to end, as they came
    body: bytes | Stream  # one over INLINE_BODY_BYTES_MAX comes on after the answer is told of
    load: bytes  # the load report; empty if there is none


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
        self._quiet = self._pool.pools.system.configure_connection(transport)
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
            rest.on_readable = self._pump
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
            data = encode_chunk(data) + (LAST_CHUNK if rest.is_done() else b"")
        if data:
            attempt.moved = self._pool.pools.now()
            transport.write(data)
            self._stuffed = bool(transport.get_write_buffer_size())
            rest.set_blocked(self._stuffed)
        if rest.is_done():
            self._upload = None
            self._note_handed(attempt)
            if not self._stuffed and not transport.is_closing():
                self._all_written()
        else:
            rest.mark_forwarded()

    def _all_written(self) -> None:
        self.written = self.may_be_whole = self._attempt is not None
        if self._attempt is not None and self._attempt.moved:
            self._attempt.uploaded()

    def resume_writing(self) -> None:
        self._stuffed = False
        if self._upload is not None:
            self._upload.set_blocked(False)
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
            self._upload.on_readable = no_op
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
            pools.rest.on_unsolicited_bytes(pools.now(), pools.now() - self.idle_since)
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
            flow.fail()
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
            flow.on_writable = self._room
            attempt.end(Result.OK, Answer(self._status, self._headers, flow, self._load))
        if flow.failed:
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
        if flow.failed:
            self._end_flow()
            self.close()
        elif self._stopped and not transport.is_closing():
            self._stopped = False
            transport.resume_reading()

    def _end_flow(self) -> None:
        flow, self._flow = self._flow, None
        self._pool.pools.flows.pop(self, None)
        if flow is not None:
            flow.on_writable = no_op
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
            if int(value) > BODY_BYTES_MAX:
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
        if self._status == 200 and self._length > INLINE_BODY_BYTES_MAX:
            self._begin_flow(self._length)

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > (BODY_BYTES_MAX if self._status == 200 else INLINE_BODY_BYTES_MAX):
            raise ValueError("an answer that is too long")
        if self._flow is not None:
            self._flow.put(data)
            return
        self._body.append(data)
        if self._size > INLINE_BODY_BYTES_MAX:
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
