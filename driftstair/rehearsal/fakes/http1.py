"""HTTP/1.1 messages as the fakes read them (RFC 9112): strict, and no code of the daemon's own reader.

Only what the project's protocol allows is a message here: a head of at most 16 KiB, and a body whose length
`Content-Length` tells. Anything else is WireError, which a fake notes as something that it should never
get.
"""

from __future__ import annotations

from typing import NamedTuple

HEAD_MOST = 16 << 10
BODY_MOST = 64 << 10


class WireError(Exception):
    """What came is no message; the text says why."""


class Message(NamedTuple):
    first: bytes  # request line or status line
    fields: dict[bytes, bytes]  # names in lower case
    body: bytes
    began: int  # when its first byte came


class MessageReader:
    """Bytes to messages, with the time at which each began."""

    __slots__ = ("_began", "_buffer", "_head")

    def __init__(self) -> None:
        self._buffer = b""
        self._began = 0
        self._head: tuple[bytes, dict[bytes, bytes], int, int] | None = None

    def is_partial(self) -> bool:
        return bool(self._buffer)

    def feed(self, data: bytes, now: int) -> list[Message]:
        """All that is whole by now. Raises WireError; nothing after that can be read."""
        if self._buffer:
            data = self._buffer + data
        else:
            self._began = now
        found: list[Message] = []
        while data:
            if self._head is None:
                end = data.find(b"\r\n\r\n")
                if end < 0:
                    if len(data) > HEAD_MOST:
                        raise WireError("a head without end")
                    break
                self._head = _head(data[:end], end + 4)
            first, fields, start, length = self._head
            if len(data) < start + length:
                break
            found.append(Message(first, fields, data[start : start + length], self._began))
            data = data[start + length :]
            self._head = None
            self._began = now
        self._buffer = data
        return found


def _head(text: bytes, start: int) -> tuple[bytes, dict[bytes, bytes], int, int]:
    first, *lines = text.split(b"\r\n")
    fields: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not name or name[-1:].isspace():
            raise WireError(f"no header line: {line[:80]!r}")
        lower = name.lower()
        if lower in fields and lower == b"content-length":
            raise WireError("two lengths")
        fields[lower] = value.strip()
    if b"transfer-encoding" in fields:
        raise WireError("a transfer coding, where a length was asked for")
    length = fields.get(b"content-length", b"0")
    if not length.isdigit() or int(length) > BODY_MOST:
        raise WireError(f"no length: {length[:40]!r}")
    return first, fields, start, int(length)


def status_of(first: bytes) -> int:
    """The status of a response's first line; raises WireError."""
    parts = first.split(b" ", 2)
    if len(parts) < 2 or parts[0] != b"HTTP/1.1" or len(parts[1]) != 3 or not parts[1].isdigit():
        raise WireError(f"no status line: {first[:80]!r}")
    return int(parts[1])


def response(status: int, fields: tuple[bytes, ...] = (), body: bytes = b"") -> bytes:
    """A response with its length; `fields` are whole header lines without their ends."""
    lines = b"".join(line + b"\r\n" for line in fields)
    return b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s" % (status, lines, len(body), body)
