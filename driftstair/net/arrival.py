"""Estimates when received bytes were sent, from the kernel's timestamps and from stalls of this process.

The kernel dates the bytes in its receive buffer. Bytes of a long request that do not fit into the receive
window stay on the client's machine until the window opens, which it does as the node reads. Then they reach
the kernel at once, however long ago the client wrote them. So bytes that arrive right after a full window are
dated like that window, or from the start of the stall. The same holds for each full window after it, for as
long as the client's machine may have had more data ready; it had none if nothing came for a while although
the node was reading. A read of more bytes than the window holds includes bytes that arrived during the read,
so the kernel's timestamp is that of the read. No I/O; times are ns of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from driftstair.net.body_stream import SENDER_BUFFER_BYTES_MAX

MS = 1_000_000  # ns
READ_DELAY_NS_MIN = 50 * MS  # shorter delays before a read are normal scheduling noise
FULL_WINDOW_BYTES_MIN = 32 << 10  # may have filled the receive window, whose size `system.py` sets
RECEIVE_WINDOW_BYTES_MAX = 64 << 10
READY_DATA_GAP_NS_MAX = 20 * MS  # from a read to the arrival of data that the peer has ready
QUIET_NS_MIN = 200 * MS  # without data although the node reads; a peer that has data ready sends sooner
KERNEL_TICK_NS = 10 * MS  # at most; error of the kernel's timestamps
DATA_AGE_NS_MIN = 2 * KERNEL_TICK_NS  # smaller ages may be timestamp errors
DATA_AGE_NS_MAX = 3_600_000 * MS  # no client waits for so long; a larger age is invalid
BACKLOG_READ_BYTES_MIN = 16 << 10  # of one of two successive reads; a slow sender's are smaller


class ArrivalRange(NamedTuple):
    """The earliest and latest time at which the bytes of one read may have arrived."""

    oldest: int
    newest: int


@dataclass(slots=True)
class ArrivalEstimator:
    """For one connection. `drained_at`: when the kernel last had no unread data of it."""

    drained_at: int
    _unread_since: int = 0  # since when the first bytes may have waited unread; 0: they have been read
    _paused_at: int = 0  # when reading was paused; 0: it is not
    _is_reading: bool = True
    _resumed_at: int = 0  # when reading was resumed last
    _backlog_since: int = 0  # since when the peer may have had bytes ready; 0: it has none
    _backdated_to: int = 0  # the time to which the latest bytes are backdated; 0: they are not
    _last_read_bytes: int = 0
    _delayed_bytes: int = 0  # in the latest successive reads of data that waited unread for long
    _backlog_bytes: int = 0  # read since the process resumed

    def on_accept(self, up_since: int, has_unread: bool) -> None:
        """Called once accepted. `up_since`: no data can have arrived before; `has_unread`: some has."""
        self.drained_at = up_since
        self._unread_since = up_since if has_unread else 0

    def pause(self, now: int) -> None:
        """Reading pauses: from now on received data stay in the kernel."""
        self._paused_at = now
        self._is_reading = False

    def resume(self, now: int) -> None:
        """Reading goes on."""
        self._resumed_at = now
        self._is_reading = True

    def was_quiet(self, earliest: int) -> bool:
        """Whether the peer had nothing ready before the data that are about to be read. `earliest`: as for
        `on_read`."""
        return self._is_reading and earliest - max(self.drained_at, self._resumed_at) >= QUIET_NS_MIN

    def on_read(self, now: int, size: int, age: int, earliest: int, is_paused: bool) -> ArrivalRange:
        """Dates a read. `age`: ns since the newest byte arrived, by the kernel; `earliest`: since when the
        process may have been stalled; `is_paused`: reading is still paused."""
        if self.was_quiet(earliest):
            self._backlog_since = self._paused_at = 0
        age = age if age <= DATA_AGE_NS_MAX else 0
        reached = now - age
        newest = reached if age >= DATA_AGE_NS_MIN else now
        oldest = min(newest, self._unread_since or max(self.drained_at, earliest))
        self._unread_since = 0
        self._backdated_to = backlog = self._backlog_start(now, size, oldest, reached)
        if self._paused_at:
            oldest = min(newest, self._paused_at)
            if not is_paused:
                self._paused_at = 0
        self.drained_at, self._last_read_bytes = now, size
        return ArrivalRange(backlog, backlog) if backlog else ArrivalRange(oldest, newest)

    def _backlog_start(self, now: int, size: int, oldest: int, reached: int) -> int:
        """Since when these bytes may have been written, if that is before the kernel received them; else 0.
        `reached`: when the newest of them reached the kernel, to within a tick."""
        if self._backlog_since and self._may_have_been_ready(size, reached):
            self._backlog_bytes += size
            return self._backlog_since
        self._backlog_since = 0
        self._delayed_bytes = self._delayed_bytes + size if now - oldest >= READ_DELAY_NS_MIN else 0
        overflows = size > RECEIVE_WINDOW_BYTES_MAX
        if not overflows and self._delayed_bytes < FULL_WINDOW_BYTES_MIN:
            return 0
        self._backlog_since, self._backlog_bytes = oldest, size
        return oldest if overflows and now - reached < DATA_AGE_NS_MIN else 0

    def _may_have_been_ready(self, size: int, reached: int) -> bool:
        """Whether these bytes may have been ready at the peer when the process resumed."""
        if self._backlog_bytes >= SENDER_BUFFER_BYTES_MAX:
            return False
        follows = (
            reached - self.drained_at <= READY_DATA_GAP_NS_MAX
            and max(size, self._last_read_bytes) >= BACKLOG_READ_BYTES_MIN
        )
        return follows or size >= FULL_WINDOW_BYTES_MIN

    def date_peer_close(self, now: int, age: int, seen_open_at: int = 0) -> int:
        """When the peer closed or half-closed, at most `age` ns ago by the kernel. The FIN follows the last
        bytes, so it waited with them. `seen_open_at`: when the kernel last had no FIN."""
        closed_at = now - age
        follows_last_read = closed_at <= self.drained_at + KERNEL_TICK_NS
        if self._backdated_to and follows_last_read:
            return min(closed_at, self._backdated_to)
        return max(closed_at, seen_open_at)

    def end_backlog(self) -> None:
        """A request is complete: the data after it were not written together with it."""
        self._backlog_since = 0
