"""HTTP/1.1 messages of control servers: their types, limits and encoding. No I/O.

`http_server` and `net/kept_connection` parse messages with httptools.
"""

from __future__ import annotations

import json
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote

HEAD_BYTES_MAX = 8 << 10  # request line and headers; those of a watch take some 200 bytes
REASONS = {
    200: b"OK", 204: b"No Content", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
    408: b"Request Timeout", 409: b"Conflict", 413: b"Content Too Large", 500: b"Internal Server Error",
    503: b"Service Unavailable",
}  # fmt: skip
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n"


class Request(NamedTuple):
    """A complete request. `query` holds the last value of each name."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    peer: str  # HOST:PORT of the sender, for log lines


class Response(NamedTuple):
    """A response with its complete body, which is JSON unless it is empty."""

    status: int
    body: bytes = b""
    retry_after_s: int | None = None


class HttpError(Exception):
    """A request is not accepted. `status` is that of the response; the text is the reason."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status


def json_response(status: int, content: object, retry_after_s: int | None = None) -> Response:
    """A response whose body is `content` as JSON."""
    return Response(status, json.dumps(content).encode() + b"\n", retry_after_s)


def error_response(status: int, why: str, retry_after_s: int | None = None) -> Response:
    """A response with the reason under the key `error`."""
    return json_response(status, {"error": why}, retry_after_s)


def split_target(target: bytes) -> tuple[str, dict[str, str]]:
    """Splits a request target into path and query parameters. Raises HttpError."""
    try:
        path, _, query = target.decode("ascii").partition("?")
        parameters = dict(
            parse_qsl(query, keep_blank_values=True, strict_parsing=bool(query), errors="strict")
        )
        return unquote(path, errors="strict"), parameters
    except ValueError:  # includes UnicodeDecodeError
        raise HttpError(400, f"no target: {target[:80]!r}") from None


def encode_response(response: Response, close: bool) -> bytes:
    """Encodes a response. `close`: the connection is closed after it."""
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
    """Encodes a line of a streamed response, with its line feed, as one chunk."""
    return b"%x\r\n%s\n\r\n" % (len(line) + 1, line)


HEARTBEAT_CHUNK = encode_chunk(b"")
