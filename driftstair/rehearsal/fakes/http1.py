"""A strict parser of HTTP/1.1 messages (RFC 9112) for the fakes, independent of the daemon's parser.

It accepts only what the project's protocol allows: a head of at most 16 KiB, and a body whose length is given
by `Content-Length`. Anything else raises WireError, which a fake records as a message that should never have
been sent.
"""

from __future__ import annotations

from typing import NamedTuple

HEAD_BYTES_MAX = 16 << 10
BODY_BYTES_MAX = 64 << 10


class WireError(Exception):
    """The received bytes are no valid message; the text says why."""


class Message(NamedTuple):
    """A whole request or response."""

    start_line: bytes  # request line or status line
    fields: dict[bytes, bytes]  # names in lower case
    body: bytes
    began_at: int  # when its first byte arrived, ns


class MessageReader:
    """Parses a stream of bytes into messages, with the arrival time of the first byte of each."""

    __slots__ = ("_began_at", "_buffer", "_head")

    def __init__(self) -> None:
        self._buffer = b""
        self._began_at = 0
        self._head: tuple[bytes, dict[bytes, bytes], int, int] | None = None

    def is_partial(self) -> bool:
        """Whether a message has arrived in part."""
        return bool(self._buffer)

    def feed(self, data: bytes, now: int) -> list[Message]:
        """Adds bytes and returns the messages that are now complete. Raises WireError, after which the stream
        can't be parsed any further."""
        if self._buffer:
            data = self._buffer + data
        else:
            self._began_at = now
        messages: list[Message] = []
        while data:
            if self._head is None:
                end = data.find(b"\r\n\r\n")
                if end < 0:
                    if len(data) > HEAD_BYTES_MAX:
                        raise WireError("a head without end")
                    break
                self._head = _parse_head(data[:end], end + 4)
            start_line, fields, start, length = self._head
            if len(data) < start + length:
                break
            messages.append(Message(start_line, fields, data[start : start + length], self._began_at))
            data = data[start + length :]
            self._head = None
            self._began_at = now
        self._buffer = data
        return messages


def _parse_head(text: bytes, start: int) -> tuple[bytes, dict[bytes, bytes], int, int]:
    start_line, *lines = text.split(b"\r\n")
    fields: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not name or name[-1:].isspace():
            raise WireError(f"no header line: {line[:80]!r}")
        lower_name = name.lower()
        if lower_name in fields and lower_name == b"content-length":
            raise WireError("two lengths")
        fields[lower_name] = value.strip()
    if b"transfer-encoding" in fields:
        raise WireError("a transfer coding, where a length was asked for")
    length = fields.get(b"content-length", b"0")
    if not length.isdigit() or int(length) > BODY_BYTES_MAX:
        raise WireError(f"no length: {length[:40]!r}")
    return start_line, fields, start, int(length)


def status_of(start_line: bytes) -> int:
    """The status code in a status line. Raises WireError."""
    parts = start_line.split(b" ", 2)
    if len(parts) < 2 or parts[0] != b"HTTP/1.1" or len(parts[1]) != 3 or not parts[1].isdigit():
        raise WireError(f"no status line: {start_line[:80]!r}")
    return int(parts[1])


def response(status: int, fields: tuple[bytes, ...] = (), body: bytes = b"") -> bytes:
    """Encodes a response with its Content-Length. `fields` are header lines without line ends."""
    lines = b"".join(line + b"\r\n" for line in fields)
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, lines, len(body), body)
