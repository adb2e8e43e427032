"""How long a connection to a server stays idle after an answer before it carries another request.

A server may write a second answer to a request some milliseconds after the first one. If the connection is in
use again by then, that answer is taken for the next request's; HTTP/1.1 has nothing that tells the two apart.
So a connection is not reused at once. Bytes that arrive on an idle connection show how late servers write,
and lengthen the delay. No I/O; the clock is passed in.
"""

from __future__ import annotations

from dataclasses import dataclass

REUSE_DELAY_MIN_NS = 50_000_000  # duplicate answers come some milliseconds late, more on a busy machine
REUSE_DELAY_MAX_NS = 1_000_000_000  # no delay protects from a server that writes later than this
LATENESS_FACTOR = 4  # of the observed lateness: the next duplicate may be later
DECAY_HALF_LIFE_NS = 30_000_000_000  # the learned delay halves after each such time without late bytes


@dataclass(slots=True)
class ReuseDelay:
    """The reuse delay of one node. Times are ns of one monotonic clock."""

    _learned_ns: int = 0
    _last_late_at: int = 0

    def on_unsolicited_bytes(self, now: int, lateness: int) -> None:
        """Bytes arrived on an idle connection, `lateness` ns after the answer before them."""
        delay = min(REUSE_DELAY_MAX_NS, LATENESS_FACTOR * lateness)
        self._learned_ns = max(self._decayed_ns(now), delay)
        self._last_late_at = now

    def current_ns(self, now: int) -> int:
        """How long a connection must have been idle."""
        return max(REUSE_DELAY_MIN_NS, self._decayed_ns(now)) if self._learned_ns else REUSE_DELAY_MIN_NS

    def _decayed_ns(self, now: int) -> int:
        return self._learned_ns >> min(63, (now - self._last_late_at) // DECAY_HALF_LIFE_NS)
