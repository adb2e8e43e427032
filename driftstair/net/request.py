"""A client's request: how it is read, and what it has to be before anything is done for it."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable

import httptools

from driftstair.net.body_stream import (
    BODY_BYTES_MAX,
    HELD_BODY_BYTES_MAX,
    INLINE_BODY_BYTES_MAX,
    BodyBudget,
    Stream,
)
from driftstair.net.server_connection import HEAD_MOST, HOP_BY_HOP
from driftstair.settings import Config
from lichenspring.interface import Repeat

FIELDS_MOST = 100  # headers
FRAMING_LEAST = 512 << 10  # bytes that a body may take with its chunks' framing, however short it is
FRAMING_TIMES = 8  # and so many for each of its own: a chunk of one byte takes six
SLICE = 4096  # bytes read at once: what a client has sent ahead is read as its answers go out
SLICE_BODY = 64 << 10  # the same within a long body

UP, API = b"/up", b"/api"
DEADLINE = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
UNITS = {b"m": 1_000_000, b"u": 1_000}
ABSOLUTE = re.compile(rb"https?://[^/?#]*", re.IGNORECASE)
IDENTITY = re.compile(rb"[0-9A-Za-z._:~-]{1,64}")
NOT_FORWARDED = HOP_BY_HOP | {b"x-deadline", b"expect"}
SINGLE = frozenset((
    b"host", b"content-length", b"transfer-encoding", b"expect", b"x-request-id", b"x-class", b"x-tenant",
    b"x-key", b"x-deadline", b"x-retry", b"idempotency-key",
))  # fmt: skip
"""Headers that the node or a server goes by: of two, each reader might believe another one."""


class Rejected(Exception):
    """The request can't be used, nor what follows it on its connection."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def origin_form(url: bytes) -> bytes:
    """A target without scheme and host, where it names them (RFC 9112, section 3.2.2)."""
    found = ABSOLUTE.match(url)
    if found is None:
        return url
    rest = url[found.end() :]
    return rest if rest.startswith(b"/") else b"/" + rest


