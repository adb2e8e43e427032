"""When bytes came that are read now: what the kernel knows, and what a process that stood still must add.

Bytes that lie with this machine are dated by its kernel. Those of a long request that do not fit into the
receive window lie with the client's machine until the window opens, which it does as the node reads: then
they reach the kernel at once, however long ago the client wrote them. So what reaches it right behind a full
window counts as written with that, or since the process stood still. So does each full window behind it, for
as long as the client's machine may have had more ready. A read of more than the window holds took in what
came in itself, so that the kernel's date is that of the reading. Pure; times are ns of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

MS = 1_000_000  # ns
HELD_LEAST = 50 * MS  # that bytes may have lain unread: less is the machine's usual noise
WINDOW_LEAST = 32 << 10  # bytes that may have filled the receive window (RECEIVE_BUFFER_BYTES in `system.py`)
WINDOW_MOST = 64 << 10  # bytes that it holds
SENDER_MOST = 4 << 20  # bytes that a client's machine takes in ahead of the window (Linux's tcp_wmem)
GAP_MOST = 20 * MS  # from a read to the arrival of what the other machine has ready
KERNEL_TICK = 10 * MS  # at its slowest: by so much its word of when bytes came may be off
AGE_LEAST = 2 * KERNEL_TICK  # less may be none
AGE_MOST = 3_600_000 * MS  # data that wait for longer than any client are a system's nonsense
BACKLOG_READ_LEAST = 16 << 10  # bytes of one of two such reads in a row; a slow sender's are smaller


class Arrival(NamedTuple):
    """Between when and when the bytes of one read came."""

    oldest: int
    newest: int


@dataclass(slots=True)
class ArrivalDates:
    """Of one connection. `drained_at`: nothing of it was with the kernel then."""

    drained_at: int
    _lies_since: int = 0  # since when what is read first may have lain unread; 0: it has been read
    _paused_at: int = 0  # since when what comes was left with the kernel; 0: it is read
    _backlog_since: int = 0  # since when the other machine may have had bytes ready; 0: it has none
    _dated_back: int = 0  # that time, if the latest bytes are dated by it
    _last_size: int = 0  # bytes of the read before
    _lain_bytes: int = 0  # that lay unread for long, of the latest reads in a row
    _backlog_bytes: int = 0  # that were read since the process ran again

    def accepted(self, up_since: int, has_unread: bool) -> None:
        """It has been accepted. `up_since`: nothing of it can have come before; `has_unread`: some has."""
        self.drained_at = up_since
        self._lies_since = up_since if has_unread else 0

    def pause(self, now: int) -> None:
        """From now on what comes is left with the kernel."""
        self._paused_at = now

    def on_read(self, now: int, size: int, age: int, earliest: int, is_paused: bool) -> Arrival:
        """So many bytes are read. `age`: ns since the newest of them came, by the kernel; `earliest`: since
        when the process may not have run; `is_paused`: nothing more is read for now."""
        age = age if age <= AGE_MOST else 0
        reached = now - age
        newest = reached if age >= AGE_LEAST else now
        oldest = min(newest, self._lies_since or max(self.drained_at, earliest))
        self._lies_since = 0
        self._dated_back = backlog = self._backlog(now, size, oldest, reached)
        if self._paused_at:
            oldest = min(newest, self._paused_at)
            if not is_paused:
                self._paused_at = 0
        self.drained_at, self._last_size = now, size
        return Arrival(backlog, backlog) if backlog else Arrival(oldest, newest)

    def _backlog(self, now: int, size: int, oldest: int, reached: int) -> int:
        """Since when these bytes may have been written, beyond what the kernel knows; 0: it knows all.
        `reached`: when the newest of them came to the kernel, within a tick."""
        if self._backlog_since and self._may_have_been_ready(size, reached):
            self._backlog_bytes += size
            return self._backlog_since
        self._backlog_since = 0
        self._lain_bytes = self._lain_bytes + size if now - oldest >= HELD_LEAST else 0
        overflows = size > WINDOW_MOST
        if not overflows and self._lain_bytes < WINDOW_LEAST:
            return 0
        self._backlog_since, self._backlog_bytes = oldest, size
        return oldest if overflows and now - reached < AGE_LEAST else 0

    def _may_have_been_ready(self, size: int, reached: int) -> bool:
        """With the other machine, as the process ran again."""
        if self._backlog_bytes >= SENDER_MOST:
            return False
        follows = reached - self.drained_at <= GAP_MOST and max(size, self._last_size) >= BACKLOG_READ_LEAST
        return follows or size >= WINDOW_LEAST

    def end_came(self, now: int, age: int, seen_open_at: int = 0) -> int:
        """When the other side closed or ended its sending, which the kernel says is so old at most. It comes
        behind the last bytes, so it lay with them. `seen_open_at`: there was no end with the kernel then."""
        came = now - age
        is_behind_them = came <= self.drained_at + KERNEL_TICK
        if self._dated_back and is_behind_them:
            return min(came, self._dated_back)
        return max(came, seen_open_at)

    def end_backlog(self) -> None:
        """A request is whole: what comes next was not written with it."""
        self._backlog_since = 0
