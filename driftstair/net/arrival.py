"""When bytes came that are read now: what the kernel knows, and what a process that stood still must add.

Bytes that lie with this machine are dated by its kernel. Those of a long request that do not fit into the
receive window lie with the client's machine until the window opens, which it does as the node reads: then
they reach the kernel at once, however long ago the client wrote them. So what follows such a read without a
gap counts as written since the process stood still. Pure; times are ns of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

MS = 1_000_000  # ns
HELD_LEAST = 50 * MS  # that bytes may have lain unread: less is the machine's usual noise
WINDOW_LEAST = 32 << 10  # bytes of one read that may have filled the receive window (RECEIVES in `system.py`)
GAP_MOST = 20 * MS  # between two reads of what the other machine has ready, by a loop that has much to do
KERNEL_TICK = 10 * MS  # at its slowest: by so much its word of when bytes came may be off
BACKLOG_READ_LEAST = 16 << 10  # bytes of one of two such reads in a row; a slow sender's are smaller


class Arrival(NamedTuple):
    """Between when and when the bytes of one read came."""

    oldest: int
    newest: int


@dataclass(slots=True)
class ArrivalDates:
    """Of one connection. `drained_at`: nothing of it was with the kernel then."""

    drained_at: int
    _paused_at: int = 0  # since when what comes was left with the kernel; 0: it is read
    _backlog_since: int = 0  # since when the other machine may have had bytes ready; 0: it has none
    _dated_back: int = 0  # that time, if the latest bytes are dated by it
    _last_size: int = 0  # bytes of the read before

    def pause(self, now: int) -> None:
        """From now on what comes is left with the kernel."""
        self._paused_at = now

    def on_read(self, now: int, size: int, age: int, earliest: int, is_paused: bool) -> Arrival:
        """So many bytes are read. `age`: ns since the newest of them came, by the kernel; `earliest`: since
        when the process may not have run; `is_paused`: nothing more is read for now."""
        newest = now - age
        oldest = min(newest, max(self.drained_at, earliest))
        self._dated_back = backlog = self._backlog(now, size, oldest)
        if self._paused_at:
            oldest = min(newest, self._paused_at)
            if not is_paused:
                self._paused_at = 0
        self.drained_at, self._last_size = now, size
        return Arrival(backlog, backlog) if backlog else Arrival(oldest, newest)

    def _backlog(self, now: int, size: int, oldest: int) -> int:
        """Since when these bytes may have been written, beyond what the kernel knows; 0: it knows all."""
        follows = now - self.drained_at <= GAP_MOST and max(size, self._last_size) >= BACKLOG_READ_LEAST
        if self._backlog_since and follows:
            return self._backlog_since
        fills_window = size >= WINDOW_LEAST and now - oldest >= HELD_LEAST
        self._backlog_since = oldest if fills_window else 0
        return 0

    def end_came(self, now: int, age: int) -> int:
        """When the other side closed or ended its sending, which the kernel says is so old at most. It comes
        behind the last bytes, so it lay with them."""
        came = now - age
        is_behind_them = came <= self.drained_at + KERNEL_TICK
        return min(came, self._dated_back) if self._dated_back and is_behind_them else came

    def end_backlog(self) -> None:
        """A request is whole: what comes next was not written with it."""
        self._backlog_since = 0
