"""Bodies that are forwarded while they still arrive: buffering, flow control and size limits. No I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from driftstair.net.buffer_account import PROCESS_MEMORY_BYTES

INLINE_BODY_BYTES_MAX = 64 << 10  # larger answers are streamed and timed by their first bytes
BODY_BYTES_MAX = 48 << 20
STREAM_BUFFER_BYTES_MAX = 64 << 10  # buffered in a stream before its producer is paused
JOINED_BYTES_MAX = 4 << 10  # of small pieces that are kept as one
STREAM_WRITE_BYTES_MAX = 256 << 10  # taken from a stream at once
SENDER_BUFFER_BYTES_MAX = 4 << 20  # send buffer of the client's machine (Linux's tcp_wmem)
BUFFERED_BODY_BYTES_MAX = 1 << 20  # of a request body that is buffered until complete, budget permitting
BODY_BUDGET_SHARE = 0.2  # of the memory that the process itself does not need
BODY_BUDGET_BYTES_MIN = 1 << 20
STREAM_STALL_S_MAX = 12.0  # without progress, whichever side the stream waits for


def no_op() -> None:
    """The callback of a stream to which nothing is attached."""
    pass


class BodyBudget:
    """Memory shared by all request bodies that are buffered until they are complete, in bytes."""

    def __init__(self, memory: int) -> None:
        self.bytes_left = max(BODY_BUDGET_BYTES_MIN, int(BODY_BUDGET_SHARE * (memory - PROCESS_MEMORY_BYTES)))

    def try_reserve(self, size: int) -> bool:
        if size > self.bytes_left:
            return False
        self.bytes_left -= size
        return True

    def release(self, size: int) -> None:
        self.bytes_left += size


class Stream:
    """An ordered byte stream. The producer puts data in and ends or fails it; the consumer takes it out.

    With a budget, the end of a body is read ahead of a slow consumer: what the sender's machine may have
    taken from the sender already. Only so is it known when the last byte arrived.
    """

    __slots__ = (
        "_budget", "_buffered_bytes", "_chunks", "_is_blocked", "_reserved_bytes", "_was_full", "consumed",
        "ended", "failed", "is_silent", "length", "on_readable", "on_writable", "received_bytes",
    )  # fmt: skip

    def __init__(self, length: int | None = None, budget: BodyBudget | None = None) -> None:
        self.length = length  # total bytes, if known
        self.received_bytes = 0
        self.consumed = False  # some data has been taken, so the body can't be sent again from its start
        self.ended = False  # the producer has put in everything
        self.failed = False  # the rest will never arrive
        self.is_silent = False  # it failed as its producer gave nothing for too long
        self.on_readable: Callable[[], None] = no_op  # there is more to take, or the stream has ended
        self.on_writable: Callable[[], None] = no_op  # there is buffer space again
        self._budget = budget
        self._reserved_bytes = 0  # of the budget
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._was_full = False
        self._is_blocked = False

    def put(self, data: bytes) -> None:
        if data and not self.failed:
            if self._chunks and len(self._chunks[-1]) + len(data) <= JOINED_BYTES_MAX:
                self._chunks[-1] += data  # a body in one-byte chunks would take fifty times its size
            else:
                self._chunks.append(data)
            self._buffered_bytes += len(data)
            self.received_bytes += len(data)
            self.on_readable()

    def end(self) -> None:
        self.ended = True
        self.on_readable()

    def fail(self) -> None:
        """Called by the producer when the rest will never arrive or is no longer wanted."""
        if not self.ended and not self.failed:
            self.failed = True
            self._drop_buffered()
            self.on_readable()

    def abandon(self) -> None:
        """Called by the consumer when it stops reading; the producer is notified by `on_writable`."""
        self.on_readable = no_op
        if not self.failed:
            self.failed = True
            self._drop_buffered()
            self.on_writable()

    def discard(self) -> None:
        """Nobody needs the rest: buffered data are dropped, and so is what is still put in."""
        self.on_readable = self.on_writable = no_op
        self.failed = self.failed or not self.ended
        self._drop_buffered()

    def _drop_buffered(self) -> None:
        self._chunks.clear()
        self._buffered_bytes = 0
        self._release_surplus()

    def take(self) -> bytes:
        """Returns the next buffered data. The caller must call `mark_forwarded` once it has written them."""
        pieces: list[bytes] = []
        size = 0
        while self._chunks and (not pieces or size + len(self._chunks[0]) <= STREAM_WRITE_BYTES_MAX):
            pieces.append(self._chunks.popleft())
            size += len(pieces[-1])
        if pieces:
            self.consumed = True
            self._was_full |= self.is_full()
            self._buffered_bytes -= size
            self._release_surplus()
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def buffered_bytes(self) -> int:
        return self._buffered_bytes

    def unreserved_bytes(self) -> int:
        """Of the buffered bytes, those that are not part of a budget."""
        return max(0, self._buffered_bytes - self._reserved_bytes)

    def notify_when_taken(self) -> None:
        """The producer pauses although there is buffer space: it is notified as if there had been none."""
        self._was_full = True

    def mark_forwarded(self) -> None:
        """The data taken last has been written, so the producer may continue. Notifying the producer within
        `take` would reorder the stream: it would put in more data at once, which would be written first."""
        if self._was_full and not self.is_full():
            self._was_full = False
            self.on_writable()

    def set_blocked(self, blocked: bool) -> None:
        """Whether data taken from the stream waits in the consumer's socket buffer. The producer is paused
        meanwhile; otherwise the data of a slow reader is buffered twice, here and before the socket: 500 KB
        for each reader."""
        self._is_blocked = blocked
        self._was_full |= blocked

    def is_full(self) -> bool:
        if not self._is_blocked and self._buffered_bytes < STREAM_BUFFER_BYTES_MAX:
            return False
        return not self._may_read_ahead()

    def bytes_left(self) -> int | None:
        """How much the producer has not put in yet; None if the length is not known."""
        return None if self.length is None else self.length - self.received_bytes

    def _may_read_ahead(self) -> bool:
        """Whether more is buffered although the consumer is slow; if so, that is reserved."""
        if self._budget is None or (self.bytes_left() or 0) > SENDER_BUFFER_BYTES_MAX:
            return False
        wanted_bytes = self._buffered_bytes + STREAM_BUFFER_BYTES_MAX
        missing_bytes = wanted_bytes - self._reserved_bytes
        if missing_bytes <= 0:
            return True
        if wanted_bytes > self._read_ahead_bytes_max() or not self._budget.try_reserve(missing_bytes):
            return False
        self._reserved_bytes = wanted_bytes
        return True

    def _read_ahead_bytes_max(self) -> int:
        """A body of unknown length may end at any time in what its sender's machine holds, so it is read
        ahead from its begin, as far as there is as much left for others."""
        assert self._budget is not None
        if self.length is not None:
            return SENDER_BUFFER_BYTES_MAX
        return max(SENDER_BUFFER_BYTES_MAX, self._budget.bytes_left)

    def _release_surplus(self) -> None:
        surplus_bytes = self._reserved_bytes - self._buffered_bytes
        if self._budget is not None and surplus_bytes > 0:
            self._budget.release(surplus_bytes)
            self._reserved_bytes -= surplus_bytes

    def is_done(self) -> bool:
        """The stream has ended and all of its data has been taken."""
        return self.ended and not self._buffered_bytes


def encode_chunk(data: bytes) -> bytes:
    """Encodes data as one chunk (RFC 9112, section 7.1). Without data there is no chunk, as an empty one ends
    the body."""
    return b"%x\r\n%s\r\n" % (len(data), data) if data else b""


def body_length(body: bytes | Stream) -> int | None:
    """Length in bytes, or None if it is not known yet."""
    return body.length if isinstance(body, Stream) else len(body)


LAST_CHUNK = b"0\r\n\r\n"
