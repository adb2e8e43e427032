"""Parses and validates the requests on a client's connection."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable

import httptools

from driftstair.net.body_stream import (
    BODY_BYTES_MAX,
    BUFFERED_BODY_BYTES_MAX,
    BodyBudget,
    Stream,
)
from driftstair.net.server_answer import HEAD_BYTES_MAX, HOP_BY_HOP_HEADERS
from driftstair.settings import Config
from lichenspring.interface import Repeat

HEADER_COUNT_MAX = 100
UNRESERVED_BODY_BYTES = 4 << 10  # of a body; short ones need no part of the budget
FRAMED_BODY_BYTES_BASE = 512 << 10  # allowed for a body and its chunk framing, however short the body
FRAMED_BODY_FACTOR = 8  # allowed in addition per byte of the body; a one-byte chunk takes six bytes
PARSE_HEAD_SLICE_BYTES = 1024  # parsed at once; what follows a request is parsed once that is answered
PARSE_SLICE_BYTES = 4096  # the same within a body in chunks
PARSE_BODY_SLICE_BYTES = 16 << 10  # the same within a streamed body
PARSE_CALLBACKS_PER_TURN = 500  # of the parser, in one turn of the event loop; one-byte chunks take many
PARSE_BYTES_PER_TURN = 128 << 10  # what one read brings at most

HEALTH_PATH, API_PATH = b"/up", b"/api"
DEADLINE_PATTERN = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
DEADLINE_UNIT_NS = {b"m": 1_000_000, b"u": 1_000}
ABSOLUTE_FORM_PREFIX = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)
REQUEST_ID_PATTERN = re.compile(rb"[0-9A-Za-z._:~-]{1,64}")
NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {b"x-deadline", b"expect"}
SINGLE_VALUE_HEADERS = frozenset((
    b"host", b"content-length", b"transfer-encoding", b"expect", b"x-request-id", b"x-class", b"x-tenant",
    b"x-key", b"x-deadline", b"x-retry", b"idempotency-key",
))  # fmt: skip
"""Headers that the node or a server interprets. Of two with one name, each might use another one."""


class RequestRejected(Exception):
    """The request is invalid, so nothing after it on its connection can be parsed either."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def origin_form(url: bytes) -> bytes:
    """The request target without scheme and host, if it is in absolute form (RFC 9112, section 3.2.2)."""
    match = ABSOLUTE_FORM_PREFIX.match(url)
    if match is None:
        return url
    rest = url[match.end() :]
    return rest if rest.startswith(b"/") else b"/" + rest


