"""A client's request: how it is read, and what it has to be before anything is done for it."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable

import httptools

from driftstair.net.upstream import BODY_MOST, HEAD_MOST, HOP_BY_HOP
from driftstair.settings import Config
from lichenspring.interface import Repeat

FIELDS_MOST = 100  # headers
FRAMING_MOST = 8 * BODY_MOST  # bytes that a body may take with its chunks' framing
SLICE = 4096  # bytes read at once: what a client has sent ahead is read as its answers go out

UP, API = b"/up", b"/api"
DEADLINE = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
UNITS = {b"m": 1_000_000, b"u": 1_000}
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


class Incoming:
    """One request; whole once its reader hands it out."""

    __slots__ = (
        "arrived", "body", "class_index", "expects", "fields", "headers", "keep_alive", "method", "path",
        "patience", "size", "url",
    )  # fmt: skip

    def __init__(self) -> None:
        self.url = self.path = self.method = b""
        self.headers: list[bytes] = []
        self.fields: dict[bytes, bytes] = {}
        self.size = 0  # of the head, then of the body with its framing
        self.body = bytearray()
        self.keep_alive = True
        self.expects = False
        self.class_index = 0
        self.patience = 0  # ns
        self.arrived = 0  # monotonic ns

    def check(self, config: Config, serves: Callable[[bytes], bool]) -> None:
        """Once the head has come; raises Rejected. The parser has seen to the framing. `serves` tells of
        paths beside the platform's."""
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
        if int(length) > BODY_MOST:  # the parser let only digits pass
            raise Rejected(413)
        coding = self.fields.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            raise Rejected(501)
        if self.method == b"GET" and (int(length) or coding is not None):
            raise Rejected(400)

    def forwarded_head(self) -> bytes:
        """Request line and headers for a server, but for X-Deadline and the blank line."""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.method != b"GET" else b""
        return b"%s %s HTTP/1.1\r\n%s%s" % (self.method, self.url, b"".join(self.headers), length)


class Reader:
    """Bytes to requests. Ends with the first one that is refused: `error` is the status of its answer."""

    def __init__(
        self, config: Config, now: Callable[[], int], serves: Callable[[bytes], bool] = lambda _: False
    ) -> None:
        self._now = now
        self._serves = serves
        self.ready: deque[Incoming] = deque()
        self.error = 0
        self._config = config
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._rest = b""
        self._incoming: Incoming | None = None
        self._in_body = False

    def close(self) -> None:
        """Parser and reader hold each other: without this each connection stays until the collector comes."""
        self._parser = None
        self._rest = b""
        self.ready.clear()

    def feed(self, data: bytes) -> None:
        self._rest = self._rest + data if self._rest else data
        self.go_on()

    def go_on(self) -> None:
        """Read until there is a request. Guards against one client that sends thousands ahead: all of them
        parsed at once would hold up the others, and fill the memory."""
        while self._parser is not None and self._rest and not self.ready and not self.error:
            piece, self._rest = self._rest[:SLICE], self._rest[SLICE:]
            self._parse(piece)

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
            if incoming.size > (FRAMING_MOST if self._in_body else HEAD_MOST):
                self.error = 413 if self._in_body else 431
        if self.error:
            self._rest, self._incoming = b"", None

    def is_partial(self) -> bool:
        """Something has come of a request that is not whole."""
        return self._incoming is not None or bool(self._rest)

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
        self._in_body = True

    def on_body(self, data: bytes) -> None:
        incoming = self._incoming
        assert incoming is not None
        incoming.body += data
        if len(incoming.body) > BODY_MOST:
            raise Rejected(413)

    def on_message_complete(self) -> None:
        incoming, self._incoming = self._incoming, None
        assert incoming is not None and self._parser is not None
        incoming.keep_alive = self._parser.should_keep_alive()
        incoming.arrived = self._now()
        self.ready.append(incoming)
