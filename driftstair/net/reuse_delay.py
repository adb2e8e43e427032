"""How long a connection to a server rests after an answer before it carries another request.

A server may write a second answer to a request, some milliseconds behind the first. On a connection that is
in use again by then it would be taken for the next request's answer, and nothing in HTTP/1.1 tells the two
apart. So a connection is left alone for a while; what comes on one at rest shows how late servers write, and
lengthens that. Pure; its clock is handed in.
"""

from __future__ import annotations

from dataclasses import dataclass

REUSE_DELAY_MIN_NS = 50_000_000  # ns: second answers come some milliseconds late, and machines are busy
REST_MOST = 1_000_000_000  # ns: a server that writes later than that has all its answers suspected anyway
REST_TIMES = 4  # the lateness seen: the next one may come later
REST_FADES = 30_000_000_000  # ns without another one after which half of what was learned is given up


@dataclass(slots=True)
class ReuseDelay:
    """One node's rest after answers. Times in ns of one monotonic clock."""

    _learned: int = 0
    _seen_at: int = 0

    def on_unsolicited_bytes(self, now: int, lateness: int) -> None:
        """Bytes came on a connection at rest, so long after the answer before them."""
        longer = min(REST_MOST, REST_TIMES * lateness)
        self._learned = max(self._faded(now), longer)
        self._seen_at = now

    def needed(self, now: int) -> int:
        """How long a connection has to have rested."""
        return max(REUSE_DELAY_MIN_NS, self._faded(now)) if self._learned else REUSE_DELAY_MIN_NS

    def _faded(self, now: int) -> int:
        return self._learned >> min(63, (now - self._seen_at) // REST_FADES)
