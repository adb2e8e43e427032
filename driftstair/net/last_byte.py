"""Estimates when a client may have written the last byte of a body that its server reads slowly. No I/O.

The node reads such a body only as its server takes it. Meanwhile the client's machine may hold the rest, and
the client waits for its answer from the time at which it wrote the last byte, not from that of its reading.
The end of a body of unknown length may be the next byte that the node has not parsed, so its estimate moves
on with each read.

All times are monotonic ns. Byte counts include the framing of the body; they begin with its first read after
its head.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from driftstair.net.body_stream import SENDER_BUFFER_BYTES_MAX

SECOND_NS = 1_000_000_000


class ReadMark(NamedTuple):
    """One read: when it was, and how many bytes had been read with it."""

    at: int
    total_bytes: int


@dataclass(slots=True)
class HeldUpClient:
    """What a client may have written since the node began to hold it up."""

    since: ReadMark
    bytes_per_s: float  # of the client, before it was held up
    _reads: deque[ReadMark] = field(default_factory=deque)  # since then

    def on_read(self, read: ReadMark) -> None:
        self._reads.append(read)

    def earliest_write(self, offset_bytes: int) -> int | None:
        """The earliest time at which the client may have written the byte at an offset: not faster than at
        its own rate, and not before its machine had room for it. None: its machine has no room yet. The
        offsets of successive calls must not decrease."""
        ahead_bytes = offset_bytes - self.since.total_bytes
        at_own_rate = self.since.at + max(0, int(ahead_bytes / self.bytes_per_s * SECOND_NS))
        if ahead_bytes <= SENDER_BUFFER_BYTES_MAX:
            return at_own_rate
        reads = self._reads
        while reads and reads[0].total_bytes < offset_bytes - SENDER_BUFFER_BYTES_MAX:
            reads.popleft()
        return max(at_own_rate, reads[0].at) if reads else None


@dataclass(slots=True)
class LastByteEstimate:
    """Of one body at a time."""

    _total_bytes: int = 0  # read
    _held_up: HeldUpClient | None = None
    _is_client_slow: bool = False  # the latest read took all that the client's machine had

    def reset(self) -> None:
        """The body has ended, or is no longer wanted."""
        self._total_bytes = 0
        self._held_up = None
        self._is_client_slow = False

    def on_read(self, now: int, size: int, more_may_be_ready: bool, was_quiet: bool = False) -> None:
        """`size` bytes have been read. `more_may_be_ready`: they may have filled the receive window, or the
        buffer that they were read into; if not, what is read after them was not held up. `was_quiet`: nothing
        came for a while before them although the node was reading, so they were not held up either."""
        if self._is_client_slow or was_quiet:
            self._held_up = None
        self._is_client_slow = not more_may_be_ready
        self._total_bytes += size
        if self._held_up is not None:
            self._held_up.on_read(ReadMark(now, self._total_bytes))

    def on_pause(self, now: int, bytes_per_s: float) -> None:
        """Reading is paused for the server. `bytes_per_s`: the mean rate since the body began, which is the
        client's own as long as it has not been held up; 0: unknown, so that it may have written all at
        once."""
        if self._held_up is None:
            self._held_up = HeldUpClient(ReadMark(now, self._total_bytes), bytes_per_s or inf)

    def earliest(self, unparsed_bytes: int, bytes_left: int | None) -> int | None:
        """The earliest time at which the client may have written the last byte. `unparsed_bytes`: read but
        not parsed; `bytes_left`: of the body, not parsed; None if unknown, so that the next byte may be the
        last. None: the client is not held up, or its machine can't have taken that byte yet."""
        if self._held_up is None:
            return None
        return self._held_up.earliest_write(self._total_bytes - unparsed_bytes + (bytes_left or 0))
