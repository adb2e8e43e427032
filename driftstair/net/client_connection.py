"""One client's connection: its requests in turn, their answers, and what its end means for them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, cast

from driftstair.net.arrival import ArrivalEstimator, ArrivalRange
from driftstair.net.body_stream import LAST_CHUNK, Stream, body_length, encode_chunk, no_op
from driftstair.net.identifiers import key_number
from driftstair.net.in_flight import ParsedRequest
from driftstair.net.request import HEALTH_PATH, IncomingRequest, RequestReader
from driftstair.observability.reasons import AnswerReason, CloseReason

if TYPE_CHECKING:
    from driftstair.net.frontend import Frontend

LINGER_BYTES = 1 << 20  # that are read of what a rejected client still sends, so that it gets its answer
SLOW_READER = 10.0  # s in which the answer to a request with no deadline must be taken
STILL_THERE = 1_000_000  # ns for which a look at the kernel holds: a few of them are made for each request
GONE_AFTER = 0.08  # s from a client's close, or end of sending: nothing begins for it any more

OF_THE_CLIENT = (CloseReason.SLOW_READER, CloseReason.ANSWER_BROKEN, CloseReason.TOO_MUCH_AFTER_END)
"""Closes that leave nothing unanswered which the client could still be told."""
BY_A_LOOK = (CloseReason.IDLE, CloseReason.TOO_SLOW)
"""Closes of clients that may ask at any moment."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NUMBERED = {status.value: b"%d %s" % (status.value, status.phrase.encode()) for status in HTTPStatus}


