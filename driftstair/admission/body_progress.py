"""How slowly a client may bring a request's body, once its head is whole. Pure; its clock is handed in."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_S_MIN = 48_000  # bytes a second; clients of the platform bring 64 kB
GRACE_S = 1.5  # s that a body may be behind that rate
SILENCE_S_MAX = 2.7  # s without a byte: a client that stops in a request is owed its error within 3 s


@dataclass(slots=True)
class BodyProgress:
    """Times in s of one clock that does not go back."""

    since: float
    received: int = 0  # bytes, with their framing
    moved_at: float = 0.0  # when the newest of them came; 0: none has
    paused: float = 0.0  # s in which the node itself did not read
    stopped: float = 0.0  # since when it does not; 0: it reads

    def receive(self, now: float, size: int) -> None:
        """So many bytes have come."""
        self.received += size
        self.moved_at = now

    def pause(self, now: float) -> None:
        if not self.stopped:
            self.stopped = now

    def resume(self, now: float) -> None:
        if self.stopped:
            self.paused += now - self.stopped
            self.stopped = 0.0
            self.moved_at = now  # what came meanwhile was left with the kernel

    def is_too_slow(self, now: float) -> bool:
        """Guards against clients that begin a body and never bring it, whatever length they have told, and
        against those that bring much at once and stop."""
        if self.stopped:
            return False
        if now - max(self.since, self.moved_at) >= SILENCE_S_MAX:
            return True
        return self.received < BYTES_PER_S_MIN * (now - self.since - self.paused - GRACE_S)
