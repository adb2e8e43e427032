"""The transport of the export: messages as lines of JSON over TCP, and the exporter's reader of a ledger.

Each message is one line. A closed connection, an invalid line and an absent collector are handled alike:
unacknowledged lines are sent again on a new connection, after the exporter's own pause.
"""

from __future__ import annotations

import asyncio
import json
import time
from bisect import bisect_right
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from driftstair.ledger.entries import DIGEST_BYTES, INITIAL_DIGEST, MAX_LINE_BYTES
from driftstair.ledger.export import (
    MAX_BATCH_LINES,
    Claim,
    Exporter,
    Hello,
    LineSource,
    Message,
    Offer,
    Older,
    Refused,
    Taken,
)
from driftstair.ledger.segment_reader import segment_paths

MAX_MESSAGE_BYTES = MAX_BATCH_LINES * (MAX_LINE_BYTES + 16) * 2  # quotes are escaped
INDEX_INTERVAL_LINES = 256  # between two indexed lines
MESSAGE_CLASSES: dict[str, type[Any]] = {
    "hello": Hello, "claim": Claim, "offer": Offer, "taken": Taken, "refused": Refused, "older": Older,
}  # fmt: skip
FIELD_TYPES: dict[str, dict[str, type]] = {
    "hello": {"node": str, "session": int},
    "claim": {"node": str, "session": int, "token": int},
    "older": {"node": str, "session": int, "token": int},
    "offer": {"node": str, "session": int, "first": int, "lines": list},
    "taken": {"node": str, "session": int, "number": int, "digest": str},
    "refused": {"node": str, "session": int, "why": str, "final": bool},
}


class MessageError(ValueError):
    """A line that is not a valid message."""


def encode_message(message: Message) -> bytes:
    """Returns a message as one line of JSON with its newline."""
    name = next(name for name, message_class in MESSAGE_CLASSES.items() if isinstance(message, message_class))
    fields = message._asdict()
    if isinstance(message, Offer):
        fields["lines"] = [line.decode("ascii") for line in message.lines]
    elif isinstance(message, Taken):
        fields["digest"] = message.digest.hex()
    return json.dumps({"is": name, **fields}, separators=(",", ":")).encode() + b"\n"


def decode_message(line: bytes) -> Message:
    """Returns the message of a line. Raises MessageError."""
    try:
        fields = json.loads(line)
        name = fields.pop("is")
        field_types = FIELD_TYPES[name]
        if fields.keys() != field_types.keys() or any(
            type(fields[key]) is not field_type for key, field_type in field_types.items()
        ):
            raise ValueError
        if name == "offer":
            fields["lines"] = tuple(text.encode("ascii") for text in fields["lines"])
        elif name == "taken":
            fields["digest"] = bytes.fromhex(fields["digest"])
        message: Message = MESSAGE_CLASSES[name](**fields)
        return message
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        raise MessageError(f"no message: {line[:60]!r}") from None


class _IndexEntry(NamedTuple):
    """The segment and offset at which a line begins."""

    number: int  # of the line that begins there
    path: Path
    offset: int


