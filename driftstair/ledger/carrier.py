"""The export's messages as lines of JSON over TCP, and a ledger's segments as the exporter reads them.

One message is one line. A connection that ends, a line that can't be read and a collector that is away are
all the same: what is not acknowledged goes again, on a new connection, after the exporter's own pause.
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

from driftstair.ledger.entries import DIGEST, FIRST, LINE_MOST
from driftstair.ledger.export import (
    BATCH,
    Claim,
    Exporter,
    Hello,
    Lines,
    Message,
    Offer,
    Older,
    Refused,
    Taken,
)
from driftstair.ledger.segments import segments

MESSAGE_MOST = BATCH * (LINE_MOST + 16) * 2  # bytes: quotes are escaped
MARK_EVERY = 256  # lines between two places that are remembered
NAMES: dict[str, type[Any]] = {
    "hello": Hello, "claim": Claim, "offer": Offer, "taken": Taken, "refused": Refused, "older": Older,
}  # fmt: skip
TYPES: dict[str, dict[str, type]] = {
    "hello": {"node": str, "session": int},
    "claim": {"node": str, "session": int, "token": int},
    "older": {"node": str, "session": int, "token": int},
    "offer": {"node": str, "session": int, "first": int, "lines": list},
    "taken": {"node": str, "session": int, "number": int, "digest": str},
    "refused": {"node": str, "session": int, "why": str, "final": bool},
}


class MessageError(ValueError):
    """A line that is no message."""


def worded(message: Message) -> bytes:
    name = next(name for name, kind in NAMES.items() if isinstance(message, kind))
    fields = message._asdict()
    if isinstance(message, Offer):
        fields["lines"] = [line.decode("ascii") for line in message.lines]
    elif isinstance(message, Taken):
        fields["digest"] = message.digest.hex()
    return json.dumps({"is": name, **fields}, separators=(",", ":")).encode() + b"\n"


def read(line: bytes) -> Message:
    """Raises MessageError."""
    try:
        told = json.loads(line)
        name = told.pop("is")
        wanted = TYPES[name]
        if told.keys() != wanted.keys() or any(type(told[key]) is not kind for key, kind in wanted.items()):
            raise ValueError
        if name == "offer":
            told["lines"] = tuple(one.encode("ascii") for one in told["lines"])
        elif name == "taken":
            told["digest"] = bytes.fromhex(told["digest"])
        message: Message = NAMES[name](**told)
        return message
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError):
        raise MessageError(f"no message: {line[:60]!r}") from None


class _Mark(NamedTuple):
    number: int  # of the line that begins there
    path: Path
    offset: int


class Segments:
    """One node's ledger, read while its daemon may go on writing it. Remembers where each 256th line begins:
    a million entries cost some 4,000 places. A line that is not whole yet is not there yet."""

    def __init__(self, folder: Path, node: str) -> None:
        """Raises StoreError where a segment is missing."""
        self._folder = folder
        self._node = node
        self._marks: list[_Mark] = []
        self._last = 0  # number of the last line that was seen
        self._end = (0, 0)  # which segment, and where in it, the next one begins
        segments(folder, node)

    def lines(self) -> Lines:
        return Lines(self.read, self.digest)

    def read(self, first: int, most: int) -> list[bytes]:
        """Without their ends. Raises StoreError, OSError."""
        if first + most > self._last:
            self._look()
        found = []
        for number, line in self._from(first):
            if number >= first + most:
                break
            found.append(line)
        return found

    def digest(self, number: int) -> bytes | None:
        if number == 0:
            return FIRST
        lines = self.read(number, 1)
        with suppress(ValueError):
            if lines:
                return bytes.fromhex(lines[0][: 2 * DIGEST].decode("ascii"))
        return None

    def _look(self) -> None:
        """What has been written since."""
        place, offset = self._end
        paths = segments(self._folder, self._node)
        for index, path in enumerate(paths[place:], place):
            if index > place:
                offset = 0
            for line in _whole(path, offset):
                self._last += 1
                if self._last % MARK_EVERY == 1:
                    self._marks.append(_Mark(self._last, path, offset))
                offset += len(line) + 1
            self._end = index, offset

    def _from(self, first: int) -> Iterator[tuple[int, bytes]]:
        place = bisect_right(self._marks, first, key=lambda mark: mark.number) - 1
        if place < 0 or first > self._last:
            return
        number, path, offset = self._marks[place]
        paths = segments(self._folder, self._node)
        for one in paths[paths.index(path) :]:
            for line in _whole(one, offset):
                if number >= first:
                    yield number, line
                number += 1
                if number > self._last:
                    return
            offset = 0


def _whole(path: Path, offset: int) -> Iterator[bytes]:
    with open(path, "rb") as file:
        file.seek(offset)
        for line in file:
            if not line.endswith(b"\n"):
                return
            yield line[:-1]


async def carry(
    exporter: Exporter, address: tuple[str, int], give_up: float, follow: bool = False,
    clock: Callable[[], float] = time.monotonic,
) -> str:  # fmt: skip
    """Exports until all is in the books (`follow`: and goes on with what comes). Why it ended without that,
    or empty. `give_up`: s without anything new acknowledged."""
    heard, known, why = clock(), exporter.acknowledged, "nobody answers"
    while not exporter.stopped:
        if exporter.acknowledged > known:
            heard, known = clock(), exporter.acknowledged
        if exporter.is_done():
            if not follow:
                return ""
            heard = clock()
        elif clock() - heard > give_up:
            return why
        try:
            why = await _connection(exporter, address, heard + give_up, follow, clock) or why
        except (OSError, MessageError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as problem:
            why = str(problem) or "the connection ended"
        await asyncio.sleep(max(0.05, min(1.0, exporter.wakes / 1000 - clock())))
    return exporter.stopped


async def _connection(
    exporter: Exporter, address: tuple[str, int], until: float, follow: bool, clock: Callable[[], float]
) -> str:
    """One connection's life; why the collector refused, if it did."""
    why = ""
    async with asyncio.timeout(5.0):
        reader, writer = await asyncio.open_connection(*address, limit=MESSAGE_MOST)
    try:
        while not exporter.stopped and (follow or not exporter.is_done()) and clock() < until:
            for message in exporter.poll(int(clock() * 1000)):
                writer.write(worded(message))
            await writer.drain()
            try:
                async with asyncio.timeout(max(0.05, min(1.0, exporter.wakes / 1000 - clock()))):
                    line = await reader.readuntil(b"\n")
            except TimeoutError:
                continue
            answer = read(line)
            if isinstance(answer, Refused):
                why = answer.why
            for message in exporter.receive(int(clock() * 1000), answer):
                writer.write(worded(message))
    finally:
        writer.close()
    return why
