"""HTTP/1.1 client connection to a server: sends one request at a time and parses its answer."""

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

HEAD_BYTES_MAX = 16 << 10
INTERIM_ANSWERS_MAX = 16  # 1xx answers ahead of the final one
WRITE_REPORT_TURNS = 2  # loop turns after which the write buffer shows what the kernel did not accept
SERVER_SIDE_4XX = (408, 429)  # caused by the time-outs and the load of the server, not by the request
HOP_BY_HOP_HEADERS = frozenset((
    b"connection", b"keep-alive", b"proxy-authenticate", b"proxy-authorization", b"proxy-connection", b"te",
    b"trailer", b"transfer-encoding", b"upgrade", b"content-length",
))  # fmt: skip
"""Headers that apply to one connection only, and Content-Length, which is generated for each hop."""


class Answer(NamedTuple):
    """A server's final answer to one attempt; 1xx answers are not included."""

    status: int
    headers: list[tuple[bytes, bytes]]  # end-to-end headers, as received
    body: bytes | Stream  # a body over INLINE_BODY_BYTES_MAX is streamed after the answer is delivered
    load: bytes  # the load report; empty if there is none


class Connection(asyncio.Protocol):
    """A connection to a server, which carries one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._has_no_unread_data: Callable[[], bool] = bool  # replaced when the connection is established
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self._attempt: Attempt | None = None
        self.written = False  # the loop has reported that the kernel has the whole request
        self.may_be_fully_sent = False  # the kernel may have it, though not reported: the request may run
        self.closed = False
        self.idle_since = 0
        self._reusable = False
        self._status = self._interim_answers = self._length = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._load = b""
        self._not_run = False
        self._framed = False  # the head states how the answer ends
        self._body: list[bytes] = []
        self._size = 0
        self._in_head = True
        self._is_complete = False  # the answer is complete
        self._ends_at_close = False  # the answer ends where the connection is closed
        self._upload: Stream | None = None  # the unsent part of a request body
        self._write_blocked = False  # the kernel accepts no more of it for now
        self._answer_stream: Stream | None = None  # the body of an answer that is streamed to the client
        self._delivered = False  # the head of the streamed answer has been delivered
        self._is_reading_paused = False  # reading is paused, since the client reads slowly
        self.last_progress = 0  # of the streamed answer, monotonic ns

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._pool.pools.sockets += 1
        self._has_no_unread_data = self._pool.pools.system.configure_connection(transport)
        # With a zero limit, `resume_writing` reports when the kernel has taken what was left of a write.
        transport.set_write_buffer_limits(high=0)

    def has_no_unread_data(self) -> bool:
        """Whether neither data nor an end of stream waits unread. A second copy of an answer that is still
        in the receive buffer would otherwise be delivered to the next client."""
        return self._has_no_unread_data()

    def send(self, attempt: Attempt, data: bytes, upload: Stream | None = None) -> None:
        transport = self._transport
        assert transport is not None
        self._attempt = attempt
        self._reusable = self.written = self.may_be_fully_sent = self._write_blocked = self._delivered = False
        self._reset_answer()
        transport.write(data)
        attempt.on_request_written()
        if upload is None:
            self._on_last_byte_buffered(attempt)
        else:
            self._upload = upload
            upload.on_readable = self._forward_upload
            self._write_blocked = bool(transport.get_write_buffer_size())
            self._forward_upload()

    def _on_last_byte_buffered(self, attempt: Attempt) -> None:
        """The transport has the last byte. What the kernel did not accept at once is written in the next turn
        of the loop and reported in the one after; what is still buffered then has not been sent."""
        transport = self._transport
        assert transport is not None
        # A transport that closed during the write has not sent all.
        self.may_be_fully_sent = not transport.is_closing()
        self.written = self.may_be_fully_sent and not transport.get_write_buffer_size()
        if self.may_be_fully_sent and not self.written:
            asyncio.get_running_loop().call_soon(self._check_write_buffer, attempt, WRITE_REPORT_TURNS)

    def _check_write_buffer(self, attempt: Attempt, turns: int) -> None:
        if self._attempt is not attempt or self.written or self.closed:
            return
        if turns > 1:
            asyncio.get_running_loop().call_soon(self._check_write_buffer, attempt, turns - 1)
        elif self._transport is not None and not self._transport.is_closing():
            self.may_be_fully_sent = False

    def _forward_upload(self) -> None:
        """Forwards what has been received of a streamed request body, as fast as the server reads it."""
        transport, upload, attempt = self._transport, self._upload, self._attempt
        if (
            upload is None
            or transport is None
            or attempt is None
            or self._write_blocked
            or transport.is_closing()
        ):
            return
        data = upload.take()
        if upload.length is None:
            data = encode_chunk(data) + (LAST_CHUNK if upload.is_done() else b"")
        if data:
            attempt.last_progress = self._pool.pools.now()
            transport.write(data)
            self._write_blocked = bool(transport.get_write_buffer_size())
            upload.set_blocked(self._write_blocked)
        if upload.is_done():
            self._upload = None
            self._on_last_byte_buffered(attempt)
            if not self._write_blocked and not transport.is_closing():
                self._on_all_written()
        else:
            upload.mark_forwarded()

    def _on_all_written(self) -> None:
        self.written = self.may_be_fully_sent = self._attempt is not None
        if self._attempt is not None and self._attempt.last_progress:
            self._attempt.on_upload_complete()

    def resume_writing(self) -> None:
        self._write_blocked = False
        if self._upload is not None:
            self._upload.set_blocked(False)
            self._forward_upload()
        else:
            self._on_all_written()

    def eof_received(self) -> None:
        # A close-delimited answer ends here (RFC 9112, section 6.3); any other answer is truncated.
        if self._ends_at_close and not self._in_head and not self._is_complete:
            self._is_complete = True
            self._reusable = False
            if self._answer_stream is not None:
                self._forward_answer()
            else:
                self._complete()

    def _reset_answer(self) -> None:
        self._status = self._size = self._interim_answers = self._length = 0
        self._headers = []
        self._body = []
        self._load = b""
        self._not_run = self._framed = self._is_complete = self._ends_at_close = False
        self._in_head = True

    def release(self, attempt: Attempt) -> None:
        """The attempt has ended: returns to the pool if the answer was received completely, else closes."""
        if self._attempt is not attempt:
            return
        self._attempt = None
        if self._upload is not None:
            self._upload.on_readable = no_op
            self._upload = None
        if self._answer_stream is not None:
            return  # the answer is still being streamed
        if self._reusable and self.written and not self.closed:
            self._pool.put(self)
        else:
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        attempt = self._attempt
        if (attempt is None and self._answer_stream is None) or self._parser is None:  # no request is pending
            pools = self._pool.pools
            pools.reuse_delay.on_unsolicited_bytes(pools.now(), pools.now() - self.idle_since)
            self.close()
            return
        if attempt is not None and attempt.first_byte:
            attempt.on_answer_begun()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._is_complete:
                self._fail(Result.ERROR)
                return
            self._reusable = False
        if self._answer_stream is not None:
            self._forward_answer()
        elif self._is_complete:
            self._complete()
        elif self._in_head:
            self._size += len(data)
            if self._size > HEAD_BYTES_MAX:
                self._fail(Result.ERROR)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._pool.on_closed(self)
        self._fail()
        self._parser = None  # breaks the reference cycle, which would last until a garbage collection

    def _fail(self, result: Result = Result.RESET) -> None:
        """Ends the attempt, as the answer can no longer be received. A malformed answer is an error and not a
        reset: a reset would mean a lost connection, and that others to this server may be lost too."""
        attempt, stream = self._attempt, self._answer_stream
        self._reusable = False
        if stream is not None and self._delivered:
            self._end_answer_stream()
            stream.fail()
        elif attempt is not None:
            self._end_answer_stream()
            attempt.end(result if self.may_be_fully_sent else Result.CONNECT_FAILED)
        self.close()

    # Streamed answers.

    def _begin_answer_stream(self, length: int | None) -> None:
        self._answer_stream = Stream(length)
        for piece in self._body:
            self._answer_stream.put(piece)
        self._body = []

    def _forward_answer(self) -> None:
        """More of the body, or its end, has arrived. The head is delivered first, to attach the reader."""
        stream, attempt, transport = self._answer_stream, self._attempt, self._transport
        assert stream is not None and transport is not None
        self.last_progress = self._pool.pools.now()
        if not self._delivered and attempt is not None:
            self._delivered = True
            self._pool.pools.streaming_connections[self] = None
            stream.on_writable = self._on_stream_room
            attempt.end(Result.OK, Answer(self._status, self._headers, stream, self._load))
        if stream.failed:
            self.close()  # the reader is gone
        elif self._is_complete:
            self._end_answer_stream()
            stream.end()
            if self._reusable and self.written and not self.closed:
                self._pool.put(self)
            else:
                self.close()
        elif stream.is_full() and not self._is_reading_paused:
            self._is_reading_paused = True
            transport.pause_reading()

    def _on_stream_room(self) -> None:
        stream, transport = self._answer_stream, self._transport
        if stream is None or transport is None:
            return
        self.last_progress = self._pool.pools.now()
        if stream.failed:
            self._end_answer_stream()
            self.close()
        elif self._is_reading_paused and not transport.is_closing():
            self._is_reading_paused = False
            transport.resume_reading()

    def _end_answer_stream(self) -> None:
        stream, self._answer_stream = self._answer_stream, None
        self._pool.pools.streaming_connections.pop(self, None)
        if stream is not None:
            stream.on_writable = no_op
        if self._is_reading_paused and self._transport is not None and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def is_stalled(self, since: int) -> bool:
        """Whether the answer has made no progress since then, though reading was not paused."""
        return not self._is_reading_paused and self.last_progress < since

    def give_up(self) -> None:
        self._fail()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self._is_complete:  # a second answer to one request: nothing that follows can be trusted
            self._reusable = False
            raise ValueError("an answer that nobody asked for")
        interim_answers = self._interim_answers
        self._reset_answer()
        self._interim_answers = interim_answers

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"x-load":
            self._load = value
        elif not self._in_head:
            pass  # a trailer
        elif lower == b"connection":
            self._ends_at_close |= value.strip().lower() == b"close"
        elif lower == b"x-not-run":
            self._not_run = value.strip() == b"1"
        elif lower == b"content-length":
            # Rejected by its header: otherwise the body would be read up to the limit first.
            if int(value) > BODY_BYTES_MAX:
                raise ValueError("an answer that is too long")
            self._framed, self._length = True, int(value)
        elif lower == b"transfer-encoding":
            self._framed = True
        elif lower not in HOP_BY_HOP_HEADERS:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self._status = self._parser.get_status_code()
        if self._status < 200:
            self._interim_answers += 1
            if self._interim_answers > INTERIM_ANSWERS_MAX:
                raise ValueError("interim answers without end")
        elif self._framed or self._status in (204, 304):
            self._ends_at_close = False
        elif self._parser.get_http_version() == "1.0":
            self._ends_at_close = True
        elif not self._ends_at_close:
            # Delimited only by the end of the connection, it could not be told from a truncated answer.
            raise ValueError("an answer with neither length nor end")
        self._in_head = False
        self._size = 0
        if self._status == 200 and self._length > INLINE_BODY_BYTES_MAX:
            self._begin_answer_stream(self._length)

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > (BODY_BYTES_MAX if self._status == 200 else INLINE_BODY_BYTES_MAX):
            raise ValueError("an answer that is too long")
        if self._answer_stream is not None:
            self._answer_stream.put(data)
            return
        self._body.append(data)
        if self._size > INLINE_BODY_BYTES_MAX:
            self._begin_answer_stream(None)

    def on_message_complete(self) -> None:
        if self._status >= 200:  # an interim answer is followed by the real one
            assert self._parser is not None
            self._reusable = self._parser.should_keep_alive()
            self._is_complete = True

    def _complete(self) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        if self._status == 200:
            result = Result.OK
        elif self._status in (503, 504) and self._not_run:
            result = Result.FULL
        elif 400 <= self._status < 500 and self._status not in SERVER_SIDE_4XX:
            result = Result.REJECTED
        else:
            result = Result.ERROR
        attempt.end(result, Answer(self._status, self._headers, b"".join(self._body), self._load))
