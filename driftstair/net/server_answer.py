"""Parses the answers of a server on one connection. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import httptools

from driftstair.net.answer_phase import AnswerPhase, phase_of_head
from driftstair.net.body_stream import BODY_BYTES_MAX, INLINE_BODY_BYTES_MAX, Stream
from driftstair.observability.reasons import StreamStart
from lichenspring.interface import Result

HEAD_BYTES_MAX = 16 << 10
INTERIM_ANSWERS_MAX = 16  # 1xx answers ahead of the final one
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
    stream_start: StreamStart | None = None  # why the body is streamed


class AnswerReader:
    """Parses bytes into the answer to the request that is out, one answer at a time.

    The body is buffered until `stream` is set, and put into the stream from then on.
    """

    __slots__ = (
        "_body", "_framed", "_headers", "_in_head", "_interim_answers", "_length", "_load", "_not_run",
        "_parser", "_size", "_status",
        "_stream_start", "ends_at_close", "is_complete", "is_reusable", "phase", "stream",
    )  # fmt: skip

    def __init__(self) -> None:
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)
        self.is_reusable = False  # another request may follow on the connection
        self.stream: Stream | None = None  # the body of an answer that is streamed to the client
        self.reset()

    def reset(self) -> None:
        """Starts a new answer."""
        self.phase = AnswerPhase.AWAITED
        self.is_complete = False  # the answer is complete
        self.ends_at_close = False  # the answer ends where the connection is closed
        self._status = self._size = self._interim_answers = 0
        self._length: int | None = None  # as stated by the head
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._load = b""
        self._stream_start: StreamStart | None = None
        self._not_run = False
        self._framed = False  # the head states how the answer ends
        self._in_head = True

    def close(self) -> None:
        """Breaks the reference cycle with the parser, which would last until a garbage collection."""
        self._parser = None

    def received_bytes(self) -> int:
        """Of the body, or of the head as long as that is not complete."""
        return self._size

    def feed(self, data: bytes) -> bool:
        """Parses bytes; returns whether the answer is well-formed so far. After other bytes behind a complete
        answer, the connection can't be used again."""
        if self._parser is None:
            return False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.is_reusable = False
            return self.is_complete
        if self._in_head and not self.is_complete:
            self._size += len(data)
            return self._size <= HEAD_BYTES_MAX
        return True

    def end_at_close(self) -> bool:
        """The server has ended the connection: returns whether that completes the answer (RFC 9112, section
        6.3). Any other incomplete answer is truncated."""
        if self._in_head or self._status < 200 or self.is_complete or not self.ends_at_close:
            return False
        self.is_complete = True
        self.is_reusable = False
        return True

    def begin_stream(self, start: StreamStart) -> None:
        """From now on the body is streamed, beginning with what is buffered."""
        self.phase = AnswerPhase.LONG
        self._stream_start = start
        self.stream = Stream(self._length)
        self.stream.put(bytes(self._body))
        self._body.clear()

    def outcome(self) -> tuple[Result, Answer]:
        """What a complete answer means for the attempt, and the answer."""
        answer = Answer(self._status, self._headers, bytes(self._body), self._load)
        return (Result.OK if self._status == 200 else self._failure()), answer

    def _failure(self) -> Result:
        if self._status in (503, 504) and self._not_run:
            return Result.FULL
        if 400 <= self._status < 500 and self._status not in SERVER_SIDE_4XX:
            return Result.REJECTED
        return Result.ERROR

    def answer(self) -> Answer:
        body = bytes(self._body) if self.stream is None else self.stream
        return Answer(self._status, self._headers, body, self._load, self._stream_start)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self.is_complete:  # a second answer to one request: nothing that follows can be trusted
            self.is_reusable = False
            raise ValueError("an answer that nobody asked for")
        interim_answers = self._interim_answers
        self.reset()
        self._interim_answers = interim_answers

    def on_header(self, name: bytes, value: bytes) -> None:
        lower = name.lower()
        if lower == b"x-load":
            self._load = value
        elif not self._in_head:
            pass  # a trailer
        elif lower == b"connection":
            self.ends_at_close |= value.strip().lower() == b"close"
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
            self.ends_at_close = False
        elif self._parser.get_http_version() == "1.0":
            self.ends_at_close = True
        elif not self.ends_at_close:
            # Delimited only by the end of the connection, it could not be told from a truncated answer.
            raise ValueError("an answer with neither length nor end")
        self._in_head = False
        self._size = 0
        if self._status >= 200:
            self.phase = phase_of_head(self._status, self._length)
            if self.phase is AnswerPhase.LONG:
                self.begin_stream(StreamStart.LENGTH)

    def on_body(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > (BODY_BYTES_MAX if self._status == 200 else INLINE_BODY_BYTES_MAX):
            raise ValueError("an answer that is too long")
        if self.stream is not None:
            self.stream.put(data)
            return
        self._body += data
        if self._size > INLINE_BODY_BYTES_MAX:
            self.begin_stream(StreamStart.SIZE)

    def on_message_complete(self) -> None:
        if self._status >= 200:  # an interim answer is followed by the real one
            assert self._parser is not None
            self.is_reusable = self._parser.should_keep_alive()
            self.is_complete = True
