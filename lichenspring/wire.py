"""Encodes and decodes the frames of the adapter protocol. Knows their layouts, not their meaning."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import BinaryIO, NamedTuple


class WireError(Exception):
    """A frame that violates the protocol; the message names the fault."""


class In(IntEnum):
    """Codes of the records that the module receives."""

    SYNC = 0
    ACK_FIRST = 1
    SAMPLED = 2
    SELECT = 3
    CLIENT_GONE = 4
    ATTACH = 5
    MAIL = 6
    INBOUND = 7
    FINISHED = 8
    DUE = 9
    CRASH_NOW = 10
    ROSTER = 11


class Out(IntEnum):
    """Codes of the records that the module sends."""

    FORWARD = 64
    BUSY = 65
    REPORT_FAILURE = 66
    WAKE_AT = 68
    HANG_UP = 70
    FAULT = 73
    LISTEN = 74
    SOURCE = 76


Record = tuple[int, tuple]  # type: ignore[type-arg]  # code, fields in the order of the layout


class Batch(NamedTuple):
    """The decoded records of one frame, with their common time."""

    clock: int
    records: list[Record]


_LENGTH = struct.Struct("<I")
_BATCH_HEADER = struct.Struct("<QI")
_SERVER_LAYOUT = struct.Struct("<6sBHHBfQ")
_EVENT_LAYOUTS = {
    In.SYNC: struct.Struct("<IBH"),
    In.ACK_FIRST: struct.Struct("<Q6sQH"),
    In.SAMPLED: struct.Struct("<6sHQB"),
    In.SELECT: struct.Struct("<H"),
    In.CLIENT_GONE: struct.Struct("<Q"),
    In.ATTACH: struct.Struct("<QI"),
    In.MAIL: struct.Struct("<HH"),
    In.INBOUND: struct.Struct("<QQQIBQB"),
    In.FINISHED: struct.Struct("<QBHQ6sHB"),
    In.DUE: struct.Struct("<I"),
    In.CRASH_NOW: struct.Struct("<"),
    In.ROSTER: struct.Struct("<HI"),
}
_ITEM_SIZE = {In.ATTACH: 1, In.MAIL: 1, In.ROSTER: _SERVER_LAYOUT.size, In.FINISHED: 4, In.SAMPLED: 4}
"""Bytes per item that follows the fixed part, for records whose last field is the item count."""

_ACTION_LAYOUTS = {
    Out.FORWARD: struct.Struct("<BQ6sQ"),
    Out.BUSY: struct.Struct("<BQQ"),
    Out.REPORT_FAILURE: struct.Struct("<BQ"),
    Out.WAKE_AT: struct.Struct("<BQI"),
    Out.HANG_UP: struct.Struct("<B6s"),
    Out.LISTEN: struct.Struct("<BB"),
    Out.SOURCE: struct.Struct("<BH"),
}
_TEXT_LAYOUT = struct.Struct("<BH")
_TEXT_MAX_BYTES = 60_000


def read_frame(stream: BinaryIO) -> bytes | None:
    """The next frame without its length field; None at a clean end of the input."""
    head = stream.read(_LENGTH.size)
    if not head:
        return None
    if len(head) < _LENGTH.size:
        raise WireError("truncated frame: input ended inside the length field")
    (length,) = _LENGTH.unpack(head)
    body = stream.read(length)
    if len(body) < length:
        raise WireError(f"truncated frame: {length} bytes announced, {len(body)} received")
    return body


def decode_batch(frame: bytes) -> Batch:
    """Decodes a frame; raises WireError if it is malformed."""
    if len(frame) < _BATCH_HEADER.size:
        raise WireError(f"malformed frame: {len(frame)} bytes are too few for a batch header")
    clock, count = _BATCH_HEADER.unpack_from(frame)
    records: list[Record] = []
    offset, end = _BATCH_HEADER.size, len(frame)
    for index in range(count):
        if offset >= end:
            raise WireError(f"malformed frame: {count} records announced, {index} found")
        code = frame[offset]
        layout = _EVENT_LAYOUTS.get(code)  # type: ignore[call-overload]
        if layout is None:
            raise WireError(f"unknown event code {code} in record {index}")
        body = offset + 1
        offset = body + layout.size
        if offset > end:
            raise WireError(f"malformed frame: record {index} ({In(code).name}) is cut short")
        fields = layout.unpack_from(frame, body)
        item_size = _ITEM_SIZE.get(code)  # type: ignore[call-overload]
        if item_size:
            start, offset = offset, offset + fields[-1] * item_size
            if offset > end:
                raise WireError(f"malformed frame: record {index} ({In(code).name}) is cut short")
            fields = (*fields[:-1], _decode_items(code, frame, start, offset))
        records.append((code, fields))
    if offset != end:
        raise WireError(f"malformed frame: {end - offset} bytes follow the last record")
    return Batch(clock, records)


def _decode_items(code: int, frame: bytes, start: int, end: int) -> object:
    if code == In.ROSTER:
        return list(_SERVER_LAYOUT.iter_unpack(frame[start:end]))
    if code in (In.FINISHED, In.SAMPLED):
        return struct.unpack_from(f"<{(end - start) // 4}f", frame, start) if end > start else ()
    return frame[start:end]


def encode_action(code: Out, *fields: int | bytes) -> bytes:
    """Encodes one action."""
    return _ACTION_LAYOUTS[code].pack(code, *fields)


def encode_text(code: Out, text: str) -> bytes:
    """Encodes a record that carries a text, which is cut to the maximum length."""
    data = text.encode("utf-8", "replace")[:_TEXT_MAX_BYTES]
    return _TEXT_LAYOUT.pack(code, len(data)) + data


def encode_reply(actions: list[bytes]) -> bytes:
    """A complete reply frame of encoded actions."""
    body = b"".join(actions)
    return struct.pack("<II", 4 + len(body), len(actions)) + body