class IncomingRequest:
    """One request. It is complete once its reader has queued it, unless its body is streamed."""

    __slots__ = (
        "arrived_at", "body", "body_bytes", "class_index", "expects_continue", "fields", "headers",
        "keep_alive", "method", "parsed_bytes", "path", "patience", "reserved_bytes", "stream", "url",
        "version",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = self.path = self.method = b""
        self.headers: list[bytes] = []
        self.fields: dict[bytes, bytes] = {}
        self.parsed_bytes = 0  # of the head, then of the body with its framing
        self.body = bytearray()
        self.stream: Stream | None = None  # replaces the body
        self.body_bytes = 0
        self.reserved_bytes = 0  # of the body budget
        self.version = b"1.1"
        self.keep_alive = True
        self.expects_continue = False
        self.class_index = 0
        self.patience = 0  # ns
        self.arrived_at = 0  # arrival of its last byte or, if streamed, of its first ones; monotonic ns

    def validate_head(self, config: Config, serves: Callable[[bytes], bool]) -> None:
        """Validates a complete head, whose framing the parser has checked; raises RequestRejected. `serves`
        accepts paths in addition to the platform's."""
        if not self.url.startswith(b"/"):
            self.url = origin_form(self.url)
        self.path = self.url.split(b"?", 1)[0]
        if self.path == HEALTH_PATH:
            return
        if self.path != API_PATH and not serves(self.path):
            raise RequestRejected(404)
        if self.method not in (b"GET", b"POST"):
            raise RequestRejected(405)
        fields = self.fields
        index = config.classes.get(fields.get(b"x-class", b""))
        if index is None or REQUEST_ID_PATTERN.fullmatch(fields.get(b"x-request-id", b"")) is None:
            raise RequestRejected(400)
        repeat = config.settings.classes[index].repeat
        # The method must match the class, or the server would treat the request by other repeat rules.
        if (self.method == b"GET") is not (repeat is Repeat.SAFE):
            raise RequestRejected(400)
        if repeat is Repeat.KEYED and not fields.get(b"idempotency-key"):
            raise RequestRejected(400)
        self.class_index, self.patience = index, config.deadlines[index]
        if b"x-deadline" in fields:
            found = DEADLINE_PATTERN.fullmatch(fields[b"x-deadline"])
            if found is None:
                raise RequestRejected(400)
            # The class bounds the deadline: a request with one of years would be kept for years.
            self.patience = min(self.patience, int(float(found[1]) * DEADLINE_UNIT_NS[found[2]]))

    def validate_framing(self) -> None:
        length = self.fields.get(b"content-length", b"0")
        if int(length) > BODY_BYTES_MAX:  # the parser accepts only digits
            raise RequestRejected(413)
        coding = self.fields.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise RequestRejected(501)
        if self.method == b"GET" and (int(length) or coding is not None):
            raise RequestRejected(400)

    def forwarded_head(self) -> bytes:
        """Request line and headers for a server, without X-Deadline and the final blank line."""
        whole = len(self.body) if self.stream is None else self.stream.length
        if self.method == b"GET":
            length = b""
        elif whole is None:
            length = b"Transfer-Encoding: chunked\r\n"
        else:
            length = b"Content-Length: %d\r\n" % whole
        return b"%s %s HTTP/1.1\r\n%s%s" % (self.method, self.url, b"".join(self.headers), length)


class RequestReader:
    """Parses bytes into requests. Stops at the first invalid one, to be answered with `error_status`."""

    def __init__(
        self, config: Config, now: Callable[[], int], serves: Callable[[bytes], bool] = lambda _: False,
        budget: BodyBudget | None = None, keeps_all_fields: bool = True,
    ) -> None:  # fmt: skip
        """`keeps_all_fields`: routes may be matched by any header."""
        self._keeps_all_fields = keeps_all_fields
        self._budget = budget or BodyBudget(config.memory_bytes_max)
        self.open_stream: Stream | None = None  # of a request that was queued before its body was complete
        self._now = now
        self._serves = serves
        self.ready: deque[IncomingRequest] = deque()
        self.error_status = 0
        self._config = config
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._unparsed = b""
        self._oldest_arrival = 0  # earliest arrival of the unparsed bytes, monotonic ns
        self.newest_arrival = 0  # arrival of the newest bytes, monotonic ns
        self._last_complete: IncomingRequest | None = None  # while unparsed bytes may follow it
        self._incoming: IncomingRequest | None = None
        self.in_body = False  # the head is complete and the body is not
        self.has_yielded = False  # parsing stopped at the limits of a turn, and is to be continued
        self._callbacks_left = PARSE_CALLBACKS_PER_TURN  # in this turn
        self._bytes_left = PARSE_BYTES_PER_TURN

    def begin_turn(self) -> None:
        """A new turn of the event loop, with its own limits."""
        self._callbacks_left = PARSE_CALLBACKS_PER_TURN
        self._bytes_left = PARSE_BYTES_PER_TURN

    def close(self) -> None:
        """Breaks the reference cycle with the parser, which would keep each connection until a collection."""
        self._parser = None
        self._unparsed = b""
        self.ready.clear()
        self._release_reservation()
        if self.open_stream is not None:
            self.open_stream.fail()
            self.open_stream = None

    def _release_reservation(self) -> None:
        if self._incoming is not None:
            self._budget.release(self._incoming.reserved_bytes)
            self._incoming.reserved_bytes = 0

    def feed(self, data: bytes, oldest: int = 0, newest: int = 0) -> None:
        """Bytes that arrived between two times (monotonic ns; default: now). Begins a turn."""
        self._callbacks_left, self._bytes_left = PARSE_CALLBACKS_PER_TURN, PARSE_BYTES_PER_TURN
        newest = newest or self._now()
        if not self._unparsed:
            self._oldest_arrival = oldest or newest
        self.newest_arrival = newest
        self._unparsed = self._unparsed + data if self._unparsed else data
        self.parse_available()

    def parse_available(self) -> None:
        """Parses until there is a request, or the limits of this turn are reached. If a client pipelines
        thousands of them, parsing all at once would delay the other clients and fill the memory."""
        self.has_yielded = False
        while self._parser is not None and self._unparsed and not self.ready and not self.error_status:
            if self.open_stream is not None and self.open_stream.is_full():
                return  # its consumer is slower than the client
            if self._callbacks_left <= 0 or self._bytes_left <= 0:
                self.has_yielded = True
                return
            size = self._body_slice_bytes() if self.in_body else PARSE_HEAD_SLICE_BYTES
            piece, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            self._bytes_left -= len(piece)
            self._parse(piece)
        if not self._unparsed:
            self._date_last_request()

    def _body_slice_bytes(self) -> int:
        """How much of a body is parsed at once: not beyond its end, as each request behind it takes many
        times its size."""
        incoming = self._incoming
        assert incoming is not None
        length = incoming.fields.get(b"content-length")
        if length is not None:
            return max(1, min(PARSE_BODY_SLICE_BYTES, int(length) - incoming.body_bytes))
        return PARSE_SLICE_BYTES if self.open_stream is None else PARSE_BODY_SLICE_BYTES

    def _date_last_request(self) -> None:
        """Called once everything is parsed. A request that ends with the last byte arrived with the newest
        bytes. If others follow it, only its earliest arrival is known: that of the oldest bytes."""
        latest, self._last_complete = self._last_complete, None
        if latest is not None and self._incoming is None:
            latest.arrived_at = self.newest_arrival

    def _parse(self, piece: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserCallbackError as problem:
            cause = problem.__context__
            self.error_status = cause.status if isinstance(cause, RequestRejected) else 400
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error_status = 400
        incoming = self._incoming
        if incoming is not None and not self.error_status:
            # Limits lines that never end, which the parser does not report.
            incoming.parsed_bytes += len(piece)
            body_bytes_max = FRAMED_BODY_BYTES_BASE + FRAMED_BODY_FACTOR * incoming.body_bytes
            if incoming.parsed_bytes > (body_bytes_max if self.in_body else HEAD_BYTES_MAX):
                self.error_status = 413 if self.in_body else 431
        if self.error_status:
            self._release_reservation()
            self._unparsed, self._incoming = b"", None
            self.in_body = False
            if self.open_stream is not None:
                self.open_stream.fail()
                self.open_stream = None

    def is_partial(self) -> bool:
        """Part of a request has arrived."""
        return self._incoming is not None or bool(self._unparsed)

    def has_unread(self) -> bool:
        return bool(self._unparsed)

    def drop_unparsed(self) -> None:
        """Nothing more will be parsed on this connection."""
        self._unparsed = b""

    def unparsed_bytes(self) -> int:
        return len(self._unparsed)

    def wants_continue(self) -> bool:
        """Whether the client waits for 100 Continue; true only once for a request."""
        incoming = self._incoming
        if incoming is None or not incoming.expects_continue or not self.in_body:
            return False
        incoming.expects_continue = False
        return True

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._incoming = IncomingRequest()
        self.in_body = False

    def on_url(self, url: bytes) -> None:
        assert self._incoming is not None
        self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        if self.in_body:
            return  # a trailer
        lower, value = name.lower(), value.strip()
        if lower in SINGLE_VALUE_HEADERS and lower in incoming.fields:
            raise RequestRejected(400)
        if self._keeps_all_fields or lower in SINGLE_VALUE_HEADERS:
            incoming.fields[lower] = value
        if len(incoming.headers) >= HEADER_COUNT_MAX:
            raise RequestRejected(431)
        if lower not in NOT_FORWARDED_HEADERS:
            incoming.headers.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        incoming = self._incoming
        assert incoming is not None and self._parser is not None
        incoming.method = self._parser.get_method()
        incoming.validate_framing()
        incoming.validate_head(self._config, self._serves)
        incoming.expects_continue = incoming.fields.get(b"expect", b"").lower() == b"100-continue"
        incoming.parsed_bytes = 0
        incoming.keep_alive = self._parser.should_keep_alive()
        incoming.version = self._parser.get_http_version().encode()
        self.in_body = True
        if int(incoming.fields.get(b"content-length", b"0")) > BUFFERED_BODY_BYTES_MAX:
            self._start_stream(incoming)

    def on_body(self, data: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        self._callbacks_left -= 1
        incoming.body_bytes += len(data)
        if incoming.body_bytes > BODY_BYTES_MAX:
            raise RequestRejected(413)
        if incoming.stream is not None:
            incoming.stream.put(data)
            return
        incoming.body += data
        if incoming.body_bytes > UNRESERVED_BODY_BYTES:
            missing_bytes = incoming.body_bytes - incoming.reserved_bytes
            if incoming.body_bytes <= BUFFERED_BODY_BYTES_MAX and self._budget.try_reserve(missing_bytes):
                incoming.reserved_bytes += missing_bytes
            else:
                self._start_stream(incoming)

    def _start_stream(self, incoming: IncomingRequest) -> None:
        """Queues a request whose body is too long to be buffered until it is complete."""
        length = incoming.fields.get(b"content-length")
        incoming.stream = self.open_stream = Stream(None if length is None else int(length), self._budget)
        incoming.stream.put(bytes(incoming.body))
        incoming.body.clear()
        self._release_reservation()
        incoming.arrived_at = self.newest_arrival
        self.ready.append(incoming)

    def on_message_complete(self) -> None:
        incoming, self._incoming = self._incoming, None
        self.in_body = False
        assert incoming is not None and self._parser is not None
        if incoming.stream is not None:
            self.open_stream = None
            incoming.stream.end()
            return
        incoming.keep_alive = self._parser.should_keep_alive()
        incoming.arrived_at = self._oldest_arrival
        self._last_complete = incoming
        self.ready.append(incoming)