class LedgerReader:
    """Reads one node's ledger while its daemon may continue to write it. An index holds the position of every
    256th line, some 4,000 positions for a million entries. A line that is not complete yet is treated as
    absent."""

    def __init__(self, folder: Path, node: str) -> None:
        """Raises StoreError if a segment is missing."""
        self._folder = folder
        self._node = node
        self._index: list[_IndexEntry] = []
        self._last_number = 0  # number of the last indexed line
        self._read_position = (0, 0)  # index of the segment and offset in it at which the next line begins
        segment_paths(folder, node)

    def source(self) -> LineSource:
        """Returns this ledger as an exporter reads it."""
        return LineSource(self.read, self.digest)

    def read(self, first: int, max_lines: int) -> list[bytes]:
        """Returns at most `max_lines` lines from number `first` on, without their newlines. Raises
        StoreError, OSError."""
        if first + max_lines > self._last_number:
            self._index_new_lines()
        selected = []
        for number, line in self._lines_from(first):
            if number >= first + max_lines:
                break
            selected.append(line)
        return selected

    def digest(self, number: int) -> bytes | None:
        """Returns the digest of the line with a number, and None if there is no such line."""
        if number == 0:
            return INITIAL_DIGEST
        lines = self.read(number, 1)
        with suppress(ValueError):
            if lines:
                return bytes.fromhex(lines[0][: 2 * DIGEST_BYTES].decode("ascii"))
        return None

    def _index_new_lines(self) -> None:
        """Indexes the lines that were written since the last call."""
        current, offset = self._read_position
        paths = segment_paths(self._folder, self._node)
        for path_index, path in enumerate(paths[current:], current):
            if path_index > current:
                offset = 0
            for line in _complete_lines(path, offset):
                self._last_number += 1
                if self._last_number % INDEX_INTERVAL_LINES == 1:
                    self._index.append(_IndexEntry(self._last_number, path, offset))
                offset += len(line) + 1
            self._read_position = path_index, offset

    def _lines_from(self, first: int) -> Iterator[tuple[int, bytes]]:
        """Yields indexed lines with their numbers, from number `first` on."""
        position = bisect_right(self._index, first, key=lambda entry: entry.number) - 1
        if position < 0 or first > self._last_number:
            return
        number, path, offset = self._index[position]
        paths = segment_paths(self._folder, self._node)
        for segment in paths[paths.index(path) :]:
            for line in _complete_lines(segment, offset):
                if number >= first:
                    yield number, line
                number += 1
                if number > self._last_number:
                    return
            offset = 0


def _complete_lines(path: Path, offset: int) -> Iterator[bytes]:
    """Yields the complete lines of a file from an offset on, without their newlines."""
    with open(path, "rb") as file:
        file.seek(offset)
        for line in file:
            if not line.endswith(b"\n"):
                return
            yield line[:-1]


async def export_ledger(
    exporter: Exporter, address: tuple[str, int], give_up_s: float, follow: bool = False,
    clock: Callable[[], float] = time.monotonic,
) -> str:  # fmt: skip
    """Exports until the collector has stored the whole ledger; with `follow`, continues with new lines.
    Returns the reason if it ended before that, else an empty text. Ends after `give_up_s` seconds without a
    new acknowledgement."""
    last_progress, last_acknowledged, reason = clock(), exporter.acknowledged, "nobody answers"
    while not exporter.stop_reason:
        if exporter.acknowledged > last_acknowledged:
            last_progress, last_acknowledged = clock(), exporter.acknowledged
        if exporter.is_done():
            if not follow:
                return ""
            last_progress = clock()
        elif clock() - last_progress > give_up_s:
            return reason
        try:
            reason = await _connection(exporter, address, last_progress + give_up_s, follow, clock) or reason
        except (OSError, MessageError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as problem:
            reason = str(problem) or "the connection ended"
        await asyncio.sleep(max(0.05, min(1.0, exporter.next_poll_ms / 1000 - clock())))
    return exporter.stop_reason


async def _connection(
    exporter: Exporter, address: tuple[str, int], until: float, follow: bool, clock: Callable[[], float]
) -> str:
    """Exports over one connection. Returns the collector's reason if it refused, else an empty text."""
    reason = ""
    async with asyncio.timeout(5.0):
        reader, writer = await asyncio.open_connection(*address, limit=MAX_MESSAGE_BYTES)
    try:
        while not exporter.stop_reason and (follow or not exporter.is_done()) and clock() < until:
            for message in exporter.poll(int(clock() * 1000)):
                writer.write(encode_message(message))
            await writer.drain()
            try:
                async with asyncio.timeout(max(0.05, min(1.0, exporter.next_poll_ms / 1000 - clock()))):
                    line = await reader.readuntil(b"\n")
            except TimeoutError:
                continue
            answer = decode_message(line)
            if isinstance(answer, Refused):
                reason = answer.why
            for message in exporter.receive(int(clock() * 1000), answer):
                writer.write(encode_message(message))
    finally:
        writer.close()
    return reason