class Incoming:
    """One request; whole once its reader hands it out, but for a long body, which is a stream."""

    __slots__ = (
        "arrived", "body", "class_index", "expects", "fields", "headers", "keep_alive", "method", "path",
        "patience", "received", "reserved", "size", "stream", "url", "version",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = self.path = self.method = b""
        self.headers: list[bytes] = []
        self.fields: dict[bytes, bytes] = {}
        self.size = 0  # of the head, then of the body with its framing
        self.body = bytearray()
        self.stream: Stream | None = None  # in place of the body
        self.received = 0  # bytes of the body
        self.reserved = 0  # bytes of the budget that the body has taken
        self.version = b"1.1"
        self.keep_alive = True
        self.expects = False
        self.class_index = 0
        self.patience = 0  # ns
        self.arrived = 0  # when its last byte came, or of a stream its first ones; monotonic ns

    def check(self, config: Config, serves: Callable[[bytes], bool]) -> None:
        """Once the head has come; raises Rejected. The parser has seen to the framing. `serves` tells of
        paths beside the platform's."""
        if not self.url.startswith(b"/"):
            self.url = origin_form(self.url)
        self.path = self.url.split(b"?", 1)[0]
        if self.path == UP:
            return
        if self.path != API and not serves(self.path):
            raise Rejected(404)
        if self.method not in (b"GET", b"POST"):
            raise Rejected(405)
        fields = self.fields
        index = config.classes.get(fields.get(b"x-class", b""))
        if index is None or IDENTITY.fullmatch(fields.get(b"x-request-id", b"")) is None:
            raise Rejected(400)
        repeat = config.settings.classes[index].repeat
        # What a server would take for another kind of request must not go out under this class's rules.
        if (self.method == b"GET") is not (repeat is Repeat.SAFE):
            raise Rejected(400)
        if repeat is Repeat.KEYED and not fields.get(b"idempotency-key"):
            raise Rejected(400)
        self.class_index, self.patience = index, config.deadlines[index]
        if b"x-deadline" in fields:
            found = DEADLINE.fullmatch(fields[b"x-deadline"])
            if found is None:
                raise Rejected(400)
            # No client waits for longer than its class does; an entry for years would be kept for years.
            self.patience = min(self.patience, int(float(found[1]) * UNITS[found[2]]))

    def check_length(self) -> None:
        length = self.fields.get(b"content-length", b"0")
        if int(length) > BODY_BYTES_MAX:  # the parser let only digits pass
            raise Rejected(413)
        coding = self.fields.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise Rejected(501)
        if self.method == b"GET" and (int(length) or coding is not None):
            raise Rejected(400)

    def forwarded_head(self) -> bytes:
        """Request line and headers for a server, but for X-Deadline and the blank line."""
        whole = len(self.body) if self.stream is None else self.stream.length
        if self.method == b"GET":
            length = b""
        elif whole is None:
            length = b"Transfer-Encoding: chunked\r\n"
        else:
            length = b"Content-Length: %d\r\n" % whole
        return b"%s %s HTTP/1.1\r\n%s%s" % (self.method, self.url, b"".join(self.headers), length)


class Reader:
    """Bytes to requests. Ends with the first one that is refused: `error` is the status of its answer."""

    def __init__(
        self, config: Config, now: Callable[[], int], serves: Callable[[bytes], bool] = lambda _: False,
        budget: BodyBudget | None = None,
    ) -> None:  # fmt: skip
        self._budget = budget or BodyBudget(config.memory_bytes_max)
        self.streaming: Stream | None = None  # the body of a request that was handed out before it was whole
        self._now = now
        self._serves = serves
        self.ready: deque[Incoming] = deque()
        self.error = 0
        self._config = config
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._rest = b""
        self._oldest = 0  # when the oldest bytes came that are not parsed yet, at the soonest; monotonic ns
        self.newest = 0  # when the newest bytes came
        self._latest: Incoming | None = None  # the request that became whole last, while more may follow it
        self._incoming: Incoming | None = None
        self._in_body = False

    def close(self) -> None:
        """Parser and reader hold each other: without this each connection stays until the collector comes."""
        self._parser = None
        self._rest = b""
        self.ready.clear()
        self._give_back()
        if self.streaming is not None:
            self.streaming.fail()
            self.streaming = None

    def _give_back(self) -> None:
        if self._incoming is not None:
            self._budget.release(self._incoming.reserved)
            self._incoming.reserved = 0

    def feed(self, data: bytes, oldest: int = 0, newest: int = 0) -> None:
        """Bytes that came between two times (monotonic ns); left out: now."""
        newest = newest or self._now()
        if not self._rest:
            self._oldest = oldest or newest
        self.newest = newest
        self._rest = self._rest + data if self._rest else data
        self.go_on()

    def go_on(self) -> None:
        """Read until there is a request. Guards against one client that sends thousands ahead: all of them
        parsed at once would hold up the others, and fill the memory."""
        while self._parser is not None and self._rest and not self.ready and not self.error:
            if self.streaming is not None and self.streaming.is_full():
                return  # whoever takes it is slower than the client
            size = SLICE if self.streaming is None else SLICE_BODY
            piece, self._rest = self._rest[:size], self._rest[size:]
            self._parse(piece)
        if not self._rest:
            self._date_latest()

    def _date_latest(self) -> None:
        """All that has come is parsed. A request that ends with it ended with the newest bytes; of one that
        others follow it is only known that it came no sooner than the oldest, and that counts."""
        latest, self._latest = self._latest, None
        if latest is not None and self._incoming is None:
            latest.arrived = self.newest

    def _parse(self, piece: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserCallbackError as problem:
            cause = problem.__context__
            self.error = cause.status if isinstance(cause, Rejected) else 400
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.error = 400
        incoming = self._incoming
        if incoming is not None and not self.error:
            # Lines without an end are never handed out.
            incoming.size += len(piece)
            body_most = FRAMING_LEAST + FRAMING_TIMES * incoming.received
            if incoming.size > (body_most if self._in_body else HEAD_MOST):
                self.error = 413 if self._in_body else 431
        if self.error:
            self._give_back()
            self._rest, self._incoming = b"", None
            if self.streaming is not None:
                self.streaming.fail()
                self.streaming = None

    def is_partial(self) -> bool:
        """Something has come of a request that is not whole."""
        return self._incoming is not None or bool(self._rest)

    def in_body(self) -> bool:
        """The head has come and the body has not, or not all of it."""
        return self._incoming is not None and self._in_body

    def has_unread(self) -> bool:
        return bool(self._rest)

    def wants_continue(self) -> bool:
        """Asked once: the client waits for leave to send the body."""
        incoming = self._incoming
        if incoming is None or not incoming.expects or not self._in_body:
            return False
        incoming.expects = False
        return True

    # What the parser finds.

    def on_message_begin(self) -> None:
        self._incoming = Incoming()
        self._in_body = False

    def on_url(self, url: bytes) -> None:
        assert self._incoming is not None
        self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        if self._in_body:
            return  # a trailer
        lower, value = name.lower(), value.strip()
        if lower in SINGLE and lower in incoming.fields:
            raise Rejected(400)
        incoming.fields[lower] = value
        if len(incoming.headers) >= FIELDS_MOST:
            raise Rejected(431)
        if lower not in NOT_FORWARDED:
            incoming.headers.append(b"%s: %s\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        incoming = self._incoming
        assert incoming is not None and self._parser is not None
        incoming.method = self._parser.get_method()
        incoming.check_length()
        incoming.check(self._config, self._serves)
        incoming.expects = incoming.fields.get(b"expect", b"").lower() == b"100-continue"
        incoming.size = 0
        incoming.keep_alive = self._parser.should_keep_alive()
        incoming.version = self._parser.get_http_version().encode()
        self._in_body = True
        if int(incoming.fields.get(b"content-length", b"0")) > HELD_BODY_BYTES_MAX:
            self._hand_out(incoming)

    def on_body(self, data: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.received += len(data)
        if incoming.received > BODY_BYTES_MAX:
            raise Rejected(413)
        if incoming.stream is not None:
            incoming.stream.put(data)
            return
        incoming.body += data
        if incoming.received > INLINE_BODY_BYTES_MAX:
            if incoming.received <= HELD_BODY_BYTES_MAX and self._budget.try_reserve(len(data)):
                incoming.reserved += len(data)
            else:
                self._hand_out(incoming)

    def _hand_out(self, incoming: Incoming) -> None:
        """Before its body is whole: it is too long to be held until then."""
        length = incoming.fields.get(b"content-length")
        incoming.stream = self.streaming = Stream(None if length is None else int(length))
        incoming.stream.put(bytes(incoming.body))
        incoming.body.clear()
        self._give_back()
        incoming.arrived = self.newest
        self.ready.append(incoming)

    def on_message_complete(self) -> None:
        incoming, self._incoming = self._incoming, None
        assert incoming is not None and self._parser is not None
        if incoming.stream is not None:
            self.streaming = None
            incoming.stream.end()
            return
        incoming.keep_alive = self._parser.should_keep_alive()
        incoming.arrived = self._oldest
        self._latest = incoming
        self.ready.append(incoming)
