"""One client's connection: serves its requests in order, and handles its close."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from driftstair.net.arrival import FULL_WINDOW_BYTES_MIN, ArrivalEstimator, ArrivalRange
from driftstair.net.body_stream import (
    BODY_BYTES_MAX,
    LAST_CHUNK,
    Stream,
    body_length,
    encode_chunk,
    no_op,
)
from driftstair.net.buffer_account import BufferKind, HeldBytes
from driftstair.net.identifiers import key_number
from driftstair.net.in_flight import ParsedRequest
from driftstair.net.last_byte import LastByteEstimate
from driftstair.net.request import FRAMED_BODY_BYTES_BASE, HEALTH_PATH, IncomingRequest, RequestReader
from driftstair.observability.reasons import AnswerReason, CloseReason, StreamEnd

if TYPE_CHECKING:
    from driftstair.net.frontend import Frontend

LINGER_BYTES_MAX = 1 << 20  # read after the last answer, as a reset on unread data may lose the answer
LINGER_BODY_BYTES_MAX = BODY_BYTES_MAX + FRAMED_BODY_BYTES_BASE  # the same after an answer within a body
REQUESTS_PER_TURN = 8  # of one connection in one turn of the event loop, so that others are not delayed
ANSWER_WRITE_S_MAX = 10.0  # for an answer to a request without a deadline
PEER_STATE_TTL_NS = 1_000_000  # caches the kernel's state, which is queried several times per request
DISCONNECT_GRACE_S = 0.08  # from a client's close or half-close until no new attempt may start for it

UNANSWERABLE_CLOSES = (CloseReason.SLOW_READER, CloseReason.ANSWER_BROKEN, CloseReason.TOO_MUCH_AFTER_END)
"""Closes after which the client could get no further answer anyway."""
INACTIVITY_CLOSES = (CloseReason.IDLE, CloseReason.TOO_SLOW)
"""Closes for inactivity, of clients that may send a request at any moment."""
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_PHRASES = {status.value: b"%d %s" % (status.value, status.phrase.encode()) for status in HTTPStatus}


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection; its requests are served one at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(
            frontend.config,
            frontend.now,
            frontend.node.serves,
            frontend.budget,
            frontend.node.limits is not None,
        )
        self._buffers = frontend.buffers
        self.get_buffer = frontend.buffers.get_buffer  # type: ignore[method-assign]
        self._held_input = HeldBytes(frontend.buffers, BufferKind.INPUT)
        self._held_answer = HeldBytes(frontend.buffers, BufferKind.ANSWERS)
        self._reserved_bytes = 0  # of the body budget, by the current request
        self._upload: Stream | None = None  # a body that is being streamed to a server
        self._answer_stream: Stream | None = None  # an answer that is being streamed to the client
        self._request_began_at = 0.0  # loop time at which the current request was served
        self._streamed_request = 0  # the number of its request
        self._last_byte = LastByteEstimate()
        self._chunked = False  # framing of that answer
        self._is_stream_written = False  # its last byte has been written to the transport
        self._version = b"1.1"  # HTTP version of the latest request
        self.since = self._loop.time()
        self._request_number = 0  # of the request that the node handles; 0: none
        self._busy = False
        self._has_sent_request = False  # a complete request has arrived
        self._keep_alive = True
        self._is_closing = False  # no more requests are read
        self._rejected = False  # the last answer was a 4xx
        self._half_closed = False  # the client has sent its FIN
        self._peer_close_age: Callable[[], int | None] = lambda: None
        self._data_age: Callable[[], int] = int  # ns since the newest data; 0 before the connection is up
        self._has_kernel_data: Callable[[], bool] = bool  # False before the connection is up
        self._arrival_estimator = ArrivalEstimator(self._frontend.now())
        self._disconnected_at: int | None = None  # when the client closed or half-closed, monotonic ns
        self._last_seen_open_at = -PEER_STATE_TTL_NS  # when the kernel last had no FIN, monotonic ns
        self._discarded_bytes = 0  # bytes received after the last answer
        self._linger_bytes_max = LINGER_BYTES_MAX
        self._deadline = 0
        self._slow_reader_timer: asyncio.TimerHandle | None = None
        self._is_advancing = False  # _advance is running
        self._awaits_turn = False  # more can be done in a later turn of the event loop
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's class is no subclass
        transport.set_write_buffer_limits(high=0)  # so that resume_writing is called after the last byte
        self._peer_close_age = self._frontend.peer_close_probe(transport)
        self._data_age = self._frontend.data_age_probe(transport)
        self._has_kernel_data = self._frontend.unread_probe(transport)
        self._date_acceptance(transport)
        self._frontend.on_connect(self)

    def _date_acceptance(self, transport: asyncio.Transport) -> None:
        """Data sent while the connection waited to be accepted are still in the kernel."""
        age = self._frontend.accepted_age(transport)
        up_since = self._frontend.now() - age if age else self._frontend.monitor.earliest_event_time()
        self._arrival_estimator.on_accept(up_since, self._has_kernel_data())

    def connection_lost(self, exc: Exception | None) -> None:
        self._is_closing = True
        self._reader.close()
        self._held_input.set(0)
        self._held_answer.set(0)
        if self._slow_reader_timer is not None:
            self._slow_reader_timer.cancel()
        self._release_reservation()
        number, self._request_number = self._request_number, 0
        if number:
            self._frontend.node.on_client_closed(number)
        if self._answer_stream is not None:
            self._answer_stream.abandon()
            self._end_answer_stream(StreamEnd.CLIENT_LEFT)
        self._frontend.on_disconnect(self)

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self._buffers.view[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self._is_closing:
            self._discarded_bytes += len(data)
            if self._discarded_bytes > self._linger_bytes_max:
                self.abort(CloseReason.TOO_MUCH_AFTER_END)
            return
        reader = self._reader
        earliest = self._frontend.monitor.earliest_event_time()
        was_quiet = self._upload is not None and self._arrival_estimator.was_quiet(earliest)
        # A stream that makes room meanwhile must not parse more within the parser's callback.
        self._is_advancing = True
        reader.feed(data, *self._date_arrival(len(data), earliest))
        self._is_advancing = False
        if self._upload is not None:
            more_may_be_ready = len(data) >= min(FULL_WINDOW_BYTES_MIN, self._buffers.read_bytes_max())
            self._last_byte.on_read(self._frontend.now(), len(data), more_may_be_ready, was_quiet)
        if reader.in_body:
            self._frontend.on_body_bytes(self, len(data))
        else:
            self._arrival_estimator.end_backlog()
        self._advance()

    def _date_arrival(self, size: int, earliest: int) -> ArrivalRange:
        now = self._frontend.now()
        return self._arrival_estimator.on_read(now, size, self._data_age(), earliest, self._paused)

    def eof_received(self) -> bool:
        """A close and a half-close (RFC 9112) can't be told apart here. So attempts in flight continue and
        their answer is forwarded, and a request that has none soon after is refused. This suits both."""
        self._half_closed = True
        disconnected_for = 0.0
        if self._disconnected_at is None:
            # The FIN may be read late, if the process was stalled.
            self._disconnected_at = self._date_peer_close(self._peer_close_age() or 0)
            disconnected_for = (self._frontend.now() - self._disconnected_at) / 1e9
        if self._request_number:
            self._loop.call_later(
                max(0.0, DISCONNECT_GRACE_S - disconnected_for), self._withdraw, self._request_number
            )
        if self._upload is not None and not self._upload.ended:
            return False  # the rest of the body will never arrive
        if self._busy:
            return True  # its answer is pending or still being written
        return not self._is_closing and (bool(self._reader.ready) or self._reader.has_unread())

    def has_disconnected(self) -> bool:
        """Whether the client left so long ago that no new attempt may start for it. Checked before each
        attempt, as the FIN may still be in the kernel, behind unread data."""
        disconnected_for = self.disconnected_for()
        return bool(disconnected_for) and disconnected_for >= DISCONNECT_GRACE_S * 1e9

    def disconnected_for(self) -> int:
        """How long ago (ns) the client closed or half-closed; 0: it has not."""
        now = self._frontend.now()
        if self._disconnected_at is None:
            if now - self._last_seen_open_at < PEER_STATE_TTL_NS:
                return 0
            ago = self._peer_close_age()
            if ago is None:
                self._last_seen_open_at = now
                return 0
            self._disconnected_at = self._date_peer_close(ago)
        return max(1, now - self._disconnected_at)

    def _date_peer_close(self, age: int) -> int:
        return self._arrival_estimator.date_peer_close(self._frontend.now(), age, self._last_seen_open_at)

    def _withdraw(self, number: int) -> None:
        if number == self._request_number:
            self._frontend.node.withdraw(number)

    def time_out(self) -> None:
        """Closes a slow connection. A client that has sent part of a request is answered with 408 first."""
        if self.has_unread():
            return  # to be read first; the connection is checked again later
        if self._reader.is_partial():
            self._reader.error_status = 408
            if self._upload is not None:
                self._upload.fail()
            self._advance()
        else:
            self.close(CloseReason.TOO_SLOW)

    def activity(self) -> str:
        """The name of its `ConnectionActivity`."""
        if self._busy or self._is_closing or self._awaits_turn:
            return "BUSY"
        if self._reader.is_partial():
            return "PARTIAL"
        return "IDLE" if self._has_sent_request else "SILENT"

    def refuse(self) -> None:
        """Answers a partly received request with 503."""
        self._reader.error_status = 503
        self._advance()

    # Requests, in order.

    def _advance(self) -> None:
        transport, reader = self._transport, self._reader
        if transport is None or self._is_advancing:
            return
        self._is_advancing = True
        requests_left = REQUESTS_PER_TURN
        while requests_left:
            if self._upload is not None:
                self._follow_upload(self._upload)
            if self._busy or self._is_closing or transport.is_closing():
                break
            reader.parse_available()
            if reader.ready:
                self._busy = self._has_sent_request = True
                self._frontend.on_request(self)
                requests_left -= 1
                self._serve(reader.ready.popleft())
            elif reader.error_status:
                # Nothing can be parsed after an invalid request; the requests before it are answered.
                self._busy = True
                self._keep_alive = False
                self._answer_locally(reader.error_status, AnswerReason.UNREADABLE)
            else:
                break
        self._is_advancing = False
        if self._is_closing or transport.is_closing():
            return
        if reader.in_body or self._frontend.uploads:
            self._track_body()
        has_more = bool(reader.ready or reader.has_unread())
        if has_more or self._upload is not None or self._held_input.size:
            self._account_input()
        if reader.has_yielded or (has_more and not requests_left and not self._busy):
            self._await_turn()
        # While requests wait, no more are read: what a client pipelines stays in the kernel.
        is_held_up = has_more or (self._upload is not None and self._waits_for_server(self._upload))
        if self._paused != is_held_up:
            self._set_paused(transport, is_held_up)
        elif is_held_up and self._upload is not None:
            self._set_provisional_deadline(self._upload)
        if self._busy or self._awaits_turn:
            return
        if self._half_closed:
            self.close(CloseReason.CLIENT_ENDED)
        elif reader.is_partial():
            if not reader.in_body:
                self._frontend.on_head_bytes(self)
            if reader.wants_continue():
                transport.write(CONTINUE_RESPONSE)
        else:
            self._frontend.on_idle(self)

    def _account_input(self) -> None:
        upload_bytes = 0 if self._upload is None else self._upload.unreserved_bytes()
        self._held_input.set(self._reader.unparsed_bytes() + upload_bytes)

    def _waits_for_server(self, upload: Stream) -> bool:
        """While too much is held, no more of a body is read before its server has taken what there is."""
        if not upload.buffered_bytes() or not self._frontend.buffers.is_under_pressure:
            return False
        upload.notify_when_taken()
        return True

    def _await_turn(self) -> None:
        """Goes on in a later turn of the event loop, after the other connections have been read."""
        if not self._awaits_turn:
            self._awaits_turn = True
            self._frontend.turns.add(self)

    def take_turn(self) -> None:
        """Goes on with what has been read."""
        self._awaits_turn = False
        self._reader.begin_turn()
        self._advance()

    def _set_paused(self, transport: asyncio.Transport, paused: bool) -> None:
        """Pauses or resumes reading."""
        self._paused = paused
        progress = self._frontend.uploads.get(self)
        if paused:
            transport.pause_reading()
            self._arrival_estimator.pause(self._frontend.now())
            if self._upload is not None:
                rate = 0.0 if progress is None else progress.bytes_per_s(self._loop.time())
                self._last_byte.on_pause(self._frontend.now(), rate)
                self._set_provisional_deadline(self._upload)
            if progress is not None:
                progress.pause(self._loop.time())
        else:
            transport.resume_reading()
            self._arrival_estimator.resume(self._frontend.now())
            if self._upload is not None and self._request_number:
                self._frontend.node.withdraw_provisional_deadline(self._request_number)
            if progress is not None:
                progress.resume(self._loop.time())

    def _set_provisional_deadline(self, upload: Stream) -> None:
        """The client may have written bytes long before they are read."""
        written_at = self._last_byte.earliest(self._reader.unparsed_bytes(), upload.bytes_left())
        if written_at is not None and self._request_number:
            self._frontend.node.set_provisional_deadline(self._request_number, written_at)

    def _track_body(self) -> None:
        """Bodies have a minimum rate. They may begin and end in bytes that were read earlier, and parsed once
        an answer has been sent or a server has made room."""
        is_tracked = self in self._frontend.uploads
        if self._reader.in_body:
            if not is_tracked:
                self._frontend.on_body_bytes(self, 0)
        elif is_tracked:
            self._frontend.on_body_end(self)

    def _follow_upload(self, upload: Stream) -> None:
        """Parses more of a streamed body, and handles its end or failure."""
        self._reader.parse_available()
        if upload.ended:
            self._set_provisional_deadline(upload)
            self._upload = None
            self._last_byte.reset()
            upload.on_writable = no_op
            if self._request_number:
                self._frontend.node.on_body_complete(self._request_number, self._reader.newest_arrival)
        elif upload.failed:
            self._upload = None
            self._last_byte.reset()
            number, self._request_number = self._request_number, 0
            if number:  # neither complete nor answered
                self._frontend.node.on_client_closed(number)
                self._keep_alive = False
                self._answer_locally(self._reader.error_status or 400, AnswerReason.UNREADABLE)

    def _release_reservation(self) -> None:
        self._frontend.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _serve(self, incoming: IncomingRequest) -> None:
        self._keep_alive = incoming.keep_alive
        self._version = incoming.version
        self._reserved_bytes, incoming.reserved_bytes = incoming.reserved_bytes, 0
        self._deadline = 0
        self._request_began_at = self._loop.time()
        if incoming.stream is not None:
            self._upload = incoming.stream
            incoming.stream.on_writable = self._advance
        if incoming.path == HEALTH_PATH:
            self.answer(200 if self._frontend.is_up() else 503, [], b"")
            return
        if self._frontend.refuses():
            self._answer_locally(503, AnswerReason.PROCESS_ENDING)
            return
        buffers = self._frontend.buffers
        if buffers.is_under_pressure and buffers.is_over(BufferKind.ANSWERS):
            self._answer_locally(503, AnswerReason.TOO_MUCH_UNREAD)
            return
        parsed = self._parsed_request(incoming)
        self._deadline = 0 if incoming.stream is not None else parsed.deadline
        number = self._frontend.node.submit(parsed)
        if number and self._busy and not self._is_closing and self._answer_stream is None:
            self._request_number = number
            if incoming.stream is not None and self._reader.wants_continue():
                assert self._transport is not None
                self._transport.write(CONTINUE_RESPONSE)

    def _parsed_request(self, incoming: IncomingRequest) -> ParsedRequest:
        """The request in the form that the node takes."""
        fields, tenants = incoming.fields, self._frontend.config.tenants
        limits = self._frontend.node.limits
        key = fields.get(b"x-key")
        return ParsedRequest(
            client=self,
            has_disconnected=self.has_disconnected,
            disconnected_for=self.disconnected_for,
            request_id=fields[b"x-request-id"],
            head=incoming.forwarded_head(),
            body=bytes(incoming.body) if incoming.stream is None else incoming.stream,
            class_index=incoming.class_index,
            tenant=tenants.get(fields.get(b"x-tenant", b""), len(tenants)),
            key=key_number(key) if key else 0,
            resubmitted=fields.get(b"x-retry") == b"1",
            deadline=incoming.arrived_at + incoming.patience,
            patience=incoming.patience,
            query=limits.route_query(incoming.method, incoming.path, fields) if limits is not None else None,
        )

    def _answer_locally(self, status: int, reason: AnswerReason) -> None:
        """Answers a request that never reached the node."""
        self._frontend.node.metrics.answers[reason] += 1
        self.answer(status, [], b"")

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes | Stream) -> None:
        transport = self._transport
        assert transport is not None
        self._streamed_request, self._request_number = self._request_number, 0
        self._release_reservation()
        if transport.is_closing():
            if isinstance(body, Stream):
                body.abandon()
            return
        # Closed after a 4xx, as a faulty client might repeat the request as fast as it is answered.
        rejected = 400 <= status < 500
        # Requests already read behind this one are answered first; a close would lose them.
        more = bool(self._reader.ready or self._reader.error_status) or self._reader.has_unread()
        keep = self._keep_alive and (more or (not rejected and self._frontend.keeps_alive(self)))
        if self._upload is not None:
            if not self._upload.ended:
                keep = False  # the rest would be parsed as the next request
                self._linger_bytes_max = LINGER_BODY_BYTES_MAX
            self._upload.on_writable = no_op
            self._upload = None
            self._last_byte.reset()
        length = body_length(body)
        self._chunked = length is None and self._version != b"1.0"
        self._is_stream_written = False
        lines = [b"HTTP/1.1 ", STATUS_PHRASES[status], b"\r\n"]
        for name, value in headers:
            lines += (name, b": ", value, b"\r\n")
        if status == 405:
            lines.append(b"Allow: GET, POST\r\n")
        if self._chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
        else:
            keep = False  # the close marks the end of the answer
        if not keep:
            lines.append(b"Connection: close\r\n")
        elif self._version == b"1.0":
            lines.append(b"Connection: keep-alive\r\n")
        lines.append(b"\r\n")
        self._is_closing, self._rejected = not keep, rejected
        if not keep:
            self._frontend.on_body_end(self)  # or the rest of the body is ignored
            self._reader.drop_unparsed()
            self._held_input.set(0)
        if isinstance(body, Stream):
            transport.write(b"".join(lines))
            self._answer_stream = body
            self._frontend.on_answer_progress(self)
            body.on_readable = self._forward_answer
            self._forward_answer()
            return
        lines.append(body)
        transport.write(b"".join(lines))
        if unsent_bytes := transport.get_write_buffer_size():
            self._held_answer.set(unsent_bytes)
            # A slow reader gets nothing after its deadline, as it has given up by then.
            time_left = self._deadline - self._frontend.now() if self._deadline else ANSWER_WRITE_S_MAX * 1e9
            self._slow_reader_timer = self._loop.call_later(
                max(0.0, time_left / 1e9), self.abort, CloseReason.SLOW_READER
            )
        else:
            self._on_answer_written()

    def _forward_answer(self) -> None:
        """Forwards buffered data of a streamed answer as fast as the client reads it."""
        stream, transport = self._answer_stream, self._transport
        if stream is None or transport is None or transport.is_closing():
            return
        if stream.failed:
            self._end_answer_stream(StreamEnd.SERVER_SILENT if stream.is_silent else StreamEnd.SERVER_BROKE)
            if not self._chunked and stream.length is None:
                self._frontend.reset_on_close(transport)  # a mere close would be the end of the answer
            self.abort(CloseReason.ANSWER_BROKEN)  # lets the client detect the truncation
            return
        if unsent_bytes := transport.get_write_buffer_size():
            self._held_answer.set(unsent_bytes + stream.buffered_bytes())
            return  # `resume_writing` follows
        data = stream.take()
        if self._chunked:
            data = encode_chunk(data) + (LAST_CHUNK if stream.is_done() else b"")
        if data:
            transport.write(data)
            self._frontend.on_answer_progress(self)
            stream.set_blocked(bool(transport.get_write_buffer_size()))
        self._held_answer.set(transport.get_write_buffer_size() + stream.buffered_bytes())
        if stream.is_done():
            self._is_stream_written = True
            stream.on_readable = no_op
            if not transport.get_write_buffer_size():
                self._on_stream_written()
        else:
            stream.mark_forwarded()

    def _on_stream_written(self) -> None:
        self._end_answer_stream(StreamEnd.WHOLE)
        self._on_answer_written()

    def _end_answer_stream(self, reason: StreamEnd) -> None:
        self._answer_stream = None
        self._frontend.streamed_answers.pop(self, None)
        self._frontend.record_streamed_answer(self._loop.time() - self._request_began_at)
        self._frontend.node.note_stream_end(self._streamed_request, reason)

    def abort_slow_reader(self) -> None:
        """Gives up a streamed answer whose client has read nothing for too long."""
        if self._answer_stream is not None:
            self._answer_stream.abandon()
            self._end_answer_stream(StreamEnd.SLOW_READER)
        self.abort(CloseReason.SLOW_READER)

    def resume_writing(self) -> None:
        if self._answer_stream is not None:
            self._frontend.on_answer_progress(self)
            if self._is_stream_written:
                self._on_stream_written()
            else:
                self._answer_stream.set_blocked(False)
                self._forward_answer()
        elif self._slow_reader_timer is not None:
            self._slow_reader_timer.cancel()
            self._slow_reader_timer = None
            self._on_answer_written()

    def _on_answer_written(self) -> None:
        """The last byte of an answer has been written."""
        transport = self._transport
        assert transport is not None
        self._busy = False
        if self._held_answer.size:
            self._held_answer.set(0)
        if not self._is_closing:
            self._advance()
        elif self._half_closed:
            self.close(CloseReason.CLIENT_ENDED)
        else:
            # A close now would reset the connection if there are unread data, and might lose the answer.
            if self._paused:
                transport.resume_reading()
            self._note_close(CloseReason.AFTER_ANSWER)
            transport.write_eof()
            self._frontend.on_last_answer(self, self._rejected)

    def close(self, reason: CloseReason) -> None:
        """Closes after writing what is buffered."""
        if self._transport is not None and not self._transport.is_closing():
            self._note_close(reason)
            self._transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Closes at once and discards what is buffered."""
        if self._transport is not None and not self._transport.is_closing():
            self._note_close(reason)
            self._transport.abort()

    def _note_close(self, reason: CloseReason) -> None:
        node = self._frontend.node
        node.metrics.closes[reason] += 1
        if reason not in UNANSWERABLE_CLOSES:
            # Bytes after a request with `Connection: close` are no request (RFC 9112, section 9.6).
            waiting = len(self._reader.ready) if self._keep_alive else 0
            node.guard.record_close(
                self._request_number, waiting, reason.value, self._closes_over_unread(reason)
            )
        if node.observer is not None:
            node.observer.connection_closed(self._request_number, reason.value)

    def _closes_over_unread(self, reason: CloseReason) -> bool:
        """Whether a client that may still send requests has unread bytes; a FIN alone does not count."""
        if reason not in INACTIVITY_CLOSES or self._is_closing or not self.has_unread():
            return False
        assert self._transport is not None
        return self._frontend.unread_bytes(self._transport) > 0

    def close_if_unused(self) -> None:
        """Closes unless a request is open or there are unread data."""
        unused = not self._busy and not self._reader.ready and not self._reader.is_partial()
        if unused and not self.has_unread():
            self.close(CloseReason.IDLE)

    def has_unread(self) -> bool:
        """Whether the kernel has unread data of the client, or its FIN, which may follow a request."""
        return not self._half_closed and self._has_kernel_data()
