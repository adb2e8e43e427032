"""HTTP/1.1 client connection to a server: sends one request at a time and receives its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, cast

from driftstair.net.answer_phase import (
    FINAL_ANSWER_GRACE_S,
    UNDECIDED_SILENCE_S_MAX,
    AnswerPhase,
    AttemptEnd,
    is_passed_on,
)
from driftstair.net.body_stream import INLINE_BODY_BYTES_MAX, LAST_CHUNK, Stream, encode_chunk, no_op
from driftstair.net.server_answer import AnswerReader
from driftstair.observability.reasons import StreamStart
from lichenspring.interface import Result

if TYPE_CHECKING:
    from driftstair.net.connection_pools import Pool
    from driftstair.net.server_attempt import Attempt

SILENCE_CHECK_INTERVAL_S = 0.02
WRITE_REPORT_TURNS = 2  # loop turns after which the write buffer shows what the kernel did not accept


class Connection(asyncio.BufferedProtocol):
    """A connection to a server, which carries one request at a time."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._buffers = pool.pools.buffers
        self.get_buffer = pool.pools.buffers.get_buffer  # type: ignore[method-assign]
        self._transport: asyncio.Transport | None = None
        self._has_no_unread_data: Callable[[], bool] = bool  # replaced when the connection is established
        self._reader = AnswerReader()
        self._attempt: Attempt | None = None
        self.written = False  # the loop has reported that the kernel has the whole request
        self.may_be_fully_sent = False  # the kernel may have it, though not reported: the request may run
        self.closed = False
        self.idle_since = 0
        self._upload: Stream | None = None  # the unsent part of a request body
        self._write_blocked = False  # the kernel accepts no more of it for now
        self._delivered = False  # the head of the streamed answer has been delivered
        self._is_reading_paused = False  # reading is paused, since the client reads slowly
        self.last_progress = 0  # of the streamed answer, monotonic ns
        self._silence_timer: asyncio.TimerHandle | None = None  # of an answer that may still be a short one

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
        self.written = self.may_be_fully_sent = self._write_blocked = self._delivered = False
        self._reader.reset()
        self._reader.is_reusable = False
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
        while not self._write_blocked and not transport.is_closing():
            data = upload.take()
            if upload.length is None:
                data = encode_chunk(data) + (LAST_CHUNK if upload.is_done() else b"")
            if not data:
                break
            attempt.last_progress = self._pool.pools.now()
            transport.write(data)
            self._write_blocked = bool(transport.get_write_buffer_size())
            upload.set_blocked(self._write_blocked)
            if upload.is_done():
                break
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
        if self._reader.end_at_close():
            self._on_answer_bytes()

    def release(self, attempt: Attempt) -> None:
        """The attempt has ended: returns to the pool if the answer was received completely, else closes."""
        if self._attempt is not attempt:
            return
        self._attempt = None
        if self._upload is not None:
            self._upload.on_readable = no_op
            self._upload = None
        if self._reader.stream is not None:
            return  # the answer is still being streamed
        if self._reader.is_reusable and self.written and not self.closed:
            self._pool.put(self)
        else:
            self.close()

    def close(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._buffers.view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        attempt, reader = self._attempt, self._reader
        if attempt is None and reader.stream is None:  # no request is pending
            pools = self._pool.pools
            pools.reuse_delay.on_unsolicited_bytes(pools.now(), pools.now() - self.idle_since)
            self.close()
            return
        if attempt is not None and attempt.first_byte:
            attempt.on_answer_begun()
        was_undecided = reader.phase is AnswerPhase.UNDECIDED
        if not reader.feed(data):
            self._fail(Result.ERROR)
            return
        self._on_answer_bytes()
        if reader.phase is AnswerPhase.UNDECIDED and not was_undecided and self._attempt is not None:
            self._attempt.on_answer_undecided()

    def _on_answer_bytes(self) -> None:
        """More of the answer, or its end, has been read."""
        reader, attempt = self._reader, self._attempt
        if reader.stream is not None:
            self._forward_answer()
        elif reader.is_complete and attempt is not None:
            attempt.end(*reader.outcome())

    def answer_progress(self) -> tuple[AnswerPhase, int]:
        """The phase of the answer to the request that is out, and how many bytes of it have arrived."""
        return self._reader.phase, self._reader.received_bytes()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._pool.on_closed(self)
        self._fail()
        self._reader.close()

    def _fail(self, result: Result = Result.RESET) -> None:
        """Ends the attempt, as the answer can no longer be received. A malformed answer is an error and not a
        reset: a reset would mean a lost connection, and that others to this server may be lost too."""
        attempt, stream = self._attempt, self._reader.stream
        self._reader.is_reusable = False
        if stream is not None and self._delivered:
            self._end_answer_stream()
            stream.fail()
        elif attempt is not None:
            self._end_answer_stream()
            attempt.end(result if self.may_be_fully_sent else Result.CONNECT_FAILED)
        self.close()

    # Streamed answers.

    def pass_on_answer(self, end: AttemptEnd) -> bool:
        """Passes the answer on as it comes, if `end` must not end it; returns whether it does."""
        attempt = self._attempt
        if attempt is None or self.closed or not is_passed_on(self._reader.phase, end):
            return False
        deadline = attempt.client_deadline
        self._reader.begin_stream(StreamStart.TIME)
        self._forward_answer()
        self._check_silence(deadline)
        return True

    def _check_silence(self, deadline: int) -> None:
        """Gives up an answer that may be a short one, which its server will never end. `deadline`: of the
        client, monotonic ns."""
        self._silence_timer = None
        stream = self._reader.stream
        if stream is None or self._reader.received_bytes() > INLINE_BODY_BYTES_MAX:
            return
        now = self._pool.pools.now()
        give_up_at = max(
            deadline + int(FINAL_ANSWER_GRACE_S * 1e9),
            self.last_progress + int(UNDECIDED_SILENCE_S_MAX * 1e9),
        )
        # Timers run before sockets are read, and the process may have stood still.
        if now >= give_up_at and not self._is_reading_paused and self.has_no_unread_data():
            stream.is_silent = True
            self._fail()
            return
        wait_s = max(give_up_at - now, 0) / 1e9 + SILENCE_CHECK_INTERVAL_S
        self._silence_timer = asyncio.get_running_loop().call_later(wait_s, self._check_silence, deadline)

    def _forward_answer(self) -> None:
        """More of the body, or its end, has arrived. The head is delivered first, to attach the reader."""
        stream, attempt, transport = self._reader.stream, self._attempt, self._transport
        assert stream is not None and transport is not None
        self.last_progress = self._pool.pools.now()
        if not self._delivered and attempt is not None:
            self._delivered = True
            self._pool.pools.streaming_connections[self] = None
            stream.on_writable = self._on_stream_room
            attempt.end(Result.OK, self._reader.answer())
        if stream.failed:
            self.close()  # the reader is gone
        elif self._reader.is_complete:
            self._end_answer_stream()
            stream.end()
            if self._reader.is_reusable and self.written and not self.closed:
                self._pool.put(self)
            else:
                self.close()
        elif stream.is_full() and not self._is_reading_paused:
            self._is_reading_paused = True
            transport.pause_reading()

    def _on_stream_room(self) -> None:
        stream, transport = self._reader.stream, self._transport
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
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None
        stream, self._reader.stream = self._reader.stream, None
        self._pool.pools.streaming_connections.pop(self, None)
        if stream is not None:
            stream.on_writable = no_op
        if self._is_reading_paused and self._transport is not None and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def is_stalled(self, since: int) -> bool:
        """Whether the answer has made no progress since then, though reading was not paused."""
        return not self._is_reading_paused and self.last_progress < since and self.has_no_unread_data()

    def give_up(self) -> None:
        if self._reader.stream is not None:
            self._reader.stream.is_silent = True
        self._fail()
