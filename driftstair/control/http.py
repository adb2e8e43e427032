"""HTTP/1.1 as control servers speak it: the messages, their bounds, and what goes over the wire.

Parsing is httptools' in `http_server` and `net/kept_connection`; this module has no I/O.
"""

from __future__ import annotations

import json
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote

HEAD_BYTES_MAX = 8 << 10  # request line and headers; a watch's takes some 200 bytes
REASONS = {
    200: b"OK", 204: b"No Content", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large", 500: b"Internal Server Error",
    503: b"Service Unavailable",
}  # fmt: skip
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"


class Request(NamedTuple):
    """A whole request; `query` holds the last value of each name."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    peer: str  # HOST:PORT of whoever sent it, for log lines


class Response(NamedTuple):
    """An answer with its whole body, JSON unless it is empty."""

    status: int
    body: bytes = b""
    retry_after_s: int | None = None


class HttpError(Exception):
    """What came is no message that is taken here. `status` is that of the answer; the text says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def json_response(status: int, content: object, retry_after_s: int | None = None) -> Response:
    """An answer whose body is this content as JSON."""
    return Response(status, json.dumps(content).encode() + b"\n", retry_after_s)


def error_response(status: int, why: str, retry_after_s: int | None = None) -> Response:
    """An answer that says in `error` why nothing was done."""
    return json_response(status, {"error": why}, retry_after_s)


def split_target(target: bytes) -> tuple[str, dict[str, str]]:
    """Path and query of a request target. Raises HttpError."""
    try:
        path, _, query = target.decode("ascii").partition("?")
        found = dict(parse_qsl(query, keep_blank_values=True, strict_parsing=bool(query), errors="strict"))
        return unquote(path, errors="strict"), found
    except ValueError:  # UnicodeDecodeError is one
        raise HttpError(400, f"no target: {target[:80]!r}") from None


def encode_response(response: Response, close: bool) -> bytes:
    """The bytes of an answer; `close`: no other one follows on its connection."""
    status, body, retry_after_s = response
    lines = [b"HTTP/1.1 %d %s" % (status, REASONS.get(status, b"Other"))]
    if body:
        lines.append(b"Content-Type: application/json")
    if status != 204:
        lines.append(b"Content-Length: %d" % len(body))
    if retry_after_s is not None:
        lines.append(b"Retry-After: %d" % retry_after_s)
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def encode_chunk(line: bytes) -> bytes:
    """A line of a streamed answer with its end, as one chunk."""
    return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)


HEARTBEAT_CHUNK = encode_chunk(b"")