class ClientConnection(asyncio.Protocol):
    """One client's connection; its requests are served one after the other."""

    def __init__(self, front: Frontend) -> None:
        self._front = front
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(front.config, front.now, front.node.serves, front.budget)
        self._reserved = 0  # of the budget, by the body of the request that is served
        self._upload: Stream | None = None  # a body that is passed on as it comes
        self._flow: Stream | None = None  # an answer, likewise
        self._chunked = False  # how that goes out
        self._all_out = False  # its last byte is written
        self._version = b"1.1"  # the client's, with its latest request
        self.since = self._loop.time()
        self._number = 0  # of the request that the node holds; 0: none
        self._busy = False
        self._served = False  # some request of its has come whole
        self._keep_alive = True
        self._ends = False  # nothing more is read
        self._rejected = False  # by the last answer
        self._half_closed = False  # the client sends no more
        self._departed: Callable[[], int | None] = lambda: None
        self._last_arrival: Callable[[], int] = int  # ns since data came; 0 until it is up
        self._unread: Callable[[], bool] = bool  # not before it is up
        self._arrivals = ArrivalEstimator(self._front.now())
        self._left_at: int | None = None  # when the client closed, or ended its sending, monotonic ns
        self._there_at = -STILL_THERE  # when the kernel was last asked and had seen no end, monotonic ns
        self._dropped = 0  # bytes that came after the end
        self._deadline = 0
        self._slow_reader: asyncio.TimerHandle | None = None
        self._in_turn = False  # _next is at work
        self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        transport.set_write_buffer_limits(high=0)  # to be told when an answer's last byte is out
        self._departed = self._front.peer_close_probe(transport)
        self._last_arrival = self._front.data_age_probe(transport)
        self._unread = self._front.unread_probe(transport)
        self._date_acceptance(transport)
        self._front.on_connect(self)

    def _date_acceptance(self, transport: asyncio.Transport) -> None:
        """What the client sent while its connection waited to be accepted lies with the kernel."""
        age = self._front.accepted_age(transport)
        up_since = self._front.now() - age if age else self._front.monitor.earliest_event_time()
        self._arrivals.on_accept(up_since, self._unread())

    def connection_lost(self, exc: Exception | None) -> None:
        self._ends = True
        self._reader.close()
        if self._slow_reader is not None:
            self._slow_reader.cancel()
        self._free()
        number, self._number = self._number, 0
        if number:
            self._front.node.on_client_closed(number)
        if self._flow is not None:
            self._flow.abandon()
            self._flow = None
        self._front.on_disconnect(self)

    def data_received(self, data: bytes) -> None:
        if self._ends:
            self._dropped += len(data)
            if self._dropped > LINGER_BYTES:
                self.abort(CloseReason.TOO_MUCH_AFTER_END)
            return
        reader = self._reader
        reader.feed(data, *self._date_arrival(len(data)))
        if reader.in_body():
            self._front.on_body_bytes(self, len(data))
        else:
            self._arrivals.end_backlog()
        if not reader.in_body() and self in self._front.bodies:
            self._front.on_body_end(self)
        self._next()

    def _date_arrival(self, size: int) -> ArrivalRange:
        """When the bytes came that are read now."""
        now, earliest = self._front.now(), self._front.monitor.earliest_event_time()
        return self._arrivals.on_read(now, size, self._last_arrival(), earliest, self._paused)

    def eof_received(self) -> bool:
        """A client that closes and one that ends its sending and waits (half-close, RFC 9112) look alike:
        attempts that are out are waited for, and their answer is passed on; what has not begun soon after
        never begins, and is answered as refused. Both get what is theirs."""
        self._half_closed = True
        disconnected_for = 0.0
        if self._left_at is None:
            # Read late, it is no younger for that: the process may have stood still since.
            self._left_at = self._end_came(self._departed() or 0)
            disconnected_for = (self._front.now() - self._left_at) / 1e9
        if self._number:
            self._loop.call_later(max(0.0, GONE_AFTER - disconnected_for), self._withdraw, self._number)
        if self._upload is not None and not self._upload.ended:
            return False  # the rest of the body will never come
        if self._busy:
            return True  # its answer is to come, or goes out still
        return not self._ends and (bool(self._reader.ready) or self._reader.has_unread())

    def has_disconnected(self) -> bool:
        """Whether the client has left, and that so long ago that nothing may begin for it. Asked before each
        attempt: its end may be with the kernel still, behind what waited there with it, or unread."""
        disconnected_for = self.disconnected_for()
        return bool(disconnected_for) and disconnected_for >= GONE_AFTER * 1e9

    def disconnected_for(self) -> int:
        """How long ago (ns) the client closed, or ended its sending; 0: it has not."""
        now = self._front.now()
        if self._left_at is None:
            if now - self._there_at < STILL_THERE:
                return 0
            ago = self._departed()
            if ago is None:
                self._there_at = now
                return 0
            self._left_at = self._end_came(ago)
        return max(1, now - self._left_at)

    def _end_came(self, age: int) -> int:
        return self._arrivals.date_peer_close(self._front.now(), age, self._there_at)

    def _withdraw(self, number: int) -> None:
        if number == self._number:
            self._front.node.withdraw(number)

    def time_out(self) -> None:
        """The limit of the front: a client that has sent a part is told, one that has not is not."""
        if self.has_unread():
            return  # what it has sent is to be read first; it is looked at again
        if self._reader.is_partial():
            self._reader.error_status = 408
            if self._upload is not None:
                self._upload.fail()
            self._next()
        else:
            self.close(CloseReason.TOO_SLOW)

    def activity(self) -> str:
        """What it is at, as drains name it."""
        if self._busy or self._ends:
            return "BUSY"
        if self._reader.is_partial():
            return "PARTIAL"
        return "IDLE" if self._served else "SILENT"

    def refuse(self) -> None:
        """Told to take what it has begun elsewhere."""
        self._reader.error_status = 503
        self._next()

    # Requests in turn.

    def _next(self) -> None:
        transport, reader = self._transport, self._reader
        if transport is None or self._in_turn:
            return
        self._in_turn = True
        while True:
            if self._upload is not None:
                self._follow_upload(self._upload)
            if self._busy or self._ends or transport.is_closing():
                break
            reader.parse_available()
            if reader.ready:
                self._busy = self._served = True
                self._front.on_request(self)
                self._serve(reader.ready.popleft())
            elif reader.error_status:
                # Where framing is lost nothing that follows can be read; what came before is answered.
                self._busy = True
                self._keep_alive = False
                self._answer_itself(reader.error_status, AnswerReason.UNREADABLE)
            else:
                break
        self._in_turn = False
        if self._ends or transport.is_closing():
            return
        # While requests wait no more are read in: what a client sends ahead stays with the kernel.
        if self._paused != bool(reader.ready or reader.has_unread()):
            self._paused = not self._paused
            pace = self._front.bodies.get(self)
            if self._paused:
                transport.pause_reading()
                self._arrivals.pause(self._front.now())
                if pace is not None:
                    pace.pause(self._loop.time())
            else:
                transport.resume_reading()
                if pace is not None:
                    pace.resume(self._loop.time())
        if self._busy:
            return
        if self._half_closed:
            self.close(CloseReason.CLIENT_ENDED)
        elif reader.is_partial():
            if not reader.in_body():
                self._front.on_head_bytes(self)
            if reader.wants_continue():
                transport.write(CONTINUE)
        else:
            self._front.on_idle(self)

    def _follow_upload(self, upload: Stream) -> None:
        """A body that is passed on as it comes goes on, has come whole, or never will."""
        self._reader.parse_available()
        if upload.ended:
            self._upload = None
            upload.on_writable = no_op
            if self._number:
                self._front.node.on_body_complete(self._number, self._reader.newest_arrival)
        elif upload.failed:
            self._upload = None
            number, self._number = self._number, 0
            if number:  # neither whole nor answered
                self._front.node.on_client_closed(number)
                self._keep_alive = False
                self._answer_itself(self._reader.error_status or 400, AnswerReason.UNREADABLE)

    def _free(self) -> None:
        self._front.budget.release(self._reserved)
        self._reserved = 0

    def _serve(self, incoming: IncomingRequest) -> None:
        self._keep_alive = incoming.keep_alive
        self._version = incoming.version
        self._reserved, incoming.reserved_bytes = incoming.reserved_bytes, 0
        self._deadline = 0
        if incoming.stream is not None:
            self._upload = incoming.stream
            incoming.stream.on_writable = self._next
        if incoming.path == HEALTH_PATH:
            self.answer(200 if self._front.is_up() else 503, [], b"")
            return
        if self._front.refuses():
            self._answer_itself(503, AnswerReason.PROCESS_ENDING)
            return
        parsed = self._parsed_request(incoming)
        self._deadline = 0 if incoming.stream is not None else parsed.deadline
        number = self._front.node.submit(parsed)
        if number and self._busy and not self._ends and self._flow is None:
            self._number = number
            if incoming.stream is not None and self._reader.wants_continue():
                assert self._transport is not None
                self._transport.write(CONTINUE)

    def _parsed_request(self, incoming: IncomingRequest) -> ParsedRequest:
        """The request in the node's terms."""
        fields, tenants = incoming.fields, self._front.config.tenants
        limits = self._front.node.limits
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

    def _answer_itself(self, status: int, reason: AnswerReason) -> None:
        """An answer to what the node never held."""
        self._front.node.metrics.answers[reason] += 1
        self.answer(status, [], b"")

    def answer(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes | Stream) -> None:
        transport = self._transport
        assert transport is not None
        self._number = 0
        self._free()
        if transport.is_closing():
            if isinstance(body, Stream):
                body.abandon()
            return
        # A client whose request is at fault would ask the same again at once, as fast as it is answered.
        rejected = 400 <= status < 500
        # What was read behind it is answered first: closed now, it would be lost.
        more = bool(self._reader.ready or self._reader.error_status) or self._reader.has_unread()
        keep = self._keep_alive and (more or (not rejected and self._front.keeps_alive(self)))
        if self._upload is not None:
            keep = keep and self._upload.ended  # what is left of it would be read as the next request
            self._upload.on_writable = no_op
            self._upload = None
        length = body_length(body)
        self._chunked = length is None and self._version != b"1.0"
        self._all_out = False
        lines = [b"HTTP/1.1 ", NUMBERED[status], b"\r\n"]
        for name, value in headers:
            lines += (name, b": ", value, b"\r\n")
        if status == 405:
            lines.append(b"Allow: GET, POST\r\n")
        if self._chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
        else:
            keep = False  # it ends with its connection
        if not keep:
            lines.append(b"Connection: close\r\n")
        elif self._version == b"1.0":
            lines.append(b"Connection: keep-alive\r\n")
        lines.append(b"\r\n")
        self._ends, self._rejected = not keep, rejected
        if not keep:
            self._front.on_body_end(self)  # or nobody cares for the rest
        if isinstance(body, Stream):
            transport.write(b"".join(lines))
            self._flow = body
            self._front.on_answer_taken(self)
            body.on_readable = self._pass_on
            self._pass_on()
            return
        lines.append(body)
        transport.write(b"".join(lines))
        if transport.get_write_buffer_size():
            # A client that reads too slowly gets nothing after its deadline: it has given up by then.
            left = self._deadline - self._front.now() if self._deadline else SLOW_READER * 1e9
            self._slow_reader = self._loop.call_later(
                max(0.0, left / 1e9), self.abort, CloseReason.SLOW_READER
            )
        else:
            self._answered()

    def _pass_on(self) -> None:
        """What has come of a long answer goes out, as fast as the client takes it."""
        flow, transport = self._flow, self._transport
        if flow is None or transport is None or transport.is_closing():
            return
        if flow.failed:
            self.abort(CloseReason.ANSWER_BROKEN)  # so that the client can tell
            return
        if transport.get_write_buffer_size():
            return  # `resume_writing` follows
        data = flow.take()
        if self._chunked:
            data = encode_chunk(data) + (LAST_CHUNK if flow.is_done() else b"")
        if data:
            transport.write(data)
            self._front.on_answer_taken(self)
            flow.set_blocked(bool(transport.get_write_buffer_size()))
        if flow.is_done():
            self._all_out = True
            flow.on_readable = no_op
            if not transport.get_write_buffer_size():
                self._flowed()
        else:
            flow.mark_forwarded()

    def _flowed(self) -> None:
        self._flow = None
        self._front.flows.pop(self, None)
        self._answered()

    def resume_writing(self) -> None:
        if self._flow is not None:
            self._front.on_answer_taken(self)
            if self._all_out:
                self._flowed()
            else:
                self._flow.set_blocked(False)
                self._pass_on()
        elif self._slow_reader is not None:
            self._slow_reader.cancel()
            self._slow_reader = None
            self._answered()

    def _answered(self) -> None:
        """The last byte of an answer is out."""
        transport = self._transport
        assert transport is not None
        self._busy = False
        if not self._ends:
            self._next()
        elif self._half_closed:
            self.close(CloseReason.CLIENT_ENDED)
        else:
            # Closing now would reset the connection if more has come, and might take the answer with it.
            if self._paused:
                transport.resume_reading()
            self._note_close(CloseReason.AFTER_ANSWER)
            transport.write_eof()
            self._front.on_last_answer(self, self._rejected)

    def close(self, reason: CloseReason) -> None:
        """With what is written."""
        if self._transport is not None and not self._transport.is_closing():
            self._note_close(reason)
            self._transport.close()

    def abort(self, reason: CloseReason) -> None:
        """At once: what is not with the kernel yet is lost."""
        if self._transport is not None and not self._transport.is_closing():
            self._note_close(reason)
            self._transport.abort()

    def _note_close(self, reason: CloseReason) -> None:
        node = self._front.node
        node.metrics.closes[reason] += 1
        if reason not in OF_THE_CLIENT:
            # What follows a request that itself says `close` is none (RFC 9112, section 9.6).
            waiting = len(self._reader.ready) if self._keep_alive else 0
            node.guard.record_close(self._number, waiting, reason.value, self._closes_over_unread(reason))
        if node.observer is not None:
            node.observer.connection_closed(self._number, reason.value)

    def _closes_over_unread(self, reason: CloseReason) -> bool:
        """Of a client that may still ask. One that has only left in this moment has nothing to lose."""
        if reason not in BY_A_LOOK or self._ends or not self.has_unread():
            return False
        assert self._transport is not None
        return self._front.unread_bytes(self._transport) > 0

    def close_if_unused(self) -> None:
        """Unless a request is open on it, or the client has sent what is not read yet."""
        unused = not self._busy and not self._reader.ready and not self._reader.is_partial()
        if unused and not self.has_unread():
            self.close(CloseReason.IDLE)

    def has_unread(self) -> bool:
        """Whether the client has sent what is with the kernel still: a request, a part of one, or its end,
        which may have a request ahead of it."""
        return not self._half_closed and self._unread()
