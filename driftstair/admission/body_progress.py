"""The minimum rate at which a client has to send a request body. No I/O; the caller passes the time."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_S_MIN = 48_000  # the platform's clients send 64 kB/s
GRACE_S = 1.5  # how far a body may fall behind that rate
RATE_INTERVAL_S_MIN = 0.001  # a body that comes faster counts as having been written at once
SILENCE_S_MAX = 2.7  # without a byte; a client that stalls in a request has to get its error within 3 s


@dataclass(slots=True)
class BodyProgress:
    """Progress of one body. Times in s of one monotonic clock."""

    started_at: float
    received_bytes: int = 0  # bytes, including the framing
    last_received_at: float = 0.0  # when the last bytes arrived; 0: none yet
    paused_s: float = 0.0  # s during which the node did not read
    paused_since: float = 0.0  # since when the node has not been reading; 0: it is reading

    def receive(self, now: float, size: int) -> None:
        """Records `size` received bytes."""
        self.received_bytes += size
        self.last_received_at = now

    def pause(self, now: float) -> None:
        if not self.paused_since:
            self.paused_since = now

    def resume(self, now: float) -> None:
        if self.paused_since:
            self.paused_s += now - self.paused_since
            self.paused_since = 0.0
            self.last_received_at = now  # bytes that arrived meanwhile are still in the kernel's buffer

    def bytes_per_s(self, now: float) -> float:
        """The mean rate since the begin."""
        return self.received_bytes / max(now - self.started_at, RATE_INTERVAL_S_MIN)

    def is_too_slow(self, now: float) -> bool:
        """Whether the body is below the minimum rate or has stalled.

        The rate catches clients that never send the body, whatever length they declared; the silence limit
        catches those that send much at once and then stop.
        """
        if self.paused_since:
            return False
        if now - max(self.started_at, self.last_received_at) >= SILENCE_S_MAX:
            return True
        return self.received_bytes < BYTES_PER_S_MIN * (now - self.started_at - self.paused_s - GRACE_S)
